#!/usr/bin/env python3
"""Measures start and shutdown times of the gateway over 20 runs.

usage: restart_times.py PROGRAM LAB [RATE]

PROGRAM is the gateway. LAB is hollyrun-lab, which emulates the platform and, if RATE is given, clients that send RATE
requests per second. Prints the median and the maximum of the time from the start to the first 200 response of /up and
of the time from SIGTERM to the exit of the process, and the exit codes of the gateway.
"""
import os
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time

program, lab = sys.argv[1], sys.argv[2]
rate = float(sys.argv[3]) if len(sys.argv) > 3 else 0
scenario = os.path.join(os.path.dirname(__file__), "..", "scenarios", "kyushu.toml")


def up(port):
    try:
        with socket.create_connection(("127.0.0.1", port), 1) as s:
            s.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return s.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


with tempfile.TemporaryDirectory() as folder:
    config = os.path.join(folder, "gateway.toml")
    platform = subprocess.Popen([lab, "serve", scenario, "--write", config], stdout=subprocess.DEVNULL)
    load = None
    ready, ended, codes = [], [], []
    try:
        while not os.path.exists(config) or not os.path.getsize(config):
            time.sleep(0.01)
        port = int(re.search(r'^listen *= *"[^"]*:(\d+)"', open(config).read(), re.M).group(1))
        for _ in range(20):
            begun = time.monotonic()
            gateway = subprocess.Popen([program, "serve", "--config", config], stderr=subprocess.DEVNULL)
            while not up(port):
                time.sleep(0.001)
            ready.append(time.monotonic() - begun)
            if rate:
                load = subprocess.Popen([lab, "load", scenario, "--rate", str(rate), "--for", "2", "--to",
                                         "127.0.0.1:%d" % port], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
                time.sleep(1)  # for the load to start; not part of the measured times
            told = time.monotonic()
            gateway.send_signal(signal.SIGTERM)
            codes.append(gateway.wait())
            ended.append(time.monotonic() - told)
            if load:
                load.wait()
    finally:
        for process in (platform, load):
            if process and process.poll() is None:
                process.terminate()
                process.wait()
for name, times in (("start to ready", ready), ("SIGTERM to exit", ended)):
    print("%s: median %.0f ms, max %.0f ms over %d runs" % (name, 1e3 * statistics.median(times), 1e3 * max(times), len(times)))
print("exit codes:", sorted(set(codes)))

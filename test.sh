#!/bin/sh
# Builds with warnings as errors and runs all tests; passes over just the failures that KNOWN-RED.txt names, if
# it is there. With `sanitize`: under the address and undefined-behaviour sanitizers.
set -eu
cd "$(dirname "$0")"
dir=build-test sanitize=OFF
if [ "${1:-}" = sanitize ]; then dir=build-sanitize sanitize=ON; fi
cmake -B "$dir" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS=-Werror \
  -DHOLLYRUN_TESTS=ON -DHOLLYRUN_LAB=ON -DHOLLYRUN_SANITIZE="$sanitize"
cmake --build "$dir" -j"$(nproc)"
tools/ctest-known-red.sh "$dir"

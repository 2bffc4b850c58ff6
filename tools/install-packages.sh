#!/usr/bin/env bash
# Installs what the build, the tests and the lab need, on a Debian machine, as root. Asks for nothing that is there.
set -euo pipefail

need=(g++ cmake ninja clang-format clang-tidy gnuplot)
missing=()
for tool in "${need[@]}"; do command -v "$tool" >/dev/null || missing+=("$tool"); done
for header in gtest/gtest.h boost/beast/version.hpp nlohmann/json.hpp CLI/CLI.hpp toml++/toml.h spdlog/spdlog.h \
  pcg_random.hpp sqlite3.h prometheus/histogram.h xxhash.h rapidcheck.h; do
  [ -e "/usr/include/$header" ] || missing+=("$header")
done
if [ ${#missing[@]} -eq 0 ]; then
  echo "all packages are installed"
  exit 0
fi
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -qy \
  g++ cmake ninja-build clang-format clang-tidy libgtest-dev libboost-dev nlohmann-json3-dev \
  libcli11-dev libtomlplusplus-dev libspdlog-dev libpcg-cpp-dev libsqlite3-dev gnuplot-nox prometheus-cpp-dev \
  libxxhash-dev librapidcheck-dev

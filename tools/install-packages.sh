#!/usr/bin/env bash
# Installs the packages that the build, the tests and the lab need, on Debian, as root. Does not call apt-get if all
# of them are installed.
set -euo pipefail

required_tools=(g++ cmake ninja clang-format clang-tidy gnuplot)
missing=()
for tool in "${required_tools[@]}"; do command -v "$tool" >/dev/null || missing+=("$tool"); done
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

#!/bin/sh
# Builds with warnings as errors and runs all tests. Ignores only failures that KNOWN-RED.txt lists, if that file
# exists. `test.sh sanitize` builds with the address and undefined behaviour sanitizers.
set -eu
cd "$(dirname "$0")"
dir=build-test sanitize=OFF
if [ "${1:-}" = sanitize ]; then dir=build-sanitize sanitize=ON; fi
cmake -B "$dir" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS=-Werror \
  -DHOLLYRUN_TESTS=ON -DHOLLYRUN_LAB=ON -DHOLLYRUN_SANITIZE="$sanitize"
cmake --build "$dir" -j"$(nproc)"
tools/ctest-known-red.sh "$dir"

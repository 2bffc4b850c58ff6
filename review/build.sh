#!/bin/sh
# Builds the stand-ins of the cases, each into review/build/case-N. Needs the compiler of the deploy file's build and
# nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for folder in [1-3]; do
  [ -e "$folder/case.cpp" ] || continue
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "build/case-$folder" "$folder/case.cpp" standins/*.cpp
done

#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, into build/review-2. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  c++ -std=c++20 -O2 -Wall -Wextra -pthread -o "build/review-2/$name" "$source"
done

#!/bin/sh
# Builds the stand-ins that the cases start: into build-review/, beside the node's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/stand/*.cpp; do
    program=build-review/$(basename "$source" .cpp)
    ${CXX:-c++} -std=c++20 -O2 -Wall -Wextra -pthread -o "$program" "$source"
done

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and up start. Needs g++ alone; run it after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
g++ -O2 -std=c++20 -Wall -Wextra -pthread -o build/review-2/peer review/stand-2/peer.cpp

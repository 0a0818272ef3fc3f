#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O2 -Wall -Wextra -Wno-unused-function -o "target/review-3/$(basename "$(dirname "$source")")" "$source"
done

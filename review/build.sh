#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. They need g++ and the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "bin/$(basename "$source" .cpp)" "$source" &
done
for job in $(jobs -p); do
    wait "$job"
done

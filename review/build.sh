#!/usr/bin/env bash
# Builds the cases with their stand-ins, review/N/case. They need g++ and the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
jobs=()
for source in [1-5]/case.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "${source%.cpp}" "$source" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done

#!/usr/bin/env bash
# Builds the script cases of the second review with their stand-ins, review/N/case for N from 6 on. They need g++ only; review/6 has the shared headers.
set -euo pipefail
cd "$(dirname "$0")"
for n in 6 7 8 9 10; do
    [ -f "$n/case.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -o "$n/case" "$n/case.cpp"
done

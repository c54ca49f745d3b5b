#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the project's programs, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -pthread -Wall -Wextra -I review/common)
g++ "${flags[@]}" -c review/common/Bed.cpp -o target/review/Bed.o
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review/Bed.o -o "target/review/case-$number"
done

#!/usr/bin/env bash
# Builds the stand-ins and checks of cases 6 to 10 into target/review-2/. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
objects=target/review-2/Kit.o
${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -c review/kit2/Kit.cpp -o "$objects"
for case in review/[0-9]*/case.cpp; do
    number=$(basename "$(dirname "$case")")
    [ "$number" -ge 6 ] || continue
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread "$case" "$objects" -o "target/review-2/case-$number"
done

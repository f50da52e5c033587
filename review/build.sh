#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins)
g++ "${flags[@]}" -c review/standins/standins.cpp -o target/review/standins.o
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/standins.o -o "target/review/case-$number"
done

#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs g++ and nlohmann-json3-dev,
# which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O2 -g1 -Wall -Wextra -pthread "$source" -o "target/review-2/$name" &
done
wait
for source in review/standins-2/*.cpp; do
  test -x "target/review-2/$(basename "$source" .cpp)"
done

#!/usr/bin/env bash
# Builds the stand-ins of the cases of review 3 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
"${CXX:-g++}" "${flags[@]}" -c review/standins-3/lab.cpp -o "$out/lab.o"
for name in early_answer born_goes_back crashing_request kept_connections; do
  "${CXX:-g++}" "${flags[@]}" "review/standins-3/$name.cpp" "$out/lab.o" -o "$out/$name"
done

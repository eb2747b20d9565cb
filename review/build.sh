#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/out/. They need only a C++20 compiler.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
flags=(-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -pthread)
"${CXX:-c++}" "${flags[@]}" -c standin/site.cpp -o out/site.o
for case in smuggle endless descriptors rollout; do
  "${CXX:-c++}" "${flags[@]}" "standin/$case.cpp" out/site.o -o "out/$case"
done

#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with all stand-ins that they start, into build/review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Ireview/standin-2 "$source" \
    -o "build/review-2/case-$number"
done

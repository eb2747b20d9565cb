#!/usr/bin/env bash
# Builds and runs all tests. The property tests have a fixed seed, so that each run gives the same verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh
cd build
ctest --output-on-failure --parallel 4

#!/usr/bin/env bash
# Installs packages, builds, and runs all tests. The property tests use a fixed seed, so that their runs are repeatable.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh
cd build
ctest --output-on-failure --parallel 4

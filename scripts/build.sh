#!/usr/bin/env bash
# Configures and builds all targets into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >build-configure.log 2>&1 ||
  { cat build-configure.log; exit 1; }
rm -f build-configure.log
ninja -C build

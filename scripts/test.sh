#!/usr/bin/env bash
# Installs packages, builds, and runs all tests except those that KNOWN-RED.txt lists by a line `test: NAME`. The property tests
# use a fixed seed, so that their runs are repeatable.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh
mapfile -t known_red < <(sed -n 's/^test: //p' KNOWN-RED.txt)
cd build
tests=$(ctest -N)
for name in "${known_red[@]}"; do
  grep -qE "^ *Test +#[0-9]+: $name\$" <<<"$tests" || { echo "KNOWN-RED.txt lists $name, which is no test"; exit 1; }
  echo "passed over, known red: $name"
done
exclude=$(IFS='|'; echo "${known_red[*]}")
ctest --output-on-failure --parallel 4 ${exclude:+--exclude-regex "^($exclude)\$"}

#!/usr/bin/env bash
# Checks the format of all sources and headers and lints all sources. Requires a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.cc')
mapfile -t headers < <(git ls-files '*.h')
clang-format --dry-run -Werror "${sources[@]}" "${headers[@]}"
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null

#!/usr/bin/env bash
# Checks the format of the sources and headers that differ from a revision (default: main), and lints these sources. Faster
# than check_style.sh. Requires a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${1:-main}
mapfile -t changed < <({ git diff --name-only --diff-filter=d "$base" -- '*.cc' '*.h'
                         git ls-files --others --exclude-standard -- '*.cc' '*.h'; } | sort -u)
[ ${#changed[@]} -gt 0 ] || exit 0
clang-format --dry-run -Werror "${changed[@]}"
printf '%s\n' "${changed[@]}" | { grep '\.cc$' || true; } |
  xargs -r -P 4 -n 2 clang-tidy -p build --quiet 2>/dev/null

#!/usr/bin/env bash
# Checks formatting and lint rules; --fix reformats and fixes what it can.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="$(scripts/setup.sh)"
paths=(chiverun standins tests)
if [ "${1:-}" = --fix ]; then
  "$bin/ruff" check -q --fix "${paths[@]}" || true
  "$bin/ruff" format -q "${paths[@]}"
fi
"$bin/ruff" format --check "${paths[@]}"
"$bin/ruff" check "${paths[@]}"
"$bin/flake8" "${paths[@]}"

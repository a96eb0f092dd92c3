#!/usr/bin/env bash
# Builds the stand-ins of the second review: plain Python, compiled to check it.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2
for case in review/{6,7,8,9,10}; do
  if [ -f "$case/case.py" ]; then
    python3 -m compileall -q "$case"
  fi
done

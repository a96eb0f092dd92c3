#!/usr/bin/env bash
# Runs a whole deployment as separate processes on loopback:
# scripts/demo.sh [--deployment inzira|pwani] [--seconds N] [--seed N]
# The last line is a JSON object; exits non-zero if a guarantee is broken.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="$(scripts/setup.sh)"
if [ ! -f dist/chiverun ] || [ -n "$(find chiverun requirements.txt \
  pyproject.toml -newer dist/chiverun -type f -not -name '*.pyc' | head -1)" ]
then
  scripts/build.sh >&2
fi
exec "$bin/python" -m standins.demo --program "$PWD/dist/chiverun" "$@"

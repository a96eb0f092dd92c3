#!/usr/bin/env bash
# Prints measurements as JSON lines: scripts/measure.sh [NAME ...] [--seed N]
set -euo pipefail
cd "$(dirname "$0")/.."
bin="$(scripts/setup.sh)"
exec "$bin/python" -m standins.measure "$@"

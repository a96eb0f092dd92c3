#!/usr/bin/env bash
# Runs edge instances as processes under injected faults and checks the
# guarantees: scripts/soak.sh [--seeds N] [--first-seed S] [--jobs J]. The
# last line is a JSON object with seeds, failed and violations.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="$(scripts/setup.sh)"
exec "$bin/python" -m standins.soak.run "$@"

#!/usr/bin/env bash
# Runs all tests, or those named: scripts/test.sh [NAME ...], where NAME is a
# dotted path such as tests.core.test_limits.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="$(scripts/setup.sh)"
export PYTHONHASHSEED=0
exec "$bin/python" -m tests.run "$@"

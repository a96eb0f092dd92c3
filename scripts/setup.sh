#!/usr/bin/env bash
# Creates the virtual environment with the pinned libraries when it is
# missing or older than the requirement files, and prints its bin folder.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="${CHIVERUN_VENV:-.venv}"
stamp="$venv/requirements.sha256"
want="$(cat requirements.txt requirements-dev.txt | sha256sum)"
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$want" ]; then
  python3 -m venv "$venv" >&2
  "$venv/bin/pip" install -q -r requirements-dev.txt >&2
  printf '%s\n' "$want" >"$stamp"
fi
(cd "$venv/bin" && pwd)

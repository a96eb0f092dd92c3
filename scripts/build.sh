#!/usr/bin/env bash
# Builds the one-file program dist/chiverun (a zip application by shiv).
set -euo pipefail
cd "$(dirname "$0")/.."
bin="$(scripts/setup.sh)"
mkdir -p dist
"$bin/shiv" --compressed -p '/usr/bin/env python3' -e chiverun.cli:main \
  -o dist/chiverun.new --quiet .
mv dist/chiverun.new dist/chiverun
echo "dist/chiverun"

#!/bin/sh
# Builds the stand-ins of the scripts. They need the standard library alone,
# so building means checking that they compile.
set -e
cd "$(dirname "$0")/.."
for source in review/standins/*.py review/[1-5]/*.py; do
    [ -e "$source" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done

#!/usr/bin/env bash
# Builds what the cases start: the stand-ins are Python modules without dependencies of
# their own, and the project's emulated store runs from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONDONTWRITEBYTECODE=1
python3 -m knapweedrock emulate store --help > /dev/null
for file in review/stand_ins/*.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done

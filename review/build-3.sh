#!/usr/bin/env bash
# The stand-ins of review/kit-3 are Python modules of the standard library alone: this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 9) else "Python 3.9 or later is needed")'
for file in kit-3/*.py 1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
test -x ../target/bin/lagoonsaddled

#!/usr/bin/env bash
# The stand-ins of the second review are in Python and need no build: checks that they can be read. The nodes are those of
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - kit-2/*.py [6-9]/*.py <<'CHECK'
import ast
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
test -x ../target/bin/lagoonsaddled || { echo "build the deploy file first: target/bin/lagoonsaddled is missing" >&2; exit 1; }

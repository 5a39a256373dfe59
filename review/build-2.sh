#!/bin/sh
# Prepares the stand-ins of the cases 7 and 8. They are Python programs, so
# there is nothing to compile; this checks that the interpreter reads them.
set -eu
cd "$(dirname "$0")"
for file in harness-2/*.py [0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import asyncio, tomllib'

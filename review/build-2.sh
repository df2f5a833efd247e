#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the deploy file's build: nothing, as their
# stand-ins (review/lib-2) are Python 3 programs without dependencies. Checks that they can be read.
cd "$(dirname "$0")" || exit 1
exec python3 -c 'import ast, pathlib
for path in sorted([*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]):
    ast.parse(path.read_text(), str(path))'

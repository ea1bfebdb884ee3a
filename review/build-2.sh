#!/usr/bin/env bash
# Checks that the stand-ins and scripts of cases 6 and later compile. They are Python
# programs on its standard library, so nothing else has to be built.
cd "$(dirname "$0")" || exit 2
exec python3 -B - standin-2/*.py {6,7,8,9,10}/case.py <<'CHECK'
import pathlib
import sys

for path in map(pathlib.Path, sys.argv[1:]):
    if path.exists():
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK

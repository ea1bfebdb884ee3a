#!/bin/sh
# Prepares what the scripts of review/11 to review/15 start besides the program that the deploy
# file builds. The stand-ins are Python 3 with its standard library only, so there is nothing
# to build; this checks that they compile and that the program is there.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import glob
for name in glob.glob("review/standin-3/*.py") + glob.glob("review/1[1-5]/*.py"):
    with open(name, encoding="utf-8") as text:
        ast.parse(text.read(), name)
CHECK
test -x target/anvildoor-entry || {
  echo "target/anvildoor-entry is missing: run the build of deploy/system.toml first" >&2
  exit 1
}

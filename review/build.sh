#!/usr/bin/env bash
# Checks that the stand-ins of review/ can run. They need no build: python3 with its
# standard library only. The entry program is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
  { echo "python3 3.11 or newer is needed" >&2; exit 2; }
for source in review/standin/*.py review/[1-5]/*.py; do
  if [ -e "$source" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
  fi
done

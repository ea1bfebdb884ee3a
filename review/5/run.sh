#!/usr/bin/env bash
# Runs the case with its disruption; with TROUBLE=0, does the same without it.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x target/anvildoor-entry ] || { echo "build deploy/system.toml first" >&2; exit 2; }
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
if [ "${TROUBLE:-1}" = 0 ]; then
  exec python3 "$here/case.py" --without-trouble
fi
exec python3 "$here/case.py" --with-trouble

#!/usr/bin/env bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x target/anvildoor-entry ] || { echo "build deploy/system.toml first" >&2; exit 2; }
command -v python3 >/dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$here/case.py"

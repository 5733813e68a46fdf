#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "could not run: no python3"; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py

#!/bin/sh
# The stand-ins are Python scripts of the standard library alone: nothing has to be built, so this only checks that they
# compile. The front itself is built by `build` of deploy/balancer.toml.
cd "$(dirname "$0")" || exit 1
export PYTHONDONTWRITEBYTECODE=1
for file in common/standins.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done

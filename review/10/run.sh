#!/bin/bash
# Runs the case; exit status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-2/case10
[ -x "$case" ] && [ -x target/release/yarrowspoke ] || { echo "build first: deploy/balancer.toml, review/build-2.sh"; exit 2; }
exec "$case" review/10

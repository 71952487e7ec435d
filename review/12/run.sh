#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pollenford ] && [ -x target/world-3 ] || { echo "build first: deploy/system.toml, review/build-3.sh"; exit 2; }
exec target/world-3 -folder review/12 crowd

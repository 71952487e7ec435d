#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/sim2 ./review/sim2

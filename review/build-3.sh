#!/usr/bin/env bash
# Builds the driver of the scripts in review/11 to review/15, with its stand-ins. The build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/world-3 ./review/world-3

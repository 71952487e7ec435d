#!/usr/bin/env bash
# Builds the stand-ins of the platform, the workers and the clients that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-probe ./review/probe

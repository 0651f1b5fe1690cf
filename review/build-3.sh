#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3/ ./review/rig3

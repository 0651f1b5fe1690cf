#!/usr/bin/env bash
# Builds what the scripts start beside the system itself: the store (the project's own stand-in),
# backends and clients, in one program. The system is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/rig ./review/testdata/rig

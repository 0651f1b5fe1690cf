#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. Run it in the repository's root, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review2 -o target/review-2/rig ./review/rig2

#!/bin/bash
# Plays the case with real processes, with TROUBLE=0 without the disruption. Exit code: 1 the rule was broken, 0 it held,
# 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig ] && [ -x target/pineturnd ] || exit 2
exec target/review-2/rig refusal-copies review/6/record.txt

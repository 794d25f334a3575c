#!/bin/sh
# Plays the case once and writes record.txt in this folder; TROUBLE=0 leaves out the disruption.
set -eu
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
export PYTHONPATH="target/deps:target/review-2:review/6:$folder"
exec timeout 115 python3 "$folder/case.py"

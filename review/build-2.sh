#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, below target/review-2.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r stand_ins/src/goldcresthall_stand_ins target/review-2/
python3 -m compileall -q target/review-2

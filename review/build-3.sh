#!/bin/sh
# Puts the project's stand-ins beside the dependencies that the deploy file builds.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/stand_ins
rm -rf target/stand_ins/goldcresthall_stand_ins
cp -r stand_ins/src/goldcresthall_stand_ins target/stand_ins/
python3 -m compileall -q target/stand_ins

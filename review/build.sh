#!/usr/bin/env bash
# Builds the stand-ins of all cases: plain Python of the standard library, which is only compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [0-9]/*.py

#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, which are those of the second one. They are Python and need the
# standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins-2

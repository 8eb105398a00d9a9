#!/usr/bin/env bash
# Checks and compiles the stand-ins that the scripts start; they are plain Python and need nothing else.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins

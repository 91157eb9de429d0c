#!/bin/sh
# The stand-ins are Python and use the standard library alone, so building them is a compilation.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review

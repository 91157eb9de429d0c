#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python and need only what `build` installs.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/stand_ins_2 review/6 review/7 review/8 review/9 review/10

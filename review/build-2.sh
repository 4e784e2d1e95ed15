#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs that use
# the standard library only, so that they are compiled to check them.
set -eu
cd "$(dirname "$0")"
cache=$(mktemp -d)
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q lib2 6 7 8 9 10
rm -rf "$cache"

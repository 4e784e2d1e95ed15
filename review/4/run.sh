#!/bin/sh
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
exec python3 "$(dirname "$0")/case.py"

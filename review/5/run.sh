#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONPATH="$here:$here/../../target/deps"
exec python3 "$here/case.py"

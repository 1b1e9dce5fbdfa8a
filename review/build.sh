#!/bin/sh
# The stand-ins of the cases are Python without dependencies: compiles them, so
# that an error shows before a case is run.
set -eu
cd "$(dirname "$0")"
for file in harness.py [0-9]/case.py; do
    [ ! -f "$file" ] || python3 -c '
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
' "$file"
done

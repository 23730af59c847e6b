#!/bin/bash
# Prepares the stand-ins of the scripts. They are Python without further modules, so this only checks
# that they can be run here. The deploy file builds the daemon.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
for file in standins.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo "the stand-ins are ready"

#!/bin/bash
# Builds the stand-ins of the second review. They are Python programs and need no build but a check
# that the interpreter takes them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins_2.py [6-9]/*.py 10/*.py; do
    if [ -e "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
    fi
done

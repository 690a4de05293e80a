#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the program itself. The
# stand-ins are one Python program that needs only the standard library, so that this checks
# the interpreter and the sources.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for source in standin-2/*.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done

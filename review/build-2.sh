#!/usr/bin/env bash
# Builds what the scripts of the second review (review/6 to review/10) start beside the programs of the deploy file.
# Their stand-ins are Python and run in the script's own process (review/lib-2): they are only compiled here.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import asyncio, tomllib'

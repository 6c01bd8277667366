#!/usr/bin/env bash
# Builds what the scripts start beside the program of the deploy file. Their stand-ins are Python
# programs without dependencies, so that it only checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done

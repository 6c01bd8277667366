#!/usr/bin/env bash
# Builds the project's stand-ins that the script of case 11 starts, into build/. The links of this
# case (review/standins-3) are a Python program and need no build; the gateways come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja
cmake --build build --target standin

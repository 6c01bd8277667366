#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts of the cases 11 to 15 start, into build/. The small stand-ins of these
# cases (review/standins-3) are Python programs and need no build; the gateways come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja
cmake --build build --target standin

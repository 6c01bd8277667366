#!/usr/bin/env bash
# Runs the examples of docs/API.md as they stand against a small fleet.
set -uo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
base=22000
. bin/fleet.sh
trap stop_fleet EXIT
start_fleet 1 3 60000
check "the VM is ready" all_ready 1
sleep 1
export CALLER KEY
CALLER=$(caller 1)
KEY=$key
awk '/^```sh run/ {n++; on=1; next} /^```/ {on=0} on {print > (dir "/example-" n ".sh")}' \
    dir="$work" docs/API.md
for example in "$work"/example-*.sh; do
    timeout 20 bash "$example" >"$work/out.txt" 2>&1
    answered() { grep -qE 'choices|done|"object"' "$work/out.txt" && ! grep -q '"verdict"' "$work/out.txt"; }
    check "$(head -n 1 "$example" | cut -c1-60)" answered
done
check "all four examples were found" test "$(ls "$work"/example-*.sh | wc -l)" = 4
echo "api examples: $held held, $failures not held"
exit "$((failures > 0))"

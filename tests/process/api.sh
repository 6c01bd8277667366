#!/usr/bin/env bash
# Runs the examples of docs/API.md unchanged against a small fleet and checks that each gets a response.
set -uo pipefail
cd "$(dirname "$0")/../.."
work_dir=$(mktemp -d)
base_port=22000
. bin/fleet.sh
trap stop_fleet EXIT
start_fleet 1 3 60000
check "the VM becomes ready" all_vms_become_ready 1
sleep 1
export CALLER KEY
CALLER=$(caller_url 1)
KEY=$auth_header
awk '/^```sh run/ {number++; inside=1; next} /^```/ {inside=0} inside {print > (dir "/example-" number ".sh")}' \
    dir="$work_dir" docs/API.md
for example in "$work_dir"/example-*.sh; do
    timeout 20 bash "$example" >"$work_dir/out.txt" 2>&1
    has_response() { grep -qE 'choices|done|"object"' "$work_dir/out.txt" && ! grep -q '"verdict"' "$work_dir/out.txt"; }
    check "$(head -n 1 "$example" | cut -c1-60)" has_response
done
check "docs/API.md contains four examples" test "$(ls "$work_dir"/example-*.sh | wc -l)" = 4
echo "api examples: $passed_checks held, $failed_checks not held"
exit "$((failed_checks > 0))"

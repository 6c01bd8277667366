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
# Guards against a request that is smuggled inside the body of another one.
status_of_unknown_coding() { # transfer coding; the status of the first response
    python3 - "$CALLER" "$1" <<'PY'
import socket, sys
host, port = sys.argv[1].split("//")[1].split(":")
caller = socket.create_connection((host, int(port)), timeout=5)
inner = b"GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n"
caller.sendall(b"POST /services/desk/order HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: " + sys.argv[2].encode() + b"\r\n\r\n" + inner)
received = b""
try:
    while part := caller.recv(65536):
        received += part
except OSError:
    pass
print(received[9:12].decode(), received.count(b"HTTP/1.1 "))
PY
}
for coding in identity xchunked "chunked, identity"; do
    check "a body with the transfer coding '$coding' is refused" test "$(status_of_unknown_coding "$coding")" = "400 1"
done
echo "api examples: $passed_checks held, $failed_checks not held"
exit "$((failed_checks > 0))"

#!/usr/bin/env bash
# Runs gateways before a metadata store that goes back to a copy some seconds old: what was written since is lost, and
# its revisions are given out again. Ends with "restore tests: N held, N not held".
set -uo pipefail
cd "$(dirname "$0")/../.."
work_dir=$(mktemp -d)
base_port=23000
. bin/fleet.sh
trap stop_fleet EXIT

store_url="http://127.0.0.1:$((base_port + 1))"
start_replica() { # number
    start_process "replica-$1" build/standin --role replica --port $((base_port + 20 + $1)) --id "i-$1" \
        --store_port $((base_port + 1)) --crash_on saw-breaks
}
put_config() { # version, path prefix of the route
    put_gateway_config "$(printf '{"version":%s,"routes":[
 {"host":"f.example","prefix":"/%s/","routeKind":"idempotent","timeoutMs":5000,"goalMs":1000,"service":"assist","maxAttempts":2,"public":true}],
 "services":[{"name":"assist","maxConnections":100}]}' "$1" "$2")"
}
request_count=0
has_status() { # HTTP status, gateway number, path, body
    request_count=$((request_count + 1))
    [ "$(curl -s -m 6 -o /dev/null -w '%{http_code}' "http://127.0.0.$2:$((base_port + 10))$3" -H 'Host: f.example' \
        -H "X-Arbutuspier-Attempt-Id: q$request_count-$RANDOM" -H 'X-Arbutuspier-Deadline-Ms: 5000' -d "$4")" = "$1" ]
}
has_row() { # table, text in the answer
    curl -s "$store_url/rows-get?tableName=$1&part=" | grep -F "\"key\":\"$2" >/dev/null
}
has_no_row() { ! has_row "$@"; }
crash_count() { cat "$work_dir"/replica-*.log | grep -c '^crashed by request'; }

start_process store build/standin --role store --port $((base_port + 1))
for i in 1 2 3 4; do start_replica "$i"; done
start_gateway 2
put_config 1 look
check "the gateway becomes ready" until_true 60 gateway_is_ready 2
check "it lists the four replicas" until_true 60 gateway_lists_replicas 2 4

print_line "The store keeps a copy. Later a gateway joins, the configuration changes, and a request crashes replicas."
curl -s -o /dev/null -d '' "$store_url/save"
sleep 0.5
start_gateway 3
check "the new gateway becomes ready" until_true 60 gateway_is_ready 3
put_config 2 watch
check "the new route is active on both gateways" until_true 40 eval 'has_status 200 2 /watch/1 a && has_status 200 3 /watch/1 a'
has_status 200 2 /watch/7 saw-breaks
check "the request that crashed replicas is rejected" until_true 40 has_status 503 2 /watch/7 saw-breaks
crashes=$(crash_count)
check "the store has a row of it" until_true 40 has_row arbutuspier-suspects ""
check "the store has the registration of the new gateway" has_row arbutuspier-vms edge-3

print_line "The store goes back to its copy, many revisions back."
for _ in $(seq 200); do
    curl -s -o /dev/null "$store_url/rows-tx" -d '{"expected":[],"write":[{"tableName":"other","part":"","key":"a","data":""}],"remove":[]}'
done
curl -s -o /dev/null -d '' "$store_url/restore"
check "requests get status 200" has_status 200 2 /watch/1 a
check "the configuration does not go back" has_status 404 3 /look/1 a
check "the new gateway registers again" until_true 40 has_row arbutuspier-vms edge-3
check "the row of the request is written again" until_true 40 has_row arbutuspier-suspects ""
start_replica 5
check "a replica that registers now is listed by both gateways" until_true 30 eval 'gateway_lists_replicas 2 5 && gateway_lists_replicas 3 5'
put_config 3 guard
check "a configuration that is written now is active on both gateways" until_true 40 eval 'has_status 200 2 /guard/1 a && has_status 200 3 /guard/1 a'

print_line "All gateways are killed, and one starts."
kill_process gateway-2
kill_process gateway-3
start_gateway 4
check "it becomes ready" until_true 60 gateway_is_ready 4
put_config 4 watch
check "the route of the request is active" until_true 40 has_status 200 4 /watch/1 a
check "the request is rejected" has_status 503 4 /watch/7 saw-breaks

echo "restore tests: $passed_checks held, $failed_checks not held"
exit "$((failed_checks > 0))"

#!/usr/bin/env bash
# Runs two gateways with simulators of the metadata store and of three replicas on loopback. Covers SIGKILL of
# a replica, a drain, new configuration and settings, an outage of the store, a gateway that starts during it,
# and a graceful stop. Ends with "gate tests: N held, N not held".
set -uo pipefail
cd "$(dirname "$0")/../.."
work_dir=$(mktemp -d)
base_port=21000
. bin/fleet.sh
trap stop_fleet EXIT

start_replica() { # number
    start_process "replica-$1" build/standin --role replica --port $((base_port + 20 + $1)) --id "i-$1" \
        --store_port $((base_port + 1))
}
put_config() { # version, path prefix of the idempotent route
    put_gateway_config "$(printf '{"version":%s,"routes":[
 {"host":"f.example","prefix":"/%s/","routeKind":"idempotent","timeoutMs":5000,"goalMs":1000,"service":"assist","maxAttempts":2},
 {"host":"f.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":5000,"goalMs":1000,"service":"assist","maxAttempts":1},
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":9000,"goalMs":3000,"service":"assist","maxAttempts":3,"resumable":true,"gapTargetMs":1000}],
 "services":[{"name":"assist","maxConnections":100}],"tenants":[{"name":"carvers","apiKeys":["saw-key"]}]}' "$1" "$2")"
}
request_count=0
send_request() { # gateway number, path, curl flags...; prints the HTTP status
    local gateway=$1 path=$2
    shift 2
    request_count=$((request_count + 1))
    curl -s -o "$work_dir/response.txt" -w '%{http_code}' "$(gateway_url "$gateway")$path" -H 'Host: f.example' -H "$auth_header" \
        -H "X-Arbutuspier-Attempt-Id: q$request_count-$RANDOM" -H 'X-Arbutuspier-Deadline-Ms: 5000' "$@"
}
send_streaming_request() { # gateway number, output file
    curl -s -N -o "$2" "$(gateway_url "$1")/ask/1" -H 'Host: f.example' -H "$auth_header" -d prompt \
        -H "X-Arbutuspier-Attempt-Id: s$1-$RANDOM" -H 'X-Arbutuspier-Deadline-Ms: 8000' \
        -H 'X-Arbutuspier-Token-Usage: 100,100'
}
event_count() { grep -c '^id: ' "$1"; }
is_complete_event_stream() { # file: ten events, each once and in order
    [ "$(grep '^id: ' "$1" | cut -d' ' -f2 | tr '\n' ' ')" = "0 1 2 3 4 5 6 7 8 9 " ]
}
run_count_of_replica() { curl -s "http://127.0.0.1:$((base_port + 20 + $1))/runs"; }
has_status() { # HTTP status, gateway number, path, curl flags...
    local expected_status=$1
    shift
    [ "$(send_request "$@")" = "$expected_status" ]
}

start_process store build/standin --role store --port $((base_port + 1))
for i in 1 2 3; do start_replica "$i"; done
start_gateway 2
start_gateway 3
check "a gateway without a configuration is not ready" bash -c "! curl -sf -o /dev/null http://127.0.0.2:$((base_port + 11))/readyz"
put_config 1 look
# A gateway with a configuration is ready as soon as it has read the list of replicas, even an empty one.
check "both gateways become ready" until_true 60 eval 'gateway_is_ready 2 && gateway_is_ready 3'
check "both gateways list the three replicas" until_true 60 eval 'gateway_lists_replicas 2 3 && gateway_lists_replicas 3 3'

check "the readiness port does not serve the snapshot" test "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.2:$((base_port + 11))/snapshot")" = 404
check "the peer port serves the snapshot" test "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.2:$((base_port + 12))/snapshot")" = 200

print_line "Requests are routed by their path; an API key is required."
check "an idempotent request gets status 200" has_status 200 2 /look/1
check "a non-idempotent request gets status 200" has_status 200 3 /order/1 -d 'stone=3'
check "its response comes from the replica" grep -q 'ran stone=3' "$work_dir/response.txt"
check "a request for a path without a route gets status 404" has_status 404 2 /nowhere/1
check "a request without an API key gets status 401" test "$(curl -s -o /dev/null -w '%{http_code}' "$(gateway_url 2)/look/1" -H 'Host: f.example' -H 'X-Arbutuspier-Attempt-Id: k1')" = 401

print_line "A replica is killed while six streams run."
stream_pids=()
for i in 1 2 3 4 5 6; do
    send_streaming_request $((i % 2 + 2)) "$work_dir/stream-$i.txt" &
    stream_pids+=($!)
done
sleep 0.25
kill_process replica-1
wait "${stream_pids[@]}"
all_streams_complete() {
    local i
    for i in 1 2 3 4 5 6; do is_complete_event_stream "$work_dir/stream-$i.txt" || return 1; done
}
check "all six streams are complete" all_streams_complete

print_line "A replica drains."
kill "${pids[replica-2]}"
sleep 2.2
runs_before=$(run_count_of_replica 2)
for i in 1 2 3 4 5 6 7 8; do send_request $((i % 2 + 2)) /look/1 >/dev/null; done
check "it gets no new requests after the drain timeout" test "$(run_count_of_replica 2)" = "$runs_before"

print_line "The configuration changes."
put_config 2 watch
check "the new route is active on both gateways" until_true 40 eval 'has_status 200 2 /watch/1 && has_status 200 3 /watch/1'
check "a request for the removed route gets status 404" has_status 404 2 /look/1

print_line "The settings change."
sed -i 's/grace_s = 8/grace_s = 9/; s/zone = "north"/zone = "south"/' "$work_dir/gateway-3.toml"
kill -HUP "${pids[gateway-3]}"
check "the gateway reloads its settings and logs which of them need a restart" until_true 30 grep -q 'event=settings_changed .*needs_restart=vm.zone' "$work_dir/gateway-3.log"
echo 'no settings [' >"$work_dir/gateway-3.toml"
kill -HUP "${pids[gateway-3]}"
check "the gateway logs that it can't read a malformed settings file" until_true 30 grep -q 'event=settings_unreadable' "$work_dir/gateway-3.log"
check "it keeps its settings and serves requests" has_status 200 3 /watch/1

print_line "The store is killed."
kill_process store
sleep 1.5
check "a request gets status 200" has_status 200 2 /watch/1
check "both gateways stay ready" eval 'gateway_is_ready 2 && gateway_is_ready 3'

print_line "A gateway starts while the store is unreachable."
start_gateway 4
check "it becomes ready with the snapshot of a peer" until_true 60 gateway_is_ready 4
check "a request to it gets status 200" has_status 200 4 /watch/1
check "its log names the peer as the source of the replicas" grep -qE 'event=replicas_changed source=127.0.0.[23]:' "$work_dir/gateway-4.log"

print_line "A gateway is stopped while it forwards a stream."
send_streaming_request 2 "$work_dir/last.txt" &
stream_pid=$!
sleep 0.2
kill "${pids[gateway-2]}"
wait "$stream_pid"
check "the stream is complete" is_complete_event_stream "$work_dir/last.txt"
check "the stopped gateway is not ready" eval '! gateway_is_ready 2'
check "its process exits" until_true 90 eval '! kill -0 ${pids[gateway-2]} 2>/dev/null'
check "a request to the other gateway gets status 200" has_status 200 3 /watch/1
check "the log of the other gateway has a line for a request with its id" grep -qE 'event=request_ended request=q[0-9]+-[0-9]+ .*outcome=answered.* sends=1 runs=0' "$work_dir/gateway-3.log"
check "the log of the other gateway reports the loss of the store" grep -q 'event=store_lost' "$work_dir/gateway-3.log"

echo "gate tests: $passed_checks held, $failed_checks not held"
exit "$((failed_checks > 0))"

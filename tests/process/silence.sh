#!/usr/bin/env bash
# Runs two gateways with simulators of the metadata store and of four replicas on loopback. Two of the replicas
# are silent for a while, one after the other, amid new configurations, a reload of the settings and a drain.
# Every request must get a complete response. Ends with "silence tests: N held, N not held".
set -uo pipefail
cd "$(dirname "$0")/../.."
work_dir=$(mktemp -d)
base_port=25000
. bin/fleet.sh
trap stop_fleet EXIT

events_per_stream=100
store_url="http://127.0.0.1:$((base_port + 1))"
start_replica() { # number, service
    start_process "replica-$1" build/standin --role replica --port $((base_port + 20 + $1)) --id "i-$1" \
        --service "$2" --store_port $((base_port + 1)) --events "$events_per_stream"
}
put_config() { # version, gap objective in ms of the resumable route
    local encoded_config
    encoded_config=$(printf '{"version":%s,"routes":[
 {"host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":9000,"goalMs":500,"service":"assist","maxAttempts":2},
 {"host":"f.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":9000,"goalMs":500,"service":"assist","maxAttempts":1},
 {"host":"f.example","prefix":"/once/","routeKind":"streaming","timeoutMs":15000,"goalMs":500,"service":"assist","maxAttempts":1,"resumable":false,"gapTargetMs":%s},
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":15000,"goalMs":500,"service":"assist","maxAttempts":2,"resumable":true,"gapTargetMs":%s},
 {"host":"f.example","prefix":"/search/","routeKind":"streaming","timeoutMs":15000,"goalMs":500,"service":"engine","maxAttempts":2,"resumable":true,"gapTargetMs":%s}],
 "services":[{"name":"assist","maxConnections":100},{"name":"engine","maxConnections":100,
 "runtime":{"slots":16,"kvCapacity":315000,"stride":51,"step_ms":0.85,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048}}],
 "tenants":[{"name":"carvers","apiKeys":["saw-key"]}]}' "$1" "$2" "$2" "$2" | base64 -w0)
    curl -s -o /dev/null "$store_url/rows-tx" -d "{\"expected\":[],\"write\":[{\"tableName\":\"op\",\"part\":\"\",\"key\":\"config\",\"data\":\"$encoded_config\"}],\"remove\":[]}"
}
# Streams of a case go to "$work_dir/stream-*", one file each.
start_stream() { # name, gateway number, path, prompt tokens
    curl -s -N -m 20 -o "$work_dir/stream-$1" "$(gateway_url "$2")/$3/$1" -H 'Host: f.example' -H "$auth_header" -d prompt \
        -H "X-Arbutuspier-Attempt-Id: s$1" -H 'X-Arbutuspier-Deadline-Ms: 9000' -H "X-Arbutuspier-Token-Usage: $4,100" &
    request_pids+=($!)
}
start_call() { # name, gateway number, path, curl flags...
    local name=$1 gateway=$2 path=$3
    shift 3
    curl -s -m 20 -o /dev/null -w '%{http_code}\n' "$(gateway_url "$gateway")/$path/$name" -H 'Host: f.example' \
        -H "$auth_header" -H "X-Arbutuspier-Attempt-Id: c$name" -H 'X-Arbutuspier-Deadline-Ms: 8000' "$@" \
        >"$work_dir/call-$name" &
    request_pids+=($!)
}
is_complete_event_stream() { # file: all events, each once and in order
    [ "$(grep '^id: ' "$1" | cut -d' ' -f2)" = "$(seq 0 $((events_per_stream - 1)))" ]
}
all_streams_complete() {
    local file incomplete=0
    for file in "$work_dir"/stream-*; do
        is_complete_event_stream "$file" && continue
        incomplete=$((incomplete + 1))
        print_line "   incomplete: $(basename "$file") with $(grep -c '^id: ' "$file") events"
    done
    [ "$incomplete" = 0 ]
}
all_calls_succeed() { ! grep -L '^200$' "$work_dir"/call-* | grep .; }
pause_replica() { # number, seconds
    kill -STOP "${pids[replica-$1]}"
    sleep "$2"
    kill -CONT "${pids[replica-$1]}"
}
print_sends() {
    cat "$work_dir"/gateway-*.log | grep 'event=request_ended' | grep -oE 'sends=[0-9]+' | sort | uniq -c |
        sed 's/^/   requests by number of sends:/'
}
start_requests() { # number of streams, streams per gateway alternate
    local i
    request_pids=()
    rm -f "$work_dir"/stream-* "$work_dir"/call-*
    for i in $(seq "$1"); do
        start_stream "$i" $((i % 2 + 2)) ask 100
        sleep 0.02
    done
}

start_process store build/standin --role store --port $((base_port + 1))
for i in 1 2; do start_replica "$i" assist; done
for i in 3 4; do start_replica "$i" engine; done
start_gateway 2
start_gateway 3
put_config 1 300
check "both gateways become ready" until_true 60 eval 'gateway_is_ready 2 && gateway_is_ready 3'
check "both gateways list the replicas" until_true 60 eval 'gateway_lists_replicas 2 4 && gateway_lists_replicas 3 4'

print_line "All slots are taken when a replica falls silent; the configuration changes and a gateway reloads its settings."
start_requests 28
start_stream once 3 once 100
start_stream large 2 search 200000
sleep 0.3
pause_replica 1 1.6 &
pause_pid=$!
pause_replica 3 1.6 &
request_pids+=($!)
for i in 1 2; do
    start_call "look-$i" $((i + 1)) look
    start_call "order-$i" $((i + 1)) order -d 'stone=3'
done
for version in 2 3 4 5; do
    sleep 0.3
    put_config "$version" $((300 + version))
done
sed -i 's/grace_s = 8/grace_s = 9/' "$work_dir/gateway-3.toml"
kill -HUP "${pids[gateway-3]}"
wait "$pause_pid"
put_config 6 300
wait "${request_pids[@]}"
check "all streams are complete" all_streams_complete
check "all calls get status 200" all_calls_succeed

print_line "No retry is left when a replica falls silent, and a gateway drains."
for i in 2 3; do
    printf '[retries]\nratio = 0\nslack = 0\n' >>"$work_dir/gateway-$i.toml"
    kill -HUP "${pids[gateway-$i]}"
done
check "both gateways reload their settings" until_true 30 eval 'for i in 2 3; do grep -c event=settings_changed "$work_dir/gateway-$i.log" | grep -q "[12]"; done'
start_requests 12
sleep 0.3
pause_replica 2 1.6 &
pause_pid=$!
start_call "look-1" 2 look
start_call "look-2" 3 look
put_config 7 301
sleep 0.5
kill "${pids[gateway-2]}"
wait "$pause_pid" "${request_pids[@]}"
check "all streams are complete" all_streams_complete
check "all calls get status 200" all_calls_succeed
print_sends
[ -z "${KEEP_LOGS:-}" ] || cp "$work_dir"/gateway-*.log "$KEEP_LOGS"

echo "silence tests: $passed_checks held, $failed_checks not held"
exit "$((failed_checks > 0))"

#!/usr/bin/env bash
# Runs gateways before replicas that crash when they run one certain request and restart under a new id at the same
# address. The request is sent again and again: beside harmless requests, while the store is away, to gateways that
# were paused, killed or started later. Ends with "crash tests: N held, N not held".
set -uo pipefail
cd "$(dirname "$0")/../.."
work_dir=$(mktemp -d)
base_port=22000
. bin/fleet.sh

replica_count=6
# The bounds of the rules: a fleet may lose three replicas to a request, and send it three more times later than this.
contact_s=3
max_crashes=3
max_late_sends=3

trap stop_fleet EXIT
request_count=0
send_request() { # gateway number, path, body; prints the HTTP status
    request_count=$((request_count + 1))
    curl -s -m 6 -o /dev/null -w '%{http_code}' "http://127.0.0.$1:$((base_port + 10))$2" -H 'Host: f.example' \
        -H "X-Arbutuspier-Attempt-Id: q$request_count-$RANDOM" -H 'X-Arbutuspier-Deadline-Ms: 5000' -d "$3"
}
send_crashing_requests() { # number of requests, gateway numbers...
    local count=$1 i gateway
    shift
    for i in $(seq "$count"); do
        for gateway in "$@"; do send_request "$gateway" /ask/7 saw-breaks >/dev/null; done
    done
}
send_harmless_requests() { # number of requests, gateway numbers...
    local count=$1 i gateway
    shift
    for i in $(seq "$count"); do
        for gateway in "$@"; do send_request "$gateway" /look/1 "question $request_count" >/dev/null; done
    done
}
crash_count() { cat "$work_dir"/supervisor-*.log | grep -c '^crashed by request'; }
is_at_most() { [ "$1" -le "$2" ]; }

start_process store build/standin --role store --port $((base_port + 1))
start_supervised_replicas "$replica_count" --crash_on saw-breaks
start_gateway 2
start_gateway 3
put_gateway_config '{"version":1,"routes":[
 {"host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":5000,"goalMs":1000,"service":"assist","maxAttempts":2,"public":true},
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":9000,"goalMs":3000,"service":"assist","maxAttempts":2,"resumable":true,"gapTargetMs":1000,"public":true}],
 "services":[{"name":"assist","maxConnections":100}]}'
check "both gateways become ready" until_true 60 eval 'gateway_is_ready 2 && gateway_is_ready 3'
check "both gateways list all replicas" until_true 60 eval 'gateway_lists_replicas 2 "$replica_count" && gateway_lists_replicas 3 "$replica_count"'
check "a harmless request gets status 200" test "$(send_request 2 /look/1 hello)" = 200

print_line "A request that crashes replicas is sent three times, by one gateway, one after the other."
send_crashing_requests 3 2
sleep 0.6
crashes_at_first=$(crash_count)
check "it crashes at least one replica" test "$crashes_at_first" -ge 1
check "it crashes at most $max_crashes replicas" is_at_most "$crashes_at_first" "$max_crashes"

print_line "The replicas restart at their addresses, and harmless requests reach them."
sleep 0.4
send_harmless_requests 20 2 3
sleep "$contact_s"
late_start=$(crash_count)
late_sends() { echo $(($(crash_count) - late_start)); }

print_line "The request is sent again, to both gateways."
send_crashing_requests 4 2 3
check "it crashes at most $max_late_sends replicas more" is_at_most "$(late_sends)" "$max_late_sends"

print_line "A gateway that starts now gets the request."
start_gateway 4
check "it becomes ready" until_true 60 gateway_is_ready 4
sleep 0.5
send_crashing_requests 4 4
print_line "   sent $(late_sends) times"
check "all gateways together send it at most $max_late_sends times" is_at_most "$(late_sends)" "$max_late_sends"

print_line "All gateways are killed and start again."
for i in 2 3 4; do kill_process "gateway-$i"; done
for i in 2 3 4; do start_gateway "$i"; done
check "they become ready" until_true 60 eval 'gateway_is_ready 2 && gateway_is_ready 3 && gateway_is_ready 4'
sleep 0.5
send_crashing_requests 3 2 3 4
print_line "   sent $(late_sends) times"
check "all gateways together send it at most $max_late_sends times" is_at_most "$(late_sends)" "$max_late_sends"

print_line "Another request crashes replicas while one gateway is paused; later that gateway gets it."
kill -STOP "${pids[gateway-3]}"
send_other_crashing_requests() { # number of requests, gateway number
    local i
    for i in $(seq "$1"); do send_request "$2" /ask/8 "the saw-breaks again" >/dev/null; done
}
crashes_before=$(crash_count)
send_other_crashing_requests 4 2
sleep "$contact_s"
kill -CONT "${pids[gateway-3]}"
sleep "$contact_s"
late_start=$(crash_count)
check "it crashes at most $max_crashes replicas" is_at_most "$((late_start - crashes_before))" "$max_crashes"
send_other_crashing_requests 4 3
check "the gateway that was paused rejects it" is_at_most "$(late_sends)" "$max_late_sends"
check "no gateway rejects harmless requests" test "$(send_request 3 /look/1 hello)" = 200
check "no other process used the ports of the replicas" all_supervised_replicas_listen

echo "crash tests: $passed_checks held, $failed_checks not held"
exit "$((failed_checks > 0))"

#!/usr/bin/env bash
# Runs four gateways with simulators of the metadata store and of six replicas on loopback. One gateway after the other
# gets SIGTERM under streams and orders, while the configuration changes; in the second part replicas are silent for a
# second now and then, in the third they put wrong bytes into some of their answers. Every request must get a whole
# answer, or a refusal that another gateway makes up for; in the third part no answer may be wrong.
# Ends with "drain tests: N held, N not held".
#   SECONDS_EACH=60 SEED=7 tests/process/drain.sh    a longer run; KEEP_LOGS=DIR keeps the logs of the gateways,
#   BASE_PORT=39000 lets several run at a time
set -uo pipefail
cd "$(dirname "$0")/../.."
work_dir=$(mktemp -d)
base_port=${BASE_PORT:-29000}
. bin/fleet.sh
trap stop_fleet EXIT

seconds_each=${SECONDS_EACH:-26}
seed=${SEED:-1}
gateways="2 3 4 5"
replicas="1 2 3 4 5 6"

# A gateway that ends is started again half a second later, under the same settings.
supervise_gateway() { # number
    trap 'kill -9 "$(cat "$work_dir/gateway-$1.pid")" 2>/dev/null; exit' TERM
    while [ -d "$work_dir" ]; do
        "$gate_program" --config "$work_dir/gateway-$1.toml" >>"$work_dir/gateway-$1.log" 2>&1 &
        echo $! >"$work_dir/gateway-$1.pid"
        wait $!
        echo "$?" >>"$work_dir/gateway-$1.ends"
        sleep 0.5
    done
}
start_supervised_gateway() { # number
    print_gateway_settings "$1" >"$work_dir/gateway-$1.toml"
    supervise_gateway "$1" >/dev/null 2>&1 &
    pids[supervisor-$1]=$!
    disown $!
}
all_gateways() { # command that takes a number
    local i
    for i in $gateways; do "$@" "$i" || return 1; done
}
lists_all_replicas() { gateway_lists_replicas "$1" 6; }
replica_pids() {
    local i
    for i in $replicas; do printf '%s,' "${pids[replica-$i]}"; done
}
gateway_urls() {
    local i
    for i in $gateways; do printf '%s,' "$(gateway_url "$i")"; done
}
replica_urls() {
    local i
    for i in $replicas; do printf 'http://127.0.0.1:%s,' $((base_port + 20 + i)); done
}
run_load() { # trouble
    print_line "Gateways are stopped one after the other; $1."
    python3 tests/process/drainload.py "$seed" "$seconds_each" "$1" "http://127.0.0.1:$((base_port + 1))" "$work_dir" \
        "$(gateway_urls)" "$(replica_pids)" "$(replica_urls)" >"$work_dir/report-$1"
    sed 's/^/   /' "$work_dir/report-$1"
}
play() { # trouble
    run_load "$1"
    check "every request gets a whole answer" grep -q ' lost=0 wrong=0 .*ask_whole=' "$work_dir/report-$1"
    check "gateways were stopped" grep -qE 'summary sigterms=[1-9]' "$work_dir/report-$1"
}
# An order whose answer is spoiled gets 502: it may have run, and must not run again.
play_spoiled() {
    run_load spoiled
    check "no answer is wrong" grep -q ' wrong=0 .*ask_whole=' "$work_dir/report-spoiled"
    check "answers were spoiled" grep -q 'order_502=' "$work_dir/report-spoiled"
    check "gateways found them" has_found_faulty_answers
}
spoiled_count() { cat "$work_dir"/replica-*.log | grep -c "^spoiled $1 "; }
has_found_faulty_answers() {
    local heads events
    heads=$(spoiled_count head)
    events=$(spoiled_count event)
    echo "   replicas spoiled $heads heads and $events events"
    [ "$heads" -gt 0 ] && [ "$events" -gt 0 ] &&
        grep -q 'event=attempt_failed .*cause="faulty event"' "$work_dir"/gateway-*.log &&
        grep -qE 'event=attempt_failed .*cause="(bad status|bad obs-fold|bad field|partial message)"' "$work_dir"/gateway-*.log
}
no_gateway_ended_otherwise() { ! cat "$work_dir"/gateway-*.ends 2>/dev/null | grep -qv '^0$'; }

start_process store build/standin --role store --port $((base_port + 1))
for i in $replicas; do
    start_process "replica-$i" build/standin --role replica --port $((base_port + 20 + i)) --id "i-$i" \
        --store_port $((base_port + 1)) --spoiler_seed $((seed * 10 + i))
done
for i in $gateways; do start_supervised_gateway "$i"; done
put_gateway_config '{"version":1,"routes":[
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":9000,"goalMs":500,"service":"assist","maxAttempts":2,"resumable":true,"gapTargetMs":300},
 {"host":"f.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":3000,"goalMs":500,"service":"assist","maxAttempts":1}],
 "services":[{"name":"assist","maxConnections":400}],"tenants":[{"name":"carvers","apiKeys":["saw-key"]}]}'
check "all gateways become ready" until_true 60 all_gateways gateway_is_ready
check "all gateways list the replicas" until_true 60 all_gateways lists_all_replicas
sleep 1

play calm
play silent
play_spoiled
check "no gateway ends otherwise than by its stop" no_gateway_ended_otherwise
[ -z "${KEEP_LOGS:-}" ] || cp "$work_dir"/gateway-*.log "$work_dir"/replica-*.log "$work_dir"/report-* "$KEEP_LOGS"

echo "drain tests: $passed_checks held, $failed_checks not held"
exit "$((failed_checks > 0))"

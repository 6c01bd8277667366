#!/usr/bin/env bash
# Runs four entry daemons with engine, service and platform simulators on loopback, and kills an engine, a
# daemon and the platform with SIGKILL. Ends with "process tests: N held, N not held".
set -uo pipefail
cd "$(dirname "$0")/../.."
work_dir=$(mktemp -d)
base_port=19000
. bin/fleet.sh
trap stop_fleet EXIT

start_fleet 4 6 60000
check "all four VMs become ready" all_vms_become_ready 4
sleep 1.5

print_line "An engine is killed while six streams run."
for i in 1 2 3 4 5 6; do
    stream_completion $((i % 4 + 1)) 120 "question $i about the batch" "$work_dir/stream-$i.txt" &
    stream_pids[i]=$!
done
sleep 0.6
crashed_engine=$(engine_with_one_request 1)
kill_process "${crashed_engine:-engine-1}"
wait "${stream_pids[@]}"
all_streams_complete() {
    local i
    for i in 1 2 3 4 5 6; do
        is_complete_stream "$work_dir/stream-$i.txt" 120 || return 1
    done
}
check "all six streams are complete" all_streams_complete
start_engine "${crashed_engine#engine-}" 60000

print_line "The platform loses its response to the write of an idempotency record."
set_platform_faults '{"lose_replies":1}'
# The time makes the idempotency keys of each execution of this script distinct.
key_prefix=$(date +%s)
check "the order gets a response with status 200" test "$(post_order 1 "$key_prefix-lost" "$work_dir/lost.txt")" = 200
check "the order ran exactly once" test "$(run_count_of_key "$key_prefix-lost")" = 1

print_line "The platform is down."
set_platform_faults '{"down":true}'
check "an order is rejected with status 503" test "$(post_order 2 "$key_prefix-down" "$work_dir/down.txt")" = 503
check "the rejection states that the order did not run" grep -q '"verdict":"not-run"' "$work_dir/down.txt"
check "the service never ran the order" test -z "$(run_count_of_key "$key_prefix-down")"
stream_completion 2 10 "a question during the outage" "$work_dir/outage.txt"
check "a prompt is served completely" is_complete_stream "$work_dir/outage.txt" 10
set_platform_faults '{}'
sleep 1
check "the same key gets status 200 after the outage" test "$(post_order 3 "$key_prefix-down" "$work_dir/again.txt")" = 200
check "the order with this key ran exactly once" test "$(run_count_of_key "$key_prefix-down")" = 1

print_line "The platform's process is killed and restarts with empty tables."
kill_process platform
stream_completion 3 10 "a question without the platform" "$work_dir/dead.txt"
check "a prompt is served completely" is_complete_stream "$work_dir/dead.txt" 10
start_platform
sleep 1

print_line "A daemon is killed while an order and a stream are in flight."
stream_completion 1 200 "a long answer" "$work_dir/cut.txt" &
stream_pid=$!
post_order 1 "$key_prefix-killed" "$work_dir/killed.txt" >/dev/null &
order_pid=$!
sleep 0.4
kill_process vm-1
wait "$stream_pid" "$order_pid"
post_order 2 "$key_prefix-killed" "$work_dir/retry.txt" >/dev/null
run_count=$(run_count_of_key "$key_prefix-killed")
check "the order ran at most once, although it was sent again with the same key" test "${run_count:-0}" -le 1
start_vm 1 6 60000
check "the next incarnation of the VM becomes ready" all_vms_become_ready 4
check "the reservations of the killed daemon are released" engine_memory_is_released 6

print_line "A suspect request, which crashes each engine that runs it, is sent four times."
running_engine_count() {
    local count=0 engine
    for engine in 1 2 3 4 5 6; do
        [ -n "${pids[engine-$engine]:-}" ] && is_running "engine-$engine" && count=$((count + 1))
    done
    echo "$count"
}
engines_before=$(running_engine_count)
for i in 1 2 3 4; do
    stream_completion 2 5 "POISON-THE-ENGINE" "$work_dir/suspect-$i.txt"
    sleep 0.3
done
print_line "   engines running: $engines_before before, $(running_engine_count) after"
check "it crashed at most two engines" test "$(running_engine_count)" -ge $((engines_before - 2))
check "the fourth request is rejected" grep -q '"reason\|quarantined' "$work_dir/suspect-4.txt"
stream_completion 3 10 "an innocent question" "$work_dir/innocent.txt"
check "other prompts are still served" is_complete_stream "$work_dir/innocent.txt" 10

print_line "Invalid requests are rejected without reaching an upstream."
status_without_prompt=$(curl -s -o "$work_dir/bad.txt" -w '%{http_code}' "$(caller_url 2)/v1/completions" -H "$auth_header" -d '{"model":"grain"}')
check "a request without a prompt is rejected with status 400" test "$status_without_prompt" = 400
check "the rejection states that it did not run" grep -q '"verdict":"not-run"' "$work_dir/bad.txt"
status_without_idempotency_key=$(curl -s -o /dev/null -w '%{http_code}' "$(caller_url 2)/services/orders/orders" -H "$auth_header" -d '{}')
check "an order without an idempotency key is rejected with status 400" test "$status_without_idempotency_key" = 400
status_without_api_key=$(curl -s -o /dev/null -w '%{http_code}' "$(caller_url 2)/v1/completions" -d '{}')
check "a request without an API key is rejected with status 401" test "$status_without_api_key" = 401

echo "process tests: $passed_checks held, $failed_checks not held"
exit "$((failed_checks > 0))"

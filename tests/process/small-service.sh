#!/usr/bin/env bash
# Runs gateways before a service of three replicas. A certain call crashes all three within a quarter of a second;
# others start at their addresses seconds later, the call comes again at every gateway, and configurations with other
# teams come meanwhile. Ends with "small service tests: N held, N not held".
set -uo pipefail
cd "$(dirname "$0")/../.."
work_dir=$(mktemp -d)
base_port=25000
restart_delays_s="2.6 2.8 3.0"
. bin/fleet.sh

replica_count=3
gateways="2 3 4 5"
# The bounds of the rules: a call may reach replicas three times more, refused or not, later than this after its third
# crash.
contact_ms=3000
counted_crashes=3
max_late_sends=3
min_sound_calls=20

trap stop_fleet EXIT
request_count=0
unavailable_rounds=0
send_call() { # gateway number, API key, body; prints the HTTP status
    request_count=$((request_count + 1))
    curl -s -m 3 -o /dev/null -w '%{http_code}\n' "http://127.0.0.$1:$((base_port + 10))/look/7" -H 'Host: f.example' \
        -H "X-Arbutuspier-Attempt-Id: c$request_count-$RANDOM" -H 'X-Arbutuspier-Deadline-Ms: 1000' \
        -H "Authorization: Bearer $2" -d "$3"
}
put_config() { # version, tenants
    put_gateway_config "{\"version\":$1,\"routes\":[{\"host\":\"f.example\",\"prefix\":\"/look/\",
        \"routeKind\":\"idempotent\",\"timeoutMs\":1000,\"goalMs\":150,\"service\":\"assist\",\"maxAttempts\":2}],
        \"services\":[{\"name\":\"assist\",\"maxConnections\":100}],\"tenants\":[$2]}"
}
crash_times() {
    cat "$work_dir"/supervisor-*.log | sed -n 's/^crashed by request .*at_ms=//p' | sort -n
}
crash_count() { crash_times | wc -l; }
sends_since() { # time in milliseconds since the epoch
    cat "$work_dir"/supervisor-*.log | sed -n 's/^got crashing request .*at_ms=//p' | awk -v since="$1" '$1 >= since' | wc -l
}
# Sends later than the contact time after the crash that decides; zero if there was no such crash.
late_sends() {
    local third
    third=$(crash_times | sed -n "${counted_crashes}p")
    if [ -z "$third" ]; then echo 0; else sends_since $((third + contact_ms)); fi
}
is_at_most() { [ "$1" -le "$2" ]; }
all_gateways_are_ready() {
    local i
    for i in $gateways; do gateway_is_ready "$i" || return 1; done
}
all_gateways_list_replicas() {
    local i
    for i in $gateways; do gateway_lists_replicas "$i" "$replica_count" || return 1; done
}
replica_accepts() { # number
    (exec 3<>"/dev/tcp/127.0.0.1/$((base_port + 20 + $1))") 2>/dev/null
}
# The list alone doesn't show this: it has the entries of crashed replicas until they lapse.
all_replicas_serve() {
    local i
    for i in $(seq "$replica_count"); do replica_accepts "$i" || return 1; done
    all_gateways_list_replicas
}
# The call comes at all gateways at once, twice at each.
send_crashing_calls() {
    local i
    for i in $gateways $gateways; do
        send_call "$i" saw-key "saw-breaks" >>"$work_dir/crashing-statuses" &
    done
    wait
}
send_sound_calls() { # file for the statuses
    local i round
    for round in 1 2 3; do
        for i in $gateways; do send_call "$i" saw-key "block $round" >>"$1" & done
        wait
    done
}
count_of() { # status, file
    grep -cx "$1" "$2"
}

start_process store build/standin --role store --port $((base_port + 1)) --replica_silence_ms 900
start_supervised_replicas "$replica_count" --crash_on saw-breaks --crash_delay_ms 45
for i in $gateways; do start_gateway "$i"; done
put_config 1 '{"name":"carvers","apiKeys":["saw-key"]}'
check "the gateways become ready" until_true 100 all_gateways_are_ready
check "they list all replicas" until_true 100 all_gateways_list_replicas
send_sound_calls "$work_dir/before"
check "all sound calls are answered" test "$(count_of 200 "$work_dir/before")" = 12

print_line "A call crashes all replicas; it comes again while others start at their addresses, and once they serve."
for version in 2 3 4 5 6 7; do
    send_crashing_calls
    put_config "$version" '{"name":"carvers","apiKeys":["saw-key"]},{"name":"cutters","apiKeys":["block-key-'"$version"'"]}'
    sleep 1
    send_crashing_calls
    until_true 100 all_replicas_serve || unavailable_rounds=$((unavailable_rounds + 1))
    send_sound_calls "$work_dir/after"
done
print_line "   $(crash_count) crashes, $(late_sends) late sends, statuses of the call: $(sort "$work_dir/crashing-statuses" | uniq -c | tr -s ' \n' ' ')"
check "replicas serve again each time" test "$unavailable_rounds" = 0
check "the call crashes all replicas" is_at_most "$counted_crashes" "$(crash_count)"
check "it reaches replicas at most $max_late_sends times more" is_at_most "$(late_sends)" "$max_late_sends"
print_line "   sound calls after the crashes: $(wc -l <"$work_dir/after"), answered: $(count_of 200 "$work_dir/after")"
check "enough sound calls were sent" is_at_most "$min_sound_calls" "$(wc -l <"$work_dir/after")"
check "at least nine in ten of them are answered" test $((10 * $(count_of 200 "$work_dir/after"))) -ge $((9 * $(wc -l <"$work_dir/after")))
check "no other process used the ports of the replicas" all_supervised_replicas_listen

echo "small service tests: $passed_checks held, $failed_checks not held"
exit "$((failed_checks > 0))"

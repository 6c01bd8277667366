#!/usr/bin/env bash
# Runs gateways before replicas in two zones, one of which is evacuated and taken back, in calm and while the store is
# unreachable; a gateway starts meanwhile, one is killed and starts again, one is paused.
# Ends with "evacuation tests: N held, N not held".
set -uo pipefail
cd "$(dirname "$0")/../.."
work_dir=$(mktemp -d)
base_port=28300
. bin/fleet.sh

replica_count=4
# The zone of the gateways, whose replicas get most requests.
replicas_of_north="3 4"
# The bound of the rule is 5 s; in calm, the fleet has to know an evacuation much sooner.
bound_ms=5000
max_learning_ms=1500

trap stop_fleet EXIT
now_ms() { date +%s%3N; }
is_at_most() { [ "$1" -le "$2" ]; }
change_evacuation() { # zone, "write" or "remove"
    local row write="" remove=""
    row=$(printf '{"tableName":"op","part":"","key":"evacuate/%s","data":"%s"}' "$1" "$(printf '{}' | base64 -w0)")
    if [ "$2" = write ]; then write=$row; else remove=$row; fi
    curl -s -o /dev/null "http://127.0.0.1:$((base_port + 1))/rows-tx" \
        -d "{\"expected\":[],\"write\":[$write],\"remove\":[$remove]}"
}
evacuated_zones() { # gateway number
    curl -s "http://127.0.0.$1:$((base_port + 13))/metrics" | sed -n 's/^arbutuspier_gate_evacuated_zones //p'
}
all_gateways_know() { # number of evacuated zones, gateway numbers...
    local count=$1 i
    shift
    for i in "$@"; do [ "$(evacuated_zones "$i")" = "$count" ] || return 1; done
}
arrivals() { # from, to; number of requests that reached the replicas of the zone
    local number
    for number in $replicas_of_north; do
        sed -n 's/^arrived at_ms=//p' "$work_dir/supervisor-$number.log"
    done | awk -v from="$1" -v to="$2" '$1 >= from && $1 < to { ++count } END { print count + 0 }'
}
send_requests() { # gateway number
    local i=0
    while [ -d "$work_dir" ]; do
        i=$((i + 1))
        curl -s -m 4 -o /dev/null -w "$1 %{http_code} at_ms=$(now_ms)\n" \
            "http://127.0.0.$1:$((base_port + 10))/look/$i" -H 'Host: f.example' \
            -H "X-Arbutuspier-Attempt-Id: r$1-$i-$RANDOM" -H 'X-Arbutuspier-Deadline-Ms: 3000' \
            -d "block $i" >>"$work_dir/statuses"
        sleep 0.03
    done
}
start_load() { # gateway number, worker
    send_requests "$1" &
    pids[load-$1-$2]=$!
    disown $!
}
all_gateways_are_ready() {
    local i
    for i in "$@"; do gateway_is_ready "$i" || return 1; done
}
answered_share() { # from, to; in per cent, of gateways 2 and 3
    awk -v from="$1" -v to="$2" '
        { split($3, time, "=") }
        ($1 == 2 || $1 == 3) && time[2] >= from && time[2] < to { ++sent; answered += $2 == 200 }
        END { print sent ? int(100 * answered / sent) : 0 }' "$work_dir/statuses"
}

start_process store build/standin --role store --port $((base_port + 1)) --replica_silence_ms 0
for i in 1 2 3 4; do
    zone=islands
    [ "$i" -le 2 ] || zone=north
    supervise_replica "$i" --zone "$zone" --events 6 >"$work_dir/supervisor-$i.log" 2>&1 &
    pids[supervisor-$i]=$!
    disown $!
done
for i in 2 3 4; do start_gateway "$i"; done
put_gateway_config '{"version":1,"routes":[
 {"host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":3000,"goalMs":500,"service":"assist","maxAttempts":2,"public":true}],
 "services":[{"name":"assist","maxConnections":100}]}'
check "the gateways become ready" until_true 100 all_gateways_are_ready 2 3 4
for i in 2 3 4; do check "gateway $i lists all replicas" until_true 60 gateway_lists_replicas "$i" "$replica_count"; done
# The standin logs arrivals once a limit was set; an empty one ends it.
for i in $replicas_of_north; do
    curl -s -o /dev/null "http://127.0.0.1:$((base_port + 20 + i))/limit" -d ""
done
for i in 2 3 4; do for worker in 1 2; do start_load "$i" "$worker"; done; done
sleep 2
check "the replicas of the zone get requests before" is_at_most 5 "$(arrivals 0 "$(now_ms)")"

print_line "A zone is evacuated; a gateway starts meanwhile, one is paused."
evacuated_at=$(now_ms)
change_evacuation north write
check "all gateways learn of it" until_true 50 all_gateways_know 1 2 3 4
learnt_at=$(now_ms)
print_line "   known after $((learnt_at - evacuated_at)) ms"
check "in time" is_at_most "$((learnt_at - evacuated_at))" "$max_learning_ms"
sleep 0.3
quiet_from=$(now_ms)
start_gateway 5
check "the gateway that starts becomes ready" until_true 100 gateway_is_ready 5
check "it knows then" all_gateways_know 1 5
start_load 5 1
kill -STOP "${pids[gateway-3]}"
sleep 2
kill -CONT "${pids[gateway-3]}"
sleep 2
check "nothing reaches the zone" test "$(arrivals "$quiet_from" "$(now_ms)")" = 0
print_line "   answered: $(answered_share "$quiet_from" "$(now_ms)") of 100"
check "the other zone takes the work" is_at_most 90 "$(answered_share "$quiet_from" "$(now_ms)")"

print_line "The store falls silent; a gateway is killed and starts again."
kill -STOP "${pids[store]}"
sleep 2
kill_process gateway-4
start_gateway 4
sleep 4
check "nothing reaches the zone" test "$(arrivals "$quiet_from" "$(now_ms)")" = 0
check "a gateway that has a configuration knows of the evacuation" all_gateways_know 1 2 3 4 5
kill -CONT "${pids[store]}"
check "all gateways are ready again" until_true 100 all_gateways_are_ready 2 3 4 5
sleep 1
check "they know of the evacuation" all_gateways_know 1 2 3 4 5
check "nothing has reached the zone" test "$(arrivals "$quiet_from" "$(now_ms)")" = 0

print_line "The other zone is evacuated too, and no zone is left."
change_evacuation islands write
check "all gateways learn of it" until_true 50 all_gateways_know 2 2 3 4 5
begin=$(now_ms)
reply=$(curl -s -m 4 -i -w '%{time_total}' "http://127.0.0.2:$((base_port + 10))/look/none" -H 'Host: f.example' \
    -H "X-Arbutuspier-Attempt-Id: n-$RANDOM" -H 'X-Arbutuspier-Deadline-Ms: 3000' -d none)
check "a request is rejected" grep -q ' 503 ' <<<"$reply"
check "with the time after which to retry" grep -qi '^retry-after: ' <<<"$reply"
check "at once" is_at_most "$(($(now_ms) - begin))" 1000
change_evacuation islands remove

print_line "The zones are taken back."
change_evacuation north remove
check "all gateways learn of it within the bound" until_true $((bound_ms / 100)) all_gateways_know 0 2 3 4 5
back_at=$(now_ms)
sleep 2
check "the zone gets requests again" is_at_most 5 "$(arrivals "$back_at" "$(now_ms)")"
check "the changes are logged" test "$(cat "$work_dir"/gateway-2.log | grep -c 'event=zone_returned')" -ge 2
check "no other process used the ports of the replicas" all_supervised_replicas_listen

echo "evacuation tests: $passed_checks held, $failed_checks not held"
exit "$((failed_checks > 0))"

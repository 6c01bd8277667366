#!/usr/bin/env bash
# Runs gateways before replicas that crash when they begin to write an answer to a prompt with a certain part, which is
# never its last. No two prompts are alike, and those with the part share their caller and their other parts with sound
# ones. Replicas are killed at the same time; gateways are paused, killed and started later.
# Ends with "prompt part tests: N held, N not held".
set -uo pipefail
cd "$(dirname "$0")/../.."
work_dir=$(mktemp -d)
base_port=23500
restart_delays_s="0.7 1.1 1.5 1.9"
. bin/fleet.sh

replica_count=8
first_part=5c1e07a2
middle_part=91bd3f06
front_part=e4402b7d
load_seed=41
# The bounds of the rules: a fleet has this long after the fifth crash, and may then send three more such requests;
# after twice that time, sound requests must begin half as often as before.
contact_ms=3000
counted_crashes=5
max_late_sends=3
min_window_requests=20
baseline_ms=5000
window_ms=5000
# Longest time for which a round waits for the window after its last crash.
max_round_ms=26000

trap stop_fleet EXIT
now_ms() { date +%s%3N; }
wait_until_ms() { # time in milliseconds since the epoch
    while [ "$(now_ms)" -lt "$1" ]; do sleep 0.05; done
}
set_traffic() { # lines for the load
    printf '%s\n' "$@" >"$work_dir/traffic.next"
    mv "$work_dir/traffic.next" "$work_dir/traffic"
}
crash_times() { # part
    cat "$work_dir"/supervisor-*.log | sed -n "s/^crashed part=$1 .*at_ms=//p" | sort -n
}
arrivals_since() { # part, time in milliseconds since the epoch
    cat "$work_dir"/supervisor-*.log | sed -n "s/^arrived part=$1 .*at_ms=//p" | awk -v since="$2" '$1 >= since' | wc -l
}
crash_count() { crash_times "$1" | wc -l; }
# The time of the fifth crash, or of the last if there are fewer; the start of the round if there is none.
decisive_crash_ms() { # part
    local time_ms
    time_ms=$(crash_times "$1" | head -n "$counted_crashes" | tail -n 1)
    echo "${time_ms:-$round_start}"
}
late_sends() { # part; zero if there were fewer crashes than the rule counts
    if [ "$(crash_count "$1")" -lt "$counted_crashes" ]; then
        echo 0
    else
        arrivals_since "$1" $(($(decisive_crash_ms "$1") + contact_ms))
    fi
}
# Sound requests sent in a span to gateways in touch: how many, how many began, how many were complete, how many were
# refused.
sound_counts() { # from, to, gateway numbers...
    local from=$1 to=$2
    shift 2
    awk -v from="$from" -v to="$to" -v gateways=" $* " '
        $1 == "sent" && $3 == "sound" && $5 >= from && $5 < to && index(gateways, " " $4 " ") {
            ++sent
            is_counted[$2] = 1
        }
        $1 == "ended" && is_counted[$2] {
            begun += $3 == 200 && $4 > 0
            complete += $3 == 200 && $4 == 10
            refused += $3 >= 400 && $3 != 502 && $3 != 504
        }
        END { print sent + 0, begun + 0, complete + 0, refused + 0 }' "$work_dir/requests.log"
}
is_at_most() { [ "$1" -le "$2" ]; }
begins_half_as_often() { # sent, begun, sent before, begun before
    [ $((2 * $2 * $3)) -ge $(($1 * $4)) ]
}
check_late_sends() { # part
    print_line "   $(crash_count "$1") crashes by the part, $(late_sends "$1") late sends"
    check "all gateways together send it at most $max_late_sends times more" is_at_most "$(late_sends "$1")" "$max_late_sends"
}
check_sound_requests() { # from, to, gateway numbers...
    local counts
    read -r -a counts <<<"$(sound_counts "$@")"
    print_line "   sound requests: ${counts[0]} sent, ${counts[1]} begun, ${counts[2]} complete, ${counts[3]} refused"
    check "enough sound requests were sent" is_at_most "$min_window_requests" "${counts[0]}"
    check "they begin at least half as often as before" begins_half_as_often "${counts[0]}" "${counts[1]}" "${baseline[0]}" "${baseline[1]}"
    check "none of them is refused" test "${counts[3]}" = 0
}
wait_for_window() { # part; until the window after its decisive crash has passed
    local latest=$(($(now_ms) + max_round_ms))
    while [ "$(now_ms)" -lt "$latest" ]; do
        [ "$(now_ms)" -ge $(($(decisive_crash_ms "$1") + 2 * contact_ms + window_ms)) ] && return
        sleep 0.2
    done
}
check_round() { # part, gateway numbers...
    local part=$1 window_start
    shift
    wait_for_window "$part"
    check "the part crashes replicas" is_at_most 1 "$(crash_count "$part")"
    check_late_sends "$part"
    window_start=$(($(decisive_crash_ms "$part") + 2 * contact_ms))
    # Requests that were just sent have time to begin.
    sleep 1
    check_sound_requests "$window_start" $((window_start + window_ms)) "$@"
}

# As on the platform, entries go after three heartbeats without one; the replicas write one every 300 ms.
start_process store build/standin --role store --port $((base_port + 1)) --replica_silence_ms 900
start_supervised_replicas "$replica_count" --prefill_ms 100 --crash_on_part "$middle_part,$front_part"
for i in 2 3 4; do start_gateway "$i"; done
put_gateway_config '{"version":1,"routes":[
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":9000,"goalMs":3000,"service":"assist","maxAttempts":2,"resumable":true,"gapTargetMs":1000,"sticky":true}],
 "services":[{"name":"assist","maxConnections":100}],"tenants":[{"name":"carvers","apiKeys":["saw-key"]}]}'
check "the gateways become ready" until_true 60 eval 'gateway_is_ready 2 && gateway_is_ready 3 && gateway_is_ready 4'
check "they list all replicas" until_true 60 eval 'gateway_lists_replicas 2 8 && gateway_lists_replicas 3 8 && gateway_lists_replicas 4 8'

print_line "Sound requests come at all gateways."
set_traffic "sound 6 2 3 4"
start_process load python3 tests/process/promptload.py "$work_dir" $((base_port + 10)) "$first_part" "$load_seed"
sleep 1
baseline_start=$(now_ms)
wait_until_ms $((baseline_start + baseline_ms))
set_traffic "sound 6 2 3"
sleep 1
read -r -a baseline <<<"$(sound_counts "$baseline_start" $((baseline_start + baseline_ms)) 2 3 4)"
print_line "   sound requests: ${baseline[0]} sent, ${baseline[1]} begun, ${baseline[2]} complete, ${baseline[3]} refused"
check "all of them begin" test "${baseline[0]}" = "${baseline[1]}"

print_line "Requests with a part in the middle crash replicas; others are killed, one gateway is paused, one starts."
kill -STOP "${pids[gateway-4]}"
round_start=$(now_ms)
set_traffic "sound 6 2 3" "middle:$middle_part 2 2 3"
sleep 0.6
kill_supervised_replicas 1
sleep 0.6
kill_supervised_replicas 2 3 4
sleep 1.6
kill_supervised_replicas 5
sleep 1.2
kill -CONT "${pids[gateway-4]}"
start_gateway 5
sleep 3
set_traffic "sound 6 2 3 4" "middle:$middle_part 2 2 3 4"
check "the gateway that starts later becomes ready" until_true 60 gateway_is_ready 5
sleep 0.5
set_traffic "sound 6 2 3 4 5" "middle:$middle_part 2 2 3 4 5"
check_round "$middle_part" 2 3 4

print_line "All gateways are killed and start again."
set_traffic ""
for i in 2 3 4 5; do kill_process "gateway-$i"; done
for i in 2 3 4 5; do start_gateway "$i"; done
check "they become ready" until_true 60 eval 'gateway_is_ready 2 && gateway_is_ready 3 && gateway_is_ready 4 && gateway_is_ready 5'
sleep 0.5
set_traffic "sound 6 2 3 4 5" "middle:$middle_part 2 2 3 4 5"
sleep 3
restart_window_start=$(now_ms)
sleep 4
check_late_sends "$middle_part"
check_sound_requests "$restart_window_start" $(($(now_ms) - 1000)) 2 3 4 5

round_start=$(now_ms)
print_line "Requests with another part, which stands first, crash replicas; others are killed."
set_traffic "sound 6 2 3 4 5" "middle:$middle_part 1 2 3 4 5" "first:$front_part 2 2 3 4 5"
sleep 0.6
kill_supervised_replicas 6
sleep 0.6
kill_supervised_replicas 7 8 1
check_round "$front_part" 2 3 4 5
check_late_sends "$middle_part"
check "no other process used the ports of the replicas" all_supervised_replicas_listen

print_line "Ends of the sound requests in the logs of the gateways, by outcome and reason:"
cat "$work_dir"/gateway-*.log | sed -nE 's/.*event=request_ended request=sound.* (outcome=[^ ]*) (reason=[^ ]*).*/   \1 \2/p' | sort | uniq -c
echo "prompt part tests: $passed_checks held, $failed_checks not held"
exit "$((failed_checks > 0))"

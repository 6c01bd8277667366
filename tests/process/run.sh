#!/usr/bin/env bash
# Real daemons and stand-ins on loopback; kill -9 of an engine, a daemon and the platform.
# Ends with "process tests: N held, N not held".
set -uo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
base=19000
. bin/fleet.sh
trap stop_fleet EXIT

start_fleet 4 6 60000
check "all four VMs are ready" all_ready 4
sleep 1.5

say "An engine is killed under six streams."
for i in 1 2 3 4 5 6; do
    stream $((i % 4 + 1)) 120 "question $i about the batch" "$work/stream-$i.txt" &
    readers[i]=$!
done
sleep 0.6
victim=$(running_engine 1)
kill_now "${victim:-engine-1}"
wait "${readers[@]}"
all_whole() {
    local i
    for i in 1 2 3 4 5 6; do
        is_whole "$work/stream-$i.txt" 120 || return 1
    done
}
check "all six answers are whole" all_whole
start_engine "${victim#engine-}" 60000

say "The store loses the reply to the record of an order."
faults '{"lose_replies":1}'
now=$(date +%s)
check "the order is answered" test "$(order 1 "$now-lost" "$work/lost.txt")" = 200
check "it ran once" test "$(runs_of "$now-lost")" = 1

say "The platform is down."
faults '{"down":true}'
check "an order is refused" test "$(order 2 "$now-down" "$work/down.txt")" = 503
check "the refusal says it did not run" grep -q '"verdict":"not-run"' "$work/down.txt"
check "it really did not run" test -z "$(runs_of "$now-down")"
stream 2 10 "a question during the outage" "$work/outage.txt"
check "prompts are served" is_whole "$work/outage.txt" 10
faults '{}'
sleep 1
check "the same key runs afterwards" test "$(order 3 "$now-down" "$work/again.txt")" = 200
check "and ran once" test "$(runs_of "$now-down")" = 1

say "The platform's process is killed and comes back empty."
kill_now platform
stream 3 10 "a question without the platform" "$work/dead.txt"
check "prompts are served" is_whole "$work/dead.txt" 10
start_platform
sleep 1

say "A daemon is killed while an order and a stream are in flight."
stream 1 200 "a long answer" "$work/cut.txt" &
reader=$!
order 1 "$now-killed" "$work/killed.txt" >/dev/null &
orderer=$!
sleep 0.4
kill_now vm-1
wait "$reader" "$orderer"
order 2 "$now-killed" "$work/retry.txt" >/dev/null
ran=$(runs_of "$now-killed")
check "the order ran at most once, also when asked again" test "${ran:-0}" -le 1
start_vm 1 6 60000
check "a new life of the VM is ready" all_ready 4
check "the other VMs free what the dead one held" engines_hold_nothing 6

say "A killer of engines is sent again and again."
engines_alive() {
    local n=0 e
    for e in 1 2 3 4 5 6; do
        [ -n "${pid[engine-$e]:-}" ] && is_running "engine-$e" && n=$((n + 1))
    done
    echo "$n"
}
before=$(engines_alive)
for i in 1 2 3 4; do
    stream 2 5 "POISON-THE-ENGINE" "$work/poison-$i.txt"
    sleep 0.3
done
say "   engines alive: $before before, $(engines_alive) after"
check "it took down two engines at most" test "$(engines_alive)" -ge $((before - 2))
check "it is refused now" grep -q '"reason\|quarantined' "$work/poison-4.txt"
stream 3 10 "an innocent question" "$work/innocent.txt"
check "others are served" is_whole "$work/innocent.txt" 10

say "A bad request touches no upstream."
bad=$(curl -s -o "$work/bad.txt" -w '%{http_code}' "$(caller 2)/v1/completions" -H "$key" -d '{"model":"grain"}')
check "it gets a clear 400" test "$bad" = 400
check "with the verdict" grep -q '"verdict":"not-run"' "$work/bad.txt"
nokey=$(curl -s -o /dev/null -w '%{http_code}' "$(caller 2)/services/orders/orders" -H "$key" -d '{}')
check "an order without a key is refused" test "$nokey" = 400
noteam=$(curl -s -o /dev/null -w '%{http_code}' "$(caller 2)/v1/completions" -d '{}')
check "a caller without a team is refused" test "$noteam" = 401

echo "process tests: $held held, $failures not held"
exit "$((failures > 0))"

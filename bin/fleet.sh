# Functions that start a small fleet on loopback; sourced by bin/demo, bin/bench-gate, bin/bench-process
# and the process tests. The caller sets $work_dir to an empty folder of its own, which stop_fleet deletes,
# and may set $base_port. Only processes started here are stopped, by process id.
zones=(north south islands)
declare -A pids
failed_checks=0
passed_checks=0
base_port=${base_port:-18000}
# The gateways' program; another one is for comparing builds.
gate_program=${GATE_PROGRAM:-build/arbutuspier-gate}
auth_header="Authorization: Bearer saw-key"
export ARBUTUSPIER_TOKEN=demo-token

print_line() { printf '%s\n' "$*"; }
check() { # description, then a command that succeeds if the check holds
    local description=$1
    shift
    if "$@"; then
        print_line "   held: $description"
        passed_checks=$((passed_checks + 1))
    else
        print_line "   DID NOT HOLD: $description"
        failed_checks=$((failed_checks + 1))
    fi
}
start_process() { # name, command...
    local name=$1
    shift
    "$@" >>"$work_dir/$name.log" 2>&1 &
    pids[$name]=$!
    disown "${pids[$name]}"
}
kill_process() { # name; sends SIGKILL
    kill -9 "${pids[$1]}" 2>/dev/null
    unset "pids[$1]"
}
is_running() { kill -0 "${pids[$1]}" 2>/dev/null; }
stop_fleet() {
    local name
    for name in "${!pids[@]}"; do
        kill "${pids[$name]}" 2>/dev/null
    done
    sleep 0.3
    for name in "${!pids[@]}"; do
        kill -9 "${pids[$name]}" 2>/dev/null
    done
    rm -rf "$work_dir"
}
caller_url() { echo "http://127.0.0.1:$((base_port + 100 + $1))"; }
ctl() { # VM number, arguments of arbutuspierctl...
    local vm=$1
    shift
    build/arbutuspierctl --admin "127.0.0.1:$((base_port + 200 + vm))" --editor demo "$@"
}
print_vm_settings() { # VM number, number of engines, KV-cache tokens of each engine
    local vm=$1 engines=$2 memory_tokens=$3 peer engine
    cat <<EOF
[vm]
id = $vm
zone = "${zones[$(((vm - 1) % 3))]}"
listen = "127.0.0.1:$((base_port + 100 + vm))"
admin = "127.0.0.1:$((base_port + 200 + vm))"
peer = "127.0.0.1:$((base_port + 300 + vm))"
[platform]
address = "127.0.0.1:$((base_port + 400))"
[security]
peer_key = "demo-peer-key"
ctl_token = "$ARBUTUSPIER_TOKEN"
[[teams]]
name = "saw"
class = "ask"
key = "saw-key"
EOF
    for peer in 1 2 3 4; do
        [ "$peer" = "$vm" ] && continue
        cat <<EOF
[[peers]]
id = $peer
zone = "${zones[$(((peer - 1) % 3))]}"
address = "127.0.0.1:$((base_port + 300 + peer))"
EOF
    done
    for engine in $(seq "$engines"); do
        cat <<EOF
[[upstreams]]
id = $engine
name = "engine-$engine"
kind = "engine"
target = "grain"
zone = "${zones[$(((engine - 1) % 3))]}"
address = "127.0.0.1:$((base_port + 500 + engine))"
memory_tokens = $memory_tokens
checks_fence = true
EOF
    done
    cat <<EOF
[[upstreams]]
id = 101
name = "orders-1"
kind = "service"
target = "orders"
zone = "north"
address = "127.0.0.1:$((base_port + 601))"
not_repeatable = ["POST /orders"]
EOF
}
start_platform() { start_process platform build/standin --role platform --port $((base_port + 400)); }
start_engine() { # number, KV-cache tokens, more flags of the simulator
    local number=$1 memory_tokens=$2
    shift 2
    start_process "engine-$number" build/standin --role engine --port $((base_port + 500 + number)) \
        --memory_tokens "$memory_tokens" "$@"
}
start_vm() { # VM number, number of engines, KV-cache tokens of each engine
    print_vm_settings "$@" >"$work_dir/vm-$1.toml"
    start_process "vm-$1" build/arbutuspierd --config "$work_dir/vm-$1.toml"
}
start_fleet() { # number of VMs, number of engines, KV-cache tokens of each engine, more engine flags
    local vms=$1 engines=$2 memory_tokens=$3 vm engine
    shift 3
    start_platform
    for engine in $(seq "$engines"); do
        start_engine "$engine" "$memory_tokens" "$@"
    done
    start_process orders-1 build/standin --role service --port $((base_port + 601))
    for vm in $(seq "$vms"); do
        start_vm "$vm" "$engines" "$memory_tokens"
    done
}
all_vms_become_ready() { # number of VMs
    local attempt vm ready
    for attempt in $(seq 100); do
        ready=0
        for vm in $(seq "$1"); do
            curl -sf -m 1 "$(caller_url "$vm")/readyz" >/dev/null && ready=$((ready + 1))
        done
        [ "$ready" = "$1" ] && return 0
        sleep 0.1
    done
    return 1
}
engine_memory_is_released() { # number of engines; waits until the running ones report no used KV-cache tokens
    local attempt engine used
    for attempt in $(seq 80); do
        used=0
        for engine in $(seq "$1"); do
            [ -n "${pids[engine-$engine]:-}" ] || continue
            used=$((used + $(curl -s "http://127.0.0.1:$((base_port + 500 + engine))/load" |
                grep -oE '"used_tokens":[0-9]+' | grep -oE '[0-9]+')))
        done
        [ "$used" = 0 ] && return 0
        sleep 0.1
    done
    return 1
}
is_complete_stream() { # file, number of tokens: ids 1 to that number, each once and in order, and the end marker
    [ "$(grep '^id: ' "$1" | cut -d' ' -f2)" = "$(seq 1 "$2")" ] && grep -q DONE "$1"
}
stream_completion() { # VM, number of tokens, prompt, output file
    curl -sN -m 60 "$(caller_url "$1")/v1/completions" -H "$auth_header" \
        -d "{\"model\":\"grain\",\"prompt\":\"$3\",\"max_tokens\":$2,\"stream\":true}" >"$4"
}
post_order() { # VM, idempotency key, output file; prints the HTTP status
    curl -s -m 15 -o "$3" -w '%{http_code}' "$(caller_url "$1")/services/orders/orders" -H "$auth_header" \
        -H "Idempotency-Key: $2" -d '{"blank":"soapstone","count":3}'
}
run_count_of_key() { # idempotency key; prints how often the service ran it, nothing if it never did
    curl -s "http://127.0.0.1:$((base_port + 601))/runs" | grep -oE "\"$1\":[0-9]+" | grep -oE '[0-9]+$'
}
set_platform_faults() { # JSON object; {} ends all faults
    curl -s -o /dev/null "http://127.0.0.1:$((base_port + 400))/faults" -d "$1"
}
engine_with_one_request() { # VM; prints the first engine at which this VM has exactly one active request
    ctl "$1" --json upstreams | tr -d '\n ' |
        grep -oE '"in_flight":1,[^}]*"name":"engine-[0-9]+"' | grep -oE 'engine-[0-9]+' | head -1
}
until_true() { # most attempts, 0.1 s apart, command...
    local attempts=$1
    shift
    for _ in $(seq "$attempts"); do
        "$@" && return 0
        sleep 0.1
    done
    return 1
}
# Gateways: number N listens on 127.0.0.N and reads the store at $base_port + 1.
gateway_url() { # number
    echo "http://127.0.0.$1:$((base_port + 10))"
}
gateway_is_ready() { # number
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.$1:$((base_port + 11))/readyz")" = 200 ]
}
gateway_lists_replicas() { # number, number of replicas. Without grep -q, which closes the pipe early.
    curl -s "http://127.0.0.$1:$((base_port + 13))/metrics" | grep -x "arbutuspier_gate_replicas $2" >/dev/null
}
print_gateway_settings() { # number
    cat <<TOML
[vm]
name = "edge-$1"
zone = "north"
[listen]
callers = "127.0.0.$1:$((base_port + 10))"
readiness = "127.0.0.$1:$((base_port + 11))"
peers = "127.0.0.$1:$((base_port + 12))"
metrics = "127.0.0.$1:$((base_port + 13))"
relays = "127.0.0.$1:$((base_port + 14))"
[peers]
seeds = ["127.0.0.2:1", "127.0.0.3:1"]
[platform]
store = "127.0.0.1:$((base_port + 1))"
[bounds]
drain_ms = 2000
config_ms = 2000
grace_s = 8
TOML
}
start_gateway() { # number
    print_gateway_settings "$1" >"$work_dir/gateway-$1.toml"
    start_process "gateway-$1" "$gate_program" --config "$work_dir/gateway-$1.toml"
}
put_gateway_config() { # JSON
    local row
    row=$(printf '{"tableName":"op","part":"","key":"config","data":"%s"}' "$(printf '%s' "$1" | base64 -w0)")
    curl -s -o /dev/null "http://127.0.0.1:$((base_port + 1))/rows-tx" -d "{\"expected\":[],\"write\":[$row],\"remove\":[]}"
}
# Replicas under supervision: number N listens on port $base_port + 20 + N and starts again after it ended, under a new
# id. stop_fleet ends supervisors and replicas. The caller may set $restart_delays_s, of which each start takes its turn.
restart_delays_s=${restart_delays_s:-0.7}
supervise_replica() { # number, more flags of the simulator
    local number=$1 start=0 delays=($restart_delays_s)
    shift
    trap 'kill -9 $! 2>/dev/null; exit' TERM
    while [ -d "$work_dir" ]; do
        start=$((start + 1))
        build/standin --role replica --port $((base_port + 20 + number)) --id "i-$number-$start" \
            --store_port $((base_port + 1)) "$@" &
        echo $! >"$work_dir/replica-$number.pid"
        wait $!
        sleep "${delays[$(((number + start) % ${#delays[@]}))]}" &
        wait $!
    done
}
start_supervised_replicas() { # number of replicas, more flags of the simulator
    local i count=$1
    shift
    for i in $(seq "$count"); do
        supervise_replica "$i" "$@" >"$work_dir/supervisor-$i.log" 2>&1 &
        pids[supervisor-$i]=$!
        disown $!
    done
}
kill_supervised_replicas() { # numbers of replicas
    local number
    for number in "$@"; do kill -9 "$(cat "$work_dir/replica-$number.pid")" 2>/dev/null; done
}
all_supervised_replicas_listen() { # false if one could not, as another process uses its port
    ! cat "$work_dir"/supervisor-*.log | grep -F 'Address already in use' >/dev/null
}

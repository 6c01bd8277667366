# Functions that start a small fleet on loopback; sourced by bin/demo, bin/bench-process and the
# process tests. Needs $work, a folder of its own; stops everything it started, by process id.
zones=(north south islands)
declare -A pid
failures=0
held=0
base=${base:-18000}
key="Authorization: Bearer saw-key"
export ARBUTUSPIER_TOKEN=demo-token

say() { printf '%s\n' "$*"; }
check() { # description, then a command
    local what=$1
    shift
    if "$@"; then
        say "   held: $what"
        held=$((held + 1))
    else
        say "   DID NOT HOLD: $what"
        failures=$((failures + 1))
    fi
}
start() { # name, command...
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pid[$name]=$!
    disown "${pid[$name]}"
}
kill_now() { # name
    kill -9 "${pid[$1]}" 2>/dev/null
    unset "pid[$1]"
}
is_running() { kill -0 "${pid[$1]}" 2>/dev/null; }
stop_fleet() {
    local name
    for name in "${!pid[@]}"; do
        kill "${pid[$name]}" 2>/dev/null
    done
    sleep 0.3
    for name in "${!pid[@]}"; do
        kill -9 "${pid[$name]}" 2>/dev/null
    done
    rm -rf "$work"
}
caller() { echo "http://127.0.0.1:$((base + 100 + $1))"; }
ctl() { # VM number, words...
    local vm=$1
    shift
    build/arbutuspierctl --admin "127.0.0.1:$((base + 200 + vm))" --editor demo "$@"
}
settings() { # VM number, engines, memory of each
    local vm=$1 engines=$2 memory=$3 other engine
    cat <<EOF
[vm]
id = $vm
zone = "${zones[$(((vm - 1) % 3))]}"
listen = "127.0.0.1:$((base + 100 + vm))"
admin = "127.0.0.1:$((base + 200 + vm))"
peer = "127.0.0.1:$((base + 300 + vm))"
[platform]
address = "127.0.0.1:$((base + 400))"
[security]
peer_key = "demo-peer-key"
ctl_token = "$ARBUTUSPIER_TOKEN"
[[teams]]
name = "saw"
class = "ask"
key = "saw-key"
EOF
    for other in 1 2 3 4; do
        [ "$other" = "$vm" ] && continue
        cat <<EOF
[[peers]]
id = $other
zone = "${zones[$(((other - 1) % 3))]}"
address = "127.0.0.1:$((base + 300 + other))"
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
address = "127.0.0.1:$((base + 500 + engine))"
memory_tokens = $memory
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
address = "127.0.0.1:$((base + 601))"
not_repeatable = ["POST /orders"]
EOF
}
start_platform() { start platform build/standin --role platform --port $((base + 400)); }
start_engine() { # number, memory, more flags
    local number=$1 memory=$2
    shift 2
    start "engine-$number" build/standin --role engine --port $((base + 500 + number)) \
        --memory_tokens "$memory" "$@"
}
start_vm() { # number, engines, memory
    settings "$@" >"$work/vm-$1.toml"
    start "vm-$1" build/arbutuspierd --config "$work/vm-$1.toml"
}
start_fleet() { # VMs, engines, memory, more engine flags
    local vms=$1 engines=$2 memory=$3 vm engine
    shift 3
    start_platform
    for engine in $(seq "$engines"); do
        start_engine "$engine" "$memory" "$@"
    done
    start orders-1 build/standin --role service --port $((base + 601))
    for vm in $(seq "$vms"); do
        start_vm "$vm" "$engines" "$memory"
    done
}
all_ready() { # VMs
    local try vm ready
    for try in $(seq 100); do
        ready=0
        for vm in $(seq "$1"); do
            curl -sf -m 1 "$(caller "$vm")/readyz" >/dev/null && ready=$((ready + 1))
        done
        [ "$ready" = "$1" ] && return 0
        sleep 0.1
    done
    return 1
}
engines_hold_nothing() { # engines
    local try engine used
    for try in $(seq 80); do
        used=0
        for engine in $(seq "$1"); do
            [ -n "${pid[engine-$engine]:-}" ] || continue
            used=$((used + $(curl -s "http://127.0.0.1:$((base + 500 + engine))/load" |
                grep -oE '"used_tokens":[0-9]+' | grep -oE '[0-9]+')))
        done
        [ "$used" = 0 ] && return 0
        sleep 0.1
    done
    return 1
}
is_whole() { # file, tokens
    [ "$(grep '^id: ' "$1" | cut -d' ' -f2)" = "$(seq 1 "$2")" ] && grep -q DONE "$1"
}
stream() { # VM, tokens, prompt, file
    curl -sN -m 60 "$(caller "$1")/v1/completions" -H "$key" \
        -d "{\"model\":\"grain\",\"prompt\":\"$3\",\"max_tokens\":$2,\"stream\":true}" >"$4"
}
order() { # VM, key, file
    curl -s -m 15 -o "$3" -w '%{http_code}' "$(caller "$1")/services/orders/orders" -H "$key" \
        -H "Idempotency-Key: $2" -d '{"blank":"soapstone","count":3}'
}
runs_of() { # key
    curl -s "http://127.0.0.1:$((base + 601))/runs" | grep -oE "\"$1\":[0-9]+" | grep -oE '[0-9]+$'
}
faults() { # json
    curl -s -o /dev/null "http://127.0.0.1:$((base + 400))/faults" -d "$1"
}
running_engine() { # VM
    ctl "$1" --json upstreams | tr -d '\n ' |
        grep -oE '"in_flight":1,[^}]*"name":"engine-[0-9]+"' | grep -oE 'engine-[0-9]+' | head -1
}

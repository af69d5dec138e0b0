# Functions of the tests of the platform's interface with real processes: the
# stand-in for the platform, daemons on loopback, and calls of their callers.
# Sourced from the root of the repository.
BUILD=${BUILD:-build}
dir=$(mktemp -d)
finish() {
    # Ids of ended processes may have been reused for other processes.
    for pid in $(jobs -pr); do kill "$pid" 2>/dev/null; done
    wait 2>/dev/null
    [ -n "${KEEP:-}" ] && echo "logs: $dir" || rm -rf "$dir"
}
trap finish EXIT
fail() {
    for log in "$dir"/*.log; do
        echo "== $(basename "$log")"
        tail -n 8 "$log"
    done
    grep '^violation ' "$dir/platform.log"
    echo "FAILED $1"
    exit 1
}


# Starts the stand-in with $dir/config.json; commands go to $dir/platform.in.
start_platform() {
    mkfifo "$dir/platform.in"
    exec 8<>"$dir/platform.in"
    "$BUILD/curlewcart-platform" --config "$dir/config.json" >"$dir/platform.log" \
        2>&1 <&8 &
    platform=$!
    for _ in $(seq 100); do
        store=$(sed -n 's/^store=//p' "$dir/platform.log")
        [ -n "$store" ] && break
        sleep 0.05
    done
    [ -n "$store" ] || fail "the stand-in does not listen"
}

platform_command() { echo "$*" >&8; } # COMMAND...

start_vm() { # INDEX
    local i=$1
    rm -f "$dir/vm$i.ports"
    cat >"$dir/vm$i.yaml" <<YAML
vm: vm$i
dc: z
listen:
    callers: "127.0.0.1:0"
    ready: "127.0.0.1:0"
    inner: "127.0.0.1:0"
store: "$store"
bounds: {lease_ms: 6000, grace_s: 6, retain_s: 120, member_ttl_ms: 1000}
ports_file: $dir/vm$i.ports
YAML
    "$BUILD/curlewcart" serve --settings "$dir/vm$i.yaml" >>"$dir/vm$i.log" 2>&1 &
    vm_pid[i]=$!
}
port() { sed -n "s/^$2=//p" "$dir/vm$1.ports" 2>/dev/null; } # INDEX NAME
url() { echo "http://127.0.0.1:$(port "$1" callers)"; }
wait_ready() { # INDEX
    for _ in $(seq 100); do
        [ "$(curl -s -o /dev/null -w '%{http_code}' \
            "http://127.0.0.1:$(port "$1" ready)/ready")" = 200 ] &&
            return
        sleep 0.1
    done
    fail "vm$1 is not ready"
}
vm_pid=()

expect_status() { # EXPECTED ARGS...
    local expected=$1 status
    shift
    status=$(curl -s -o "$dir/answer" -w '%{http_code}' \
        -H "X-Credential: ${key:-key}" "$@")
    [ "$status" = "$expected" ] || fail "$* answered $status, not $expected"
}
submit() { # VM QUEUE ID BODY
    expect_status 200 -X POST -d "$4" "$(url "$1")/$2/$3"
}
wait_state() { # VM QUEUE ID STATE
    for _ in $(seq 200); do
        curl -s -H 'X-Credential: key' "$(url "$1")/$2/$3" | grep -q "$4" &&
            return
        sleep 0.1
    done
    fail "$3 is not $4"
}

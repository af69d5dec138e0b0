# Functions that start a small deployment on loopback: the stand-in for the
# platform's store and workers, and daemons in three data centres that serve
# the project's own interface.  Sourced by the demo and the tests with real
# processes.  The kernel assigns the ports; only processes started here are
# ended, by their ids.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
CW=${CW:-$BUILD/curlewcart}
PLATFORM_STANDIN=$ROOT/build/curlewcart-platform
DCS=(hall-olbin hall-krzyki hall-psie-pole)
declare -A PID CALLERS STORE_OF

# Keeps the logs of a failed test and prints their directory, and of each task
# that a worker reported a violation for, the lines of the workers' trace.
keep_logs() {
    local task
    KEEP=1
    echo "logs=$DIR"
    grep '^violation' "$DIR/trace" | sed 's/.*task=//' | sort -u |
        while read -r task; do grep -wF "task=$task" "$DIR/trace"; done
}

die() {
    echo "$*" >&2
    [ ! -e "${DIR:-}/trace" ] || keep_logs >&2
    exit 1
}

# await SECONDS COMMAND...: retries a command until it succeeds; fails after
# SECONDS.
await() {
    local tries=$(($1 * 20))
    shift
    for ((i = 0; i < tries; i++)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    return 1
}

# The system reuses the ids of ended processes, perhaps for a process of another
# test run: only a child that this shell still has is signalled.
is_running() { # NAME
    [[ " $(jobs -pr | tr '\n' ' ')" == *" ${PID[$1]:-none} "* ]]
}

signal_to() { # SIGNAL NAME
    is_running "$2" && kill "-$1" "${PID[$2]}" 2>/dev/null
}

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }

end_all() {
    local name
    for name in "${!PID[@]}"; do
        signal_to CONT "$name"
        signal_to KILL "$name"
    done
    wait 2>/dev/null
    [ -n "${KEEP:-}" ] || rm -rf "$DIR"
}

setup_dir() {
    DIR=$(mktemp -d)
    trap end_all EXIT
    umask 077
    head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$DIR/seal.key"
    echo "operator-token" >"$DIR/operator.token"
    OPERATOR_HASH=$("$CW" token hash <"$DIR/operator.token")
    EWA=$("$CW" key new --out "$DIR/ewa.key")
    TASHI=$("$CW" key new --out "$DIR/tashi.key")
    ACCOUNTS=(consular desks partners reminders)
    for account in "${ACCOUNTS[@]}"; do
        echo "token-$account" >"$DIR/$account.token"
    done
}

# ---- links through the proxy, which injects faults (tools/proxy) ----

start_proxy() {
    mkfifo "$DIR/proxy.in"
    "$BUILD/curlewcart-proxy" <"$DIR/proxy.in" >"$DIR/proxy.out" &
    PID[proxy]=$!
    exec 9>"$DIR/proxy.in"
}

# add_link NAME HOST:PORT: prints the proxy's port that forwards to it.
add_link() {
    echo "add $1 $2" >&9
    await 5 grep -q "^$1 " "$DIR/proxy.out" || die "no link $1"
    sed -n "s/^$1 //p" "$DIR/proxy.out" | head -1
}

proxy_command() { echo "$*" >&9; } # COMMAND...: as at the head of proxy.c

# Adds a link to each worker.  The stand-in prints its workers' addresses and
# waits for the file with the links.
link_workers() { # COUNT
    await 5 eval "[ \$(grep -c ^worker= '$DIR/trace') = $1 ]" ||
        die "no workers"
    sed -n 's/^worker=/add worker./p' "$DIR/trace" >&9
    await 5 eval "[ \$(grep -c '^worker\.' '$DIR/proxy.out') = $1 ]" ||
        die "no links"
    grep '^worker\.' "$DIR/proxy.out" >"$DIR/worker-links.new"
    mv "$DIR/worker-links.new" "$DIR/worker-links"
}

# start_platform WORKERS_PER_RACK RACKS: starts the stand-in with so many racks
# in each data centre.  It writes the starts and ends of tasks at its workers to
# $DIR/trace.  If start_proxy was called before, the workers are reached through
# the proxy.  With NO_BOOT_TIMES, they do not tell when they booted.
start_platform() {
    local dc rack i
    mkfifo "$DIR/platform.in"
    exec 8<>"$DIR/platform.in"
    "$PLATFORM_STANDIN" --dcs "$(IFS=,; echo "${DCS[*]}")" --racks "$2" \
        --per-rack "$1" ${NO_BOOT_TIMES:+--no-boot-times} \
        ${PID[proxy]:+--proxy "$DIR/worker-links"} \
        <"$DIR/platform.in" >"$DIR/trace" 2>"$DIR/platform.err" &
    PID[platform]=$!
    [ -z "${PID[proxy]:-}" ] || link_workers $(($1 * $2 * ${#DCS[@]}))
    await 5 grep -q '^store=' "$DIR/trace" || die "platform did not start"
    STORE=$(sed -n 's/^store=//p' "$DIR/trace")
    WORKERS_YAML=""
    for dc in "${DCS[@]}"; do
        for ((rack = 1; rack <= $2; rack++)); do
            for ((i = 1; i <= $1; i++)); do
                WORKERS_YAML+="  - {name: $dc-r$rack-w$i, dc: $dc, \
rack: $dc-r$rack, address: \"127.0.0.1:1\", accelerators: 8, cores: 32, \
memory_mb: 131072, slots: 8, connections: 64}"$'\n'
            done
        done
    done
}

# A command of the stand-in: as at the head of platform_standin.c.
platform_command() { echo "$*" >&8; } # COMMAND...

# Ends a worker for good: nothing answers at its address any more.
lose_worker() { # NAME
    proxy_command "cut worker.$1 both"
    platform_command "lose $1"
}

make_store_unavailable() { signal_to USR1 platform; }
make_store_available() { signal_to USR2 platform; }

# Sets VMS, an array of "VM:DC", and NAMES, an array of the VMs.
set_vm_names() { # COUNT
    local i
    VMS=(olbin-1:hall-olbin olbin-2:hall-olbin krzyki-1:hall-krzyki
        krzyki-2:hall-krzyki psie-1:hall-psie-pole)
    for ((i = ${#VMS[@]}; i < $1; i++)); do
        VMS+=("vm-$i:${DCS[$((i % 3))]}")
    done
    NAMES=("${VMS[@]%%:*}")
}

dc_of() { printf '%s\n' "${VMS[@]}" | sed -n "s/^$1://p"; }

write_settings() { # VM DC
    cat >"$DIR/$1.yaml" <<END
vm: $1
dc: $2
listen:
  api: "127.0.0.1:${CALLERS[$1]:-0}"
  inner: "127.0.0.1:0"
  metrics: "127.0.0.1:0"
store: "${STORE_OF[$1]:-$STORE}"
bounds: {lease_ms: 6000, grace_s: ${GRACE_S:-20}, retain_s: 3600, member_ttl_ms: 1000}
api:
  service: service
  operator_token_hash: "$OPERATOR_HASH"
  seal_key_file: $DIR/seal.key
  trusted_operators:
    - {name: ewa, public_key: "$EWA"}
  threads: ${THREADS:-2}
log_level: ${LOG_LEVEL:-info}
ports_file: $DIR/$1.ports
END
}

start_daemon() { # VM DC
    rm -f "$DIR/$1.ports"
    write_settings "$1" "$2"
    "$CW" serve --settings "$DIR/$1.yaml" >>"$DIR/$1.log" 2>&1 &
    PID[$1]=$!
    await 5 test -s "$DIR/$1.ports" || die "$1 did not start"
    CALLERS[$1]=$(sed -n 's/^callers=//p' "$DIR/$1.ports")
}

restart_daemon() { # VM: does nothing if it is still running
    is_running "$1" && return
    start_daemon "$1" "$(dc_of "$1")"
}

url() { echo "http://127.0.0.1:${CALLERS[$1]}"; }

write_bundle() { # FILE GUARANTEE RACK_BLOCK
    local account dc
    {
        echo "policy: {signatures: 1}"
        echo "dcs:"
        for dc in "${DCS[@]}"; do echo "  - {name: $dc}"; done
        echo "workers:"
        printf '%s' "$WORKERS_YAML"
        echo "accounts:"
        for account in "${ACCOUNTS[@]}"; do
            echo "  - name: $account"
            echo "    token_hash: \"$("$CW" token hash <"$DIR/$account.token")\""
            echo "    weight: 1"
            echo "    dcs: [hall-olbin, hall-krzyki, hall-psie-pole]"
            echo "    guarantees:"
            for dc in "${DCS[@]}"; do
                echo "      - {dc: $dc, accelerators: $2, rack_block: $3}"
            done
        done
        echo "operators:"
        echo "  - {name: ewa, public_key: \"$EWA\"}"
        echo "  - {name: tashi, public_key: \"$TASHI\"}"
    } >"$1"
}

operator() { # VM COMMAND...
    local vm=$1
    shift
    "$CW" "$@" --server "$(url "$vm")" --token-file "$DIR/operator.token"
}

accept_bundle() { # VM FILE
    operator "$1" bundle propose "$2" --out "$DIR/proposal" &&
        operator "$1" bundle sign "$DIR/proposal" --operator ewa \
            --key-file "$DIR/ewa.key" &&
        operator "$1" bundle accept "$DIR/proposal"
}

# submit VM ACCOUNT JSON [WAIT_MS]: prints the answer as JSON.
submit() {
    echo "$3" | "$CW" submit --server "$(url "$1")" --account "$2" \
        --token-file "$DIR/$2.token" --wait-ms "${4:-30000}" --output json
}

query() { # VM ACCOUNT ID [WAIT_MS]
    "$CW" wait "$3" --server "$(url "$1")" --account "$2" \
        --token-file "$DIR/$2.token" --wait-ms "${4:-30000}" --output json
}

# field FILE NAME: prints a field of an answer in a file.
field() { sed -n "s/^  \"$2\": \"\{0,1\}\([^\",]*\).*/\1/p" "$1" | head -1; }

outcome_of() { sed -n 's/^  "outcome": "\(.*\)",*$/\1/p' <<<"$1"; }

all_ready() { # VM...
    local vm
    for vm in "$@"; do
        curl -sf "$(url "$vm")/healthz" >/dev/null || return 1
    done
}

decider_of() { # VM...: prints the one that makes the decisions
    local vm
    for vm in "$@"; do
        [ -n "${PID[$vm]:-}" ] &&
            operator "$vm" status --output json 2>/dev/null |
            grep -qE '^  "deciding": true' && echo "$vm" && return
    done
}

one_decides() { [ -n "$(decider_of "$@")" ]; }

# logged EVENT: prints how often all daemons logged an event.
logged() { cat "$DIR"/*.log | grep -c " event=$1 "; }

call() { # METHOD PATH ACCOUNT [BODY]: prints the answer's JSON
    curl -s -m 4 -X "$1" -H "X-Curlewcart-Account: $3" \
        -H "Authorization: Bearer token-$3" ${4:+-d "$4"} "$2"
}

# json_value JSON NAME: prints a string or number of an object.
json_value() { sed -n "s/.*\"$2\": *\"\{0,1\}\([a-z0-9_]*\).*/\1/p" <<<"$1"; }

# Limit of scripts/still on the time during which no task of a job runs: 3 s,
# and a margin because the measurement runs on the same machine: the stand-in
# works in steps of 20 ms and waits for a core.
STILL_LIMIT_MS=3250

# job_of ACCOUNT ID: prints the job's name, by which workers know a request.
job_of() { printf '%s/%s' "$1" "$2" | b2sum -l 128 | cut -c1-16; }

# runs_of JOB: prints how often each of its tasks was started, highest count
# first.
runs_of() {
    grep "^started task=$1\." "$DIR/trace" | awk '{ n[$2]++ }
        END { for (t in n) print n[t] }' | sort -rn
}

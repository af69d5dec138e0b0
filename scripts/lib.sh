# Functions that start a small deployment on loopback: the stand-in for the
# platform's store and workers, and daemons in three data centres that serve
# the project's own interface.  Sourced by the demo and the tests with real
# processes.  Ports come from the kernel; only processes started here are
# ended, by their ids.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
CW=${CW:-$BUILD/curlewcart}
PLATFORM_STANDIN=$ROOT/build/curlewcart-platform
DCS=(hall-olbin hall-krzyki hall-psie-pole)
declare -A PID CALLERS STORE_OF

die() {
    echo "$*" >&2
    exit 1
}

# Waits until a command succeeds: await SECONDS COMMAND...
await() {
    local tries=$(($1 * 20))
    shift
    for ((i = 0; i < tries; i++)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    return 1
}

# The system gives the ids of ended processes to others, perhaps of another
# run: a signal goes only to a child that this shell still has.
runs() { # NAME
    [[ " $(jobs -pr | tr '\n' ' ')" == *" ${PID[$1]:-none} "* ]]
}

signal_to() { # SIGNAL NAME
    runs "$2" && kill "-$1" "${PID[$2]}" 2>/dev/null
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

# ---- links that misbehave (tools/proxy) ----

start_proxy() {
    mkfifo "$DIR/proxy.in"
    "$BUILD/curlewcart-proxy" <"$DIR/proxy.in" >"$DIR/proxy.out" &
    PID[proxy]=$!
    exec 9>"$DIR/proxy.in"
}

# link NAME HOST:PORT: prints the port that leads there.
link() {
    echo "add $1 $2" >&9
    await 5 grep -q "^$1 " "$DIR/proxy.out" || die "no link $1"
    sed -n "s/^$1 //p" "$DIR/proxy.out" | head -1
}

misbehave() { echo "$*" >&9; }

# The stand-in tells where its workers listen and waits for the links.
link_workers() { # COUNT
    await 5 eval "[ \$(grep -c ^worker= '$DIR/trace') = $1 ]" ||
        die "no workers"
    sed -n 's/^worker=/add worker./p' "$DIR/trace" >&9
    await 5 eval "[ \$(grep -c '^worker\.' '$DIR/proxy.out') = $1 ]" ||
        die "no links"
    grep '^worker\.' "$DIR/proxy.out" >"$DIR/worker-links.new"
    mv "$DIR/worker-links.new" "$DIR/worker-links"
}

# start_platform WORKERS_PER_RACK RACKS: the same in each data centre.  What
# workers start and end goes to $DIR/trace.  After start_proxy the workers are
# behind it.
start_platform() {
    local dc rack i
    mkfifo "$DIR/platform.in"
    exec 8<>"$DIR/platform.in"
    "$PLATFORM_STANDIN" --dcs "$(IFS=,; echo "${DCS[*]}")" --racks "$2" \
        --per-rack "$1" ${PID[proxy]:+--proxy "$DIR/worker-links"} \
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

# A worker dies for good: nothing answers in its place.
lose_worker() { # NAME
    misbehave "cut worker.$1 both"
    echo "lose $1" >&8
}

store_away() { signal_to USR1 platform; }
store_back() { signal_to USR2 platform; }

# Sets VMS, lines "VM:DC", and NAMES.
name_vms() { # COUNT
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

start_again() { # VM: one that has ended
    runs "$1" && return
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

# field FILE NAME: of an answer.
field() { sed -n "s/^  \"$2\": \"\{0,1\}\([^\",]*\).*/\1/p" "$1" | head -1; }

outcome_of() { sed -n 's/^  "outcome": "\(.*\)",*$/\1/p' <<<"$1"; }

all_ready() { # VM...
    local vm
    for vm in "$@"; do
        curl -sf "$(url "$vm")/healthz" >/dev/null || return 1
    done
}

decider_of() { # VM...: prints the one that decides
    local vm
    for vm in "$@"; do
        [ -n "${PID[$vm]:-}" ] &&
            operator "$vm" status --output json 2>/dev/null |
            grep -qE '^  "deciding": true' && echo "$vm" && return
    done
}

one_decides() { [ -n "$(decider_of "$@")" ]; }

logged() { cat "$DIR"/*.log | grep -c " event=$1 "; }

call() { # METHOD PATH ACCOUNT [BODY]: prints the answer's JSON
    curl -s -m 4 -X "$1" -H "X-Curlewcart-Account: $3" \
        -H "Authorization: Bearer token-$3" ${4:+-d "$4"} "$2"
}

told() { sed -n "s/.*\"$2\": *\"\{0,1\}\([a-z0-9_]*\).*/\1/p" <<<"$1"; }

# How long scripts/still bears that nothing of a job is at work: 3 s, and the
# rest for what measures it, which is on the same machine: the stand-in's steps
# of 20 ms, and a core that it waits for.
STILL_BORNE_MS=3250

# job_of ACCOUNT ID: the name that workers know a request by.
job_of() { printf '%s/%s' "$1" "$2" | b2sum -l 128 | cut -c1-16; }

# runs_of JOB: how often each of its tasks was started, most first.
runs_of() {
    grep "^started task=$1\." "$DIR/trace" | awk '{ n[$2]++ }
        END { for (t in n) print n[t] }' | sort -rn
}

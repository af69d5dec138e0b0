# Functions of the cases: they start a small deployment on loopback, with the
# stand-ins that build.sh builds and the program of the deploy file, and record
# what was sent, answered and run.  Only processes started here are ended, by
# their ids.

REVIEW=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
ROOT=$(dirname "$REVIEW")
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
PROGRAM=$ROOT/target/curlewcart
TROUBLE=${TROUBLE:-1}
BEGAN_MS=$((${EPOCHREALTIME/./} / 1000))
# Settings, as in the site files.
LEASE_MS=${LEASE_MS:-6000}
STATUS_S=${STATUS_S:-120}
FINISH_S=14
declare -A PID PORT ENTRANCE

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }

record() { # TEXT...
    printf '%7.3f s  %s\n' "$((($(now_ms) - BEGAN_MS)))e-3" "$*" >>"$RECORD"
}

cannot_run() { # TEXT...
    record "cannot run: $*"
    echo "cannot run: $*"
    exit 2
}

# Exits with the result: broken if there is a text, which says how.
finish() { # RULE [TEXT]
    if [ -n "$2" ]; then
        record "$1 broken: $2"
        echo "$1 broken: $2"
        exit 1
    fi
    record "$1 held"
    echo "$1 held"
    exit 0
}

end_all() {
    touch "$DIR/over"
    for pid in $(jobs -pr) $(cat "$DIR"/vm*.pid 2>/dev/null); do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    if [ -s "$DIR/platform.out" ]; then
        {
            echo
            echo "== what the workers ran, at most 400 lines"
            grep -E '^(started|ended|violation)' "$DIR/platform.out" |
                head -n 400
            echo "== what the proxy in front of the store did"
            [ ! -e "$DIR/proxy.out" ] || grep at_ms "$DIR/proxy.out"
        } >>"$RECORD"
    fi
    [ -n "${KEEP:-}" ] && cp -r "$DIR" "$KEEP"
    rm -rf "$DIR"
}

setup() {
    umask 077
    DIR=$(mktemp -d)
    trap end_all EXIT
    : >"$RECORD"
    record "TROUBLE=$TROUBLE"
    for program in "$PROGRAM" "$REVIEW/bin/curlewcart-platform" \
        "$REVIEW/bin/store-proxy"; do
        [ -x "$program" ] || cannot_run "$(basename "$program") is not built"
    done
}

# await SECONDS COMMAND...: repeats a command until it succeeds.
await() {
    local until=$(($(now_ms) + $1 * 1000))
    shift
    while ! "$@" >/dev/null 2>&1; do
        [ "$(now_ms)" -lt "$until" ] || return 1
        sleep 0.05
    done
}

# ---- the platform ----

# TENANT, if any, is a second tenant, with the key "key2".
write_config() { # PRIORITY MAX_ATTEMPTS [VERSION] [TENANT]
    local more=""
    [ -z "${4:-}" ] ||
        more=",{\"name\":\"$4\",\"api_keys\":[\"key2\"],\"guaranteed\":{\"gpus\":8}}"
    cat >"$DIR/config.json" <<JSON
{"version":${3:-1},"routes":[{"name":"r-jobs","host":"jobs.example",
 "path_prefix":"/jobs/","kind":"non_idempotent","timeout_ms":3000,
 "target_latency_ms":1000,"priority":$1,"service":"service",
 "max_attempts":$2,"stretch":3.0,"public":false}],
 "services":[{"name":"service","enforces_capacity":true,"standby":false}],
 "limits":{"max_body_bytes":262144},
 "tenants":[{"name":"desk","api_keys":["key"],"guaranteed":{"gpus":72}}$more]}
JSON
}

start_platform() { # RACKS WORKERS_PER_RACK
    "$REVIEW/bin/curlewcart-platform" --no-boot-times --racks "$1" \
        --per-rack "$2" --config "$DIR/config.json" \
        >"$DIR/platform.out" 2>&1 </dev/null &
    PID[platform]=$!
    await 10 grep -q '^store=' "$DIR/platform.out" ||
        cannot_run "the platform does not start"
    STORE=$(sed -n 's/^store=//p' "$DIR/platform.out")
}

start_proxy() { # VMS KEEP_MS RECORD_BYTES
    local i port word
    mkfifo "$DIR/proxy.in"
    exec 9<>"$DIR/proxy.in"
    "$REVIEW/bin/store-proxy" "$STORE" "$1" "$2" "$3" \
        <"$DIR/proxy.in" >"$DIR/proxy.out" 2>&1 &
    PID[proxy]=$!
    await 5 grep -q "^entrance $(($1 - 1)) " "$DIR/proxy.out" ||
        cannot_run "the proxy does not start"
    while read -r word i port; do
        [ "$word" = entrance ] && ENTRANCE[$i]=$port
    done <"$DIR/proxy.out"
}

proxy_command() { # COMMAND...
    record "proxy: $*"
    echo "$*" >&9
}

# ---- VMs ----

write_settings() { # INDEX
    cat >"$DIR/vm$1.yaml" <<YAML
vm: vm$1
dc: z
listen:
    callers: "127.0.0.1:${PORT[callers$1]:-0}"
    ready: "127.0.0.1:${PORT[ready$1]:-0}"
    inner: "127.0.0.1:0"
store: "${ENTRANCE[$1]:+127.0.0.1:}${ENTRANCE[$1]:-$STORE}"
bounds:
    lease_ms: $LEASE_MS
    grace_s: 6
    retain_s: $STATUS_S
    member_ttl_ms: 1000
    report_ms: 1500
processor:
    share: 0.25
    cores: 1
descriptors: 4100
contracts: ["base","drain","config","cost","recover","sched","tenants","platform"]
log_level: info
ports_file: $DIR/vm$1.ports
YAML
}

# Runs a VM's daemon, and starts it again, as the platform does, a second after
# it has ended.
run_vm() { # INDEX
    local pid status
    while [ ! -e "$DIR/over" ] && [ ! -e "$DIR/vm$1.removed" ]; do
        CURLEWCART_CONFIG=$DIR/vm$1.yaml "$PROGRAM" serve \
            >>"$DIR/vm$1.log" 2>&1 &
        pid=$!
        echo "$pid" >"$DIR/vm$1.pid"
        wait "$pid"
        status=$?
        echo "$status" >>"$DIR/vm$1.ends"
        record "vm$1 process $pid ended, status $status"
        sleep 1
    done 2>/dev/null
}

start_vm() { # INDEX
    write_settings "$1"
    run_vm "$1" &
    PID[vm$1]=$!
    await 10 test -s "$DIR/vm$1.ports" || cannot_run "vm$1 does not start"
    PORT[callers$1]=$(sed -n 's/^callers=//p' "$DIR/vm$1.ports")
    PORT[ready$1]=$(sed -n 's/^ready=//p' "$DIR/vm$1.ports")
    write_settings "$1" # it has the same ports when it starts again
}

start_vms() { # COUNT
    local i
    for ((i = 0; i < $1; i++)); do start_vm "$i"; done
    for ((i = 0; i < $1; i++)); do
        await 15 is_ready "$i" || cannot_run "vm$i is not ready"
    done
    await 10 owner || cannot_run "no VM decides"
    record "$1 VMs are ready"
}

is_ready() { # INDEX
    [[ $(http GET "${PORT[ready$1]}" /ready) == 200* ]]
}

# Prints the index of the VM that decides: the last that began to.
owner() {
    local last
    last=$(grep -h ' event=owner_begins ' "$DIR"/vm*.log | sort | tail -n 1)
    [ -n "$last" ] || return 1
    grep -lF -- "$last" "$DIR"/vm*.log | head -n 1 |
        sed 's/.*vm\([0-9]*\)\.log/\1/'
}

signal_vm() { # SIGNAL INDEX
    record "vm$2: SIG$1"
    kill "-$1" "$(cat "$DIR/vm$2.pid")"
}

# Numbers of processes of a VM that ended by themselves, by a signal.
own_ends() { # INDEX
    local ends
    ends=$(grep -cE "^(132|134|135|136|139)$" "$DIR/vm$1.ends" 2>/dev/null)
    echo "${ends:-0}"
}

all_own_ends() { # VMS
    local i
    for ((i = 0; i < $1; i++)); do printf ' vm%d=%s' "$i" "$(own_ends "$i")"; done
}

# ---- clients ----

# Prints "STATUS BODY", or "000" without an answer within 3.5 s.
http() { # METHOD PORT PATH [BODY]
    timeout 3.5 "$REVIEW/http.sh" "$@" 2>/dev/null || echo 000
}

call() { # METHOD VM ID [BODY]: records the call; the answer is in ANSWER
    local began
    began=$(now_ms)
    ANSWER=$(http "$1" "${PORT[callers$2]}" "/jobs/$3" "${4:-}")
    record "client: $1 $3 at vm$2 -> $ANSWER ($(($(now_ms) - began)) ms)"
}

# Hands a job in, as clients do: again at the next VM without an answer.
submit() { # VMS ID BODY
    local try
    for ((try = 0; try < 5; try++)); do
        call POST $((try % $1)) "$2" "$3"
        [[ $ANSWER == 200* ]] && return 0
        [[ $ANSWER == 429* || $ANSWER == 503* ]] && sleep 1
    done
    return 1
}

# Asks all VMs for a job's state until one tells it: prints it, or nothing.
state_of() { # VMS ID
    local i
    for ((i = 0; i < $1; i++)); do
        call GET "$i" "$2"
        if [[ $ANSWER == 200*state* ]]; then
            STATE=$(sed 's/.*"state":"\([a-z]*\)".*/\1/' <<<"$ANSWER")
            return 0
        fi
    done
    STATE=none
    return 1
}

starts_of() { grep -c "^started task=$1\." "$DIR/platform.out"; } # ID

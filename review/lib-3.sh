# Functions of the scripts review/11/run.sh to review/15/run.sh: the project's
# stand-in for the platform, daemons started with the command of the deploy
# file, and calls of clients.  Sourced with HERE set to the case's folder.
#
# A script ends with 1 if the rule was broken, 0 if it held, 2 if the case
# could not be run.  All addresses are on loopback, and ports are free ones.
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
PROGRAM=$ROOT/target/curlewcart
PLATFORM=$ROOT/target/curlewcart-platform
PROXY=$ROOT/target/curlewcart-proxy
TROUBLE=${TROUBLE:-1}
RECORD=$HERE/record.txt
DIR=$(mktemp -d)
declare -A PID

now_ms() { local t=${EPOCHREALTIME//[.,]/}; echo $((t / 1000)); }
BEGAN=$(now_ms)
: >"$RECORD"
note() { echo "$(($(now_ms) - BEGAN)) ms: $*" >>"$RECORD"; }

is_running() { [[ " $(jobs -pr | tr '\n' ' ')" == *" ${PID[$1]:-none} "* ]]; }
signal_to() { is_running "$2" && kill "-$1" "${PID[$2]}" 2>/dev/null; }
end_all() {
    exec 2>/dev/null # no messages of the shell on what it ended
    local name
    for name in "${!PID[@]}"; do
        signal_to CONT "$name"
        signal_to KILL "$name"
    done
    wait 2>/dev/null
    [ -n "${KEEP:-}" ] && echo "logs: $DIR" || rm -rf "$DIR"
}
trap end_all EXIT
cannot_run() { note "cannot run: $*"; echo "cannot run: $*"; exit 2; }
broken() { note "BROKEN: $*"; echo "BROKEN: $*"; exit 1; }
held() { note "held: $*"; echo "held: $*"; exit 0; }

for program in "$PROGRAM" "$PLATFORM" "$PROXY"; do
    [ -x "$program" ] || cannot_run "$(basename "$program") is not built"
done

# await MS COMMAND...: repeats the command until it succeeds.
await() {
    local end=$(($(now_ms) + $1))
    shift
    until "$@"; do
        [ "$(now_ms)" -lt "$end" ] || return 1
        sleep 0.02
    done
}

# Starts the stand-in with the configuration on standard input.
start_platform() { # OPTIONS...
    cat >"$DIR/config.json"
    mkfifo "$DIR/platform.in"
    exec 8<>"$DIR/platform.in"
    "$PLATFORM" --config "$DIR/config.json" --no-boot-times "$@" \
        <&8 >"$DIR/platform.log" 2>&1 &
    PID[platform]=$!
    await 5000 grep -q '^store=' "$DIR/platform.log" ||
        cannot_run "the stand-in does not listen"
    STORE=$(sed -n 's/^store=//p' "$DIR/platform.log")
}
platform_command() { note "stand-in: $*"; echo "$*" >&8; }

# The settings are those that deploy/vm.yaml.tmpl gives for the bounds of
# himal-trails, with ports that the kernel chooses.
start_vm() { # NAME
    rm -f "$DIR/$1.ports"
    cat >"$DIR/$1.yaml" <<YAML
vm: $1
dc: z
listen:
    callers: "127.0.0.1:0"
    ready: "127.0.0.1:0"
    inner: "127.0.0.1:0"
store: "$STORE"
bounds:
    lease_ms: 6000
    grace_s: 6
    retain_s: 120
    member_ttl_ms: 1000
    record_bytes: 262144
    cancel_ms: 3000
    report_ms: 1500
processor:
    share: 0.25
    cores: 1
descriptors: 4100
contracts: ["base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep", "sharing"]
ports_file: $DIR/$1.ports
log_level: info
YAML
    CURLEWCART_CONFIG=$DIR/$1.yaml "$PROGRAM" serve >>"$DIR/$1.log" 2>&1 &
    PID[$1]=$!
}
port_of() { sed -n "s/^$2=//p" "$DIR/$1.ports" 2>/dev/null; } # VM NAME

# Sends a request on a connection of its own; sets STATUS ("" if there was no
# answer within 5 s) and BODY.
call() { # VM METHOD PATH [BODY [KEY]]
    local port line rest="" key=${5:-key}
    STATUS="" BODY=""
    port=$(port_of "$1" "${CALL_PORT:-callers}")
    [ -n "$port" ] || return 0
    { exec 7<>"/dev/tcp/127.0.0.1/$port"; } 2>/dev/null || return 0
    printf '%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Credential: %s\r\nX-Deadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
        "$2" "$3" "$key" "${#4}" "${4:-}" >&7 2>/dev/null
    if IFS= read -r -t 5 line <&7; then
        STATUS=${line#* }
        STATUS=${STATUS%% *}
        while IFS= read -r -t 5 line <&7 && [ "$line" != $'\r' ]; do :; done
        IFS= read -r -t 5 -d '' rest <&7
        BODY=$rest
    fi
    exec 7>&-
}
is_ready() { CALL_PORT=ready call "$1" GET /ready; [ "$STATUS" = 200 ]; }
start_vms() { # NAME...
    local name
    for name in "$@"; do start_vm "$name"; done
    for name in "$@"; do
        await 8000 is_ready "$name" || cannot_run "$name is not ready"
    done
}

# Starts the stand-in with at_work.py before its workers.
start_with_at_work() { # STARTUP_MS JOBS OPTIONS...
    local startup=$1 jobs=$2
    shift 2
    cat >"$DIR/config.json"
    mkfifo "$DIR/platform.in"
    exec 8<>"$DIR/platform.in"
    "$PLATFORM" --config "$DIR/config.json" --no-boot-times \
        --proxy "$DIR/ports" "$@" <&8 >"$DIR/platform.log" 2>&1 &
    PID[platform]=$!
    has_addresses() { [ "$(grep -c '^worker=' "$DIR/platform.log")" -gt 0 ]; }
    await 5000 has_addresses || cannot_run "the stand-in prints no addresses"
    sleep 0.3
    grep '^worker=' "$DIR/platform.log" >"$DIR/addresses"
    python3 "$ROOT/review/at_work.py" "$startup" "$jobs" <"$DIR/addresses" \
        >"$DIR/at_work.ports" 2>"$DIR/at_work.log" &
    PID[at_work]=$!
    await 5000 grep -q '^ready' "$DIR/at_work.ports" ||
        cannot_run "at_work.py does not listen"
    grep -v '^ready' "$DIR/at_work.ports" >"$DIR/ports.new"
    mv "$DIR/ports.new" "$DIR/ports"
    await 5000 grep -q '^store=' "$DIR/platform.log" ||
        cannot_run "the stand-in does not listen"
    STORE=$(sed -n 's/^store=//p' "$DIR/platform.log")
}

# Functions of the scripts of cases 6 to 10: a small deployment on loopback.
# Sourced with the root of the repository as the working directory.  `here` is
# the case's folder; record.txt in it has what was sent, answered and run.
TROUBLE=${TROUBLE:-1}
CW=target/curlewcart
STANDINS=target/review-2
record=$here/record.txt
dir=$(mktemp -d)
children=()
vms=()
finish() {
    local pid
    for pid in "${children[@]}"; do
        # Only a child that this shell still has is signalled.
        [[ " $(jobs -pr | tr '\n' ' ') " == *" $pid "* ]] || continue
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$dir"
}
# bash tells of killed children when it waits for them.
quietly() { "$@" 2>/dev/null
}
trap 'quietly finish' EXIT
now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
note() { echo "$(now_ms) $*" | tee -a "$record"; }
cannot_run() { note "cannot run: $*"; exit 2; }
[ -x $CW ] && [ -x $STANDINS/worker ] && [ -x $STANDINS/curlewcart-platform ] ||
    { echo "run the build of the deploy file and review/build-2.sh"; exit 2; }
: >"$record"

# call HOST:PORT METHOD PATH [BODY]: sets `status` (000: no answer) and `answer`.
call() {
    local line length=0 limit=${CALL_LIMIT_S:-4} body=${4:-}
    status=000 answer=
    # A failed redirection of exec ends the shell.
    (: <>"/dev/tcp/${1%:*}/${1##*:}") 2>/dev/null || return 1
    exec 9<>"/dev/tcp/${1%:*}/${1##*:}"
    printf '%s %s HTTP/1.1\r\nHost: curlewcart.example\r\nX-Credential: key\r\nX-Deadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
        "$2" "$3" "${#body}" "$body" >&9
    IFS= read -r -t "$limit" line <&9 && status=$(echo "$line" | cut -d' ' -f2)
    while IFS= read -r -t "$limit" line <&9; do
        line=${line%$'\r'}
        [ -z "$line" ] && break
        [[ ${line,,} == content-length:* ]] && length=${line##*: }
    done
    [ "$length" -gt 0 ] && IFS= read -r -t "$limit" -N "$length" answer <&9
    exec 9<&- 9>&-
    status=${status:-000}
}

# The platform's store, with 12 workers of the service "service", or as many as
# PER_RACK times three.
start_platform() {
    mkfifo "$dir/platform.in"
    exec 8<>"$dir/platform.in"
    $STANDINS/curlewcart-platform --no-boot-times --per-rack "${PER_RACK:-4}" --config "$dir/config.json" \
        >"$dir/platform.log" 2>&1 <&8 &
    children+=($!)
    for _ in $(seq 100); do
        store=$(sed -n 's/^store=//p' "$dir/platform.log")
        [ -n "$store" ] && return
        sleep 0.05
    done
    cannot_run "the stand-in does not listen"
}

write_config() {
    cat >"$dir/config.json" <<JSON
{"version":1,"routes":[
 {"name":"urgent","host":"","path_prefix":"/urgent/","priority":0,
  "service":"service","max_attempts":2,"stretch":2,"target_latency_ms":250},
 {"name":"batch","host":"","path_prefix":"/batch/","priority":1,
  "service":"${SERVICE:-service}","max_attempts":2,"stretch":3,"target_latency_ms":1000}],
 "services":[{"name":"service","enforces_capacity":true},{"name":"solo","enforces_capacity":true}],
 "limits":{"max_body_bytes":262144},
 "tenants":[{"name":"desk","api_keys":["key"],"guaranteed":{"gpus":16}}]}
JSON
}

# start_vm NUMBER: with the settings of a small deployment, as the template of
# the deploy file gives them.
start_vm() {
    local ip=127.0.0.$((10 + $1)) base=$((20000 + RANDOM % 20000))
    cat >"$dir/vm$1.yaml" <<YAML
vm: "front-$1"
dc: "z"
listen:
    callers: "$ip:0"
    ready: "$ip:0"
    inner: "$ip:0"
    metrics: "$ip:0"
store: "${STORE:-$store}"
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
contracts: ["base","drain","config","cost","recover","sched","tenants","platform"]
ports_file: $dir/vm$1.ports
log_level: info
YAML
    rm -f "$dir/vm$1.ports"
    CURLEWCART_CONFIG=$dir/vm$1.yaml $CW serve >>"$dir/vm$1.log" 2>&1 &
    vms[$1]=$!
    children+=($!)
}
address_of() { # VM NAME
    echo "127.0.0.$((10 + $1)):$(sed -n "s/^$2=//p" "$dir/vm$1.ports" 2>/dev/null)"
}
await_ready() { # VM
    for _ in $(seq 150); do
        [ -s "$dir/vm$1.ports" ] && call "$(address_of "$1" ready)" GET /ready 2>/dev/null &&
            [ "$status" = 200 ] && return
        sleep 0.1
    done
    cannot_run "VM $1 is not ready"
}
# start_worker ID [NAME=NUMBER ...]: a worker of our own; commands go to its
# file descriptor ${worker_in[ID]}.
declare -A worker_in worker_pid
start_worker() {
    local name=$1 fd
    shift
    mkfifo "$dir/$name.in"
    exec {fd}<>"$dir/$name.in"
    worker_in[$name]=$fd
    $STANDINS/worker "$name" "${SERVICE:-service}" "$store" "$@" >"$dir/$name.log" 2>&1 <&"$fd" &
    worker_pid[$name]=$!
    children+=($!)
}
tell() { echo "${*:2}" >&"${worker_in[$1]}"; } # WORKER COMMAND...
# The events of all workers, in the order of time, go into the record.
collect() {
    cat "$dir"/*.log | grep -E '^[0-9]+ worker=' | sort -n -s -k1,1 >>"$record"
    grep -E '^(started|ended|violation) ' "$dir/platform.log" >>"$record"
    if [ -n "${KEEP:-}" ]; then cp -r "$dir" "$KEEP"; fi
}

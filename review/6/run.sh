#!/usr/bin/env bash
# The workers of a service are replaced one after the other, each at the address
# of the one before (release), while the VMs are restarted in turn (roll_term).
# Four times a VM that decides gets SIGTERM just after the worker of a job has
# left.  No run fails and no worker crashes, so the job must not be shown as
# failed.  Exit status: 1 broken, 0 held, 2 could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
source review/lib-2.sh
ROUNDS=4
ADDR_REUSE_S=2.05
job=00000000000000a1

write_config
start_platform
for vm in 1 2 3 4; do start_vm $vm; done
for vm in 1 2 3 4; do await_ready $vm; done
# Two of the 14 workers have the label that the job asks for; a task takes 15 s.
declare -A port_of
start_special() { # ID [PORT]
    start_worker "$1" label=special work=15000 room=1 remaining=2500 ${2:+port=$2}
    for _ in $(seq 40); do
        port_of[$1]=$(sed -n 's/.* listens port=//p' "$dir/$1.log")
        [ -n "${port_of[$1]}" ] && return
        sleep 0.05
    done
    cannot_run "worker $1 does not listen"
}
start_special w-a1
start_special w-b1
sleep 4

# The worker that has the task now, "" if none.
holder() {
    cat "$dir"/w-*.log | sort -n -s -k1,1 | awk '
        $3 == "started" {at = substr($2, 8)}
        ($3 == "ended" || $3 == "lost") && substr($2, 8) == at {at = ""}
        END {print at}'
}
# The VM that decides.
owner() {
    grep -H 'event=owner_begins' "$dir"/vm*.log | sort -t= -k2 | tail -1 |
        sed 's/.*\/vm\([0-9]*\)\.log.*/\1/'
}
ask() {
    for vm in 1 2 3 4; do
        call "$(address_of $vm callers)" GET /batch/$job 2>/dev/null &&
            [ "$status" = 200 ] && return
    done
}
body='{"spec":"x","steps":[{"count":1,"cpu":1000,"gpus":1,"estimate_ms":15000,"required_labels":"special"}]}'
call "$(address_of 1 callers)" POST /batch/$job "$body"
note "sent: POST /batch/$job $body; answered: $status $answer"
[ "$status" = 200 ] || cannot_run "the job was not accepted"

for round in $(seq $ROUNDS); do
    worker=
    for _ in $(seq 120); do
        worker=$(holder)
        [ -n "$worker" ] && break
        ask
        [[ $answer == *failed* ]] && break 2
        sleep 0.1
    done
    [ -n "$worker" ] || cannot_run "the task has no worker in round $round"
    sleep 0.5
    note "round $round: $worker is replaced"
    tell "$worker" drain 2500
    for _ in $(seq 100); do
        grep -q ' left ' "$dir/$worker.log" && break
        sleep 0.05
    done
    left=$(now_ms)
    vm=$(owner)
    if [ "$TROUBLE" != 0 ]; then
        sleep 0.3
        note "round $round: SIGTERM to VM $vm, which decides, $(($(now_ms) - left)) ms after the worker has left"
        kill -TERM "${vms[$vm]}"
    fi
    sleep $ADDR_REUSE_S
    start_special "${worker%?}$((round + 1))" "${port_of[$worker]}"
    if [ "$TROUBLE" != 0 ]; then
        for _ in $(seq 80); do
            [[ " $(jobs -pr | tr '\n' ' ') " == *" ${vms[$vm]} "* ]] || break
            sleep 0.1
        done
        start_vm "$vm"
        await_ready "$vm"
    fi
done
for _ in $(seq 90); do
    ask
    [[ $answer == *completed* || $answer == *failed* ]] && break
    sleep 0.5
done
note "sent: GET /batch/$job; answered: $status $answer"
collect
grep -h "id=$job" "$dir"/vm*.log | grep -E 'event=(run_lost|task_suspect|task_given_up|job_over)' | sort >>"$record"
failed=$(grep -c 'how=failed' "$dir"/w-*.log | awk -F: '{n += $2} END {print n}')
if [[ $answer == *failed* && $failed = 0 ]]; then
    note "LOST broken: the job is shown as failed; ends that workers listed as failed: $failed; workers that crashed: 0"
    exit 1
fi
[[ $answer == *completed* ]] || cannot_run "the job has not ended"
note "held: the job is completed"
exit 0

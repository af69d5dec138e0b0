#!/usr/bin/env bash
# Two workers fail what they start: both members of a gang end as failed in its
# first run.  One of the two workers hangs meanwhile for 1.7 s, and the VM that
# decides gets SIGTERM after it has heard the end of the other member.  The gang
# has failed once, and has two attempts: the job must not be shown as failed.
# Exit status: 1 broken, 0 held, 2 could not run.  TROUBLE=hang: without SIGTERM.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
source review/lib-2.sh
PER_RACK=8
job=00000000000000a1

write_config
start_platform
for vm in 1 2 3; do start_vm $vm; done
for vm in 1 2 3; do await_ready $vm; done
# Two of the 26 workers have the label that the job asks for.
start_worker w-x label=special work=1000 room=1 fail=1
start_worker w-y label=special work=1000 room=1 fail=1
sleep 4
body='{"spec":"x","steps":[{"count":2,"gang":true,"cpu":1000,"gpus":8,"estimate_ms":1000,"required_labels":"special"}]}'
call "$(address_of 1 callers)" POST /batch/$job "$body"
note "sent: POST /batch/$job $body; answered: $status $answer"
[ "$status" = 200 ] || cannot_run "the job was not accepted"
for _ in $(seq 100); do
    grep -q ' started ' "$dir/w-y.log" && break
    sleep 0.02
done
sleep 0.8
[ "$TROUBLE" != 0 ] && tell w-y hang 1700
for _ in $(seq 100); do
    grep -q 'acked up_to=1' "$dir/w-x.log" && break
    sleep 0.02
done
grep -q 'acked up_to=1' "$dir/w-x.log" || cannot_run "the end of the first member was not heard"
if [ "$TROUBLE" = 1 ]; then
    vm=$(grep -H 'event=owner_begins' "$dir"/vm*.log | sort -t= -k2 | tail -1 |
        sed 's/.*\/vm\([0-9]*\)\.log.*/\1/')
    note "SIGTERM to VM $vm, which decides"
    kill -TERM "${vms[$vm]}"
fi
for _ in $(seq 60); do
    for vm in 1 2 3; do
        call "$(address_of $vm callers)" GET /batch/$job 2>/dev/null &&
            [ "$status" = 200 ] && break
    done
    [[ $answer == *completed* || $answer == *failed* ]] && break
    sleep 0.5
done
note "sent: GET /batch/$job; answered: $status $answer"
sleep 1
collect
grep -h "id=$job" "$dir"/vm*.log | grep -E 'event=(run_ended|run_lost|task_given_up|job_over)' | sort >>"$record"
runs=$(cat "$dir"/w-*.log | sed -n 's/.* started task=[^ ]* run=\([0-9]*\) .*/\1/p' | sort -u | wc -l)
ends=$(cat "$dir"/w-*.log | grep ' ended .*how=failed' | sed 's/.*run=\([0-9]*\) .*/\1/' | sort -u | wc -l)
if [[ $answer == *failed* && $ends = 1 ]]; then
    note "LOST broken: the job is shown as failed; runs of its gang: $runs, of these failed: $ends; max_attempts: 2"
    exit 1
fi
[[ $answer == *completed* ]] || cannot_run "the job has not ended as foreseen"
note "held: the job is completed; runs of its gang: $runs, of these failed: $ends"
exit 0

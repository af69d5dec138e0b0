#!/usr/bin/env bash
# A worker hangs for 3 s, gets a start, and announces meanwhile that it
# leaves.  No task may be started there later than drain_ms (2,000) after the
# store has acknowledged that.  Exit status: 1 broken, 0 held, 2 could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
source review/lib-2.sh
DRAIN_MS=2000
HANG_MS=3000
[ "$TROUBLE" = 0 ] && HANG_MS=0

write_config
start_platform
for vm in 1 2 3; do start_vm $vm; done
for vm in 1 2 3; do await_ready $vm; done
# Two of the 14 workers have the label that some jobs ask for.  The service is
# busy: 90 of its 112 accelerators are in use.
start_worker w-leaves label=special work=9000 room=2 remaining=4500
start_worker w-stays label=special work=9000 room=2
sleep 4
submit() { # ID SPEC STEP
    local job="{\"spec\":\"$2\",\"steps\":[{$3,\"cpu\":1000,\"estimate_ms\":9000}]}"
    call "$(address_of 1 callers)" POST "/batch/$1" "$job"
    note "sent: POST /batch/$1 $job"
    note "answered: $status $answer"
    [ "$status" = 200 ] || cannot_run "the job was not accepted"
}
submit 00000000000000a1 x '"count":2,"gpus":5,"anti_affinity":1,"required_labels":"special"'
sleep 1
submit 00000000000000f1 "run_ms=14000 accelerators=8" '"count":10,"gpus":8'
sleep 2
[ $HANG_MS -gt 0 ] && tell w-leaves hang $HANG_MS
sleep 0.5
submit 00000000000000a2 x '"count":2,"gpus":3,"required_labels":"special"'
sleep 0.05
tell w-leaves drain 4500
for _ in $(seq 80); do
    sleep 0.5
    call "$(address_of 2 callers)" GET /batch/00000000000000a2
    [[ $answer == *completed* ]] && break
done
note "sent: GET /batch/00000000000000a2; answered: $status $answer"
collect
grep -h 'id=00000000000000a' "$dir"/vm*.log | grep -E 'event=(start|run_lost|placed)' >>"$record"
grep -h 'worker=w-leaves' "$dir"/vm*.log | grep -E 'event=worker' >>"$record"

told=$(awk '$2 == "worker=w-leaves" && $3 == "draining" {print $1}' "$dir/w-leaves.log")
[ -n "$told" ] || cannot_run "the worker got no start"
late=$(awk -v told="$told" -v most=$DRAIN_MS '$3 == "started" && $1 > told + most {print $1 - told}' "$dir/w-leaves.log")
lost=$(grep -c ' lost ' "$dir/w-leaves.log")
if [ -n "$late" ]; then
    note "DRAIN broken: a task was started $late ms after the store had acknowledged that the worker drains; ended with the worker: $lost"
    exit 1
fi
note "held: no start later than $DRAIN_MS ms after that"
exit 0

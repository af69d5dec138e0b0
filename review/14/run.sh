#!/usr/bin/env bash
# MIXED: the count of a queue's waiting jobs beside a worker that refuses
# starts.  One of twelve workers (0.083) is of the kind that the jobs require.
# For 6.5 s it answers each start with 503 and all else well.
HERE=$(cd "$(dirname "$0")" && pwd)
source "$HERE/../lib-3.sh"
JOBS=4
GREY_MS=6500

start_platform --racks 12 --per-rack 1 <<'JSON'
{"version":1,"routes":[
 {"name":"batch","host":"","path_prefix":"/batch/","priority":1,
  "service":"service","max_attempts":2,"stretch":3,"target_latency_ms":1000}],
 "services":[{"name":"service","enforces_capacity":true}],"limits":{},
 "tenants":[{"name":"desk","api_keys":["key"],"guaranteed":{"gpus":16}}]}
JSON
start_vms vm1 vm2 vm3
sleep 3

job='{"spec":"run_ms=500","steps":[{"count":1,"cpu":1000,"mem_mb":100,"gpus":1,"estimate_ms":500,"required_labels":"z-r1"}]}'
[ "$TROUBLE" = 0 ] || platform_command "late z-r1-w1 $GREY_MS 0 100 1"
sleep 0.1
for n in $(seq "$JOBS"); do
    call vm$((n % 3 + 1)) POST "/batch/00000000000000a$n" "$job"
    note "POST /batch/00000000000000a$n: $STATUS $BODY"
    [ "$STATUS" = 200 ] || cannot_run "job $n was answered $STATUS"
done
accepted=$(now_ms)

begun() { grep '^started task=00000000000000a' "$DIR/platform.log" | cut -d. -f1 | sort -u | wc -l; }
# From visible_ms + 2 s after the acknowledgement of the last job on.
while [ "$(now_ms)" -lt $((accepted + 5100)) ]; do sleep 0.02; done
wrong=""
for round in 1 2 3 4; do
    for vm in vm1 vm2 vm3; do
        before=$(begun)
        call "$vm" GET /batch/
        after=$(begun)
        note "GET /batch/ at $vm, $(($(now_ms) - accepted)) ms after the last acknowledgement: $STATUS $BODY; jobs that have begun: $before before, $after after"
        count=${BODY//[^0-9]/}
        [ "$STATUS" = 200 ] || continue
        # Jobs that have not begun when the answer has come.
        waiting=$((JOBS - after))
        [ $((2 * count)) -lt "$waiting" ] && wrong="$vm says $count, $waiting of $JOBS jobs have not begun"
    done
    sleep 0.1
done
for n in $(seq "$JOBS"); do
    call vm1 GET "/batch/00000000000000a$n"
    note "GET /batch/00000000000000a$n: $STATUS $BODY"
done
completed() { call vm1 GET "/batch/00000000000000a$1"; [[ $BODY == *completed* ]]; }
for n in $(seq "$JOBS"); do
    await 10000 completed "$n" || note "job $n is not completed: $STATUS $BODY"
done
grep -E '^(refused|started|ended|late)' "$DIR/platform.log" >>"$RECORD"
[ -z "$wrong" ] || broken "$wrong"
held "each answer counted at least half of the jobs that had not begun"

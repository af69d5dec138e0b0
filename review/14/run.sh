#!/usr/bin/env bash
# RECLAIM: guaranteed work does not begin, as tasks that last, of a tenant
# without a guarantee, fill the service and may not be stopped.  See claim.txt.
HERE=$(cd "$(dirname "$0")" && pwd)
source "$HERE/../lib-3.sh"
STARTUP_MS=${STARTUP_MS:-600}
RECLAIM_MS=2700
MAY_MISS=',"may_miss":1'
[ "$TROUBLE" != 0 ] || MAY_MISS=

start_with_at_work "$STARTUP_MS" '^00000000000000b' --racks 2 --per-rack 1 <<'JSON'
{"version":1,"routes":[
 {"name":"urgent","host":"","path_prefix":"/urgent/","priority":0,
  "service":"service","max_attempts":2,"stretch":1.5,"target_latency_ms":250},
 {"name":"batch","host":"","path_prefix":"/batch/","priority":1,
  "service":"service","max_attempts":2,"stretch":3,"target_latency_ms":1000}],
 "services":[{"name":"service","enforces_capacity":true}],"limits":{},
 "tenants":[{"name":"desk","api_keys":["key"],"guaranteed":{"gpus":16}},
            {"name":"shop","api_keys":["key2"],"guaranteed":{"gpus":0}}]}
JSON
start_vms vm1 vm2 vm3
sleep 3
call vm1 POST /batch/00000000000000b1 '{"spec":"run_ms=600000 accelerators=8","steps":[{"count":2,"cpu":100,"mem_mb":10,"gpus":8,"estimate_ms":1000,"long_running":true'"$MAY_MISS"'}]}' key2
note "POST /batch/00000000000000b1 (two lasting tasks$MAY_MISS): $STATUS $BODY"
[ "$STATUS" = 200 ] || cannot_run "the lasting job was answered $STATUS"
all_run() { [ "$(grep -c '^started task=00000000000000b1[.]' "$DIR/platform.log")" = 2 ]; }
await 5000 all_run || cannot_run "the lasting job does not run"
sleep 5
for id in c1 c2; do
    call vm1 POST /urgent/00000000000000$id '{"spec":"run_ms=60000 accelerators=8","steps":[{"count":1,"cpu":100,"mem_mb":10,"gpus":8,"estimate_ms":60000}]}'
    note "POST /urgent/00000000000000$id (urgent, 8 accelerators): $STATUS $BODY"
    [ "$STATUS" = 200 ] || cannot_run "an urgent job was answered $STATUS"
done
accepted=$(now_ms)
has_begun() { grep -q "^started task=00000000000000$1[.]" "$DIR/platform.log"; }
both_begun() { has_begun c1 && has_begun c2; }
if await 20000 both_begun; then
    took=$(($(now_ms) - accepted))
else
    took=20000
fi
for vm in vm1 vm2 vm3; do
    for id in c1 c2; do
        call "$vm" GET /urgent/00000000000000$id
        note "GET /urgent/00000000000000$id at $vm: $STATUS $BODY"
    done
done
grep -E '^(started|ended) ' "$DIR/platform.log" >>"$RECORD"
[ "$took" -le "$RECLAIM_MS" ] || broken "a guaranteed job had not begun after $took ms"
held "both jobs began within $took ms"

#!/usr/bin/env bash
# A scheduled job with more than 4,096 occurrences ends every daemon, for good.
# Without TROUBLE the same job has 4,000 occurrences.
set -u
. "$(dirname "$0")/../lib.sh"
INTERVAL_MS=10
TIMES=4200
[ "$TROUBLE" = 0 ] && TIMES=4000
SCHEDULED=00000000000000a1
LATER=00000000000000b1
LATER_DUE_MS=55000
STEP='{"count":1,"cpu":10,"mem_mb":10,"estimate_ms":20}'

scheduled_job() { # TIMES START_MS INTERVAL_MS
    echo "{\"spec\":\"run_ms=20\",\"steps\":[$STEP],\"repeat_count\":$1,\"start_at_ms\":$2,\"interval_ms\":$3}"
}

setup
write_config 1 2
start_platform 3 4
start_vms 3
start=$(now_ms)
# A job that is due once, after the other one has had its last occurrence.
submit 3 "$LATER" "$(scheduled_job 1 $((start + LATER_DUE_MS)) 1000)" ||
    cannot_run "a job was not accepted"
submit 3 "$SCHEDULED" "$(scheduled_job "$TIMES" "$start" "$INTERVAL_MS")" ||
    cannot_run "a job was not accepted"
while [ $(($(now_ms) - start)) -lt \
    $((LATER_DUE_MS + FINISH_S * 1000 + 5000)) ]; do
    sleep 0.2
done
state_of 3 "$SCHEDULED"
scheduled=$STATE
state_of 3 "$LATER"
later=$STATE
summary="job due $(($(now_ms) - start - LATER_DUE_MS)) ms ago: $later, $(starts_of "$LATER") starts; scheduled job: $scheduled, $(starts_of "$SCHEDULED") of $TIMES occurrences started; processes that ended by themselves:$(all_own_ends 3)"
record "$summary"
[ "$later" = completed ] && [ "$scheduled" = completed ] && summary=""
finish LOST "$summary"

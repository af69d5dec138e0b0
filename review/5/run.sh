#!/usr/bin/env bash
# A job runs on although its cancelling was answered with 410.
# The writes that hand the job in get no answer and are done seconds later, so
# the client gets no 2xx.  It cancels the job and gets 410: there is no such job.
# Without TROUBLE no write is lost.
set -u
. "$(dirname "$0")/../lib.sh"
CANCEL_MS=3000
STOP_MS=900
CONTACT_MS=3000
ACK_MS=4000
ID=00000000000000a1
JOB='{"spec":"run_ms=60000","steps":[{"count":2,"cpu":100,"mem_mb":100,"gpus":1,"estimate_ms":60000}]}'
LATE_MS=5000 # "done 1 to 6 s later"

background() { # a job a quarter of a second, whose writes are not lost
    local n=0
    while [ ! -e "$DIR/quiet" ]; do
        call POST $((n % 3)) "$(printf '00000000000c%04x' "$n")" \
            '{"spec":"run_ms=500","steps":[{"count":2,"cpu":100,"mem_mb":100,"gpus":1,"estimate_ms":500}]}'
        n=$((n + 1))
        sleep 0.2
    done
}

setup
write_config 1 2
start_platform 3 4
start_proxy 3 20000 262144
start_vms 3
background &
sleep 4
proxy_command writes
[ "$TROUBLE" = 0 ] || proxy_command late "s$ID" "$LATE_MS" 100
lost_at=$(now_ms)
call POST 0 "$ID" "$JOB"
[[ $ANSWER == 200* ]] && [ "$TROUBLE" = 1 ] &&
    cannot_run "the job was accepted"
call DELETE 1 "$ID"
answer=$ANSWER
cancelled_at=$(now_ms)
proxy_command late none 0 0
proxy_command writes
touch "$DIR/quiet"
[[ $answer == 2* || $answer == 410* ]] ||
    cannot_run "the cancelling was not acknowledged: $answer"
# All writes are done LATE_MS after they were sent; from CONTACT_MS later on the
# store is stable.
calm_ms=$((lost_at + LATE_MS + 2000 + CONTACT_MS))
judge_ms=$((calm_ms + CANCEL_MS + STOP_MS + ACK_MS + 4000))
while [ "$(now_ms)" -lt "$judge_ms" ]; do sleep 0.1; done
call GET 2 "$ID"
started=$(sed -n "s/^started task=$ID\.0\.0\.0 .*at_ms=//p" "$DIR/platform.out" | head -n 1)
running=$(awk -v id="task=$ID." 'index($2, id) == 1 {
    if ($1 == "started") r[$2] = 1; if ($1 == "ended") delete r[$2] }
    END { for (t in r) n++; print n + 0 }' "$DIR/platform.out")
record "cancelling answered: $answer; tasks that run now: $running"
text=""
if [ -n "$started" ] && [ "$running" -gt 0 ]; then
    text="$running tasks run $((($(now_ms) - cancelled_at) / 1000)) s after the cancelling was answered with ${answer%% *}, started $((started - cancelled_at)) ms after it; nothing was disturbed in the last $((($(now_ms) - calm_ms + CONTACT_MS) / 1000)) s"
fi
finish UNASKED "$text"

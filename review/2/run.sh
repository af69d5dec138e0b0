#!/usr/bin/env bash
# An end whose `saved` has more than 1,024 bytes ends every daemon, for good.
# Without TROUBLE it has 1,000 bytes.
set -u
. "$(dirname "$0")/../lib.sh"
SAVED_BYTES=1100
[ "$TROUBLE" = 0 ] && SAVED_BYTES=1000
OTHERS=6
ID=00000000000000a1

job() { # SPEC MS
    echo "{\"spec\":\"$1\",\"steps\":[{\"count\":2,\"cpu\":100,\"mem_mb\":100,\"gpus\":1,\"estimate_ms\":$2}]}"
}

setup
write_config 1 2
start_platform 3 4
start_vms 3
# The stand-in's workers give "ID:TEXT" as the `saved` of a run that has ended
# done, with the text behind echo=.
text=$(head -c $((SAVED_BYTES - 17)) /dev/zero | tr '\0' 's')
ids=$ID
for ((n = 0; n < OTHERS; n++)); do
    ids+=" 00000000000000b$n"
    submit 3 "00000000000000b$n" "$(job run_ms=8000 8000)" ||
        cannot_run "a job was not accepted"
done
submit 3 "$ID" "$(job "run_ms=3000 echo=$text" 3000)" ||
    cannot_run "a job was not accepted"
sleep $((8 + FINISH_S))
open=""
for id in $ids; do
    state_of 3 "$id"
    [ "$STATE" = completed ] || open+=" $id=$STATE"
done
record "jobs that are not completed:${open:- none}; processes that ended by themselves:$(all_own_ends 3)"
text=""
[ -z "$open" ] ||
    text="$FINISH_S s after all runs were to end these are not completed:$open; processes that ended by themselves:$(all_own_ends 3)"
finish LOST "$text"

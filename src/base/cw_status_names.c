/* Names of the statuses of the store and the workers, and of the ways in which
 * a run ends, for logs.  The latter are also the names in the workers'
 * protocol. */
#include <glib.h>

#include "curlewcart/cw_store.h"
#include "curlewcart/cw_target.h"

const char *
cw_store_status_name(enum cw_store_status status)
{
    static const char *const names[] = {
        [CW_STORE_OK] = "ok",
        [CW_STORE_NOT_EXECUTED] = "refused",
        [CW_STORE_UNKNOWN] = "no_answer",
        [CW_STORE_CONFLICT] = "conflict",
        [CW_STORE_FENCED] = "fenced",
        [CW_STORE_OUT_OF_SEQUENCE] = "sequence",
        [CW_STORE_EXPIRED] = "expired",
        [CW_STORE_INVALID] = "invalid",
    };

    return names[status];
}

const char *
cw_target_status_name(enum cw_target_status status)
{
    static const char *const names[] = {
        [CW_TARGET_OK] = "ok",
        [CW_TARGET_FENCED] = "fenced",
        [CW_TARGET_OLD_RUN] = "old_run",
        [CW_TARGET_LATE] = "late",
        [CW_TARGET_NO_CAPACITY] = "no_room",
        [CW_TARGET_NO_TICKET] = "no_ticket",
        [CW_TARGET_OTHER_INCARNATION] = "other_life",
        [CW_TARGET_UNHEALTHY] = "unhealthy",
        [CW_TARGET_INVALID] = "invalid",
        [CW_TARGET_UNREACHABLE] = "unreachable",
        [CW_TARGET_UNKNOWN] = "no_answer",
    };

    return names[status];
}

const char *
cw_end_kind_name(enum cw_end_kind kind)
{
    static const char *const names[] = {
        [CW_END_KIND_DONE] = "done",
        [CW_END_KIND_FAILED] = "failed",
        [CW_END_KIND_STOPPED] = "stopped",
        [CW_END_KIND_LEASE_EXPIRED] = "lapsed",
        [CW_END_KIND_GANG_BROKEN] = "broken",
        [CW_END_KIND_GANG_INCOMPLETE] = "alone",
    };

    return names[kind];
}

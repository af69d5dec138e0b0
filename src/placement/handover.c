/* Whether a VM that is assigned a shard takes it over from its owner. */
#include "curlewcart/cw_handover.h"

#include <glib.h>

enum {
    /* The group takes the shard from a lost owner 1.3 s after its last join;
     * with a lower limit a loss is noticed here no later than there.  An owner
     * that settles or yields writes each 400 ms, and a VM that waits reads
     * each 150 ms. */
    OWNER_SILENT_MAX_MS = 1000
};

enum cw_handover
cw_handover_decide(const struct cw_handover_view *view)
{
    if (!view->is_owned) {
        return CW_HANDOVER_NO_OWNER;
    }
    if (view->owner_silent_ms > OWNER_SILENT_MAX_MS) {
        return CW_HANDOVER_OWNER_SILENT;
    }
    if (MIN(view->epoch_ms, view->reading_ms) > CW_HANDOVER_SETTLE_MS) {
        return CW_HANDOVER_SETTLED;
    }
    return CW_HANDOVER_WAIT;
}

const char *
cw_handover_name(enum cw_handover decision)
{
    switch (decision) {
    case CW_HANDOVER_NO_OWNER:
        return "no_owner";
    case CW_HANDOVER_OWNER_SILENT:
        return "owner_silent";
    case CW_HANDOVER_SETTLED:
        return "settled";
    default:
        return "wait";
    }
}

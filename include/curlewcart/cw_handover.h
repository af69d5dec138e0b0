/* Handover of a shard: decides whether a VM that the group has assigned the
 * shard takes it over now, or lets the present owner go on.
 *
 * After an outage of the store memberships begin again, VMs return, and each
 * join or leave may move the shard.  Each takeover stops orders, and a second
 * one within the lease of the first loses runs whose leases neither owner has
 * renewed.  So a shard that was taken over lately stays where it is for as
 * long as its owner writes.
 *
 * Pure: no I/O and no clock of its own. */
#ifndef CURLEWCART_CW_HANDOVER_H
#define CURLEWCART_CW_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

/* What a VM that is assigned the shard knows about the present owner. */
struct cw_handover_view {
    /* Another VM has begun the latest epoch, and has not told that it has
     * ended or that it leaves. */
    bool is_owned;
    int64_t owner_silent_ms; /* since a record of an owner was read */
    int64_t epoch_ms;        /* since the beginning of the epoch was read */
    int64_t reading_ms;      /* since when reads have been answered */
};

enum cw_handover {
    CW_HANDOVER_WAIT,
    CW_HANDOVER_NO_OWNER,     /* takes over: none, it has ended or leaves */
    CW_HANDOVER_OWNER_SILENT, /* takes over: it has stopped to write */
    CW_HANDOVER_SETTLED       /* takes over: the time to settle has passed */
};

/* Time from a takeover, or from when this VM could read again, in which the
 * shard stays with an owner that writes. */
enum { CW_HANDOVER_SETTLE_MS = 6000 };

/* Decides whether to take over now. */
enum cw_handover cw_handover_decide(const struct cw_handover_view *view);

/* The decision's name in the log. */
const char *cw_handover_name(enum cw_handover decision);

#endif

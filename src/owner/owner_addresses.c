/* Workers that have been listed at the same address.
 *
 * A worker that crashes may start again at its address under a new id.  The
 * list of workers does not tell which of the two is the later one: a report
 * may be stored seconds after it was sent, and an entry may return after its
 * removal.  So another worker's entry ends no run.  It is a reason to poll the
 * address: if the worker with the runs is over, the incarnation that is there
 * refuses the poll. */
#include "owner/internal/owner_addresses.h"

#include "owner/internal/owner_private.h"

enum {
    /* A worker without runs is polled for this long to learn whether it has
     * crashed: longer than a cut that a crashed worker may be behind. */
    DOUBTFUL_MS = 10000
};

void
owner_address_listed(struct owner_target *target)
{
    struct cw_owner *owner = target->owner;
    struct timespec now = owner_now(owner);
    struct owner_target *before =
        g_hash_table_lookup(owner->targets_by_address, target->address);

    if (before != NULL && before != target && !before->superseded) {
        before->doubtful_until = cw_time_add_ms(now, DOUBTFUL_MS);
        before->poll_due = now;
        owner_target_wake(before);
    }
    g_hash_table_replace(owner->targets_by_address, g_strdup(target->address),
                         target);
}

bool
owner_address_is_doubtful(const struct owner_target *target,
                          struct timespec now)
{
    return target->pending_suspicions->len > 0 &&
           cw_time_before(now, target->doubtful_until);
}

/* Which worker is at an address.
 *
 * A worker that crashes may start again at its address under a new id.  The
 * list of workers does not tell which of the two is the later one: a report
 * may be stored seconds after it was sent, and an entry may return after its
 * removal.  So another worker's entry ends no run.  It is a reason to poll the
 * address: if the worker with the runs is over, the incarnation that is there
 * refuses the poll.
 *
 * A refusal proves that the worker is over if the worker's runs can only be at
 * that address, and if it was given after the worker's last answer.  A worker
 * that restarts under its id may be at another address by now, which its
 * report has told, or which a late report of its former incarnation has
 * replaced by the former one.  Answers may overtake each other, so a refusal
 * is known to be the later one only if its order was sent after the worker's
 * last answer had arrived. */
#include "owner/internal/owner_addresses.h"

#include "owner/internal/owner_crashes.h"
#include "owner/internal/owner_private.h"

enum {
    /* A worker without runs is polled for this long to learn whether it has
     * crashed: longer than a cut that a crashed worker may be behind. */
    DOUBTFUL_MS = 10000
};

/* ---- addresses ---- */

const char *
owner_address_of_run(const struct owner_run *run)
{
    const struct owner_target *target = run->target;

    return target->address_boot_ms == run->boot_ms ? target->address : "";
}

void
owner_address_doubt(struct owner_target *target)
{
    struct timespec now = owner_now(target->owner);

    target->doubtful_until = cw_time_add_ms(now, DOUBTFUL_MS);
    target->poll_due = now;
    owner_target_wake(target);
}

void
owner_address_restore(struct owner_target *target, const char *address,
                      int64_t boot_ms)
{
    struct cw_owner *owner = target->owner;

    if (address[0] == '\0' || target->address[0] != '\0') {
        return;
    }
    g_free(target->address);
    target->address = g_strdup(address);
    target->address_boot_ms = boot_ms;
    target->address_boot_at = owner_now(owner);
    if (!g_hash_table_contains(owner->targets_by_address, address)) {
        g_hash_table_insert(owner->targets_by_address, g_strdup(address),
                            target);
    }
}

void
owner_address_listed(struct owner_target *target)
{
    struct cw_owner *owner = target->owner;
    struct owner_target *before =
        g_hash_table_lookup(owner->targets_by_address, target->address);

    if (before != NULL && before != target && !before->superseded) {
        owner_address_doubt(before);
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

/* ---- answers ---- */

/* True if only the worker that the order was meant for gives such an answer.
 */
static bool
shows_own_id(enum cw_target_status status)
{
    switch (status) {
    case CW_TARGET_OK:
    case CW_TARGET_OLD_RUN:
    case CW_TARGET_LATE:
    case CW_TARGET_NO_CAPACITY:
    case CW_TARGET_NO_TICKET:
        return true;
    default:
        return false;
    }
}

void
owner_address_answered(struct owner_target *target,
                       const struct owner_answered_order *order,
                       enum cw_target_status status)
{
    struct cw_owner *owner = target->owner;

    if (!shows_own_id(status)) {
        return;
    }
    target->identified_at = owner_now(owner);
    target->identified_address_changes = order->address_changes;
    if (!target->superseded ||
        cw_time_before(order->sent, target->refused_order_sent))
    {
        return;
    }
    cw_log_info("refusal_refuted", "worker=%s order=%s address=%s", target->id,
                order->kind, target->address);
    target->superseded = false;
    target->poll_due = target->identified_at;
    owner_target_wake(target);
}

/* True if each run that was sent to the worker, or was lost with it, was sent
 * to the incarnation that has reported the address. */
static bool
runs_are_at_address(const struct owner_target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        if (run->phase >= RUN_STARTING &&
            run->boot_ms != target->address_boot_ms) {
            return false;
        }
    }
    return owner_crashes_pending_at(target, target->address_boot_ms);
}

/* Returns why a refusal of the order does not prove that the worker is over;
 * NULL if it does. */
static const char *
doubt_about_refusal(const struct owner_target *target,
                    const struct owner_answered_order *order)
{
    bool identified = target->identified_at.tv_sec > 0;

    if (order->address_changes != target->address_changes) {
        return "moved";
    }
    if (identified &&
        target->identified_address_changes != target->address_changes)
    {
        return "answered_elsewhere";
    }
    if (identified && cw_time_before(order->sent, target->identified_at)) {
        return "answered_since";
    }
    if (cw_time_before(order->sent, target->address_boot_at)) {
        return "restarted_since";
    }
    if (!identified && !runs_are_at_address(target)) {
        return "runs_of_other_life";
    }
    return NULL;
}

bool
owner_address_refused(struct owner_target *target,
                      const struct owner_answered_order *order)
{
    const char *doubt = doubt_about_refusal(target, order);
    struct timespec now = owner_now(target->owner);

    if (doubt != NULL) {
        cw_log_info("refusal_unproved",
                    "worker=%s order=%s sent_ms=%" PRId64
                    " reason=%s address=%s runs=%u",
                    target->id, order->kind, cw_time_diff_ms(order->sent, now),
                    doubt, target->address, target->runs->len);
        cw_time_set_earlier(&target->poll_due, now);
        return false;
    }
    target->superseded = true;
    target->refused_order_sent = order->sent;
    owner_target_lost(target->owner, target,
                      &(struct owner_loss){.reason = "other_life",
                                           .evidence = order->kind,
                                           .order_sent = order->sent});
    owner_target_apply_held_report(target);
    return true;
}

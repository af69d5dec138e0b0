/* Leases of workers: granting them, and the bound on when they end.
 *
 * All runs on a worker end when its lease expires.  Runs of an unresponsive
 * worker are not replaced until then, so that no task runs twice. */
#include "owner/internal/owner_private.h"

enum {
    LEASE_SLACK_MS = 200,
    /* Lease of a worker with confirmed runs: 7 s are tolerated from the
     * failure of a worker until its tasks run elsewhere, however long a lease
     * the platform allows. */
    LONG_LEASE_MS = 5500,
    /* Lease where little work can be lost (lease_ms_for), so that tasks wait
     * for less time if the worker fails; it covers two polls without an
     * answer. */
    SHORT_LEASE_MS = 4000,
    /* Maximum age of the reading of a worker's clock by which a lease is
     * granted: after a longer time the drift of 2% would be a large part of a
     * short lease. */
    CLOCK_FRESH_MS = 30000
};

int64_t
owner_with_drift_ms(int64_t ms)
{
    return ms + ms * OWNER_CLOCK_DRIFT_PERCENT / 100;
}

struct timespec
owner_lease_end_from_record(struct timespec read_at, int64_t left_ms)
{
    return cw_time_add_ms(read_at, owner_with_drift_ms(left_ms) + 1);
}

/* Longest time by this VM's clock that a lease of `lease_ms` on the worker's
 * clock may last. */
static int64_t
max_duration_ms(int64_t lease_ms)
{
    return owner_with_drift_ms(lease_ms) + LEASE_SLACK_MS;
}

int64_t
owner_lease_max_duration_ms(const struct cw_owner *owner)
{
    return max_duration_ms(owner->options.lease_ms);
}

int64_t
owner_lease_max_granted_ms(const struct cw_owner *owner)
{
    return MIN(owner->options.lease_ms, LONG_LEASE_MS);
}

void
owner_lease_raise(struct owner_target *target, struct timespec end,
                  enum owner_lease_source source)
{
    if (cw_time_before(target->lease_end, end)) {
        target->lease_end = end;
        target->lease_source = source;
    }
}

void
owner_lease_lower(struct owner_target *target, struct timespec end,
                  enum owner_lease_source source)
{
    if (cw_time_before(end, target->lease_end)) {
        target->lease_end = end;
        target->lease_source = source;
    }
}

/* From now on the worker refuses orders of earlier owners, so leases that they
 * have granted last no longer than the longest lease from now.  If this owner
 * had no bound for the worker, its lease may last that long. */
void
owner_lease_token_received(struct owner_target *target, struct timespec now)
{
    struct timespec latest =
        cw_time_add_ms(now, owner_lease_max_duration_ms(target->owner));

    if (target->answered_poll_sent_at.tv_sec == 0 && target->runs->len == 0) {
        owner_lease_raise(target, latest, OWNER_LEASE_EARLIER_OWNER);
    }
    owner_lease_lower(target, latest, OWNER_LEASE_EARLIER_OWNER);
}

bool
owner_lease_possibly_granted(const struct owner_target *target)
{
    return target->answered_poll_sent_at.tv_sec > 0 ||
           target->incarnation.lease_sent_ms > 0;
}

const char *
owner_lease_source_name(enum owner_lease_source source)
{
    static const char *const names[] = {
        [OWNER_LEASE_OWN] = "own",
        [OWNER_LEASE_EARLIER_OWNER] = "earlier_owner",
        [OWNER_LEASE_NOTE] = "note",
        [OWNER_LEASE_INCARNATION] = "life",
    };

    return names[source];
}

/* True if the worker has confirmed a run that it may still be executing. */
static bool
has_confirmed_run(const struct owner_target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        if (run->phase == RUN_RUNNING || run->phase == RUN_INHERITED) {
            return true;
        }
    }
    return false;
}

/* Length of the lease to grant.  It is short for a draining worker, whose work
 * will be lost soon, and for one without confirmed runs, of which no work can
 * be lost.  A start grants a short lease as well, so that it does not lengthen
 * the lease that polls renew: the worker may not answer the next poll. */
static int64_t
lease_ms_for(const struct owner_target *target, enum cw_order_kind kind)
{
    int64_t lease_ms = owner_lease_max_granted_ms(target->owner);
    bool grants_short = target->draining || kind == CW_ORDER_START ||
                        !has_confirmed_run(target);

    return grants_short ? MIN(lease_ms, SHORT_LEASE_MS) : lease_ms;
}

/* How far the worker's clock may be behind the time derived from its last
 * reading. */
static int64_t
clock_lag_max_ms(const struct owner_target *target, struct timespec now)
{
    return cw_time_diff_ms(target->incarnation.clock_at, now) *
           OWNER_CLOCK_DRIFT_PERCENT / 100;
}

bool
owner_lease_clock_is_fresh(const struct owner_target *target,
                           struct timespec now)
{
    return target->incarnation.clock_known &&
           cw_time_diff_ms(target->incarnation.clock_at, now) <=
               CLOCK_FRESH_MS;
}

/* Raises the bound on the worker's lease for a lease of `lease_ms` that is
 * granted now and may last `duration_ms`. */
static void
raise_own(struct owner_target *target, int64_t lease_ms, int64_t duration_ms,
          struct timespec now)
{
    struct timespec end = cw_time_add_ms(now, duration_ms);

    if (cw_time_before(target->lease_end, end)) {
        target->lease_granted_at = now;
        target->lease_granted_ms = lease_ms;
    }
    owner_lease_raise(target, end, OWNER_LEASE_OWN);
}

int64_t
owner_lease_grant(struct owner_target *target, enum cw_order_kind kind,
                  struct timespec now)
{
    struct cw_owner *owner = target->owner;
    int64_t lease_ms = lease_ms_for(target, kind);
    /* If a worker may start again under its id, the order may reach its next
     * incarnation, whose clock differs: the lease may be as long as the
     * longest that workers accept. */
    int64_t max_lasting_ms =
        target->incarnation.boot_ms > 0 ? owner->options.lease_ms : lease_ms;
    int64_t until_ms = cw_time_diff_ms(cw_time_from_ms(0), now) +
                       target->incarnation.clock_offset_ms + lease_ms -
                       clock_lag_max_ms(target, now);

    /* While the worker is unresponsive its lease is not extended, so that its
     * tasks can be started elsewhere once the last lease has expired. */
    if (!owner_lease_clock_is_fresh(target, now) ||
        target->lease_note != OWNER_LEASE_NOTE_NONE ||
        owner_tombstone_pending(target) ||
        (target->unanswered_polls > 0 &&
         target->incarnation.lease_sent_ms > 0) ||
        !owner_may_extend_leases(owner, now))
    {
        return target->incarnation.lease_sent_ms;
    }
    if (until_ms > target->incarnation.lease_sent_ms) {
        target->incarnation.lease_sent_ms = until_ms;
    }
    raise_own(target, lease_ms, max_duration_ms(max_lasting_ms), now);
    return target->incarnation.lease_sent_ms;
}

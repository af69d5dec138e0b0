/* Leases of workers: what is given, and until when one may last.
 *
 * All that runs on a worker ends with its lease.  A worker that is silent is
 * waited for until then, so that no task runs twice. */
#include "owner/internal/owner_private.h"

enum {
    LEASE_SLACK_MS = 200,
    /* Of a worker that works: 7 s from its end until its tasks run elsewhere
     * are borne, however long a lease the platform allows. */
    LONG_LEASE_MS = 5500,
    /* Of a worker with little to lose, so that less is waited for if it dies;
     * two looks without an answer fit in. */
    SHORT_LEASE_MS = 4000,
    /* A reading of a worker's clock that is older gives no lease: 2% of it
     * would be much of a short one. */
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

/* How long a lease of so many ms of the worker's clock may last by ours. */
static int64_t
most_ms(int64_t lease_ms)
{
    return owner_with_drift_ms(lease_ms) + LEASE_SLACK_MS;
}

int64_t
owner_lease_max_duration_ms(const struct cw_owner *owner)
{
    return most_ms(owner->options.lease_ms);
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

/* From then on it refuses earlier owners: what they gave lasts no longer than
 * a lease may.  Where nothing was known of it, it may last so long. */
void
owner_lease_token_seen(struct owner_target *target, struct timespec now)
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

/* True if the worker has confirmed a run that it may be at work on. */
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

/* A worker that leaves takes its work with it soon; one that has confirmed
 * none has none to lose.  A start gives no more than that either, so that it
 * does not lengthen the lease that looks keep up: the next look may find the
 * worker silent. */
static int64_t
lease_ms_for(const struct owner_target *target, enum cw_order_kind kind)
{
    int64_t lease_ms = owner_lease_max_granted_ms(target->owner);
    bool is_short = target->draining || kind == CW_ORDER_START ||
                    !has_confirmed_run(target);

    return is_short ? MIN(lease_ms, SHORT_LEASE_MS) : lease_ms;
}

/* How far the worker's clock may be behind what its last reading tells. */
static int64_t
clock_behind_ms(const struct owner_target *target, struct timespec now)
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

int64_t
owner_lease_grant(struct owner_target *target, enum cw_order_kind kind,
                  struct timespec now)
{
    struct cw_owner *owner = target->owner;
    int64_t lease_ms = lease_ms_for(target, kind);
    /* Where a worker may start again under its id, the order may meet its next
     * life, whose clock is another: as long as a lease may be. */
    int64_t lasts_ms =
        target->incarnation.boot_ms > 0 ? owner->options.lease_ms : lease_ms;
    int64_t until_ms = cw_time_diff_ms(cw_time_from_ms(0), now) +
                       target->incarnation.clock_offset_ms + lease_ms -
                       clock_behind_ms(target, now);

    /* While it is silent its lease is not extended, so that the tasks there
     * can be started elsewhere once the last one has passed. */
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
    owner_lease_raise(target, cw_time_add_ms(now, most_ms(lasts_ms)),
                      OWNER_LEASE_OWN);
    return target->incarnation.lease_sent_ms;
}

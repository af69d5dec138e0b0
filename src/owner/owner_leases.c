/* Leases of workers: granting them, and the bound on when they end.
 *
 * All runs on a worker end when its lease expires.  Runs of an unresponsive
 * worker are not replaced until then, so that no task runs twice. */
#include "owner/internal/owner_placement.h"

#include <assert.h>

#include "curlewcart/cw_voter.h"

enum {
    LEASE_SLACK_MS = 200,
    /* The platform tolerates 3 s in which nothing of a job runs, from the end
     * of its last run on.  While work arrives, these 3 s begin 4 s after the
     * last fault; some time after the last arrival they begin at once. */
    IDLE_TOLERATED_MS = 3000,
    CALM_AFTER_FAULT_MS = 4000,
    /* Time from the end of a lease until the tasks run elsewhere: a placement
     * pass, an append to the store and a start. */
    RESTART_MAX_MS = 350,
    /* Lease of a worker with confirmed runs in a busy service, where work that
     * is lost takes capacity from other work. */
    LONG_LEASE_MS = 5500,
    /* Lease of a worker without confirmed runs in a busy service: little work
     * can be lost, and tasks wait for less time if the worker fails. */
    UNCONFIRMED_LEASE_MS = 4000,
    /* Maximum age of the reading of a worker's clock by which a lease is
     * granted: after a longer time the drift of 2% would be a large part of a
     * short lease. */
    CLOCK_FRESH_MS = 30000,
    PERCENT = 100
};

static_assert(OWNER_SHORT_LEASE_MS * (PERCENT + OWNER_CLOCK_DRIFT_PERCENT) /
                          PERCENT +
                      LEASE_SLACK_MS + RESTART_MAX_MS <=
                  IDLE_TOLERATED_MS,
              "tasks of a silent worker have to run elsewhere in time");
static_assert(LONG_LEASE_MS * (PERCENT + OWNER_CLOCK_DRIFT_PERCENT) / PERCENT +
                      LEASE_SLACK_MS + RESTART_MAX_MS <=
                  CALM_AFTER_FAULT_MS + IDLE_TOLERATED_MS,
              "tasks of a silent worker have to run elsewhere in time");

static_assert(CW_SUPPORT_MS +
                      LONG_LEASE_MS * (PERCENT + OWNER_CLOCK_DRIFT_PERCENT) /
                          PERCENT +
                      LEASE_SLACK_MS + RESTART_MAX_MS <=
                  CALM_AFTER_FAULT_MS + IDLE_TOLERATED_MS,
              "tasks of a worker that is lost with its owner have to run "
              "elsewhere in time");

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
owner_lease_duration_ms(int64_t lease_ms)
{
    return max_duration_ms(lease_ms);
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
owner_lease_raise_outer(struct owner_target *target, struct timespec end,
                        enum owner_lease_source source)
{
    if (cw_time_before(target->lease_end, end)) {
        target->lease_end = end;
        target->lease_source = source;
    }
}

/* Raises the bound that applies to runs of the present incarnation. */
static void
raise_incarnation_bound(struct owner_target *target, struct timespec end)
{
    cw_time_set_later(&target->incarnation.lease_end, end);
}

void
owner_lease_set(struct owner_target *target, struct timespec end,
                enum owner_lease_source source)
{
    target->lease_end = end;
    target->lease_source = source;
    target->incarnation.lease_end = end;
}

void
owner_lease_raise(struct owner_target *target, struct timespec end,
                  enum owner_lease_source source)
{
    owner_lease_raise_outer(target, end, source);
    raise_incarnation_bound(target, end);
}

void
owner_lease_lower(struct owner_target *target, struct timespec end,
                  enum owner_lease_source source)
{
    if (cw_time_before(end, target->lease_end)) {
        target->lease_end = end;
        target->lease_source = source;
    }
    cw_time_set_earlier(&target->incarnation.lease_end, end);
}

/* From now on the worker refuses orders of earlier owners, so leases that they
 * have granted last no longer than the longest lease from now, and no longer
 * than their records tell.  If this owner had no bound for the worker, its
 * lease may last that long. */
void
owner_lease_token_received(struct owner_target *target, struct timespec now)
{
    struct timespec latest =
        cw_time_add_ms(now, owner_lease_max_duration_ms(target->owner));

    if (target->answered_poll_sent_at.tv_sec == 0 && target->runs->len == 0) {
        struct timespec end = latest;

        /* A worker that may restart under its id may receive orders late. */
        if (target->incarnation.boot_ms == 0) {
            cw_time_set_earlier(
                &end, owner_epochs_worker_end(target->owner, target->id));
        }
        owner_lease_raise(target, end, OWNER_LEASE_EARLIER_OWNER);
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

bool
owner_lease_is_short(const struct owner_target *target, struct timespec now)
{
    return target->draining || !owner_lease_terms_allow_long(target->owner) ||
           !owner_service_is_busy(target->owner, target->service, now);
}

/* Length of the lease to grant. */
static int64_t
lease_ms_for(const struct owner_target *target, struct timespec now)
{
    int64_t lease_ms = owner_lease_max_granted_ms(target->owner);

    if (owner_lease_is_short(target, now)) {
        return MIN(lease_ms, OWNER_SHORT_LEASE_MS);
    }
    return has_confirmed_run(target) ? lease_ms
                                     : MIN(lease_ms, UNCONFIRMED_LEASE_MS);
}

/* Returns the time from which the lease counts.  A run may end just after the
 * worker's last answer, so the lease counts from that answer, however much
 * later the order is sent; and from the request for the support that allows
 * it, which is the last that a new owner knows of this one. */
static struct timespec
lease_begin(const struct owner_target *target, struct timespec now)
{
    struct timespec begin = owner_quorum_lease_start(target->owner, now);

    if (has_confirmed_run(target) &&
        target->incarnation.poll_answered_at.tv_sec > 0)
    {
        cw_time_set_earlier(&begin, target->incarnation.poll_answered_at);
    }
    return begin;
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

bool
owner_lease_may_be_granted(const struct owner_target *target,
                           struct timespec now)
{
    /* A worker that reports when it booted may restart under its id, and an
     * order may grant its next incarnation the longest lease. */
    return owner_may_extend_leases(target->owner, now) &&
           (target->incarnation.boot_ms == 0 ||
            owner_lease_terms_allow_long(target->owner));
}

/* True if an order that is sent now may extend the worker's lease. */
static bool
may_extend(const struct owner_target *target, enum cw_order_kind kind,
           struct timespec now)
{
    bool granted = target->incarnation.lease_sent_ms > 0;

    /* While the worker is unresponsive its lease is not extended, so that its
     * tasks can be started elsewhere once the last lease has expired. */
    if (granted && target->unanswered_polls > 0) {
        return false;
    }
    /* Polls renew the lease of a worker that executes runs.  The worker may
     * not answer the next poll, so that a start must not extend it; neither
     * may a start that follows one without an answer. */
    if (granted && kind == CW_ORDER_START &&
        (has_confirmed_run(target) || target->start_unanswered))
    {
        return false;
    }
    return owner_lease_clock_is_fresh(target, now) &&
           target->lease_note == OWNER_LEASE_NOTE_NONE &&
           !owner_tombstone_pending(target) &&
           owner_lease_may_be_granted(target, now);
}

/* Returns how long the lease that was sent lasts from now on, by the worker's
 * clock; at most as long as workers accept. */
static int64_t
sent_lease_left_ms(const struct owner_target *target, struct timespec now)
{
    int64_t clock_ms = cw_time_diff_ms(cw_time_from_ms(0), now) +
                       target->incarnation.clock_offset_ms -
                       clock_lag_max_ms(target, now);

    return MIN(target->incarnation.lease_sent_ms - clock_ms,
               target->owner->options.lease_ms);
}

/* Raises the bounds for an order that is sent now with the lease that was
 * sent. */
static void
raise_for_order(struct owner_target *target, struct timespec now)
{
    int64_t left_ms = sent_lease_left_ms(target, now);
    /* If a worker may start again under its id, the order may reach its next
     * incarnation, whose clock differs: the lease may be as long as the
     * longest that workers accept. */
    int64_t outer_ms = target->incarnation.boot_ms > 0
                           ? target->owner->options.lease_ms
                           : left_ms;
    struct timespec end;

    raise_incarnation_bound(target,
                            cw_time_add_ms(now, max_duration_ms(left_ms)));
    end = cw_time_add_ms(now, max_duration_ms(outer_ms));
    owner_lease_raise_outer(target, end, OWNER_LEASE_OWN);
    cw_time_set_later(&target->own_leases_end, end);
}

int64_t
owner_lease_grant(struct owner_target *target, enum cw_order_kind kind,
                  struct timespec now)
{
    struct timespec end;
    int64_t until_ms;

    if (may_extend(target, kind, now)) {
        end = cw_time_add_ms(lease_begin(target, now),
                             lease_ms_for(target, now));
        until_ms = cw_time_diff_ms(cw_time_from_ms(0), end) +
                   target->incarnation.clock_offset_ms -
                   clock_lag_max_ms(target, now);
        if (until_ms > target->incarnation.lease_sent_ms) {
            target->incarnation.lease_sent_ms = until_ms;
            target->lease_granted_at = now;
            target->lease_granted_ms = cw_time_diff_ms(now, end);
            owner_lease_terms_granted(target->owner, end);
        }
    }
    if (target->incarnation.lease_sent_ms > 0 &&
        target->unanswered_polls == 0 && target->incarnation.clock_known)
    {
        raise_for_order(target, now);
    }
    return target->incarnation.lease_sent_ms;
}

int64_t
owner_lease_late_start_max_ms(const struct cw_owner *owner)
{
    return OWNER_ORDER_LATE_MAX_MS + owner_lease_max_duration_ms(owner);
}

/* True if a start that was sent at `sent`, or the lease that it grants, may
 * still begin or last in the next incarnation of the worker. */
static bool
may_start_late(const struct cw_owner *owner, struct timespec sent,
               struct timespec now)
{
    return cw_time_diff_ms(sent, now) <= owner_lease_late_start_max_ms(owner);
}

bool
owner_lease_run_ends_with_incarnation(const struct owner_run *run)
{
    const struct owner_target *target = run->target;
    const struct cw_owner *owner = target->owner;
    struct timespec now = owner_now(owner);

    if (!owner_incarnation_was_executing(run)) {
        return false;
    }
    if (target->incarnation.boot_ms == 0) {
        return true; /* such workers never restart under their id */
    }
    if (may_start_late(owner, target->incarnation.restarted_at, now)) {
        return false; /* orders to the former incarnation may arrive */
    }
    /* An earlier owner sent the start before the takeover. */
    if (run->sent_at.tv_sec == 0) {
        return !may_start_late(owner, owner->takeover_began_at, now);
    }
    return run->unanswered == 0 || !may_start_late(owner, run->sent_at, now);
}

struct timespec
owner_lease_first_end(const struct owner_target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        if (owner_lease_run_ends_with_incarnation(target->runs->pdata[i])) {
            return target->incarnation.lease_end;
        }
    }
    return target->lease_end;
}

struct timespec
owner_lease_last_end(const struct owner_target *target)
{
    bool any = false;

    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        if (run->phase >= RUN_STARTING) {
            any = true;
            if (!owner_lease_run_ends_with_incarnation(run)) {
                return target->lease_end;
            }
        }
    }
    return any ? target->incarnation.lease_end : target->lease_end;
}

/* Incarnations of workers under one id.
 *
 * A worker that crashes may start again under the same id.  It then has no
 * runs and no state of its former incarnation: the numbers of its ends start
 * again at 1, its clock may differ, and it has neither the fencing token nor
 * the stops that it had received.  The boot time in its answers to polls, not
 * its id, identifies the incarnation that such values belong to.  A report in
 * the store contains the boot time as well, but may be stored seconds after it
 * was sent, and the worker's wall clock may be set back between two
 * incarnations, so it does not tell which of two incarnations is the later
 * one.  So a report ends no run: it makes a poll due, and no start is sent
 * until that has been answered.
 */
#include "owner/internal/owner_placement.h"

enum { PERCENT = 100 };

struct owner_incarnation
owner_incarnation_new(int64_t boot_ms)
{
    struct owner_incarnation incarnation = {.boot_ms = boot_ms,
                                            .speed = cw_worker_speed_new()};

    return incarnation;
}

bool
owner_run_is_of_other_incarnation(const struct owner_run *run, int64_t boot_ms)
{
    return run->boot_ms > 0 && boot_ms > 0 && run->boot_ms != boot_ms;
}

/* Marks all stops as unconfirmed, so that they are sent again: the new
 * incarnation does not have the stops that the former one has confirmed, and
 * would carry out a start that is still in flight. */
static void
clear_confirmed_stops(struct owner_target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        ((struct owner_run *)target->runs->pdata[i])->stop_confirmed = false;
    }
}

/* Stops runs of at-most-once jobs that the former incarnation may have begun.
 * Runs that were sent stay until they are known to be gone. */
static void
stop_at_most_once_starts(struct owner_target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        struct owner_run *run = target->runs->pdata[i];

        if (run->phase == RUN_STARTING && run->unanswered > 0 &&
            owner_task_job(run->task)->spec->once)
        {
            owner_run_evict(target->owner, run);
        }
    }
}

/* Raises the bound on the lease: orders that were sent to the former
 * incarnation may have granted the new one a lease by the former clock, which
 * may be as long as the longest lease that workers accept. */
static void
raise_lease_bound(struct owner_target *target, struct timespec now)
{
    owner_lease_raise(
        target,
        cw_time_add_ms(now, owner_lease_max_duration_ms(target->owner)),
        OWNER_LEASE_INCARNATION);
}

/* Determines which of the reported incarnations are over. */
static void
resolve_boot_times(struct owner_target *target, int64_t boot_ms,
                   struct timespec sent)
{
    unsigned over = owner_boot_times_answered(
        &target->boot_times, boot_ms, target->incarnation.boot_ms, sent);

    if (over > 0) {
        cw_log_info("worker_boot_over",
                    "worker=%s answered_born_ms=%" PRId64 " over=%u",
                    target->id, boot_ms, over);
    }
}

bool
owner_incarnation_answered(struct owner_target *target, int64_t boot_ms,
                           struct timespec sent)
{
    struct cw_owner *owner = target->owner;
    int64_t before_ms = target->incarnation.boot_ms;

    if (boot_ms == 0) {
        return false;
    }
    resolve_boot_times(target, boot_ms, sent);
    if (boot_ms == before_ms) {
        return false;
    }
    if (before_ms == 0) {
        target->incarnation.boot_ms = boot_ms;
        return false;
    }
    cw_log_info("worker_restarted",
                "worker=%s born_ms=%" PRId64 " before_ms=%" PRId64
                " runs=%u ends=%" PRIu64 " confirmed=%" PRIu64 " draining=%d",
                target->id, boot_ms, before_ms, target->runs->len,
                target->incarnation.ends_applied,
                target->incarnation.ends_confirmed, target->draining);
    cw_count_add(owner->options.counters, CW_COUNT_RESTARTS, 1);
    target->incarnation = owner_incarnation_new(boot_ms);
    target->incarnation.restarted_at = owner_now(owner);
    clear_confirmed_stops(target);
    stop_at_most_once_starts(target);
    raise_lease_bound(target, owner_now(owner));
    owner->capacity_version++;
    owner->placement_wanted = true;
    return true;
}

/* Returns how far the worker's clock is expected to be ahead of this VM's; it
 * may run slow. */
static int64_t
clock_ahead_now_ms(const struct owner_incarnation *incarnation,
                   struct timespec now)
{
    return incarnation->clock_ahead_ms -
           cw_time_diff_ms(incarnation->clock_ahead_at, now) *
               OWNER_CLOCK_DRIFT_PERCENT / PERCENT;
}

struct timespec
owner_incarnation_answer_given(struct owner_target *target, int64_t clock_ms,
                               struct timespec sent, struct timespec now)
{
    struct owner_incarnation *incarnation = &target->incarnation;
    int64_t ahead_ms = clock_ms - cw_time_diff_ms(cw_time_from_ms(0), now);
    bool known = incarnation->clock_ahead_at.tv_sec > 0;
    struct timespec given = sent;

    if (clock_ms <= 0) {
        return sent;
    }
    if (known) {
        int64_t held_up_ms = clock_ahead_now_ms(incarnation, now) - ahead_ms;

        given = cw_time_add_ms(now, -MAX(0, held_up_ms));
    }
    if (!known || ahead_ms >= clock_ahead_now_ms(incarnation, now)) {
        incarnation->clock_ahead_ms = ahead_ms;
        incarnation->clock_ahead_at = now;
    }
    return cw_time_before(given, sent) ? sent : given;
}

void
owner_incarnation_add_tombstone(const struct owner_run *run)
{
    struct cw_task_name name = owner_task_name(run->task);

    if (run->unanswered > 0) {
        owner_order_queue(run->target->owner, run->target, CW_ORDER_STOP,
                          &name, run->number);
    }
}

/* True if the run's start may be held up on its way to a later incarnation
 * than the one that it was meant for. */
static bool
may_begin_late(const struct owner_run *run)
{
    const struct owner_target *target = run->target;

    return run->phase == RUN_STARTING && !run->stop_confirmed &&
           run->boot_ms > 0 &&
           (run->boot_ms != target->incarnation.boot_ms ||
            owner_boot_times_unresolved(&target->boot_times,
                                        cw_time_from_ms(0)));
}

/* Raises the bound on the lease if a start may be held up on its way to a
 * later incarnation.  To that one, whose clock may be behind, the start is not
 * late: it is carried out whenever it arrives, under a lease that counts from
 * then. */
static void
await_late_starts(struct owner_target *target)
{
    int64_t late_ms = owner_lease_late_start_max_ms(target->owner);

    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        if (may_begin_late(run)) {
            owner_lease_raise_outer(target,
                                    cw_time_add_ms(run->sent_at, late_ms),
                                    OWNER_LEASE_INCARNATION);
        }
    }
}

bool
owner_incarnation_unknown(const struct owner_target *target)
{
    return target->incarnation.boot_ms > 0 &&
           owner_boot_times_unresolved(&target->boot_times,
                                       target->answered_poll_sent_at);
}

void
owner_incarnation_unresponsive(struct owner_target *target)
{
    bool start_in_flight = target->orders_in_flight > 0;

    /* The bound on leases of earlier owners covers late orders already, and a
     * worker that reports no boot time has no next incarnation. */
    if (!owner_lease_possibly_granted(target) ||
        MAX(target->incarnation.boot_ms, target->reported_boot_ms) == 0)
    {
        return;
    }
    for (guint i = 0; !start_in_flight && i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        start_in_flight = run->phase == RUN_STARTING;
    }
    if (start_in_flight) {
        target->lease_end =
            cw_time_add_ms(target->lease_end, OWNER_ORDER_DELAY_MAX_MS);
    }
    await_late_starts(target);
}

bool
owner_incarnation_was_executing(const struct owner_run *run)
{
    const struct owner_target *target = run->target;

    return run->phase == RUN_RUNNING &&
           run->boot_ms == target->incarnation.boot_ms &&
           cw_time_before(run->started_at, target->answered_poll_sent_at);
}

/* Returns what is known of the order of the reported incarnation and the one
 * that answered last, for the log. */
static const char *
order_name(const struct owner_target *target, int64_t boot_ms)
{
    if (boot_ms == target->incarnation.boot_ms) {
        return "present";
    }
    return owner_boot_times_is_over(&target->boot_times, boot_ms) ? "over"
                                                                  : "unknown";
}

static void
log_reported(const struct owner_target *target, int64_t boot_ms)
{
    cw_log(target->owner->state == OWNER_ACTIVE ? G_LOG_LEVEL_INFO
                                                : G_LOG_LEVEL_DEBUG,
           "worker_boot_reported",
           "worker=%s born_ms=%" PRId64 " before_ms=%" PRId64
           " answered_born_ms=%" PRId64 " order=%s silent=%u runs=%u",
           target->id, boot_ms, target->reported_boot_ms,
           target->incarnation.boot_ms, order_name(target, boot_ms),
           target->unanswered_polls, target->runs->len);
}

void
owner_incarnation_reported(struct owner_target *target, int64_t boot_ms)
{
    struct timespec now = owner_now(target->owner);

    if (boot_ms == 0) {
        return;
    }
    if (boot_ms != target->reported_boot_ms) {
        log_reported(target, boot_ms);
    }
    if (owner_boot_times_is_over(&target->boot_times, boot_ms)) {
        return;
    }
    target->reported_boot_ms = boot_ms;
    if (boot_ms == target->incarnation.boot_ms ||
        !owner_boot_times_add(&target->boot_times, boot_ms, now))
    {
        return;
    }
    target->superseded = false;
    target->poll_due = now;
    owner_target_wake(target);
    if (target->unanswered_polls > 0) {
        await_late_starts(target);
    }
}

/* Workers that leave: work that would be lost with them is moved in time.
 *
 * A worker that drains ends all that it runs when it goes.  Without an order
 * its runs would be known as lost only when their lease is over, seconds
 * later.  A run with checkpoints that cannot end before is stopped at once,
 * which saves what it has done.  Other runs stay: workers often stay on for
 * seconds, and stopping those that could not end either earned nothing in a
 * trial (docs/PLATFORM.md). */
#include "owner/internal/owner_private.h"

enum {
    /* The worker's report was written, and is read, so long ago at most. */
    NOTICE_AGE_MS = 300,
    PERCENT = 100
};

void
owner_drain_announced(struct owner_target *target, int64_t remaining_ms,
                      struct timespec now)
{
    target->drain_until = cw_time_add_ms(now, remaining_ms - NOTICE_AGE_MS);
}

/* Milliseconds that the run's own work still takes; -1 unknown. */
static int64_t
own_left_ms(const struct owner_run *run)
{
    if (run->percent >= PERCENT) {
        return 0;
    }
    if (!run->rate_known || run->rate <= 0) {
        return -1;
    }
    return (int64_t)((PERCENT - run->percent) * CW_MS_PER_S / run->rate);
}

/* Milliseconds until the run ends, for a gang's with its last member; -1
 * unknown. */
static int64_t
left_ms(const struct owner_run *run)
{
    const struct owner_step *step = run->task->step;
    int64_t longest_ms = own_left_ms(run);

    for (unsigned i = 0; step->spec->gang && i < step->count; i++) {
        const struct owner_run *member = step->tasks[i].run;
        int64_t member_ms = member != NULL ? own_left_ms(member) : -1;

        if (member_ms < 0 || longest_ms < 0) {
            return -1;
        }
        longest_ms = MAX(longest_ms, member_ms);
    }
    return longest_ms;
}

static bool
should_move(const struct owner_run *run, struct timespec now)
{
    const struct cw_step_spec *spec = run->task->step->spec;
    int64_t stays_ms = cw_time_diff_ms(now, run->target->drain_until);
    int64_t takes_ms = left_ms(run);

    if (run->phase != RUN_RUNNING || run->stopping || run->gang_done ||
        owner_at_most_once_protects(run))
    {
        return false;
    }
    if (spec->endless) {
        return true;
    }
    return spec->checkpoints && (takes_ms < 0 || takes_ms > stays_ms);
}

static void
move(struct cw_owner *owner, struct owner_run *run, struct timespec now)
{
    struct cw_task_name name = owner_task_name(run->task);

    cw_log_info("run_evacuated",
                "id=%s task=%u.%u.%u run=%u worker=%s percent=%u "
                "left_ms=%" PRId64 " stays_ms=%" PRId64,
                name.job, name.occurrence, name.step, name.index, run->number,
                run->target->id, run->percent, left_ms(run),
                cw_time_diff_ms(now, run->target->drain_until));
    owner_run_evict_for(owner, run, OWNER_IDLE_EVACUATED);
}

void
owner_drain_tick(struct cw_owner *owner, struct owner_target *target,
                 struct timespec now)
{
    if (!target->draining || !owner_may_order(owner, now)) {
        return;
    }
    /* Running members are stopped by order and stay in the table until
     * their end is listed; members not sent yet may leave it. */
    for (guint i = target->runs->len; i-- > 0;) {
        if (i < target->runs->len && should_move(target->runs->pdata[i], now))
        {
            move(owner, target->runs->pdata[i], now);
        }
    }
}

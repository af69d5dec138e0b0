/* Draining workers: moves work that would be lost with them.
 *
 * A draining worker ends all its runs when it shuts down.  The owner would
 * detect that they are lost only when the lease expires, seconds later.  So a
 * run with checkpoints that cannot end in time is stopped at once, which saves
 * its work.  Other runs stay: workers often remain for seconds, and it is no
 * gain to stop also those other runs that cannot end in time
 * (docs/PLATFORM.md). */
#include "owner/internal/owner_private.h"

enum {
    /* Maximum age of the worker's report when it is read. */
    REPORT_MAX_AGE_MS = 300,
    PERCENT = 100
};

void
owner_drain_announced(struct owner_target *target, int64_t remaining_ms,
                      struct timespec now)
{
    target->drain_until =
        cw_time_add_ms(now, remaining_ms - REPORT_MAX_AGE_MS);
}

static void
log_given_up(const struct cw_owner *owner, const struct owner_run *run,
             struct timespec now)
{
    (void)owner;
    (void)now;
    owner_start_log_disallowed(run, "draining");
}

void
owner_drain_give_up_unsent(struct cw_owner *owner, struct owner_target *target)
{
    owner_unsent_runs_give_up(owner, target, log_given_up);
}

/* Returns how many milliseconds the run's own work still takes; -1 unknown. */
static int64_t
own_time_to_end_ms(const struct owner_run *run)
{
    if (run->percent >= PERCENT) {
        return 0;
    }
    if (!run->rate_known || run->rate <= 0) {
        return -1;
    }
    return (int64_t)((PERCENT - run->percent) * CW_MS_PER_S / run->rate);
}

/* Returns in how many milliseconds the run ends; -1 unknown.  A gang's runs
 * end with its last member. */
static int64_t
time_to_end_ms(const struct owner_run *run)
{
    const struct owner_step *step = run->task->step;
    int64_t longest_ms = own_time_to_end_ms(run);

    for (unsigned i = 0; step->spec->gang && i < step->count; i++) {
        const struct owner_run *member = step->tasks[i].run;
        int64_t member_ms = member != NULL ? own_time_to_end_ms(member) : -1;

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
    int64_t available_ms = cw_time_diff_ms(now, run->target->drain_until);
    int64_t needed_ms = time_to_end_ms(run);

    if (run->phase != RUN_RUNNING || run->stopping || run->gang_done ||
        owner_at_most_once_protects(run))
    {
        return false;
    }
    if (spec->endless) {
        return true;
    }
    return spec->checkpoints && (needed_ms < 0 || needed_ms > available_ms);
}

static void
evict_run(struct cw_owner *owner, struct owner_run *run, struct timespec now)
{
    struct cw_task_name name = owner_task_name(run->task);

    cw_log_info("run_evacuated",
                "id=%s task=%u.%u.%u run=%u worker=%s percent=%u "
                "left_ms=%" PRId64 " stays_ms=%" PRId64,
                name.job, name.occurrence, name.step, name.index, run->number,
                run->target->id, run->percent, time_to_end_ms(run),
                cw_time_diff_ms(now, run->target->drain_until));
    owner_run_evict_for(owner, run, OWNER_IDLE_DRAINED);
}

void
owner_drain_tick(struct cw_owner *owner, struct owner_target *target,
                 struct timespec now)
{
    if (!target->draining || !owner_may_order(owner, now)) {
        return;
    }
    /* Runs that were sent stay in the array until the worker has listed their
     * end; members of a gang whose start was not sent yet may be removed. */
    for (guint i = target->runs->len; i-- > 0;) {
        if (i < target->runs->len && should_move(target->runs->pdata[i], now))
        {
            evict_run(owner, target->runs->pdata[i], now);
        }
    }
}

/* Ends of gang members that prove that the run of another member is over.
 *
 * A member ends as broken because another member has ended before.  If all
 * members of a run but one have ended as broken, the other one was the first
 * to end, in another way or with its worker.  If its worker does not answer,
 * the gang is started again without waiting for the end of the worker's
 * lease.
 *
 * The conclusion holds only if each member ended at most once in this run, so
 * each must have been sent a single start, by this owner.  A start that was
 * sent again, or by an earlier owner, may be carried out by the next
 * incarnation of the worker after the run has ended on this one.  A run that
 * was not confirmed may still begin.  While a stop takes effect the other
 * members may end before the run that was stopped, so a gang that was to be
 * stopped before the first end was heard proves nothing.
 *
 * The end that was not heard may have been a failure.  It counts as an attempt
 * if the worker lists it before its lease has lapsed.  Until that is known the
 * gang is not started in a way that would exceed its attempts.
 *
 * Several members may fail in one run, and their ends may be heard seconds
 * apart, after a later run has failed or by another owner.  So each run of a
 * member that is outstanding knows whether the gang's failure in it was
 * counted, and the state that is stored tells it. */
#include "owner/internal/owner_crashes.h"

enum {
    /* No lease that an earlier owner granted lasts longer than this after a
     * takeover; most are known to end sooner. */
    EARLIER_LEASE_MAX_MS = 17000,
    /* A worker that crashes takes longer than this to start again. */
    RESTART_MIN_MS = 250
};

/* ---- ends that were not heard ---- */

/* True if the task's run is over, its end was not heard, and its worker may
 * list the end before its lease has lapsed. */
static bool
awaits_end(const struct owner_task *task, struct timespec now)
{
    return task->unheard_run > 0 && cw_time_before(now, task->unheard_until);
}

/* Returns the number of failures of the gang, with those that may have been
 * failures. */
static unsigned
possible_failures(const struct owner_step *step, struct timespec now)
{
    unsigned failures = step->failures;

    for (unsigned i = 0; i < step->count; i++) {
        failures += !step->tasks[i].unheard_counted &&
                    awaits_end(&step->tasks[i], now);
    }
    return failures;
}

/* True if the gang must not be started after this many failures. */
static bool
are_too_many(const struct owner_step *step, unsigned failures)
{
    return !step->spec->endless &&
           failures >= step->occurrence->job->spec->max_attempts;
}

bool
owner_gang_ends_delay(const struct owner_step *step, struct timespec now)
{
    unsigned failures;

    if (!step->spec->gang || step->done) {
        return false;
    }
    failures = possible_failures(step, now);
    return failures > step->failures && are_too_many(step, failures);
}

static void
await_end(struct owner_run *run, struct timespec now)
{
    struct owner_target *target = run->target;

    run->task->unheard_run = run->number;
    run->task->unheard_counted = run->gang_failure_counted;
    run->task->unheard_on = target;
    run->task->unheard_until = target->lease_end;
    target->awaits_ends = true;
    target->ends_awaited_since = now;
    target->ends_awaited_until = target->lease_end;
}

static void
await_no_end(struct cw_owner *owner, struct owner_task *task)
{
    task->unheard_run = 0;
    task->unheard_counted = false;
    owner->placement_wanted = true;
    owner_job_mark_dirty(owner, owner_task_job(task));
}

bool
owner_gang_ends_heard_late(struct cw_owner *owner, struct owner_task *task,
                           const struct cw_ended *ended)
{
    bool counts = ended->how == CW_END_KIND_FAILED &&
                  awaits_end(task, owner_now(owner)) && !task->unheard_counted;

    if (!task->step->spec->gang || task->unheard_run != ended->run) {
        return false;
    }
    await_no_end(owner, task);
    return counts;
}

void
owner_gang_ends_failure_counted(struct owner_step *step, unsigned run)
{
    for (unsigned i = 0; i < step->count; i++) {
        struct owner_task *task = &step->tasks[i];

        if (task->run != NULL && task->run->number == run) {
            task->run->gang_failure_counted = true;
        }
        if (task->unheard_run > 0 && task->unheard_run == run) {
            task->unheard_counted = true;
        }
    }
}

/* Adds a row for the number of a run unless the step has one. */
static void
encode_failed_run(const struct owner_step *step, unsigned run, GArray *rows,
                  guint first_row)
{
    struct cw_crash_record row = {.occurrence = step->occurrence->number,
                                  .step = step->number,
                                  .task = CW_CRASH_TASK_GANG,
                                  .suspicion = run};

    for (guint i = first_row; i < rows->len; i++) {
        if (g_array_index(rows, struct cw_crash_record, i).suspicion == run) {
            return;
        }
    }
    if (rows->len < CW_TASKS_MAX) {
        g_array_append_val(rows, row);
    }
}

void
owner_gang_ends_encode(const struct owner_step *step, GArray *rows)
{
    guint first_row = rows->len;

    for (unsigned i = 0; step->spec->gang && i < step->count; i++) {
        const struct owner_task *task = &step->tasks[i];

        if (task->run != NULL && task->run->gang_failure_counted) {
            encode_failed_run(step, task->run->number, rows, first_row);
        }
        if (task->unheard_counted) {
            encode_failed_run(step, task->unheard_run, rows, first_row);
        }
    }
}

void
owner_gang_ends_restore(struct cw_owner *owner, struct owner_task *task,
                        unsigned run)
{
    if (run > 0) {
        task->unheard_run = run;
        task->unheard_until =
            cw_time_add_ms(owner_now(owner), EARLIER_LEASE_MAX_MS);
        owner->ends_awaited_until = task->unheard_until;
    }
}

static void
await_no_ends_of_step(struct cw_owner *owner, struct owner_step *step,
                      const struct owner_target *target)
{
    for (unsigned i = 0; step->spec->gang && i < step->count; i++) {
        struct owner_task *task = &step->tasks[i];

        if (task->unheard_run > 0 && task->unheard_on == target) {
            await_no_end(owner, task);
        }
    }
}

/* Ends the wait for ends on the worker; NULL: for those that an earlier owner
 * has not heard. */
static void
await_no_ends(struct cw_owner *owner, const struct owner_target *target)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_job *job = value;

        for (guint i = 0; i < job->open->len; i++) {
            struct owner_occurrence *occurrence = job->open->pdata[i];

            for (unsigned k = 0; k < occurrence->count; k++) {
                await_no_ends_of_step(owner, &occurrence->steps[k], target);
            }
        }
    }
}

void
owner_gang_ends_all_listed(struct owner_target *target, struct timespec sent)
{
    if (target->awaits_ends &&
        !cw_time_before(sent, target->ends_awaited_since)) {
        target->awaits_ends = false;
        await_no_ends(target->owner, target);
    }
}

struct timespec
owner_gang_ends_tick(struct owner_target *target, struct timespec now)
{
    if (!target->awaits_ends) {
        return cw_time_from_ms(INT32_MAX);
    }
    if (!cw_time_before(now, target->ends_awaited_until)) {
        target->awaits_ends = false;
        await_no_ends(target->owner, target);
        return cw_time_from_ms(INT32_MAX);
    }
    return target->ends_awaited_until;
}

void
owner_gang_ends_check_inherited(struct cw_owner *owner, struct timespec now)
{
    if (owner->ends_awaited_until.tv_sec > 0 &&
        (!cw_time_before(now, owner->ends_awaited_until) ||
         !cw_time_before(now, owner_epochs_earlier_end(owner))))
    {
        owner->ends_awaited_until = cw_time_from_ms(0);
        await_no_ends(owner, NULL);
    }
}

/* ---- proof ---- */

/* True if the run was begun at most once: only this owner has sent its start,
 * and only once, and nothing shows that the next incarnation has begun it. */
static bool
began_at_most_once(const struct owner_run *run)
{
    return run->starts_sent == 1 && !run->gang_end_doubtful &&
           !owner_run_is_of_other_incarnation(
               run, run->target->incarnation.boot_ms);
}

static bool
any_member_is_stopping(const struct owner_step *step)
{
    for (unsigned i = 0; i < step->count; i++) {
        if (step->tasks[i].run != NULL && step->tasks[i].run->stopping) {
            return true;
        }
    }
    return false;
}

/* Marks the gang's other runs on the run's worker: they were there after the
 * run had ended, unless their ends follow in the list. */
static void
mark_runs_beside(const struct owner_run *run)
{
    struct owner_step *step = run->task->step;

    for (unsigned i = 0; i < step->count; i++) {
        struct owner_run *other = step->tasks[i].run;

        if (other != NULL && other != run && other->target == run->target) {
            other->gang_end_doubtful = true;
        }
    }
}

static void
mark_over(struct owner_run *run)
{
    struct owner_gang_ends *ends = &run->task->step->gang_ends;

    if (ends->over_run != run->number) {
        ends->over_run = run->number;
        ends->heard_broken = 0;
    }
}

void
owner_gang_ends_heard(struct owner_run *run, enum cw_end_kind how)
{
    struct owner_step *step = run->task->step;
    struct owner_gang_ends *ends = &step->gang_ends;

    if (!step->spec->gang) {
        return;
    }
    mark_over(run);
    if (how != CW_END_KIND_GANG_BROKEN) {
        return;
    }
    ends->heard_broken++;
    if (!began_at_most_once(run)) {
        return;
    }
    if (ends->run != run->number) {
        ends->run = run->number;
        ends->broken = 0;
        ends->heard_at = owner_now(run->target->owner);
        ends->stopped_before = any_member_is_stopping(step);
    }
    ends->broken++;
    mark_runs_beside(run);
}

void
owner_gang_ends_lost(struct owner_run *run)
{
    if (run->task->step->spec->gang) {
        mark_over(run);
    }
}

/* Returns the number of runs of the run's gang on its worker. */
static unsigned
runs_on_worker(const struct owner_run *run)
{
    const struct owner_step *step = run->task->step;
    unsigned runs = 0;

    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_run *other = step->tasks[i].run;

        runs += other != NULL && other->target == run->target;
    }
    return runs;
}

bool
owner_gang_ends_may_be_first(const struct owner_run *run)
{
    const struct owner_step *step = run->task->step;
    const struct owner_gang_ends *ends = &step->gang_ends;

    return !step->spec->gang || ends->over_run != run->number ||
           ends->heard_broken + runs_on_worker(run) == step->count;
}

void
owner_gang_ends_listed(struct owner_run *run, struct timespec sent)
{
    const struct owner_gang_ends *ends = &run->task->step->gang_ends;

    bool outlived_member = ends->broken > 0 && ends->run == run->number &&
                           !cw_time_before(sent, ends->heard_at);

    if (outlived_member || owner_run_is_of_other_incarnation(
                               run, run->target->incarnation.boot_ms))
    {
        run->gang_end_doubtful = true;
    }
}

/* Returns the only run of the gang that is left; NULL if there are more. */
static struct owner_run *
last_run_of(const struct owner_step *step)
{
    if (step->runs != 1) {
        return NULL;
    }
    for (unsigned i = 0; i < step->count; i++) {
        if (step->tasks[i].run != NULL) {
            return step->tasks[i].run;
        }
    }
    return NULL;
}

/* True if the run was begun by the incarnation that its start was sent to: the
 * start was confirmed before the worker could have crashed and started again,
 * or the worker has listed the run since.  A connection that was reused may
 * have been reset, and the start sent again on a new one. */
static bool
was_begun_as_sent(const struct owner_run *run)
{
    return run->phase == RUN_RUNNING &&
           (cw_time_diff_ms(run->sent_at, run->started_at) < RESTART_MIN_MS ||
            cw_time_before(run->started_at,
                           run->target->answered_poll_sent_at));
}

/* True if the ends of the other members prove that the run is over. */
static bool
is_proved_over(const struct owner_run *run)
{
    const struct owner_step *step = run->task->step;
    const struct owner_gang_ends *ends = &step->gang_ends;

    return step->count > 1 && ends->run == run->number &&
           ends->broken == step->count - 1 && !ends->stopped_before &&
           was_begun_as_sent(run) && began_at_most_once(run);
}

void
owner_gang_ends_check(struct cw_owner *owner, struct owner_step *step)
{
    struct timespec now = owner_now(owner);
    const struct owner_job *job = step->occurrence->job;
    struct owner_run *run = step->spec->gang ? last_run_of(step) : NULL;
    struct owner_target *target;

    if (run == NULL || job->spec->once || step->done ||
        cw_work_is_over(job->phase) || !is_proved_over(run) ||
        run->target->unanswered_polls == 0 ||
        are_too_many(step, possible_failures(step, now) + 1))
    {
        return;
    }
    target = run->target;
    await_end(run, now);
    owner_crashes_collect(run, now);
    owner_run_lost(owner, run, true, "gang_broken");
    owner_crashes_resolve(owner, target, now);
}

void
owner_gang_ends_check_silent(struct cw_owner *owner,
                             struct owner_target *target)
{
    guint i = 0;

    while (i < target->runs->len) {
        guint before = target->runs->len;
        struct owner_run *run = target->runs->pdata[i];

        owner_gang_ends_check(owner, run->task->step);
        if (target->runs->len == before) {
            i++;
        }
        else {
            i = 0; /* the array was reordered */
        }
    }
}

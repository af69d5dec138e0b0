/* Suspicion of tasks whose workers have crashed.
 *
 * A task may crash each worker that starts it.  Without a limit it crashes one
 * worker after the other, and all other runs on them are lost.  So each crash
 * adds to the suspicion of the tasks that ran on the worker.  The suspicion is
 * part of the job's state, so that a new owner reads it; at a limit the job
 * ends as failed.
 *
 * Most tasks on a crashed worker are not the cause of the crash, and a task
 * may by chance have run on two crashed workers in a row.  So the suspicion
 * that a crash adds depends on how likely the task is the cause: it is highest
 * if the task had just been started there, none of its runs showed progress,
 * and no task of another job was in the same state.  A task that crashes its
 * workers as it starts is given up after two or three crashes, and never after
 * one; a task that only ran there, after four.  All members of a gang end with
 * the first one, so only one crash can have been caused by each of its runs.
 *
 * A worker that is unresponsive until its lease is over has either crashed or
 * is cut off from this VM.  That is resolved when it answers again, or when
 * another incarnation answers at its address (owner_addresses.c) and the
 * worker had not shut down as planned (owner_departures.c).  Until then
 * the suspicion is pending, and is stored with the job, with the address at
 * which the worker can be asked: a later owner resolves it.  A small part of
 * it is added in advance to the tasks that had just been started there, and
 * the suspects among them are delayed for a limited time.  That a worker is
 * not listed proves nothing: its entry is also removed because the store was
 * unavailable.  What nobody resolves expires, and what was added in advance is
 * revoked. */
#include "owner/internal/owner_crashes.h"

#include "owner/internal/owner_addresses.h"

#include <string.h>

enum {
    /* Suspicion that a crash adds: a twelfth, a fourth, a third and a half of
     * the limit at which a task is given up. */
    SUSPICION_MASS_CRASH = 1, /* it made progress; other workers crashed too */
    SUSPICION_PRESENT = 3,    /* it was on the worker */
    SUSPICION_UNCLEAR = 4, /* it had just been started, as had other jobs' */
    SUSPICION_SOLE_CAUSE = 6, /* only its job's tasks had just been started */
    /* From this suspicion on the task is a suspect and is started apart from
     * other runs: after one crash that it may have caused, or the second time
     * that its worker crashed. */
    SUSPECT_SUSPICION_MIN = SUSPICION_UNCLEAR,
    /* From this suspicion on the task is given up: after four crashes at most.
     * The platform tolerates three crashes, and two more starts. */
    SUSPICION_LIMIT = 2 * SUSPICION_SOLE_CAUSE,
    /* An endless task that has run for this long has not crashed its worker by
     * its start, and earlier suspicion is dropped.  This is about three times
     * the longest unavailability of a crashed worker. */
    STEADY_MS = 10000,
    /* Longest delay of a suspect until its last worker has answered.  The
     * platform tolerates 3 s in which nothing of a job runs. */
    SUSPECT_DELAY_MS = 2500,
    /* If this many workers become unresponsive within this time, the cause is
     * not a run that has made progress on one of them, nor probably a start if
     * its job has started nothing on so many others.  Of 118,760 jobs that
     * crash nothing, on emulated days with ten crashes of up to four workers
     * each, 361 are given up without this rule and 316 with it. */
    MASS_CRASH_WINDOW_MS = 500,
    MASS_CRASH_WORKERS_MIN = 3,
    /* If this many others do that a job cannot have crashed, none of its
     * starts is the cause. */
    UNRELATED_WORKERS_CERTAIN = 8,
    /* A worker whose next incarnation starts within this time was unresponsive
     * because it crashed: crashed workers are unavailable for up to 3.4 s. */
    CRASH_CERTAIN_MS = 4000,
    /* Delay of a task at the limit: a further proof ends its job, and until
     * then each start may crash another worker. */
    AT_LIMIT_DELAY_MS = CRASH_CERTAIN_MS,
    /* Age at which a pending suspicion expires: workers are back, or have been
     * reached again, long before. */
    PENDING_MAX_MS = 60000
};

/* Suspicion that counts against a task once its worker is known to have
 * crashed. */
struct pending_suspicion {
    struct owner_target *target;
    char *address; /* of that incarnation; "": not known */
    char *job;
    struct cw_task_name task; /* task.job points to `job` */
    unsigned run;
    int64_t boot_ms; /* boot time of the worker's incarnation; 0 unknown */
    unsigned weight; /* in total, once the crash is confirmed */
    unsigned added_in_advance; /* part of `weight` that was added already */
    bool no_progress;
    int64_t unresponsive_at_ms; /* wall-clock time when its worker became
                                   unresponsive */
    /* When the worker's incarnation was known to be over (0: not yet), and the
     * boot time of the next one (0: unknown). */
    struct timespec over_at;
    int64_t next_boot_ms;
};

static void
pending_suspicion_free(gpointer data)
{
    struct pending_suspicion *pending = data;

    g_free(pending->address);
    g_free(pending->job);
    g_free(pending);
}

GPtrArray *
owner_pending_suspicions_new(void)
{
    return g_ptr_array_new_with_free_func(pending_suspicion_free);
}

/* Adds a pending suspicion about a task of the job to the lists of the job and
 * of its worker, which owns it. */
static void
add_pending(struct owner_job *job, const struct pending_suspicion *values,
            const char *address)
{
    struct pending_suspicion *pending = g_new(struct pending_suspicion, 1);

    *pending = *values;
    pending->address = g_strdup(address);
    pending->job = g_strdup(job->spec->id);
    pending->task.job = pending->job;
    g_ptr_array_add(pending->target->pending_suspicions, pending);
    g_ptr_array_add(job->pending_suspicions, pending);
}

/* Removes the pending suspicion from its job's list, and has the job stored
 * without it. */
static void
unlink_from_job(struct cw_owner *owner, struct pending_suspicion *pending)
{
    struct owner_job *job = g_hash_table_lookup(owner->jobs, pending->job);

    if (job != NULL &&
        g_ptr_array_remove_fast(job->pending_suspicions, pending)) {
        owner_job_mark_dirty(owner, job);
    }
}

/* ---- weight of a crash ---- */

static bool
is_steady(const struct owner_run *run, struct timespec now)
{
    return run->task->step->spec->endless && run->phase == RUN_RUNNING &&
           cw_time_diff_ms(run->started_at, now) >= STEADY_MS;
}

/* True if the run may have been on the worker when that crashed.  A start
 * whose only answer came from another incarnation has done nothing. */
static bool
may_have_been_on_worker(const struct owner_run *run)
{
    /* A stop that the former incarnation has confirmed counts as well. */
    if (run->gang_done || run->stop_confirmed_at.tv_sec > 0) {
        return false;
    }
    return run->phase == RUN_RUNNING || run->phase == RUN_INHERITED ||
           (run->phase == RUN_STARTING && run->unanswered > 0);
}

/* True if the worker has not shown any progress of the run. */
static bool
shows_no_progress(const struct owner_run *run)
{
    return may_have_been_on_worker(run) && run->phase != RUN_INHERITED &&
           run->percent == 0;
}

/* True if the run may have crashed the worker by its start.  The answer to a
 * start in flight may have been lost with the worker. */
static bool
may_be_cause(const struct owner_run *run)
{
    return run->phase == RUN_STARTING || shows_no_progress(run);
}

/* True if no run of another job is as likely to be the cause. */
static bool
is_sole_possible_cause(const struct owner_run *run)
{
    const GPtrArray *runs = run->target->runs;

    for (guint i = 0; i < runs->len; i++) {
        const struct owner_run *other = runs->pdata[i];

        if (may_be_cause(other) &&
            owner_task_job(other->task) != owner_task_job(run->task))
        {
            return false;
        }
    }
    return true;
}

static bool
is_unresponsive_since_same_time(const struct owner_target *target,
                                const struct owner_target *other)
{
    int64_t difference_ms =
        cw_time_diff_ms(target->unanswered_since, other->unanswered_since);

    return other->unanswered_since.tv_sec > 0 &&
           ABS(difference_ms) < MASS_CRASH_WINDOW_MS;
}

/* True if other workers became unresponsive at the same time. */
static bool
is_mass_crash(const struct owner_target *target)
{
    GHashTableIter iterator;
    gpointer value;
    unsigned count = 0;

    g_hash_table_iter_init(&iterator, target->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        count += is_unresponsive_since_same_time(target, value);
    }
    return count >= MASS_CRASH_WORKERS_MIN;
}

/* True if the worker, or a run that was lost with it, may have been crashed by
 * a start of the job; with NULL, of any job. */
static bool
may_be_crashed_by(const struct owner_target *target,
                  const struct owner_job *job)
{
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        if (may_be_cause(run) &&
            (job == NULL || owner_task_job(run->task) == job)) {
            return true;
        }
    }
    for (guint i = 0; i < target->pending_suspicions->len; i++) {
        const struct pending_suspicion *pending =
            target->pending_suspicions->pdata[i];

        if (pending->no_progress &&
            (job == NULL || strcmp(pending->job, job->spec->id) == 0))
        {
            return true;
        }
    }
    return false;
}

/* Number, up to `limit`, of workers that became unresponsive at the same time,
 * still are, and cannot have been crashed by a start of the job (NULL: of any
 * job): if there are many, the cause is another one. */
static unsigned
count_unrelated(const struct owner_target *target, const struct owner_job *job,
                unsigned limit)
{
    GHashTableIter iterator;
    gpointer value;
    unsigned count = 0;

    g_hash_table_iter_init(&iterator, target->owner->targets);
    while (count < limit && g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *other = value;

        count += other != target && other->unanswered_polls > 0 &&
                 is_unresponsive_since_same_time(target, other) &&
                 !may_be_crashed_by(other, job);
    }
    return count;
}

static unsigned
suspicion_weight(const struct owner_run *run, struct timespec now)
{
    unsigned unrelated;

    if (!may_have_been_on_worker(run) || is_steady(run, now)) {
        return 0;
    }
    if (run->phase == RUN_RUNNING && !shows_no_progress(run) &&
        is_mass_crash(run->target))
    {
        return SUSPICION_MASS_CRASH;
    }
    /* Jobs that crash their workers together must not excuse each other. */
    unrelated = count_unrelated(run->target, NULL, UNRELATED_WORKERS_CERTAIN);
    if (run->phase == RUN_RUNNING && unrelated >= UNRELATED_WORKERS_CERTAIN) {
        return SUSPICION_MASS_CRASH;
    }
    /* A task that has made progress does not crash its workers as it
     * starts. */
    if (run->phase != RUN_RUNNING || !shows_no_progress(run) ||
        run->task->shown_progress || !owner_gang_ends_may_be_first(run) ||
        unrelated >= MASS_CRASH_WORKERS_MIN)
    {
        return SUSPICION_PRESENT;
    }
    return is_sole_possible_cause(run) ? SUSPICION_SOLE_CAUSE
                                       : SUSPICION_UNCLEAR;
}

/* Wall-clock time when the run's worker became unresponsive, or now if that
 * was before the run was created. */
static int64_t
unresponsive_from_ms(const struct owner_run *run, struct timespec now)
{
    const struct owner_target *target = run->target;
    struct timespec from = now;

    if (cw_time_before(run->created_at, target->unanswered_since)) {
        from = target->unanswered_since;
    }
    return cw_clock_wall_ms(target->owner->options.clock) -
           cw_time_diff_ms(from, now);
}

void
owner_crashes_collect(const struct owner_run *run, struct timespec now)
{
    struct owner_target *target = run->target;
    struct pending_suspicion pending = {.target = target,
                                        .task = owner_task_name(run->task),
                                        .run = run->number,
                                        .boot_ms = run->boot_ms,
                                        .weight = suspicion_weight(run, now),
                                        .no_progress = shows_no_progress(run),
                                        .unresponsive_at_ms =
                                            unresponsive_from_ms(run, now)};

    /* A draining worker has shut down, not crashed. */
    if (pending.weight > 0 && !owner_departures_drained(target, run->boot_ms))
    {
        add_pending(owner_task_job(run->task), &pending,
                    owner_address_of_run(run));
    }
}

/* ---- effects on tasks and jobs ---- */

static bool
is_suspect(const struct owner_task *task)
{
    return task->suspicion >= SUSPECT_SUSPICION_MIN;
}

void
owner_task_set_suspicion(struct owner_task *task, unsigned suspicion)
{
    task->step->suspects -= is_suspect(task);
    task->suspicion = suspicion;
    task->step->suspects += is_suspect(task);
}

/* The task that the pending suspicion is about, or NULL if it or its job is
 * over. */
static struct owner_task *
suspected_task(const struct cw_owner *owner,
               const struct pending_suspicion *pending)
{
    struct owner_task *task = owner_task_find(owner, &pending->task);

    if (task == NULL || task->done || task->step->done ||
        cw_work_is_over(owner_task_job(task)->phase))
    {
        return NULL;
    }
    return task;
}

static void
add_suspicion(struct cw_owner *owner, struct owner_task *task,
              const struct pending_suspicion *pending, int weight,
              const char *evidence)
{
    const struct owner_target *target = pending->target;

    owner_task_set_suspicion(task,
                             (unsigned)MAX(0, (int)task->suspicion + weight));
    owner_job_mark_dirty(owner, owner_task_job(task));
    cw_log_info("task_suspect",
                "id=%s task=%u.%u.%u run=%u worker=%s crashed=%d counts=%d "
                "suspicion=%u limit=%d evidence=%s born_ms=%" PRId64
                " epoch=%" PRIu64 " listed=%d heard_ms=%" PRId64,
                pending->job, pending->task.occurrence, pending->task.step,
                pending->task.index, pending->run, target->id,
                target->superseded, weight, task->suspicion, SUSPICION_LIMIT,
                evidence, pending->boot_ms, owner->epoch, target->listed,
                owner_target_since_answer_ms(target, owner_now(owner)));
}

void
owner_task_log_given_up(const struct owner_task *task, const char *limit)
{
    const struct owner_step *step = task->step;
    const struct owner_job *job = owner_task_job(task);

    cw_log_info("task_given_up",
                "id=%s task=%u.%u.%u limit=%s failures=%u attempts=%u "
                "suspicion=%u suspicion_limit=%d run=%u",
                job->spec->id, step->occurrence->number, step->number,
                task->index, limit,
                step->spec->gang ? step->failures : task->failures,
                job->spec->max_attempts, task->suspicion, SUSPICION_LIMIT,
                task->last_run);
}

/* Suspicion that is added if the worker's next incarnation has this boot time
 * (0: unknown); negative if more was added in advance.  A worker that was
 * unresponsive for long before may have been cut off: the run may have ended
 * there without this VM receiving its end, and the worker may have crashed
 * later. */
static int
to_add_if_booted(const struct pending_suspicion *pending, int64_t boot_ms)
{
    unsigned weight = boot_ms - pending->unresponsive_at_ms > CRASH_CERTAIN_MS
                          ? MIN(pending->weight, SUSPICION_PRESENT)
                          : pending->weight;

    return (int)weight - (int)pending->added_in_advance;
}

/* Part of the task's suspicion that is not revoked, whatever is learned. */
static unsigned
confirmed_suspicion(const struct owner_task *task)
{
    const struct owner_job *job = owner_task_job(task);
    unsigned in_advance = 0;

    for (guint i = 0; i < job->pending_suspicions->len; i++) {
        const struct pending_suspicion *pending =
            job->pending_suspicions->pdata[i];

        if (owner_job_task(job, &pending->task) == task) {
            in_advance += pending->added_in_advance;
        }
    }
    return task->suspicion - MIN(task->suspicion, in_advance);
}

/* Adds the suspicion for a confirmed crash in full, which may end the task's
 * job.  Suspicion that is added in advance must not end a job: it would end
 * for no reason if its workers were only cut off, or had shut down.  So an
 * earlier crash has to be confirmed as well. */
static void
apply_confirmed(struct cw_owner *owner,
                const struct pending_suspicion *pending, int64_t boot_ms)
{
    struct owner_task *task = suspected_task(owner, pending);
    int to_add = to_add_if_booted(pending, boot_ms);

    if (task == NULL) {
        return;
    }
    task->delayed_until = cw_time_from_ms(0);
    add_suspicion(owner, task, pending, to_add, "other_incarnation");
    if (task->suspicion < SUSPICION_LIMIT) {
        return;
    }
    if ((int)confirmed_suspicion(task) >
        to_add + (int)pending->added_in_advance) {
        owner_task_log_given_up(task, "crashes");
        owner_job_end(owner, owner_task_job(task), CW_WORK_FAILED,
                      CW_END_CRASHES);
        return;
    }
    task->delayed_until = cw_time_add_ms(owner_now(owner), AT_LIMIT_DELAY_MS);
}

/* Revokes what was added in advance. */
static void
revoke_suspicion(struct cw_owner *owner,
                 const struct pending_suspicion *pending)
{
    struct owner_task *task = suspected_task(owner, pending);

    if (task != NULL && pending->added_in_advance > 0) {
        owner_task_set_suspicion(
            task,
            task->suspicion - MIN(task->suspicion, pending->added_in_advance));
        task->delayed_until = cw_time_from_ms(0);
        owner_job_mark_dirty(owner, owner_task_job(task));
    }
}

/* Adds suspicion in advance for a worker of which it is not known whether it
 * has crashed or shut down.  It is revoked when it expires. */
static void
add_unknown(struct cw_owner *owner, struct pending_suspicion *pending)
{
    struct owner_task *task = suspected_task(owner, pending);

    if (task != NULL && pending->added_in_advance == 0) {
        pending->added_in_advance = MIN(pending->weight, SUSPICION_PRESENT);
        add_suspicion(owner, task, pending, (int)pending->added_in_advance,
                      "unknown");
    }
}

static void
exclude_crash(struct cw_owner *owner, const struct pending_suspicion *pending)
{
    cw_log_info("crash_excluded",
                "id=%s task=%u.%u.%u run=%u worker=%s counted=%u "
                "born_ms=%" PRId64,
                pending->job, pending->task.occurrence, pending->task.step,
                pending->task.index, pending->run, pending->target->id,
                pending->added_in_advance, pending->boot_ms);
    revoke_suspicion(owner, pending);
}

/* Settles a suspicion about an incarnation that has ended in this way; false
 * if it stays pending. */
static bool
settle(struct cw_owner *owner, struct pending_suspicion *pending,
       enum owner_departure departure)
{
    switch (departure) {
    case OWNER_DEPARTURE_CRASHED:
        unlink_from_job(owner, pending);
        apply_confirmed(owner, pending, pending->next_boot_ms);
        return true;
    case OWNER_DEPARTURE_DRAINED:
        unlink_from_job(owner, pending);
        exclude_crash(owner, pending);
        return true;
    case OWNER_DEPARTURE_PENDING:
        owner_departures_await(owner);
        return false;
    default:
        add_unknown(owner, pending);
        return false;
    }
}

/* Settles those pending suspicions of the worker whose incarnation is over, if
 * it is known how that has ended. */
static void
settle_over(struct cw_owner *owner, struct owner_target *target)
{
    GPtrArray *list = target->pending_suspicions;
    bool crashed = false;
    guint i = 0;

    while (i < list->len) {
        struct pending_suspicion *pending = list->pdata[i];
        enum owner_departure departure;

        if (pending->over_at.tv_sec == 0) {
            i++;
            continue;
        }
        departure =
            owner_departures_find(target, pending->boot_ms, pending->over_at);
        if (!settle(owner, pending, departure)) {
            i++;
            continue;
        }
        crashed = crashed || departure == OWNER_DEPARTURE_CRASHED;
        g_ptr_array_remove_index(list, i);
        owner->placement_wanted = true;
    }
    if (crashed) {
        cw_count_add(owner->options.counters, CW_COUNT_CRASHES, 1);
    }
}

static void
mark_over(struct pending_suspicion *pending, int64_t next_boot_ms,
          struct timespec now)
{
    if (pending->over_at.tv_sec == 0) {
        pending->over_at = now;
        pending->next_boot_ms = next_boot_ms;
    }
}

void
owner_crashes_over(struct cw_owner *owner, struct owner_target *target,
                   int64_t boot_ms)
{
    struct timespec now = owner_now(owner);

    for (guint i = 0; i < target->pending_suspicions->len; i++) {
        mark_over(target->pending_suspicions->pdata[i], boot_ms, now);
    }
    settle_over(owner, target);
}

void
owner_crashes_settle_all(struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        settle_over(owner, value);
    }
}

/* True if the task is given up once all its pending suspicions are confirmed.
 */
static bool
may_reach_limit(const struct owner_task *task)
{
    const struct owner_job *job = owner_task_job(task);
    int suspicion = (int)task->suspicion;

    for (guint i = 0; i < job->pending_suspicions->len; i++) {
        const struct pending_suspicion *pending =
            job->pending_suspicions->pdata[i];

        if (owner_job_task(job, &pending->task) == task) {
            suspicion += to_add_if_booted(pending, 0);
        }
    }
    return suspicion >= SUSPICION_LIMIT;
}

static int64_t
delay_ms(const struct owner_task *task)
{
    return task->suspicion >= SUSPICION_LIMIT ? AT_LIMIT_DELAY_MS
                                              : SUSPECT_DELAY_MS;
}

/* Delays a task that a confirmed crash would end, although it is not known
 * what an earlier owner has waited for. */
static void
delay_restored(struct owner_task *task, struct timespec now)
{
    if (may_reach_limit(task)) {
        task->delayed_until = cw_time_add_ms(now, delay_ms(task));
    }
}

void
owner_task_restore_suspicion(struct owner_task *task, unsigned suspicion,
                             struct timespec now)
{
    owner_task_set_suspicion(task, suspicion);
    delay_restored(task, now);
}

/* Delays the task, if it is a suspect, until its last worker may have
 * answered. */
static void
delay_suspect(struct owner_task *task, const struct owner_target *target,
              const struct pending_suspicion *pending, struct timespec now)
{
    task->delayed_until = cw_time_add_ms(now, delay_ms(task));
    if (is_suspect(task)) {
        cw_log_info("task_delayed",
                    "id=%s task=%u.%u.%u until_ms=%" PRId64
                    " worker=%s reason=suspect",
                    pending->job, pending->task.occurrence, pending->task.step,
                    pending->task.index,
                    cw_time_diff_ms(now, task->delayed_until), target->id);
    }
}

/* Adds suspicion in advance while it is unknown whether the worker has
 * crashed. */
static void
apply_in_advance(struct cw_owner *owner, const struct owner_target *target,
                 struct timespec now)
{
    for (guint i = 0; i < target->pending_suspicions->len; i++) {
        struct pending_suspicion *pending =
            target->pending_suspicions->pdata[i];
        struct owner_task *task = suspected_task(owner, pending);

        if (task == NULL || pending->added_in_advance > 0) {
            continue;
        }
        if (!pending->no_progress) {
            if (may_reach_limit(task)) {
                delay_suspect(task, target, pending, now);
            }
            continue;
        }
        pending->added_in_advance = SUSPICION_PRESENT;
        add_suspicion(owner, task, pending, (int)pending->added_in_advance,
                      "provisional");
        if (count_unrelated(target, owner_task_job(task),
                            MASS_CRASH_WORKERS_MIN) < MASS_CRASH_WORKERS_MIN)
        {
            delay_suspect(task, target, pending, now);
        }
    }
}

void
owner_crashes_resolve(struct cw_owner *owner, struct owner_target *target,
                      struct timespec now)
{
    if (target->superseded) {
        owner_crashes_over(owner, target, 0);
    }
    apply_in_advance(owner, target, now);
    if (!target->superseded && !target->listed &&
        target->pending_suspicions->len > 0)
    {
        owner_address_doubt(target);
    }
}

void
owner_crashes_answered(struct cw_owner *owner, struct owner_target *target,
                       int64_t boot_ms)
{
    struct timespec now = owner_now(owner);
    GPtrArray *list = target->pending_suspicions;
    unsigned refuted = 0;

    for (guint i = list->len; i > 0; i--) {
        struct pending_suspicion *pending = list->pdata[i - 1];

        if (pending->boot_ms > 0 && boot_ms > 0 && pending->boot_ms != boot_ms)
        {
            mark_over(pending, boot_ms, now);
            continue;
        }
        revoke_suspicion(owner, pending);
        unlink_from_job(owner, pending);
        g_ptr_array_remove_index(list, i - 1);
        refuted++;
    }
    if (refuted > 0) {
        cw_log_info("crash_refuted", "worker=%s runs=%u", target->id, refuted);
        owner->placement_wanted = true;
    }
    settle_over(owner, target);
}

/* ---- pending suspicion that is stored ---- */

void
owner_crashes_encode(const struct owner_job *job,
                     struct cw_work_extension *out)
{
    guint count = MIN(job->pending_suspicions->len, CW_TASKS_MAX);

    out->unresolved.unresolved_len = count;
    out->unresolved.unresolved_val =
        g_new0(struct cw_unresolved_record, count);
    for (guint i = 0; i < count; i++) {
        const struct pending_suspicion *pending =
            job->pending_suspicions->pdata[i];

        out->unresolved.unresolved_val[i] = (struct cw_unresolved_record){
            .occurrence = pending->task.occurrence,
            .step = pending->task.step,
            .task = pending->task.index,
            .run = pending->run,
            .worker = pending->target->id,
            .address = pending->address,
            .boot_ms = pending->boot_ms,
            .weight = pending->weight,
            .added_in_advance = pending->added_in_advance,
            .no_progress = pending->no_progress,
            .unresponsive_at_ms = pending->unresponsive_at_ms};
    }
}

void
owner_crashes_restore(struct cw_owner *owner, struct owner_job *job,
                      const struct cw_unresolved_record *record)
{
    struct pending_suspicion pending = {
        .target = owner_target_get(owner, record->worker),
        .task = {.occurrence = record->occurrence,
                 .step = record->step,
                 .index = record->task},
        .run = record->run,
        .boot_ms = record->boot_ms,
        .weight = MIN(record->weight, SUSPICION_SOLE_CAUSE),
        .added_in_advance = MIN(record->added_in_advance, SUSPICION_PRESENT),
        .no_progress = record->no_progress,
        .unresponsive_at_ms = record->unresponsive_at_ms};
    struct owner_task *task = owner_job_task(job, &pending.task);

    if (task == NULL) {
        return;
    }
    owner_address_restore(pending.target, record->address, record->boot_ms);
    owner_address_doubt(pending.target);
    add_pending(job, &pending, record->address);
    delay_restored(task, owner_now(owner));
}

bool
owner_crashes_pending_at(const struct owner_target *target, int64_t boot_ms)
{
    for (guint i = 0; i < target->pending_suspicions->len; i++) {
        const struct pending_suspicion *pending =
            target->pending_suspicions->pdata[i];

        if (pending->boot_ms != boot_ms) {
            return false;
        }
    }
    return true;
}

static bool
is_expired(const struct pending_suspicion *pending, int64_t wall_ms)
{
    return ABS(wall_ms - pending->unresponsive_at_ms) > PENDING_MAX_MS;
}

void
owner_crashes_expire(struct cw_owner *owner)
{
    int64_t wall_ms = cw_clock_wall_ms(owner->options.clock);
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        GPtrArray *list = ((struct owner_target *)value)->pending_suspicions;

        for (guint i = list->len; i > 0; i--) {
            struct pending_suspicion *pending = list->pdata[i - 1];

            if (is_expired(pending, wall_ms)) {
                cw_log_info(
                    "suspicion_expired",
                    "id=%s task=%u.%u.%u run=%u worker=%s counted=%u "
                    "listed=%d",
                    pending->job, pending->task.occurrence, pending->task.step,
                    pending->task.index, pending->run, pending->target->id,
                    pending->added_in_advance, pending->target->listed);
                revoke_suspicion(owner, pending);
                unlink_from_job(owner, pending);
                g_ptr_array_remove_index_fast(list, i - 1);
            }
        }
    }
}

/* ---- suspects ---- */

bool
owner_task_is_delayed(const struct owner_task *task, struct timespec now)
{
    return is_suspect(task) && cw_time_before(now, task->delayed_until);
}

unsigned
owner_step_delayed_tasks(const struct owner_step *step, struct timespec now)
{
    unsigned count = 0;

    for (unsigned i = 0; step->suspects > 0 && i < step->count; i++) {
        const struct owner_task *task = &step->tasks[i];

        count += task->run == NULL && !task->done &&
                 owner_task_is_delayed(task, now);
    }
    return count;
}

unsigned
owner_step_placeable_tasks(const struct owner_step *step, struct timespec now)
{
    unsigned waiting = owner_step_waiting_tasks(step);

    return waiting - MIN(waiting, owner_step_delayed_tasks(step, now));
}

bool
owner_step_is_delayed(const struct owner_step *step, struct timespec now)
{
    unsigned delayed = owner_step_delayed_tasks(step, now);

    if (step->spec->gang) {
        return delayed > 0 || owner_gang_ends_delay(step, now);
    }
    return delayed > 0 && owner_step_placeable_tasks(step, now) == 0;
}

unsigned
owner_target_neighbour_weight(const struct owner_target *target)
{
    unsigned neighbour_weight = 0;

    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        neighbour_weight += run->percent == 0 ? SUSPICION_UNCLEAR : 1;
    }
    return neighbour_weight;
}

void
owner_probation_begin(struct owner_run *run)
{
    run->on_probation = is_suspect(run->task);
    run->target->probation_runs += run->on_probation;
}

void
owner_probation_end(struct owner_run *run)
{
    if (run->on_probation) {
        run->on_probation = false;
        run->target->probation_runs--;
    }
}

void
owner_crashes_observe(struct owner_run *run, struct timespec now)
{
    struct cw_owner *owner = run->target->owner;

    run->task->shown_progress |= run->percent > 0;
    if (run->on_probation && run->percent > 0) {
        owner_probation_end(run);
        owner->capacity_version++; /* the worker accepts other runs again */
        owner->placement_wanted = true;
    }
    if (run->task->suspicion > 0 && is_steady(run, now)) {
        owner_task_set_suspicion(run->task, 0);
        owner_job_mark_dirty(owner, owner_task_job(run->task));
    }
}

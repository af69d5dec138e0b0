/* What a worker's crash says against the tasks that were on it.
 *
 * A task may crash each worker that starts it.  Without a bound it takes one
 * worker after the other down, and all that runs there with it.  So each
 * crash counts against the tasks that were there, in the job's state, so that
 * a new owner knows of it; beyond a limit the job ends as failed.
 *
 * Most tasks on a crashed worker are innocent, and one may well lie on two of
 * them in a row.  So it counts how likely a task is the cause: most if it had
 * just been started there, showed no progress, and no other job's did as
 * little.  A task that crashes its workers as it starts is given up after two
 * or three, and none after one; one that only happened to be there, after
 * four.
 *
 * A worker that is silent until its lease is over has crashed, or is cut off:
 * that is settled when it is heard again, or another life at its address.
 * Until then the least counts against what had just been started there, so
 * that it lasts over a take-over, and a suspect among it is held back for a
 * moment.  Where the worker was an earlier owner's and is not listed any more,
 * nothing will settle it, and it counts as if it had crashed. */
#include "owner/internal/owner_crashes.h"

#include <string.h>

enum {
    /* A twelfth, a fourth, a third and a half of what makes a task given up.
     */
    COUNTS_TOGETHER = 1, /* it was at work there; others crashed as well */
    COUNTS_BESIDE = 3,   /* it was there */
    COUNTS_UNCLEAR = 4,  /* it had just been started, as others had */
    COUNTS_CAUSE = 6,    /* it alone had just been started */
    /* From here on the task is started apart from others: once the cause is
     * unclear, or the second time that it is there. */
    SUSPECT_FROM = COUNTS_UNCLEAR,
    /* From here on it is given up: after four crashes at the most.  The
     * platform bears three, and two starts more. */
    GIVEN_UP_AT = 2 * COUNTS_CAUSE,
    /* Work that lasts has not crashed its worker by its start if it has run
     * for so long: what counted before is over.  Chosen, not measured: three
     * times as long as crashed workers were seen to be away. */
    STEADY_MS = 10000,
    /* So long a suspect is held back, at the most, for word of its last
     * worker.  The platform bears 3 s in which nothing of a job runs. */
    SETTLE_MS = 2500,
    /* Workers that fall silent within so long, as many as this, crash of
     * something else than what had long been at work on one of them.  Of
     * 118,760 jobs that crash nothing, on the emulator's days with ten crashes
     * of up to four workers each, 361 were given up without it and 316 with
     * it. */
    TOGETHER_MS = 500,
    TOGETHER_FROM = 3,
    /* A worker that is back within so long has been silent because it crashed:
     * crashed ones were seen to be away for up to 3.4 s. */
    SURE_WITHIN_MS = 4000
};

/* What is held against a task once its worker is known to have crashed. */
struct charge {
    char *job;
    struct cw_task_name task; /* its job is the text above */
    unsigned run;
    int64_t boot_ms; /* of the worker's life; 0 unknown */
    unsigned counts; /* in all, once a crash is known */
    unsigned ahead;  /* of it, counted already */
    bool fresh;
    int64_t silent_ms; /* time of day from which its worker was silent */
};

static void
charge_clear(gpointer data)
{
    g_free(((struct charge *)data)->job);
}

GArray *
owner_pending_suspicions_new(void)
{
    GArray *pending_suspicions =
        g_array_new(FALSE, FALSE, sizeof(struct charge));

    g_array_set_clear_func(pending_suspicions, charge_clear);
    return pending_suspicions;
}

/* ---- what counts ---- */

static bool
is_steady(const struct owner_run *run, struct timespec now)
{
    return run->task->step->spec->endless && run->phase == RUN_RUNNING &&
           cw_time_diff_ms(run->started_at, now) >= STEADY_MS;
}

/* True if the run may have been there when the worker went.  A start whose
 * only answer is that another life is there has done nothing. */
static bool
was_there(const struct owner_run *run)
{
    if (run->gang_done || run->stop_confirmed) {
        return false;
    }
    return run->phase == RUN_RUNNING || run->phase == RUN_INHERITED ||
           (run->phase == RUN_STARTING && run->unanswered > 0);
}

/* True if the worker has not shown any progress of the run. */
static bool
is_fresh(const struct owner_run *run)
{
    return was_there(run) && run->phase != RUN_INHERITED && run->percent == 0;
}

/* True if the run may have crashed the worker by its start.  The answer of one
 * that is under way may have been lost with it. */
static bool
may_be_cause(const struct owner_run *run)
{
    return run->phase == RUN_STARTING || is_fresh(run);
}

/* True if no other job's run is as likely a cause. */
static bool
is_alone_fresh(const struct owner_run *run)
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

/* True if other workers fell silent at the same time. */
static bool
fell_together(const struct owner_target *target)
{
    GHashTableIter iterator;
    gpointer value;
    unsigned count = 0;

    g_hash_table_iter_init(&iterator, target->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *other = value;
        int64_t apart_ms = cw_time_diff_ms(target->unresponsive_since,
                                           other->unresponsive_since);

        count += other->unresponsive_since.tv_sec > 0 &&
                 ABS(apart_ms) < TOGETHER_MS;
    }
    return count >= TOGETHER_FROM;
}

static unsigned
counts_of(const struct owner_run *run, struct timespec now)
{
    if (!was_there(run) || is_steady(run, now)) {
        return 0;
    }
    if (run->phase == RUN_RUNNING && !is_fresh(run) &&
        fell_together(run->target)) {
        return COUNTS_TOGETHER;
    }
    if (run->phase != RUN_RUNNING || !is_fresh(run)) {
        return COUNTS_BESIDE;
    }
    return is_alone_fresh(run) ? COUNTS_CAUSE : COUNTS_UNCLEAR;
}

/* Time of day from which the run's worker was silent, if it fell silent while
 * the run was there. */
static int64_t
silent_from_ms(const struct owner_run *run, struct timespec now)
{
    const struct owner_target *target = run->target;
    struct timespec from = now;

    if (cw_time_before(run->created_at, target->unresponsive_since)) {
        from = target->unresponsive_since;
    }
    return cw_clock_wall_ms(target->owner->options.clock) -
           cw_time_diff_ms(from, now);
}

void
owner_crashes_collect(const struct owner_run *run, struct timespec now)
{
    struct owner_target *target = run->target;
    struct charge charge = {.task = owner_task_name(run->task),
                            .run = run->number,
                            .boot_ms = run->boot_ms,
                            .counts = counts_of(run, now),
                            .fresh = is_fresh(run),
                            .silent_ms = silent_from_ms(run, now)};

    /* One that was leaving has left. */
    if (charge.counts > 0 && !target->draining) {
        charge.job = g_strdup(charge.task.job);
        charge.task.job = charge.job;
        g_array_append_val(target->pending_suspicions, charge);
    }
}

/* ---- what follows ---- */

static bool
is_suspect(const struct owner_task *task)
{
    return task->suspicion >= SUSPECT_FROM;
}

void
owner_task_set_suspicion(struct owner_task *task, unsigned suspicion)
{
    task->step->suspects -= is_suspect(task);
    task->suspicion = suspicion;
    task->step->suspects += is_suspect(task);
}

/* The task that a charge is about, or NULL if that matters no more. */
static struct owner_task *
charged_task(const struct cw_owner *owner, const struct charge *charge)
{
    struct owner_task *task = owner_task_find(owner, &charge->task);

    if (task == NULL || task->done || task->step->done ||
        cw_work_is_over(owner_task_job(task)->phase))
    {
        return NULL;
    }
    return task;
}

static void
add_suspicion(struct cw_owner *owner, struct owner_task *task,
              const struct owner_target *target, const struct charge *charge,
              unsigned counts)
{
    owner_task_set_suspicion(task, task->suspicion + counts);
    owner_job_mark_dirty(owner, owner_task_job(task));
    cw_log_info("task_suspect",
                "id=%s task=%u.%u.%u run=%u worker=%s crashed=%d counts=%u "
                "suspicion=%u limit=%d",
                charge->job, charge->task.occurrence, charge->task.step,
                charge->task.index, charge->run, target->id,
                target->superseded, counts, task->suspicion, GIVEN_UP_AT);
}

/* How much the charge counts if the worker's next life began then (0:
 * unknown). One that was silent for long before may have been cut off: the run
 * may have ended there, unheard, and the worker have crashed later. */
static unsigned
counts_if_born(const struct charge *charge, int64_t boot_ms)
{
    return boot_ms - charge->silent_ms > SURE_WITHIN_MS
               ? MIN(charge->counts, COUNTS_BESIDE)
               : charge->counts;
}

/* A crash counts in full, and may end the task's job.  What counts ahead of a
 * proof must not: a job that only met cuts would end without cause. */
static void
apply_proved(struct cw_owner *owner, const struct owner_target *target,
             const struct charge *charge)
{
    struct owner_task *task = charged_task(owner, charge);

    if (task == NULL) {
        return;
    }
    task->rack_reserved_until = cw_time_from_ms(0);
    add_suspicion(owner, task, target, charge, charge->counts - charge->ahead);
    if (task->suspicion >= GIVEN_UP_AT) {
        owner_job_end(owner, owner_task_job(task), CW_WORK_FAILED,
                      CW_END_CRASHES);
    }
}

void
owner_crashes_confirmed(struct cw_owner *owner, struct owner_target *target,
                        int64_t boot_ms)
{
    GArray *pending_suspicions = target->pending_suspicions;

    if (pending_suspicions->len == 0) {
        return;
    }
    target->pending_suspicions = owner_pending_suspicions_new();
    cw_count_add(owner->options.counters, CW_COUNT_CRASHES, 1);
    for (guint i = 0; i < pending_suspicions->len; i++) {
        struct charge *charge =
            &g_array_index(pending_suspicions, struct charge, i);

        charge->counts = counts_if_born(charge, boot_ms);
        apply_proved(owner, target, charge);
    }
    g_array_unref(pending_suspicions);
    owner->placement_wanted = true;
}

/* Whether the worker has crashed is open. */
static void
apply_ahead(struct cw_owner *owner, const struct owner_target *target,
            struct timespec now)
{
    for (guint i = 0; i < target->pending_suspicions->len; i++) {
        struct charge *charge =
            &g_array_index(target->pending_suspicions, struct charge, i);
        struct owner_task *task = charged_task(owner, charge);

        if (task == NULL || !charge->fresh || charge->ahead > 0) {
            continue;
        }
        charge->ahead = COUNTS_BESIDE;
        add_suspicion(owner, task, target, charge, charge->ahead);
        task->rack_reserved_until = cw_time_add_ms(now, SETTLE_MS);
    }
}

static void
take_back(struct cw_owner *owner, const struct charge *charge)
{
    struct owner_task *task = charged_task(owner, charge);

    if (task != NULL && charge->ahead > 0) {
        owner_task_set_suspicion(
            task, task->suspicion - MIN(task->suspicion, charge->ahead));
        task->rack_reserved_until = cw_time_from_ms(0);
        owner_job_mark_dirty(owner, owner_task_job(task));
    }
}

/* True if the worker was an earlier owner's, and gone from the list before
 * this one read it: no address is known to ask at, or to meet another life. */
static bool
nothing_will_tell(const struct owner_target *target)
{
    return !target->listed && target->address[0] == '\0';
}

void
owner_crashes_resolve(struct cw_owner *owner, struct owner_target *target,
                      struct timespec now)
{
    if (target->superseded || nothing_will_tell(target)) {
        owner_crashes_confirmed(owner, target, 0);
    }
    else {
        apply_ahead(owner, target, now);
    }
}

/* The same life answers: it had only been silent. */
static void
disproved(struct cw_owner *owner, struct owner_target *target)
{
    cw_log_info("crash_refuted", "worker=%s runs=%u", target->id,
                target->pending_suspicions->len);
    for (guint i = 0; i < target->pending_suspicions->len; i++) {
        take_back(owner, &g_array_index(target->pending_suspicions,
                                        struct charge, i));
    }
    g_array_set_size(target->pending_suspicions, 0);
    owner->placement_wanted = true;
}

void
owner_crashes_answered(struct cw_owner *owner, struct owner_target *target,
                       int64_t boot_ms)
{
    const struct charge *first;

    if (target->pending_suspicions->len == 0) {
        return;
    }
    /* All are of the life that was lost last. */
    first = &g_array_index(target->pending_suspicions, struct charge, 0);
    if (first->boot_ms > 0 && boot_ms > 0 && first->boot_ms != boot_ms) {
        owner_crashes_confirmed(owner, target, boot_ms);
    }
    else {
        disproved(owner, target);
    }
}

/* ---- lives at an address ---- */

/* Another life is listed at the address of one that is not listed any more:
 * that one is over, and its runs with it, before its lease says so. */
static void
another_life(struct cw_owner *owner, struct owner_target *before,
             const struct owner_target *present)
{
    if (owner->state == OWNER_ACTIVE && !before->superseded &&
        before->service == present->service &&
        (before->runs->len > 0 || before->pending_suspicions->len > 0))
    {
        before->superseded = true;
        owner_target_lost(owner, before, "other_life");
    }
}

void
owner_crashes_listed(struct cw_owner *owner, struct owner_target *target)
{
    struct owner_target *before =
        g_hash_table_lookup(owner->targets_by_address, target->address);

    if (before != NULL && before != target && !before->listed) {
        another_life(owner, before, target);
    }
    g_hash_table_replace(owner->targets_by_address, g_strdup(target->address),
                         target);
}

void
owner_crashes_unlisted(struct cw_owner *owner, struct owner_target *target)
{
    const struct owner_target *other =
        g_hash_table_lookup(owner->targets_by_address, target->address);

    if (other != NULL && other != target && other->listed) {
        another_life(owner, target, other);
    }
}

/* ---- suspects ---- */

bool
owner_step_is_delayed(const struct owner_step *step, struct timespec now)
{
    for (unsigned i = 0; step->suspects > 0 && i < step->count; i++) {
        const struct owner_task *task = &step->tasks[i];

        if (is_suspect(task) && cw_time_before(now, task->rack_reserved_until))
        {
            return true;
        }
    }
    return false;
}

unsigned
owner_target_neighbour_weight(const struct owner_target *target)
{
    unsigned neighbour_weight = 0;

    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        neighbour_weight += run->percent == 0 ? COUNTS_UNCLEAR : 1;
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

    if (run->on_probation && run->percent > 0) {
        owner_probation_end(run);
        owner->capacity_version++; /* others may be placed there again */
        owner->placement_wanted = true;
    }
    if (run->task->suspicion > 0 && is_steady(run, now)) {
        owner_task_set_suspicion(run->task, 0);
        owner_job_mark_dirty(owner, owner_task_job(run->task));
    }
}

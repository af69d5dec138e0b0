/* Idle jobs: detects work that could run and does not, whatever the cause.
 *
 * The check uses only facts that are visible outside the owner.  A step is
 * unblocked, no worker has listed a run of the job for seconds, and according
 * to the workers' confirmations either most of the service's capacity is free,
 * or the smallest part of the job that can run (a task, or its gang) would fit
 * twice.  What the owner assumes about the job (a placement, an order in
 * flight, a lease to wait for, reserved capacity) is only logged as the
 * reason.
 *
 * A task that loses one run after another makes no progress either, although
 * it is running at each check; such tasks are counted as repeating. */
#include "owner/internal/owner_crashes.h"
#include "owner/internal/owner_placement.h"
#include "owner/internal/owner_spare.h"

enum {
    /* The platform tolerates 3 s in which no task of a job runs. */
    IDLE_MAX_MS = 3000,
    /* The platform tolerates 6 s after the last run of an endless task,
     * whether other tasks of its job run or not. */
    ENDLESS_IDLE_MAX_MS = 6000,
    CHECK_INTERVAL_MS = 250,
    LOG_INTERVAL_MS = 3000,
    /* Limit on the jobs that one check logs; the statistics cover all jobs. */
    LOGGED_MAX = 8,
    /* A task that has lost this many runs in a row counts as repeating; two
     * may be a coincidence. */
    REPEATING_FROM = 3
};

/* Capacity of a service's workers, and the part that runs use as reported. */
struct service_load {
    struct cw_resources capacity;
    struct cw_resources used;
};

/* One check of all jobs. */
struct check {
    struct cw_owner *owner;
    struct timespec now;
    unsigned logged;     /* jobs logged */
    const char *service; /* that mostly_free was computed for */
    bool mostly_free;
    GArray *waiting; /* struct waiting */
    struct owner_spare *spare;
};

/* An unblocked step, of a job that has no run, or with an endless task that
 * has none. */
struct waiting {
    struct owner_step *step;
    int64_t waited_ms;
    bool too_long;
};

static const char *
cause_name(enum owner_idle_cause cause)
{
    static const char *const names[] = {
        [OWNER_IDLE_NONE] = "",
        [OWNER_IDLE_MOVED] = "moved",
        [OWNER_IDLE_STALLED] = "stalled",
        [OWNER_IDLE_DRAINED] = "evacuated",
        [OWNER_IDLE_UNANSWERED] = "unanswered",
        [OWNER_IDLE_PREEMPTED] = "reclaimed",
        [OWNER_IDLE_LOST] = "lost",
        [OWNER_IDLE_FAILED] = "failed",
    };

    return names[cause];
}

/* ---- idle jobs ---- */

void
owner_idle_begin(struct cw_owner *owner, struct owner_job *job)
{
    cw_idle_begin(&job->idle.clock, owner_now(owner));
    job->idle.cause = OWNER_IDLE_NONE;
}

void
owner_idle_end(struct cw_owner *owner, struct owner_job *job)
{
    struct timespec now = owner_now(owner);
    int64_t idle_ms = cw_time_diff_ms(job->idle.clock.since, now);

    if (idle_ms > IDLE_MAX_MS) {
        cw_log_info(
            "job_resumed",
            "id=%s idle_ms=%" PRId64 " room_ms=%" PRId64 " after=%s runs=%u",
            job->spec->id, idle_ms, cw_idle_free_ms(&job->idle.clock, now),
            cause_name(job->idle.cause), job->runs);
    }
    cw_idle_begin(&job->idle.clock, now);
}

/* ---- capacity ---- */

static void
add_target(struct service_load *load, const struct owner_target *target)
{
    owner_resources_add(&load->capacity, &target->capacity);
    owner_resources_add(&load->used, &target->orphans);
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];
        struct cw_resources need = owner_step_need(run->task->step->spec);

        if (run->phase == RUN_RUNNING) {
            owner_resources_add(&load->used, &need);
        }
    }
}

static bool
is_mostly_free(struct check *check, const char *service)
{
    struct cw_owner *owner = check->owner;
    struct service_load load = {0};
    GHashTableIter iterator;
    gpointer value;

    if (check->service == service) {
        return check->mostly_free;
    }
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;

        if (target->service == service && target->listed) {
            add_target(&load, target);
        }
    }
    check->service = service;
    check->mostly_free =
        2 * load.used.accelerators < load.capacity.accelerators &&
        2 * load.used.cpu_milli < load.capacity.cpu_milli &&
        2 * load.used.memory_mb < load.capacity.memory_mb;
    return check->mostly_free;
}

/* ---- jobs ---- */

/* Returns the first unblocked step, or NULL. */
static struct owner_step *
first_unblocked_step(const struct owner_job *job)
{
    for (guint i = 0; i < job->open->len; i++) {
        struct owner_occurrence *occurrence = job->open->pdata[i];

        for (unsigned k = 0; k < occurrence->count; k++) {
            if (owner_step_is_unblocked(&occurrence->steps[k])) {
                return &occurrence->steps[k];
            }
        }
    }
    return NULL;
}

static const struct owner_run *
first_run(const struct owner_step *step)
{
    for (unsigned i = 0; i < step->count; i++) {
        if (step->tasks[i].run != NULL) {
            return step->tasks[i].run;
        }
    }
    return NULL;
}

/* Returns why the step does not run according to the owner's state, for the
 * log.
 */
static const char *
reason_of(const struct cw_owner *owner, const struct owner_step *step,
          const struct owner_run *run, struct timespec now)
{
    if (run != NULL) {
        return owner_run_phase_name(run->phase);
    }
    if (owner_gang_ends_delay(step, now)) {
        return "unheard_end";
    }
    if (owner_step_is_delayed(step, now)) {
        return "suspect";
    }
    return owner_at_most_once_may_start(owner, step) ? "no_place" : "once";
}

/* Returns the log fields for the worker that a job waits for; NULL: none.
 * Owned by the caller. */
static char *
describe_worker(const struct owner_target *target, struct timespec now)
{
    if (target == NULL) {
        return g_strdup("worker=");
    }
    return g_strdup_printf("worker=%s silent=%u heard_ms=%" PRId64
                           " lease_left_ms=%" PRId64 " lease_by=%s",
                           target->id, target->unanswered_polls,
                           owner_target_since_answer_ms(target, now),
                           cw_time_diff_ms(now, target->lease_end),
                           owner_lease_source_name(target->lease_source));
}

static void
log_waiting(struct cw_owner *owner, const struct waiting *waiting,
            const struct owner_spare_fit *fit, struct timespec now)
{
    const struct owner_step *step = waiting->step;
    struct owner_job *job = step->occurrence->job;
    const struct owner_run *run = first_run(step);
    char *worker = describe_worker(run != NULL ? run->target : NULL, now);

    job->idle.logged_at = now;
    cw_log_warning(
        "job_waits",
        "id=%s waits_ms=%" PRId64 " room_ms=%" PRId64
        " after=%s reason=%s %s owner_ms=%" PRId64
        " stopping=%d unanswered=%u step=%u.%u left=%u runs=%u"
        " fits=%u booked=%u avoided=%u rack=%u urgent=%u orders=%u most=%u",
        job->spec->id, waiting->waited_ms,
        cw_idle_free_ms(&job->idle.clock, now), cause_name(job->idle.cause),
        reason_of(owner, step, run, now), worker,
        cw_time_diff_ms(owner->takeover_began_at, now),
        run != NULL && run->stopping, run != NULL ? run->unanswered : 0,
        step->occurrence->number, step->number, step->left, step->runs,
        fit->tasks, fit->by_blocker[OWNER_BLOCKER_UNCONFIRMED],
        fit->by_blocker[OWNER_BLOCKER_AVOIDED],
        fit->by_blocker[OWNER_BLOCKER_RACK],
        fit->by_blocker[OWNER_BLOCKER_HEADROOM],
        owner->order_window.outstanding, owner->order_window.max_outstanding);
    g_free(worker);
}

static void
count_repeating(struct owner_idle_stats *stats, const struct owner_job *job)
{
    for (guint i = 0; i < job->open->len; i++) {
        const struct owner_occurrence *occurrence = job->open->pdata[i];

        for (unsigned k = 0; k < occurrence->count; k++) {
            const struct owner_step *step = &occurrence->steps[k];

            for (unsigned n = 0; !step->done && n < step->count; n++) {
                stats->repeating += !step->tasks[n].done &&
                                    step->tasks[n].lost_runs >= REPEATING_FROM;
            }
        }
    }
}

static bool
is_running(const struct owner_task *task)
{
    return task->run != NULL && task->run->phase == RUN_RUNNING;
}

/* Returns for how long an endless task of the step has had no run; the longest
 * of them counts. */
static int64_t
endless_idle_ms(const struct owner_step *step, struct timespec now)
{
    int64_t longest_ms = 0;

    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_task *task = &step->tasks[i];

        if (!is_running(task) && task->idle_since.tv_sec > 0) {
            longest_ms =
                MAX(longest_ms, cw_time_diff_ms(task->idle_since, now));
        }
    }
    return longest_ms;
}

static void
add_if_waiting(struct check *check, struct owner_job *job)
{
    struct waiting waiting = {
        .step = first_unblocked_step(job),
        .waited_ms = cw_time_diff_ms(job->idle.clock.since, check->now)};
    int64_t tolerated_ms = IDLE_MAX_MS;

    count_repeating(&check->owner->idle_stats, job);
    if (waiting.step != NULL && waiting.step->spec->endless &&
        waiting.waited_ms <= IDLE_MAX_MS)
    {
        waiting.waited_ms = endless_idle_ms(waiting.step, check->now);
        tolerated_ms = ENDLESS_IDLE_MAX_MS;
    }
    waiting.too_long = waiting.waited_ms > tolerated_ms;
    if (waiting.step != NULL && waiting.waited_ms > CHECK_INTERVAL_MS) {
        g_array_append_val(check->waiting, waiting);
    }
}

static void
check_job(struct check *check, const struct waiting *waiting)
{
    struct owner_idle_stats *stats = &check->owner->idle_stats;
    struct owner_job *job = waiting->step->occurrence->job;

    bool has_capacity = owner_spare_fits_twice(check->spare, waiting->step) ||
                        is_mostly_free(check, job->service);

    cw_idle_check(&job->idle.clock, has_capacity, check->now);
    if (!has_capacity || !waiting->too_long) {
        return;
    }
    stats->jobs++;
    stats->longest_ms = MAX(stats->longest_ms, waiting->waited_ms);
    if (check->logged < LOGGED_MAX &&
        cw_time_diff_ms(job->idle.logged_at, check->now) > LOG_INTERVAL_MS)
    {
        struct owner_spare_fit fit =
            owner_spare_fit(check->spare, waiting->step);

        log_waiting(check->owner, waiting, &fit, check->now);
        check->logged++;
    }
}

/* Returns the lowest number of accelerators that a task of the waiting steps
 * requires. */
static uint32_t
min_accelerators(const GArray *waiting)
{
    uint32_t min = UINT32_MAX;

    for (guint i = 0; i < waiting->len; i++) {
        const struct waiting *row = &g_array_index(waiting, struct waiting, i);

        min = MIN(min, row->step->spec->accelerators);
    }
    return min;
}

static void
check_waiting(struct check *check)
{
    if (check->waiting->len == 0) {
        return;
    }
    check->spare = owner_spare_create(
        check->owner, min_accelerators(check->waiting), check->now);
    for (guint i = 0; i < check->waiting->len; i++) {
        check_job(check, &g_array_index(check->waiting, struct waiting, i));
    }
    owner_spare_free(check->spare);
}

void
owner_idle_tick(struct cw_owner *owner, struct timespec now)
{
    struct check check = {.owner = owner, .now = now};
    GHashTableIter iterator;
    gpointer value;

    if (cw_time_before(now, owner->idle_stats.due)) {
        return;
    }
    owner->idle_stats = (struct owner_idle_stats){
        .due = cw_time_add_ms(now, CHECK_INTERVAL_MS)};
    if (!owner_may_order(owner, now)) {
        return; /* another VM may be the owner and have run the jobs */
    }
    check.waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting));
    g_hash_table_iter_init(&iterator, owner->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_job *job = value;

        if (!cw_work_is_over(job->phase)) {
            add_if_waiting(&check, value);
        }
    }
    check_waiting(&check);
    g_array_unref(check.waiting);
}

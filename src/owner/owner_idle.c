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
#include "owner/internal/owner_idle_log.h"
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
    /* Jobs that are idle for this long after a takeover are logged, once, if
     * they have runs on workers that do not answer the new owner. */
    INHERITED_IDLE_MS = 1000,
    /* Jobs of priority 0 that have not begun after this time are logged,
     * once. */
    URGENT_IDLE_MS = 1000,
    /* Limit on the jobs that one check logs; the statistics cover all jobs. */
    LOGGED_MAX = 8,
    /* The same for jobs without free capacity: in a full service there may be
     * thousands.  With the interval of checks, at most 16 lines a second. */
    FULL_LOGGED_MAX = 4,
    /* From this idle time on, before the job is overdue, what keeps it from
     * spare capacity is determined, for at most so many jobs in one check. */
    REFUSAL_FROM_MS = 2000,
    REFUSALS_MAX = 16,
    /* A task that has lost this many runs in a row counts as repeating; two
     * may be a coincidence. */
    REPEATING_FROM = 3
};

/* One check of all jobs. */
struct check {
    struct cw_owner *owner;
    struct timespec now;
    unsigned logged; /* jobs logged */
    unsigned inherited_logged;
    unsigned urgent_logged;
    unsigned refusals;   /* jobs for which a refusal was determined */
    const char *service; /* that `load` was computed for */
    struct owner_service_load load;
    GArray *waiting; /* struct owner_waiting */
    struct owner_spare *spare;
    unsigned full; /* jobs without free capacity that wait for too long */
    /* Those of them to log, the first one first. */
    struct owner_waiting full_logged[FULL_LOGGED_MAX];
    unsigned full_logged_count;
};

/* ---- idle jobs ---- */

void
owner_idle_begin(struct cw_owner *owner, struct owner_job *job)
{
    cw_idle_begin(&job->idle.clock, owner_now(owner));
    job->idle.cause = OWNER_IDLE_NONE;
    job->idle.refusal = CW_OWNER_REFUSAL_UNKNOWN;
    job->idle.since_takeover = false;
}

void
owner_idle_take_over(struct owner_job *job)
{
    bool never_placed = !job->started && job->spec->repeats == 0;

    job->idle.since_takeover = !never_placed;
    if (never_placed) {
        job->idle.clock.since = job->known_at;
    }
}

void
owner_idle_end(struct cw_owner *owner, struct owner_job *job)
{
    struct timespec now = owner_now(owner);

    if (cw_time_diff_ms(job->idle.clock.since, now) > IDLE_MAX_MS) {
        owner_idle_log_resumed(job, now);
    }
    job->idle.since_takeover = false;
    job->idle.refusal = CW_OWNER_REFUSAL_UNKNOWN;
    cw_idle_begin(&job->idle.clock, now);
}

/* ---- capacity ---- */

static void
add_target(struct owner_service_load *load, const struct owner_target *target)
{
    owner_resources_add(&load->capacity, &target->capacity);
    owner_resources_add(&load->used, &target->orphans);
    load->workers++;
    load->silent += target->unanswered_polls > 0;
    load->draining += target->draining;
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];
        struct cw_resources need = owner_step_need(run->task->step->spec);

        if (run->phase == RUN_RUNNING) {
            owner_resources_add(&load->used, &need);
        }
    }
}

/* Returns the load of a service's workers; the last one is cached. */
static const struct owner_service_load *
load_of(struct check *check, const char *service)
{
    struct cw_owner *owner = check->owner;
    GHashTableIter iterator;
    gpointer value;

    if (check->service == service) {
        return &check->load;
    }
    check->service = service;
    check->load = (struct owner_service_load){0};
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;

        if (target->service == service && target->listed) {
            add_target(&check->load, target);
        }
    }
    return &check->load;
}

static bool
is_mostly_free(struct check *check, const char *service)
{
    const struct owner_service_load *load = load_of(check, service);

    return 2 * load->used.accelerators < load->capacity.accelerators &&
           2 * load->used.cpu_milli < load->capacity.cpu_milli &&
           2 * load->used.memory_mb < load->capacity.memory_mb;
}

/* ---- jobs ---- */

/* Position among the steps of a job's open occurrences. */
struct step_cursor {
    guint occurrence;
    unsigned step;
};

/* Returns the next unblocked step, from the cursor on, or NULL. */
static struct owner_step *
next_unblocked_step(const struct owner_job *job, struct step_cursor *cursor)
{
    for (; cursor->occurrence < job->open->len; cursor->occurrence++) {
        struct owner_occurrence *occurrence =
            job->open->pdata[cursor->occurrence];

        while (cursor->step < occurrence->count) {
            struct owner_step *step = &occurrence->steps[cursor->step++];

            if (owner_step_is_unblocked(step)) {
                return step;
            }
        }
        cursor->step = 0;
    }
    return NULL;
}

static struct owner_step *
first_unblocked_step(const struct owner_job *job)
{
    struct step_cursor cursor = {0};

    return next_unblocked_step(job, &cursor);
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
    struct owner_waiting waiting = {
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

static struct owner_idle *
idle_of(const struct owner_waiting *waiting)
{
    return &waiting->step->occurrence->job->idle;
}

/* True if `a` is to be logged rather than `b`: the one that was logged longer
 * ago, that has runs, or that waits for longer. */
static bool
is_logged_before(const struct owner_waiting *a, const struct owner_waiting *b)
{
    int64_t later_ms = cw_time_diff_ms(idle_of(a)->full_logged_at,
                                       idle_of(b)->full_logged_at);
    bool a_has_runs = a->step->runs > 0;
    bool b_has_runs = b->step->runs > 0;

    if (later_ms != 0) {
        return later_ms > 0;
    }
    return a_has_runs != b_has_runs ? a_has_runs : a->waited_ms > b->waited_ms;
}

/* Counts a job without free capacity, and selects it for the log if few others
 * precede it. */
static void
add_full(struct check *check, const struct owner_waiting *waiting)
{
    struct owner_waiting *rows = check->full_logged;
    unsigned at;

    check->full++;
    if (cw_time_diff_ms(idle_of(waiting)->full_logged_at, check->now) <=
        LOG_INTERVAL_MS)
    {
        return;
    }
    if (check->full_logged_count < FULL_LOGGED_MAX) {
        check->full_logged_count++;
    }
    else if (!is_logged_before(waiting, &rows[FULL_LOGGED_MAX - 1])) {
        return;
    }
    at = check->full_logged_count - 1;
    while (at > 0 && is_logged_before(waiting, &rows[at - 1])) {
        rows[at] = rows[at - 1];
        at--;
    }
    rows[at] = *waiting;
}

static void
log_full(struct check *check)
{
    for (unsigned i = 0; i < check->full_logged_count; i++) {
        const struct owner_waiting *waiting = &check->full_logged[i];
        struct owner_spare_fit fit =
            owner_spare_fit(check->spare, waiting->step);

        owner_idle_log_full(
            check->owner, waiting, &fit,
            load_of(check, waiting->step->occurrence->job->service),
            check->full, check->now);
    }
}

/* Logs a job that only its inherited runs on unresponsive workers keep from
 * running: what the new owner has to wait for is known long before the job has
 * been idle for too long. */
static void
check_inherited(struct check *check, struct owner_job *job)
{
    GPtrArray *inherited;

    if (!job->idle.since_takeover || job->idle.inherited_logged ||
        check->inherited_logged == LOGGED_MAX ||
        cw_time_diff_ms(job->idle.clock.since, check->now) <=
            INHERITED_IDLE_MS)
    {
        return;
    }
    inherited = owner_job_runs(job, RUN_INHERITED);
    if (inherited->len > 0) {
        job->idle.inherited_logged = true;
        check->inherited_logged++;
        owner_idle_log_inherited(check->owner, job, inherited, check->now);
    }
    g_ptr_array_unref(inherited);
}

/* Logs an urgent job that has not begun, and whether its account is within its
 * guarantee, long before it is late. */
static void
check_urgent(struct check *check, const struct owner_waiting *waiting)
{
    struct owner_job *job = waiting->step->occurrence->job;

    if (job->spec->priority != 0 || job->idle.urgent_logged ||
        job->start_confirmed || waiting->waited_ms <= URGENT_IDLE_MS ||
        check->urgent_logged == LOGGED_MAX)
    {
        return;
    }
    job->idle.urgent_logged = true;
    check->urgent_logged++;
    owner_idle_log_urgent(check->owner, waiting, check->now);
}

/* Determines what keeps the job from spare capacity, unless that is known or
 * too many jobs precede it: for all of thousands of jobs it takes too long. */
static void
determine_refusal(struct check *check, const struct owner_waiting *waiting)
{
    struct owner_idle *idle = idle_of(waiting);

    if (idle->refusal == CW_OWNER_REFUSAL_UNKNOWN &&
        waiting->waited_ms > REFUSAL_FROM_MS && check->refusals < REFUSALS_MAX)
    {
        idle->refusal = owner_spare_fit(check->spare, waiting->step).refusal;
        check->refusals++;
    }
}

static void
count_by_refusal(struct owner_idle_stats *stats,
                 const struct owner_waiting *waiting)
{
    int64_t *longest_ms =
        &stats->longest_by_refusal_ms[idle_of(waiting)->refusal];

    *longest_ms = MAX(*longest_ms, waiting->waited_ms);
}

/* Returns the first unblocked step that fits twice, or NULL: any step whose
 * turn has come could run, not only the first one. */
static struct owner_step *
step_that_fits(const struct check *check, const struct owner_job *job)
{
    struct step_cursor cursor = {0};
    struct owner_step *step = next_unblocked_step(job, &cursor);

    while (step != NULL && !owner_spare_fits_twice(check->spare, step)) {
        step = next_unblocked_step(job, &cursor);
    }
    return step;
}

static void
check_job(struct check *check, struct owner_waiting *waiting)
{
    struct owner_idle_stats *stats = &check->owner->idle_stats;
    struct owner_job *job = waiting->step->occurrence->job;
    struct owner_step *fitting = step_that_fits(check, job);
    bool has_capacity = fitting != NULL || is_mostly_free(check, job->service);

    if (fitting != NULL) {
        waiting->step = fitting;
    }
    check_inherited(check, job);
    check_urgent(check, waiting);
    cw_idle_check(&job->idle.clock, has_capacity, check->now);
    if (has_capacity) {
        determine_refusal(check, waiting);
    }
    if (!waiting->too_long) {
        return;
    }
    if (!has_capacity) {
        count_by_refusal(stats, waiting);
        add_full(check, waiting);
        return;
    }
    stats->jobs++;
    stats->longest_ms = MAX(stats->longest_ms, waiting->waited_ms);
    if (check->logged < LOGGED_MAX &&
        cw_time_diff_ms(job->idle.logged_at, check->now) > LOG_INTERVAL_MS)
    {
        struct owner_spare_fit fit =
            owner_spare_fit(check->spare, waiting->step);

        owner_idle_log_waits(check->owner, waiting, &fit, check->now);
        check->logged++;
    }
    count_by_refusal(stats, waiting);
}

/* Returns the lowest number of accelerators that a task of a waiting job's
 * unblocked steps requires. */
static uint32_t
min_accelerators(const GArray *waiting)
{
    uint32_t min = UINT32_MAX;

    for (guint i = 0; i < waiting->len; i++) {
        const struct owner_job *job =
            g_array_index(waiting, struct owner_waiting, i)
                .step->occurrence->job;
        struct step_cursor cursor = {0};
        struct owner_step *step;

        while ((step = next_unblocked_step(job, &cursor)) != NULL) {
            min = MIN(min, step->spec->accelerators);
        }
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
        check_job(check,
                  &g_array_index(check->waiting, struct owner_waiting, i));
    }
    log_full(check);
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
    check.waiting = g_array_new(FALSE, FALSE, sizeof(struct owner_waiting));
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

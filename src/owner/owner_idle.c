/* Work that could run and does not, whatever the cause.
 *
 * Looked at from the outside: a step's turn has come, no worker has listed a
 * run of the job for seconds, and by what workers have confirmed most of the
 * service's room is free, or, however full it is, twice what can only begin
 * together would fit.  What the owner believes of the job (a place, an order
 * under way, a lease to wait for, room kept for others) is the reason that is
 * logged, and does not hide it.  A task that loses one run after the other
 * makes no headway either, though it is at work each time that somebody
 * looks. */
#include "owner/internal/owner_crashes.h"
#include "owner/internal/owner_placement.h"
#include "owner/internal/owner_spare.h"

enum {
    /* The platform bears 3 s in which nothing of a job runs, and 6 s after
     * the last run of a task that lasts, whether others of its job run or
     * not. */
    WAITS_MS = 3000,
    LASTING_MS = 6000,
    LOOK_EVERY_MS = 250,
    TELL_EVERY_MS = 3000,
    /* Lines in one look; the counts are of all. */
    TOLD_MOST = 8,
    /* Two may be bad luck. */
    REPEATS_FROM = 3
};

/* What a service's workers have, and what runs there by their own word. */
struct room {
    struct cw_resources has;
    struct cw_resources used;
};

/* One look at all jobs. */
struct look {
    struct cw_owner *owner;
    struct timespec now;
    unsigned told;
    const char *service; /* the one counted last */
    bool mostly_free;
    GArray *waiting; /* struct waiting */
    struct owner_spare *spare;
};

/* A step that has nothing running though it is its turn. */
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
        [OWNER_IDLE_EVACUATED] = "evacuated",
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

    if (idle_ms > WAITS_MS) {
        cw_log_info(
            "job_resumed",
            "id=%s idle_ms=%" PRId64 " room_ms=%" PRId64 " after=%s runs=%u",
            job->spec->id, idle_ms, cw_idle_free_ms(&job->idle.clock, now),
            cause_name(job->idle.cause), job->runs);
    }
    cw_idle_begin(&job->idle.clock, now);
}

/* ---- room ---- */

static void
add_target(struct room *room, const struct owner_target *target)
{
    owner_resources_add(&room->has, &target->capacity);
    owner_resources_add(&room->used, &target->orphans);
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];
        struct cw_resources need = owner_step_need(run->task->step->spec);

        if (run->phase == RUN_RUNNING) {
            owner_resources_add(&room->used, &need);
        }
    }
}

static bool
is_mostly_free(struct look *look, const char *service)
{
    struct cw_owner *owner = look->owner;
    struct room room = {0};
    GHashTableIter iterator;
    gpointer value;

    if (look->service == service) {
        return look->mostly_free;
    }
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;

        if (target->service == service && target->listed) {
            add_target(&room, target);
        }
    }
    look->service = service;
    look->mostly_free = 2 * room.used.accelerators < room.has.accelerators &&
                        2 * room.used.cpu_milli < room.has.cpu_milli &&
                        2 * room.used.memory_mb < room.has.memory_mb;
    return look->mostly_free;
}

/* ---- jobs ---- */

/* The first step that could run, or NULL. */
static struct owner_step *
step_in_turn(const struct owner_job *job)
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

static const char *
reason_of(const struct cw_owner *owner, const struct owner_step *step,
          const struct owner_run *run, struct timespec now)
{
    if (run != NULL) {
        return owner_run_phase_name(run->phase);
    }
    if (owner_step_is_delayed(step, now)) {
        return "suspect";
    }
    return owner_at_most_once_may_start(owner, step) ? "no_place" : "once";
}

/* The worker that a job waits for, as fields of a line. */
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
tell(struct cw_owner *owner, const struct waiting *waiting,
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
        fit->by_blocker[OWNER_BLOCKER_HEADROOM], owner->order_window.in_flight,
        owner->order_window.max_in_flight);
    g_free(worker);
}

static void
count_repeating(struct owner_idle_stats *waits, const struct owner_job *job)
{
    for (guint i = 0; i < job->open->len; i++) {
        const struct owner_occurrence *occurrence = job->open->pdata[i];

        for (unsigned k = 0; k < occurrence->count; k++) {
            const struct owner_step *step = &occurrence->steps[k];

            for (unsigned n = 0; !step->done && n < step->count; n++) {
                waits->repeating += !step->tasks[n].done &&
                                    step->tasks[n].lost_runs >= REPEATS_FROM;
            }
        }
    }
}

static bool
is_at_work(const struct owner_task *task)
{
    return task->run != NULL && task->run->phase == RUN_RUNNING;
}

/* For how long a task that lasts has not been at work; of the one that waits
 * longest. */
static int64_t
lasting_waits_ms(const struct owner_step *step, struct timespec now)
{
    int64_t longest_ms = 0;

    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_task *task = &step->tasks[i];

        if (!is_at_work(task) && task->idle_since.tv_sec > 0) {
            longest_ms =
                MAX(longest_ms, cw_time_diff_ms(task->idle_since, now));
        }
    }
    return longest_ms;
}

static void
note_waiting(struct look *look, struct owner_job *job)
{
    struct waiting waiting = {
        .step = step_in_turn(job),
        .waited_ms = cw_time_diff_ms(job->idle.clock.since, look->now)};
    int64_t borne_ms = WAITS_MS;

    count_repeating(&look->owner->waits, job);
    if (waiting.step != NULL && waiting.step->spec->endless &&
        waiting.waited_ms <= WAITS_MS)
    {
        waiting.waited_ms = lasting_waits_ms(waiting.step, look->now);
        borne_ms = LASTING_MS;
    }
    waiting.too_long = waiting.waited_ms > borne_ms;
    if (waiting.step != NULL && waiting.waited_ms > LOOK_EVERY_MS) {
        g_array_append_val(look->waiting, waiting);
    }
}

static void
look_at(struct look *look, const struct waiting *waiting)
{
    struct owner_idle_stats *waits = &look->owner->waits;
    struct owner_job *job = waiting->step->occurrence->job;

    bool has_room = owner_spare_fits_twice(look->spare, waiting->step) ||
                    is_mostly_free(look, job->service);

    cw_idle_check(&job->idle.clock, has_room, look->now);
    if (!has_room || !waiting->too_long) {
        return;
    }
    waits->jobs++;
    waits->longest_ms = MAX(waits->longest_ms, waiting->waited_ms);
    if (look->told < TOLD_MOST &&
        cw_time_diff_ms(job->idle.logged_at, look->now) > TELL_EVERY_MS)
    {
        struct owner_spare_fit fit =
            owner_spare_fit(look->spare, waiting->step);

        tell(look->owner, waiting, &fit, look->now);
        look->told++;
    }
}

/* The least demanding of those that wait. */
static uint32_t
least_accelerators(const GArray *waiting)
{
    uint32_t least = UINT32_MAX;

    for (guint i = 0; i < waiting->len; i++) {
        const struct waiting *row = &g_array_index(waiting, struct waiting, i);

        least = MIN(least, row->step->spec->accelerators);
    }
    return least;
}

static void
look_at_waiting(struct look *look)
{
    if (look->waiting->len == 0) {
        return;
    }
    look->spare = owner_spare_create(
        look->owner, least_accelerators(look->waiting), look->now);
    for (guint i = 0; i < look->waiting->len; i++) {
        look_at(look, &g_array_index(look->waiting, struct waiting, i));
    }
    owner_spare_free(look->spare);
}

void
owner_idle_tick(struct cw_owner *owner, struct timespec now)
{
    struct look look = {.owner = owner, .now = now};
    GHashTableIter iterator;
    gpointer value;

    if (cw_time_before(now, owner->waits.due)) {
        return;
    }
    owner->waits =
        (struct owner_idle_stats){.due = cw_time_add_ms(now, LOOK_EVERY_MS)};
    if (!owner_may_order(owner, now)) {
        return; /* another VM may decide, and know better */
    }
    look.waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting));
    g_hash_table_iter_init(&iterator, owner->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_job *job = value;

        if (!cw_work_is_over(job->phase)) {
            note_waiting(&look, value);
        }
    }
    look_at_waiting(&look);
    g_array_unref(look.waiting);
}

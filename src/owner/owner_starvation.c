/* Starvation: places jobs that have been idle for too long in capacity that is
 * withheld from them.
 *
 * Headroom is reserved for urgent work, racks are reserved for gangs, workers
 * that failed or were slow are avoided for seconds, lower-priority work waits
 * while the owner is behind, and a gang that is slower across racks waits for
 * a rack.  Once cw_idle_is_overdue returns true, the smallest part of a job
 * that can run, one task or its gang, is placed in free capacity even if that
 * is reserved.  Runs that borrow headroom are stopped before urgent work needs
 * it (owner_headroom_reclaim.c). */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_crashes.h"
#include "owner/internal/owner_placement.h"

enum {
    /* The platform tolerates 6 s after the last run of an endless task,
     * whether other tasks of its job run or not.  The limit is lower by the
     * time that a placement pass, the store and the start take. */
    ENDLESS_STARVED_MS = 5300,
    /* Interval of scans for starved steps.  In a full service capacity stays
     * free for only some ms, until the next pass. */
    SCAN_INTERVAL_MS = 30,
    /* How long a placed run may take to be confirmed: a start has 0.5 s for
     * its answer. */
    UNCONFIRMED_MAX_MS = 600,
    /* Limit on the steps that are placed in one scan: for an owner that is
     * behind, all waiting jobs are starved. */
    PLACED_MAX = 16,
    /* Limit on the failed attempts in one scan, in addition to those that the
     * memo avoids.  The next scan goes on after them. */
    FAILED_MAX = 256,
    /* How often an endless task has to fit, unless its whole job is starved.
     */
    FIT_TIMES = 2
};

/* Returns how many endless tasks of the step have been without a run for too
 * long. */
static unsigned
starved_endless_tasks(const struct owner_step *step, struct timespec now)
{
    unsigned count = 0;

    for (unsigned i = 0; step->spec->endless && i < step->count; i++) {
        const struct owner_task *task = &step->tasks[i];

        count += task->run == NULL && !owner_task_is_delayed(task, now) &&
                 task->idle_since.tv_sec > 0 &&
                 cw_time_diff_ms(task->idle_since, now) > ENDLESS_STARVED_MS;
    }
    return count;
}

/* True if the job has been idle for too long.  A run that is only placed does
 * not count as work after UNCONFIRMED_MAX_MS: its start may never be answered,
 * and its reserved capacity may never be freed. */
static bool
job_is_starved(const struct owner_job *job, struct timespec now)
{
    return cw_idle_is_overdue(&job->idle.clock, now) &&
           (job->runs == 0 ||
            cw_time_diff_ms(job->placed_at, now) > UNCONFIRMED_MAX_MS);
}

static bool
is_starved(const struct owner_step *step, struct timespec now)
{
    return job_is_starved(step->occurrence->job, now) ||
           starved_endless_tasks(step, now) > 0;
}

/* For a starved job workers have reported free capacity for twice as many
 * tasks as have to fit; some of it may be used by runs that are not confirmed
 * yet. */
unsigned
owner_starved_min_fits(const struct owner_step *step, struct timespec now)
{
    unsigned tasks_together = owner_tasks_together(step);

    return job_is_starved(step->occurrence->job, now)
               ? tasks_together
               : FIT_TIMES * tasks_together;
}

/* Chooses workers for the gang: in one rack if it fits there, otherwise in as
 * few data centres as possible, even if its work takes longer across racks.
 * `scope` is set to the place's. */
static GArray *
choose_gang(struct cw_owner *owner, const struct owner_step *step,
            const GArray *candidates, enum cw_gang_scope *scope)
{
    const char *rack = owner_best_rack(owner, candidates, step, step->count);
    struct cw_gang_choice choice;
    GArray *choices;

    if (rack != NULL) {
        *scope = CW_GANG_IN_RACK;
        return owner_choose_targets(candidates, rack, step->count);
    }
    if (step->spec->same_rack == CW_SAME_RACK_REQUIRED) {
        return NULL;
    }
    choices = owner_spread_gang(owner, candidates, step, &choice);
    *scope = choice.scope;
    return choices;
}

/* Chooses workers for the gang, for one task, or for the starved endless
 * tasks.  NULL if there is not enough free capacity. */
static GArray *
choose_workers(struct cw_owner *owner, struct owner_step *step,
               const GArray *candidates, struct timespec now,
               enum cw_gang_scope *scope)
{
    unsigned fits = owner_total_fit_count(candidates);

    if (fits < owner_starved_min_fits(step, now)) {
        return NULL;
    }
    if (step->spec->gang) {
        return choose_gang(owner, step, candidates, scope);
    }
    return owner_choose_targets(
        candidates, NULL,
        CLAMP(starved_endless_tasks(step, now), 1, MAX(1, fits - 1)));
}

/* `scope`: CW_GANG_NOWHERE if the step is not a gang. */
static void
log_placed(const struct owner_step *step, unsigned fits,
           enum cw_gang_scope scope, struct timespec now)
{
    const struct owner_job *job = step->occurrence->job;

    cw_log_info("headroom_borrowed",
                "id=%s waits_ms=%" PRId64 " room_ms=%" PRId64
                " within=%s unit=%u fits=%u refused=%s step=%u.%u runs=%u",
                job->spec->id, cw_time_diff_ms(job->idle.clock.since, now),
                cw_idle_free_ms(&job->idle.clock, now),
                scope == CW_GANG_NOWHERE ? "worker"
                                         : cw_gang_scope_name(scope),
                owner_tasks_together(step), fits,
                cw_owner_refusal_name(job->idle.refusal),
                step->occurrence->number, step->number, step->runs);
}

static bool
place_step_on(struct cw_owner *owner, struct owner_step *step,
              const GPtrArray *targets, struct timespec now)
{
    const struct owner_job *job = step->occurrence->job;
    GArray *candidates = owner_candidates_with_reserved(targets, step, now);
    enum cw_gang_scope scope = CW_GANG_NOWHERE;
    GArray *choices;

    owner->borrowing_headroom =
        job->spec->priority > 0 &&
        owner_headroom_workers_left(owner, step, job->service, now) == 0;
    choices = choose_workers(owner, step, candidates, now, &scope);
    if (choices != NULL) {
        log_placed(step, owner_total_fit_count(candidates), scope, now);
        owner_assign(owner, step, choices, RUN_NEW);
        g_array_unref(choices);
    }
    owner->borrowing_headroom = false;
    g_array_unref(candidates);
    return choices != NULL;
}

static bool
should_try(struct cw_owner *owner, struct owner_step *step,
           struct timespec now)
{
    return owner_step_needs_placement(step, now) && is_starved(step, now) &&
           owner_at_most_once_may_start(owner, step) &&
           !owner_memo_has_failed(owner, step, OWNER_ATTEMPT_STARVED, now);
}

bool
owner_place_starved_step(struct cw_owner *owner, struct owner_step *step,
                         struct timespec now)
{
    struct cw_resources need = owner_step_need(step->spec);
    GPtrArray *targets;
    bool done;

    if (!should_try(owner, step, now)) {
        return false;
    }
    targets = owner_reachable_targets(owner, &need, now);
    done = place_step_on(owner, step, targets, now);
    g_ptr_array_unref(targets);
    if (!done) {
        owner_memo_add_failure(owner, step, OWNER_ATTEMPT_STARVED, now);
    }
    return done;
}

/* Returns the minimum, for each resource, that a task of any of the steps
 * requires. */
static struct cw_resources
min_need(const GPtrArray *steps)
{
    struct cw_resources min = {.cpu_milli = INT64_MAX,
                               .memory_mb = INT64_MAX,
                               .accelerators = INT64_MAX};

    for (guint i = 0; i < steps->len; i++) {
        const struct owner_step *step = steps->pdata[i];
        struct cw_resources need = owner_step_need(step->spec);

        min.cpu_milli = MIN(min.cpu_milli, need.cpu_milli);
        min.memory_mb = MIN(min.memory_mb, need.memory_mb);
        min.accelerators = MIN(min.accelerators, need.accelerators);
    }
    return min;
}

void
owner_place_starved_steps(struct cw_owner *owner, const GPtrArray *steps,
                          struct timespec now)
{
    struct cw_resources min = min_need(steps);
    GPtrArray *targets = NULL;
    unsigned placed = 0;
    unsigned failed = 0;
    guint first = owner->starved_first < steps->len ? owner->starved_first : 0;
    guint tried = 0;

    if (cw_time_before(now, owner->starved_due)) {
        return;
    }
    owner->starved_due = cw_time_add_ms(now, SCAN_INTERVAL_MS);
    owner_headroom_reclaim(owner, now);
    for (; tried < steps->len && placed < PLACED_MAX && failed < FAILED_MAX;
         tried++)
    {
        struct owner_step *step = steps->pdata[(first + tried) % steps->len];

        if (!should_try(owner, step, now)) {
            continue;
        }
        if (targets == NULL) {
            targets = owner_reachable_targets(owner, &min, now);
        }
        if (place_step_on(owner, step, targets, now)) {
            placed++;
        }
        else {
            owner_memo_add_failure(owner, step, OWNER_ATTEMPT_STARVED, now);
            failed++;
        }
    }
    owner->starved_first = failed == FAILED_MAX ? first + tried : 0;
    if (targets != NULL) {
        g_ptr_array_unref(targets);
    }
}

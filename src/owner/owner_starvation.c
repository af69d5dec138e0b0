/* Starvation: idle jobs get room that is withheld from them.
 *
 * Room is kept free for urgent work, racks are kept clear for gangs, workers
 * that failed or were slow are avoided for seconds, and lower work waits while
 * the owner is behind.  Once cw_idle_is_overdue says so, what a job can only
 * begin together, one task or its gang, is placed in what is free, whatever it
 * is kept for.  It makes way again ahead of need (owner_headroom_reclaim.c).
 */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"

enum {
    /* The platform bears 6 s after the last run of a task that lasts, whether
     * others of its job run or not.  What is left is for a pass, the store and
     * the start. */
    LASTING_STARVED_MS = 5300,
    /* Steps are looked at so often: in a full service room is free for some ms
     * only, until the next pass. */
    EVERY_MS = 30,
    /* A run that was placed is given so long to be confirmed: a start has 0.5
     * s for its answer. */
    PLACED_MS = 600,
    /* Placed in one look: an owner that is behind has all its waiting jobs
     * here. */
    PLACED_MOST = 16,
    /* Looked at in vain in one look, beyond what the memo knows: enough that
     * a few gangs that find nothing do not hide all others. */
    FAILED_MOST = 256,
    TIMES = 2
};

/* Tasks that last and have not been at work for too long. */
static unsigned
lasting_starved(const struct owner_step *step, struct timespec now)
{
    unsigned count = 0;

    for (unsigned i = 0; step->spec->endless && i < step->count; i++) {
        const struct owner_task *task = &step->tasks[i];

        count += task->run == NULL && task->idle_since.tv_sec > 0 &&
                 cw_time_diff_ms(task->idle_since, now) > LASTING_STARVED_MS;
    }
    return count;
}

/* Runs that are placed are no work: their starts may never be answered, and
 * their places may never come free. */
static bool
job_is_starved(const struct owner_job *job, struct timespec now)
{
    return cw_idle_is_overdue(&job->idle.clock, now) &&
           (job->runs == 0 ||
            cw_time_diff_ms(job->placed_at, now) > PLACED_MS);
}

static bool
is_starved(const struct owner_step *step, struct timespec now)
{
    return job_is_starved(step->occurrence->job, now) ||
           lasting_starved(step, now) > 0;
}

/* Tasks that have to fit.  Workers have had room for a starved job twice over
 * by their own word; of that some may be booked. */
static unsigned
least_fits(const struct owner_step *step, unsigned together,
           struct timespec now)
{
    return job_is_starved(step->occurrence->job, now) ? together
                                                      : TIMES * together;
}

/* Where the gang, one task, or each task that lasts goes; NULL if there is no
 * room, or not in the one rack that it needs. */
static GArray *
choose(struct cw_owner *owner, struct owner_step *step,
       const GArray *candidates, struct timespec now)
{
    unsigned together = step->spec->gang ? step->count : 1;
    unsigned fits = owner_total_fit_count(candidates);
    const char *rack = NULL;

    if (fits < least_fits(step, together, now)) {
        return NULL;
    }
    if (step->spec->gang) {
        rack = owner_best_rack(owner, candidates, step, together);
    }
    else {
        together = CLAMP(lasting_starved(step, now), 1, MAX(1, fits - 1));
    }
    if (rack == NULL && owner_step_needs_rack(owner, step, now)) {
        return NULL;
    }
    return owner_choose_targets(candidates, rack, together);
}

static bool
place_on(struct cw_owner *owner, struct owner_step *step,
         const GPtrArray *targets, struct timespec now)
{
    const struct owner_job *job = step->occurrence->job;
    GArray *candidates = owner_candidates_with_reserved(targets, step, now);
    GArray *choices;

    owner->borrowing_headroom =
        job->spec->priority > 0 &&
        owner_headroom_workers_left(owner, step, job->service, now) == 0;
    choices = choose(owner, step, candidates, now);
    if (choices != NULL) {
        cw_log_info("headroom_borrowed",
                    "id=%s step=%u.%u waits_ms=%" PRId64 " fits=%u runs=%u",
                    job->spec->id, step->occurrence->number, step->number,
                    cw_time_diff_ms(job->idle.clock.since, now),
                    owner_total_fit_count(candidates), step->runs);
        owner_assign(owner, step, choices, RUN_NEW);
        g_array_unref(choices);
    }
    owner->borrowing_headroom = false;
    g_array_unref(candidates);
    return choices != NULL;
}

static bool
may_try(struct cw_owner *owner, struct owner_step *step, struct timespec now)
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

    if (!may_try(owner, step, now)) {
        return false;
    }
    targets = owner_reachable_targets(owner, &need, now);
    done = place_on(owner, step, targets, now);
    g_ptr_array_unref(targets);
    if (!done) {
        owner_memo_add_failure(owner, step, OWNER_ATTEMPT_STARVED, now);
    }
    return done;
}

/* The least that a task of any of the steps takes. */
static struct cw_resources
least_need(const GPtrArray *steps)
{
    struct cw_resources least = {.cpu_milli = INT64_MAX,
                                 .memory_mb = INT64_MAX,
                                 .accelerators = INT64_MAX};

    for (guint i = 0; i < steps->len; i++) {
        const struct owner_step *step = steps->pdata[i];
        struct cw_resources need = owner_step_need(step->spec);

        least.cpu_milli = MIN(least.cpu_milli, need.cpu_milli);
        least.memory_mb = MIN(least.memory_mb, need.memory_mb);
        least.accelerators = MIN(least.accelerators, need.accelerators);
    }
    return least;
}

void
owner_place_starved_steps(struct cw_owner *owner, const GPtrArray *steps,
                          struct timespec now)
{
    struct cw_resources least = least_need(steps);
    GPtrArray *targets = NULL;
    unsigned placed = 0;
    unsigned failed = 0;

    if (cw_time_before(now, owner->starved_due)) {
        return;
    }
    owner->starved_due = cw_time_add_ms(now, EVERY_MS);
    owner_headroom_reclaim(owner, now);
    for (guint i = 0;
         i < steps->len && placed < PLACED_MOST && failed < FAILED_MOST; i++)
    {
        struct owner_step *step = steps->pdata[i];

        if (!may_try(owner, step, now)) {
            continue;
        }
        if (targets == NULL) {
            targets = owner_reachable_targets(owner, &least, now);
        }
        if (place_on(owner, step, targets, now)) {
            placed++;
        }
        else {
            owner_memo_add_failure(owner, step, OWNER_ATTEMPT_STARVED, now);
            failed++;
        }
    }
    if (targets != NULL) {
        g_ptr_array_unref(targets);
    }
}

/* Evictions of runs from their workers that are useful but not necessary.
 *
 * A gang that is stopped frees the capacity of all its members and then waits
 * like one that has not begun.  So work that makes progress is moved only if
 * there is free capacity for it elsewhere that is not reserved for others. */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"

enum {
    /* Interval at which a gang that was spread over racks is gathered in one,
     * at most one at a time: the rack is free until its runs have ended. */
    GATHER_INTERVAL_MS = 500
};

/* Returns how many tasks of the step would fit on the worker, for a gang once
 * its own members there have ended. */
static unsigned
fits_on(const struct owner_step *step, struct owner_target *target)
{
    struct cw_resources need = owner_step_need(step->spec);
    struct cw_resources available = owner_free_resources(target);

    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        if (step->spec->gang && run->task->step == step) {
            owner_resources_add(&available, &need);
        }
    }
    return owner_limit_per_worker(step, target,
                                  owner_fit_count(&available, &need));
}

/* Returns how many tasks of the step could be placed on the worker if the run,
 * with its gang, were evicted.  The run's own worker does not count, nor do
 * slow ones, on which it would be as late. */
static unsigned
fits_if_evicted(struct cw_owner *owner, const struct owner_run *run,
                struct owner_target *target, struct timespec now)
{
    const struct owner_step *step = run->task->step;

    if (target == run->target || !owner_target_usable(target, now) ||
        owner_target_is_slow(target, now) ||
        owner_target_is_reserved(target, step, now) ||
        !owner_step_allows_target(step, target) ||
        !owner_headroom_allows(owner, step, target, now))
    {
        return 0;
    }
    return fits_on(step, target);
}

/* True if the runs that would be evicted together with the run fit on other
 * workers. */
static bool
fits_elsewhere(struct cw_owner *owner, const struct owner_run *run,
               struct timespec now)
{
    struct owner_step *step = run->task->step;
    unsigned tasks_together = owner_tasks_together(step);
    bool needs_rack = owner_step_needs_rack(owner, step, now);
    unsigned *fits_by_rack =
        g_new0(unsigned, owner->rack_lower_priority_workers->len);
    unsigned total_fits = 0;
    bool found = false;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (!found && g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;
        unsigned fits = fits_if_evicted(owner, run, target, now);

        total_fits += fits;
        fits_by_rack[target->rack_number] += fits;
        found = (needs_rack ? fits_by_rack[target->rack_number]
                            : total_fits) >= tasks_together;
    }
    g_free(fits_by_rack);
    return found;
}

bool
owner_run_may_move(struct cw_owner *owner, const struct owner_run *run,
                   struct timespec now)
{
    /* Urgent work can preempt other runs. */
    return owner_task_job(run->task)->spec->priority == 0 ||
           fits_elsewhere(owner, run, now);
}

void
owner_run_evict_for(struct cw_owner *owner, struct owner_run *run,
                    enum owner_idle_cause cause)
{
    owner_task_job(run->task)->idle.cause = cause;
    owner_run_evict(owner, run);
}

/* ---- gangs that were spread over racks ---- */

/* True if all members run and they are in more than one rack. */
static bool
runs_across_racks(const struct owner_step *step)
{
    bool across = false;

    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_run *run = step->tasks[i].run;

        if (run == NULL || run->phase != RUN_RUNNING || run->stopping ||
            run->gang_done)
        {
            return false;
        }
        across = across || run->target->rack_number !=
                               step->tasks[0].run->target->rack_number;
    }
    return across;
}

/* True if the gang would end sooner in one rack. */
static bool
should_gather(const struct owner_step *step)
{
    return step->spec->gang && step->spec->same_rack == CW_SAME_RACK_FASTER &&
           !step->spec->endless && step->moves < OWNER_MOVES_MAX &&
           !step->occurrence->job->spec->once && runs_across_racks(step) &&
           cw_gang_should_gather(step->tasks[0].run->percent,
                                 step->spec->checkpoints);
}

static void
add_spread_gangs(const struct owner_job *job, GPtrArray *out)
{
    for (guint i = 0; i < job->open->len; i++) {
        struct owner_occurrence *occurrence = job->open->pdata[i];

        for (unsigned k = 0; k < occurrence->count; k++) {
            if (should_gather(&occurrence->steps[k])) {
                g_ptr_array_add(out, &occurrence->steps[k]);
            }
        }
    }
}

/* Returns a rack that holds the gang without what is reserved for others, or
 * NULL. */
static const char *
free_rack(struct cw_owner *owner, const struct owner_step *step,
          struct timespec now)
{
    GArray *candidates = owner_candidates(owner, step, now);
    const char *rack = owner_best_rack(owner, candidates, step, step->count);

    g_array_unref(candidates);
    return rack;
}

static void
gather(struct cw_owner *owner, struct owner_step *step, const char *rack,
       struct timespec now)
{
    step->moves++;
    cw_log_info(
        "gang_gathered", "id=%s step=%u.%u tasks=%u percent=%u moves=%u",
        step->occurrence->job->spec->id, step->occurrence->number,
        step->number, step->count, step->tasks[0].run->percent, step->moves);
    owner_reserve_this_rack(owner, step, rack, now);
    owner_run_evict_for(owner, step->tasks[0].run, OWNER_IDLE_MOVED);
}

void
owner_gather_gangs(struct cw_owner *owner, struct timespec now)
{
    GPtrArray *gangs;
    GHashTableIter iterator;
    gpointer value;
    const char *rack = NULL;

    if (cw_time_before(now, owner->gather_due)) {
        return;
    }
    owner->gather_due = cw_time_add_ms(now, GATHER_INTERVAL_MS);
    gangs = g_ptr_array_new();
    g_hash_table_iter_init(&iterator, owner->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_job *job = value;

        if (!cw_work_is_over(job->phase)) {
            add_spread_gangs(job, gangs);
        }
    }
    owner_available_reset(owner->available, gangs);
    for (guint i = 0; rack == NULL && i < gangs->len; i++) {
        rack = free_rack(owner, gangs->pdata[i], now);
        if (rack != NULL) {
            gather(owner, gangs->pdata[i], rack, now);
        }
    }
    g_ptr_array_unref(gangs);
}

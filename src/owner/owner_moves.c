/* Evictions of runs from their workers that are useful but not necessary.
 *
 * A gang that is stopped frees the capacity of all its members and then waits
 * like one that has not begun.  So work that makes progress is moved only if
 * there is free capacity for it elsewhere that is not reserved for others. */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"

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
    unsigned tasks_together = step->spec->gang ? step->count : 1;
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

/* Runs that the owner takes from their workers by its own judgement.
 *
 * A gang that is stopped gives up the places of all its members and then waits
 * like one that has not begun.  So work that makes progress is only moved
 * where there is room for it elsewhere that is not kept for others. */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"

/* Tasks of the step that would fit on the worker, for a gang once its own
 * members have left it. */
static unsigned
fits_there(const struct owner_step *step, struct owner_target *target)
{
    struct cw_resources need = owner_step_need(step->spec);
    struct cw_resources room = owner_free_resources(target);

    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        if (step->spec->gang && run->task->step == step) {
            owner_resources_add(&room, &need);
        }
    }
    return owner_limit_per_worker(step, target, owner_fit_count(&room, &need));
}

/* Tasks of the step that would fit there if the run left its worker for good,
 * with its gang. */
static unsigned
fits_after(struct cw_owner *owner, const struct owner_run *run,
           struct owner_target *target, struct timespec now)
{
    const struct owner_step *step = run->task->step;

    if (target == run->target || !owner_target_usable(target, now) ||
        owner_target_is_reserved(target, step, now) ||
        !owner_step_allows_target(step, target) ||
        !owner_headroom_allows(owner, step, target, now))
    {
        return 0;
    }
    return fits_there(step, target);
}

/* True if what leaves with the run finds room elsewhere. */
static bool
fits_elsewhere(struct cw_owner *owner, const struct owner_run *run,
               struct timespec now)
{
    struct owner_step *step = run->task->step;
    unsigned together = step->spec->gang ? step->count : 1;
    bool needs_rack = owner_step_needs_rack(owner, step, now);
    unsigned *racks =
        g_new0(unsigned, owner->rack_lower_priority_workers->len);
    unsigned all = 0;
    bool found = false;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (!found && g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;
        unsigned fits = fits_after(owner, run, target, now);

        all += fits;
        racks[target->rack_number] += fits;
        found = (needs_rack ? racks[target->rack_number] : all) >= together;
    }
    g_free(racks);
    return found;
}

bool
owner_run_may_move(struct cw_owner *owner, const struct owner_run *run,
                   struct timespec now)
{
    /* Urgent work can make others leave. */
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

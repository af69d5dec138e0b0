/* Spare capacity as reported by workers.
 *
 * The owner itself also counts runs that it has placed and no worker has
 * confirmed, and runs that wait until others have been stopped.  Outside the
 * owner these are not visible, as they are not executed. */
#include "owner/internal/owner_spare.h"

#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"

/* How often a task or a gang has to fit. */
enum { FIT_TIMES = 2 };

/* A worker and its spare capacity. */
struct spare_worker {
    struct owner_target *target;
    struct cw_resources available;
};

struct owner_spare {
    struct cw_owner *owner;
    struct timespec now;
    GArray *workers; /* struct spare_worker */
};

/* Returns the resources that neither the runs that the worker has confirmed
 * nor orphans use.
 */
static struct cw_resources
reported_free(const struct owner_target *target)
{
    struct cw_resources available = target->capacity;

    owner_resources_subtract(&available, &target->orphans);
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];
        struct cw_resources need = owner_step_need(run->task->step->spec);

        if (run->phase == RUN_RUNNING) {
            owner_resources_subtract(&available, &need);
        }
    }
    return available;
}

static bool
accepts_work(const struct owner_target *target)
{
    return target->listed && !target->draining && !target->superseded &&
           target->unanswered_polls == 0 && target->address[0] != '\0';
}

struct owner_spare *
owner_spare_create(struct cw_owner *owner, uint32_t min_accelerators,
                   struct timespec now)
{
    struct owner_spare *spare = g_new0(struct owner_spare, 1);
    GHashTableIter iterator;
    gpointer value;

    spare->owner = owner;
    spare->now = now;
    spare->workers = g_array_new(FALSE, FALSE, sizeof(struct spare_worker));
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct spare_worker row = {.target = value};

        row.available = reported_free(row.target);
        if (accepts_work(row.target) &&
            row.available.accelerators >= min_accelerators) {
            g_array_append_val(spare->workers, row);
        }
    }
    return spare;
}

void
owner_spare_free(struct owner_spare *spare)
{
    if (spare != NULL) {
        g_array_unref(spare->workers);
        g_free(spare);
    }
}

/* True if headroom blocks the step on the worker.  `workers_left` is the
 * number of further workers that the step may use; counts down. */
static bool
is_headroom(const struct owner_step *step, const struct owner_target *target,
            unsigned *workers_left)
{
    if (step->occurrence->job->spec->priority == 0 ||
        target->lower_priority_runs > 0)
    {
        return false;
    }
    if (*workers_left == 0) {
        return true;
    }
    (*workers_left)--;
    return false;
}

static enum owner_blocker
blocker_of(const struct owner_spare *spare, const struct owner_step *step,
           struct owner_target *target, unsigned *workers_left)
{
    struct cw_resources need = owner_step_need(step->spec);
    struct cw_resources unassigned = owner_free_resources(target);

    if (owner_fit_count(&unassigned, &need) == 0) {
        return OWNER_BLOCKER_UNCONFIRMED;
    }
    if (!owner_target_usable(target, spare->now) || target->probation_runs > 0)
    {
        return OWNER_BLOCKER_AVOIDED;
    }
    if (owner_target_is_reserved(target, step, spare->now)) {
        return OWNER_BLOCKER_RACK;
    }
    return is_headroom(step, target, workers_left) ? OWNER_BLOCKER_HEADROOM
                                                   : OWNER_BLOCKER_NONE;
}

/* Returns how many tasks of the step fit into the worker's spare capacity. */
static unsigned
fits_on(const struct spare_worker *row, const struct owner_step *step)
{
    struct cw_resources need = owner_step_need(step->spec);
    unsigned fits = owner_fit_count(&row->available, &need);

    if (fits == 0 || !owner_step_allows_target(step, row->target)) {
        return 0;
    }
    return owner_limit_per_worker(step, row->target, fits);
}

bool
owner_spare_fits_twice(const struct owner_spare *spare,
                       const struct owner_step *step)
{
    unsigned *fits_by_rack =
        g_new0(unsigned, spare->owner->rack_lower_priority_workers->len);
    bool rack_fits = step->spec->same_rack != CW_SAME_RACK_REQUIRED;
    unsigned tasks = 0;

    for (guint i = 0;
         i < spare->workers->len &&
         !(rack_fits && tasks >= FIT_TIMES * owner_tasks_together(step));
         i++)
    {
        const struct spare_worker *row =
            &g_array_index(spare->workers, struct spare_worker, i);
        unsigned fits = fits_on(row, step);

        tasks += fits;
        fits_by_rack[row->target->rack_number] += fits;
        rack_fits = rack_fits || fits_by_rack[row->target->rack_number] >=
                                     owner_tasks_together(step);
    }
    g_free(fits_by_rack);
    return rack_fits && tasks >= FIT_TIMES * owner_tasks_together(step);
}

/* Returns the blocker that applies to most of the capacity. */
static enum owner_blocker
main_blocker(const struct owner_spare_fit *fit)
{
    enum owner_blocker main = OWNER_BLOCKER_UNCONFIRMED;

    for (enum owner_blocker i = main; i < OWNER_BLOCKERS; i++) {
        if (fit->by_blocker[i] > fit->by_blocker[main]) {
            main = i;
        }
    }
    return main;
}

static enum cw_owner_refusal
refusal_of(const struct owner_spare_fit *fit, const struct owner_step *step)
{
    static const enum cw_owner_refusal by_blocker[] = {
        [OWNER_BLOCKER_UNCONFIRMED] = CW_OWNER_REFUSAL_BOOKED,
        [OWNER_BLOCKER_AVOIDED] = CW_OWNER_REFUSAL_AVOIDED,
        [OWNER_BLOCKER_RACK] = CW_OWNER_REFUSAL_RACK,
        [OWNER_BLOCKER_HEADROOM] = CW_OWNER_REFUSAL_URGENT,
    };

    if (fit->tasks < fit->together) {
        return CW_OWNER_REFUSAL_NO_ROOM;
    }
    if (fit->tasks < FIT_TIMES * fit->together) {
        return CW_OWNER_REFUSAL_ONCE;
    }
    if (fit->by_blocker[OWNER_BLOCKER_NONE] < fit->together) {
        return by_blocker[main_blocker(fit)];
    }
    return step->spec->gang && step->spec->same_rack != CW_SAME_RACK_ANY &&
                   fit->best_rack < fit->together
               ? CW_OWNER_REFUSAL_ONE_RACK
               : CW_OWNER_REFUSAL_FREE;
}

struct owner_spare_fit
owner_spare_fit(const struct owner_spare *spare, const struct owner_step *step)
{
    struct owner_spare_fit fit = {.together = owner_tasks_together(step)};
    unsigned *by_rack =
        g_new0(unsigned, spare->owner->rack_lower_priority_workers->len);
    unsigned workers_left = owner_headroom_workers_left(
        spare->owner, step, step->occurrence->job->spec->service, spare->now);

    for (guint i = 0; i < spare->workers->len; i++) {
        const struct spare_worker *row =
            &g_array_index(spare->workers, struct spare_worker, i);
        unsigned fits = fits_on(row, step);

        if (fits > 0) {
            fit.tasks += fits;
            fit.by_blocker[blocker_of(spare, step, row->target,
                                      &workers_left)] += fits;
            by_rack[row->target->rack_number] += fits;
            fit.best_rack =
                MAX(fit.best_rack, by_rack[row->target->rack_number]);
        }
    }
    g_free(by_rack);
    fit.refusal = refusal_of(&fit, step);
    return fit;
}

/* Selects the workers on which a step may be placed, and orders them. */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"
#include "owner/internal/owner_crashes.h"

#include <string.h>

unsigned
owner_fit_count(const struct cw_resources *available,
                const struct cw_resources *need)
{
    int64_t fits = G_MAXUINT16;

    if (need->cpu_milli > 0) {
        fits = MIN(fits, available->cpu_milli / need->cpu_milli);
    }
    if (need->memory_mb > 0) {
        fits = MIN(fits, available->memory_mb / need->memory_mb);
    }
    if (need->accelerators > 0) {
        fits = MIN(fits, available->accelerators / need->accelerators);
    }
    return fits > 0 ? (unsigned)fits : 0;
}

struct cw_resources
owner_free_resources(const struct owner_target *target)
{
    struct cw_resources available = target->capacity;

    owner_resources_subtract(&available, &target->used);
    owner_resources_subtract(&available, &target->reserved);
    owner_resources_subtract(&available, &target->orphans);
    return available;
}

/* ---- restrictions of a step ---- */

/* Returns the number of the step's runs and orphans on the worker. */
static unsigned
run_count_on(const struct owner_step *step, const struct owner_target *target)
{
    unsigned count = owner_orphans_of_step(target, step);

    for (unsigned i = 0; i < step->count; i++) {
        if (step->tasks[i].run != NULL && step->tasks[i].run->target == target)
        {
            count++;
        }
    }
    return count;
}

bool
owner_step_allows_target(const struct owner_step *step,
                         const struct owner_target *target)
{
    const char *label = step->spec->label;

    if (target->service != step->occurrence->job->service ||
        !owner_dc_permitted(target->owner, step->occurrence->job,
                            target->dc) ||
        !owner_target_accepts_work(target))
    {
        return false;
    }
    return label[0] == '\0' ||
           (!owner_target_report_is_of_other_incarnation(target) &&
            (strcmp(label, target->kind) == 0 ||
             strcmp(label, target->rack) == 0));
}

unsigned
owner_limit_per_worker(const struct owner_step *step,
                       const struct owner_target *target, unsigned fits)
{
    unsigned max_tasks = step->spec->most_per_worker;
    unsigned count;

    if (max_tasks == 0) {
        return fits;
    }
    count = run_count_on(step, target);
    return count >= max_tasks ? 0 : MIN(fits, max_tasks - count);
}

bool
owner_step_exceeds_limit(const struct owner_step *step,
                         const struct owner_target *target)
{
    unsigned max_tasks = step->spec->most_per_worker;

    return max_tasks > 0 && run_count_on(step, target) > max_tasks;
}

/* Orders the fullest workers first, so that idle ones stay whole for tasks
 * that need a whole worker. */
static gint
by_fullness(gconstpointer a, gconstpointer b)
{
    const struct owner_candidate *x = a;
    const struct owner_candidate *y = b;

    if (x->available.accelerators != y->available.accelerators) {
        return x->available.accelerators < y->available.accelerators ? -1 : 1;
    }
    if (x->available.memory_mb != y->available.memory_mb) {
        return x->available.memory_mb < y->available.memory_mb ? -1 : 1;
    }
    return x->target->number < y->target->number ? -1 : 1;
}

bool
owner_candidate_is_idle(const struct owner_candidate *candidate)
{
    return candidate->target->runs->len == 0;
}

/* Orders workers for urgent work: the fastest first, as its objective is
 * little longer than the work takes; then workers in use, so that idle ones
 * stay whole for tasks that need a whole worker; then the fullest. */
static gint
by_speed(gconstpointer a, gconstpointer b)
{
    const struct owner_candidate *x = a;
    const struct owner_candidate *y = b;

    if (x->speed_rank != y->speed_rank) {
        return x->speed_rank > y->speed_rank ? -1 : 1;
    }
    if (owner_candidate_is_idle(x) != owner_candidate_is_idle(y)) {
        return owner_candidate_is_idle(x) ? 1 : -1;
    }
    return by_fullness(a, b);
}

/* Orders workers for lower-priority work: those that were shown to be slow
 * first or last, then racks and workers that have such runs first, so that it
 * occupies as few as possible, then the slowest. */
static gint
by_lower_priority_runs(gconstpointer a, gconstpointer b)
{
    const struct owner_candidate *x = a;
    const struct owner_candidate *y = b;

    if (x->slow_order != y->slow_order) {
        return x->slow_order < y->slow_order ? -1 : 1;
    }
    if (x->rack_lower_priority_workers != y->rack_lower_priority_workers) {
        return x->rack_lower_priority_workers > y->rack_lower_priority_workers
                   ? -1
                   : 1;
    }
    if ((x->target->lower_priority_runs > 0) !=
        (y->target->lower_priority_runs > 0))
    {
        return x->target->lower_priority_runs > 0 ? -1 : 1;
    }
    if (x->speed_rank != y->speed_rank) {
        return x->speed_rank < y->speed_rank ? -1 : 1;
    }
    return by_fullness(a, b);
}

/* Orders workers for suspects, which may crash their worker: those with the
 * lowest neighbour weight first, as a crash there loses the least. */
static gint
by_neighbour_weight(gconstpointer a, gconstpointer b)
{
    const struct owner_candidate *x = a;
    const struct owner_candidate *y = b;

    if (x->neighbour_weight != y->neighbour_weight) {
        return x->neighbour_weight < y->neighbour_weight ? -1 : 1;
    }
    return by_fullness(a, b);
}

static GCompareFunc
order_for(const struct owner_step *step)
{
    if (step->suspects > 0) {
        return by_neighbour_weight;
    }
    return step->occurrence->job->spec->priority > 0 ? by_lower_priority_runs
                                                     : by_speed;
}

/* Returns the place of a slow worker in the order for lower-priority work; 0
 * is that of the others.  Single tasks use slow workers first: their callers
 * accept three times the length, and their progress shows whether the worker
 * has recovered.  A gang uses them last, as one of them delays it all, and so
 * does a step that was moved from slow workers. */
static int
slow_order(const struct owner_step *step)
{
    return step->spec->gang || step->moves > 0 ? 1 : -1;
}

static int
speed_rank(const struct owner_target *target, struct timespec now)
{
    struct cw_speed_view view = {
        .speed = owner_target_speed(target, now),
        .slow = owner_target_is_slow(target, now),
        .proved = owner_target_is_proved(target, now),
    };

    return cw_speed_rank(&view);
}

bool
owner_target_is_reserved(const struct owner_target *target,
                         const struct owner_step *step, struct timespec now)
{
    return target->rack_reserved_for != NULL &&
           target->rack_reserved_for != step &&
           cw_time_before(now, target->rack_reserved_until) &&
           target->rack_reserved_priority <
               step->occurrence->job->spec->priority;
}

/* Removes the candidates beyond the number of workers that lower-priority work
 * may still get.  Each of them could be used alone, but one wide step must not
 * use them all. */
static void
limit_workers(struct cw_owner *owner, const struct owner_step *step,
              GArray *candidates, struct timespec now)
{
    unsigned left = owner_headroom_workers_left(
        owner, step, step->occurrence->job->spec->service, now);
    guint i = 0;

    while (i < candidates->len) {
        const struct owner_candidate *c =
            &g_array_index(candidates, struct owner_candidate, i);

        if (c->target->lower_priority_runs > 0) {
            i++;
        }
        else if (left > 0) {
            left--;
            i++;
        }
        else {
            g_array_remove_index(candidates, i);
        }
    }
}

unsigned
owner_total_fit_count(const GArray *candidates)
{
    unsigned fits = 0;

    for (guint i = 0; i < candidates->len; i++) {
        fits += g_array_index(candidates, struct owner_candidate, i).fits;
    }
    return fits;
}

/* Adds the worker if a task of the step fits there. */
static void
add_candidate(GArray *out, const struct owner_step *step,
              struct owner_target *target, struct timespec now)
{
    struct cw_resources need = owner_step_need(step->spec);
    struct owner_candidate candidate = {.target = target};

    candidate.available = owner_free_resources(target);
    candidate.fits = owner_fit_count(&candidate.available, &need);
    if (candidate.fits == 0 || target->probation_runs > 0 ||
        !owner_step_allows_target(step, target))
    {
        return;
    }
    candidate.fits = owner_limit_per_worker(step, target, candidate.fits);
    candidate.neighbour_weight =
        step->suspects > 0 ? owner_target_neighbour_weight(target) : 0;
    candidate.rack_lower_priority_workers =
        g_array_index(target->owner->rack_lower_priority_workers, unsigned,
                      target->rack_number);
    if (candidate.fits > 0) {
        candidate.speed_rank = speed_rank(target, now);
        candidate.slow_order =
            cw_speed_rank_is_slow(candidate.speed_rank) ? slow_order(step) : 0;
        g_array_append_val(out, candidate);
    }
}

GArray *
owner_candidates(struct cw_owner *owner, const struct owner_step *step,
                 struct timespec now)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct owner_candidate));
    const GPtrArray *usable = owner_available_targets(owner, now);
    const struct owner_job *job = step->occurrence->job;
    bool lower = job->spec->priority > 0;
    /* If false, only workers with lower-priority runs may be used. */
    bool may_add_workers = !lower || owner_headroom_workers_left(
                                         owner, step, job->service, now) > 0;

    for (guint i = 0; i < usable->len; i++) {
        struct owner_target *target = usable->pdata[i];

        if ((may_add_workers || target->lower_priority_runs > 0) &&
            !owner_target_is_reserved(target, step, now))
        {
            add_candidate(out, step, target, now);
        }
    }
    g_array_sort(out, order_for(step));
    if (lower) {
        limit_workers(owner, step, out, now);
    }
    return out;
}

GPtrArray *
owner_reachable_targets(struct cw_owner *owner, const struct cw_resources *min,
                        struct timespec now)
{
    GPtrArray *targets = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct cw_resources available = owner_free_resources(value);

        if (owner_fit_count(&available, min) > 0 &&
            owner_target_reachable(value, now)) {
            g_ptr_array_add(targets, value);
        }
    }
    return targets;
}

/* Returns the worker's position in the order of use if nothing is withheld
 * from the step; 0: used first. */
static unsigned
withheld_level(const struct owner_target *target,
               const struct owner_step *step, struct timespec now)
{
    bool bears_slow_workers =
        step->occurrence->job->spec->priority > 0 && !step->spec->gang;

    if (!owner_target_usable(target, now) ||
        (!bears_slow_workers && owner_target_is_slow(target, now)))
    {
        return 2;
    }
    return owner_target_is_reserved(target, step, now) ? 1 : 0;
}

GArray *
owner_candidates_with_reserved(const GPtrArray *targets,
                               const struct owner_step *step,
                               struct timespec now)
{
    enum { WITHHELD_LEVELS = 3 };
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct owner_candidate));

    for (unsigned level = 0; level < WITHHELD_LEVELS; level++) {
        GArray *part =
            g_array_new(FALSE, FALSE, sizeof(struct owner_candidate));

        for (guint i = 0; i < targets->len; i++) {
            if (withheld_level(targets->pdata[i], step, now) == level) {
                add_candidate(part, step, targets->pdata[i], now);
            }
        }
        g_array_sort(part, order_for(step));
        g_array_append_vals(out, part->data, part->len);
        g_array_unref(part);
    }
    return out;
}

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

/* Number of workers without lower-priority runs that the step may use. */
static unsigned
new_workers_max(struct cw_owner *owner, const struct owner_step *step,
                struct timespec now)
{
    const struct owner_job *job = step->occurrence->job;

    return job->spec->priority > 0
               ? owner_headroom_workers_left(owner, step, job->service, now)
               : G_MAXUINT;
}

/* True if the step may use the candidate; counts down `new_workers_left`.
 * Each worker could be used alone, but one wide step must not use them all. */
static bool
is_within_limit(const struct owner_candidate *candidate, bool lower,
                unsigned *new_workers_left)
{
    if (!lower || candidate->target->lower_priority_runs > 0) {
        return true;
    }
    if (*new_workers_left == 0) {
        return false;
    }
    (*new_workers_left)--;
    return true;
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

/* Returns the workers with free capacity for a task of the step, in no order.
 */
static GArray *
collect_candidates(struct cw_owner *owner, const struct owner_step *step,
                   struct timespec now)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct owner_candidate));
    const GPtrArray *usable = owner_available_targets(owner, now);
    /* If false, only workers with lower-priority runs may be used. */
    bool may_add_workers = new_workers_max(owner, step, now) > 0;

    for (guint i = 0; i < usable->len; i++) {
        struct owner_target *target = usable->pdata[i];

        if ((may_add_workers || target->lower_priority_runs > 0) &&
            !owner_target_is_reserved(target, step, now))
        {
            add_candidate(out, step, target, now);
        }
    }
    return out;
}

GArray *
owner_candidates(struct cw_owner *owner, const struct owner_step *step,
                 struct timespec now)
{
    GArray *out = collect_candidates(owner, step, now);
    bool lower = step->occurrence->job->spec->priority > 0;
    unsigned left = new_workers_max(owner, step, now);
    guint kept = 0;

    g_array_sort(out, order_for(step));
    for (guint i = 0; i < out->len; i++) {
        struct owner_candidate *candidate =
            &g_array_index(out, struct owner_candidate, i);

        if (is_within_limit(candidate, lower, &left)) {
            g_array_index(out, struct owner_candidate, kept++) = *candidate;
        }
    }
    g_array_set_size(out, kept);
    return out;
}

/* Moves the candidate at the position down to its place in a heap, in which
 * the best one is first. */
static void
sift_down(struct owner_candidate **heap, guint length, guint position,
          GCompareFunc order)
{
    struct owner_candidate *moved = heap[position];

    for (;;) {
        guint child = 2 * position + 1;

        if (child + 1 < length && order(heap[child + 1], heap[child]) < 0) {
            child++;
        }
        if (child >= length || order(moved, heap[child]) <= 0) {
            break;
        }
        heap[position] = heap[child];
        position = child;
    }
    heap[position] = moved;
}

GArray *
owner_first_candidates(struct cw_owner *owner, const struct owner_step *step,
                       unsigned tasks, struct timespec now)
{
    GArray *all = collect_candidates(owner, step, now);
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct owner_candidate));
    struct owner_candidate **heap = g_new(struct owner_candidate *, all->len);
    GCompareFunc order = order_for(step);
    bool lower = step->occurrence->job->spec->priority > 0;
    unsigned new_workers_left = new_workers_max(owner, step, now);
    guint length = all->len;
    unsigned fits = 0;

    for (guint i = 0; i < length; i++) {
        heap[i] = &g_array_index(all, struct owner_candidate, i);
    }
    for (guint i = length / 2; i > 0; i--) {
        sift_down(heap, length, i - 1, order);
    }
    while (length > 0 && fits < tasks) {
        if (is_within_limit(heap[0], lower, &new_workers_left)) {
            g_array_append_val(out, *heap[0]);
            fits += heap[0]->fits;
        }
        heap[0] = heap[--length];
        sift_down(heap, length, 0, order);
    }
    g_free(heap);
    g_array_unref(all);
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

    if (!owner_target_is_usable_in_pass(target, now) ||
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
    GArray *by_level[WITHHELD_LEVELS];

    for (unsigned i = 0; i < WITHHELD_LEVELS; i++) {
        by_level[i] =
            g_array_new(FALSE, FALSE, sizeof(struct owner_candidate));
    }
    for (guint i = 0; i < targets->len; i++) {
        add_candidate(by_level[withheld_level(targets->pdata[i], step, now)],
                      step, targets->pdata[i], now);
    }
    for (unsigned i = 0; i < WITHHELD_LEVELS; i++) {
        g_array_sort(by_level[i], order_for(step));
        g_array_append_vals(out, by_level[i]->data, by_level[i]->len);
        g_array_unref(by_level[i]);
    }
    return out;
}

/* Which workers may take a step, and in which order. */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"
#include "owner/internal/owner_crashes.h"

#include <string.h>

unsigned
owner_fit_count(const struct cw_resources *room,
                const struct cw_resources *need)
{
    int64_t fits = G_MAXUINT16;

    if (need->cpu_milli > 0) {
        fits = MIN(fits, room->cpu_milli / need->cpu_milli);
    }
    if (need->memory_mb > 0) {
        fits = MIN(fits, room->memory_mb / need->memory_mb);
    }
    if (need->accelerators > 0) {
        fits = MIN(fits, room->accelerators / need->accelerators);
    }
    return fits > 0 ? (unsigned)fits : 0;
}

struct cw_resources
owner_free_resources(const struct owner_target *target)
{
    struct cw_resources room = target->capacity;

    owner_resources_subtract(&room, &target->used);
    owner_resources_subtract(&room, &target->reserved);
    owner_resources_subtract(&room, &target->orphans);
    return room;
}

/* ---- which workers may take a step ---- */

/* Runs of the step's occurrence on the worker. */
static unsigned
runs_there(const struct owner_step *step, const struct owner_target *target)
{
    unsigned count = 0;

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
    return label[0] == '\0' || strcmp(label, target->kind) == 0 ||
           strcmp(label, target->rack) == 0;
}

unsigned
owner_limit_per_worker(const struct owner_step *step,
                       const struct owner_target *target, unsigned fits)
{
    unsigned most = step->spec->most_per_worker;
    unsigned there;

    if (most == 0) {
        return fits;
    }
    there = runs_there(step, target);
    return there >= most ? 0 : MIN(fits, most - there);
}

/* Negative if `x` is faster, by enough to matter. */
static int
owner_compare_speed(const struct owner_target *x, const struct owner_target *y)
{
    int a = (int)(x->incarnation.speed / OWNER_SPEED_STEP);
    int b = (int)(y->incarnation.speed / OWNER_SPEED_STEP);

    return b - a;
}

/* Fullest first: whole workers stay whole for tasks that need them. */
static gint
by_room(gconstpointer a, gconstpointer b)
{
    const struct owner_candidate *x = a;
    const struct owner_candidate *y = b;

    if (x->room.accelerators != y->room.accelerators) {
        return x->room.accelerators < y->room.accelerators ? -1 : 1;
    }
    if (x->room.memory_mb != y->room.memory_mb) {
        return x->room.memory_mb < y->room.memory_mb ? -1 : 1;
    }
    return x->target->number < y->target->number ? -1 : 1;
}

bool
owner_candidate_is_idle(const struct owner_candidate *candidate)
{
    return candidate->target->runs->len == 0;
}

/* For urgent work: what is fast first, as its objective is little more than
 * its own length; then workers in use, so that idle ones stay for tasks that
 * need them whole; then what is full. */
static gint
by_speed(gconstpointer a, gconstpointer b)
{
    const struct owner_candidate *x = a;
    const struct owner_candidate *y = b;
    int speed = owner_compare_speed(x->target, y->target);

    if (speed != 0) {
        return speed;
    }
    if (owner_candidate_is_idle(x) != owner_candidate_is_idle(y)) {
        return owner_candidate_is_idle(x) ? 1 : -1;
    }
    return by_room(a, b);
}

/* For lower work: racks and workers that have some already, so that it
 * spreads no further than it must. */
static gint
by_lower_work(gconstpointer a, gconstpointer b)
{
    const struct owner_candidate *x = a;
    const struct owner_candidate *y = b;

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
    if (owner_compare_speed(x->target, y->target) != 0) {
        return -owner_compare_speed(x->target, y->target);
    }
    return by_room(a, b);
}

/* For what may crash its worker: where least would go with it. */
static gint
by_company(gconstpointer a, gconstpointer b)
{
    const struct owner_candidate *x = a;
    const struct owner_candidate *y = b;

    if (x->neighbour_weight != y->neighbour_weight) {
        return x->neighbour_weight < y->neighbour_weight ? -1 : 1;
    }
    return by_room(a, b);
}

static GCompareFunc
order_for(const struct owner_step *step)
{
    if (step->suspects > 0) {
        return by_company;
    }
    return step->occurrence->job->spec->priority > 0 ? by_lower_work
                                                     : by_speed;
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

/* Drops the workers by which lower work would spread too far: each of them
 * may be taken alone, but not all by one wide step. */
static void
keep_headroom(struct cw_owner *owner, const struct owner_step *step,
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

/* Adds the worker if the step finds room there. */
static void
add_candidate(GArray *out, const struct owner_step *step,
              struct owner_target *target)
{
    struct cw_resources need = owner_step_need(step->spec);
    struct owner_candidate candidate = {.target = target};

    candidate.room = owner_free_resources(target);
    candidate.fits = owner_fit_count(&candidate.room, &need);
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
        g_array_append_val(out, candidate);
    }
}

GArray *
owner_candidates(struct cw_owner *owner, const struct owner_step *step,
                 struct timespec now)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct owner_candidate));
    const GPtrArray *open = owner_available_targets(owner, now);
    const struct owner_job *job = step->occurrence->job;
    bool lower = job->spec->priority > 0;
    /* Without it lower work stays on the workers that have some. */
    bool spreads = !lower || owner_headroom_workers_left(
                                 owner, step, job->service, now) > 0;

    for (guint i = 0; i < open->len; i++) {
        struct owner_target *target = open->pdata[i];

        if ((spreads || target->lower_priority_runs > 0) &&
            !owner_target_is_reserved(target, step, now))
        {
            add_candidate(out, step, target);
        }
    }
    g_array_sort(out, order_for(step));
    if (lower) {
        keep_headroom(owner, step, out, now);
    }
    return out;
}

GPtrArray *
owner_reachable_targets(struct cw_owner *owner,
                        const struct cw_resources *least, struct timespec now)
{
    GPtrArray *targets = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct cw_resources room = owner_free_resources(value);

        if (owner_fit_count(&room, least) > 0 &&
            owner_target_reachable(value, now)) {
            g_ptr_array_add(targets, value);
        }
    }
    return targets;
}

/* How readily room there is given up; 0 first. */
static unsigned
doubts(const struct owner_target *target, const struct owner_step *step,
       struct timespec now)
{
    if (!owner_target_usable(target, now)) {
        return 2;
    }
    return owner_target_is_reserved(target, step, now) ? 1 : 0;
}

GArray *
owner_candidates_with_reserved(const GPtrArray *targets,
                               const struct owner_step *step,
                               struct timespec now)
{
    enum { DOUBTS = 3 };
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct owner_candidate));

    for (unsigned level = 0; level < DOUBTS; level++) {
        GArray *part =
            g_array_new(FALSE, FALSE, sizeof(struct owner_candidate));

        for (guint i = 0; i < targets->len; i++) {
            if (doubts(targets->pdata[i], step, now) == level) {
                add_candidate(part, step, targets->pdata[i]);
            }
        }
        g_array_sort(part, order_for(step));
        g_array_append_vals(out, part->data, part->len);
        g_array_unref(part);
    }
    return out;
}

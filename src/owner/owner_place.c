/* Which waiting task goes where. */
#include "owner/internal/owner_private.h"

#include <string.h>

enum {
    /* A step that found no room looks again when some came free, and after
     * this: what is kept for urgent work shrinks with time. */
    TRY_AGAIN_MS = 250,
    /* A gang that has waited so long gets a rack kept clear of work with a
     * lower priority, as small tasks would fill every gap before it. */
    HOLD_AFTER_MS = 1500,
    /* Longer than any stop takes, shorter than reclaiming may. */
    RESERVED_MS = 1500,
    HOLD_MS = 400,
    HOLDS_MOST = 2
};

/* A worker with room, while a step is placed. */
struct candidate {
    struct owner_target *target;
    struct cw_resources room;
    unsigned fits;
    unsigned rack_hosts; /* workers of its rack that lower work is on */
};

unsigned
owner_fits(const struct cw_resources *room, const struct cw_resources *need)
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
owner_room(const struct owner_target *target)
{
    struct cw_resources room = {
        .cpu_milli = target->capacity.cpu_milli - target->used.cpu_milli -
                     target->reserved.cpu_milli,
        .memory_mb = target->capacity.memory_mb - target->used.memory_mb -
                     target->reserved.memory_mb,
        .accelerators = target->capacity.accelerators -
                        target->used.accelerators -
                        target->reserved.accelerators,
    };

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
owner_may_run(const struct owner_step *step, const struct owner_target *target)
{
    const struct cw_work_spec *spec = step->occurrence->job->spec;
    const char *label = step->spec->label;

    if (strcmp(target->service, spec->service) != 0) {
        return false;
    }
    return label[0] == '\0' || strcmp(label, target->kind) == 0 ||
           strcmp(label, target->rack) == 0;
}

unsigned
owner_most_there(const struct owner_step *step,
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

/* Speeds that differ by less count as the same. */
#define SPEED_STEP 0.12

/* Negative if `x` is faster, by enough to matter. */
static int
compare_speed(const struct owner_target *x, const struct owner_target *y)
{
    int a = (int)(x->speed / SPEED_STEP);
    int b = (int)(y->speed / SPEED_STEP);

    return b - a;
}

/* Fullest first: whole workers stay whole for tasks that need them. */
static gint
by_room(gconstpointer a, gconstpointer b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;

    if (x->room.accelerators != y->room.accelerators) {
        return x->room.accelerators < y->room.accelerators ? -1 : 1;
    }
    if (x->room.memory_mb != y->room.memory_mb) {
        return x->room.memory_mb < y->room.memory_mb ? -1 : 1;
    }
    return strcmp(x->target->id, y->target->id);
}

static bool
is_idle(const struct candidate *candidate)
{
    return candidate->target->runs->len == 0;
}

/* For urgent work: workers in use first, so that idle ones stay for tasks
 * that need them whole; then what is fast, then what is full. */
static gint
by_speed(gconstpointer a, gconstpointer b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;
    int speed = compare_speed(x->target, y->target);

    if (is_idle(x) != is_idle(y)) {
        return is_idle(x) ? 1 : -1;
    }
    return speed != 0 ? speed : by_room(a, b);
}

/* For lower work: racks and workers that have some already, so that it
 * spreads no further than it must. */
static gint
by_lower_work(gconstpointer a, gconstpointer b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;

    if (x->rack_hosts != y->rack_hosts) {
        return x->rack_hosts > y->rack_hosts ? -1 : 1;
    }
    if ((x->target->lower_runs > 0) != (y->target->lower_runs > 0)) {
        return x->target->lower_runs > 0 ? -1 : 1;
    }
    if (compare_speed(x->target, y->target) != 0) {
        return -compare_speed(x->target, y->target);
    }
    return by_room(a, b);
}

static void
count_rack_hosts(struct cw_owner *owner, GArray *candidates)
{
    GHashTable *hosts = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;
        gpointer count = g_hash_table_lookup(hosts, target->rack);

        if (target->lower_runs > 0) {
            g_hash_table_insert(hosts, target->rack,
                                GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
        }
    }
    for (guint i = 0; i < candidates->len; i++) {
        struct candidate *c = &g_array_index(candidates, struct candidate, i);

        c->rack_hosts =
            GPOINTER_TO_UINT(g_hash_table_lookup(hosts, c->target->rack));
    }
    g_hash_table_unref(hosts);
}

/* True if the worker is kept clear for a more urgent gang. */
static bool
is_held(const struct owner_target *target, const struct owner_step *step,
        struct timespec now)
{
    return target->held_for != NULL && target->held_for != step &&
           cw_time_before(now, target->held_until) &&
           target->held_priority < step->occurrence->job->spec->priority;
}

/* Drops the workers by which lower work would spread too far: each of them
 * may be taken alone, but not all by one wide step. */
static void
keep_headroom(struct cw_owner *owner, const struct owner_step *step,
              GArray *candidates, struct timespec now)
{
    unsigned left = owner_headroom_left(
        owner, step, step->occurrence->job->spec->service, now);
    guint i = 0;

    while (i < candidates->len) {
        const struct candidate *c =
            &g_array_index(candidates, struct candidate, i);

        if (c->target->lower_runs > 0) {
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

/* Workers with room for a task of the step, fullest first. */
static GArray *
candidates_of(struct cw_owner *owner, const struct owner_step *step,
              struct timespec now)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    struct cw_resources need = owner_need(step->spec);
    bool lower = step->occurrence->job->spec->priority > 0;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct candidate candidate = {.target = value};

        if (!owner_target_usable(value, now) || !owner_may_run(step, value) ||
            is_held(value, step, now) ||
            (lower && !owner_headroom_allows(owner, step, value, now)))
        {
            continue;
        }
        candidate.room = owner_room(value);
        candidate.fits =
            owner_most_there(step, value, owner_fits(&candidate.room, &need));
        if (candidate.fits > 0) {
            g_array_append_val(out, candidate);
        }
    }
    if (!lower) {
        g_array_sort(out, by_speed);
        return out;
    }
    count_rack_hosts(owner, out);
    g_array_sort(out, by_lower_work);
    keep_headroom(owner, step, out, now);
    return out;
}

/* ---- racks ---- */

/* Tasks that fit into the candidates of a rack. */
static unsigned
rack_fits(const GArray *candidates, const char *rack)
{
    unsigned fits = 0;

    for (guint i = 0; i < candidates->len; i++) {
        const struct candidate *c =
            &g_array_index(candidates, struct candidate, i);

        if (strcmp(c->target->rack, rack) == 0) {
            fits += c->fits;
        }
    }
    return fits;
}

/* What a rack would give a gang. */
struct rack_offer {
    const char *rack;
    unsigned fits; /* tasks */
    unsigned idle; /* idle workers that the gang would take */
    int speed;     /* of the slowest worker, in steps: the gang's own */
};

/* What the rack's first candidates for `tasks` come to. */
static struct rack_offer
offer_of(const GArray *candidates, const char *rack, unsigned tasks)
{
    struct rack_offer offer = {
        .rack = rack, .fits = rack_fits(candidates, rack), .speed = G_MAXINT};

    for (guint i = 0; i < candidates->len && tasks > 0; i++) {
        const struct candidate *c =
            &g_array_index(candidates, struct candidate, i);

        if (strcmp(c->target->rack, rack) == 0) {
            offer.speed =
                MIN(offer.speed, (int)(c->target->speed / SPEED_STEP));
            offer.idle += is_idle(c);
            tasks -= MIN(tasks, c->fits);
        }
    }
    return offer;
}

static bool
offer_is_better(const struct rack_offer *x, const struct rack_offer *y,
                bool urgent)
{
    if (urgent && x->idle != y->idle) {
        return x->idle < y->idle;
    }
    if (urgent && x->speed != y->speed) {
        return x->speed > y->speed;
    }
    return x->fits < y->fits;
}

/* The rack that holds `tasks`: for urgent work the one that loses the fewest
 * idle workers, then the fastest; then the one with least to spare.  NULL if
 * there is none.  The rack of the step's data goes first. */
static const char *
best_rack(const GArray *candidates, const struct owner_step *step,
          unsigned tasks)
{
    struct rack_offer best = {0};
    bool urgent = step->occurrence->job->spec->priority == 0;

    for (guint i = 0; i < candidates->len; i++) {
        const char *rack =
            g_array_index(candidates, struct candidate, i).target->rack;
        struct rack_offer offer;

        if (best.rack != NULL && strcmp(best.rack, rack) == 0) {
            continue;
        }
        offer = offer_of(candidates, rack, tasks);
        if (offer.fits < tasks) {
            continue;
        }
        if (strcmp(rack, step->spec->data_rack) == 0) {
            return rack;
        }
        if (best.rack == NULL || offer_is_better(&offer, &best, urgent)) {
            best = offer;
        }
    }
    return best.rack;
}

/* ---- assigning ---- */

static unsigned
next_run(const struct owner_step *step)
{
    unsigned highest = 0;

    for (unsigned i = 0; i < step->count; i++) {
        highest = MAX(highest, step->tasks[i].last_run);
    }
    return highest + 1;
}

static void
log_placed(const struct owner_task *task, const struct owner_run *run)
{
    struct cw_task_name name = owner_task_name(task);

    cw_log_info(
        "placed", "id=%s task=%u.%u.%u run=%u worker=%s rack=%s reserved=%d",
        name.job, name.occurrence, name.step, name.index, run->number,
        run->target->id, run->target->rack, run->phase == RUN_RESERVED);
}

void
owner_assign(struct cw_owner *owner, struct owner_step *step,
             const GArray *choices, enum run_phase phase)
{
    unsigned gang_run = next_run(step);
    unsigned index = 0;

    for (guint i = 0; i < choices->len; i++) {
        const struct owner_choice *choice =
            &g_array_index(choices, struct owner_choice, i);
        unsigned left = choice->tasks;

        for (; left > 0 && index < step->count; index++) {
            struct owner_task *task = &step->tasks[index];
            unsigned number = step->spec->gang ? gang_run : task->last_run + 1;

            if (task->run != NULL || task->done) {
                continue;
            }
            log_placed(task, owner_run_create(owner, task, choice->target,
                                              phase, number));
            left--;
        }
    }
    owner_job_touch(owner, step->occurrence->job);
}

/* Takes up to `tasks` from the candidates (of `rack` only, if given). */
static GArray *
choose(const GArray *candidates, const char *rack, unsigned tasks)
{
    GArray *choices = g_array_new(FALSE, FALSE, sizeof(struct owner_choice));

    for (guint i = 0; i < candidates->len && tasks > 0; i++) {
        const struct candidate *c =
            &g_array_index(candidates, struct candidate, i);
        struct owner_choice choice = {.target = c->target,
                                      .tasks = MIN(tasks, c->fits)};

        if (rack != NULL && strcmp(c->target->rack, rack) != 0) {
            continue;
        }
        g_array_append_val(choices, choice);
        tasks -= choice.tasks;
    }
    return choices;
}

/* ---- steps ---- */

static unsigned
total_fits(const GArray *candidates)
{
    unsigned fits = 0;

    for (guint i = 0; i < candidates->len; i++) {
        fits += g_array_index(candidates, struct candidate, i).fits;
    }
    return fits;
}

/* True if a rack could hold the whole gang if nothing else ran there. */
static bool
rack_could_hold(const struct cw_owner *owner, const struct owner_step *step)
{
    struct cw_resources need = owner_need(step->spec);
    GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iterator;
    gpointer value;
    bool could = false;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (!could && g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;
        unsigned fits;

        if (!target->listed || target->draining ||
            !owner_may_run(step, target)) {
            continue;
        }
        fits = owner_fits(&target->capacity, &need);
        fits += GPOINTER_TO_UINT(g_hash_table_lookup(racks, target->rack));
        g_hash_table_insert(racks, target->rack, GUINT_TO_POINTER(fits));
        could = fits >= step->count;
    }
    g_hash_table_unref(racks);
    return could;
}

static bool
place_gang(struct cw_owner *owner, struct owner_step *step,
           struct timespec now)
{
    GArray *candidates = candidates_of(owner, step, now);
    const char *rack = best_rack(candidates, step, step->count);
    GArray *choices = NULL;
    bool spread = !step->spec->same_rack || !rack_could_hold(owner, step);

    if (rack != NULL) {
        choices = choose(candidates, rack, step->count);
    }
    else if (spread && total_fits(candidates) >= step->count) {
        choices = choose(candidates, NULL, step->count);
    }
    if (choices != NULL) {
        owner_assign(owner, step, choices, RUN_NEW);
        g_array_unref(choices);
    }
    g_array_unref(candidates);
    return choices != NULL;
}

static unsigned
tasks_waiting(const struct owner_step *step)
{
    return step->left - MIN(step->left, step->runs);
}

/* True if all waiting tasks were placed. */
static bool
place_tasks(struct cw_owner *owner, struct owner_step *step,
            struct timespec now)
{
    GArray *candidates = candidates_of(owner, step, now);
    unsigned waiting = tasks_waiting(step);
    GArray *choices;
    unsigned placed = 0;

    if (step->spec->data_rack[0] != '\0') {
        GArray *near = choose(candidates, step->spec->data_rack, waiting);

        owner_assign(owner, step, near, RUN_NEW);
        g_array_unref(near);
        g_array_unref(candidates);
        waiting = tasks_waiting(step);
        if (waiting == 0) {
            return true;
        }
        candidates = candidates_of(owner, step, now);
    }
    choices = choose(candidates, NULL, waiting);
    for (guint i = 0; i < choices->len; i++) {
        placed += g_array_index(choices, struct owner_choice, i).tasks;
    }
    if (placed > 0) {
        owner_assign(owner, step, choices, RUN_NEW);
    }
    g_array_unref(choices);
    g_array_unref(candidates);
    return placed == waiting;
}

static bool
after_are_done(const struct owner_step *step)
{
    const struct owner_occurrence *occurrence = step->occurrence;

    for (u_int i = 0; i < step->spec->after.after_len; i++) {
        if (!occurrence->steps[step->spec->after.after_val[i]].done) {
            return false;
        }
    }
    return true;
}

static bool
wants_place(const struct owner_step *step)
{
    if (step->done || !after_are_done(step)) {
        return false;
    }
    return step->spec->gang ? step->runs == 0 : tasks_waiting(step) > 0;
}

/* Gives up places whose present users do not leave: the step is placed anew
 * among what is free then. */
static void
drop_stale_reservations(struct cw_owner *owner, struct owner_step *step,
                        struct timespec now)
{
    for (unsigned i = 0; step->runs > 0 && i < step->count; i++) {
        struct owner_run *run = step->tasks[i].run;

        if (run != NULL && run->phase == RUN_RESERVED &&
            cw_time_diff_ms(run->created_at, now) > RESERVED_MS)
        {
            cw_log_info("reservation_dropped", "id=%s step=%u worker=%s",
                        step->occurrence->job->spec->id, step->number,
                        run->target->id);
            owner_run_drop(owner, run);
        }
    }
}

static void
collect_steps(struct cw_owner *owner, struct owner_job *job, GPtrArray *out,
              struct timespec now)
{
    if (cw_work_is_over(job->phase)) {
        return;
    }
    for (guint i = 0; i < job->open->len; i++) {
        struct owner_occurrence *occurrence = job->open->pdata[i];

        for (unsigned k = 0; k < occurrence->count; k++) {
            struct owner_step *step = &occurrence->steps[k];

            drop_stale_reservations(owner, step, now);
            if (wants_place(step)) {
                if (!step->ready) {
                    step->ready = true;
                    step->ready_at = now;
                }
                g_ptr_array_add(out, step);
            }
        }
    }
}

/* Most urgent priority first; within it, the earlier objective. */
static gint
by_urgency(gconstpointer a, gconstpointer b)
{
    const struct owner_job *x =
        (*(struct owner_step *const *)a)->occurrence->job;
    const struct owner_job *y =
        (*(struct owner_step *const *)b)->occurrence->job;

    if (x->spec->priority != y->spec->priority) {
        return x->spec->priority < y->spec->priority ? -1 : 1;
    }
    if (cw_time_before(x->objective, y->objective)) {
        return -1;
    }
    return cw_time_before(y->objective, x->objective)
               ? 1
               : strcmp(x->spec->id, y->spec->id);
}

/* Room for the gang once work of a lower priority has left. */
static unsigned
fits_later(const struct owner_step *step, const struct owner_target *target)
{
    struct cw_resources need = owner_need(step->spec);
    struct cw_resources room = owner_room(target);
    unsigned priority = step->occurrence->job->spec->priority;

    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];
        struct cw_resources taken = owner_need(run->task->step->spec);

        if (owner_task_job(run->task)->spec->priority > priority) {
            room.cpu_milli += taken.cpu_milli;
            room.memory_mb += taken.memory_mb;
            room.accelerators += taken.accelerators;
        }
    }
    return owner_most_there(step, target, owner_fits(&room, &need));
}

/* The rack that will have most room for the gang, or NULL if none will have
 * enough. */
static const char *
rack_to_hold(struct cw_owner *owner, const struct owner_step *step,
             struct timespec now)
{
    GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
    const char *best = NULL;
    unsigned best_fits = step->count - 1;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;
        unsigned fits;

        if (!owner_target_usable(target, now) ||
            !owner_may_run(step, target) || is_held(target, step, now) ||
            !owner_headroom_allows(owner, step, target, now))
        {
            continue;
        }
        fits = fits_later(step, target);
        fits += GPOINTER_TO_UINT(g_hash_table_lookup(racks, target->rack));
        g_hash_table_insert(racks, target->rack, GUINT_TO_POINTER(fits));
        if (fits > best_fits) {
            best = target->rack;
            best_fits = fits;
        }
    }
    g_hash_table_unref(racks);
    return best;
}

static void
hold_rack(struct cw_owner *owner, struct owner_step *step, struct timespec now)
{
    const char *rack = rack_to_hold(owner, step, now);
    GHashTableIter iterator;
    gpointer value;

    if (rack == NULL) {
        return;
    }
    owner->holds++;
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        if (strcmp(target->rack, rack) == 0) {
            target->held_for = step;
            target->held_priority = step->occurrence->job->spec->priority;
            target->held_until = cw_time_add_ms(now, HOLD_MS);
        }
    }
}

static void
place_step(struct cw_owner *owner, struct owner_step *step,
           struct timespec now)
{
    bool urgent = step->occurrence->job->spec->priority == 0;

    if (step->tried_at == owner->room_version && !urgent &&
        cw_time_diff_ms(step->tried_time, now) < TRY_AGAIN_MS)
    {
        return; /* nothing has come free since */
    }
    if (step->spec->gang ? place_gang(owner, step, now)
                         : place_tasks(owner, step, now))
    {
        return;
    }
    step->tried_at = owner->room_version;
    step->tried_time = now;
    if (urgent) {
        owner_reclaim(owner, step, now);
    }
    else if (step->spec->gang && owner->holds < HOLDS_MOST &&
             cw_time_diff_ms(step->ready_at, now) > HOLD_AFTER_MS)
    {
        hold_rack(owner, step, now);
    }
}

void
owner_place(struct cw_owner *owner, struct timespec now)
{
    GPtrArray *steps = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        collect_steps(owner, value, steps, now);
    }
    g_ptr_array_sort(steps, by_urgency);
    owner->holds = 0;
    owner_headroom_update(owner, now);
    for (guint i = 0; i < steps->len; i++) {
        place_step(owner, steps->pdata[i], now);
    }
    owner_headroom_restore(owner, now);
    g_ptr_array_unref(steps);
}

/* The placement pass: assigns waiting tasks to workers. */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"
#include "owner/internal/owner_crashes.h"

#include <string.h>

enum {
    /* A step that could not be placed is tried again when capacity has become
     * free, and at this interval, as the headroom for urgent work shrinks with
     * time. */
    RETRY_INTERVAL_MS = 250,
    /* A gang that has waited this long gets a rack reserved against work with
     * a lower priority, which otherwise fills each gap with small tasks before
     * the gang fits. */
    RESERVE_RACK_AFTER_MS = 1500,
    /* A reserved run is dropped after this time.  It is longer than any stop
     * takes, and shorter than preemption may take. */
    RESERVED_MAX_MS = 1500,
    /* Whether a rack can hold a gang is checked again after this time, as
     * workers are added and removed; a check for each waiting gang in each
     * pass would iterate over all workers. */
    RACK_CHECK_INTERVAL_MS = 500,
    /* Limit on the racks that are reserved in one pass. */
    RACK_RESERVATIONS_MAX = 2,
    /* After this time a pass leaves the steps of lower priority to the next
     * one: answers, leases and the membership wait meanwhile. */
    PASS_MAX_MS = 50
};

/* ---- assignment ---- */

/* Returns a run number that none of the step's tasks has used. */
static unsigned
next_gang_run(const struct owner_step *step)
{
    unsigned highest = 0;

    for (unsigned i = 0; i < step->count; i++) {
        highest = MAX(highest, step->tasks[i].last_run);
    }
    return highest + 1;
}

static void
log_placement(const struct owner_task *task, const struct owner_run *run)
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
    struct timespec now = owner_now(owner);
    unsigned gang_run = next_gang_run(step);
    unsigned index = 0;

    for (guint i = 0; i < choices->len; i++) {
        const struct owner_choice *choice =
            &g_array_index(choices, struct owner_choice, i);
        unsigned left = choice->tasks;

        for (; left > 0 && index < step->count; index++) {
            struct owner_task *task = &step->tasks[index];
            unsigned number = step->spec->gang ? gang_run : task->last_run + 1;

            if (task->run != NULL || task->done ||
                owner_task_is_delayed(task, now)) {
                continue;
            }
            log_placement(task, owner_run_create(owner, task, choice->target,
                                                 phase, number));
            left--;
        }
    }
    owner_job_mark_dirty(owner, step->occurrence->job);
}

GArray *
owner_choose_targets(const GArray *candidates, const char *rack,
                     unsigned tasks)
{
    GArray *choices = g_array_new(FALSE, FALSE, sizeof(struct owner_choice));

    for (guint i = 0; i < candidates->len && tasks > 0; i++) {
        const struct owner_candidate *c =
            &g_array_index(candidates, struct owner_candidate, i);
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

/* True if some rack without other work can hold the whole gang. */
static bool
rack_can_hold(const struct cw_owner *owner, const struct owner_step *step)
{
    struct cw_resources need = owner_step_need(step->spec);
    unsigned *fits_by_rack =
        g_new0(unsigned, owner->rack_lower_priority_workers->len);
    GHashTableIter iterator;
    gpointer value;
    bool can_hold = false;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (!can_hold && g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;
        unsigned fits;

        if (!target->listed || target->draining ||
            !owner_step_allows_target(step, target))
        {
            continue;
        }
        fits = owner_fit_count(&target->capacity, &need);
        if (step->spec->most_per_worker > 0) {
            fits = MIN(fits, step->spec->most_per_worker);
        }
        fits_by_rack[target->rack_number] += fits;
        can_hold = fits_by_rack[target->rack_number] >= step->count;
    }
    g_free(fits_by_rack);
    return can_hold;
}

bool
owner_step_needs_rack(const struct cw_owner *owner, struct owner_step *step,
                      struct timespec now)
{
    if (step->spec->same_rack != CW_SAME_RACK_FASTER) {
        return step->spec->same_rack == CW_SAME_RACK_REQUIRED;
    }
    if (step->rack_checked_at.tv_sec == 0 ||
        cw_time_diff_ms(step->rack_checked_at, now) > RACK_CHECK_INTERVAL_MS)
    {
        step->rack_checked_at = now;
        step->rack_can_hold = rack_can_hold(owner, step);
    }
    return step->rack_can_hold;
}

static double
slowest_speed(const GArray *choices, struct timespec now)
{
    double speed = G_MAXDOUBLE;

    for (guint i = 0; i < choices->len; i++) {
        speed = MIN(
            speed,
            owner_target_speed(
                g_array_index(choices, struct owner_choice, i).target, now));
    }
    return speed;
}

/* Preempts runs on workers that are not slow, for an urgent gang that would
 * have slow members in the free place, if it ends sooner that way.  The runs
 * may not end in time, so a job that has been idle for too long is placed. */
static bool
preempt_for_speed(struct cw_owner *owner, struct owner_step *step,
                  double speed, struct timespec now)
{
    struct cw_gang_wait wait = {.length_ms = step->spec->estimate_ms,
                                .speed = speed,
                                .speed_after = 1,
                                .wait_max_ms = RESERVED_MAX_MS};
    const struct owner_job *job = step->occurrence->job;

    return job->spec->priority == 0 &&
           !cw_idle_is_overdue(&job->idle.clock, now) &&
           cw_gang_should_preempt(&wait) &&
           owner_preempt_for_speed(owner, step, now);
}

static bool
place_gang(struct cw_owner *owner, struct owner_step *step,
           struct timespec now)
{
    GArray *candidates = owner_candidates(owner, step, now);
    struct cw_gang_choice choice;
    GArray *choices = owner_choose_gang(owner, candidates, step, now, &choice);

    g_array_unref(candidates);
    if (choices == NULL) {
        return false;
    }
    if (choice.slow == 0 ||
        !preempt_for_speed(owner, step, slowest_speed(choices, now), now))
    {
        cw_log_info("gang_placed",
                    "id=%s step=%u.%u tasks=%u within=%s slow=%u speed=%.2f",
                    step->occurrence->job->spec->id, step->occurrence->number,
                    step->number, step->count,
                    cw_gang_scope_name(choice.scope), choice.slow,
                    slowest_speed(choices, now));
        owner_assign(owner, step, choices, RUN_NEW);
    }
    g_array_unref(choices);
    return true;
}

/* True if all waiting tasks that are not delayed were placed. */
static bool
place_tasks(struct cw_owner *owner, struct owner_step *step,
            struct timespec now)
{
    unsigned waiting = owner_step_placeable_tasks(step, now);
    GArray *candidates;
    GArray *choices;
    unsigned placed = 0;

    if (step->spec->data_rack[0] != '\0') {
        GArray *near;

        candidates = owner_candidates(owner, step, now);
        near =
            owner_choose_targets(candidates, step->spec->data_rack, waiting);

        owner_assign(owner, step, near, RUN_NEW);
        g_array_unref(near);
        g_array_unref(candidates);
        waiting = owner_step_placeable_tasks(step, now);
        if (waiting == 0) {
            return true;
        }
    }
    candidates = owner_first_candidates(owner, step, waiting, now);
    choices = owner_choose_targets(candidates, NULL, waiting);
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

bool
owner_step_is_unblocked(const struct owner_step *step)
{
    const struct owner_occurrence *occurrence = step->occurrence;

    if (step->done) {
        return false;
    }
    for (u_int i = 0; i < step->spec->after.after_len; i++) {
        if (!occurrence->steps[step->spec->after.after_val[i]].done) {
            return false;
        }
    }
    return true;
}

bool
owner_step_needs_placement(const struct owner_step *step, struct timespec now)
{
    if (!owner_step_is_unblocked(step) || owner_step_is_delayed(step, now)) {
        return false;
    }
    return step->spec->gang ? step->runs == 0
                            : owner_step_placeable_tasks(step, now) > 0;
}

/* Drops reserved runs whose capacity has not been freed in time, so that their
 * tasks are placed again in the capacity that is free by then. */
static void
drop_stale_reservations(struct cw_owner *owner, struct owner_step *step,
                        struct timespec now)
{
    for (unsigned i = 0; step->runs > 0 && i < step->count; i++) {
        struct owner_run *run = step->tasks[i].run;

        if (run != NULL && run->phase == RUN_RESERVED &&
            cw_time_diff_ms(run->created_at, now) > RESERVED_MAX_MS)
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
            if (owner_step_needs_placement(step, now)) {
                if (!step->ready) {
                    step->ready = true;
                    step->ready_at = now;
                }
                g_ptr_array_add(out, step);
            }
        }
    }
}

/* Orders steps by priority, the most urgent first, then by objective, the
 * earliest first. */
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
    if (cw_time_before(x->objective_at, y->objective_at)) {
        return -1;
    }
    return cw_time_before(y->objective_at, x->objective_at)
               ? 1
               : strcmp(x->spec->id, y->spec->id);
}

static bool
is_urgent(const struct owner_step *step)
{
    return step->occurrence->job->spec->priority == 0;
}

static void
preempt_step(struct cw_owner *owner, struct owner_step *step,
             struct timespec now)
{
    if (!owner_memo_has_failed(owner, step, OWNER_ATTEMPT_PREEMPT, now) &&
        !owner_preempt(owner, step, now))
    {
        owner_memo_add_failure(owner, step, OWNER_ATTEMPT_PREEMPT, now);
    }
}

static void
place_step(struct cw_owner *owner, struct owner_step *step,
           struct timespec now)
{
    bool urgent = is_urgent(step);

    if (!owner_step_needs_placement(step, now) ||
        !owner_order_window_allows(&owner->order_window, urgent))
    {
        return; /* placed as a starved step, or to be tried in a later pass */
    }
    if (step->tried_capacity_version == owner->capacity_version && !urgent &&
        cw_time_diff_ms(step->tried_at, now) < RETRY_INTERVAL_MS)
    {
        return; /* no capacity has become free since the last try */
    }
    if (!owner_at_most_once_may_start(owner, step)) {
        step->tried_capacity_version = owner->capacity_version;
        step->tried_at = now;
        return;
    }
    if (!owner_memo_has_failed(owner, step, OWNER_ATTEMPT_PLACE, now)) {
        if (step->spec->gang ? place_gang(owner, step, now)
                             : place_tasks(owner, step, now))
        {
            return;
        }
        owner_memo_add_failure(owner, step, OWNER_ATTEMPT_PLACE, now);
    }
    step->tried_capacity_version = owner->capacity_version;
    step->tried_at = now;
    if (urgent && owner_place_starved_step(owner, step, now)) {
        return; /* preemption alone could delay it without limit */
    }
    if (urgent) {
        preempt_step(owner, step, now);
    }
    else if (step->spec->gang &&
             owner->rack_reservations < RACK_RESERVATIONS_MAX &&
             cw_time_diff_ms(step->ready_at, now) > RESERVE_RACK_AFTER_MS)
    {
        owner_reserve_rack(owner, step, now);
    }
}

/* Places the steps of lower priority, those from number `first` on, for what
 * is left of the pass's time.  The next pass begins after the last one that
 * was tried. */
static void
place_lower_steps(struct cw_owner *owner, const GPtrArray *steps, guint first,
                  struct timespec now)
{
    guint count = steps->len - first;
    guint offset = owner->lower_first < count ? owner->lower_first : 0;

    for (guint i = 0; i < count; i++) {
        if (cw_time_diff_ms(now, owner_now(owner)) >= PASS_MAX_MS) {
            owner->lower_first = (offset + i) % count;
            owner->placement_wanted = true;
            return;
        }
        place_step(owner, steps->pdata[first + (offset + i) % count], now);
    }
    owner->lower_first = 0;
}

void
owner_placement_pass(struct cw_owner *owner, struct timespec now)
{
    GPtrArray *steps = g_ptr_array_new();
    guint next = 0;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        collect_steps(owner, value, steps, now);
    }
    g_ptr_array_sort(steps, by_urgency);
    owner->rack_reservations = 0;
    owner_memo_reset(owner->memo);
    owner_available_begin_pass(owner->available);
    owner_available_reset(owner->available, steps);
    owner_demand_update(owner);
    owner_headroom_update(owner, now);
    for (; next < steps->len && is_urgent(steps->pdata[next]); next++) {
        place_step(owner, steps->pdata[next], now);
    }
    owner_place_starved_steps(owner, steps, now);
    place_lower_steps(owner, steps, next, now);
    owner_gather_gangs(owner, now);
    owner_available_end_pass(owner->available);
    g_ptr_array_unref(steps);
}

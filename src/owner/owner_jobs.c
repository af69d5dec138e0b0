/* Jobs in the owner's hands: taken over, moved on as their tasks end. */
#include "owner/internal/owner_placement.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* A due time is met a little late rather than early: the clocks of two
     * VMs differ by some milliseconds. */
    DUE_SLACK_MS = 30,
    MILLI = 1000
};

/* ---- making and freeing ---- */

static void
step_clear(struct owner_step *step)
{
    for (unsigned i = 0; i < step->count; i++) {
        g_free(step->tasks[i].saved);
    }
    g_free(step->tasks);
}

static void
occurrence_free(gpointer data)
{
    struct owner_occurrence *occurrence = data;

    for (unsigned i = 0; i < occurrence->count; i++) {
        step_clear(&occurrence->steps[i]);
    }
    g_free(occurrence->steps);
    g_free(occurrence);
}

static void
place_clear(gpointer data)
{
    struct owner_job_placement *place = data;

    g_free(place->worker);
    g_free(place->dc);
}

void
owner_job_free(gpointer data)
{
    struct owner_job *job = data;

    g_ptr_array_unref(job->open);
    g_array_unref(job->places);
    g_free(job->result);
    g_free(job);
}

static void
step_init(struct owner_occurrence *occurrence, unsigned number)
{
    struct owner_step *step = &occurrence->steps[number];

    step->occurrence = occurrence;
    step->number = number;
    step->spec = &occurrence->job->spec->steps.steps_val[number];
    step->count = step->spec->tasks;
    step->left = step->count;
    step->tasks = g_new0(struct owner_task, step->count);
    for (unsigned i = 0; i < step->count; i++) {
        step->tasks[i].step = step;
        step->tasks[i].index = i;
    }
}

struct owner_occurrence *
owner_occurrence_open(struct owner_job *job, unsigned number)
{
    struct owner_occurrence *occurrence = g_new0(struct owner_occurrence, 1);

    occurrence->job = job;
    occurrence->number = number;
    occurrence->count = job->spec->steps.steps_len;
    occurrence->steps = g_new0(struct owner_step, occurrence->count);
    for (unsigned i = 0; i < occurrence->count; i++) {
        step_init(occurrence, i);
    }
    g_ptr_array_add(job->open, occurrence);
    return occurrence;
}

/* ---- where it has run ---- */

void
owner_job_add_placement(struct owner_job *job, const char *worker,
                        const char *dc, unsigned runs)
{
    struct owner_job_placement added = {.runs = runs};

    for (guint i = 0; i < job->places->len; i++) {
        struct owner_job_placement *place =
            &g_array_index(job->places, struct owner_job_placement, i);

        if (strcmp(place->worker, worker) == 0) {
            place->runs += runs;
            return;
        }
    }
    added.worker = g_strdup(worker);
    added.dc = g_strdup(dc);
    g_array_append_val(job->places, added);
}

void
owner_job_start_confirmed(struct cw_owner *owner, struct owner_job *job,
                          const struct owner_target *target)
{
    if (!job->begun) {
        job->begun = true;
        cw_count_latency(owner->options.counters, CW_LATENCY_BEGUN,
                         cw_time_diff_ms(job->known_at, owner_now(owner)));
    }
    if (owner->options.exposes_placements && job->places->len < CW_TASKS_MAX) {
        owner_job_add_placement(job, target->id, target->dc, 1);
    }
    if (job->spec->once) {
        /* A later owner has to know that it may have worked. */
        owner_job_mark_dirty(owner, job);
    }
}

/* ---- taking over ---- */

/* When the job's work should be over: its latency target, and its longest
 * chain as declared times the queue's stretch. */
static struct timespec
objective_of(const struct cw_work_spec *spec, struct timespec accepted)
{
    int64_t chain = cw_work_critical_path_ms(spec);

    return cw_time_add_ms(accepted, chain * spec->stretch_milli / MILLI +
                                        spec->target_latency_ms);
}

static void
log_taken(const struct owner_job *job, int64_t age_ms)
{
    const struct cw_replica_job *entry = job->entry;
    const struct cw_step_spec *first = &job->spec->steps.steps_val[0];

    cw_log_info("job_taken",
                "id=%s queue=%s account=%s priority=%u steps=%u tasks=%u "
                "accelerators=%u cpu=%u memory=%u gang=%d same_rack=%d "
                "checkpoints=%d estimate_ms=%u offset=%" PRIu64
                " record=%" PRIu64 " cancelled=%d age_ms=%" PRId64,
                entry->id, job->spec->queue, job->spec->account,
                job->spec->priority, job->spec->steps.steps_len, first->tasks,
                first->accelerators, first->cpu_milli, first->memory_mb,
                first->gang, first->same_rack, first->checkpoints,
                first->estimate_ms, entry->spec_offset, entry->record_offset,
                entry->cancelled, age_ms);
}

/* True if runs of an ended job may still be on their workers. */
static bool
ended_lately(const struct cw_owner *owner, const struct cw_replica_job *entry)
{
    int64_t ago_ms = cw_clock_wall_ms(owner->options.clock) - entry->ended_ms;

    return ago_ms < 2 * (int64_t)owner->options.lease_ms;
}

static void
stop_all(struct cw_owner *owner, struct owner_job *job)
{
    for (guint i = 0; i < job->open->len; i++) {
        struct owner_occurrence *occurrence = job->open->pdata[i];

        for (unsigned k = 0; k < occurrence->count; k++) {
            owner_step_stop(owner, &occurrence->steps[k]);
        }
    }
}

static bool
end_is_told(const struct cw_replica_job *entry)
{
    return entry->record != NULL && cw_work_is_over(entry->recorded_phase);
}

/* The job has ended under an earlier owner; what still runs is stopped.  All
 * VMs may not have been told yet. */
static void
adopt_ended(struct cw_owner *owner, struct owner_job *job)
{
    job->final = true;
    job->final_durable = end_is_told(job->entry);
    owner_job_publish(owner, job);
    if (job->runs == 0 && job->final_durable) {
        g_hash_table_remove(owner->jobs, job->spec->id);
        return;
    }
    cw_log_info("ended_job_runs", "id=%s runs=%u told=%d", job->spec->id,
                job->runs, job->final_durable);
    stop_all(owner, job);
}

/* What an earlier owner has left of a job, or NULL.  Owners of version 0.1.0
 * left all of it where every VM reads it. */
static GBytes *
state_of(const struct cw_owner *owner, const struct cw_replica_job *entry)
{
    GBytes *state = owner_state_reader_find(owner->stored, entry->id);

    return state != NULL ? state : entry->record;
}

/* Puts a job into the state that earlier owners have left; false if that
 * cannot be read.  A job without a state has none of its tasks placed. */
static bool
restore(struct cw_owner *owner, struct owner_job *job, GBytes *state)
{
    const struct cw_replica_job *entry = job->entry;

    if (state != NULL && !owner_job_restore(owner, job, state)) {
        return false;
    }
    job->published_phase =
        entry->record != NULL ? entry->recorded_phase : CW_WORK_WAITING;
    job->published_started = entry->started;
    if (end_is_told(entry)) {
        /* The two are written side by side: its state may be older. */
        job->phase = entry->recorded_phase;
        job->started = entry->started;
        job->ended_ms = entry->ended_ms;
    }
    return true;
}

void
owner_job_adopt(struct cw_owner *owner, struct cw_replica_job *entry)
{
    struct timespec now = owner_now(owner);
    GBytes *state = state_of(owner, entry);
    int64_t age_ms;
    struct owner_job *job;

    if (entry->spec == NULL || g_hash_table_contains(owner->jobs, entry->id)) {
        return;
    }
    if (end_is_told(entry) && !ended_lately(owner, entry)) {
        return;
    }
    job = g_new0(struct owner_job, 1);
    job->entry = entry;
    job->spec = entry->spec;
    job->service = g_intern_string(entry->spec->service);
    job->open = g_ptr_array_new_with_free_func(occurrence_free);
    job->places =
        g_array_new(FALSE, FALSE, sizeof(struct owner_job_placement));
    g_array_set_clear_func(job->places, place_clear);
    age_ms = cw_clock_wall_ms(owner->options.clock) - entry->spec->accepted_ms;
    job->known_at = cw_time_add_ms(now, -CLAMP(age_ms, 0, G_MAXINT));
    job->objective_at = objective_of(job->spec, job->known_at);
    cw_idle_begin(&job->idle.clock, now);
    g_hash_table_insert(owner->jobs, entry->id, job);
    if (!restore(owner, job, state)) {
        g_hash_table_remove(owner->jobs, entry->id);
        return;
    }
    if (cw_work_is_over(job->phase)) {
        adopt_ended(owner, job);
        return;
    }
    owner_job_publish(owner, job);
    log_taken(job, age_ms);
    if (entry->cancelled) {
        owner_job_end(owner, job, CW_WORK_CANCELLED, CW_END_CANCELLED);
        return;
    }
    owner_headroom_job_accepted(owner, job);
    owner_job_open_due(owner, job, now);
    owner->placement_wanted = true;
}

/* ---- ends ---- */

void
owner_job_mark_dirty(struct cw_owner *owner, struct owner_job *job)
{
    /* The record of an end is written once: its place in the log, before or
     * after a cancellation, is what decides between the two. */
    if (!job->dirty && !job->final) {
        job->dirty = true;
        g_ptr_array_add(owner->dirty, job);
    }
}

/* ---- moving on ---- */

static void
job_over(struct cw_owner *owner, struct owner_job *job,
         enum cw_work_phase phase, enum cw_result reason)
{
    struct timespec now = owner_now(owner);

    job->phase = phase;
    job->reason = reason;
    job->ended_ms = cw_clock_wall_ms(owner->options.clock);
    owner_job_mark_dirty(owner, job);
    cw_log_info("job_over",
                "id=%s queue=%s outcome=%s reason=%s age_ms=%" PRId64
                " late_ms=%" PRId64,
                job->spec->id, job->spec->queue, cw_work_phase_name(phase),
                cw_result_name(reason), cw_time_diff_ms(job->known_at, now),
                cw_time_diff_ms(job->objective_at, now));
}

void
owner_job_end(struct cw_owner *owner, struct owner_job *job,
              enum cw_work_phase phase, enum cw_result reason)
{
    job_over(owner, job, phase, reason);
    stop_all(owner, job);
}

static bool
occurrence_done(const struct owner_occurrence *occurrence)
{
    for (unsigned i = 0; i < occurrence->count; i++) {
        if (!occurrence->steps[i].done) {
            return false;
        }
    }
    return true;
}

static unsigned
occurrences_of(const struct owner_job *job)
{
    return MAX(1, job->spec->repeats);
}

static bool
job_done(const struct owner_job *job)
{
    if (job->next_occurrence < occurrences_of(job)) {
        return false;
    }
    for (guint i = 0; i < job->open->len; i++) {
        if (!occurrence_done(job->open->pdata[i])) {
            return false;
        }
    }
    return true;
}

void
owner_step_done(struct cw_owner *owner, struct owner_step *step)
{
    struct owner_job *job = step->occurrence->job;

    step->done = true;
    step->left = 0;
    owner_idle_begin(owner, job);
    owner_job_mark_dirty(owner, job);
    owner->placement_wanted = true;
    if (!cw_work_is_over(job->phase) && job_done(job)) {
        job_over(owner, job, CW_WORK_COMPLETED, CW_END_DONE);
    }
}

void
owner_job_check_deadline(struct cw_owner *owner, struct owner_job *job,
                         struct timespec now)
{
    if (job->spec->deadline_ms > 0 && !job->started &&
        !cw_work_is_over(job->phase) &&
        cw_time_diff_ms(job->known_at, now) > job->spec->deadline_ms)
    {
        owner_job_end(owner, job, CW_WORK_REFUSED, CW_REF_DEADLINE);
    }
}

struct timespec
owner_job_open_due(struct cw_owner *owner, struct owner_job *job,
                   struct timespec now)
{
    int64_t wall_ms = cw_clock_wall_ms(owner->options.clock);
    unsigned all = occurrences_of(job);

    while (!cw_work_is_over(job->phase) && job->next_occurrence < all) {
        int64_t due_ms = job->spec->first_due_ms + DUE_SLACK_MS +
                         job->next_occurrence * job->spec->interval_ms;

        if (job->spec->repeats > 0 && due_ms > wall_ms) {
            return cw_time_add_ms(now, due_ms - wall_ms);
        }
        owner_occurrence_open(job, job->next_occurrence++);
        owner_idle_begin(owner, job);
        owner->placement_wanted = true;
    }
    return cw_time_from_ms(INT32_MAX);
}

bool
owner_job_is_removable(const struct owner_job *job)
{
    /* Until the replica has read the end it would hand the job in again. */
    return job->final && job->final_durable && job->runs == 0 &&
           cw_work_is_over(job->entry->recorded_phase);
}

/* ---- finding ---- */

static void
collect_runs(const struct owner_step *step, enum run_phase phase,
             GPtrArray *out)
{
    for (unsigned i = 0; step->runs > 0 && i < step->count; i++) {
        struct owner_run *run = step->tasks[i].run;

        if (run != NULL && run->phase == phase) {
            g_ptr_array_add(out, run);
        }
    }
}

GPtrArray *
owner_job_runs(const struct owner_job *job, enum run_phase phase)
{
    GPtrArray *runs = g_ptr_array_new();

    for (guint i = 0; i < job->open->len; i++) {
        const struct owner_occurrence *occurrence = job->open->pdata[i];

        for (unsigned k = 0; k < occurrence->count; k++) {
            collect_runs(&occurrence->steps[k], phase, runs);
        }
    }
    return runs;
}

struct owner_task *
owner_job_task(const struct owner_job *job, const struct cw_task_name *name)
{
    for (guint i = 0; i < job->open->len; i++) {
        struct owner_occurrence *occurrence = job->open->pdata[i];

        if (occurrence->number == name->occurrence &&
            name->step < occurrence->count &&
            name->index < occurrence->steps[name->step].count)
        {
            return &occurrence->steps[name->step].tasks[name->index];
        }
    }
    return NULL;
}

struct owner_task *
owner_task_find(const struct cw_owner *owner, const struct cw_task_name *name)
{
    const struct owner_job *job = g_hash_table_lookup(owner->jobs, name->job);

    return job != NULL ? owner_job_task(job, name) : NULL;
}

struct cw_task_name
owner_task_name(const struct owner_task *task)
{
    struct cw_task_name name = {
        .job = owner_task_job(task)->spec->id,
        .occurrence = task->step->occurrence->number,
        .step = task->step->number,
        .index = task->index,
    };

    return name;
}

/* Jobs of the owner: adopted, advanced as their tasks end, and ended. */
#include "owner/internal/owner_placement.h"

#include <stdlib.h>
#include <string.h>

enum { MILLI = 1000 };

/* ---- freeing ---- */

static void
placement_clear(gpointer data)
{
    struct owner_job_placement *placement = data;

    g_free(placement->worker);
    g_free(placement->dc);
}

void
owner_job_free(gpointer data)
{
    struct owner_job *job = data;

    g_ptr_array_unref(job->open);
    g_ptr_array_unref(job->pending_suspicions);
    g_array_unref(job->places);
    g_free(job->result);
    g_free(job);
}

/* ---- placements ---- */

void
owner_job_add_placement(struct owner_job *job, const char *worker,
                        const char *dc, unsigned runs)
{
    struct owner_job_placement added = {.runs = runs};

    for (guint i = 0; i < job->places->len; i++) {
        struct owner_job_placement *placement =
            &g_array_index(job->places, struct owner_job_placement, i);

        if (strcmp(placement->worker, worker) == 0) {
            placement->runs += runs;
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
    if (!job->start_confirmed) {
        job->start_confirmed = true;
        cw_count_latency(owner->options.counters, CW_LATENCY_BEGUN,
                         cw_time_diff_ms(job->known_at, owner_now(owner)));
    }
    if (owner->options.exposes_placements && job->places->len < CW_TASKS_MAX) {
        owner_job_add_placement(job, target->id, target->dc, 1);
    }
    if (job->spec->once) {
        /* A later owner has to read that the job may have worked. */
        owner_job_mark_dirty(owner, job);
    }
}

/* ---- taking over ---- */

/* Time when the job should be done: its latency target, plus the declared
 * duration of its longest chain of steps times the queue's stretch factor. */
static struct timespec
objective_time(const struct cw_work_spec *spec, struct timespec accepted)
{
    /* At most INT32_MAX, so that the product does not overflow. */
    int64_t chain = cw_work_critical_path_ms(spec);

    return cw_time_add_ms(accepted, chain * spec->stretch_milli / MILLI +
                                        spec->target_latency_ms);
}

static void
log_adopted(const struct owner_job *job, int64_t age_ms)
{
    const struct cw_replica_job *entry = job->entry;
    const struct cw_step_spec *first = &job->spec->steps.steps_val[0];

    cw_log_info(
        "job_taken",
        "id=%s age_ms=%" PRId64
        " priority=%u gang=%d same_rack=%u tasks=%u accelerators=%u "
        "cpu=%u memory=%u steps=%u cancelled=%d queue=%s account=%s "
        "checkpoints=%d estimate_ms=%u offset=%" PRIu64 " record=%" PRIu64,
        entry->id, age_ms, job->spec->priority, first->gang, first->same_rack,
        first->tasks, first->accelerators, first->cpu_milli, first->memory_mb,
        job->spec->steps.steps_len, entry->cancelled, job->spec->queue,
        job->spec->account, first->checkpoints, first->estimate_ms,
        entry->spec_offset, entry->record_offset);
}

/* True if runs of an ended job may still be on workers. */
static bool
ended_recently(const struct cw_owner *owner,
               const struct cw_replica_job *entry)
{
    int64_t elapsed_ms =
        cw_clock_wall_ms(owner->options.clock) - entry->ended_ms;

    return elapsed_ms < 2 * (int64_t)owner->options.lease_ms;
}

static void
stop_all_runs(struct cw_owner *owner, struct owner_job *job)
{
    for (guint i = 0; i < job->open->len; i++) {
        struct owner_occurrence *occurrence = job->open->pdata[i];

        for (unsigned k = 0; k < occurrence->count; k++) {
            owner_step_stop(owner, &occurrence->steps[k]);
        }
    }
}

static bool
end_is_published(const struct cw_replica_job *entry)
{
    return entry->record != NULL && cw_work_is_over(entry->recorded_phase);
}

/* Adopts a job that has ended under an earlier owner: stops its remaining
 * runs, and publishes its end in case the earlier owner did not. */
static void
adopt_ended(struct cw_owner *owner, struct owner_job *job)
{
    job->final = true;
    job->final_durable = end_is_published(job->entry);
    owner_job_publish(owner, job);
    if (job->runs == 0 && job->final_durable) {
        g_hash_table_remove(owner->jobs, job->spec->id);
        return;
    }
    cw_log_info("ended_job_runs", "id=%s runs=%u told=%d", job->spec->id,
                job->runs, job->final_durable);
    stop_all_runs(owner, job);
}

/* State of the job as stored by an earlier owner, or NULL.  Owners of version
 * 0.1.0 stored it in the log that all VMs read. */
static GBytes *
stored_state_of(const struct cw_owner *owner,
                const struct cw_replica_job *entry)
{
    GBytes *state = owner_state_reader_find(owner->state_reader, entry->id);

    return state != NULL ? state : entry->record;
}

/* Restores a job from the state that earlier owners have stored; false if that
 * cannot be decoded.  No task of a job without a state was placed. */
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
    if (end_is_published(entry)) {
        /* The outcome and the state are written to two logs independently: the
         * state may be older. */
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
    GBytes *state = stored_state_of(owner, entry);
    int64_t age_ms;
    struct owner_job *job;

    if (entry->spec == NULL || g_hash_table_contains(owner->jobs, entry->id)) {
        return;
    }
    if (end_is_published(entry) && !ended_recently(owner, entry)) {
        return;
    }
    job = g_new0(struct owner_job, 1);
    job->entry = entry;
    job->spec = entry->spec;
    job->service = g_intern_string(entry->spec->service);
    job->open = g_ptr_array_new_with_free_func(owner_occurrence_free);
    job->pending_suspicions = g_ptr_array_new();
    job->places =
        g_array_new(FALSE, FALSE, sizeof(struct owner_job_placement));
    g_array_set_clear_func(job->places, placement_clear);
    age_ms = cw_clock_wall_ms(owner->options.clock) - entry->spec->accepted_ms;
    job->known_at = cw_time_add_ms(now, -CLAMP(age_ms, 0, G_MAXINT));
    job->objective_at = objective_time(job->spec, job->known_at);
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
    log_adopted(job, age_ms);
    if (entry->cancelled) {
        owner_job_end(owner, job, CW_WORK_CANCELLED, CW_END_CANCELLED);
        return;
    }
    owner_headroom_job_accepted(owner, job);
    owner_headroom_job_arrived(owner, job, job->known_at);
    owner_job_open_due(owner, job, now);
    owner->placement_wanted = true;
}

/* ---- ends ---- */

void
owner_job_mark_dirty(struct cw_owner *owner, struct owner_job *job)
{
    /* The record of an end is written once: whether it comes before or after a
     * cancellation in the log decides between the two. */
    if (!job->dirty && !job->final) {
        job->dirty = true;
        g_ptr_array_add(owner->dirty, job);
    }
}

/* ---- progress and end ---- */

static void
set_job_over(struct cw_owner *owner, struct owner_job *job,
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
    set_job_over(owner, job, phase, reason);
    stop_all_runs(owner, job);
}

static bool
job_is_done(const struct owner_job *job)
{
    if (job->next_occurrence < owner_job_occurrence_count(job)) {
        return false;
    }
    for (guint i = 0; i < job->open->len; i++) {
        if (!owner_occurrence_is_done(job->open->pdata[i])) {
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
    if (!cw_work_is_over(job->phase) && job_is_done(job)) {
        set_job_over(owner, job, CW_WORK_COMPLETED, CW_END_DONE);
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

bool
owner_job_is_removable(const struct owner_job *job)
{
    /* Until the replica has read the end it would pass the job to this owner
     * again. */
    return job->final && job->final_durable && job->runs == 0 &&
           cw_work_is_over(job->entry->recorded_phase);
}

/* ---- lookup ---- */

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
    struct owner_occurrence *occurrence =
        owner_occurrence_find(job, name->occurrence);

    if (occurrence == NULL || name->step >= occurrence->count ||
        name->index >= occurrence->steps[name->step].count)
    {
        return NULL;
    }
    return &occurrence->steps[name->step].tasks[name->index];
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

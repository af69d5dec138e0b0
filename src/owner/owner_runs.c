/* Runs of tasks: created, stopped, ended and lost. */
#include "owner/internal/owner_crashes.h"
#include "owner/internal/owner_placement.h"

#include <string.h>

/* A result may take one part in this many of a record. */
enum { RESULT_SHARE_OF_RECORD = 8 };

/* Returns the worker's total in which the run's resources are counted. */
static struct cw_resources *
resources_total_of(struct owner_run *run)
{
    return run->phase == RUN_RESERVED ? &run->target->reserved
                                      : &run->target->used;
}

struct owner_run *
owner_run_create(struct cw_owner *owner, struct owner_task *task,
                 struct owner_target *target, enum run_phase phase,
                 unsigned number)
{
    struct owner_run *run = g_new0(struct owner_run, 1);
    struct cw_resources need = owner_step_need(task->step->spec);

    g_assert(task->run == NULL);
    run->target = target;
    run->task = task;
    run->number = number;
    run->boot_ms = target->incarnation.boot_ms;
    run->phase = phase;
    run->created_at = owner_now(owner);
    run->saved_at = run->created_at;
    task->run = run;
    task->last_run = MAX(task->last_run, number);
    task->step->runs++;
    owner_task_job(task)->runs++;
    g_ptr_array_add(target->runs, run);
    owner_target_wake(target);
    owner_task_job(task)->placed_at = run->created_at;
    run->headroom_borrowed =
        owner->borrowing_headroom && target->lower_priority_runs == 0;
    if (run->headroom_borrowed) {
        owner_headroom_borrowed(owner, run);
    }
    if (owner_task_job(task)->spec->priority > 0 && !run->headroom_borrowed) {
        if (target->lower_priority_runs++ == 0) {
            owner_rack_count_lower_priority(target, 1);
        }
        owner_headroom_worker_taken(owner, target);
    }
    owner_resources_add(resources_total_of(run), &need);
    owner_probation_begin(run);
    owner_at_most_once_count(owner, run, 1);
    return run;
}

void
owner_run_drop(struct cw_owner *owner, struct owner_run *run)
{
    struct owner_target *target = run->target;
    struct owner_task *task = run->task;
    struct owner_job *job = owner_task_job(task);
    struct cw_resources need = owner_step_need(task->step->spec);

    owner_at_most_once_count(owner, run, -1);
    owner_resources_subtract(resources_total_of(run), &need);
    if (run->stopping) {
        owner_resources_subtract(&target->used_by_stopping, &need);
        target->stopping--;
    }
    if (run->phase < RUN_STARTING) {
        task->step->unstarted_run_max =
            MAX(task->step->unstarted_run_max, run->number);
    }
    if (run->phase == RUN_RUNNING) {
        task->idle_since = owner_now(owner);
    }
    owner_probation_end(run);
    g_ptr_array_remove_fast(target->runs, run);
    owner_target_wake(target);
    target->last_busy_at = owner_now(owner);
    if (job->spec->priority > 0 && !run->headroom_borrowed) {
        if (--target->lower_priority_runs == 0) {
            owner_rack_count_lower_priority(target, -1);
        }
    }
    task->run = NULL;
    task->step->runs--;
    job->runs--;
    g_free(run);
    owner->capacity_version++;
    owner->placement_wanted = true;
    owner_job_mark_dirty(owner, job);
    owner_runs_promote_reserved(owner, target);
}

void
owner_run_stop(struct cw_owner *owner, struct owner_run *run)
{
    struct cw_task_name name = owner_task_name(run->task);

    switch (run->phase) {
    case RUN_RESERVED:
    case RUN_NEW:
        owner_run_drop(owner, run);
        return;
    default:
        break;
    }
    if (!run->stopping) {
        struct cw_resources need = owner_step_need(run->task->step->spec);

        run->stopping = true;
        run->target->stopping++;
        owner_resources_add(&run->target->used_by_stopping, &need);
    }
    if ((run->phase == RUN_STARTING || run->phase == RUN_RUNNING ||
         run->phase == RUN_INHERITED) &&
        !run->stop_queued && !run->stop_confirmed &&
        /* Each end of another gang member requests the stop again. */
        !cw_time_before(owner_now(owner), run->stop_due))
    {
        run->stop_queued = true;
        owner_order_queue(owner, run->target, CW_ORDER_STOP, &name,
                          run->number);
    }
}

void
owner_step_stop(struct cw_owner *owner, struct owner_step *step)
{
    for (unsigned i = 0; i < step->count; i++) {
        struct owner_run *run = step->tasks[i].run;

        if (run != NULL && !run->gang_done) {
            owner_run_stop(owner, run);
        }
    }
}

void
owner_run_evict(struct cw_owner *owner, struct owner_run *run)
{
    if (run->task->step->spec->gang) {
        owner_step_stop(owner, run->task->step);
    }
    else {
        owner_run_stop(owner, run);
    }
}

const char *
owner_run_phase_name(enum run_phase phase)
{
    static const char *const names[] = {
        [RUN_RESERVED] = "reserved",     [RUN_NEW] = "new",
        [RUN_COMMITTING] = "committing", [RUN_READY] = "ready",
        [RUN_STARTING] = "starting",     [RUN_RUNNING] = "running",
        [RUN_INHERITED] = "unsure",
    };

    return names[phase];
}

/* Returns the milliseconds since the worker confirmed the run; -1 if it never
 * did. */
static int64_t
ms_since_start(const struct owner_run *run, struct timespec now)
{
    return run->phase == RUN_RUNNING ? cw_time_diff_ms(run->started_at, now)
                                     : -1;
}

static void
log_lost(const struct owner_run *run, const char *reason, struct timespec now)
{
    const struct owner_job *job = owner_task_job(run->task);
    struct cw_task_name name = owner_task_name(run->task);
    char *lease = owner_target_describe_lease(run->target, now);

    cw_log_info("run_lost",
                "id=%s task=%u.%u.%u run=%u worker=%s reason=%s "
                "idle_ms=%" PRId64 " %s phase=%s age_ms=%" PRId64
                " percent=%u unanswered=%u stopping=%d",
                name.job, name.occurrence, name.step, name.index, run->number,
                run->target->id, reason,
                cw_time_diff_ms(job->idle.clock.since, now), lease,
                owner_run_phase_name(run->phase), ms_since_start(run, now),
                run->percent, run->unanswered, run->stopping);
    g_free(lease);
}

void
owner_run_lost(struct cw_owner *owner, struct owner_run *run, bool worked,
               const char *reason)
{
    struct owner_task *task = run->task;
    struct owner_step *step = task->step;
    bool gang_done = run->gang_done;

    log_lost(run, reason, owner_now(owner));
    cw_count_code(owner->options.counters, CW_RETRY_SILENT);
    if (!run->stopping) {
        owner_task_job(task)->idle.cause = OWNER_IDLE_LOST;
    }
    task->lost_runs++;
    owner_gang_ends_lost(run);
    owner_at_most_once_run_over(owner, run, worked, CW_END_WORKER_LOST);
    owner_run_drop(owner, run);
    if (step->spec->gang && !gang_done && !step->done) {
        owner_step_stop(owner, step);
    }
}

void
owner_runs_lost_if(struct owner_target *target,
                   bool (*is_lost)(const struct owner_run *run),
                   const char *reason)
{
    struct cw_owner *owner = target->owner;
    guint i = 0;

    for (guint k = 0; k < target->runs->len; k++) {
        if (is_lost(target->runs->pdata[k])) {
            owner_crashes_collect(target->runs->pdata[k], owner_now(owner));
        }
    }
    while (i < target->runs->len) {
        if (is_lost(target->runs->pdata[i])) {
            owner_run_lost(owner, target->runs->pdata[i], true, reason);
            i = 0; /* other runs of its gang may have been dropped as well */
        }
        else {
            i++;
        }
    }
}

/* ---- reserved runs ---- */

/* True if the worker has free capacity for the run now. */
static bool
capacity_is_free(const struct owner_run *run)
{
    const struct owner_target *target = run->target;
    struct cw_resources need = owner_step_need(run->task->step->spec);
    struct cw_resources free_capacity = target->capacity;

    owner_resources_subtract(&free_capacity, &target->used);
    owner_resources_subtract(&free_capacity, &target->orphans);
    return free_capacity.cpu_milli >= need.cpu_milli &&
           free_capacity.memory_mb >= need.memory_mb &&
           free_capacity.accelerators >= need.accelerators;
}

static void
promote_run(struct cw_owner *owner, struct owner_run *run)
{
    struct cw_resources need = owner_step_need(run->task->step->spec);

    owner_resources_subtract(&run->target->reserved, &need);
    owner_resources_add(&run->target->used, &need);
    run->phase = RUN_NEW;
    owner_job_mark_dirty(owner, owner_task_job(run->task));
}

/* Promotes a gang once the capacity for all its members is free.  Members on
 * one worker are checked together: each promotion takes capacity from the
 * next. */
static void
promote_gang(struct cw_owner *owner, struct owner_step *step)
{
    GPtrArray *promoted = g_ptr_array_new();
    bool all = true;

    for (unsigned i = 0; i < step->count && all; i++) {
        struct owner_run *run = step->tasks[i].run;

        if (run != NULL && run->phase != RUN_RESERVED) {
            continue;
        }
        /* Without a run for one member the others have to wait. */
        all = run != NULL && capacity_is_free(run);
        if (all) {
            promote_run(owner, run);
            g_ptr_array_add(promoted, run);
        }
    }
    for (guint i = 0; !all && i < promoted->len; i++) {
        struct owner_run *run = promoted->pdata[i];
        struct cw_resources need = owner_step_need(step->spec);

        owner_resources_subtract(&run->target->used, &need);
        owner_resources_add(&run->target->reserved, &need);
        run->phase = RUN_RESERVED;
    }
    g_ptr_array_unref(promoted);
}

void
owner_runs_promote_reserved(struct cw_owner *owner,
                            struct owner_target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        struct owner_run *run = target->runs->pdata[i];

        if (run->phase != RUN_RESERVED) {
            continue;
        }
        if (run->task->step->spec->gang) {
            promote_gang(owner, run->task->step);
        }
        else if (capacity_is_free(run)) {
            promote_run(owner, run);
        }
    }
}

void
owner_unsent_runs_give_up(struct cw_owner *owner, struct owner_target *target,
                          void (*log)(const struct cw_owner *owner,
                                      const struct owner_run *run,
                                      struct timespec now))
{
    for (guint i = target->runs->len; i > 0; i--) {
        struct owner_run *run;

        if (i > target->runs->len) {
            continue; /* evicting a gang may have dropped several runs */
        }
        run = target->runs->pdata[i - 1];
        if (run->phase < RUN_COMMITTING) {
            log(owner, run, owner_now(owner));
            owner_run_evict(owner, run);
        }
    }
}

/* ---- ends ---- */

static void
set_checkpoint(struct owner_task *task, const char *saved)
{
    if (g_strcmp0(task->saved, saved) != 0) {
        g_free(task->saved);
        task->saved = g_strdup(saved);
    }
}

void
owner_task_save_checkpoint(struct owner_task *task, const char *saved)
{
    struct owner_step *step = task->step;

    if (saved[0] == '\0') {
        return;
    }
    if (!step->spec->gang) {
        set_checkpoint(task, saved);
        return;
    }
    /* Any member's checkpoint is valid for the gang; all members must resume
     * from the same one. */
    for (unsigned i = 0; i < step->count; i++) {
        set_checkpoint(&step->tasks[i], saved);
    }
}

static void
task_done(struct cw_owner *owner, struct owner_task *task)
{
    struct owner_step *step = task->step;

    if (step->done) {
        return;
    }
    if (step->spec->gang) {
        for (unsigned i = 0; i < step->count; i++) {
            step->tasks[i].done = true;
            if (step->tasks[i].run != NULL) {
                step->tasks[i].run->gang_done = true;
            }
        }
        owner_step_done(owner, step);
        return;
    }
    if (!task->done) {
        task->done = true;
        step->left--;
    }
    if (step->left == 0) {
        owner_step_done(owner, step);
    }
}

/* Accepts a late end: the worker was unresponsive for longer than its lease,
 * but the run had ended before.  That is safe, as the lease has expired in
 * between. */
void
owner_task_done_late(struct cw_owner *owner, struct owner_task *task)
{
    struct owner_step *step = task->step;

    if (task->done || step->done || step->spec->endless ||
        cw_work_is_over(owner_task_job(task)->phase))
    {
        return;
    }
    if (step->spec->gang) {
        owner_step_stop(owner, step);
    }
    else if (task->run != NULL) {
        owner_run_stop(owner, task->run);
    }
    task_done(owner, task);
    owner_job_mark_dirty(owner, owner_task_job(task));
}

/* Counts a failed run of the task.  `counted`: it is a run of a gang of which
 * another member has failed before, and counts once. */
static void
task_failed(struct cw_owner *owner, struct owner_task *task, unsigned run,
            bool counted)
{
    struct owner_step *step = task->step;
    struct owner_job *job = owner_task_job(task);
    unsigned failures;

    if (task->done) {
        return; /* another run has done it */
    }
    if (!step->spec->gang) {
        failures = ++task->failures;
    }
    else {
        if (!counted) {
            step->failures++;
            owner_gang_ends_failure_counted(step, run);
        }
        failures = step->failures;
    }
    cw_count_code(owner->options.counters, CW_RETRY_FAILED);
    job->idle.cause = OWNER_IDLE_FAILED;
    if (!step->spec->endless && failures >= job->spec->max_attempts &&
        !cw_work_is_over(job->phase))
    {
        owner_task_log_given_up(task, "attempts");
        owner_job_end(owner, job, CW_WORK_FAILED,
                      job->spec->once ? CW_END_FAILED : CW_END_RETRIES);
    }
}

/* Keeps the text of an end for the callers of the project's own interface.
 * All VMs read it with the outcome. */
static void
save_result(const struct cw_owner *owner, struct owner_job *job,
            const struct cw_ended *ended)
{
    size_t bytes = strlen(ended->saved);

    if (ended->how != CW_END_KIND_DONE || bytes == 0 ||
        job->spec->request[0] == '\0')
    {
        return;
    }
    if (bytes > owner->options.record_bytes / RESULT_SHARE_OF_RECORD) {
        cw_log_warning("result_too_large", "id=%s bytes=%zu", job->spec->id,
                       bytes);
        return;
    }
    g_free(job->result);
    job->result = g_strdup(ended->saved);
}

/* Returns the reason with which an end other than done or failed ends an
 * at-most-once job. */
static enum cw_result
job_result_of(enum cw_end_kind how)
{
    return how == CW_END_KIND_GANG_BROKEN ? CW_END_PARTIAL
                                          : CW_END_WORKER_LOST;
}

void
owner_run_ended(struct cw_owner *owner, struct owner_target *target,
                const struct cw_ended *ended)
{
    struct owner_task *task = owner_task_find(owner, &ended->task);
    struct owner_run *run = task != NULL ? task->run : NULL;
    struct owner_step *step;
    bool known =
        run != NULL && run->number == ended->run && run->target == target;

    cw_log_info("run_ended",
                "id=%s task=%u.%u.%u run=%u worker=%s how=%s number=%" PRIu64
                " known=%d",
                ended->task.job, ended->task.occurrence, ended->task.step,
                ended->task.index, ended->run, target->id,
                cw_end_kind_name(ended->how), ended->number, known);
    if (!known) {
        cw_count_code(owner->options.counters, CW_DROP_ATTEMPT);
        if (task != NULL && ended->how == CW_END_KIND_DONE) {
            owner_task_done_late(owner, task);
        }
        else if (task != NULL &&
                 owner_gang_ends_heard_late(owner, task, ended)) {
            task_failed(owner, task, ended->run, false);
        }
        return;
    }
    step = task->step;
    task->lost_runs = 0;
    if (run->phase == RUN_STARTING || run->phase == RUN_INHERITED) {
        owner_job_start_confirmed(owner, owner_task_job(task), target);
    }
    owner_task_save_checkpoint(task, ended->saved);
    save_result(owner, owner_task_job(task), ended);
    if (ended->how == CW_END_KIND_DONE) {
        owner_target_add_success(target);
        if (!step->spec->endless) {
            task_done(owner, task);
        }
    }
    else if (ended->how == CW_END_KIND_FAILED) {
        owner_target_add_failure(target, task, owner_now(owner));
        task_failed(owner, task, ended->run, run->gang_failure_counted);
    }
    else {
        owner_at_most_once_run_over(owner, run,
                                    ended->how != CW_END_KIND_GANG_INCOMPLETE,
                                    job_result_of(ended->how));
    }
    owner_gang_ends_heard(run, ended->how);
    owner_run_drop(owner, run);
    if (step->spec->gang && !step->done) {
        owner_step_stop(owner, step);
        owner_gang_ends_check(owner, step);
    }
}

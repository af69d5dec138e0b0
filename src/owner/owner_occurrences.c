/* Occurrences of jobs: opened when they are due, and removed when they are
 * done, so that the state of a job that runs for years stays small. */
#include "owner/internal/owner_private.h"

#include <stdlib.h>

enum {
    /* Occurrences are opened this late, as the clocks of two VMs differ by a
     * few milliseconds, and none may be opened early. */
    DUE_DELAY_MS = 30,
    /* Limits on the open occurrences of a job without a placed task, and on
     * the tasks of their steps.  All occurrences have the same steps, so a
     * further one could not be placed before these are. */
    UNPLACED_MAX = 64,
    UNPLACED_TASKS_MAX = 4096,
    /* Size of a row of the job's stored state, deflated, with its part of the
     * list of workers.  No further occurrence is opened while the rows take
     * half of a record: the rest is for the occurrences that are open and not
     * placed yet, and for checkpoints. */
    ROW_BYTES = 8,
    ROWS_SHARE_OF_RECORD = 2
};

/* ---- creating and freeing ---- */

static void
step_clear(struct owner_step *step)
{
    for (unsigned i = 0; i < step->count; i++) {
        g_free(step->tasks[i].saved);
    }
    g_free(step->tasks);
}

void
owner_occurrence_free(gpointer data)
{
    struct owner_occurrence *occurrence = data;

    for (unsigned i = 0; i < occurrence->count; i++) {
        step_clear(&occurrence->steps[i]);
    }
    g_free(occurrence->steps);
    g_free(occurrence);
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

/* ---- state ---- */

static gint
compare_number(gconstpointer key, gconstpointer entry)
{
    unsigned number = *(const unsigned *)key;
    const struct owner_occurrence *occurrence =
        *(struct owner_occurrence *const *)entry;

    return number < occurrence->number ? -1 : number > occurrence->number;
}

struct owner_occurrence *
owner_occurrence_find(const struct owner_job *job, unsigned number)
{
    struct owner_occurrence **found =
        job->open->len > 0 ? bsearch(&number, job->open->pdata, job->open->len,
                                     sizeof(*job->open->pdata), compare_number)
                           : NULL;

    return found != NULL ? *found : NULL;
}

bool
owner_occurrence_is_done(const struct owner_occurrence *occurrence)
{
    for (unsigned i = 0; i < occurrence->count; i++) {
        if (!occurrence->steps[i].done) {
            return false;
        }
    }
    return true;
}

static bool
has_runs(const struct owner_occurrence *occurrence)
{
    for (unsigned i = 0; i < occurrence->count; i++) {
        if (occurrence->steps[i].runs > 0) {
            return true;
        }
    }
    return false;
}

bool
owner_step_is_untouched(const struct owner_step *step)
{
    if (step->done || step->runs > 0 || step->failures > 0) {
        return false;
    }
    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_task *task = &step->tasks[i];

        if (task->last_run > 0 || task->failures > 0 || task->done ||
            task->unheard_run > 0 || task->suspicion > 0)
        {
            return false;
        }
    }
    return true;
}

/* Number of rows for the occurrence in the job's stored state: for itself, its
 * steps and the tasks of steps that have begun.  0 if no task of it was ever
 * placed. */
static size_t
stored_rows(const struct owner_occurrence *occurrence)
{
    size_t rows = 0;

    for (unsigned i = 0; i < occurrence->count; i++) {
        const struct owner_step *step = &occurrence->steps[i];

        if (step->done && step->runs == 0) {
            rows++;
        }
        else if (!owner_step_is_untouched(step)) {
            rows += step->count;
        }
    }
    return rows > 0 ? rows + 1 + occurrence->count : 0;
}

unsigned
owner_job_occurrence_count(const struct owner_job *job)
{
    return MAX(1, job->spec->repeats);
}

static uint64_t
tasks_per_occurrence(const struct cw_work_spec *spec)
{
    uint64_t tasks = 0;

    for (u_int i = 0; i < spec->steps.steps_len; i++) {
        tasks += spec->steps.steps_val[i].tasks;
    }
    return tasks;
}

/* Removes the occurrences that are done and have no run.  A restored job has
 * done those below `next_occurrence` that its state does not list. */
static void
remove_done(struct owner_job *job)
{
    guint kept = 0;

    for (guint i = 0; i < job->open->len; i++) {
        struct owner_occurrence *occurrence = job->open->pdata[i];

        if (owner_occurrence_is_done(occurrence) && !has_runs(occurrence)) {
            owner_occurrence_free(occurrence);
        }
        else {
            job->open->pdata[kept++] = occurrence;
        }
    }
    job->open->len = kept;
}

/* ---- opening ---- */

/* Time at which the next occurrence is due, by the wall clock; INT64_MAX if
 * the specified times are out of range. */
static int64_t
next_due_ms(const struct owner_job *job)
{
    const struct cw_work_spec *spec = job->spec;
    int64_t after_ms = 0;
    int64_t due_ms = 0;

    if (__builtin_mul_overflow((int64_t)job->next_occurrence,
                               spec->interval_ms, &after_ms) ||
        __builtin_add_overflow(spec->first_due_ms, after_ms, &due_ms) ||
        __builtin_add_overflow(due_ms, (int64_t)DUE_DELAY_MS, &due_ms))
    {
        return INT64_MAX;
    }
    return due_ms;
}

/* Returns how many more occurrences may be open; `rows` becomes the number of
 * rows in the job's state. */
static unsigned
open_allowance(const struct cw_owner *owner, const struct owner_job *job,
               size_t *rows)
{
    size_t rows_max =
        owner->options.record_bytes / ROWS_SHARE_OF_RECORD / ROW_BYTES;
    unsigned most = (unsigned)CLAMP(
        UNPLACED_TASKS_MAX / MAX(1, tasks_per_occurrence(job->spec)), 1,
        UNPLACED_MAX);
    unsigned unplaced = 0;

    *rows = 0;
    for (guint i = 0; i < job->open->len; i++) {
        size_t added = stored_rows(job->open->pdata[i]);

        *rows += added;
        unplaced += added == 0;
    }
    if (job->open->len > 0 &&
        (*rows > rows_max || job->open->len + most > CW_OCCURRENCES_MAX))
    {
        return 0;
    }
    return most - MIN(most, unplaced);
}

struct timespec
owner_job_open_due(struct cw_owner *owner, struct owner_job *job,
                   struct timespec now)
{
    int64_t wall_ms = cw_clock_wall_ms(owner->options.clock);
    struct timespec due = cw_time_from_ms(INT32_MAX);
    unsigned total = owner_job_occurrence_count(job);
    unsigned first = job->next_occurrence;
    unsigned allowance;
    size_t rows;

    if (cw_work_is_over(job->phase) || (job->spec->repeats == 0 && first > 0))
    {
        return due;
    }
    remove_done(job);
    if (first >= total) {
        return due;
    }
    allowance = open_allowance(owner, job, &rows);
    while (job->next_occurrence < total &&
           job->next_occurrence - first < allowance)
    {
        int64_t due_ms = next_due_ms(job);

        if (job->spec->repeats > 0 && due_ms > wall_ms) {
            due = cw_time_add_ms(now, due_ms - wall_ms);
            break;
        }
        owner_occurrence_open(job, job->next_occurrence++);
        owner_idle_begin(owner, job);
        owner->placement_wanted = true;
    }
    if (job->spec->repeats > 0 && job->next_occurrence > first) {
        cw_log_info("occurrences_opened",
                    "id=%s first=%u count=%u open=%u allowed=%u rows=%zu",
                    job->spec->id, first, job->next_occurrence - first,
                    job->open->len, allowance, rows);
    }
    return due;
}

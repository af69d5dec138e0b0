/* The state of a job as the store keeps it: read by a new owner, written by
 * the present one. */
#include "owner/internal/owner_crashes.h"

#include <stdlib.h>
#include <string.h>

#include "curlewcart/cw_record.h"

/* ---- from the store ---- */

static void
restore_task(struct cw_owner *owner, const struct cw_work_record *record,
             struct owner_task *task, const struct cw_task_record *stored)
{
    task->last_run = stored->run;
    task->failures = stored->failures;
    if (stored->saved[0] != '\0') {
        task->saved = g_strdup(stored->saved);
    }
    if (stored->done) {
        task->done = true;
        task->step->left--;
    }
    if (stored->worker > 0 && stored->worker <= record->workers.workers_len) {
        const char *id = record->workers.workers_val[stored->worker - 1];

        owner_run_create(owner, task, owner_target_get(owner, id), RUN_UNSURE,
                         stored->run);
    }
}

static void
restore_step(struct cw_owner *owner, const struct cw_work_record *record,
             struct owner_step *step, const struct cw_step_record *stored)
{
    u_int count = MIN(stored->tasks.tasks_len, step->count);

    step->failures = stored->failures;
    for (u_int i = 0; i < count; i++) {
        restore_task(owner, record, &step->tasks[i],
                     &stored->tasks.tasks_val[i]);
    }
    if (stored->done) {
        step->done = true;
        step->left = 0;
    }
}

static void
restore_crashes(struct owner_job *job, const struct cw_work_record *record)
{
    for (u_int i = 0; i < record->crashes.crashes_len; i++) {
        const struct cw_crash_record *crash = &record->crashes.crashes_val[i];
        struct cw_task_name name = {.occurrence = crash->occurrence,
                                    .step = crash->step,
                                    .index = crash->task};
        struct owner_task *task = owner_job_task(job, &name);

        if (task != NULL) {
            owner_task_set_suspicion(task, crash->suspicion);
        }
    }
}

static void
restore(struct cw_owner *owner, struct owner_job *job,
        const struct cw_work_record *record)
{
    job->phase = record->phase;
    job->started = record->started;
    job->ended_ms = record->ended_ms;
    job->next_occurrence = record->next_occurrence;
    job->begun = record->begun;
    job->reason = record->reason;
    job->config = record->config;
    if (record->result[0] != '\0') {
        job->result = g_strdup(record->result);
    }
    for (u_int i = 0; i < record->places.places_len; i++) {
        const struct cw_place_record *place = &record->places.places_val[i];

        owner_job_ran(job, place->worker, place->dc, place->runs);
    }
    for (u_int i = 0; i < record->open.open_len; i++) {
        const struct cw_occurrence_record *stored = &record->open.open_val[i];
        struct owner_occurrence *occurrence =
            owner_occurrence_open(job, stored->number);
        u_int count = MIN(stored->steps.steps_len, occurrence->count);

        for (u_int k = 0; k < count; k++) {
            restore_step(owner, record, &occurrence->steps[k],
                         &stored->steps.steps_val[k]);
        }
    }
    restore_crashes(job, record);
}

bool
owner_job_restore(struct cw_owner *owner, struct owner_job *job, GBytes *state)
{
    struct cw_work_record record = {0};
    gsize length = 0;
    const void *bytes = g_bytes_get_data(state, &length);

    if (!cw_record_decode(bytes, length, &record)) {
        cw_log_error("record_invalid", "id=%s kind=state bytes=%zu",
                     job->spec->id, (size_t)length);
        return false;
    }
    restore(owner, job, &record);
    xdr_free((xdrproc_t)xdr_cw_work_record, (char *)&record);
    return true;
}

/* ---- to the store ---- */

/* Index of a worker's name in the record, from 1. */
static unsigned
name_index(GHashTable *index, GPtrArray *names, char *id)
{
    gpointer found = g_hash_table_lookup(index, id);

    if (found == NULL) {
        g_ptr_array_add(names, id);
        found = GUINT_TO_POINTER(names->len);
        g_hash_table_insert(index, id, found);
    }
    return GPOINTER_TO_UINT(found);
}

static void
encode_task(const struct owner_task *task, struct cw_task_record *out,
            GHashTable *index, GPtrArray *names)
{
    const struct owner_run *run = task->run;

    out->run = task->last_run;
    out->failures = task->failures;
    out->done = task->done;
    out->saved = task->saved != NULL ? task->saved : (char *)"";
    if (run != NULL && run->phase != RUN_RESERVED) {
        out->worker = name_index(index, names, run->target->id);
    }
}

static void
encode_step(const struct owner_step *step, struct cw_step_record *out,
            GHashTable *index, GPtrArray *names)
{
    out->done = step->done;
    out->failures = step->failures;
    if (step->done && step->runs == 0) {
        return;
    }
    out->tasks.tasks_len = step->count;
    out->tasks.tasks_val = g_new0(struct cw_task_record, step->count);
    for (unsigned i = 0; i < step->count; i++) {
        encode_task(&step->tasks[i], &out->tasks.tasks_val[i], index, names);
    }
}

static void
encode_occurrence(const struct owner_occurrence *occurrence,
                  struct cw_occurrence_record *out, GHashTable *index,
                  GPtrArray *names)
{
    out->number = occurrence->number;
    out->steps.steps_len = occurrence->count;
    out->steps.steps_val = g_new0(struct cw_step_record, occurrence->count);
    for (unsigned i = 0; i < occurrence->count; i++) {
        encode_step(&occurrence->steps[i], &out->steps.steps_val[i], index,
                    names);
    }
}

static void
encode_crashes_of(const struct owner_step *step, GArray *out)
{
    for (unsigned i = 0; i < step->count; i++) {
        struct cw_crash_record crash = {.occurrence = step->occurrence->number,
                                        .step = step->number,
                                        .task = i,
                                        .suspicion = step->tasks[i].suspicion};

        if (crash.suspicion > 0 && out->len < CW_TASKS_MAX) {
            g_array_append_val(out, crash);
        }
    }
}

static void
encode_crashes(const struct owner_job *job, struct cw_work_record *out)
{
    GArray *crashes =
        g_array_new(FALSE, FALSE, sizeof(struct cw_crash_record));

    for (guint i = 0; i < job->open->len; i++) {
        const struct owner_occurrence *occurrence = job->open->pdata[i];

        for (unsigned k = 0; k < occurrence->count; k++) {
            if (!occurrence->steps[k].done) {
                encode_crashes_of(&occurrence->steps[k], crashes);
            }
        }
    }
    out->crashes.crashes_len = crashes->len;
    out->crashes.crashes_val =
        (struct cw_crash_record *)g_array_free(crashes, FALSE);
}

/* Frees the arrays of a record whose texts are borrowed. */
static void
record_clear(struct cw_work_record *record)
{
    for (u_int i = 0; i < record->open.open_len; i++) {
        struct cw_occurrence_record *occurrence = &record->open.open_val[i];

        for (u_int k = 0; k < occurrence->steps.steps_len; k++) {
            g_free(occurrence->steps.steps_val[k].tasks.tasks_val);
        }
        g_free(occurrence->steps.steps_val);
    }
    g_free(record->open.open_val);
    g_free(record->crashes.crashes_val);
    g_free(record->places.places_val);
}

/* Borrows the texts of the job. */
static void
encode_places(const struct owner_job *job, struct cw_work_record *out)
{
    out->places.places_len = job->places->len;
    out->places.places_val = g_new0(struct cw_place_record, job->places->len);
    for (guint i = 0; i < job->places->len; i++) {
        const struct owner_place *place =
            &g_array_index(job->places, struct owner_place, i);

        out->places.places_val[i].worker = place->worker;
        out->places.places_val[i].dc = place->dc;
        out->places.places_val[i].runs = place->runs;
    }
}

/* What is said of a job without its tasks.  Borrows the texts of the job. */
static struct cw_work_record
outcome_of(const struct owner_job *job)
{
    struct cw_work_record record = {
        .phase = job->phase,
        .started = job->started,
        .ended_ms = job->ended_ms,
        .begun = job->begun,
        .reason = job->reason,
        .config = job->config,
        .result = job->result != NULL ? job->result : (char *)"",
    };

    encode_places(job, &record);
    return record;
}

GByteArray *
owner_outcome_encode(const struct owner_job *job)
{
    struct cw_work_record record = outcome_of(job);
    GByteArray *bytes = cw_record_encode(&record);

    g_assert(bytes != NULL);
    record_clear(&record);
    return bytes;
}

GByteArray *
owner_job_encode(const struct owner_job *job)
{
    GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);
    GPtrArray *names = g_ptr_array_new();
    struct cw_work_record record = outcome_of(job);
    GByteArray *bytes;

    record.next_occurrence = job->next_occurrence;
    record.open.open_len = job->open->len;
    record.open.open_val = g_new0(struct cw_occurrence_record, job->open->len);
    for (guint i = 0; i < job->open->len; i++) {
        encode_occurrence(job->open->pdata[i], &record.open.open_val[i], index,
                          names);
    }
    encode_crashes(job, &record);
    record.workers.workers_len = names->len;
    record.workers.workers_val = (cw_name *)names->pdata;
    bytes = cw_record_encode(&record);
    g_assert(bytes != NULL);
    record_clear(&record);
    g_ptr_array_unref(names);
    g_hash_table_unref(index);
    return bytes;
}

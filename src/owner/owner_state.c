/* Encodes the state of a job for the store, and restores a job from a state
 * that an earlier owner stored. */
#include "owner/internal/owner_addresses.h"
#include "owner/internal/owner_crashes.h"
#include "owner/internal/owner_placement.h"

#include <stdlib.h>
#include <string.h>

#include "curlewcart/cw_record.h"

/* ---- decoding ---- */

static void
restore_task(struct cw_owner *owner, const struct cw_work_record *record,
             struct owner_task *task, const struct cw_task_record *stored)
{
    task->last_run = stored->run;
    if (task->step->spec->gang) {
        owner_gang_ends_restore(owner, task, stored->failures);
    }
    else {
        task->failures = stored->failures;
    }
    if (stored->saved[0] != '\0') {
        task->saved = g_strdup(stored->saved);
    }
    if (stored->done) {
        task->done = true;
        task->step->left--;
    }
    if (stored->worker > 0 && stored->worker <= record->workers.workers_len) {
        u_int which = stored->worker - 1;
        const char *id = record->workers.workers_val[which];
        struct owner_run *run =
            owner_run_create(owner, task, owner_target_get(owner, id),
                             RUN_INHERITED, stored->run);

        run->boot_ms = which < record->lives.lives_len
                           ? record->lives.lives_val[which]
                           : 0;
        if (which < record->extension.addresses.addresses_len) {
            owner_address_restore(
                run->target, record->extension.addresses.addresses_val[which],
                run->boot_ms);
        }
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
restore_crashes(const struct cw_owner *owner, struct owner_job *job,
                const struct cw_work_record *record)
{
    for (u_int i = 0; i < record->crashes.crashes_len; i++) {
        const struct cw_crash_record *crash = &record->crashes.crashes_val[i];
        bool of_gang = crash->task == CW_CRASH_TASK_GANG;
        struct cw_task_name name = {.occurrence = crash->occurrence,
                                    .step = crash->step,
                                    .index = of_gang ? 0 : crash->task};
        struct owner_task *task = owner_job_task(job, &name);

        if (task != NULL && of_gang) {
            owner_gang_ends_failure_counted(task->step, crash->suspicion);
        }
        else if (task != NULL) {
            owner_task_restore_suspicion(task, crash->suspicion,
                                         owner_now(owner));
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
    job->start_confirmed = record->begun;
    job->reason = record->reason;
    job->config = record->config;
    if (record->result[0] != '\0') {
        job->result = g_strdup(record->result);
    }
    for (u_int i = 0; i < record->places.places_len; i++) {
        const struct cw_place_record *place = &record->places.places_val[i];

        owner_job_add_placement(job, place->worker, place->dc, place->runs);
    }
    for (u_int i = 0; i < record->open.open_len; i++) {
        const struct cw_occurrence_record *stored = &record->open.open_val[i];
        struct owner_occurrence *occurrence;
        u_int count;

        if (i > 0 && stored->number <= stored[-1].number) {
            cw_log_error("record_invalid",
                         "id=%s kind=state occurrence=%u after=%u",
                         job->spec->id, stored->number, stored[-1].number);
            continue;
        }
        occurrence = owner_occurrence_open(job, stored->number);
        count = MIN(stored->steps.steps_len, occurrence->count);

        for (u_int k = 0; k < count; k++) {
            restore_step(owner, record, &occurrence->steps[k],
                         &stored->steps.steps_val[k]);
        }
    }
    restore_crashes(owner, job, record);
    for (u_int i = 0; i < record->extension.unresolved.unresolved_len; i++) {
        owner_crashes_restore(owner, job,
                              &record->extension.unresolved.unresolved_val[i]);
    }
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

/* ---- encoding ---- */

/* What the rows of tasks have in common. */
struct encoding {
    /* The workers that the record lists, with a row for each incarnation. */
    GHashTable *index;     /* "ID BOOT_MS" -> row, from 1 */
    GPtrArray *names;      /* borrowed */
    GArray *boot_times_ms; /* int64_t */
    GPtrArray *addresses;  /* borrowed */
    /* Longer checkpoints are left out. */
    size_t checkpoint_bytes_max;
};

/* Row of the run's worker in the list, from 1; added if it is new. */
static unsigned
worker_row(struct encoding *encoding, const struct owner_run *run)
{
    char *key = g_strdup_printf("%s %" PRId64, run->target->id, run->boot_ms);
    gpointer found = g_hash_table_lookup(encoding->index, key);

    if (found != NULL) {
        g_free(key);
        return GPOINTER_TO_UINT(found);
    }
    g_ptr_array_add(encoding->names, run->target->id);
    g_array_append_val(encoding->boot_times_ms, run->boot_ms);
    g_ptr_array_add(encoding->addresses, (gpointer)owner_address_of_run(run));
    g_hash_table_insert(encoding->index, key,
                        GUINT_TO_POINTER(encoding->names->len));
    return encoding->names->len;
}

/* Length of the checkpoint that a later run of the task needs; 0: none. */
static size_t
checkpoint_bytes(const struct owner_task *task)
{
    return task->saved != NULL && !task->done ? strlen(task->saved) : 0;
}

static void
encode_task(const struct owner_task *task, struct cw_task_record *out,
            struct encoding *encoding)
{
    const struct owner_run *run = task->run;
    size_t bytes = checkpoint_bytes(task);

    out->run = task->last_run;
    out->failures =
        task->step->spec->gang ? task->unheard_run : task->failures;
    out->done = task->done;
    out->saved = bytes > 0 && bytes <= encoding->checkpoint_bytes_max
                     ? task->saved
                     : (char *)"";
    if (run != NULL && run->phase != RUN_RESERVED) {
        out->worker = worker_row(encoding, run);
    }
}

static void
encode_step(const struct owner_step *step, struct cw_step_record *out,
            struct encoding *encoding)
{
    out->done = step->done;
    out->failures = step->failures;
    if ((step->done && step->runs == 0) || owner_step_is_untouched(step)) {
        return;
    }
    out->tasks.tasks_len = step->count;
    out->tasks.tasks_val = g_new0(struct cw_task_record, step->count);
    for (unsigned i = 0; i < step->count; i++) {
        encode_task(&step->tasks[i], &out->tasks.tasks_val[i], encoding);
    }
}

static void
encode_occurrence(const struct owner_occurrence *occurrence,
                  struct cw_occurrence_record *out, struct encoding *encoding)
{
    out->number = occurrence->number;
    out->steps.steps_len = occurrence->count;
    out->steps.steps_val = g_new0(struct cw_step_record, occurrence->count);
    for (unsigned i = 0; i < occurrence->count; i++) {
        encode_step(&occurrence->steps[i], &out->steps.steps_val[i], encoding);
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
                owner_gang_ends_encode(&occurrence->steps[k], crashes);
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
    g_free(record->extension.unresolved.unresolved_val);
}

/* Fills in where the job has run.  Borrows the texts of the job. */
static void
encode_places(const struct owner_job *job, struct cw_work_record *out)
{
    out->places.places_len = job->places->len;
    out->places.places_val = g_new0(struct cw_place_record, job->places->len);
    for (guint i = 0; i < job->places->len; i++) {
        const struct owner_job_placement *place =
            &g_array_index(job->places, struct owner_job_placement, i);

        out->places.places_val[i].worker = place->worker;
        out->places.places_val[i].dc = place->dc;
        out->places.places_val[i].runs = place->runs;
    }
}

/* The job's state without its tasks.  Borrows the texts of the job. */
static struct cw_work_record
outcome_of(const struct owner_job *job)
{
    struct cw_work_record record = {
        .phase = job->phase,
        .started = job->started,
        .ended_ms = job->ended_ms,
        .begun = job->start_confirmed,
        .reason = job->reason,
        .config = job->config,
        .result = job->result != NULL ? job->result : (char *)"",
    };

    encode_places(job, &record);
    return record;
}

/* Returns the bytes if they are not more than `bytes_max`; otherwise frees
 * them and returns NULL. */
static GByteArray *
if_they_fit(GByteArray *bytes, size_t bytes_max)
{
    if (bytes != NULL && bytes->len > bytes_max) {
        g_byte_array_unref(bytes);
        return NULL;
    }
    return bytes;
}

GByteArray *
owner_outcome_encode(const struct owner_job *job, size_t bytes_max)
{
    struct cw_work_record record = outcome_of(job);
    GByteArray *bytes = if_they_fit(cw_record_encode(&record), bytes_max);

    if (bytes == NULL) {
        cw_log_error("outcome_cut_short", "id=%s places=%u result_bytes=%zu",
                     job->spec->id, record.places.places_len,
                     strlen(record.result));
        record.places.places_len = 0;
        record.result = (char *)"";
        bytes = cw_record_encode(&record);
        g_assert(bytes != NULL); /* its size is fixed */
    }
    record_clear(&record);
    return bytes;
}

static bool
any_address_known(const GPtrArray *addresses)
{
    for (guint i = 0; i < addresses->len; i++) {
        if (((const char *)addresses->pdata[i])[0] != '\0') {
            return true;
        }
    }
    return false;
}

static bool
any_boot_time_known(const GArray *boot_times_ms)
{
    for (guint i = 0; i < boot_times_ms->len; i++) {
        if (g_array_index(boot_times_ms, int64_t, i) > 0) {
            return true;
        }
    }
    return false;
}

/* Encodes the job without the checkpoints that are longer than a limit, and
 * without the extension if that is left out. */
static GByteArray *
encode_with(const struct owner_job *job, size_t checkpoint_bytes_max,
            bool extended)
{
    struct encoding encoding = {
        .index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .names = g_ptr_array_new(),
        .boot_times_ms = g_array_new(FALSE, FALSE, sizeof(int64_t)),
        .addresses = g_ptr_array_new(),
        .checkpoint_bytes_max = checkpoint_bytes_max,
    };
    struct cw_work_record record = outcome_of(job);
    GByteArray *bytes;

    record.next_occurrence = job->next_occurrence;
    record.open.open_len = job->open->len;
    record.open.open_val = g_new0(struct cw_occurrence_record, job->open->len);
    for (guint i = 0; i < job->open->len; i++) {
        encode_occurrence(job->open->pdata[i], &record.open.open_val[i],
                          &encoding);
    }
    encode_crashes(job, &record);
    record.workers.workers_len = encoding.names->len;
    record.workers.workers_val = (cw_name *)encoding.names->pdata;
    if (any_boot_time_known(encoding.boot_times_ms)) {
        record.lives.lives_len = encoding.boot_times_ms->len;
        record.lives.lives_val = (quad_t *)encoding.boot_times_ms->data;
    }
    if (extended && any_address_known(encoding.addresses)) {
        record.extension.addresses.addresses_len = encoding.addresses->len;
        record.extension.addresses.addresses_val =
            (cw_name *)encoding.addresses->pdata;
    }
    if (extended) {
        owner_crashes_encode(job, &record.extension);
    }
    bytes = cw_record_encode(&record);
    record_clear(&record);
    g_ptr_array_unref(encoding.addresses);
    g_ptr_array_unref(encoding.names);
    g_array_unref(encoding.boot_times_ms);
    g_hash_table_unref(encoding.index);
    return bytes;
}

/* ---- checkpoints that do not fit ---- */

/* The checkpoints of a job's tasks up to a length. */
struct checkpoints {
    size_t count;
    size_t bytes;
    size_t longest;
};

static void
count_checkpoints(const struct owner_step *step, size_t bytes_max,
                  struct checkpoints *out)
{
    for (unsigned i = 0; !step->done && i < step->count; i++) {
        size_t bytes = checkpoint_bytes(&step->tasks[i]);

        if (bytes > 0 && bytes <= bytes_max) {
            out->count++;
            out->bytes += bytes;
            out->longest = MAX(out->longest, bytes);
        }
    }
}

static struct checkpoints
checkpoints_up_to(const struct owner_job *job, size_t bytes_max)
{
    struct checkpoints found = {0};

    for (guint i = 0; i < job->open->len; i++) {
        const struct owner_occurrence *occurrence = job->open->pdata[i];

        for (unsigned k = 0; k < occurrence->count; k++) {
            count_checkpoints(&occurrence->steps[k], bytes_max, &found);
        }
    }
    return found;
}

/* Returns a length up to which all checkpoints together take at most `sum_max`
 * bytes. */
static size_t
checkpoint_limit(const struct owner_job *job, const struct checkpoints *all,
                 size_t sum_max)
{
    struct checkpoints found = *all;
    size_t limit = all->longest;

    while (found.bytes > sum_max) {
        limit /= 2;
        found = checkpoints_up_to(job, limit);
    }
    return limit;
}

/* Logs how many checkpoints the stored state lacks, if that has changed. */
static void
log_left_out(struct owner_job *job, const struct checkpoints *all,
             size_t limit)
{
    size_t left_out = limit < all->longest
                          ? all->count - checkpoints_up_to(job, limit).count
                          : 0;

    if (left_out != job->checkpoints_left_out) {
        cw_log_warning("checkpoints_left_out",
                       "id=%s count=%zu of=%zu longest=%zu stored_up_to=%zu",
                       job->spec->id, left_out, all->count, all->longest,
                       limit);
        job->checkpoints_left_out = left_out;
    }
}

GByteArray *
owner_job_encode(struct owner_job *job, size_t bytes_max)
{
    /* Texts may be deflated to a fraction, or not at all. */
    const size_t sums_max[] = {2 * bytes_max, bytes_max / 2, 0, 0};
    struct checkpoints all = checkpoints_up_to(job, SIZE_MAX);

    for (size_t i = 0; i < G_N_ELEMENTS(sums_max); i++) {
        size_t limit = checkpoint_limit(job, &all, sums_max[i]);
        bool extended = i + 1 < G_N_ELEMENTS(sums_max);
        GByteArray *bytes =
            if_they_fit(encode_with(job, limit, extended), bytes_max);

        if (bytes != NULL) {
            log_left_out(job, &all, limit);
            return bytes;
        }
    }
    return NULL;
}

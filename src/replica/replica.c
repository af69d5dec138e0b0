/* Builds the jobs of a shard from the shard's log of jobs. */
#include "replica/internal/replica_epochs.h"

#include <inttypes.h>
#include <string.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_record.h"
#include "curlewcart/cw_xdr.h"

enum {
    READ_WAIT_MS = 1000,
    /* Jobs are kept for at least this long after their end: until then their
     * ids cannot be used for other jobs. */
    ID_KEPT_MS = 60000
};

struct cw_replica {
    struct cw_follower *follower;
    struct cw_replica_listener listener;
    struct cw_clock *clock;
    GHashTable *jobs;
    /* The jobs as a load has read them so far; NULL: no load is in progress
     * that may replace jobs. */
    GHashTable *loaded_jobs;
    bool loaded;             /* a load has ended */
    GHashTable *lease_notes; /* worker -> struct cw_replica_lease_note */
    GHashTable *epochs;      /* VM -> struct cw_replica_epoch */
};

static void
spec_free(struct cw_work_spec *spec)
{
    if (spec != NULL) {
        xdr_free((xdrproc_t)xdr_cw_work_spec, (char *)spec);
        g_free(spec);
    }
}

static void
hint_free(gpointer hint)
{
    if (hint == NULL) {
        return; /* it was moved to another job */
    }
    xdr_free((xdrproc_t)xdr_cw_hint_record, hint);
    g_free(hint);
}

static void
job_free(gpointer data)
{
    struct cw_replica_job *job = data;

    spec_free(job->spec);
    if (job->record != NULL) {
        g_bytes_unref(job->record);
    }
    g_ptr_array_unref(job->cancel_keys);
    g_array_unref(job->unknown_cancels);
    g_ptr_array_unref(job->hints);
    g_ptr_array_unref(job->hint_keys);
    g_free(job->id);
    g_free(job);
}

static void
cancel_clear(gpointer data)
{
    struct cw_replica_cancel *cancel = data;

    g_free(cancel->queue);
    g_free(cancel->account);
}

/* The jobs that the records read now belong to. */
static GHashTable *
jobs_being_read(struct cw_replica *replica)
{
    return replica->loaded_jobs != NULL ? replica->loaded_jobs : replica->jobs;
}

static struct cw_replica_job *
find_or_add(struct cw_replica *replica, const char *id)
{
    GHashTable *jobs = jobs_being_read(replica);
    struct cw_replica_job *job = g_hash_table_lookup(jobs, id);

    if (job == NULL) {
        job = g_new0(struct cw_replica_job, 1);
        job->id = g_strdup(id);
        job->first_read_at = cw_clock_now(replica->clock);
        job->unknown_cancels =
            g_array_new(FALSE, FALSE, sizeof(struct cw_replica_cancel));
        g_array_set_clear_func(job->unknown_cancels, cancel_clear);
        job->cancel_keys = g_ptr_array_new_with_free_func(g_free);
        job->hints = g_ptr_array_new_with_free_func(hint_free);
        job->hint_keys = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(jobs, job->id, job);
    }
    return job;
}

static void
notify_job_changed(struct cw_replica *replica, struct cw_replica_job *job)
{
    if (replica->listener.job_changed != NULL && job->spec != NULL &&
        replica->loaded_jobs == NULL)
    {
        replica->listener.job_changed(replica->listener.context, job);
    }
}

static void
notify_hint(struct cw_replica *replica, const struct cw_replica_job *job,
            const struct cw_hint_record *hint)
{
    if (replica->listener.hint_received != NULL &&
        replica->loaded_jobs == NULL) {
        replica->listener.hint_received(replica->listener.context, job, hint);
    }
}

static void
notify_job_removed(struct cw_replica *replica,
                   const struct cw_replica_job *job)
{
    cw_log_info("job_removed",
                "id=%s spec_offset=%" PRIu64 " record_offset=%" PRIu64
                " position=%" PRIu64,
                job->id, job->spec_offset, job->record_offset,
                cw_follower_position(replica->follower));
    if (replica->listener.job_removed != NULL) {
        replica->listener.job_removed(replica->listener.context, job);
    }
}

/* ---- cancellations ---- */

/* Returns false if the key was known. */
static bool
add_cancel_key(struct cw_replica_job *job, const char *key)
{
    if (g_ptr_array_find_with_equal_func(job->cancel_keys, key, g_str_equal,
                                         NULL)) {
        return false;
    }
    g_ptr_array_add(job->cancel_keys, g_strdup(key));
    return true;
}

/* Returns true if the job was not cancelled, or only later in the log. */
static bool
set_cancelled(struct cw_replica_job *job, uint64_t offset)
{
    if (job->cancelled && offset >= job->cancel_offset) {
        return false;
    }
    job->cancelled = true;
    job->cancel_offset = offset;
    return true;
}

/* Cancels the job, whose specification is known, if the request is for a job
 * of its queue and account; returns true if that changes the job. */
static bool
apply_unknown_cancel(struct cw_replica_job *job,
                     const struct cw_replica_cancel *cancel)
{
    return strcmp(job->spec->queue, cancel->queue) == 0 &&
           (cancel->account == NULL ||
            strcmp(job->spec->account, cancel->account) == 0) &&
           set_cancelled(job, cancel->offset);
}

/* ---- records ---- */

static void
apply_spec(struct cw_replica *replica, const char *id,
           const struct cw_store_record *record)
{
    struct cw_replica_job *job;
    struct cw_work_spec *spec;
    char detail[128] = "";

    job = find_or_add(replica, id);
    if (job->spec != NULL) {
        return; /* a repeated submission: the first one counts */
    }
    spec = g_new0(struct cw_work_spec, 1);
    if (!cw_xdr_decode((xdrproc_t)xdr_cw_work_spec, spec, record->value,
                       record->length))
    {
        cw_log_error("record_invalid", "id=%s kind=spec offset=%" PRIu64, id,
                     record->offset);
        g_free(spec);
        return;
    }
    if (strcmp(spec->id, id) != 0 ||
        cw_work_check(spec, detail, sizeof(detail)) != CW_OK)
    {
        cw_log_error("record_invalid",
                     "id=%s kind=spec offset=%" PRIu64 " detail=\"%s\"", id,
                     record->offset, detail);
        spec_free(spec);
        return;
    }
    job->spec = spec;
    job->spec_offset = record->offset;
    for (guint i = 0; i < job->unknown_cancels->len; i++) {
        apply_unknown_cancel(job, &g_array_index(job->unknown_cancels,
                                                 struct cw_replica_cancel, i));
    }
    notify_job_changed(replica, job);
}

/* Each attempt to cancel has a key of its own, so that a load of the newest
 * record of each key delivers all attempts; the earliest one counts. */
static void
apply_cancel(struct cw_replica *replica, const char *id,
             const struct cw_store_record *record)
{
    struct cw_replica_job *job = find_or_add(replica, id);

    (void)add_cancel_key(job, record->key);
    if (set_cancelled(job, record->offset)) {
        notify_job_changed(replica, job);
    }
}

static void
apply_cancel_unknown(struct cw_replica *replica, const char *id,
                     const struct cw_store_record *record)
{
    struct cw_replica_job *job = find_or_add(replica, id);
    struct cw_cancel_record value = {0};
    struct cw_replica_cancel cancel = {.offset = record->offset};

    if (!add_cancel_key(job, record->key)) {
        return; /* delivered again */
    }
    if (!cw_xdr_decode((xdrproc_t)xdr_cw_cancel_record, &value, record->value,
                       record->length))
    {
        cw_log_error("record_invalid", "id=%s kind=cancel offset=%" PRIu64, id,
                     record->offset);
        return;
    }
    cancel.queue = g_strdup(value.queue);
    cancel.account = value.any_account ? NULL : g_strdup(value.account);
    xdr_free((xdrproc_t)xdr_cw_cancel_record, (char *)&value);
    g_array_append_val(job->unknown_cancels, cancel);
    if (job->spec != NULL && apply_unknown_cancel(job, &cancel)) {
        notify_job_changed(replica, job);
    }
}

static void
apply_hint(struct cw_replica *replica, const char *id,
           const struct cw_store_record *record)
{
    struct cw_replica_job *job = find_or_add(replica, id);
    struct cw_hint_record *hint;

    if (g_ptr_array_find_with_equal_func(job->hint_keys, record->key,
                                         g_str_equal, NULL))
    {
        return; /* delivered again */
    }
    hint = g_new0(struct cw_hint_record, 1);
    g_ptr_array_add(job->hint_keys, g_strdup(record->key));
    if (!cw_xdr_decode((xdrproc_t)xdr_cw_hint_record, hint, record->value,
                       record->length))
    {
        cw_log_error("record_invalid", "id=%s kind=hint offset=%" PRIu64, id,
                     record->offset);
        g_free(hint);
        return;
    }
    g_ptr_array_add(job->hints, hint);
    notify_hint(replica, job, hint);
}

static void
apply_state(struct cw_replica *replica, const char *id,
            const struct cw_store_record *record)
{
    struct cw_replica_job *job = find_or_add(replica, id);
    struct cw_record_head head;

    if (job->record != NULL && record->offset <= job->record_offset) {
        return;
    }
    if (!cw_record_read_head(record->value, record->length, &head)) {
        cw_log_error("record_invalid", "id=%s kind=state offset=%" PRIu64, id,
                     record->offset);
        return;
    }
    if (job->record != NULL) {
        g_bytes_unref(job->record);
    }
    job->record = g_bytes_new(record->value, record->length);
    job->record_offset = record->offset;
    job->recorded_phase = head.phase;
    job->started = head.started;
    job->ended_ms = head.ended_ms;
}

static void
apply_vm(struct cw_replica *replica, const struct cw_store_record *record)
{
    const char *vm = record->key + 1;
    struct cw_vm_record value = {0};

    if (!cw_xdr_decode((xdrproc_t)xdr_cw_vm_record, &value, record->value,
                       record->length))
    {
        cw_log_error("record_invalid", "vm=%s kind=vm offset=%" PRIu64, vm,
                     record->offset);
        return;
    }
    if (replica->listener.vm_announced != NULL) {
        replica->listener.vm_announced(replica->listener.context, vm,
                                       value.capacity_milli);
    }
}

static void
notify_owner_record(struct cw_replica *replica)
{
    if (replica->listener.owner_record_received != NULL) {
        replica->listener.owner_record_received(replica->listener.context);
    }
}

static void
apply_heartbeat(struct cw_replica *replica, const char *id,
                const struct cw_store_record *record)
{
    struct cw_beat_record value = {0};

    if (!cw_xdr_decode((xdrproc_t)xdr_cw_beat_record, &value, record->value,
                       record->length))
    {
        cw_log_error("record_invalid", "id=%s kind=beat offset=%" PRIu64, id,
                     record->offset);
        return;
    }
    if (strcmp(id, CW_WORK_BEAT_LEAVES) == 0 &&
        replica->listener.owner_left != NULL)
    {
        replica->listener.owner_left(replica->listener.context, value.epoch);
    }
    notify_owner_record(replica);
    xdr_free((xdrproc_t)xdr_cw_beat_record, (char *)&value);
}

static void
drop_lease_note(struct cw_replica *replica,
                const struct cw_store_record *record)
{
    const char *worker = record->key + 1;
    const struct cw_replica_lease_note *note =
        g_hash_table_lookup(replica->lease_notes, worker);

    if (note != NULL && note->offset < record->offset) {
        g_hash_table_remove(replica->lease_notes, worker);
    }
}

/* A note that is delivered again is ignored, so that `read_at` stays the time
 * of its first read. */
static void
apply_lease_note(struct cw_replica *replica,
                 const struct cw_store_record *record)
{
    const char *worker = record->key + 1;
    const struct cw_replica_lease_note *known =
        g_hash_table_lookup(replica->lease_notes, worker);
    struct cw_note_record value = {0};
    struct cw_replica_lease_note *note;

    if (known != NULL && record->offset <= known->offset) {
        return;
    }
    g_hash_table_remove(replica->lease_notes, worker);
    if (!cw_xdr_decode((xdrproc_t)xdr_cw_note_record, &value, record->value,
                       record->length))
    {
        cw_log_error("record_invalid", "worker=%s kind=note offset=%" PRIu64,
                     worker, record->offset);
        return;
    }
    note = g_new0(struct cw_replica_lease_note, 1);
    note->offset = record->offset;
    note->read_at = cw_clock_now(replica->clock);
    note->left_ms = value.left_ms;
    g_hash_table_insert(replica->lease_notes, g_strdup(worker), note);
}

static void
apply_epoch(struct cw_replica *replica, const struct cw_store_record *record)
{
    const struct cw_replica_epoch *epoch =
        replica_epochs_apply_begin(replica->epochs, record);

    if (epoch != NULL && replica->listener.epoch_began != NULL) {
        replica->listener.epoch_began(replica->listener.context, epoch->epoch);
    }
    notify_owner_record(replica);
}

static void
apply_epoch_end(struct cw_replica *replica,
                const struct cw_store_record *record)
{
    if (replica_epochs_apply_end(replica->epochs, record,
                                 cw_clock_now(replica->clock)) != NULL &&
        replica->listener.epoch_ended != NULL)
    {
        replica->listener.epoch_ended(replica->listener.context,
                                      record->key + 1);
    }
}

/* Removes the job, unless the deletion is of an earlier job with that id:
 * after a load the log is read again from its first page on. */
static void
delete_job(struct cw_replica *replica, const char *id,
           const struct cw_store_record *record)
{
    GHashTable *jobs = jobs_being_read(replica);
    const struct cw_replica_job *job = g_hash_table_lookup(jobs, id);

    if (job != NULL &&
        (job->spec == NULL || job->spec_offset < record->offset)) {
        g_hash_table_remove(jobs, id);
    }
}

/* Applies a record according to the kind in its key; if it is a job's record,
 * `id` is the job's id. */
static void
dispatch_record(struct cw_replica *replica, const char *id,
                const struct cw_store_record *record)
{
    if (record->value == NULL || record->length == 0) {
        /* A record without a value deletes its key.  The owner deletes all
         * keys of a job in one batch, its CW_WORK_KEY_RECORD last: only then
         * is the job removed. */
        if (record->key[0] == CW_WORK_KEY_RECORD) {
            delete_job(replica, id, record);
        }
        else if (record->key[0] == CW_WORK_KEY_LEASE_NOTE) {
            drop_lease_note(replica, record);
        }
        else if (record->key[0] == CW_WORK_KEY_EPOCH) {
            replica_epochs_apply_drop(replica->epochs, record);
        }
        return;
    }
    switch (record->key[0]) {
    case CW_WORK_KEY_SPEC:
        apply_spec(replica, id, record);
        break;
    case CW_WORK_KEY_CANCEL:
        apply_cancel(replica, id, record);
        break;
    case CW_WORK_KEY_UNKNOWN:
        apply_cancel_unknown(replica, id, record);
        break;
    case CW_WORK_KEY_RECORD:
        apply_state(replica, id, record);
        notify_owner_record(replica);
        break;
    case CW_WORK_KEY_VM:
        apply_vm(replica, record);
        break;
    case CW_WORK_KEY_HEARTBEAT:
        apply_heartbeat(replica, id, record);
        break;
    case CW_WORK_KEY_EPOCH:
        apply_epoch(replica, record);
        break;
    case CW_WORK_KEY_EPOCH_END:
        apply_epoch_end(replica, record);
        break;
    case CW_WORK_KEY_LEASE_TERMS:
        replica_epochs_apply_terms(replica->epochs, record,
                                   cw_clock_now(replica->clock));
        notify_owner_record(replica);
        break;
    case CW_WORK_KEY_LEASE_START:
        replica_epochs_apply_lease_start(replica->epochs, record);
        notify_owner_record(replica);
        break;
    case CW_WORK_KEY_HINT:
        apply_hint(replica, id, record);
        break;
    case CW_WORK_KEY_LEASE_NOTE:
        apply_lease_note(replica, record);
        notify_owner_record(replica);
        break;
    default:
        cw_log_warning("record_unknown", "offset=%" PRIu64, record->offset);
        break;
    }
}

void
cw_replica_apply(struct cw_replica *replica,
                 const struct cw_store_record *record)
{
    char *id;

    if (record->key[0] == '\0') {
        return;
    }
    id = g_strndup(record->key + 1, strcspn(record->key + 1, "."));
    dispatch_record(replica, id, record);
    g_free(id);
}

static void
on_record(void *context, const struct cw_store_record *record)
{
    cw_replica_apply(context, record);
}

/* ---- loads ---- */

static GHashTable *
new_jobs(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
}

/* Drops what an unfinished load has read. */
static void
drop_loaded_jobs(struct cw_replica *replica)
{
    if (replica->loaded_jobs != NULL) {
        g_hash_table_unref(replica->loaded_jobs);
        replica->loaded_jobs = NULL;
    }
}

/* Prepares for a load.  Records that the store no longer retains may include
 * one that dropped a lease note, or that deleted a job; the load delivers all
 * that exist.  Until it has ended the jobs known before are kept, so that
 * callers can query them. */
static void
on_reset(void *context)
{
    struct cw_replica *replica = context;

    g_hash_table_remove_all(replica->lease_notes);
    drop_loaded_jobs(replica);
    if (replica->loaded) {
        replica->loaded_jobs = new_jobs();
    }
}

/* True if the load has read another job that was submitted under the id later.
 * Two VMs may store submissions of one id before either has read the other's:
 * the first one counts, and the load has only the second one. */
static bool
id_was_used_again(const struct cw_replica_job *job,
                  const struct cw_replica_job *loaded)
{
    return job->spec != NULL && loaded->spec != NULL &&
           loaded->spec->body_hash != job->spec->body_hash &&
           loaded->spec->accepted_ms - job->spec->accepted_ms > ID_KEPT_MS;
}

/* True if an attempt to cancel the job is missing from what the load has read
 * of its id.  Attempts are deleted with their job. */
static bool
cancel_missing(const struct cw_replica_job *job,
               const struct cw_replica_job *loaded)
{
    for (guint i = 0; i < job->cancel_keys->len; i++) {
        if (!g_ptr_array_find_with_equal_func(loaded->cancel_keys,
                                              job->cancel_keys->pdata[i],
                                              g_str_equal, NULL))
        {
            return true;
        }
    }
    return false;
}

/* True if a load shows that the job, or the one that had its id, was deleted.
 * `loaded` is what the load has read of its id, or NULL.  A record that was
 * written after the load's first page may be missing from the load. */
static bool
was_deleted(const struct cw_replica_job *job,
            const struct cw_replica_job *loaded, uint64_t position)
{
    bool spec_missing = job->spec != NULL && job->spec_offset < position &&
                        (loaded == NULL || loaded->spec == NULL);
    bool record_missing = job->record != NULL &&
                          job->record_offset < position &&
                          (loaded == NULL || loaded->record == NULL);

    if (loaded == NULL) {
        return spec_missing || record_missing ||
               (job->spec == NULL && job->record == NULL);
    }
    return spec_missing || record_missing || id_was_used_again(job, loaded) ||
           cancel_missing(job, loaded);
}

static void
merge_record(struct cw_replica_job *job, struct cw_replica_job *loaded)
{
    if (loaded->record == NULL ||
        (job->record != NULL && job->record_offset >= loaded->record_offset))
    {
        return;
    }
    if (job->record != NULL) {
        g_bytes_unref(job->record);
    }
    job->record = g_steal_pointer(&loaded->record);
    job->record_offset = loaded->record_offset;
    job->recorded_phase = loaded->recorded_phase;
    job->started = loaded->started;
    job->ended_ms = loaded->ended_ms;
}

static void
merge_hints(struct cw_replica *replica, struct cw_replica_job *job,
            struct cw_replica_job *loaded)
{
    /* An invalid hint has only a key. */
    bool paired = loaded->hints->len == loaded->hint_keys->len;

    for (guint i = 0; i < loaded->hint_keys->len; i++) {
        const char *key = loaded->hint_keys->pdata[i];

        if (g_ptr_array_find_with_equal_func(job->hint_keys, key, g_str_equal,
                                             NULL)) {
            continue;
        }
        g_ptr_array_add(job->hint_keys, g_strdup(key));
        if (paired) {
            g_ptr_array_add(job->hints,
                            g_steal_pointer(&loaded->hints->pdata[i]));
            notify_hint(replica, job, job->hints->pdata[job->hints->len - 1]);
        }
    }
}

static void
merge_cancels(struct cw_replica_job *job, struct cw_replica_job *loaded)
{
    for (guint i = 0; i < loaded->cancel_keys->len; i++) {
        (void)add_cancel_key(job, loaded->cancel_keys->pdata[i]);
    }
    for (guint i = 0; i < loaded->unknown_cancels->len; i++) {
        struct cw_replica_cancel *cancel = &g_array_index(
            loaded->unknown_cancels, struct cw_replica_cancel, i);

        g_array_append_val(job->unknown_cancels, *cancel);
        cancel->queue = NULL;
        cancel->account = NULL;
    }
    if (loaded->cancelled) {
        (void)set_cancelled(job, loaded->cancel_offset);
    }
}

/* Adds to a job that still exists what the load has read of it. */
static void
merge_job(struct cw_replica *replica, struct cw_replica_job *job,
          struct cw_replica_job *loaded)
{
    bool was_cancelled = job->cancelled;
    bool had_spec = job->spec != NULL;

    merge_record(job, loaded);
    if (!had_spec) {
        job->spec = g_steal_pointer(&loaded->spec);
        job->spec_offset = loaded->spec_offset;
    }
    merge_cancels(job, loaded);
    merge_hints(replica, job, loaded);
    if (job->cancelled != was_cancelled || !had_spec) {
        notify_job_changed(replica, job);
    }
}

static void
remove_deleted(struct cw_replica *replica, GHashTable *loaded,
               uint64_t position)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, replica->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct cw_replica_job *job = value;

        if (was_deleted(job, g_hash_table_lookup(loaded, job->id), position)) {
            notify_job_removed(replica, job);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

static void
merge_loaded(struct cw_replica *replica, GHashTable *loaded)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, loaded);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct cw_replica_job *read = value;
        struct cw_replica_job *job =
            g_hash_table_lookup(replica->jobs, read->id);

        if (job != NULL) {
            merge_job(replica, job, read);
            continue;
        }
        g_hash_table_iter_steal(&iterator);
        g_hash_table_insert(replica->jobs, read->id, read);
        notify_job_changed(replica, read);
        for (guint i = 0; i < read->hints->len; i++) {
            notify_hint(replica, read, read->hints->pdata[i]);
        }
    }
}

static void
on_advanced(void *context)
{
    struct cw_replica *replica = context;

    if (replica->listener.advanced != NULL) {
        replica->listener.advanced(replica->listener.context);
    }
}

static void
on_loaded(void *context)
{
    struct cw_replica *replica = context;
    GHashTable *loaded = g_steal_pointer(&replica->loaded_jobs);

    replica->loaded = true;
    if (loaded != NULL) {
        remove_deleted(replica, loaded,
                       cw_follower_position(replica->follower));
        merge_loaded(replica, loaded);
        g_hash_table_unref(loaded);
    }
    on_advanced(replica);
}

struct cw_replica *
cw_replica_create(const struct cw_replica_options *options)
{
    struct cw_replica *replica = g_new0(struct cw_replica, 1);
    struct cw_follower_options follow = {
        .name = "jobs",
        .store = options->store,
        .clock = options->clock,
        .topic = CW_JOBS_TOPIC,
        .partition = options->partition,
        .wait_ms = READ_WAIT_MS,
        .read_interval_ms = options->read_interval_ms,
        .handler = {.reset = on_reset,
                    .loaded = on_loaded,
                    .record = on_record,
                    .advanced = on_advanced,
                    .context = replica},
    };

    replica->jobs = new_jobs();
    replica->lease_notes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    replica->epochs = replica_epochs_new();
    replica->clock = options->clock;
    replica->follower = cw_follower_create(&follow);
    return replica;
}

void
cw_replica_free(struct cw_replica *replica)
{
    if (replica != NULL) {
        cw_follower_free(replica->follower);
        drop_loaded_jobs(replica);
        g_hash_table_unref(replica->jobs);
        g_hash_table_unref(replica->lease_notes);
        g_hash_table_unref(replica->epochs);
        g_free(replica);
    }
}

void
cw_replica_set_listener(struct cw_replica *replica,
                        const struct cw_replica_listener *listener)
{
    replica->listener = *listener;
}

struct cw_follower *
cw_replica_follower(struct cw_replica *replica)
{
    return replica->follower;
}

struct cw_replica_job *
cw_replica_find_job(const struct cw_replica *replica, const char *id)
{
    return g_hash_table_lookup(replica->jobs, id);
}

GHashTable *
cw_replica_jobs(const struct cw_replica *replica)
{
    return replica->jobs;
}

GHashTable *
cw_replica_lease_notes(const struct cw_replica *replica)
{
    return replica->lease_notes;
}

GHashTable *
cw_replica_epochs(const struct cw_replica *replica)
{
    return replica->epochs;
}

bool
cw_replica_cancels_unknown(const struct cw_replica_job *job, const char *queue,
                           const char *account)
{
    for (guint i = 0; i < job->unknown_cancels->len; i++) {
        const struct cw_replica_cancel *cancel =
            &g_array_index(job->unknown_cancels, struct cw_replica_cancel, i);

        if (strcmp(cancel->queue, queue) == 0 &&
            g_strcmp0(cancel->account, account) == 0)
        {
            return true;
        }
    }
    return false;
}

unsigned
cw_replica_phase(const struct cw_replica_job *job)
{
    bool over = job->record != NULL && cw_work_is_over(job->recorded_phase);

    if (over && !(job->cancelled && job->cancel_offset < job->record_offset)) {
        return job->recorded_phase;
    }
    if (job->cancelled) {
        return CW_WORK_CANCELLED;
    }
    return job->record != NULL ? job->recorded_phase : CW_WORK_WAITING;
}

unsigned
cw_replica_count_waiting(const struct cw_replica *replica, const char *queue,
                         const char *account)
{
    GHashTableIter iterator;
    gpointer value;
    unsigned count = 0;

    g_hash_table_iter_init(&iterator, replica->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct cw_replica_job *job = value;

        if (job->spec != NULL && !job->started &&
            (queue == NULL || strcmp(job->spec->queue, queue) == 0) &&
            (account == NULL || strcmp(job->spec->account, account) == 0) &&
            !cw_work_is_over(cw_replica_phase(job)))
        {
            count++;
        }
    }
    return count;
}

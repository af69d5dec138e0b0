/* What the owner decided becomes durable in batches, one under way at a
 * time; only then do its effects leave the VM. */
#include "owner/internal/owner_private.h"

#include <string.h>

enum {
    FLUSH_EVERY_MS = 10,
    APPEND_TIMEOUT_MS = 900,
    RETRY_MS = 80,
    /* Of a batch, so that one append stays far below the store's limit. */
    BATCH_BYTES_MAX = 512 * 1024,
    SWEEP_JOBS_MAX = 100
};

/* A batch under way.  `jobs` keeps ids: a job is looked up when it ends. */
struct owner_batch {
    struct cw_owner *owner;
    unsigned term;
    GPtrArray *jobs;   /* char * */
    GPtrArray *keys;   /* char *, of the records */
    GPtrArray *values; /* GByteArray *, NULL: the key is dropped */
    uint64_t sequence;
    bool in_flight;
    bool unsure;   /* an attempt had no answer */
    bool orphaned; /* its owner dropped it while a call was under way */
    struct timespec sent;
    struct timespec due;
};

static void
value_free(gpointer value)
{
    if (value != NULL) {
        g_byte_array_unref(value);
    }
}

static void
batch_release(struct owner_batch *batch)
{
    g_ptr_array_unref(batch->jobs);
    g_ptr_array_unref(batch->keys);
    g_ptr_array_unref(batch->values);
    g_free(batch);
}

void
owner_batch_free(struct owner_batch *batch)
{
    if (batch == NULL) {
        return;
    }
    if (batch->in_flight) {
        batch->orphaned = true;
        return;
    }
    batch_release(batch);
}

static struct owner_batch *
batch_new(struct cw_owner *owner)
{
    struct owner_batch *batch = g_new0(struct owner_batch, 1);

    batch->owner = owner;
    batch->term = owner->term;
    batch->jobs = g_ptr_array_new_with_free_func(g_free);
    batch->keys = g_ptr_array_new_with_free_func(g_free);
    batch->values = g_ptr_array_new_with_free_func(value_free);
    batch->sequence = owner->sequence;
    return batch;
}

/* Runs of the job that become durable with this batch. */
static void
mark_runs(const struct cw_owner *owner, struct owner_job *job)
{
    GPtrArray *runs = owner_job_runs(job, RUN_NEW);

    for (guint i = 0; i < runs->len; i++) {
        ((struct owner_run *)runs->pdata[i])->phase = RUN_COMMITTING;
        job->started = true;
        if (job->config == 0 && owner->routing != NULL) {
            job->config = owner->routing->version;
        }
    }
    g_ptr_array_unref(runs);
    if (job->started && job->phase == CW_WORK_WAITING) {
        job->phase = CW_WORK_RUNNING;
    }
}

static size_t
batch_add(struct owner_batch *batch, struct owner_job *job)
{
    GByteArray *value;

    mark_runs(batch->owner, job);
    job->dirty = false;
    job->final = cw_work_is_over(job->phase);
    value = owner_job_encode(job);
    g_ptr_array_add(batch->jobs, g_strdup(job->spec->id));
    g_ptr_array_add(batch->keys,
                    cw_work_key(CW_WORK_KEY_RECORD, job->spec->id));
    g_ptr_array_add(batch->values, value);
    return value->len;
}

/* Effects of a batch that is durable. */
static void
release_runs(struct cw_owner *owner, struct owner_job *job)
{
    GPtrArray *runs = owner_job_runs(job, RUN_COMMITTING);

    for (guint i = 0; i < runs->len; i++) {
        struct owner_run *run = runs->pdata[i];
        struct cw_task_name name = owner_task_name(run->task);

        run->phase = RUN_READY;
        if (run->stopping) {
            owner_run_drop(owner, run);
            continue;
        }
        owner_order_queue(owner, run->target, CW_ORDER_START, &name,
                          run->number);
    }
    g_ptr_array_unref(runs);
}

static void
confirm_ends(struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        if (target->ends_in_batch > target->ends_durable) {
            target->ends_durable = target->ends_in_batch;
            target->hold_due = owner_now(owner);
        }
    }
}

static void
collect_ends(struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        target->ends_in_batch = target->ends_applied;
    }
}

static void
batch_durable(struct cw_owner *owner, struct owner_batch *batch)
{
    cw_count_latency(owner->options.counters, CW_LATENCY_COMMIT,
                     cw_time_diff_ms(batch->sent, owner_now(owner)));
    owner->sequence = batch->sequence + 1;
    owner->proof_at = batch->sent;
    owner->batch = NULL;
    confirm_ends(owner);
    for (guint i = 0; i < batch->jobs->len; i++) {
        struct owner_job *job =
            g_hash_table_lookup(owner->jobs, batch->jobs->pdata[i]);

        if (job != NULL) {
            release_runs(owner, job);
            job->final_durable = job->final;
        }
    }
}

static void
on_appended(void *context, const struct cw_store_appended *result)
{
    struct owner_batch *batch = context;
    struct cw_owner *owner = batch->owner;

    batch->in_flight = false;
    if (batch->orphaned || batch->term != owner->term) {
        batch_release(batch);
        return;
    }
    switch (result->status) {
    case CW_STORE_OK:
        batch_durable(owner, batch);
        batch_release(batch);
        return;
    case CW_STORE_FENCED:
        owner_depose(owner, "higher_epoch");
        return;
    case CW_STORE_SEQUENCE:
        if (batch->unsure && result->expected_sequence == batch->sequence + 1)
        {
            batch_durable(owner, batch);
            batch_release(batch);
            return;
        }
        if (batch->unsure) {
            owner_depose(owner, "sequence");
            return;
        }
        batch->sequence = result->expected_sequence;
        break;
    case CW_STORE_UNKNOWN:
        batch->unsure = true;
        break;
    default:
        break;
    }
    cw_count_code(owner->options.counters, CW_RETRY_APPEND);
    cw_log_info("append_again", "sequence=%" PRIu64 " status=%s jobs=%u",
                batch->sequence, cw_store_status_name(result->status),
                batch->jobs->len);
    batch->due = cw_time_add_ms(owner_now(owner), RETRY_MS);
}

static void
send_batch(struct cw_owner *owner, struct owner_batch *batch,
           struct timespec now)
{
    struct cw_store_record *records =
        g_new0(struct cw_store_record, batch->keys->len);
    struct cw_store_append call = {
        .topic = CW_WORK_TOPIC,
        .partition = owner->options.partition,
        .records = records,
        .count = batch->keys->len,
        .writer = "owner",
        .epoch = owner->epoch,
        .sequence = batch->sequence,
        .timeout_ms = APPEND_TIMEOUT_MS,
        .done = on_appended,
        .context = batch,
    };

    for (guint i = 0; i < batch->keys->len; i++) {
        const GByteArray *value = batch->values->pdata[i];

        records[i].key = batch->keys->pdata[i];
        records[i].value = value != NULL ? value->data : NULL;
        records[i].length = value != NULL ? value->len : 0;
    }
    batch->in_flight = true;
    batch->sent = now;
    owner->appended_at = now;
    cw_count_add(owner->options.counters, CW_COUNT_APPENDS, 1);
    cw_count_add(owner->options.counters, CW_COUNT_RECORDS, call.count);
    owner->options.store->ops->append(owner->options.store, &call);
    g_free(records);
}

static void
send_beat(struct cw_owner *owner, struct timespec now)
{
    struct cw_beat_record beat = {.vm = owner->vm, .epoch = owner->epoch};
    struct owner_batch *batch = batch_new(owner);

    g_ptr_array_add(batch->keys, cw_work_key(CW_WORK_KEY_BEAT, "owner"));
    g_ptr_array_add(batch->values,
                    cw_xdr_encode((xdrproc_t)xdr_cw_beat_record, &beat));
    owner->batch = batch;
    send_batch(owner, batch, now);
}

/* Takes jobs out of the dirty list, up to a batch's size.  Returns true if
 * all were taken. */
static bool
fill_batch(struct cw_owner *owner, struct owner_batch *batch)
{
    size_t bytes = 0;
    guint taken = 0;

    while (taken < owner->dirty->len && bytes < BATCH_BYTES_MAX) {
        bytes += batch_add(batch, owner->dirty->pdata[taken]);
        taken++;
    }
    g_ptr_array_remove_range(owner->dirty, 0, taken);
    return owner->dirty->len == 0;
}

struct timespec
owner_commit_tick(struct cw_owner *owner, struct timespec now)
{
    struct owner_batch *batch = owner->batch;

    if (batch == NULL && owner->dirty->len == 0) {
        /* Ends that concern no job here need no record. */
        collect_ends(owner);
        confirm_ends(owner);
        if (owner_candidacy_beat_due(owner, now)) {
            send_beat(owner, now);
        }
        return cw_time_from_ms(INT32_MAX);
    }
    if (batch == NULL) {
        if (cw_time_before(now, owner->flush_due)) {
            return owner->flush_due;
        }
        owner->flush_due = cw_time_add_ms(now, FLUSH_EVERY_MS);
        batch = batch_new(owner);
        owner->batch = batch;
        if (fill_batch(owner, batch)) {
            collect_ends(owner);
        }
        send_batch(owner, batch, now);
    }
    else if (!batch->in_flight && !cw_time_before(now, batch->due)) {
        send_batch(owner, batch, now);
    }
    return batch->in_flight ? cw_time_from_ms(INT32_MAX) : batch->due;
}

/* ---- old jobs ---- */

static void
drop_key(struct owner_batch *batch, char *key)
{
    g_ptr_array_add(batch->keys, key);
    g_ptr_array_add(batch->values, NULL);
}

/* The state goes last: its end is what makes the VMs forget the job. */
static void
drop_keys(struct owner_batch *batch, const struct cw_replica_job *job)
{
    drop_key(batch, cw_work_key(CW_WORK_KEY_SPEC, job->id));
    for (guint i = 0; i < job->cancel_keys->len; i++) {
        drop_key(batch, g_strdup(job->cancel_keys->pdata[i]));
    }
    drop_key(batch, cw_work_key(CW_WORK_KEY_RECORD, job->id));
}

void
owner_sweep(struct cw_owner *owner)
{
    int64_t before_ms = cw_clock_wall_ms(owner->options.clock) -
                        (int64_t)owner->options.retain_ms;
    GHashTable *jobs = cw_replica_jobs(owner->options.replica);
    struct owner_batch *batch;
    GHashTableIter iterator;
    gpointer value;
    unsigned count = 0;

    if (owner->batch != NULL) {
        return; /* the next sweep will do */
    }
    batch = batch_new(owner);
    g_hash_table_iter_init(&iterator, jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value) &&
           count < SWEEP_JOBS_MAX)
    {
        const struct cw_replica_job *job = value;

        if (job->ended_ms == 0 || job->ended_ms > before_ms) {
            continue;
        }
        drop_keys(batch, job);
        count++;
    }
    if (count == 0) {
        batch_release(batch);
        return;
    }
    cw_log_info("jobs_dropped", "count=%u", count);
    owner->batch = batch;
    send_batch(owner, batch, owner_now(owner));
}

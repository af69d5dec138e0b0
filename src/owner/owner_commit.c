/* Writes the owner's decisions to the store.  Orders that follow from a
 * decision are sent only once it is durable.
 *
 * The states of jobs go into a log of their own, which only a VM that takes
 * the shard over reads.  The outcome of a job, its state without its tasks, is
 * what callers query.  It goes into the log that all VMs read, with the jobs
 * and their cancellations: a few bytes whenever it changes.  The two logs are
 * written concurrently.  Sending starts and confirming ends depends on the
 * state alone; a job is over once its outcome says so. */
#include "owner/internal/owner_private.h"

#include <string.h>

#include "curlewcart/cw_handover.h"

enum {
    FLUSH_EVERY_MS = 10,
    SWEEP_JOBS_MAX = 100,
    /* States of jobs that are over are dropped with the next batch, or in a
     * batch of their own after this. */
    DROP_ALONE_MS = 1000,
    /* An owner that is yielding, or whose last confirmation is old, continues
     * until it is fenced; at this interval it appends to find out whether it
     * has been, and to tell the VM that is assigned the shard that it goes on.
     * An owner that has just taken over does the same.  A third of the age
     * that a confirmation may have, 1,150 ms with the shortest time to
     * live. */
    YIELD_CONFIRM_INTERVAL_MS = 400
};

/* ---- states ---- */

/* Marks the job's new runs: they become durable with this batch. */
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
value_bytes_max(const struct cw_owner *owner)
{
    return cw_store_value_bytes_max(owner->options.record_bytes);
}

/* Encodes the job's state.  A job whose state does not fit into a record is
 * ended, as no later owner could continue it. */
static GByteArray *
encode_state(struct cw_owner *owner, struct owner_job *job)
{
    GByteArray *state = owner_job_encode(job, value_bytes_max(owner));

    if (state != NULL) {
        return state;
    }
    cw_log_error("state_too_large", "id=%s open=%u bytes_max=%zu",
                 job->spec->id, job->open->len, value_bytes_max(owner));
    if (!cw_work_is_over(job->phase)) {
        owner_job_end(owner, job, CW_WORK_FAILED, CW_END_TOO_LARGE);
    }
    return owner_outcome_encode(job, value_bytes_max(owner));
}

static void
add_state(struct cw_owner *owner, struct owner_batch *batch,
          struct owner_job *job)
{
    GByteArray *state;

    mark_runs(owner, job);
    state = encode_state(owner, job);
    job->dirty = false;
    job->final = cw_work_is_over(job->phase);
    owner_job_publish(owner, job);
    owner_batch_add_id(batch, job->spec->id);
    owner_batch_put(batch, cw_work_key(CW_WORK_KEY_RECORD, job->spec->id),
                    state);
}

/* Queues the starts of runs whose placement is durable now. */
static void
release_runs(struct cw_owner *owner, struct owner_job *job)
{
    GPtrArray *runs = owner_job_runs(job, RUN_COMMITTING);

    for (guint i = 0; i < runs->len; i++) {
        struct owner_run *run = runs->pdata[i];
        struct cw_task_name name = owner_task_name(run->task);

        run->phase = RUN_READY;
        run->durable_at = owner_now(owner);
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
    for (guint i = 0; i < owner->ends_sent->len; i++) {
        struct owner_target *target = owner->ends_sent->pdata[i];

        target->incarnation.ends_durable = target->incarnation.ends_in_batch;
        target->poll_due = owner_now(owner);
        owner_target_wake(target);
    }
    g_ptr_array_set_size(owner->ends_sent, 0);
}

/* Assigns all applied ends to the flush that begins, as it includes their
 * effects. */
static void
collect_ends(struct cw_owner *owner)
{
    for (guint i = 0; i < owner->ends_new->len; i++) {
        struct owner_target *target = owner->ends_new->pdata[i];

        target->ends_new = false;
        target->incarnation.ends_in_batch = target->incarnation.ends_applied;
        g_ptr_array_add(owner->ends_sent, target);
    }
    g_ptr_array_set_size(owner->ends_new, 0);
}

static void
on_states_stored(void *context, struct owner_batch *batch)
{
    struct cw_owner *owner = context;
    const GPtrArray *ids = owner_batch_ids(batch);

    cw_count_latency(
        owner->options.counters, CW_LATENCY_COMMIT,
        cw_time_diff_ms(owner_batch_sent_at(batch), owner_now(owner)));
    if (owner->flush_jobs_left == 0) {
        confirm_ends(owner);
    }
    for (guint i = 0; i < ids->len; i++) {
        struct owner_job *job =
            g_hash_table_lookup(owner->jobs, ids->pdata[i]);

        if (job != NULL) {
            release_runs(owner, job);
        }
    }
}

/* Begins to write the states of all jobs that are dirty now, and with them the
 * ends applied so far.  Jobs that become dirty later stay behind them, so that
 * these ends are confirmed however often jobs change. */
static void
begin_flush(struct cw_owner *owner)
{
    owner->flush_jobs_left = owner->dirty->len;
    collect_ends(owner);
}

/* Moves states of the flush into the batch, up to its size. */
static void
add_states(struct cw_owner *owner, struct owner_batch *batch)
{
    guint taken = 0;

    while (taken < owner->flush_jobs_left && !owner_batch_is_full(batch)) {
        add_state(owner, batch, owner->dirty->pdata[taken]);
        taken++;
    }
    g_ptr_array_remove_range(owner->dirty, 0, taken);
    owner->flush_jobs_left -= taken;
}

void
owner_state_drop(struct cw_owner *owner, const char *job)
{
    g_ptr_array_add(owner->past_states, g_strdup(job));
}

static void
drop_states(struct cw_owner *owner, struct owner_batch *batch)
{
    guint taken = 0;

    while (taken < owner->past_states->len && !owner_batch_is_full(batch)) {
        owner_batch_put(
            batch,
            cw_work_key(CW_WORK_KEY_RECORD, owner->past_states->pdata[taken]),
            NULL);
        taken++;
    }
    g_ptr_array_remove_range(owner->past_states, 0, taken);
}

static struct timespec
write_states(struct cw_owner *owner, struct timespec now)
{
    struct owner_log *log = owner->states_log;
    struct owner_batch *batch;

    if (!owner_log_is_idle(log)) {
        return owner_log_tick(log, now);
    }
    if (owner->dirty->len == 0) {
        /* Nothing is dirty: the applied ends concern no job known here, and
         * are confirmed without a record. */
        collect_ends(owner);
        confirm_ends(owner);
        if (owner->past_states->len == 0 ||
            cw_time_diff_ms(owner_log_last_sent_at(log), now) < DROP_ALONE_MS)
        {
            return cw_time_from_ms(INT32_MAX);
        }
    }
    if (cw_time_before(now, owner->flush_due)) {
        return owner->flush_due;
    }
    owner->flush_due = cw_time_add_ms(now, FLUSH_EVERY_MS);
    batch = owner_batch_new(on_states_stored, owner);
    if (owner->flush_jobs_left == 0) {
        begin_flush(owner);
    }
    add_states(owner, batch);
    drop_states(owner, batch);
    owner_log_send(log, batch);
    return cw_time_from_ms(INT32_MAX);
}

/* ---- outcomes, which all VMs read ---- */

void
owner_job_publish(struct cw_owner *owner, struct owner_job *job)
{
    bool changed = job->phase != job->published_phase ||
                   job->started != job->published_started;

    if (changed && !job->unpublished) {
        job->unpublished = true;
        g_ptr_array_add(owner->unpublished, job);
    }
}

static void
on_outcomes_stored(void *context, struct owner_batch *batch)
{
    struct cw_owner *owner = context;
    const GPtrArray *ids = owner_batch_ids(batch);

    for (guint i = 0; i < ids->len; i++) {
        struct owner_job *job =
            g_hash_table_lookup(owner->jobs, ids->pdata[i]);

        if (job != NULL) {
            job->final_durable = cw_work_is_over(job->published_phase);
        }
    }
}

/* Adds a job's outcome to the batch.  The outcome of a job that is over is
 * written once: its position in the log, before or after a cancellation,
 * decides which of the two counts. */
static void
add_outcome(struct cw_owner *owner, struct owner_batch *batch,
            struct owner_job *job)
{
    job->unpublished = false;
    job->published_phase = job->phase;
    job->published_started = job->started;
    owner_batch_add_id(batch, job->spec->id);
    owner_batch_put(batch, cw_work_key(CW_WORK_KEY_RECORD, job->spec->id),
                    owner_outcome_encode(job, value_bytes_max(owner)));
}

static void
send_outcomes(struct cw_owner *owner)
{
    struct owner_batch *batch = owner_batch_new(on_outcomes_stored, owner);
    guint taken = 0;

    while (taken < owner->unpublished->len && !owner_batch_is_full(batch)) {
        add_outcome(owner, batch, owner->unpublished->pdata[taken]);
        taken++;
    }
    g_ptr_array_remove_range(owner->unpublished, 0, taken);
    owner_log_send(owner->jobs_log, batch);
}

static void
send_heartbeat(struct cw_owner *owner)
{
    struct cw_beat_record heartbeat = {.vm = owner->vm, .epoch = owner->epoch};
    struct owner_batch *batch = owner_batch_new(NULL, NULL);
    const char *id =
        owner->leave_unwritten ? CW_WORK_BEAT_LEAVES : CW_WORK_BEAT_OWNER;

    owner->leave_unwritten = false;
    owner_batch_put(batch, cw_work_key(CW_WORK_KEY_HEARTBEAT, id),
                    cw_xdr_encode((xdrproc_t)xdr_cw_beat_record, &heartbeat));
    owner_log_send(owner->jobs_log, batch);
}

/* True if this owner has lately replaced another one, so that the shard is to
 * stay here for now. */
static bool
is_settling(const struct cw_owner *owner, struct timespec now)
{
    GHashTable *epochs = cw_replica_epochs(owner->options.replica);

    return g_hash_table_size(epochs) > 1 &&
           cw_time_diff_ms(owner->fenced_at, now) < CW_HANDOVER_SETTLE_MS;
}

/* True if the owner has to find out by an append whether it was fenced. */
static bool
append_confirmation_due(const struct cw_owner *owner, struct timespec now)
{
    return (owner->yielding || is_settling(owner, now) ||
            !owner_may_order(owner, now)) &&
           cw_time_diff_ms(owner_log_last_sent_at(owner->jobs_log), now) >=
               YIELD_CONFIRM_INTERVAL_MS;
}

static struct timespec
write_outcomes(struct cw_owner *owner, struct timespec now)
{
    struct owner_log *log = owner->jobs_log;
    struct timespec due =
        cw_time_add_ms(owner_log_last_sent_at(log), FLUSH_EVERY_MS);
    bool terms_due;

    if (!owner_log_is_idle(log)) {
        return owner_log_tick(log, now);
    }
    if (owner_epochs_write_settled(owner, now)) {
        return cw_time_from_ms(INT32_MAX);
    }
    if (owner->leave_unwritten) {
        send_heartbeat(owner);
        return cw_time_from_ms(INT32_MAX);
    }
    /* With many unresponsive workers some lease note is always due.  Terms of
     * leases, and outcomes, which callers wait for, are written in turn with
     * the notes. */
    terms_due = owner_lease_terms_due(owner, now);
    if (((owner->unpublished->len == 0 && !terms_due) ||
         !owner->lease_notes_sent) &&
        owner_lease_notes_send(owner, now))
    {
        owner->lease_notes_sent = true;
        return cw_time_from_ms(INT32_MAX);
    }
    if (terms_due) {
        owner->lease_notes_sent = owner->unpublished->len > 0;
        owner_lease_terms_send(owner, now);
        return cw_time_from_ms(INT32_MAX);
    }
    if (owner->unpublished->len > 0 && cw_time_before(now, due)) {
        return due;
    }
    if (owner->unpublished->len > 0) {
        owner->lease_notes_sent = false;
        send_outcomes(owner);
    }
    else if (owner_candidacy_heartbeat_due(owner, now) ||
             append_confirmation_due(owner, now))
    {
        send_heartbeat(owner);
    }
    return cw_time_from_ms(INT32_MAX);
}

struct timespec
owner_commit_tick(struct cw_owner *owner, struct timespec now)
{
    struct timespec next = write_states(owner, now);

    cw_time_set_earlier(&next, write_outcomes(owner, now));
    return next;
}

/* ---- old jobs ---- */

/* Drops the job's records.  The outcome is dropped last: a VM removes the job
 * when it reads that. */
static void
drop_keys(struct owner_batch *batch, const struct cw_replica_job *job)
{
    owner_batch_put(batch, cw_work_key(CW_WORK_KEY_SPEC, job->id), NULL);
    for (guint i = 0; i < job->cancel_keys->len; i++) {
        owner_batch_put(batch, g_strdup(job->cancel_keys->pdata[i]), NULL);
    }
    for (guint i = 0; i < job->hint_keys->len; i++) {
        owner_batch_put(batch, g_strdup(job->hint_keys->pdata[i]), NULL);
    }
    owner_batch_put(batch, cw_work_key(CW_WORK_KEY_RECORD, job->id), NULL);
}

/* True if the job's records may be dropped: it ended long ago, or it was
 * cancelled and never stored, no write of it can be in flight any more, and
 * this owner has no runs of it left, which would borrow its specification. */
static bool
is_past(const struct cw_owner *owner, const struct cw_replica_job *job)
{
    int64_t retain_ms = owner->options.retain_ms;

    if (g_hash_table_contains(owner->jobs, job->id)) {
        return false;
    }
    if (job->spec == NULL && job->record == NULL && job->cancel_keys->len > 0)
    {
        return cw_time_diff_ms(job->first_read_at, owner_now(owner)) >
               retain_ms;
    }
    return job->ended_ms != 0 &&
           job->ended_ms <= cw_clock_wall_ms(owner->options.clock) - retain_ms;
}

bool
owner_drop_old_records(struct cw_owner *owner)
{
    GHashTable *jobs = cw_replica_jobs(owner->options.replica);
    struct owner_batch *batch;
    GHashTableIter iterator;
    gpointer value;
    unsigned count = 0;

    if (!owner_log_is_idle(owner->jobs_log)) {
        return true;
    }
    batch = owner_batch_new(NULL, NULL);
    g_hash_table_iter_init(&iterator, jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value) &&
           count < SWEEP_JOBS_MAX)
    {
        const struct cw_replica_job *job = value;

        if (!is_past(owner, job)) {
            continue;
        }
        drop_keys(batch, job);
        count++;
    }
    if (count == 0) {
        owner_batch_free(batch);
        return false;
    }
    cw_log_info("jobs_dropped", "count=%u", count);
    owner_log_send(owner->jobs_log, batch);
    return count == SWEEP_JOBS_MAX;
}

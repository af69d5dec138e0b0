/* Hinted handoff: passes ends of runs that an owner received and could not
 * store to the next owner.
 *
 * An owner that is disconnected from the store continues to poll workers, but
 * loses the ends that they list when it loses ownership.  If a worker has shut
 * down by then, no other VM can receive these ends, and the tasks run a second
 * time once the worker's lease has expired.  Such ends are therefore appended
 * to the log of jobs as soon as the store can be reached; any VM may do that.
 * The number of a run is never reused, so that a hint stays valid whenever it
 * is read. */
#include "owner/internal/owner_private.h"

#include <string.h>

enum {
    /* An older end is stored, or the VM has been disconnected for longer than
     * any worker's lease lasts and the hint would come too late. */
    END_AGE_MAX_MS = 30000,
    ENDS_MAX = 4096,
    JOBS_PER_APPEND_MAX = 256,
    /* An append of this size, and one end more, fits into a datagram, in which
     * a VM that the store refuses sends it through another VM. */
    APPEND_BYTES_MAX = 32 * 1024,
    /* A longer checkpoint is left out of its hint. */
    CHECKPOINT_BYTES_MAX = 16 * 1024,
    /* Size of an end without its texts, and of its record without ends. */
    END_BYTES = 64,
    RECORD_BYTES = 64,
    RETRY_MS = 300,
    APPEND_TIMEOUT_MS = 1500
};

/* An end that was applied. */
struct end {
    struct timespec applied_at;
    char *worker;
    int64_t boot_ms; /* of the worker's incarnation */
    char *job;
    struct cw_ended ended; /* borrows its texts from `job` and `saved` */
    char *saved;
};

/* An append in flight; it may outlive the owner. */
struct call {
    struct owner_hints *hints; /* NULL once the owner is gone */
    unsigned ends;
};

struct owner_hints {
    GQueue applied; /* struct end: may not be stored yet */
    GQueue unsent;  /* struct end: to be appended as hints */
    struct call *call;
    struct timespec due;
};

static void
end_free(gpointer data)
{
    struct end *end = data;

    g_free(end->worker);
    g_free(end->job);
    g_free(end->saved);
    g_free(end);
}

struct owner_hints *
owner_hints_create(void)
{
    struct owner_hints *hints = g_new0(struct owner_hints, 1);

    g_queue_init(&hints->applied);
    g_queue_init(&hints->unsent);
    return hints;
}

void
owner_hints_free(struct owner_hints *hints)
{
    if (hints->call != NULL) {
        hints->call->hints = NULL;
    }
    g_queue_clear_full(&hints->applied, end_free);
    g_queue_clear_full(&hints->unsent, end_free);
    g_free(hints);
}

/* ---- while this VM is the owner ---- */

static void
drop_old(GQueue *ends, struct timespec now)
{
    const struct end *oldest = g_queue_peek_head(ends);

    while (oldest != NULL &&
           (cw_time_diff_ms(oldest->applied_at, now) > END_AGE_MAX_MS ||
            g_queue_get_length(ends) > ENDS_MAX))
    {
        end_free(g_queue_pop_head(ends));
        oldest = g_queue_peek_head(ends);
    }
}

void
owner_hints_add_end(struct owner_target *target, const struct cw_ended *ended)
{
    struct cw_owner *owner = target->owner;
    struct end *end = g_new0(struct end, 1);

    end->applied_at = owner_now(owner);
    end->worker = g_strdup(target->id);
    end->boot_ms = target->incarnation.boot_ms;
    end->job = g_strdup(ended->task.job);
    end->saved = g_strdup(ended->saved != NULL ? ended->saved : "");
    end->ended = *ended;
    end->ended.task.job = end->job;
    end->ended.saved = end->saved;
    g_queue_push_tail(&owner->hints->applied, end);
    drop_old(&owner->hints->applied, end->applied_at);
}

/* True if the next owner receives the end without a hint: the end is stored,
 * or its worker is not draining and lists the end until it is stored.  All VMs
 * read hints, so that thousands of ends after an outage must not become hints.
 */
static bool
needs_no_hint(const struct cw_owner *owner, const struct end *end)
{
    const struct owner_target *target =
        g_hash_table_lookup(owner->targets, end->worker);

    if (target == NULL || target->incarnation.boot_ms != end->boot_ms) {
        return false;
    }
    return end->ended.number <= target->incarnation.ends_durable ||
           (target->listed && !target->draining && !target->superseded);
}

void
owner_hints_queue_unstored(struct cw_owner *owner)
{
    struct owner_hints *hints = owner->hints;
    struct end *end;

    drop_old(&hints->applied, owner_now(owner));
    while ((end = g_queue_pop_head(&hints->applied)) != NULL) {
        if (needs_no_hint(owner, end)) {
            end_free(end);
        }
        else {
            g_queue_push_tail(&hints->unsent, end);
        }
    }
}

/* ---- appending hints ---- */

/* Adds the end to those of its job; returns its size in the append. */
static size_t
add_end(GArray *ends, const struct end *end)
{
    bool fits = strlen(end->saved) <= CHECKPOINT_BYTES_MAX;
    struct cw_hint_end row = {
        .worker = end->worker,
        .occurrence = end->ended.task.occurrence,
        .step = end->ended.task.step,
        .index = end->ended.task.index,
        .run = end->ended.run,
        .how = end->ended.how,
        .saved = fits ? end->saved : (char *)"",
    };

    g_array_append_val(ends, row);
    return END_BYTES + strlen(row.worker) + strlen(row.saved);
}

static void
free_ends(gpointer ends)
{
    g_array_free(ends, TRUE);
}

/* The ends to append, by job: job -> GArray of struct cw_hint_end.  Borrows
 * from the ends; `taken` becomes how many of them, from the first on. */
static GHashTable *
group_by_job(const struct owner_hints *hints, unsigned *taken)
{
    GHashTable *jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_ends);
    size_t bytes = 0;

    *taken = 0;
    for (GList *link = hints->unsent.head;
         link != NULL && bytes < APPEND_BYTES_MAX; link = link->next)
    {
        const struct end *end = link->data;
        GArray *ends = g_hash_table_lookup(jobs, end->job);

        if (ends == NULL) {
            if (g_hash_table_size(jobs) == JOBS_PER_APPEND_MAX) {
                break;
            }
            ends = g_array_new(FALSE, FALSE, sizeof(struct cw_hint_end));
            g_hash_table_insert(jobs, end->job, ends);
            bytes += RECORD_BYTES;
        }
        bytes += add_end(ends, end);
        (*taken)++;
    }
    return jobs;
}

static void
on_appended(void *context, const struct cw_store_append_result *result)
{
    struct call *call = context;
    struct owner_hints *hints = call->hints;

    if (hints == NULL) {
        g_free(call);
        return;
    }
    hints->call = NULL;
    if (result->status == CW_STORE_OK) {
        cw_log_info("ends_handed_over", "ends=%u offset=%" PRIu64, call->ends,
                    result->first);
        for (unsigned i = 0; i < call->ends; i++) {
            end_free(g_queue_pop_head(&hints->unsent));
        }
    }
    g_free(call);
}

/* A unique key for a hint on the job: hints of other VMs are not replaced. */
static char *
hint_key(const char *job)
{
    char *key = cw_work_key(CW_WORK_KEY_HINT, job);
    char *unique = g_strdup_printf("%s.%08x", key, g_random_int());

    g_free(key);
    return unique;
}

static void
send_hints(struct cw_owner *owner)
{
    struct owner_hints *hints = owner->hints;
    struct call *call = g_new0(struct call, 1);
    GHashTable *jobs = group_by_job(hints, &call->ends);
    GArray *records =
        g_array_new(FALSE, FALSE, sizeof(struct cw_store_record));
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *values =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    struct cw_store_append append = {.topic = CW_JOBS_TOPIC,
                                     .partition = owner->options.partition,
                                     .timeout_ms = APPEND_TIMEOUT_MS,
                                     .done = on_appended,
                                     .context = call};
    GHashTableIter iterator;
    gpointer job;
    gpointer value;

    g_hash_table_iter_init(&iterator, jobs);
    while (g_hash_table_iter_next(&iterator, &job, &value)) {
        GArray *ends = value;
        struct cw_hint_record hint = {
            .ends = {.ends_len = ends->len, .ends_val = (void *)ends->data}};
        GByteArray *bytes =
            cw_xdr_encode((xdrproc_t)xdr_cw_hint_record, &hint);
        struct cw_store_record record = {
            .key = hint_key(job), .value = bytes->data, .length = bytes->len};

        g_ptr_array_add(keys, (gpointer)record.key);
        g_ptr_array_add(values, bytes);
        g_array_append_val(records, record);
    }
    append.records = (const struct cw_store_record *)records->data;
    append.count = records->len;
    call->hints = hints;
    hints->call = call;
    owner->options.store->ops->append(owner->options.store, &append);
    g_array_unref(records);
    g_ptr_array_unref(keys);
    g_ptr_array_unref(values);
    g_hash_table_unref(jobs);
}

struct timespec
owner_hints_tick(struct cw_owner *owner, struct timespec now)
{
    struct owner_hints *hints = owner->hints;

    if (hints->call != NULL) {
        return cw_time_from_ms(INT32_MAX);
    }
    drop_old(&hints->unsent, now);
    if (g_queue_is_empty(&hints->unsent)) {
        return cw_time_from_ms(INT32_MAX);
    }
    if (!cw_time_before(now, hints->due)) {
        hints->due = cw_time_add_ms(now, RETRY_MS);
        send_hints(owner);
    }
    return hints->due;
}

/* ---- takeover ---- */

static void
apply_end(struct cw_owner *owner, const char *job,
          const struct cw_hint_end *hint)
{
    struct owner_target *target =
        g_hash_table_lookup(owner->targets, hint->worker);
    struct cw_ended ended = {
        .task = {.job = job,
                 .occurrence = hint->occurrence,
                 .step = hint->step,
                 .index = hint->index},
        .run = hint->run,
        .how = (enum cw_end_kind)hint->how,
        .saved = hint->saved,
    };
    struct owner_task *task = owner_task_find(owner, &ended.task);

    if (task == NULL) {
        return; /* its job, or its occurrence, is over */
    }
    if (target != NULL) {
        owner_run_ended(owner, target, &ended);
    }
    else if (ended.how == CW_END_KIND_DONE) {
        owner_task_done_late(owner, task);
    }
}

void
owner_hint_apply(struct cw_owner *owner, const char *job,
                 const struct cw_hint_record *hint)
{
    for (u_int i = 0; i < hint->ends.ends_len; i++) {
        if (hint->ends.ends_val[i].how <= CW_END_KIND_GANG_INCOMPLETE) {
            apply_end(owner, job, &hint->ends.ends_val[i]);
        }
    }
}

void
owner_hints_apply_all(struct cw_owner *owner)
{
    GHashTable *jobs = cw_replica_jobs(owner->options.replica);
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct cw_replica_job *job = value;

        for (guint i = 0; i < job->hints->len; i++) {
            owner_hint_apply(owner, job->id, job->hints->pdata[i]);
        }
    }
}

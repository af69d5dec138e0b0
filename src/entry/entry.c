/* Callers' requests: access checks, submissions and cancellations until the
 * store has confirmed them, and queries. */
#include "curlewcart/cw_entry.h"

#include <inttypes.h>
#include <string.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_xdr.h"

enum {
    /* With older data this VM reports neither that a job does not exist nor
     * the number of waiting jobs; callers accept data that is 2 s old. */
    FRESH_MAX_AGE_MS = 2000,
    /* With older data this VM is not ready: callers go to another VM. */
    READY_MAX_AGE_MS = 2500,
    APPEND_TIMEOUT_MS = 700,
    /* Also the interval at which waiting cancellations are checked. */
    RETRY_MIN_MS = 60,
    RETRY_MAX_MS = 400,
    PENDING_MAX = 2000,
    /* A read takes about 5 ms, and 250 ms while the store is slow.  If it
     * takes longer than this, a query is answered from the replica as it is.
     */
    QUERY_WAIT_MAX_MS = 400
};

/* A submission or cancellation in progress. */
struct change {
    struct cw_entry *entry;
    enum cw_work_key kind;
    char *id;
    GByteArray *value;
    char *queue;
    char *account; /* of a cancellation; NULL: any, as the queue is open */
    cw_entry_done done;
    void *context;
    struct timespec began;
    struct timespec deadline;
    struct timespec due;
    unsigned tries;
    unsigned retry_ms;
    bool in_flight;
    bool answered;        /* the caller was answered, an append is in flight */
    bool outcome_unknown; /* an append got no answer: the change may be stored
                           */
    bool stored; /* a cancellation's record is in the log at `stored_offset`;
                    the caller is answered once the replica has read it */
    uint64_t stored_offset;
    bool awaits_read; /* the cancelled job is not in the replica, which first
                         has to read newer records */
    bool job_unknown; /* a cancellation: the job was not in the replica after
                         that either */
    struct timespec awaits_read_since;
    enum cw_store_status last_status;
};

/* A query that waits for a read of the store. */
struct query {
    char *id;
    char *queue;
    char *account; /* NULL: any */
    cw_entry_answered on_answer;
    void *context;
    struct timespec received_at;
};

struct cw_entry {
    struct cw_entry_options options;
    struct cw_routing *routing;
    GPtrArray *changes; /* struct change */
    GPtrArray *queries; /* struct query */
    bool shutting_down; /* not ready; pending requests are completed */
    bool isolated;
};

static void
change_free(struct change *change)
{
    g_free(change->id);
    g_free(change->queue);
    g_free(change->account);
    g_byte_array_unref(change->value);
    g_free(change);
}

static void
query_free(gpointer data)
{
    struct query *query = data;

    g_free(query->id);
    g_free(query->queue);
    g_free(query->account);
    g_free(query);
}

struct cw_entry *
cw_entry_create(const struct cw_entry_options *options)
{
    struct cw_entry *entry = g_new0(struct cw_entry, 1);

    entry->options = *options;
    entry->changes = g_ptr_array_new();
    entry->queries = g_ptr_array_new_with_free_func(query_free);
    return entry;
}

void
cw_entry_free(struct cw_entry *entry)
{
    if (entry != NULL) {
        /* Callers that wait are not answered, as their connections close when
         * the process exits. */
        for (guint i = 0; i < entry->changes->len; i++) {
            change_free(entry->changes->pdata[i]);
        }
        g_ptr_array_unref(entry->changes);
        g_ptr_array_unref(entry->queries);
        cw_routing_unref(entry->routing);
        g_free(entry);
    }
}

void
cw_entry_configure(struct cw_entry *entry, struct cw_routing *routing)
{
    cw_routing_unref(entry->routing);
    entry->routing = cw_routing_ref(routing);
}

struct cw_routing *
cw_entry_routing(const struct cw_entry *entry)
{
    return entry->routing;
}

enum cw_result
cw_entry_resolve(struct cw_entry *entry, const char *host, const char *path,
                 const char *key, struct cw_entry_route *route)
{
    if (entry->routing == NULL) {
        return CW_REF_NO_BUNDLE;
    }
    route->queue =
        cw_routing_find_queue(entry->routing, host != NULL ? host : "", path);
    if (route->queue == NULL) {
        return CW_E_NOT_FOUND;
    }
    route->account =
        key != NULL ? cw_routing_account_by_key(entry->routing, key) : NULL;
    if (route->account == NULL && !route->queue->open) {
        return CW_REF_TOKEN;
    }
    route->id = path + strlen(route->queue->prefix);
    return CW_OK;
}

/* ---- changes ---- */

/* Answers the caller; frees the change unless an append is in flight. */
static void
conclude(struct change *change, enum cw_entry_outcome outcome)
{
    static const char *const names[] = {"stored", "not_done",  "unsure",
                                        "no_job", "other_job", "too_large"};
    struct cw_entry *entry = change->entry;
    struct timespec now = cw_clock_now(entry->options.clock);

    cw_log_info(change->kind == CW_WORK_KEY_SPEC ? "submit" : "cancel",
                "id=%s queue=%s outcome=%s tries=%u took_ms=%" PRId64
                " config=%" PRIu64 " store=%s",
                change->id, change->queue, names[outcome], change->tries,
                cw_time_diff_ms(change->began, now),
                entry->routing != NULL ? entry->routing->version : 0,
                cw_store_status_name(change->last_status));
    cw_count_latency(entry->options.counters, CW_LATENCY_STORED,
                     cw_time_diff_ms(change->began, now));
    if (outcome == CW_ENTRY_NOT_DONE) {
        cw_count_code(entry->options.counters, CW_REF_LOG_AWAY);
    }
    else if (outcome == CW_ENTRY_UNCONFIRMED) {
        cw_count_code(entry->options.counters, CW_REF_UNSURE);
    }
    change->done(change->context, outcome);
    change->answered = true;
    if (!change->in_flight) {
        g_ptr_array_remove_fast(entry->changes, change);
        change_free(change);
    }
}

static void
give_up(struct change *change)
{
    conclude(change, change->outcome_unknown ? CW_ENTRY_UNCONFIRMED
                                             : CW_ENTRY_NOT_DONE);
}

/* Answers a cancellation that is in the log once the replica has read its
 * record.  Only then is it known whether the cancellation takes effect, as the
 * job may have ended earlier in the log. */
static void
check_cancel(struct change *change)
{
    struct cw_replica *replica = change->entry->options.replica;
    const struct cw_replica_job *job;

    if (cw_follower_position(cw_replica_follower(replica)) <=
        change->stored_offset)
    {
        return;
    }
    job = cw_replica_find_job(replica, change->id);
    if (job != NULL && job->spec != NULL &&
        cw_replica_phase(job) == CW_WORK_CANCELLED)
    {
        conclude(change, CW_ENTRY_STORED);
    }
    else {
        conclude(change, CW_ENTRY_NO_JOB);
    }
}

static void
change_stored(struct change *change, uint64_t offset)
{
    /* Reads at once: the change is visible on this VM only after it was read.
     */
    cw_follower_read_now(cw_replica_follower(change->entry->options.replica));
    if (change->answered) {
        g_ptr_array_remove_fast(change->entry->changes, change);
        change_free(change);
    }
    else if (change->kind == CW_WORK_KEY_CANCEL) {
        change->stored = true;
        change->stored_offset = offset;
        check_cancel(change);
    }
    else {
        conclude(change, CW_ENTRY_STORED);
    }
}

static void
on_appended(void *context, const struct cw_store_append_result *result)
{
    struct change *change = context;
    struct timespec now = cw_clock_now(change->entry->options.clock);

    change->in_flight = false;
    change->last_status = result->status;
    if (result->status == CW_STORE_OK) {
        change_stored(change, result->first);
        return;
    }
    if (change->answered) {
        g_ptr_array_remove_fast(change->entry->changes, change);
        change_free(change);
        return;
    }
    if (result->status == CW_STORE_UNKNOWN) {
        change->outcome_unknown = true;
    }
    cw_count_code(change->entry->options.counters, CW_RETRY_APPEND);
    change->retry_ms = CLAMP(change->retry_ms * 2, RETRY_MIN_MS, RETRY_MAX_MS);
    change->due = cw_time_add_ms(now, change->retry_ms);
    if (!cw_time_before(change->due, change->deadline)) {
        give_up(change);
    }
}

/* Returns the key of the change's record.  Each attempt to cancel has its own
 * key, so that it does not replace an earlier attempt, whose offset decides
 * whether the cancellation takes effect. */
static char *
change_key(const struct change *change)
{
    char *key = cw_work_key(
        change->job_unknown ? CW_WORK_KEY_UNKNOWN : change->kind, change->id);
    char *attempt;

    if (change->kind != CW_WORK_KEY_CANCEL) {
        return key;
    }
    attempt = g_strdup_printf("%s.%08x", key, g_random_int());
    g_free(key);
    return attempt;
}

static void
send_change(struct change *change, struct timespec now)
{
    struct cw_store *store = change->entry->options.store;
    int64_t left = cw_time_diff_ms(now, change->deadline);
    char *key = change_key(change);
    struct cw_store_record record = {
        .key = key,
        .value = change->value->data,
        .length = change->value->len,
    };
    struct cw_store_append call = {
        .topic = CW_JOBS_TOPIC,
        .records = &record,
        .count = 1,
        .timeout_ms = (unsigned)CLAMP(left, 1, APPEND_TIMEOUT_MS),
        .done = on_appended,
        .context = change,
    };

    change->in_flight = true;
    change->tries++;
    store->ops->append(store, &call);
    g_free(key);
}

static struct change *
change_new(struct cw_entry *entry, enum cw_work_key kind, const char *id,
           const char *queue, unsigned budget_ms)
{
    struct change *change = g_new0(struct change, 1);

    change->entry = entry;
    change->kind = kind;
    change->id = g_strdup(id);
    change->queue = g_strdup(queue);
    change->began = cw_clock_now(entry->options.clock);
    change->deadline = cw_time_add_ms(change->began, budget_ms);
    change->due = change->began;
    g_ptr_array_add(entry->changes, change);
    return change;
}

static void
spec_free(struct cw_work_spec *spec)
{
    xdr_free((xdrproc_t)xdr_cw_work_spec, (char *)spec);
    g_free(spec);
}

void
cw_entry_refused(struct cw_entry *entry, const struct cw_entry_route *route,
                 enum cw_result code, const char *detail)
{
    cw_count_code(entry->options.counters, code);
    cw_log_info("submit", "id=%s queue=%s outcome=%s detail=\"%s\"", route->id,
                route->queue->name, cw_result_name(code), detail);
}

/* Encodes the specification; NULL if it does not fit into a record. */
static GByteArray *
encode_spec(const struct cw_entry *entry, const struct cw_work_spec *spec)
{
    size_t bytes_max = cw_store_value_bytes_max(entry->options.record_bytes);
    GByteArray *bytes = cw_xdr_encode((xdrproc_t)xdr_cw_work_spec, spec);

    if (bytes == NULL || bytes->len > bytes_max) {
        cw_count_code(entry->options.counters, CW_REF_TOO_LARGE);
        cw_log_info("submit",
                    "id=%s queue=%s outcome=too_large bytes=%u bytes_max=%zu",
                    spec->id, spec->queue, bytes != NULL ? bytes->len : 0,
                    bytes_max);
        if (bytes != NULL) {
            g_byte_array_unref(bytes);
        }
        return NULL;
    }
    return bytes;
}

void
cw_entry_submit(struct cw_entry *entry, struct cw_work_spec *spec,
                unsigned budget_ms, cw_entry_done done, void *context)
{
    const struct cw_replica_job *known =
        cw_replica_find_job(entry->options.replica, spec->id);
    struct change *change;
    GByteArray *value;

    cw_count_add(entry->options.counters, CW_COUNT_SUBMITTED, 1);
    if (known != NULL && known->spec != NULL) {
        bool same = known->spec->body_hash == spec->body_hash &&
                    strcmp(known->spec->account, spec->account) == 0;

        cw_log_info("submit", "id=%s queue=%s outcome=%s known_at=%" PRIu64,
                    spec->id, spec->queue, same ? "known" : "other_job",
                    known->spec_offset);
        spec_free(spec);
        done(context, same ? CW_ENTRY_STORED : CW_ENTRY_OTHER_JOB);
        return;
    }
    if (entry->changes->len >= PENDING_MAX || entry->isolated) {
        cw_count_code(entry->options.counters,
                      entry->isolated ? CW_REF_LOG_AWAY : CW_REF_GATE);
        cw_log_info(
            "submit", "id=%s queue=%s outcome=not_done pending=%u isolated=%d",
            spec->id, spec->queue, entry->changes->len, entry->isolated);
        spec_free(spec);
        done(context, CW_ENTRY_NOT_DONE);
        return;
    }
    value = encode_spec(entry, spec);
    if (value == NULL) {
        spec_free(spec);
        done(context, CW_ENTRY_TOO_LARGE);
        return;
    }
    change =
        change_new(entry, CW_WORK_KEY_SPEC, spec->id, spec->queue, budget_ms);
    change->value = value;
    change->done = done;
    change->context = context;
    spec_free(spec);
    send_change(change, change->began);
}

/* ---- cancellation ---- */

/* Returns the job with this id if it is in the queue and belongs to the
 * account, or NULL.  A NULL `account` matches any account. */
static const struct cw_replica_job *
find_job(const struct cw_entry *entry, const char *id, const char *queue,
         const char *account)
{
    const struct cw_replica_job *job =
        cw_replica_find_job(entry->options.replica, id);

    if (job == NULL || job->spec == NULL ||
        strcmp(job->spec->queue, queue) != 0) {
        return NULL;
    }
    if (account != NULL && strcmp(job->spec->account, account) != 0) {
        return NULL;
    }
    return job;
}

static const char *
account_name(const struct cw_entry_route *route)
{
    return route->account != NULL ? route->account->name : NULL;
}

/* If the job has ended or was cancelled, so that no record has to be appended,
 * answers the cancellation and returns true. */
static bool
conclude_if_over(struct change *change, const struct cw_replica_job *job)
{
    unsigned phase = cw_replica_phase(job);

    if (phase == CW_WORK_CANCELLED) {
        conclude(change, CW_ENTRY_STORED);
        return true;
    }
    if (cw_work_is_over(phase)) {
        conclude(change, CW_ENTRY_NO_JOB);
        return true;
    }
    return false;
}

void
cw_entry_cancel(struct cw_entry *entry, const struct cw_entry_route *route,
                unsigned budget_ms, cw_entry_done done, void *context)
{
    struct change *change = change_new(entry, CW_WORK_KEY_CANCEL, route->id,
                                       route->queue->name, budget_ms);
    const struct cw_replica_job *job;

    change->value = g_byte_array_new();
    g_byte_array_append(change->value, (const guint8 *)"1", 1);
    change->done = done;
    change->context = context;
    change->account = g_strdup(account_name(route));
    job = find_job(entry, change->id, change->queue, change->account);
    if (job == NULL) {
        /* Another VM may have stored the job a moment ago. */
        change->awaits_read = true;
        change->awaits_read_since = change->began;
        cw_follower_read_now(cw_replica_follower(entry->options.replica));
        return;
    }
    if (!conclude_if_over(change, job)) {
        send_change(change, change->began);
    }
}

/* Stores the cancellation of a job that is not known.  A write of the job may
 * be in flight, and take effect after the caller was told that there is no
 * such job. */
static void
cancel_unknown(struct change *change, struct timespec now)
{
    struct cw_cancel_record record = {
        .queue = change->queue,
        .any_account = change->account == NULL,
        .account = change->account != NULL ? change->account : (char *)""};

    g_byte_array_unref(change->value);
    change->value = cw_xdr_encode((xdrproc_t)xdr_cw_cancel_record, &record);
    g_assert(change->value != NULL);
    change->job_unknown = true;
    change->awaits_read = false;
    send_change(change, now);
}

/* True if no record has to be stored for a cancellation whose job is not
 * known: the id belongs to another caller's job, or an earlier request was the
 * same. */
static bool
is_settled(const struct change *change)
{
    const struct cw_replica_job *other =
        cw_replica_find_job(change->entry->options.replica, change->id);

    return other != NULL &&
           (other->spec != NULL ||
            cw_replica_cancels_unknown(other, change->queue, change->account));
}

/* Looks up the job of a cancellation again, if the job was not known before.
 */
static void
recheck_cancel(struct change *change, struct timespec now)
{
    struct cw_replica *replica = change->entry->options.replica;
    const struct cw_replica_job *job =
        find_job(change->entry, change->id, change->queue, change->account);
    struct timespec fresh =
        cw_follower_fresh_as_of(cw_replica_follower(replica));

    if (job != NULL) {
        change->awaits_read = false;
        if (!conclude_if_over(change, job)) {
            send_change(change, now);
        }
    }
    else if (!cw_time_before(fresh, change->awaits_read_since)) {
        if (is_settled(change)) {
            conclude(change, CW_ENTRY_NO_JOB);
        }
        else {
            cancel_unknown(change, now);
        }
    }
    else if (!cw_time_before(now, change->deadline)) {
        give_up(change);
    }
}

/* ---- queries ---- */

static bool
is_fresh(const struct cw_entry *entry, int64_t max_age_ms)
{
    const struct cw_follower *follower =
        cw_replica_follower(entry->options.replica);
    struct timespec now = cw_clock_now(entry->options.clock);

    return cw_follower_loaded(follower) &&
           cw_time_diff_ms(cw_follower_fresh_as_of(follower), now) <=
               max_age_ms;
}

static enum cw_result
look_up_phase(const struct cw_entry *entry, const char *id, const char *queue,
              const char *account, unsigned *phase)
{
    const struct cw_replica_job *job = find_job(entry, id, queue, account);

    if (job != NULL) {
        *phase = cw_replica_phase(job);
        return entry->isolated && !cw_work_is_over(*phase) ? CW_REF_NO_LEDGER
                                                           : CW_OK;
    }
    return is_fresh(entry, FRESH_MAX_AGE_MS) ? CW_E_NOT_FOUND
                                             : CW_REF_NO_LEDGER;
}

enum cw_result
cw_entry_query(struct cw_entry *entry, const struct cw_entry_route *route,
               unsigned *phase)
{
    return look_up_phase(entry, route->id, route->queue->name,
                         account_name(route), phase);
}

/* ---- queries that read the store first ---- */

void
cw_entry_query_fresh(struct cw_entry *entry,
                     const struct cw_entry_route *route,
                     cw_entry_answered on_answer, void *context)
{
    struct cw_follower *follower = cw_replica_follower(entry->options.replica);
    unsigned phase = CW_WORK_WAITING;
    enum cw_result result = cw_entry_query(entry, route, &phase);
    struct query *query;

    if ((result == CW_OK && cw_work_is_over(phase)) || entry->isolated ||
        cw_follower_is_current(follower) || entry->queries->len >= PENDING_MAX)
    {
        on_answer(context, result, phase);
        return;
    }
    query = g_new0(struct query, 1);
    query->id = g_strdup(route->id);
    query->queue = g_strdup(route->queue->name);
    query->account = g_strdup(account_name(route));
    query->on_answer = on_answer;
    query->context = context;
    query->received_at = cw_clock_now(entry->options.clock);
    g_ptr_array_add(entry->queries, query);
    cw_follower_read_now(follower);
}

static void
answer_query(struct cw_entry *entry, const struct query *query)
{
    unsigned phase = CW_WORK_WAITING;
    enum cw_result result =
        look_up_phase(entry, query->id, query->queue, query->account, &phase);

    query->on_answer(query->context, result, phase);
}

/* Answers the queries whose read is complete, or that have waited for
 * QUERY_WAIT_MAX_MS. */
static void
answer_queries(struct cw_entry *entry, struct timespec now,
               struct timespec *next)
{
    const struct cw_follower *follower =
        cw_replica_follower(entry->options.replica);
    struct timespec fresh = cw_follower_fresh_as_of(follower);
    bool current = cw_follower_is_current(follower);

    for (guint i = entry->queries->len; i > 0; i--) {
        struct query *query = entry->queries->pdata[i - 1];
        struct timespec deadline =
            cw_time_add_ms(query->received_at, QUERY_WAIT_MAX_MS);

        if (current || !cw_time_before(fresh, query->received_at) ||
            !cw_time_before(now, deadline))
        {
            answer_query(entry, query);
            g_ptr_array_remove_index_fast(entry->queries, i - 1);
        }
        else {
            cw_time_set_earlier(next, deadline);
        }
    }
}

enum cw_result
cw_entry_count_waiting(struct cw_entry *entry, const struct cw_queue *queue,
                       unsigned *count)
{
    if (!is_fresh(entry, FRESH_MAX_AGE_MS)) {
        return CW_REF_NO_LEDGER;
    }
    *count =
        cw_replica_count_waiting(entry->options.replica, queue->name, NULL);
    return CW_OK;
}

bool
cw_entry_is_ready(struct cw_entry *entry)
{
    return !entry->shutting_down && !entry->isolated &&
           entry->routing != NULL && is_fresh(entry, READY_MAX_AGE_MS);
}

void
cw_entry_set_isolated(struct cw_entry *entry, bool isolated)
{
    entry->isolated = isolated;
}

void
cw_entry_begin_shutdown(struct cw_entry *entry)
{
    entry->shutting_down = true;
}

bool
cw_entry_is_shutting_down(const struct cw_entry *entry)
{
    return entry->shutting_down;
}

unsigned
cw_entry_pending(const struct cw_entry *entry)
{
    return entry->changes->len + entry->queries->len;
}

struct timespec
cw_entry_tick(struct cw_entry *entry, struct timespec now)
{
    struct timespec next = cw_time_from_ms(INT32_MAX);

    answer_queries(entry, now, &next);
    /* Backwards, as concluding a change removes it from the array. */
    for (guint i = entry->changes->len; i > 0; i--) {
        struct change *change = entry->changes->pdata[i - 1];

        if (change->answered) {
            continue;
        }
        if (change->in_flight) {
            /* Answers the caller in time though an append is in flight. */
            if (!cw_time_before(now, change->deadline)) {
                change->outcome_unknown = true;
                give_up(change);
            }
            else {
                cw_time_set_earlier(&next, change->deadline);
            }
        }
        else if (change->stored) {
            cw_time_set_earlier(&next, cw_time_add_ms(now, RETRY_MIN_MS));
            if (!cw_time_before(now, change->deadline)) {
                /* The cancellation is stored, but the replica has not read
                 * whether it takes effect. */
                change->outcome_unknown = true;
                give_up(change);
            }
            else {
                check_cancel(change);
            }
        }
        else if (entry->isolated) {
            give_up(change);
        }
        else if (change->awaits_read) {
            cw_time_set_earlier(&next, cw_time_add_ms(now, RETRY_MIN_MS));
            recheck_cancel(change, now);
        }
        else if (!cw_time_before(now, change->due)) {
            send_change(change, now);
        }
        else {
            cw_time_set_earlier(&next, change->due);
        }
    }
    return next;
}

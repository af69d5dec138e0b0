/* Fenced appends to one topic, one at a time, each retried until stored. */
#include "owner/internal/owner_log.h"

#include <inttypes.h>
#include <string.h>

#include "curlewcart/cw_log.h"

enum {
    /* An append takes a few ms, and up to 250 ms while the store is slow; a
     * broken connection is detected after this time. */
    APPEND_TIMEOUT_MS = 900,
    RETRY_MS = 80,
    /* A VM that the store turns away sends its appends through another VM, in
     * a datagram of at most CW_RELAY_BYTES_MAX.  A batch never shrinks once it
     * was sent, because it may have been stored.  The rest is left for the
     * last record. */
    BATCH_BYTES_MAX = 32 * 1024,
    /* Lengths, offset and padding of a record in such a datagram. */
    RECORD_OVERHEAD_BYTES = 24
};

struct owner_batch {
    struct owner_log *log; /* NULL: not sent, or the log was closed */
    owner_batch_stored stored;
    void *context;
    GPtrArray *ids;    /* char *, of jobs or workers */
    GPtrArray *keys;   /* char *, of the records */
    GPtrArray *values; /* GByteArray *, NULL: the key is dropped */
    size_t bytes;      /* of the records, in a datagram */
    uint64_t sequence;
    bool in_flight;
    bool unconfirmed; /* an attempt had no answer: it may be stored */
    unsigned attempts;
    enum cw_store_status status; /* of the last attempt that failed */
    struct timespec sent;
    struct timespec due;
};

struct owner_log {
    struct owner_log_options options;
    uint64_t epoch;
    uint64_t sequence; /* of the next batch */
    bool open;
    uint64_t opened_at;
    struct owner_batch *batch; /* in flight, or NULL */
    struct timespec sent;
};

/* ---- batches ---- */

static void
value_free(gpointer value)
{
    if (value != NULL) {
        g_byte_array_unref(value);
    }
}

struct owner_batch *
owner_batch_new(owner_batch_stored stored, void *context)
{
    struct owner_batch *batch = g_new0(struct owner_batch, 1);

    batch->stored = stored;
    batch->context = context;
    batch->ids = g_ptr_array_new_with_free_func(g_free);
    batch->keys = g_ptr_array_new_with_free_func(g_free);
    batch->values = g_ptr_array_new_with_free_func(value_free);
    return batch;
}

void
owner_batch_free(struct owner_batch *batch)
{
    g_ptr_array_unref(batch->ids);
    g_ptr_array_unref(batch->keys);
    g_ptr_array_unref(batch->values);
    g_free(batch);
}

void
owner_batch_put(struct owner_batch *batch, char *key, GByteArray *value)
{
    batch->bytes +=
        strlen(key) + (value != NULL ? value->len : 0) + RECORD_OVERHEAD_BYTES;
    g_ptr_array_add(batch->keys, key);
    g_ptr_array_add(batch->values, value);
}

void
owner_batch_add_id(struct owner_batch *batch, const char *id)
{
    g_ptr_array_add(batch->ids, g_strdup(id));
}

const GPtrArray *
owner_batch_ids(const struct owner_batch *batch)
{
    return batch->ids;
}

struct timespec
owner_batch_sent_at(const struct owner_batch *batch)
{
    return batch->sent;
}

bool
owner_batch_is_full(const struct owner_batch *batch)
{
    return batch->bytes >= BATCH_BYTES_MAX;
}

unsigned
owner_batch_record_count(const struct owner_batch *batch)
{
    return batch->keys->len;
}

/* ---- appends ---- */

static struct timespec
log_now(const struct owner_log *log)
{
    return cw_clock_now(log->options.clock);
}

static void
batch_stored(struct owner_log *log, struct owner_batch *batch)
{
    log->sequence = batch->sequence + 1;
    log->batch = NULL;
    log->options.confirmed(log->options.context, batch->sent);
    if (batch->stored != NULL) {
        batch->stored(batch->context, batch);
    }
    owner_batch_free(batch);
}

static void
lose(struct owner_log *log, const char *reason)
{
    owner_log_close(log);
    log->options.lost(log->options.context, reason);
}

static void
try_again(struct owner_log *log, struct owner_batch *batch,
          enum cw_store_status status)
{
    batch->status = status;
    cw_count_code(log->options.counters, CW_RETRY_APPEND);
    cw_log_info("append_again",
                "topic=%s sequence=%" PRIu64 " status=%s records=%u",
                log->options.topic, batch->sequence,
                cw_store_status_name(status), batch->keys->len);
    batch->due = cw_time_add_ms(log_now(log), RETRY_MS);
}

/* Handles that the store expects another sequence number than the batch's.  If
 * it expects the next one, an attempt without an answer was stored. */
static void
out_of_sequence(struct owner_log *log, struct owner_batch *batch,
                uint64_t expected)
{
    if (batch->unconfirmed && expected == batch->sequence + 1) {
        batch_stored(log, batch);
    }
    else if (batch->unconfirmed) {
        lose(log, "sequence");
    }
    else {
        batch->sequence = expected;
        try_again(log, batch, CW_STORE_OUT_OF_SEQUENCE);
    }
}

static void
on_appended(void *context, const struct cw_store_append_result *result)
{
    struct owner_batch *batch = context;
    struct owner_log *log = batch->log;

    batch->in_flight = false;
    if (log == NULL) {
        owner_batch_free(batch);
        return;
    }
    switch (result->status) {
    case CW_STORE_OK:
        if (!log->open) {
            log->open = true;
            log->opened_at = result->end;
        }
        batch_stored(log, batch);
        break;
    case CW_STORE_FENCED:
        lose(log, "higher_epoch");
        break;
    case CW_STORE_OUT_OF_SEQUENCE:
        out_of_sequence(log, batch, result->expected_sequence);
        break;
    case CW_STORE_UNKNOWN:
        batch->unconfirmed = true;
        try_again(log, batch, result->status);
        break;
    default:
        try_again(log, batch, result->status);
        break;
    }
}

static void
append(struct owner_log *log, struct owner_batch *batch)
{
    struct cw_store_record *records =
        g_new0(struct cw_store_record, batch->keys->len);
    struct cw_store_append call = {
        .topic = log->options.topic,
        .partition = log->options.partition,
        .records = records,
        .count = batch->keys->len,
        .writer = "owner",
        .epoch = log->epoch,
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
    batch->attempts++;
    batch->sent = log_now(log);
    cw_count_add(log->options.counters, CW_COUNT_APPENDS, 1);
    cw_count_add(log->options.counters, CW_COUNT_RECORDS, call.count);
    log->options.store->ops->append(log->options.store, &call);
    g_free(records);
}

/* ---- the log ---- */

struct owner_log *
owner_log_create(const struct owner_log_options *options)
{
    struct owner_log *log = g_new0(struct owner_log, 1);

    log->options = *options;
    return log;
}

void
owner_log_free(struct owner_log *log)
{
    owner_log_close(log);
    g_free(log);
}

void
owner_log_send(struct owner_log *log, struct owner_batch *batch)
{
    g_assert(log->batch == NULL);
    batch->log = log;
    batch->sequence = log->sequence;
    log->batch = batch;
    log->sent = log_now(log);
    append(log, batch);
}

void
owner_log_open(struct owner_log *log, uint64_t epoch)
{
    owner_log_close(log);
    log->epoch = epoch;
    log->sequence = 0;
    /* An append without records sets the epoch and nothing else. */
    owner_log_send(log, owner_batch_new(NULL, NULL));
}

void
owner_log_close(struct owner_log *log)
{
    struct owner_batch *batch = log->batch;

    log->open = false;
    log->batch = NULL;
    if (batch == NULL) {
        return;
    }
    batch->log = NULL;
    if (!batch->in_flight) {
        owner_batch_free(batch);
    }
}

bool
owner_log_is_open(const struct owner_log *log)
{
    return log->open;
}

uint64_t
owner_log_open_offset(const struct owner_log *log)
{
    return log->opened_at;
}

bool
owner_log_is_idle(const struct owner_log *log)
{
    return log->open && log->batch == NULL;
}

struct timespec
owner_log_last_sent_at(const struct owner_log *log)
{
    return log->sent;
}

bool
owner_log_get_unstored(const struct owner_log *log,
                       struct owner_log_unstored *out)
{
    const struct owner_batch *batch = log->batch;

    if (batch == NULL) {
        return false;
    }
    out->sent = log->sent;
    out->attempts = batch->attempts;
    out->in_flight = batch->in_flight;
    out->status = batch->status;
    out->records = batch->keys->len;
    return true;
}

const char *
owner_log_topic(const struct owner_log *log)
{
    return log->options.topic;
}

struct timespec
owner_log_tick(struct owner_log *log, struct timespec now)
{
    struct owner_batch *batch = log->batch;

    if (batch == NULL || batch->in_flight) {
        return cw_time_from_ms(INT32_MAX);
    }
    if (!cw_time_before(now, batch->due)) {
        append(log, batch);
        return cw_time_from_ms(INT32_MAX);
    }
    return batch->due;
}

/* A topic that the owner of a shard writes to under its epoch: one append in
 * flight at a time, each retried until it is known to be stored.
 *
 * Opening a log fences every writer with a lower epoch.  All functions are
 * called with the engine's lock held.
 */
#ifndef CURLEWCART_OWNER_LOG_H
#define CURLEWCART_OWNER_LOG_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>

#include "curlewcart/cw_count.h"
#include "curlewcart/cw_store.h"
#include "curlewcart/cw_time.h"

/* Records for one append, and a callback for when they are stored. */
struct owner_batch;

/* Called once the batch is stored; the log is idle again then. */
typedef void (*owner_batch_stored)(void *context, struct owner_batch *batch);

/* Creates an empty batch; `stored` may be NULL. */
struct owner_batch *owner_batch_new(owner_batch_stored stored, void *context);

/* Frees a batch that was not sent. */
void owner_batch_free(struct owner_batch *batch);

/* Adds a record, or with a `value` of NULL drops the key.  Takes ownership of
 * both. */
void owner_batch_put(struct owner_batch *batch, char *key, GByteArray *value);

/* Adds the id of a job or worker that the batch concerns, for `stored`.
 * Copied. */
void owner_batch_add_id(struct owner_batch *batch, const char *id);

/* Those ids.  Borrowed. */
const GPtrArray *owner_batch_ids(const struct owner_batch *batch);

/* Time when the batch was last sent. */
struct timespec owner_batch_sent_at(const struct owner_batch *batch);

/* True if the batch is as large as an append may be: the records that the
 * caller has left go into the next one. */
bool owner_batch_is_full(const struct owner_batch *batch);

/* Number of records in the batch. */
unsigned owner_batch_record_count(const struct owner_batch *batch);

struct owner_log_options {
    struct cw_store *store;
    struct cw_clock *clock;
    struct cw_counters *counters;
    const char *topic; /* borrowed, static */
    unsigned partition;
    /* Called when the store has accepted an append that was sent at `sent`: no
     * other writer had fenced this one by then. */
    void (*confirmed)(void *context, struct timespec sent);
    /* Called when another writer has fenced this one, or has used its epoch;
     * the log is closed. */
    void (*lost)(void *context, const char *reason);
    void *context;
};

struct owner_log;

/* Creates a closed log. */
struct owner_log *owner_log_create(const struct owner_log_options *options);
void owner_log_free(struct owner_log *log);

/* Fences earlier writers; the log is open once that is stored. */
void owner_log_open(struct owner_log *log, uint64_t epoch);

/* Abandons the append in flight; its callbacks are not called. */
void owner_log_close(struct owner_log *log);

/* True once the append that opens the log is stored. */
bool owner_log_is_open(const struct owner_log *log);

/* End offset of the partition when the log was opened. */
uint64_t owner_log_open_offset(const struct owner_log *log);

/* True if the log is open and no batch is in flight. */
bool owner_log_is_idle(const struct owner_log *log);

/* Sends a batch on an idle log; takes ownership of it. */
void owner_log_send(struct owner_log *log, struct owner_batch *batch);

/* Time when the last batch was first sent, without its retries. */
struct timespec owner_log_last_sent_at(const struct owner_log *log);

/* A batch that was sent and is not stored, as far as known. */
struct owner_log_unstored {
    struct timespec sent; /* first, without its retries */
    unsigned attempts;
    bool in_flight; /* an attempt is not answered */
    /* Answer to the last attempt that had one; CW_STORE_OK: none had. */
    enum cw_store_status status;
    unsigned records;
};

/* Returns whether there is such a batch, and if so fills in `out`. */
bool owner_log_get_unstored(const struct owner_log *log,
                            struct owner_log_unstored *out);

/* Name of the log's topic.  Borrowed, static. */
const char *owner_log_topic(const struct owner_log *log);

/* Retries an append that is due; returns when it has to be called next. */
struct timespec owner_log_tick(struct owner_log *log, struct timespec now);

#endif

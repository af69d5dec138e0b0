/* A topic that the owner of a shard writes to under its epoch: one append
 * under way at a time, each tried until it is known to be stored.
 *
 * Opening a log shuts out every writer with a lower epoch.  All functions are
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

/* Records for one append, and what is to be done once they are stored. */
struct owner_batch;

/* Called once the batch is stored; the log is idle again then. */
typedef void (*owner_batch_stored)(void *context, struct owner_batch *batch);

struct owner_batch *owner_batch_new(owner_batch_stored stored, void *context);

/* For a batch that was not sent. */
void owner_batch_free(struct owner_batch *batch);

/* Adds a record; takes both, and a `value` of NULL drops the key. */
void owner_batch_put(struct owner_batch *batch, char *key, GByteArray *value);

/* Notes a job that the batch is about, for `stored` to look up.  Copied. */
void owner_batch_add_job(struct owner_batch *batch, const char *job);

/* Ids of the jobs noted.  Borrowed. */
const GPtrArray *owner_batch_jobs(const struct owner_batch *batch);

/* When it was sent last, and how many records it has. */
struct timespec owner_batch_sent_at(const struct owner_batch *batch);
unsigned owner_batch_record_count(const struct owner_batch *batch);

struct owner_log_options {
    struct cw_store *store;
    struct cw_clock *clock;
    struct cw_counters *counters;
    const char *topic; /* borrowed, static */
    unsigned partition;
    /* The store took an append that was sent at `sent`: no writer had shut
     * this one out then. */
    void (*confirmed)(void *context, struct timespec sent);
    /* Another writer has shut this one out, or its epoch was used by
     * another; the log is closed. */
    void (*lost)(void *context, const char *reason);
    void *context;
};

struct owner_log;

struct owner_log *owner_log_create(const struct owner_log_options *options);
void owner_log_free(struct owner_log *log);

/* Shuts out earlier writers; the log is open once that is stored. */
void owner_log_open(struct owner_log *log, uint64_t epoch);

/* Forgets what is under way; its callbacks are not called. */
void owner_log_close(struct owner_log *log);

bool owner_log_is_open(const struct owner_log *log);

/* End of the partition when the log was opened. */
uint64_t owner_log_open_offset(const struct owner_log *log);

/* True if a batch may be sent. */
bool owner_log_is_idle(const struct owner_log *log);

/* Sends a batch on an idle log; takes it. */
void owner_log_send(struct owner_log *log, struct owner_batch *batch);

/* When the last batch was sent first. */
struct timespec owner_log_last_sent_at(const struct owner_log *log);

/* Tries again what is due; returns when it wants to be called next. */
struct timespec owner_log_tick(struct owner_log *log, struct timespec now);

#endif

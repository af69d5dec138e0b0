/* The entry point for callers' requests: checks their credentials, stores the
 * jobs and cancellations that they send, and answers queries about jobs.
 *
 * All functions are called with the engine's lock held.
 */
#ifndef CURLEWCART_CW_ENTRY_H
#define CURLEWCART_CW_ENTRY_H

#include <stdbool.h>
#include <time.h>

#include "curlewcart/cw_count.h"
#include "curlewcart/cw_replica.h"
#include "curlewcart/cw_routing.h"

struct cw_entry_options {
    struct cw_store *store;
    struct cw_clock *clock;
    struct cw_replica *replica;   /* borrowed */
    struct cw_counters *counters; /* borrowed */
    size_t record_bytes; /* limit of a record in the store; 0: the default */
};

struct cw_entry;

struct cw_entry *cw_entry_create(const struct cw_entry_options *options);
void cw_entry_free(struct cw_entry *entry);

/* Puts a configuration into force; adds a reference to it. */
void cw_entry_configure(struct cw_entry *entry, struct cw_routing *routing);

/* The configuration in force, or NULL.  Borrowed. */
struct cw_routing *cw_entry_routing(const struct cw_entry *entry);

/* The queue, account and job that a request is for. */
struct cw_entry_route {
    const struct cw_queue *queue;     /* borrowed from the configuration */
    const struct cw_account *account; /* may be NULL if the queue is open */
    const char *id;                   /* rest of the path: the job's id, or ""
                                         for the queue itself */
};

/* Finds the queue and the account of a request.  Returns CW_OK,
 * CW_REF_NO_BUNDLE (no configuration yet), CW_E_NOT_FOUND (no such queue) or
 * CW_REF_TOKEN (the queue needs a valid credential).  `host` and `key` may be
 * NULL. */
enum cw_result
cw_entry_resolve(struct cw_entry *entry, const char *host, const char *path,
                 const char *key, struct cw_entry_route *route);

/* Outcome of a submission or cancellation. */
enum cw_entry_outcome {
    CW_ENTRY_STORED,      /* the store has confirmed it */
    CW_ENTRY_NOT_DONE,    /* it was not stored and will not be */
    CW_ENTRY_UNCONFIRMED, /* it may be stored; send it again with the same id
                           */
    CW_ENTRY_NO_JOB,      /* a cancellation: no such job, or it has ended */
    CW_ENTRY_OTHER_JOB,   /* the id belongs to another job */
    CW_ENTRY_TOO_LARGE,   /* the job does not fit into a record of the store:
                             it was not stored and never will be */
};

/* Receives the outcome of a submission or cancellation. */
typedef void (*cw_entry_done)(void *context, enum cw_entry_outcome outcome);

/* Logs and counts a submission that is refused because of its content.
 * `code`: CW_REF_MALFORMED or CW_REF_TOO_LARGE. */
void
cw_entry_refused(struct cw_entry *entry, const struct cw_entry_route *route,
                 enum cw_result code, const char *detail);

/* Stores a job.  Takes ownership of `spec` (freed by xdr_free and g_free).
 * `done` is called within `budget_ms`. */
void cw_entry_submit(struct cw_entry *entry, struct cw_work_spec *spec,
                     unsigned budget_ms, cw_entry_done done, void *context);

/* Stores the cancellation of a job.  `done` is called within `budget_ms`. */
void
cw_entry_cancel(struct cw_entry *entry, const struct cw_entry_route *route,
                unsigned budget_ms, cw_entry_done done, void *context);

/* Gets the phase of a job in this VM's replica.  Returns CW_OK,
 * CW_E_NOT_FOUND, or CW_REF_NO_LEDGER if the replica cannot tell: the job is
 * not in it and its data is more than 2 s old, or this VM is isolated and the
 * job has not ended in it. */
enum cw_result
cw_entry_query(struct cw_entry *entry, const struct cw_entry_route *route,
               unsigned *phase);

/* Receives the result of cw_entry_query_fresh. */
typedef void (*cw_entry_answered)(void *context, enum cw_result result,
                                  unsigned phase);

/* Like cw_entry_query, but first reads from the store if the replica may lack
 * records; answers after 400 ms at the latest.  Meant for callers that poll:
 * with it VMs need not read continuously to report the end of a job at once.
 */
void cw_entry_query_fresh(struct cw_entry *entry,
                          const struct cw_entry_route *route,
                          cw_entry_answered on_answer, void *context);

/* Counts the jobs of the queue that have not begun.  Returns CW_OK, or
 * CW_REF_NO_LEDGER if the replica's data is more than 2 s old. */
enum cw_result
cw_entry_count_waiting(struct cw_entry *entry, const struct cw_queue *queue,
                       unsigned *count);

/* True if this VM is ready for callers' requests. */
bool cw_entry_is_ready(struct cw_entry *entry);

/* Sets whether this VM is isolated from the store and the other VMs.  While
 * isolated, it refuses submissions and cancellations at once and does not
 * answer queries about jobs that have not ended, so that callers go to another
 * VM. */
void cw_entry_set_isolated(struct cw_entry *entry, bool isolated);

/* Begins the shutdown of this VM: it is not ready any more, but completes
 * pending requests. */
void cw_entry_begin_shutdown(struct cw_entry *entry);
bool cw_entry_is_shutting_down(const struct cw_entry *entry);

/* Number of requests that are not answered yet. */
unsigned cw_entry_pending(const struct cw_entry *entry);

/* Sends retries and answers that are due; returns the time of the next call.
 */
struct timespec cw_entry_tick(struct cw_entry *entry, struct timespec now);

#endif

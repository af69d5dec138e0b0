/* The way in: who may call, and what callers ask of jobs.
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
};

struct cw_entry;

struct cw_entry *cw_entry_create(const struct cw_entry_options *options);
void cw_entry_free(struct cw_entry *entry);

/* Another configuration is in force; takes a reference. */
void cw_entry_configure(struct cw_entry *entry, struct cw_routing *routing);

/* The configuration in force, or NULL.  Borrowed. */
struct cw_routing *cw_entry_routing(const struct cw_entry *entry);

/* Where a call goes and for whom. */
struct cw_entry_route {
    const struct cw_queue *queue;     /* borrowed from the configuration */
    const struct cw_account *account; /* NULL on a queue that is open */
    const char *id;                   /* rest of the path: "" the queue */
};

/* CW_OK, CW_REF_NO_BUNDLE (no configuration yet), CW_E_NOT_FOUND (no such
 * queue) or CW_REF_TOKEN.  `key` may be NULL. */
enum cw_result
cw_entry_resolve(struct cw_entry *entry, const char *host, const char *path,
                 const char *key, struct cw_entry_route *place);

/* What became of a call that changes something. */
enum cw_entry_outcome {
    CW_ENTRY_STORED,      /* the store has it */
    CW_ENTRY_NOT_DONE,    /* nothing was done, nothing will be */
    CW_ENTRY_UNCONFIRMED, /* it may be stored; ask again with the same id */
    CW_ENTRY_NO_JOB,      /* a cancellation: no such job, or it has ended */
    CW_ENTRY_OTHER_JOB,   /* the id belongs to another job */
};

typedef void (*cw_entry_done)(void *context, enum cw_entry_outcome outcome);

/* Stores a job.  Takes `spec` over (g_free and xdr_free).  The answer is
 * given within `budget_ms`. */
void cw_entry_submit(struct cw_entry *entry, struct cw_work_spec *spec,
                     unsigned budget_ms, cw_entry_done done, void *context);

/* Stores that a job is cancelled. */
void
cw_entry_cancel(struct cw_entry *entry, const struct cw_entry_route *place,
                unsigned budget_ms, cw_entry_done done, void *context);

/* Where a job stands: CW_OK, CW_E_NOT_FOUND, or CW_REF_NO_LEDGER if this VM
 * cannot tell: it has not read the store lately and does not know the job,
 * or it is cut off and the job was not over. */
enum cw_result
cw_entry_query(struct cw_entry *entry, const struct cw_entry_route *place,
               unsigned *phase);

typedef void (*cw_entry_answered)(void *context, enum cw_result result,
                                  unsigned phase);

/* The same for callers that ask again and again: looks at the store first if
 * it may have something newer, and answers after 400 ms at the latest.  So
 * VMs need not read all the time to tell of an end at once. */
void cw_entry_query_fresh(struct cw_entry *entry,
                          const struct cw_entry_route *place,
                          cw_entry_answered told, void *context);

/* Jobs of the queue that have not begun: CW_OK or CW_REF_NO_LEDGER. */
enum cw_result
cw_entry_count_waiting(struct cw_entry *entry, const struct cw_queue *queue,
                       unsigned *count);

/* True if callers should be sent here. */
bool cw_entry_is_ready(struct cw_entry *entry);

/* Whether this VM is cut off from the store and all other VMs: changes are
 * then given up on at once, and questions not answered from memory, so that
 * callers turn to another VM. */
void cw_entry_set_isolated(struct cw_entry *entry, bool isolated);

/* No new connections are wanted; what is held goes on. */
void cw_entry_leave(struct cw_entry *entry);
bool cw_entry_is_leaving(const struct cw_entry *entry);

/* Calls not answered yet. */
unsigned cw_entry_pending(const struct cw_entry *entry);

/* Sends again what is due; returns when it wants to be called next. */
struct timespec cw_entry_tick(struct cw_entry *entry, struct timespec now);

#endif

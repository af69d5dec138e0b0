/* Interface to the workers (targets): what they report of themselves, and the
 * orders that they accept.
 *
 * Calls never block; each leads to exactly one callback, made with the
 * engine's lock held.  The arguments of a callback are borrowed.
 */
#ifndef CURLEWCART_CW_TARGET_H
#define CURLEWCART_CW_TARGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Resources that a worker has, or that a task takes. */
struct cw_resources {
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
};

/* A worker's report of itself in the store. */
struct cw_target_report {
    const char *id; /* may have had other incarnations, see boot_ms */
    const char *service;
    const char *address; /* HOST:PORT */
    const char *dc;
    const char *rack; /* "" unknown */
    const char *kind;
    struct cw_resources capacity;
    bool draining;
    /* While draining: minimum time until it shuts down. */
    int64_t remaining_ms;
    int64_t clock_ms; /* its clock when it reported; 0 unknown */
    int64_t boot_ms;  /* boot time of this incarnation, by the worker's wall
                         clock; 0 unknown */
    /* Counts the reports of this incarnation; 0 unknown. */
    uint64_t sequence;
};

/* Name of a task, unique within a deployment. */
struct cw_task_name {
    const char *job;
    unsigned occurrence;
    unsigned step;
    unsigned index;
};

enum cw_target_status {
    CW_TARGET_OK,
    CW_TARGET_FENCED,      /* it has received a higher fencing token */
    CW_TARGET_OLD_RUN,     /* this run or a higher one was stopped or ended */
    CW_TARGET_LATE,        /* the granted lease has expired already */
    CW_TARGET_NO_CAPACITY, /* the run does not fit now */
    CW_TARGET_NO_TICKET,   /* the policy's ticket is missing or invalid */
    CW_TARGET_OTHER_INCARNATION, /* another incarnation answers there */
    CW_TARGET_UNHEALTHY, /* the worker reports that it has not carried out the
                            order */
    CW_TARGET_INVALID,   /* the order or the answer could not be decoded */
    CW_TARGET_UNREACHABLE, /* no connection: nothing was sent */
    /* No answer: the order may have been carried out, or may still be carried
     * out later. */
    CW_TARGET_UNKNOWN
};

/* Name of a status, for logs.  Borrowed, static. */
const char *cw_target_status_name(enum cw_target_status status);

/* How a run ended. */
enum cw_end_kind {
    CW_END_KIND_DONE,
    CW_END_KIND_FAILED,
    CW_END_KIND_STOPPED,
    CW_END_KIND_LEASE_EXPIRED,  /* the worker's lease expired */
    CW_END_KIND_GANG_BROKEN,    /* another member of its gang ended */
    CW_END_KIND_GANG_INCOMPLETE /* its gang was not complete in time */
};

/* Name of a kind of end, for logs.  Borrowed, static. */
const char *cw_end_kind_name(enum cw_end_kind kind);

/* Progress that is no number, or none in its range. */
#define CW_PERCENT_UNREADABLE UINT32_MAX

/* A run that a worker reports as running. */
struct cw_running {
    struct cw_task_name task;
    unsigned run;
    const char *saved; /* newest checkpoint, "" none */
    unsigned percent;  /* progress; CW_PERCENT_UNREADABLE */
};

/* A run that a worker reports as ended. */
struct cw_ended {
    uint64_t number; /* position in the worker's list of ends */
    struct cw_task_name task;
    unsigned run;
    enum cw_end_kind how;
    const char *saved;
};

/* A worker's answer to an order. */
struct cw_target_answer {
    enum cw_target_status status;
    int64_t clock_ms; /* the worker's clock; 0 unknown */
    int64_t boot_ms;  /* to a poll: boot time of the answering incarnation, by
                         the worker's wall clock; 0 unknown */
    const struct cw_running *running;
    size_t running_count;
    const struct cw_ended *ended;
    size_t ended_count;
};

enum cw_order_kind {
    CW_ORDER_POLL, /* extends the lease, confirms ends, lists runs and ends */
    CW_ORDER_START,
    CW_ORDER_STOP
};

/* A request to a worker. */
struct cw_target_order {
    enum cw_order_kind kind;
    const char *address;
    const char *id;         /* of the worker that the order is meant for */
    uint64_t fence;         /* fencing token */
    int64_t lease_until_ms; /* on the worker's clock; 0: none granted */
    /* poll */
    uint64_t acked; /* ends up to this number are stored by the owner */
    unsigned wait_ms;
    /* start, stop */
    struct cw_task_name task;
    unsigned run;
    const char *payload; /* start */
    const char *saved;   /* start; "" or NULL: from the beginning */
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_target_answer *answer);
    void *context;
};

struct cw_targets;
struct cw_targets_ops {
    void (*order)(struct cw_targets *targets,
                  const struct cw_target_order *order);
};

/* Connection to the workers.  Embed as first member of an implementation. */
struct cw_targets {
    const struct cw_targets_ops *ops;
};

#endif

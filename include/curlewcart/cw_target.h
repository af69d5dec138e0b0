/* A worker (target) as the product sees it: what it reports of itself, and
 * the orders it takes.
 *
 * Calls never block; each leads to exactly one callback, made with the
 * engine's lock held.  What a callback is given is borrowed.
 */
#ifndef CURLEWCART_CW_TARGET_H
#define CURLEWCART_CW_TARGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What a worker has, or a task takes. */
struct cw_resources {
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
};

/* A worker's report of itself in the store. */
struct cw_target_report {
    const char *id; /* may have had other lives, see boot_ms */
    const char *service;
    const char *address; /* HOST:PORT */
    const char *dc;
    const char *rack; /* "" unknown */
    const char *kind;
    struct cw_resources capacity;
    bool draining;
    int64_t remaining_ms; /* while draining: it stays at least this long */
    int64_t clock_ms;     /* its clock when it reported; 0 unknown */
    int64_t boot_ms; /* when this life began, its time of day; 0 unknown */
};

/* Names a task within a deployment. */
struct cw_task_name {
    const char *job;
    unsigned occurrence;
    unsigned step;
    unsigned index;
};

enum cw_target_status {
    CW_TARGET_OK,
    CW_TARGET_FENCED,      /* it has seen a higher fencing token */
    CW_TARGET_OLD_RUN,     /* a run as high was stopped or ended there */
    CW_TARGET_LATE,        /* the lease given has passed already */
    CW_TARGET_NO_CAPACITY, /* it does not fit now */
    CW_TARGET_NO_TICKET,   /* the policy's ticket is missing or invalid */
    CW_TARGET_OTHER_INCARNATION, /* another incarnation answers at the address
                                  */
    CW_TARGET_UNHEALTHY,         /* it did nothing and says so */
    CW_TARGET_INVALID,     /* it could not understand the order, or we it */
    CW_TARGET_UNREACHABLE, /* no connection: nothing was sent */
    CW_TARGET_UNKNOWN      /* no answer: may have been done, or be later */
};

/* Name of a status, for logs.  Borrowed, static. */
const char *cw_target_status_name(enum cw_target_status status);

/* How a run ended. */
enum cw_end_kind {
    CW_END_KIND_DONE,
    CW_END_KIND_FAILED,
    CW_END_KIND_STOPPED,
    CW_END_KIND_LEASE_EXPIRED,  /* the worker's lease ended */
    CW_END_KIND_GANG_BROKEN,    /* another member of its gang ended */
    CW_END_KIND_GANG_INCOMPLETE /* it waited too long for its gang */
};

/* Name of an end, for logs.  Borrowed, static. */
const char *cw_end_kind_name(enum cw_end_kind kind);

struct cw_running {
    struct cw_task_name task;
    unsigned run;
    const char *saved; /* newest checkpoint, "" none */
    unsigned percent;  /* of its work */
};

struct cw_ended {
    uint64_t number; /* position in the worker's list of ends */
    struct cw_task_name task;
    unsigned run;
    enum cw_end_kind how;
    const char *saved;
};

struct cw_target_answer {
    enum cw_target_status status;
    int64_t clock_ms; /* the worker's clock; 0 unknown */
    int64_t boot_ms;  /* of a HOLD: when the life that answers began, its time
                         of day; 0 unknown */
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

struct cw_target_order {
    enum cw_order_kind kind;
    const char *address;
    const char *id; /* intended incarnation */
    uint64_t fence;
    int64_t lease_until_ms; /* on the worker's clock; 0: none given */
    /* HOLD */
    uint64_t acked; /* ends up to this are durable here */
    unsigned wait_ms;
    /* START, STOP */
    struct cw_task_name task;
    unsigned run;
    const char *payload; /* START */
    const char *saved;   /* START; "" or NULL: from the beginning */
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_target_answer *answer);
    void *context;
};

struct cw_targets;
struct cw_targets_ops {
    void (*order)(struct cw_targets *targets,
                  const struct cw_target_order *order);
};

/* The way to the workers.  Embed as first member of an implementation. */
struct cw_targets {
    const struct cw_targets_ops *ops;
};

#endif

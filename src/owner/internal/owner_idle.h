/* Jobs of which nothing runs: since when, after what, and beside what room. */
#ifndef CURLEWCART_OWNER_IDLE_H
#define CURLEWCART_OWNER_IDLE_H

#include <stdint.h>
#include <time.h>

#include "curlewcart/cw_idle.h"

struct cw_owner;
struct owner_job;

/* What took a job's last runs from their workers before they were done. */
enum owner_idle_cause {
    OWNER_IDLE_NONE, /* nothing has run yet, or what ran is done */
    OWNER_IDLE_MOVED,
    OWNER_IDLE_STALLED,
    OWNER_IDLE_EVACUATED,
    OWNER_IDLE_UNANSWERED, /* a start was given up, and its gang with it */
    OWNER_IDLE_PREEMPTED,
    OWNER_IDLE_LOST,
    OWNER_IDLE_FAILED
};

struct owner_idle {
    struct cw_idle clock; /* since a worker listed a run of the job last, or
                             a step's turn came */
    struct timespec logged_at; /* that it waits was logged */
    enum owner_idle_cause cause;
};

/* Work that could run and does not. */
struct owner_idle_stats {
    struct timespec due;
    unsigned jobs;
    int64_t longest_ms;
    unsigned repeating; /* tasks */
};

/* ---- owner_idle_stats.c ---- */

/* A step's turn has come, or the job has become known: it is idle from now. */
void owner_idle_begin(struct cw_owner *owner, struct owner_job *job);

/* A worker has listed a run of the job. */
void owner_idle_end(struct cw_owner *owner, struct owner_job *job);

/* Finds out which jobs could run and do not, and logs why. */
void owner_idle_tick(struct cw_owner *owner, struct timespec now);

#endif

/* Idle jobs: jobs that could run and have no task running.  Records since when
 * and for what cause, and whether there is free capacity for them. */
#ifndef CURLEWCART_OWNER_IDLE_H
#define CURLEWCART_OWNER_IDLE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "curlewcart/cw_idle.h"
#include "curlewcart/cw_owner.h"

struct cw_owner;
struct owner_job;

/* Why a job's last runs were stopped or lost before they were done. */
enum owner_idle_cause {
    OWNER_IDLE_NONE, /* nothing has run yet, or the last runs are done */
    OWNER_IDLE_MOVED,
    OWNER_IDLE_STALLED,
    OWNER_IDLE_DRAINED,
    OWNER_IDLE_UNANSWERED, /* a start without an answer was given up, and its
                              gang was stopped */
    OWNER_IDLE_PREEMPTED,
    OWNER_IDLE_LOST,
    OWNER_IDLE_FAILED
};

struct owner_idle {
    struct cw_idle clock;      /* begins again when a worker lists a run of the
                                  job, or a step is unblocked */
    struct timespec logged_at; /* when "job_waits" was logged last */
    struct timespec full_logged_at; /* the same of "job_waits_full" */
    enum owner_idle_cause cause;
    enum cw_owner_refusal refusal; /* when it was determined last */
    /* `clock` began with this owner's takeover. */
    bool since_takeover;
    bool inherited_logged; /* "job_waits_inherited" was logged */
    bool urgent_logged;    /* "urgent_waits" was logged */
};

/* Jobs that could run and do not, as of the last check. */
struct owner_idle_stats {
    struct timespec due; /* the next check */
    unsigned jobs;
    int64_t longest_ms;
    int64_t longest_by_refusal_ms[CW_OWNER_REFUSALS];
    unsigned repeating; /* tasks that have lost several runs in a row */
};

/* ---- owner_idle.c ---- */

/* Starts the job's idle time, after a step was unblocked or the job was
 * adopted. */
void owner_idle_begin(struct cw_owner *owner, struct owner_job *job);

/* Starts the idle time of a job that was taken over.  If no run of it has ever
 * been placed, it has been idle since it was accepted. */
void owner_idle_take_over(struct owner_job *job);

/* Ends the job's idle time, after a worker has listed a run of it. */
void owner_idle_end(struct cw_owner *owner, struct owner_job *job);

/* Checks which jobs could run and do not, and logs why. */
void owner_idle_tick(struct cw_owner *owner, struct timespec now);

#endif

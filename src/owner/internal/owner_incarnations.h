/* Incarnations of workers: each lasts from the start of the worker's process
 * until that crashes; the next one may have the same id. */
#ifndef CURLEWCART_OWNER_LIVES_H
#define CURLEWCART_OWNER_LIVES_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct owner_run;
struct owner_target;

/* An order may arrive this long after it was sent: after that it is given up.
 * A late order may reach a worker's next incarnation, whose lease counts from
 * the arrival. */
enum { OWNER_ORDER_DELAY_MAX_MS = 500 };

/* State of one incarnation of a worker.  A worker that crashes may start again
 * under its id without any memory, and numbers its ends from 1 again, so all
 * of this is dropped at once; owner_incarnations.c. */
struct owner_incarnation {
    int64_t boot_ms; /* boot time by its own wall clock; 0 unknown */
    bool clock_known;
    int64_t clock_offset_ms;  /* its clock minus this VM's */
    struct timespec clock_at; /* when its clock was read */
    int64_t lease_sent_ms;    /* latest end of lease sent, on its clock */
    /* Highest numbers of its ends that are applied here, in the batch being
     * written, stored, and confirmed to the worker. */
    uint64_t ends_applied;
    uint64_t ends_in_batch;
    uint64_t ends_durable;
    uint64_t ends_confirmed;
    struct timespec poll_answered_at; /* a poll was last answered */
    unsigned failures;             /* jobs in a row whose tasks failed there */
    unsigned failed_job;           /* the last of them: hash of its id */
    struct timespec suspect_until; /* tasks failed or stalled there */
    struct timespec slow_until;    /* its tasks make slow progress */
    unsigned slow_job; /* of the last slow run: hash of the job's id; 0: none,
                          or a run has made normal progress since */
    double speed;      /* relative to other workers; 1 while unknown */
};

/* Initial state of an incarnation. */
struct owner_incarnation owner_incarnation_new(int64_t boot_ms);

/* True if the run was sent to another incarnation of its worker than the one
 * with this boot time; false if either is unknown. */
bool owner_run_is_of_other_incarnation(const struct owner_run *run,
                                       int64_t boot_ms);

/* A poll was answered by the incarnation with this boot time (0: unknown).  If
 * it is a new one, drops the state of the former one; its runs stay until the
 * lists in the answer have shown which of them are gone.  Returns true if it
 * is a new one. */
bool owner_incarnation_answered(struct owner_target *target, int64_t boot_ms);

/* A report of the worker gave this boot time. */
void owner_incarnation_reported(struct owner_target *target, int64_t boot_ms);

/* The run was lost with a former incarnation.  If a start of it had no answer
 * and may be carried out late, sends a stop to the present incarnation, which
 * then refuses the start. */
void owner_incarnation_add_tombstone(const struct owner_run *run);

/* The worker becomes unresponsive.  A start in flight may reach its next
 * incarnation, whose clock differs: raises the bound on the lease by the
 * longest delay of an order. */
void owner_incarnation_unresponsive(struct owner_target *target);

/* The worker does not answer.  If it has reported a newer boot time, drops the
 * runs that were at work in the former incarnation as lost, without waiting
 * until the lease is over. */
void owner_incarnation_poll_failed(struct owner_target *target);

#endif

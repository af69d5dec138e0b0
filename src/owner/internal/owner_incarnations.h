/* Incarnations of workers: each lasts from the start of the worker's process
 * until that crashes; the next one may have the same id. */
#ifndef CURLEWCART_OWNER_INCARNATIONS_H
#define CURLEWCART_OWNER_INCARNATIONS_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "curlewcart/cw_worker_speed.h"

struct owner_run;
struct owner_target;

enum {
    /* An order may arrive this long after it was sent: after that it is given
     * up.  A late order may reach a worker's next incarnation, whose lease
     * counts from the arrival. */
    OWNER_ORDER_DELAY_MAX_MS = 500,
    /* The platform carries out an order that was given up at most 12 s after
     * it was sent; one second is added as a margin. */
    OWNER_ORDER_LATE_MAX_MS = 13000
};

/* State of one incarnation of a worker.  A worker that crashes may start again
 * under its id without any state, and numbers its ends from 1 again, so all of
 * this is dropped at once; owner_incarnations.c. */
struct owner_incarnation {
    int64_t boot_ms; /* boot time by its own wall clock; 0 unknown */
    bool clock_known;
    int64_t clock_offset_ms;  /* its clock minus this VM's */
    struct timespec clock_at; /* when its clock was read */
    int64_t lease_sent_ms;    /* latest end of lease sent, on its clock */
    /* Latest end of a lease that it may have, by this VM's clock and with
     * drift; owner_leases.h. */
    struct timespec lease_end;
    /* This owner noticed that it had replaced another one; 0: it did not. */
    struct timespec restarted_at;
    /* Highest numbers of its ends that are applied here, in the batch being
     * written, stored, and confirmed to the worker. */
    uint64_t ends_applied;
    uint64_t ends_in_batch;
    uint64_t ends_durable;
    uint64_t ends_confirmed;
    /* When it gave the last answer to a poll; the answer may have been held up
     * on its way. */
    struct timespec poll_answered_at;
    /* The most that its clock was ahead of this VM's when an answer arrived,
     * and when that was; 0: unknown. */
    int64_t clock_ahead_ms;
    struct timespec clock_ahead_at;
    unsigned failures;             /* jobs in a row whose tasks failed there */
    unsigned failed_job;           /* last of those jobs: hash of its id */
    struct timespec suspect_until; /* tasks failed or stalled there */
    struct cw_worker_speed speed;
};

/* Initial state of an incarnation. */
struct owner_incarnation owner_incarnation_new(int64_t boot_ms);

/* True if the run was sent to another incarnation of its worker than the one
 * with this boot time; false if either is unknown. */
bool owner_run_is_of_other_incarnation(const struct owner_run *run,
                                       int64_t boot_ms);

/* Processes the answer to a poll that was sent at `sent` from the incarnation
 * with this boot time (0: unknown).  Returns true for a new incarnation; then
 * the state of the former one is dropped, while its runs stay until the lists
 * in the answer have shown which of them are gone. */
bool owner_incarnation_answered(struct owner_target *target, int64_t boot_ms,
                                struct timespec sent);

/* Processes the reading of the worker's clock (0: none) in an answer to a poll
 * that was sent at `sent`.  Returns when the worker gave the answer; an
 * earlier time if that isn't known. */
struct timespec
owner_incarnation_answer_given(struct owner_target *target, int64_t clock_ms,
                               struct timespec sent, struct timespec now);

/* Processes the boot time in a report of the worker. */
void owner_incarnation_reported(struct owner_target *target, int64_t boot_ms);

/* True if the run is known to have been executed by the incarnation that
 * answered last: its start was confirmed before a poll was sent that this
 * incarnation has answered.  A later start may have reached the next
 * incarnation. */
bool owner_incarnation_was_executing(const struct owner_run *run);

/* Sends a stop of a run that was lost with a former incarnation, if a start of
 * it had no answer and may be carried out late: the present incarnation then
 * refuses the start. */
void owner_incarnation_add_tombstone(const struct owner_run *run);

/* Raises the bound on the lease of a worker that becomes unresponsive, if a
 * start is in flight: the start may reach the next incarnation, whose clock
 * differs.  The bound is raised by the longest delay of an order, and further
 * if the next incarnation has been reported. */
void owner_incarnation_unresponsive(struct owner_target *target);

/* True if the worker has reported another incarnation, which may be later than
 * the one that answered last, and has answered no poll that was sent since: a
 * start may be sent to that incarnation, with a lease by the clock of the
 * former one. */
bool owner_incarnation_unknown(const struct owner_target *target);

#endif

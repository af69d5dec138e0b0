/* Lives of workers: one from each start to its crash; the next may have the
 * same id. */
#ifndef CURLEWCART_OWNER_LIVES_H
#define CURLEWCART_OWNER_LIVES_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct owner_run;
struct owner_target;

/* An order may arrive so long after it was sent: then it is given up.  One
 * that is late may meet a worker's next life, whose lease counts from its
 * arrival. */
enum { OWNER_ORDER_DELAY_MAX_MS = 500 };

/* What holds for one life of a worker.  A worker that crashes may start again
 * under its id: it knows nothing of before and counts from 1, so all of this
 * is dropped at once; owner_incarnations.c. */
struct owner_incarnation {
    int64_t boot_ms; /* when it began, by its own time of day; 0 unknown */
    bool clock_known;
    int64_t clock_offset_ms;  /* its clock less ours */
    struct timespec clock_at; /* when that was read */
    int64_t lease_sent_ms;    /* latest end of lease sent, on its clock */
    /* Numbers of its ends: seen here, in the batch under way, stored, and
     * known to be stored there. */
    uint64_t ends_applied;
    uint64_t ends_in_batch;
    uint64_t ends_durable;
    uint64_t ends_confirmed;
    struct timespec poll_answered_at; /* a look was answered */
    unsigned failures;             /* jobs whose tasks failed there in a row */
    unsigned failed_job;           /* the last of them: hash of its id */
    struct timespec suspect_until; /* it failed or stalled work */
    struct timespec slow_until;    /* its tasks come on slowly */
    unsigned slow_job; /* whose run there was slow last: hash of its id; 0
                          none, or a run has come on well since */
    double speed;      /* against the others'; 1 while nothing is known */
};

/* The state of a life of which nothing is known. */
struct owner_incarnation owner_incarnation_new(int64_t boot_ms);

/* True if the run was sent to another life of its worker than the one given;
 * false if either is unknown. */
bool owner_run_is_of_other_incarnation(const struct owner_run *run,
                                       int64_t boot_ms);

/* A look was answered by a life that began then (0: unknown).  If it is not
 * the one that was known, all that held for that one is dropped; its runs stay
 * until the look's lists have shown which of them are gone.  Returns whether
 * it is another one. */
bool owner_incarnation_answered(struct owner_target *target, int64_t boot_ms);

/* A worker's report is by a life that began then. */
void owner_incarnation_reported(struct owner_target *target, int64_t boot_ms);

/* The run went with a former life.  If a start of it had no answer, and may be
 * carried out late, the present one is told to stop it: it then refuses. */
void owner_incarnation_add_tombstone(const struct owner_run *run);

/* A worker goes silent.  A start that is on its way may meet its next life,
 * whose clock is another: its lease lasts as long as one may, from then on. */
void owner_incarnation_unresponsive(struct owner_target *target);

/* The worker does not answer.  If it has reported that it has started again,
 * what ran there is lost, and not waited for until its lease is over. */
void owner_incarnation_poll_failed(struct owner_target *target);

#endif

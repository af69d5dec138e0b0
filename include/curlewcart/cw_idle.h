/* Idle jobs: decides whether free capacity may still be withheld from a job.
 *
 * Capacity is withheld from jobs for several reasons: headroom for urgent
 * work, racks that are reserved for gangs, workers that failed or were slow.
 * In a busy service each reason may apply for as long as the service is busy,
 * so that separate limits on the reasons don't limit how long a job is idle.
 * This module has a single limit for all reasons together.
 *
 * Pure: no I/O and no clock of its own.  Callers pass in their observations
 * and the time. */
#ifndef CURLEWCART_CW_IDLE_H
#define CURLEWCART_CW_IDLE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* The idle time of a job; zero-initialise, then call cw_idle_begin. */
struct cw_idle {
    struct timespec since;
    struct timespec free_since; /* each check since then has found free
                                   capacity for the job; 0: the last check
                                   found none */
    /* Like free_since, but short gaps are ignored. */
    struct timespec available_since;
    struct timespec last_free_at; /* last check that found free capacity */
};

/* Begins the idle time now. */
void cw_idle_begin(struct cw_idle *idle, struct timespec now);

/* Records a check: `has_capacity` if workers have reported enough free
 * capacity to place the job twice. */
void
cw_idle_check(struct cw_idle *idle, bool has_capacity, struct timespec now);

/* Returns for how many milliseconds each check has found free capacity; 0 if
 * the last one found none. */
int64_t cw_idle_free_ms(const struct cw_idle *idle, struct timespec now);

/* True if no capacity may be withheld from the job any more. */
bool cw_idle_is_overdue(const struct cw_idle *idle, struct timespec now);

#endif

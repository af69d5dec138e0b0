/* Idle jobs: whether room may still be withheld from one.
 *
 * Room is withheld from jobs for several reasons: headroom for urgent work,
 * racks held for gangs, workers that failed or were slow.  In a busy service
 * each of them may hold for as long as the service is busy, so a limit of each
 * is no limit on how long a job is idle.  This is the one limit over all of
 * them.
 *
 * Pure: no I/O and no clock of its own.  Callers tell what they see and when.
 */
#ifndef CURLEWCART_CW_IDLE_H
#define CURLEWCART_CW_IDLE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* A job of which nothing runs; zero-initialise, then cw_idle_begin. */
struct cw_idle {
    struct timespec since;
    struct timespec free_since; /* there has been room for it at each look; 0:
                                   not at the last one */
    struct timespec available_since; /* the same, but for short gaps */
    struct timespec last_free_at;    /* the last look that found room */
};

/* Nothing of the job runs from now on. */
void cw_idle_begin(struct cw_idle *idle, struct timespec now);

/* Workers have, or have not, room for the job twice over by their own word. */
void cw_idle_check(struct cw_idle *idle, bool has_room, struct timespec now);

/* Milliseconds since there has been room at each look; 0 if there is none. */
int64_t cw_idle_free_ms(const struct cw_idle *idle, struct timespec now);

/* True if nothing may be withheld from the job any more. */
bool cw_idle_is_overdue(const struct cw_idle *idle, struct timespec now);

#endif

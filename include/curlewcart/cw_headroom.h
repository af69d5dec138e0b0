/* Headroom: the number of accelerators of a pool that are reserved for urgent
 * work that runs or may arrive, and withheld from lower-priority work.
 *
 * Pure: no I/O and no clock of its own.  Callers pass in their observations
 * and the time. */
#ifndef CURLEWCART_CW_HEADROOM_H
#define CURLEWCART_CW_HEADROOM_H

#include <time.h>

/* Forecast for one pool; zero-initialise, then call cw_headroom_init. */
struct cw_headroom {
    struct timespec observed_at; /* time of the last observation */
    double peak;            /* accelerators that urgent work used, decaying */
    double recent_arrivals; /* accelerators of new urgent jobs, decaying */
};

/* Begins with no headroom. */
void cw_headroom_init(struct cw_headroom *headroom, struct timespec now);

/* Adds an accepted urgent job that requests this many accelerators. */
void cw_headroom_arrived(struct cw_headroom *headroom, double accelerators);

/* Records that `used` accelerators are in use by urgent work now. */
void cw_headroom_observe(struct cw_headroom *headroom, double used,
                         struct timespec now);

/* Returns the number of accelerators that urgent work, at its present rate of
 * arrival, will request before other runs can be stopped. */
double cw_headroom_expected_arrivals(const struct cw_headroom *headroom);

/* Returns the number of accelerators to withhold from lower-priority work: the
 * number that urgent work has used recently, and the number that it may
 * request before other runs can be stopped. */
double cw_headroom_reserved(const struct cw_headroom *headroom);

#endif

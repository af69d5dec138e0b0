/* How many accelerators of a pool are kept free of lower work, for urgent work
 * that runs or may arrive.
 *
 * Pure: no I/O and no clock of its own.  Callers tell what they see and when.
 */
#ifndef CURLEWCART_CW_HEADROOM_H
#define CURLEWCART_CW_HEADROOM_H

#include <time.h>

/* Of one pool; zero-initialise, then cw_headroom_init. */
struct cw_headroom {
    struct timespec observed_at; /* of the last observation */
    double peak;            /* accelerators that urgent work held, decaying */
    double recent_arrivals; /* accelerators that urgent jobs asked for,
                               decaying */
};

void cw_headroom_init(struct cw_headroom *headroom, struct timespec now);

/* An urgent job that asks for so many accelerators was taken on. */
void cw_headroom_arrived(struct cw_headroom *headroom, double accelerators);

/* Urgent work holds so many accelerators now. */
void cw_headroom_observe(struct cw_headroom *headroom, double held,
                         struct timespec now);

/* Accelerators that urgent work will ask for before others can be made to
 * leave, at the present rate. */
double cw_headroom_expected_arrivals(const struct cw_headroom *headroom);

/* Accelerators to keep free of lower work: what urgent work held lately, and
 * what may arrive before others can be made to leave. */
double cw_headroom_reserved(const struct cw_headroom *headroom);

#endif

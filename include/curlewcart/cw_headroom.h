/* How many accelerators of a pool are kept free of lower work, for urgent work
 * that runs or may arrive.
 *
 * Pure: no I/O and no clock of its own.  Callers tell what they see and when.
 */
#ifndef CURLEWCART_CW_HEADROOM_H
#define CURLEWCART_CW_HEADROOM_H

#include <stdint.h>
#include <time.h>

struct cw_headroom;

/* A way to forecast how many accelerators urgent work will hold at a time. */
struct cw_headroom_ops {
    const char *name; /* for logs and comparisons */

    /* Urgent work holds so many accelerators now. */
    void (*observe)(struct cw_headroom *headroom, double held,
                    struct timespec now);

    /* The forecast, by what was observed. */
    double (*forecast)(const struct cw_headroom *headroom);
};

enum { CW_HEADROOM_WINDOW_S = 12 };

/* Of one pool; zero-initialise, then cw_headroom_init. */
struct cw_headroom {
    const struct cw_headroom_ops *ops;
    struct timespec at; /* of the last observation */
    double held;        /* then */
    double peak;        /* decaying */
    double arrived;     /* accelerators that urgent jobs asked for, decaying */
    double most[CW_HEADROOM_WINDOW_S]; /* by second, the last ones */
    int64_t second;                    /* that `most` was written for last */
};

/* The peak of the last CW_HEADROOM_WINDOW_S seconds. */
extern const struct cw_headroom_ops cw_headroom_windowed;

/* A peak that is forgotten by a share of it each second. */
extern const struct cw_headroom_ops cw_headroom_decaying;

void cw_headroom_init(struct cw_headroom *headroom,
                      const struct cw_headroom_ops *ops, struct timespec now);

/* An urgent job that asks for so many accelerators was taken on. */
void cw_headroom_arrived(struct cw_headroom *headroom, double accelerators);

/* Urgent work holds so many accelerators now. */
void cw_headroom_observe(struct cw_headroom *headroom, double held,
                         struct timespec now);

/* Accelerators to keep free of lower work: what urgent work will hold, and
 * what may arrive before others can be made to leave. */
double cw_headroom_kept(const struct cw_headroom *headroom);

#endif

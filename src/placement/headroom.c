/* Forecast of what urgent work will hold. */
#include "curlewcart/cw_headroom.h"

#include <glib.h>

#include "curlewcart/cw_time.h"

enum {
    /* What arrives in so long is kept free: about what it takes to stop
     * others, and as much again since arrivals are uneven. */
    SPARE_MS = 1500,
    /* Arrivals are averaged over about so long. */
    ARRIVALS_MS = 4000,
    /* How fast the peak is forgotten, a second. */
    FORGET_PERCENT_PER_S = 12,
    PERCENT = 100
};

void
cw_headroom_init(struct cw_headroom *headroom, struct timespec now)
{
    headroom->observed_at = now;
}

void
cw_headroom_arrived(struct cw_headroom *headroom, double accelerators)
{
    headroom->recent_arrivals += accelerators;
}

void
cw_headroom_observe(struct cw_headroom *headroom, double held,
                    struct timespec now)
{
    int64_t passed_ms = cw_time_diff_ms(headroom->observed_at, now);
    double passed_s = (double)passed_ms / CW_MS_PER_S;

    headroom->peak *= MAX(0, 1 - passed_s * FORGET_PERCENT_PER_S / PERCENT);
    headroom->peak = MAX(headroom->peak, held);
    headroom->recent_arrivals *= MAX(0, 1 - (double)passed_ms / ARRIVALS_MS);
    headroom->observed_at = now;
}

double
cw_headroom_expected_arrivals(const struct cw_headroom *headroom)
{
    return headroom->recent_arrivals * SPARE_MS / ARRIVALS_MS;
}

double
cw_headroom_reserved(const struct cw_headroom *headroom)
{
    return headroom->peak + cw_headroom_expected_arrivals(headroom);
}

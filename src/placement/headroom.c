/* Forecast of what urgent work will use. */
#include "curlewcart/cw_headroom.h"

#include <glib.h>

#include "curlewcart/cw_time.h"

enum {
    /* Capacity is reserved for the arrivals of this time: about twice the time
     * needed to stop other runs, as arrivals are uneven. */
    RESERVED_ARRIVALS_MS = 1500,
    /* Time over which arrivals are averaged, approximately. */
    ARRIVALS_AVERAGE_MS = 4000,
    PEAK_DECAY_PERCENT_PER_S = 12,
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
cw_headroom_observe(struct cw_headroom *headroom, double used,
                    struct timespec now)
{
    int64_t passed_ms = cw_time_diff_ms(headroom->observed_at, now);
    double passed_s = (double)passed_ms / CW_MS_PER_S;

    headroom->peak *=
        MAX(0, 1 - passed_s * PEAK_DECAY_PERCENT_PER_S / PERCENT);
    headroom->peak = MAX(headroom->peak, used);
    headroom->recent_arrivals *=
        MAX(0, 1 - (double)passed_ms / ARRIVALS_AVERAGE_MS);
    headroom->observed_at = now;
}

double
cw_headroom_expected_arrivals(const struct cw_headroom *headroom)
{
    return headroom->recent_arrivals * RESERVED_ARRIVALS_MS /
           ARRIVALS_AVERAGE_MS;
}

double
cw_headroom_reserved(const struct cw_headroom *headroom)
{
    return headroom->peak + cw_headroom_expected_arrivals(headroom);
}

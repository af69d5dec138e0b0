/* Forecasts of what urgent work will hold. */
#include "curlewcart/cw_headroom.h"

#include <string.h>
#include <glib.h>

#include "curlewcart/cw_time.h"

enum {
    /* What arrives in so long is kept free: about what it takes to stop
     * others, and as much again since arrivals are uneven. */
    SPARE_MS = 1500,
    /* Arrivals are averaged over about so long. */
    ARRIVALS_MS = 4000,
    /* How fast a decaying peak is forgotten, a second. */
    FORGET_PERCENT_PER_S = 12,
    PERCENT = 100
};

/* ---- decaying ---- */

static void
decaying_observe(struct cw_headroom *headroom, double held,
                 struct timespec now)
{
    double passed_s = (double)cw_time_diff_ms(headroom->at, now) / CW_MS_PER_S;

    headroom->peak *= MAX(0, 1 - passed_s * FORGET_PERCENT_PER_S / PERCENT);
    headroom->peak = MAX(headroom->peak, held);
}

static double
decaying_forecast(const struct cw_headroom *headroom)
{
    return headroom->peak;
}

const struct cw_headroom_ops cw_headroom_decaying = {
    .name = "decaying",
    .observe = decaying_observe,
    .forecast = decaying_forecast,
};

/* ---- windowed ---- */

static int64_t
second_of(struct timespec now)
{
    return cw_time_diff_ms(cw_time_from_ms(0), now) / CW_MS_PER_S;
}

static void
windowed_observe(struct cw_headroom *headroom, double held,
                 struct timespec now)
{
    int64_t second = second_of(now);
    double *slot;

    if (second - headroom->second >= CW_HEADROOM_WINDOW_S) {
        memset(headroom->most, 0, sizeof(headroom->most));
    }
    else {
        for (int64_t i = headroom->second + 1; i <= second; i++) {
            headroom->most[i % CW_HEADROOM_WINDOW_S] = 0;
        }
    }
    headroom->second = second;
    slot = &headroom->most[second % CW_HEADROOM_WINDOW_S];
    *slot = MAX(*slot, held);
}

static double
windowed_forecast(const struct cw_headroom *headroom)
{
    double most = 0;

    for (unsigned i = 0; i < CW_HEADROOM_WINDOW_S; i++) {
        most = MAX(most, headroom->most[i]);
    }
    return most;
}

const struct cw_headroom_ops cw_headroom_windowed = {
    .name = "windowed",
    .observe = windowed_observe,
    .forecast = windowed_forecast,
};

/* ---- public ---- */

void
cw_headroom_init(struct cw_headroom *headroom,
                 const struct cw_headroom_ops *ops, struct timespec now)
{
    headroom->ops = ops;
    headroom->at = now;
    headroom->second = second_of(now);
}

void
cw_headroom_arrived(struct cw_headroom *headroom, double accelerators)
{
    headroom->arrived += accelerators;
}

void
cw_headroom_observe(struct cw_headroom *headroom, double held,
                    struct timespec now)
{
    int64_t passed_ms = cw_time_diff_ms(headroom->at, now);

    headroom->arrived *= MAX(0, 1 - (double)passed_ms / ARRIVALS_MS);
    headroom->ops->observe(headroom, held, now);
    headroom->held = held;
    headroom->at = now;
}

double
cw_headroom_kept(const struct cw_headroom *headroom)
{
    double spare = headroom->arrived * SPARE_MS / ARRIVALS_MS;

    return headroom->ops->forecast(headroom) + spare;
}

/* Straggler detection. */
#include "curlewcart/cw_stragglers.h"

#include <glib.h>

#include "curlewcart/cw_time.h"

enum {
    /* A run is stalled after STALLED_MS without progress, but not before the
     * time that STALLED_MIN_EXPECTED_PERCENT percent take at its best rate or,
     * while that is unknown, by its estimate. */
    STALLED_MS = 4500,
    STALLED_MIN_EXPECTED_PERCENT = 3,
    /* Time that a restart takes in addition to the repeated work. */
    RESTART_COST_MS = 1200
};

/* A restart that ends late, too, has to be this much quicker: the work that it
 * repeats takes capacity from others. */
#define LATE_GAIN_MIN 1.5

/* Lower bound of a run's rate, against division by zero. */
#define RATE_MIN_PERCENT_PER_S 1.0

bool
cw_progress_stalled(const struct cw_progress *progress)
{
    double bound_ms = MAX(STALLED_MS, STALLED_MIN_EXPECTED_PERCENT *
                                          progress->ms_per_percent);

    if (progress->percent >= CW_PERCENT_DONE && progress->awaits_gang) {
        return false;
    }
    return (double)progress->unchanged_ms >= bound_ms;
}

bool
cw_restart_is_worthwhile(const struct cw_restart *restart)
{
    double left = CW_PERCENT_DONE - restart->percent;
    double repeated_percent = restart->checkpoints ? left : CW_PERCENT_DONE;
    double stay_ms =
        left * CW_MS_PER_S / MAX(restart->rate, RATE_MIN_PERCENT_PER_S);
    double restart_ms =
        repeated_percent * CW_MS_PER_S / restart->expected + RESTART_COST_MS;

    if (!restart->urgent) {
        restart_ms +=
            RESTART_COST_MS; /* a delay costs less than the work lost */
    }
    if (stay_ms <= (double)restart->objective_ms) {
        return false;
    }
    return stay_ms > restart_ms &&
           (restart_ms <= (double)restart->objective_ms ||
            stay_ms > LATE_GAIN_MIN * restart_ms);
}

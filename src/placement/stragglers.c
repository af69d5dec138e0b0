/* Straggler detection. */
#include "curlewcart/cw_stragglers.h"

#include <glib.h>

#include "curlewcart/cw_time.h"

enum {
    /* Without progress for so long a run is stalled, unless a percent of it
     * takes as long. */
    STALLED_MS = 4500,
    /* ... or for so many times what a percent takes. */
    STALLED_PERCENTS = 3,
    /* Below this part of what is expected a run is slow. */
    SLOW_PERCENT = 40,
    /* A restart costs so much beside the work done again. */
    RESTART_MS = 1200
};

/* What is below a percent a second counts as that. */
#define RATE_LEAST 1.0

bool
cw_progress_stalled(const struct cw_progress *progress)
{
    double bound_ms =
        MAX(STALLED_MS, STALLED_PERCENTS * progress->ms_per_percent);

    if (progress->percent >= CW_PERCENT_DONE && progress->awaits_gang) {
        return false;
    }
    return (double)progress->unchanged_ms >= bound_ms;
}

static bool
is_slow(double rate, double expected)
{
    return rate * CW_PERCENT_DONE < expected * SLOW_PERCENT;
}

enum cw_rate_verdict
cw_rates_classify(const struct cw_rates *pace)
{
    if (pace->best <= 0 && pace->peers <= 0) {
        return CW_RATE_UNKNOWN;
    }
    if (is_slow(pace->rate, pace->best)) {
        return CW_RATE_SLOW_WORKER;
    }
    if (is_slow(pace->rate, pace->peers)) {
        return pace->slow_in_other_job ? CW_RATE_SLOW_WORKER
                                       : CW_RATE_LONG_TASK;
    }
    return CW_RATE_NORMAL;
}

double
cw_rates_expected(const struct cw_rates *pace)
{
    return pace->peers > 0 ? pace->peers : pace->best;
}

bool
cw_restart_is_worthwhile(const struct cw_restart *restart)
{
    double left = CW_PERCENT_DONE - restart->percent;
    double again = restart->checkpoints ? left : CW_PERCENT_DONE;
    double here_ms = left * CW_MS_PER_S / MAX(restart->rate, RATE_LEAST);
    double there_ms = again * CW_MS_PER_S / restart->expected + RESTART_MS;

    if (!restart->urgent) {
        there_ms += RESTART_MS; /* its lateness costs less than its work */
    }
    return here_ms > there_ms;
}

/* Straggler detection. */
#include "curlewcart/cw_stragglers.h"

#include <glib.h>

#include "curlewcart/cw_time.h"

enum {
    /* A run without progress for this time is stalled, */
    STALLED_MS = 4500,
    /* but not before it would have done so many percent at its own rate. */
    STALLED_MIN_PERCENT = 3,
    /* A rate below this part of the expected one is slow. */
    SLOW_BELOW_PERCENT = 40,
    /* What a restart costs beside the work that is repeated. */
    RESTART_COST_MS = 1200
};

/* Lower rates, in percent per second, count as this one. */
#define RATE_MIN_PERCENT_PER_S 1.0

bool
cw_progress_stalled(const struct cw_progress *progress)
{
    double bound_ms =
        MAX(STALLED_MS, STALLED_MIN_PERCENT * progress->ms_per_percent);

    if (progress->percent >= CW_PERCENT_DONE && progress->awaits_gang) {
        return false;
    }
    return (double)progress->unchanged_ms >= bound_ms;
}

static bool
is_slow(double rate, double expected)
{
    return rate * CW_PERCENT_DONE < expected * SLOW_BELOW_PERCENT;
}

enum cw_rate_verdict
cw_rates_classify(const struct cw_rates *rates)
{
    if (rates->best <= 0 && rates->peers <= 0) {
        return CW_RATE_UNKNOWN;
    }
    if (is_slow(rates->rate, rates->best)) {
        return CW_RATE_SLOW_WORKER;
    }
    if (is_slow(rates->rate, rates->peers)) {
        return rates->slow_in_other_job ? CW_RATE_SLOW_WORKER
                                        : CW_RATE_LONG_TASK;
    }
    return CW_RATE_NORMAL;
}

double
cw_rates_expected(const struct cw_rates *rates)
{
    return rates->peers > 0 ? rates->peers : rates->best;
}

bool
cw_restart_is_worthwhile(const struct cw_restart *restart)
{
    double left = CW_PERCENT_DONE - restart->percent;
    double again = restart->checkpoints ? left : CW_PERCENT_DONE;
    double here_ms =
        left * CW_MS_PER_S / MAX(restart->rate, RATE_MIN_PERCENT_PER_S);
    double there_ms =
        again * CW_MS_PER_S / restart->expected + RESTART_COST_MS;

    if (!restart->urgent) {
        there_ms +=
            RESTART_COST_MS; /* a delay costs less than the work lost */
    }
    return here_ms > there_ms;
}

/* Delays the first read of the log of jobs on a VM that starts. */
#include "curlewcart/cw_load_gate.h"

#include <glib.h>

#include "curlewcart/cw_time.h"

enum {
    FULL_CORE_MILLI = 1000,
    PERCENT = 100,
    /* Longest delay of a VM that is not weak, in percent of the time that the
     * configuration took. */
    DELAY_MAX_PERCENT = 200,
    /* Delay if no configuration arrives. */
    UNCONFIGURED_MAX_MS = 2000,
    /* Longest delay in any case, as callers query this VM about jobs. */
    DELAY_MAX_MS = 4000,
    /* A VM with less than this does not own the shard if others have more.
     * If the configuration took CONFIG_SLOW_MS or longer, many VMs are
     * starting.  The weak VM then sends no read for TAKEOVER_DELAY_MS, while
     * another VM takes over, and adds SPREAD_FACTOR times the time that the
     * configuration took: this spreads the reads of weak VMs so that they do
     * not delay the reads of the new owner. */
    WEAK_MILLI = 250,
    CONFIG_SLOW_MS = 50,
    TAKEOVER_DELAY_MS = 1200,
    SPREAD_FACTOR = 4
};

void
cw_load_gate_init(struct cw_load_gate *gate, unsigned capacity_milli,
                  struct timespec now)
{
    gate->capacity_milli = capacity_milli > 0
                               ? MIN(capacity_milli, FULL_CORE_MILLI)
                               : FULL_CORE_MILLI;
    gate->started_at = now;
    gate->config_arrived = false;
    gate->open = gate->capacity_milli == FULL_CORE_MILLI;
    gate->due = cw_time_add_ms(now, gate->open ? 0 : UNCONFIGURED_MAX_MS);
}

/* Returns the delay of the first read of the log, counted from the arrival of
 * the configuration, which was `took_ms` after this VM started. */
static int64_t
wait_ms(const struct cw_load_gate *gate, int64_t took_ms)
{
    unsigned percent = (FULL_CORE_MILLI - gate->capacity_milli) * PERCENT /
                       gate->capacity_milli;

    if (gate->capacity_milli < WEAK_MILLI && took_ms >= CONFIG_SLOW_MS) {
        return TAKEOVER_DELAY_MS + SPREAD_FACTOR * took_ms;
    }
    return took_ms * MIN(percent, DELAY_MAX_PERCENT) / PERCENT;
}

bool
cw_load_gate_is_open(struct cw_load_gate *gate, bool configured,
                     struct timespec now)
{
    if (!gate->open && configured && !gate->config_arrived) {
        int64_t took_ms = cw_time_diff_ms(gate->started_at, now);

        gate->config_arrived = true;
        gate->due = cw_time_add_ms(now, wait_ms(gate, took_ms));
        cw_time_set_earlier(&gate->due,
                            cw_time_add_ms(gate->started_at, DELAY_MAX_MS));
    }
    gate->open = gate->open || !cw_time_before(now, gate->due);
    return gate->open;
}

struct timespec
cw_load_gate_due(const struct cw_load_gate *gate)
{
    return gate->due;
}

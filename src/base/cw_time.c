/* Clocks: the system's, and one that its user sets. */
#include "curlewcart/cw_time.h"

static struct timespec
system_monotonic(struct cw_clock *clock)
{
    struct timespec now;

    (void)clock;
    /* CLOCK_BOOTTIME includes the time for which the machine was suspended.
     * With CLOCK_MONOTONIC, which does not, a VM that resumes would treat
     * expired leases as valid. */
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now;
}

static int64_t
system_wall_ms(struct cw_clock *clock)
{
    struct timespec now;

    (void)clock;
    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * CW_MS_PER_S + now.tv_nsec / CW_NS_PER_MS;
}

struct cw_clock *
cw_clock_system(void)
{
    static const struct cw_clock_ops ops = {
        .monotonic = system_monotonic,
        .wall_ms = system_wall_ms,
    };
    static struct cw_clock clock = {.ops = &ops};

    return &clock;
}

static struct timespec
manual_monotonic(struct cw_clock *clock)
{
    return ((struct cw_clock_manual *)clock)->now;
}

static int64_t
manual_wall_ms(struct cw_clock *clock)
{
    struct cw_clock_manual *manual = (struct cw_clock_manual *)clock;
    struct timespec zero = {0, 0};

    return cw_time_diff_ms(zero, manual->now) + manual->wall_offset_ms;
}

void
cw_clock_manual_init(struct cw_clock_manual *clock)
{
    static const struct cw_clock_ops ops = {
        .monotonic = manual_monotonic,
        .wall_ms = manual_wall_ms,
    };

    clock->base.ops = &ops;
    clock->now.tv_sec = 0;
    clock->now.tv_nsec = 0;
    clock->wall_offset_ms = 0;
}

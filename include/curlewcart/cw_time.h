/* Points in time and the clock interface.
 *
 * Decision code never reads the system's clock directly: it gets the current
 * time with each event, or from a struct cw_clock that the program passed in.
 * Leases and timeouts use the monotonic clock.  Wall-clock time is used for
 * timestamps in records and logs, and for ages and due times computed from
 * them.
 */
#ifndef CURLEWCART_CW_TIME_H
#define CURLEWCART_CW_TIME_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define CW_MS_PER_S 1000
#define CW_NS_PER_MS 1000000
#define CW_NS_PER_S 1000000000L

struct cw_clock;

/* Operations of a clock. */
struct cw_clock_ops {
    /* Monotonic time, including time for which the machine was suspended. */
    struct timespec (*monotonic)(struct cw_clock *clock);
    /* Wall-clock time in milliseconds since 1970; may jump. */
    int64_t (*wall_ms)(struct cw_clock *clock);
};

/* A clock.  Embed as the first member of an implementation. */
struct cw_clock {
    const struct cw_clock_ops *ops;
};

/* The system's clock.  Borrowed, static, thread-safe. */
struct cw_clock *cw_clock_system(void);

/* A clock that its user sets, for tests, fuzzers and the benchmark. */
struct cw_clock_manual {
    struct cw_clock base;
    struct timespec now;
    int64_t wall_offset_ms;
};

/* Initialises `clock` at time zero. */
void cw_clock_manual_init(struct cw_clock_manual *clock);

/* The clock's monotonic time. */
static inline struct timespec
cw_clock_now(struct cw_clock *clock)
{
    return clock->ops->monotonic(clock);
}

/* The clock's wall-clock time in milliseconds since 1970. */
static inline int64_t
cw_clock_wall_ms(struct cw_clock *clock)
{
    return clock->ops->wall_ms(clock);
}

/* `t` plus `ms` milliseconds (may be negative). */
static inline struct timespec
cw_time_add_ms(struct timespec t, int64_t ms)
{
    int64_t ns = t.tv_nsec + (ms % CW_MS_PER_S) * CW_NS_PER_MS;

    t.tv_sec += ms / CW_MS_PER_S;
    if (ns >= CW_NS_PER_S) {
        ns -= CW_NS_PER_S;
        t.tv_sec++;
    }
    else if (ns < 0) {
        ns += CW_NS_PER_S;
        t.tv_sec--;
    }
    t.tv_nsec = ns;
    return t;
}

/* The time `ms` milliseconds after zero. */
static inline struct timespec
cw_time_from_ms(int64_t ms)
{
    struct timespec zero = {0, 0};

    return cw_time_add_ms(zero, ms);
}

/* Milliseconds from `from` to `to`. */
static inline int64_t
cw_time_diff_ms(struct timespec from, struct timespec to)
{
    int64_t seconds = (int64_t)to.tv_sec - from.tv_sec;

    return seconds * CW_MS_PER_S + (to.tv_nsec - from.tv_nsec) / CW_NS_PER_MS;
}

/* True if `a` is before `b`. */
static inline bool
cw_time_before(struct timespec a, struct timespec b)
{
    return a.tv_sec < b.tv_sec ||
           (a.tv_sec == b.tv_sec && a.tv_nsec < b.tv_nsec);
}

/* Sets `due` to `other` if `other` is earlier. */
static inline void
cw_time_set_earlier(struct timespec *due, struct timespec other)
{
    if (cw_time_before(other, *due)) {
        *due = other;
    }
}

/* Sets `end` to `other` if `other` is later. */
static inline void
cw_time_set_later(struct timespec *end, struct timespec other)
{
    if (cw_time_before(*end, other)) {
        *end = other;
    }
}

#endif

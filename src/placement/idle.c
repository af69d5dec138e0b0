/* The limit on the idle time of jobs. */
#include "curlewcart/cw_idle.h"

#include "curlewcart/cw_time.h"

enum {
    /* The platform tolerates 3 s in which no task of a job runs while there is
     * twice the capacity that it needs.  The limit is lower by the time that
     * the placement, the store and the start take: 0.1 s, or up to 0.4 s with
     * late answers. */
    IDLE_MAX_MS = 2300,
    /* Minimum time for which there has been free capacity.  With late answers
     * the owner receives the ends of runs up to 1 s late, so that the capacity
     * may have been free for 1 s longer. */
    FREE_MIN_MS = 1500,
    /* A shorter gap without free capacity may be caused by late answers, and
     * is ignored. */
    GAP_MAX_MS = 1000
};

static bool
is_set(struct timespec time)
{
    return time.tv_sec > 0;
}

void
cw_idle_begin(struct cw_idle *idle, struct timespec now)
{
    *idle = (struct cw_idle){.since = now};
}

void
cw_idle_check(struct cw_idle *idle, bool has_capacity, struct timespec now)
{
    if (!has_capacity) {
        idle->free_since = cw_time_from_ms(0);
        return;
    }
    if (!is_set(idle->free_since)) {
        idle->free_since = now;
    }
    if (!is_set(idle->available_since) ||
        cw_time_diff_ms(idle->last_free_at, now) > GAP_MAX_MS)
    {
        idle->available_since = now;
    }
    idle->last_free_at = now;
}

int64_t
cw_idle_free_ms(const struct cw_idle *idle, struct timespec now)
{
    return is_set(idle->free_since) ? cw_time_diff_ms(idle->free_since, now)
                                    : 0;
}

bool
cw_idle_is_overdue(const struct cw_idle *idle, struct timespec now)
{
    return cw_time_diff_ms(idle->since, now) > IDLE_MAX_MS &&
           is_set(idle->available_since) &&
           cw_time_diff_ms(idle->last_free_at, now) <= GAP_MAX_MS &&
           cw_time_diff_ms(idle->available_since, idle->last_free_at) >=
               FREE_MIN_MS;
}

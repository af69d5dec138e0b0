/* Idle jobs. */
#include "curlewcart/cw_idle.h"

#include "curlewcart/cw_time.h"

enum {
    /* The platform bears 3 s in which nothing of a job runs beside room for it
     * twice over.  What is left is for the placement, the store and the start:
     * 0.1 s, and up to 0.4 where answers are late. */
    IDLE_MS = 2300,
    /* There has to have been room for so long.  Workers may have had it for 1
     * s more: their ends are known here later, where their answers are late.
     */
    ROOM_MS = 1500,
    /* For the same reason a shorter time without room may be none. */
    GAP_MS = 1000
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
cw_idle_check(struct cw_idle *idle, bool has_room, struct timespec now)
{
    if (!has_room) {
        idle->free_since = cw_time_from_ms(0);
        return;
    }
    if (!is_set(idle->free_since)) {
        idle->free_since = now;
    }
    if (!is_set(idle->available_since) ||
        cw_time_diff_ms(idle->last_free_at, now) > GAP_MS)
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
    return cw_time_diff_ms(idle->since, now) > IDLE_MS &&
           is_set(idle->available_since) &&
           cw_time_diff_ms(idle->last_free_at, now) <= GAP_MS &&
           cw_time_diff_ms(idle->available_since, idle->last_free_at) >=
               ROOM_MS;
}

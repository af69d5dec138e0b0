/* How many orders the owner has under way at a time.
 *
 * An owner that is short of processor takes answers late, asks again what was
 * answered, and makes new connections for it: that costs more processor, and
 * it never recovers.  With 3,000 workers on half a core it served a sixth of
 * what was asked and started tasks on workers that had left seconds before.
 * So what it places is held to what it can carry: while answers to orders
 * come soon, more may be under way; once they come late, less. */
#include "owner/internal/owner_private.h"

enum {
    /* An answer takes 2 to 10 ms where the owner keeps up, and an order is
     * sent again after 500. */
    SOON_MS = 60,
    LATE_MS = 180,
    /* Answers count by so many parts: some tenths of a second's worth. */
    AVERAGED_OVER = 64,
    /* Orders under way.  Chosen, not measured: at first one for every other of
     * 1,100 workers; at the least, and at the most, far from either. */
    FIRST_MOST = 512,
    LEAST = 96,
    MOST = 8192,
    /* Up by an eighth each tenth of a second, down by a quarter. */
    UP_PARTS = 8,
    DOWN_PARTS = 4,
    /* Urgent work waits only at so many times the limit. */
    URGENT_TIMES = 2
};

void
owner_pace_reset(struct owner_pace *pace)
{
    pace->answer_ms = 0;
    pace->most = FIRST_MOST;
}

void
owner_pace_answered(struct owner_pace *pace, int64_t took_ms)
{
    pace->answer_ms += ((double)took_ms - pace->answer_ms) / AVERAGED_OVER;
}

void
owner_pace_adjust(struct owner_pace *pace)
{
    if (pace->answer_ms < SOON_MS) {
        pace->most = MIN(pace->most + pace->most / UP_PARTS, MOST);
    }
    else if (pace->answer_ms > LATE_MS) {
        pace->most = MAX(pace->most - pace->most / DOWN_PARTS, LEAST);
        cw_log_info("owner_behind", "answer_ms=%.0f orders=%u most=%u",
                    pace->answer_ms, pace->under_way, pace->most);
    }
}

bool
owner_pace_allows(const struct owner_pace *pace, bool urgent)
{
    return pace->under_way < (urgent ? URGENT_TIMES * pace->most : pace->most);
}

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
owner_order_window_reset(struct owner_order_window *order_window)
{
    order_window->mean_answer_ms = 0;
    order_window->max_in_flight = FIRST_MOST;
}

void
owner_order_window_answered(struct owner_order_window *order_window,
                            int64_t took_ms)
{
    order_window->mean_answer_ms +=
        ((double)took_ms - order_window->mean_answer_ms) / AVERAGED_OVER;
}

void
owner_order_window_adjust(struct owner_order_window *order_window)
{
    if (order_window->mean_answer_ms < SOON_MS) {
        order_window->max_in_flight =
            MIN(order_window->max_in_flight +
                    order_window->max_in_flight / UP_PARTS,
                MOST);
    }
    else if (order_window->mean_answer_ms > LATE_MS) {
        order_window->max_in_flight =
            MAX(order_window->max_in_flight -
                    order_window->max_in_flight / DOWN_PARTS,
                LEAST);
        cw_log_info("order_window_reduced", "answer_ms=%.0f orders=%u most=%u",
                    order_window->mean_answer_ms, order_window->in_flight,
                    order_window->max_in_flight);
    }
}

bool
owner_order_window_allows(const struct owner_order_window *order_window,
                          bool urgent)
{
    return order_window->in_flight <
           (urgent ? URGENT_TIMES * order_window->max_in_flight
                   : order_window->max_in_flight);
}

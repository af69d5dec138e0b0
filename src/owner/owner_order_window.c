/* Limit on the number of outstanding orders, which are queued, or sent and not
 * answered.
 *
 * An owner that is short of processor time reads answers late, resends orders
 * that were answered, and opens new connections for them.  That costs more
 * processor time, and the owner never recovers: without a limit, with 3,000
 * workers on half a core, it processes a sixth of the requests, and starts
 * tasks on workers that shut down seconds before.  So the limit grows while
 * orders are answered quickly, and shrinks once answers are late. */
#include "owner/internal/owner_private.h"

enum {
    /* An answer takes 2 to 10 ms if the owner is not overloaded; an order is
     * resent after 500 ms. */
    QUICK_ANSWER_MS = 60,
    LATE_ANSWER_MS = 180,
    /* Weight of a new answer in the average is 1 / this: the average covers a
     * few tenths of a second. */
    AVERAGE_DIVISOR = 64,
    /* Limits on outstanding orders: initially one for about half of 1,100
     * workers, with a minimum and a maximum far from that. */
    ORDERS_MAX_INITIAL = 512,
    ORDERS_MAX_LOWEST = 96,
    ORDERS_MAX_HIGHEST = 8192,
    /* Every 100 ms the limit grows by an eighth or shrinks by a quarter. */
    GROWTH_DIVISOR = 8,
    SHRINK_DIVISOR = 4,
    /* The limit for urgent work is this many times higher. */
    URGENT_FACTOR = 2
};

void
owner_order_window_reset(struct owner_order_window *order_window)
{
    order_window->mean_answer_ms = 0;
    order_window->max_outstanding = ORDERS_MAX_INITIAL;
}

void
owner_order_window_answered(struct owner_order_window *order_window,
                            int64_t took_ms)
{
    order_window->mean_answer_ms +=
        ((double)took_ms - order_window->mean_answer_ms) / AVERAGE_DIVISOR;
}

void
owner_order_window_adjust(struct owner_order_window *order_window)
{
    if (order_window->mean_answer_ms < QUICK_ANSWER_MS) {
        order_window->max_outstanding =
            MIN(order_window->max_outstanding +
                    order_window->max_outstanding / GROWTH_DIVISOR,
                ORDERS_MAX_HIGHEST);
    }
    else if (order_window->mean_answer_ms > LATE_ANSWER_MS) {
        order_window->max_outstanding =
            MAX(order_window->max_outstanding -
                    order_window->max_outstanding / SHRINK_DIVISOR,
                ORDERS_MAX_LOWEST);
        cw_log_info("order_window_reduced", "answer_ms=%.0f orders=%u most=%u",
                    order_window->mean_answer_ms, order_window->outstanding,
                    order_window->max_outstanding);
    }
}

bool
owner_order_window_allows(const struct owner_order_window *order_window,
                          bool urgent)
{
    return order_window->outstanding <
           (urgent ? URGENT_FACTOR * order_window->max_outstanding
                   : order_window->max_outstanding);
}

/* How many orders are under way at a time.
 *
 * The pattern: 3,000 workers and an owner on half a core.  It takes answers
 * so late that it asks again what was answered, and has no time for the
 * reports of workers that leave.  Grounds for the figures: an order is sent
 * again after 500 ms, an answer takes 2 to 10 ms where the owner keeps up. */
#include "test_main.h"

#include "owner_site.h"

enum { ANSWERS = 400, TENTHS = 50 };

static void
answer_all(struct owner_order_window *order_window, int64_t took_ms)
{
    for (unsigned i = 0; i < ANSWERS; i++) {
        owner_order_window_answered(order_window, took_ms);
    }
}

static void
test_soon_answered_more_may_be_under_way(void)
{
    struct owner_order_window order_window = {0};
    unsigned first;

    owner_order_window_reset(&order_window);
    first = order_window.max_in_flight;
    answer_all(&order_window, 5);
    for (unsigned i = 0; i < TENTHS; i++) {
        owner_order_window_adjust(&order_window);
    }
    CU_ASSERT_TRUE(order_window.max_in_flight > 8 * first);
    order_window.in_flight = 8 * first;
    CU_ASSERT_TRUE(owner_order_window_allows(&order_window, false));
}

static void
test_answered_late_fewer_may_but_some_always(void)
{
    struct owner_order_window order_window = {0};

    cw_log_setup("error", "test");
    owner_order_window_reset(&order_window);
    answer_all(&order_window, 400);
    for (unsigned i = 0; i < TENTHS; i++) {
        owner_order_window_adjust(&order_window);
    }
    CU_ASSERT_TRUE(order_window.max_in_flight < 128);
    CU_ASSERT_TRUE(owner_order_window_allows(&order_window, false));
    order_window.in_flight = order_window.max_in_flight;
    CU_ASSERT_FALSE(owner_order_window_allows(&order_window, false));
    CU_ASSERT_TRUE(
        owner_order_window_allows(&order_window, true)); /* urgent work */
    order_window.in_flight = 2 * order_window.max_in_flight;
    CU_ASSERT_FALSE(owner_order_window_allows(&order_window, true));
}

static void
test_it_recovers_when_answers_come_soon_again(void)
{
    struct owner_order_window order_window = {0};
    unsigned least;

    cw_log_setup("error", "test");
    owner_order_window_reset(&order_window);
    answer_all(&order_window, 400);
    for (unsigned i = 0; i < TENTHS; i++) {
        owner_order_window_adjust(&order_window);
    }
    least = order_window.max_in_flight;
    answer_all(&order_window, 5);
    for (unsigned i = 0; i < TENTHS; i++) {
        owner_order_window_adjust(&order_window);
    }
    CU_ASSERT_TRUE(order_window.max_in_flight > 8 * least);
}

/* Nothing is placed while too much is under way; then it is. */
static void
test_placement_waits_for_orders_under_way(void)
{
    struct site site;
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 1};
    struct owner_job *job;

    site_begin(&site);
    job = add_job(&site, 1, &one);
    site.owner->order_window.in_flight =
        site.owner->order_window.max_in_flight;
    pass(&site, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    site.owner->order_window.in_flight = 0;
    pass(&site, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    site_end(&site);
}

/* Each order counts from its queue to its answer, or until it is dropped. */
static void
test_orders_are_counted_until_they_are_answered(void)
{
    struct site site;
    struct owner_target *target;
    const struct cw_task_name task = {.job = "x"};

    site_begin(&site);
    target = owner_target_get(site.owner, "w00");
    site.owner->ownership_confirmed_at = site.clock.now;
    for (unsigned i = 0; i < 3; i++) {
        owner_order_queue(site.owner, target, CW_ORDER_STOP, &task, i + 1);
    }
    CU_ASSERT_EQUAL(site.owner->order_window.in_flight, 3);
    owner_orders_send(site.owner, target, site.clock.now);
    answer_last(CW_TARGET_OK);
    CU_ASSERT_EQUAL(site.owner->order_window.in_flight, 2);
    owner_target_lost(site.owner, target, "test");
    CU_ASSERT_EQUAL(site.owner->order_window.in_flight,
                    1); /* one is on its way */
    site_end(&site);
}

static const struct test tests[] = {
    {"grows", test_soon_answered_more_may_be_under_way},
    {"shrinks", test_answered_late_fewer_may_but_some_always},
    {"recovers", test_it_recovers_when_answers_come_soon_again},
    {"placement", test_placement_waits_for_orders_under_way},
    {"counted", test_orders_are_counted_until_they_are_answered},
};

TEST_MAIN("pace", tests)

/* Limit on the number of outstanding orders.
 *
 * Guards against an owner that is overloaded by its own orders.  With 3,000
 * workers and half a core it reads answers so late that it resends orders that
 * were answered, and has no time for the reports of draining workers.  An
 * order is resent after 500 ms; an answer takes 2 to 10 ms if the owner is not
 * overloaded. */
#include "test_main.h"

#include "owner_cluster.h"

enum { ANSWERS = 400, ADJUSTMENTS = 50 };

static void
answer_all(struct owner_order_window *order_window, int64_t took_ms)
{
    for (unsigned i = 0; i < ANSWERS; i++) {
        owner_order_window_answered(order_window, took_ms);
    }
}

static void
test_limit_grows_with_quick_answers(void)
{
    struct owner_order_window order_window = {0};
    unsigned first;

    owner_order_window_reset(&order_window);
    first = order_window.max_outstanding;
    answer_all(&order_window, 5);
    for (unsigned i = 0; i < ADJUSTMENTS; i++) {
        owner_order_window_adjust(&order_window);
    }
    CU_ASSERT_TRUE(order_window.max_outstanding > 8 * first);
    order_window.outstanding = 8 * first;
    CU_ASSERT_TRUE(owner_order_window_allows(&order_window, false));
}

static void
test_limit_shrinks_to_minimum_with_late_answers(void)
{
    struct owner_order_window order_window = {0};

    cw_log_setup("error", "test");
    owner_order_window_reset(&order_window);
    answer_all(&order_window, 400);
    for (unsigned i = 0; i < ADJUSTMENTS; i++) {
        owner_order_window_adjust(&order_window);
    }
    CU_ASSERT_TRUE(order_window.max_outstanding < 128);
    CU_ASSERT_TRUE(owner_order_window_allows(&order_window, false));
    order_window.outstanding = order_window.max_outstanding;
    CU_ASSERT_FALSE(owner_order_window_allows(&order_window, false));
    CU_ASSERT_TRUE(
        owner_order_window_allows(&order_window, true)); /* urgent work */
    order_window.outstanding = 2 * order_window.max_outstanding;
    CU_ASSERT_FALSE(owner_order_window_allows(&order_window, true));
}

static void
test_limit_recovers_after_late_answers(void)
{
    struct owner_order_window order_window = {0};
    unsigned lowest;

    cw_log_setup("error", "test");
    owner_order_window_reset(&order_window);
    answer_all(&order_window, 400);
    for (unsigned i = 0; i < ADJUSTMENTS; i++) {
        owner_order_window_adjust(&order_window);
    }
    lowest = order_window.max_outstanding;
    answer_all(&order_window, 5);
    for (unsigned i = 0; i < ADJUSTMENTS; i++) {
        owner_order_window_adjust(&order_window);
    }
    CU_ASSERT_TRUE(order_window.max_outstanding > 8 * lowest);
}

/* Nothing is placed while too many orders are outstanding. */
static void
test_placement_waits_for_orders_in_flight(void)
{
    struct cluster cluster;
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 1};
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 1, &one);
    cluster.owner->order_window.outstanding =
        cluster.owner->order_window.max_outstanding;
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster.owner->order_window.outstanding = 0;
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* An order counts from when it is queued until it is answered or dropped. */
static void
test_orders_count_until_answered(void)
{
    struct cluster cluster;
    struct owner_target *target;
    const struct cw_task_name task = {.job = "x"};

    cluster_begin(&cluster);
    target = owner_target_get(cluster.owner, "w00");
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    for (unsigned i = 0; i < 3; i++) {
        owner_order_queue(cluster.owner, target, CW_ORDER_STOP, &task, i + 1);
    }
    CU_ASSERT_EQUAL(cluster.owner->order_window.outstanding, 3);
    owner_orders_send(cluster.owner, target, cluster.clock.now);
    answer_last(CW_TARGET_OK);
    CU_ASSERT_EQUAL(cluster.owner->order_window.outstanding, 2);
    owner_target_lost(cluster.owner, target,
                      &(struct owner_loss){.reason = "test"});
    CU_ASSERT_EQUAL(cluster.owner->order_window.outstanding,
                    1); /* one is in flight */
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"grows", test_limit_grows_with_quick_answers},
    {"shrinks", test_limit_shrinks_to_minimum_with_late_answers},
    {"recovers", test_limit_recovers_after_late_answers},
    {"placement", test_placement_waits_for_orders_in_flight},
    {"counted", test_orders_count_until_answered},
};

TEST_MAIN("pace", tests)

/* Polls of idle workers: their rate and number are limited, however many
 * workers there are. */
#include "test_main.h"

#include "owner_cluster.h"

enum { MANY_WORKERS = 600, POLLS_MAX = 100 };

/* Orders that were sent, each to be answered once. */
static GArray *orders;

static void
count_order(struct cw_targets *targets, const struct cw_target_order *order)
{
    (void)targets;
    g_array_append_vals(orders, order, 1);
}

static void
cluster_begin_counting(struct cluster *cluster)
{
    static const struct cw_targets_ops ops = {.order = count_order};
    static struct cw_targets targets = {.ops = &ops};

    cluster_begin(cluster);
    cluster->owner->options.targets = &targets;
    cluster->owner->takeover_began_at = cluster->clock.now;
    orders = g_array_new(FALSE, FALSE, sizeof(struct cw_target_order));
}

static void
answer(enum cw_target_status status)
{
    const struct cw_target_answer result = {.status = status};
    struct cw_target_order order =
        g_array_index(orders, struct cw_target_order, orders->len - 1);

    g_array_set_size(orders, orders->len - 1);
    order.done(order.context, &result);
}

static void
cluster_end_counting(struct cluster *cluster)
{
    while (orders->len > 0) {
        answer(CW_TARGET_UNREACHABLE);
    }
    g_array_unref(orders);
    cluster_end(cluster);
}

static void
tick_all(struct cluster *cluster, unsigned ms)
{
    GHashTableIter iterator;
    gpointer value;

    cluster->clock.now = cw_time_add_ms(cluster->clock.now, ms);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    g_hash_table_iter_init(&iterator, cluster->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        owner_poll_tick(cluster->owner, value, cluster->clock.now);
    }
}

/* Sets the state as if each worker had just been polled. */
static void
set_polled(struct cluster *cluster)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, cluster->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((struct owner_target *)value)->poll_sent_at = cluster->clock.now;
    }
}

static void
test_polls_in_flight_are_limited(void)
{
    struct cluster cluster;

    cluster_begin_counting(&cluster);
    for (unsigned i = RACKS * PER_RACK; i < MANY_WORKERS; i++) {
        add_worker(&cluster, i);
    }
    tick_all(&cluster, 8000); /* longer than the interval of polls */
    CU_ASSERT_EQUAL(orders->len, POLLS_MAX);
    answer(CW_TARGET_OK);
    tick_all(&cluster, 1);
    CU_ASSERT_EQUAL(orders->len, POLLS_MAX); /* one more was sent */
    cluster_end_counting(&cluster);
}

static void
test_more_workers_are_polled_less_often(void)
{
    struct cluster few;
    struct cluster many;

    cluster_begin_counting(&few);
    set_polled(&few);
    tick_all(&few, 3000);
    CU_ASSERT_EQUAL(orders->len, RACKS * PER_RACK);
    cluster_end_counting(&few);
    cluster_begin_counting(&many);
    for (unsigned i = RACKS * PER_RACK; i < MANY_WORKERS; i++) {
        add_worker(&many, i);
    }
    many.owner->takeover_began_at = many.clock.now;
    set_polled(&many);
    tick_all(&many, 3000);
    CU_ASSERT_EQUAL(orders->len, 0);
    tick_all(&many, 1500);
    CU_ASSERT_EQUAL(orders->len, POLLS_MAX);
    cluster_end_counting(&many);
}

static const struct test tests[] = {
    {"polls in flight", test_polls_in_flight_are_limited},
    {"more workers", test_more_workers_are_polled_less_often},
};

TEST_MAIN("polls", tests)

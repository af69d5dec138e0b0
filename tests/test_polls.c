/* Polls of idle workers: their rate and number are limited, however many
 * workers there are. */
#include "test_main.h"

#include "owner_site.h"

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
site_begin_counting(struct site *site)
{
    static const struct cw_targets_ops ops = {.order = count_order};
    static struct cw_targets targets = {.ops = &ops};

    site_begin(site);
    site->owner->options.targets = &targets;
    site->owner->takeover_began_at = site->clock.now;
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
site_end_counting(struct site *site)
{
    while (orders->len > 0) {
        answer(CW_TARGET_UNREACHABLE);
    }
    g_array_unref(orders);
    site_end(site);
}

static void
tick_all(struct site *site, unsigned ms)
{
    GHashTableIter iterator;
    gpointer value;

    site->clock.now = cw_time_add_ms(site->clock.now, ms);
    site->owner->ownership_confirmed_at = site->clock.now;
    g_hash_table_iter_init(&iterator, site->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        owner_poll_tick(site->owner, value, site->clock.now);
    }
}

/* Sets the state as if each worker had just been polled. */
static void
set_polled(struct site *site)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, site->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((struct owner_target *)value)->poll_sent_at = site->clock.now;
    }
}

static void
test_polls_in_flight_are_limited(void)
{
    struct site site;

    site_begin_counting(&site);
    for (unsigned i = RACKS * PER_RACK; i < MANY_WORKERS; i++) {
        add_worker(&site, i);
    }
    tick_all(&site, 8000); /* longer than the interval of polls */
    CU_ASSERT_EQUAL(orders->len, POLLS_MAX);
    answer(CW_TARGET_OK);
    tick_all(&site, 1);
    CU_ASSERT_EQUAL(orders->len, POLLS_MAX); /* one more was sent */
    site_end_counting(&site);
}

static void
test_more_workers_are_polled_less_often(void)
{
    struct site few;
    struct site many;

    site_begin_counting(&few);
    set_polled(&few);
    tick_all(&few, 3000);
    CU_ASSERT_EQUAL(orders->len, RACKS * PER_RACK);
    site_end_counting(&few);
    site_begin_counting(&many);
    for (unsigned i = RACKS * PER_RACK; i < MANY_WORKERS; i++) {
        add_worker(&many, i);
    }
    many.owner->takeover_began_at = many.clock.now;
    set_polled(&many);
    tick_all(&many, 3000);
    CU_ASSERT_EQUAL(orders->len, 0);
    tick_all(&many, 1500);
    CU_ASSERT_EQUAL(orders->len, POLLS_MAX);
    site_end_counting(&many);
}

static const struct test tests[] = {
    {"polls in flight", test_polls_in_flight_are_limited},
    {"more workers", test_more_workers_are_polled_less_often},
};

TEST_MAIN("polls", tests)

/* Looks at idle workers, bounded however many there are. */
#include "test_main.h"

#include "owner_site.h"

enum { MANY = 600, LOOKS_MOST = 100 };

static unsigned sent;

static void
count_order(struct cw_targets *targets, const struct cw_target_order *order)
{
    keep_order(targets, order);
    sent++;
}

static void
site_begin_counting(struct site *site)
{
    static const struct cw_targets_ops ops = {.order = count_order};
    static struct cw_targets targets = {.ops = &ops};

    site_begin(site);
    site->owner->options.targets = &targets;
    site->owner->began = site->clock.now;
    sent = 0;
}

static void
tick_all(struct site *site, unsigned ms)
{
    GHashTableIter iterator;
    gpointer value;

    site->clock.now = cw_time_add_ms(site->clock.now, ms);
    site->owner->proof_at = site->clock.now;
    g_hash_table_iter_init(&iterator, site->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        owner_hold_tick(site->owner, value, site->clock.now);
    }
}

/* As if each had been looked at just now. */
static void
set_looked_at(struct site *site)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, site->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((struct owner_target *)value)->hold_sent = site->clock.now;
    }
}

static void
test_so_many_at_a_time(void)
{
    struct site site;

    site_begin_counting(&site);
    for (unsigned i = RACKS * PER_RACK; i < MANY; i++) {
        add_worker(&site, i);
    }
    tick_all(&site, 8000); /* longer than any look's pace */
    CU_ASSERT_EQUAL(sent, LOOKS_MOST);
    answer_last(CW_TARGET_OK);
    tick_all(&site, 1);
    CU_ASSERT_EQUAL(sent, LOOKS_MOST + 1);
    site_end(&site);
}

static void
test_less_often_with_more_workers(void)
{
    struct site few;
    struct site many;

    site_begin_counting(&few);
    set_looked_at(&few);
    tick_all(&few, 3000);
    CU_ASSERT_EQUAL(sent, RACKS * PER_RACK);
    site_end(&few);
    site_begin_counting(&many);
    for (unsigned i = RACKS * PER_RACK; i < MANY; i++) {
        add_worker(&many, i);
    }
    many.owner->began = many.clock.now;
    set_looked_at(&many);
    tick_all(&many, 3000);
    CU_ASSERT_EQUAL(sent, 0);
    tick_all(&many, 1500);
    CU_ASSERT_EQUAL(sent, LOOKS_MOST);
    site_end(&many);
}

static const struct test tests[] = {
    {"so many at a time", test_so_many_at_a_time},
    {"less often with more workers", test_less_often_with_more_workers},
};

TEST_MAIN("holds", tests)

/* Following a partition: load, read on, load again, slow down when refused. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_follower.h"
#include "curlewcart/cw_log.h"
#include "fake_store.h"

struct bed {
    struct fake_store port;
    struct cw_clock_manual clock;
    struct cw_follower *follower;
    GString *seen; /* keys, in the order given */
};

static void
on_record(void *context, const struct cw_store_record *record)
{
    struct bed *bed = context;

    g_string_append(bed->seen, record->key);
}

static void
put(struct bed *bed, const char *key)
{
    struct cw_store_record record = {.key = key, .value = "v", .length = 1};
    struct cw_store_append append = {
        .topic = "t", .records = &record, .count = 1};

    store_model_append(bed->port.model, &append);
}

/* Ticks every ms for so long. */
static void
pass(struct bed *bed, unsigned ms)
{
    for (unsigned i = 0; i < ms; i++) {
        bed->clock.now = cw_time_add_ms(bed->clock.now, 1);
        cw_follower_tick(bed->follower, bed->clock.now);
    }
}

static void
bed_begin(struct bed *bed)
{
    struct cw_follower_options options = {
        .name = "test",
        .store = &bed->port.base,
        .clock = &bed->clock.base,
        .topic = "t",
        .wait_ms = 500,
        .read_interval_ms = 100,
        .handler = {.record = on_record, .context = bed}};

    memset(bed, 0, sizeof(*bed));
    cw_log_setup("error", "test");
    cw_clock_manual_init(&bed->clock);
    bed->port.base.ops = &fake_store_ops;
    bed->port.model = store_model_create(1);
    bed->seen = g_string_new(NULL);
    bed->follower = cw_follower_create(&options);
}

static void
bed_end(struct bed *bed)
{
    cw_follower_free(bed->follower);
    store_model_free(bed->port.model);
    g_string_free(bed->seen, TRUE);
}

static void
test_it_loads_and_reads_on(void)
{
    struct bed bed;

    bed_begin(&bed);
    put(&bed, "a");
    put(&bed, "b");
    pass(&bed, 5);
    CU_ASSERT_TRUE(cw_follower_loaded(bed.follower));
    CU_ASSERT_STRING_EQUAL(bed.seen->str, "ab");
    put(&bed, "c");
    pass(&bed, 110);
    CU_ASSERT_STRING_EQUAL(bed.seen->str, "abc");
    CU_ASSERT_EQUAL(cw_follower_position(bed.follower), 3);
    bed_end(&bed);
}

static void
test_dropped_history_makes_it_load_again(void)
{
    struct bed bed;

    bed_begin(&bed);
    put(&bed, "a");
    pass(&bed, 5);
    put(&bed, "b");
    store_model_compact(bed.port.model, "t");
    pass(&bed, 250);
    CU_ASSERT_EQUAL(bed.port.loads, 2);
    CU_ASSERT_STRING_EQUAL(bed.seen->str, "aab");
    CU_ASSERT_EQUAL(cw_follower_position(bed.follower), 2);
    bed_end(&bed);
}

static void
test_refused_it_reads_less_often_for_a_while(void)
{
    struct bed bed;
    unsigned before;
    unsigned slow;

    bed_begin(&bed);
    pass(&bed, 1000);
    before = bed.port.reads; /* ten a second */
    bed.port.answer_status = CW_STORE_REFUSED;
    pass(&bed, 2000);
    bed.port.answer_status = CW_STORE_OK;
    pass(&bed, 1000);
    slow = bed.port.reads;
    pass(&bed, 1000);
    CU_ASSERT_TRUE(bed.port.reads - slow > 0);
    CU_ASSERT_TRUE(slow - before < 12); /* three seconds' worth: thirty */
    pass(&bed, 3000);
    slow = bed.port.reads;
    pass(&bed, 1000);
    CU_ASSERT_TRUE(bed.port.reads - slow >= 9); /* forgotten */
    bed_end(&bed);
}

static void
test_in_a_hurry_it_does_not_wait(void)
{
    struct bed bed;
    unsigned before;

    bed_begin(&bed);
    pass(&bed, 50);
    before = bed.port.reads;
    cw_follower_read_now(bed.follower);
    pass(&bed, 1);
    CU_ASSERT_EQUAL(bed.port.reads, before + 1);
    CU_ASSERT_EQUAL(bed.port.last_wait_ms, 0);
    bed_end(&bed);
}

/* What is not read yet may hold anything: a VM that is behind must not say
 * that a job does not exist. */
static void
test_behind_it_is_not_fresh_and_reads_on_at_once(void)
{
    struct bed bed;
    struct timespec before;

    bed_begin(&bed);
    pass(&bed, 5);
    before = cw_follower_fresh_as_of(bed.follower);
    bed.port.page_records_max = 1;
    put(&bed, "a");
    put(&bed, "b");
    put(&bed, "c");
    while (cw_follower_position(bed.follower) < 1) {
        pass(&bed, 1);
    }
    CU_ASSERT_EQUAL(
        cw_time_diff_ms(before, cw_follower_fresh_as_of(bed.follower)), 0);
    pass(&bed, 3);
    CU_ASSERT_EQUAL(cw_follower_position(bed.follower), 3);
    CU_ASSERT_TRUE(
        cw_time_before(before, cw_follower_fresh_as_of(bed.follower)));
    bed_end(&bed);
}

static void
test_a_load_is_as_fresh_as_its_first_page(void)
{
    struct bed bed;
    struct timespec before;

    bed_begin(&bed);
    put(&bed, "a");
    pass(&bed, 5);
    before = cw_follower_fresh_as_of(bed.follower);
    put(&bed, "b");
    put(&bed, "c");
    store_model_compact(bed.port.model, "t");
    bed.port.page_records_max = 1;
    while (bed.port.loads < 2) {
        pass(&bed, 1);
    }
    CU_ASSERT_EQUAL(
        cw_time_diff_ms(before, cw_follower_fresh_as_of(bed.follower)), 0);
    pass(&bed, 3);
    CU_ASSERT_STRING_EQUAL(bed.seen->str, "aabc");
    CU_ASSERT_TRUE(
        cw_time_before(before, cw_follower_fresh_as_of(bed.follower)));
    bed_end(&bed);
}

/* A large page on a thin link: every load of one length would fail alike. */
static void
test_a_load_without_an_answer_gets_more_time(void)
{
    struct bed bed;
    unsigned first;

    bed_begin(&bed);
    put(&bed, "a");
    bed.port.answer_status = CW_STORE_UNKNOWN;
    pass(&bed, 1);
    first = bed.port.last_load_timeout_ms;
    pass(&bed, 5000);
    CU_ASSERT_TRUE(bed.port.last_load_timeout_ms >= 2 * first);
    CU_ASSERT_TRUE(bed.port.last_load_timeout_ms >= 5000);
    bed.port.answer_status = CW_STORE_OK;
    pass(&bed, 1000);
    CU_ASSERT_TRUE(cw_follower_loaded(bed.follower));
    bed_end(&bed);
}

static void
test_after_a_failure_it_does_not_wait_for_records(void)
{
    struct bed bed;

    bed_begin(&bed);
    pass(&bed, 200);
    CU_ASSERT_EQUAL(bed.port.last_wait_ms, 500);
    CU_ASSERT_TRUE(cw_follower_at_end(bed.follower));
    bed.port.answer_status = CW_STORE_UNKNOWN;
    pass(&bed, 500);
    CU_ASSERT_FALSE(cw_follower_at_end(bed.follower));
    bed.port.answer_status = CW_STORE_OK;
    while (!cw_follower_at_end(bed.follower)) {
        pass(&bed, 1);
    }
    CU_ASSERT_EQUAL(bed.port.last_wait_ms, 0);
    pass(&bed, 300);
    CU_ASSERT_EQUAL(bed.port.last_wait_ms, 500);
    bed_end(&bed);
}

static void
test_a_read_asks_for_what_a_thin_link_carries(void)
{
    struct bed bed;

    bed_begin(&bed);
    pass(&bed, 200);
    CU_ASSERT_TRUE(bed.port.most_kb > 0 && bed.port.most_kb <= 128);
    bed_end(&bed);
}

static const struct test tests[] = {
    {"behind", test_behind_it_is_not_fresh_and_reads_on_at_once},
    {"load", test_a_load_is_as_fresh_as_its_first_page},
    {"load and read on", test_it_loads_and_reads_on},
    {"dropped history", test_dropped_history_makes_it_load_again},
    {"refused", test_refused_it_reads_less_often_for_a_while},
    {"thin link, load", test_a_load_without_an_answer_gets_more_time},
    {"thin link, read", test_a_read_asks_for_what_a_thin_link_carries},
    {"after a failure", test_after_a_failure_it_does_not_wait_for_records},
    {"hurry", test_in_a_hurry_it_does_not_wait},
};

TEST_MAIN("follower", tests)

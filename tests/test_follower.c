/* Tests of the follower of a partition: it loads, reads new records, loads
 * again if the store has dropped records, and reads less often after refusals.
 */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_follower.h"
#include "curlewcart/cw_log.h"
#include "fake_store.h"

struct fixture {
    struct fake_store fake;
    struct cw_clock_manual clock;
    struct cw_follower *follower;
    GString *delivered; /* keys, in the order of delivery */
};

static void
on_record(void *context, const struct cw_store_record *record)
{
    struct fixture *fixture = context;

    g_string_append(fixture->delivered, record->key);
}

static void
append_record(struct fixture *fixture, const char *key)
{
    struct cw_store_record record = {.key = key, .value = "v", .length = 1};
    struct cw_store_append append = {
        .topic = "t", .records = &record, .count = 1};

    store_model_append(fixture->fake.model, &append);
}

/* Advances the clock by `ms` and ticks at each millisecond. */
static void
advance_ms(struct fixture *fixture, unsigned ms)
{
    for (unsigned i = 0; i < ms; i++) {
        fixture->clock.now = cw_time_add_ms(fixture->clock.now, 1);
        cw_follower_tick(fixture->follower, fixture->clock.now);
    }
}

static void
fixture_begin(struct fixture *fixture)
{
    struct cw_follower_options options = {
        .name = "test",
        .store = &fixture->fake.base,
        .clock = &fixture->clock.base,
        .topic = "t",
        .wait_ms = 500,
        .read_interval_ms = 100,
        .handler = {.record = on_record, .context = fixture}};

    memset(fixture, 0, sizeof(*fixture));
    cw_log_setup("error", "test");
    cw_clock_manual_init(&fixture->clock);
    fixture->fake.base.ops = &fake_store_ops;
    fixture->fake.model = store_model_create(1);
    fixture->delivered = g_string_new(NULL);
    fixture->follower = cw_follower_create(&options);
}

static void
fixture_end(struct fixture *fixture)
{
    cw_follower_free(fixture->follower);
    store_model_free(fixture->fake.model);
    g_string_free(fixture->delivered, TRUE);
}

/* Guards against a VM that never reads beyond a record that is larger than the
 * limit of its reads, and takes that for the end. */
static void
test_a_record_larger_than_a_read_is_read(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    advance_ms(&fixture, 50);
    CU_ASSERT_TRUE(cw_follower_at_end(fixture.follower));
    append_record(&fixture, "a");
    fixture.fake.limit_hides_all = true;
    for (unsigned ms = 0; ms < 1000 && fixture.delivered->len == 0; ms++) {
        advance_ms(&fixture, 1);
        CU_ASSERT_TRUE(fixture.delivered->len > 0 ||
                       !cw_follower_at_end(fixture.follower) || ms < 600);
    }
    CU_ASSERT_STRING_EQUAL(fixture.delivered->str, "a");
    fixture.fake.limit_hides_all = false;
    append_record(&fixture, "b");
    advance_ms(&fixture, 700);
    CU_ASSERT_STRING_EQUAL(fixture.delivered->str, "ab");
    CU_ASSERT_TRUE(fixture.fake.most_kb > 0);
    fixture_end(&fixture);
}

/* Guards against a load that begins again and again: a page that ends with a
 * record without a key goes on after the last key. */
static void
test_records_without_a_key_are_passed_over(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    fixture.fake.page_records_max = 2;
    append_record(&fixture, "");
    append_record(&fixture, "a");
    append_record(&fixture, "b");
    append_record(&fixture, "c");
    advance_ms(&fixture, 50);
    CU_ASSERT_TRUE(cw_follower_loaded(fixture.follower));
    CU_ASSERT_STRING_EQUAL(fixture.delivered->str, "abc");
    append_record(&fixture, "");
    append_record(&fixture, "d");
    advance_ms(&fixture, 300);
    CU_ASSERT_STRING_EQUAL(fixture.delivered->str, "abcd");
    CU_ASSERT_EQUAL(cw_follower_position(fixture.follower), 6);
    fixture_end(&fixture);
}

static void
test_loads_and_then_reads(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    append_record(&fixture, "a");
    append_record(&fixture, "b");
    advance_ms(&fixture, 5);
    CU_ASSERT_TRUE(cw_follower_loaded(fixture.follower));
    CU_ASSERT_STRING_EQUAL(fixture.delivered->str, "ab");
    append_record(&fixture, "c");
    advance_ms(&fixture, 110);
    CU_ASSERT_STRING_EQUAL(fixture.delivered->str, "abc");
    CU_ASSERT_EQUAL(cw_follower_position(fixture.follower), 3);
    fixture_end(&fixture);
}

static void
test_loads_again_if_history_was_dropped(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    append_record(&fixture, "a");
    advance_ms(&fixture, 5);
    append_record(&fixture, "b");
    store_model_compact(fixture.fake.model, "t");
    advance_ms(&fixture, 250);
    CU_ASSERT_EQUAL(fixture.fake.loads, 2);
    CU_ASSERT_STRING_EQUAL(fixture.delivered->str, "aab");
    CU_ASSERT_EQUAL(cw_follower_position(fixture.follower), 2);
    fixture_end(&fixture);
}

static void
test_reads_less_often_after_refusals(void)
{
    struct fixture fixture;
    unsigned before;
    unsigned slow;

    fixture_begin(&fixture);
    advance_ms(&fixture, 1000);
    before = fixture.fake.reads; /* ten per second */
    fixture.fake.answer_status = CW_STORE_NOT_EXECUTED;
    advance_ms(&fixture, 2000);
    fixture.fake.answer_status = CW_STORE_OK;
    advance_ms(&fixture, 1000);
    slow = fixture.fake.reads;
    advance_ms(&fixture, 1000);
    CU_ASSERT_TRUE(fixture.fake.reads - slow > 0);
    CU_ASSERT_TRUE(slow - before < 12); /* 30 in 3 s without refusals */
    advance_ms(&fixture, 3000);
    slow = fixture.fake.reads;
    advance_ms(&fixture, 1000);
    CU_ASSERT_TRUE(fixture.fake.reads - slow >= 9); /* the normal rate */
    fixture_end(&fixture);
}

static void
test_read_now_does_not_wait_for_records(void)
{
    struct fixture fixture;
    unsigned before;

    fixture_begin(&fixture);
    advance_ms(&fixture, 50);
    before = fixture.fake.reads;
    cw_follower_read_now(fixture.follower);
    advance_ms(&fixture, 1);
    CU_ASSERT_EQUAL(fixture.fake.reads, before + 1);
    CU_ASSERT_EQUAL(fixture.fake.last_wait_ms, 0);
    fixture_end(&fixture);
}

/* Guards against a VM that reports that a job does not exist because it has
 * not read the record of the job yet. */
static void
test_a_truncated_read_is_not_fresh_and_is_continued(void)
{
    struct fixture fixture;
    struct timespec before;

    fixture_begin(&fixture);
    advance_ms(&fixture, 5);
    before = cw_follower_fresh_as_of(fixture.follower);
    fixture.fake.page_records_max = 1;
    append_record(&fixture, "a");
    append_record(&fixture, "b");
    append_record(&fixture, "c");
    while (cw_follower_position(fixture.follower) < 1) {
        advance_ms(&fixture, 1);
    }
    CU_ASSERT_EQUAL(
        cw_time_diff_ms(before, cw_follower_fresh_as_of(fixture.follower)), 0);
    advance_ms(&fixture, 3);
    CU_ASSERT_EQUAL(cw_follower_position(fixture.follower), 3);
    CU_ASSERT_TRUE(
        cw_time_before(before, cw_follower_fresh_as_of(fixture.follower)));
    fixture_end(&fixture);
}

static void
test_a_load_is_as_fresh_as_its_first_page(void)
{
    struct fixture fixture;
    struct timespec before;

    fixture_begin(&fixture);
    append_record(&fixture, "a");
    advance_ms(&fixture, 5);
    before = cw_follower_fresh_as_of(fixture.follower);
    append_record(&fixture, "b");
    append_record(&fixture, "c");
    store_model_compact(fixture.fake.model, "t");
    fixture.fake.page_records_max = 1;
    while (fixture.fake.loads < 2) {
        advance_ms(&fixture, 1);
    }
    CU_ASSERT_EQUAL(
        cw_time_diff_ms(before, cw_follower_fresh_as_of(fixture.follower)), 0);
    advance_ms(&fixture, 3);
    CU_ASSERT_STRING_EQUAL(fixture.delivered->str, "aabc");
    CU_ASSERT_TRUE(
        cw_time_before(before, cw_follower_fresh_as_of(fixture.follower)));
    fixture_end(&fixture);
}

/* Guards against a VM on a slow link that never loads: with a fixed timeout
 * every request of a large page would fail. */
static void
test_load_timeout_grows_without_answers(void)
{
    struct fixture fixture;
    unsigned first;

    fixture_begin(&fixture);
    append_record(&fixture, "a");
    fixture.fake.answer_status = CW_STORE_UNKNOWN;
    advance_ms(&fixture, 1);
    first = fixture.fake.last_load_timeout_ms;
    advance_ms(&fixture, 5000);
    CU_ASSERT_TRUE(fixture.fake.last_load_timeout_ms >= 2 * first);
    CU_ASSERT_TRUE(fixture.fake.last_load_timeout_ms >= 5000);
    fixture.fake.answer_status = CW_STORE_OK;
    advance_ms(&fixture, 1000);
    CU_ASSERT_TRUE(cw_follower_loaded(fixture.follower));
    fixture_end(&fixture);
}

static void
test_does_not_wait_for_records_after_a_failure(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    advance_ms(&fixture, 200);
    CU_ASSERT_EQUAL(fixture.fake.last_wait_ms, 500);
    CU_ASSERT_TRUE(cw_follower_at_end(fixture.follower));
    fixture.fake.answer_status = CW_STORE_UNKNOWN;
    advance_ms(&fixture, 500);
    CU_ASSERT_FALSE(cw_follower_at_end(fixture.follower));
    fixture.fake.answer_status = CW_STORE_OK;
    while (!cw_follower_at_end(fixture.follower)) {
        advance_ms(&fixture, 1);
    }
    CU_ASSERT_EQUAL(fixture.fake.last_wait_ms, 0);
    advance_ms(&fixture, 300);
    CU_ASSERT_EQUAL(fixture.fake.last_wait_ms, 500);
    fixture_end(&fixture);
}

static void
test_a_read_is_limited_for_slow_links(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    advance_ms(&fixture, 200);
    CU_ASSERT_TRUE(fixture.fake.most_kb > 0 && fixture.fake.most_kb <= 128);
    fixture_end(&fixture);
}

static const struct test tests[] = {
    {"without a key", test_records_without_a_key_are_passed_over},
    {"large record", test_a_record_larger_than_a_read_is_read},
    {"truncated read", test_a_truncated_read_is_not_fresh_and_is_continued},
    {"load", test_a_load_is_as_fresh_as_its_first_page},
    {"load and read", test_loads_and_then_reads},
    {"dropped history", test_loads_again_if_history_was_dropped},
    {"refused", test_reads_less_often_after_refusals},
    {"slow link, load", test_load_timeout_grows_without_answers},
    {"slow link, read", test_a_read_is_limited_for_slow_links},
    {"after a failure", test_does_not_wait_for_records_after_a_failure},
    {"read now", test_read_now_does_not_wait_for_records},
};

TEST_MAIN("follower", tests)

/* Headroom: how much capacity is reserved for urgent work. */
#include "test_main.h"

#include "curlewcart/cw_headroom.h"
#include "curlewcart/cw_time.h"

enum { USED = 1000, START_MS = 100000 };

/* The capacity that urgent work uses is reserved at once, whatever was
 * reserved before. */
static void
test_what_is_used_is_reserved(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(START_MS);

    cw_headroom_init(&headroom, now);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), 0);
    cw_headroom_observe(&headroom, USED, now);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), USED);
    now = cw_time_add_ms(now, 100);
    cw_headroom_observe(&headroom, 2 * USED, now);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), 2 * USED);
}

/* A peak that is not repeated no longer counts after half a minute, and still
 * counts for more than half after 3 s. */
static void
test_a_peak_decays_slowly(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(START_MS);

    cw_headroom_init(&headroom, now);
    cw_headroom_observe(&headroom, USED, now);
    for (unsigned s = 0; s < 3; s++) {
        now = cw_time_add_ms(now, 1000);
        cw_headroom_observe(&headroom, 0, now);
    }
    CU_ASSERT_TRUE(cw_headroom_reserved(&headroom) > USED / 2.0);
    for (unsigned s = 0; s < 30; s++) {
        now = cw_time_add_ms(now, 1000);
        cw_headroom_observe(&headroom, 0, now);
    }
    CU_ASSERT_TRUE(cw_headroom_reserved(&headroom) < USED / 20.0);
}

/* The capacity that new jobs request is counted before they use any, and for
 * some seconds only. */
static void
test_arrivals_count_for_some_seconds(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(START_MS);
    double reserved;

    cw_headroom_init(&headroom, now);
    cw_headroom_arrived(&headroom, USED);
    cw_headroom_observe(&headroom, 0, now);
    reserved = cw_headroom_reserved(&headroom);
    CU_ASSERT_TRUE(reserved > 0 && reserved < USED);
    now = cw_time_add_ms(now, 2000);
    cw_headroom_observe(&headroom, 0, now);
    CU_ASSERT_TRUE(cw_headroom_reserved(&headroom) < reserved);
    now = cw_time_add_ms(now, 10000);
    cw_headroom_observe(&headroom, 0, now);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), 0);
}

/* Expected arrivals are the part of the reserved capacity that is not in use.
 */
static void
test_expected_arrivals_exclude_what_is_used(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(START_MS);
    double arriving;

    cw_headroom_init(&headroom, now);
    CU_ASSERT_EQUAL(cw_headroom_expected_arrivals(&headroom), 0);
    cw_headroom_arrived(&headroom, USED);
    cw_headroom_observe(&headroom, 0, now);
    arriving = cw_headroom_expected_arrivals(&headroom);
    CU_ASSERT_EQUAL(arriving, cw_headroom_reserved(&headroom));
    cw_headroom_observe(&headroom, USED, now);
    CU_ASSERT_EQUAL(cw_headroom_expected_arrivals(&headroom), arriving);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), USED + arriving);
}

/* After a minute without observations no earlier observation counts. */
static void
test_a_long_gap_resets_the_forecast(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(START_MS);

    cw_headroom_init(&headroom, now);
    cw_headroom_arrived(&headroom, USED);
    cw_headroom_observe(&headroom, USED, now);
    now = cw_time_add_ms(now, 60000);
    cw_headroom_observe(&headroom, 10, now);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), 10);
}

static const struct test tests[] = {
    {"in use", test_what_is_used_is_reserved},
    {"decay", test_a_peak_decays_slowly},
    {"arrivals", test_arrivals_count_for_some_seconds},
    {"expected arrivals", test_expected_arrivals_exclude_what_is_used},
    {"gap", test_a_long_gap_resets_the_forecast},
};

TEST_MAIN("headroom", tests)

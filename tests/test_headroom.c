/* How much room is kept for urgent work. */
#include "test_main.h"

#include "curlewcart/cw_headroom.h"
#include "curlewcart/cw_time.h"

enum { HELD = 1000, START_MS = 100000 };

/* What urgent work holds is kept at once, whatever was kept before. */
static void
test_what_is_held_is_kept(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(START_MS);

    cw_headroom_init(&headroom, now);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), 0);
    cw_headroom_observe(&headroom, HELD, now);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), HELD);
    now = cw_time_add_ms(now, 100);
    cw_headroom_observe(&headroom, 2 * HELD, now);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), 2 * HELD);
}

/* A peak that does not come again is given up within half a minute, and half
 * of it only after seconds. */
static void
test_a_peak_is_forgotten_slowly(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(START_MS);

    cw_headroom_init(&headroom, now);
    cw_headroom_observe(&headroom, HELD, now);
    for (unsigned s = 0; s < 3; s++) {
        now = cw_time_add_ms(now, 1000);
        cw_headroom_observe(&headroom, 0, now);
    }
    CU_ASSERT_TRUE(cw_headroom_reserved(&headroom) > HELD / 2.0);
    for (unsigned s = 0; s < 30; s++) {
        now = cw_time_add_ms(now, 1000);
        cw_headroom_observe(&headroom, 0, now);
    }
    CU_ASSERT_TRUE(cw_headroom_reserved(&headroom) < HELD / 20.0);
}

/* What has just been asked for counts before it holds anything, and no longer
 * than for seconds. */
static void
test_arrivals_count_until_they_are_over(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(START_MS);
    double kept;

    cw_headroom_init(&headroom, now);
    cw_headroom_arrived(&headroom, HELD);
    cw_headroom_observe(&headroom, 0, now);
    kept = cw_headroom_reserved(&headroom);
    CU_ASSERT_TRUE(kept > 0 && kept < HELD);
    now = cw_time_add_ms(now, 2000);
    cw_headroom_observe(&headroom, 0, now);
    CU_ASSERT_TRUE(cw_headroom_reserved(&headroom) < kept);
    now = cw_time_add_ms(now, 10000);
    cw_headroom_observe(&headroom, 0, now);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), 0);
}

/* What will come is a part of what is kept, without what is held. */
static void
test_what_arrives_is_told_apart(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(START_MS);
    double arriving;

    cw_headroom_init(&headroom, now);
    CU_ASSERT_EQUAL(cw_headroom_expected_arrivals(&headroom), 0);
    cw_headroom_arrived(&headroom, HELD);
    cw_headroom_observe(&headroom, 0, now);
    arriving = cw_headroom_expected_arrivals(&headroom);
    CU_ASSERT_EQUAL(arriving, cw_headroom_reserved(&headroom));
    cw_headroom_observe(&headroom, HELD, now);
    CU_ASSERT_EQUAL(cw_headroom_expected_arrivals(&headroom), arriving);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), HELD + arriving);
}

/* An owner that was away for a minute begins anew. */
static void
test_a_gap_forgets_all(void)
{
    struct cw_headroom headroom = {0};
    struct timespec now = cw_time_from_ms(START_MS);

    cw_headroom_init(&headroom, now);
    cw_headroom_arrived(&headroom, HELD);
    cw_headroom_observe(&headroom, HELD, now);
    now = cw_time_add_ms(now, 60000);
    cw_headroom_observe(&headroom, 10, now);
    CU_ASSERT_EQUAL(cw_headroom_reserved(&headroom), 10);
}

static const struct test tests[] = {
    {"held", test_what_is_held_is_kept},
    {"forgotten", test_a_peak_is_forgotten_slowly},
    {"arrivals", test_arrivals_count_until_they_are_over},
    {"apart", test_what_arrives_is_told_apart},
    {"gap", test_a_gap_forgets_all},
};

TEST_MAIN("headroom", tests)

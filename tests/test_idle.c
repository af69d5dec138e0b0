/* Idle jobs: one limit on how long room is withheld, over all reasons. */
#include "test_main.h"

#include "curlewcart/cw_idle.h"
#include "curlewcart/cw_time.h"

enum {
    LOOK_MS = 250,
    /* What the platform bears of a job that is idle beside room. */
    BORNE_MS = 3000,
    /* For the placement, the store and the start. */
    START_MS = 500,
    /* A burst of urgent work leaves room for so long at a time. */
    SHORT_MS = 1000,
    LATE_MS = 750
};

static struct timespec
at(unsigned ms)
{
    return cw_time_from_ms(100000 + ms);
}

/* Looks each LOOK_MS from `from` until `until`; returns when the job was
 * overdue first, or `until`. */
static unsigned
look(struct cw_idle *idle, unsigned from, unsigned until, bool has_room)
{
    for (unsigned ms = from; ms < until; ms += LOOK_MS) {
        cw_idle_check(idle, has_room, at(ms));
        if (cw_idle_is_overdue(idle, at(ms))) {
            return ms;
        }
    }
    return until;
}

static struct cw_idle
begin(void)
{
    struct cw_idle idle = {0};

    cw_idle_begin(&idle, at(0));
    return idle;
}

/* Guards against reasons that add up to more than a job may be idle. */
static void
test_a_job_beside_room_is_overdue_in_time(void)
{
    struct cw_idle idle = begin();

    CU_ASSERT_TRUE(look(&idle, 0, 10000, true) <= BORNE_MS - START_MS);
}

/* The same if it waited for room before. */
static void
test_room_that_comes_late_counts_from_then(void)
{
    struct cw_idle idle = begin();

    CU_ASSERT_EQUAL(look(&idle, 0, 20000, false), 20000);
    CU_ASSERT_TRUE(look(&idle, 20000, 30000, true) <=
                   20000 + BORNE_MS - START_MS);
}

/* Guards against giving up what is kept for urgent work each time that some of
 * it is free for a moment. */
static void
test_room_for_moments_does_not_count(void)
{
    struct cw_idle idle = begin();

    for (unsigned ms = 0; ms < 60000; ms += 3 * SHORT_MS) {
        CU_ASSERT_EQUAL(look(&idle, ms, ms + SHORT_MS, true), ms + SHORT_MS);
        CU_ASSERT_EQUAL(look(&idle, ms + SHORT_MS, ms + 3 * SHORT_MS, false),
                        ms + 3 * SHORT_MS);
    }
}

/* Guards against a clock that begins anew at each look for which answers were
 * late: workers had room all the time. */
static void
test_a_short_gap_does_not_begin_the_time_anew(void)
{
    struct cw_idle idle = begin();

    look(&idle, 0, 1250, true);
    look(&idle, 1250, 1250 + LATE_MS, false);
    CU_ASSERT_TRUE(look(&idle, 1250 + LATE_MS, 10000, true) <=
                   BORNE_MS - START_MS);
}

/* Guards against an old look that counts for ever. */
static void
test_room_that_was_taken_long_ago_does_not_count(void)
{
    struct cw_idle idle = begin();

    look(&idle, 0, 2000, true);
    CU_ASSERT_FALSE(cw_idle_is_overdue(&idle, at(9000)));
}

/* A run of the job was listed: its time begins anew. */
static void
test_a_job_that_runs_is_not_overdue(void)
{
    struct cw_idle idle = begin();

    look(&idle, 0, 2250, true);
    cw_idle_begin(&idle, at(2250));
    CU_ASSERT_TRUE(look(&idle, 2250, 10000, true) > 2250 + 2000);
}

static void
test_time_beside_room_is_told_without_gaps(void)
{
    struct cw_idle idle = begin();

    CU_ASSERT_EQUAL(cw_idle_free_ms(&idle, at(500)), 0);
    cw_idle_check(&idle, true, at(500));
    CU_ASSERT_EQUAL(cw_idle_free_ms(&idle, at(900)), 400);
    cw_idle_check(&idle, false, at(1000));
    CU_ASSERT_EQUAL(cw_idle_free_ms(&idle, at(1100)), 0);
}

static const struct test tests[] = {
    {"in time", test_a_job_beside_room_is_overdue_in_time},
    {"room comes late", test_room_that_comes_late_counts_from_then},
    {"room for moments", test_room_for_moments_does_not_count},
    {"short gap", test_a_short_gap_does_not_begin_the_time_anew},
    {"long ago", test_room_that_was_taken_long_ago_does_not_count},
    {"runs", test_a_job_that_runs_is_not_overdue},
    {"told", test_time_beside_room_is_told_without_gaps},
};

TEST_MAIN("idle", tests)

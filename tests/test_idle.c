/* Idle jobs: one limit on how long capacity is withheld, over all reasons. */
#include "test_main.h"

#include "curlewcart/cw_idle.h"
#include "curlewcart/cw_time.h"

enum {
    CHECK_INTERVAL_MS = 250,
    /* Time for which the platform tolerates that a job is idle while there is
     * free capacity. */
    IDLE_MAX_MS = 3000,
    /* Part of that time for the placement, the store and the start. */
    START_MARGIN_MS = 500,
    /* During a burst of urgent work capacity is free for this long at a time.
     */
    BURST_GAP_MS = 1000,
    /* Delay of answers. */
    ANSWER_DELAY_MS = 750
};

static struct timespec
time_at(unsigned ms)
{
    return cw_time_from_ms(100000 + ms);
}

/* Checks every CHECK_INTERVAL_MS from `from` until `until`; returns when the
 * job was first overdue, or `until`. */
static unsigned
check_until(struct cw_idle *idle, unsigned from, unsigned until,
            bool has_capacity)
{
    for (unsigned ms = from; ms < until; ms += CHECK_INTERVAL_MS) {
        cw_idle_check(idle, has_capacity, time_at(ms));
        if (cw_idle_is_overdue(idle, time_at(ms))) {
            return ms;
        }
    }
    return until;
}

static struct cw_idle
idle_begin(void)
{
    struct cw_idle idle = {0};

    cw_idle_begin(&idle, time_at(0));
    return idle;
}

/* Guards against reasons to withhold capacity that add up to more time than a
 * job may be idle. */
static void
test_a_job_with_free_capacity_is_overdue_in_time(void)
{
    struct cw_idle idle = idle_begin();

    CU_ASSERT_TRUE(check_until(&idle, 0, 10000, true) <=
                   IDLE_MAX_MS - START_MARGIN_MS);
}

/* Does the same without free capacity before. */
static void
test_capacity_counts_from_when_it_is_free(void)
{
    struct cw_idle idle = idle_begin();

    CU_ASSERT_EQUAL(check_until(&idle, 0, 20000, false), 20000);
    CU_ASSERT_TRUE(check_until(&idle, 20000, 30000, true) <=
                   20000 + IDLE_MAX_MS - START_MARGIN_MS);
}

/* Guards against using the headroom for urgent work whenever some of it is
 * briefly free. */
static void
test_capacity_for_moments_does_not_count(void)
{
    struct cw_idle idle = idle_begin();

    for (unsigned ms = 0; ms < 60000; ms += 3 * BURST_GAP_MS) {
        CU_ASSERT_EQUAL(check_until(&idle, ms, ms + BURST_GAP_MS, true),
                        ms + BURST_GAP_MS);
        CU_ASSERT_EQUAL(check_until(&idle, ms + BURST_GAP_MS,
                                    ms + 3 * BURST_GAP_MS, false),
                        ms + 3 * BURST_GAP_MS);
    }
}

/* Guards against restarting the time at each check for which answers were
 * late, although workers had free capacity all the time. */
static void
test_a_short_gap_does_not_restart_the_time(void)
{
    struct cw_idle idle = idle_begin();

    check_until(&idle, 0, 1250, true);
    check_until(&idle, 1250, 1250 + ANSWER_DELAY_MS, false);
    CU_ASSERT_TRUE(check_until(&idle, 1250 + ANSWER_DELAY_MS, 10000, true) <=
                   IDLE_MAX_MS - START_MARGIN_MS);
}

/* Guards against an old check that counts without limit. */
static void
test_an_old_check_does_not_count(void)
{
    struct cw_idle idle = idle_begin();

    check_until(&idle, 0, 2000, true);
    CU_ASSERT_FALSE(cw_idle_is_overdue(&idle, time_at(9000)));
}

/* When a run of the job was listed, its idle time begins again. */
static void
test_a_job_that_runs_is_not_overdue(void)
{
    struct cw_idle idle = idle_begin();

    check_until(&idle, 0, 2250, true);
    cw_idle_begin(&idle, time_at(2250));
    CU_ASSERT_TRUE(check_until(&idle, 2250, 10000, true) > 2250 + 2000);
}

static void
test_free_time_does_not_include_gaps(void)
{
    struct cw_idle idle = idle_begin();

    CU_ASSERT_EQUAL(cw_idle_free_ms(&idle, time_at(500)), 0);
    cw_idle_check(&idle, true, time_at(500));
    CU_ASSERT_EQUAL(cw_idle_free_ms(&idle, time_at(900)), 400);
    cw_idle_check(&idle, false, time_at(1000));
    CU_ASSERT_EQUAL(cw_idle_free_ms(&idle, time_at(1100)), 0);
}

static const struct test tests[] = {
    {"in time", test_a_job_with_free_capacity_is_overdue_in_time},
    {"free later", test_capacity_counts_from_when_it_is_free},
    {"free for moments", test_capacity_for_moments_does_not_count},
    {"short gap", test_a_short_gap_does_not_restart_the_time},
    {"old check", test_an_old_check_does_not_count},
    {"runs", test_a_job_that_runs_is_not_overdue},
    {"free time", test_free_time_does_not_include_gaps},
};

TEST_MAIN("idle", tests)

/* Straggler detection: which runs go on and which are restarted elsewhere.
 *
 * A few in a hundred tasks take several times as long as the others
 * (heavy-tailed service times), and some workers hang or are slow.  Both make
 * a gang late, but only in the latter case is the worker the cause, and does a
 * restart help. */
#include "test_main.h"

#include "curlewcart/cw_stragglers.h"

enum {
    DAYS = 200,
    GANGS = 50,
    MEMBERS = 13,
    LONG_PERCENT = 3,
    LONG_FACTOR = 7,
    STEP_MS = 100,
    /* A worker that hangs has to be detected within this time. */
    DETECTED_WITHIN_MS = 5000
};

static bool
is_stalled(unsigned percent, int64_t unchanged_ms, double ms_per_percent,
           bool awaits_gang)
{
    struct cw_progress progress = {.percent = percent,
                                   .unchanged_ms = unchanged_ms,
                                   .ms_per_percent = ms_per_percent,
                                   .awaits_gang = awaits_gang};

    return cw_progress_stalled(&progress);
}

/* A run without progress for too long has stalled, below 100 percent in any
 * case, and at 100 percent if it does not wait for other members. */
static void
test_a_run_without_progress_is_stalled(void)
{
    CU_ASSERT_FALSE(is_stalled(40, DETECTED_WITHIN_MS / 2, 20, false));
    CU_ASSERT_TRUE(is_stalled(40, DETECTED_WITHIN_MS, 20, false));
    CU_ASSERT_TRUE(is_stalled(40, DETECTED_WITHIN_MS, 20, true));
    CU_ASSERT_TRUE(is_stalled(0, DETECTED_WITHIN_MS, 0, false));
    CU_ASSERT_TRUE(is_stalled(100, DETECTED_WITHIN_MS, 20, false));
}

/* Guards against gangs that are stopped because of members that have done
 * their work. */
static void
test_a_run_that_waits_for_its_gang_is_not_stalled(void)
{
    CU_ASSERT_FALSE(is_stalled(100, 100 * DETECTED_WITHIN_MS, 20, true));
}

/* Guards against work of ten minutes and more that is stopped before one
 * percent of it is done. */
static void
test_a_long_run_has_more_time_per_percent(void)
{
    CU_ASSERT_FALSE(is_stalled(3, 2 * DETECTED_WITHIN_MS, 6000, false));
    CU_ASSERT_TRUE(is_stalled(3, 4 * DETECTED_WITHIN_MS, 6000, false));
}

static bool
is_worthwhile(unsigned percent, double rate, bool checkpoints)
{
    struct cw_restart restart = {.percent = percent,
                                 .checkpoints = checkpoints,
                                 .urgent = true,
                                 .rate = rate,
                                 .expected = 20};

    return cw_restart_is_worthwhile(&restart);
}

/* Guards against restarts that lose more time than they save. */
static void
test_a_restart_counts_the_repeated_work(void)
{
    CU_ASSERT_TRUE(is_worthwhile(10, 2, false));
    CU_ASSERT_FALSE(
        is_worthwhile(90, 2, false));           /* 5 s here, 6.2 s elsewhere */
    CU_ASSERT_TRUE(is_worthwhile(90, 2, true)); /* 1.7 s elsewhere */
    CU_ASSERT_FALSE(is_worthwhile(99, 0, true));
}

/* Guards against work that is thrown away though it would have ended in time,
 * or for an end that is late all the same. */
static void
test_a_restart_serves_the_objective(void)
{
    struct cw_restart restart = {.percent = 40,
                                 .urgent = true,
                                 .rate = 8,
                                 .expected = 20,
                                 .objective_ms = 7000};

    /* 7.5 s here, 6.2 s elsewhere */
    CU_ASSERT_TRUE(cw_restart_is_worthwhile(&restart));
    restart.objective_ms = 8000;
    CU_ASSERT_FALSE(cw_restart_is_worthwhile(&restart));
    restart.objective_ms = 4000;
    CU_ASSERT_FALSE(cw_restart_is_worthwhile(&restart));
    restart.rate = 4; /* 15 s here */
    CU_ASSERT_TRUE(cw_restart_is_worthwhile(&restart));
}

/* ---- many gangs with long members, and workers that hang ---- */

struct member {
    double length_ms;
    double done_ms;
    int64_t unchanged_since_ms;
    int64_t hangs_at_ms; /* -1: its worker does not hang */
    unsigned percent;
};

/* Draws a random gang; returns when one of its workers hangs, or -1. */
static int64_t
draw_gang(GRand *random, struct member *members, bool one_hangs)
{
    int64_t hangs_at_ms = -1;

    for (unsigned i = 0; i < MEMBERS; i++) {
        double length_ms = g_rand_double_range(random, 1000, 9000);

        if (g_rand_int_range(random, 0, 100) < LONG_PERCENT) {
            length_ms *= LONG_FACTOR;
        }
        members[i] =
            (struct member){.length_ms = length_ms, .hangs_at_ms = -1};
    }
    if (one_hangs) {
        unsigned i = (unsigned)g_rand_int_range(random, 0, MEMBERS);

        hangs_at_ms = (int64_t)(members[i].length_ms *
                                g_rand_double_range(random, 0, 0.95));
        members[i].hangs_at_ms = hangs_at_ms;
    }
    return hangs_at_ms;
}

static bool
any_unfinished(const struct member *members, unsigned except)
{
    for (unsigned i = 0; i < MEMBERS; i++) {
        if (i != except && members[i].percent < CW_PERCENT_DONE) {
            return true;
        }
    }
    return false;
}

static void
advance(struct member *member, int64_t now_ms)
{
    unsigned percent;

    if (member->hangs_at_ms < 0 || now_ms <= member->hangs_at_ms) {
        member->done_ms = MIN(member->done_ms + STEP_MS, member->length_ms);
    }
    percent = member->done_ms >= member->length_ms
                  ? CW_PERCENT_DONE
                  : (unsigned)(member->done_ms * CW_PERCENT_DONE /
                               member->length_ms);
    if (percent != member->percent) {
        member->percent = percent;
        member->unchanged_since_ms = now_ms;
    }
}

/* Returns when a member is found to be stalled, or -1 if the gang ends. */
static int64_t
simulate_gang(struct member *members)
{
    for (int64_t now_ms = STEP_MS;; now_ms += STEP_MS) {
        for (unsigned i = 0; i < MEMBERS; i++) {
            advance(&members[i], now_ms);
        }
        if (!any_unfinished(members, MEMBERS)) {
            return -1;
        }
        for (unsigned i = 0; i < MEMBERS; i++) {
            double per_percent = members[i].length_ms / CW_PERCENT_DONE;

            if (is_stalled(members[i].percent,
                           now_ms - members[i].unchanged_since_ms, per_percent,
                           any_unfinished(members, i)))
            {
                return now_ms;
            }
        }
    }
}

/* Guards against a rule that handles only one of the two cases: in the same
 * load, long members have to go on and workers that hang have to be detected
 * in time. */
static void
test_long_members_and_hanging_workers_are_distinguished(void)
{
    GRand *random = g_rand_new_with_seed(1);
    struct member members[MEMBERS];

    for (unsigned i = 0; i < DAYS * GANGS; i++) {
        int64_t hangs_at_ms = draw_gang(random, members, i % 4 == 0);
        int64_t detected_ms = simulate_gang(members);

        if (hangs_at_ms < 0) {
            CU_ASSERT_EQUAL(detected_ms, -1);
        }
        else {
            CU_ASSERT_TRUE(detected_ms > hangs_at_ms);
            CU_ASSERT_TRUE(detected_ms <= hangs_at_ms + DETECTED_WITHIN_MS);
        }
    }
    g_rand_free(random);
}

static const struct test tests[] = {
    {"without progress", test_a_run_without_progress_is_stalled},
    {"waits for its gang", test_a_run_that_waits_for_its_gang_is_not_stalled},
    {"long run", test_a_long_run_has_more_time_per_percent},
    {"restart", test_a_restart_counts_the_repeated_work},
    {"objective", test_a_restart_serves_the_objective},
    {"distinguished", test_long_members_and_hanging_workers_are_distinguished},
};

TEST_MAIN("stragglers", tests)

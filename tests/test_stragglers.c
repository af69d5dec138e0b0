/* Which runs are left alone and which are started again elsewhere.
 *
 * The load: gangs of tasks of which a few in a hundred take several times as
 * long as the others (heavy-tailed service times), on workers of which some
 * hang or are slow.  Both make a gang late; only the latter is the worker's
 * fault, and only then does a restart help. */
#include "test_main.h"

#include "curlewcart/cw_stragglers.h"

enum {
    DAYS = 200,
    GANGS = 50,
    MEMBERS = 13,
    LONG_PERCENT = 3,
    LONG_TIMES = 7,
    STEP_MS = 100,
    /* How long a worker that hangs may go unnoticed. */
    NOTICED_MS = 5000
};

static bool
hangs(unsigned percent, int64_t unchanged_ms, double ms_per_percent,
      bool behind)
{
    struct cw_progress progress = {.percent = percent,
                                   .unchanged_ms = unchanged_ms,
                                   .ms_per_percent = ms_per_percent,
                                   .awaits_gang = behind};

    return cw_progress_stalled(&progress);
}

/* Guards against a bound of time that a change of the rule loses: below 100
 * percent, and at 100 with nobody to wait for, a worker that hangs is left. */
static void
test_a_run_without_progress_hangs(void)
{
    CU_ASSERT_FALSE(hangs(40, NOTICED_MS / 2, 20, false));
    CU_ASSERT_TRUE(hangs(40, NOTICED_MS, 20, false));
    CU_ASSERT_TRUE(hangs(40, NOTICED_MS, 20, true));
    CU_ASSERT_TRUE(hangs(0, NOTICED_MS, 0, false));
    CU_ASSERT_TRUE(hangs(100, NOTICED_MS, 20, false));
}

/* Guards against gangs that are stopped for members that have done their
 * share. */
static void
test_a_run_that_waits_for_its_gang_does_not_hang(void)
{
    CU_ASSERT_FALSE(hangs(100, 100 * NOTICED_MS, 20, true));
}

/* Guards against work of ten minutes and more that is stopped before a percent
 * of it is done. */
static void
test_a_percent_of_a_long_run_takes_time(void)
{
    CU_ASSERT_FALSE(hangs(3, 2 * NOTICED_MS, 6000, false));
    CU_ASSERT_TRUE(hangs(3, 4 * NOTICED_MS, 6000, false));
}

static enum cw_rate_verdict
verdict(double rate, double best, double peers, bool slow_in_other_job)
{
    struct cw_rates pace = {.rate = rate,
                            .best = best,
                            .peers = peers,
                            .slow_in_other_job = slow_in_other_job};

    return cw_rates_classify(&pace);
}

static void
test_a_slow_run_is_its_workers_fault_if_something_else_shows_it(void)
{
    CU_ASSERT_EQUAL(verdict(5, 0, 0, true), CW_RATE_UNKNOWN);
    CU_ASSERT_EQUAL(verdict(20, 20, 22, true), CW_RATE_NORMAL);
    CU_ASSERT_EQUAL(verdict(3, 3, 21, false), CW_RATE_LONG_TASK);
    CU_ASSERT_EQUAL(verdict(3, 3, 21, true), CW_RATE_SLOW_WORKER);
    CU_ASSERT_EQUAL(verdict(3, 20, 21, false), CW_RATE_SLOW_WORKER);
    CU_ASSERT_EQUAL(verdict(3, 20, 0, false), CW_RATE_SLOW_WORKER);
    CU_ASSERT_EQUAL(verdict(0, 3, 21, false), CW_RATE_SLOW_WORKER);
}

static bool
pays(unsigned percent, double rate, bool checkpoints)
{
    struct cw_restart restart = {.percent = percent,
                                 .checkpoints = checkpoints,
                                 .urgent = true,
                                 .rate = rate,
                                 .expected = 20};

    return cw_restart_is_worthwhile(&restart);
}

/* Guards against restarts that throw away more than they save. */
static void
test_a_restart_counts_the_work_that_is_done_again(void)
{
    CU_ASSERT_TRUE(pays(10, 2, false));
    CU_ASSERT_FALSE(pays(90, 2, false)); /* 5 s here, 6.2 s elsewhere */
    CU_ASSERT_TRUE(pays(90, 2, true));   /* 1.7 s elsewhere */
    CU_ASSERT_FALSE(pays(99, 0, true));
}

/* ---- many gangs with long members, and workers that hang ---- */

struct member {
    double length_ms;
    double done_ms;
    int64_t still_since;
    int64_t hangs_at; /* -1: its worker is sound */
    unsigned percent;
};

/* Draws a gang; returns when one of its workers hangs, or -1. */
static int64_t
draw_gang(GRand *random, struct member *members, bool some_hang)
{
    int64_t hangs_at = -1;

    for (unsigned i = 0; i < MEMBERS; i++) {
        double length_ms = g_rand_double_range(random, 1000, 9000);

        if (g_rand_int_range(random, 0, 100) < LONG_PERCENT) {
            length_ms *= LONG_TIMES;
        }
        members[i] = (struct member){.length_ms = length_ms, .hangs_at = -1};
    }
    if (some_hang) {
        unsigned i = (unsigned)g_rand_int_range(random, 0, MEMBERS);

        hangs_at = (int64_t)(members[i].length_ms *
                             g_rand_double_range(random, 0, 0.95));
        members[i].hangs_at = hangs_at;
    }
    return hangs_at;
}

static bool
any_behind(const struct member *members, unsigned except)
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

    if (member->hangs_at < 0 || now_ms <= member->hangs_at) {
        member->done_ms = MIN(member->done_ms + STEP_MS, member->length_ms);
    }
    percent = member->done_ms >= member->length_ms
                  ? CW_PERCENT_DONE
                  : (unsigned)(member->done_ms * CW_PERCENT_DONE /
                               member->length_ms);
    if (percent != member->percent) {
        member->percent = percent;
        member->still_since = now_ms;
    }
}

/* When some member is taken for one that hangs, or -1 if the gang ends. */
static int64_t
play_gang(struct member *members)
{
    for (int64_t now_ms = STEP_MS;; now_ms += STEP_MS) {
        for (unsigned i = 0; i < MEMBERS; i++) {
            advance(&members[i], now_ms);
        }
        if (!any_behind(members, MEMBERS)) {
            return -1;
        }
        for (unsigned i = 0; i < MEMBERS; i++) {
            double per_percent = members[i].length_ms / CW_PERCENT_DONE;

            if (hangs(members[i].percent, now_ms - members[i].still_since,
                      per_percent, any_behind(members, i)))
            {
                return now_ms;
            }
        }
    }
}

/* Guards against a rule that does well on one kind alone: long members are
 * left alone, and workers that hang are noticed as soon, in one load. */
static void
test_long_members_and_workers_that_hang_are_told_apart(void)
{
    GRand *random = g_rand_new_with_seed(1);
    struct member members[MEMBERS];

    for (unsigned i = 0; i < DAYS * GANGS; i++) {
        int64_t hangs_at = draw_gang(random, members, i % 4 == 0);
        int64_t noticed = play_gang(members);

        if (hangs_at < 0) {
            CU_ASSERT_EQUAL(noticed, -1);
        }
        else {
            CU_ASSERT_TRUE(noticed > hangs_at);
            CU_ASSERT_TRUE(noticed <= hangs_at + NOTICED_MS);
        }
    }
    g_rand_free(random);
}

static const struct test tests[] = {
    {"without progress", test_a_run_without_progress_hangs},
    {"waits for its gang", test_a_run_that_waits_for_its_gang_does_not_hang},
    {"long run", test_a_percent_of_a_long_run_takes_time},
    {"whose fault",
     test_a_slow_run_is_its_workers_fault_if_something_else_shows_it},
    {"restart", test_a_restart_counts_the_work_that_is_done_again},
    {"told apart", test_long_members_and_workers_that_hang_are_told_apart},
};

TEST_MAIN("stragglers", tests)

/* Estimates of workers' speeds, by patterns of load and faults. */
#include "test_main.h"

#include <math.h>

#include "curlewcart/cw_time.h"
#include "curlewcart/cw_worker_speed.h"

enum { SECOND = CW_MS_PER_S, MEMBERS = 5, LONG_FACTOR = 7 };

#define SLOW_FACTOR 3.0
/* Variances of a comparison in a gang, and with the step's other tasks. */
#define GANG_VARIANCE 0.02
#define TASKS_VARIANCE 0.25

static struct timespec
at_ms(int64_t ms)
{
    return cw_time_from_ms(100 * SECOND + ms);
}

/* A comparison of equal work shows a worker that is this much slower. */
static void
measure(struct cw_worker_speed *speed, double slower, unsigned run, int64_t ms)
{
    struct cw_speed_sample sample = {.log_speed = -log(slower),
                                     .variance = GANG_VARIANCE,
                                     .run = run,
                                     .equal_work = true};

    cw_worker_speed_observe(speed, &sample, at_ms(ms));
}

static void
measure_change(struct cw_worker_speed *speed, double slower, int64_t ms)
{
    struct cw_speed_sample sample = {.log_speed = -log(slower),
                                     .variance = GANG_VARIANCE,
                                     .run = 1,
                                     .shows_worker = true};

    cw_worker_speed_observe(speed, &sample, at_ms(ms));
}

static void
measure_task(struct cw_worker_speed *speed, double slower, unsigned run,
             int64_t ms)
{
    struct cw_speed_sample sample = {
        .log_speed = -log(slower), .variance = TASKS_VARIANCE, .run = run};

    cw_worker_speed_observe(speed, &sample, at_ms(ms));
}

/* Guards against a service in which a third of the workers become slow at
 * once, and gangs are sent to them again as soon as 2.5 s later. */
static void
test_a_worker_that_becomes_slow_stays_known(void)
{
    struct cw_worker_speed speed = cw_worker_speed_new();

    measure(&speed, 1, 1, 0);
    CU_ASSERT_TRUE(cw_worker_speed_is_proved(&speed, at_ms(0)));
    measure_change(&speed, SLOW_FACTOR, SECOND);
    CU_ASSERT_TRUE(cw_worker_speed_is_slow(&speed, at_ms(SECOND)));
    CU_ASSERT_TRUE(cw_worker_speed_is_slow(&speed, at_ms(10 * SECOND)));
    CU_ASSERT_FALSE(cw_worker_speed_is_proved(&speed, at_ms(10 * SECOND)));
}

/* Guards against gangs that are restarted because of one long task. */
static void
test_one_long_member_does_not_show_its_worker(void)
{
    struct cw_worker_speed speed = cw_worker_speed_new();

    measure(&speed, 1, 1, 0);
    measure(&speed, LONG_FACTOR, 2, SECOND);
    measure(&speed, LONG_FACTOR, 2, 2 * SECOND);
    CU_ASSERT_FALSE(cw_worker_speed_is_slow(&speed, at_ms(2 * SECOND)));
    CU_ASSERT_FALSE(cw_worker_speed_is_proved(&speed, at_ms(2 * SECOND)));
    measure(&speed, 1, 3, 3 * SECOND);
    CU_ASSERT_TRUE(cw_worker_speed_is_proved(&speed, at_ms(3 * SECOND)));
}

/* Guards against a worker that was slow before its work began and so has no
 * better rate of its own to be compared with. */
static void
test_a_second_slow_run_shows_the_worker(void)
{
    struct cw_worker_speed speed = cw_worker_speed_new();

    measure(&speed, SLOW_FACTOR, 1, 0);
    CU_ASSERT_FALSE(cw_worker_speed_is_slow(&speed, at_ms(0)));
    measure(&speed, SLOW_FACTOR, 2, SECOND);
    CU_ASSERT_TRUE(cw_worker_speed_is_slow(&speed, at_ms(SECOND)));
}

/* Guards against heavy-tailed tasks that take workers out of use: of eight
 * tasks on a worker one takes seven times as long. */
static void
test_a_long_task_among_normal_ones_is_no_slow_worker(void)
{
    struct cw_worker_speed speed = cw_worker_speed_new();

    for (unsigned i = 0; i < 8; i++) {
        measure_task(&speed, i == 5 ? LONG_FACTOR : 1, 1 + i,
                     (int64_t)i * 100);
        CU_ASSERT_FALSE(cw_worker_speed_is_slow(&speed, at_ms(SECOND)));
    }
    CU_ASSERT_TRUE(cw_worker_speed_expected(&speed, at_ms(SECOND)) > 0.7);
}

/* Guards against slow workers that only gangs can show. */
static void
test_several_slow_tasks_show_the_worker(void)
{
    struct cw_worker_speed speed = cw_worker_speed_new();

    for (unsigned i = 0; i < 8; i++) {
        measure_task(&speed, SLOW_FACTOR, 1 + i, (int64_t)i * 100);
    }
    CU_ASSERT_TRUE(cw_worker_speed_is_slow(&speed, at_ms(SECOND)));
}

/* Guards against workers that stay out of use after they have recovered. */
static void
test_a_worker_recovers(void)
{
    struct cw_worker_speed speed = cw_worker_speed_new();

    measure_change(&speed, SLOW_FACTOR, 0);
    measure_change(&speed, 1, 5 * SECOND);
    CU_ASSERT_FALSE(cw_worker_speed_is_slow(&speed, at_ms(5 * SECOND)));
}

/* Guards against workers that nothing measures any more. */
static void
test_what_is_known_fades(void)
{
    struct cw_worker_speed speed = cw_worker_speed_new();

    measure_change(&speed, SLOW_FACTOR, 0);
    CU_ASSERT_FALSE(cw_worker_speed_is_slow(&speed, at_ms(60 * SECOND)));
    CU_ASSERT_FALSE(cw_worker_speed_is_proved(&speed, at_ms(60 * SECOND)));
}

/* Guards against lasting differences that count as faults. */
static void
test_a_lasting_difference_is_learnt_and_is_not_slow(void)
{
    struct cw_worker_speed speed = cw_worker_speed_new();

    for (unsigned i = 0; i < 6; i++) {
        measure(&speed, 1 / 0.6, 1 + i, (int64_t)i * SECOND);
    }
    CU_ASSERT_DOUBLE_EQUAL(cw_worker_speed_expected(&speed, at_ms(5 * SECOND)),
                           0.6, 0.05);
    CU_ASSERT_FALSE(cw_worker_speed_is_slow(&speed, at_ms(5 * SECOND)));
}

/* Guards against one long task that blames a worker which has been idle: no
 * worker is less certain than an unknown one. */
static void
test_a_long_task_after_a_pause_is_no_slow_worker(void)
{
    for (int64_t pause_ms = SECOND; pause_ms <= 1000 * SECOND; pause_ms *= 10)
    {
        struct cw_worker_speed speed = cw_worker_speed_new();

        measure(&speed, 1, 1, 0);
        measure_task(&speed, LONG_FACTOR, 2, pause_ms);
        CU_ASSERT_FALSE(cw_worker_speed_is_slow(&speed, at_ms(pause_ms)));
    }
}

/* Guards against a run that confirms what it contradicts. */
static void
test_a_run_of_normal_speed_confirms_no_slow_one(void)
{
    struct cw_worker_speed speed = cw_worker_speed_new();

    measure(&speed, SLOW_FACTOR, 1, 0);
    measure_task(&speed, 1, 2, SECOND);
    CU_ASSERT_FALSE(cw_worker_speed_is_slow(&speed, at_ms(SECOND)));
}

/* ---- the rate of a gang on a typical worker ---- */

/* Returns the combined rate, as a ratio to the normal one, of a gang of which
 * the first `slow` members are on slow workers that are not known as such. */
static double
combined_ratio(unsigned slow)
{
    struct cw_rate_vote votes[MEMBERS];
    struct cw_rate_vote rate;

    for (unsigned i = 0; i < MEMBERS; i++) {
        votes[i].log_rate = i < slow ? -log(SLOW_FACTOR) : 0;
        votes[i].variance = 0.1;
    }
    CU_ASSERT_TRUE(cw_rate_votes_combine(votes, MEMBERS, &rate));
    return exp(rate.log_rate);
}

/* Guards against normal workers that count as fast because others became
 * slow: one in twenty, a rack, a third. */
static void
test_slow_members_do_not_shift_the_reference(void)
{
    for (unsigned slow = 0; slow <= 2; slow++) {
        CU_ASSERT_DOUBLE_EQUAL(combined_ratio(slow), 1, 0.01);
    }
}

/* With all workers slow none is slower than the others. */
static void
test_equally_slow_members_are_the_reference(void)
{
    CU_ASSERT_DOUBLE_EQUAL(combined_ratio(MEMBERS), 1 / SLOW_FACTOR, 0.01);
}

/* Guards against a majority of slow workers that are known, in a gang that was
 * placed for want of others. */
static void
test_known_workers_weigh_more(void)
{
    struct cw_rate_vote votes[] = {
        {.log_rate = -log(SLOW_FACTOR), .variance = 0.1},
        {.log_rate = -log(SLOW_FACTOR), .variance = 0.1},
        {.log_rate = 0, .variance = 0.02},
    };
    struct cw_rate_vote rate;

    CU_ASSERT_TRUE(cw_rate_votes_combine(votes, 3, &rate));
    CU_ASSERT_DOUBLE_EQUAL(rate.log_rate, 0, 0.01);
    CU_ASSERT_FALSE(cw_rate_votes_combine(votes, 0, &rate));
}

static const struct test tests[] = {
    {"becomes slow", test_a_worker_that_becomes_slow_stays_known},
    {"long member", test_one_long_member_does_not_show_its_worker},
    {"second run", test_a_second_slow_run_shows_the_worker},
    {"long task", test_a_long_task_among_normal_ones_is_no_slow_worker},
    {"slow tasks", test_several_slow_tasks_show_the_worker},
    {"recovers", test_a_worker_recovers},
    {"fades", test_what_is_known_fades},
    {"lasting", test_a_lasting_difference_is_learnt_and_is_not_slow},
    {"pause", test_a_long_task_after_a_pause_is_no_slow_worker},
    {"contradiction", test_a_run_of_normal_speed_confirms_no_slow_one},
    {"slow members", test_slow_members_do_not_shift_the_reference},
    {"all slow", test_equally_slow_members_are_the_reference},
    {"known workers", test_known_workers_weigh_more},
};

TEST_MAIN("worker speed", tests)

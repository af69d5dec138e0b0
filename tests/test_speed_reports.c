/* Progress that workers report and that cannot be right: it changes no
 * estimate. */
#include "test_main.h"

#include "log_capture.h"
#include "owner_cluster.h"

enum { MEMBERS = 3, POLL_MS = 500, BOOT_MS = 1000 };

/* Lists the run with this progress, in an answer of this incarnation that is
 * held up on its way. */
static void
report_late(struct cluster *cluster, const struct owner_run *run,
            unsigned percent, int64_t boot_ms, int64_t held_up_ms)
{
    struct cw_running row = {.task = owner_task_name(run->task),
                             .run = run->number,
                             .saved = "",
                             .percent = percent};
    struct cw_target_answer answer = {
        .status = CW_TARGET_OK,
        .boot_ms = boot_ms,
        .clock_ms = cw_time_diff_ms(cw_time_from_ms(0), cluster->clock.now),
        .running = &row,
        .running_count = 1};

    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    run->target->poll_due = cluster->clock.now;
    owner_poll_tick(cluster->owner, run->target, cluster->clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_POLL);
    cluster->clock.now = cw_time_add_ms(cluster->clock.now, held_up_ms);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    answer_last_with(&answer);
}

static void
report_from(struct cluster *cluster, const struct owner_run *run,
            unsigned percent, int64_t boot_ms)
{
    report_late(cluster, run, percent, boot_ms, 0);
}

static void
report(struct cluster *cluster, const struct owner_run *run, unsigned percent)
{
    report_from(cluster, run, percent, BOOT_MS);
}

/* Begins with a gang whose members were measured at equal rates; returns its
 * first run. */
static struct owner_run *
begin_measured(struct cluster *cluster)
{
    static const struct cw_step_spec whole_workers = {
        .tasks = MEMBERS, .accelerators = ACCELERATORS, .gang = true};
    struct owner_step *step;

    cluster_begin(cluster);
    set_guarantee(cluster, 0);
    step = step_of(run_job(cluster, 1, &whole_workers));
    for (unsigned turn = 1; turn <= 3; turn++) {
        pass(cluster, POLL_MS);
        for (unsigned i = 0; i < MEMBERS; i++) {
            step->tasks[i].run->boot_ms = BOOT_MS;
            report(cluster, step->tasks[i].run, 10 * turn);
        }
    }
    pass(cluster, POLL_MS);
    return step->tasks[0].run;
}

/* True if the estimate is one of the same measurement. */
static bool
is_unchanged(const struct cw_worker_speed *before, const struct owner_run *run)
{
    const struct cw_worker_speed *speed = &run->target->incarnation.speed;

    return speed->log_speed == before->log_speed &&
           cw_time_diff_ms(speed->measured_at, before->measured_at) == 0;
}

static uint64_t
counted(const struct cluster *cluster)
{
    return cluster->counters.named[CW_COUNT_PROGRESS_INVALID];
}

static void
test_progress_above_100_is_ignored(void)
{
    struct cluster cluster;
    struct owner_run *run = begin_measured(&cluster);
    struct cw_worker_speed before = run->target->incarnation.speed;

    report(&cluster, run, 101);
    report(&cluster, run, CW_PERCENT_UNREADABLE);
    CU_ASSERT_EQUAL(run->percent, 30);
    CU_ASSERT_TRUE(is_unchanged(&before, run));
    CU_ASSERT_EQUAL(counted(&cluster), 2);
    report(&cluster, run, 40); /* is measured again */
    CU_ASSERT_FALSE(is_unchanged(&before, run));
    CU_ASSERT_EQUAL(counted(&cluster), 2);
    cluster_end(&cluster);
}

/* Guards against a worker that counts as slow, or as fast, because one of two
 * reports was wrong. */
static void
test_falling_progress_ends_the_measurement(void)
{
    struct cluster cluster;
    struct owner_run *run = begin_measured(&cluster);
    struct cw_worker_speed before = run->target->incarnation.speed;

    report(&cluster, run, 5);
    CU_ASSERT_TRUE(is_unchanged(&before, run));
    CU_ASSERT_EQUAL(run->percent, 5); /* is no stall */
    pass(&cluster, POLL_MS);
    report(&cluster, run, 50);
    CU_ASSERT_TRUE(is_unchanged(&before, run));
    CU_ASSERT_FALSE(run->rate_known);
    CU_ASSERT_EQUAL(counted(&cluster), 1);
    cluster_end(&cluster);
}

static void
test_progress_from_another_incarnation_is_not_measured(void)
{
    struct cluster cluster;
    struct owner_run *run = begin_measured(&cluster);

    report_from(&cluster, run, 60, BOOT_MS + 1);
    pass(&cluster, POLL_MS);
    report_from(&cluster, run, 70, BOOT_MS + 1);
    CU_ASSERT_EQUAL(run->target->incarnation.speed.measured_at.tv_sec, 0);
    CU_ASSERT_EQUAL(counted(&cluster), 1);
    cluster_end(&cluster);
}

static void
test_invalid_progress_is_logged_once_a_worker(void)
{
    struct cluster cluster;
    struct log_capture capture;
    struct owner_run *run = begin_measured(&cluster);
    char *lines;

    log_capture_begin(&capture);
    report(&cluster, run, 101);
    report(&cluster, run, 5);
    lines = log_capture_end(&capture);
    CU_ASSERT_EQUAL(count_lines(lines, "progress_invalid"), 1);
    g_free(lines);
    cluster_end(&cluster);
}

/* Reports the progress of a step's single tasks each second, for `turns`
 * seconds: 10 percent a second, and of the first one 10 in seven seconds. */
static void
report_long_task(struct cluster *cluster, const struct owner_step *step,
                 unsigned turns)
{
    enum { RATE = 10, LONG_FACTOR = 7 };

    for (unsigned turn = 1; turn <= turns; turn++) {
        pass(cluster, CW_MS_PER_S);
        for (unsigned i = step->count; i-- > 0;) {
            report(cluster, step->tasks[i].run,
                   RATE * turn / (i == 0 ? LONG_FACTOR : 1));
        }
    }
}

/* Guards against a long task whose whole percents are taken for changes of its
 * worker. */
static void
test_rounding_of_a_long_task_shows_no_slow_worker(void)
{
    static const struct cw_step_spec whole_workers = {
        .tasks = 9, .accelerators = ACCELERATORS};
    struct cluster cluster;
    struct owner_step *step;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    step = step_of(run_job(&cluster, 1, &whole_workers));
    report_long_task(&cluster, step, 9);
    CU_ASSERT_FALSE(
        owner_target_is_slow(step->tasks[0].run->target, cluster.clock.now));
    CU_ASSERT_FALSE(step->tasks[0].run->stopping);
    cluster_end(&cluster);
}

/* Guards against a long task that blames a worker by being run there twice. */
static void
test_a_task_that_runs_again_is_no_second_witness(void)
{
    struct cluster cluster;
    struct owner_run *run = begin_measured(&cluster);
    unsigned key = run->target->incarnation.speed.run;

    CU_ASSERT_NOT_EQUAL_FATAL(key, 0);
    run->number++;
    pass(&cluster, POLL_MS);
    report(&cluster, run, 40);
    CU_ASSERT_EQUAL(run->target->incarnation.speed.run, key);
    cluster_end(&cluster);
}

/* Guards against a worker that counts as fast as its run had begun before the
 * poll that showed it. */
static void
test_a_run_found_by_a_poll_is_measured_from_there(void)
{
    static const struct cw_step_spec one = {.tasks = 1,
                                            .accelerators = ACCELERATORS};
    struct cluster cluster;
    struct owner_run *run;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    run = step_of(run_job(&cluster, 1, &one))->tasks[0].run;
    run->phase = RUN_STARTING;
    run->starts_sent = 1;
    report(&cluster, run, 50);
    pass(&cluster, CW_MS_PER_S);
    report(&cluster, run, 60);
    CU_ASSERT_DOUBLE_EQUAL(run->rate, 10, 0.01);
    cluster_end(&cluster);
}

/* Guards against a worker that counts as slow because its answer was late. */
static void
test_an_answer_that_is_held_up_shows_no_slow_worker(void)
{
    enum { HELD_UP_MS = 800 };
    struct cluster cluster;
    struct owner_run *run = begin_measured(&cluster);

    report_late(&cluster, run, 40, BOOT_MS, HELD_UP_MS);
    CU_ASSERT_DOUBLE_EQUAL(run->rate, 20, 1);
    CU_ASSERT_FALSE(run->stopping);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"above 100", test_progress_above_100_is_ignored},
    {"falling", test_falling_progress_ends_the_measurement},
    {"other incarnation",
     test_progress_from_another_incarnation_is_not_measured},
    {"rounding", test_rounding_of_a_long_task_shows_no_slow_worker},
    {"second witness", test_a_task_that_runs_again_is_no_second_witness},
    {"found by a poll", test_a_run_found_by_a_poll_is_measured_from_there},
    {"held up", test_an_answer_that_is_held_up_shows_no_slow_worker},
    {"logged once", test_invalid_progress_is_logged_once_a_worker},
};

TEST_MAIN("speed_reports", tests)

/* Idle jobs: work that could run and does not.
 *
 * Guards against workers that are avoided because several tasks of one job
 * failed there.  A worker on which tasks of two jobs fail in a row is avoided
 * for 7 s.  If two tasks of one job were counted like that, a job of which all
 * tasks fail would block a worker of each rack, and a gang that needs one rack
 * would wait for 7 s although three racks are idle (the emulator's calm day
 * 900022). */
#include "test_main.h"

#include "owner/internal/owner_crashes.h"
#include "owner_cluster.h"

static const struct cw_step_spec two = {.tasks = 2, .accelerators = 4};
static const struct cw_step_spec all_workers = {.tasks = RACKS * PER_RACK,
                                                .accelerators = ACCELERATORS};

/* The worker lists a task as failed. */
static void
fail(struct cluster *cluster, struct owner_target *target,
     struct owner_job *job, unsigned index)
{
    struct owner_task *task = &step_of(job)->tasks[index];
    struct cw_ended ended = {.number = target->incarnation.ends_applied + 1,
                             .task = owner_task_name(task),
                             .run = task->last_run + 1,
                             .how = CW_END_KIND_FAILED,
                             .saved = ""};

    if (task->run != NULL) {
        owner_run_drop(cluster->owner, task->run);
    }
    owner_run_create(cluster->owner, task, target, RUN_RUNNING,
                     task->last_run + 1);
    target->incarnation.ends_applied++;
    owner_run_ended(cluster->owner, target, &ended);
}

static void
test_failures_of_one_job_do_not_exclude_a_worker(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;

    cluster_begin(&cluster);
    target = owner_target_get(cluster.owner, "w00");
    job = add_job(&cluster, 1, &two);
    fail(&cluster, target, job, 0);
    fail(&cluster, target, job, 1);
    CU_ASSERT_TRUE(owner_target_usable(target, cluster.clock.now));
    cluster_end(&cluster);
}

static void
test_failures_of_two_jobs_exclude_a_worker(void)
{
    struct cluster cluster;
    struct owner_target *target;

    cluster_begin(&cluster);
    target = owner_target_get(cluster.owner, "w00");
    fail(&cluster, target, add_job(&cluster, 1, &two), 0);
    fail(&cluster, target, add_job(&cluster, 1, &two), 0);
    CU_ASSERT_FALSE(owner_target_usable(target, cluster.clock.now));
    cluster_end(&cluster);
}

/* ---- detection of idle jobs ---- */

/* Lets time pass without placement, then checks for idle jobs. */
static struct cw_owner_stats
check_after(struct cluster *cluster, unsigned ms)
{
    struct cw_owner_stats stats;

    cluster->clock.now = cw_time_add_ms(cluster->clock.now, ms);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    owner_idle_tick(cluster->owner, cluster->clock.now);
    cw_owner_stats(cluster->owner, &stats);
    return stats;
}

static void
test_an_unplaced_job_is_reported_after_three_seconds(void)
{
    struct cluster cluster;
    struct cw_owner_stats stats;

    cluster_begin(&cluster);
    add_job(&cluster, 1, &two);
    CU_ASSERT_EQUAL(check_after(&cluster, 2900).waiting, 0);
    stats = check_after(&cluster, 600);
    CU_ASSERT_EQUAL(stats.waiting, 1);
    CU_ASSERT_EQUAL(stats.longest_wait_ms, 3500);
    cluster_end(&cluster);
}

/* The owner assumes that the job runs, but no worker has listed it for
 * seconds. */
static void
test_an_unlisted_run_is_reported(void)
{
    struct cluster cluster;

    cluster_begin(&cluster);
    run_job(&cluster, 1, &two);
    CU_ASSERT_EQUAL(check_after(&cluster, 3500).waiting, 1);
    cluster_end(&cluster);
}

static void
test_a_job_without_free_capacity_is_not_reported(void)
{
    struct cluster cluster;

    cluster_begin(&cluster);
    run_job(&cluster, 0, &all_workers);
    add_job(&cluster, 1, &two);
    CU_ASSERT_EQUAL(check_after(&cluster, 3500).waiting, 0);
    cluster_end(&cluster);
}

/* Most of the service is in use, but twice what the job needs is free. */
static void
test_a_job_with_free_capacity_is_reported(void)
{
    static const struct cw_step_spec most_workers = {
        .tasks = 9, .accelerators = ACCELERATORS};
    static const struct cw_step_spec gang = {
        .tasks = 2, .accelerators = ACCELERATORS, .gang = true};
    struct cluster cluster;
    struct owner_job *running;

    cluster_begin(&cluster);
    running = run_job(&cluster, 0, &most_workers);
    add_job(&cluster, 1, &two);
    CU_ASSERT_EQUAL(check_after(&cluster, 2900).waiting, 0);
    owner_idle_end(cluster.owner, running);
    CU_ASSERT_EQUAL(check_after(&cluster, 600).waiting, 1);
    /* Three workers are free: one gang of two fits, not two. */
    add_job(&cluster, 1, &gang);
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 3500);
    owner_idle_end(cluster.owner, running);
    CU_ASSERT_EQUAL(check_after(&cluster, 500).waiting, 1);
    cluster_end(&cluster);
}

/* Guards against counting time in which a job waited for free capacity as time
 * in which there was free capacity. */
static void
test_only_time_with_free_capacity_counts(void)
{
    static const struct cw_step_spec most_workers = {
        .tasks = 11, .accelerators = ACCELERATORS};
    struct cluster cluster;
    struct owner_job *running;
    struct owner_job *job;

    cluster_begin(&cluster);
    running = run_job(&cluster, 0, &most_workers);
    job = add_job(&cluster, 1, &all_workers);
    check_after(&cluster, 3500);
    CU_ASSERT_EQUAL(job->idle.clock.free_since.tv_sec, 0);
    owner_run_drop(cluster.owner, step_of(running)->tasks[0].run);
    check_after(&cluster, 500);
    check_after(&cluster, 1000);
    CU_ASSERT_EQUAL(
        cw_time_diff_ms(job->idle.clock.free_since, cluster.clock.now), 1000);
    cluster_end(&cluster);
}

/* Each endless task counts separately, from 6 s after its last run. */
static void
test_an_endless_task_is_reported_while_others_run(void)
{
    static const struct cw_step_spec endless_tasks = {
        .tasks = 2, .accelerators = 4, .endless = true};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = run_job(&cluster, 1, &endless_tasks);
    owner_run_drop(cluster.owner, step_of(job)->tasks[0].run);
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 5000);
    owner_idle_end(cluster.owner, job); /* the other one is listed */
    CU_ASSERT_EQUAL(check_after(&cluster, 900).waiting, 0);
    CU_ASSERT_EQUAL(check_after(&cluster, 600).waiting, 1);
    cluster_end(&cluster);
}

static void
test_a_task_that_loses_its_runs_is_reported(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 1, &two);
    for (unsigned i = 0; i < 3; i++) {
        CU_ASSERT_EQUAL(check_after(&cluster, 500).repeating, 0);
        pass(&cluster, 10);
        owner_run_lost(cluster.owner, step_of(job)->tasks[0].run, true,
                       "not_listed");
    }
    CU_ASSERT_EQUAL(check_after(&cluster, 500).repeating, 1);
    cluster_end(&cluster);
}

/* Guards against false reports by a VM that was frozen or cut off from the
 * store: another VM may be the owner and have run the jobs that are still
 * waiting in this VM's state. */
static void
test_an_unconfirmed_owner_reports_no_idle_jobs(void)
{
    struct cluster cluster;

    cluster_begin(&cluster);
    (void)add_job(&cluster, 1, &two);
    CU_ASSERT_EQUAL(check_after(&cluster, 3500).waiting, 1);
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 8000);
    owner_idle_tick(cluster.owner, cluster.clock.now);
    CU_ASSERT_EQUAL(cluster.owner->idle_stats.jobs, 0);
    CU_ASSERT_EQUAL(check_after(&cluster, 600).waiting, 1);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"unconfirmed owner", test_an_unconfirmed_owner_reports_no_idle_jobs},
    {"one job's failures", test_failures_of_one_job_do_not_exclude_a_worker},
    {"two jobs' failures", test_failures_of_two_jobs_exclude_a_worker},
    {"not placed", test_an_unplaced_job_is_reported_after_three_seconds},
    {"not listed", test_an_unlisted_run_is_reported},
    {"no free capacity", test_a_job_without_free_capacity_is_not_reported},
    {"free capacity", test_a_job_with_free_capacity_is_reported},
    {"time with free capacity", test_only_time_with_free_capacity_counts},
    {"endless task", test_an_endless_task_is_reported_while_others_run},
    {"repeating", test_a_task_that_loses_its_runs_is_reported},
};

TEST_MAIN("idle_jobs", tests)

/* At-most-once jobs, which must not be begun a second time. */
#include "test_main.h"

#include "owner_cluster.h"

static struct owner_job *
add_at_most_once_job(struct cluster *cluster, unsigned priority,
                     unsigned tasks, bool gang)
{
    const struct cw_step_spec step = {
        .tasks = tasks, .accelerators = 8, .gang = gang};
    struct owner_job *job = add_job(cluster, priority, &step);

    /* The replica's copy is owned by this test, so it may be changed. */
    ((struct cw_work_spec *)job->spec)->once = TRUE;
    ((struct cw_work_spec *)job->spec)->max_attempts = 1;
    pass(cluster, 10);
    return job;
}

static struct owner_run *
run_of(struct owner_job *job, unsigned task)
{
    return step_of(job)->tasks[task].run;
}

static void
test_not_stopped_for_urgent_work(void)
{
    const struct cw_step_spec all = {.tasks = 12, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *once;
    struct owner_job *urgent;

    cluster_begin(&cluster);
    set_guarantee(&cluster,
                  8); /* lower-priority work may use nearly all workers */
    once = add_at_most_once_job(&cluster, 1, 1, false);
    set_running(&cluster, once);
    urgent = add_job(&cluster, 0, &all);
    pass(&cluster, 10);
    CU_ASSERT_FALSE(run_of(once, 0)->stopping);
    CU_ASSERT_EQUAL(placed(urgent), 11);
    cluster_end(&cluster);
}

/* Of 96 accelerators another account is guaranteed 64. */
static void
test_guarantees_stay_reclaimable(void)
{
    const struct cw_step_spec four = {.tasks = 4, .accelerators = 8};
    const struct cw_step_spec five = {.tasks = 5, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *too_much;
    struct owner_job *fits;

    cluster_begin(&cluster);
    too_much = add_job_for_account(&cluster, "other", 1, &five);
    ((struct cw_work_spec *)too_much->spec)->once = TRUE;
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(too_much), 0);
    fits = add_job_for_account(&cluster, "other", 1, &four);
    ((struct cw_work_spec *)fits->spec)->once = TRUE;
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(fits), 4);
    cluster_end(&cluster);
}

static void
test_lost_worker_ends_job_as_lost(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_at_most_once_job(&cluster, 1, 1, false);
    set_running(&cluster, job);
    owner_run_lost(cluster.owner, run_of(job, 0), true, "test");
    CU_ASSERT_EQUAL(job->phase, CW_WORK_LOST);
    CU_ASSERT_EQUAL(job->reason, CW_END_WORKER_LOST);
    pass(&cluster, 300);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster_end(&cluster);
}

static void
test_run_that_never_started_is_retried(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_at_most_once_job(&cluster, 1, 1, false);
    run_of(job, 0)->phase = RUN_INHERITED; /* of an earlier owner */
    owner_run_lost(cluster.owner, run_of(job, 0), false, "not_listed");
    CU_ASSERT_EQUAL(job->phase, CW_WORK_WAITING);
    pass(&cluster, 300);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_EQUAL(run_of(job, 0)->number, 2);
    cluster_end(&cluster);
}

static void
test_gang_that_never_worked_is_retried(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_at_most_once_job(&cluster, 1, 2, true);
    set_running(&cluster, job);
    run_of(job, 0)->phase = RUN_READY; /* its start was never sent */
    owner_run_drop(cluster.owner, run_of(job, 0));
    owner_run_lost(cluster.owner, run_of(job, 1), true, "lease_over");
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    cluster_end(&cluster);
}

static void
test_gang_that_may_have_worked_is_lost(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_at_most_once_job(&cluster, 1, 2, true);
    set_running(&cluster, job);
    owner_run_lost(cluster.owner, run_of(job, 1), true, "lease_over");
    CU_ASSERT_EQUAL(job->phase, CW_WORK_LOST);
    cluster_end(&cluster);
}

static void
test_refused_after_deadline_unless_started(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_at_most_once_job(&cluster, 1, 1, false);
    ((struct cw_work_spec *)job->spec)->deadline_ms = 1000;
    owner_job_check_deadline(cluster.owner, job,
                             cw_time_add_ms(job->known_at, 900));
    CU_ASSERT_EQUAL(job->phase, CW_WORK_WAITING);
    job->started = true;
    owner_job_check_deadline(cluster.owner, job,
                             cw_time_add_ms(job->known_at, 2000));
    CU_ASSERT_EQUAL(job->phase, CW_WORK_WAITING);
    job->started = false;
    owner_job_check_deadline(cluster.owner, job,
                             cw_time_add_ms(job->known_at, 2000));
    CU_ASSERT_EQUAL(job->phase, CW_WORK_REFUSED);
    CU_ASSERT_EQUAL(job->reason, CW_REF_DEADLINE);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"guarantees stay reclaimable", test_guarantees_stay_reclaimable},
    {"not stopped for urgent work", test_not_stopped_for_urgent_work},
    {"a lost worker ends the job as lost", test_lost_worker_ends_job_as_lost},
    {"a run that never started is retried",
     test_run_that_never_started_is_retried},
    {"a gang that never worked is retried",
     test_gang_that_never_worked_is_retried},
    {"a gang that may have worked is lost",
     test_gang_that_may_have_worked_is_lost},
    {"refused after its deadline unless started",
     test_refused_after_deadline_unless_started},
};

TEST_MAIN("once", tests)

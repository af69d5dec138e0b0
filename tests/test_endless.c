/* Preemption of endless jobs: the limit on tasks that are unavailable. */
#include "test_main.h"

#include "owner_cluster.h"

static unsigned
count_stopping(const struct owner_job *job)
{
    unsigned stopping = 0;

    for (unsigned i = 0; i < step_of(job)->count; i++) {
        const struct owner_run *run = step_of(job)->tasks[i].run;

        stopping += run == NULL || run->stopping;
    }
    return stopping;
}

/* Fills every worker with a task of an endless job, whose account has no
 * guarantee; all tasks are in service. */
static struct owner_job *
fill_cluster(struct cluster *cluster, unsigned may_miss)
{
    const struct cw_step_spec endless_step = {.tasks = RACKS * PER_RACK,
                                              .accelerators = ACCELERATORS,
                                              .endless = true,
                                              .may_miss = may_miss};
    struct owner_job *job;

    cluster_begin(cluster);
    job = add_job_for_account(cluster, "other", 1, &endless_step);
    for (unsigned i = 0; i < 2000 && placed(job) < endless_step.tasks; i++) {
        pass(cluster, 10);
    }
    CU_ASSERT_EQUAL(placed(job), endless_step.tasks);
    set_running(cluster, job);
    for (unsigned i = 0; i < endless_step.tasks; i++) {
        step_of(job)->tasks[i].run->percent = 100;
    }
    return job;
}

static void
test_at_most_may_miss_tasks_are_stopped(void)
{
    const struct cw_step_spec urgent = {.tasks = 4,
                                        .accelerators = ACCELERATORS};
    struct cluster cluster;
    struct owner_job *job = fill_cluster(&cluster, 2);

    (void)add_job(&cluster, 0, &urgent);
    for (unsigned i = 0; i < 100; i++) {
        pass(&cluster, 10);
    }
    CU_ASSERT_TRUE(count_stopping(job) <= 2);
    cluster_end(&cluster);
}

static void
test_endless_job_without_limit_is_preempted(void)
{
    const struct cw_step_spec urgent = {.tasks = 4,
                                        .accelerators = ACCELERATORS};
    struct cluster cluster;
    struct owner_job *job = fill_cluster(&cluster, 0);

    (void)add_job(&cluster, 0, &urgent);
    for (unsigned i = 0; i < 100; i++) {
        pass(&cluster, 10);
    }
    CU_ASSERT_EQUAL(count_stopping(job), 4);
    cluster_end(&cluster);
}

/* A task that is unavailable already may be stopped. */
static void
test_unavailable_task_may_be_stopped(void)
{
    struct cluster cluster;
    struct owner_job *job = fill_cluster(&cluster, 1);
    struct owner_run *first = step_of(job)->tasks[0].run;
    struct owner_run *second = step_of(job)->tasks[1].run;

    CU_ASSERT_FALSE(owner_endless_protects(first, NULL));
    first->percent = 50;
    CU_ASSERT_FALSE(owner_endless_protects(first, NULL));
    CU_ASSERT_TRUE(owner_endless_protects(second, NULL));
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"may miss", test_at_most_may_miss_tasks_are_stopped},
    {"no limit", test_endless_job_without_limit_is_preempted},
    {"unavailable", test_unavailable_task_may_be_stopped},
};

TEST_MAIN("lasting", tests)

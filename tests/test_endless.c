/* Preemption of endless jobs: the limit on tasks that are unavailable. */
#include "test_main.h"

#include "owner_site.h"

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
fill_site(struct site *site, unsigned may_miss)
{
    const struct cw_step_spec endless_step = {.tasks = RACKS * PER_RACK,
                                              .accelerators = ACCELERATORS,
                                              .endless = true,
                                              .may_miss = may_miss};
    struct owner_job *job;

    site_begin(site);
    job = add_job_for_account(site, "other", 1, &endless_step);
    for (unsigned i = 0; i < 2000 && placed(job) < endless_step.tasks; i++) {
        pass(site, 10);
    }
    CU_ASSERT_EQUAL(placed(job), endless_step.tasks);
    set_running(site, job);
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
    struct site site;
    struct owner_job *job = fill_site(&site, 2);

    (void)add_job(&site, 0, &urgent);
    for (unsigned i = 0; i < 100; i++) {
        pass(&site, 10);
    }
    CU_ASSERT_TRUE(count_stopping(job) <= 2);
    site_end(&site);
}

static void
test_endless_job_without_limit_is_preempted(void)
{
    const struct cw_step_spec urgent = {.tasks = 4,
                                        .accelerators = ACCELERATORS};
    struct site site;
    struct owner_job *job = fill_site(&site, 0);

    (void)add_job(&site, 0, &urgent);
    for (unsigned i = 0; i < 100; i++) {
        pass(&site, 10);
    }
    CU_ASSERT_EQUAL(count_stopping(job), 4);
    site_end(&site);
}

/* A task that is unavailable already may be stopped. */
static void
test_unavailable_task_may_be_stopped(void)
{
    struct site site;
    struct owner_job *job = fill_site(&site, 1);
    struct owner_run *first = step_of(job)->tasks[0].run;
    struct owner_run *second = step_of(job)->tasks[1].run;

    CU_ASSERT_FALSE(owner_endless_protects(first, NULL));
    first->percent = 50;
    CU_ASSERT_FALSE(owner_endless_protects(first, NULL));
    CU_ASSERT_TRUE(owner_endless_protects(second, NULL));
    site_end(&site);
}

static const struct test tests[] = {
    {"may miss", test_at_most_may_miss_tasks_are_stopped},
    {"no limit", test_endless_job_without_limit_is_preempted},
    {"unavailable", test_unavailable_task_may_be_stopped},
};

TEST_MAIN("lasting", tests)

/* Work that lasts, while urgent work needs its place. */
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

/* A lasting job on every worker, all tasks at work, of an account that has no
 * guarantee. */
static struct owner_job *
fill_site(struct site *site, unsigned may_miss)
{
    const struct cw_step_spec lasting = {.tasks = RACKS * PER_RACK,
                                         .accelerators = ACCELERATORS,
                                         .endless = true,
                                         .may_miss = may_miss};
    struct owner_job *job;

    site_begin(site);
    job = add_job_for_account(site, "other", 1, &lasting);
    for (unsigned i = 0; i < 2000 && placed(job) < lasting.tasks; i++) {
        pass(site, 10);
    }
    CU_ASSERT_EQUAL(placed(job), lasting.tasks);
    set_running(site, job);
    for (unsigned i = 0; i < lasting.tasks; i++) {
        step_of(job)->tasks[i].run->percent = 100;
    }
    return job;
}

static void
test_no_more_tasks_are_stopped_than_may_miss(void)
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
test_work_that_promises_nothing_gives_way(void)
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

/* One that is away already is not missed once more. */
static void
test_a_task_that_is_not_at_work_may_go(void)
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
    {"may miss", test_no_more_tasks_are_stopped_than_may_miss},
    {"no promise", test_work_that_promises_nothing_gives_way},
    {"not at work", test_a_task_that_is_not_at_work_may_go},
};

TEST_MAIN("lasting", tests)

/* Starts that were not answered, and starts that were never sent. */
#include "test_main.h"

#include "owner_site.h"

/* A job of one task whose start is under way. */
static struct owner_job *
start_job(struct site *site)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct owner_job *job = add_job(site, 1, &one);
    struct owner_run *run;
    struct cw_task_name name;

    pass(site, 10);
    run = step_of(job)->tasks[0].run;
    run->phase = RUN_READY;
    name = owner_task_name(run->task);
    site->owner->proof_at = site->clock.now;
    owner_order_queue(site->owner, run->target, CW_ORDER_START, &name,
                      run->number);
    owner_orders_send(site->owner, run->target, site->clock.now);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_START);
    return job;
}

/* Nothing can come of it: the task need not wait for that worker. */
static void
test_a_start_that_was_never_sent_frees_the_task_at_once(void)
{
    struct site site;
    struct owner_job *job;
    const struct owner_target *first;

    site_begin(&site);
    job = start_job(&site);
    first = place_of(job, 0);
    answer_last(CW_TARGET_UNREACHABLE);
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].failures, 0);
    pass(&site, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_PTR_NOT_EQUAL(place_of(job, 0), first);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->number > 1);
    site_end(&site);
}

/* It may have been carried out, or may be yet. */
static void
test_a_start_without_an_answer_keeps_its_place(void)
{
    struct site site;
    struct owner_job *job;
    const struct owner_target *first;

    site_begin(&site);
    job = start_job(&site);
    first = place_of(job, 0);
    answer_last(CW_TARGET_UNKNOWN);
    CU_ASSERT_EQUAL(placed(job), 1);
    pass(&site, 10);
    CU_ASSERT_PTR_EQUAL(place_of(job, 0), first);
    /* Sent again, and not even that reached the worker. */
    site.owner->proof_at = site.clock.now;
    owner_orders_send(site.owner, step_of(job)->tasks[0].run->target,
                      site.clock.now);
    answer_last(CW_TARGET_UNREACHABLE);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->stopping);
    site_end(&site);
}

static const struct test tests[] = {
    {"never sent", test_a_start_that_was_never_sent_frees_the_task_at_once},
    {"no answer", test_a_start_without_an_answer_keeps_its_place},
};

TEST_MAIN("orders", tests)

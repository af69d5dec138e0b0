/* Starts and stops: orders without an answer, orders that were never sent,
 * retries and limits. */
#include "test_main.h"

#include "owner_site.h"

/* Begins a job of one task and sends its start. */
static struct owner_job *
start_job(struct site *site)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct owner_job *job = add_job(site, 1, &one);

    pass(site, 10);
    (void)send_job_start(site, job);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_START);
    return job;
}

/* The worker cannot carry the start out, so the task need not wait for it. */
static void
test_unsent_start_frees_task_at_once(void)
{
    struct site site;
    struct owner_job *job;
    const struct owner_target *first;

    site_begin(&site);
    job = start_job(&site);
    first = worker_of(job, 0);
    answer_last(CW_TARGET_UNREACHABLE);
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].failures, 0);
    pass(&site, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_PTR_NOT_EQUAL(worker_of(job, 0), first);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->number > 1);
    site_end(&site);
}

/* The start may have been carried out, or may be later. */
static void
test_unanswered_start_keeps_placement(void)
{
    struct site site;
    struct owner_job *job;
    const struct owner_target *first;

    site_begin(&site);
    job = start_job(&site);
    first = worker_of(job, 0);
    answer_last(CW_TARGET_UNKNOWN);
    CU_ASSERT_EQUAL(placed(job), 1);
    pass(&site, 10);
    CU_ASSERT_PTR_EQUAL(worker_of(job, 0), first);
    /* The retry does not reach the worker either. */
    site.clock.now = cw_time_add_ms(site.clock.now, 100);
    site.owner->ownership_confirmed_at = site.clock.now;
    owner_orders_send(site.owner, step_of(job)->tasks[0].run->target,
                      site.clock.now);
    answer_last(CW_TARGET_UNREACHABLE);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->stopping);
    site_end(&site);
}

/* Runs for `ms`, with stops that cannot be sent; returns their number. */
static unsigned
stops_sent_in(struct site *site, struct owner_target *target, unsigned ms)
{
    unsigned sent = 0;

    for (unsigned passed = 0; passed < ms; passed++) {
        last_order.kind = CW_ORDER_POLL;
        site->clock.now = cw_time_add_ms(site->clock.now, 1);
        site->owner->ownership_confirmed_at = site->clock.now;
        (void)owner_orders_send(site->owner, target, site->clock.now);
        if (last_order.kind == CW_ORDER_STOP) {
            sent++;
            answer_last(CW_TARGET_UNREACHABLE);
        }
    }
    return sent;
}

/* Guards against stops that are retried without a pause.  Without one, 8,826
 * stops were sent to workers that no longer existed on mpuk-wroclaw-grown
 * scale-1 seed 202, each as soon as the one before was refused. */
static void
test_failing_stop_is_retried_at_intervals(void)
{
    struct site site;
    struct owner_job *job;
    struct owner_run *run;

    site_begin(&site);
    job = start_job(&site);
    answer_last(CW_TARGET_OK);
    run = step_of(job)->tasks[0].run;
    owner_run_stop(site.owner, run);
    CU_ASSERT_EQUAL(stops_sent_in(&site, run->target, 1500), 5);
    site_end(&site);
}

/* Guards against an additional stop for each end of a gang member, as each end
 * stops the whole gang again.  If 69 members are stopped because of one on a
 * worker that resets connections, nearly each end would send a stop to that
 * worker.
 */
static void
test_repeated_stop_keeps_retry_interval(void)
{
    struct site site;
    struct owner_job *job;
    struct owner_run *run;
    unsigned sent = 0;

    site_begin(&site);
    job = start_job(&site);
    answer_last(CW_TARGET_OK);
    run = step_of(job)->tasks[0].run;
    for (unsigned passed = 0; passed < 1500; passed += 10) {
        owner_run_stop(site.owner, run);
        sent += stops_sent_in(&site, run->target, 10);
    }
    CU_ASSERT_EQUAL(sent, 5);
    site_end(&site);
}

/* A start that was never sent does not wait behind one that may have been
 * carried out: its task is placed elsewhere. */
static void
test_unsent_start_does_not_wait_behind_sent_one(void)
{
    static const struct cw_step_spec half = {.tasks = 1, .accelerators = 4};
    struct site site;
    struct owner_job *jobs[2];
    struct owner_target *target;

    site_begin(&site);
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = add_job(&site, 1, &half);
        pass(&site, 10);
    }
    target = step_of(jobs[0])->tasks[0].run->target;
    CU_ASSERT_PTR_EQUAL_FATAL(worker_of(jobs[1], 0), target);
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        struct owner_run *run = step_of(jobs[i])->tasks[0].run;
        struct cw_task_name name = owner_task_name(run->task);

        run->phase = RUN_READY;
        site.owner->ownership_confirmed_at = site.clock.now;
        owner_order_queue(site.owner, target, CW_ORDER_START, &name,
                          run->number);
        if (i == 0) {
            owner_orders_send(site.owner, target, site.clock.now);
            answer_last(CW_TARGET_UNKNOWN);
            target->unanswered_polls = 1; /* the poll was lost as well */
        }
    }
    owner_orders_send(site.owner, target, site.clock.now);
    CU_ASSERT_EQUAL(placed(jobs[0]), 1);
    CU_ASSERT_EQUAL(placed(jobs[1]), 0);
    site_end(&site);
}

/* Guards against tasks of a cancelled job that run to their end.  If the job
 * is cancelled just after a takeover, before the new owner has read the report
 * of their worker, there is no address to send the stop to, and a stop that is
 * dropped is never sent again. */
static void
test_stop_waits_for_address_of_worker(void)
{
    struct site site;
    struct owner_job *job;
    struct owner_run *run;
    char *address;

    site_begin(&site);
    job = start_job(&site);
    answer_last(CW_TARGET_OK);
    run = step_of(job)->tasks[0].run;
    address = run->target->address;
    run->target->address = g_strdup("");
    owner_run_stop(site.owner, run);
    CU_ASSERT_EQUAL(stops_sent_in(&site, run->target, 100), 0);
    g_free(run->target->address);
    run->target->address = address;
    CU_ASSERT_TRUE(stops_sent_in(&site, run->target, 1000) > 0);
    site_end(&site);
}

/* Other starts would be delayed on a worker with an unanswered start as well.
 */
static void
test_worker_with_unanswered_start_is_avoided(void)
{
    struct site site;
    struct owner_job *job;
    const struct owner_target *first;

    site_begin(&site);
    job = start_job(&site);
    first = worker_of(job, 0);
    CU_ASSERT_TRUE(owner_target_usable(first, site.clock.now));
    answer_last(CW_TARGET_UNKNOWN);
    CU_ASSERT_FALSE(owner_target_usable(first, site.clock.now));
    site_end(&site);
}

/* Only one order per worker is in flight if two orders and a poll need more
 * connections than the VM has. */
static void
test_orders_in_flight_fit_connections(void)
{
    struct site site;
    const struct cw_step_spec three = {.tasks = 3, .accelerators = 2};
    struct owner_job *job;
    struct owner_target *target;

    for (unsigned connections_max = 2; connections_max <= 3; connections_max++)
    {
        site_begin(&site);
        site.owner->options.connections_max =
            connections_max * RACKS * PER_RACK;
        job = add_job(&site, 1, &three);
        pass(&site, 10);
        target = step_of(job)->tasks[0].run->target;
        site.owner->ownership_confirmed_at = site.clock.now;
        for (unsigned i = 0; i < 3; i++) {
            struct owner_run *run = step_of(job)->tasks[i].run;
            struct cw_task_name name = owner_task_name(run->task);

            CU_ASSERT_PTR_EQUAL(run->target, target);
            run->phase = RUN_READY;
            owner_order_queue(site.owner, target, CW_ORDER_START, &name,
                              run->number);
        }
        owner_orders_send(site.owner, target, site.clock.now);
        CU_ASSERT_EQUAL(target->orders_in_flight, connections_max - 1);
        site_end(&site);
    }
}

static const struct test tests[] = {
    {"connections", test_orders_in_flight_fit_connections},
    {"stop interval", test_failing_stop_is_retried_at_intervals},
    {"repeated stop", test_repeated_stop_keeps_retry_interval},
    {"unsent behind sent", test_unsent_start_does_not_wait_behind_sent_one},
    {"address", test_stop_waits_for_address_of_worker},
    {"avoided", test_worker_with_unanswered_start_is_avoided},
    {"never sent", test_unsent_start_frees_task_at_once},
    {"no answer", test_unanswered_start_keeps_placement},
};

TEST_MAIN("orders", tests)

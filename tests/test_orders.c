/* Starts and stops: orders without an answer, orders that were never sent,
 * retries and limits. */
#include "test_main.h"

#include "owner_cluster.h"

/* Begins a job of one task and sends its start. */
static struct owner_job *
start_job(struct cluster *cluster)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct owner_job *job = add_job(cluster, 1, &one);

    pass(cluster, 10);
    (void)send_job_start(cluster, job);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_START);
    return job;
}

/* The worker cannot carry the start out, so the task need not wait for it. */
static void
test_unsent_start_frees_task_at_once(void)
{
    struct cluster cluster;
    struct owner_job *job;
    const struct owner_target *first;

    cluster_begin(&cluster);
    job = start_job(&cluster);
    first = worker_of(job, 0);
    answer_last(CW_TARGET_UNREACHABLE);
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].failures, 0);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_PTR_NOT_EQUAL(worker_of(job, 0), first);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->number > 1);
    cluster_end(&cluster);
}

/* The start may have been carried out, or may be later. */
static void
test_unanswered_start_keeps_placement(void)
{
    struct cluster cluster;
    struct owner_job *job;
    const struct owner_target *first;

    cluster_begin(&cluster);
    job = start_job(&cluster);
    first = worker_of(job, 0);
    answer_last(CW_TARGET_UNKNOWN);
    CU_ASSERT_EQUAL(placed(job), 1);
    pass(&cluster, 10);
    CU_ASSERT_PTR_EQUAL(worker_of(job, 0), first);
    /* The retry does not reach the worker either. */
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 100);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    owner_orders_send(cluster.owner, step_of(job)->tasks[0].run->target,
                      cluster.clock.now);
    answer_last(CW_TARGET_UNREACHABLE);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->stopping);
    cluster_end(&cluster);
}

/* Runs for `ms`, with stops that cannot be sent; returns their number. */
static unsigned
stops_sent_in(struct cluster *cluster, struct owner_target *target,
              unsigned ms)
{
    unsigned sent = 0;

    for (unsigned passed = 0; passed < ms; passed++) {
        last_order.kind = CW_ORDER_POLL;
        cluster->clock.now = cw_time_add_ms(cluster->clock.now, 1);
        cluster->owner->ownership_confirmed_at = cluster->clock.now;
        (void)owner_orders_send(cluster->owner, target, cluster->clock.now);
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
    struct cluster cluster;
    struct owner_job *job;
    struct owner_run *run;

    cluster_begin(&cluster);
    job = start_job(&cluster);
    answer_last(CW_TARGET_OK);
    run = step_of(job)->tasks[0].run;
    owner_run_stop(cluster.owner, run);
    CU_ASSERT_EQUAL(stops_sent_in(&cluster, run->target, 1500), 5);
    cluster_end(&cluster);
}

/* Guards against an additional stop for each end of a gang member, as each end
 * stops the whole gang again.  If 69 members are stopped because of one on a
 * worker that resets connections, nearly each end would send a stop to that
 * worker.
 */
static void
test_repeated_stop_keeps_retry_interval(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_run *run;
    unsigned sent = 0;

    cluster_begin(&cluster);
    job = start_job(&cluster);
    answer_last(CW_TARGET_OK);
    run = step_of(job)->tasks[0].run;
    for (unsigned passed = 0; passed < 1500; passed += 10) {
        owner_run_stop(cluster.owner, run);
        sent += stops_sent_in(&cluster, run->target, 10);
    }
    CU_ASSERT_EQUAL(sent, 5);
    cluster_end(&cluster);
}

/* A start that was never sent does not wait behind one that may have been
 * carried out: its task is placed elsewhere. */
static void
test_unsent_start_does_not_wait_behind_sent_one(void)
{
    static const struct cw_step_spec half = {.tasks = 1, .accelerators = 4};
    struct cluster cluster;
    struct owner_job *jobs[2];
    struct owner_target *target;

    cluster_begin(&cluster);
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = add_job(&cluster, 1, &half);
        pass(&cluster, 10);
    }
    target = step_of(jobs[0])->tasks[0].run->target;
    CU_ASSERT_PTR_EQUAL_FATAL(worker_of(jobs[1], 0), target);
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        struct owner_run *run = step_of(jobs[i])->tasks[0].run;
        struct cw_task_name name = owner_task_name(run->task);

        run->phase = RUN_READY;
        cluster.owner->ownership_confirmed_at = cluster.clock.now;
        owner_order_queue(cluster.owner, target, CW_ORDER_START, &name,
                          run->number);
        if (i == 0) {
            owner_orders_send(cluster.owner, target, cluster.clock.now);
            answer_last(CW_TARGET_UNKNOWN);
            target->unanswered_polls = 1; /* the poll was lost as well */
        }
    }
    owner_orders_send(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL(placed(jobs[0]), 1);
    CU_ASSERT_EQUAL(placed(jobs[1]), 0);
    cluster_end(&cluster);
}

/* Guards against tasks of a cancelled job that run to their end.  If the job
 * is cancelled just after a takeover, before the new owner has read the report
 * of their worker, there is no address to send the stop to, and a stop that is
 * dropped is never sent again. */
static void
test_stop_waits_for_address_of_worker(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_run *run;
    char *address;

    cluster_begin(&cluster);
    job = start_job(&cluster);
    answer_last(CW_TARGET_OK);
    run = step_of(job)->tasks[0].run;
    address = run->target->address;
    run->target->address = g_strdup("");
    owner_run_stop(cluster.owner, run);
    CU_ASSERT_EQUAL(stops_sent_in(&cluster, run->target, 100), 0);
    g_free(run->target->address);
    run->target->address = address;
    CU_ASSERT_TRUE(stops_sent_in(&cluster, run->target, 1000) > 0);
    cluster_end(&cluster);
}

/* Other starts would be delayed on a worker with an unanswered start as well.
 */
static void
test_worker_with_unanswered_start_is_avoided(void)
{
    struct cluster cluster;
    struct owner_job *job;
    const struct owner_target *first;

    cluster_begin(&cluster);
    job = start_job(&cluster);
    first = worker_of(job, 0);
    CU_ASSERT_TRUE(owner_target_usable(first, cluster.clock.now));
    answer_last(CW_TARGET_UNKNOWN);
    CU_ASSERT_FALSE(owner_target_usable(first, cluster.clock.now));
    cluster_end(&cluster);
}

/* Only one order per worker is in flight if two orders and a poll need more
 * connections than the VM has. */
static void
test_orders_in_flight_fit_connections(void)
{
    struct cluster cluster;
    const struct cw_step_spec three = {.tasks = 3, .accelerators = 2};
    struct owner_job *job;
    struct owner_target *target;

    for (unsigned connections_max = 2; connections_max <= 3; connections_max++)
    {
        cluster_begin(&cluster);
        cluster.owner->options.connections_max =
            connections_max * RACKS * PER_RACK;
        job = add_job(&cluster, 1, &three);
        pass(&cluster, 10);
        target = step_of(job)->tasks[0].run->target;
        cluster.owner->ownership_confirmed_at = cluster.clock.now;
        for (unsigned i = 0; i < 3; i++) {
            struct owner_run *run = step_of(job)->tasks[i].run;
            struct cw_task_name name = owner_task_name(run->task);

            CU_ASSERT_PTR_EQUAL(run->target, target);
            run->phase = RUN_READY;
            owner_order_queue(cluster.owner, target, CW_ORDER_START, &name,
                              run->number);
        }
        owner_orders_send(cluster.owner, target, cluster.clock.now);
        CU_ASSERT_EQUAL(target->orders_in_flight, connections_max - 1);
        cluster_end(&cluster);
    }
}

/* Lets the owner poll the worker, which answers in this way. */
static void
poll_and_answer(struct cluster *cluster, struct owner_target *target,
                enum cw_target_status status, unsigned ms)
{
    cluster->clock.now = cw_time_add_ms(cluster->clock.now, ms);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    (void)owner_poll_tick(cluster->owner, target, cluster->clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_POLL);
    answer_last(status);
    (void)owner_orders_send(cluster->owner, target, cluster->clock.now);
}

/* TWICE: a start may reach its worker after a cut of the link, and be carried
 * out seconds later still.  The lease of a worker that was silent is not
 * extended before the start that was given up is shut out. */
static void
test_given_up_start_is_shut_out_after_long_silence(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;

    cluster_begin(&cluster);
    job = start_job(&cluster);
    target = step_of(job)->tasks[0].run->target;
    answer_last(CW_TARGET_UNKNOWN);
    for (unsigned passed = 0; passed < 15000; passed += 1000) {
        poll_and_answer(&cluster, target, CW_TARGET_UNKNOWN, 1000);
    }
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_TRUE(owner_tombstone_pending(target));
    poll_and_answer(&cluster, target, CW_TARGET_OK, 1000);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_STOP);
    CU_ASSERT_EQUAL(last_order.run, 1);
    if (last_order.kind == CW_ORDER_STOP) {
        answer_last(CW_TARGET_OK);
    }
    CU_ASSERT_FALSE(owner_tombstone_pending(target));
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"shut out", test_given_up_start_is_shut_out_after_long_silence},
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

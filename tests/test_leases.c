/* Bounds on the leases of workers that stop answering, and what waits for the
 * end of such a lease. */
#include "test_main.h"

#include "owner_fixture.h"

enum {
    /* A lease on the slowest clock, plus the longest delay of an order. */
    LEASE_MAX_MS = LEASE_MS + LEASE_MS / 50 + 500,
    /* After this time no lease of owners before the first one can last. */
    SETTLED_MS = FIRST_BOUND_MS + 1000,
    /* The platform tolerates 3 s without progress after 4 s without faults:
     * the lease that a start grants before its worker has confirmed a run must
     * not be extended. */
    UNCONFIRMED_MAX_MS = 5000,
    UNRESPONSIVE_MS = 1500
};

/* Begins a fixture in which the owner has been active for long, with runs on a
 * worker that answers it. */
static void
fixture_with_settled_owner(struct fixture *fixture)
{
    fixture_begin(fixture);
    put_spec(fixture);
    put_state(fixture, CW_STATE_TOPIC, CW_WORK_RUNNING);
    take_over(fixture);
    make_worker_reachable(fixture);
    (void)run_answering_polls(fixture, SETTLED_MS);
    CU_ASSERT_EQUAL_FATAL(the_job(fixture)->runs, TASKS);
    CU_ASSERT_EQUAL_FATAL(the_worker(fixture)->lease_note,
                          OWNER_LEASE_NOTE_NONE);
}

/* Makes another owner take over, with the runs. */
static void
replace_owner_with_runs(struct fixture *fixture, const char *vm)
{
    replace_owner(fixture, vm);
    CU_ASSERT_EQUAL_FATAL(the_job(fixture)->runs, TASKS);
}

/* Guards against jobs that wait for 12.6 s after a takeover for a worker that
 * answered the new owner and then failed. */
static void
test_answer_bounds_leases_of_earlier_owners(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    put_spec(&fixture);
    put_state(&fixture, CW_STATE_TOPIC, CW_WORK_RUNNING);
    take_over(&fixture);
    CU_ASSERT_TRUE(lease_left_ms(&fixture) > LEASE_MAX_MS);
    make_worker_reachable(&fixture);
    (void)run_answering_polls(&fixture, 500);
    CU_ASSERT_TRUE(lease_left_ms(&fixture) <= LEASE_MAX_MS);
    CU_ASSERT_TRUE(lease_left_ms(&fixture) >= LEASE_MS - 1000);
    fixture_end(&fixture);
}

/* Guards against waiting for leases that a VM could still extend, after that
 * VM's process has ended and started again. */
static void
test_restarted_vm_extends_no_earlier_leases(void)
{
    struct fixture fixture;

    fixture_with_settled_owner(&fixture);
    replace_owner_with_runs(&fixture, "this");
    CU_ASSERT_TRUE(lease_left_ms(&fixture) <= LEASE_MAX_MS);
    fixture_end(&fixture);
}

/* Guards against waiting for late orders of this owner although none of them
 * granted a lease: the bound on leases of earlier owners covers late orders.
 */
static void
test_orders_without_lease_extend_no_bound(void)
{
    struct fixture fixture;
    struct timespec end;

    fixture_with_settled_owner(&fixture);
    replace_owner_with_runs(&fixture, "this");
    make_worker_reachable(&fixture);
    end = the_worker(&fixture)->lease_end;
    the_worker(&fixture)->orders_in_flight = 1;
    run(&fixture, 100);
    answer_remaining();
    CU_ASSERT_TRUE(the_worker(&fixture)->unanswered_polls > 0);
    CU_ASSERT_FALSE(cw_time_before(end, the_worker(&fixture)->lease_end));
    the_worker(&fixture)->orders_in_flight = 0;
    fixture_end(&fixture);
}

/* Guards against waiting for leases that a former owner could still extend,
 * after it has lost the ownership while its VM continues to run. */
static void
test_former_owner_reports_end_of_extensions(void)
{
    struct fixture fixture;

    fixture_with_settled_owner(&fixture);
    owner_drop_ownership(fixture.owner, "test");
    fixture.owner->join_in_flight =
        true; /* it does not gain the shard again */
    run(&fixture, 1000);
    replace_owner_with_runs(&fixture, "other");
    CU_ASSERT_TRUE(lease_left_ms(&fixture) <= LEASE_MAX_MS);
    fixture_end(&fixture);
}

/* Guards against a gang that waits for the end of the lease of an unresponsive
 * worker although no start of the gang was sent to it. */
static void
test_unsent_runs_on_unresponsive_worker_are_given_up(void)
{
    const struct cw_step_spec gang = {
        .tasks = 3, .accelerators = ACCELERATORS, .gang = true};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;

    cluster_begin(&cluster);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    job = add_job(&cluster, 1, &gang);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL_FATAL(placed(job), 3);
    target = step_of(job)->tasks[1].run->target;
    step_of(job)->tasks[1].run->phase = RUN_RESERVED;
    owner_resources_add(&target->reserved,
                        &(struct cw_resources){.accelerators = 8});
    for (unsigned passed = 0; passed < UNRESPONSIVE_MS; passed += STEP_MS) {
        const struct cw_target_answer none = {.status = CW_TARGET_UNKNOWN};

        cluster.clock.now = cw_time_add_ms(cluster.clock.now, STEP_MS);
        cluster.owner->ownership_confirmed_at = cluster.clock.now;
        (void)owner_poll_tick(cluster.owner, target, cluster.clock.now);
        while (unanswered != NULL && unanswered->len > 0) {
            struct cw_target_order order =
                g_array_index(unanswered, struct cw_target_order, 0);

            g_array_remove_index(unanswered, 0);
            order.done(order.context, &none);
        }
    }
    CU_ASSERT_TRUE(target->unanswered_polls > 1);
    CU_ASSERT_EQUAL(placed(job), 0);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 3);
    for (unsigned i = 0; i < 3 && placed(job) == 3; i++) {
        CU_ASSERT_PTR_NOT_EQUAL(step_of(job)->tasks[i].run->target, target);
    }
    cluster_end(&cluster);
}

/* Sends the start of the job's only task. */
static struct owner_target *
send_start(struct cluster *cluster, struct owner_job *job)
{
    const struct owner_run *run = send_job_start(cluster, job);

    CU_ASSERT_EQUAL(run->phase, RUN_STARTING);
    return run->target;
}

/* Guards against leases that grow with each start sent while a poll is in
 * flight, so that the tasks of a failed worker wait longer. */
static void
test_starts_do_not_extend_renewed_lease(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *second;
    struct timespec end;

    cluster_begin(&cluster);
    make_busy(&cluster);
    target = step_of(run_job(&cluster, 0, &one))->tasks[0].run->target;
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    (void)owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_POLL);
    end = target->lease_end;
    CU_ASSERT_TRUE(cw_time_diff_ms(cluster.clock.now, end) >
                   owner_lease_max_granted_ms(cluster.owner));
    second = add_job(&cluster, 0, &one);
    pass(&cluster, 1500);
    CU_ASSERT_PTR_EQUAL_FATAL(worker_of(second, 0), target);
    CU_ASSERT_PTR_EQUAL(send_start(&cluster, second), target);
    CU_ASSERT_EQUAL(cw_time_diff_ms(end, target->lease_end), 0);
    cluster_end(&cluster);
}

/* Guards against a lease that grows with each retry of an unanswered start. */
static void
test_resent_start_grants_no_longer_lease(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;
    struct timespec end;
    int64_t until_ms;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    pass(&cluster, 10);
    target = send_start(&cluster, job);
    end = target->lease_end;
    until_ms = last_order.lease_until_ms;
    answer_last(CW_TARGET_UNKNOWN);
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 900);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    owner_orders_send(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_START);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].run->unanswered, 1);
    CU_ASSERT_EQUAL(last_order.lease_until_ms, until_ms);
    CU_ASSERT_EQUAL(cw_time_diff_ms(end, target->lease_end), 0);
    cluster_end(&cluster);
}

/* Guards against gangs that wait for a full lease for a worker that failed
 * before it had confirmed a run. */
static void
test_unconfirmed_start_grants_short_lease(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    pass(&cluster, 10);
    target = send_start(&cluster, job);
    CU_ASSERT_TRUE(cw_time_diff_ms(cluster.clock.now, target->lease_end) <=
                   UNCONFIRMED_MAX_MS);
    (void)owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_POLL);
    CU_ASSERT_TRUE(cw_time_diff_ms(cluster.clock.now, target->lease_end) <=
                   UNCONFIRMED_MAX_MS);
    cluster_end(&cluster);
}

/* Guards against lost work that waits for the next periodic check after its
 * worker's lease has expired. */
static void
test_end_of_lease_is_processed_at_once(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct cluster cluster;
    struct owner_target *target;
    struct timespec next;

    cluster_begin(&cluster);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    target = step_of(run_job(&cluster, 0, &one))->tasks[0].run->target;
    (void)owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_TRUE(target->poll_in_flight);
    next = owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_TRUE(cw_time_diff_ms(target->lease_end, next) >= 0);
    CU_ASSERT_TRUE(cw_time_diff_ms(target->lease_end, next) <= 1);
    cluster_end(&cluster);
}

/* Guards against a task that runs twice: a worker has crashed and started
 * again under its id, which the owner has not detected, and by its new clock
 * the lease in a start is long. */
static void
test_start_may_reach_next_incarnation(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    pass(&cluster, 10);
    step_of(job)->tasks[0].run->target->incarnation.boot_ms = 1;
    target = send_start(&cluster, job);
    CU_ASSERT_TRUE(cw_time_diff_ms(cluster.clock.now, target->lease_end) >=
                   LEASE_MS + LEASE_MS / 50);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"answer", test_answer_bounds_leases_of_earlier_owners},
    {"restart", test_restarted_vm_extends_no_earlier_leases},
    {"orders without lease", test_orders_without_lease_extend_no_bound},
    {"former owner", test_former_owner_reports_end_of_extensions},
    {"unsent runs", test_unsent_runs_on_unresponsive_worker_are_given_up},
    {"starts", test_starts_do_not_extend_renewed_lease},
    {"resent start", test_resent_start_grants_no_longer_lease},
    {"end of lease", test_end_of_lease_is_processed_at_once},
    {"next incarnation", test_start_may_reach_next_incarnation},
    {"unconfirmed", test_unconfirmed_start_grants_short_lease},
};

TEST_MAIN("leases", tests)

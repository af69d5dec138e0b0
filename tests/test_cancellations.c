/* Tests of jobs that are stored after they were cancelled: no owner starts
 * them, and what is kept for that purpose is dropped later. */
#include "test_main.h"

#include "owner_fixture.h"

enum { WAIT_MS = 300, SWEEP_MS = 6000, RETAIN_MS = 100000, CANCEL_MS = 3000 };

static void
put_cancellation(struct fixture *fixture, const char *account)
{
    struct cw_cancel_record record = {.queue = (char *)"q",
                                      .account = (char *)account};

    put_record(fixture, "x" ID ".1", (xdrproc_t)xdr_cw_cancel_record, &record);
}

static unsigned
phase_of_job(const struct fixture *fixture)
{
    const struct cw_replica_job *job =
        cw_replica_find_job(fixture->replica, ID);

    CU_ASSERT_PTR_NOT_NULL_FATAL(job);
    return cw_replica_phase(job);
}

/* Guards against an owner that starts a job whose write took effect after its
 * cancellation. */
static void
test_an_owner_does_not_start_a_job_that_was_cancelled_before(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    take_over(&fixture);
    put_cancellation(&fixture, "a");
    run(&fixture, WAIT_MS);
    put_spec(&fixture);
    run(&fixture, WAIT_MS);
    CU_ASSERT_EQUAL(phase_of_job(&fixture), CW_WORK_CANCELLED);
    CU_ASSERT_TRUE(cw_replica_find_job(fixture.replica, ID)->record != NULL);
    CU_ASSERT_PTR_NULL(the_job(&fixture));
    fixture_end(&fixture);
}

/* Guards against the same after a takeover, for either order of the records:
 * a load delivers them in the order of their keys. */
static void
test_a_later_owner_does_not_start_it_either(void)
{
    for (unsigned late = 0; late < 2; late++) {
        struct fixture fixture;

        fixture_begin(&fixture);
        if (late == 0) {
            put_spec(&fixture);
        }
        put_cancellation(&fixture, "a");
        take_over(&fixture);
        replace_owner(&fixture, "next");
        if (late == 1) {
            put_spec(&fixture);
        }
        run(&fixture, WAIT_MS);
        CU_ASSERT_EQUAL(phase_of_job(&fixture), CW_WORK_CANCELLED);
        fixture_end(&fixture);
    }
}

/* Guards against a job that is cancelled by another account's request. */
static void
test_another_account_s_request_does_not_apply(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    put_cancellation(&fixture, "other");
    take_over(&fixture);
    put_spec(&fixture);
    run(&fixture, WAIT_MS);
    CU_ASSERT_EQUAL(phase_of_job(&fixture), CW_WORK_WAITING);
    CU_ASSERT_PTR_NOT_NULL(the_job(&fixture));
    fixture_end(&fixture);
}

/* Guards against a store that fills up with requests to cancel nothing. */
static void
test_a_request_without_a_job_is_dropped_after_a_time(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    put_cancellation(&fixture, "a");
    take_over(&fixture);
    run(&fixture, SWEEP_MS);
    CU_ASSERT_PTR_NOT_NULL(cw_replica_find_job(fixture.replica, ID));
    run(&fixture, RETAIN_MS + SWEEP_MS);
    CU_ASSERT_PTR_NULL(cw_replica_find_job(fixture.replica, ID));
    replace_owner(&fixture, "next");
    CU_ASSERT_PTR_NULL(cw_replica_find_job(fixture.replica, ID));
    fixture_end(&fixture);
}

/* Guards against records that come faster than they are dropped. */
static void
test_records_are_dropped_as_fast_as_they_come(void)
{
    enum { REQUESTS = 1000 };
    struct fixture fixture;

    fixture_begin(&fixture);
    for (unsigned i = 0; i < REQUESTS; i++) {
        struct cw_cancel_record record = {.queue = (char *)"q",
                                          .account = (char *)"a"};
        char key[32];

        g_snprintf(key, sizeof(key), "x%016x.1", i);
        put_record(&fixture, key, (xdrproc_t)xdr_cw_cancel_record, &record);
    }
    take_over(&fixture);
    CU_ASSERT_EQUAL(g_hash_table_size(cw_replica_jobs(fixture.replica)),
                    REQUESTS);
    run(&fixture, RETAIN_MS + 2 * SWEEP_MS);
    CU_ASSERT_EQUAL(g_hash_table_size(cw_replica_jobs(fixture.replica)), 0);
    fixture_end(&fixture);
}

/* ---- cancellations that this VM has not read ---- */

/* UNASKED: guards against starts of a job whose cancellation was stored
 * seconds ago, by an owner that has not read the log of jobs since. */
static void
test_cancellations_are_unknown_while_the_log_is_not_read(void)
{
    struct timespec never = cw_time_from_ms(INT32_MAX);
    struct timespec next = never;
    struct fixture fixture;

    fixture_begin(&fixture);
    fixture.owner->options.cancel_ms = CANCEL_MS;
    take_over(&fixture);
    run(&fixture, WAIT_MS);
    CU_ASSERT_TRUE(
        owner_cancels_known(fixture.owner, fixture.clock.now, &next));
    fixture.job_reads_unanswered = true;
    run(&fixture, CANCEL_MS - OWNER_START_IN_FLIGHT_MS + WAIT_MS);
    CU_ASSERT_FALSE(
        owner_cancels_known(fixture.owner, fixture.clock.now, &next));
    CU_ASSERT_TRUE(cw_time_before(next, never));
    fixture.job_reads_unanswered = false;
    run(&fixture, 2 * WAIT_MS);
    CU_ASSERT_TRUE(
        owner_cancels_known(fixture.owner, fixture.clock.now, &next));
    fixture_end(&fixture);
}

/* The same for what is done with it. */
static void
test_a_start_waits_while_cancellations_are_unknown(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_run *start;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    pass(&cluster, STEP_MS);
    CU_ASSERT_EQUAL_FATAL(placed(job), 1);
    cluster.owner->options.cancel_ms = CANCEL_MS;
    start = send_job_start(&cluster, job);
    CU_ASSERT_EQUAL(start->phase, RUN_READY);
    cluster.owner->options.cancel_ms = 0;
    owner_orders_send(cluster.owner, start->target, cluster.clock.now);
    CU_ASSERT_EQUAL(start->phase, RUN_STARTING);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"owner", test_an_owner_does_not_start_a_job_that_was_cancelled_before},
    {"later owner", test_a_later_owner_does_not_start_it_either},
    {"another account", test_another_account_s_request_does_not_apply},
    {"dropped", test_a_request_without_a_job_is_dropped_after_a_time},
    {"dropped in time", test_records_are_dropped_as_fast_as_they_come},
    {"log not read", test_cancellations_are_unknown_while_the_log_is_not_read},
    {"start waits", test_a_start_waits_while_cancellations_are_unknown},
};

TEST_MAIN("cancellations", tests)

/* Ends of runs that were given up with their worker, and starts that arrive
 * late. */
#include "test_main.h"

#include "owner_cluster.h"

/* Begins a job of one task whose first run was given up and whose second is
 * placed.
 */
static struct owner_job *
give_up(struct cluster *cluster, struct owner_target **first)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct owner_job *job = run_job(cluster, 1, &one);

    *first = step_of(job)->tasks[0].run->target;
    (*first)->incarnation.suspect_until =
        cw_time_add_ms(cluster->clock.now, 60000);
    owner_run_lost(cluster->owner, step_of(job)->tasks[0].run, true, "test");
    pass(cluster, 10);
    return job;
}

static struct cw_ended
end_of(const struct owner_job *job, unsigned run, enum cw_end_kind how)
{
    struct cw_ended ended = {.number = 7,
                             .task = {.job = job->spec->id},
                             .run = run,
                             .how = how,
                             .saved = ""};

    return ended;
}

static void
test_late_result_is_accepted(void)
{
    struct cluster cluster;
    struct owner_target *first;
    struct owner_job *job;
    struct cw_ended ended;

    cluster_begin(&cluster);
    job = give_up(&cluster, &first);
    CU_ASSERT_EQUAL(placed(job), 1);
    ended = end_of(job, 1, CW_END_KIND_DONE);
    owner_run_ended(cluster.owner, first, &ended);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_COMPLETED);
    CU_ASSERT_EQUAL(placed(job), 0); /* its second run was not sent yet */
    cluster_end(&cluster);
}

static void
test_run_started_since_is_stopped(void)
{
    struct cluster cluster;
    struct owner_target *first;
    struct owner_job *job;
    struct cw_ended ended;

    cluster_begin(&cluster);
    job = give_up(&cluster, &first);
    set_running(&cluster, job);
    ended = end_of(job, 1, CW_END_KIND_DONE);
    owner_run_ended(cluster.owner, first, &ended);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_COMPLETED);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->stopping);
    ended = end_of(job, 2, CW_END_KIND_FAILED);
    owner_run_ended(cluster.owner, step_of(job)->tasks[0].run->target, &ended);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_COMPLETED);
    cluster_end(&cluster);
}

static void
test_late_failure_changes_nothing(void)
{
    struct cluster cluster;
    struct owner_target *first;
    struct owner_job *job;
    struct cw_ended ended;

    cluster_begin(&cluster);
    job = give_up(&cluster, &first);
    set_running(&cluster, job);
    ended = end_of(job, 1, CW_END_KIND_FAILED);
    owner_run_ended(cluster.owner, first, &ended);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].failures, 0);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* An extended lease could hide that it had expired. */
static void
test_first_poll_extends_no_lease_and_precedes_placement(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct cluster cluster;
    struct owner_target *target = NULL;
    GHashTableIter iterator;
    gpointer value;
    struct owner_job *job;

    cluster_begin(&cluster);
    g_hash_table_iter_init(&iterator, cluster.owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        target = value;
        target->answered = false;
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(target);
    job = add_job(&cluster, 0, &one);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_POLL);
    CU_ASSERT_EQUAL(last_order.lease_until_ms, 0);
    answer_last(CW_TARGET_OK);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_PTR_EQUAL(worker_of(job, 0), target);
    cluster_end(&cluster);
}

/* This VM could not extend the lease in time, but the worker can still report
 * what it ran. */
static void
test_responsive_worker_is_polled_before_runs_are_given_up(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;

    cluster_begin(&cluster);
    job = run_job(&cluster, 1, &one);
    target = step_of(job)->tasks[0].run->target;
    target->lease_end = cw_time_add_ms(cluster.clock.now, 1000);
    target->answered_poll_sent_at = cluster.clock.now;
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 2000);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_POLL);
    CU_ASSERT_EQUAL(last_order.lease_until_ms, 0);
    answer_last(CW_TARGET_UNREACHABLE);
    owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster_end(&cluster);
}

/* Sends a poll and answers it with empty lists; returns the end of the lease
 * that it granted. */
static int64_t
poll_and_answer(struct cluster *cluster, struct owner_target *target)
{
    int64_t until_ms;

    cluster->clock.now = cw_time_add_ms(cluster->clock.now, 1000);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    target->poll_due = cluster->clock.now;
    owner_poll_tick(cluster->owner, target, cluster->clock.now);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_POLL);
    until_ms = last_order.lease_until_ms;
    answer_last(CW_TARGET_OK);
    return until_ms;
}

/* Returns a time when no worker is avoided any more. */
static struct timespec
later(const struct cluster *cluster)
{
    return cw_time_add_ms(cluster->clock.now, 5000);
}

/* Guards against a start that is delayed by a cut link and carried out when
 * the link heals, after the task was done elsewhere, as with real processes.
 * The lease in the start was over, but a worker checks only its own lease,
 * which had been extended for other work.  So before a lease is extended the
 * worker has to confirm stops of the runs whose starts may still arrive. */
static void
test_late_start_is_stopped_before_lease_is_extended(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;
    struct owner_run *run;
    struct cw_task_name name;

    cluster_begin(&cluster);
    job = add_job(&cluster, 1, &one);
    pass(&cluster, 10);
    run = step_of(job)->tasks[0].run;
    target = run->target;
    run->phase = RUN_READY;
    name = owner_task_name(run->task);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    owner_order_queue(cluster.owner, target, CW_ORDER_START, &name,
                      run->number);
    owner_orders_send(cluster.owner, target, cluster.clock.now);
    answer_last(CW_TARGET_UNKNOWN);
    target->unanswered_polls = 1;
    cluster.clock.now = cw_time_add_ms(target->lease_end, 1);
    owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL(placed(job), 0);
    answer_remaining();
    unanswered = g_array_new(FALSE, FALSE, sizeof(struct cw_target_order));
    CU_ASSERT_EQUAL(poll_and_answer(&cluster, target), 0); /* the first poll */
    for (unsigned tries = 0; tries < 2; tries++) {
        int64_t before_ms = target->incarnation.lease_sent_ms;

        CU_ASSERT_FALSE(owner_target_reachable(target, later(&cluster)));
        CU_ASSERT_EQUAL(
            owner_lease_grant(target, CW_ORDER_POLL, cluster.clock.now),
            before_ms);
        cluster.clock.now = cw_time_add_ms(cluster.clock.now, 300);
        cluster.owner->ownership_confirmed_at = cluster.clock.now;
        owner_orders_send(cluster.owner, target, cluster.clock.now);
        CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_STOP);
        CU_ASSERT_EQUAL(last_order.run, 1);
        last_order.kind = CW_ORDER_POLL;
        answer_last(tries == 0 ? CW_TARGET_UNKNOWN : CW_TARGET_OK);
    }
    CU_ASSERT_TRUE(owner_target_reachable(target, later(&cluster)));
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"late start", test_late_start_is_stopped_before_lease_is_extended},
    {"polled before",
     test_responsive_worker_is_polled_before_runs_are_given_up},
    {"accepted", test_late_result_is_accepted},
    {"stopped", test_run_started_since_is_stopped},
    {"failure", test_late_failure_changes_nothing},
    {"first poll", test_first_poll_extends_no_lease_and_precedes_placement},
};

TEST_MAIN("late", tests)

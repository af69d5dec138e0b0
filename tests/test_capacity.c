/* Workers whose capacity shrinks or grows while work runs, and workers that do
 * not enforce their capacity but start whatever they are ordered to.
 *
 * The runs on a worker must fit the capacity that it reports.  Guards against
 * three faults by which they don't, the first of which occurred on emulated
 * days on which workers do not enforce their capacity and shrink (8 of 600
 * days, among them seeds 900016 and 900017):
 * - After the store was unavailable for five seconds, work is placed by old
 *   reports until the workers' reports are read again.
 * - The capacity of a run that is no longer needed is counted as free while
 *   the run is being stopped.
 * - A start that was decided before its worker shrank is sent afterwards. */
#include "test_main.h"

#include "one_worker.h"

static const struct cw_step_spec half = {.tasks = 1, .accelerators = 4};
static const struct cw_step_spec whole = {.tasks = 1, .accelerators = 8};

static void
configure(struct cluster *cluster, bool is_enforced)
{
    struct cw_routing *routing = cw_routing_new();
    struct cw_service *service = cw_routing_add_service(routing);
    struct cw_account *account = cw_routing_add_account(routing);

    service->name = g_strdup("s");
    service->enforces_capacity = is_enforced;
    account->name = g_strdup("a");
    account->guaranteed_accelerators = 64;
    cw_routing_finish(routing);
    cw_owner_configure(cluster->owner, routing);
    cw_routing_unref(routing);
}

static unsigned
placed_by_report_of_age(struct cluster *cluster, bool is_enforced,
                        unsigned report_age_ms)
{
    struct owner_target *target;
    struct owner_job *job;
    unsigned runs;

    cluster_begin(cluster);
    configure(cluster, is_enforced);
    target = list_only_one(cluster);
    target->reported_at =
        cw_time_add_ms(cluster->clock.now, -(int64_t)report_age_ms);
    job = add_job(cluster, 0, &half);
    pass(cluster, 10);
    runs = placed(job);
    cluster_end(cluster);
    return runs;
}

static void
test_an_old_report_is_not_used_if_capacity_is_not_enforced(void)
{
    struct cluster cluster;

    CU_ASSERT_EQUAL(placed_by_report_of_age(&cluster, false, 2500), 1);
    CU_ASSERT_EQUAL(placed_by_report_of_age(&cluster, false, 5000), 0);
}

/* A worker that enforces its capacity refuses what does not fit, which costs
 * less than waiting for its next report. */
static void
test_an_old_report_is_used_if_capacity_is_enforced(void)
{
    struct cluster cluster;

    CU_ASSERT_EQUAL(placed_by_report_of_age(&cluster, true, 5000), 1);
}

/* Lets the worker list a run of a task that has none. */
static void
list_unwanted_run(struct cluster *cluster, struct owner_target *target,
                  const struct owner_job *job)
{
    const struct cw_running running = listed_run(job, 0);

    list_runs(cluster, target, &running, 1);
}

static void
test_a_run_that_is_stopping_still_takes_capacity(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *unwanted;
    struct owner_job *job;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    unwanted = add_job(&cluster, 0, &half);
    list_unwanted_run(&cluster, target, unwanted);
    owner_job_end(cluster.owner, unwanted, CW_WORK_CANCELLED,
                  CW_END_CANCELLED);
    job = add_job(&cluster, 0, &whole);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster_end(&cluster);
}

/* Sends the worker's orders; true if the job's start was withheld and its task
 * waits again. */
static bool
withholds_start(struct cluster *cluster, struct owner_target *target,
                const struct owner_job *job)
{
    step_of(job)->tasks[0].run->phase = RUN_READY;
    send_first_start(cluster, target, job);
    return (unanswered == NULL || unanswered->len == 0) && placed(job) == 0;
}

static void
test_a_start_decided_before_the_worker_shrank_is_not_sent(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    job = add_job(&cluster, 0, &whole);
    pass(&cluster, 10);
    target->capacity.accelerators = 4;
    CU_ASSERT_TRUE(withholds_start(&cluster, target, job));
    cluster_end(&cluster);
}

/* Guards against a worker that is overloaded as a run that was given up, and
 * that it lists after the placement, takes part of its capacity. */
static void
test_a_start_decided_before_an_orphan_was_listed_is_not_sent(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *unwanted;
    struct owner_job *job;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    job = add_job(&cluster, 0, &whole);
    pass(&cluster, 10);
    unwanted = add_job(&cluster, 0, &half);
    list_unwanted_run(&cluster, target, unwanted);
    (void)owner_orders_send(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_STOP);
    answer_last(CW_TARGET_OK);
    CU_ASSERT_TRUE(withholds_start(&cluster, target, job));
    cluster_end(&cluster);
}

/* The run is placed when the store becomes unavailable and would be sent when
 * it returns, as with seed 900032. */
static void
test_a_start_decided_before_an_outage_is_not_sent(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;

    cluster_begin(&cluster);
    configure(&cluster, false);
    target = list_only_one(&cluster);
    target->reported_at = cluster.clock.now;
    job = add_job(&cluster, 0, &whole);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 5000);
    CU_ASSERT_TRUE(withholds_start(&cluster, target, job));
    cluster_end(&cluster);
}

static void
test_added_capacity_is_used_at_once(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct cw_target_report report = {.id = "w00",
                                      .service = "s",
                                      .address = "w00",
                                      .dc = "",
                                      .rack = "r0",
                                      .kind = "even",
                                      .capacity = {.cpu_milli = 32000,
                                                   .memory_mb = 65536,
                                                   .accelerators = 4}};
    struct owner_job *job;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    owner_target_apply_report(cluster.owner, &report);
    CU_ASSERT_EQUAL(target->capacity.accelerators, 4);
    job = add_job(&cluster, 1, &whole);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster.owner->placement_wanted = false;
    report.capacity.accelerators = 8;
    owner_target_apply_report(cluster.owner, &report);
    CU_ASSERT_TRUE(cluster.owner->placement_wanted);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* The start was sent without an answer while the worker was down; when the
 * worker answers again, its capacity is smaller. */
static void
test_a_start_is_not_repeated_to_a_worker_that_has_shrunk(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;
    struct owner_run *run;
    struct cw_task_name name;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    job = add_job(&cluster, 0, &whole);
    pass(&cluster, 10);
    run = step_of(job)->tasks[0].run;
    run->phase = RUN_STARTING;
    run->unanswered = 1;
    target->capacity.accelerators = 4;
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    name = owner_task_name(run->task);
    owner_order_queue(cluster.owner, target, CW_ORDER_START, &name,
                      run->number);
    owner_orders_send(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_STOP);
    CU_ASSERT_TRUE(run->stopping);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"grows", test_added_capacity_is_used_at_once},
    {"old report", test_an_old_report_is_not_used_if_capacity_is_not_enforced},
    {"capacity enforced", test_an_old_report_is_used_if_capacity_is_enforced},
    {"stopping", test_a_run_that_is_stopping_still_takes_capacity},
    {"before it shrank",
     test_a_start_decided_before_the_worker_shrank_is_not_sent},
    {"before an orphan",
     test_a_start_decided_before_an_orphan_was_listed_is_not_sent},
    {"sent again", test_a_start_is_not_repeated_to_a_worker_that_has_shrunk},
    {"before an outage", test_a_start_decided_before_an_outage_is_not_sent},
};

TEST_MAIN("capacity", tests)

/* Limits per worker and labels: a step may limit how many of its tasks run on
 * one worker, and may require a label of the worker.
 *
 * What runs on a worker is not only what the owner wants there: runs that were
 * given up, and that the worker still lists, count until they have ended. */
#include "test_main.h"

#include "one_worker.h"

static const struct cw_step_spec apart = {
    .tasks = 2, .accelerators = 1, .most_per_worker = 1};
static const struct cw_step_spec labelled = {
    .tasks = 1, .accelerators = 1, .label = (char *)"even"};

/* ---- runs that were given up ---- */

static void
test_a_run_that_was_given_up_counts_until_it_is_gone(void)
{
    const struct owner_loss loss = {.reason = "lease_over",
                                    .evidence = "lease"};
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;
    struct cw_running running;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    job = add_job(&cluster, 1, &apart);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    confirm_starts(&cluster, job);
    running = listed_run(job, 0);
    owner_target_lost(cluster.owner, target, &loss);
    list_runs(&cluster, target, &running, 1);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    list_runs(&cluster, target, NULL, 0);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* Other steps, and the step of another job, don't count. */
static void
test_a_run_that_was_given_up_counts_for_its_own_step_only(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *other;
    struct owner_job *job;
    struct cw_running running;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    other = add_job(&cluster, 1, &apart);
    running = listed_run(other, 0);
    list_runs(&cluster, target, &running, 1);
    job = add_job(&cluster, 1, &apart);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(other), 0);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* Sends the stop of a run whose start may still arrive, and confirms it. */
static void
confirm_stop(struct cluster *cluster, struct owner_target *target)
{
    last_order = (struct cw_target_order){.kind = CW_ORDER_POLL};
    (void)owner_orders_send(cluster->owner, target, cluster->clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_STOP);
    answer_last(CW_TARGET_OK);
}

/* Loses the worker while a start there has no answer; then it answers a poll,
 * and confirms the stop of the run, which may have begun in between.  Returns
 * the run as the worker would list it. */
static struct cw_running
lose_start(struct cluster *cluster, struct owner_job *job)
{
    const struct owner_loss loss = {.reason = "other_life",
                                    .evidence = "start"};
    struct owner_run *run = step_of(job)->tasks[0].run;
    struct owner_target *target = run->target;

    run->phase = RUN_STARTING;
    run->unanswered = 1;
    run->sent_at = cluster->clock.now;
    owner_target_lost(cluster->owner, target, &loss);
    list_runs(cluster, target, NULL, 0);
    pass(cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    confirm_stop(cluster, target);
    return listed_run(job, 0);
}

static void
test_a_stopped_run_counts_until_a_poll_has_shown_its_end(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;
    struct cw_running running;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    job = add_job(&cluster, 1, &apart);
    pass(&cluster, 10);
    running = lose_start(&cluster, job);
    pass(&cluster, 300); /* a step is tried again after 250 ms */
    CU_ASSERT_EQUAL(placed(job), 0);
    list_runs(&cluster, target, &running, 1);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    list_runs(&cluster, target, NULL, 0);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* ---- workers that have changed since the placement ---- */

/* Applies a report of the worker w00 by which its kind and service are these.
 */
static void
report(struct cluster *cluster, const char *kind, const char *service)
{
    const struct cw_target_report changed = {
        .id = "w00",
        .service = service,
        .address = "w00",
        .dc = "",
        .rack = "r0",
        .kind = kind,
        .capacity = {.cpu_milli = 32000,
                     .memory_mb = 65536,
                     .accelerators = ACCELERATORS}};

    owner_target_apply_report(cluster->owner, &changed);
}

/* Sends the worker's orders, with the start of the job's first task; true if
 * that was sent. */
static bool
start_is_sent(struct cluster *cluster, struct owner_target *target,
              const struct owner_job *job)
{
    bool is_sent = false;

    send_first_start(cluster, target, job);
    for (guint i = 0; unanswered != NULL && i < unanswered->len; i++) {
        is_sent |= g_array_index(unanswered, struct cw_target_order, i).kind ==
                   CW_ORDER_START;
    }
    return is_sent;
}

/* Places a task that requires a label on a worker, which then has another kind
 * or service; true if its start is not sent. */
static bool
is_withheld_after_report(const char *kind, const char *service)
{
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;
    bool is_withheld;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    job = add_job(&cluster, 1, &labelled);
    pass(&cluster, 10);
    CU_ASSERT_PTR_EQUAL_FATAL(worker_of(job, 0), target);
    report(&cluster, kind, service);
    step_of(job)->tasks[0].run->phase = RUN_READY;
    is_withheld = !start_is_sent(&cluster, target, job) && placed(job) == 0;
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), !is_withheld);
    cluster_end(&cluster);
    return is_withheld;
}

static void
test_a_start_is_not_sent_if_the_label_is_gone(void)
{
    CU_ASSERT_FALSE(is_withheld_after_report("even", "s"));
    CU_ASSERT_TRUE(is_withheld_after_report("odd", "s"));
}

static void
test_a_start_is_not_sent_to_another_service(void)
{
    CU_ASSERT_TRUE(is_withheld_after_report("even", "other"));
}

static void
test_a_start_is_not_repeated_if_the_label_is_gone(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;
    struct owner_run *run;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    job = add_job(&cluster, 1, &labelled);
    pass(&cluster, 10);
    run = step_of(job)->tasks[0].run;
    run->phase = RUN_STARTING;
    run->unanswered = 1;
    report(&cluster, "odd", "s");
    CU_ASSERT_FALSE(start_is_sent(&cluster, target, job));
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_STOP);
    CU_ASSERT_PTR_EQUAL(step_of(job)->tasks[0].run, run);
    CU_ASSERT_TRUE(run->stopping);
    cluster_end(&cluster);
}

/* The incarnation that answers polls has not reported its kind yet. */
static void
test_the_label_of_a_former_incarnation_does_not_count(void)
{
    static const struct cw_step_spec any = {.tasks = 1, .accelerators = 1};
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *jobs[2];

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    target->incarnation.boot_ms = START_MS;
    target->reported_boot_ms = START_MS - 1;
    jobs[0] = add_job(&cluster, 1, &labelled);
    jobs[1] = add_job(&cluster, 1, &any);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(jobs[0]), 0);
    CU_ASSERT_EQUAL(placed(jobs[1]), 1);
    target->reported_boot_ms = START_MS;
    pass(&cluster, 1000);
    CU_ASSERT_EQUAL(placed(jobs[0]), 1);
    cluster_end(&cluster);
}

/* ---- limits that are exceeded since the placement ---- */

/* Places as many tasks of the job as fit on the only worker, which then lists
 * a first run of the task `orphan`. */
static struct owner_job *
place_beside_orphan(struct cluster *cluster, const struct cw_step_spec *step,
                    unsigned orphan)
{
    struct owner_target *target = list_only_one(cluster);
    struct owner_job *job = add_job(cluster, 1, step);
    struct cw_running running;

    pass(cluster, 10);
    CU_ASSERT_EQUAL(placed(job), step->most_per_worker);
    running = listed_run(job, orphan);
    list_runs(cluster, target, &running, 1);
    return job;
}

static void
test_a_start_is_not_sent_beyond_the_limit(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = place_beside_orphan(&cluster, &apart, 1);
    step_of(job)->tasks[0].run->phase = RUN_READY;
    CU_ASSERT_FALSE(
        start_is_sent(&cluster, owner_target_get(cluster.owner, "w00"), job));
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster_end(&cluster);
}

/* As many starts are withheld as are beyond the limit. */
static void
test_a_start_within_the_limit_is_sent(void)
{
    static const struct cw_step_spec pairs = {
        .tasks = 3, .accelerators = 1, .most_per_worker = 2};
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = place_beside_orphan(&cluster, &pairs, 2);
    target = owner_target_get(cluster.owner, "w00");
    owner_run_drop(cluster.owner, step_of(job)->tasks[1].run);
    step_of(job)->tasks[0].run->phase = RUN_READY;
    CU_ASSERT_TRUE(start_is_sent(&cluster, target, job));
    cluster_end(&cluster);
}

/* The start had no answer; when it is to be sent again, an orphan is there. */
static void
test_a_start_is_not_repeated_beyond_the_limit(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_run *run;

    cluster_begin(&cluster);
    job = place_beside_orphan(&cluster, &apart, 1);
    run = step_of(job)->tasks[0].run;
    run->phase = RUN_STARTING;
    run->unanswered = 1;
    CU_ASSERT_FALSE(start_is_sent(&cluster, run->target, job));
    CU_ASSERT_TRUE(run->stopping);
    cluster_end(&cluster);
}

/* Guards against an orphan that takes its worker for ever: one that was listed
 * by the last poll of an idle worker is polled for until it has ended. */
static void
test_worker_is_polled_until_its_orphans_are_gone(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct cw_running running;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    running = listed_run(add_job(&cluster, 1, &apart), 0);
    target->last_busy_at = cluster.clock.now;
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 13900);
    list_runs(&cluster, target, &running, 1);
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 200);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    CU_ASSERT_FALSE(target->poll_in_flight);
    (void)owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_TRUE(target->poll_in_flight);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"polled for orphans", test_worker_is_polled_until_its_orphans_are_gone},
    {"given up", test_a_run_that_was_given_up_counts_until_it_is_gone},
    {"given up, other step",
     test_a_run_that_was_given_up_counts_for_its_own_step_only},
    {"stopped", test_a_stopped_run_counts_until_a_poll_has_shown_its_end},
    {"label gone", test_a_start_is_not_sent_if_the_label_is_gone},
    {"label gone, sent again",
     test_a_start_is_not_repeated_if_the_label_is_gone},
    {"other service", test_a_start_is_not_sent_to_another_service},
    {"label, former incarnation",
     test_the_label_of_a_former_incarnation_does_not_count},
    {"limit", test_a_start_is_not_sent_beyond_the_limit},
    {"limit, sent again", test_a_start_is_not_repeated_beyond_the_limit},
    {"within limit", test_a_start_within_the_limit_is_sent},
};

TEST_MAIN("limits", tests)

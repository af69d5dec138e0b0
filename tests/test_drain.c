/* Work on draining workers. */
#include "test_main.h"

#include "owner_cluster.h"

enum { REMAINING_MS = 2000, DRAINING_LEASE_MS = 2400 };

/* Runs a job of one task, whose worker then starts to drain. */
static struct owner_run *
run_on_draining_worker(struct cluster *cluster, bool checkpoints,
                       unsigned percent, double rate)
{
    const struct cw_step_spec one = {
        .tasks = 1, .accelerators = 8, .checkpoints = checkpoints};
    struct owner_job *job;
    struct owner_run *run;

    cluster_begin(cluster);
    job = run_job(cluster, 1, &one);
    run = step_of(job)->tasks[0].run;
    run->percent = percent;
    run->rate = rate;
    run->rate_known = rate > 0;
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    owner_drain_tick(cluster->owner, run->target, cluster->clock.now);
    CU_ASSERT_FALSE(run->stopping);
    owner_drain_announced(run->target, REMAINING_MS, cluster->clock.now);
    run->target->draining = true;
    owner_drain_tick(cluster->owner, run->target, cluster->clock.now);
    return run;
}

static void
test_work_with_checkpoints_moves_unless_it_ends_in_time(void)
{
    struct cluster cluster;

    CU_ASSERT_TRUE(run_on_draining_worker(&cluster, true, 10, 10)->stopping);
    cluster_end(&cluster);
    CU_ASSERT_TRUE(run_on_draining_worker(&cluster, true, 10, 0)->stopping);
    cluster_end(&cluster);
    CU_ASSERT_FALSE(run_on_draining_worker(&cluster, true, 90, 20)->stopping);
    cluster_end(&cluster);
}

/* Work without checkpoints would be lost if it were moved, and the worker may
 * remain longer.
 */
static void
test_work_without_checkpoints_stays(void)
{
    struct cluster cluster;

    CU_ASSERT_FALSE(run_on_draining_worker(&cluster, false, 10, 10)->stopping);
    cluster_end(&cluster);
    CU_ASSERT_FALSE(run_on_draining_worker(&cluster, false, 10, 0)->stopping);
    cluster_end(&cluster);
}

static void
test_a_gang_moves_as_a_whole(void)
{
    const struct cw_step_spec gang = {
        .tasks = 3, .accelerators = 8, .gang = true, .checkpoints = true};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;

    cluster_begin(&cluster);
    job = run_job(&cluster, 1, &gang);
    target = step_of(job)->tasks[1].run->target;
    owner_drain_announced(target, REMAINING_MS, cluster.clock.now);
    target->draining = true;
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    owner_drain_tick(cluster.owner, target, cluster.clock.now);
    for (unsigned i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(step_of(job)->tasks[i].run->stopping);
    }
    cluster_end(&cluster);
}

/* Guards against a gang that is not moved as its member on the draining worker
 * would end in time, and is lost as its longest member would not. */
static void
test_a_gang_is_moved_for_its_longest_member(void)
{
    const struct cw_step_spec gang = {
        .tasks = 2, .accelerators = 8, .gang = true, .checkpoints = true};

    for (unsigned longest = 50; longest <= 95; longest += 45) {
        struct cluster cluster;
        struct owner_job *job;
        struct owner_target *target;

        cluster_begin(&cluster);
        job = run_job(&cluster, 1, &gang);
        for (unsigned i = 0; i < 2; i++) {
            struct owner_run *run = step_of(job)->tasks[i].run;

            run->percent = i == 0 ? 95 : longest;
            run->rate = 10;
            run->rate_known = true;
        }
        target = step_of(job)->tasks[0].run->target;
        owner_drain_announced(target, REMAINING_MS, cluster.clock.now);
        target->draining = true;
        cluster.owner->ownership_confirmed_at = cluster.clock.now;
        owner_drain_tick(cluster.owner, target, cluster.clock.now);
        CU_ASSERT_EQUAL(step_of(job)->tasks[0].run->stopping, longest < 95);
        cluster_end(&cluster);
    }
}

/* Guards against long leases of draining workers.  If a worker that has
 * announced that it drains is cut off and shuts down with a lease of 10 s that
 * was extended until the cut, the end of a task may be lost with it.  The task
 * then runs again only 11 s later, after its callers have given up. */
static void
test_a_draining_worker_gets_short_leases(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct cluster cluster;
    struct owner_target *target;
    int64_t before_ms;

    cluster_begin(&cluster);
    cluster.owner->options.lease_ms = 10000;
    make_busy(&cluster);
    target = step_of(run_job(&cluster, 1, &one))->tasks[0].run->target;
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    before_ms = owner_lease_grant(target, CW_ORDER_POLL, cluster.clock.now);
    target->draining = true;
    /* The lease that was granted is not shortened. */
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 1000);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    CU_ASSERT_EQUAL(
        owner_lease_grant(target, CW_ORDER_POLL, cluster.clock.now),
        before_ms);
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 8000);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    owner_target_set_clock(
        target, cw_time_diff_ms(cw_time_from_ms(0), cluster.clock.now),
        cluster.clock.now);
    CU_ASSERT_EQUAL(
        owner_lease_grant(target, CW_ORDER_POLL, cluster.clock.now),
        before_ms + 9000 - owner_lease_max_granted_ms(cluster.owner) +
            DRAINING_LEASE_MS);
    CU_ASSERT_TRUE(cw_time_diff_ms(cluster.clock.now, target->lease_end) <=
                   DRAINING_LEASE_MS + 300);
    cluster_end(&cluster);
}

/* ---- starts ---- */

static void
send_orders(struct cluster *cluster, struct owner_target *target,
            unsigned after_ms)
{
    cluster->clock.now = cw_time_add_ms(cluster->clock.now, after_ms);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    owner_orders_send(cluster->owner, target, cluster->clock.now);
}

/* Guards against DRAIN: a start without an answer was sent again, seconds
 * after its worker had reported that it drains, and its run ended with the
 * worker. */
static void
test_unanswered_start_is_not_sent_again_to_a_draining_worker(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;

    cluster_begin(&cluster);
    job = add_job(&cluster, 1, &one);
    pass(&cluster, 10);
    target = send_job_start(&cluster, job)->target;
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_START);
    answer_last(CW_TARGET_UNKNOWN);
    target->draining = true;
    send_orders(&cluster, target, 100);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->stopping);
    send_orders(&cluster, target, 1);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_STOP);
    answer_last(CW_TARGET_OK);
    pass(&cluster, 10);
    owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_POLL);
    answer_last(CW_TARGET_OK);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_PTR_NOT_EQUAL(worker_of(job, 0), target);
    cluster_end(&cluster);
}

/* Guards against DRAIN, and against a task that waits: a start that waited for
 * another reason was kept for its worker, and sent once that was over. */
static void
test_waiting_start_leaves_a_draining_worker(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;

    cluster_begin(&cluster);
    job = add_job(&cluster, 1, &one);
    pass(&cluster, 10);
    target = step_of(job)->tasks[0].run->target;
    target->lease_note = OWNER_LEASE_NOTE_WRITTEN;
    (void)send_job_start(&cluster, job);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].run->phase, RUN_READY);
    target->draining = true;
    send_orders(&cluster, target, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_PTR_NOT_EQUAL(worker_of(job, 0), target);
    cluster_end(&cluster);
}

/* Guards against DRAIN: a run that waited for room on its worker was started
 * there once that was free, however long ago the worker had begun to drain. */
static void
test_reserved_run_leaves_a_draining_worker(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct cluster cluster;
    struct cw_target_report report = {.service = "s",
                                      .dc = "",
                                      .rack = "r0",
                                      .kind = "even",
                                      .capacity = {32000, 65536, 8},
                                      .draining = true,
                                      .remaining_ms = REMAINING_MS};
    struct owner_job *job;
    struct owner_run *run;

    cluster_begin(&cluster);
    job = add_job(&cluster, 1, &one);
    run = owner_run_create(cluster.owner, &step_of(job)->tasks[0],
                           owner_target_get(cluster.owner, "w00"),
                           RUN_RESERVED, 1);
    report.id = run->target->id;
    report.address = run->target->address;
    owner_target_apply_report(cluster.owner, &report);
    CU_ASSERT_EQUAL(placed(job), 0);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_STRING_NOT_EQUAL(worker_of(job, 0)->id, "w00");
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"checkpoints", test_work_with_checkpoints_moves_unless_it_ends_in_time},
    {"no checkpoints", test_work_without_checkpoints_stays},
    {"short leases", test_a_draining_worker_gets_short_leases},
    {"gang", test_a_gang_moves_as_a_whole},
    {"longest member", test_a_gang_is_moved_for_its_longest_member},
    {"unanswered start",
     test_unanswered_start_is_not_sent_again_to_a_draining_worker},
    {"waiting start", test_waiting_start_leaves_a_draining_worker},
    {"reserved run", test_reserved_run_leaves_a_draining_worker},
};

TEST_MAIN("drain", tests)

/* How long the task of a worker that stops answering waits until it runs
 * elsewhere, and whether a worker that answers keeps its lease. */
#include "test_main.h"

#include "owner_cluster.h"

enum {
    /* The platform tolerates 3 s in which nothing of a job runs; in a busy
     * service from 4 s after the last fault on. */
    IDLE_TOLERATED_MS = 3000,
    CALM_AFTER_FAULT_MS = 4000,
    /* For the store and the start, which follow the placement. */
    RESTART_MS = 300,
    TICK_MS = 10,
    ANSWERING_MS = 5000,
    /* From then on after the last arrival no calm is needed. */
    AFTER_ARRIVALS_MS = 14000,
    SILENT_MAX_MS = 20000,
    BOOT_MS = 7
};

/* A worker that executes the only task of a job. */
struct worker {
    struct cluster cluster;
    struct owner_job *other; /* one that keeps the service busy, or NULL */
    bool arrivals_end;       /* no job arrives any more */
    struct owner_target *target;
    struct owner_task *task;
    struct cw_target_order poll; /* in flight */
    struct timespec poll_at;     /* when it was sent; 0: none is in flight */
    unsigned polls;
    unsigned lost_poll; /* number of a poll that it does not receive */
    bool silent;        /* it answers nothing */
    /* Of the leases that it has received, by the VM's clock, which its own
     * equals. */
    int64_t lease_until_ms;
    struct timespec answered_at;
    bool lapsed;
};

static void
worker_begin(struct worker *worker, bool busy, int64_t boot_ms)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct owner_run *run;

    memset(worker, 0, sizeof(*worker));
    cluster_begin(&worker->cluster);
    if (busy) {
        worker->other = make_busy(&worker->cluster);
    }
    run = step_of(run_job(&worker->cluster, 1, &one))->tasks[0].run;
    run->boot_ms = boot_ms;
    run->sent_at = run->started_at;
    worker->task = run->task;
    worker->target = run->target;
    worker->target->incarnation.boot_ms = boot_ms;
}

static void
answer_poll(struct worker *worker)
{
    struct cw_running running = {.task = owner_task_name(worker->task),
                                 .run = worker->task->last_run,
                                 .saved = ""};
    struct timespec now = worker->cluster.clock.now;
    struct cw_target_answer answer = {
        .status = CW_TARGET_OK,
        .clock_ms = cw_time_diff_ms(cw_time_from_ms(0), now),
        .boot_ms = worker->target->incarnation.boot_ms,
        .running = &running,
        .running_count = 1};

    worker->poll_at = cw_time_from_ms(0);
    worker->answered_at = now;
    worker->poll.done(worker->poll.context, &answer);
}

static void
fail_poll(struct worker *worker)
{
    const struct cw_target_answer none = {.status = CW_TARGET_UNKNOWN};

    worker->poll_at = cw_time_from_ms(0);
    worker->poll.done(worker->poll.context, &none);
}

static void
worker_end(struct worker *worker)
{
    if (worker->poll_at.tv_sec > 0) {
        fail_poll(worker);
    }
    cluster_end(&worker->cluster);
}

/* Takes the poll that the owner has sent, if any. */
static void
receive_poll(struct worker *worker)
{
    if (unanswered == NULL || unanswered->len == 0) {
        return;
    }
    worker->poll = last_order;
    worker->poll_at = worker->cluster.clock.now;
    worker->polls++;
    g_array_set_size(unanswered, 0);
    if (!worker->silent && worker->polls != worker->lost_poll) {
        worker->lease_until_ms =
            MAX(worker->lease_until_ms, worker->poll.lease_until_ms);
    }
}

/* Answers the poll in flight once it has waited for as long as it allows, or
 * lets it fail after its timeout. */
static void
end_poll(struct worker *worker)
{
    int64_t age_ms =
        cw_time_diff_ms(worker->poll_at, worker->cluster.clock.now);

    if (worker->poll_at.tv_sec == 0) {
        return;
    }
    if (!worker->silent && worker->polls != worker->lost_poll) {
        if (age_ms >= worker->poll.wait_ms) {
            answer_poll(worker);
        }
    }
    else if (age_ms >= worker->poll.timeout_ms) {
        fail_poll(worker);
    }
}

static void
tick(struct worker *worker)
{
    int64_t now_ms;

    if (worker->other != NULL && !worker->arrivals_end) {
        arrive_now(&worker->cluster, worker->other);
    }
    pass(&worker->cluster, TICK_MS);
    now_ms = cw_time_diff_ms(cw_time_from_ms(0), worker->cluster.clock.now);
    worker->lapsed = worker->lapsed || (worker->lease_until_ms > 0 &&
                                        worker->lease_until_ms < now_ms);
    end_poll(worker);
    (void)owner_poll_tick(worker->cluster.owner, worker->target,
                          worker->cluster.clock.now);
    receive_poll(worker);
}

/* Lets the worker fall silent just after an answer; returns how long after
 * that its task is placed elsewhere. */
static int64_t
ms_until_placed_elsewhere(bool busy, bool arrivals_end, int64_t boot_ms)
{
    unsigned answering_ms = arrivals_end ? AFTER_ARRIVALS_MS : ANSWERING_MS;
    struct worker worker;
    int64_t ms = 0;

    worker_begin(&worker, busy, boot_ms);
    worker.arrivals_end = arrivals_end;
    for (unsigned passed = 0; passed < answering_ms; passed += TICK_MS) {
        tick(&worker);
    }
    CU_ASSERT_PTR_EQUAL_FATAL(worker.task->run->target, worker.target);
    while (cw_time_diff_ms(worker.poll_at, worker.cluster.clock.now) > 0) {
        tick(&worker); /* until a poll has just extended the lease */
    }
    worker.silent = true;
    while (ms < SILENT_MAX_MS && (worker.task->run == NULL ||
                                  worker.task->run->target == worker.target))
    {
        tick(&worker);
        ms = cw_time_diff_ms(worker.answered_at, worker.cluster.clock.now);
    }
    worker_end(&worker);
    return ms;
}

/* Guards against a job that is idle for over 3 s in a mostly idle service, as
 * its last run was on a worker that stopped answering. */
static void
test_short_wait_in_mostly_idle_service(void)
{
    CU_ASSERT_TRUE(ms_until_placed_elsewhere(false, false, 0) <=
                   IDLE_TOLERATED_MS - RESTART_MS);
}

/* Guards against the same in a service that still has much to do when no new
 * work arrives any more. */
static void
test_short_wait_after_last_arrival(void)
{
    CU_ASSERT_TRUE(ms_until_placed_elsewhere(true, true, 0) <=
                   IDLE_TOLERATED_MS - RESTART_MS);
}

/* Guards against the same where workers report boot times: a run that only
 * the present incarnation can execute waited for the longest lease that the
 * next incarnation could get. */
static void
test_short_wait_for_worker_with_boot_time(void)
{
    CU_ASSERT_TRUE(ms_until_placed_elsewhere(false, false, BOOT_MS) <=
                   IDLE_TOLERATED_MS - RESTART_MS);
}

/* Guards against a job of a busy service that is idle for over 3 s from 4 s
 * after the failure of its worker on. */
static void
test_wait_in_busy_service(void)
{
    int64_t tolerated_ms =
        CALM_AFTER_FAULT_MS + IDLE_TOLERATED_MS - RESTART_MS;

    CU_ASSERT_TRUE(ms_until_placed_elsewhere(true, false, 0) <= tolerated_ms);
    CU_ASSERT_TRUE(ms_until_placed_elsewhere(true, false, BOOT_MS) <=
                   tolerated_ms);
}

/* Guards against work that is lost with its worker's lease because a single
 * poll is lost. */
static void
test_lost_poll_loses_no_lease(void)
{
    for (unsigned busy = 0; busy < 2; busy++) {
        struct worker worker;

        worker_begin(&worker, busy, 0);
        worker.lost_poll = 4;
        for (unsigned passed = 0; passed < 2 * ANSWERING_MS; passed += TICK_MS)
        {
            tick(&worker);
        }
        CU_ASSERT_TRUE(worker.polls > worker.lost_poll + 2);
        CU_ASSERT_FALSE(worker.lapsed);
        worker_end(&worker);
    }
}

/* Guards against a lease that counts from a poll that is sent late: the run
 * may have ended just after the worker's last answer. */
static void
test_lease_counts_from_last_answer(void)
{
    enum { DELAY_MS = 700, ON_TIME_MS = 40 };
    int64_t left_ms[2];

    for (unsigned late = 0; late < 2; late++) {
        struct worker worker;

        worker_begin(&worker, false, 0);
        for (unsigned passed = 0; passed < ANSWERING_MS; passed += TICK_MS) {
            tick(&worker);
        }
        end_poll(&worker);
        worker.target->incarnation.poll_answered_at =
            cw_time_add_ms(worker.cluster.clock.now, -ON_TIME_MS);
        worker.cluster.clock.now =
            cw_time_add_ms(worker.cluster.clock.now, late * (int64_t)DELAY_MS);
        worker.cluster.owner->ownership_confirmed_at =
            worker.cluster.clock.now;
        left_ms[late] =
            owner_lease_grant(worker.target, CW_ORDER_POLL,
                              worker.cluster.clock.now) -
            cw_time_diff_ms(cw_time_from_ms(0), worker.cluster.clock.now);
        worker_end(&worker);
    }
    CU_ASSERT_TRUE(left_ms[1] <= left_ms[0] - DELAY_MS + TICK_MS);
}

/* Guards against work that is lost with its worker's lease because a single
 * poll is lost, in a service of over 1,000 workers, whose polls are longer. */
static void
test_lost_poll_of_many_workers_loses_no_lease(void)
{
    enum { WORKERS = 1001 };
    struct worker worker;

    worker_begin(&worker, false, 0);
    for (unsigned i = 0; i < WORKERS; i++) {
        char id[16];

        g_snprintf(id, sizeof(id), "m%04u", i);
        (void)owner_target_get(worker.cluster.owner, id);
    }
    worker.lost_poll = 4;
    for (unsigned passed = 0; passed < 4 * ANSWERING_MS; passed += TICK_MS) {
        tick(&worker);
    }
    CU_ASSERT_TRUE(worker.polls > worker.lost_poll + 2);
    CU_ASSERT_FALSE(worker.lapsed);
    worker_end(&worker);
}

/* Guards against the same while the store is slow, so that ends that the
 * worker has listed are not durable. */
static void
test_lost_poll_before_ends_are_durable_loses_no_lease(void)
{
    struct worker worker;

    worker_begin(&worker, false, 0);
    worker.target->incarnation.ends_applied = 1;
    worker.target->incarnation.ends_in_batch = 1;
    worker.lost_poll = 4;
    for (unsigned passed = 0; passed < ANSWERING_MS; passed += TICK_MS) {
        tick(&worker);
    }
    CU_ASSERT_TRUE(worker.polls > worker.lost_poll + 2);
    CU_ASSERT_FALSE(worker.lapsed);
    worker_end(&worker);
}

/* Sends the start of a job's only task to a worker that never answers again;
 * returns how long after that the task is placed elsewhere. */
static int64_t
ms_until_start_is_placed_elsewhere(int64_t boot_ms)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    const struct cw_target_answer none = {.status = CW_TARGET_UNKNOWN};
    struct worker worker = {.silent = true};
    struct cw_target_order start;
    struct owner_job *job;
    int64_t ms = 0;

    cluster_begin(&worker.cluster);
    job = add_job(&worker.cluster, 1, &one);
    pass(&worker.cluster, TICK_MS);
    worker.task = &step_of(job)->tasks[0];
    worker.target = worker.task->run->target;
    worker.target->incarnation.boot_ms = boot_ms;
    worker.target->answered_poll_sent_at = worker.cluster.clock.now;
    worker.target->incarnation.poll_answered_at = worker.cluster.clock.now;
    (void)send_job_start(&worker.cluster, job);
    start = last_order;
    g_array_set_size(unanswered, 0);
    while (ms < SILENT_MAX_MS && (worker.task->run == NULL ||
                                  worker.task->run->target == worker.target))
    {
        tick(&worker);
        ms += TICK_MS;
    }
    start.done(start.context, &none);
    worker_end(&worker);
    return ms;
}

/* Guards against a job that is idle for over 3 s because its only start was
 * sent to a worker that had just stopped answering. */
static void
test_short_wait_for_unconfirmed_start(void)
{
    CU_ASSERT_TRUE(ms_until_start_is_placed_elsewhere(0) <=
                   IDLE_TOLERATED_MS - RESTART_MS);
}

/* Guards against the same where workers report boot times. */
static void
test_short_wait_for_unconfirmed_start_with_boot_time(void)
{
    CU_ASSERT_TRUE(ms_until_start_is_placed_elsewhere(BOOT_MS) <=
                   IDLE_TOLERATED_MS - RESTART_MS);
}

/* Lets the answers of all orders in flight be lost, until they time out. */
static void
lose_orders(struct cluster *cluster)
{
    enum { ORDER_TIMEOUT_MS = 500 };

    cluster->clock.now = cw_time_add_ms(cluster->clock.now, ORDER_TIMEOUT_MS);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    answer_remaining();
}

/* Makes the job's runs ready and queues their starts. */
static void
queue_starts(struct cluster *cluster, struct owner_job *job)
{
    for (unsigned i = 0; i < step_of(job)->count; i++) {
        struct owner_run *run = step_of(job)->tasks[i].run;
        struct cw_task_name name = owner_task_name(run->task);

        run->phase = RUN_READY;
        owner_order_queue(cluster->owner, run->target, CW_ORDER_START, &name,
                          run->number);
    }
}

/* Guards against a gang that is idle for over 3 s because its worker, which
 * had just stopped answering, was sent further starts once the first had no
 * answer, and each of them extended the lease. */
static void
test_short_wait_for_several_unconfirmed_starts(void)
{
    const struct cw_step_spec four = {
        .tasks = 4, .accelerators = 2, .gang = true};
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;
    struct timespec sent;
    int64_t until_ms;

    cluster_begin(&cluster);
    job = add_job(&cluster, 1, &four);
    pass(&cluster, TICK_MS);
    target = step_of(job)->tasks[0].run->target;
    CU_ASSERT_EQUAL_FATAL(target->runs->len, 4);
    queue_starts(&cluster, job);
    sent = cluster.clock.now;
    (void)owner_orders_send(cluster.owner, target, sent);
    CU_ASSERT_EQUAL_FATAL(unanswered->len, 2);
    until_ms = last_order.lease_until_ms;
    lose_orders(&cluster);
    (void)owner_orders_send(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_EQUAL(unanswered->len, 2);
    CU_ASSERT_EQUAL(last_order.lease_until_ms, until_ms);
    CU_ASSERT_TRUE(cw_time_diff_ms(sent, target->lease_end) <=
                   IDLE_TOLERATED_MS - RESTART_MS);
    /* An answer shows that the worker executes orders, and that the next one
     * may extend the lease. */
    lose_orders(&cluster);
    owner_target_answered(target, CW_TARGET_NO_CAPACITY, cluster.clock.now);
    CU_ASSERT_TRUE(owner_lease_grant(target, CW_ORDER_START,
                                     cluster.clock.now) > until_ms);
    cluster_end(&cluster);
}

/* Guards against a job that is idle for over 3 s as its last run was started
 * by an earlier owner, long ago, on a worker that stops answering this one. */
static void
test_short_wait_for_inherited_run(void)
{
    struct worker worker;
    int64_t ms = 0;

    worker_begin(&worker, false, BOOT_MS);
    worker.task->run->sent_at = cw_time_from_ms(0);
    for (unsigned passed = 0; passed < 4 * ANSWERING_MS; passed += TICK_MS) {
        tick(&worker);
    }
    CU_ASSERT_PTR_EQUAL_FATAL(worker.task->run->target, worker.target);
    worker.silent = true;
    while (ms < SILENT_MAX_MS && (worker.task->run == NULL ||
                                  worker.task->run->target == worker.target))
    {
        tick(&worker);
        ms = cw_time_diff_ms(worker.answered_at, worker.cluster.clock.now);
    }
    CU_ASSERT_TRUE(ms <= IDLE_TOLERATED_MS - RESTART_MS);
    worker_end(&worker);
}

/* Guards against a service in use that counts as not busy, so that its workers
 * get short leases, because the wall clock of the VM that decides is ahead of
 * the one that accepted the jobs. */
static void
test_busy_service_with_wall_clock_ahead(void)
{
    enum { AHEAD_MS = 6000 };
    const struct cw_step_spec wide = {.tasks = 8,
                                      .accelerators = ACCELERATORS};
    struct cluster cluster;

    cluster_begin(&cluster);
    /* Jobs of this fixture are accepted at the wall time 0. */
    cluster.clock.wall_offset_ms =
        AHEAD_MS - cw_clock_wall_ms(&cluster.clock.base);
    (void)run_job(&cluster, 2, &wide);
    owner_headroom_update(cluster.owner, cluster.clock.now);
    CU_ASSERT_TRUE(
        owner_service_is_busy(cluster.owner, "s", cluster.clock.now));
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"mostly idle service", test_short_wait_in_mostly_idle_service},
    {"last arrival", test_short_wait_after_last_arrival},
    {"boot time", test_short_wait_for_worker_with_boot_time},
    {"busy service", test_wait_in_busy_service},
    {"lost poll", test_lost_poll_loses_no_lease},
    {"last answer", test_lease_counts_from_last_answer},
    {"lost poll, many workers", test_lost_poll_of_many_workers_loses_no_lease},
    {"lost poll, slow store",
     test_lost_poll_before_ends_are_durable_loses_no_lease},
    {"unconfirmed start", test_short_wait_for_unconfirmed_start},
    {"unconfirmed start, boot time",
     test_short_wait_for_unconfirmed_start_with_boot_time},
    {"several unconfirmed starts",
     test_short_wait_for_several_unconfirmed_starts},
    {"wall clock ahead", test_busy_service_with_wall_clock_ahead},
    {"inherited run", test_short_wait_for_inherited_run},
};

TEST_MAIN("lease lengths", tests)

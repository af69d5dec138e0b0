/* Bounds on the leases of workers that may start again under their ids: an
 * order that was sent to one incarnation may reach the next, whose clock
 * differs, and grant it the longest lease that workers accept. */
#include "test_main.h"

#include "owner_cluster.h"

enum {
    FIRST_BOOT_MS = 1000,
    NEXT_BOOT_MS = 2000,
    /* The first incarnation's clock is far ahead of the next one's. */
    FIRST_CLOCK_MS = 500000,
    POLL_MS = 500,
    /* Within the longest delay of an order, and after the bound that the next
     * incarnation's first answer sets. */
    LATE_MS = 9000
};

static const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};

/* A worker that answers each poll after POLL_MS. */
struct worker {
    struct cluster cluster;
    struct owner_target *target;
    int64_t boot_ms;
    struct timespec clock_zero;
    struct owner_run *run; /* that it lists, or NULL */
    int64_t until_ms;      /* end of the lease in the last poll */
};

static int64_t
worker_clock_ms(const struct worker *worker)
{
    return cw_time_diff_ms(worker->clock_zero, worker->cluster.clock.now);
}

/* Takes the newest order of a kind that is in flight. */
static struct cw_target_order
take_order(enum cw_order_kind kind)
{
    struct cw_target_order order = {0};

    for (guint i = unanswered->len; i > 0; i--) {
        order = g_array_index(unanswered, struct cw_target_order, i - 1);
        if (order.kind == kind) {
            g_array_remove_index(unanswered, i - 1);
            return order;
        }
    }
    CU_FAIL_FATAL("no such order is in flight");
    return order;
}

/* Lets the owner poll the worker, which answers. */
static void
poll(struct worker *worker)
{
    struct cluster *cluster = &worker->cluster;
    struct cw_target_answer answer = {.status = CW_TARGET_OK};
    struct cw_running running = {.saved = ""};
    struct cw_target_order order;

    for (unsigned i = 0; i < POLL_MS && !worker->target->poll_in_flight; i++) {
        cluster->clock.now = cw_time_add_ms(cluster->clock.now, 1);
        cluster->owner->ownership_confirmed_at = cluster->clock.now;
        (void)owner_poll_tick(cluster->owner, worker->target,
                              cluster->clock.now);
    }
    CU_ASSERT_TRUE_FATAL(worker->target->poll_in_flight);
    order = take_order(CW_ORDER_POLL);
    worker->until_ms = order.lease_until_ms;
    cluster->clock.now = cw_time_add_ms(cluster->clock.now, POLL_MS);
    answer.boot_ms = worker->boot_ms;
    answer.clock_ms = worker_clock_ms(worker);
    if (worker->run != NULL) {
        running.task = owner_task_name(worker->run->task);
        running.run = worker->run->number;
        answer.running = &running;
        answer.running_count = 1;
    }
    g_assert(order.done != NULL);
    order.done(order.context, &answer);
}

static void
worker_begin(struct worker *worker)
{
    memset(worker, 0, sizeof(*worker));
    cluster_begin(&worker->cluster);
    worker->target = owner_target_get(worker->cluster.owner, "w00");
    worker->target->answered = false;
    worker->boot_ms = FIRST_BOOT_MS;
    worker->clock_zero =
        cw_time_add_ms(worker->cluster.clock.now, -FIRST_CLOCK_MS);
    poll(worker);
}

/* Sends the start of a new job to the worker. */
static struct owner_run *
send_start(struct worker *worker)
{
    struct cluster *cluster = &worker->cluster;
    struct owner_job *job = add_job(cluster, 1, &one);
    struct owner_task *task = &step_of(job)->tasks[0];
    struct cw_task_name name = owner_task_name(task);
    struct owner_run *run =
        owner_run_create(cluster->owner, task, worker->target, RUN_READY, 1);

    owner_order_queue(cluster->owner, worker->target, CW_ORDER_START, &name,
                      1);
    owner_orders_send(cluster->owner, worker->target, cluster->clock.now);
    CU_ASSERT_EQUAL_FATAL(run->phase, RUN_STARTING);
    return run;
}

static void
answer_start(enum cw_target_status status, int64_t clock_ms)
{
    struct cw_target_order order = take_order(CW_ORDER_START);
    struct cw_target_answer answer = {.status = status, .clock_ms = clock_ms};

    g_assert(order.done != NULL);
    order.done(order.context, &answer);
}

/* Starts a run that the worker confirms and lists. */
static void
run_on_worker(struct worker *worker)
{
    worker->run = send_start(worker);
    answer_start(CW_TARGET_OK, worker_clock_ms(worker));
    poll(worker);
    poll(worker);
}

static void
start_again(struct worker *worker)
{
    worker->boot_ms = NEXT_BOOT_MS;
    worker->clock_zero = cw_time_add_ms(worker->cluster.clock.now, -1);
    worker->run = NULL;
}

static void
poll_for(struct worker *worker, int64_t ms)
{
    struct timespec begin = worker->cluster.clock.now;

    while (cw_time_diff_ms(begin, worker->cluster.clock.now) < ms) {
        poll(worker);
    }
}

/* Guards against two runs of a task: a start that is sent while polls renew
 * the lease reaches the next incarnation, which then does not answer, and
 * whose lease counts from the arrival. */
static void
test_bound_covers_start_that_does_not_extend_lease(void)
{
    struct worker worker;
    int64_t left_ms;

    worker_begin(&worker);
    run_on_worker(&worker);
    (void)owner_poll_tick(worker.cluster.owner, worker.target,
                          worker.cluster.clock.now);
    worker.cluster.clock.now = cw_time_add_ms(worker.cluster.clock.now, 500);
    (void)owner_poll_tick(worker.cluster.owner, worker.target,
                          worker.cluster.clock.now);
    CU_ASSERT_TRUE(worker.target->poll_in_flight);
    worker.cluster.clock.now = cw_time_add_ms(worker.cluster.clock.now, 1000);
    worker.cluster.owner->ownership_confirmed_at = worker.cluster.clock.now;
    (void)send_start(&worker);
    left_ms =
        cw_time_diff_ms(worker.cluster.clock.now, worker.target->lease_end);
    CU_ASSERT_TRUE(left_ms >=
                   owner_lease_max_duration_ms(worker.cluster.owner));
    cluster_end(&worker.cluster);
}

/* Guards against two runs of a task: a late answer of the former incarnation
 * sets the clock by which the next one is granted leases. */
static void
test_bound_covers_clock_of_former_incarnation(void)
{
    struct worker worker;
    int64_t lease_ms;

    worker_begin(&worker);
    (void)send_start(&worker);
    start_again(&worker);
    poll(&worker);
    CU_ASSERT_EQUAL_FATAL(worker.target->incarnation.boot_ms, NEXT_BOOT_MS);
    answer_start(CW_TARGET_OK, FIRST_CLOCK_MS);
    poll(&worker);
    run_on_worker(&worker);
    poll_for(&worker, LATE_MS);
    CU_ASSERT_PTR_NOT_NULL_FATAL(worker.run->task->run);
    /* The lease that the last poll granted, POLL_MS ago. */
    lease_ms = MIN(worker.until_ms - worker_clock_ms(&worker),
                   worker.cluster.owner->options.lease_ms - POLL_MS);
    CU_ASSERT_TRUE(cw_time_diff_ms(worker.cluster.clock.now,
                                   owner_lease_first_end(worker.target)) >=
                   lease_ms);
    cluster_end(&worker.cluster);
}

/* Guards against two runs of a task: a start without an answer that was sent
 * to the former incarnation reaches the next one seconds later, and extends
 * the lease of all that runs there even if it is refused. */
static void
test_bound_covers_late_start_to_former_incarnation(void)
{
    struct worker worker;
    struct timespec sent;

    worker_begin(&worker);
    sent = worker.cluster.clock.now;
    (void)send_start(&worker);
    answer_start(CW_TARGET_UNKNOWN, 0);
    start_again(&worker);
    poll(&worker);
    CU_ASSERT_EQUAL_FATAL(worker.target->incarnation.boot_ms, NEXT_BOOT_MS);
    run_on_worker(&worker);
    while (cw_time_diff_ms(sent, worker.cluster.clock.now) < LATE_MS) {
        poll(&worker);
    }
    /* The start has arrived just before the last answer. */
    CU_ASSERT_TRUE(cw_time_diff_ms(worker.cluster.clock.now,
                                   owner_lease_first_end(worker.target)) >=
                   worker.cluster.owner->options.lease_ms - POLL_MS);
    cluster_end(&worker.cluster);
}

static const struct test tests[] = {
    {"start that extends no lease",
     test_bound_covers_start_that_does_not_extend_lease},
    {"clock of former incarnation",
     test_bound_covers_clock_of_former_incarnation},
    {"late start to former incarnation",
     test_bound_covers_late_start_to_former_incarnation},
};

TEST_MAIN("lease bounds", tests)

/* Leases that are shorter than the longest that workers accept: the owner's
 * bound has to cover the lease that the worker may have. */
#include "test_main.h"

#include "owner_fixture.h"

#define OTHER_ID "5c0e7a21d94b36f9"

enum {
    IDLE_MS = 60000,
    AFTER_POLL_MS = 20000,
    LATE_MS = 5000,
    DRIFT_PERCENT = 2
};

/* Duration by the VM's clock of the lease that an order grants to a worker
 * with a slow clock, which shows `clock_ms` when the order arrives. */
static int64_t
lease_duration_ms(const struct cw_target_order *order, int64_t clock_ms)
{
    int64_t granted_ms = MIN(order->lease_until_ms - clock_ms, LEASE_MS);

    return granted_ms + granted_ms * DRIFT_PERCENT / 100;
}

/* Sends a start to a worker with a slow clock that was not polled for long;
 * the start arrives `late_ms` late. */
static void
check_start_after_idle(int64_t late_ms)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_run *run;
    struct cw_task_name name;
    int64_t clock_ms = START_MS;
    struct cw_target_answer answer = {.status = CW_TARGET_OK};
    struct cw_target_order poll;

    cluster_begin(&cluster);
    for (guint i = 0; i < RACKS * PER_RACK; i++) {
        char id[16];
        struct owner_target *target;

        g_snprintf(id, sizeof(id), "w%02u", i);
        target = owner_target_get(cluster.owner, id);
        owner_target_set_clock(target, clock_ms, cluster.clock.now);
    }
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, IDLE_MS);
    clock_ms += IDLE_MS * (100 - DRIFT_PERCENT) / 100;
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    job = add_job(&cluster, 1, &one);
    pass(&cluster, 10);
    run = step_of(job)->tasks[0].run;
    CU_ASSERT_PTR_NOT_NULL_FATAL(run);
    run->phase = RUN_READY;
    name = owner_task_name(run->task);
    owner_order_queue(cluster.owner, run->target, CW_ORDER_START, &name,
                      run->number);
    owner_orders_send(cluster.owner, run->target, cluster.clock.now);
    CU_ASSERT_EQUAL(run->phase, RUN_READY);
    (void)owner_poll_tick(cluster.owner, run->target, cluster.clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_POLL);
    poll = last_order;
    g_array_set_size(unanswered, unanswered->len - 1);
    answer.clock_ms = clock_ms;
    poll.done(poll.context, &answer);
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, AFTER_POLL_MS);
    clock_ms += AFTER_POLL_MS * (100 - DRIFT_PERCENT) / 100;
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    owner_orders_send(cluster.owner, run->target, cluster.clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_START);
    clock_ms += late_ms * (100 - DRIFT_PERCENT) / 100;
    CU_ASSERT_TRUE(late_ms + lease_duration_ms(&last_order, clock_ms) <=
                   cw_time_diff_ms(cluster.clock.now, run->target->lease_end));
    cluster_end(&cluster);
}

/* Guards against two runs of a task: a worker with a slow clock that was not
 * polled for long gets a longer lease than the owner assumes. */
static void
test_bound_covers_slow_clock_after_idle_time(void)
{
    check_start_after_idle(0);
}

/* Does the same for a start that arrives seconds late: the platform's limit on
 * a lease then counts from the arrival. */
static void
test_bound_covers_late_start_on_slow_clock(void)
{
    check_start_after_idle(LATE_MS);
}

/* A worker that answers orders; its clock runs like the VM's. */
struct worker {
    int64_t lease_until_ms; /* latest end of a lease that an order granted */
    bool runs;              /* reports all tasks as running, else as ended */
    bool idle;              /* reports nothing */
    bool started;           /* a start has arrived */
};

static void
answer_as(struct fixture *fixture, struct worker *worker)
{
    struct cw_running running[TASKS] = {0};
    struct cw_ended ended[TASKS] = {0};
    struct cw_target_answer answer = {.status = CW_TARGET_OK, .boot_ms = 1};

    for (unsigned i = 0; i < TASKS; i++) {
        running[i].task.job = ID;
        running[i].task.index = i;
        running[i].run = RUN;
        running[i].saved = "";
        ended[i].number = i + 1;
        ended[i].task = running[i].task;
        ended[i].run = RUN;
        ended[i].how = CW_END_KIND_DONE;
        ended[i].saved = "";
    }
    answer.clock_ms = cw_time_diff_ms(cw_time_from_ms(0), fixture->clock.now);
    answer.running = running;
    answer.running_count = worker->runs ? TASKS : 0;
    answer.ended = ended;
    answer.ended_count = worker->runs || worker->idle ? 0 : TASKS;
    while (!worker->started && unanswered != NULL && unanswered->len > 0) {
        struct cw_target_order order =
            g_array_index(unanswered, struct cw_target_order, 0);

        if (order.kind == CW_ORDER_START) {
            worker->started = true;
            return;
        }
        worker->lease_until_ms =
            MAX(worker->lease_until_ms, order.lease_until_ms);
        g_array_remove_index(unanswered, 0);
        order.done(order.context, &answer);
    }
}

static void
run_worker(struct fixture *fixture, struct worker *worker, unsigned ms)
{
    for (unsigned passed = 0; passed < ms && !worker->started;
         passed += STEP_MS) {
        run(fixture, STEP_MS);
        answer_as(fixture, worker);
    }
}

/* Guards against two runs of a task: a poll of an earlier owner has granted
 * the worker a lease of 6 s, and the next owner counts only the 4 s that its
 * start grants. */
static void
test_bound_covers_lease_of_earlier_owner(void)
{
    const struct work_spec_options options = {.id = OTHER_ID,
                                              .tasks = 1,
                                              .accelerators = 1,
                                              .max_attempts = 2,
                                              .stretch_milli = 2000};
    struct fixture fixture;
    struct worker worker = {.runs = true};
    GByteArray *bytes = work_spec_encode(&options);
    int64_t bound_ms;

    fixture_begin(&fixture);
    put_spec(&fixture);
    put_state(&fixture, CW_STATE_TOPIC, CW_WORK_RUNNING);
    take_over(&fixture);
    make_worker_reachable(&fixture);
    run_worker(&fixture, &worker, 1000);
    worker.runs = false; /* all tasks have ended */
    run_worker(&fixture, &worker, 300);
    replace_owner(&fixture, "other");
    CU_ASSERT_PTR_NULL(the_worker(&fixture)); /* none of its runs are known */
    worker.idle = true;
    put(&fixture, CW_JOBS_TOPIC, "s" OTHER_ID, bytes);
    (void)owner_target_get(fixture.owner, "w");
    make_worker_reachable(&fixture);
    run_worker(&fixture, &worker, 3000);
    CU_ASSERT_TRUE_FATAL(worker.started);
    bound_ms =
        cw_time_diff_ms(cw_time_from_ms(0), the_worker(&fixture)->lease_end);
    CU_ASSERT_TRUE(bound_ms >= worker.lease_until_ms);
    g_byte_array_unref(bytes);
    fixture_end(&fixture);
}

static const struct test tests[] = {
    {"slow clock", test_bound_covers_slow_clock_after_idle_time},
    {"slow clock, late", test_bound_covers_late_start_on_slow_clock},
    {"earlier owner", test_bound_covers_lease_of_earlier_owner},
};

TEST_MAIN("short leases", tests)

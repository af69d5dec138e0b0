/* Boot times in the reports of workers that restart under their ids.
 *
 * A report may be stored seconds after it was sent, and the wall clock of a
 * worker may be set back between two of its incarnations.  So neither the
 * order of reports nor the size of the boot times in them tells which
 * incarnation is the later one.  Only answers to polls do. */
#include "test_main.h"

#include "owner/internal/owner_crashes.h"
#include "owner_cluster.h"
#include "platform/platform.h"

#define WORKER "w00"
#define ADDRESS "10.0.0.9:80"
#define OTHER_ADDRESS "10.0.0.8:80"

enum {
    /* The clock was set back between the two. */
    FORMER_BOOT_MS = 2000,
    PRESENT_BOOT_MS = 1000,
    LATER_BOOT_MS = 3000,
    TICK_MS = 10,
    /* The platform tolerates 7 s without a run of a job while faults occur. */
    IDLE_WITH_FAULTS_MS = 7000,
    /* The platform carries an order out at most this long after it was sent.
     */
    ORDER_LATE_MAX_MS = 12000,
    LEASE_MS = 6000,
    /* Suspicion at which the next crash ends a job. */
    SUSPICION_BELOW_LIMIT = 11
};

static const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};

/* A worker with two incarnations that have answered. */
struct worker {
    struct cluster cluster;
    struct owner_target *target;
};

/* Applies a report with this address, state and number of accelerators. */
static void
report_state(struct worker *worker, int64_t boot_ms, const char *address,
             const char *state, unsigned accelerators)
{
    char *text = g_strdup_printf(
        "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\","
        "\"state\":\"%s\",\"born\":%" PRId64 ","
        "\"capacity\":{\"gpus\":%u,\"cpu\":32000,\"mem_mb\":65536}}",
        address, state, boot_ms, accelerators);
    struct cw_store_record record = {
        .key = WORKER, .value = text, .length = strlen(text), .offset = 1};

    owner_target_apply_record(worker->cluster.owner, &record);
    g_free(text);
}

static void
report(struct worker *worker, int64_t boot_ms)
{
    report_state(worker, boot_ms, ADDRESS, "ready", ACCELERATORS);
    CU_ASSERT_TRUE(worker->target->listed);
}

static void
remove_report(struct worker *worker)
{
    struct cw_store_record record = {.key = WORKER, .offset = 1};

    owner_target_apply_record(worker->cluster.owner, &record);
    CU_ASSERT_FALSE(worker->target->listed);
}

/* Lets time pass and the owner process the worker. */
static void
tick(struct worker *worker, unsigned ms)
{
    struct cluster *cluster = &worker->cluster;

    cluster->clock.now = cw_time_add_ms(cluster->clock.now, ms);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    owner_orders_send(cluster->owner, worker->target, cluster->clock.now);
    owner_poll_tick(cluster->owner, worker->target, cluster->clock.now);
}

/* Answers the order of this kind that is in flight. */
static void
answer_order(enum cw_order_kind kind, const struct cw_target_answer *answer)
{
    for (guint i = 0; unanswered != NULL && i < unanswered->len; i++) {
        struct cw_target_order order =
            g_array_index(unanswered, struct cw_target_order, i);

        if (order.kind == kind) {
            g_array_remove_index(unanswered, i);
            order.done(order.context, answer);
            return;
        }
    }
    CU_FAIL("no such order is in flight");
}

static void
await_poll(struct worker *worker)
{
    for (unsigned i = 0; i < 500 && !worker->target->poll_in_flight; i++) {
        tick(worker, TICK_MS);
    }
    CU_ASSERT_TRUE_FATAL(worker->target->poll_in_flight);
}

/* Answers the poll in flight with the run, if any, as the only running one. */
static void
answer_poll(struct worker *worker, int64_t boot_ms,
            const struct owner_run *run)
{
    struct cw_running listed = {.saved = ""};
    struct cw_target_answer answer = {
        .status = CW_TARGET_OK,
        .clock_ms = cw_time_diff_ms(cw_time_from_ms(START_MS),
                                    worker->cluster.clock.now) +
                    1,
        .boot_ms = boot_ms,
    };

    if (run != NULL) {
        listed.task = owner_task_name(run->task);
        listed.run = run->number;
        answer.running = &listed;
        answer.running_count = 1;
    }
    answer_order(CW_ORDER_POLL, &answer);
}

static void
poll_as(struct worker *worker, int64_t boot_ms, const struct owner_run *run)
{
    await_poll(worker);
    answer_poll(worker, boot_ms, run);
}

static void
fail_poll(struct worker *worker)
{
    const struct cw_target_answer none = {.status = CW_TARGET_UNKNOWN};

    await_poll(worker);
    answer_order(CW_ORDER_POLL, &none);
}

/* Begins with a worker of which these incarnations have answered, in this
 * order; 0: none. */
static void
begin(struct worker *worker, int64_t first_boot_ms, int64_t second_boot_ms)
{
    cluster_begin(&worker->cluster);
    worker->cluster.owner->options.codec = platform_codec();
    worker->target = owner_target_get(worker->cluster.owner, WORKER);
    g_free(worker->target->address);
    worker->target->address = g_strdup(ADDRESS);
    if (first_boot_ms > 0) {
        worker->target->answered = false;
        poll_as(worker, first_boot_ms, NULL);
    }
    if (second_boot_ms > 0) {
        worker->target->answered = false;
        poll_as(worker, second_boot_ms, NULL);
    }
}

/* Queues the start of a new job on the worker. */
static struct owner_run *
queue_start(struct worker *worker)
{
    struct owner_job *job = add_job(&worker->cluster, 0, &one);
    struct owner_task *task = &step_of(job)->tasks[0];
    struct cw_task_name name = owner_task_name(task);
    struct owner_run *run = owner_run_create(worker->cluster.owner, task,
                                             worker->target, RUN_READY, 1);

    owner_order_queue(worker->cluster.owner, worker->target, CW_ORDER_START,
                      &name, 1);
    tick(worker, 1);
    return run;
}

/* Gives the worker a run that two answers to polls have listed. */
static struct owner_task *
run_on_present(struct worker *worker)
{
    const struct cw_target_answer ok = {.status = CW_TARGET_OK};
    struct owner_run *run = queue_start(worker);

    answer_order(CW_ORDER_START, &ok);
    poll_as(worker, PRESENT_BOOT_MS, run);
    poll_as(worker, PRESENT_BOOT_MS, run);
    CU_ASSERT_EQUAL(run->phase, RUN_RUNNING);
    return run->task;
}

/* Lets time pass in which the worker answers nothing. */
static void
pass_silently(struct worker *worker, unsigned ms)
{
    for (unsigned passed = 0; passed < ms; passed += TICK_MS) {
        tick(worker, TICK_MS);
        answer_remaining();
    }
}

/* ---- ends of runs ---- */

/* Reports the boot time while a run is executed, before the first poll without
 * an answer or after it, and checks that the run is kept until the lease is
 * over. */
static void
check_report_ends_no_run(int64_t boot_ms, bool before_silence)
{
    struct worker worker;
    struct owner_task *task;

    begin(&worker, FORMER_BOOT_MS, PRESENT_BOOT_MS);
    task = run_on_present(&worker);
    if (before_silence) {
        report(&worker, boot_ms);
    }
    fail_poll(&worker);
    if (!before_silence) {
        report(&worker, boot_ms);
    }
    CU_ASSERT_PTR_NOT_NULL(task->run);
    fail_poll(&worker);
    CU_ASSERT_PTR_NOT_NULL(task->run);
    CU_ASSERT_EQUAL(task->suspicion, 0);
    pass_silently(&worker, IDLE_WITH_FAULTS_MS);
    CU_ASSERT_PTR_NULL(task->run);
    cluster_end(&worker.cluster);
}

/* Guards against a task that runs twice: a report of an incarnation that is
 * over is stored late, and polls of the present one, which executes the task,
 * have no answer. */
static void
test_late_report_of_former_incarnation_ends_no_run(void)
{
    check_report_ends_no_run(FORMER_BOOT_MS, true);
    check_report_ends_no_run(FORMER_BOOT_MS, false);
}

/* Guards against the same if the incarnation in the report has never answered
 * a poll: it may have been over before the present one began. */
static void
test_report_of_unknown_incarnation_ends_no_run(void)
{
    check_report_ends_no_run(LATER_BOOT_MS, true);
    check_report_ends_no_run(LATER_BOOT_MS, false);
}

/* Guards against the same without a late report: the incarnation that is at
 * work has not reported yet. */
static void
test_report_before_present_incarnation_ends_no_run(void)
{
    struct worker worker;
    struct owner_task *task;

    begin(&worker, 0, 0);
    report(&worker, FORMER_BOOT_MS);
    worker.target->answered = false;
    poll_as(&worker, FORMER_BOOT_MS, NULL);
    worker.target->answered = false;
    poll_as(&worker, PRESENT_BOOT_MS, NULL);
    task = run_on_present(&worker);
    fail_poll(&worker);
    CU_ASSERT_PTR_NOT_NULL(task->run);
    cluster_end(&worker.cluster);
}

/* Guards against a job that fails although it crashed no worker: its worker
 * was unresponsive until the lease was over, and a report is stored late. */
static void
test_report_confirms_no_crash(void)
{
    struct worker worker;
    struct owner_task *task;

    begin(&worker, FORMER_BOOT_MS, PRESENT_BOOT_MS);
    task = run_on_present(&worker);
    owner_task_set_suspicion(task, SUSPICION_BELOW_LIMIT);
    pass_silently(&worker, IDLE_WITH_FAULTS_MS);
    CU_ASSERT_PTR_NULL(task->run);
    report(&worker, FORMER_BOOT_MS);
    report(&worker, LATER_BOOT_MS);
    pass_silently(&worker, IDLE_WITH_FAULTS_MS);
    CU_ASSERT_NOT_EQUAL(owner_task_job(task)->phase, CW_WORK_FAILED);
    poll_as(&worker, PRESENT_BOOT_MS, NULL);
    CU_ASSERT_EQUAL(task->suspicion, SUSPICION_BELOW_LIMIT);
    cluster_end(&worker.cluster);
}

/* ---- starts ---- */

/* Guards against a task that runs twice: a start is sent to an incarnation
 * that has not answered, with a lease by the former one's clock, as a late
 * report follows that incarnation's report. */
static void
test_late_report_releases_no_start(void)
{
    static const int64_t late[] = {PRESENT_BOOT_MS, FORMER_BOOT_MS};

    for (size_t i = 0; i < G_N_ELEMENTS(late); i++) {
        struct worker worker;
        struct owner_run *run;

        begin(&worker, FORMER_BOOT_MS, PRESENT_BOOT_MS);
        report(&worker, LATER_BOOT_MS);
        report(&worker, late[i]);
        run = queue_start(&worker);
        CU_ASSERT_EQUAL(run->phase, RUN_READY);
        poll_as(&worker, LATER_BOOT_MS, NULL);
        tick(&worker, 1);
        CU_ASSERT_EQUAL(run->phase, RUN_STARTING);
        cluster_end(&worker.cluster);
    }
}

/* Guards against the same if the clock was set back before the incarnation
 * began that the worker has reported. */
static void
test_start_waits_for_incarnation_with_earlier_boot_time(void)
{
    struct worker worker;
    struct owner_run *run;

    begin(&worker, 0, FORMER_BOOT_MS);
    report(&worker, PRESENT_BOOT_MS);
    run = queue_start(&worker);
    CU_ASSERT_EQUAL(run->phase, RUN_READY);
    poll_as(&worker, PRESENT_BOOT_MS, NULL);
    tick(&worker, 1);
    CU_ASSERT_EQUAL(run->phase, RUN_STARTING);
    cluster_end(&worker.cluster);
}

/* Guards against a task that runs twice: a start without an answer is held up
 * on its way to an incarnation with an earlier boot time, and the task is
 * started elsewhere before it arrives. */
static void
test_start_held_up_to_earlier_boot_time_is_awaited(void)
{
    struct worker worker;
    struct owner_run *run;
    struct owner_task *task;

    begin(&worker, 0, FORMER_BOOT_MS);
    run = queue_start(&worker);
    CU_ASSERT_EQUAL(run->phase, RUN_STARTING);
    task = run->task;
    pass_silently(&worker, 3000);
    report(&worker, PRESENT_BOOT_MS);
    report(&worker, FORMER_BOOT_MS);
    pass_silently(&worker, ORDER_LATE_MAX_MS + LEASE_MS - 3000);
    CU_ASSERT_PTR_NOT_NULL(task->run);
    pass_silently(&worker, 3000);
    CU_ASSERT_PTR_NULL(task->run);
    cluster_end(&worker.cluster);
}

/* Guards against a job that waits for longer than a lease: a start without an
 * answer cannot reach an incarnation that is known to be over, however large
 * its boot time is. */
static void
check_start_is_not_awaited(int64_t boot_ms)
{
    struct worker worker;
    struct owner_task *task;

    begin(&worker, FORMER_BOOT_MS, PRESENT_BOOT_MS);
    report(&worker, LATER_BOOT_MS);
    worker.target->answered = false;
    tick(&worker, TICK_MS);
    poll_as(&worker, PRESENT_BOOT_MS, NULL);
    task = queue_start(&worker)->task;
    fail_poll(&worker);
    report(&worker, boot_ms);
    pass_silently(&worker, IDLE_WITH_FAULTS_MS);
    CU_ASSERT_PTR_NULL(task->run);
    cluster_end(&worker.cluster);
}

static void
test_start_to_incarnation_that_is_over_is_not_awaited(void)
{
    check_start_is_not_awaited(FORMER_BOOT_MS);
    check_start_is_not_awaited(LATER_BOOT_MS);
}

/* Guards against a job that waits for its restarted worker: an incarnation
 * with an earlier boot time is reported while polls have no answer. */
static void
test_incarnation_with_earlier_boot_time_is_polled_at_once(void)
{
    struct worker worker;

    begin(&worker, 0, FORMER_BOOT_MS);
    (void)queue_start(&worker);
    fail_poll(&worker);
    tick(&worker, 0);
    CU_ASSERT_FALSE(worker.target->poll_in_flight);
    report(&worker, PRESENT_BOOT_MS);
    tick(&worker, 0);
    CU_ASSERT_TRUE(worker.target->poll_in_flight);
    cluster_end(&worker.cluster);
}

/* Guards against capacity that is lost: a worker for which another one has
 * refused an order restarts with an earlier boot time.  A late report of an
 * incarnation that is over is no reason to poll it again. */
static void
test_only_unknown_incarnation_is_polled_after_refusal(void)
{
    struct worker worker;

    begin(&worker, FORMER_BOOT_MS, PRESENT_BOOT_MS);
    worker.target->superseded = true;
    report(&worker, FORMER_BOOT_MS);
    report(&worker, PRESENT_BOOT_MS);
    CU_ASSERT_TRUE(worker.target->superseded);
    report(&worker, PRESENT_BOOT_MS - 1);
    CU_ASSERT_FALSE(worker.target->superseded);
    cluster_end(&worker.cluster);
}

/* ---- state in reports ---- */

static void
check_state_is_kept(const struct owner_target *target)
{
    CU_ASSERT_STRING_EQUAL(target->address, ADDRESS);
    CU_ASSERT_EQUAL(target->capacity.accelerators, ACCELERATORS);
    CU_ASSERT_FALSE(target->draining);
}

/* Guards against a task that runs twice: after a late report the present
 * incarnation is polled at an address that it has left, where another worker
 * refuses the poll.  Guards as well against work that is moved, and starts
 * beyond the capacity, by the state of an incarnation that is over. */
static void
test_state_of_former_incarnation_is_ignored(void)
{
    struct worker worker;

    begin(&worker, FORMER_BOOT_MS, PRESENT_BOOT_MS);
    report(&worker, PRESENT_BOOT_MS);
    report_state(&worker, FORMER_BOOT_MS, OTHER_ADDRESS, "draining", 4);
    check_state_is_kept(worker.target);
    CU_ASSERT_TRUE(worker.target->listed);
    cluster_end(&worker.cluster);
}

/* Guards against the same if the incarnation that is over never answered a
 * poll: its report was read before the present one answered. */
static void
test_state_of_reported_incarnation_that_is_over_is_ignored(void)
{
    struct worker worker;

    begin(&worker, 0, PRESENT_BOOT_MS);
    report(&worker, LATER_BOOT_MS);
    tick(&worker, TICK_MS);
    worker.target->answered = false;
    poll_as(&worker, PRESENT_BOOT_MS, NULL);
    report(&worker, PRESENT_BOOT_MS);
    report_state(&worker, LATER_BOOT_MS, OTHER_ADDRESS, "draining", 4);
    check_state_is_kept(worker.target);
    cluster_end(&worker.cluster);
}

/* Guards against starts on a worker that drains: a late report of the former
 * incarnation says that it does not. */
static void
test_late_report_ends_no_drain(void)
{
    struct worker worker;

    begin(&worker, FORMER_BOOT_MS, PRESENT_BOOT_MS);
    report_state(&worker, PRESENT_BOOT_MS, ADDRESS, "draining", ACCELERATORS);
    report(&worker, FORMER_BOOT_MS);
    CU_ASSERT_TRUE(worker.target->draining);
    cluster_end(&worker.cluster);
}

/* Guards against work for a worker that is not there: only the report of an
 * incarnation that is over is listed.  If the list is loaded again with that
 * report, the present one stays as it is: its own may have been replaced. */
static void
test_late_report_lists_no_worker(void)
{
    struct worker worker;

    begin(&worker, FORMER_BOOT_MS, PRESENT_BOOT_MS);
    report(&worker, PRESENT_BOOT_MS);
    owner_targets_reset(worker.cluster.owner);
    report(&worker, FORMER_BOOT_MS);
    owner_targets_loaded(worker.cluster.owner);
    CU_ASSERT_TRUE(worker.target->listed);
    remove_report(&worker);
    report_state(&worker, FORMER_BOOT_MS, ADDRESS, "ready", ACCELERATORS);
    CU_ASSERT_FALSE(worker.target->listed);
    report(&worker, PRESENT_BOOT_MS);
    cluster_end(&worker.cluster);
}

/* Configures the workers' service: it does not enforce their capacity. */
static void
configure_unguarded(struct worker *worker)
{
    struct cw_routing *routing = cw_routing_new();
    struct cw_service *service = cw_routing_add_service(routing);

    service->name = g_strdup("s");
    service->enforces_capacity = false;
    cw_routing_finish(routing);
    cw_owner_configure(worker->cluster.owner, routing);
    cw_routing_unref(routing);
}

/* Guards against a worker that is overloaded, as it does not enforce its
 * capacity: the capacity that was reported last is another incarnation's. */
static void
test_capacity_of_other_incarnation_is_not_relied_on(void)
{
    struct worker worker;
    struct timespec now;

    begin(&worker, 0, PRESENT_BOOT_MS);
    configure_unguarded(&worker);
    report(&worker, LATER_BOOT_MS);
    tick(&worker, TICK_MS);
    worker.target->answered = false;
    poll_as(&worker, PRESENT_BOOT_MS, NULL);
    now = worker.cluster.clock.now;
    worker.target->reported_at = now;
    CU_ASSERT_FALSE(owner_target_capacity_known(worker.target, now));
    report(&worker, PRESENT_BOOT_MS);
    worker.target->reported_at = now;
    CU_ASSERT_TRUE(owner_target_capacity_known(worker.target, now));
    report(&worker, LATER_BOOT_MS); /* is over, and changes nothing */
    CU_ASSERT_TRUE(owner_target_capacity_known(worker.target, now));
    cluster_end(&worker.cluster);
}

/* Guards against starts that wait for 2 s and longer after each late report:
 * the poll that decides about the reported incarnation waits at a worker that
 * has runs. */
static void
test_poll_that_decides_about_report_is_answered_at_once(void)
{
    struct worker worker;

    begin(&worker, FORMER_BOOT_MS, PRESENT_BOOT_MS);
    (void)run_on_present(&worker);
    report(&worker, LATER_BOOT_MS);
    await_poll(&worker);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_POLL);
    CU_ASSERT_EQUAL(last_order.wait_ms, 0);
    cluster_end(&worker.cluster);
}

static const struct test tests[] = {
    {"late report of a former incarnation ends no run",
     test_late_report_of_former_incarnation_ends_no_run},
    {"report of an unknown incarnation ends no run",
     test_report_of_unknown_incarnation_ends_no_run},
    {"report before the present incarnation ends no run",
     test_report_before_present_incarnation_ends_no_run},
    {"report confirms no crash", test_report_confirms_no_crash},
    {"late report releases no start", test_late_report_releases_no_start},
    {"start waits for an incarnation with an earlier boot time",
     test_start_waits_for_incarnation_with_earlier_boot_time},
    {"start held up to an earlier boot time is awaited",
     test_start_held_up_to_earlier_boot_time_is_awaited},
    {"start to an incarnation that is over is not awaited",
     test_start_to_incarnation_that_is_over_is_not_awaited},
    {"incarnation with an earlier boot time is polled at once",
     test_incarnation_with_earlier_boot_time_is_polled_at_once},
    {"only an unknown incarnation is polled after a refusal",
     test_only_unknown_incarnation_is_polled_after_refusal},
    {"state of a former incarnation is ignored",
     test_state_of_former_incarnation_is_ignored},
    {"state of a reported incarnation that is over is ignored",
     test_state_of_reported_incarnation_that_is_over_is_ignored},
    {"late report ends no drain", test_late_report_ends_no_drain},
    {"late report lists no worker", test_late_report_lists_no_worker},
    {"capacity of another incarnation is not relied on",
     test_capacity_of_other_incarnation_is_not_relied_on},
    {"poll that decides about a report is answered at once",
     test_poll_that_decides_about_report_is_answered_at_once},
};

TEST_MAIN("boot_reports", tests)

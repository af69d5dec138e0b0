/* Workers that crash and start again under the same id.
 *
 * Guards against state of a former incarnation that is applied to the next
 * one: the numbers of its ends, the crashes behind its missing answers, and
 * the stops and leases that it had confirmed.  A worker that starts again
 * numbers its ends from 1.  If each poll confirms all ends up to the number
 * that the former incarnation had reached, the worker discards new ends before
 * the owner has received them.  A run in neither list counts as lost, so tasks
 * are started again although they are done, and later steps have to wait for
 * them.  The tests fail with that fault; the first reproduces its sequence of
 * events. */
#include "test_main.h"

#include "owner/internal/owner_crashes.h"
#include "owner_cluster.h"

enum {
    FIRST_BOOT_MS = 1000,
    STARTS_TRIED = 12,
    /* For a task that crashes workers: three crash, and the task may be
     * started twice more. */
    STARTS_MAX = 5,
    /* The platform carries an order out at most this long after it was sent.
     */
    ORDER_LATE_MAX_MS = 12000,
    LEASE_MS = 6000,
    HELD_UP_MS = 700
};

static const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};

/* Lets the owner process the worker; its orders wait for their answers. */
static void
tick(struct cluster *cluster, struct owner_target *target, unsigned ms)
{
    cluster->clock.now = cw_time_add_ms(cluster->clock.now, ms);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    owner_orders_send(cluster->owner, target, cluster->clock.now);
    owner_poll_tick(cluster->owner, target, cluster->clock.now);
}

/* Waits until the owner polls the worker. */
static void
await_poll(struct cluster *cluster, struct owner_target *target)
{
    for (unsigned i = 0; i < 500 && !target->poll_in_flight; i++) {
        tick(cluster, target, 10);
    }
    CU_ASSERT_TRUE_FATAL(target->poll_in_flight);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_POLL);
}

/* Reading of the worker's clock, which runs as fast as this VM's. */
static int64_t
worker_clock_ms(struct timespec now)
{
    return cw_time_diff_ms(cw_time_from_ms(START_MS), now) + 1;
}

/* Answers the last order, a poll, with a reading of the worker's clock; NULL
 * is an empty list. */
static void
answer_poll_at(int64_t clock_ms, int64_t boot_ms,
               const struct cw_running *running, const struct cw_ended *ended)
{
    const struct cw_target_answer answer = {
        .status = CW_TARGET_OK,
        .clock_ms = clock_ms,
        .boot_ms = boot_ms,
        .running = running,
        .running_count = running != NULL,
        .ended = ended,
        .ended_count = ended != NULL,
    };

    answer_last_with(&answer);
}

static void
answer_poll(const struct cluster *cluster, int64_t boot_ms,
            const struct cw_running *running, const struct cw_ended *ended)
{
    answer_poll_at(worker_clock_ms(cluster->clock.now), boot_ms, running,
                   ended);
}

/* Lets time pass until the answer to the last order, a poll, arrives that the
 * first incarnation has given before. */
static void
answer_poll_late(struct cluster *cluster, unsigned ms,
                 const struct cw_ended *ended)
{
    int64_t clock_ms = worker_clock_ms(cluster->clock.now);

    cluster->clock.now = cw_time_add_ms(cluster->clock.now, ms);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    answer_poll_at(clock_ms, FIRST_BOOT_MS, NULL, ended);
}

/* Marks the applied ends as stored. */
static void
store_ends(struct owner_target *target)
{
    target->incarnation.ends_in_batch = target->incarnation.ends_applied;
    target->incarnation.ends_durable = target->incarnation.ends_applied;
    target->poll_due = cw_time_from_ms(0);
}

/* Places a job and starts it.  Returns its worker. */
static struct owner_target *
start_job(struct cluster *cluster, struct owner_job *job)
{
    for (unsigned i = 0; i < 500 && placed(job) == 0; i++) {
        pass(cluster, 10);
    }
    confirm_starts(cluster, job);
    return (struct owner_target *)worker_of(job, 0);
}

static struct cw_ended
end_of(const struct owner_job *job, uint64_t number)
{
    struct cw_ended ended = {.number = number,
                             .task = owner_task_name(&step_of(job)->tasks[0]),
                             .run = step_of(job)->tasks[0].last_run,
                             .how = CW_END_KIND_DONE,
                             .saved = ""};

    return ended;
}

/* Completes a job on the worker, which numbers its end with `number`; a poll
 * then confirms to the worker that the end is stored. */
static void
complete_and_confirm(struct cluster *cluster, struct owner_target *target,
                     struct owner_job *job, int64_t boot_ms, uint64_t number)
{
    struct cw_ended ended = end_of(job, number);

    await_poll(cluster, target);
    answer_poll(cluster, boot_ms, NULL, &ended);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_COMPLETED);
    store_ends(target);
    await_poll(cluster, target);
    CU_ASSERT_EQUAL(last_order.acked, number);
    answer_poll(cluster, boot_ms, NULL, NULL);
}

/* Polls are not answered for a while before the next incarnation answers. */
static void
test_ends_of_next_incarnation_are_received(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;
    struct cw_ended ended;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    target = start_job(&cluster, job);
    complete_and_confirm(&cluster, target, job, FIRST_BOOT_MS, 1);
    await_poll(&cluster, target);
    answer_last(CW_TARGET_UNKNOWN);
    await_poll(&cluster, target);
    CU_ASSERT_EQUAL(last_order.acked, 0);
    answer_poll(&cluster, FIRST_BOOT_MS + 1, NULL, NULL);
    job = add_job(&cluster, 0, &one);
    owner_run_create(cluster.owner, &step_of(job)->tasks[0], target, RUN_NEW,
                     1);
    confirm_starts(&cluster, job);
    await_poll(&cluster, target);
    CU_ASSERT_EQUAL(last_order.acked, 0);
    ended = end_of(job, 1);
    answer_poll(&cluster, FIRST_BOOT_MS + 1, NULL, &ended);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_COMPLETED);
    cluster_end(&cluster);
}

/* The worker is unavailable for less than the interval between two polls, and
 * starts a run before the next poll. */
static void
test_end_is_not_confirmed_to_unknown_incarnation(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    target = start_job(&cluster, job);
    complete_and_confirm(&cluster, target, job, FIRST_BOOT_MS, 1);
    job = add_job(&cluster, 0, &one);
    owner_run_create(cluster.owner, &step_of(job)->tasks[0], target, RUN_NEW,
                     1);
    confirm_starts(&cluster, job);
    await_poll(&cluster, target);
    CU_ASSERT_EQUAL(last_order.acked, 0);
    answer_last(CW_TARGET_UNKNOWN);
    cluster_end(&cluster);
}

/* Guards against a task that runs twice: an answer of the former incarnation
 * is held up while the worker restarts.  If the next poll confirmed the end in
 * it, the next incarnation would discard ends of its own, and their tasks
 * would be started again. */
static void
test_end_in_answer_that_was_held_up_is_not_confirmed(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;
    struct cw_ended ended;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    target = start_job(&cluster, job);
    await_poll(&cluster, target);
    answer_poll(&cluster, FIRST_BOOT_MS, NULL, NULL);
    job = add_job(&cluster, 0, &one);
    owner_run_create(cluster.owner, &step_of(job)->tasks[0], target, RUN_NEW,
                     1);
    confirm_starts(&cluster, job);
    await_poll(&cluster, target);
    ended = end_of(job, 1);
    answer_poll_late(&cluster, HELD_UP_MS, &ended);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_COMPLETED);
    store_ends(target);
    await_poll(&cluster, target);
    CU_ASSERT_EQUAL(last_order.acked, 0);
    CU_ASSERT_EQUAL(last_order.wait_ms, 0);
    answer_poll(&cluster, FIRST_BOOT_MS, NULL, &ended);
    await_poll(&cluster, target);
    CU_ASSERT_EQUAL(last_order.acked, 1);
    cluster_end(&cluster);
}

/* Polls the worker until it answers as a new incarnation without runs. */
static void
crash_and_answer(struct cluster *cluster, struct owner_target *target,
                 int64_t boot_ms)
{
    await_poll(cluster, target);
    answer_last(CW_TARGET_UNKNOWN);
    await_poll(cluster, target);
    answer_poll(cluster, boot_ms, NULL, NULL);
}

/* Polls each worker once, so that its first incarnation is known. */
static void
poll_all(struct cluster *cluster)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, cluster->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        target->answered = false;
        await_poll(cluster, target);
        answer_poll(cluster, FIRST_BOOT_MS, NULL, NULL);
    }
}

/* The limit for a task that crashes its workers holds whatever id the next
 * incarnation has. */
static void
test_crash_under_same_id_counts(void)
{
    struct cluster cluster;
    struct owner_job *job;
    unsigned starts = 0;

    cluster_begin(&cluster);
    poll_all(&cluster);
    job = add_job(&cluster, 0, &one);
    for (; starts < STARTS_TRIED && !cw_work_is_over(job->phase); starts++) {
        struct owner_target *target = start_job(&cluster, job);

        if (target == NULL) {
            break;
        }
        crash_and_answer(&cluster, target, FIRST_BOOT_MS + 1 + starts);
    }
    CU_ASSERT_TRUE(starts <= STARTS_MAX);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    cluster_end(&cluster);
}

/* ---- orders in flight during a restart ---- */

/* Sends a start of the job to the worker, whose first incarnation is known. */
static struct owner_run *
send_start(struct cluster *cluster, struct owner_target *target,
           struct owner_job *job)
{
    struct owner_task *task = &step_of(job)->tasks[0];
    struct cw_task_name name = owner_task_name(task);
    struct owner_run *run =
        owner_run_create(cluster->owner, task, target, RUN_READY, 1);

    owner_order_queue(cluster->owner, target, CW_ORDER_START, &name, 1);
    tick(cluster, target, 1);
    CU_ASSERT_EQUAL(run->phase, RUN_STARTING);
    return run;
}

/* Answers the start in flight: the worker has carried it out. */
static void
answer_start(void)
{
    const struct cw_target_answer answer = {.status = CW_TARGET_OK};

    for (guint i = 0; i < unanswered->len; i++) {
        struct cw_target_order order =
            g_array_index(unanswered, struct cw_target_order, i);

        if (order.kind == CW_ORDER_START) {
            g_array_remove_index(unanswered, i);
            order.done(order.context, &answer);
            return;
        }
    }
    CU_FAIL("no start is in flight");
}

/* The worker's report of the run as running. */
static struct cw_running
running_report(const struct owner_run *run)
{
    struct cw_running listed = {
        .task = owner_task_name(run->task), .run = run->number, .saved = ""};

    return listed;
}

/* Begins a cluster with one worker whose first incarnation is known. */
static struct owner_target *
first_worker(struct cluster *cluster)
{
    struct owner_target *target;

    cluster_begin(cluster);
    target = owner_target_get(cluster->owner, "w00");
    target->answered = false;
    await_poll(cluster, target);
    answer_poll(cluster, FIRST_BOOT_MS, NULL, NULL);
    return target;
}

/* Ends all orders in flight without an answer of the worker. */
static void
lose_answers(void)
{
    while (unanswered->len > 0) {
        last_order = g_array_index(unanswered, struct cw_target_order,
                                   unanswered->len - 1);
        answer_last(CW_TARGET_UNKNOWN);
    }
}

/* By the clock of the next incarnation the lease in the start may last longer
 * than the owner assumes. */
static void
test_start_is_not_resent_before_poll_is_answered(void)
{
    struct cluster cluster;
    struct owner_target *target = first_worker(&cluster);
    struct owner_run *run =
        send_start(&cluster, target, add_job(&cluster, 0, &one));

    await_poll(&cluster, target);
    lose_answers();
    CU_ASSERT_TRUE(target->unanswered_polls > 0);
    tick(&cluster, target, 100); /* the pause between two attempts is over */
    CU_ASSERT_EQUAL(target->orders_in_flight, 0);
    await_poll(&cluster, target);
    answer_poll(&cluster, FIRST_BOOT_MS + 1, NULL, NULL);
    tick(&cluster, target, 1);
    CU_ASSERT_EQUAL(target->orders_in_flight, 1);
    CU_ASSERT_EQUAL(run->phase, RUN_STARTING);
    cluster_end(&cluster);
}

/* A start that was never sent does not wait for a worker that does not
 * answer. */
static void
test_unsent_start_is_placed_elsewhere(void)
{
    struct cluster cluster;
    struct owner_target *target = first_worker(&cluster);
    struct owner_job *job = add_job(&cluster, 0, &one);
    struct owner_task *task = &step_of(job)->tasks[0];
    struct cw_task_name name = owner_task_name(task);

    owner_run_create(cluster.owner, task, target, RUN_READY, 1);
    owner_order_queue(cluster.owner, target, CW_ORDER_START, &name, 1);
    target->unanswered_polls = 1;
    tick(&cluster, target, 1);
    CU_ASSERT_PTR_NULL(task->run);
    cluster_end(&cluster);
}

/* The next incarnation has not received the stop: it would carry out a start
 * that is still in flight. */
static void
test_stop_confirmed_by_former_incarnation_is_resent(void)
{
    struct cluster cluster;
    struct owner_target *target = first_worker(&cluster);
    struct owner_job *job = add_job(&cluster, 0, &one);
    struct owner_run *run = send_start(&cluster, target, job);

    lose_answers();
    owner_run_stop(cluster.owner, run);
    run->stop_queued = false;
    run->stop_confirmed = true;
    run->stop_confirmed_at = cluster.clock.now;
    await_poll(&cluster, target);
    answer_poll(&cluster, FIRST_BOOT_MS + 1, NULL, NULL);
    CU_ASSERT_PTR_NOT_NULL(step_of(job)->tasks[0].run);
    CU_ASSERT_FALSE(run->stop_confirmed);
    cluster_end(&cluster);
}

static void
test_run_reported_by_next_incarnation_continues(void)
{
    struct cluster cluster;
    struct owner_target *target = first_worker(&cluster);
    struct owner_job *job = add_job(&cluster, 0, &one);
    struct owner_run *run = send_start(&cluster, target, job);
    const struct cw_running listed = running_report(run);

    answer_start();
    await_poll(&cluster, target);
    answer_poll(&cluster, FIRST_BOOT_MS + 1, &listed, NULL);
    CU_ASSERT_PTR_EQUAL(step_of(job)->tasks[0].run, run);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
    cluster_end(&cluster);
}

static unsigned
stops_queued(const struct owner_target *target)
{
    unsigned count = 0;

    for (const GList *item = target->orders.head; item != NULL;
         item = item->next) {
        count += ((struct owner_order *)item->data)->kind == CW_ORDER_STOP;
    }
    return count;
}

/* A start without an answer may still be carried out by the next incarnation,
 * which has no state of the run or its end. */
static void
test_late_start_of_lost_run_is_stopped(void)
{
    struct cluster cluster;
    struct owner_target *target = first_worker(&cluster);
    struct owner_job *job = add_job(&cluster, 0, &one);
    struct owner_run *run = send_start(&cluster, target, job);
    const struct cw_running listed = running_report(run);

    run->unanswered = 1;
    answer_start();
    await_poll(&cluster, target);
    answer_poll(&cluster, FIRST_BOOT_MS, &listed, NULL);
    await_poll(&cluster, target);
    answer_poll(&cluster, FIRST_BOOT_MS + 1, NULL, NULL);
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_EQUAL(stops_queued(target), 1);
    cluster_end(&cluster);
}

/* The first start had no answer: the former incarnation may have begun the
 * job. */
static void
test_at_most_once_start_is_not_sent_to_next_incarnation(void)
{
    struct cluster cluster;
    struct owner_target *target = first_worker(&cluster);
    struct owner_job *job = add_job(&cluster, 0, &one);
    struct owner_run *run;

    ((struct cw_work_spec *)job->spec)->once = true;
    run = send_start(&cluster, target, job);
    lose_answers();
    CU_ASSERT_EQUAL(run->unanswered, 1);
    tick(&cluster, target, 10);
    CU_ASSERT_EQUAL(target->orders_in_flight,
                    0); /* the poll has to be answered first */
    await_poll(&cluster, target);
    answer_poll(&cluster, FIRST_BOOT_MS + 1, NULL, NULL);
    tick(&cluster, target, 10);
    CU_ASSERT_TRUE(run->stopping);
    cluster_end(&cluster);
}

/* Guards against a task that waits although its worker has restarted: the
 * worker has not answered a poll, and reports its next incarnation.  It is
 * polled at once, and the answer, not the report, ends the wait. */
static void
test_answer_of_reported_incarnation_ends_wait(void)
{
    struct cluster cluster;
    struct owner_target *target = first_worker(&cluster);
    struct owner_job *job = add_job(&cluster, 0, &one);
    struct owner_run *run = send_start(&cluster, target, job);
    const struct cw_running listed = running_report(run);

    answer_start();
    await_poll(&cluster, target);
    answer_poll(&cluster, FIRST_BOOT_MS, &listed, NULL);
    await_poll(&cluster, target);
    answer_poll(&cluster, FIRST_BOOT_MS, &listed, NULL);
    await_poll(&cluster, target);
    answer_last(CW_TARGET_UNKNOWN);
    tick(&cluster, target, 0);
    CU_ASSERT_FALSE(target->poll_in_flight);
    owner_incarnation_reported(target, FIRST_BOOT_MS + 1);
    CU_ASSERT_EQUAL(placed(job), 1);
    tick(&cluster, target, 0);
    CU_ASSERT_TRUE_FATAL(target->poll_in_flight);
    CU_ASSERT_EQUAL(last_order.wait_ms, 0);
    answer_poll(&cluster, FIRST_BOOT_MS + 1, NULL, NULL);
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].suspicion > 0);
    cluster_end(&cluster);
}

/* Lets time pass in which the worker answers nothing. */
static void
pass_silently(struct cluster *cluster, struct owner_target *target,
              unsigned ms)
{
    for (unsigned passed = 0; passed < ms; passed += 10) {
        tick(cluster, target, 10);
        lose_answers();
    }
}

/* Sends a start of a job to a worker that answers nothing from then on and
 * reports its next incarnation to the store `report_after_ms` later.  Checks
 * that the task keeps its run while that incarnation may begin it. */
static void
check_start_to_reported_incarnation(unsigned report_after_ms)
{
    struct cluster cluster;
    struct owner_target *target = first_worker(&cluster);
    struct owner_job *job = add_job(&cluster, 0, &one);

    send_start(&cluster, target, job);
    pass_silently(&cluster, target, report_after_ms);
    owner_incarnation_reported(target, FIRST_BOOT_MS + 1);
    pass_silently(&cluster, target,
                  ORDER_LATE_MAX_MS + LEASE_MS - report_after_ms);
    CU_ASSERT_EQUAL(placed(job), 1);
    pass_silently(&cluster, target, 3000);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster_end(&cluster);
}

/* Guards against a task that runs twice: a start that was sent to the next
 * incarnation before the owner had read of it is held up by a cut of the link
 * for longer than a lease.  The incarnation, whose clock is behind, carries it
 * out when the link is back, while the task runs elsewhere or is done. */
static void
test_start_held_up_to_next_incarnation_is_awaited(void)
{
    check_start_to_reported_incarnation(0);
    check_start_to_reported_incarnation(3000);
}

/* A start that was sent before the next incarnation is reported cannot reach
 * it late if the former incarnation has confirmed its stop. */
static void
test_stopped_start_is_not_awaited(void)
{
    struct cluster cluster;
    struct owner_target *target = first_worker(&cluster);
    struct owner_job *job = add_job(&cluster, 0, &one);
    struct owner_run *run = send_start(&cluster, target, job);

    lose_answers();
    owner_run_stop(cluster.owner, run);
    run->stop_queued = false;
    run->stop_confirmed = true;
    owner_incarnation_reported(target, FIRST_BOOT_MS + 1);
    pass_silently(&cluster, target, LEASE_MS + 2000);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster_end(&cluster);
}

/* Queues a start of the job on a worker that has just reported its next
 * incarnation, and checks that it is not sent. */
static struct owner_run *
report_before_start(struct cluster *cluster, struct owner_target *target,
                    struct owner_job *job)
{
    struct owner_task *task = &step_of(job)->tasks[0];
    struct cw_task_name name = owner_task_name(task);
    struct owner_run *run =
        owner_run_create(cluster->owner, task, target, RUN_READY, 1);

    owner_incarnation_reported(target, FIRST_BOOT_MS + 1);
    owner_order_queue(cluster->owner, target, CW_ORDER_START, &name, 1);
    tick(cluster, target, 10);
    CU_ASSERT_EQUAL(run->phase, RUN_READY);
    return run;
}

/* Guards against a task that runs twice: a start for the former incarnation is
 * sent although the worker has reported the next one. */
static void
test_start_waits_for_answer_of_reported_incarnation(void)
{
    struct cluster cluster;
    struct owner_target *target = first_worker(&cluster);
    struct owner_run *run =
        report_before_start(&cluster, target, add_job(&cluster, 0, &one));

    await_poll(&cluster, target);
    answer_poll(&cluster, FIRST_BOOT_MS + 1, NULL, NULL);
    tick(&cluster, target, 10);
    CU_ASSERT_EQUAL(run->phase, RUN_STARTING);
    cluster_end(&cluster);
}

/* A report may name a boot time that no incarnation has. */
static void
test_start_waits_for_one_answer_after_wrong_report(void)
{
    struct cluster cluster;
    struct owner_target *target = first_worker(&cluster);
    struct owner_run *run =
        report_before_start(&cluster, target, add_job(&cluster, 0, &one));

    await_poll(&cluster, target);
    answer_poll(&cluster, FIRST_BOOT_MS, NULL, NULL);
    tick(&cluster, target, 10);
    CU_ASSERT_EQUAL(run->phase, RUN_STARTING);
    cluster_end(&cluster);
}

/* ---- takeover ---- */

/* A job restored from the state of another owner, with a run on the first
 * incarnation of w00. */
static struct owner_job *
take_over(struct cluster *cluster, bool once)
{
    struct cluster before;
    struct owner_target *target = first_worker(&before);
    struct owner_job *job = add_job(&before, 0, &one);
    GByteArray *state;
    GBytes *bytes;

    owner_run_create(before.owner, &step_of(job)->tasks[0], target, RUN_NEW,
                     1);
    state = owner_job_encode(job, cw_store_value_bytes_max(0));
    cluster_end(&before);
    cluster_begin(cluster);
    job = add_job(cluster, 0, &one);
    ((struct cw_work_spec *)job->spec)->once = once;
    bytes = g_bytes_new(state->data, state->len);
    g_ptr_array_set_size(job->open, 0);
    CU_ASSERT_TRUE(owner_job_restore(cluster->owner, job, bytes));
    g_bytes_unref(bytes);
    g_byte_array_unref(state);
    return job;
}

static void
poll_first(struct cluster *cluster, int64_t boot_ms)
{
    struct owner_target *target = owner_target_get(cluster->owner, "w00");

    target->answered = false;
    target->lease_end = cw_time_add_ms(cluster->clock.now, 10000);
    await_poll(cluster, target);
    answer_poll(cluster, boot_ms, NULL, NULL);
}

static void
test_new_owner_detects_crash_of_worker(void)
{
    struct cluster cluster;
    struct owner_job *job = take_over(&cluster, false);

    poll_first(&cluster, FIRST_BOOT_MS + 1);
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].suspicion > 0);
    cluster_end(&cluster);
}

/* A run that the worker does not report was never started, but only if the
 * same incarnation answers that the start was sent to. */
static void
test_at_most_once_job_of_former_incarnation_is_not_begun_again(void)
{
    struct cluster cluster;
    struct owner_job *job = take_over(&cluster, true);

    poll_first(&cluster, FIRST_BOOT_MS);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_WAITING);
    cluster_end(&cluster);
    job = take_over(&cluster, true);
    poll_first(&cluster, FIRST_BOOT_MS + 1);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_LOST);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"ends of next incarnation", test_ends_of_next_incarnation_are_received},
    {"unknown incarnation", test_end_is_not_confirmed_to_unknown_incarnation},
    {"answer held up", test_end_in_answer_that_was_held_up_is_not_confirmed},
    {"crash counts", test_crash_under_same_id_counts},
    {"start waits", test_start_is_not_resent_before_poll_is_answered},
    {"unsent start", test_unsent_start_is_placed_elsewhere},
    {"resent stop", test_stop_confirmed_by_former_incarnation_is_resent},
    {"run continues", test_run_reported_by_next_incarnation_continues},
    {"late start", test_late_start_of_lost_run_is_stopped},
    {"at-most-once start",
     test_at_most_once_start_is_not_sent_to_next_incarnation},
    {"report", test_answer_of_reported_incarnation_ends_wait},
    {"start held up", test_start_held_up_to_next_incarnation_is_awaited},
    {"stopped start", test_stopped_start_is_not_awaited},
    {"start after report",
     test_start_waits_for_answer_of_reported_incarnation},
    {"wrong report", test_start_waits_for_one_answer_after_wrong_report},
    {"takeover", test_new_owner_detects_crash_of_worker},
    {"at-most-once",
     test_at_most_once_job_of_former_incarnation_is_not_begun_again},
};

TEST_MAIN("restarts", tests)

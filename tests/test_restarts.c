/* Workers that crash and start again under their ids.
 *
 * Seen: tasks were started again although a run of them had ended as done and
 * that end had been confirmed to the worker; and steps that could run did not,
 * as the owner repeated tasks of an earlier step that had been done long ago.
 * How: a worker that starts again numbers its ends from 1.  Each look told it
 * that all ends up to the number that its former life had reached were stored,
 * so it forgot those of its new life before anybody had seen them.  A run in
 * neither list is taken for lost, and its task is placed again.
 * Cause: what was remembered under a worker's id was taken for the worker's,
 * and was its life's: the numbers of its ends, the crashes that its silence
 * stood for, the stops and leases that it had confirmed.
 * Proof: the tests below failed; the first one is the incident's way. */
#include "test_main.h"

#include "owner/internal/owner_crashes.h"
#include "owner_site.h"

enum {
    FIRST_BORN_MS = 1000,
    STARTS_TRIED = 12,
    /* Of a task that crashes workers: three crash, and it may be started twice
     * more. */
    STARTS_MOST = 5
};

static const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};

/* Lets the owner attend to the worker; what it sends waits for its answer. */
static void
tick(struct site *site, struct owner_target *target, unsigned ms)
{
    site->clock.now = cw_time_add_ms(site->clock.now, ms);
    site->owner->ownership_confirmed_at = site->clock.now;
    owner_orders_send(site->owner, target, site->clock.now);
    owner_poll_tick(site->owner, target, site->clock.now);
}

/* Waits until the owner looks at the worker. */
static void
await_look(struct site *site, struct owner_target *target)
{
    for (unsigned i = 0; i < 500 && !target->poll_in_flight; i++) {
        tick(site, target, 10);
    }
    CU_ASSERT_TRUE_FATAL(target->poll_in_flight);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_POLL);
}

/* Answers the last order, a look; NULL: nothing of the kind is listed. */
static void
answer_look(int64_t boot_ms, const struct cw_running *running,
            const struct cw_ended *ended)
{
    const struct cw_target_answer answer = {
        .status = CW_TARGET_OK,
        .clock_ms = 1,
        .boot_ms = boot_ms,
        .running = running,
        .running_count = running != NULL,
        .ended = ended,
        .ended_count = ended != NULL,
    };

    g_array_set_size(unanswered, unanswered->len - 1);
    last_order.done(last_order.context, &answer);
}

/* As if the batch with what the ends led to had been stored. */
static void
store_ends(struct owner_target *target)
{
    target->incarnation.ends_in_batch = target->incarnation.ends_applied;
    target->incarnation.ends_durable = target->incarnation.ends_applied;
    target->poll_due = cw_time_from_ms(0);
}

/* Places a job and starts it.  Returns its worker. */
static struct owner_target *
start_job(struct site *site, struct owner_job *job)
{
    for (unsigned i = 0; i < 500 && placed(job) == 0; i++) {
        pass(site, 10);
    }
    confirm_starts(site, job);
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

/* A job is done on the worker, which numbers its end, and is told that this is
 * stored. */
static void
work_and_confirm(struct site *site, struct owner_target *target,
                 struct owner_job *job, int64_t boot_ms, uint64_t number)
{
    struct cw_ended ended = end_of(job, number);

    await_look(site, target);
    answer_look(boot_ms, NULL, &ended);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_COMPLETED);
    store_ends(target);
    await_look(site, target);
    CU_ASSERT_EQUAL(last_order.acked, number);
    answer_look(boot_ms, NULL, NULL);
}

/* The incident's way: its looks are not answered for a while. */
static void
test_ends_of_the_next_life_are_seen(void)
{
    struct site site;
    struct owner_job *job;
    struct owner_target *target;
    struct cw_ended ended;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    target = start_job(&site, job);
    work_and_confirm(&site, target, job, FIRST_BORN_MS, 1);
    await_look(&site, target);
    answer_last(CW_TARGET_UNKNOWN);
    await_look(&site, target);
    CU_ASSERT_EQUAL(last_order.acked, 0);
    answer_look(FIRST_BORN_MS + 1, NULL, NULL);
    job = add_job(&site, 0, &one);
    owner_run_create(site.owner, &step_of(job)->tasks[0], target, RUN_NEW, 1);
    confirm_starts(&site, job);
    await_look(&site, target);
    CU_ASSERT_EQUAL(last_order.acked, 0);
    ended = end_of(job, 1);
    answer_look(FIRST_BORN_MS + 1, NULL, &ended);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_COMPLETED);
    site_end(&site);
}

/* It is away for less than the pause between two looks, and starts a run
 * before it is looked at again. */
static void
test_an_end_is_not_confirmed_to_a_life_that_was_not_seen(void)
{
    struct site site;
    struct owner_job *job;
    struct owner_target *target;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    target = start_job(&site, job);
    work_and_confirm(&site, target, job, FIRST_BORN_MS, 1);
    job = add_job(&site, 0, &one);
    owner_run_create(site.owner, &step_of(job)->tasks[0], target, RUN_NEW, 1);
    confirm_starts(&site, job);
    await_look(&site, target);
    CU_ASSERT_EQUAL(last_order.acked, 0);
    answer_last(CW_TARGET_UNKNOWN);
    site_end(&site);
}

/* Looks at the worker until it answers as a life that holds nothing. */
static void
crash_and_answer(struct site *site, struct owner_target *target,
                 int64_t boot_ms)
{
    await_look(site, target);
    answer_last(CW_TARGET_UNKNOWN);
    await_look(site, target);
    answer_look(boot_ms, NULL, NULL);
}

/* Each worker is looked at once: its first life is known. */
static void
look_at_all(struct site *site)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, site->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        target->answered = false;
        await_look(site, target);
        answer_look(FIRST_BORN_MS, NULL, NULL);
    }
}

/* A task that crashes its worker is bounded, whatever the id of the next
 * life. */
static void
test_a_crash_under_the_same_id_counts(void)
{
    struct site site;
    struct owner_job *job;
    unsigned starts = 0;

    site_begin(&site);
    look_at_all(&site);
    job = add_job(&site, 0, &one);
    for (; starts < STARTS_TRIED && !cw_work_is_over(job->phase); starts++) {
        struct owner_target *target = start_job(&site, job);

        if (target == NULL) {
            break;
        }
        crash_and_answer(&site, target, FIRST_BORN_MS + 1 + starts);
    }
    CU_ASSERT_TRUE(starts <= STARTS_MOST);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    site_end(&site);
}

/* ---- what is under way across a restart ---- */

/* A start of the job was sent to the worker, whose first life is known. */
static struct owner_run *
send_start(struct site *site, struct owner_target *target,
           struct owner_job *job)
{
    struct owner_task *task = &step_of(job)->tasks[0];
    struct cw_task_name name = owner_task_name(task);
    struct owner_run *run =
        owner_run_create(site->owner, task, target, RUN_READY, 1);

    owner_order_queue(site->owner, target, CW_ORDER_START, &name, 1);
    tick(site, target, 1);
    CU_ASSERT_EQUAL(run->phase, RUN_STARTING);
    return run;
}

/* The worker has carried the start out. */
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
    CU_FAIL("no start is under way");
}

/* As the worker lists the run while it is at work. */
static struct cw_running
listing_of(const struct owner_run *run)
{
    struct cw_running listed = {
        .task = owner_task_name(run->task), .run = run->number, .saved = ""};

    return listed;
}

static struct owner_target *
first_worker(struct site *site)
{
    struct owner_target *target;

    site_begin(site);
    target = owner_target_get(site->owner, "w00");
    target->answered = false;
    await_look(site, target);
    answer_look(FIRST_BORN_MS, NULL, NULL);
    return target;
}

/* Answers what was sent last to the worker as never answered. */
static void
lose_answers(void)
{
    while (unanswered->len > 0) {
        last_order = g_array_index(unanswered, struct cw_target_order,
                                   unanswered->len - 1);
        answer_last(CW_TARGET_UNKNOWN);
    }
}

/* By the clock of its next life the lease that the start carries may last for
 * longer than is known here. */
static void
test_a_start_is_not_sent_again_before_a_look_is_answered(void)
{
    struct site site;
    struct owner_target *target = first_worker(&site);
    struct owner_run *run = send_start(&site, target, add_job(&site, 0, &one));

    await_look(&site, target);
    lose_answers();
    CU_ASSERT_TRUE(target->unanswered_polls > 0);
    tick(&site, target, 100); /* the pause between two tries is over */
    CU_ASSERT_EQUAL(target->orders_in_flight, 0);
    await_look(&site, target);
    answer_look(FIRST_BORN_MS + 1, NULL, NULL);
    tick(&site, target, 1);
    CU_ASSERT_EQUAL(target->orders_in_flight, 1);
    CU_ASSERT_EQUAL(run->phase, RUN_STARTING);
    site_end(&site);
}

/* Nor is one that was never sent kept for a worker that does not answer. */
static void
test_a_start_that_was_not_sent_goes_elsewhere(void)
{
    struct site site;
    struct owner_target *target = first_worker(&site);
    struct owner_job *job = add_job(&site, 0, &one);
    struct owner_task *task = &step_of(job)->tasks[0];
    struct cw_task_name name = owner_task_name(task);

    owner_run_create(site.owner, task, target, RUN_READY, 1);
    owner_order_queue(site.owner, target, CW_ORDER_START, &name, 1);
    target->unanswered_polls = 1;
    tick(&site, target, 1);
    CU_ASSERT_PTR_NULL(task->run);
    site_end(&site);
}

/* The next life has not seen it: a start on its way would be carried out. */
static void
test_a_stop_that_the_former_life_confirmed_is_sent_again(void)
{
    struct site site;
    struct owner_target *target = first_worker(&site);
    struct owner_job *job = add_job(&site, 0, &one);
    struct owner_run *run = send_start(&site, target, job);

    lose_answers();
    owner_run_stop(site.owner, run);
    run->stop_queued = false;
    run->stop_confirmed = true;
    run->stop_confirmed_at = site.clock.now;
    await_look(&site, target);
    answer_look(FIRST_BORN_MS + 1, NULL, NULL);
    CU_ASSERT_PTR_NOT_NULL(step_of(job)->tasks[0].run);
    CU_ASSERT_FALSE(run->stop_confirmed);
    site_end(&site);
}

static void
test_a_run_that_the_next_life_lists_goes_on(void)
{
    struct site site;
    struct owner_target *target = first_worker(&site);
    struct owner_job *job = add_job(&site, 0, &one);
    struct owner_run *run = send_start(&site, target, job);
    const struct cw_running listed = listing_of(run);

    answer_start();
    await_look(&site, target);
    answer_look(FIRST_BORN_MS + 1, &listed, NULL);
    CU_ASSERT_PTR_EQUAL(step_of(job)->tasks[0].run, run);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
    site_end(&site);
}

static unsigned
stops_queued(const struct owner_target *target)
{
    unsigned count = 0;

    for (const GList *at = target->orders.head; at != NULL; at = at->next) {
        count += ((struct owner_order *)at->data)->kind == CW_ORDER_STOP;
    }
    return count;
}

/* One that had no answer may still be carried out, by the next life: it knows
 * neither that the run was there nor that it is over. */
static void
test_a_start_of_a_lost_run_that_may_come_late_is_shut_out(void)
{
    struct site site;
    struct owner_target *target = first_worker(&site);
    struct owner_job *job = add_job(&site, 0, &one);
    struct owner_run *run = send_start(&site, target, job);
    const struct cw_running listed = listing_of(run);

    run->unanswered = 1;
    answer_start();
    await_look(&site, target);
    answer_look(FIRST_BORN_MS, &listed, NULL);
    await_look(&site, target);
    answer_look(FIRST_BORN_MS + 1, NULL, NULL);
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_EQUAL(stops_queued(target), 1);
    site_end(&site);
}

/* Its first attempt had no answer: the former life may have begun it. */
static void
test_a_once_only_start_is_not_sent_to_the_next_life(void)
{
    struct site site;
    struct owner_target *target = first_worker(&site);
    struct owner_job *job = add_job(&site, 0, &one);
    struct owner_run *run;

    ((struct cw_work_spec *)job->spec)->once = true;
    run = send_start(&site, target, job);
    lose_answers();
    CU_ASSERT_EQUAL(run->unanswered, 1);
    tick(&site, target, 10);
    CU_ASSERT_EQUAL(target->orders_in_flight, 0); /* a look goes first */
    await_look(&site, target);
    answer_look(FIRST_BORN_MS + 1, NULL, NULL);
    tick(&site, target, 10);
    CU_ASSERT_TRUE(run->stopping);
    site_end(&site);
}

/* It is cut off from this VM and has told the store that it is another life:
 * its runs need not be waited for until their lease is over. */
static void
test_a_report_of_the_next_life_ends_the_wait(void)
{
    struct site site;
    struct owner_target *target = first_worker(&site);
    struct owner_job *job = add_job(&site, 0, &one);
    struct owner_run *run = send_start(&site, target, job);
    const struct cw_running listed = listing_of(run);

    answer_start();
    await_look(&site, target);
    answer_look(FIRST_BORN_MS, &listed, NULL);
    await_look(&site, target);
    answer_look(FIRST_BORN_MS, &listed, NULL);
    await_look(&site, target);
    answer_last(CW_TARGET_UNKNOWN);
    CU_ASSERT_EQUAL(placed(job), 1);
    owner_incarnation_reported(target, FIRST_BORN_MS + 1);
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].suspicion > 0);
    site_end(&site);
}

/* ---- take-over ---- */

/* A job that another owner has left with a run on w00, in a life of it. */
static struct owner_job *
take_over(struct site *site, bool once)
{
    struct site before;
    struct owner_target *target = first_worker(&before);
    struct owner_job *job = add_job(&before, 0, &one);
    GByteArray *state;
    GBytes *bytes;

    owner_run_create(before.owner, &step_of(job)->tasks[0], target, RUN_NEW,
                     1);
    state = owner_job_encode(job);
    site_end(&before);
    site_begin(site);
    job = add_job(site, 0, &one);
    ((struct cw_work_spec *)job->spec)->once = once;
    bytes = g_bytes_new(state->data, state->len);
    g_ptr_array_set_size(job->open, 0);
    CU_ASSERT_TRUE(owner_job_restore(site->owner, job, bytes));
    g_bytes_unref(bytes);
    g_byte_array_unref(state);
    return job;
}

static void
look_at_first(struct site *site, int64_t boot_ms)
{
    struct owner_target *target = owner_target_get(site->owner, "w00");

    target->answered = false;
    target->lease_end = cw_time_add_ms(site->clock.now, 10000);
    await_look(site, target);
    answer_look(boot_ms, NULL, NULL);
}

static void
test_a_new_owner_sees_that_a_worker_has_crashed(void)
{
    struct site site;
    struct owner_job *job = take_over(&site, false);

    look_at_first(&site, FIRST_BORN_MS + 1);
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].suspicion > 0);
    site_end(&site);
}

/* What the worker does not list was never started: but only if it is the life
 * that it was sent to. */
static void
test_once_only_work_of_a_former_life_is_not_begun_again(void)
{
    struct site site;
    struct owner_job *job = take_over(&site, true);

    look_at_first(&site, FIRST_BORN_MS);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_WAITING);
    site_end(&site);
    job = take_over(&site, true);
    look_at_first(&site, FIRST_BORN_MS + 1);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_LOST);
    site_end(&site);
}

static const struct test tests[] = {
    {"next life's ends", test_ends_of_the_next_life_are_seen},
    {"unseen life", test_an_end_is_not_confirmed_to_a_life_that_was_not_seen},
    {"crash counts", test_a_crash_under_the_same_id_counts},
    {"start waits", test_a_start_is_not_sent_again_before_a_look_is_answered},
    {"not sent", test_a_start_that_was_not_sent_goes_elsewhere},
    {"stop again", test_a_stop_that_the_former_life_confirmed_is_sent_again},
    {"goes on", test_a_run_that_the_next_life_lists_goes_on},
    {"late start", test_a_start_of_a_lost_run_that_may_come_late_is_shut_out},
    {"once-only start", test_a_once_only_start_is_not_sent_to_the_next_life},
    {"report", test_a_report_of_the_next_life_ends_the_wait},
    {"take-over", test_a_new_owner_sees_that_a_worker_has_crashed},
    {"once", test_once_only_work_of_a_former_life_is_not_begun_again},
};

TEST_MAIN("restarts", tests)

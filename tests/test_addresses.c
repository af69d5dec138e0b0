/* Refused orders, and reports that are stored late.
 *
 * Another worker refuses an order by the id that the order names.  That ends
 * the runs of the worker which the order was meant for only if these runs can
 * be nowhere else, and if the refusal is later than the worker's last answer.
 * On some sites a worker that crashes restarts under its id, perhaps at
 * another address. */
#include "test_main.h"

#include "owner_cluster.h"
#include "platform/platform.h"

#define ID "i-1"
#define FIRST_ADDRESS "10.0.0.1:80"
#define SECOND_ADDRESS "10.0.0.2:80"

enum {
    FIRST_BOOT_MS = 1000,
    SECOND_BOOT_MS = 9000,
    STEP_MS = 10,
    POLL_STEPS_MAX = 300,
    FAILED_POLLS = 3
};

static const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};

/* A report of the worker; members that are 0 or NULL are left out. */
struct report {
    const char *address;
    int64_t boot_ms;
    unsigned seq;
    bool draining;
};

static void
put_report(struct cluster *cluster, const struct report *report)
{
    GString *text = g_string_new(NULL);
    struct cw_store_record record = {.key = ID, .offset = 1};

    g_string_printf(text,
                    "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\","
                    "\"state\":\"%s\",\"capacity\":{\"cpu\":32000,"
                    "\"mem_mb\":65536,\"gpus\":8}",
                    report->address, report->draining ? "draining" : "ready");
    if (report->boot_ms > 0) {
        g_string_append_printf(text, ",\"born\":%" PRId64, report->boot_ms);
    }
    if (report->seq > 0) {
        g_string_append_printf(text, ",\"seq\":%u", report->seq);
    }
    g_string_append(text, "}");
    record.value = text->str;
    record.length = text->len;
    owner_target_apply_record(cluster->owner, &record);
    g_string_free(text, TRUE);
}

static void
remove_report(struct cluster *cluster)
{
    struct cw_store_record record = {.key = ID, .offset = 1};

    owner_target_apply_record(cluster->owner, &record);
}

/* Begins with the worker's report, shortly after a takeover, when idle workers
 * are polled as well; returns the worker. */
static struct owner_target *
begin(struct cluster *cluster, const struct report *report)
{
    cluster_begin(cluster);
    cluster->owner->options.codec = platform_codec();
    cluster->owner->takeover_began_at = cluster->clock.now;
    put_report(cluster, report);
    return owner_target_get(cluster->owner, ID);
}

static void
advance(struct cluster *cluster)
{
    cluster->clock.now = cw_time_add_ms(cluster->clock.now, STEP_MS);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
}

/* Removes the last order from those without an answer, and returns it. */
static struct cw_target_order
take_last(void)
{
    g_array_set_size(unanswered, unanswered->len - 1);
    return last_order;
}

static void
answer(const struct cw_target_order *order, enum cw_target_status status,
       int64_t boot_ms)
{
    const struct cw_target_answer answer = {
        .status = status, .clock_ms = 1, .boot_ms = boot_ms};

    order->done(order->context, &answer);
}

/* Waits until the owner polls the worker; an idle one is polled less often. */
static struct cw_target_order
send_poll(struct cluster *cluster, struct owner_target *target)
{
    for (unsigned i = 0; i < POLL_STEPS_MAX && !target->poll_in_flight; i++) {
        advance(cluster);
        owner_poll_tick(cluster->owner, target, cluster->clock.now);
    }
    CU_ASSERT_TRUE_FATAL(target->poll_in_flight);
    return take_last();
}

static void
poll_and_answer(struct cluster *cluster, struct owner_target *target,
                enum cw_target_status status, int64_t boot_ms)
{
    struct cw_target_order poll = send_poll(cluster, target);

    advance(cluster);
    answer(&poll, status, boot_ms);
}

/* Sends the start of a new job to the worker. */
static struct cw_target_order
send_start(struct cluster *cluster, struct owner_target *target,
           struct owner_job **job)
{
    advance(cluster);
    target->reported_at = cluster->clock.now;
    *job = add_job(cluster, 0, &one);
    owner_run_create(cluster->owner, &step_of(*job)->tasks[0], target, RUN_NEW,
                     1);
    (void)send_job_start(cluster, *job);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_START);
    return take_last();
}

/* Starts a job on the worker, which confirms it. */
static struct owner_job *
run_on(struct cluster *cluster, struct owner_target *target)
{
    struct owner_job *job;
    struct cw_target_order start = send_start(cluster, target, &job);

    advance(cluster);
    answer(&start, CW_TARGET_OK, 0);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].run->phase, RUN_RUNNING);
    return job;
}

/* Gives the worker a run that an earlier owner has started on an incarnation
 * of it. */
static struct owner_job *
inherit_run(struct cluster *cluster, struct owner_target *target,
            int64_t boot_ms)
{
    struct owner_job *job = add_job(cluster, 0, &one);

    owner_run_create(cluster->owner, &step_of(job)->tasks[0], target,
                     RUN_INHERITED, 1);
    step_of(job)->tasks[0].run->boot_ms = boot_ms;
    return job;
}

/* ---- refusals that prove nothing ---- */

/* Guards against a task that runs twice: a start is refused at an address that
 * the worker has left since, and the worker executes another run at its
 * present one. */
static void
test_refusal_at_former_address_ends_no_run(void)
{
    const struct report first = {FIRST_ADDRESS, FIRST_BOOT_MS, 0, false};
    const struct report second = {SECOND_ADDRESS, SECOND_BOOT_MS, 0, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &first);
    struct cw_target_order start;
    struct owner_job *unconfirmed;
    struct owner_job *job;

    poll_and_answer(&cluster, target, CW_TARGET_OK, FIRST_BOOT_MS);
    start = send_start(&cluster, target, &unconfirmed);
    put_report(&cluster, &second);
    poll_and_answer(&cluster, target, CW_TARGET_OK, SECOND_BOOT_MS);
    job = run_on(&cluster, target);
    answer(&start, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_FALSE(target->superseded);
    cluster_end(&cluster);
}

/* Guards against the same if a late report of the former incarnation tells a
 * new owner the former address, where another worker is by now. */
static void
test_refusal_at_address_of_late_report_ends_no_inherited_run(void)
{
    const struct report late = {FIRST_ADDRESS, FIRST_BOOT_MS, 0, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &late);
    struct owner_job *job = inherit_run(&cluster, target, SECOND_BOOT_MS);

    poll_and_answer(&cluster, target, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_EQUAL(target->unanswered_polls, 1);
    cluster_end(&cluster);
}

/* Guards against the same if the worker has answered this owner at another
 * address than the one that a late report tells. */
static void
test_refusal_away_from_last_answer_ends_no_run(void)
{
    const struct report first = {FIRST_ADDRESS, 0, 0, false};
    const struct report second = {SECOND_ADDRESS, 0, 0, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &second);
    struct owner_job *job;

    poll_and_answer(&cluster, target, CW_TARGET_OK, 0);
    job = run_on(&cluster, target);
    put_report(&cluster, &first);
    poll_and_answer(&cluster, target, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_EQUAL(placed(job), 1);
    put_report(&cluster, &second);
    poll_and_answer(&cluster, target, CW_TARGET_OK, 0);
    CU_ASSERT_EQUAL(target->unanswered_polls, 0);
    CU_ASSERT_FALSE(target->superseded);
    cluster_end(&cluster);
}

/* Guards against a refusal that was overtaken: the worker has answered an
 * order that was sent after the refused one.  The next poll decides. */
static void
test_overtaken_refusal_ends_no_run(void)
{
    const struct report report = {FIRST_ADDRESS, FIRST_BOOT_MS, 0, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &report);
    struct cw_target_order start;
    struct owner_job *unconfirmed;
    struct owner_job *job;

    poll_and_answer(&cluster, target, CW_TARGET_OK, FIRST_BOOT_MS);
    start = send_start(&cluster, target, &unconfirmed);
    job = run_on(&cluster, target);
    answer(&start, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_FALSE(cw_time_before(cluster.clock.now, target->poll_due));
    poll_and_answer(&cluster, target, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster_end(&cluster);
}

/* Guards against a worker that is not used any more after a refusal that was
 * given before it restarted at the same address. */
static void
test_refusal_before_restart_is_not_proof(void)
{
    const struct report first = {FIRST_ADDRESS, FIRST_BOOT_MS, 0, false};
    const struct report next = {FIRST_ADDRESS, SECOND_BOOT_MS, 0, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &first);
    struct cw_target_order poll;

    poll_and_answer(&cluster, target, CW_TARGET_OK, FIRST_BOOT_MS);
    poll = send_poll(&cluster, target);
    advance(&cluster);
    put_report(&cluster, &next);
    answer(&poll, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_FALSE(target->superseded);
    poll_and_answer(&cluster, target, CW_TARGET_OK, SECOND_BOOT_MS);
    CU_ASSERT_EQUAL(target->incarnation.boot_ms, SECOND_BOOT_MS);
    cluster_end(&cluster);
}

/* Guards against a run that waits for ever: a refused start whose refusal
 * proves nothing is treated like one without an answer. */
static void
test_start_with_unproved_refusal_is_tried_again(void)
{
    const struct report first = {FIRST_ADDRESS, FIRST_BOOT_MS, 0, false};
    const struct report second = {SECOND_ADDRESS, SECOND_BOOT_MS, 0, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &first);
    struct cw_target_order start;
    struct owner_job *job;

    poll_and_answer(&cluster, target, CW_TARGET_OK, FIRST_BOOT_MS);
    start = send_start(&cluster, target, &job);
    put_report(&cluster, &second);
    advance(&cluster);
    answer(&start, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_EQUAL_FATAL(placed(job), 1);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].run->unanswered, 1);
    CU_ASSERT_EQUAL(g_queue_get_length(&target->orders), 1);
    cluster_end(&cluster);
}

/* ---- refusals that prove that the worker is over ---- */

/* Guards against jobs that wait for a lease although another worker has
 * refused a poll at the present address. */
static void
test_refused_poll_ends_runs(void)
{
    static const int64_t boot_times_ms[] = {0, FIRST_BOOT_MS};

    for (size_t i = 0; i < G_N_ELEMENTS(boot_times_ms); i++) {
        const struct report report = {FIRST_ADDRESS, boot_times_ms[i], 0,
                                      false};
        struct cluster cluster;
        struct owner_target *target = begin(&cluster, &report);
        struct owner_job *job;

        poll_and_answer(&cluster, target, CW_TARGET_OK, boot_times_ms[i]);
        job = run_on(&cluster, target);
        poll_and_answer(&cluster, target, CW_TARGET_OTHER_INCARNATION, 0);
        CU_ASSERT_EQUAL(placed(job), 0);
        CU_ASSERT_TRUE(target->superseded);
        cluster_end(&cluster);
    }
}

/* Guards against the same for a start. */
static void
test_refused_start_ends_runs(void)
{
    const struct report report = {FIRST_ADDRESS, 0, 0, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &report);
    struct cw_target_order start;
    struct owner_job *refused;
    struct owner_job *job;

    poll_and_answer(&cluster, target, CW_TARGET_OK, 0);
    job = run_on(&cluster, target);
    start = send_start(&cluster, target, &refused);
    answer(&start, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_EQUAL(placed(refused), 0);
    cluster_end(&cluster);
}

/* Guards against the same for a new owner, which the worker has not answered:
 * its runs were sent to the incarnation that has reported the address. */
static void
test_refused_poll_ends_inherited_runs(void)
{
    static const int64_t boot_times_ms[] = {0, FIRST_BOOT_MS};

    for (size_t i = 0; i < G_N_ELEMENTS(boot_times_ms); i++) {
        const struct report report = {FIRST_ADDRESS, boot_times_ms[i], 0,
                                      false};
        struct cluster cluster;
        struct owner_target *target = begin(&cluster, &report);
        struct owner_job *job =
            inherit_run(&cluster, target, boot_times_ms[i]);

        poll_and_answer(&cluster, target, CW_TARGET_OTHER_INCARNATION, 0);
        CU_ASSERT_EQUAL(placed(job), 0);
        cluster_end(&cluster);
    }
}

/* Guards against a worker that is never used again although it has answered an
 * order that was sent after the refused one. */
static void
test_answer_after_refusal_refutes_it(void)
{
    const struct report report = {FIRST_ADDRESS, 0, 0, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &report);
    struct cw_target_order refused;
    struct cw_target_order later;
    struct owner_job *jobs[2];

    poll_and_answer(&cluster, target, CW_TARGET_OK, 0);
    refused = send_start(&cluster, target, &jobs[0]);
    later = send_start(&cluster, target, &jobs[1]);
    advance(&cluster);
    answer(&refused, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_TRUE(target->superseded);
    answer(&later, CW_TARGET_OK, 0);
    CU_ASSERT_FALSE(target->superseded);
    poll_and_answer(&cluster, target, CW_TARGET_OK, 0);
    CU_ASSERT_TRUE(target->answered);
    /* Starts that were given up may still be carried out there. */
    CU_ASSERT_TRUE(owner_tombstone_pending(target));
    cluster_end(&cluster);
}

/* Guards against a refuted refusal by an answer that may be the older one. */
static void
test_answer_to_earlier_order_refutes_nothing(void)
{
    const struct report report = {FIRST_ADDRESS, 0, 0, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &report);
    struct cw_target_order earlier;
    struct cw_target_order refused;
    struct owner_job *jobs[2];

    poll_and_answer(&cluster, target, CW_TARGET_OK, 0);
    earlier = send_start(&cluster, target, &jobs[0]);
    refused = send_start(&cluster, target, &jobs[1]);
    advance(&cluster);
    answer(&refused, CW_TARGET_OTHER_INCARNATION, 0);
    answer(&earlier, CW_TARGET_OK, 0);
    CU_ASSERT_TRUE(target->superseded);
    cluster_end(&cluster);
}

/* Guards against a worker that stays refused although it has told another
 * address since, under the same boot time or none. */
static void
test_worker_at_new_address_is_polled(void)
{
    const struct report first = {FIRST_ADDRESS, 0, 0, false};
    const struct report second = {SECOND_ADDRESS, 0, 0, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &first);

    poll_and_answer(&cluster, target, CW_TARGET_OK, 0);
    poll_and_answer(&cluster, target, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_TRUE(target->superseded);
    put_report(&cluster, &second);
    poll_and_answer(&cluster, target, CW_TARGET_OK, 0);
    CU_ASSERT_TRUE(target->answered);
    CU_ASSERT_STRING_EQUAL(last_order.address, SECOND_ADDRESS);
    cluster_end(&cluster);
}

/* ---- reports that are stored late ---- */

/* Guards against work for a worker that leaves: an earlier report of it is
 * stored after the one that tells that it drains. */
static void
test_report_with_lower_number_changes_nothing(void)
{
    const struct report ready = {FIRST_ADDRESS, 0, 4, false};
    const struct report draining = {FIRST_ADDRESS, 0, 5, true};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &draining);

    put_report(&cluster, &ready);
    CU_ASSERT_TRUE(target->draining);
    CU_ASSERT_TRUE(target->listed);
    cluster_end(&cluster);
}

/* Guards against the same if the report is stored after the worker was removed
 * from the list. */
static void
test_report_with_lower_number_lists_no_worker(void)
{
    const struct report ready = {FIRST_ADDRESS, 0, 4, false};
    const struct report draining = {FIRST_ADDRESS, 0, 5, true};
    const struct report next = {FIRST_ADDRESS, 0, 6, true};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &draining);

    remove_report(&cluster);
    put_report(&cluster, &ready);
    CU_ASSERT_FALSE(target->listed);
    put_report(&cluster, &next);
    CU_ASSERT_TRUE(target->listed);
    CU_ASSERT_TRUE(target->draining);
    cluster_end(&cluster);
}

/* Guards against workers that a reloaded list drops: the store has the report
 * that was read last, or an earlier one that was stored after it. */
static void
test_reloaded_report_keeps_worker_listed(void)
{
    const struct report earlier = {FIRST_ADDRESS, 0, 4, false};
    const struct report last = {FIRST_ADDRESS, 0, 5, true};
    const struct report *const reloaded[] = {&last, &earlier};

    for (size_t i = 0; i < G_N_ELEMENTS(reloaded); i++) {
        struct cluster cluster;
        struct owner_target *target = begin(&cluster, &last);

        owner_targets_reset(cluster.owner);
        put_report(&cluster, reloaded[i]);
        owner_targets_loaded(cluster.owner);
        CU_ASSERT_TRUE(target->listed);
        CU_ASSERT_TRUE(target->draining);
        cluster_end(&cluster);
    }
}

/* Guards against reports of a restarted worker that are taken for late ones:
 * their numbers begin anew. */
static void
test_numbers_begin_anew_with_each_incarnation(void)
{
    const struct report first = {FIRST_ADDRESS, FIRST_BOOT_MS, 5, true};
    const struct report next = {SECOND_ADDRESS, SECOND_BOOT_MS, 1, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &first);

    put_report(&cluster, &next);
    CU_ASSERT_FALSE(target->draining);
    CU_ASSERT_STRING_EQUAL(target->address, SECOND_ADDRESS);
    cluster_end(&cluster);
}

/* Guards against a late report of the former incarnation that replaces the
 * address and the state of the present one, which answers polls. */
static void
test_late_report_of_former_incarnation_changes_nothing(void)
{
    const struct report former = {FIRST_ADDRESS, FIRST_BOOT_MS, 7, false};
    const struct report present = {SECOND_ADDRESS, SECOND_BOOT_MS, 2, true};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &present);

    poll_and_answer(&cluster, target, CW_TARGET_OK, SECOND_BOOT_MS);
    put_report(&cluster, &former);
    CU_ASSERT_STRING_EQUAL(target->address, SECOND_ADDRESS);
    CU_ASSERT_TRUE(target->draining);
    cluster_end(&cluster);
}

/* Guards against polls that go to an address that the worker has left: it does
 * not answer for a while, and a late report of its former incarnation, which
 * is known to be over, is read. */
static void
test_report_of_incarnation_that_is_over_changes_nothing(void)
{
    const struct report former = {FIRST_ADDRESS, FIRST_BOOT_MS, 7, false};
    const struct report present = {SECOND_ADDRESS, SECOND_BOOT_MS, 2, true};
    const struct report late = {FIRST_ADDRESS, FIRST_BOOT_MS, 8, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &former);

    poll_and_answer(&cluster, target, CW_TARGET_OK, FIRST_BOOT_MS);
    put_report(&cluster, &present);
    poll_and_answer(&cluster, target, CW_TARGET_OK, SECOND_BOOT_MS);
    poll_and_answer(&cluster, target, CW_TARGET_UNKNOWN, 0);
    put_report(&cluster, &late);
    CU_ASSERT_STRING_EQUAL(target->address, SECOND_ADDRESS);
    CU_ASSERT_TRUE(target->draining);
    poll_and_answer(&cluster, target, CW_TARGET_OK, SECOND_BOOT_MS);
    CU_ASSERT_EQUAL(target->unanswered_polls, 0);
    cluster_end(&cluster);
}

/* Guards against a report that is dropped although it is the present one: the
 * worker's clock was set back while it restarted, so that its boot time is the
 * lower one.  A poll decides. */
static void
test_held_report_is_applied_if_its_incarnation_answers(void)
{
    const struct report first = {FIRST_ADDRESS, SECOND_BOOT_MS, 7, true};
    const struct report next = {FIRST_ADDRESS, FIRST_BOOT_MS, 1, false};
    const struct report third = {FIRST_ADDRESS, FIRST_BOOT_MS, 2, true};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &first);

    poll_and_answer(&cluster, target, CW_TARGET_OK, SECOND_BOOT_MS);
    put_report(&cluster, &next);
    CU_ASSERT_TRUE(target->draining);
    poll_and_answer(&cluster, target, CW_TARGET_OK, FIRST_BOOT_MS);
    CU_ASSERT_FALSE(target->draining);
    put_report(&cluster, &third);
    CU_ASSERT_TRUE(target->draining);
    cluster_end(&cluster);
}

/* Guards against a worker that is listed by a held report although its entry
 * has been removed. */
static void
test_held_report_is_dropped_with_its_entry(void)
{
    const struct report first = {FIRST_ADDRESS, SECOND_BOOT_MS, 7, false};
    const struct report late = {FIRST_ADDRESS, FIRST_BOOT_MS, 1, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &first);

    poll_and_answer(&cluster, target, CW_TARGET_OK, SECOND_BOOT_MS);
    (void)run_on(&cluster, target);
    put_report(&cluster, &late);
    remove_report(&cluster);
    poll_and_answer(&cluster, target, CW_TARGET_OK, FIRST_BOOT_MS);
    CU_ASSERT_FALSE(target->listed);
    cluster_end(&cluster);
}

/* Guards against a worker that is never found again: its clock was set back
 * while it restarted, so that its boot time is the lower one. */
static void
test_lower_boot_time_of_silent_worker_is_taken(void)
{
    const struct report first = {FIRST_ADDRESS, SECOND_BOOT_MS, 7, false};
    const struct report next = {SECOND_ADDRESS, FIRST_BOOT_MS, 1, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &first);

    poll_and_answer(&cluster, target, CW_TARGET_OK, SECOND_BOOT_MS);
    poll_and_answer(&cluster, target, CW_TARGET_UNREACHABLE, 0);
    put_report(&cluster, &next);
    poll_and_answer(&cluster, target, CW_TARGET_OK, FIRST_BOOT_MS);
    CU_ASSERT_STRING_EQUAL(target->address, SECOND_ADDRESS);
    CU_ASSERT_EQUAL(target->unanswered_polls, 0);
    cluster_end(&cluster);
}

/* Guards against a worker that is never used again: it restarted after its
 * entry had been removed, with its clock set back, and nothing else is a
 * reason to poll it. */
static void
test_unlisted_worker_with_held_report_is_polled(void)
{
    const struct report first = {FIRST_ADDRESS, SECOND_BOOT_MS, 7, false};
    const struct report next = {FIRST_ADDRESS, FIRST_BOOT_MS, 1, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &first);

    poll_and_answer(&cluster, target, CW_TARGET_OK, SECOND_BOOT_MS);
    remove_report(&cluster);
    put_report(&cluster, &next);
    poll_and_answer(&cluster, target, CW_TARGET_OK, FIRST_BOOT_MS);
    CU_ASSERT_TRUE(target->listed);
    cluster_end(&cluster);
}

/* Guards against the same if the worker restarted at another address: nobody
 * is at the former one, or another worker. */
static void
test_held_report_is_applied_if_former_address_is_left(void)
{
    static const enum cw_target_status answers[] = {
        CW_TARGET_UNREACHABLE, CW_TARGET_OTHER_INCARNATION};
    const struct report first = {FIRST_ADDRESS, SECOND_BOOT_MS, 7, false};
    const struct report next = {SECOND_ADDRESS, FIRST_BOOT_MS, 1, false};

    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        struct cluster cluster;
        struct owner_target *target = begin(&cluster, &first);

        poll_and_answer(&cluster, target, CW_TARGET_OK, SECOND_BOOT_MS);
        put_report(&cluster, &next);
        for (unsigned k = 0; k < FAILED_POLLS; k++) {
            if (strcmp(target->address, FIRST_ADDRESS) == 0 &&
                !target->superseded) {
                poll_and_answer(&cluster, target, answers[i], 0);
            }
        }
        CU_ASSERT_STRING_EQUAL(target->address, SECOND_ADDRESS);
        poll_and_answer(&cluster, target, CW_TARGET_OK, FIRST_BOOT_MS);
        CU_ASSERT_TRUE(owner_target_reachable(target, cluster.clock.now));
        cluster_end(&cluster);
    }
}

/* Guards against a worker that is never used again: its entry returned and was
 * removed again, and then a report was stored late.  As only `seq` differs
 * since, the store's entry does not change any more. */
static void
test_late_report_lists_worker_that_does_not_drain(void)
{
    const struct report last = {FIRST_ADDRESS, 0, 5, false};
    const struct report late = {FIRST_ADDRESS, 0, 4, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &last);

    remove_report(&cluster);
    put_report(&cluster, &late);
    CU_ASSERT_TRUE(target->listed);
    cluster_end(&cluster);
}

/* Guards against LOST: a refusal at a former address that is taken for the
 * proof of a crash once the run's lease is over. */
static void
test_refusal_at_former_address_proves_no_crash(void)
{
    const struct report late = {FIRST_ADDRESS, FIRST_BOOT_MS, 0, false};
    struct cluster cluster;
    struct owner_target *target = begin(&cluster, &late);
    struct owner_job *job = inherit_run(&cluster, target, SECOND_BOOT_MS);

    remove_report(&cluster);
    poll_and_answer(&cluster, target, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_EQUAL(placed(job), 1);
    owner_target_lost(cluster.owner, target,
                      &(struct owner_loss){.reason = "lease_over"});
    poll_and_answer(&cluster, target, CW_TARGET_OTHER_INCARNATION, 0);
    CU_ASSERT_FALSE(target->superseded);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"refusal at a former address proves no crash",
     test_refusal_at_former_address_proves_no_crash},
    {"refusal at a former address ends no run",
     test_refusal_at_former_address_ends_no_run},
    {"refusal at the address of a late report ends no inherited run",
     test_refusal_at_address_of_late_report_ends_no_inherited_run},
    {"refusal away from the last answer ends no run",
     test_refusal_away_from_last_answer_ends_no_run},
    {"overtaken refusal ends no run", test_overtaken_refusal_ends_no_run},
    {"refusal before a restart is not proof",
     test_refusal_before_restart_is_not_proof},
    {"start with an unproved refusal is tried again",
     test_start_with_unproved_refusal_is_tried_again},
    {"refused poll ends runs", test_refused_poll_ends_runs},
    {"refused start ends runs", test_refused_start_ends_runs},
    {"refused poll ends inherited runs",
     test_refused_poll_ends_inherited_runs},
    {"answer after a refusal refutes it",
     test_answer_after_refusal_refutes_it},
    {"answer to an earlier order refutes nothing",
     test_answer_to_earlier_order_refutes_nothing},
    {"worker at a new address is polled",
     test_worker_at_new_address_is_polled},
    {"report with a lower number changes nothing",
     test_report_with_lower_number_changes_nothing},
    {"report with a lower number lists no worker",
     test_report_with_lower_number_lists_no_worker},
    {"reloaded report keeps a worker listed",
     test_reloaded_report_keeps_worker_listed},
    {"numbers begin anew with each incarnation",
     test_numbers_begin_anew_with_each_incarnation},
    {"late report of a former incarnation changes nothing",
     test_late_report_of_former_incarnation_changes_nothing},
    {"report of an incarnation that is over changes nothing",
     test_report_of_incarnation_that_is_over_changes_nothing},
    {"held report is applied if its incarnation answers",
     test_held_report_is_applied_if_its_incarnation_answers},
    {"held report is dropped with its entry",
     test_held_report_is_dropped_with_its_entry},
    {"lower boot time of a silent worker is taken",
     test_lower_boot_time_of_silent_worker_is_taken},
    {"unlisted worker with a held report is polled",
     test_unlisted_worker_with_held_report_is_polled},
    {"held report is applied if the former address is left",
     test_held_report_is_applied_if_former_address_is_left},
    {"late report lists a worker that does not drain",
     test_late_report_lists_worker_that_does_not_drain},
};

TEST_MAIN("addresses", tests)

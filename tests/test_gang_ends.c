/* Ends of gang members that prove that the run of another member is over. */
#include "test_main.h"

#include "owner_fixture.h"

enum {
    MEMBERS = 3,
    SILENT = 2, /* the member whose worker does not answer */
    BOOT_MS = 1000,
    NEXT_BOOT_MS = 2000
};

static const struct cw_step_spec gang_of_three = {
    .tasks = MEMBERS, .accelerators = ACCELERATORS, .gang = true};

/* A gang whose members run on a worker each. */
struct gang {
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *workers[MEMBERS];
    unsigned ends[MEMBERS]; /* numbers of the last ends that they listed */
};

static struct owner_task *
task_of(const struct gang *gang, unsigned member)
{
    return &step_of(gang->job)->tasks[member];
}

static struct owner_run *
run_of(const struct gang *gang, unsigned member)
{
    return task_of(gang, member)->run;
}

static void
wait_ms(struct gang *gang, unsigned ms)
{
    gang->cluster.clock.now = cw_time_add_ms(gang->cluster.clock.now, ms);
    gang->cluster.owner->ownership_confirmed_at = gang->cluster.clock.now;
}

/* Sends the start of a member's run, without an answer yet. */
static void
send_start(struct gang *gang, unsigned member)
{
    struct owner_run *run = run_of(gang, member);
    struct cw_task_name name = owner_task_name(run->task);

    run->phase = RUN_READY;
    owner_order_queue(gang->cluster.owner, run->target, CW_ORDER_START, &name,
                      run->number);
    owner_orders_send(gang->cluster.owner, run->target,
                      gang->cluster.clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_START);
}

static void
gang_place(struct gang *gang, const struct cw_step_spec *spec)
{
    memset(gang, 0, sizeof(*gang));
    cluster_begin(&gang->cluster);
    gang->job = add_job(&gang->cluster, 1, spec);
    pass(&gang->cluster, 10);
}

static void
gang_end(struct gang *gang)
{
    cluster_end(&gang->cluster);
}

static void
send_poll_to(struct gang *gang, struct owner_target *target)
{
    target->poll_due = gang->cluster.clock.now;
    owner_poll_tick(gang->cluster.owner, target, gang->cluster.clock.now);
    CU_ASSERT_TRUE_FATAL(target->poll_in_flight);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_POLL);
}

static void
become_silent(struct gang *gang, unsigned member)
{
    send_poll_to(gang, gang->workers[member]);
    answer_last(CW_TARGET_UNKNOWN);
    CU_ASSERT_TRUE(gang->workers[member]->unanswered_polls > 0);
}

static struct cw_ended
end_of(struct gang *gang, unsigned member, unsigned run, enum cw_end_kind how)
{
    struct cw_ended ended = {
        .number = ++gang->ends[member],
        .task = {.job = gang->job->spec->id, .index = member},
        .run = run,
        .how = how,
        .saved = ""};

    return ended;
}

/* Answers the last poll, which was sent to the member's worker, with an end or
 * the running member. */
static void
answer_poll(struct gang *gang, unsigned member, const struct cw_ended *ended,
            unsigned running)
{
    struct cw_running row = {
        .task = {.job = gang->job->spec->id, .index = member},
        .run = running,
        .saved = ""};
    const struct cw_target_answer answer = {.status = CW_TARGET_OK,
                                            .clock_ms = WORKER_CLOCK_MS,
                                            .boot_ms = BOOT_MS,
                                            .running = &row,
                                            .running_count = running > 0,
                                            .ended = ended,
                                            .ended_count = ended != NULL};
    struct cw_target_order order = last_order;

    CU_ASSERT_EQUAL_FATAL(order.kind, CW_ORDER_POLL);
    g_array_set_size(unanswered, unanswered->len - 1);
    order.done(order.context, &answer);
}

/* The ends that the worker has listed are stored and confirmed to it. */
static void
store_ends(struct owner_target *target)
{
    target->incarnation.ends_in_batch = target->incarnation.ends_applied;
    target->incarnation.ends_durable = target->incarnation.ends_applied;
    target->incarnation.ends_confirmed = target->incarnation.ends_applied;
}

/* The member's worker lists an end in the answer to a poll, beside the
 * member's present run. */
static void
list_end(struct gang *gang, unsigned member, unsigned run,
         enum cw_end_kind how)
{
    struct cw_ended ended = end_of(gang, member, run, how);
    const struct owner_run *present = run_of(gang, member);
    bool lists_present = present != NULL && present->number != run &&
                         present->target == gang->workers[member];

    send_poll_to(gang, gang->workers[member]);
    answer_poll(gang, member, &ended, lists_present ? present->number : 0);
    store_ends(gang->workers[member]);
}

static void
list_running(struct gang *gang, unsigned member, unsigned run)
{
    send_poll_to(gang, gang->workers[member]);
    answer_poll(gang, member, NULL, run);
}

/* Starts all members, after a placement pass. */
static void
start_members(struct gang *gang)
{
    for (unsigned i = 0; i < MEMBERS; i++) {
        CU_ASSERT_PTR_NOT_NULL_FATAL(run_of(gang, i));
        gang->workers[i] = run_of(gang, i)->target;
        send_start(gang, i);
        answer_last(CW_TARGET_OK);
        CU_ASSERT_EQUAL(run_of(gang, i)->phase, RUN_RUNNING);
    }
    wait_ms(gang, 10);
    for (unsigned i = 0; i < MEMBERS; i++) {
        list_running(gang, i, run_of(gang, i)->number);
    }
    wait_ms(gang, 10);
}

static void
gang_begin(struct gang *gang)
{
    gang_place(gang, &gang_of_three);
    start_members(gang);
}

/* All members but one are heard to be broken. */
static void
break_others(struct gang *gang)
{
    for (unsigned i = 0; i < MEMBERS; i++) {
        if (i != SILENT) {
            list_end(gang, i, 1, CW_END_KIND_GANG_BROKEN);
        }
    }
}

/* True if the gang is placed a second time by the next pass. */
static bool
placed_again(struct gang *gang)
{
    pass(&gang->cluster, 10);
    for (unsigned i = 0; i < MEMBERS; i++) {
        if (run_of(gang, i) == NULL || run_of(gang, i)->number != 2) {
            return false;
        }
    }
    return true;
}

/* ---- proof ---- */

/* Guards against a gang that waits for the lease of a silent worker although
 * the ends of its other members prove that its run there is over. */
static void
test_gang_with_one_unheard_member_is_placed_at_once(void)
{
    struct gang gang;

    gang_begin(&gang);
    become_silent(&gang, SILENT);
    break_others(&gang);
    CU_ASSERT_TRUE(placed_again(&gang));
    CU_ASSERT_TRUE(cw_time_before(gang.cluster.clock.now,
                                  gang.workers[SILENT]->lease_end));
    for (unsigned i = 0; i < MEMBERS; i++) {
        CU_ASSERT_PTR_NOT_EQUAL(worker_of(gang.job, i), gang.workers[SILENT]);
    }
    gang_end(&gang);
}

/* The worker becomes silent after the ends were heard. */
static void
test_gang_is_placed_once_worker_is_silent(void)
{
    struct gang gang;

    gang_begin(&gang);
    break_others(&gang);
    CU_ASSERT_FALSE(placed_again(&gang));
    CU_ASSERT_PTR_NOT_NULL(run_of(&gang, SILENT));
    become_silent(&gang, SILENT);
    CU_ASSERT_TRUE(placed_again(&gang));
    gang_end(&gang);
}

/* Stops are sent to the other members once one has ended. */
static void
test_stops_after_first_end_change_nothing(void)
{
    struct gang gang;

    gang_begin(&gang);
    list_end(&gang, 0, 1, CW_END_KIND_GANG_BROKEN);
    CU_ASSERT_TRUE(run_of(&gang, SILENT)->stopping);
    owner_orders_send(gang.cluster.owner, gang.workers[SILENT],
                      gang.cluster.clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_STOP);
    answer_last(CW_TARGET_UNKNOWN);
    become_silent(&gang, SILENT);
    list_end(&gang, 1, 1, CW_END_KIND_GANG_BROKEN);
    CU_ASSERT_TRUE(placed_again(&gang));
    gang_end(&gang);
}

/* ---- no proof ---- */

/* Breaks the other members, and checks that the gang waits for the silent
 * worker until its lease is over. */
static void
check_waits_for_lease(struct gang *gang)
{
    struct owner_target *target = gang->workers[SILENT];
    unsigned run = run_of(gang, SILENT)->number;

    become_silent(gang, SILENT);
    CU_ASSERT_FALSE(placed_again(gang));
    CU_ASSERT_PTR_NOT_NULL_FATAL(run_of(gang, SILENT));
    CU_ASSERT_EQUAL(run_of(gang, SILENT)->number, run);
    gang->cluster.clock.now = cw_time_add_ms(target->lease_end, 1);
    wait_ms(gang, 0);
    target->poll_in_flight = true; /* nothing but the lease is checked */
    owner_poll_tick(gang->cluster.owner, target, gang->cluster.clock.now);
    target->poll_in_flight = false;
    CU_ASSERT_PTR_NULL(run_of(gang, SILENT));
}

static void
test_two_unheard_members_prove_nothing(void)
{
    struct gang gang;

    gang_begin(&gang);
    list_end(&gang, 0, 1, CW_END_KIND_GANG_BROKEN);
    become_silent(&gang, 1);
    become_silent(&gang, SILENT);
    CU_ASSERT_EQUAL(step_of(gang.job)->runs, 2);
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

/* Applies a report of a worker like this one under an id and an address. */
static void
report(struct gang *gang, const struct owner_target *like, const char *id,
       const char *address)
{
    const struct cw_target_report report = {.id = id,
                                            .service = like->service,
                                            .address = address,
                                            .dc = like->dc,
                                            .rack = like->rack,
                                            .kind = like->kind,
                                            .capacity = like->capacity};

    owner_target_apply_report(gang->cluster.owner, &report);
}

/* Guards against a gang that is started while a member may be at work: its
 * silent worker is removed from the list, another one is listed at its
 * address and refuses a poll there, and the worker has told another address.
 */
static void
test_reports_of_silent_worker_prove_nothing(void)
{
    struct gang gang;
    struct owner_target *target;
    char *former;

    gang_begin(&gang);
    target = gang.workers[SILENT];
    former = g_strdup(target->address);
    list_end(&gang, 0, 1, CW_END_KIND_GANG_BROKEN);
    become_silent(&gang, 1);
    become_silent(&gang, SILENT);
    owner_targets_reset(gang.cluster.owner);
    owner_targets_loaded(gang.cluster.owner);
    CU_ASSERT_FALSE(target->listed);
    report(&gang, target, "next", former);
    CU_ASSERT_FALSE(placed_again(&gang));
    send_poll_to(&gang, target);
    report(&gang, target, target->id, "10.0.0.9:80");
    answer_last(CW_TARGET_OTHER_INCARNATION);
    CU_ASSERT_FALSE(placed_again(&gang));
    CU_ASSERT_PTR_NOT_NULL(run_of(&gang, SILENT));
    g_free(former);
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

/* Another member may have been the first to end. */
static void
test_other_kinds_of_ends_prove_nothing(void)
{
    static const enum cw_end_kind kinds[] = {
        CW_END_KIND_FAILED, CW_END_KIND_STOPPED, CW_END_KIND_LEASE_EXPIRED,
        CW_END_KIND_GANG_INCOMPLETE};

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct gang gang;

        gang_begin(&gang);
        list_end(&gang, 0, 1, kinds[i]);
        list_end(&gang, 1, 1, CW_END_KIND_GANG_BROKEN);
        check_waits_for_lease(&gang);
        gang_end(&gang);
    }
}

/* The end of a member that is not listed any more was confirmed to its worker
 * by another owner, or was lost with the worker. */
static void
test_lost_member_proves_nothing(void)
{
    struct gang gang;

    gang_begin(&gang);
    list_end(&gang, 0, 1, CW_END_KIND_GANG_BROKEN);
    list_running(&gang, 1, 0);
    CU_ASSERT_PTR_NULL(run_of(&gang, 1));
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

/* The other members of the first run ended as broken; those of the second end
 * in another way, and ends of the first are listed again. */
static void
test_ends_of_earlier_run_prove_nothing(void)
{
    static const enum cw_end_kind kinds[] = {CW_END_KIND_GANG_BROKEN,
                                             CW_END_KIND_STOPPED};

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct gang gang;

        gang_begin(&gang);
        ((struct cw_work_spec *)gang.job->spec)->max_attempts = 9;
        become_silent(&gang, SILENT);
        break_others(&gang);
        CU_ASSERT_TRUE(placed_again(&gang));
        start_members(&gang);
        list_end(&gang, 0, 1, CW_END_KIND_GANG_BROKEN);
        list_end(&gang, 1, 1, CW_END_KIND_GANG_BROKEN);
        list_end(&gang, 0, 2, CW_END_KIND_STOPPED);
        list_end(&gang, 1, 2, kinds[i]);
        check_waits_for_lease(&gang);
        gang_end(&gang);
    }
}

/* Guards against a task that runs twice as its stop takes effect later than
 * the ends that it causes. */
static void
test_gang_being_stopped_proves_nothing(void)
{
    struct gang gang;

    gang_begin(&gang);
    owner_run_evict(gang.cluster.owner, run_of(&gang, 0));
    break_others(&gang);
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

/* Guards against a task that runs twice as its start is carried out after the
 * other members have ended. */
static void
test_unconfirmed_start_proves_nothing(void)
{
    struct gang gang;

    gang_place(&gang, &gang_of_three);
    for (unsigned i = 0; i < MEMBERS; i++) {
        gang.workers[i] = run_of(&gang, i)->target;
        send_start(&gang, i);
        if (i != SILENT) {
            answer_last(CW_TARGET_OK);
        }
    }
    wait_ms(&gang, 10);
    list_running(&gang, 0, 1);
    list_running(&gang, 1, 1);
    break_others(&gang);
    CU_ASSERT_EQUAL(run_of(&gang, SILENT)->phase, RUN_STARTING);
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

/* Sends a member's start again after one without an answer. */
static void
check_start_sent_twice_proves_nothing(unsigned member)
{
    struct gang gang;

    gang_place(&gang, &gang_of_three);
    for (unsigned i = 0; i < MEMBERS; i++) {
        gang.workers[i] = run_of(&gang, i)->target;
        send_start(&gang, i);
        if (i == member) {
            answer_last(CW_TARGET_UNKNOWN);
            wait_ms(&gang, 600);
            owner_orders_send(gang.cluster.owner, gang.workers[i],
                              gang.cluster.clock.now);
            CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_START);
        }
        answer_last(CW_TARGET_OK);
    }
    wait_ms(&gang, 10);
    for (unsigned i = 0; i < MEMBERS; i++) {
        list_running(&gang, i, 1);
    }
    wait_ms(&gang, 10);
    break_others(&gang);
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

/* Guards against a task that runs twice as the next incarnation of its worker
 * carries out a start that was sent twice. */
static void
test_start_sent_twice_proves_nothing(void)
{
    check_start_sent_twice_proves_nothing(SILENT);
    check_start_sent_twice_proves_nothing(0);
}

/* Begins a gang whose last member's start is confirmed after this time, and
 * whose worker has not listed it yet. */
static void
begin_unlisted(struct gang *gang, unsigned confirmed_after_ms)
{
    gang_place(gang, &gang_of_three);
    for (unsigned i = 0; i < MEMBERS; i++) {
        gang->workers[i] = run_of(gang, i)->target;
        send_start(gang, i);
        wait_ms(gang, i == SILENT ? confirmed_after_ms : 10);
        answer_last(CW_TARGET_OK);
    }
    wait_ms(gang, 10);
    list_running(gang, 0, 1);
    list_running(gang, 1, 1);
    break_others(gang);
}

/* The start may have reached the worker's next incarnation. */
static void
test_start_confirmed_late_proves_nothing(void)
{
    struct gang gang;

    begin_unlisted(&gang, 400);
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

static void
test_run_need_not_have_been_listed(void)
{
    struct gang gang;

    begin_unlisted(&gang, 10);
    become_silent(&gang, SILENT);
    CU_ASSERT_TRUE(placed_again(&gang));
    gang_end(&gang);
}

/* An earlier owner may have sent a start more than once. */
static void
test_inherited_runs_prove_nothing(void)
{
    for (unsigned member = 0; member <= SILENT; member += SILENT) {
        struct gang gang;
        struct owner_run *run;

        gang_begin(&gang);
        run = run_of(&gang, member);
        run->phase = RUN_INHERITED;
        run->starts_sent = 0;
        list_running(&gang, member, 1);
        CU_ASSERT_EQUAL(run->phase, RUN_RUNNING);
        wait_ms(&gang, 10);
        break_others(&gang);
        check_waits_for_lease(&gang);
        gang_end(&gang);
    }
}

/* The run continues according to its worker. */
static void
test_run_listed_after_ends_is_not_over(void)
{
    struct gang gang;

    gang_begin(&gang);
    break_others(&gang);
    list_running(&gang, SILENT, 1);
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

/* The list was made before the ends, and is received after them. */
static void
test_list_requested_before_ends_is_no_objection(void)
{
    struct gang gang;
    struct cw_target_order poll;

    gang_begin(&gang);
    send_poll_to(&gang, gang.workers[SILENT]);
    poll = last_order;
    g_array_set_size(unanswered, unanswered->len - 1);
    wait_ms(&gang, 10);
    break_others(&gang);
    g_array_append_val(unanswered, poll);
    last_order = poll;
    answer_poll(&gang, SILENT, NULL, 1);
    CU_ASSERT_FALSE(placed_again(&gang));
    become_silent(&gang, SILENT);
    CU_ASSERT_TRUE(placed_again(&gang));
    gang_end(&gang);
}

/* The worker of the unheard member has listed another one's end, and not the
 * unheard one's. */
static void
test_end_listed_by_same_worker_proves_nothing(void)
{
    struct gang gang;
    struct owner_target *target;
    struct cw_ended ended;

    gang_begin(&gang);
    target = gang.workers[SILENT];
    g_ptr_array_remove_fast(gang.workers[1]->runs, run_of(&gang, 1));
    run_of(&gang, 1)->target = target;
    g_ptr_array_add(target->runs, run_of(&gang, 1));
    gang.workers[1] = target;
    list_end(&gang, 0, 1, CW_END_KIND_GANG_BROKEN);
    ended = end_of(&gang, 1, 1, CW_END_KIND_GANG_BROKEN);
    owner_run_ended(gang.cluster.owner, target, &ended);
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

/* The silent worker has started again, and the run is listed by its next
 * incarnation. */
static void
test_run_of_next_incarnation_is_not_over(void)
{
    struct gang gang;

    gang_begin(&gang);
    run_of(&gang, SILENT)->boot_ms = NEXT_BOOT_MS;
    list_running(&gang, SILENT, 1);
    wait_ms(&gang, 10);
    break_others(&gang);
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

/* The end of another member is that of a later incarnation of its worker. */
static void
test_end_in_next_incarnation_proves_nothing(void)
{
    struct gang gang;

    gang_begin(&gang);
    run_of(&gang, 0)->boot_ms = NEXT_BOOT_MS;
    break_others(&gang);
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

static void
test_run_of_ended_job_waits_for_lease(void)
{
    struct gang gang;

    gang_begin(&gang);
    gang.job->phase = CW_WORK_CANCELLED;
    break_others(&gang);
    check_waits_for_lease(&gang);
    gang_end(&gang);
}

/* An at-most-once job ends with the first end of a member. */
static void
test_at_most_once_job_is_unaffected(void)
{
    struct gang gang;

    gang_begin(&gang);
    ((struct cw_work_spec *)gang.job->spec)->once = true;
    break_others(&gang);
    CU_ASSERT_EQUAL(gang.job->phase, CW_WORK_LOST);
    check_waits_for_lease(&gang);
    pass(&gang.cluster, 10);
    CU_ASSERT_EQUAL(placed(gang.job), 0);
    gang_end(&gang);
}

/* ---- what the silent worker says later ---- */

static void
place_again(struct gang *gang)
{
    struct owner_target *target;

    gang_begin(gang);
    become_silent(gang, SILENT);
    break_others(gang);
    CU_ASSERT_TRUE(placed_again(gang));
    target = gang->workers[SILENT];
    start_members(gang);
    gang->workers[SILENT] = target; /* the worker that was silent */
}

/* All members would have ended as done: this contradicts the other ends. */
static void
test_late_result_is_accepted(void)
{
    struct gang gang;

    place_again(&gang);
    list_end(&gang, SILENT, 1, CW_END_KIND_DONE);
    CU_ASSERT_EQUAL(gang.job->phase, CW_WORK_COMPLETED);
    CU_ASSERT_TRUE(run_of(&gang, 0)->stopping);
    gang_end(&gang);
}

/* A list that was made before the end is received late. */
static void
test_orphan_is_stopped(void)
{
    struct gang gang;
    const struct owner_order *stop;

    place_again(&gang);
    list_running(&gang, SILENT, 1);
    stop = g_queue_peek_head(&gang.workers[SILENT]->orders);
    CU_ASSERT_PTR_NOT_NULL_FATAL(stop);
    CU_ASSERT_EQUAL(stop->kind, CW_ORDER_STOP);
    CU_ASSERT_EQUAL(stop->run, 1);
    CU_ASSERT_TRUE(gang.workers[SILENT]->orphans.accelerators > 0);
    for (unsigned i = 0; i < MEMBERS; i++) {
        CU_ASSERT_FALSE(run_of(&gang, i)->stopping);
    }
    gang_end(&gang);
}

/* Guards against a task that is started more often than its attempts allow, as
 * the failure that ended its first run was not counted. */
static void
test_late_failure_counts(void)
{
    struct gang gang;

    place_again(&gang);
    list_end(&gang, SILENT, 1, CW_END_KIND_FAILED);
    CU_ASSERT_EQUAL(step_of(gang.job)->failures, 1);
    CU_ASSERT_FALSE(cw_work_is_over(gang.job->phase));
    list_end(&gang, 0, 2, CW_END_KIND_FAILED);
    CU_ASSERT_EQUAL(gang.job->phase, CW_WORK_FAILED);
    gang_end(&gang);
}

static void
test_late_end_of_other_kind_is_no_failure(void)
{
    struct gang gang;

    place_again(&gang);
    list_end(&gang, SILENT, 1, CW_END_KIND_STOPPED);
    list_end(&gang, 0, 2, CW_END_KIND_FAILED);
    CU_ASSERT_EQUAL(step_of(gang.job)->failures, 1);
    CU_ASSERT_FALSE(
        owner_gang_ends_delay(step_of(gang.job), gang.cluster.clock.now));
    gang_end(&gang);
}

/* The worker's lease has lapsed before it lists the end, as for a run that is
 * given up at the end of the lease. */
static void
test_failure_after_lease_does_not_count(void)
{
    struct gang gang;

    place_again(&gang);
    gang.cluster.clock.now =
        cw_time_add_ms(gang.workers[SILENT]->lease_end, 1);
    wait_ms(&gang, 0);
    list_end(&gang, SILENT, 1, CW_END_KIND_FAILED);
    CU_ASSERT_EQUAL(step_of(gang.job)->failures, 0);
    gang_end(&gang);
}

/* The end that was not heard may have been the gang's last attempt. */
static void
test_last_attempt_waits_for_lease(void)
{
    struct gang gang;

    gang_begin(&gang);
    step_of(gang.job)->failures = 1;
    break_others(&gang);
    check_waits_for_lease(&gang);
    CU_ASSERT_TRUE(placed_again(&gang));
    gang_end(&gang);
}

/* After the next run has failed, the end that was not heard may have been a
 * failure as well. */
static void
test_gang_waits_for_unheard_end_before_last_attempt(void)
{
    struct gang gang;
    struct owner_target *target;

    place_again(&gang);
    target = gang.workers[SILENT];
    list_end(&gang, 0, 2, CW_END_KIND_FAILED);
    list_end(&gang, 1, 2, CW_END_KIND_GANG_BROKEN);
    gang.workers[SILENT] = run_of(&gang, SILENT)->target;
    gang.ends[SILENT] = 0;
    list_end(&gang, SILENT, 2, CW_END_KIND_GANG_BROKEN);
    pass(&gang.cluster, 10);
    CU_ASSERT_FALSE(cw_work_is_over(gang.job->phase));
    CU_ASSERT_EQUAL(placed(gang.job), 0);
    gang.cluster.clock.now = cw_time_add_ms(target->lease_end, 1);
    pass(&gang.cluster, 0);
    CU_ASSERT_EQUAL(placed(gang.job), MEMBERS);
    gang_end(&gang);
}

/* The gang waits for no end that can't be listed any more. */
static void
test_unheard_end_is_awaited_until_worker_lists_its_ends(void)
{
    struct gang gang;
    struct owner_target *target;
    struct timespec before;

    gang_begin(&gang);
    before = cw_time_add_ms(gang.cluster.clock.now, -1);
    become_silent(&gang, SILENT);
    break_others(&gang);
    target = gang.workers[SILENT];
    owner_gang_ends_all_listed(target, before); /* a list of before the end */
    CU_ASSERT_EQUAL(task_of(&gang, SILENT)->unheard_run, 1);
    wait_ms(&gang, 10);
    list_running(&gang, SILENT, 0);
    CU_ASSERT_EQUAL(task_of(&gang, SILENT)->unheard_run, 0);
    gang_end(&gang);
}

static void
test_unheard_end_is_awaited_until_lease_is_over(void)
{
    struct gang gang;
    struct owner_target *target;
    struct timespec next;

    place_again(&gang);
    target = gang.workers[SILENT];
    next = owner_gang_ends_tick(target, gang.cluster.clock.now);
    CU_ASSERT_EQUAL(cw_time_diff_ms(next, target->lease_end), 0);
    gang.cluster.owner->ends_awaited_until = gang.cluster.clock.now;
    owner_gang_ends_check_inherited(gang.cluster.owner,
                                    gang.cluster.clock.now);
    CU_ASSERT_EQUAL(task_of(&gang, SILENT)->unheard_run, 1);
    gang.job->dirty = false;
    (void)owner_gang_ends_tick(target, target->lease_end);
    CU_ASSERT_EQUAL(task_of(&gang, SILENT)->unheard_run, 0);
    CU_ASSERT_TRUE(gang.job->dirty);
    gang_end(&gang);
}

/* Guards against an attempt that a takeover forgets. */
static void
test_unheard_end_is_stored(void)
{
    struct gang gang;
    GByteArray *bytes;

    place_again(&gang);
    for (unsigned i = 0; i < MEMBERS; i++) {
        owner_run_drop(gang.cluster.owner, run_of(&gang, i));
    }
    step_of(gang.job)->failures = 1;
    bytes = owner_job_encode(gang.job, cw_store_value_bytes_max(0));
    g_ptr_array_set_size(gang.job->open, 0);
    CU_ASSERT_TRUE_FATAL(owner_job_restore(gang.cluster.owner, gang.job,
                                           g_byte_array_free_to_bytes(bytes)));
    CU_ASSERT_EQUAL(task_of(&gang, 0)->unheard_run, 0);
    CU_ASSERT_EQUAL(task_of(&gang, SILENT)->unheard_run, 1);
    pass(&gang.cluster, 10);
    CU_ASSERT_EQUAL(placed(gang.job), 0);
    list_end(&gang, SILENT, 1, CW_END_KIND_FAILED);
    CU_ASSERT_EQUAL(step_of(gang.job)->failures, 2);
    CU_ASSERT_EQUAL(gang.job->phase, CW_WORK_FAILED);
    gang_end(&gang);
}

/* An earlier owner's leases are over at some time after a takeover. */
static void
test_inherited_unheard_end_is_awaited_for_limited_time(void)
{
    struct gang gang;

    gang_place(&gang, &gang_of_three);
    for (unsigned i = 0; i < MEMBERS; i++) {
        owner_run_drop(gang.cluster.owner, run_of(&gang, i));
    }
    step_of(gang.job)->failures = 1;
    owner_gang_ends_restore(gang.cluster.owner, task_of(&gang, SILENT), 1);
    pass(&gang.cluster, 10);
    CU_ASSERT_EQUAL(placed(gang.job), 0);
    wait_ms(&gang, 17000);
    owner_gang_ends_check_inherited(gang.cluster.owner,
                                    gang.cluster.clock.now);
    CU_ASSERT_EQUAL(task_of(&gang, SILENT)->unheard_run, 0);
    for (unsigned i = 0; i < RACKS * PER_RACK; i++) {
        char name[16];
        struct owner_target *target;

        g_snprintf(name, sizeof(name), "w%02u", i);
        target = owner_target_get(gang.cluster.owner, name);
        target->incarnation.clock_at = gang.cluster.clock.now;
        target->avoid_until = gang.cluster.clock.now;
    }
    pass(&gang.cluster, 10);
    CU_ASSERT_EQUAL(placed(gang.job), MEMBERS);
    gang_end(&gang);
}

/* Guards against a member that crashes one worker after the other without
 * becoming a suspect. */
static void
test_crash_of_silent_worker_is_suspected(void)
{
    struct gang gang;
    struct cw_target_answer restarted = {.status = CW_TARGET_OK,
                                         .clock_ms = WORKER_CLOCK_MS,
                                         .boot_ms = NEXT_BOOT_MS};

    place_again(&gang);
    CU_ASSERT_TRUE(task_of(&gang, SILENT)->suspicion > 0);
    send_poll_to(&gang, gang.workers[SILENT]);
    answer_last(CW_TARGET_UNKNOWN);
    wait_ms(&gang, 1000);
    send_poll_to(&gang, gang.workers[SILENT]);
    g_array_set_size(unanswered, unanswered->len - 1);
    last_order.done(last_order.context, &restarted);
    CU_ASSERT_EQUAL(gang.workers[SILENT]->pending_suspicions->len, 0);
    CU_ASSERT_TRUE(task_of(&gang, SILENT)->suspicion > 0);
    CU_ASSERT_EQUAL(task_of(&gang, 0)->suspicion, 0);
    gang_end(&gang);
}

static void
crash_worker_of(struct gang *gang, unsigned member)
{
    gang->workers[member]->superseded = true;
    owner_target_lost(gang->cluster.owner, gang->workers[member],
                      &(struct owner_loss){.reason = "other_life"});
}

/* Guards against a job that is given up as workers crash on which its members
 * had ended before: with the first one, whose worker had crashed. */
static void
test_only_one_crash_is_caused_by_run_of_gang(void)
{
    struct gang gang;

    gang_begin(&gang);
    crash_worker_of(&gang, 0);
    crash_worker_of(&gang, 1);
    CU_ASSERT_EQUAL(task_of(&gang, 0)->suspicion, 6);
    CU_ASSERT_EQUAL(task_of(&gang, 1)->suspicion, 3);
    gang_end(&gang);

    gang_begin(&gang);
    list_end(&gang, 0, 1, CW_END_KIND_GANG_BROKEN);
    crash_worker_of(&gang, SILENT);
    CU_ASSERT_EQUAL(task_of(&gang, SILENT)->suspicion, 3);
    gang_end(&gang);
}

/* Guards against a member that crashes its workers and is not given up: on
 * 6 workers, as another member was on the worker (emulator: seed 950083,
 * --crashing 5). */
static void
test_members_on_one_worker_are_suspected(void)
{
    static const struct cw_step_spec gang_on_two = {
        .tasks = MEMBERS, .accelerators = ACCELERATORS / 2, .gang = true};
    struct gang gang;

    gang_place(&gang, &gang_on_two);
    confirm_starts(&gang.cluster, gang.job);
    wait_ms(&gang, 10);
    for (unsigned i = 0; i < MEMBERS; i++) {
        gang.workers[i] = run_of(&gang, i)->target;
    }
    CU_ASSERT_PTR_EQUAL_FATAL(gang.workers[0], gang.workers[1]);
    CU_ASSERT_PTR_NOT_EQUAL_FATAL(gang.workers[0], gang.workers[SILENT]);
    list_end(&gang, SILENT, 1, CW_END_KIND_GANG_BROKEN);
    crash_worker_of(&gang, 0);
    CU_ASSERT_EQUAL(task_of(&gang, 0)->suspicion, 6);
    CU_ASSERT_EQUAL(task_of(&gang, 1)->suspicion, 6);
    gang_end(&gang);
}

/* Guards against a member that crashes its workers and is not given up. */
static void
test_first_member_to_end_is_suspected(void)
{
    struct gang gang;

    gang_begin(&gang);
    break_others(&gang);
    crash_worker_of(&gang, SILENT);
    CU_ASSERT_EQUAL(task_of(&gang, SILENT)->suspicion, 6);
    CU_ASSERT_TRUE(placed_again(&gang));
    start_members(&gang);
    crash_worker_of(&gang, 0);
    CU_ASSERT_EQUAL(task_of(&gang, 0)->suspicion, 6);
    gang_end(&gang);
}

/* ---- several members fail in one run ---- */

/* Applies a member's failure in a run. */
static void
fail_member(struct gang *gang, unsigned member, unsigned run)
{
    struct cw_ended ended = end_of(gang, member, run, CW_END_KIND_FAILED);
    struct owner_target *target = gang->workers[member];

    if (run_of(gang, member) != NULL) {
        target = run_of(gang, member)->target;
    }
    owner_run_ended(gang->cluster.owner, target, &ended);
}

/* Replaces the owner by one that has read the state of the job. */
static void
take_over_gang(struct gang *gang)
{
    GByteArray *state =
        owner_job_encode(gang->job, cw_store_value_bytes_max(0));

    cluster_end(&gang->cluster);
    cluster_begin(&gang->cluster);
    gang->job = restore_job(&gang->cluster, 1, &gang_of_three, state);
    g_byte_array_unref(state);
}

/* Guards against LOST: a job shown as failed with an attempt left, as a second
 * member's failure in one run was counted again by the next owner. */
static void
test_failure_of_run_counts_once_across_takeovers(void)
{
    struct gang gang;

    gang_begin(&gang);
    fail_member(&gang, 0, 1);
    for (unsigned i = 1; i < MEMBERS; i++) {
        take_over_gang(&gang);
        fail_member(&gang, i, 1);
        CU_ASSERT_EQUAL(step_of(gang.job)->failures, 1);
        CU_ASSERT_FALSE(cw_work_is_over(gang.job->phase));
    }
    CU_ASSERT_TRUE(placed_again(&gang));
    gang_end(&gang);
}

/* Guards against BUDGET: a gang that fails in two runs, and is started a third
 * time as the next owner took a failure for one that was counted. */
static void
test_second_failed_run_ends_job_across_takeovers(void)
{
    struct gang gang;

    gang_begin(&gang);
    fail_member(&gang, 0, 1);
    take_over_gang(&gang);
    fail_member(&gang, 1, 1);
    fail_member(&gang, 2, 1);
    CU_ASSERT_TRUE(placed_again(&gang));
    set_running(&gang.cluster, gang.job);
    take_over_gang(&gang);
    CU_ASSERT_FALSE(cw_work_is_over(gang.job->phase));
    fail_member(&gang, 1, 2);
    CU_ASSERT_EQUAL(step_of(gang.job)->failures, 2);
    CU_ASSERT_EQUAL(gang.job->phase, CW_WORK_FAILED);
    gang_end(&gang);
}

/* Guards against LOST: after the late end of an earlier run, a second member's
 * failure in the present run was counted again. */
static void
test_late_failure_of_earlier_run_recounts_no_later_one(void)
{
    struct gang gang;

    gang_begin(&gang);
    ((struct cw_work_spec *)gang.job->spec)->max_attempts = 3;
    become_silent(&gang, SILENT);
    break_others(&gang);
    CU_ASSERT_TRUE(placed_again(&gang));
    set_running(&gang.cluster, gang.job);
    fail_member(&gang, 0, 2);
    CU_ASSERT_EQUAL(step_of(gang.job)->failures, 1);
    list_end(&gang, SILENT, 1, CW_END_KIND_FAILED);
    CU_ASSERT_EQUAL(step_of(gang.job)->failures, 2);
    fail_member(&gang, 1, 2);
    CU_ASSERT_EQUAL(step_of(gang.job)->failures, 2);
    CU_ASSERT_FALSE(cw_work_is_over(gang.job->phase));
    gang_end(&gang);
}

static const struct test tests[] = {
    {"one unheard", test_gang_with_one_unheard_member_is_placed_at_once},
    {"silent later", test_gang_is_placed_once_worker_is_silent},
    {"stops after", test_stops_after_first_end_change_nothing},
    {"two unheard", test_two_unheard_members_prove_nothing},
    {"reports", test_reports_of_silent_worker_prove_nothing},
    {"other ends", test_other_kinds_of_ends_prove_nothing},
    {"lost member", test_lost_member_proves_nothing},
    {"earlier run", test_ends_of_earlier_run_prove_nothing},
    {"being stopped", test_gang_being_stopped_proves_nothing},
    {"unconfirmed", test_unconfirmed_start_proves_nothing},
    {"sent twice", test_start_sent_twice_proves_nothing},
    {"confirmed late", test_start_confirmed_late_proves_nothing},
    {"not listed", test_run_need_not_have_been_listed},
    {"inherited", test_inherited_runs_prove_nothing},
    {"listed after", test_run_listed_after_ends_is_not_over},
    {"listed before", test_list_requested_before_ends_is_no_objection},
    {"same worker", test_end_listed_by_same_worker_proves_nothing},
    {"next incarnation", test_run_of_next_incarnation_is_not_over},
    {"end in next incarnation", test_end_in_next_incarnation_proves_nothing},
    {"job over", test_run_of_ended_job_waits_for_lease},
    {"at most once", test_at_most_once_job_is_unaffected},
    {"late result", test_late_result_is_accepted},
    {"orphan", test_orphan_is_stopped},
    {"late failure", test_late_failure_counts},
    {"late other end", test_late_end_of_other_kind_is_no_failure},
    {"after the lease", test_failure_after_lease_does_not_count},
    {"last attempt", test_last_attempt_waits_for_lease},
    {"next attempt", test_gang_waits_for_unheard_end_before_last_attempt},
    {"listed without",
     test_unheard_end_is_awaited_until_worker_lists_its_ends},
    {"until lease is over", test_unheard_end_is_awaited_until_lease_is_over},
    {"inherited end", test_inherited_unheard_end_is_awaited_for_limited_time},
    {"stored", test_unheard_end_is_stored},
    {"crash", test_crash_of_silent_worker_is_suspected},
    {"two crashes", test_only_one_crash_is_caused_by_run_of_gang},
    {"on one worker", test_members_on_one_worker_are_suspected},
    {"first member", test_first_member_to_end_is_suspected},
    {"one failed run, takeovers",
     test_failure_of_run_counts_once_across_takeovers},
    {"two failed runs, takeovers",
     test_second_failed_run_ends_job_across_takeovers},
    {"late failure of an earlier run",
     test_late_failure_of_earlier_run_recounts_no_later_one},
};

TEST_MAIN("gang ends", tests)

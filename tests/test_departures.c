/* Workers that are over: crashed, or shut down after they had reported that
 * they drain. */
#include "test_main.h"

#include "owner/internal/owner_crashes.h"
#include "owner_fixture.h"

#define ADDRESS "127.0.0.1:9"
#define REPORTS "keyed.servers"

/* Suspicion that a crash adds to a task that was on the worker. */
enum { CRASH = 3 };

/* Stores a report of the worker; NULL: removes its entry. */
static void
report(struct fixture *fixture, const char *state)
{
    GByteArray *value = g_byte_array_new();

    if (state != NULL) {
        char *text =
            g_strdup_printf("{\"service\":\"s\",\"address\":\"" ADDRESS
                            "\",\"zone\":\"z\",\"state\":\"%s\",\"capacity\":"
                            "{\"gpus\":40,\"cpu\":40000,\"mem_mb\":65536}}",
                            state);

        g_byte_array_append(value, (const guint8 *)text, (guint)strlen(text));
        g_free(text);
    }
    put(fixture, REPORTS, "w", value);
    g_byte_array_unref(value);
}

/* Another worker is at the address. */
static void
refuse_orders(void)
{
    const struct cw_target_answer answer = {.status =
                                                CW_TARGET_OTHER_INCARNATION};

    while (unanswered != NULL && unanswered->len > 0) {
        struct cw_target_order order =
            g_array_index(unanswered, struct cw_target_order, 0);

        g_array_remove_index(unanswered, 0);
        order.done(order.context, &answer);
    }
}

/* Begins with a job that an earlier owner has started on a worker with these
 * reports, of which the last removes its entry. */
static void
begin_without_worker(struct fixture *fixture, const char *const *reports)
{
    fixture_begin(fixture);
    fixture->generation = EPOCH + 1;
    put_spec(fixture);
    put_state_at(fixture, CW_STATE_TOPIC, CW_WORK_RUNNING, ADDRESS);
    for (; *reports != NULL; reports++) {
        report(fixture, *reports);
    }
    report(fixture, NULL);
}

/* Takes over; another worker refuses the polls at the address. */
static void
take_over_refused(struct fixture *fixture)
{
    take_over(fixture);
    CU_ASSERT_FALSE(the_worker(fixture)->listed);
    refuse_orders();
    run(fixture, 200);
}

static unsigned
suspicion_of(struct fixture *fixture)
{
    return step_of(the_job(fixture))->tasks[0].suspicion;
}

/* Guards against LOST: a job shown as failed after its workers were replaced
 * while VMs were restarted, as a new owner finds neither the worker nor that
 * it had drained. */
static void
test_worker_that_drained_before_takeover_has_not_crashed(void)
{
    static const char *const reports[] = {"ready", "draining", NULL};
    static const char *const out_of_order[] = {"ready", "draining", "ready",
                                               NULL};
    struct fixture fixture;

    begin_without_worker(&fixture, reports);
    take_over_refused(&fixture);
    CU_ASSERT_EQUAL(suspicion_of(&fixture), 0);
    CU_ASSERT_EQUAL(the_job(&fixture)->pending_suspicions->len, 0);
    CU_ASSERT_EQUAL(step_of(the_job(&fixture))->runs, 0);
    fixture_end(&fixture);

    begin_without_worker(&fixture, out_of_order);
    take_over_refused(&fixture);
    CU_ASSERT_EQUAL(suspicion_of(&fixture), 0);
    fixture_end(&fixture);
}

/* Guards against BUDGET: a task that crashes each worker without limit, as the
 * entries of its workers are gone when the next owner begins. */
static void
test_worker_that_was_ready_before_takeover_has_crashed(void)
{
    static const char *const reports[] = {"ready", NULL};
    struct fixture fixture;

    begin_without_worker(&fixture, reports);
    take_over_refused(&fixture);
    CU_ASSERT_EQUAL(suspicion_of(&fixture), CRASH);
    CU_ASSERT_EQUAL(the_job(&fixture)->pending_suspicions->len, 0);
    fixture_end(&fixture);
}

/* Guards against LOST: a job shown as failed although the store no longer
 * tells whether its workers had drained.  What counts in advance expires. */
static void
test_workers_without_reports_end_no_job(void)
{
    static const char *const reports[] = {"ready", "draining", NULL};
    struct fixture fixture;
    struct owner_task *task;

    begin_without_worker(&fixture, reports);
    store_model_compact(fixture.store.model, REPORTS);
    take_over_refused(&fixture);
    CU_ASSERT_EQUAL(suspicion_of(&fixture), CRASH);
    task = &step_of(the_job(&fixture))->tasks[0];
    owner_task_set_suspicion(task, 3 * CRASH + CRASH - 1);
    owner_crashes_over(fixture.owner, the_worker(&fixture), 0);
    CU_ASSERT_FALSE(cw_work_is_over(the_job(&fixture)->phase));
    fixture.clock.wall_offset_ms += 61000;
    owner_crashes_expire(fixture.owner);
    CU_ASSERT_EQUAL(task->suspicion, 2 * CRASH + CRASH - 1);
    CU_ASSERT_EQUAL(the_job(&fixture)->pending_suspicions->len, 0);
    fixture_end(&fixture);
}

/* Guards against a crash that is counted, or dropped, while the store does not
 * answer, and against states that are written again and again meanwhile. */
static void
test_suspicion_waits_for_reports(void)
{
    static const char *const reports[] = {"ready", "draining", NULL};
    struct fixture fixture;
    unsigned appends;

    begin_without_worker(&fixture, reports);
    take_over(&fixture);
    fixture.store.answer_status = CW_STORE_NOT_EXECUTED;
    refuse_orders();
    run(&fixture, 100);
    CU_ASSERT_EQUAL(the_job(&fixture)->pending_suspicions->len, TASKS);
    CU_ASSERT_EQUAL(suspicion_of(&fixture), 0);
    fixture.store.answer_status = CW_STORE_OK;
    run(&fixture, 1000);
    CU_ASSERT_EQUAL(the_job(&fixture)->pending_suspicions->len, 0);
    CU_ASSERT_EQUAL(suspicion_of(&fixture), 0);
    appends = fixture.store.appends;
    run(&fixture, 200);
    CU_ASSERT_TRUE(fixture.store.appends <= appends + 1);
    fixture_end(&fixture);
}

/* Guards against LOST: a crash that is counted by an owner that has not read
 * the worker's last report, as it could not read for seconds. */
static void
test_reports_have_to_be_recent(void)
{
    static const char *const reports[] = {"ready", NULL};
    struct fixture fixture;
    struct owner_target *target;
    struct timespec later;

    begin_without_worker(&fixture, reports);
    report(&fixture, "ready");
    take_over(&fixture);
    target = the_worker(&fixture);
    later = cw_time_add_ms(fixture.clock.now, 2000);
    CU_ASSERT_EQUAL(owner_departures_find(target, 0, fixture.clock.now),
                    OWNER_DEPARTURE_CRASHED);
    CU_ASSERT_EQUAL(owner_departures_find(target, 0, later),
                    OWNER_DEPARTURE_PENDING);
    report(&fixture, "draining");
    run(&fixture, 2000);
    CU_ASSERT_EQUAL(owner_departures_find(target, 0, later),
                    OWNER_DEPARTURE_DRAINED);
    fixture_end(&fixture);
}

/* Guards against the report of one incarnation that is taken for that of
 * another under the same id, and against reports that were missed. */
static void
test_incarnations_are_told_apart(void)
{
    struct cluster cluster;
    struct owner_target *target;

    cluster_begin(&cluster);
    target = owner_target_get(cluster.owner, "w");
    owner_departures_reported(target, 1, true);
    owner_departures_reported(target, 2, false);
    CU_ASSERT_TRUE(owner_departures_drained(target, 1));
    CU_ASSERT_FALSE(owner_departures_drained(target, 2));
    CU_ASSERT_EQUAL(owner_departures_find(target, 2, cluster.clock.now),
                    OWNER_DEPARTURE_CRASHED);
    CU_ASSERT_EQUAL(owner_departures_find(target, 3, cluster.clock.now),
                    OWNER_DEPARTURE_UNKNOWN);
    owner_departures_reports_missed(cluster.owner);
    CU_ASSERT_EQUAL(owner_departures_find(target, 1, cluster.clock.now),
                    OWNER_DEPARTURE_DRAINED);
    CU_ASSERT_EQUAL(owner_departures_find(target, 2, cluster.clock.now),
                    OWNER_DEPARTURE_UNKNOWN);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"drained before takeover",
     test_worker_that_drained_before_takeover_has_not_crashed},
    {"ready before takeover",
     test_worker_that_was_ready_before_takeover_has_crashed},
    {"no reports", test_workers_without_reports_end_no_job},
    {"store unavailable", test_suspicion_waits_for_reports},
    {"recent reports", test_reports_have_to_be_recent},
    {"incarnations", test_incarnations_are_told_apart},
};

TEST_MAIN("departures", tests)

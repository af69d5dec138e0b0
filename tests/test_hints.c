/* Ends of runs that an owner received and could not store.
 *
 * Guards against a task that runs a second time, 12 s later, although its end
 * was received.  If a data centre is disconnected together with the owner's VM
 * and a draining worker, the owner still receives the end of the task but
 * cannot store it, and is replaced; then the worker shuts down.  The next
 * owner would wait 12 s for the worker's lease to expire and run the task
 * again; in two of twelve runs of one test day callers gave up on jobs that
 * made no progress in that time.  In these tests the worker never answers the
 * next owner, which has to apply the end. */
#include "test_main.h"

#include "owner_fixture.h"

#define WORKER "w"

enum { CLOCK_MS = 50000, DONE = 3, WAIT_MS = 1000 };

/* Answers all polls in flight: the first `done` tasks have ended, the others
 * run. */
static void
answer_polls(unsigned done)
{
    struct cw_running running[TASKS] = {0};
    struct cw_ended ended[TASKS] = {0};
    struct cw_target_answer answer = {.status = CW_TARGET_OK,
                                      .clock_ms = CLOCK_MS,
                                      .boot_ms = 1,
                                      .running = running,
                                      .running_count = TASKS - done,
                                      .ended = ended,
                                      .ended_count = done};

    for (unsigned i = 0; i < done; i++) {
        ended[i].number = i + 1;
        ended[i].task.job = ID;
        ended[i].task.index = i;
        ended[i].run = RUN;
        ended[i].saved = "";
    }
    for (unsigned i = done; i < TASKS; i++) {
        running[i - done].task.job = ID;
        running[i - done].task.index = i;
        running[i - done].run = RUN;
        running[i - done].saved = "";
    }
    while (unanswered != NULL && unanswered->len > 0) {
        struct cw_target_order order =
            g_array_index(unanswered, struct cw_target_order, 0);

        g_array_remove_index(unanswered, 0);
        order.done(order.context, &answer);
    }
}

static void
run_answering(struct fixture *fixture, unsigned ms, unsigned done)
{
    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        run(fixture, STEP_MS);
        answer_polls(done);
    }
}

/* Makes the VM the owner of a job whose tasks run on a worker that answers. */
static void
fixture_with_runs(struct fixture *fixture)
{
    fixture_begin(fixture);
    put_spec(fixture);
    put_state(fixture, CW_STATE_TOPIC, CW_WORK_RUNNING);
    take_over(fixture);
    CU_ASSERT_PTR_NOT_NULL_FATAL(the_worker(fixture));
    make_worker_reachable(fixture);
    run_answering(fixture, WAIT_MS, 0);
    CU_ASSERT_EQUAL(the_job(fixture)->runs, TASKS);
}

/* Makes the owner receive ends while the store does not answer, and lose its
 * ownership.  `draining`: the worker is draining. */
static void
receive_ends_while_disconnected(struct fixture *fixture, bool draining)
{
    fixture_with_runs(fixture);
    fixture->store.answer_status = CW_STORE_UNKNOWN;
    the_worker(fixture)->draining = draining;
    run_answering(fixture, 200, DONE);
    CU_ASSERT_EQUAL(step_of(the_job(fixture))->left, TASKS - DONE);
    owner_drop_ownership(fixture->owner, "test");
    fixture->owner->partition_assigned = false;
    fixture->generation++;
}

static void
next_vm_takes_over(struct fixture *fixture)
{
    vm_end(fixture);
    vm_begin(fixture);
    take_over(fixture);
    CU_ASSERT_TRUE_FATAL(cw_owner_active(fixture->owner));
}

static unsigned
hint_count(const struct fixture *fixture)
{
    return cw_replica_find_job(fixture->replica, ID)->hints->len;
}

static void
test_the_next_owner_receives_ends_that_could_not_be_stored(void)
{
    struct fixture fixture;

    receive_ends_while_disconnected(&fixture, true);
    run(&fixture, WAIT_MS);
    fixture.store.answer_status = CW_STORE_OK;
    run(&fixture, WAIT_MS);
    next_vm_takes_over(&fixture);
    CU_ASSERT_EQUAL(hint_count(&fixture), 1);
    CU_ASSERT_EQUAL(step_of(the_job(&fixture))->left, TASKS - DONE);
    CU_ASSERT_EQUAL(the_job(&fixture)->runs, TASKS - DONE);
    fixture_end(&fixture);
}

/* The former owner reaches the store only after the next one has taken over.
 */
static void
test_an_owner_that_is_active_already_applies_hints(void)
{
    struct fixture fixture;
    struct store_model_page page;
    struct cw_store_record hint = {0};
    char *key = NULL;
    GByteArray *value = g_byte_array_new();

    receive_ends_while_disconnected(&fixture, true);
    fixture.store.answer_status = CW_STORE_OK;
    run(&fixture, WAIT_MS);
    store_model_newest(fixture.store.model, CW_JOBS_TOPIC, NULL, &page);
    for (size_t i = 0; i < page.page.count; i++) {
        hint = page.page.records[i];
        if (hint.key[0] == CW_WORK_KEY_HINT) {
            key = g_strdup(hint.key);
            g_byte_array_append(value, hint.value, (guint)hint.length);
        }
    }
    store_model_page_clear(&page);
    CU_ASSERT_PTR_NOT_NULL_FATAL(key);
    fixture_end(&fixture);

    fixture_with_runs(&fixture);
    hint = (struct cw_store_record){.key = key,
                                    .value = value->data,
                                    .length = value->len,
                                    .offset = 1000};
    cw_replica_apply(fixture.replica, &hint);
    cw_replica_apply(fixture.replica,
                     &hint); /* a record may be delivered twice */
    CU_ASSERT_EQUAL(step_of(the_job(&fixture))->left, TASKS - DONE);
    CU_ASSERT_EQUAL(the_job(&fixture)->runs, TASKS - DONE);
    /* The worker lists the same ends. */
    run_answering(&fixture, 200, DONE);
    CU_ASSERT_EQUAL(step_of(the_job(&fixture))->left, TASKS - DONE);
    g_free(key);
    g_byte_array_unref(value);
    fixture_end(&fixture);
}

/* A worker that stays lists its ends to the next owner, so that they need no
 * hints: after an outage, hints for 2,300 ends would be 200 kB for each of 147
 * VMs to read. */
static void
test_ends_of_workers_that_stay_become_no_hints(void)
{
    struct fixture fixture;

    receive_ends_while_disconnected(&fixture, false);
    fixture.store.answer_status = CW_STORE_OK;
    run(&fixture, WAIT_MS);
    next_vm_takes_over(&fixture);
    CU_ASSERT_EQUAL(hint_count(&fixture), 0);
    fixture_end(&fixture);
}

static void
test_stored_ends_become_no_hints(void)
{
    struct fixture fixture;

    fixture_with_runs(&fixture);
    run_answering(&fixture, WAIT_MS, DONE);
    owner_drop_ownership(fixture.owner, "test");
    fixture.generation++;
    run(&fixture, WAIT_MS);
    next_vm_takes_over(&fixture);
    CU_ASSERT_EQUAL(hint_count(&fixture), 0);
    CU_ASSERT_EQUAL(step_of(the_job(&fixture))->left, TASKS - DONE);
    fixture_end(&fixture);
}

/* Of ends of a run that was given up, only "done" still counts. */
static void
test_a_former_run_counts_only_if_it_is_done(void)
{
    struct cw_hint_end ends[] = {
        {.worker = (char *)WORKER,
         .index = 0,
         .run = RUN - 1,
         .how = CW_END_KIND_DONE,
         .saved = (char *)""},
        {.worker = (char *)WORKER,
         .index = 1,
         .run = RUN - 1,
         .how = CW_END_KIND_FAILED,
         .saved = (char *)""},
        {.worker = (char *)"unknown",
         .index = 2,
         .run = RUN,
         .how = CW_END_KIND_DONE,
         .saved = (char *)""},
        {.worker = (char *)WORKER,
         .index = TASKS,
         .run = RUN,
         .how = CW_END_KIND_DONE,
         .saved = (char *)""},
        {.worker = (char *)WORKER,
         .index = 3,
         .run = RUN,
         .how = 99,
         .saved = (char *)""},
    };
    const struct cw_hint_record hint = {
        .ends = {.ends_len = G_N_ELEMENTS(ends), .ends_val = ends}};
    struct fixture fixture;
    struct owner_step *step;

    fixture_with_runs(&fixture);
    step = step_of(the_job(&fixture));
    owner_hint_apply(fixture.owner, ID, &hint);
    owner_hint_apply(fixture.owner, "0000000000000000", &hint);
    CU_ASSERT_TRUE(step->tasks[0].done);
    CU_ASSERT_TRUE(step->tasks[0].run->stopping);
    CU_ASSERT_FALSE(step->tasks[1].done);
    CU_ASSERT_EQUAL(step->tasks[1].failures, 0);
    CU_ASSERT_FALSE(step->tasks[1].run->stopping);
    CU_ASSERT_TRUE(step->tasks[2].done);
    CU_ASSERT_FALSE(step->tasks[3].done);
    CU_ASSERT_EQUAL(step->left, TASKS - 2);
    fixture_end(&fixture);
}

static void
test_a_hint_that_cannot_be_decoded_is_skipped(void)
{
    struct fixture fixture;
    GByteArray *bytes = g_byte_array_new();

    fixture_begin(&fixture);
    put_spec(&fixture);
    put_state(&fixture, CW_STATE_TOPIC, CW_WORK_RUNNING);
    g_byte_array_append(bytes, (const guint8 *)"\1\2\3", 3);
    put(&fixture, CW_JOBS_TOPIC, "h" ID ".x", bytes);
    take_over(&fixture);
    CU_ASSERT_EQUAL(hint_count(&fixture), 0);
    CU_ASSERT_EQUAL(step_of(the_job(&fixture))->left, TASKS);
    g_byte_array_unref(bytes);
    fixture_end(&fixture);
}

static const struct test tests[] = {
    {"next owner", test_the_next_owner_receives_ends_that_could_not_be_stored},
    {"active already", test_an_owner_that_is_active_already_applies_hints},
    {"worker stays", test_ends_of_workers_that_stay_become_no_hints},
    {"stored", test_stored_ends_become_no_hints},
    {"former run", test_a_former_run_counts_only_if_it_is_done},
    {"unreadable", test_a_hint_that_cannot_be_decoded_is_skipped},
};

TEST_MAIN("hints", tests)

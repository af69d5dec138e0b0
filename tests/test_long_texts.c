/* Tests of texts of workers that are too long for a record of the store.
 * Each text is legal; the store's limit on a record must cost neither the
 * process nor another job. */
#include "test_main.h"

#include "owner_fixture.h"

enum {
    WAIT_MS = 300,
    FORMER_LIMIT = 1024, /* of earlier versions, for a checkpoint */
    /* 40 tasks with such checkpoints do not fit into one record. */
    LARGE = 20000,
    ABOVE_RECORD = 300000
};

/* A text of hexadecimal digits that cannot be deflated to less than half. */
static char *
random_text(unsigned seed, size_t length)
{
    uint64_t state = seed + 1;
    char *text = g_malloc(length + 1);

    for (size_t i = 0; i < length; i++) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        text[i] = "0123456789abcdef"[state >> 60];
    }
    text[length] = '\0';
    return text;
}

/* Answers all polls in flight: the first `done` tasks have ended, the others
 * run, each with a checkpoint of `length` bytes. */
static void
answer_polls_with_texts(unsigned done, size_t length)
{
    struct cw_running running[TASKS] = {0};
    struct cw_ended ended[TASKS] = {0};
    struct cw_target_answer answer = {.status = CW_TARGET_OK,
                                      .clock_ms = WORKER_CLOCK_MS,
                                      .boot_ms = 1,
                                      .running = running,
                                      .running_count = TASKS - done,
                                      .ended = ended,
                                      .ended_count = done};
    char *texts[TASKS];

    for (unsigned i = 0; i < TASKS; i++) {
        struct cw_task_name name = {.job = ID, .index = i};

        texts[i] = random_text(i, length);
        if (i < done) {
            ended[i] = (struct cw_ended){
                .number = i + 1, .task = name, .run = RUN, .saved = texts[i]};
        }
        else {
            running[i - done] = (struct cw_running){
                .task = name, .run = RUN, .saved = texts[i]};
        }
    }
    while (unanswered != NULL && unanswered->len > 0) {
        struct cw_target_order order =
            g_array_index(unanswered, struct cw_target_order, 0);

        g_array_remove_index(unanswered, 0);
        order.done(order.context, &answer);
    }
    for (unsigned i = 0; i < TASKS; i++) {
        g_free(texts[i]);
    }
}

static void
run_with_texts(struct fixture *fixture, unsigned ms, unsigned done,
               size_t length)
{
    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        run(fixture, STEP_MS);
        answer_polls_with_texts(done, length);
    }
}

static void
fixture_with_running_job(struct fixture *fixture)
{
    fixture_begin_with_state(fixture, EPOCH);
    take_over_with_worker(fixture);
}

/* Size of the job's stored state; 0 if it cannot be decoded. */
static size_t
stored_state_bytes(const struct fixture *fixture,
                   struct cw_work_record *record)
{
    struct store_model_page page;
    size_t bytes = 0;

    store_model_newest(fixture->store.model, CW_STATE_TOPIC, NULL, &page);
    for (size_t i = 0; i < page.page.count; i++) {
        const struct cw_store_record *found = &page.page.records[i];

        if (found->length > 0 &&
            cw_record_decode(found->value, found->length, record)) {
            bytes = found->length;
        }
    }
    store_model_page_clear(&page);
    return bytes;
}

static void
record_clear(struct cw_work_record *record)
{
    xdr_free((xdrproc_t)xdr_cw_work_record, (char *)record);
    memset(record, 0, sizeof(*record));
}

/* Guards against an end whose text ends each daemon that receives it. */
static void
test_an_end_with_a_long_text_is_stored(void)
{
    static const size_t lengths[] = {FORMER_LIMIT + 1, LARGE, ABOVE_RECORD};

    for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
        struct fixture fixture;

        fixture_with_running_job(&fixture);
        run_with_texts(&fixture, WAIT_MS, 0, 16);
        run_with_texts(&fixture, WAIT_MS, 1, lengths[i]);
        CU_ASSERT_TRUE(cw_owner_active(fixture.owner));
        CU_ASSERT_EQUAL(the_worker(&fixture)->incarnation.ends_durable, 1);
        run_with_texts(&fixture, WAIT_MS, TASKS, lengths[i]);
        CU_ASSERT_EQUAL(
            cw_replica_phase(cw_replica_find_job(fixture.replica, ID)),
            CW_WORK_COMPLETED);
        fixture_end(&fixture);
    }
}

/* Guards against checkpoints that are lost although they fit. */
static void
test_a_later_owner_has_a_long_checkpoint(void)
{
    struct fixture fixture;
    char *expected = random_text(1, 2 * FORMER_LIMIT);

    fixture_with_running_job(&fixture);
    run_with_texts(&fixture, WAIT_MS, 1, 2 * FORMER_LIMIT);
    replace_owner(&fixture, "next");
    CU_ASSERT_PTR_NOT_NULL_FATAL(the_job(&fixture));
    CU_ASSERT_EQUAL(step_of(the_job(&fixture))->left, TASKS - 1);
    CU_ASSERT_STRING_EQUAL(step_of(the_job(&fixture))->tasks[1].saved,
                           expected);
    g_free(expected);
    fixture_end(&fixture);
}

/* Guards against a state that the store refuses for ever, and with it all
 * later ones: checkpoints that each fit do not fit together. */
static void
test_a_state_never_exceeds_a_record(void)
{
    struct fixture fixture;
    struct cw_work_record record = {0};
    size_t bytes;

    fixture_with_running_job(&fixture);
    run_with_texts(&fixture, WAIT_MS, 1, LARGE);
    bytes = stored_state_bytes(&fixture, &record);
    CU_ASSERT_TRUE(bytes > 0 && bytes <= CW_STORE_RECORD_BYTES_DEFAULT - 256);
    CU_ASSERT_EQUAL_FATAL(record.open.open_len, 1);
    CU_ASSERT_TRUE(
        record.open.open_val[0].steps.steps_val[0].tasks.tasks_val[0].done);
    record_clear(&record);
    CU_ASSERT_EQUAL(strlen(step_of(the_job(&fixture))->tasks[1].saved), LARGE);
    fixture_end(&fixture);
}

/* Guards against hints that cannot be encoded or appended. */
static void
test_long_texts_of_ends_are_handed_over(void)
{
    struct fixture fixture;

    fixture_with_running_job(&fixture);
    run_with_texts(&fixture, WAIT_MS, 0, 16);
    fixture.store.answer_status = CW_STORE_UNKNOWN;
    the_worker(&fixture)->draining = true;
    run_with_texts(&fixture, 200, TASKS / 2, LARGE);
    owner_drop_ownership(fixture.owner, "test");
    fixture.owner->partition_assigned = false;
    fixture.generation++;
    fixture.store.answer_status = CW_STORE_OK;
    run(&fixture, WAIT_MS);
    vm_end(&fixture);
    vm_begin(&fixture);
    take_over(&fixture);
    CU_ASSERT_TRUE_FATAL(cw_owner_active(fixture.owner));
    CU_ASSERT_EQUAL(step_of(the_job(&fixture))->left, TASKS - TASKS / 2);
    fixture_end(&fixture);
}

/* Guards against a daemon that ends by a state without which it cannot go on:
 * only the job concerned ends, with a reason. */
static void
test_a_job_whose_state_never_fits_is_ended(void)
{
    struct fixture fixture;

    fixture_with_running_job(&fixture);
    run_with_texts(&fixture, WAIT_MS, 0, 16);
    fixture.owner->options.record_bytes = 300;
    run_with_texts(&fixture, WAIT_MS, 1, 16);
    CU_ASSERT_TRUE(cw_owner_active(fixture.owner));
    CU_ASSERT_EQUAL(the_job(&fixture)->phase, CW_WORK_FAILED);
    CU_ASSERT_EQUAL(the_job(&fixture)->reason, CW_END_TOO_LARGE);
    CU_ASSERT_EQUAL(cw_replica_phase(cw_replica_find_job(fixture.replica, ID)),
                    CW_WORK_FAILED);
    fixture_end(&fixture);
}

/* Guards against a phase in the store that has no name. */
static void
test_an_unknown_phase_is_refused(void)
{
    struct cw_work_record record = {.phase = 200, .result = (char *)""};
    GByteArray *bytes = cw_record_encode(&record);
    struct cw_record_head head;

    CU_ASSERT_FALSE(cw_record_read_head(bytes->data, bytes->len, &head));
    g_byte_array_unref(bytes);
}

static const struct test tests[] = {
    {"an end's text", test_an_end_with_a_long_text_is_stored},
    {"checkpoint after a takeover", test_a_later_owner_has_a_long_checkpoint},
    {"many checkpoints", test_a_state_never_exceeds_a_record},
    {"hints", test_long_texts_of_ends_are_handed_over},
    {"state too large", test_a_job_whose_state_never_fits_is_ended},
    {"unknown phase", test_an_unknown_phase_is_refused},
};

TEST_MAIN("long_texts", tests)

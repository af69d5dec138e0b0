/* Ends that an owner saw and could not store.
 *
 * Seen: jobs that stood still until their callers gave up, on two of twelve
 * plays of one day: one task's end was lost with its worker.
 * How it came about: a data centre was cut off with the VM that decided and a
 * worker that was leaving.  The VM still heard that the task was done, could
 * not store it, and was replaced; the worker left behind the cut.
 * Cause: what an owner knows and has not stored went with its ownership, so
 * that the next one waited 12 s for the worker's lease and ran the task again.
 * Proof: here the next owner, which never hears the worker, knows the end. */
#include "test_main.h"

#include "owner_bed.h"

#define WORKER "w"

enum { CLOCK_MS = 50000, DONE = 3, WAIT_MS = 1000 };

/* Answers all looks under way: the first `done` tasks have ended, the others
 * run. */
static void
answer_looks(unsigned done)
{
    struct cw_running running[TASKS] = {0};
    struct cw_ended ended[TASKS] = {0};
    struct cw_target_answer answer = {.status = CW_TARGET_OK,
                                      .clock_ms = CLOCK_MS,
                                      .born_ms = 1,
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
run_answered(struct bed *bed, unsigned ms, unsigned done)
{
    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        run(bed, STEP_MS);
        answer_looks(done);
    }
}

/* An owner of a job whose tasks run on a worker that answers. */
static void
bed_with_runs(struct bed *bed)
{
    bed_begin(bed);
    put_spec(bed);
    put_state(bed, CW_STATE_TOPIC, CW_WORK_RUNNING);
    take_over(bed);
    CU_ASSERT_PTR_NOT_NULL_FATAL(the_worker(bed));
    list_worker(bed);
    run_answered(bed, WAIT_MS, 0);
    CU_ASSERT_EQUAL(the_job(bed)->runs, TASKS);
}

/* Cut off from the store, the owner hears of ends, and is replaced; the worker
 * leaves, or stays. */
static void
see_ends_behind_a_cut(struct bed *bed, bool leaves)
{
    bed_with_runs(bed);
    bed->store.refuses = CW_STORE_UNKNOWN;
    the_worker(bed)->draining = leaves;
    run_answered(bed, 200, DONE);
    CU_ASSERT_EQUAL(step_of(the_job(bed))->left, TASKS - DONE);
    owner_depose(bed->owner, "test");
    bed->owner->holds_partition = false;
    bed->generation++;
}

static void
next_vm_decides(struct bed *bed)
{
    vm_end(bed);
    vm_begin(bed);
    take_over(bed);
    CU_ASSERT_TRUE_FATAL(cw_owner_active(bed->owner));
}

static unsigned
hints_known(const struct bed *bed)
{
    return cw_replica_find(bed->replica, ID)->hints->len;
}

static void
test_the_next_owner_knows_ends_that_could_not_be_stored(void)
{
    struct bed bed;

    see_ends_behind_a_cut(&bed, true);
    run(&bed, WAIT_MS);
    bed.store.refuses = CW_STORE_OK;
    run(&bed, WAIT_MS);
    next_vm_decides(&bed);
    CU_ASSERT_EQUAL(hints_known(&bed), 1);
    CU_ASSERT_EQUAL(step_of(the_job(&bed))->left, TASKS - DONE);
    CU_ASSERT_EQUAL(the_job(&bed)->runs, TASKS - DONE);
    bed_end(&bed);
}

/* The former owner comes back to the store later. */
static void
test_an_owner_that_decides_already_takes_them(void)
{
    struct bed bed;
    struct store_model_page page;
    struct cw_store_record hint = {0};
    char *key = NULL;
    GByteArray *value = g_byte_array_new();

    see_ends_behind_a_cut(&bed, true);
    bed.store.refuses = CW_STORE_OK;
    run(&bed, WAIT_MS);
    store_model_newest(bed.store.model, CW_WORK_TOPIC, NULL, &page);
    for (size_t i = 0; i < page.page.count; i++) {
        hint = page.page.records[i];
        if (hint.key[0] == CW_WORK_KEY_HINT) {
            key = g_strdup(hint.key);
            g_byte_array_append(value, hint.value, (guint)hint.length);
        }
    }
    store_model_page_clear(&page);
    CU_ASSERT_PTR_NOT_NULL_FATAL(key);
    bed_end(&bed);

    bed_with_runs(&bed);
    hint = (struct cw_store_record){.key = key,
                                    .value = value->data,
                                    .length = value->len,
                                    .offset = 1000};
    cw_replica_apply(bed.replica, &hint);
    cw_replica_apply(bed.replica, &hint); /* may be given again */
    CU_ASSERT_EQUAL(step_of(the_job(&bed))->left, TASKS - DONE);
    CU_ASSERT_EQUAL(the_job(&bed)->runs, TASKS - DONE);
    /* The worker lists them as well. */
    run_answered(&bed, 200, DONE);
    CU_ASSERT_EQUAL(step_of(the_job(&bed))->left, TASKS - DONE);
    g_free(key);
    g_byte_array_unref(value);
    bed_end(&bed);
}

/* A worker that stays lists its ends to the next owner: 2,300 of them after an
 * outage were 200 kB for each of 147 VMs to read. */
static void
test_ends_of_workers_that_stay_are_not_told(void)
{
    struct bed bed;

    see_ends_behind_a_cut(&bed, false);
    bed.store.refuses = CW_STORE_OK;
    run(&bed, WAIT_MS);
    next_vm_decides(&bed);
    CU_ASSERT_EQUAL(hints_known(&bed), 0);
    bed_end(&bed);
}

/* Nothing is told of what is stored. */
static void
test_stored_ends_are_not_told(void)
{
    struct bed bed;

    bed_with_runs(&bed);
    run_answered(&bed, WAIT_MS, DONE);
    owner_depose(bed.owner, "test");
    bed.generation++;
    run(&bed, WAIT_MS);
    next_vm_decides(&bed);
    CU_ASSERT_EQUAL(hints_known(&bed), 0);
    CU_ASSERT_EQUAL(step_of(the_job(&bed))->left, TASKS - DONE);
    bed_end(&bed);
}

/* Of a run that was given up, only that it is done still counts. */
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
    struct bed bed;
    struct owner_step *step;

    bed_with_runs(&bed);
    step = step_of(the_job(&bed));
    owner_hint_apply(bed.owner, ID, &hint);
    owner_hint_apply(bed.owner, "0000000000000000", &hint);
    CU_ASSERT_TRUE(step->tasks[0].done);
    CU_ASSERT_TRUE(step->tasks[0].run->stopping);
    CU_ASSERT_FALSE(step->tasks[1].done);
    CU_ASSERT_EQUAL(step->tasks[1].failures, 0);
    CU_ASSERT_FALSE(step->tasks[1].run->stopping);
    CU_ASSERT_TRUE(step->tasks[2].done);
    CU_ASSERT_FALSE(step->tasks[3].done);
    CU_ASSERT_EQUAL(step->left, TASKS - 2);
    bed_end(&bed);
}

static void
test_a_hint_that_cannot_be_read_is_passed_over(void)
{
    struct bed bed;
    GByteArray *bytes = g_byte_array_new();

    bed_begin(&bed);
    put_spec(&bed);
    put_state(&bed, CW_STATE_TOPIC, CW_WORK_RUNNING);
    g_byte_array_append(bytes, (const guint8 *)"\1\2\3", 3);
    put(&bed, CW_WORK_TOPIC, "h" ID ".x", bytes);
    take_over(&bed);
    CU_ASSERT_EQUAL(hints_known(&bed), 0);
    CU_ASSERT_EQUAL(step_of(the_job(&bed))->left, TASKS);
    g_byte_array_unref(bytes);
    bed_end(&bed);
}

static const struct test tests[] = {
    {"next owner", test_the_next_owner_knows_ends_that_could_not_be_stored},
    {"decides already", test_an_owner_that_decides_already_takes_them},
    {"stays", test_ends_of_workers_that_stay_are_not_told},
    {"stored", test_stored_ends_are_not_told},
    {"former run", test_a_former_run_counts_only_if_it_is_done},
    {"unreadable", test_a_hint_that_cannot_be_read_is_passed_over},
};

TEST_MAIN("hints", tests)

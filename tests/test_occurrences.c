/* Tests of scheduled jobs with many occurrences: their state stays small
 * enough for a record, and later owners continue it. */
#include "test_main.h"

#include "owner_fixture.h"

enum { OCCURRENCES = 5000, BACKLOG = 100000 };

/* Adds a job of one task that is due `repeats` times, from `first_due_ms` on.
 */
static struct owner_job *
add_scheduled_job(struct cluster *cluster, unsigned repeats,
                  int64_t first_due_ms, int64_t interval_ms)
{
    struct cw_step_spec step = {.tasks = 1,
                                .accelerators = 1,
                                .label = (char *)"",
                                .data_rack = (char *)"",
                                .image = (char *)""};
    struct cw_work_spec spec = {.id = (char *)ID,
                                .queue = (char *)"q",
                                .account = (char *)"a",
                                .service = (char *)"s",
                                .request = (char *)"",
                                .payload = (char *)"",
                                .max_attempts = 2,
                                .repeats = repeats,
                                .first_due_ms = first_due_ms,
                                .interval_ms = interval_ms};
    struct cw_store_record record = {.key = "s" ID};
    GByteArray *bytes;

    spec.steps.steps_len = 1;
    spec.steps.steps_val = &step;
    bytes = cw_xdr_encode((xdrproc_t)xdr_cw_work_spec, &spec);
    record.value = bytes->data;
    record.length = bytes->len;
    cw_replica_apply(cluster->replica, &record);
    g_byte_array_unref(bytes);
    return g_hash_table_lookup(cluster->owner->jobs, ID);
}

static struct owner_step *
step_of_open(const struct owner_job *job, guint index)
{
    return ((struct owner_occurrence *)job->open->pdata[index])->steps;
}

static void
complete_open(struct cluster *cluster, struct owner_job *job, guint index)
{
    struct owner_step *step = step_of_open(job, index);

    step->tasks[0].last_run = 1;
    step->tasks[0].done = true;
    owner_step_done(cluster->owner, step);
}

/* Size of the job's state in the store; 0 if it cannot be decoded. */
static size_t
encoded_bytes(struct owner_job *job)
{
    GByteArray *state = owner_job_encode(job, cw_store_value_bytes_max(0));
    struct cw_work_record record = {0};
    size_t bytes = 0;

    if (state != NULL && cw_record_decode(state->data, state->len, &record)) {
        bytes = state->len;
        xdr_free((xdrproc_t)xdr_cw_work_record, (char *)&record);
    }
    if (state != NULL) {
        g_byte_array_unref(state);
    }
    return bytes;
}

/* Guards against a daemon that ends at an occurrence with a number above a
 * limit of the record: done occurrences stayed in the job's state. */
static void
test_a_job_goes_on_beyond_any_number_of_occurrences(void)
{
    struct cluster cluster;
    struct owner_job *job;
    size_t largest = 0;

    cluster_begin(&cluster);
    job = add_scheduled_job(&cluster, OCCURRENCES, 0, 1);
    for (unsigned i = 0; i < OCCURRENCES; i++) {
        CU_ASSERT_FALSE_FATAL(cw_work_is_over(job->phase));
        (void)owner_job_open_due(cluster.owner, job, cluster.clock.now);
        CU_ASSERT_TRUE_FATAL(job->open->len > 0);
        complete_open(&cluster, job, 0);
        largest = MAX(largest, encoded_bytes(job));
    }
    CU_ASSERT_EQUAL(job->phase, CW_WORK_COMPLETED);
    CU_ASSERT_TRUE(largest > 0 && largest < 4096);
    cluster_end(&cluster);
}

/* Guards against a job that was due many times before it was accepted: all
 * its occurrences were opened at once. */
static void
test_a_backlog_is_opened_as_it_is_placed(void)
{
    struct cluster cluster;
    struct owner_job *job;
    guint open;

    cluster_begin(&cluster);
    job = add_scheduled_job(&cluster, BACKLOG, 0, 0);
    open = job->open->len;
    CU_ASSERT_TRUE(open >= ACCELERATORS && open < 1000);
    CU_ASSERT_TRUE(encoded_bytes(job) > 0);
    (void)owner_job_open_due(cluster.owner, job, cluster.clock.now);
    CU_ASSERT_EQUAL(job->open->len, open);
    pass(&cluster, 10);
    CU_ASSERT_TRUE(job->runs > 0);
    (void)owner_job_open_due(cluster.owner, job, cluster.clock.now);
    CU_ASSERT_EQUAL(job->open->len, open + job->runs);
    cluster_end(&cluster);
}

/* Guards against a state that outgrows its record while many occurrences run
 * at the same time. */
static void
test_no_occurrence_is_opened_while_the_state_is_large(void)
{
    struct cluster cluster;
    struct owner_job *job;
    guint open;

    cluster_begin(&cluster);
    cluster.owner->options.record_bytes = 1000;
    job = add_scheduled_job(&cluster, BACKLOG, 0, 0);
    pass(&cluster, 10);
    open = job->open->len;
    CU_ASSERT_TRUE(job->runs * 20 > 500);
    (void)owner_job_open_due(cluster.owner, job, cluster.clock.now);
    CU_ASSERT_EQUAL(job->open->len, open);
    /* A checkpoint leaves less room for others, not for occurrences. */
    cluster.owner->options.record_bytes = CW_STORE_RECORD_BYTES_DEFAULT;
    step_of_open(job, 0)->tasks[0].saved =
        g_strnfill(CW_STORE_RECORD_BYTES_DEFAULT, 's');
    (void)owner_job_open_due(cluster.owner, job, cluster.clock.now);
    CU_ASSERT_EQUAL(job->open->len, open + job->runs);
    cluster_end(&cluster);
}

/* Guards against an occurrence that is done and begins again: only those that
 * overlap it stay in the state. */
static void
test_occurrences_end_in_any_order(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_scheduled_job(&cluster, 3, 0, 1);
    CU_ASSERT_EQUAL_FATAL(job->open->len, 3);
    complete_open(&cluster, job, 1);
    (void)owner_job_open_due(cluster.owner, job, cluster.clock.now);
    CU_ASSERT_EQUAL_FATAL(job->open->len, 2);
    CU_ASSERT_EQUAL(step_of_open(job, 0)->occurrence->number, 0);
    CU_ASSERT_EQUAL(step_of_open(job, 1)->occurrence->number, 2);
    complete_open(&cluster, job, 1);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_WAITING);
    complete_open(&cluster, job, 0);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_COMPLETED);
    cluster_end(&cluster);
}

/* Guards against due times that overflow: such an occurrence is never due. */
static void
test_a_due_time_out_of_range_is_never_reached(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_scheduled_job(&cluster, 3, 0, INT64_MAX);
    CU_ASSERT_EQUAL(job->open->len, 1);
    cluster_end(&cluster);
    cluster_begin(&cluster);
    job = add_scheduled_job(&cluster, 3, INT64_MAX, 1);
    CU_ASSERT_EQUAL(job->open->len, 0);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"more than 4,096 occurrences",
     test_a_job_goes_on_beyond_any_number_of_occurrences},
    {"backlog", test_a_backlog_is_opened_as_it_is_placed},
    {"large state", test_no_occurrence_is_opened_while_the_state_is_large},
    {"any order", test_occurrences_end_in_any_order},
    {"due times", test_a_due_time_out_of_range_is_never_reached},
};

TEST_MAIN("occurrences", tests)

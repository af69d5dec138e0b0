/* Tests of cancellations, submissions and queries of callers: a caller can
 * reach only jobs of its own account and of the queue that it names. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_entry.h"
#include "curlewcart/cw_log.h"
#include "curlewcart/cw_xdr.h"
#include "fake_store.h"
#include "work_spec.h"

#define ID "5c0e7a21d94b36f8"

enum { STEP_MS = 10, BUDGET_MS = 900, STEPS = 200 };

/* A VM with one queue, two accounts, and a job of the first account. */
struct fixture {
    struct fake_store fake;
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct cw_replica *replica;
    struct cw_routing *routing;
    struct cw_entry *entry;
    int outcome;      /* -1: no answer yet */
    unsigned answers; /* number of answers to queries */
    int phase;        /* in the last answer; -1: none */
};

static void
add_account(struct cw_routing *routing, const char *name, const char *key)
{
    struct cw_account *account = cw_routing_add_account(routing);

    account->name = g_strdup(name);
    g_ptr_array_add(account->keys, g_strdup(key));
}

static void
add_queue(struct cw_routing *routing, const char *name, const char *prefix)
{
    struct cw_queue *queue = cw_routing_add_queue(routing);

    queue->name = g_strdup(name);
    queue->host = g_strdup("a.example");
    queue->prefix = g_strdup(prefix);
    queue->service = g_strdup("s");
}

static void
store_job(struct fixture *fixture)
{
    const struct work_spec_options options = {.id = ID, .account = "desk"};
    struct cw_store_record record = {.key = "s" ID};
    struct cw_store_append append = {
        .topic = CW_JOBS_TOPIC, .records = &record, .count = 1};
    GByteArray *bytes = work_spec_encode(&options);

    record.value = bytes->data;
    record.length = bytes->len;
    store_model_append(fixture->fake.model, &append);
    g_byte_array_unref(bytes);
}

static void
step(struct fixture *fixture)
{
    fixture->clock.now = cw_time_add_ms(fixture->clock.now, STEP_MS);
    cw_follower_tick(cw_replica_follower(fixture->replica),
                     fixture->clock.now);
    cw_entry_tick(fixture->entry, fixture->clock.now);
}

static void
run_steps(struct fixture *fixture)
{
    for (unsigned i = 0; i < STEPS; i++) {
        step(fixture);
    }
}

static void
fixture_begin(struct fixture *fixture)
{
    struct cw_replica_options replica = {.store = &fixture->fake.base,
                                         .clock = &fixture->clock.base};
    struct cw_entry_options entry = {.store = &fixture->fake.base,
                                     .clock = &fixture->clock.base};

    memset(fixture, 0, sizeof(*fixture));
    cw_log_setup("error", "test");
    cw_clock_manual_init(&fixture->clock);
    fixture->fake.base.ops = &fake_store_ops;
    fixture->fake.model = store_model_create(1);
    fixture->replica = cw_replica_create(&replica);
    fixture->routing = cw_routing_new();
    add_account(fixture->routing, "desk", "k1");
    add_account(fixture->routing, "other", "k2");
    add_queue(fixture->routing, "q", "/jobs/");
    add_queue(fixture->routing, "r", "/rest/");
    cw_routing_finish(fixture->routing);
    entry.replica = fixture->replica;
    entry.counters = &fixture->counters;
    fixture->entry = cw_entry_create(&entry);
    cw_entry_configure(fixture->entry, fixture->routing);
    fixture->outcome = -1;
}

static void
fixture_end(struct fixture *fixture)
{
    cw_entry_free(fixture->entry);
    cw_routing_unref(fixture->routing);
    cw_replica_free(fixture->replica);
    store_model_free(fixture->fake.model);
}

static void
on_done(void *context, enum cw_entry_outcome outcome)
{
    ((struct fixture *)context)->outcome = (int)outcome;
}

static void
cancel(struct fixture *fixture, const char *path, const char *key)
{
    struct cw_entry_route route;

    CU_ASSERT_EQUAL_FATAL(
        cw_entry_resolve(fixture->entry, "a.example", path, key, &route),
        CW_OK);
    cw_entry_cancel(fixture->entry, &route, BUDGET_MS, on_done, fixture);
}

static void
test_another_accounts_job_is_not_cancelled(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    store_job(&fixture);
    run_steps(&fixture);
    cancel(&fixture, "/jobs/" ID, "k2");
    run_steps(&fixture);
    CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_NO_JOB);
    CU_ASSERT_EQUAL(fixture.fake.appends, 0);
    fixture_end(&fixture);
}

/* Guards against a cancellation whose account is checked only if the job is
 * known: this job is stored after the request to cancel it has arrived. */
static void
test_another_accounts_new_job_is_not_cancelled(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    cancel(&fixture, "/jobs/" ID, "k2");
    store_job(&fixture);
    run_steps(&fixture);
    CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_NO_JOB);
    CU_ASSERT_EQUAL(fixture.fake.appends, 0);
    fixture_end(&fixture);
}

static void
test_another_queues_job_is_not_cancelled(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    store_job(&fixture);
    run_steps(&fixture);
    cancel(&fixture, "/rest/" ID, "k1");
    run_steps(&fixture);
    CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_NO_JOB);
    CU_ASSERT_EQUAL(fixture.fake.appends, 0);
    fixture_end(&fixture);
}

static void
test_an_own_new_job_is_cancelled(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    cancel(&fixture, "/jobs/" ID, "k1");
    store_job(&fixture);
    run_steps(&fixture);
    CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_STORED);
    CU_ASSERT_EQUAL(fixture.fake.appends, 1);
    fixture_end(&fixture);
}

static unsigned
phase_of_job(const struct fixture *fixture)
{
    const struct cw_replica_job *job =
        cw_replica_find_job(fixture->replica, ID);

    CU_ASSERT_PTR_NOT_NULL_FATAL(job);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job->spec);
    return cw_replica_phase(job);
}

/* Guards against a job that runs although its cancellation was acknowledged:
 * the write of the job had no answer and takes effect after the cancellation.
 */
static void
test_a_job_that_is_stored_late_stays_cancelled(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    run_steps(&fixture);
    cancel(&fixture, "/jobs/" ID, "k1");
    run_steps(&fixture);
    CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_NO_JOB);
    store_job(&fixture);
    run_steps(&fixture);
    CU_ASSERT_EQUAL(phase_of_job(&fixture), CW_WORK_CANCELLED);
    fixture_end(&fixture);
}

/* Guards against a caller who cancels jobs of others by their ids, before they
 * are stored. */
static void
test_another_caller_s_late_job_is_not_cancelled(void)
{
    static const char *const paths[] = {"/jobs/" ID, "/rest/" ID};
    static const char *const keys[] = {"k2", "k1"};

    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        struct fixture fixture;

        fixture_begin(&fixture);
        run_steps(&fixture);
        cancel(&fixture, paths[i], keys[i]);
        run_steps(&fixture);
        CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_NO_JOB);
        store_job(&fixture);
        run_steps(&fixture);
        CU_ASSERT_EQUAL(phase_of_job(&fixture), CW_WORK_WAITING);
        fixture_end(&fixture);
    }
}

/* Guards against records that pile up: a repeated request stores nothing. */
static void
test_a_repeated_cancellation_is_stored_once(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    for (unsigned i = 0; i < 3; i++) {
        fixture.outcome = -1;
        cancel(&fixture, "/jobs/" ID, "k1");
        run_steps(&fixture);
        CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_NO_JOB);
    }
    CU_ASSERT_EQUAL(fixture.fake.appends, 1);
    cancel(&fixture, "/jobs/" ID, "k2");
    run_steps(&fixture);
    CU_ASSERT_EQUAL(fixture.fake.appends, 2);
    fixture_end(&fixture);
}

static void
submit(struct fixture *fixture, const char *account, uint64_t body_hash)
{
    struct cw_work_spec *spec = g_new0(struct cw_work_spec, 1);

    spec->id = strdup(ID);
    spec->queue = strdup("q");
    spec->account = strdup(account);
    spec->service = strdup("s");
    spec->request = strdup("");
    spec->payload = strdup("");
    spec->body_hash = body_hash;
    fixture->outcome = -1;
    cw_entry_submit(fixture->entry, spec, BUDGET_MS, on_done, fixture);
}

/* Guards against a submission that is answered as stored though the job with
 * its id belongs to another account or has another body. */
static void
test_an_id_is_taken_for_other_accounts(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    store_job(&fixture);
    run_steps(&fixture);
    submit(&fixture, "desk", 0);
    CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_STORED);
    submit(&fixture, "desk", 1);
    CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_OTHER_JOB);
    submit(&fixture, "other", 0);
    CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_OTHER_JOB);
    CU_ASSERT_EQUAL(fixture.fake.appends, 0);
    fixture_end(&fixture);
}

static void
on_answer(void *context, enum cw_result result, unsigned phase)
{
    struct fixture *fixture = context;

    fixture->answers++;
    fixture->phase = result == CW_OK ? (int)phase : -1;
}

static void
query(struct fixture *fixture)
{
    struct cw_entry_route route;

    CU_ASSERT_EQUAL_FATAL(cw_entry_resolve(fixture->entry, "a.example",
                                           "/jobs/" ID, "k1", &route),
                          CW_OK);
    cw_entry_query_fresh(fixture->entry, &route, on_answer, fixture);
}

/* Guards against an outdated answer: between two reads by this VM another VM
 * may have stored a job, or recorded the end of a job. */
static void
test_a_query_reads_the_store_first(void)
{
    struct fixture fixture;
    unsigned before;

    fixture_begin(&fixture);
    run_steps(&fixture);
    cw_follower_set_read_interval(cw_replica_follower(fixture.replica), 60000);
    run_steps(&fixture); /* the next read is due in a minute */
    store_job(&fixture);
    before = fixture.fake.reads;
    query(&fixture);
    CU_ASSERT_EQUAL(fixture.answers, 0);
    step(&fixture);
    CU_ASSERT_EQUAL(fixture.answers, 1);
    CU_ASSERT_EQUAL(fixture.phase, CW_WORK_WAITING);
    CU_ASSERT_EQUAL(fixture.fake.reads, before + 1);
    fixture_end(&fixture);
}

static void
test_a_query_is_answered_while_the_store_is_unavailable(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    store_job(&fixture);
    run_steps(&fixture);
    cw_follower_set_read_interval(cw_replica_follower(fixture.replica), 60000);
    run_steps(&fixture);
    fixture.fake.answer_status = CW_STORE_NOT_EXECUTED;
    query(&fixture);
    step(&fixture);
    CU_ASSERT_EQUAL(fixture.answers, 0);
    run_steps(&fixture);
    CU_ASSERT_EQUAL(fixture.answers, 1);
    CU_ASSERT_EQUAL(fixture.phase, CW_WORK_WAITING);
    fixture_end(&fixture);
}

static const struct test tests[] = {
    {"query reads first", test_a_query_reads_the_store_first},
    {"query during an outage",
     test_a_query_is_answered_while_the_store_is_unavailable},
    {"known", test_an_id_is_taken_for_other_accounts},
    {"another account's job", test_another_accounts_job_is_not_cancelled},
    {"another account's new job",
     test_another_accounts_new_job_is_not_cancelled},
    {"another queue's job", test_another_queues_job_is_not_cancelled},
    {"own new job", test_an_own_new_job_is_cancelled},
    {"late job", test_a_job_that_is_stored_late_stays_cancelled},
    {"another caller's late job",
     test_another_caller_s_late_job_is_not_cancelled},
    {"repeated", test_a_repeated_cancellation_is_stored_once},
};

TEST_MAIN("entry", tests)

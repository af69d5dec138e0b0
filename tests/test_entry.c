/* Who may cancel a job, and what those who ask for one are told. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_entry.h"
#include "curlewcart/cw_log.h"
#include "curlewcart/cw_xdr.h"
#include "fake_store.h"
#include "work_spec.h"

#define ID "5c0e7a21d94b36f8"

enum { STEP_MS = 10, BUDGET_MS = 900, TURNS = 200 };

/* A VM with one queue, two accounts, and a job of the first account. */
struct bed {
    struct fake_store port;
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct cw_replica *replica;
    struct cw_routing *routing;
    struct cw_entry *entry;
    int outcome;   /* -1: no answer yet */
    unsigned told; /* answers to questions */
    int phase;     /* the last one; -1: none */
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
put_job(struct bed *bed)
{
    const struct work_spec_options options = {.id = ID, .account = "desk"};
    struct cw_store_record record = {.key = "s" ID};
    struct cw_store_append append = {
        .topic = CW_JOBS_TOPIC, .records = &record, .count = 1};
    GByteArray *bytes = work_spec_encode(&options);

    record.value = bytes->data;
    record.length = bytes->len;
    store_model_append(bed->port.model, &append);
    g_byte_array_unref(bytes);
}

static void
turn(struct bed *bed)
{
    bed->clock.now = cw_time_add_ms(bed->clock.now, STEP_MS);
    cw_follower_tick(cw_replica_follower(bed->replica), bed->clock.now);
    cw_entry_tick(bed->entry, bed->clock.now);
}

static void
pass(struct bed *bed)
{
    for (unsigned i = 0; i < TURNS; i++) {
        turn(bed);
    }
}

static void
bed_begin(struct bed *bed)
{
    struct cw_replica_options replica = {.store = &bed->port.base,
                                         .clock = &bed->clock.base};
    struct cw_entry_options entry = {.store = &bed->port.base,
                                     .clock = &bed->clock.base};

    memset(bed, 0, sizeof(*bed));
    cw_log_setup("error", "test");
    cw_clock_manual_init(&bed->clock);
    bed->port.base.ops = &fake_store_ops;
    bed->port.model = store_model_create(1);
    bed->replica = cw_replica_create(&replica);
    bed->routing = cw_routing_new();
    add_account(bed->routing, "desk", "k1");
    add_account(bed->routing, "other", "k2");
    add_queue(bed->routing, "q", "/jobs/");
    add_queue(bed->routing, "r", "/rest/");
    cw_routing_finish(bed->routing);
    entry.replica = bed->replica;
    entry.counters = &bed->counters;
    bed->entry = cw_entry_create(&entry);
    cw_entry_configure(bed->entry, bed->routing);
    bed->outcome = -1;
}

static void
bed_end(struct bed *bed)
{
    cw_entry_free(bed->entry);
    cw_routing_unref(bed->routing);
    cw_replica_free(bed->replica);
    store_model_free(bed->port.model);
}

static void
on_done(void *context, enum cw_entry_outcome outcome)
{
    ((struct bed *)context)->outcome = (int)outcome;
}

static void
cancel(struct bed *bed, const char *path, const char *key)
{
    struct cw_entry_route place;

    CU_ASSERT_EQUAL_FATAL(
        cw_entry_resolve(bed->entry, "a.example", path, key, &place), CW_OK);
    cw_entry_cancel(bed->entry, &place, BUDGET_MS, on_done, bed);
}

static void
test_another_accounts_job_is_not_cancelled(void)
{
    struct bed bed;

    bed_begin(&bed);
    put_job(&bed);
    pass(&bed);
    cancel(&bed, "/jobs/" ID, "k2");
    pass(&bed);
    CU_ASSERT_EQUAL(bed.outcome, CW_ENTRY_NO_JOB);
    CU_ASSERT_EQUAL(bed.port.appends, 0);
    bed_end(&bed);
}

/* The job shows only after the cancellation came. */
static void
test_another_accounts_new_job_is_not_cancelled(void)
{
    struct bed bed;

    bed_begin(&bed);
    cancel(&bed, "/jobs/" ID, "k2");
    put_job(&bed);
    pass(&bed);
    CU_ASSERT_EQUAL(bed.outcome, CW_ENTRY_NO_JOB);
    CU_ASSERT_EQUAL(bed.port.appends, 0);
    bed_end(&bed);
}

static void
test_another_queues_job_is_not_cancelled(void)
{
    struct bed bed;

    bed_begin(&bed);
    put_job(&bed);
    pass(&bed);
    cancel(&bed, "/rest/" ID, "k1");
    pass(&bed);
    CU_ASSERT_EQUAL(bed.outcome, CW_ENTRY_NO_JOB);
    CU_ASSERT_EQUAL(bed.port.appends, 0);
    bed_end(&bed);
}

static void
test_its_own_new_job_is_cancelled(void)
{
    struct bed bed;

    bed_begin(&bed);
    cancel(&bed, "/jobs/" ID, "k1");
    put_job(&bed);
    pass(&bed);
    CU_ASSERT_EQUAL(bed.outcome, CW_ENTRY_STORED);
    CU_ASSERT_EQUAL(bed.port.appends, 1);
    bed_end(&bed);
}

static void
submit(struct bed *bed, const char *account, uint64_t body_hash)
{
    struct cw_work_spec *spec = g_new0(struct cw_work_spec, 1);

    spec->id = strdup(ID);
    spec->queue = strdup("q");
    spec->account = strdup(account);
    spec->service = strdup("s");
    spec->request = strdup("");
    spec->payload = strdup("");
    spec->body_hash = body_hash;
    bed->outcome = -1;
    cw_entry_submit(bed->entry, spec, BUDGET_MS, on_done, bed);
}

/* The id of another account's job, even with the same body, is taken. */
static void
test_a_job_is_known_only_to_its_own_account(void)
{
    struct bed bed;

    bed_begin(&bed);
    put_job(&bed);
    pass(&bed);
    submit(&bed, "desk", 0);
    CU_ASSERT_EQUAL(bed.outcome, CW_ENTRY_STORED);
    submit(&bed, "desk", 1);
    CU_ASSERT_EQUAL(bed.outcome, CW_ENTRY_OTHER_JOB);
    submit(&bed, "other", 0);
    CU_ASSERT_EQUAL(bed.outcome, CW_ENTRY_OTHER_JOB);
    CU_ASSERT_EQUAL(bed.port.appends, 0);
    bed_end(&bed);
}

static void
on_told(void *context, enum cw_result result, unsigned phase)
{
    struct bed *bed = context;

    bed->told++;
    bed->phase = result == CW_OK ? (int)phase : -1;
}

static void
ask(struct bed *bed)
{
    struct cw_entry_route place;

    CU_ASSERT_EQUAL_FATAL(
        cw_entry_resolve(bed->entry, "a.example", "/jobs/" ID, "k1", &place),
        CW_OK);
    cw_entry_query_fresh(bed->entry, &place, on_told, bed);
}

/* Between two reads another VM may have taken a job, or ended it. */
static void
test_a_question_looks_at_the_store_first(void)
{
    struct bed bed;
    unsigned before;

    bed_begin(&bed);
    pass(&bed);
    cw_follower_set_read_interval(cw_replica_follower(bed.replica), 60000);
    pass(&bed); /* the next read is a minute away */
    put_job(&bed);
    before = bed.port.reads;
    ask(&bed);
    CU_ASSERT_EQUAL(bed.told, 0);
    turn(&bed);
    CU_ASSERT_EQUAL(bed.told, 1);
    CU_ASSERT_EQUAL(bed.phase, CW_WORK_WAITING);
    CU_ASSERT_EQUAL(bed.port.reads, before + 1);
    bed_end(&bed);
}

static void
test_a_question_is_answered_while_the_store_is_away(void)
{
    struct bed bed;

    bed_begin(&bed);
    put_job(&bed);
    pass(&bed);
    cw_follower_set_read_interval(cw_replica_follower(bed.replica), 60000);
    pass(&bed);
    bed.port.answer_status = CW_STORE_REFUSED;
    ask(&bed);
    turn(&bed);
    CU_ASSERT_EQUAL(bed.told, 0);
    pass(&bed);
    CU_ASSERT_EQUAL(bed.told, 1);
    CU_ASSERT_EQUAL(bed.phase, CW_WORK_WAITING);
    bed_end(&bed);
}

static const struct test tests[] = {
    {"looks first", test_a_question_looks_at_the_store_first},
    {"store away", test_a_question_is_answered_while_the_store_is_away},
    {"known", test_a_job_is_known_only_to_its_own_account},
    {"another account's job", test_another_accounts_job_is_not_cancelled},
    {"another account's new job",
     test_another_accounts_new_job_is_not_cancelled},
    {"another queue's job", test_another_queues_job_is_not_cancelled},
    {"its own new job", test_its_own_new_job_is_cancelled},
};

TEST_MAIN("entry", tests)

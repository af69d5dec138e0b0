/* Fenced appends of one writer: each is retried until it is known to be
 * stored, and stored once. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_log.h"
#include "owner/internal/owner_log.h"
#include "fake_store.h"

enum { STEP_MS = 100, CALLS_MAX = 16, RECORDS_MAX = 2 };

/* An append that has not reached the store, or whose answer is under way. */
struct pending_append {
    struct cw_store_append call;
    struct cw_store_record records[RECORDS_MAX];
    struct cw_store_append_result result;
};

struct fixture {
    struct fake_store store;
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct owner_log *log;
    unsigned stored;
    unsigned confirmed;
    const char *lost;
    bool answers_lost; /* the store accepts appends and does not answer */
    bool withheld;     /* appends are kept in `pending` */
    struct pending_append pending[CALLS_MAX];
    unsigned sent;
};

static struct fixture *current;

static void
append(struct cw_store *store, const struct cw_store_append *call)
{
    struct cw_store_append_result unknown = {.status = CW_STORE_UNKNOWN};

    if (current->withheld) {
        struct pending_append *pending = &current->pending[current->sent++];

        CU_ASSERT_FATAL(current->sent <= CALLS_MAX);
        CU_ASSERT_FATAL(call->count <= RECORDS_MAX);
        pending->call = *call;
        memcpy(pending->records, call->records,
               call->count * sizeof(call->records[0]));
        pending->call.records = pending->records;
        return;
    }
    if (!current->answers_lost) {
        fake_store_append(store, call);
        return;
    }
    store_model_append(current->store.model, call);
    call->done(call->context, &unknown);
}

static void
on_confirmed(void *context, struct timespec sent)
{
    (void)sent;
    ((struct fixture *)context)->confirmed++;
}

static void
on_lost(void *context, const char *reason)
{
    ((struct fixture *)context)->lost = reason;
}

static void
on_stored(void *context, struct owner_batch *batch)
{
    struct fixture *fixture = context;

    CU_ASSERT_STRING_EQUAL(owner_batch_ids(batch)->pdata[0], "job");
    fixture->stored++;
}

static void
fixture_begin(struct fixture *fixture)
{
    static struct cw_store_ops ops;
    struct owner_log_options options = {.store = &fixture->store.base,
                                        .clock = &fixture->clock.base,
                                        .counters = &fixture->counters,
                                        .topic = "t",
                                        .confirmed = on_confirmed,
                                        .lost = on_lost,
                                        .context = fixture};

    memset(fixture, 0, sizeof(*fixture));
    cw_log_setup("error", "test");
    ops = fake_store_ops;
    ops.append = append;
    fixture->store.base.ops = &ops;
    fixture->store.model = store_model_create(1);
    cw_clock_manual_init(&fixture->clock);
    fixture->clock.now = cw_time_from_ms(1000);
    fixture->log = owner_log_create(&options);
    current = fixture;
}

static void
fixture_end(struct fixture *fixture)
{
    owner_log_free(fixture->log);
    store_model_free(fixture->store.model);
}

static void
send(struct fixture *fixture, const char *key)
{
    struct owner_batch *batch = owner_batch_new(on_stored, fixture);
    GByteArray *value = g_byte_array_new();

    g_byte_array_append(value, (const guint8 *)"x", 1);
    owner_batch_add_id(batch, "job");
    owner_batch_put(batch, g_strdup(key), value);
    owner_log_send(fixture->log, batch);
}

static void
run(struct fixture *fixture, unsigned ms)
{
    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        fixture->clock.now = cw_time_add_ms(fixture->clock.now, STEP_MS);
        owner_log_tick(fixture->log, fixture->clock.now);
    }
}

/* Appends as another writer with this epoch. */
static void
fence(struct fixture *fixture, uint64_t epoch)
{
    struct cw_store_append call = {
        .topic = "t", .writer = "owner", .epoch = epoch};

    store_model_append(fixture->store.model, &call);
}

static void
test_a_log_opens_and_stores_batches_in_order(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    CU_ASSERT_FALSE(owner_log_is_idle(fixture.log));
    owner_log_open(fixture.log, 3);
    CU_ASSERT_TRUE(owner_log_is_idle(fixture.log));
    CU_ASSERT_EQUAL(owner_log_open_offset(fixture.log), 0);
    send(&fixture, "a");
    send(&fixture, "b");
    CU_ASSERT_EQUAL(fixture.stored, 2);
    CU_ASSERT_EQUAL(fixture.confirmed, 3);
    CU_ASSERT_EQUAL(store_model_end(fixture.store.model, "t"), 2);
    fixture_end(&fixture);
}

static void
test_a_refused_batch_is_retried_until_it_is_stored(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    owner_log_open(fixture.log, 3);
    fixture.store.answer_status = CW_STORE_NOT_EXECUTED;
    send(&fixture, "a");
    run(&fixture, 1000);
    CU_ASSERT_EQUAL(fixture.stored, 0);
    CU_ASSERT_FALSE(owner_log_is_idle(fixture.log));
    fixture.store.answer_status = CW_STORE_OK;
    run(&fixture, STEP_MS);
    CU_ASSERT_EQUAL(fixture.stored, 1);
    CU_ASSERT_EQUAL(store_model_end(fixture.store.model, "t"), 1);
    fixture_end(&fixture);
}

static void
test_a_batch_without_an_answer_is_stored_once(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    owner_log_open(fixture.log, 3);
    fixture.answers_lost = true;
    send(&fixture, "a");
    run(&fixture, 500);
    CU_ASSERT_EQUAL(fixture.stored, 0);
    fixture.answers_lost = false;
    run(&fixture, STEP_MS);
    CU_ASSERT_EQUAL(fixture.stored, 1);
    CU_ASSERT_EQUAL(store_model_end(fixture.store.model, "t"), 1);
    fixture_end(&fixture);
}

static void
test_a_fenced_writer_reports_it_and_stops_writing(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    owner_log_open(fixture.log, 3);
    fence(&fixture, 4);
    send(&fixture, "a");
    CU_ASSERT_EQUAL(g_strcmp0(fixture.lost, "higher_epoch"), 0);
    CU_ASSERT_FALSE(owner_log_is_open(fixture.log));
    CU_ASSERT_EQUAL(fixture.stored, 0);
    CU_ASSERT_EQUAL(store_model_end(fixture.store.model, "t"), 0);
    fixture_end(&fixture);
}

static void
test_a_lower_epoch_does_not_open(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    fence(&fixture, 9);
    owner_log_open(fixture.log, 3);
    CU_ASSERT_FALSE(owner_log_is_open(fixture.log));
    CU_ASSERT_PTR_NOT_NULL(fixture.lost);
    fixture_end(&fixture);
}

static void
test_a_closed_log_abandons_the_batch_in_flight(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    owner_log_open(fixture.log, 3);
    fixture.store.answer_status = CW_STORE_NOT_EXECUTED;
    send(&fixture, "a");
    owner_log_close(fixture.log);
    fixture.store.answer_status = CW_STORE_OK;
    run(&fixture, 1000);
    CU_ASSERT_EQUAL(fixture.stored, 0);
    owner_log_open(fixture.log, 4);
    CU_ASSERT_TRUE(owner_log_is_idle(fixture.log));
    fixture_end(&fixture);
}

/* ---- several batches in flight ---- */

/* Opens the log and sends this many batches; the store has none of them. */
static void
send_withheld(struct fixture *fixture, unsigned count)
{
    static const char *const keys[] = {"a", "b", "c", "d"};

    fixture_begin(fixture);
    owner_log_open(fixture->log, 3);
    fixture->withheld = true;
    for (unsigned i = 0; i < count; i++) {
        CU_ASSERT_TRUE_FATAL(owner_log_may_send(fixture->log));
        send(fixture, keys[i]);
    }
    CU_ASSERT_EQUAL_FATAL(fixture->sent, count);
}

/* The n-th append reaches the store. */
static void
arrive(struct fixture *fixture, unsigned n)
{
    struct pending_append *pending = &fixture->pending[n];

    pending->result = store_model_append(fixture->store.model, &pending->call);
}

/* The answer to the n-th append reaches the log. */
static void
answer(struct fixture *fixture, unsigned n)
{
    const struct pending_append *pending = &fixture->pending[n];

    pending->call.done(pending->call.context, &pending->result);
}

static void
answer_as(struct fixture *fixture, unsigned n, enum cw_store_status status)
{
    fixture->pending[n].result.status = status;
    answer(fixture, n);
}

static void
arrive_and_answer(struct fixture *fixture, unsigned n)
{
    arrive(fixture, n);
    answer(fixture, n);
}

/* Sends again what is due now, without time passing. */
static void
tick(struct fixture *fixture)
{
    owner_log_tick(fixture->log, fixture->clock.now);
}

/* The store has exactly the keys, in this order, and the log knows it. */
static void
assert_stored(struct fixture *fixture, const char *keys)
{
    struct store_model_page page;

    store_model_read(fixture->store.model, "t", 0, &page);
    CU_ASSERT_EQUAL_FATAL(page.page.count, strlen(keys));
    for (size_t i = 0; i < page.page.count; i++) {
        CU_ASSERT_EQUAL(page.page.records[i].key[0], keys[i]);
    }
    store_model_page_clear(&page);
    CU_ASSERT_EQUAL(fixture->stored, strlen(keys));
    CU_ASSERT_PTR_NULL(fixture->lost);
    CU_ASSERT_TRUE(owner_log_is_idle(fixture->log));
}

static void
test_an_answer_proves_that_earlier_batches_are_stored(void)
{
    struct fixture fixture;

    send_withheld(&fixture, 2);
    arrive(&fixture, 0);
    arrive_and_answer(&fixture, 1);
    assert_stored(&fixture, "ab");
    answer(&fixture, 0);
    assert_stored(&fixture, "ab");
    fixture_end(&fixture);
}

static void
test_a_batch_that_overtook_another_is_sent_after_it(void)
{
    struct fixture fixture;

    send_withheld(&fixture, 2);
    arrive_and_answer(&fixture, 1);
    tick(&fixture);
    CU_ASSERT_EQUAL(fixture.sent, 2);
    CU_ASSERT_EQUAL(fixture.stored, 0);
    arrive_and_answer(&fixture, 0);
    CU_ASSERT_EQUAL(fixture.stored, 1);
    tick(&fixture);
    CU_ASSERT_EQUAL_FATAL(fixture.sent, 3);
    arrive_and_answer(&fixture, 2);
    assert_stored(&fixture, "ab");
    fixture_end(&fixture);
}

/* If the second batch took the number that the store expected then, the store
 * would take it for the first one, and its records would be lost. */
static void
test_a_refusal_that_comes_late_does_not_renumber(void)
{
    struct fixture fixture;

    send_withheld(&fixture, 2);
    arrive(&fixture, 1);
    arrive_and_answer(&fixture, 0);
    answer(&fixture, 1);
    CU_ASSERT_PTR_NULL(fixture.lost);
    tick(&fixture);
    CU_ASSERT_EQUAL_FATAL(fixture.sent, 3);
    CU_ASSERT_EQUAL(fixture.pending[2].call.sequence,
                    fixture.pending[1].call.sequence);
    arrive_and_answer(&fixture, 2);
    assert_stored(&fixture, "ab");
    fixture_end(&fixture);
}

static void
test_a_lost_batch_is_sent_before_those_after_it(void)
{
    struct fixture fixture;

    send_withheld(&fixture, 3);
    arrive_and_answer(&fixture, 2);
    arrive_and_answer(&fixture, 1);
    answer_as(&fixture, 0, CW_STORE_UNKNOWN);
    CU_ASSERT_FALSE(owner_log_may_send(fixture.log));
    run(&fixture, STEP_MS);
    CU_ASSERT_EQUAL_FATAL(fixture.sent, 4);
    arrive_and_answer(&fixture, 3);
    CU_ASSERT_EQUAL(fixture.stored, 1);
    tick(&fixture);
    CU_ASSERT_EQUAL_FATAL(fixture.sent, 6);
    arrive_and_answer(&fixture, 5); /* overtakes again */
    arrive_and_answer(&fixture, 4);
    tick(&fixture);
    CU_ASSERT_EQUAL_FATAL(fixture.sent, 7);
    arrive_and_answer(&fixture, 6);
    arrive(&fixture, 0); /* the lost attempt is carried out late */
    assert_stored(&fixture, "abc");
    fixture_end(&fixture);
}

static void
test_lost_answers_of_all_batches_store_each_once(void)
{
    struct fixture fixture;

    send_withheld(&fixture, 4);
    CU_ASSERT_FALSE(owner_log_may_send(fixture.log));
    for (unsigned i = 0; i < 4; i++) {
        arrive(&fixture, i);
        answer_as(&fixture, i, CW_STORE_UNKNOWN);
    }
    fixture.withheld = false;
    run(&fixture, 2 * STEP_MS);
    assert_stored(&fixture, "abcd");
    fixture_end(&fixture);
}

/* The store is away for both, and carries out the second attempt of neither
 * before the first batch is sent again. */
static void
test_refused_batches_are_stored_in_order(void)
{
    struct fixture fixture;

    send_withheld(&fixture, 2);
    answer_as(&fixture, 1, CW_STORE_NOT_EXECUTED);
    answer_as(&fixture, 0, CW_STORE_NOT_EXECUTED);
    run(&fixture, STEP_MS);
    CU_ASSERT_EQUAL_FATAL(fixture.sent, 3);
    CU_ASSERT_EQUAL(fixture.pending[2].call.sequence,
                    fixture.pending[0].call.sequence);
    fixture.withheld = false;
    arrive_and_answer(&fixture, 2);
    run(&fixture, STEP_MS);
    assert_stored(&fixture, "ab");
    fixture_end(&fixture);
}

static void
test_a_writer_fenced_between_two_batches_stores_the_first_only(void)
{
    struct fixture fixture;

    send_withheld(&fixture, 3);
    arrive(&fixture, 0);
    fence(&fixture, 4);
    arrive(&fixture, 1);
    arrive(&fixture, 2);
    answer(&fixture, 0);
    CU_ASSERT_EQUAL(fixture.stored, 1);
    answer(&fixture, 1);
    CU_ASSERT_EQUAL(g_strcmp0(fixture.lost, "higher_epoch"), 0);
    answer(&fixture, 2);
    CU_ASSERT_EQUAL(fixture.stored, 1);
    CU_ASSERT_EQUAL(fixture.confirmed, 2);
    CU_ASSERT_EQUAL(store_model_end(fixture.store.model, "t"), 1);
    fixture_end(&fixture);
}

static void
test_a_log_closed_with_batches_in_flight_ignores_their_answers(void)
{
    struct fixture fixture;

    send_withheld(&fixture, 3);
    arrive_and_answer(&fixture, 1);
    owner_log_close(fixture.log);
    arrive_and_answer(&fixture, 0);
    arrive_and_answer(&fixture, 2);
    run(&fixture, 1000);
    CU_ASSERT_EQUAL(fixture.stored, 0);
    CU_ASSERT_EQUAL(fixture.sent, 3);
    CU_ASSERT_PTR_NULL(fixture.lost);
    fixture_end(&fixture);
}

static void
test_another_writer_with_the_epoch_loses_the_log(void)
{
    const struct cw_store_append other = {
        .topic = "t", .writer = "owner", .epoch = 3, .sequence = 1};
    struct fixture fixture;

    send_withheld(&fixture, 2);
    for (unsigned i = 0; i < 6; i++) {
        struct cw_store_append call = other;

        call.sequence += i;
        store_model_append(fixture.store.model, &call);
    }
    arrive_and_answer(&fixture, 0);
    CU_ASSERT_EQUAL(g_strcmp0(fixture.lost, "sequence"), 0);
    answer_as(&fixture, 1, CW_STORE_UNKNOWN);
    CU_ASSERT_EQUAL(fixture.stored, 0);
    fixture_end(&fixture);
}

static const struct test tests[] = {
    {"in order", test_a_log_opens_and_stores_batches_in_order},
    {"refused", test_a_refused_batch_is_retried_until_it_is_stored},
    {"no answer", test_a_batch_without_an_answer_is_stored_once},
    {"fenced", test_a_fenced_writer_reports_it_and_stops_writing},
    {"lower epoch", test_a_lower_epoch_does_not_open},
    {"closed", test_a_closed_log_abandons_the_batch_in_flight},
    {"earlier", test_an_answer_proves_that_earlier_batches_are_stored},
    {"overtaken", test_a_batch_that_overtook_another_is_sent_after_it},
    {"late refusal", test_a_refusal_that_comes_late_does_not_renumber},
    {"lost batch", test_a_lost_batch_is_sent_before_those_after_it},
    {"lost answers", test_lost_answers_of_all_batches_store_each_once},
    {"all refused", test_refused_batches_are_stored_in_order},
    {"halfway",
     test_a_writer_fenced_between_two_batches_stores_the_first_only},
    {"several closed",
     test_a_log_closed_with_batches_in_flight_ignores_their_answers},
    {"epoch in use", test_another_writer_with_the_epoch_loses_the_log},
};

TEST_MAIN("owner_log", tests)

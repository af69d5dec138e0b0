/* Fenced appends of one writer: each is retried until it is known to be
 * stored, and stored once. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_log.h"
#include "owner/internal/owner_log.h"
#include "fake_store.h"

enum { STEP_MS = 100 };

struct fixture {
    struct fake_store store;
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct owner_log *log;
    unsigned stored;
    unsigned confirmed;
    const char *lost;
    bool answers_lost; /* the store accepts appends and does not answer */
};

static struct fixture *current;

static void
append(struct cw_store *store, const struct cw_store_append *call)
{
    struct cw_store_append_result unknown = {.status = CW_STORE_UNKNOWN};

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

static const struct test tests[] = {
    {"in order", test_a_log_opens_and_stores_batches_in_order},
    {"refused", test_a_refused_batch_is_retried_until_it_is_stored},
    {"no answer", test_a_batch_without_an_answer_is_stored_once},
    {"fenced", test_a_fenced_writer_reports_it_and_stops_writing},
    {"lower epoch", test_a_lower_epoch_does_not_open},
    {"closed", test_a_closed_log_abandons_the_batch_in_flight},
};

TEST_MAIN("owner_log", tests)

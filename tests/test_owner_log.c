/* Fenced appends, each until it is known to be stored. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_log.h"
#include "owner/internal/owner_log.h"
#include "store_port.h"

enum { STEP_MS = 100 };

struct bed {
    struct store_port store;
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct owner_log *log;
    unsigned stored;
    unsigned proved;
    const char *lost;
    bool answers_lost; /* the store takes appends and does not say so */
};

static struct bed *current;

static void
append(struct cw_store *store, const struct cw_store_append *call)
{
    struct cw_store_appended unknown = {.status = CW_STORE_UNKNOWN};

    if (!current->answers_lost) {
        store_port_append(store, call);
        return;
    }
    store_model_append(current->store.model, call);
    call->done(call->context, &unknown);
}

static void
on_proved(void *context, struct timespec sent)
{
    (void)sent;
    ((struct bed *)context)->proved++;
}

static void
on_lost(void *context, const char *reason)
{
    ((struct bed *)context)->lost = reason;
}

static void
on_stored(void *context, struct owner_batch *batch)
{
    struct bed *bed = context;

    CU_ASSERT_STRING_EQUAL(owner_batch_jobs(batch)->pdata[0], "job");
    bed->stored++;
}

static void
bed_begin(struct bed *bed)
{
    static struct cw_store_ops ops;
    struct owner_log_options options = {.store = &bed->store.base,
                                        .clock = &bed->clock.base,
                                        .counters = &bed->counters,
                                        .topic = "t",
                                        .proved = on_proved,
                                        .lost = on_lost,
                                        .context = bed};

    memset(bed, 0, sizeof(*bed));
    cw_log_setup("error", "test");
    ops = store_port_ops;
    ops.append = append;
    bed->store.base.ops = &ops;
    bed->store.model = store_model_create(1);
    cw_clock_manual_init(&bed->clock);
    bed->clock.now = cw_time_from_ms(1000);
    bed->log = owner_log_create(&options);
    current = bed;
}

static void
bed_end(struct bed *bed)
{
    owner_log_free(bed->log);
    store_model_free(bed->store.model);
}

static void
send(struct bed *bed, const char *key)
{
    struct owner_batch *batch = owner_batch_new(on_stored, bed);
    GByteArray *value = g_byte_array_new();

    g_byte_array_append(value, (const guint8 *)"x", 1);
    owner_batch_note(batch, "job");
    owner_batch_put(batch, g_strdup(key), value);
    owner_log_send(bed->log, batch);
}

static void
run(struct bed *bed, unsigned ms)
{
    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        bed->clock.now = cw_time_add_ms(bed->clock.now, STEP_MS);
        owner_log_tick(bed->log, bed->clock.now);
    }
}

/* Another writer with this epoch. */
static void
fence(struct bed *bed, uint64_t epoch)
{
    struct cw_store_append call = {
        .topic = "t", .writer = "owner", .epoch = epoch};

    store_model_append(bed->store.model, &call);
}

static void
test_a_log_opens_and_takes_batches_in_order(void)
{
    struct bed bed;

    bed_begin(&bed);
    CU_ASSERT_FALSE(owner_log_is_idle(bed.log));
    owner_log_open(bed.log, 3);
    CU_ASSERT_TRUE(owner_log_is_idle(bed.log));
    CU_ASSERT_EQUAL(owner_log_opened_at(bed.log), 0);
    send(&bed, "a");
    send(&bed, "b");
    CU_ASSERT_EQUAL(bed.stored, 2);
    CU_ASSERT_EQUAL(bed.proved, 3);
    CU_ASSERT_EQUAL(store_model_end(bed.store.model, "t"), 2);
    bed_end(&bed);
}

static void
test_a_refused_batch_is_tried_until_it_is_stored(void)
{
    struct bed bed;

    bed_begin(&bed);
    owner_log_open(bed.log, 3);
    bed.store.refuses = CW_STORE_REFUSED;
    send(&bed, "a");
    run(&bed, 1000);
    CU_ASSERT_EQUAL(bed.stored, 0);
    CU_ASSERT_FALSE(owner_log_is_idle(bed.log));
    bed.store.refuses = CW_STORE_OK;
    run(&bed, STEP_MS);
    CU_ASSERT_EQUAL(bed.stored, 1);
    CU_ASSERT_EQUAL(store_model_end(bed.store.model, "t"), 1);
    bed_end(&bed);
}

static void
test_a_batch_without_an_answer_is_stored_once(void)
{
    struct bed bed;

    bed_begin(&bed);
    owner_log_open(bed.log, 3);
    bed.answers_lost = true;
    send(&bed, "a");
    run(&bed, 500);
    CU_ASSERT_EQUAL(bed.stored, 0);
    bed.answers_lost = false;
    run(&bed, STEP_MS);
    CU_ASSERT_EQUAL(bed.stored, 1);
    CU_ASSERT_EQUAL(store_model_end(bed.store.model, "t"), 1);
    bed_end(&bed);
}

static void
test_a_writer_that_is_shut_out_says_so_and_writes_no_more(void)
{
    struct bed bed;

    bed_begin(&bed);
    owner_log_open(bed.log, 3);
    fence(&bed, 4);
    send(&bed, "a");
    CU_ASSERT_EQUAL(g_strcmp0(bed.lost, "higher_epoch"), 0);
    CU_ASSERT_FALSE(owner_log_is_open(bed.log));
    CU_ASSERT_EQUAL(bed.stored, 0);
    CU_ASSERT_EQUAL(store_model_end(bed.store.model, "t"), 0);
    bed_end(&bed);
}

static void
test_a_lower_epoch_does_not_open(void)
{
    struct bed bed;

    bed_begin(&bed);
    fence(&bed, 9);
    owner_log_open(bed.log, 3);
    CU_ASSERT_FALSE(owner_log_is_open(bed.log));
    CU_ASSERT_PTR_NOT_NULL(bed.lost);
    bed_end(&bed);
}

static void
test_a_closed_log_forgets_what_was_under_way(void)
{
    struct bed bed;

    bed_begin(&bed);
    owner_log_open(bed.log, 3);
    bed.store.refuses = CW_STORE_REFUSED;
    send(&bed, "a");
    owner_log_close(bed.log);
    bed.store.refuses = CW_STORE_OK;
    run(&bed, 1000);
    CU_ASSERT_EQUAL(bed.stored, 0);
    owner_log_open(bed.log, 4);
    CU_ASSERT_TRUE(owner_log_is_idle(bed.log));
    bed_end(&bed);
}

static const struct test tests[] = {
    {"in order", test_a_log_opens_and_takes_batches_in_order},
    {"refused", test_a_refused_batch_is_tried_until_it_is_stored},
    {"no answer", test_a_batch_without_an_answer_is_stored_once},
    {"shut out", test_a_writer_that_is_shut_out_says_so_and_writes_no_more},
    {"lower epoch", test_a_lower_epoch_does_not_open},
    {"closed", test_a_closed_log_forgets_what_was_under_way},
};

TEST_MAIN("owner_log", tests)

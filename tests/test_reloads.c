/* Tests of jobs after a load that replaces dropped history: what the load does
 * not contain, and what the log does not bring from its first page on, does
 * not exist any more.  The pages of a load are not a snapshot. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_replica.h"
#include "curlewcart/cw_xdr.h"
#include "fake_store.h"
#include "work_spec.h"

enum {
    OLD_BODY = 11,
    NEW_BODY = 22,
    PAGES_MS = 50,
    /* Wall-clock time at which an id is used again. */
    USED_AGAIN_MS = 61000
};

struct fixture {
    struct fake_store fake;
    struct cw_clock_manual clock;
    struct cw_replica *replica;
    GString *removed; /* ids, in the order of the calls */
    void (*after_first_page)(struct fixture *fixture);
    bool loading;
    unsigned told;            /* of the new job "b" */
    bool known_while_loading; /* job "b" was found after the first page */
};

static struct fixture *current;

/* Calls the test after the first page of a load was answered. */
static void
newest_then_call(struct cw_store *store,
                 const struct cw_store_read_newest *call)
{
    bool first = call->after == NULL;

    fake_store_newest(store, call);
    if (first && current->after_first_page != NULL) {
        current->known_while_loading =
            cw_replica_find_job(current->replica, "b") != NULL;
        current->after_first_page(current);
    }
}

static void
on_job_removed(void *context, const struct cw_replica_job *job)
{
    g_string_append(((struct fixture *)context)->removed, job->id);
}

static void
put(struct fixture *fixture, const char *key, const GByteArray *value)
{
    struct cw_store_record record = {
        .key = key,
        .value = value != NULL ? value->data : (const guint8 *)"",
        .length = value != NULL ? value->len : 0};
    struct cw_store_append append = {
        .topic = CW_JOBS_TOPIC, .records = &record, .count = 1};

    store_model_append(fixture->fake.model, &append);
}

static void
put_spec_at(struct fixture *fixture, const char *id, uint64_t body,
            int64_t accepted_ms)
{
    const struct work_spec_options options = {
        .id = id, .body_hash = body, .accepted_ms = accepted_ms};
    GByteArray *bytes = work_spec_encode(&options);
    char *key = g_strdup_printf("s%s", id);

    put(fixture, key, bytes);
    g_free(key);
    g_byte_array_unref(bytes);
}

static void
put_spec(struct fixture *fixture, const char *id, uint64_t body)
{
    put_spec_at(fixture, id, body, 0);
}

static void
put_end(struct fixture *fixture, const char *id)
{
    struct cw_work_record record = {.phase = CW_WORK_COMPLETED,
                                    .started = true,
                                    .ended_ms = 5,
                                    .result = (char *)""};
    GByteArray *bytes = cw_xdr_encode((xdrproc_t)xdr_cw_work_record, &record);
    char *key = g_strdup_printf("r%s", id);

    put(fixture, key, bytes);
    g_free(key);
    g_byte_array_unref(bytes);
}

/* Deletes the job's records as an owner does, its state last. */
static void
delete_job(struct fixture *fixture, const char *id)
{
    char *spec = g_strdup_printf("s%s", id);
    char *state = g_strdup_printf("r%s", id);

    put(fixture, spec, NULL);
    put(fixture, state, NULL);
    g_free(spec);
    g_free(state);
}

static void
advance_ms(struct fixture *fixture, unsigned ms)
{
    for (unsigned i = 0; i < ms; i++) {
        fixture->clock.now = cw_time_add_ms(fixture->clock.now, 1);
        cw_follower_tick(cw_replica_follower(fixture->replica),
                         fixture->clock.now);
    }
}

/* Begins with jobs "a" and "b" known. */
static void
fixture_begin(struct fixture *fixture)
{
    static struct cw_store_ops ops;
    struct cw_replica_options options = {.store = &fixture->fake.base,
                                         .clock = &fixture->clock.base,
                                         .read_interval_ms = 10};
    struct cw_replica_listener listener = {.job_removed = on_job_removed,
                                           .context = fixture};

    memset(fixture, 0, sizeof(*fixture));
    current = fixture;
    cw_log_setup("error", "test");
    ops = fake_store_ops;
    ops.newest = newest_then_call;
    fixture->fake.base.ops = &ops;
    fixture->fake.model = store_model_create(1);
    fixture->fake.page_records_max = 1;
    cw_clock_manual_init(&fixture->clock);
    fixture->removed = g_string_new(NULL);
    fixture->replica = cw_replica_create(&options);
    cw_replica_set_listener(fixture->replica, &listener);
    advance_ms(fixture, PAGES_MS);
    put_spec(fixture, "a", OLD_BODY);
    put_spec(fixture, "b", OLD_BODY);
    advance_ms(fixture, PAGES_MS);
    CU_ASSERT_PTR_NOT_NULL_FATAL(cw_replica_find_job(fixture->replica, "b"));
}

static void
fixture_end(struct fixture *fixture)
{
    cw_replica_free(fixture->replica);
    store_model_free(fixture->fake.model);
    g_string_free(fixture->removed, TRUE);
}

/* Drops the history that the VM has not read, so that it loads. */
static void
load_again(struct fixture *fixture)
{
    store_model_compact(fixture->fake.model, CW_JOBS_TOPIC);
    advance_ms(fixture, PAGES_MS);
}

/* Guards against TWICE: a VM that was cut off for longer than the store keeps
 * history knows jobs that have ended and were deleted meanwhile, and runs them
 * again as the owner. */
static void
test_job_deleted_in_dropped_history_is_removed(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    put_end(&fixture, "a");
    delete_job(&fixture, "a");
    load_again(&fixture);
    CU_ASSERT_PTR_NULL(cw_replica_find_job(fixture.replica, "a"));
    CU_ASSERT_PTR_NOT_NULL(cw_replica_find_job(fixture.replica, "b"));
    CU_ASSERT_STRING_EQUAL(fixture.removed->str, "a");
    fixture_end(&fixture);
}

static void
write_job_before_the_page(struct fixture *fixture)
{
    put_spec(fixture, "0", OLD_BODY); /* its key comes before "sa" */
}

/* Guards against LOST: a job that is written while a load runs, after the page
 * that would hold it. */
static void
test_job_written_while_loading_is_read(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    put_end(&fixture, "b");
    fixture.after_first_page = write_job_before_the_page;
    load_again(&fixture);
    CU_ASSERT_TRUE(fixture.known_while_loading);
    CU_ASSERT_PTR_NOT_NULL(cw_replica_find_job(fixture.replica, "0"));
    CU_ASSERT_PTR_NOT_NULL(cw_replica_find_job(fixture.replica, "a"));
    CU_ASSERT_STRING_EQUAL(fixture.removed->str, "");
    fixture_end(&fixture);
}

static void
delete_b(struct fixture *fixture)
{
    delete_job(fixture, "b");
}

/* Guards against a job that is deleted while a load runs, before or after the
 * page that holds it, and stays. */
static void
test_job_deleted_while_loading_is_removed(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    put_spec(&fixture, "c", OLD_BODY);
    fixture.after_first_page = delete_b; /* the page holds "sa" */
    load_again(&fixture);
    CU_ASSERT_PTR_NULL(cw_replica_find_job(fixture.replica, "b"));
    fixture_end(&fixture);

    fixture_begin(&fixture);
    put_end(&fixture, "b");
    fixture.after_first_page = delete_b; /* the page holds "rb" */
    load_again(&fixture);
    CU_ASSERT_PTR_NULL(cw_replica_find_job(fixture.replica, "b"));
    fixture_end(&fixture);
}

/* Guards against UNASKED: an id that was used again for another job keeps the
 * specification of the former one. */
static void
test_id_used_again_is_another_job(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    put_end(&fixture, "a");
    delete_job(&fixture, "a");
    put_spec_at(&fixture, "a", NEW_BODY, USED_AGAIN_MS);
    load_again(&fixture);
    CU_ASSERT_PTR_NOT_NULL_FATAL(cw_replica_find_job(fixture.replica, "a"));
    CU_ASSERT_EQUAL(cw_replica_find_job(fixture.replica, "a")->spec->body_hash,
                    NEW_BODY);
    CU_ASSERT_STRING_EQUAL(fixture.removed->str, "a");
    fixture_end(&fixture);
}

/* Guards against an outcome or a cancellation that a load brings and that is
 * not added to a job which was known. */
static void
test_known_job_takes_what_the_load_brings(void)
{
    struct fixture fixture;
    GByteArray *value = g_byte_array_new();

    fixture_begin(&fixture);
    g_byte_array_append(value, (const guint8 *)"1", 1);
    put_end(&fixture, "a");
    put(&fixture, "cb.1", value);
    load_again(&fixture);
    CU_ASSERT_EQUAL(
        cw_replica_phase(cw_replica_find_job(fixture.replica, "a")),
        CW_WORK_COMPLETED);
    CU_ASSERT_EQUAL(
        cw_replica_phase(cw_replica_find_job(fixture.replica, "b")),
        CW_WORK_CANCELLED);
    CU_ASSERT_STRING_EQUAL(fixture.removed->str, "");
    g_byte_array_unref(value);
    fixture_end(&fixture);
}

/* Guards against LOST: a submission that was refused, as another VM had stored
 * a job of that id before, replaces that job. */
static void
test_refused_submission_replaces_no_job(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    put_spec(&fixture, "a", NEW_BODY);
    advance_ms(&fixture, PAGES_MS);
    put_end(&fixture, "b");
    load_again(&fixture);
    CU_ASSERT_EQUAL(cw_replica_find_job(fixture.replica, "a")->spec->body_hash,
                    OLD_BODY);
    CU_ASSERT_STRING_EQUAL(fixture.removed->str, "");
    fixture_end(&fixture);
}

/* Guards against LOST: a job is cancelled by an attempt to cancel a former job
 * of its id. */
static void
test_cancellation_of_former_job_is_dropped(void)
{
    struct fixture fixture;
    GByteArray *value = g_byte_array_new();

    fixture_begin(&fixture);
    g_byte_array_append(value, (const guint8 *)"1", 1);
    put(&fixture, "ca.1", value);
    advance_ms(&fixture, PAGES_MS);
    put_end(&fixture, "a");
    put(&fixture, "ca.1", NULL);
    delete_job(&fixture, "a");
    put_spec(&fixture, "a", OLD_BODY);
    load_again(&fixture);
    CU_ASSERT_PTR_NOT_NULL_FATAL(cw_replica_find_job(fixture.replica, "a"));
    CU_ASSERT_FALSE(cw_replica_find_job(fixture.replica, "a")->cancelled);
    g_byte_array_unref(value);
    fixture_end(&fixture);
}

static void
use_id_again(struct fixture *fixture)
{
    delete_job(fixture, "b");
    put_spec_at(fixture, "b", NEW_BODY, USED_AGAIN_MS);
}

static void
count_new_b(void *context, struct cw_replica_job *job)
{
    struct fixture *fixture = context;

    fixture->told +=
        strcmp(job->id, "b") == 0 && job->spec->body_hash == NEW_BODY;
}

/* Guards against a job that is freed behind its listener, as the log brings
 * the deletion of a former job of its id after a load. */
static void
test_deletion_of_former_job_removes_no_job(void)
{
    struct fixture fixture;
    struct cw_replica_listener listener = {.job_changed = count_new_b,
                                           .context = &fixture};

    fixture_begin(&fixture);
    cw_replica_set_listener(fixture.replica, &listener);
    put_end(&fixture, "b");
    fixture.after_first_page = use_id_again;
    load_again(&fixture);
    CU_ASSERT_EQUAL(fixture.told, 1);
    fixture_end(&fixture);
}

static const struct test tests[] = {
    {"refused submission", test_refused_submission_replaces_no_job},
    {"cancellation of a former job",
     test_cancellation_of_former_job_is_dropped},
    {"deletion of a former job", test_deletion_of_former_job_removes_no_job},
    {"deleted in dropped history",
     test_job_deleted_in_dropped_history_is_removed},
    {"written while loading", test_job_written_while_loading_is_read},
    {"deleted while loading", test_job_deleted_while_loading_is_removed},
    {"id used again", test_id_used_again_is_another_job},
    {"known job", test_known_job_takes_what_the_load_brings},
};

TEST_MAIN("reloads", tests)

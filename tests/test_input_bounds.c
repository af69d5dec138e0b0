/* Tests of what callers and operators may write without a limit on the
 * platform's pages: whatever is accepted can be stored, and whatever cannot be
 * stored is refused at once. */
#include "test_main.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "curlewcart/cw_entry.h"
#include "curlewcart/cw_log.h"
#include "curlewcart/cw_settings.h"
#include "curlewcart/cw_xdr.h"
#include "platform/platform.h"
#include "fake_store.h"
#include "work_spec.h"

#define ID "5c0e7a21d94b36f8"

enum {
    BUDGET_MS = 900,
    FORMER_NAME_LIMIT = 64,
    FORMER_STEP_LIMIT = 64,
    FORMER_TASK_LIMIT = 4096,
    RECORD_BYTES = 4096
};

struct fixture {
    struct fake_store fake;
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct cw_replica *replica;
    struct cw_entry *entry;
    int outcome; /* -1: no answer yet */
};

static void
fixture_begin(struct fixture *fixture)
{
    struct cw_replica_options replica = {.store = &fixture->fake.base,
                                         .clock = &fixture->clock.base};
    struct cw_entry_options entry = {.store = &fixture->fake.base,
                                     .clock = &fixture->clock.base,
                                     .counters = &fixture->counters,
                                     .record_bytes = RECORD_BYTES};

    memset(fixture, 0, sizeof(*fixture));
    cw_log_setup("error", "test");
    cw_clock_manual_init(&fixture->clock);
    fixture->fake.base.ops = &fake_store_ops;
    fixture->fake.model = store_model_create(1);
    fixture->replica = cw_replica_create(&replica);
    entry.replica = fixture->replica;
    fixture->entry = cw_entry_create(&entry);
    fixture->outcome = -1;
}

static void
fixture_end(struct fixture *fixture)
{
    cw_entry_free(fixture->entry);
    cw_replica_free(fixture->replica);
    store_model_free(fixture->fake.model);
}

static void
on_done(void *context, enum cw_entry_outcome outcome)
{
    ((struct fixture *)context)->outcome = (int)outcome;
}

/* A name of `length` bytes, for free(). */
static char *
name_of(size_t length)
{
    char *name = malloc(length + 1);

    memset(name, 'n', length);
    name[length] = '\0';
    return name;
}

/* Decodes a body; the result is freed by xdr_free and g_free. */
static struct cw_work_spec *
decode(const char *body, enum cw_result *result)
{
    struct cw_work_spec *spec = g_new0(struct cw_work_spec, 1);
    char problem[128] = "";

    *result = platform_decode_job(body, strlen(body), spec, problem,
                                  sizeof(problem));
    if (*result == CW_OK) {
        *result = cw_work_check(spec, problem, sizeof(problem));
    }
    return spec;
}

static void
spec_free(struct cw_work_spec *spec)
{
    xdr_free((xdrproc_t)xdr_cw_work_spec, (char *)spec);
    g_free(spec);
}

/* Sets the parts of a specification that come from the configuration. */
static void
fill(struct cw_work_spec *spec, size_t name_length)
{
    spec->id = strdup(ID);
    spec->queue = name_of(name_length);
    spec->account = name_of(name_length);
    spec->service = name_of(name_length);
    spec->request = strdup("");
}

static void
submit(struct fixture *fixture, struct cw_work_spec *spec)
{
    cw_entry_submit(fixture->entry, spec, BUDGET_MS, on_done, fixture);
    for (unsigned i = 0; i < 10; i++) {
        fixture->clock.now = cw_time_add_ms(fixture->clock.now, 10);
        cw_follower_tick(cw_replica_follower(fixture->replica),
                         fixture->clock.now);
        cw_entry_tick(fixture->entry, fixture->clock.now);
    }
}

/* Guards against a daemon that ends by a job for a queue, account or service
 * with a long name. */
static void
test_a_job_with_long_names_is_stored(void)
{
    struct fixture fixture;
    enum cw_result result;
    struct cw_work_spec *spec =
        decode("{\"spec\":\"x\",\"steps\":[{\"count\":1}]}", &result);
    const struct cw_replica_job *job;

    fixture_begin(&fixture);
    fill(spec, FORMER_NAME_LIMIT + 1);
    submit(&fixture, spec);
    CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_STORED);
    job = cw_replica_find_job(fixture.replica, ID);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job);
    CU_ASSERT_EQUAL(strlen(job->spec->account), FORMER_NAME_LIMIT + 1);
    fixture_end(&fixture);
}

/* Guards against a job that the store refuses for ever: its caller is told at
 * once. */
static void
test_a_job_larger_than_a_record_is_refused_at_once(void)
{
    struct fixture fixture;
    enum cw_result result;
    struct cw_work_spec *spec =
        decode("{\"spec\":\"x\",\"steps\":[{\"count\":1}]}", &result);

    fixture_begin(&fixture);
    fill(spec, RECORD_BYTES);
    cw_entry_submit(fixture.entry, spec, BUDGET_MS, on_done, &fixture);
    CU_ASSERT_EQUAL(fixture.outcome, CW_ENTRY_TOO_LARGE);
    CU_ASSERT_EQUAL(fixture.fake.appends, 0);
    CU_ASSERT_EQUAL(cw_entry_pending(fixture.entry), 0);
    fixture_end(&fixture);
}

/* Guards against names that are refused although the pages allow them. */
static void
test_a_step_may_have_long_names(void)
{
    char *name = name_of(10 * FORMER_NAME_LIMIT);
    char *body = g_strdup_printf(
        "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"required_labels\":\"%s\","
        "\"data_rack\":\"%s\",\"image\":\"%s\"}]}",
        name, name, name);
    enum cw_result result;
    struct cw_work_spec *spec = decode(body, &result);

    CU_ASSERT_EQUAL(result, CW_OK);
    CU_ASSERT_STRING_EQUAL(spec->steps.steps_val[0].label, name);
    CU_ASSERT_STRING_EQUAL(spec->steps.steps_val[0].data_rack, name);
    CU_ASSERT_STRING_EQUAL(spec->steps.steps_val[0].image, name);
    spec_free(spec);
    g_free(body);
    free(name);
}

/* Guards against dependencies that are cut short: a step would begin too
 * early. */
static void
test_a_job_may_have_many_steps_and_dependencies(void)
{
    GString *body = g_string_new("{\"spec\":\"x\",\"steps\":[{\"count\":1}");
    enum cw_result result;
    struct cw_work_spec *spec;
    const struct cw_step_spec *last;

    for (unsigned i = 1; i < 2 * FORMER_STEP_LIMIT; i++) {
        g_string_append_printf(body, ",{\"count\":1,\"after\":[0");
        for (unsigned k = 1; k < i; k++) {
            g_string_append_printf(body, ",%u", k);
        }
        g_string_append(body, "]}");
    }
    g_string_append(body, "]}");
    spec = decode(body->str, &result);
    CU_ASSERT_EQUAL(result, CW_OK);
    CU_ASSERT_EQUAL_FATAL(spec->steps.steps_len, 2 * FORMER_STEP_LIMIT);
    last = &spec->steps.steps_val[spec->steps.steps_len - 1];
    CU_ASSERT_EQUAL(last->after.after_len, 2 * FORMER_STEP_LIMIT - 1);
    CU_ASSERT_EQUAL(last->after.after_val[last->after.after_len - 1],
                    2 * FORMER_STEP_LIMIT - 2);
    spec_free(spec);
    g_string_free(body, TRUE);
}

static enum cw_result
result_of(const char *body)
{
    enum cw_result result;

    spec_free(decode(body, &result));
    return result;
}

/* Guards against counts that wrap, or that a conversion leaves undefined. */
static void
test_numbers_are_kept_or_refused(void)
{
    char *body =
        g_strdup_printf("{\"steps\":[{\"count\":%d}]}", FORMER_TASK_LIMIT + 1);
    enum cw_result result;
    struct cw_work_spec *spec = decode(body, &result);

    CU_ASSERT_EQUAL(result, CW_OK);
    CU_ASSERT_EQUAL(spec->steps.steps_val[0].tasks, FORMER_TASK_LIMIT + 1);
    spec_free(spec);
    g_free(body);
    CU_ASSERT_EQUAL(result_of("{\"steps\":[{\"count\":4294967297}]}"),
                    CW_REF_TOO_LARGE);
    CU_ASSERT_EQUAL(result_of("{\"steps\":[{\"count\":1e300}]}"),
                    CW_REF_TOO_LARGE);
    CU_ASSERT_EQUAL(result_of("{\"steps\":[{\"count\":-1}]}"),
                    CW_REF_MALFORMED);
    CU_ASSERT_EQUAL(result_of("{\"steps\":[{\"count\":200000},"
                              "{\"count\":200000}]}"),
                    CW_REF_TOO_LARGE);
    CU_ASSERT_EQUAL(
        result_of("{\"steps\":[{\"count\":1}],\"start_at_ms\":1e300}"),
        CW_REF_MALFORMED);
    CU_ASSERT_EQUAL(
        result_of("{\"steps\":[{\"count\":1}],\"interval_ms\":-1e300}"),
        CW_REF_MALFORMED);
    CU_ASSERT_EQUAL(
        result_of("{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[-1]}]}"),
        CW_REF_MALFORMED);
    CU_ASSERT_EQUAL(
        result_of(
            "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[1e300]}]}"),
        CW_REF_MALFORMED);
}

/* Guards against a need that is taken for none: the job waits for a worker
 * that is large enough. */
static void
test_a_need_beyond_any_worker_is_kept(void)
{
    enum cw_result result;
    struct cw_work_spec *spec =
        decode("{\"steps\":[{\"count\":1,\"cpu\":3000000000,\"gpus\":1e300,"
               "\"estimate_ms\":9000000000}],\"repeat_count\":5000000000}",
               &result);
    const struct cw_step_spec *step = &spec->steps.steps_val[0];

    CU_ASSERT_EQUAL(result, CW_OK);
    CU_ASSERT_EQUAL(step->cpu_milli, G_MAXINT);
    CU_ASSERT_EQUAL(step->accelerators, G_MAXINT);
    CU_ASSERT_EQUAL(spec->repeats, G_MAXINT);
    CU_ASSERT_EQUAL(cw_work_critical_path_ms(spec), G_MAXINT);
    spec_free(spec);
}

/* Guards against a record in the store that no VM would have accepted: the
 * owner allocated as many tasks as it names. */
static void
test_a_stored_job_that_is_not_valid_is_ignored(void)
{
    struct fixture fixture;
    const struct work_spec_options options = {.id = ID, .tasks = 0xffffffff};
    GByteArray *bytes = work_spec_encode(&options);
    struct cw_store_record record = {
        .key = "s" ID, .value = bytes->data, .length = bytes->len};

    fixture_begin(&fixture);
    cw_replica_apply(fixture.replica, &record);
    CU_ASSERT_PTR_NULL(cw_replica_find_job(fixture.replica, ID)->spec);
    fixture_end(&fixture);
    g_byte_array_unref(bytes);
}

/* Guards against a VM whose name does not fit into keys of the store. */
static void
test_a_long_vm_name_is_shortened(void)
{
    char *name = name_of(500);
    char *text =
        g_strdup_printf("vm: %s\ndc: z\nlisten: {callers: \"127.0.0.1:0\", "
                        "ready: \"127.0.0.1:0\", inner: \"127.0.0.1:0\"}\n"
                        "store: \"127.0.0.1:1\"\n"
                        "bounds: {lease_ms: 6000, grace_s: 6, retain_s: 120, "
                        "member_ttl_ms: 1000}\n",
                        name);
    char *path = NULL;
    int file = g_file_open_tmp(NULL, &path, NULL);
    GString *problems = g_string_new(NULL);
    struct cw_settings *settings;

    CU_ASSERT_TRUE_FATAL(file >= 0 && close(file) == 0 &&
                         g_file_set_contents(path, text, -1, NULL));
    settings = cw_settings_load(path, problems);
    CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
    CU_ASSERT_EQUAL(strlen(settings->vm), 128);
    cw_settings_free(settings);
    g_string_free(problems, TRUE);
    remove(path);
    g_free(path);
    g_free(text);
    free(name);
}

static const struct test tests[] = {
    {"long names", test_a_job_with_long_names_is_stored},
    {"too large", test_a_job_larger_than_a_record_is_refused_at_once},
    {"long names of steps", test_a_step_may_have_long_names},
    {"many steps", test_a_job_may_have_many_steps_and_dependencies},
    {"numbers", test_numbers_are_kept_or_refused},
    {"needs", test_a_need_beyond_any_worker_is_kept},
    {"stored job", test_a_stored_job_that_is_not_valid_is_ignored},
    {"VM name", test_a_long_vm_name_is_shortened},
};

TEST_MAIN("input_bounds", tests)

/* Tests of the encoding of a job's state. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_record.h"
#include "curlewcart/cw_work.h"
#include "curlewcart/cw_xdr.h"

enum { TASKS = 40, ENDED_MS = 123456789 };

/* A record of one step; its texts are borrowed. */
struct sample {
    struct cw_work_record record;
    struct cw_occurrence_record occurrence;
    struct cw_step_record step;
    struct cw_task_record tasks[TASKS];
};

static void
sample_init(struct sample *sample, unsigned tasks)
{
    memset(sample, 0, sizeof(*sample));
    for (unsigned i = 0; i < tasks; i++) {
        sample->tasks[i].run = i + 1;
        sample->tasks[i].saved = (char *)"00000bb87a21d94b";
    }
    sample->step.tasks.tasks_len = tasks;
    sample->step.tasks.tasks_val = sample->tasks;
    sample->occurrence.steps.steps_len = 1;
    sample->occurrence.steps.steps_val = &sample->step;
    sample->record.open.open_len = 1;
    sample->record.open.open_val = &sample->occurrence;
    sample->record.phase = CW_WORK_RUNNING;
    sample->record.started = true;
    sample->record.ended_ms = ENDED_MS;
    sample->record.result = (char *)"";
}

static void
check_round_trip(unsigned tasks)
{
    struct sample sample;
    struct cw_work_record out = {0};
    struct cw_record_head head;
    GByteArray *bytes;
    const struct cw_step_record *step;

    sample_init(&sample, tasks);
    bytes = cw_record_encode(&sample.record);
    CU_ASSERT_TRUE(cw_record_read_head(bytes->data, bytes->len, &head));
    CU_ASSERT_EQUAL(head.phase, CW_WORK_RUNNING);
    CU_ASSERT_TRUE(head.started);
    CU_ASSERT_EQUAL(head.ended_ms, ENDED_MS);
    CU_ASSERT_TRUE_FATAL(cw_record_decode(bytes->data, bytes->len, &out));
    CU_ASSERT_EQUAL(out.phase, CW_WORK_RUNNING);
    step = &out.open.open_val[0].steps.steps_val[0];
    CU_ASSERT_EQUAL(step->tasks.tasks_len, tasks);
    CU_ASSERT_EQUAL(step->tasks.tasks_val[tasks - 1].run, tasks);
    xdr_free((xdrproc_t)xdr_cw_work_record, (char *)&out);
    g_byte_array_unref(bytes);
}

/* Crashes come at the end of a record and are left out if there are none.
 * Such a record has the format of versions that count no crashes. */
static void
check_crashes(unsigned tasks)
{
    struct cw_crash_record crash = {.task = 7, .suspicion = 6};
    struct sample sample;
    struct cw_work_record out = {0};
    GByteArray *without;
    GByteArray *with;

    sample_init(&sample, tasks);
    without = cw_record_encode(&sample.record);
    CU_ASSERT_TRUE_FATAL(cw_record_decode(without->data, without->len, &out));
    CU_ASSERT_EQUAL(out.crashes.crashes_len, 0);
    xdr_free((xdrproc_t)xdr_cw_work_record, (char *)&out);
    memset(&out, 0, sizeof(out));
    sample.record.crashes.crashes_len = 1;
    sample.record.crashes.crashes_val = &crash;
    with = cw_record_encode(&sample.record);
    CU_ASSERT_TRUE_FATAL(cw_record_decode(with->data, with->len, &out));
    CU_ASSERT_EQUAL_FATAL(out.crashes.crashes_len, 1);
    CU_ASSERT_EQUAL(out.crashes.crashes_val[0].task, 7);
    CU_ASSERT_EQUAL(out.crashes.crashes_val[0].suspicion, 6);
    xdr_free((xdrproc_t)xdr_cw_work_record, (char *)&out);
    g_byte_array_unref(without);
    g_byte_array_unref(with);
}

static void
test_crashes_are_encoded_after_the_earlier_format(void)
{
    check_crashes(1);
    check_crashes(TASKS);
}

/* Guards against states of jobs that an earlier version, which stops reading
 * after the deflated rest, cannot decode. */
static void
test_extension_follows_the_earlier_format(void)
{
    cw_name addresses[] = {(char *)"127.0.0.1:7000"};
    struct cw_unresolved_record unresolved = {
        .task = 1, .worker = (char *)"w", .address = (char *)"a", .weight = 6};
    struct sample sample;
    struct cw_work_record out = {0};
    GByteArray *without;
    GByteArray *with;

    sample_init(&sample, TASKS);
    without = cw_record_encode(&sample.record);
    sample.record.extension.addresses.addresses_len = 1;
    sample.record.extension.addresses.addresses_val = addresses;
    sample.record.extension.unresolved.unresolved_len = 1;
    sample.record.extension.unresolved.unresolved_val = &unresolved;
    with = cw_record_encode(&sample.record);
    CU_ASSERT_EQUAL(with->data[0], without->data[0]);
    CU_ASSERT_TRUE_FATAL(cw_record_decode(with->data, with->len, &out));
    CU_ASSERT_EQUAL(out.open.open_len, 1);
    CU_ASSERT_EQUAL_FATAL(out.extension.addresses.addresses_len, 1);
    CU_ASSERT_STRING_EQUAL(out.extension.addresses.addresses_val[0],
                           addresses[0]);
    CU_ASSERT_EQUAL_FATAL(out.extension.unresolved.unresolved_len, 1);
    CU_ASSERT_EQUAL(out.extension.unresolved.unresolved_val[0].weight, 6);
    xdr_free((xdrproc_t)xdr_cw_work_record, (char *)&out);
    CU_ASSERT_FALSE(cw_record_decode(with->data, with->len - 1, &out));
    g_byte_array_unref(without);
    g_byte_array_unref(with);
}

static void
test_round_trip_of_small_and_large_records(void)
{
    check_round_trip(1);
    check_round_trip(TASKS);
}

static void
test_wide_job_is_deflated_to_a_quarter(void)
{
    struct sample sample;
    GByteArray *plain;
    GByteArray *bytes;

    sample_init(&sample, TASKS);
    plain = cw_xdr_encode((xdrproc_t)xdr_cw_work_record, &sample.record);
    bytes = cw_record_encode(&sample.record);
    CU_ASSERT_TRUE(4 * bytes->len < plain->len);
    g_byte_array_unref(plain);
    g_byte_array_unref(bytes);
}

static void
test_damaged_bytes_are_rejected(void)
{
    struct sample sample;
    struct cw_work_record out = {0};
    struct cw_record_head head;
    GByteArray *bytes;

    sample_init(&sample, TASKS);
    bytes = cw_record_encode(&sample.record);
    CU_ASSERT_FALSE(cw_record_decode(bytes->data, bytes->len - 5, &out));
    CU_ASSERT_FALSE(cw_record_decode(bytes->data, 18, &out));
    CU_ASSERT_FALSE(cw_record_decode(bytes->data, 3, &out));
    CU_ASSERT_FALSE(cw_record_read_head(bytes->data, 15, &head));
    bytes->data[16] = 0xff; /* the inflated size is four gigabytes */
    CU_ASSERT_FALSE(cw_record_decode(bytes->data, bytes->len, &out));
    g_byte_array_unref(bytes);
}

static const struct test tests[] = {
    {"crashes", test_crashes_are_encoded_after_the_earlier_format},
    {"extension", test_extension_follows_the_earlier_format},
    {"round trip", test_round_trip_of_small_and_large_records},
    {"size", test_wide_job_is_deflated_to_a_quarter},
    {"damage", test_damaged_bytes_are_rejected},
};

TEST_MAIN("record", tests)

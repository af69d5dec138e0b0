/* Tests of the jobs that are built from a shard's log: the order of the
 * records in the log counts, not the order in which they are read. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_replica.h"
#include "curlewcart/cw_xdr.h"
#include "work_spec.h"

#define ID "5c0e7a21d94b36f8"

static struct cw_replica *
new_replica(void)
{
    static struct cw_clock_manual clock;
    struct cw_replica_options options = {.clock = &clock.base};

    cw_clock_manual_init(&clock);
    return cw_replica_create(&options);
}

static void
apply(struct cw_replica *replica, const char *key, const GByteArray *value,
      uint64_t offset)
{
    struct cw_store_record record = {
        .key = key,
        .value = value != NULL ? value->data : NULL,
        .length = value != NULL ? value->len : 0,
        .offset = offset,
    };

    cw_replica_apply(replica, &record);
}

static void
apply_spec(struct cw_replica *replica, uint64_t offset, uint64_t hash)
{
    const struct work_spec_options options = {.id = ID, .body_hash = hash};
    GByteArray *bytes = work_spec_encode(&options);

    apply(replica, "s" ID, bytes, offset);
    g_byte_array_unref(bytes);
}

static void
apply_state(struct cw_replica *replica, unsigned phase, bool started,
            uint64_t offset)
{
    struct cw_work_record record = {.phase = phase,
                                    .started = started,
                                    .ended_ms = 5,
                                    .result = (char *)""};
    GByteArray *bytes = cw_xdr_encode((xdrproc_t)xdr_cw_work_record, &record);

    apply(replica, "r" ID, bytes, offset);
    g_byte_array_unref(bytes);
}

static void
apply_cancel(struct cw_replica *replica, uint64_t offset)
{
    GByteArray *bytes = g_byte_array_new();
    char *key = g_strdup_printf("c" ID ".%u", (unsigned)offset);

    g_byte_array_append(bytes, (const guint8 *)"1", 1);
    apply(replica, key, bytes, offset);
    g_free(key);
    g_byte_array_unref(bytes);
}

static unsigned
phase_of(struct cw_replica *replica)
{
    return cw_replica_phase(cw_replica_find_job(replica, ID));
}

static void
test_the_first_specification_counts(void)
{
    struct cw_replica *replica = new_replica();

    apply_spec(replica, 1, 11);
    apply_spec(replica, 2, 22);
    CU_ASSERT_EQUAL(cw_replica_find_job(replica, ID)->spec->body_hash, 11);
    CU_ASSERT_EQUAL(phase_of(replica), CW_WORK_WAITING);
    CU_ASSERT_EQUAL(cw_replica_count_waiting(replica, "q", NULL), 1);
    CU_ASSERT_EQUAL(cw_replica_count_waiting(replica, NULL, "a"), 1);
    CU_ASSERT_EQUAL(cw_replica_count_waiting(replica, NULL, "b"), 0);
    apply_state(replica, CW_WORK_RUNNING, true, 3);
    CU_ASSERT_EQUAL(cw_replica_count_waiting(replica, "q", NULL), 0);
    CU_ASSERT_EQUAL(cw_replica_count_waiting(replica, "other", NULL), 0);
    cw_replica_free(replica);
}

static void
test_a_cancellation_counts_only_before_the_end(void)
{
    struct cw_replica *replica = new_replica();

    apply_spec(replica, 1, 1);
    apply_state(replica, CW_WORK_COMPLETED, true, 2);
    apply_cancel(replica, 3);
    CU_ASSERT_EQUAL(phase_of(replica), CW_WORK_COMPLETED);
    cw_replica_free(replica);

    replica = new_replica();
    apply_spec(replica, 1, 1);
    apply_cancel(replica, 2);
    CU_ASSERT_EQUAL(phase_of(replica), CW_WORK_CANCELLED);
    apply_state(replica, CW_WORK_COMPLETED, true, 3);
    CU_ASSERT_EQUAL(phase_of(replica), CW_WORK_CANCELLED);
    cw_replica_free(replica);
}

static void
test_the_earliest_cancellation_counts_in_any_order(void)
{
    struct cw_replica *replica = new_replica();

    apply_spec(replica, 1, 1);
    apply_state(replica, CW_WORK_COMPLETED, true, 3);
    apply_cancel(replica, 4);
    CU_ASSERT_EQUAL(phase_of(replica), CW_WORK_COMPLETED);
    apply_cancel(replica, 2); /* a load may deliver it after later ones */
    CU_ASSERT_EQUAL(phase_of(replica), CW_WORK_CANCELLED);
    CU_ASSERT_EQUAL(cw_replica_find_job(replica, ID)->cancel_keys->len, 2);
    cw_replica_free(replica);
}

static void
test_an_older_record_changes_nothing(void)
{
    struct cw_replica *replica = new_replica();

    apply_spec(replica, 1, 1);
    apply_state(replica, CW_WORK_COMPLETED, true, 9);
    apply_state(replica, CW_WORK_RUNNING, true, 5);
    CU_ASSERT_EQUAL(phase_of(replica), CW_WORK_COMPLETED);
    CU_ASSERT_EQUAL(cw_replica_find_job(replica, ID)->ended_ms, 5);
    cw_replica_free(replica);
}

static void
test_dropping_the_state_removes_the_job(void)
{
    struct cw_replica *replica = new_replica();

    apply_spec(replica, 1, 1);
    apply_state(replica, CW_WORK_COMPLETED, true, 2);
    apply(replica, "s" ID, NULL, 3);
    CU_ASSERT_PTR_NOT_NULL(cw_replica_find_job(replica, ID));
    apply(replica, "r" ID, NULL, 4);
    CU_ASSERT_PTR_NULL(cw_replica_find_job(replica, ID));
    cw_replica_free(replica);
}

static void
test_invalid_records_are_ignored(void)
{
    struct cw_replica *replica = new_replica();
    GByteArray *bytes = g_byte_array_new();

    g_byte_array_append(bytes, (const guint8 *)"xyz", 3);
    cw_log_setup("error", "test");
    apply(replica, "s" ID, bytes, 1);
    apply(replica, "r" ID, bytes, 2);
    apply(replica, "?" ID, bytes, 3);
    apply(replica, "", bytes, 4);
    CU_ASSERT_PTR_NULL(cw_replica_find_job(replica, ID)->spec);
    CU_ASSERT_PTR_NULL(cw_replica_find_job(replica, ID)->record);
    g_byte_array_unref(bytes);
    cw_replica_free(replica);
}

static const struct test tests[] = {
    {"first specification", test_the_first_specification_counts},
    {"cancellation", test_a_cancellation_counts_only_before_the_end},
    {"earliest cancellation",
     test_the_earliest_cancellation_counts_in_any_order},
    {"older record", test_an_older_record_changes_nothing},
    {"dropped state", test_dropping_the_state_removes_the_job},
    {"invalid records", test_invalid_records_are_ignored},
};

TEST_MAIN("replica", tests)

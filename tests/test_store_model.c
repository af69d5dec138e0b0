/* Tests of the emulator's store: properties that the scheduler depends on,
 * namely fenced writers, repeated appends, newest records, and the group. */
#include "test_main.h"

#include "curlewcart/cw_time.h"
#include "emulator/store_model.h"

static struct cw_store_append_result
append(struct store_model *model, const char *key, const char *writer,
       uint64_t epoch, uint64_t sequence)
{
    struct cw_store_record record = {.key = key, .value = "v", .length = 1};
    struct cw_store_append call = {.topic = "t",
                                   .records = &record,
                                   .count = 1,
                                   .writer = writer,
                                   .epoch = epoch,
                                   .sequence = sequence};

    return store_model_append(model, &call);
}

static void
test_a_higher_epoch_fences_a_lower_one(void)
{
    struct store_model *model = store_model_create(1);

    CU_ASSERT_EQUAL(append(model, "a", "w", 5, 1).status, CW_STORE_OK);
    CU_ASSERT_EQUAL(append(model, "a", "w", 4, 2).status, CW_STORE_FENCED);
    CU_ASSERT_EQUAL(append(model, "a", "w", 6, 9).status, CW_STORE_OK);
    CU_ASSERT_EQUAL(append(model, "a", "w", 5, 2).status, CW_STORE_FENCED);
    CU_ASSERT_EQUAL(append(model, "a", NULL, 0, 0).status, CW_STORE_OK);
    store_model_free(model);
}

static void
test_a_repeated_append_gets_its_first_answer(void)
{
    struct store_model *model = store_model_create(1);
    struct cw_store_append_result first = append(model, "a", "w", 1, 1);
    struct cw_store_append_result repeated = append(model, "a", "w", 1, 1);
    struct cw_store_append_result gap = append(model, "a", "w", 1, 5);

    CU_ASSERT_EQUAL(first.first, repeated.first);
    CU_ASSERT_EQUAL(store_model_end(model, "t"), 1);
    CU_ASSERT_EQUAL(gap.status, CW_STORE_OUT_OF_SEQUENCE);
    CU_ASSERT_EQUAL(gap.expected_sequence, 2);
    store_model_free(model);
}

static void
test_newest_records_stay_after_compaction(void)
{
    struct store_model *model = store_model_create(1);
    struct store_model_page page;

    append(model, "a", NULL, 0, 0);
    append(model, "b", NULL, 0, 0);
    append(model, "a", NULL, 0, 0);
    store_model_compact(model, "t");
    store_model_read(model, "t", 0, &page);
    CU_ASSERT_EQUAL(page.page.status, CW_STORE_EXPIRED);
    CU_ASSERT_EQUAL(page.page.first, 3);
    store_model_page_clear(&page);
    store_model_newest(model, "t", NULL, &page);
    CU_ASSERT_EQUAL(page.page.count, 2);
    CU_ASSERT_EQUAL(page.page.records[0].offset, 2);
    store_model_page_clear(&page);
    store_model_newest(model, "t", "a", &page);
    CU_ASSERT_EQUAL(page.page.count, 1);
    store_model_page_clear(&page);
    store_model_free(model);
}

static void
test_a_partition_moves_when_its_holder_rejoins_or_expires(void)
{
    struct store_model *model = store_model_create(1);
    bool assigned = false;

    store_model_join(model, "x", 1000, cw_time_from_ms(0), &assigned);
    CU_ASSERT_TRUE(assigned);
    store_model_join(model, "y", 1000, cw_time_from_ms(10), &assigned);
    CU_ASSERT_FALSE(assigned);
    store_model_reassign(model, 1, cw_time_from_ms(20)); /* to y */
    store_model_join(model, "y", 1000, cw_time_from_ms(30), &assigned);
    CU_ASSERT_FALSE(assigned); /* x has not joined again yet */
    store_model_join(model, "x", 1000, cw_time_from_ms(40), &assigned);
    CU_ASSERT_FALSE(assigned);
    store_model_join(model, "y", 1000, cw_time_from_ms(50), &assigned);
    CU_ASSERT_TRUE(assigned);
    store_model_join(model, "x", 1000, cw_time_from_ms(2000), &assigned);
    CU_ASSERT_TRUE(assigned); /* y's membership has expired */
    store_model_free(model);
}

static const struct test tests[] = {
    {"epochs", test_a_higher_epoch_fences_a_lower_one},
    {"repeated append", test_a_repeated_append_gets_its_first_answer},
    {"newest", test_newest_records_stay_after_compaction},
    {"group", test_a_partition_moves_when_its_holder_rejoins_or_expires},
};

TEST_MAIN("store_model", tests)

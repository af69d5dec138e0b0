/* The emulator's store: what the product relies on. */
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
test_a_higher_epoch_shuts_out_a_lower_one(void)
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
test_a_repetition_gets_its_first_answer(void)
{
    struct store_model *model = store_model_create(1);
    struct cw_store_append_result first = append(model, "a", "w", 1, 1);
    struct cw_store_append_result again = append(model, "a", "w", 1, 1);
    struct cw_store_append_result gap = append(model, "a", "w", 1, 5);

    CU_ASSERT_EQUAL(first.first, again.first);
    CU_ASSERT_EQUAL(store_model_end(model, "t"), 1);
    CU_ASSERT_EQUAL(gap.status, CW_STORE_OUT_OF_SEQUENCE);
    CU_ASSERT_EQUAL(gap.expected_sequence, 2);
    store_model_free(model);
}

static void
test_newest_records_outlive_the_history(void)
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
test_a_partition_moves_when_its_holder_is_gone_or_knows(void)
{
    struct store_model *model = store_model_create(1);
    bool held = false;

    store_model_join(model, "x", 1000, cw_time_from_ms(0), &held);
    CU_ASSERT_TRUE(held);
    store_model_join(model, "y", 1000, cw_time_from_ms(10), &held);
    CU_ASSERT_FALSE(held);
    store_model_deal(model, 1, cw_time_from_ms(20)); /* to y */
    store_model_join(model, "y", 1000, cw_time_from_ms(30), &held);
    CU_ASSERT_FALSE(held); /* x has not heard of it yet */
    store_model_join(model, "x", 1000, cw_time_from_ms(40), &held);
    CU_ASSERT_FALSE(held);
    store_model_join(model, "y", 1000, cw_time_from_ms(50), &held);
    CU_ASSERT_TRUE(held);
    store_model_join(model, "x", 1000, cw_time_from_ms(2000), &held);
    CU_ASSERT_TRUE(held); /* y has not joined for longer than it lives */
    store_model_free(model);
}

static const struct test tests[] = {
    {"epochs", test_a_higher_epoch_shuts_out_a_lower_one},
    {"repetition", test_a_repetition_gets_its_first_answer},
    {"newest", test_newest_records_outlive_the_history},
    {"group", test_a_partition_moves_when_its_holder_is_gone_or_knows},
};

TEST_MAIN("store_model", tests)

/* Tests of the checks of ids and specifications, and of the critical path. */
#include "test_main.h"

#include "curlewcart/cw_work.h"

static void
test_an_id_is_16_hexadecimal_digits(void)
{
    CU_ASSERT_TRUE(cw_work_id_valid("5c0e7a21d94b36f8"));
    CU_ASSERT_FALSE(cw_work_id_valid("5c0e7a21d94b36f"));
    CU_ASSERT_FALSE(cw_work_id_valid("5c0e7a21d94b36f80"));
    CU_ASSERT_FALSE(cw_work_id_valid("5c0e7a21d94b36fx"));
    CU_ASSERT_FALSE(cw_work_id_valid(""));
}

static void
test_a_step_waits_for_earlier_ones_only(void)
{
    u_int later[] = {1};
    struct cw_step_spec steps[2] = {{.tasks = 1}, {.tasks = 2}};
    struct cw_work_spec spec = {0};
    char detail[64] = "";

    spec.steps.steps_len = 2;
    spec.steps.steps_val = steps;
    CU_ASSERT_EQUAL(cw_work_check(&spec, detail, sizeof(detail)), CW_OK);
    steps[1].after.after_len = 1;
    steps[1].after.after_val = later;
    CU_ASSERT_EQUAL(cw_work_check(&spec, detail, sizeof(detail)),
                    CW_REF_MALFORMED);
    later[0] = 0;
    CU_ASSERT_EQUAL(cw_work_check(&spec, detail, sizeof(detail)), CW_OK);
    steps[0].tasks = 0;
    CU_ASSERT_EQUAL(cw_work_check(&spec, detail, sizeof(detail)),
                    CW_REF_MALFORMED);
}

static void
test_the_critical_path_is_the_longest_chain(void)
{
    u_int first[] = {0};
    u_int both[] = {0, 1};
    struct cw_step_spec steps[3] = {{.tasks = 1, .estimate_ms = 100},
                                    {.tasks = 1, .estimate_ms = 50},
                                    {.tasks = 1, .estimate_ms = 10}};
    struct cw_work_spec spec = {0};

    spec.steps.steps_len = 3;
    spec.steps.steps_val = steps;
    CU_ASSERT_EQUAL(cw_work_critical_path_ms(&spec), 100);
    steps[1].after.after_len = 1;
    steps[1].after.after_val = first;
    steps[2].after.after_len = 2;
    steps[2].after.after_val = both;
    CU_ASSERT_EQUAL(cw_work_critical_path_ms(&spec), 160);
}

static const struct test tests[] = {
    {"id", test_an_id_is_16_hexadecimal_digits},
    {"order of steps", test_a_step_waits_for_earlier_ones_only},
    {"critical path", test_the_critical_path_is_the_longest_chain},
};

TEST_MAIN("work", tests)

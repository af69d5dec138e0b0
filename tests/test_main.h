/* Defines the main function of a CUnit program with one suite.
 *
 *   static const struct test tests[] = {{"name", function}, ...};
 *   TEST_MAIN("module", tests)
 */
#ifndef TESTS_TEST_MAIN_H
#define TESTS_TEST_MAIN_H

#include <CUnit/Basic.h>
#include <glib.h>
#include <sodium.h>

struct test {
    const char *name;
    void (*function)(void);
};

#define TEST_MAIN(module, tests)                                              \
    int main(void)                                                            \
    {                                                                         \
        CU_pSuite suite;                                                      \
        unsigned failures;                                                    \
                                                                              \
        if (sodium_init() < 0 || CU_initialize_registry() != CUE_SUCCESS) {   \
            return 2;                                                         \
        }                                                                     \
        suite = CU_add_suite(module, NULL, NULL);                             \
        for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {                    \
            CU_add_test(suite, (tests)[i].name, (tests)[i].function);         \
        }                                                                     \
        CU_basic_set_mode(CU_BRM_NORMAL);                                     \
        CU_basic_run_tests();                                                 \
        failures = CU_get_number_of_tests_failed();                           \
        printf("tests: %u passed, %u failed\n",                               \
               CU_get_number_of_tests_run() - failures, failures);            \
        CU_cleanup_registry();                                                \
        return failures == 0 ? 0 : 1;                                         \
    }

#endif

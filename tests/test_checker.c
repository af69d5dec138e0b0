/* Tests of the emulator's checker: the waits of jobs that could run. */
#include "test_main.h"

#include <stdlib.h>
#include <string.h>

#include "emulator/checker.h"

enum { WAIT_MS = 3000, STEP_MS = 100 };

/* Adds an accepted job of one task. */
static struct checker_job *
add_job(struct checker *checker)
{
    struct cw_work_spec *spec = g_new0(struct cw_work_spec, 1);
    struct checker_job *job;

    spec->id = strdup("j");
    spec->queue = strdup("q");
    spec->account = strdup("a");
    spec->service = strdup("s");
    spec->payload = strdup("");
    spec->request = strdup("");
    spec->max_attempts = 2;
    spec->steps.steps_len = 1;
    spec->steps.steps_val = calloc(1, sizeof(struct cw_step_spec));
    spec->steps.steps_val[0].tasks = 1;
    spec->steps.steps_val[0].label = strdup("");
    spec->steps.steps_val[0].data_rack = strdup("");
    spec->steps.steps_val[0].image = strdup("");
    job = checker_add_job(checker, spec, 1000, 0);
    job->accepted = true;
    return job;
}

/* Checks both clauses from `from_ms` to `until_ms`, under which the job counts
 * as able to run or not. */
static void
check_waits(struct checker *checker, struct checker_job *job, bool calm,
            bool finish, int64_t from_ms, int64_t until_ms)
{
    for (int64_t now_ms = from_ms; now_ms <= until_ms; now_ms += STEP_MS) {
        checker_check_wait(checker, job, CHECKER_WAIT_CALM, calm, now_ms);
        checker_check_wait(checker, job, CHECKER_WAIT_FINISH, finish, now_ms);
    }
}

static void
test_a_wait_of_3_s_under_either_clause_is_a_violation(void)
{
    for (int finish = 0; finish < 2; finish++) {
        struct checker *checker = checker_create();
        struct checker_job *job = add_job(checker);

        check_waits(checker, job, finish == 0, finish == 1, STEP_MS,
                    STEP_MS + WAIT_MS - STEP_MS);
        CU_ASSERT_PTR_NULL(checker_violation(checker));
        check_waits(checker, job, finish == 0, finish == 1, STEP_MS + WAIT_MS,
                    STEP_MS + WAIT_MS);
        CU_ASSERT_PTR_NOT_NULL(checker_violation(checker));
        checker_free(checker);
    }
}

/* A job that waits 2 s in a full service while all is calm, and then 2 s in a
 * free service after a fault, has not waited for 3 s under either clause. */
static void
test_waits_under_different_clauses_do_not_add_up(void)
{
    struct checker *checker = checker_create();
    struct checker_job *job = add_job(checker);

    check_waits(checker, job, true, false, 100, 2100);
    check_waits(checker, job, false, true, 2200, 4200);
    CU_ASSERT_PTR_NULL(checker_violation(checker));
    checker_free(checker);
}

static void
test_a_start_ends_the_wait(void)
{
    struct checker *checker = checker_create();
    struct checker_job *job = add_job(checker);
    struct cw_task_name task = {.job = "j"};

    check_waits(checker, job, true, true, 100, 2000);
    checker_started(checker, &task, 1, 2050, true);
    checker_ended(checker, &task, 1, CW_END_KIND_FAILED, true);
    check_waits(checker, job, true, true, 2100, 5000);
    CU_ASSERT_PTR_NULL(checker_violation(checker));
    check_waits(checker, job, true, true, 5100, 5100);
    CU_ASSERT_PTR_NOT_NULL(checker_violation(checker));
    checker_free(checker);
}

/* Guards against a summary that leaves out the waits of jobs, or counts each
 * check of one wait. */
static void
test_long_waits_are_counted_once(void)
{
    struct checker *checker = checker_create();
    struct checker_job *job = add_job(checker);

    check_waits(checker, job, true, false, 100, 1000);
    CU_ASSERT_EQUAL(checker_counts(checker).long_waits, 0);
    check_waits(checker, job, true, false, 1100, 2500);
    CU_ASSERT_EQUAL(checker_counts(checker).long_waits, 1);
    CU_ASSERT_EQUAL(checker_counts(checker).longest_wait_ms, 2400);
    check_waits(checker, job, false, false, 2600, 2600);
    check_waits(checker, job, true, false, 2700, 3700);
    CU_ASSERT_EQUAL(checker_counts(checker).long_waits, 2);
    CU_ASSERT_EQUAL(checker_counts(checker).longest_wait_ms, 2400);
    checker_free(checker);
}

static const struct test tests[] = {
    {"wait of 3 s", test_a_wait_of_3_s_under_either_clause_is_a_violation},
    {"clauses do not add up",
     test_waits_under_different_clauses_do_not_add_up},
    {"start", test_a_start_ends_the_wait},
    {"long waits", test_long_waits_are_counted_once},
};

TEST_MAIN("checker", tests)

/* Analysis of logs: causes are derived from log lines alone.  Each test passes
 * the lines of a known scenario and checks the cause that is reported. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_log_analysis.h"

#define AT(ms) "ts=2026-12-02T10:00:0" ms "Z level=info vm=v1 "

static char *
explain(const char *const *lines, const char *id)
{
    struct cw_log_analysis *analysis = cw_log_analysis_create();
    GString *out = g_string_new(NULL);

    for (size_t i = 0; lines[i] != NULL; i++) {
        cw_log_analysis_add_line(analysis, lines[i]);
    }
    cw_log_analysis_explain(analysis, id, out);
    cw_log_analysis_free(analysis);
    return g_string_free(out, FALSE);
}

static void
check_cause(const char *const *lines, const char *cause)
{
    char *out = explain(lines, "a1");

    CU_ASSERT_PTR_NOT_NULL(strstr(out, cause));
    g_free(out);
}

static void
test_refused_while_store_is_unavailable(void)
{
    static const char *const lines[] = {
        AT("0.000") "event=dependency_lost what=store status=refused",
        AT("1.300") "event=submit id=a1 queue=q outcome=not_done tries=6 "
                    "took_ms=1263 config=11 store=refused",
        NULL};

    check_cause(lines, "cause: v1 could not have it stored (not_done after "
                       "6 tries, store refused)");
}

static void
test_late_because_no_owner_took_it(void)
{
    static const char *const lines[] = {
        AT("4.000") "event=job_over id=a1 outcome=completed reason=all_done "
                    "age_ms=4000 late_ms=500",
        AT("0.010") "event=submit id=a1 queue=q outcome=stored tries=1",
        AT("1.900") "event=owner_begins shard=0 epoch=5",
        AT("1.910") "event=job_taken id=a1 queue=q",
        AT("1.920") "event=placed id=a1 task=0.0.0 run=1 worker=w reserved=0",
        NULL};

    check_cause(lines, "cause: no owner took it for 1900 ms");
}

static void
test_failed_because_attempts_are_spent(void)
{
    static const char *const lines[] = {
        AT("0.010") "event=submit id=a1 queue=q outcome=stored tries=1",
        AT("0.020") "event=job_taken id=a1 queue=q",
        AT("1.000") "event=run_ended id=a1 task=0.0.0 run=1 worker=w1 "
                    "how=failed",
        AT("2.000") "event=run_ended id=a1 task=0.0.0 run=2 worker=w2 "
                    "how=failed",
        AT("2.000") "event=job_over id=a1 outcome=failed "
                    "reason=attempts_spent late_ms=-5",
        NULL};

    check_cause(lines, "2 runs failed, the last task 0.0.0 on worker w2");
}

static void
test_failed_because_workers_crashed(void)
{
    static const char *const lines[] = {
        AT("0.010") "event=submit id=a1 queue=q outcome=stored tries=1",
        AT("0.020") "event=job_taken id=a1 queue=q",
        AT("1.000") "event=task_suspect id=a1 task=0.0.0 run=1 worker=w1 "
                    "crashed=1 counts=6 suspicion=6 limit=12",
        AT("4.000") "event=task_suspect id=a1 task=0.0.0 run=2 worker=w2 "
                    "crashed=1 counts=6 suspicion=12 limit=12",
        AT("4.000") "event=job_over id=a1 outcome=failed "
                    "reason=workers_crashed late_ms=-5",
        NULL};

    check_cause(lines, "crashed one after the other, the last, w2, under task "
                       "0.0.0");
}

static void
test_late_because_other_runs_were_stopped_first(void)
{
    static const char *const lines[] = {
        AT("0.010") "event=submit id=a1 queue=q outcome=stored tries=1",
        AT("0.020") "event=job_taken id=a1 queue=q",
        AT("0.030") "event=placed id=a1 task=0.0.0 run=1 worker=w reserved=1",
        AT("5.000") "event=job_over id=a1 outcome=completed late_ms=10", NULL};

    check_cause(lines, "cause: other runs had to be stopped first");
}

static void
test_lines_of_other_requests_are_excluded(void)
{
    static const char *const lines[] = {
        "   3.1 front-1 " AT("0.010") "event=submit id=a1 outcome=stored",
        AT("0.011") "event=submit id=b2 outcome=stored",
        "garbage",
        "",
        "ts=",
        AT("0.012") "no event here",
        NULL};
    char *out = explain(lines, "a1");
    char *none = explain(lines, "c3");

    CU_ASSERT_PTR_NULL(strstr(out, "b2"));
    CU_ASSERT_PTR_NOT_NULL(strstr(out, "no owner has taken it"));
    CU_ASSERT_STRING_EQUAL(none, "");
    g_free(out);
    g_free(none);
}

static void
check_end(const char *outcome, const char *reason, const char *expected)
{
    char *end_line = g_strdup_printf(
        AT("5.000") "event=job_over id=a1 outcome=%s reason=%s late_ms=-1",
        outcome, reason);
    const char *lines[] = {
        AT("0.010") "event=submit id=a1 queue=q outcome=stored tries=1",
        AT("0.020") "event=job_taken id=a1 queue=q",
        AT("4.900") "event=run_lost id=a1 task=0.0.0 run=1 worker=w7 "
                    "reason=lease_over",
        end_line, NULL};

    check_cause(lines, expected);
    g_free(end_line);
}

static void
test_ends_of_project_interface_are_explained(void)
{
    check_end("lost", "worker_lost", "worker w7");
    check_end("stopped", "stopped_by_configuration", "configuration");
    check_end("refused", "deadline", "deadline");
}

#define STORED_AND_TAKEN                                                      \
    AT("0.010")                                                               \
    "event=submit id=a1 queue=q outcome=stored tries=1",                      \
        AT("0.020") "event=job_taken id=a1 queue=q"

static void
test_loss_by_the_lease_tells_how_long_the_worker_was_silent(void)
{
    static const char *const lines[] = {
        STORED_AND_TAKEN,
        AT("7.000") "event=run_lost id=a1 task=0.0.0 run=1 worker=w7 "
                    "reason=lease_over idle_ms=5630 answered_ms=5700",
        NULL};

    check_cause(lines, "cause: a run was lost on worker w7 (lease_over); it "
                       "had not answered for 5700 ms, and nothing of the job "
                       "had run for 5630 ms\n");
}

/* Guards against the explanation that a job was started at once although no
 * worker ever got it. */
static void
test_job_that_was_never_placed_was_not_started_at_once(void)
{
    static const char *const lines[] = {STORED_AND_TAKEN, NULL};
    char *out = explain(lines, "a1");

    CU_ASSERT_PTR_NULL(strstr(out, "started at once"));
    CU_ASSERT_PTR_NOT_NULL(strstr(out, "not placed in these logs"));
    g_free(out);
}

static void
test_wait_without_free_capacity(void)
{
    static const char *const lines[] = {
        STORED_AND_TAKEN,
        AT("4.000") "event=job_waits_full id=a1 waits_ms=3250 reason=no_place "
                    "worker= used=93,40,11 silent_workers=12 "
                    "draining_workers=2 workers=350 store_ms=0",
        NULL};

    check_cause(lines, "cause: no free capacity by the workers' word for 3250 "
                       "ms (no_place; in use 93,40,11 percent of "
                       "accelerators, cores, memory; 12 of 350 workers "
                       "silent)\n");
}

static void
test_wait_with_free_capacity(void)
{
    static const char *const lines[] = {
        STORED_AND_TAKEN,
        AT("4.000") "event=job_waits id=a1 waits_ms=3100 room_ms=900 "
                    "reason=starting store_ms=12 worker=w3 silent=4 "
                    "lease_by=own",
        NULL};

    check_cause(lines, "cause: it could run and did not for 3100 ms "
                       "(starting); it waited for worker w3 (4 polls without "
                       "an answer, lease by own)\n");
}

static void
test_wait_for_one_rack(void)
{
    static const char *const lines[] = {
        STORED_AND_TAKEN,
        AT("4.000") "event=job_waits id=a1 waits_ms=3100 room_ms=3000 "
                    "reason=no_place refused=one_rack unit=22,rack fits=96 "
                    "best_rack=12 worker= overdue=1",
        NULL};

    check_cause(lines,
                "(no_place); room for 96 tasks (22,rack start together, "
                "12 in the best rack) was refused: one_rack\n");
}

static void
test_wait_for_runs_of_an_earlier_owner(void)
{
    static const char *const lines[] = {
        STORED_AND_TAKEN, AT("2.000") "event=job_taken id=a1 queue=q",
        AT("3.100") "event=job_waits_inherited id=a1 waits_ms=1100 unsure=2 "
                    "runs=2 worker=w3 silent=3 lease_left_ms=9000 "
                    "lease_by=earlier_owner",
        NULL};

    check_cause(lines, "on workers that did not answer the next one; it "
                       "waited for worker w3 (3 polls without an answer, "
                       "lease by earlier_owner)\n");
}

static void
test_wait_for_the_store(void)
{
    static const char *const lines[] = {
        STORED_AND_TAKEN,
        AT("1.500") "event=append_late topic=cw-state store_ms=1100",
        AT("4.000") "event=job_waits id=a1 waits_ms=3100 room_ms=3000 "
                    "reason=committing store_ms=3080 worker=w3 silent=0",
        NULL};

    check_cause(lines, "event=append_late");
    check_cause(lines, "cause: the owner could not store for 3080 ms\n");
}

static const struct test tests[] = {
    {"project's own interface", test_ends_of_project_interface_are_explained},
    {"refused", test_refused_while_store_is_unavailable},
    {"no owner", test_late_because_no_owner_took_it},
    {"failed", test_failed_because_attempts_are_spent},
    {"workers crashed", test_failed_because_workers_crashed},
    {"other runs stopped first",
     test_late_because_other_runs_were_stopped_first},
    {"other requests", test_lines_of_other_requests_are_excluded},
    {"lease over",
     test_loss_by_the_lease_tells_how_long_the_worker_was_silent},
    {"never placed", test_job_that_was_never_placed_was_not_started_at_once},
    {"no free capacity", test_wait_without_free_capacity},
    {"free capacity", test_wait_with_free_capacity},
    {"one rack", test_wait_for_one_rack},
    {"earlier owner's runs", test_wait_for_runs_of_an_earlier_owner},
    {"store", test_wait_for_the_store},
};

TEST_MAIN("log_analysis", tests)

/* Work that could run and does not.
 *
 * Seen: with nothing else to do, a gang that belongs into one rack waited for
 * 7 s, and was shown as waiting though three racks were idle.
 * How: a job whose tasks all fail by its own fault had two of them on a worker
 * of each rack; a worker on which two tasks fail in a row is avoided for 7 s.
 * Cause: tasks of one job counted as two opinions of the worker.
 * Proof: the first test below, and the emulator's calm day 900022. */
#include "test_main.h"

#include "owner/internal/owner_crashes.h"
#include "owner_site.h"

static const struct cw_step_spec two = {.tasks = 2, .accelerators = 4};
static const struct cw_step_spec all_there = {.tasks = RACKS * PER_RACK,
                                              .accelerators = ACCELERATORS};

/* The worker lists a task as failed. */
static void
fail(struct site *site, struct owner_target *target, struct owner_job *job,
     unsigned index)
{
    struct owner_task *task = &step_of(job)->tasks[index];
    struct cw_ended ended = {.number = target->incarnation.ends_applied + 1,
                             .task = owner_task_name(task),
                             .run = task->last_run + 1,
                             .how = CW_END_KIND_FAILED,
                             .saved = ""};

    if (task->run != NULL) {
        owner_run_drop(site->owner, task->run);
    }
    owner_run_create(site->owner, task, target, RUN_RUNNING,
                     task->last_run + 1);
    target->incarnation.ends_applied++;
    owner_run_ended(site->owner, target, &ended);
}

static void
test_one_job_that_fails_holds_no_worker_back(void)
{
    struct site site;
    struct owner_target *target;
    struct owner_job *job;

    site_begin(&site);
    target = owner_target_get(site.owner, "w00");
    job = add_job(&site, 1, &two);
    fail(&site, target, job, 0);
    fail(&site, target, job, 1);
    CU_ASSERT_TRUE(owner_target_usable(target, site.clock.now));
    site_end(&site);
}

static void
test_two_jobs_that_fail_do(void)
{
    struct site site;
    struct owner_target *target;

    site_begin(&site);
    target = owner_target_get(site.owner, "w00");
    fail(&site, target, add_job(&site, 1, &two), 0);
    fail(&site, target, add_job(&site, 1, &two), 0);
    CU_ASSERT_FALSE(owner_target_usable(target, site.clock.now));
    site_end(&site);
}

/* ---- that it shows ---- */

/* Lets time pass without placement. */
static struct cw_owner_stats
look_after(struct site *site, unsigned ms)
{
    struct cw_owner_stats stats;

    site->clock.now = cw_time_add_ms(site->clock.now, ms);
    site->owner->ownership_confirmed_at = site->clock.now;
    owner_idle_tick(site->owner, site->clock.now);
    cw_owner_stats(site->owner, &stats);
    return stats;
}

static void
test_a_job_that_is_not_placed_shows_after_three_seconds(void)
{
    struct site site;
    struct cw_owner_stats stats;

    site_begin(&site);
    add_job(&site, 1, &two);
    CU_ASSERT_EQUAL(look_after(&site, 2900).waiting, 0);
    stats = look_after(&site, 600);
    CU_ASSERT_EQUAL(stats.waiting, 1);
    CU_ASSERT_EQUAL(stats.longest_wait_ms, 3500);
    site_end(&site);
}

/* The owner believes that it runs; no worker has listed it for seconds. */
static void
test_a_run_that_no_worker_lists_shows(void)
{
    struct site site;

    site_begin(&site);
    run_job(&site, 1, &two);
    CU_ASSERT_EQUAL(look_after(&site, 3500).waiting, 1);
    site_end(&site);
}

static void
test_a_job_that_waits_for_room_does_not_show(void)
{
    struct site site;

    site_begin(&site);
    run_job(&site, 0, &all_there);
    add_job(&site, 1, &two);
    CU_ASSERT_EQUAL(look_after(&site, 3500).waiting, 0);
    site_end(&site);
}

/* Most of the service is in use, but what the job needs is free twice. */
static void
test_a_job_that_waits_beside_free_room_shows(void)
{
    static const struct cw_step_spec most = {.tasks = 9,
                                             .accelerators = ACCELERATORS};
    static const struct cw_step_spec gang = {
        .tasks = 2, .accelerators = ACCELERATORS, .gang = true};
    struct site site;
    struct owner_job *running;

    site_begin(&site);
    running = run_job(&site, 0, &most);
    add_job(&site, 1, &two);
    CU_ASSERT_EQUAL(look_after(&site, 2900).waiting, 0);
    owner_idle_end(site.owner, running);
    CU_ASSERT_EQUAL(look_after(&site, 600).waiting, 1);
    /* Three workers are free: one gang of two fits, not two. */
    add_job(&site, 1, &gang);
    site.clock.now = cw_time_add_ms(site.clock.now, 3500);
    owner_idle_end(site.owner, running);
    CU_ASSERT_EQUAL(look_after(&site, 500).waiting, 1);
    site_end(&site);
}

/* Guards against counting the time in which a job waited for room as time in
 * which it waited beside room. */
static void
test_time_beside_room_begins_when_there_is_room(void)
{
    static const struct cw_step_spec most = {.tasks = 11,
                                             .accelerators = ACCELERATORS};
    struct site site;
    struct owner_job *running;
    struct owner_job *job;

    site_begin(&site);
    running = run_job(&site, 0, &most);
    job = add_job(&site, 1, &all_there);
    look_after(&site, 3500);
    CU_ASSERT_EQUAL(job->idle.clock.free_since.tv_sec, 0);
    owner_run_drop(site.owner, step_of(running)->tasks[0].run);
    look_after(&site, 500);
    look_after(&site, 1000);
    CU_ASSERT_EQUAL(
        cw_time_diff_ms(job->idle.clock.free_since, site.clock.now), 1000);
    site_end(&site);
}

/* Each task that lasts counts by itself, from 6 s after its last run. */
static void
test_a_task_that_lasts_shows_beside_others_of_its_job(void)
{
    static const struct cw_step_spec lasting = {
        .tasks = 2, .accelerators = 4, .endless = true};
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    job = run_job(&site, 1, &lasting);
    owner_run_drop(site.owner, step_of(job)->tasks[0].run);
    site.clock.now = cw_time_add_ms(site.clock.now, 5000);
    owner_idle_end(site.owner, job); /* the other one is listed */
    CU_ASSERT_EQUAL(look_after(&site, 900).waiting, 0);
    CU_ASSERT_EQUAL(look_after(&site, 600).waiting, 1);
    site_end(&site);
}

static void
test_a_task_that_loses_its_runs_shows(void)
{
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    job = add_job(&site, 1, &two);
    for (unsigned i = 0; i < 3; i++) {
        CU_ASSERT_EQUAL(look_after(&site, 500).repeating, 0);
        pass(&site, 10);
        owner_run_lost(site.owner, step_of(job)->tasks[0].run, true,
                       "not_listed");
    }
    CU_ASSERT_EQUAL(look_after(&site, 500).repeating, 1);
    site_end(&site);
}

/* Guards against a VM that was frozen, or cut off from the store, and tells of
 * jobs that wait by what it knew before: another may have run them. */
static void
test_an_owner_without_proof_tells_of_no_waits(void)
{
    struct site site;

    site_begin(&site);
    (void)add_job(&site, 1, &two);
    CU_ASSERT_EQUAL(look_after(&site, 3500).waiting, 1);
    site.clock.now = cw_time_add_ms(site.clock.now, 8000);
    owner_idle_tick(site.owner, site.clock.now);
    CU_ASSERT_EQUAL(site.owner->waits.jobs, 0);
    CU_ASSERT_EQUAL(look_after(&site, 600).waiting, 1);
    site_end(&site);
}

static const struct test tests[] = {
    {"no proof", test_an_owner_without_proof_tells_of_no_waits},
    {"one job's failures", test_one_job_that_fails_holds_no_worker_back},
    {"two jobs' failures", test_two_jobs_that_fail_do},
    {"not placed", test_a_job_that_is_not_placed_shows_after_three_seconds},
    {"not listed", test_a_run_that_no_worker_lists_shows},
    {"no room", test_a_job_that_waits_for_room_does_not_show},
    {"beside free room", test_a_job_that_waits_beside_free_room_shows},
    {"time beside room", test_time_beside_room_begins_when_there_is_room},
    {"lasting", test_a_task_that_lasts_shows_beside_others_of_its_job},
    {"repeating", test_a_task_that_loses_its_runs_shows},
};

TEST_MAIN("waits", tests)

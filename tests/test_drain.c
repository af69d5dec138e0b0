/* Work on workers that leave. */
#include "test_main.h"

#include "owner_site.h"

enum { REMAINING_MS = 2000 };

/* A running job of one task, whose worker begins to leave. */
static struct owner_run *
run_on_leaving_worker(struct site *site, bool checkpoints, unsigned percent,
                      double rate)
{
    const struct cw_step_spec one = {
        .tasks = 1, .accelerators = 8, .checkpoints = checkpoints};
    struct owner_job *job;
    struct owner_run *run;

    site_begin(site);
    job = run_job(site, 1, &one);
    run = step_of(job)->tasks[0].run;
    run->percent = percent;
    run->rate = rate;
    run->rate_known = rate > 0;
    site->owner->proof_at = site->clock.now;
    owner_drain_tick(site->owner, run->target, site->clock.now);
    CU_ASSERT_FALSE(run->stopping);
    owner_drain_noticed(run->target, REMAINING_MS, site->clock.now);
    run->target->draining = true;
    owner_drain_tick(site->owner, run->target, site->clock.now);
    return run;
}

static void
test_work_with_checkpoints_moves_unless_it_ends_in_time(void)
{
    struct site site;

    CU_ASSERT_TRUE(run_on_leaving_worker(&site, true, 10, 10)->stopping);
    site_end(&site);
    CU_ASSERT_TRUE(run_on_leaving_worker(&site, true, 10, 0)->stopping);
    site_end(&site);
    CU_ASSERT_FALSE(run_on_leaving_worker(&site, true, 90, 20)->stopping);
    site_end(&site);
}

/* What it has done would be lost by the move, and the worker may stay on. */
static void
test_work_without_checkpoints_stays(void)
{
    struct site site;

    CU_ASSERT_FALSE(run_on_leaving_worker(&site, false, 10, 10)->stopping);
    site_end(&site);
    CU_ASSERT_FALSE(run_on_leaving_worker(&site, false, 10, 0)->stopping);
    site_end(&site);
}

static void
test_a_gang_moves_as_a_whole(void)
{
    const struct cw_step_spec gang = {
        .tasks = 3, .accelerators = 8, .gang = true, .checkpoints = true};
    struct site site;
    struct owner_job *job;
    struct owner_target *target;

    site_begin(&site);
    job = run_job(&site, 1, &gang);
    target = step_of(job)->tasks[1].run->target;
    owner_drain_noticed(target, REMAINING_MS, site.clock.now);
    target->draining = true;
    site.owner->proof_at = site.clock.now;
    owner_drain_tick(site.owner, target, site.clock.now);
    for (unsigned i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(step_of(job)->tasks[i].run->stopping);
    }
    site_end(&site);
}

static const struct test tests[] = {
    {"checkpoints", test_work_with_checkpoints_moves_unless_it_ends_in_time},
    {"others", test_work_without_checkpoints_stays},
    {"gang", test_a_gang_moves_as_a_whole},
};

TEST_MAIN("drain", tests)

/* Work on draining workers. */
#include "test_main.h"

#include "owner_site.h"

enum { REMAINING_MS = 2000, DRAINING_LEASE_MS = 4000 };

/* Runs a job of one task, whose worker then starts to drain. */
static struct owner_run *
run_on_draining_worker(struct site *site, bool checkpoints, unsigned percent,
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
    site->owner->ownership_confirmed_at = site->clock.now;
    owner_drain_tick(site->owner, run->target, site->clock.now);
    CU_ASSERT_FALSE(run->stopping);
    owner_drain_announced(run->target, REMAINING_MS, site->clock.now);
    run->target->draining = true;
    owner_drain_tick(site->owner, run->target, site->clock.now);
    return run;
}

static void
test_work_with_checkpoints_moves_unless_it_ends_in_time(void)
{
    struct site site;

    CU_ASSERT_TRUE(run_on_draining_worker(&site, true, 10, 10)->stopping);
    site_end(&site);
    CU_ASSERT_TRUE(run_on_draining_worker(&site, true, 10, 0)->stopping);
    site_end(&site);
    CU_ASSERT_FALSE(run_on_draining_worker(&site, true, 90, 20)->stopping);
    site_end(&site);
}

/* Work without checkpoints would be lost if it were moved, and the worker may
 * remain longer.
 */
static void
test_work_without_checkpoints_stays(void)
{
    struct site site;

    CU_ASSERT_FALSE(run_on_draining_worker(&site, false, 10, 10)->stopping);
    site_end(&site);
    CU_ASSERT_FALSE(run_on_draining_worker(&site, false, 10, 0)->stopping);
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
    owner_drain_announced(target, REMAINING_MS, site.clock.now);
    target->draining = true;
    site.owner->ownership_confirmed_at = site.clock.now;
    owner_drain_tick(site.owner, target, site.clock.now);
    for (unsigned i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(step_of(job)->tasks[i].run->stopping);
    }
    site_end(&site);
}

/* Guards against a gang that is not moved as its member on the draining worker
 * would end in time, and is lost as its longest member would not. */
static void
test_a_gang_is_moved_for_its_longest_member(void)
{
    const struct cw_step_spec gang = {
        .tasks = 2, .accelerators = 8, .gang = true, .checkpoints = true};

    for (unsigned longest = 50; longest <= 95; longest += 45) {
        struct site site;
        struct owner_job *job;
        struct owner_target *target;

        site_begin(&site);
        job = run_job(&site, 1, &gang);
        for (unsigned i = 0; i < 2; i++) {
            struct owner_run *run = step_of(job)->tasks[i].run;

            run->percent = i == 0 ? 95 : longest;
            run->rate = 10;
            run->rate_known = true;
        }
        target = step_of(job)->tasks[0].run->target;
        owner_drain_announced(target, REMAINING_MS, site.clock.now);
        target->draining = true;
        site.owner->ownership_confirmed_at = site.clock.now;
        owner_drain_tick(site.owner, target, site.clock.now);
        CU_ASSERT_EQUAL(step_of(job)->tasks[0].run->stopping, longest < 95);
        site_end(&site);
    }
}

/* Guards against long leases of draining workers.  If a worker that has
 * announced that it drains is cut off and shuts down with a lease of 10 s that
 * was extended until the cut, the end of a task may be lost with it.  The task
 * then runs again only 11 s later, after its callers have given up. */
static void
test_a_draining_worker_gets_short_leases(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct site site;
    struct owner_target *target;
    int64_t before_ms;

    site_begin(&site);
    site.owner->options.lease_ms = 10000;
    target = step_of(run_job(&site, 1, &one))->tasks[0].run->target;
    site.owner->ownership_confirmed_at = site.clock.now;
    before_ms = owner_lease_grant(target, CW_ORDER_POLL, site.clock.now);
    target->draining = true;
    /* The lease that was granted is not shortened. */
    site.clock.now = cw_time_add_ms(site.clock.now, 1000);
    site.owner->ownership_confirmed_at = site.clock.now;
    CU_ASSERT_EQUAL(owner_lease_grant(target, CW_ORDER_POLL, site.clock.now),
                    before_ms);
    site.clock.now = cw_time_add_ms(site.clock.now, 8000);
    site.owner->ownership_confirmed_at = site.clock.now;
    owner_target_set_clock(target,
                           cw_time_diff_ms(cw_time_from_ms(0), site.clock.now),
                           site.clock.now);
    CU_ASSERT_EQUAL(owner_lease_grant(target, CW_ORDER_POLL, site.clock.now),
                    before_ms + 9000 - owner_lease_max_granted_ms(site.owner) +
                        DRAINING_LEASE_MS);
    CU_ASSERT_TRUE(cw_time_diff_ms(site.clock.now, target->lease_end) <=
                   DRAINING_LEASE_MS + 300);
    site_end(&site);
}

static const struct test tests[] = {
    {"checkpoints", test_work_with_checkpoints_moves_unless_it_ends_in_time},
    {"no checkpoints", test_work_without_checkpoints_stays},
    {"short leases", test_a_draining_worker_gets_short_leases},
    {"gang", test_a_gang_moves_as_a_whole},
    {"longest member", test_a_gang_is_moved_for_its_longest_member},
};

TEST_MAIN("drain", tests)

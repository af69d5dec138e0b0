/* Runs that the owner takes from their workers by its own judgement. */
#include "test_main.h"

#include "owner_site.h"

enum { SLOW_PERCENT = 31, WINDOW_MS = 1000, MEMBERS = 9 };

/* More than a rack holds. */
static const struct cw_step_spec gang = {
    .tasks = MEMBERS, .accelerators = ACCELERATORS, .gang = true};
static const struct cw_step_spec rest = {.tasks = RACKS * PER_RACK - MEMBERS,
                                         .accelerators = ACCELERATORS};

/* The run has come on by one percent in a second, and by twenty before. */
static void
turn_slow(struct site *site, struct owner_run *run)
{
    run->percent = SLOW_PERCENT - 1;
    run->best_rate = 20;
    run->window_percent = SLOW_PERCENT - 1;
    run->window_at = site->clock.now;
    site->clock.now = cw_time_add_ms(site->clock.now, WINDOW_MS);
    owner_speed_observe(site->owner, run, SLOW_PERCENT, site->clock.now);
}

static unsigned
stopping(const struct owner_job *job)
{
    unsigned count = 0;

    for (unsigned i = 0; i < step_of(job)->count; i++) {
        const struct owner_run *run = step_of(job)->tasks[i].run;

        count += run != NULL && run->stopping;
    }
    return count;
}

/* Guards against gangs that are stopped and then wait for a place, while they
 * would have gone on where they were. */
static void
test_a_gang_without_room_elsewhere_is_not_stopped(void)
{
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    set_guarantee(&site, 0);
    job = run_job(&site, 1, &gang);
    run_job(&site, 0, &rest);
    turn_slow(&site, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), 0);
    site_end(&site);
}

/* Guards against work that stays on a slow worker beside free ones. */
static void
test_a_gang_with_room_elsewhere_is_moved(void)
{
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    set_guarantee(&site, 0);
    job = run_job(&site, 1, &gang);
    turn_slow(&site, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), MEMBERS);
    site_end(&site);
}

/* Guards against gangs that are stopped for a place that they may not take: it
 * is kept for urgent work. */
static void
test_a_gang_is_not_stopped_for_kept_room(void)
{
    struct site site;
    struct owner_job *job;
    struct owner_headroom *room;

    site_begin(&site);
    set_guarantee(&site, 0);
    job = run_job(&site, 1, &gang);
    set_guarantee(&site, RACKS * PER_RACK * ACCELERATORS);
    room = g_hash_table_lookup(site.owner->headroom, "s");
    cw_headroom_observe(&room->forecast, RACKS * PER_RACK * ACCELERATORS,
                        site.clock.now);
    pass(&site, 10);
    turn_slow(&site, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), 0);
    site_end(&site);
}

/* A single task needs one place, and its worker's own is none. */
static void
test_a_task_is_moved_only_beside_a_free_place(void)
{
    static const struct cw_step_spec one = {.tasks = 1,
                                            .accelerators = ACCELERATORS};
    static const struct cw_step_spec others = {.tasks = RACKS * PER_RACK - 1,
                                               .accelerators = ACCELERATORS};
    struct site site;
    struct owner_job *job;
    struct owner_job *urgent;

    site_begin(&site);
    set_guarantee(&site, 0);
    job = run_job(&site, 1, &one);
    urgent = run_job(&site, 0, &others);
    turn_slow(&site, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), 0);
    owner_run_drop(site.owner, step_of(urgent)->tasks[0].run);
    turn_slow(&site, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), 1);
    site_end(&site);
}

/* Guards against a gang that belongs into one rack and is stopped for room
 * that lies across racks. */
static void
test_a_gang_that_needs_a_rack_is_moved_only_into_one(void)
{
    static const struct cw_step_spec in_rack = {.tasks = PER_RACK - 1,
                                                .accelerators = ACCELERATORS,
                                                .gang = true,
                                                .same_rack = true};
    static const struct cw_step_spec each = {
        .tasks = 5, .accelerators = 1, .most_per_worker = 1};
    static const char *const workers[] = {"w03", "w04", "w05", "w08", "w09"};
    struct site site;
    struct owner_job *job;
    struct owner_job *small;

    site_begin(&site);
    set_guarantee(&site, 0);
    job = run_job(&site, 1, &in_rack);
    small = add_job(&site, 1, &each);
    for (unsigned i = 0; i < G_N_ELEMENTS(workers); i++) {
        owner_run_create(site.owner, &step_of(small)->tasks[i],
                         owner_target_get(site.owner, workers[i]), RUN_RUNNING,
                         1);
    }
    CU_ASSERT_STRING_EQUAL(worker_of(job, 0)->rack, "r0");
    turn_slow(&site, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), 0);
    owner_run_drop(site.owner, step_of(small)->tasks[0].run);
    turn_slow(&site, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), PER_RACK - 1);
    site_end(&site);
}

static const struct test tests[] = {
    {"no room", test_a_gang_without_room_elsewhere_is_not_stopped},
    {"room", test_a_gang_with_room_elsewhere_is_moved},
    {"kept room", test_a_gang_is_not_stopped_for_kept_room},
    {"single", test_a_task_is_moved_only_beside_a_free_place},
    {"rack", test_a_gang_that_needs_a_rack_is_moved_only_into_one},
};

TEST_MAIN("moves", tests)

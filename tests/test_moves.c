/* Runs that the owner evicts from slow workers. */
#include "test_main.h"

#include <math.h>
#include <string.h>

#include "owner_cluster.h"
#include "worker_speeds.h"

enum { SLOW_PERCENT = 31, WINDOW_MS = 1000, MEMBERS = 9 };

/* More than a rack holds. */
static const struct cw_step_spec gang = {
    .tasks = MEMBERS, .accelerators = ACCELERATORS, .gang = true};
static const struct cw_step_spec rest = {.tasks = RACKS * PER_RACK - MEMBERS,
                                         .accelerators = ACCELERATORS};

/* Makes the run slow: one percent in the last second, after twenty percent per
 * second before. */
static void
make_slow(struct cluster *cluster, struct owner_run *run)
{
    run->percent = SLOW_PERCENT - 1;
    run->rate = 20;
    run->rate_known = true;
    run->typical_rate_known = true;
    run->typical_rate =
        (struct cw_rate_vote){.log_rate = log(20), .variance = 0.02};
    run->window_percent = SLOW_PERCENT - 1;
    run->window_at = cluster->clock.now;
    cluster->clock.now = cw_time_add_ms(cluster->clock.now, WINDOW_MS);
    owner_speed_observe(cluster->owner, run, SLOW_PERCENT, cluster->clock.now);
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

/* Guards against gangs that are stopped and then wait for free capacity, while
 * they could have gone on where they were. */
static void
test_a_gang_without_capacity_elsewhere_is_not_stopped(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &gang);
    run_job(&cluster, 0, &rest);
    make_slow(&cluster, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), 0);
    cluster_end(&cluster);
}

/* Guards against work that stays on a slow worker while others are free. */
static void
test_a_gang_with_capacity_elsewhere_is_moved(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &gang);
    make_slow(&cluster, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), MEMBERS);
    cluster_end(&cluster);
}

/* Guards against gangs that are stopped for capacity that they may not use, as
 * it is headroom for urgent work. */
static void
test_a_gang_is_not_stopped_for_headroom(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_headroom *headroom;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &gang);
    set_guarantee(&cluster, RACKS * PER_RACK * ACCELERATORS);
    headroom = g_hash_table_lookup(cluster.owner->headroom, "s");
    cw_headroom_observe(&headroom->forecast, RACKS * PER_RACK * ACCELERATORS,
                        cluster.clock.now);
    pass(&cluster, 10);
    make_slow(&cluster, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), 0);
    cluster_end(&cluster);
}

/* A single task is moved only if it fits on another worker. */
static void
test_a_task_is_moved_only_to_another_free_worker(void)
{
    static const struct cw_step_spec one = {.tasks = 1,
                                            .accelerators = ACCELERATORS};
    static const struct cw_step_spec others = {.tasks = RACKS * PER_RACK - 1,
                                               .accelerators = ACCELERATORS};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_job *urgent;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &one);
    urgent = run_job(&cluster, 0, &others);
    make_slow(&cluster, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), 0);
    owner_run_drop(cluster.owner, step_of(urgent)->tasks[0].run);
    make_slow(&cluster, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), 1);
    cluster_end(&cluster);
}

/* Guards against a gang that needs one rack and is stopped for free capacity
 * that is distributed over several. */
static void
test_a_gang_that_needs_a_rack_is_moved_only_into_one(void)
{
    static const struct cw_step_spec in_rack = {.tasks = PER_RACK - 1,
                                                .accelerators = ACCELERATORS,
                                                .gang = true,
                                                .same_rack =
                                                    CW_SAME_RACK_FASTER};
    static const struct cw_step_spec each = {
        .tasks = 5, .accelerators = 1, .most_per_worker = 1};
    static const char *const workers[] = {"w03", "w04", "w05", "w08", "w09"};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_job *small;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &in_rack);
    small = add_job(&cluster, 1, &each);
    for (unsigned i = 0; i < G_N_ELEMENTS(workers); i++) {
        owner_run_create(cluster.owner, &step_of(small)->tasks[i],
                         owner_target_get(cluster.owner, workers[i]),
                         RUN_RUNNING, 1);
    }
    CU_ASSERT_STRING_EQUAL(worker_of(job, 0)->rack, "r0");
    make_slow(&cluster, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), 0);
    owner_run_drop(cluster.owner, step_of(small)->tasks[0].run);
    make_slow(&cluster, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), PER_RACK - 1);
    cluster_end(&cluster);
}

/* Guards against a gang that is stopped on one slow worker and placed on
 * another. */
static void
test_a_gang_is_not_moved_to_slow_workers(void)
{
    static const struct cw_step_spec member = {
        .tasks = 1, .accelerators = ACCELERATORS, .gang = true};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &member);
    for (unsigned i = 0; i < RACKS * PER_RACK; i++) {
        char name[16];

        g_snprintf(name, sizeof(name), "w%02u", i);
        show_slow(&cluster, name);
    }
    make_slow(&cluster, step_of(job)->tasks[0].run);
    CU_ASSERT_EQUAL(stopping(job), 0);
    cluster_end(&cluster);
}

/* Guards against a task that is stopped on one slow worker and placed on
 * another, though other work of its priority begins there. */
static void
test_a_moved_task_is_not_placed_on_a_slow_worker(void)
{
    static const struct cw_step_spec one = {.tasks = 1, .accelerators = 1};
    struct cluster cluster;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    show_slow(&cluster, "w05");
    for (unsigned moves = 0; moves <= 1; moves++) {
        struct owner_job *job = add_job(&cluster, 1, &one);

        step_of(job)->moves = moves;
        pass(&cluster, 10);
        CU_ASSERT_EQUAL(strcmp(worker_of(job, 0)->id, "w05") == 0, moves == 0);
    }
    cluster_end(&cluster);
}

/* Begins a cluster in which a gang of two whole workers runs in two racks. */
static struct owner_job *
begin_with_spread_gang(struct cluster *cluster, bool checkpoints,
                       unsigned percent)
{
    const struct cw_step_spec pair = {.tasks = 2,
                                      .accelerators = ACCELERATORS,
                                      .gang = true,
                                      .same_rack = CW_SAME_RACK_FASTER,
                                      .checkpoints = checkpoints};
    static const char *const workers[] = {"w00", "w04"};
    struct owner_job *job;

    cluster_begin(cluster);
    set_guarantee(cluster, 0);
    job = add_job(cluster, 1, &pair);
    for (unsigned i = 0; i < G_N_ELEMENTS(workers); i++) {
        owner_run_create(cluster->owner, &step_of(job)->tasks[i],
                         owner_target_get(cluster->owner, workers[i]),
                         RUN_RUNNING, 1)
            ->percent = percent;
    }
    return job;
}

/* Guards against a gang that goes on across racks, which takes several times
 * as long, beside a free rack. */
static void
test_a_spread_gang_is_gathered_in_a_free_rack(void)
{
    struct cluster cluster;
    struct owner_job *job = begin_with_spread_gang(&cluster, false, 40);

    pass(&cluster, 10);
    CU_ASSERT_EQUAL(stopping(job), 2);
    cluster_end(&cluster);
}

/* Work that would be lost counts, unless the gang has checkpoints. */
static void
test_a_spread_gang_that_is_half_done_goes_on(void)
{
    struct cluster cluster;
    struct owner_job *job = begin_with_spread_gang(&cluster, false, 60);

    pass(&cluster, 10);
    CU_ASSERT_EQUAL(stopping(job), 0);
    cluster_end(&cluster);
    job = begin_with_spread_gang(&cluster, true, 60);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(stopping(job), 2);
    cluster_end(&cluster);
}

/* Guards against a gang that is stopped for a free rack while another rack is
 * reserved for it, which more lower-priority work could leave. */
static void
test_the_free_rack_is_reserved_for_a_gang(void)
{
    static const struct cw_step_spec two = {.tasks = 2,
                                            .accelerators = ACCELERATORS};
    static const struct cw_step_spec three = {.tasks = 3,
                                              .accelerators = ACCELERATORS};
    static const char *const used[] = {"w08", "w09", "w05", "w06", "w07"};
    struct cluster cluster;
    struct owner_job *job = begin_with_spread_gang(&cluster, false, 0);
    struct owner_job *urgent = add_job(&cluster, 0, &two);
    struct owner_job *lower = add_job(&cluster, 2, &three);

    for (unsigned i = 0; i < G_N_ELEMENTS(used); i++) {
        owner_run_create(cluster.owner,
                         i < two.tasks ? &step_of(urgent)->tasks[i]
                                       : &step_of(lower)->tasks[i - two.tasks],
                         owner_target_get(cluster.owner, used[i]), RUN_RUNNING,
                         1);
    }
    for (unsigned i = 1; i < PER_RACK; i++) {
        char name[16];

        g_snprintf(name, sizeof(name), "w%02u", i);
        owner_target_get(cluster.owner, name)->draining = true;
    }
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(stopping(job), 2);
    CU_ASSERT_PTR_EQUAL(
        owner_target_get(cluster.owner, "w10")->rack_reserved_for,
        step_of(job));
    cluster_end(&cluster);
}

/* Guards against a gang that is stopped although no rack holds it, and against
 * one that is stopped time and again. */
static void
test_a_spread_gang_is_not_stopped_in_vain(void)
{
    static const struct cw_step_spec nine = {
        .tasks = 9, .accelerators = ACCELERATORS, .most_per_worker = 1};
    static const char *const used[] = {"w01", "w02", "w03", "w05", "w06",
                                       "w07", "w08", "w09", "w10"};
    struct cluster cluster;
    struct owner_job *job = begin_with_spread_gang(&cluster, false, 0);
    struct owner_job *other = add_job(&cluster, 1, &nine);

    for (unsigned i = 0; i < G_N_ELEMENTS(used); i++) {
        owner_run_create(cluster.owner, &step_of(other)->tasks[i],
                         owner_target_get(cluster.owner, used[i]), RUN_RUNNING,
                         1);
    }
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(stopping(job), 0);
    cluster_end(&cluster);
    job = begin_with_spread_gang(&cluster, false, 0);
    step_of(job)->moves = 2;
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(stopping(job), 0);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"no capacity elsewhere",
     test_a_gang_without_capacity_elsewhere_is_not_stopped},
    {"room", test_a_gang_with_capacity_elsewhere_is_moved},
    {"headroom", test_a_gang_is_not_stopped_for_headroom},
    {"single", test_a_task_is_moved_only_to_another_free_worker},
    {"rack", test_a_gang_that_needs_a_rack_is_moved_only_into_one},
    {"moved", test_a_moved_task_is_not_placed_on_a_slow_worker},
    {"slow elsewhere", test_a_gang_is_not_moved_to_slow_workers},
    {"gathered", test_a_spread_gang_is_gathered_in_a_free_rack},
    {"free rack", test_the_free_rack_is_reserved_for_a_gang},
    {"half done", test_a_spread_gang_that_is_half_done_goes_on},
    {"in vain", test_a_spread_gang_is_not_stopped_in_vain},
};

TEST_MAIN("moves", tests)

/* Steps that are skipped in a placement pass because one that is no harder to
 * place could not be placed.  Guards against skipping a step that could be
 * placed, and against searching for one that cannot. */
#include "test_main.h"

#include "owner_cluster.h"

static bool
is_skipped(struct cluster *cluster, struct owner_job *job,
           enum owner_attempt attempt)
{
    return owner_memo_has_failed(cluster->owner, step_of(job), attempt,
                                 cluster->clock.now);
}

static void
add_failure(struct cluster *cluster, struct owner_job *job)
{
    owner_memo_add_failure(cluster->owner, step_of(job), OWNER_ATTEMPT_PLACE,
                           cluster->clock.now);
}

static const struct cw_step_spec four = {.tasks = 4, .accelerators = 4};

static void
test_steps_that_are_as_demanding_are_skipped(void)
{
    const struct cw_step_spec larger = {.tasks = 1, .accelerators = 8};
    const struct cw_step_spec smaller = {.tasks = 9, .accelerators = 1};
    struct cluster cluster;

    cluster_begin(&cluster);
    add_failure(&cluster, add_job(&cluster, 1, &four));
    CU_ASSERT_TRUE(is_skipped(&cluster, add_job(&cluster, 1, &four),
                              OWNER_ATTEMPT_PLACE));
    CU_ASSERT_TRUE(is_skipped(&cluster, add_job(&cluster, 2, &larger),
                              OWNER_ATTEMPT_PLACE));
    CU_ASSERT_FALSE(is_skipped(&cluster, add_job(&cluster, 1, &smaller),
                               OWNER_ATTEMPT_PLACE));
    CU_ASSERT_FALSE(is_skipped(&cluster, add_job(&cluster, 0, &four),
                               OWNER_ATTEMPT_PLACE));
    CU_ASSERT_FALSE(is_skipped(&cluster, add_job(&cluster, 1, &four),
                               OWNER_ATTEMPT_PREEMPT));
    cluster_end(&cluster);
}

static void
test_a_failed_gang_does_not_skip_smaller_gangs(void)
{
    const struct cw_step_spec gang = {
        .tasks = 6, .accelerators = 4, .gang = true};
    const struct cw_step_spec less = {
        .tasks = 5, .accelerators = 4, .gang = true};
    const struct cw_step_spec more = {
        .tasks = 7, .accelerators = 4, .gang = true};
    struct cluster cluster;

    cluster_begin(&cluster);
    add_failure(&cluster, add_job(&cluster, 1, &gang));
    CU_ASSERT_FALSE(is_skipped(&cluster, add_job(&cluster, 1, &less),
                               OWNER_ATTEMPT_PLACE));
    CU_ASSERT_TRUE(is_skipped(&cluster, add_job(&cluster, 1, &more),
                              OWNER_ATTEMPT_PLACE));
    CU_ASSERT_FALSE(is_skipped(&cluster, add_job(&cluster, 1, &four),
                               OWNER_ATTEMPT_PLACE));
    cluster_end(&cluster);
}

static void
test_freed_capacity_clears_the_failures(void)
{
    struct cluster cluster;

    cluster_begin(&cluster);
    add_failure(&cluster, add_job(&cluster, 1, &four));
    cluster.owner->capacity_version++;
    CU_ASSERT_FALSE(is_skipped(&cluster, add_job(&cluster, 1, &four),
                               OWNER_ATTEMPT_PLACE));
    cluster_end(&cluster);
}

static void
test_a_step_with_a_rack_reservation_is_not_skipped(void)
{
    struct cluster cluster;
    struct owner_job *holder;

    cluster_begin(&cluster);
    add_failure(&cluster, add_job(&cluster, 1, &four));
    holder = add_job(&cluster, 1, &four);
    step_of(holder)->rack_reservation_until =
        cw_time_add_ms(cluster.clock.now, 1);
    CU_ASSERT_FALSE(is_skipped(&cluster, holder, OWNER_ATTEMPT_PLACE));
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"as demanding", test_steps_that_are_as_demanding_are_skipped},
    {"smaller gangs", test_a_failed_gang_does_not_skip_smaller_gangs},
    {"freed capacity", test_freed_capacity_clears_the_failures},
    {"rack reservation", test_a_step_with_a_rack_reservation_is_not_skipped},
};

TEST_MAIN("memo", tests)

/* Shapes that found no place in a pass of placement. */
#include "test_main.h"

#include "owner_site.h"

static bool
hopeless(struct site *site, struct owner_job *job, enum owner_attempt attempt)
{
    return owner_memo_has_failed(site->owner, step_of(job), attempt,
                                 site->clock.now);
}

static void
fail(struct site *site, struct owner_job *job)
{
    owner_memo_add_failure(site->owner, step_of(job), OWNER_ATTEMPT_PLACE,
                           site->clock.now);
}

static const struct cw_step_spec four = {.tasks = 4, .accelerators = 4};

static void
test_what_is_as_demanding_needs_no_look(void)
{
    const struct cw_step_spec larger = {.tasks = 1, .accelerators = 8};
    const struct cw_step_spec smaller = {.tasks = 9, .accelerators = 1};
    struct site site;

    site_begin(&site);
    fail(&site, add_job(&site, 1, &four));
    CU_ASSERT_TRUE(
        hopeless(&site, add_job(&site, 1, &four), OWNER_ATTEMPT_PLACE));
    CU_ASSERT_TRUE(
        hopeless(&site, add_job(&site, 2, &larger), OWNER_ATTEMPT_PLACE));
    CU_ASSERT_FALSE(
        hopeless(&site, add_job(&site, 1, &smaller), OWNER_ATTEMPT_PLACE));
    CU_ASSERT_FALSE(
        hopeless(&site, add_job(&site, 0, &four), OWNER_ATTEMPT_PLACE));
    CU_ASSERT_FALSE(
        hopeless(&site, add_job(&site, 1, &four), OWNER_ATTEMPT_PREEMPT));
    site_end(&site);
}

static void
test_a_gang_that_failed_says_nothing_of_smaller_ones(void)
{
    const struct cw_step_spec gang = {
        .tasks = 6, .accelerators = 4, .gang = true};
    const struct cw_step_spec less = {
        .tasks = 5, .accelerators = 4, .gang = true};
    const struct cw_step_spec more = {
        .tasks = 7, .accelerators = 4, .gang = true};
    struct site site;

    site_begin(&site);
    fail(&site, add_job(&site, 1, &gang));
    CU_ASSERT_FALSE(
        hopeless(&site, add_job(&site, 1, &less), OWNER_ATTEMPT_PLACE));
    CU_ASSERT_TRUE(
        hopeless(&site, add_job(&site, 1, &more), OWNER_ATTEMPT_PLACE));
    CU_ASSERT_FALSE(
        hopeless(&site, add_job(&site, 1, &four), OWNER_ATTEMPT_PLACE));
    site_end(&site);
}

static void
test_room_that_came_free_makes_it_look_again(void)
{
    struct site site;

    site_begin(&site);
    fail(&site, add_job(&site, 1, &four));
    site.owner->capacity_version++;
    CU_ASSERT_FALSE(
        hopeless(&site, add_job(&site, 1, &four), OWNER_ATTEMPT_PLACE));
    site_end(&site);
}

static void
test_a_rack_kept_clear_is_looked_at(void)
{
    struct site site;
    struct owner_job *holder;

    site_begin(&site);
    fail(&site, add_job(&site, 1, &four));
    holder = add_job(&site, 1, &four);
    step_of(holder)->rack_reservation_until =
        cw_time_add_ms(site.clock.now, 1);
    CU_ASSERT_FALSE(hopeless(&site, holder, OWNER_ATTEMPT_PLACE));
    site_end(&site);
}

static const struct test tests[] = {
    {"as demanding", test_what_is_as_demanding_needs_no_look},
    {"smaller gangs", test_a_gang_that_failed_says_nothing_of_smaller_ones},
    {"room that came free", test_room_that_came_free_makes_it_look_again},
    {"a rack kept clear", test_a_rack_kept_clear_is_looked_at},
};

TEST_MAIN("memo", tests)

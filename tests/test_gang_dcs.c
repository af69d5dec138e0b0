/* Where gangs go that no rack holds.
 *
 * The load: gangs wider than a rack in several data centres, of which one is
 * cut off now and then; each cut ends every gang that has a member there. */
#include "test_main.h"

#include "owner_site.h"

/* Racks of four workers: the first in one data centre, the others in
 * another. */
static void
begin_in_two_dcs(struct site *site)
{
    GHashTableIter iterator;
    gpointer value;

    site_begin(site);
    set_guarantee(site, 0);
    g_hash_table_iter_init(&iterator, site->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        target->dc = g_intern_string(target->rack[1] == '0' ? "d1" : "d2");
    }
}

static unsigned
tasks_in(const struct owner_job *job, const char *dc)
{
    unsigned count = 0;

    for (unsigned i = 0; i < step_of(job)->count; i++) {
        count += worker_of(job, i) != NULL &&
                 strcmp(worker_of(job, i)->dc, dc) == 0;
    }
    return count;
}

static struct owner_job *
place_gang_of(struct site *site, unsigned tasks, unsigned priority)
{
    struct cw_step_spec gang = {
        .tasks = tasks, .accelerators = ACCELERATORS, .gang = true};
    struct owner_job *job = add_job(site, priority, &gang);

    pass(site, 10);
    return job;
}

/* Guards against a gang that the cut of either of two data centres ends,
 * though one of them holds it. */
static void
test_a_gang_that_fits_into_a_data_centre_spans_one(void)
{
    for (unsigned priority = 0; priority < 2; priority++) {
        struct site site;
        struct owner_job *job;

        begin_in_two_dcs(&site);
        job = place_gang_of(&site, 6, priority);
        CU_ASSERT_EQUAL(placed(job), 6);
        CU_ASSERT_EQUAL(tasks_in(job, "d2"), 6);
        site_end(&site);
    }
}

/* Guards against a gang that waits for ever since no data centre holds it, and
 * against members in more of them than it needs. */
static void
test_a_gang_beyond_a_data_centre_spans_the_fewest(void)
{
    struct site site;
    struct owner_job *job;

    begin_in_two_dcs(&site);
    job = place_gang_of(&site, 10, 1);
    CU_ASSERT_EQUAL(placed(job), 10);
    CU_ASSERT_EQUAL(tasks_in(job, "d2"), 8);
    site_end(&site);
}

/* Guards against a gang that takes the larger of two data centres that hold
 * it, and leaves no place for a wider one. */
static void
test_a_gang_takes_the_data_centre_with_least_to_spare(void)
{
    static const struct cw_step_spec single = {.tasks = 1,
                                               .accelerators = ACCELERATORS};
    struct site site;
    struct owner_job *narrow;

    begin_in_two_dcs(&site);
    for (unsigned i = 4; i < 6; i++) {
        struct owner_job *job = add_job(&site, 1, &single);
        char name[16];

        g_snprintf(name, sizeof(name), "w%02u", i);
        owner_run_create(site.owner, &step_of(job)->tasks[0],
                         owner_target_get(site.owner, name), RUN_RUNNING, 1);
    }
    narrow = place_gang_of(&site, 5, 1); /* of four and six free workers */
    CU_ASSERT_EQUAL(tasks_in(narrow, "d2"), 5);
    CU_ASSERT_EQUAL(tasks_in(place_gang_of(&site, 4, 1), "d1"), 4);
    site_end(&site);
}

/* Guards against a bound on members of a step that a worker may have. */
static void
test_most_per_worker_holds_in_a_data_centre(void)
{
    struct cw_step_spec gang = {
        .tasks = 7, .accelerators = 1, .most_per_worker = 1, .gang = true};
    struct site site;
    struct owner_job *job;

    begin_in_two_dcs(&site);
    job = add_job(&site, 1, &gang);
    pass(&site, 10);
    CU_ASSERT_EQUAL(tasks_in(job, "d2"), 7);
    for (unsigned i = 1; i < 7; i++) {
        CU_ASSERT_PTR_NOT_EQUAL(worker_of(job, i), worker_of(job, i - 1));
    }
    site_end(&site);
}

static const struct test tests[] = {
    {"one data centre", test_a_gang_that_fits_into_a_data_centre_spans_one},
    {"beyond one", test_a_gang_beyond_a_data_centre_spans_the_fewest},
    {"least to spare", test_a_gang_takes_the_data_centre_with_least_to_spare},
    {"most per worker", test_most_per_worker_holds_in_a_data_centre},
};

TEST_MAIN("spread", tests)

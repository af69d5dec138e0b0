/* Placement of gangs that don't fit into a rack.
 *
 * Guards against gangs that are spread over more data centres than needed.
 * When a data centre is cut off, every gang that has a member there is lost.
 */
#include "test_main.h"

#include "owner_cluster.h"

/* Racks of four workers: the first in one data centre, the others in
 * another. */
static void
begin_in_two_dcs(struct cluster *cluster)
{
    GHashTableIter iterator;
    gpointer value;

    cluster_begin(cluster);
    set_guarantee(cluster, 0);
    g_hash_table_iter_init(&iterator, cluster->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        target->dc = g_intern_string(target->rack[1] == '0' ? "d1" : "d2");
    }
}

static unsigned
tasks_in_dc(const struct owner_job *job, const char *dc)
{
    unsigned count = 0;

    for (unsigned i = 0; i < step_of(job)->count; i++) {
        count += worker_of(job, i) != NULL &&
                 strcmp(worker_of(job, i)->dc, dc) == 0;
    }
    return count;
}

static struct owner_job *
place_gang(struct cluster *cluster, unsigned tasks, unsigned priority)
{
    struct cw_step_spec gang = {
        .tasks = tasks, .accelerators = ACCELERATORS, .gang = true};
    struct owner_job *job = add_job(cluster, priority, &gang);

    pass(cluster, 10);
    return job;
}

/* Guards against a gang in two data centres, which is lost when either of them
 * is cut off, although it fits into one. */
static void
test_a_gang_that_fits_into_a_data_centre_uses_one(void)
{
    for (unsigned priority = 0; priority < 2; priority++) {
        struct cluster cluster;
        struct owner_job *job;

        begin_in_two_dcs(&cluster);
        job = place_gang(&cluster, 6, priority);
        CU_ASSERT_EQUAL(placed(job), 6);
        CU_ASSERT_EQUAL(tasks_in_dc(job, "d2"), 6);
        cluster_end(&cluster);
    }
}

/* Guards against a gang that waits without limit as it fits into no data
 * centre, and against members in more data centres than the gang needs. */
static void
test_a_gang_beyond_a_data_centre_uses_the_fewest(void)
{
    struct cluster cluster;
    struct owner_job *job;

    begin_in_two_dcs(&cluster);
    job = place_gang(&cluster, 10, 1);
    CU_ASSERT_EQUAL(placed(job), 10);
    CU_ASSERT_EQUAL(tasks_in_dc(job, "d2"), 8);
    cluster_end(&cluster);
}

/* Guards against a gang that uses the larger of two data centres into which it
 * fits, so that no wider gang fits any more. */
static void
test_a_gang_uses_the_data_centre_with_least_spare_capacity(void)
{
    static const struct cw_step_spec single = {.tasks = 1,
                                               .accelerators = ACCELERATORS};
    struct cluster cluster;
    struct owner_job *narrow;

    begin_in_two_dcs(&cluster);
    for (unsigned i = 4; i < 6; i++) {
        struct owner_job *job = add_job(&cluster, 1, &single);
        char name[16];

        g_snprintf(name, sizeof(name), "w%02u", i);
        owner_run_create(cluster.owner, &step_of(job)->tasks[0],
                         owner_target_get(cluster.owner, name), RUN_RUNNING,
                         1);
    }
    narrow = place_gang(&cluster, 5, 1); /* of four and six free workers */
    CU_ASSERT_EQUAL(tasks_in_dc(narrow, "d2"), 5);
    CU_ASSERT_EQUAL(tasks_in_dc(place_gang(&cluster, 4, 1), "d1"), 4);
    cluster_end(&cluster);
}

/* Guards against more members on a worker than the step allows. */
static void
test_limit_per_worker_applies_in_a_data_centre(void)
{
    struct cw_step_spec gang = {
        .tasks = 7, .accelerators = 1, .most_per_worker = 1, .gang = true};
    struct cluster cluster;
    struct owner_job *job;

    begin_in_two_dcs(&cluster);
    job = add_job(&cluster, 1, &gang);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(tasks_in_dc(job, "d2"), 7);
    for (unsigned i = 1; i < 7; i++) {
        CU_ASSERT_PTR_NOT_EQUAL(worker_of(job, i), worker_of(job, i - 1));
    }
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"one data centre", test_a_gang_that_fits_into_a_data_centre_uses_one},
    {"beyond one", test_a_gang_beyond_a_data_centre_uses_the_fewest},
    {"least spare capacity",
     test_a_gang_uses_the_data_centre_with_least_spare_capacity},
    {"limit per worker", test_limit_per_worker_applies_in_a_data_centre},
};

TEST_MAIN("gang_dcs", tests)

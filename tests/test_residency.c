/* Data residency: work runs only in data centres that its account allows. */
#include "test_main.h"

#include "owner_cluster.h"

static void
cluster_begin_in_dcs(struct cluster *cluster)
{
    cluster_begin(cluster);
    cluster_put_racks_in_dcs(cluster);
}

/* Configures that the account may use only `dc`; NULL: removes the account. */
static void
confine(struct cluster *cluster, const char *dc)
{
    struct cw_routing *routing = cw_routing_new();

    routing->enforces_residency = true;
    if (dc != NULL) {
        struct cw_account *account = cw_routing_add_account(routing);

        account->name = g_strdup("a");
        account->guaranteed_accelerators = 64;
        g_ptr_array_add(account->dcs, g_strdup(dc));
    }
    cw_routing_finish(routing);
    cw_owner_configure(cluster->owner, routing);
    cw_routing_unref(routing);
}

static const struct cw_step_spec four = {.tasks = 4, .accelerators = 8};

static void
test_tasks_stay_in_the_accounts_data_centre(void)
{
    const struct cw_step_spec many = {.tasks = 6, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin_in_dcs(&cluster);
    confine(&cluster, "d1");
    job = add_job(&cluster, 0, &many);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), PER_RACK);
    for (unsigned i = 0; i < PER_RACK; i++) {
        CU_ASSERT_STRING_EQUAL(worker_of(job, i)->dc, "d1");
    }
    cluster_end(&cluster);
}

static void
test_nothing_runs_for_a_removed_account(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin_in_dcs(&cluster);
    confine(&cluster, NULL);
    job = add_job(&cluster, 0, &four);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster_end(&cluster);
}

static void
test_a_narrower_configuration_moves_running_work(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin_in_dcs(&cluster);
    confine(&cluster, "d1");
    job = run_job(&cluster, 0, &four);
    confine(&cluster, "d2");
    owner_residency_enforce(cluster.owner);
    for (unsigned i = 0; i < 4; i++) {
        CU_ASSERT_TRUE(step_of(job)->tasks[i].run->stopping);
    }
    CU_ASSERT_EQUAL(job->phase, CW_WORK_WAITING);
    cluster_end(&cluster);
}

static void
test_a_narrower_configuration_ends_at_most_once_work(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin_in_dcs(&cluster);
    confine(&cluster, "d1");
    job = run_job(&cluster, 0, &four);
    ((struct cw_work_spec *)job->spec)->once = TRUE;
    confine(&cluster, "d2");
    owner_residency_enforce(cluster.owner);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_STOPPED);
    CU_ASSERT_EQUAL(job->reason, CW_END_MOVED);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"tasks stay in the account's data centre",
     test_tasks_stay_in_the_accounts_data_centre},
    {"nothing runs for a removed account",
     test_nothing_runs_for_a_removed_account},
    {"a narrower configuration moves work",
     test_a_narrower_configuration_moves_running_work},
    {"a narrower configuration ends at-most-once work",
     test_a_narrower_configuration_ends_at_most_once_work},
};

TEST_MAIN("residency", tests)

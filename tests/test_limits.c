/* Limits per worker and labels: a step may limit how many of its tasks run on
 * one worker, and may require a label of the worker.
 *
 * What runs on a worker is not only what the owner wants there: runs that were
 * given up, and that the worker still lists, count until they have ended. */
#include "test_main.h"

#include "owner_cluster.h"

static const struct cw_step_spec apart = {
    .tasks = 2, .accelerators = 1, .most_per_worker = 1};

/* Leaves only the worker w00, whose kind is "even". */
static struct owner_target *
list_only_one(struct cluster *cluster)
{
    struct owner_target *only = owner_target_get(cluster->owner, "w00");
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, cluster->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((struct owner_target *)value)->listed = value == only;
    }
    return only;
}

/* Polls the worker, which lists the first `count` of the runs. */
static void
list_runs(struct cluster *cluster, struct owner_target *target,
          const struct cw_running *running, size_t count)
{
    struct cw_target_answer answer = {
        .status = CW_TARGET_OK, .running = running, .running_count = count};

    target->poll_due = cluster->clock.now;
    target->answered = false;
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    (void)owner_poll_tick(cluster->owner, target, cluster->clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_POLL);
    g_array_set_size(unanswered, unanswered->len - 1);
    last_order.done(last_order.context, &answer);
}

/* First run of a task of the job, as a worker lists it. */
static struct cw_running
listed_run(const struct owner_job *job, unsigned task)
{
    struct cw_running running = {
        .task = owner_task_name(&step_of(job)->tasks[task]),
        .run = 1,
        .saved = ""};

    return running;
}

/* ---- runs that were given up ---- */

static void
test_a_run_that_was_given_up_counts_until_it_is_gone(void)
{
    const struct owner_loss loss = {.reason = "lease_over",
                                    .evidence = "lease"};
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;
    struct cw_running running;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    job = add_job(&cluster, 1, &apart);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    confirm_starts(&cluster, job);
    running = listed_run(job, 0);
    owner_target_lost(cluster.owner, target, &loss);
    list_runs(&cluster, target, &running, 1);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    list_runs(&cluster, target, NULL, 0);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* Other steps, and the step of another job, don't count. */
static void
test_a_run_that_was_given_up_counts_for_its_own_step_only(void)
{
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *other;
    struct owner_job *job;
    struct cw_running running;

    cluster_begin(&cluster);
    target = list_only_one(&cluster);
    other = add_job(&cluster, 1, &apart);
    running = listed_run(other, 0);
    list_runs(&cluster, target, &running, 1);
    job = add_job(&cluster, 1, &apart);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(other), 0);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"given up", test_a_run_that_was_given_up_counts_until_it_is_gone},
    {"given up, other step",
     test_a_run_that_was_given_up_counts_for_its_own_step_only},
};

TEST_MAIN("limits", tests)

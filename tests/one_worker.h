/* Tests of one worker, which lists its runs in answers to polls. */
#ifndef CURLEWCART_TESTS_ONE_WORKER_H
#define CURLEWCART_TESTS_ONE_WORKER_H

#include "test_main.h"

#include "owner_cluster.h"

/* Leaves only the worker w00, whose kind is "even", to place work on. */
static inline struct owner_target *
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

/* First run of a task of the job, as a worker lists it. */
static inline struct cw_running
listed_run(const struct owner_job *job, unsigned task)
{
    struct cw_running running = {
        .task = owner_task_name(&step_of(job)->tasks[task]),
        .run = 1,
        .saved = ""};

    return running;
}

/* Polls the worker, which lists the first `count` of the runs. */
static inline void
list_runs(struct cluster *cluster, struct owner_target *target,
          const struct cw_running *running, size_t count)
{
    const struct cw_target_answer answer = {
        .status = CW_TARGET_OK, .running = running, .running_count = count};

    target->poll_due = cluster->clock.now;
    target->answered = false;
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    (void)owner_poll_tick(cluster->owner, target, cluster->clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_POLL);
    answer_last_with(&answer);
}

/* Sends the worker's orders, with the start of the job's first task. */
static inline void
send_first_start(struct cluster *cluster, struct owner_target *target,
                 const struct owner_job *job)
{
    struct owner_run *run = step_of(job)->tasks[0].run;
    struct cw_task_name name = owner_task_name(run->task);

    owner_order_queue(cluster->owner, target, CW_ORDER_START, &name,
                      run->number);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    (void)owner_orders_send(cluster->owner, target, cluster->clock.now);
}

#endif

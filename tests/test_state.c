/* The state of a job that an owner stores and the next one reads. */
#include "test_main.h"

#include "curlewcart/cw_record.h"
#include "owner/internal/owner_crashes.h"
#include "owner_cluster.h"

enum { BOOT_MS = 5000, FAILURES = 1, SUSPICION = 4, CONFIG = 9, GANG_RUN = 7 };

static const struct cw_step_spec steps[] = {
    {.tasks = 3, .accelerators = 1},
    {.tasks = 3, .accelerators = 1, .gang = true},
};

static struct owner_step *
step_at(const struct owner_job *job, unsigned number)
{
    return &((struct owner_occurrence *)job->open->pdata[0])->steps[number];
}

static struct owner_run *
add_run(struct cluster *cluster, struct owner_task *task, const char *worker,
        unsigned number)
{
    struct owner_target *target = owner_target_get(cluster->owner, worker);
    struct owner_run *run =
        owner_run_create(cluster->owner, task, target, RUN_RUNNING, number);

    target->address_boot_ms = BOOT_MS;
    run->boot_ms = BOOT_MS;
    return run;
}

/* A job of which each stored member has a value. */
static struct owner_job *
make_job(struct cluster *cluster)
{
    struct owner_job *job =
        add_job_of_steps(cluster, "a", 0, steps, G_N_ELEMENTS(steps));
    struct owner_step *plain = step_at(job, 0);
    struct owner_step *gang = step_at(job, 1);

    job->phase = CW_WORK_RUNNING;
    job->started = true;
    job->start_confirmed = true;
    job->reason = CW_END_RETRIES;
    job->config = CONFIG;
    job->result = g_strdup("result");
    owner_job_add_placement(job, "w00", "d0", 2);
    plain->tasks[0].done = true;
    plain->left--;
    plain->tasks[1].failures = FAILURES;
    plain->tasks[1].saved = g_strdup("checkpoint");
    owner_task_set_suspicion(&plain->tasks[1], SUSPICION);
    add_run(cluster, &plain->tasks[1], "w00", 3);
    /* A run that is lost with a worker that may have crashed. */
    add_run(cluster, &plain->tasks[2], "w01", 2);
    owner_target_lost(cluster->owner, owner_target_get(cluster->owner, "w01"),
                      &(struct owner_loss){.reason = "lease_over"});
    gang->failures = FAILURES;
    gang->tasks[0].unheard_run = GANG_RUN - 1;
    gang->tasks[0].unheard_counted = true;
    add_run(cluster, &gang->tasks[1], "w02", GANG_RUN);
    add_run(cluster, &gang->tasks[2], "w03", GANG_RUN)->gang_failure_counted =
        true;
    return job;
}

static void
check_run(const struct owner_run *before, const struct owner_run *after)
{
    CU_ASSERT_EQUAL(before != NULL, after != NULL);
    if (before == NULL || after == NULL) {
        return;
    }
    CU_ASSERT_EQUAL(after->number, before->number);
    CU_ASSERT_EQUAL(after->boot_ms, before->boot_ms);
    CU_ASSERT_STRING_EQUAL(after->target->id, before->target->id);
    CU_ASSERT_STRING_EQUAL(after->target->address, before->target->address);
    CU_ASSERT_EQUAL(after->phase, RUN_INHERITED);
}

static void
check_step(const struct owner_step *before, const struct owner_step *after)
{
    CU_ASSERT_EQUAL(after->done, before->done);
    CU_ASSERT_EQUAL(after->left, before->left);
    CU_ASSERT_EQUAL(after->failures, before->failures);
    CU_ASSERT_EQUAL(after->runs, before->runs);
    for (unsigned i = 0; i < before->count; i++) {
        const struct owner_task *was = &before->tasks[i];
        const struct owner_task *is = &after->tasks[i];

        CU_ASSERT_EQUAL(is->last_run, was->last_run);
        CU_ASSERT_EQUAL(is->failures, was->failures);
        CU_ASSERT_EQUAL(is->suspicion, was->suspicion);
        CU_ASSERT_EQUAL(is->unheard_run, was->unheard_run);
        CU_ASSERT_EQUAL(is->unheard_counted, was->unheard_counted);
        CU_ASSERT_EQUAL(is->done, was->done);
        CU_ASSERT_EQUAL(g_strcmp0(is->saved, was->saved), 0);
        check_run(was->run, is->run);
    }
}

/* Guards against what an owner counts anew, or does not know, as it was not
 * stored by the one before. */
static void
test_stored_state_is_complete(void)
{
    struct cluster cluster;
    struct cluster next;
    struct owner_job *job;
    struct owner_job *restored;
    GByteArray *state;
    GBytes *bytes;

    cluster_begin(&cluster);
    job = make_job(&cluster);
    state = owner_job_encode(job, cw_store_value_bytes_max(0));
    CU_ASSERT_PTR_NOT_NULL_FATAL(state);
    bytes = g_byte_array_free_to_bytes(state);

    cluster_begin(&next);
    restored = add_job_of_steps(&next, "a", 0, steps, G_N_ELEMENTS(steps));
    g_ptr_array_set_size(restored->open, 0);
    CU_ASSERT_TRUE_FATAL(owner_job_restore(next.owner, restored, bytes));
    CU_ASSERT_EQUAL(restored->phase, job->phase);
    CU_ASSERT_EQUAL(restored->started, job->started);
    CU_ASSERT_EQUAL(restored->start_confirmed, job->start_confirmed);
    CU_ASSERT_EQUAL(restored->reason, job->reason);
    CU_ASSERT_EQUAL(restored->config, job->config);
    CU_ASSERT_EQUAL(restored->next_occurrence, job->next_occurrence);
    CU_ASSERT_STRING_EQUAL(restored->result, job->result);
    CU_ASSERT_EQUAL(restored->places->len, job->places->len);
    CU_ASSERT_EQUAL(restored->pending_suspicions->len, 1);
    CU_ASSERT_EQUAL(job->pending_suspicions->len, 1);
    check_step(step_at(job, 0), step_at(restored, 0));
    check_step(step_at(job, 1), step_at(restored, 1));
    CU_ASSERT_TRUE(step_at(restored, 1)->tasks[2].run->gang_failure_counted);
    g_bytes_unref(bytes);
    cluster_end(&next);
    cluster_end(&cluster);
}

/* Guards against states that an earlier version cannot read: it ignores rows
 * about tasks that the step does not have. */
static void
test_rows_of_gangs_name_no_task(void)
{
    struct cluster cluster;
    GByteArray *state;
    struct cw_work_record record = {0};
    unsigned rows = 0;

    cluster_begin(&cluster);
    state = owner_job_encode(make_job(&cluster), cw_store_value_bytes_max(0));
    CU_ASSERT_TRUE_FATAL(cw_record_decode(state->data, state->len, &record));
    for (u_int i = 0; i < record.crashes.crashes_len; i++) {
        const struct cw_crash_record *row = &record.crashes.crashes_val[i];

        if (row->step == 1) {
            CU_ASSERT_EQUAL(row->task, CW_CRASH_TASK_GANG);
            CU_ASSERT_TRUE(row->task >= steps[1].tasks);
            rows++;
        }
    }
    CU_ASSERT_EQUAL(rows, 2);
    xdr_free((xdrproc_t)xdr_cw_work_record, (char *)&record);
    g_byte_array_unref(state);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"complete", test_stored_state_is_complete},
    {"rows of gangs", test_rows_of_gangs_name_no_task},
};

TEST_MAIN("state", tests)

/* Tasks that crash every worker that starts them.
 *
 * Guards against a task that crashes one worker after the other without limit.
 * If only reported failures count against a task, a run that is lost with its
 * worker is recorded neither in memory nor in the state that a new owner
 * reads, and its task is placed again at once.  With that fault one urgent
 * task was started on 14 workers, 3.4 s apart; each crashed 10 ms after it had
 * confirmed the start, and other jobs' runs were lost with it.  There are 12
 * starts then in each of the tests "given up" and "new owner". */
#include "test_main.h"

#include "owner/internal/owner_addresses.h"
#include "owner/internal/owner_crashes.h"
#include "log_capture.h"
#include "owner_cluster.h"

enum {
    STARTS_TRIED = 12,
    /* Three workers crash, and the task may be started twice more. */
    STARTS_MAX = 5
};

static const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};

/* Crashes the worker: another incarnation answers a poll at its address. */
static void
crash(struct cluster *cluster, struct owner_target *target)
{
    target->superseded = true;
    owner_target_lost(cluster->owner, target,
                      &(struct owner_loss){.reason = "other_life"});
}

/* Runs placement until the job is placed, for up to 5 s. */
static void
await_placement(struct cluster *cluster, const struct owner_job *job)
{
    for (unsigned i = 0; i < 500 && placed(job) == 0; i++) {
        pass(cluster, 10);
    }
}

/* Starts the job's first task wherever it is placed and crashes the worker,
 * until the task is no longer placed.  Returns the number of starts. */
static unsigned
crash_until_over(struct cluster *cluster, struct owner_job *job,
                 unsigned tries)
{
    unsigned starts = 0;

    for (unsigned i = 0; i < tries; i++) {
        struct owner_target *target;

        await_placement(cluster, job);
        target = (struct owner_target *)worker_of(job, 0);
        if (target == NULL) {
            break;
        }
        confirm_starts(cluster, job);
        starts++;
        pass(cluster, 10);
        crash(cluster, target);
        add_worker(cluster, RACKS * PER_RACK + cluster->added_workers++);
    }
    return starts;
}

static void
test_crashing_task_is_given_up(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    CU_ASSERT_TRUE(crash_until_over(&cluster, job, STARTS_TRIED) <=
                   STARTS_MAX);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    cluster_end(&cluster);
}

/* Returns a job that was restored from the state that another owner has
 * stored. */
static struct owner_job *
take_over(struct cluster *cluster, GByteArray *state)
{
    return restore_job(cluster, 0, &one, state);
}

/* Each owner detects one crash of a worker and is then replaced by another
 * owner. */
static void
test_suspicion_survives_change_of_owner(void)
{
    GByteArray *state = NULL;
    unsigned starts = 0;
    bool over = false;

    for (unsigned i = 0; i < STARTS_TRIED && !over; i++) {
        struct cluster cluster;
        struct owner_job *job;

        cluster_begin(&cluster);
        job = state != NULL ? take_over(&cluster, state)
                            : add_job(&cluster, 0, &one);
        starts += crash_until_over(&cluster, job, 1);
        over = cw_work_is_over(job->phase);
        if (state != NULL) {
            g_byte_array_unref(state);
        }
        state = owner_job_encode(job, cw_store_value_bytes_max(0));
        cluster_end(&cluster);
    }
    g_byte_array_unref(state);
    CU_ASSERT_TRUE(over);
    CU_ASSERT_TRUE(starts <= STARTS_MAX);
}

/* ---- cause of a crash ---- */

/* Puts runs of both jobs on one worker, the first with progress.  The second
 * is put there directly: placement would use a worker without other runs for a
 * suspect.
 */
static struct owner_target *
put_on_one_worker(struct cluster *cluster, struct owner_job *progressing,
                  struct owner_job *crashing)
{
    struct owner_target *target;

    for (unsigned i = 0; i < 100 && placed(progressing) == 0; i++) {
        pass(cluster, 10);
    }
    confirm_starts(cluster, progressing);
    step_of(progressing)->tasks[0].run->percent = 20;
    target = (struct owner_target *)worker_of(progressing, 0);
    if (placed(crashing) > 0) {
        owner_run_drop(cluster->owner, step_of(crashing)->tasks[0].run);
    }
    (void)owner_run_create(cluster->owner, &step_of(crashing)->tasks[0],
                           target, RUN_NEW,
                           step_of(crashing)->tasks[0].last_run + 1);
    confirm_starts(cluster, crashing);
    return target;
}

/* A task may be on two successive crashed workers without being the cause. */
static void
test_neighbour_of_crashing_task_is_not_given_up(void)
{
    struct cluster cluster;
    struct owner_job *progressing;
    struct owner_job *crashing;

    cluster_begin(&cluster);
    progressing = add_job(&cluster, 0, &one);
    crashing = add_job(&cluster, 0, &one);
    for (unsigned i = 0; i < 3 && !cw_work_is_over(crashing->phase); i++) {
        crash(&cluster, put_on_one_worker(&cluster, progressing, crashing));
    }
    CU_ASSERT_EQUAL(crashing->phase, CW_WORK_FAILED);
    CU_ASSERT_FALSE(cw_work_is_over(progressing->phase));
    cluster_end(&cluster);
}

/* The limit also holds for a task whose workers crash when it is halfway
 * done, whatever the reason. */
static void
test_crashes_after_progress_are_limited(void)
{
    struct cluster cluster;
    struct owner_job *job;
    unsigned starts = 0;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    while (starts < STARTS_TRIED && !cw_work_is_over(job->phase)) {
        await_placement(&cluster, job);
        confirm_starts(&cluster, job);
        step_of(job)->tasks[0].run->percent = 50;
        crash(&cluster, (struct owner_target *)worker_of(job, 0));
        add_worker(&cluster, RACKS * PER_RACK + cluster.added_workers++);
        starts++;
    }
    CU_ASSERT_EQUAL(starts, 4);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    cluster_end(&cluster);
}

/* Guards against LOST: a task that made progress, and whose next runs ended
 * with their workers' leases before these crashed, as if it crashed its
 * workers by its start. */
static void
test_start_is_no_cause_after_progress(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    await_placement(&cluster, job);
    confirm_starts(&cluster, job);
    step_of(job)->tasks[0].run->percent = 18;
    owner_crashes_observe(step_of(job)->tasks[0].run, cluster.clock.now);
    CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 3), 3);
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    (void)crash_until_over(&cluster, job, 1);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    cluster_end(&cluster);
}

static void
test_draining_worker_adds_no_suspicion(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    pass(&cluster, 10);
    confirm_starts(&cluster, job);
    target = (struct owner_target *)worker_of(job, 0);
    target->draining = true;
    crash(&cluster, target);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
    cluster_end(&cluster);
}

/* Another incarnation answered the first start: the run did nothing. */
static void
test_start_answered_by_other_incarnation_adds_no_suspicion(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    pass(&cluster, 10);
    step_of(job)->tasks[0].run->phase = RUN_STARTING;
    crash(&cluster, (struct owner_target *)worker_of(job, 0));
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
    cluster_end(&cluster);
}

/* Another job's start was in flight: it may have been the cause as well. */
static void
test_start_in_flight_makes_cause_unclear(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_job *other;
    struct owner_target *target;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    other = add_job(&cluster, 0, &one);
    pass(&cluster, 10);
    target = (struct owner_target *)worker_of(job, 0);
    confirm_starts(&cluster, job);
    owner_run_drop(cluster.owner, step_of(other)->tasks[0].run);
    owner_run_create(cluster.owner, &step_of(other)->tasks[0], target,
                     RUN_STARTING, 2);
    crash(&cluster, target);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 4);
    CU_ASSERT_EQUAL(step_of(other)->tasks[0].suspicion, 0);
    cluster_end(&cluster);
}

/* ---- gangs and endless jobs ---- */

static void
test_gang_is_given_up_for_one_member(void)
{
    const struct cw_step_spec gang = {
        .tasks = 3, .accelerators = 8, .gang = true};
    struct cluster cluster;
    struct owner_job *job;
    unsigned starts = 0;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &gang);
    while (starts < STARTS_TRIED && !cw_work_is_over(job->phase)) {
        await_placement(&cluster, job);
        confirm_starts(&cluster, job);
        starts++;
        crash(&cluster, (struct owner_target *)worker_of(job, 1));
        add_worker(&cluster, RACKS * PER_RACK + cluster.added_workers++);
        for (unsigned i = 0; i < gang.tasks; i++) {
            if (step_of(job)->tasks[i].run != NULL) {
                owner_run_drop(cluster.owner, step_of(job)->tasks[i].run);
            }
        }
    }
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    CU_ASSERT_EQUAL(starts, 2);
    cluster_end(&cluster);
}

static const struct cw_step_spec endless_step = {
    .tasks = 1, .accelerators = 4, .endless = true};

static void
test_crashing_endless_job_is_given_up(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 1, &endless_step);
    CU_ASSERT_TRUE(crash_until_over(&cluster, job, STARTS_TRIED) <=
                   STARTS_MAX);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    cluster_end(&cluster);
}

/* An endless job that runs for a long time is on a crashed worker repeatedly
 * without being the cause.
 */
static void
test_steady_endless_job_loses_suspicion(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 1, &endless_step);
    for (unsigned i = 0; i < STARTS_TRIED; i++) {
        struct owner_run *run;

        CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 1), 1);
        await_placement(&cluster, job);
        confirm_starts(&cluster, job);
        run = step_of(job)->tasks[0].run;
        run->percent = 100;
        pass(&cluster, 10000);
        owner_crashes_observe(run, cluster.clock.now);
        crash(&cluster, run->target);
        add_worker(&cluster, RACKS * PER_RACK + cluster.added_workers++);
    }
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    cluster_end(&cluster);
}

/* ---- workers that may be cut off ---- */

/* Ends the worker's lease without an answer from it. */
static void
lose_unresponsive(struct cluster *cluster, struct owner_target *target)
{
    target->listed = false;
    target->unanswered_polls = 3;
    owner_target_lost(cluster->owner, target,
                      &(struct owner_loss){.reason = "lease_over"});
}

static void
test_suspicion_is_revoked_after_cut(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    for (unsigned i = 0; i < 2 * STARTS_MAX; i++) {
        struct owner_target *target;

        await_placement(&cluster, job);
        confirm_starts(&cluster, job);
        target = (struct owner_target *)worker_of(job, 0);
        lose_unresponsive(&cluster, target);
        CU_ASSERT_TRUE(step_of(job)->tasks[0].suspicion > 0);
        owner_crashes_answered(cluster.owner, target, 0);
        CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
        target->listed = true;
        target->answered = true;
        target->unanswered_polls = 0;
    }
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    cluster_end(&cluster);
}

/* Lists the worker's next incarnation at its address. */
static void
list_next_incarnation(struct cluster *cluster,
                      const struct owner_target *before)
{
    struct owner_target *next = owner_target_get(cluster->owner, "next");

    next->service = before->service;
    g_free(next->address);
    next->address = g_strdup(before->address);
    next->listed = true;
    owner_address_listed(next);
}

/* The worker returns only after its lease is over: its next incarnation, which
 * is listed at the same address, refuses a poll, and that confirms the crash.
 * The task's first worker was known to have crashed. */
static void
test_crash_confirmed_late_counts(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *before;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 1), 1);
    pass(&cluster, 10);
    confirm_starts(&cluster, job);
    before = (struct owner_target *)worker_of(job, 0);
    owner_address_listed(before);
    lose_unresponsive(&cluster, before);
    pass(&cluster, 1000);
    CU_ASSERT_EQUAL(placed(job), 0); /* the suspect is delayed */
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    list_next_incarnation(&cluster, before);
    CU_ASSERT_FALSE(cw_work_is_over(job->phase)); /* a list proves nothing */
    owner_poll_tick(cluster.owner, before, cluster.clock.now);
    CU_ASSERT_TRUE_FATAL(before->poll_in_flight);
    CU_ASSERT_STRING_EQUAL(last_order.id, before->id);
    answer_last(CW_TARGET_OTHER_INCARNATION);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    cluster_end(&cluster);
}

/* Of three workers one has crashed; the others may have been cut off. */
static void
test_unresponsive_workers_alone_end_no_job(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 1), 1);
    for (unsigned i = 0; i < 3 && !cw_work_is_over(job->phase); i++) {
        await_placement(&cluster, job);
        confirm_starts(&cluster, job);
        lose_unresponsive(&cluster, (struct owner_target *)worker_of(job, 0));
    }
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 1), 1);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    cluster_end(&cluster);
}

/* Guards against LOST: a job that ends by one proved crash, as workers that
 * may only have been cut off count in advance. */
static void
test_one_proved_crash_ends_no_job(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    for (unsigned i = 0; i < 2; i++) {
        await_placement(&cluster, job);
        confirm_starts(&cluster, job);
        lose_unresponsive(&cluster, (struct owner_target *)worker_of(job, 0));
    }
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 6);
    CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 1), 1);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 12);
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 1), 1);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    cluster_end(&cluster);
}

/* If nothing confirms the crash, the task continues within the time that
 * callers tolerate. */
static void
test_delay_of_suspect_is_limited(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 1), 1);
    pass(&cluster, 10);
    confirm_starts(&cluster, job);
    lose_unresponsive(&cluster, (struct owner_target *)worker_of(job, 0));
    pass(&cluster, 2400);
    CU_ASSERT_EQUAL(placed(job), 0);
    pass(&cluster, 150);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* Guards against a task that goes on to crash workers, five and more, because
 * none of its last crashes could be proved before its next start. */
static void
test_task_at_the_limit_waits_longer(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;
    GByteArray *state;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    await_placement(&cluster, job);
    confirm_starts(&cluster, job);
    owner_task_set_suspicion(&step_of(job)->tasks[0], 9);
    target = (struct owner_target *)worker_of(job, 0);
    lose_unresponsive(&cluster, target);
    pass(&cluster, 3900);
    CU_ASSERT_EQUAL(placed(job), 0);
    state = owner_job_encode(job, cw_store_value_bytes_max(0));
    pass(&cluster, 150);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);

    cluster_begin(&cluster);
    job = take_over(&cluster, state);
    pass(&cluster, 3900);
    CU_ASSERT_EQUAL(placed(job), 0);
    g_byte_array_unref(state);
    cluster_end(&cluster);
}

/* Makes the worker and this many others unresponsive. */
static void
make_unresponsive(struct cluster *cluster, struct owner_target *target,
                  unsigned others)
{
    GHashTableIter iterator;
    gpointer value;

    target->unanswered_since = cluster->clock.now;
    g_hash_table_iter_init(&iterator, cluster->owner->targets);
    while (others > 0 && g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *other = value;

        if (other != target && other->listed && !other->superseded) {
            other->unanswered_since = cluster->clock.now;
            other->unanswered_polls = 3;
            others--;
        }
    }
}

/* Makes this many workers unresponsive, beside that of the job, and then the
 * job a suspect whose worker is given up. */
static void
lose_with_others(struct cluster *cluster, struct owner_job *job,
                 unsigned others)
{
    struct owner_target *target;

    CU_ASSERT_EQUAL(crash_until_over(cluster, job, 1), 1);
    pass(cluster, 10);
    confirm_starts(cluster, job);
    target = (struct owner_target *)worker_of(job, 0);
    make_unresponsive(cluster, target, others);
    lose_unresponsive(cluster, target);
    pass(cluster, 10);
}

/* Suspicion of a task that had just been started on a worker which crashes
 * together with others. */
static unsigned
suspicion_after_crash_with(unsigned others)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;
    unsigned suspicion;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    pass(&cluster, 10);
    confirm_starts(&cluster, job);
    target = (struct owner_target *)worker_of(job, 0);
    make_unresponsive(&cluster, target, others);
    crash(&cluster, target);
    suspicion = step_of(job)->tasks[0].suspicion;
    cluster_end(&cluster);
    return suspicion;
}

enum { JOBS_IN_STEP_MAX = 18 };

/* Crashes the workers of the jobs at the same time, each once. */
static void
crash_in_step(struct cluster *cluster, struct owner_job **jobs, unsigned count)
{
    struct owner_target *targets[JOBS_IN_STEP_MAX] = {NULL};

    for (unsigned i = 0; i < count; i++) {
        targets[i] = (struct owner_target *)worker_of(jobs[i], 0);
        if (targets[i] != NULL) {
            confirm_starts(cluster, jobs[i]);
            targets[i]->unanswered_since = cluster->clock.now;
            targets[i]->unanswered_polls = 2;
        }
    }
    for (unsigned i = 0; i < count; i++) {
        if (targets[i] != NULL && !targets[i]->superseded) {
            crash(cluster, targets[i]);
            add_worker(cluster, RACKS * PER_RACK + cluster->added_workers++);
        }
    }
}

/* Returns how often the first of these jobs is started, all of which crash
 * their workers in step. */
static unsigned
starts_beside_jobs_in_step(unsigned count)
{
    struct cluster cluster;
    struct owner_job *jobs[JOBS_IN_STEP_MAX];
    unsigned starts = 0;

    cluster_begin(&cluster);
    for (unsigned i = 0; i < count; i++) {
        jobs[i] = add_job(&cluster, 0, &one);
    }
    for (unsigned n = 0; n < 2 * STARTS_TRIED; n++) {
        for (unsigned i = 0; i < count; i++) {
            await_placement(&cluster, jobs[i]);
        }
        starts += placed(jobs[0]);
        crash_in_step(&cluster, jobs, count);
        if (cw_work_is_over(jobs[0]->phase)) {
            break;
        }
        pass(&cluster, 3000);
    }
    CU_ASSERT_EQUAL(jobs[0]->phase, CW_WORK_FAILED);
    cluster_end(&cluster);
    return starts;
}

/* Guards against BUDGET: jobs that crash their workers at the same moment
 * count as the cause of one another's crashes, and none is given up. */
static void
test_jobs_that_crash_in_step_are_given_up(void)
{
    CU_ASSERT_TRUE(starts_beside_jobs_in_step(5) <= STARTS_MAX);
    CU_ASSERT_TRUE(starts_beside_jobs_in_step(9) <= STARTS_MAX);
    CU_ASSERT_TRUE(starts_beside_jobs_in_step(JOBS_IN_STEP_MAX) <= STARTS_MAX);
}

/* Guards against jobs that are given up because many workers restarted at
 * once, twice, just after a task had been started on one of them. */
static void
test_restart_of_many_workers_counts_little(void)
{
    CU_ASSERT_EQUAL(suspicion_after_crash_with(2), 6);
    CU_ASSERT_EQUAL(suspicion_after_crash_with(3), 3);
    CU_ASSERT_EQUAL(suspicion_after_crash_with(8), 1);
}

/* Guards against a delay of 2.5 s for each task that had just been started
 * behind a cut, and against suspicion that a new owner could not know. */
static void
test_suspect_is_not_delayed_by_mass_silence(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    lose_with_others(&cluster, job, 3);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 6 + 3);
    cluster_end(&cluster);
}

/* Guards against a job that crashes many workers at once and is taken for one
 * that a cut has hit; two other workers may crash by chance. */
static void
test_suspect_is_delayed_without_other_cause(void)
{
    const struct cw_step_spec wide = {.tasks = 4, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    lose_with_others(&cluster, job, 2);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster_end(&cluster);

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &wide);
    pass(&cluster, 10);
    confirm_starts(&cluster, job);
    owner_task_set_suspicion(&step_of(job)->tasks[0], 4);
    for (unsigned i = 0; i < wide.tasks; i++) {
        struct owner_target *target = (struct owner_target *)worker_of(job, i);

        target->unanswered_since = cluster.clock.now;
        target->unanswered_polls = 3;
    }
    lose_unresponsive(&cluster, (struct owner_target *)worker_of(job, 0));
    pass(&cluster, 10);
    CU_ASSERT_PTR_NULL(step_of(job)->tasks[0].run);
    cluster_end(&cluster);
}

/* Makes the job's first task a suspect that is delayed for a second. */
static void
delay_first_task(struct cluster *cluster, struct owner_job *job)
{
    struct owner_task *task = &step_of(job)->tasks[0];

    owner_task_set_suspicion(task, 4);
    task->delayed_until = cw_time_add_ms(cluster->clock.now, 1000);
}

/* Guards against a step that waits as a whole for the delay of one task. */
static void
test_siblings_of_delayed_suspect_are_placed(void)
{
    const struct cw_step_spec three = {.tasks = 3, .accelerators = 4};
    struct cluster cluster;
    struct owner_job *job;
    GString *out = g_string_new(NULL);

    cluster_begin(&cluster);
    job = add_job(&cluster, 1, &three);
    delay_first_task(&cluster, job);
    CU_ASSERT_FALSE(owner_step_is_delayed(step_of(job), cluster.clock.now));
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 2);
    CU_ASSERT_PTR_NULL(step_of(job)->tasks[0].run);
    CU_ASSERT_TRUE(owner_step_is_delayed(step_of(job), cluster.clock.now));
    CU_ASSERT_TRUE(cw_owner_explain(cluster.owner, job->spec->id,
                                    cluster.clock.now, out));
    CU_ASSERT_PTR_NOT_NULL(strstr(out->str, "1 wait for word"));
    pass(&cluster, 1000);
    CU_ASSERT_EQUAL(placed(job), 3);
    g_string_free(out, TRUE);
    cluster_end(&cluster);
}

/* Guards against work that is stopped for a task which must not start yet. */
static void
test_nothing_is_preempted_for_delayed_suspect(void)
{
    const struct cw_step_spec two = {.tasks = 2, .accelerators = ACCELERATORS};
    const struct cw_step_spec all = {.tasks = RACKS * PER_RACK,
                                     .accelerators = ACCELERATORS};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    (void)run_job(&cluster, 2, &all);
    job = add_job(&cluster, 0, &two);
    delay_first_task(&cluster, job);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_EQUAL(cluster.counters.named[CW_COUNT_PREEMPTIONS], 1);
    cluster_end(&cluster);
}

/* Guards against a gang that is started without its suspect. */
static void
test_gang_waits_for_delayed_member(void)
{
    const struct cw_step_spec gang = {
        .tasks = 3, .accelerators = 8, .gang = true};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &gang);
    delay_first_task(&cluster, job);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 0);
    pass(&cluster, 1000);
    CU_ASSERT_EQUAL(placed(job), 3);
    cluster_end(&cluster);
}

/* Guards against a delay that only its task's late start shows. */
static void
test_delay_is_logged_once(void)
{
    struct cluster cluster;
    struct log_capture capture;
    struct owner_job *job;
    char *lines;
    char *line;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 1), 1);
    pass(&cluster, 10);
    confirm_starts(&cluster, job);
    log_capture_begin(&capture);
    lose_unresponsive(&cluster, (struct owner_target *)worker_of(job, 0));
    pass(&cluster, 10);
    pass(&cluster, 10);
    lines = log_capture_end(&capture);
    line = last_line(lines, "task_delayed");
    CU_ASSERT_EQUAL(count_lines(lines, "task_delayed"), 1);
    CU_ASSERT_TRUE(has_field(line, "id", job->spec->id));
    CU_ASSERT_TRUE(has_field(line, "task", "0.0.0"));
    CU_ASSERT_TRUE(has_field(line, "reason", "suspect"));
    CU_ASSERT_EQUAL(field_number(line, "until_ms"), 2500);
    g_free(line);
    g_free(lines);
    cluster_end(&cluster);
}

/* Guards against a failed job of which no log tells what counted against it.
 */
static void
test_given_up_task_logs_both_limits(void)
{
    struct cluster cluster;
    struct log_capture capture;
    struct owner_job *job;
    char *lines;
    char *line;

    cluster_begin(&cluster);
    cluster.owner->epoch = 7;
    job = add_job(&cluster, 0, &one);
    log_capture_begin(&capture);
    (void)crash_until_over(&cluster, job, STARTS_TRIED);
    lines = log_capture_end(&capture);
    line = last_line(lines, "task_suspect");
    CU_ASSERT_TRUE(has_field(line, "evidence", "other_incarnation"));
    CU_ASSERT_EQUAL(field_number(line, "epoch"), 7);
    g_free(line);
    line = last_line(lines, "task_given_up");
    CU_ASSERT_TRUE(has_field(line, "id", job->spec->id));
    CU_ASSERT_TRUE(has_field(line, "limit", "crashes"));
    CU_ASSERT_EQUAL(field_number(line, "failures"), 0);
    CU_ASSERT_EQUAL(field_number(line, "attempts"), 2);
    CU_ASSERT_EQUAL(field_number(line, "suspicion"), 12);
    g_free(line);
    g_free(lines);
    cluster_end(&cluster);
}

/* ---- workers that are not listed ---- */

/* Replaces the owner by another one that has read the job's state and, of the
 * list of workers, all but this one. */
static struct owner_job *
take_over_without(struct cluster *cluster, struct owner_job *job,
                  const struct owner_target *missing)
{
    GByteArray *state = owner_job_encode(job, cw_store_value_bytes_max(0));
    char *id = g_strdup(missing->id);
    struct owner_target *target;

    cluster_end(cluster);
    cluster_begin(cluster);
    target = owner_target_get(cluster->owner, id);
    target->listed = false;
    target->answered = false;
    g_free(target->address);
    target->address = g_strdup("");
    job = take_over(cluster, state);
    g_byte_array_unref(state);
    g_free(id);
    return job;
}

/* Guards against LOST: a job shown as failed as four owners in a row did not
 * find its workers in the list, which had lost their entries while the store
 * was unavailable. */
static void
test_worker_missing_from_list_adds_no_suspicion(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    for (unsigned i = 0; i < 2 * STARTS_MAX; i++) {
        struct owner_target *target;

        await_placement(&cluster, job);
        CU_ASSERT_EQUAL_FATAL(placed(job), 1);
        confirm_starts(&cluster, job);
        target = (struct owner_target *)worker_of(job, 0);
        g_free(target->address);
        target->address = g_strdup(""); /* as in earlier versions' states */
        job = take_over_without(&cluster, job, target);
        target = (struct owner_target *)worker_of(job, 0);
        CU_ASSERT_PTR_NOT_NULL_FATAL(target);
        owner_target_lost(cluster.owner, target,
                          &(struct owner_loss){.reason = "lease_over"});
    }
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    cluster_end(&cluster);
}

/* Guards against runs that a new owner gives up, although their worker, which
 * the list has lost, works on and could be asked. */
static void
test_worker_missing_from_list_is_asked_at_its_address(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    await_placement(&cluster, job);
    confirm_starts(&cluster, job);
    job = take_over_without(&cluster, job, worker_of(job, 0));
    target = (struct owner_target *)worker_of(job, 0);
    CU_ASSERT_PTR_NOT_NULL_FATAL(target);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_TRUE_FATAL(target->poll_in_flight);
    CU_ASSERT_STRING_EQUAL(last_order.address, target->id);
    answer_last(CW_TARGET_OTHER_INCARNATION);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 3);
    cluster_end(&cluster);
}

/* Loses the job's worker without an answer, and replaces the owner.  Returns
 * the worker. */
static struct owner_target *
lose_and_take_over(struct cluster *cluster, struct owner_job **job)
{
    struct owner_target *target;
    char *id;

    *job = add_job(cluster, 0, &one);
    await_placement(cluster, *job);
    confirm_starts(cluster, *job);
    target = (struct owner_target *)worker_of(*job, 0);
    id = g_strdup(target->id);
    lose_unresponsive(cluster, target);
    *job = take_over_without(cluster, *job, target);
    CU_ASSERT_EQUAL(step_of(*job)->tasks[0].suspicion, 3);
    target = owner_target_get(cluster->owner, id);
    g_free(id);
    return target;
}

/* Guards against suspicion that only the owner which added it could revoke,
 * and against a crash that a new owner counts for less than it proves. */
static void
test_pending_suspicion_is_resolved_by_next_owner(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_target *target;

    cluster_begin(&cluster);
    target = lose_and_take_over(&cluster, &job);
    CU_ASSERT_EQUAL(job->pending_suspicions->len, 1);
    owner_crashes_answered(cluster.owner, target, 0);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
    CU_ASSERT_EQUAL(job->pending_suspicions->len, 0);
    cluster_end(&cluster);

    cluster_begin(&cluster);
    target = lose_and_take_over(&cluster, &job);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_TRUE_FATAL(target->poll_in_flight);
    answer_last(CW_TARGET_OTHER_INCARNATION);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 6);
    cluster_end(&cluster);
}

/* Guards against BUDGET: a sixth start of a task that crashes its workers,
 * while it was not known yet that the worker of its inherited run had crashed,
 * which ends the job. */
static void
test_inherited_loss_near_the_limit_delays_the_task(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    await_placement(&cluster, job);
    confirm_starts(&cluster, job);
    owner_task_set_suspicion(&step_of(job)->tasks[0], 9);
    job = take_over_without(&cluster, job, worker_of(job, 0));
    lose_unresponsive(&cluster, (struct owner_target *)worker_of(job, 0));
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 9);
    pass(&cluster, 2400);
    CU_ASSERT_EQUAL(placed(job), 0);
    pass(&cluster, 150);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* Guards against suspicion that was added in advance and that no later owner
 * can revoke, as the state of a wide job does not tell of it. */
static void
test_all_pending_suspicions_are_stored(void)
{
    const struct cw_step_spec wide = {.tasks = 80, .accelerators = 4};
    struct cluster cluster;
    struct cw_work_extension out = {0};
    struct owner_job *job;
    struct owner_target *target;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &wide);
    target = owner_target_get(cluster.owner, "w00");
    for (unsigned i = 0; i < wide.tasks; i++) {
        (void)owner_run_create(cluster.owner, &step_of(job)->tasks[i], target,
                               RUN_RUNNING, 1);
    }
    lose_unresponsive(&cluster, target);
    owner_crashes_encode(job, &out);
    CU_ASSERT_EQUAL(out.unresolved.unresolved_len, wide.tasks);
    g_free(out.unresolved.unresolved_val);
    cluster_end(&cluster);
}

/* Guards against suspicion that nobody resolves and that lasts for months. */
static void
test_pending_suspicion_expires(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    (void)lose_and_take_over(&cluster, &job);
    cluster.clock.wall_offset_ms += 50000;
    owner_crashes_expire(cluster.owner);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 3);
    cluster.clock.wall_offset_ms += 20000;
    owner_crashes_expire(cluster.owner);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
    CU_ASSERT_EQUAL(job->pending_suspicions->len, 0);
    cluster_end(&cluster);
}

/* ---- suspects start apart from other runs ---- */

static void
test_suspect_is_started_on_idle_worker(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    (void)run_job(&cluster, 0, &one);
    job = add_job(&cluster, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 1), 1);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_EQUAL(worker_of(job, 0)->runs->len, 1);
    cluster_end(&cluster);
}

static void
test_nothing_is_placed_beside_suspect_without_progress(void)
{
    const struct cw_step_spec many = {.tasks = 2 * RACKS * PER_RACK,
                                      .accelerators = 4};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_run *run;

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 1), 1);
    pass(&cluster, 10);
    confirm_starts(&cluster, job);
    run = step_of(job)->tasks[0].run;
    (void)add_job(&cluster, 0, &many);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(run->target->runs->len, 1);
    run->percent = 1;
    owner_crashes_observe(run, cluster.clock.now);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(run->target->runs->len, 2);
    cluster_end(&cluster);
}

static void
test_explain_reports_suspicion(void)
{
    struct cluster cluster;
    struct owner_job *job;
    GString *out = g_string_new(NULL);

    cluster_begin(&cluster);
    job = add_job(&cluster, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&cluster, job, 1), 1);
    CU_ASSERT_TRUE(cw_owner_explain(cluster.owner, job->spec->id,
                                    cluster.clock.now, out));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(out->str, "crashes of workers speak against 1 of its tasks"));
    CU_ASSERT_EQUAL(cluster.counters.named[CW_COUNT_CRASHES], 1);
    g_string_free(out, TRUE);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"explain", test_explain_reports_suspicion},
    {"given up", test_crashing_task_is_given_up},
    {"new owner", test_suspicion_survives_change_of_owner},
    {"neighbour", test_neighbour_of_crashing_task_is_not_given_up},
    {"after progress", test_crashes_after_progress_are_limited},
    {"start after progress", test_start_is_no_cause_after_progress},
    {"draining worker", test_draining_worker_adds_no_suspicion},
    {"other incarnation",
     test_start_answered_by_other_incarnation_adds_no_suspicion},
    {"gang", test_gang_is_given_up_for_one_member},
    {"endless", test_crashing_endless_job_is_given_up},
    {"steady endless job", test_steady_endless_job_loses_suspicion},
    {"cut off", test_suspicion_is_revoked_after_cut},
    {"confirmed late", test_crash_confirmed_late_counts},
    {"unresponsive", test_unresponsive_workers_alone_end_no_job},
    {"one proved crash", test_one_proved_crash_ends_no_job},
    {"start in flight", test_start_in_flight_makes_cause_unclear},
    {"delay of suspect", test_delay_of_suspect_is_limited},
    {"delay at the limit", test_task_at_the_limit_waits_longer},
    {"siblings of a delayed suspect",
     test_siblings_of_delayed_suspect_are_placed},
    {"preemption for a delayed suspect",
     test_nothing_is_preempted_for_delayed_suspect},
    {"gang of a delayed suspect", test_gang_waits_for_delayed_member},
    {"delay in the log", test_delay_is_logged_once},
    {"given up in the log", test_given_up_task_logs_both_limits},
    {"jobs that crash in step", test_jobs_that_crash_in_step_are_given_up},
    {"restart of many workers", test_restart_of_many_workers_counts_little},
    {"mass silence", test_suspect_is_not_delayed_by_mass_silence},
    {"no other cause", test_suspect_is_delayed_without_other_cause},
    {"worker missing from the list",
     test_worker_missing_from_list_adds_no_suspicion},
    {"missing worker asked",
     test_worker_missing_from_list_is_asked_at_its_address},
    {"pending suspicion, next owner",
     test_pending_suspicion_is_resolved_by_next_owner},
    {"inherited loss near the limit",
     test_inherited_loss_near_the_limit_delays_the_task},
    {"pending suspicions of a wide job",
     test_all_pending_suspicions_are_stored},
    {"pending suspicion expires", test_pending_suspicion_expires},
    {"idle worker", test_suspect_is_started_on_idle_worker},
    {"beside a suspect",
     test_nothing_is_placed_beside_suspect_without_progress},
};

TEST_MAIN("crashes", tests)

/* Placement: racks, guarantees, headroom, and workers to avoid. */
#include "test_main.h"

#include <string.h>

#include "owner/internal/owner_candidates.h"
#include "owner_cluster.h"
#include "worker_speeds.h"

static void
test_a_gang_takes_one_rack_or_waits(void)
{
    const struct cw_step_spec gang = {.tasks = 4,
                                      .accelerators = 8,
                                      .gang = true,
                                      .same_rack = CW_SAME_RACK_FASTER};
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 1};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &gang);
    CU_ASSERT_EQUAL(placed(job), 4);
    for (unsigned i = 1; i < 4; i++) {
        CU_ASSERT_STRING_EQUAL(worker_of(job, i)->rack,
                               worker_of(job, 0)->rack);
    }
    /* With a task in each other rack, no rack is idle. */
    step_of(run_job(&cluster, 1, &one));
    run_job(&cluster, 1,
            &(struct cw_step_spec){.tasks = 1, .accelerators = 8});
    job = add_job(&cluster, 1, &gang);
    pass(&cluster, 10);
    CU_ASSERT_TRUE(placed(job) == 0 || placed(job) == 4);
    cluster_end(&cluster);
}

/* A rack has four workers. */
static void
test_a_gang_that_no_rack_can_hold_within_its_limit_spans_racks(void)
{
    const struct cw_step_spec gang = {.tasks = 6,
                                      .accelerators = 1,
                                      .gang = true,
                                      .same_rack = CW_SAME_RACK_FASTER,
                                      .most_per_worker = 1};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = add_job(&cluster, 1, &gang);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 6);
    cluster_end(&cluster);
}

static void
test_urgent_work_within_its_guarantee_preempts_others(void)
{
    const struct cw_step_spec all = {
        .tasks = RACKS * PER_RACK, .accelerators = 8, .checkpoints = true};
    const struct cw_step_spec gang = {.tasks = 2,
                                      .accelerators = 8,
                                      .gang = true,
                                      .same_rack = CW_SAME_RACK_FASTER};
    struct cluster cluster;
    struct owner_job *low;
    struct owner_job *urgent;
    unsigned stopping = 0;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    low = run_job(&cluster, 2, &all);
    CU_ASSERT_EQUAL(placed(low), RACKS * PER_RACK);
    set_guarantee(&cluster, 16);
    urgent = add_job(&cluster, 0, &gang);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(urgent), 2);
    CU_ASSERT_STRING_EQUAL(worker_of(urgent, 0)->rack,
                           worker_of(urgent, 1)->rack);
    for (unsigned i = 0; i < step_of(low)->count; i++) {
        stopping += step_of(low)->tasks[i].run->stopping;
    }
    CU_ASSERT_EQUAL(stopping, 2); /* no more than needed */
    /* Its runs can start once the others have ended. */
    CU_ASSERT_EQUAL(step_of(urgent)->tasks[0].run->phase, RUN_RESERVED);
    for (unsigned i = 0; i < step_of(low)->count; i++) {
        if (step_of(low)->tasks[i].run->stopping) {
            owner_run_drop(cluster.owner, step_of(low)->tasks[i].run);
        }
    }
    CU_ASSERT_EQUAL(step_of(urgent)->tasks[0].run->phase, RUN_NEW);
    CU_ASSERT_EQUAL(step_of(urgent)->tasks[1].run->phase, RUN_NEW);
    cluster_end(&cluster);
}

static void
test_the_cheapest_work_is_preempted(void)
{
    const struct cw_step_spec without_checkpoints = {.tasks = 6,
                                                     .accelerators = 8};
    const struct cw_step_spec with_checkpoints = {
        .tasks = 6, .accelerators = 8, .checkpoints = true};
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *job_without_checkpoints;
    struct owner_job *job_with_checkpoints;
    unsigned stopped[2] = {0, 0};

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job_without_checkpoints = run_job(&cluster, 2, &without_checkpoints);
    job_with_checkpoints = run_job(&cluster, 1, &with_checkpoints);
    pass(&cluster, 5000);
    for (unsigned i = 0; i < 6; i++) { /* a checkpoint was just saved */
        step_of(job_with_checkpoints)->tasks[i].run->saved_at =
            cluster.clock.now;
    }
    add_job(&cluster, 0, &one);
    pass(&cluster, 10);
    for (unsigned i = 0; i < 6; i++) {
        stopped[0] += step_of(job_without_checkpoints)->tasks[i].run->stopping;
        stopped[1] += step_of(job_with_checkpoints)->tasks[i].run->stopping;
    }
    CU_ASSERT_EQUAL(stopped[0], 0);
    CU_ASSERT_EQUAL(stopped[1], 1);
    cluster_end(&cluster);
}

static void
test_lower_priority_work_leaves_headroom(void)
{
    const struct cw_step_spec burst = {.tasks = 4, .accelerators = 8};
    const struct cw_step_spec flood = {.tasks = 96, .accelerators = 1};
    struct cluster cluster;
    struct owner_job *urgent;
    struct owner_job *low;
    unsigned workers_used = 0;
    GHashTableIter iterator;
    gpointer value;

    cluster_begin(&cluster);
    urgent = run_job(&cluster, 0, &burst);
    CU_ASSERT_EQUAL(placed(urgent), 4);
    low = add_job(&cluster, 2, &flood);
    pass(&cluster, 10);
    g_hash_table_iter_init(&iterator, cluster.owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        workers_used +=
            ((struct owner_target *)value)->lower_priority_runs > 0;
    }
    CU_ASSERT_TRUE(placed(low) > 0);
    CU_ASSERT_TRUE(workers_used < RACKS * PER_RACK - 4);
    cluster_end(&cluster);
}

static void
test_a_rack_is_reserved_for_a_waiting_gang(void)
{
    const struct cw_step_spec fill = {.tasks = 24, .accelerators = 4};
    const struct cw_step_spec gang = {.tasks = 3,
                                      .accelerators = 8,
                                      .gang = true,
                                      .same_rack = CW_SAME_RACK_FASTER};
    const struct cw_step_spec small = {.tasks = 96, .accelerators = 1};
    struct cluster cluster;
    struct owner_job *before;
    struct owner_job *waits;
    struct owner_job *low;
    const char *rack = NULL;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    before = run_job(&cluster, 2, &fill);
    waits = add_job(&cluster, 1, &gang);
    pass(&cluster, 10);
    pass(&cluster, 2000);
    CU_ASSERT_EQUAL(placed(waits), 0);
    low = add_job(&cluster, 2, &small);
    /* The tasks in the reserved rack end one by one; the gang gets the rack.
     */
    for (unsigned i = 0; i < step_of(before)->count; i++) {
        struct owner_run *run = step_of(before)->tasks[i].run;

        if (run->target->rack_reserved_for != NULL) {
            rack = run->target->rack;
            step_of(before)->tasks[i].done = true;
            step_of(before)->left--;
            owner_run_drop(cluster.owner, run);
            pass(&cluster, 10);
        }
    }
    CU_ASSERT_PTR_NOT_NULL(rack);
    CU_ASSERT_EQUAL(placed(waits), 3);
    (void)low;
    cluster_end(&cluster);
}

static void
test_unusable_workers_get_no_work(void)
{
    const struct cw_step_spec all = {.tasks = 12, .accelerators = 8};
    const struct cw_step_spec none = {.tasks = 2, .accelerators = 9};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_job *failing[2];

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    failing[0] = add_job(&cluster, 1, &none);
    failing[1] = add_job(&cluster, 1, &none);
    owner_target_get(cluster.owner, "w00")->draining = true;
    owner_target_get(cluster.owner, "w01")->listed = false;
    owner_target_get(cluster.owner, "w02")->superseded = true;
    owner_target_get(cluster.owner, "w03")->unanswered_polls = 1;
    for (unsigned i = 0; i < G_N_ELEMENTS(failing); i++) {
        owner_target_add_failure(owner_target_get(cluster.owner, "w04"),
                                 &step_of(failing[i])->tasks[0],
                                 cluster.clock.now);
    }
    show_slow(&cluster, "w05");
    job = add_job(&cluster, 1, &all);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 7); /* slow workers are usable */
    CU_ASSERT_STRING_EQUAL(worker_of(job, 0)->id, "w05");
    pass(&cluster, 5000);
    CU_ASSERT_EQUAL(placed(job), 7);
    pass(&cluster, 2500); /* the failures are no longer counted */
    CU_ASSERT_EQUAL(placed(job), 8);
    cluster_end(&cluster);
}

/* Guards against workers that are avoided because of one task that fails on
 * every worker. */
static void
test_one_failing_task_does_not_exclude_workers(void)
{
    const struct cw_step_spec all = {.tasks = 12, .accelerators = 8};
    struct cluster cluster;
    struct owner_target *target;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = add_job(&cluster, 1, &all);
    for (unsigned i = 0; i < RACKS * PER_RACK; i++) {
        char name[16];

        g_snprintf(name, sizeof(name), "w%02u", i);
        target = owner_target_get(cluster.owner, name);
        owner_target_add_failure(target, &step_of(job)->tasks[0],
                                 cluster.clock.now);
        owner_target_add_failure(target, &step_of(job)->tasks[0],
                                 cluster.clock.now);
    }
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 12);
    target = owner_target_get(cluster.owner, "w00");
    owner_target_add_success(target);
    owner_target_add_failure(target, &step_of(job)->tasks[0],
                             cluster.clock.now);
    CU_ASSERT_TRUE(owner_target_usable(target, cluster.clock.now));
    cluster_end(&cluster);
}

/* Guards against preempting more gangs than needed in a full service.  A gang
 * that is preempted for the first task of an urgent gang frees several
 * workers.  The costs of the other tasks have to be computed again after that:
 * then no second gang is preempted. */
static void
test_preempted_gang_serves_several_tasks(void)
{
    const struct cw_step_spec lower = {
        .tasks = 4, .accelerators = 8, .gang = true};
    const struct cw_step_spec urgent = {
        .tasks = 4, .accelerators = 8, .gang = true};
    struct cluster cluster;
    struct owner_job *below[RACKS];
    unsigned stopping = 0;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    for (unsigned i = 0; i < RACKS; i++) {
        below[i] = run_job(&cluster, 1, &lower);
        CU_ASSERT_EQUAL(placed(below[i]), 4);
    }
    set_guarantee(&cluster, 96);
    add_job(&cluster, 0, &urgent);
    pass(&cluster, 10);
    for (unsigned i = 0; i < RACKS; i++) {
        stopping += step_of(below[i])->tasks[0].run->stopping;
    }
    CU_ASSERT_EQUAL(stopping, 1);
    cluster_end(&cluster);
}

static void
test_label_and_limit_per_worker_are_respected(void)
{
    const struct cw_step_spec spread = {.tasks = 8,
                                        .accelerators = 1,
                                        .most_per_worker = 1,
                                        .label = (char *)"odd"};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = add_job(&cluster, 1, &spread);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 6); /* six odd workers, one task each */
    for (unsigned i = 0; i < 6; i++) {
        CU_ASSERT_STRING_EQUAL(worker_of(job, i)->kind, "odd");
    }
    cluster_end(&cluster);
}

static const struct cw_step_spec whole_workers = {
    .tasks = 3, .accelerators = 8, .gang = true};

/* Reports the progress of all members four times, every half second: first the
 * present value, then each time `percent` more, or `first_percent` more for
 * the first member. */
static void
report_progress(struct cluster *cluster, struct owner_step *step,
                unsigned percent, unsigned first_percent)
{
    unsigned from = step->tasks[0].run->percent;

    for (unsigned turn = 0; turn <= 3; turn++) {
        pass(cluster, 500);
        for (unsigned i = 0; i < step->count; i++) {
            struct owner_run *run = step->tasks[i].run;

            run->percent = from + turn * (i == 0 ? first_percent : percent);
            owner_speed_observe(cluster->owner, run, run->percent,
                                cluster->clock.now);
        }
    }
}

/* Guards against work that stays on a worker that has become slow. */
static void
test_a_member_that_becomes_slow_shows_a_slow_worker(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_step *step;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &whole_workers);
    step = step_of(job);
    report_progress(&cluster, step, 10, 10);
    CU_ASSERT_FALSE(
        owner_target_is_slow(worker_of(job, 0), cluster.clock.now));
    report_progress(&cluster, step, 10, 1);
    CU_ASSERT_TRUE(owner_target_is_slow(worker_of(job, 0), cluster.clock.now));
    CU_ASSERT_FALSE(
        owner_target_is_slow(worker_of(job, 1), cluster.clock.now));
    CU_ASSERT_TRUE(step->tasks[0].run->stopping); /* restart is worthwhile */
    cluster_end(&cluster);
}

/* Guards against gangs that are stopped because one of their tasks takes
 * several times as long as the others. */
static void
test_a_long_member_does_not_show_a_slow_worker(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &whole_workers);
    report_progress(&cluster, step_of(job), 21, 3);
    CU_ASSERT_FALSE(
        owner_target_is_slow(worker_of(job, 0), cluster.clock.now));
    CU_ASSERT_FALSE(step_of(job)->tasks[0].run->stopping);
    cluster_end(&cluster);
}

/* Guards against a worker that was slow before its work began, and delays one
 * job after another. */
static void
test_slow_members_of_two_jobs_show_a_slow_worker(void)
{
    static const struct cw_step_spec halves = {
        .tasks = 3, .accelerators = 4, .gang = true, .most_per_worker = 1};
    struct cluster cluster;
    struct owner_job *jobs[2];

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = run_job(&cluster, 1, &halves);
        report_progress(&cluster, step_of(jobs[i]), 20, 2);
    }
    CU_ASSERT_PTR_EQUAL(worker_of(jobs[0], 0), worker_of(jobs[1], 0));
    CU_ASSERT_FALSE(step_of(jobs[0])->tasks[0].run->stopping);
    CU_ASSERT_TRUE(step_of(jobs[1])->tasks[0].run->stopping);
    CU_ASSERT_TRUE(
        owner_target_is_slow(worker_of(jobs[1], 0), cluster.clock.now));
    cluster_end(&cluster);
}

/* Guards against workers that always have two thirds of the others' speed:
 * they are not avoided as slow, and without a measured speed they would be
 * treated as equally fast. */
static void
test_a_permanent_speed_difference_is_measured(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &whole_workers);
    report_progress(&cluster, step_of(job), 20, 11);
    CU_ASSERT_TRUE(owner_target_speed(worker_of(job, 0), cluster.clock.now) <
                   0.8);
    CU_ASSERT_FALSE(
        owner_target_is_slow(worker_of(job, 0), cluster.clock.now));
    cluster_end(&cluster);
}

/* Guards against a take-over after which slow workers count as typical ones:
 * the runs were started by the former owner, at a time that is not known. */
static void
test_a_new_owner_learns_speeds_from_reports(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &whole_workers);
    for (unsigned i = 0; i < step_of(job)->count; i++) {
        step_of(job)->tasks[i].run->starts_sent = 0;
        step_of(job)->tasks[i].run->percent = 25;
    }
    report_progress(&cluster, step_of(job), 15, 5);
    CU_ASSERT_TRUE(owner_target_speed(worker_of(job, 0), cluster.clock.now) <
                   CW_SPEED_SLOW_BELOW);
    CU_ASSERT_TRUE(owner_target_speed(worker_of(job, 1), cluster.clock.now) >
                   0.8);
    cluster_end(&cluster);
}

/* Guards against urgent work that is late because it runs on slow workers
 * while faster ones are idle.  Lower-priority work does not use the fastest.
 */
static void
test_urgent_work_gets_the_fastest_workers(void)
{
    static const struct cw_step_spec small = {.tasks = 1, .accelerators = 1};
    static const struct cw_step_spec gang = {.tasks = 2,
                                             .accelerators = 8,
                                             .gang = true,
                                             .same_rack = CW_SAME_RACK_FASTER};
    struct cluster cluster;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    owner_run_create(cluster.owner,
                     &step_of(add_job(&cluster, 0, &small))->tasks[0],
                     owner_target_get(cluster.owner, "w01"), RUN_RUNNING, 1);
    for (unsigned i = 8; i < 12; i++) {
        char name[16];

        g_snprintf(name, sizeof(name), "w%02u", i);
        prove_speed(&cluster, name, 1.6);
    }
    CU_ASSERT_STRING_EQUAL(worker_of(run_job(&cluster, 0, &small), 0)->rack,
                           "r2");
    CU_ASSERT_STRING_EQUAL(worker_of(run_job(&cluster, 0, &gang), 0)->rack,
                           "r2");
    CU_ASSERT_STRING_NOT_EQUAL(
        worker_of(run_job(&cluster, 2, &small), 0)->rack, "r2");
    cluster_end(&cluster);
}

static void
test_a_lost_run_resumes_from_its_last_checkpoint(void)
{
    const struct cw_step_spec gang = {
        .tasks = 2, .accelerators = 8, .gang = true, .checkpoints = true};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = run_job(&cluster, 1, &gang);
    owner_task_save_checkpoint(&step_of(job)->tasks[0], "ck-1");
    owner_task_save_checkpoint(&step_of(job)->tasks[0], "");
    CU_ASSERT_STRING_EQUAL(step_of(job)->tasks[1].saved, "ck-1");
    owner_run_lost(cluster.owner, step_of(job)->tasks[0].run, true, "test");
    CU_ASSERT_STRING_EQUAL(step_of(job)->tasks[0].saved, "ck-1");
    CU_ASSERT_TRUE(step_of(job)->tasks[1].run->stopping);
    cluster_end(&cluster);
}

static void
test_occurrences_open_when_they_are_due(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 1};
    struct cluster cluster;
    struct owner_job *job;
    struct cw_work_spec *spec;

    cluster_begin(&cluster);
    job = add_job(&cluster, 1, &one);
    /* Changes the job as if it had been submitted with three occurrences. */
    spec = (struct cw_work_spec *)job->spec;
    spec->repeats = 3;
    spec->first_due_ms = START_MS;
    spec->interval_ms = 2000;
    CU_ASSERT_EQUAL(job->open->len, 1);
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 1900);
    owner_job_open_due(cluster.owner, job, cluster.clock.now);
    CU_ASSERT_EQUAL(job->open->len, 1); /* the second is not due yet */
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 200);
    owner_job_open_due(cluster.owner, job, cluster.clock.now);
    CU_ASSERT_EQUAL(job->open->len, 2); /* it may overlap the first */
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 9000);
    owner_job_open_due(cluster.owner, job, cluster.clock.now);
    CU_ASSERT_EQUAL(job->open->len, 3);
    CU_ASSERT_EQUAL(job->next_occurrence, 3);
    cluster_end(&cluster);
}

static void
test_a_refused_start_is_stopped_if_an_earlier_one_had_no_answer(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 1};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_run *run;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = add_job(&cluster, 1, &one);
    pass(&cluster, 10);
    run = send_job_start(&cluster, job);
    answer_last(CW_TARGET_UNKNOWN);
    cluster.clock.now = cw_time_add_ms(cluster.clock.now, 100);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    owner_orders_send(cluster.owner, run->target, cluster.clock.now);
    answer_last(CW_TARGET_NO_CAPACITY);
    CU_ASSERT_EQUAL(placed(job), 1); /* the first may still be carried out */
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->stopping);
    cluster_end(&cluster);

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    job = add_job(&cluster, 1, &one);
    pass(&cluster, 10);
    send_job_start(&cluster, job);
    answer_last(CW_TARGET_NO_CAPACITY);
    CU_ASSERT_EQUAL(placed(job), 0); /* no start can arrive any more */
    cluster_end(&cluster);
}

static void
test_a_gang_that_loses_members_does_not_start_the_others(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_step *step;
    struct owner_target *full;
    struct owner_target *empty;

    cluster_begin(&cluster);
    job = add_job(
        &cluster, 0,
        &(struct cw_step_spec){.tasks = 3, .accelerators = 1, .gang = true});
    step = step_of(job);
    full = owner_target_get(cluster.owner, "w00");
    empty = owner_target_get(cluster.owner, "w01");
    full->used.accelerators = ACCELERATORS;
    owner_run_create(cluster.owner, &step->tasks[0], full, RUN_RESERVED, 1);
    owner_run_create(cluster.owner, &step->tasks[1], empty, RUN_RESERVED, 1);
    owner_run_create(cluster.owner, &step->tasks[2], empty, RUN_RESERVED, 1);
    owner_run_drop(cluster.owner, step->tasks[0].run);
    owner_run_drop(cluster.owner, step->tasks[1].run);
    CU_ASSERT_EQUAL(step->tasks[2].run->phase, RUN_RESERVED);
    cluster_end(&cluster);
}

static void
test_a_guarantee_preempts_equally_urgent_work(void)
{
    const struct cw_step_spec all = {.tasks = 12, .accelerators = 8};
    const struct cw_step_spec four = {.tasks = 4, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *over;
    struct owner_job *job;
    unsigned stopping = 0;

    cluster_begin(&cluster);
    over = add_job_for_account(&cluster, "over", 0, &all);
    pass(&cluster, 10);
    set_running(&cluster, over);
    job = add_job(&cluster, 0, &four);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 4);
    for (unsigned i = 0; i < 12; i++) {
        stopping += step_of(over)->tasks[i].run->stopping;
    }
    CU_ASSERT_EQUAL(stopping, 4);
    cluster_end(&cluster);
}

/* ---- passes of an owner that is short of processor ---- */

/* A clock by which some time passes between two reads. */
struct slow_clock {
    struct cw_clock base;
    struct cw_clock_ops ops;
    struct timespec now;
    unsigned step_ms;
};

static struct timespec
slow_clock_now(struct cw_clock *base)
{
    struct slow_clock *clock = (struct slow_clock *)base;

    clock->now = cw_time_add_ms(clock->now, clock->step_ms);
    return clock->now;
}

static void
slow_clock_init(struct slow_clock *clock, struct cluster *cluster)
{
    clock->ops = *cluster->clock.base.ops;
    clock->ops.monotonic = slow_clock_now;
    clock->base.ops = &clock->ops;
    clock->now = cluster->clock.now;
    clock->step_ms = 5;
    cluster->owner->options.clock = &clock->base;
}

/* RECLAIM: guards against a pass in which the owner neither reads answers nor
 * renews its membership for as long as all waiting work takes: a pass leaves
 * work of lower priority, and no urgent work, to the next ones. */
static void
test_a_long_pass_leaves_lower_work_to_the_next(void)
{
    enum { URGENT = 10, LOWER = 40, PASSES_MAX = 20 };
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 1};
    struct cluster cluster;
    struct slow_clock clock;
    struct owner_job *urgent[URGENT];
    struct owner_job *lower[LOWER];
    unsigned placed_lower = 0;
    unsigned passes = 0;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    for (unsigned i = 0; i < LOWER; i++) {
        lower[i] = add_job(&cluster, 1, &one);
    }
    for (unsigned i = 0; i < URGENT; i++) {
        urgent[i] = add_job(&cluster, 0, &one);
    }
    slow_clock_init(&clock, &cluster);
    owner_placement_pass(cluster.owner, clock.now);
    for (unsigned i = 0; i < URGENT; i++) {
        CU_ASSERT_EQUAL(placed(urgent[i]), 1);
    }
    for (unsigned i = 0; i < LOWER; i++) {
        placed_lower += placed(lower[i]);
    }
    CU_ASSERT_TRUE(placed_lower < LOWER);
    CU_ASSERT_TRUE(cluster.owner->placement_wanted);
    while (placed_lower < LOWER && passes < PASSES_MAX) {
        owner_placement_pass(cluster.owner, clock.now);
        passes++;
        placed_lower = 0;
        for (unsigned i = 0; i < LOWER; i++) {
            placed_lower += placed(lower[i]);
        }
    }
    CU_ASSERT_EQUAL(placed_lower, LOWER);
    cluster.owner->options.clock = &cluster.clock.base;
    cluster_end(&cluster);
}

/* Places tasks here and there, and lists the first candidates of a step. */
static void
check_first_candidates(unsigned seed, unsigned priority)
{
    struct cluster cluster;
    struct owner_job *job;
    GArray *all;

    cluster_begin(&cluster);
    set_guarantee(&cluster, seed % 3 * 16);
    for (unsigned i = 0; i < 6; i++) {
        run_job(
            &cluster, (seed + i) % 3,
            &(struct cw_step_spec){.tasks = 1 + (seed * 7 + i) % 3,
                                   .accelerators = 1 + (seed + i * 5) % 7});
    }
    job = add_job(&cluster, priority,
                  &(struct cw_step_spec){.tasks = 9, .accelerators = 2});
    owner_available_reset(
        cluster.owner->available,
        &(GPtrArray){.pdata = (gpointer[]){step_of(job)}, .len = 1});
    all = owner_candidates(cluster.owner, step_of(job), cluster.clock.now);
    for (unsigned tasks = 1; tasks <= 9; tasks++) {
        GArray *first = owner_first_candidates(cluster.owner, step_of(job),
                                               tasks, cluster.clock.now);

        CU_ASSERT_TRUE(owner_total_fit_count(first) >= tasks ||
                       first->len == all->len);
        for (guint i = 0; i < first->len; i++) {
            CU_ASSERT_PTR_EQUAL(
                g_array_index(first, struct owner_candidate, i).target,
                g_array_index(all, struct owner_candidate, i).target);
        }
        g_array_unref(first);
    }
    g_array_unref(all);
    cluster_end(&cluster);
}

/* Guards against a choice of workers that depends on how many are needed. */
static void
test_first_candidates_are_the_best_ones(void)
{
    for (unsigned seed = 0; seed < 30; seed++) {
        check_first_candidates(seed, seed % 3);
    }
}

static const struct test tests[] = {
    {"equally urgent", test_a_guarantee_preempts_equally_urgent_work},
    {"gang that loses members",
     test_a_gang_that_loses_members_does_not_start_the_others},
    {"refused start",
     test_a_refused_start_is_stopped_if_an_earlier_one_had_no_answer},
    {"checkpoint", test_a_lost_run_resumes_from_its_last_checkpoint},
    {"occurrences", test_occurrences_open_when_they_are_due},
    {"one rack", test_a_gang_takes_one_rack_or_waits},
    {"limit and one rack",
     test_a_gang_that_no_rack_can_hold_within_its_limit_spans_racks},
    {"guarantee", test_urgent_work_within_its_guarantee_preempts_others},
    {"cheapest", test_the_cheapest_work_is_preempted},
    {"one gang for several tasks", test_preempted_gang_serves_several_tasks},
    {"headroom", test_lower_priority_work_leaves_headroom},
    {"reserved rack", test_a_rack_is_reserved_for_a_waiting_gang},
    {"unusable workers", test_unusable_workers_get_no_work},
    {"labels", test_label_and_limit_per_worker_are_respected},
    {"failing task", test_one_failing_task_does_not_exclude_workers},
    {"becomes slow", test_a_member_that_becomes_slow_shows_a_slow_worker},
    {"long member", test_a_long_member_does_not_show_a_slow_worker},
    {"slow in two jobs", test_slow_members_of_two_jobs_show_a_slow_worker},
    {"permanent difference", test_a_permanent_speed_difference_is_measured},
    {"new owner", test_a_new_owner_learns_speeds_from_reports},
    {"fastest", test_urgent_work_gets_the_fastest_workers},
    {"long pass", test_a_long_pass_leaves_lower_work_to_the_next},
    {"first candidates", test_first_candidates_are_the_best_ones},
};

TEST_MAIN("place", tests)

/* Starvation: jobs that have been idle for too long are placed in reserved
 * capacity.  The tests check how much of it they use, on which workers, and
 * that unconfirmed runs don't count as work. */
#include "test_main.h"

#include "owner/internal/owner_crashes.h"
#include "owner_cluster.h"
#include "worker_speeds.h"

enum {
    STEP_MS = 50,
    /* A job may be idle for 3 s; the limit is lower by the time that the store
     * and the start take. */
    PLACED_WITHIN_MS = 2500,
    /* Headroom is not reclaimed from a run before it has run for this long. */
    RUN_MIN_MS = 300,
    PLACED_PER_PASS_MAX = 16 /* steps placed in one pass, however many wait */
};

static const struct cw_step_spec nine_workers = {.tasks = 9,
                                                 .accelerators = ACCELERATORS};
static const struct cw_step_spec wide = {.tasks = 40, .accelerators = 1};
static const struct cw_step_spec one_accelerator = {.tasks = 1,
                                                    .accelerators = 1};
static const struct cw_step_spec whole_worker = {.tasks = 1,
                                                 .accelerators = ACCELERATORS};

static void
for_each_target(struct cluster *cluster,
                void (*change)(struct cluster *, void *))
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, cluster->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        change(cluster, value);
    }
}

/* Reserves headroom as after a burst of urgent work. */
static void
reserve_headroom(struct cluster *cluster)
{
    struct owner_headroom *headroom =
        g_hash_table_lookup(cluster->owner->headroom, "s");

    if (headroom != NULL) {
        cw_headroom_observe(&headroom->forecast,
                            RACKS * PER_RACK * ACCELERATORS,
                            cluster->clock.now);
    }
}

static void
run_passes(struct cluster *cluster, unsigned ms)
{
    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        reserve_headroom(cluster);
        pass(cluster, STEP_MS);
    }
}

/* Begins a cluster in which three of twelve workers are free, all of them
 * headroom for urgent work. */
static void
cluster_begin_all_reserved(struct cluster *cluster)
{
    cluster_begin(cluster);
    set_guarantee(cluster, RACKS * PER_RACK * ACCELERATORS);
    run_job(cluster, 0, &nine_workers);
}

static struct owner_run *
first_run(const struct owner_job *job)
{
    for (unsigned i = 0; i < step_of(job)->count; i++) {
        if (step_of(job)->tasks[i].run != NULL) {
            return step_of(job)->tasks[i].run;
        }
    }
    return NULL;
}

/* A run whose start is never answered does not count as work: other tasks of
 * the job are placed. */
static void
test_an_unconfirmed_run_does_not_hide_idle_tasks(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin_all_reserved(&cluster);
    job = add_job(&cluster, 2, &wide);
    run_passes(&cluster, PLACED_WITHIN_MS);
    CU_ASSERT_EQUAL_FATAL(placed(job), 1);
    first_run(job)->phase = RUN_STARTING;
    first_run(job)->target->unanswered_polls = 1;
    run_passes(&cluster, 1000);
    CU_ASSERT_TRUE(placed(job) > 1);
    cluster_end(&cluster);
}

/* Guards against runs that are counted as borrowing headroom without end: an
 * owner that loses the shard drops all its runs at once. */
static void
test_borrowed_headroom_is_counted_again(void)
{
    struct cluster cluster;
    struct owner_job *job;
    struct owner_headroom *headroom;

    cluster_begin_all_reserved(&cluster);
    headroom = g_hash_table_lookup(cluster.owner->headroom, "s");
    headroom->headroom_borrowed = RACKS * PER_RACK * ACCELERATORS;
    job = add_job(&cluster, 2, &one_accelerator);
    run_passes(&cluster, PLACED_WITHIN_MS);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* A task that borrows headroom does not make its worker available to other
 * waiting tasks. */
static void
test_a_confirmed_job_borrows_for_one_task_only(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin_all_reserved(&cluster);
    job = add_job(&cluster, 2, &wide);
    run_passes(&cluster, PLACED_WITHIN_MS);
    confirm_starts(&cluster, job);
    for (unsigned i = 0; i < 10; i++) {
        owner_idle_end(cluster.owner, job); /* it is listed */
        run_passes(&cluster, 100);
    }
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* Guards against a limit on borrowed headroom that leaves some idle jobs
 * without a placement because others have reached it. */
static void
test_all_idle_jobs_are_placed(void)
{
    static const struct cw_step_spec eight = {.tasks = 8,
                                              .accelerators = ACCELERATORS};
    struct cluster cluster;
    struct owner_job *jobs[3];

    cluster_begin(&cluster);
    set_guarantee(&cluster, RACKS * PER_RACK * ACCELERATORS);
    run_job(&cluster, 0, &eight);
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = add_job(&cluster, 2, &whole_worker);
    }
    run_passes(&cluster, PLACED_WITHIN_MS);
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        CU_ASSERT_EQUAL(placed(jobs[i]), 1);
    }
    cluster_end(&cluster);
}

/* Begins a cluster in which one run borrows headroom and its start was just
 * confirmed; returns that run. */
static struct owner_run *
cluster_begin_with_borrowing_run(struct cluster *cluster)
{
    struct owner_job *job;

    cluster_begin_all_reserved(cluster);
    job = add_job(cluster, 2, &whole_worker);
    run_passes(cluster, PLACED_WITHIN_MS);
    confirm_starts(cluster, job);
    CU_ASSERT_PTR_NOT_NULL_FATAL(first_run(job));
    CU_ASSERT_TRUE_FATAL(first_run(job)->headroom_borrowed);
    return first_run(job);
}

/* A run that borrows headroom is stopped before urgent work needs the
 * capacity, but not at once. */
static void
test_borrowed_headroom_is_reclaimed_before_it_is_needed(void)
{
    struct cluster cluster;
    struct owner_run *run = cluster_begin_with_borrowing_run(&cluster);
    struct owner_headroom *headroom =
        g_hash_table_lookup(cluster.owner->headroom, "s");

    cw_headroom_arrived(&headroom->forecast, RACKS * PER_RACK * ACCELERATORS);
    run_passes(&cluster, RUN_MIN_MS - STEP_MS);
    CU_ASSERT_FALSE(run->stopping);
    run_passes(&cluster, 3 * STEP_MS);
    CU_ASSERT_TRUE(run->stopping);
    cluster_end(&cluster);
}

/* Without new urgent work there is enough free capacity, and the run goes on.
 */
static void
test_borrowing_run_goes_on_without_urgent_work(void)
{
    struct cluster cluster;
    struct owner_run *run = cluster_begin_with_borrowing_run(&cluster);

    run_passes(&cluster, 5000);
    CU_ASSERT_FALSE(run->stopping);
    cluster_end(&cluster);
}

/* At-most-once work is never stopped for its capacity. */
static void
test_at_most_once_work_is_not_stopped(void)
{
    struct cluster cluster;
    struct owner_run *run = cluster_begin_with_borrowing_run(&cluster);
    struct owner_headroom *headroom =
        g_hash_table_lookup(cluster.owner->headroom, "s");

    ((struct cw_work_spec *)owner_task_job(run->task)->spec)->once = true;
    cw_headroom_arrived(&headroom->forecast, RACKS * PER_RACK * ACCELERATORS);
    run_passes(&cluster, 1000);
    CU_ASSERT_FALSE(run->stopping);
    cluster_end(&cluster);
}

static void
reserve_first_rack(struct cluster *cluster, void *data)
{
    struct owner_target *target = data;

    if (strcmp(target->rack, "r0") == 0) {
        target->rack_reserved_for = cluster; /* some other step */
        target->rack_reserved_priority = 1;
        target->rack_reserved_until = cw_time_add_ms(cluster->clock.now, 400);
    }
}

/* Capacity in a rack that is reserved for a gang is used last. */
static void
test_a_reserved_rack_is_used_last(void)
{
    static const struct cw_step_spec six = {.tasks = 6,
                                            .accelerators = ACCELERATORS};
    static const struct cw_step_spec two = {.tasks = 2,
                                            .accelerators = ACCELERATORS};
    static const char *const full[] = {"w04", "w05", "w06",
                                       "w08", "w09", "w10"};
    struct cluster cluster;
    struct owner_job *urgent;
    struct owner_job *lower;
    struct owner_job *jobs[4];

    cluster_begin(&cluster);
    set_guarantee(&cluster, RACKS * PER_RACK * ACCELERATORS);
    urgent = add_job(&cluster, 0, &six);
    for (unsigned i = 0; i < G_N_ELEMENTS(full); i++) {
        owner_run_create(cluster.owner, &step_of(urgent)->tasks[i],
                         owner_target_get(cluster.owner, full[i]), RUN_RUNNING,
                         1);
    }
    lower = add_job(&cluster, 1, &two);
    owner_run_create(cluster.owner, &step_of(lower)->tasks[0],
                     owner_target_get(cluster.owner, "w00"), RUN_RUNNING, 1);
    owner_run_create(cluster.owner, &step_of(lower)->tasks[1],
                     owner_target_get(cluster.owner, "w01"), RUN_RUNNING, 1);
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = add_job(&cluster, 2, &one_accelerator);
    }
    for (unsigned ms = 0; ms < PLACED_WITHIN_MS; ms += STEP_MS) {
        for_each_target(&cluster, reserve_first_rack);
        run_passes(&cluster, STEP_MS);
    }
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        CU_ASSERT_PTR_NOT_NULL_FATAL(worker_of(jobs[i], 0));
        CU_ASSERT_STRING_NOT_EQUAL(worker_of(jobs[i], 0)->rack, "r0");
    }
    cluster_end(&cluster);
}

static void
make_suspect(struct cluster *cluster, void *data)
{
    struct owner_target *target = data;

    target->incarnation.suspect_until =
        cw_time_add_ms(cluster->clock.now, 7000);
}

/* Each endless task that has no run is placed, not only one of its step. */
static void
test_all_endless_tasks_are_placed(void)
{
    static const struct cw_step_spec six = {.tasks = 6,
                                            .accelerators = ACCELERATORS};
    static const struct cw_step_spec endless_tasks = {
        .tasks = 40, .accelerators = 1, .endless = true};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    run_job(&cluster, 0, &six);
    job = run_job(&cluster, 1, &endless_tasks);
    for (unsigned i = 0; i < 32; i++) {
        owner_run_drop(cluster.owner, step_of(job)->tasks[i].run);
    }
    for (unsigned ms = 0; ms < 6000; ms += STEP_MS) {
        for_each_target(&cluster, make_suspect);
        owner_idle_end(cluster.owner, job); /* the others are listed */
        pass(&cluster, STEP_MS);
    }
    CU_ASSERT_EQUAL(placed(job), 40);
    cluster_end(&cluster);
}

static void
make_suspect_if_idle(struct cluster *cluster, void *data)
{
    struct owner_target *target = data;

    if (target->runs->len == 0) {
        make_suspect(cluster, data);
    }
}

/* Guards against urgent work that waits without limit for capacity that is not
 * freed: after two reserved runs of 1.5 s each it is placed in any free
 * capacity. */
static void
test_urgent_work_does_not_wait_for_reserved_runs_for_ever(void)
{
    struct cluster cluster;
    struct owner_job *job;
    unsigned ms = 0;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    run_job(&cluster, 1, &nine_workers);
    set_guarantee(&cluster, RACKS * PER_RACK * ACCELERATORS);
    job = add_job(&cluster, 0, &whole_worker);
    for (; ms < 20000; ms += STEP_MS) {
        for_each_target(&cluster, make_suspect_if_idle);
        pass(&cluster, STEP_MS);
        if (first_run(job) != NULL && first_run(job)->phase == RUN_NEW) {
            break;
        }
    }
    CU_ASSERT_TRUE(ms <= 3100);
    cluster_end(&cluster);
}

/* Guards against an urgent gang that waits without limit for faster workers
 * whose runs do not end, while slow ones are free. */
static void
test_an_urgent_gang_does_not_wait_for_speed_for_ever(void)
{
    static const char *const slow[] = {"w08", "w09", "w10", "w11"};
    static const struct cw_step_spec eight = {.tasks = 8,
                                              .accelerators = ACCELERATORS};
    static const struct cw_step_spec two = {
        .tasks = 2, .accelerators = ACCELERATORS, .gang = true};
    struct cluster cluster;
    struct owner_job *job;
    unsigned ms = 0;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    run_job(&cluster, 1, &eight);
    for (unsigned i = 0; i < G_N_ELEMENTS(slow); i++) {
        prove_speed(&cluster, slow[i], 0.2);
    }
    job = add_job(&cluster, 0, &two);
    for (; ms < 20000; ms += STEP_MS) {
        pass(&cluster, STEP_MS);
        if (first_run(job) != NULL && first_run(job)->phase == RUN_NEW) {
            break;
        }
    }
    CU_ASSERT_TRUE(ms <= 3100);
    cluster_end(&cluster);
}

/* Guards against many placements at once: for an owner that is behind, all
 * waiting jobs are starved. */
static void
test_a_pass_places_a_limited_number(void)
{
    struct cluster cluster;
    struct owner_job *jobs[90];
    unsigned before = 0;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    cluster.owner->order_window.max_outstanding = 96;
    cluster.owner->order_window.outstanding = 96;
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = add_job(&cluster, 2, &one_accelerator);
    }
    for (unsigned ms = 0; ms < 4000; ms += 2 * STEP_MS) {
        unsigned now = 0;

        pass(&cluster, 2 * STEP_MS);
        for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
            now += placed(jobs[i]);
        }
        CU_ASSERT_TRUE(now - before <= PLACED_PER_PASS_MAX);
        before = now;
    }
    CU_ASSERT_EQUAL(before, G_N_ELEMENTS(jobs));
    cluster.owner->order_window.outstanding = 0;
    cluster_end(&cluster);
}

/* Guards against idle jobs that are never tried, since those before them use
 * up the attempts of each scan. */
static void
test_all_steps_are_tried_in_turn(void)
{
    static const struct cw_step_spec eleven = {.tasks = 11,
                                               .accelerators = ACCELERATORS};
    static const struct cw_step_spec seven = {
        .tasks = 1, .accelerators = ACCELERATORS - 1};
    static const struct cw_step_spec apart = {
        .tasks = 1, .accelerators = ACCELERATORS, .most_per_worker = 1};
    struct cluster cluster;
    struct owner_job *unconfirmed;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    unconfirmed = run_job(&cluster, 0, &eleven);
    (void)run_job(&cluster, 0, &seven);
    for (unsigned i = 0; i < 2; i++) {
        step_of(unconfirmed)->tasks[i].run->phase = RUN_STARTING;
    }
    for (unsigned i = 0; i < 300; i++) {
        (void)add_job(&cluster, 1, &apart);
    }
    job = add_job(&cluster, 2, &one_accelerator);
    for (unsigned ms = 0; ms < PLACED_WITHIN_MS; ms += STEP_MS) {
        for_each_target(&cluster, make_suspect);
        pass(&cluster, STEP_MS);
    }
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* Begins a cluster in which urgent work uses two of the four workers in each
 * rack: a gang of three whole workers fits twice, but into no rack. */
static void
cluster_begin_without_free_rack(struct cluster *cluster)
{
    static const struct cw_step_spec six = {.tasks = 6,
                                            .accelerators = ACCELERATORS};
    static const char *const full[] = {"w00", "w01", "w04",
                                       "w05", "w08", "w09"};
    struct owner_job *urgent;

    cluster_begin(cluster);
    set_guarantee(cluster, 0);
    urgent = add_job(cluster, 0, &six);
    for (unsigned i = 0; i < G_N_ELEMENTS(full); i++) {
        owner_run_create(cluster->owner, &step_of(urgent)->tasks[i],
                         owner_target_get(cluster->owner, full[i]),
                         RUN_RUNNING, 1);
    }
}

/* Guards against a gang that stands idle beside free capacity because no
 * single rack has enough of it: across racks it is slower, but it runs. */
static void
test_a_gang_is_spread_if_no_rack_has_capacity(void)
{
    static const struct cw_step_spec three_in_a_rack = {
        .tasks = 3,
        .accelerators = ACCELERATORS,
        .gang = true,
        .same_rack = CW_SAME_RACK_FASTER};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin_without_free_rack(&cluster);
    job = add_job(&cluster, 1, &three_in_a_rack);
    run_passes(&cluster, 1000);
    CU_ASSERT_EQUAL(placed(job), 0);
    run_passes(&cluster, PLACED_WITHIN_MS - 1000);
    CU_ASSERT_EQUAL(placed(job), 3);
    cluster_end(&cluster);
}

/* Guards against spreading a gang that was submitted as one that does not run
 * across racks. */
static void
test_a_gang_that_requires_a_rack_is_not_spread(void)
{
    static const struct cw_step_spec three = {.tasks = 3,
                                              .accelerators = ACCELERATORS,
                                              .gang = true,
                                              .same_rack =
                                                  CW_SAME_RACK_REQUIRED};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin_without_free_rack(&cluster);
    job = add_job(&cluster, 1, &three);
    run_passes(&cluster, 10000);
    CU_ASSERT_EQUAL(placed(job), 0);
    CU_ASSERT_FALSE(cw_idle_is_overdue(&job->idle.clock, cluster.clock.now));
    cluster_end(&cluster);
}

/* Guards against a job that stands idle because the first of its steps does
 * not fit, although another one that could run at the same time does. */
static void
test_each_step_that_could_run_counts(void)
{
    static const struct cw_step_spec steps[] = {
        {.tasks = 9, .accelerators = ACCELERATORS, .gang = true},
        {.tasks = 1, .accelerators = 1}};
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin_all_reserved(&cluster);
    job = add_job_of_steps(&cluster, "a", 2, steps, G_N_ELEMENTS(steps));
    run_passes(&cluster, PLACED_WITHIN_MS);
    CU_ASSERT_EQUAL(job->runs, 1);
    cluster_end(&cluster);
}

/* Begins a cluster in which a gang of three workers that requires a rack fits
 * by what workers have reported, but not beside a run without an answer:
 * across racks there is free capacity for such a gang. */
static void
cluster_begin_with_unconfirmed_run(struct cluster *cluster)
{
    struct owner_job *unconfirmed;

    cluster_begin_without_free_rack(cluster);
    add_worker(cluster, RACKS * PER_RACK);
    set_rack(owner_target_get(cluster->owner, "w12"), RACKS - 1);
    unconfirmed = add_job(cluster, 0, &whole_worker);
    owner_run_create(cluster->owner, &step_of(unconfirmed)->tasks[0],
                     owner_target_get(cluster->owner, "w11"), RUN_STARTING, 1);
}

/* Guards against a gang that is not spread because one that requires a rack
 * has failed in the same pass. */
static void
test_a_gang_is_spread_beside_one_that_requires_a_rack(void)
{
    struct cw_step_spec three = {.tasks = 3,
                                 .accelerators = ACCELERATORS,
                                 .gang = true,
                                 .same_rack = CW_SAME_RACK_REQUIRED};
    struct cluster cluster;
    struct owner_job *required;
    struct owner_job *job;

    cluster_begin_with_unconfirmed_run(&cluster);
    required = add_job(&cluster, 1, &three);
    three.same_rack = CW_SAME_RACK_FASTER;
    job = add_job(&cluster, 2, &three);
    run_passes(&cluster, PLACED_WITHIN_MS);
    CU_ASSERT_EQUAL(placed(required), 0);
    CU_ASSERT_EQUAL(placed(job), 3);
    cluster_end(&cluster);
}

/* Guards against an endless gang that waits for a rack without limit while
 * other tasks of its job run. */
static void
test_an_endless_gang_is_spread(void)
{
    static const struct cw_step_spec steps[] = {
        {.tasks = 3,
         .accelerators = ACCELERATORS,
         .gang = true,
         .same_rack = CW_SAME_RACK_FASTER,
         .endless = true},
        {.tasks = 1, .accelerators = 1, .endless = true}};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_step *other;

    cluster_begin_without_free_rack(&cluster);
    add_worker(&cluster, RACKS * PER_RACK);
    job = add_job_of_steps(&cluster, "a", 1, steps, G_N_ELEMENTS(steps));
    other = step_of(job) + 1;
    for (unsigned i = 0; i < step_of(job)->count; i++) {
        step_of(job)->tasks[i].idle_since = cluster.clock.now;
    }
    owner_run_create(cluster.owner, &other->tasks[0],
                     owner_target_get(cluster.owner, "w12"), RUN_RUNNING, 1);
    for (unsigned ms = 0; ms < 6000; ms += STEP_MS) {
        owner_idle_end(cluster.owner, job); /* the other one is listed */
        pass(&cluster, STEP_MS);
    }
    CU_ASSERT_EQUAL(placed(job), 3);
    cluster_end(&cluster);
}

/* Guards against an idle job that is not tried because a task of another job
 * has failed, for which more capacity has to be free. */
static void
test_a_job_is_placed_beside_endless_tasks(void)
{
    static const struct cw_step_spec steps[] = {
        {.tasks = 1, .accelerators = ACCELERATORS, .endless = true},
        {.tasks = 1, .accelerators = 1, .endless = true}};
    static const struct cw_step_spec ten = {.tasks = 10,
                                            .accelerators = ACCELERATORS};
    struct cluster cluster;
    struct owner_job *endless;
    struct owner_job *job;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    run_job(&cluster, 0, &ten);
    endless = add_job_of_steps(&cluster, "a", 1, steps, G_N_ELEMENTS(steps));
    step_of(endless)->tasks[0].idle_since = cluster.clock.now;
    add_worker(&cluster, RACKS * PER_RACK);
    owner_run_create(cluster.owner, &step_of(endless)[1].tasks[0],
                     owner_target_get(cluster.owner, "w12"), RUN_RUNNING, 1);
    job = add_job(&cluster, 0, &whole_worker);
    owner_run_create(cluster.owner, &step_of(job)->tasks[0],
                     owner_target_get(cluster.owner, "w10"), RUN_STARTING, 1);
    job = add_job(&cluster, 2, &whole_worker);
    for (unsigned ms = 0; ms < 6500; ms += STEP_MS) {
        for_each_target(&cluster, make_suspect);
        owner_idle_end(cluster.owner, endless); /* the other one is listed */
        if (ms < 3500) {
            owner_idle_end(cluster.owner, job);
        }
        pass(&cluster, STEP_MS);
    }
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* Begins a cluster in which three workers have a run on probation each, and
 * all others are full. */
static void
cluster_begin_with_probation(struct cluster *cluster)
{
    static const struct cw_step_spec three = {.tasks = 3, .accelerators = 1};
    struct owner_job *suspects;

    cluster_begin(cluster);
    set_guarantee(cluster, 0);
    run_job(cluster, 0, &nine_workers);
    suspects = add_job(cluster, 0, &three);
    for (unsigned i = 0; i < three.tasks; i++) {
        char name[16];

        g_snprintf(name, sizeof(name), "w%02u", 9 + i);
        owner_task_set_suspicion(&step_of(suspects)->tasks[i], 4);
        owner_run_create(cluster->owner, &step_of(suspects)->tasks[i],
                         owner_target_get(cluster->owner, name), RUN_RUNNING,
                         1);
    }
}

/* Guards against workers on which a suspect shows no progress yet, and that
 * are withheld from idle jobs for as long as that takes. */
static void
test_workers_with_suspects_are_used_last(void)
{
    struct cluster cluster;
    struct owner_job *job;

    cluster_begin_with_probation(&cluster);
    job = add_job(&cluster, 1, &one_accelerator);
    run_passes(&cluster, 1000);
    CU_ASSERT_EQUAL(placed(job), 0);
    run_passes(&cluster, PLACED_WITHIN_MS - 1000);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"suspects", test_workers_with_suspects_are_used_last},
    {"endless gang", test_an_endless_gang_is_spread},
    {"beside endless", test_a_job_is_placed_beside_endless_tasks},
    {"beside required", test_a_gang_is_spread_beside_one_that_requires_a_rack},
    {"each step", test_each_step_that_could_run_counts},
    {"unconfirmed run", test_an_unconfirmed_run_does_not_hide_idle_tasks},
    {"counted again", test_borrowed_headroom_is_counted_again},
    {"one task", test_a_confirmed_job_borrows_for_one_task_only},
    {"all idle jobs", test_all_idle_jobs_are_placed},
    {"reclaimed in time",
     test_borrowed_headroom_is_reclaimed_before_it_is_needed},
    {"goes on", test_borrowing_run_goes_on_without_urgent_work},
    {"at most once", test_at_most_once_work_is_not_stopped},
    {"reserved rack", test_a_reserved_rack_is_used_last},
    {"endless tasks", test_all_endless_tasks_are_placed},
    {"reserved runs",
     test_urgent_work_does_not_wait_for_reserved_runs_for_ever},
    {"gang for speed", test_an_urgent_gang_does_not_wait_for_speed_for_ever},
    {"spread gang", test_a_gang_is_spread_if_no_rack_has_capacity},
    {"required rack", test_a_gang_that_requires_a_rack_is_not_spread},
    {"in turn", test_all_steps_are_tried_in_turn},
    {"limit per pass", test_a_pass_places_a_limited_number},
};

TEST_MAIN("starvation", tests)

/* Log lines of an owner about work that waits: they have to tell what it waits
 * for, and for how long.  Incidents were left unexplained as these values were
 * not logged. */
#include "test_main.h"

#include "log_capture.h"
#include "owner_fixture.h"

enum {
    ANSWERED_AFTER_MS = 700, /* the delay of the last answer to a poll */
    POLL_INTERVAL_MS = 40,
    /* A lease counts from the last answer to a poll. */
    LEASE_LEFT_MS = 2400 - POLL_INTERVAL_MS,
    /* Longest duration of that lease by this VM's clock. */
    LEASE_LEFT_MAX_MS = LEASE_LEFT_MS + LEASE_LEFT_MS / 50 + 200,
    CHECK_INTERVAL_MS = 250,
    CHECKS_PER_S = 4,
    /* Limit on lines about jobs without free capacity. */
    FULL_LINES_PER_S = 16,
    SOME_JOBS = 40, /* fewer than are logged in 3 s */
    MANY_JOBS = 200,
    LINE_READ = 200,
    LINE_HEAD = 85
};

static const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};

static void
advance(struct cluster *cluster, int64_t ms)
{
    cluster->clock.now = cw_time_add_ms(cluster->clock.now, ms);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
}

/* ---- leases that are over ---- */

static void
poll(struct cluster *cluster, struct owner_target *target)
{
    owner_poll_tick(cluster->owner, target, cluster->clock.now);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_POLL);
}

/* The worker's clock, which equals the VM's. */
static int64_t
clock_ms(const struct cluster *cluster)
{
    return cw_time_diff_ms(cw_time_from_ms(0), cluster->clock.now);
}

/* Polls the run's worker, which lists it late, and answers nothing after that
 * until its lease is over.  Returns the lines that are logged then. */
static char *
lose_lease(struct cluster *cluster, const struct owner_run *run)
{
    struct owner_target *target = run->target;
    struct cw_running row = {
        .task = owner_task_name(run->task), .run = run->number, .saved = ""};
    struct cw_target_answer answer = {
        .status = CW_TARGET_OK, .running = &row, .running_count = 1};
    struct log_capture capture;

    /* With a known clock, the answer counts from when the worker gave it. */
    (void)owner_incarnation_answer_given(
        target, clock_ms(cluster), cluster->clock.now, cluster->clock.now);
    poll(cluster, target);
    advance(cluster, ANSWERED_AFTER_MS);
    answer.clock_ms = clock_ms(cluster);
    answer_last_with(&answer);
    advance(cluster, POLL_INTERVAL_MS);
    poll(cluster, target);
    answer_last(CW_TARGET_UNKNOWN);
    log_capture_begin(&capture);
    advance(cluster, LEASE_LEFT_MAX_MS + 1);
    owner_poll_tick(cluster->owner, target, cluster->clock.now);
    return log_capture_end(&capture);
}

static void
check_lease_fields(const char *line)
{
    int64_t granted_ms = LEASE_LEFT_MAX_MS + 1;

    CU_ASSERT_TRUE(has_field(line, "reason", "lease_over"));
    CU_ASSERT_EQUAL(field_number(line, "answered_ms"),
                    granted_ms + POLL_INTERVAL_MS);
    CU_ASSERT_EQUAL(field_number(line, "granted_ms"), granted_ms);
    CU_ASSERT_EQUAL(field_number(line, "lease_ms"), LEASE_LEFT_MS);
    CU_ASSERT_TRUE(has_field(line, "lease_by", "own"));
}

/* Guards against a loss at the end of a lease from which neither the worker's
 * last answer nor the lease that was waited for can be read. */
static void
test_a_loss_by_the_lease_tells_answer_and_lease(void)
{
    struct cluster cluster;
    struct owner_job *job;
    char *lines;
    char *line;

    cluster_begin(&cluster);
    job = run_job(&cluster, 1, &one);
    lines = lose_lease(&cluster, step_of(job)->tasks[0].run);
    line = last_line(lines, "run_lost");
    check_lease_fields(line);
    CU_ASSERT_EQUAL(field_number(line, "idle_ms"),
                    LEASE_LEFT_MAX_MS + 1 + POLL_INTERVAL_MS);
    g_free(line);
    line = last_line(lines, "worker_lost");
    check_lease_fields(line);
    CU_ASSERT_EQUAL(field_number(line, "heard_ms"), LEASE_LEFT_MAX_MS + 1 +
                                                        POLL_INTERVAL_MS +
                                                        ANSWERED_AFTER_MS);
    g_free(line);
    g_free(lines);
    cluster_end(&cluster);
}

/* Guards against `answered_ms` that counts a failed connection, or an answer
 * of another incarnation, as the worker's answer. */
static void
test_only_answers_of_the_worker_count(void)
{
    static const enum cw_target_status none[] = {
        CW_TARGET_UNKNOWN, CW_TARGET_UNREACHABLE, CW_TARGET_INVALID,
        CW_TARGET_OTHER_INCARNATION};
    struct cluster cluster;
    struct owner_target *target;
    char *text;

    cluster_begin(&cluster);
    target = owner_target_get(cluster.owner, "w00");
    for (unsigned i = 0; i < G_N_ELEMENTS(none); i++) {
        owner_target_answered(target, none[i], cluster.clock.now);
    }
    text = owner_target_describe_lease(target, cluster.clock.now);
    CU_ASSERT_STRING_EQUAL(
        text, "answered_ms=-1 granted_ms=-1 lease_ms=0 lease_by=own");
    g_free(text);
    owner_target_answered(target, CW_TARGET_NO_CAPACITY, cluster.clock.now);
    advance(&cluster, 30);
    text = owner_target_describe_lease(target, cluster.clock.now);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "answered_ms=30 "));
    g_free(text);
    cluster_end(&cluster);
}

/* ---- jobs without free capacity ---- */

static const struct cw_step_spec all_workers = {.tasks = RACKS * PER_RACK,
                                                .accelerators = ACCELERATORS};

static const struct cw_step_spec all_but_two = {.tasks = RACKS * PER_RACK - 2,
                                                .accelerators = ACCELERATORS};

/* Fills the service. */
static struct owner_job *
fill(struct cluster *cluster)
{
    cluster_begin(cluster);
    return run_job(cluster, 0, &all_workers);
}

/* Lets time pass without placement, while `running` goes on, and checks for
 * idle jobs each CHECK_INTERVAL_MS.  Returns the lines that are logged. */
static char *
check_for(struct cluster *cluster, struct owner_job *running, unsigned ms)
{
    struct log_capture capture;

    log_capture_begin(&capture);
    for (unsigned passed = 0; passed < ms; passed += CHECK_INTERVAL_MS) {
        advance(cluster, CHECK_INTERVAL_MS);
        owner_idle_end(cluster->owner, running);
        owner_idle_tick(cluster->owner, cluster->clock.now);
    }
    return log_capture_end(&capture);
}

/* Guards against jobs that wait in a full service and leave no line. */
static void
test_a_job_without_free_capacity_is_logged(void)
{
    struct cluster cluster;
    struct owner_job *running = fill(&cluster);
    struct owner_job *job = add_job(&cluster, 1, &one);
    char *lines;
    char *line;

    owner_target_get(cluster.owner, "w03")->draining = true;
    owner_target_get(cluster.owner, "w04")->unanswered_polls = 2;
    lines = check_for(&cluster, running, 3000);
    CU_ASSERT_EQUAL(count_lines(lines, "job_waits_full"), 0);
    g_free(lines);
    lines = check_for(&cluster, running, 3000);
    CU_ASSERT_EQUAL(count_lines(lines, "job_waits_full"), 1);
    CU_ASSERT_EQUAL(count_lines(lines, "job_waits"), 0);
    line = last_line(lines, "job_waits_full");
    CU_ASSERT_TRUE(has_field(line, "id", job->spec->id));
    CU_ASSERT_EQUAL(field_number(line, "waits_ms"), 3250);
    CU_ASSERT_TRUE(has_field(line, "reason", "no_place"));
    CU_ASSERT_TRUE(has_field(line, "used", "100,3,0"));
    CU_ASSERT_EQUAL(field_number(line, "silent_workers"), 1);
    CU_ASSERT_EQUAL(field_number(line, "draining_workers"), 1);
    CU_ASSERT_EQUAL(field_number(line, "workers"), RACKS * PER_RACK);
    CU_ASSERT_EQUAL(field_number(line, "fits"), 0);
    CU_ASSERT_EQUAL(field_number(line, "jobs"), 1);
    g_free(line);
    g_free(lines);
    cluster_end(&cluster);
}

/* Guards against a full service with many waiting jobs whose lines displace
 * all others. */
static void
test_lines_of_many_jobs_are_limited(void)
{
    struct cluster cluster;
    struct owner_job *running = fill(&cluster);
    char *lines;
    char *line;

    for (unsigned i = 0; i < MANY_JOBS; i++) {
        add_job(&cluster, 1, &one);
    }
    lines = check_for(&cluster, running, 3000);
    g_free(lines);
    lines = check_for(&cluster, running, 2000);
    CU_ASSERT_EQUAL(count_lines(lines, "job_waits_full"),
                    2 * FULL_LINES_PER_S);
    line = last_line(lines, "job_waits_full");
    CU_ASSERT_EQUAL(field_number(line, "jobs"), MANY_JOBS);
    g_free(line);
    g_free(lines);
    cluster_end(&cluster);
}

/* Guards against jobs that wait for one worker whose lines are lost among
 * those of jobs that wait for capacity. */
static void
test_jobs_with_runs_are_logged_first(void)
{
    static const struct cw_step_spec two = {.tasks = 2, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *running;
    struct owner_job *job;
    char *lines;
    char *line;

    cluster_begin(&cluster);
    job = run_job(&cluster, 1, &two);
    running = run_job(&cluster, 0, &all_but_two);
    step_of(job)->tasks[0].run->target->unanswered_polls = 3;
    for (unsigned i = 0; i < MANY_JOBS; i++) {
        add_job(&cluster, 1, &one)->idle.clock = job->idle.clock;
    }
    advance(&cluster, 3001);
    lines = check_for(&cluster, running, CHECK_INTERVAL_MS);
    CU_ASSERT_EQUAL(count_lines(lines, "job_waits_full"),
                    FULL_LINES_PER_S / CHECKS_PER_S);
    line = strstr(lines, " event=job_waits_full ");
    CU_ASSERT_PTR_NOT_NULL_FATAL(line);
    *strchr(line, '\n') = '\0';
    CU_ASSERT_TRUE(has_field(line, "id", job->spec->id));
    CU_ASSERT_TRUE(has_field(line, "reason", "running"));
    CU_ASSERT_EQUAL(field_number(line, "silent"), 3);
    g_free(lines);
    cluster_end(&cluster);
}

/* Guards against limits that always log the same few of many jobs. */
static void
test_each_of_several_jobs_is_logged(void)
{
    struct cluster cluster;
    struct owner_job *running = fill(&cluster);
    char *lines;

    for (unsigned i = 0; i < SOME_JOBS; i++) {
        add_job(&cluster, 1, &one);
    }
    lines = check_for(&cluster, running, 6000);
    for (unsigned i = 2; i < 2 + SOME_JOBS; i++) {
        char *id = g_strdup_printf(" event=job_waits_full id=%016x ", i);

        CU_ASSERT_PTR_NOT_NULL(strstr(lines, id));
        g_free(id);
    }
    g_free(lines);
    cluster_end(&cluster);
}

/* ---- what keeps jobs from spare capacity ---- */

/* Begins a cluster in which two of the four workers in each rack are free, and
 * a gang of three that asks for one rack waits. */
static struct owner_job *
begin_without_free_rack(struct cluster *cluster, struct owner_job **running)
{
    static const struct cw_step_spec six = {.tasks = 6,
                                            .accelerators = ACCELERATORS};
    static const struct cw_step_spec three = {.tasks = 3,
                                              .accelerators = ACCELERATORS,
                                              .gang = true,
                                              .same_rack =
                                                  CW_SAME_RACK_FASTER};
    char name[8];

    cluster_begin(cluster);
    set_guarantee(cluster, 0);
    *running = add_job(cluster, 1, &six);
    for (unsigned i = 0; i < six.tasks; i++) {
        g_snprintf(name, sizeof(name), "w%02u", i / 2 * PER_RACK + i % 2);
        owner_run_create(cluster->owner, &step_of(*running)->tasks[i],
                         owner_target_get(cluster->owner, name), RUN_RUNNING,
                         1);
    }
    return add_job(cluster, 0, &three);
}

/* Guards against waits whose cause is cut off: readers get 200 characters of a
 * line, 85 of them for its time, level, VM, event and the longest numbers. */
static void
check_first_fields(const char *lines, const char *event, const char *fields)
{
    char *line = last_line(lines, event);
    char *found = strstr(line, fields);

    CU_ASSERT_PTR_NOT_NULL_FATAL(found);
    CU_ASSERT_TRUE(found + strlen(fields) - strstr(line, " id=") <=
                   LINE_READ - LINE_HEAD);
    g_free(line);
}

static void
test_a_wait_for_one_rack_is_told_first(void)
{
    struct cluster cluster;
    struct owner_job *running;
    struct owner_job *job = begin_without_free_rack(&cluster, &running);
    char *lines = check_for(&cluster, running, 3500);
    struct cw_owner_stats stats;

    check_first_fields(lines, "job_waits",
                       "refused=one_rack unit=3,rack fits=6 best_rack=2");
    cw_owner_stats(cluster.owner, &stats);
    CU_ASSERT_EQUAL(stats.longest_by_refusal_ms[CW_OWNER_REFUSAL_ONE_RACK],
                    stats.longest_wait_ms);
    CU_ASSERT_EQUAL(job->idle.refusal, CW_OWNER_REFUSAL_ONE_RACK);
    g_free(lines);
    cluster_end(&cluster);
}

/* Runs that are placed and not confirmed use all but one of the free workers.
 */
static void
test_a_wait_beside_booked_capacity_is_told_first(void)
{
    static const struct cw_step_spec five = {.tasks = 5,
                                             .accelerators = ACCELERATORS};
    struct cluster cluster;
    struct owner_job *running;
    struct owner_job *booked;
    char *lines;

    begin_without_free_rack(&cluster, &running);
    booked = add_job(&cluster, 0, &five);
    for (unsigned i = 0; i < five.tasks; i++) {
        char *name = g_strdup_printf("w%02u", i / 2 * PER_RACK + 2 + i % 2);

        owner_run_create(cluster.owner, &step_of(booked)->tasks[i],
                         owner_target_get(cluster.owner, name), RUN_NEW, 1);
        g_free(name);
    }
    lines = check_for(&cluster, running, 3500);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(lines, "refused=booked unit=3,rack fits=6 best_rack=2"));
    g_free(lines);
    cluster_end(&cluster);
}

/* ---- take-overs ---- */

/* Lets a new owner take over a job with runs on one worker, and returns the
 * lines that are logged for `ms` after that. */
static char *
take_over_runs(struct fixture *fixture, bool worker_answers, unsigned ms)
{
    struct log_capture capture;

    fixture_begin(fixture);
    put_spec(fixture);
    put_state(fixture, CW_STATE_TOPIC, CW_WORK_RUNNING);
    log_capture_begin(&capture);
    take_over(fixture);
    make_worker_reachable(fixture);
    if (worker_answers) {
        (void)run_answering_polls(fixture, ms);
    }
    else {
        run(fixture, ms);
    }
    return log_capture_end(&capture);
}

/* Guards against a take-over after which jobs wait for leases of earlier
 * owners, and only the loss of their runs is logged, seconds later. */
static void
test_inherited_runs_on_silent_workers_are_logged(void)
{
    struct fixture fixture;
    char *lines = take_over_runs(&fixture, false, 2000);
    char *line = last_line(lines, "job_waits_inherited");

    CU_ASSERT_EQUAL(count_lines(lines, "job_waits_inherited"), 1);
    CU_ASSERT_TRUE(has_field(line, "id", ID));
    CU_ASSERT_TRUE(field_number(line, "waits_ms") > 1000);
    CU_ASSERT_TRUE(field_number(line, "waits_ms") <= 1400);
    CU_ASSERT_EQUAL(field_number(line, "unsure"), TASKS);
    CU_ASSERT_TRUE(has_field(line, "worker", "w"));
    CU_ASSERT_TRUE(has_field(line, "lease_by", "earlier_owner"));
    CU_ASSERT_TRUE(field_number(line, "lease_left_ms") > 10000);
    CU_ASSERT_EQUAL(field_number(line, "answered_ms"), -1);
    CU_ASSERT_TRUE(field_number(line, "age_ms") >= 0);
    g_free(line);
    g_free(lines);
    fixture_end(&fixture);
}

static void
test_inherited_runs_that_are_listed_are_not_logged(void)
{
    struct fixture fixture;
    char *lines = take_over_runs(&fixture, true, 3000);

    CU_ASSERT_EQUAL(count_lines(lines, "job_waits_inherited"), 0);
    CU_ASSERT_FALSE(the_job(&fixture)->idle.since_takeover);
    g_free(lines);
    fixture_end(&fixture);
}

/* Guards against an idle time that seems to have begun with the take-over, as
 * the clock does. */
static void
test_a_line_tells_that_its_clock_began_with_the_takeover(void)
{
    struct fixture fixture;
    char *lines = take_over_runs(&fixture, false, 4000);
    char *line = last_line(lines, "job_waits");

    CU_ASSERT_TRUE(has_field(line, "since_takeover", "1"));
    CU_ASSERT_TRUE(has_field(line, "reason", "unsure"));
    CU_ASSERT_TRUE(has_field(line, "begun", "1"));
    g_free(line);
    g_free(lines);
    fixture_end(&fixture);
}

/* A job that waited under an earlier owner and was not started: all of its age
 * is idle time. */
static void
test_a_line_tells_the_age_of_a_job_that_was_never_started(void)
{
    struct fixture fixture;
    struct log_capture capture;
    char *lines;
    char *line;

    fixture_begin(&fixture);
    put_spec(&fixture);
    fixture.clock.now = cw_time_add_ms(fixture.clock.now, 10000);
    log_capture_begin(&capture);
    take_over(&fixture);
    (void)run_answering_polls(&fixture, 4000);
    lines = log_capture_end(&capture);
    line = last_line(lines, "job_waits_full");
    CU_ASSERT_TRUE(has_field(line, "since_takeover", "0"));
    CU_ASSERT_TRUE(has_field(line, "begun", "0"));
    CU_ASSERT_TRUE(field_number(line, "age_ms") > 13000);
    CU_ASSERT_EQUAL(field_number(line, "waits_ms"),
                    field_number(line, "age_ms"));
    g_free(line);
    g_free(lines);
    fixture_end(&fixture);
}

/* ---- appends ---- */

/* The store refuses appends, and goes on to confirm the ownership by joins,
 * for `ms`. */
static void
run_without_store(struct fixture *fixture, unsigned ms)
{
    fixture->store.answer_status = CW_STORE_NOT_EXECUTED;
    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        fixture->owner->ownership_confirmed_at = fixture->clock.now;
        run(fixture, STEP_MS);
        (void)answer_all_polls();
    }
}

static void
begin_with_waiting_job(struct fixture *fixture)
{
    fixture_begin(fixture);
    take_over(fixture);
    owner_target_get(fixture->owner, "w");
    make_worker_reachable(fixture);
    the_worker(fixture)->capacity.accelerators = 3 * TASKS;
    (void)run_answering_polls(fixture, 1000);
    CU_ASSERT_EQUAL_FATAL(fixture->owner->state, OWNER_ACTIVE);
}

/* Guards against an owner that cannot store, while starts wait for that, and
 * whose log does not tell for how long. */
static void
test_appends_that_fail_are_logged_until_they_are_stored(void)
{
    struct fixture fixture;
    struct log_capture capture;
    char *lines;
    char *line;

    begin_with_waiting_job(&fixture);
    put_spec(&fixture);
    run(&fixture, 10); /* the job is placed */
    log_capture_begin(&capture);
    run_without_store(&fixture, 900);
    lines = log_capture_end(&capture);
    CU_ASSERT_EQUAL(count_lines(lines, "append_late"), 0);
    g_free(lines);
    log_capture_begin(&capture);
    run_without_store(&fixture, 3300);
    lines = log_capture_end(&capture);
    line = last_line(lines, "append_late");
    CU_ASSERT_TRUE(count_lines(lines, "append_late") >= 2);
    CU_ASSERT_TRUE(count_lines(lines, "append_late") <= 4);
    CU_ASSERT_TRUE(field_number(line, "store_ms") > 1000);
    CU_ASSERT_TRUE(has_field(line, "status",
                             cw_store_status_name(CW_STORE_NOT_EXECUTED)));
    CU_ASSERT_TRUE(field_number(line, "attempts") > 10);
    CU_ASSERT_EQUAL(field_number(line, "runs"), TASKS);
    CU_ASSERT_TRUE(field_number(line, "confirmed_ms") < 100);
    g_free(line);
    line = last_line(lines, "job_waits");
    CU_ASSERT_TRUE(field_number(line, "store_ms") > 2500);
    g_free(line);
    g_free(lines);
    log_capture_begin(&capture);
    fixture.store.answer_status = CW_STORE_OK;
    (void)run_answering_polls(&fixture, 200);
    lines = log_capture_end(&capture);
    line = last_line(lines, "append_recovered");
    CU_ASSERT_TRUE(field_number(line, "store_ms") > 4000);
    CU_ASSERT_EQUAL(count_lines(lines, "append_late"), 0);
    g_free(line);
    g_free(lines);
    CU_ASSERT_FALSE(fixture.owner->states_watch.late);
    fixture_end(&fixture);
}

static GArray *pending_appends; /* struct cw_store_append */

static void
keep_append(struct cw_store *store, const struct cw_store_append *call)
{
    (void)store;
    g_array_append_val(pending_appends, *call);
}

/* Does the same for a store that does not answer. */
static void
test_an_append_without_an_answer_is_logged(void)
{
    const struct cw_store_append_result failed = {.status =
                                                      CW_STORE_NOT_EXECUTED};
    struct fixture fixture;
    struct log_capture capture;
    struct cw_store_ops ops;
    char *lines;
    char *line;

    begin_with_waiting_job(&fixture);
    ops = *fixture.store.base.ops;
    ops.append = keep_append;
    pending_appends =
        g_array_new(FALSE, FALSE, sizeof(struct cw_store_append));
    fixture.store.base.ops = &ops;
    put_spec(&fixture);
    run(&fixture, 10); /* the job is placed */
    log_capture_begin(&capture);
    run_without_store(&fixture, 1500);
    lines = log_capture_end(&capture);
    /* The job's state and its outcome are written to a log each. */
    CU_ASSERT_EQUAL(count_lines(lines, "append_late"), 2);
    line = last_line(lines, "append_late");
    CU_ASSERT_EQUAL(field_number(line, "in_flight"), 1);
    CU_ASSERT_EQUAL(field_number(line, "attempts"), 1);
    CU_ASSERT_TRUE(has_field(line, "status", ""));
    g_free(line);
    g_free(lines);
    for (guint i = 0; i < pending_appends->len; i++) {
        const struct cw_store_append *call =
            &g_array_index(pending_appends, struct cw_store_append, i);

        call->done(call->context, &failed);
    }
    g_array_unref(pending_appends);
    fixture_end(&fixture);
}

static const struct test tests[] = {
    {"lease over", test_a_loss_by_the_lease_tells_answer_and_lease},
    {"answers of the worker", test_only_answers_of_the_worker_count},
    {"no free capacity", test_a_job_without_free_capacity_is_logged},
    {"many jobs", test_lines_of_many_jobs_are_limited},
    {"jobs with runs", test_jobs_with_runs_are_logged_first},
    {"several jobs", test_each_of_several_jobs_is_logged},
    {"one rack", test_a_wait_for_one_rack_is_told_first},
    {"booked", test_a_wait_beside_booked_capacity_is_told_first},
    {"inherited", test_inherited_runs_on_silent_workers_are_logged},
    {"inherited and listed",
     test_inherited_runs_that_are_listed_are_not_logged},
    {"since the take-over",
     test_a_line_tells_that_its_clock_began_with_the_takeover},
    {"never started",
     test_a_line_tells_the_age_of_a_job_that_was_never_started},
    {"unanswered append", test_an_append_without_an_answer_is_logged},
    {"appends", test_appends_that_fail_are_logged_until_they_are_stored},
};

TEST_MAIN("owner_logs", tests)

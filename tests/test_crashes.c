/* A task that crashes each worker that starts it.
 *
 * Seen: one urgent task was started on 14 workers one after the other, each
 * 3.4 s after the one before, and each worker crashed 10 ms after it had
 * confirmed the start.  It took other jobs' runs with it and never ended.
 * How: a crashed worker comes back under another id; asked at its address, it
 * answers that it is another life, and all its runs are lost.  A lost run was
 * dropped and its task placed again at once.
 * Cause: only ends that a worker listed as failed counted against a task.  A
 * run that went with its worker left no trace, neither in memory nor in the
 * state that a new owner reads.
 * Proof: the first two tests below failed, with 12 starts each. */
#include "test_main.h"

#include "owner/internal/owner_crashes.h"
#include "owner_site.h"

enum {
    STARTS_TRIED = 12,
    /* Three workers crash, and it may be started twice more. */
    STARTS_MOST = 5
};

static const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};

/* The worker answers a look, at its address, as another life. */
static void
crash(struct site *site, struct owner_target *target)
{
    target->superseded = true;
    owner_target_lost(site->owner, target, "other_life");
}

/* Lets placement run until the job has a place, or 5 s are over. */
static void
await_place(struct site *site, const struct owner_job *job)
{
    for (unsigned i = 0; i < 500 && placed(job) == 0; i++) {
        pass(site, 10);
    }
}

/* Starts the job's first task wherever it is placed, and crashes the worker,
 * until it is placed no more; returns how often it was started. */
static unsigned
crash_until_over(struct site *site, struct owner_job *job, unsigned tries)
{
    unsigned starts = 0;

    for (unsigned i = 0; i < tries; i++) {
        struct owner_target *target;

        await_place(site, job);
        target = (struct owner_target *)worker_of(job, 0);
        if (target == NULL) {
            break;
        }
        confirm_starts(site, job);
        starts++;
        pass(site, 10);
        crash(site, target);
        add_worker(site, RACKS * PER_RACK + site->added_workers++);
    }
    return starts;
}

static void
test_it_is_given_up(void)
{
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    CU_ASSERT_TRUE(crash_until_over(&site, job, STARTS_TRIED) <= STARTS_MOST);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    site_end(&site);
}

/* A job that another owner has left in this state. */
static struct owner_job *
take_over(struct site *site, GByteArray *state)
{
    struct owner_job *job = add_job(site, 0, &one);
    GBytes *bytes = g_bytes_new(state->data, state->len);

    g_ptr_array_set_size(job->open, 0);
    CU_ASSERT_TRUE(owner_job_restore(site->owner, job, bytes));
    g_bytes_unref(bytes);
    return job;
}

/* Each owner sees one worker crash, and is followed by another. */
static void
test_a_new_owner_knows_of_the_crashes(void)
{
    GByteArray *state = NULL;
    unsigned starts = 0;
    bool over = false;

    for (unsigned i = 0; i < STARTS_TRIED && !over; i++) {
        struct site site;
        struct owner_job *job;

        site_begin(&site);
        job =
            state != NULL ? take_over(&site, state) : add_job(&site, 0, &one);
        starts += crash_until_over(&site, job, 1);
        over = cw_work_is_over(job->phase);
        if (state != NULL) {
            g_byte_array_unref(state);
        }
        state = owner_job_encode(job);
        site_end(&site);
    }
    g_byte_array_unref(state);
    CU_ASSERT_TRUE(over);
    CU_ASSERT_TRUE(starts <= STARTS_MOST);
}

/* ---- who is the cause ---- */

/* A worker with runs of both jobs, the first one's with progress.  The second
 * is put there by hand: as a suspect it would get a worker of its own. */
static struct owner_target *
put_beside(struct site *site, struct owner_job *works,
           struct owner_job *crashes)
{
    struct owner_target *target;

    for (unsigned i = 0; i < 100 && placed(works) == 0; i++) {
        pass(site, 10);
    }
    confirm_starts(site, works);
    step_of(works)->tasks[0].run->percent = 20;
    target = (struct owner_target *)worker_of(works, 0);
    if (placed(crashes) > 0) {
        owner_run_drop(site->owner, step_of(crashes)->tasks[0].run);
    }
    (void)owner_run_create(site->owner, &step_of(crashes)->tasks[0], target,
                           RUN_NEW, step_of(crashes)->tasks[0].last_run + 1);
    confirm_starts(site, crashes);
    return target;
}

/* In the same incident a task lay on two crashed workers in a row and was
 * innocent both times. */
static void
test_a_task_beside_it_is_not_given_up(void)
{
    struct site site;
    struct owner_job *works;
    struct owner_job *crashes;

    site_begin(&site);
    works = add_job(&site, 0, &one);
    crashes = add_job(&site, 0, &one);
    for (unsigned i = 0; i < 3 && !cw_work_is_over(crashes->phase); i++) {
        crash(&site, put_beside(&site, works, crashes));
    }
    CU_ASSERT_EQUAL(crashes->phase, CW_WORK_FAILED);
    CU_ASSERT_FALSE(cw_work_is_over(works->phase));
    site_end(&site);
}

/* One that workers crash under halfway through its work, however it comes, is
 * bounded as well. */
static void
test_crashes_late_in_its_work_are_bounded(void)
{
    struct site site;
    struct owner_job *job;
    unsigned starts = 0;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    while (starts < STARTS_TRIED && !cw_work_is_over(job->phase)) {
        await_place(&site, job);
        confirm_starts(&site, job);
        step_of(job)->tasks[0].run->percent = 50;
        crash(&site, (struct owner_target *)worker_of(job, 0));
        add_worker(&site, RACKS * PER_RACK + site.added_workers++);
        starts++;
    }
    CU_ASSERT_EQUAL(starts, 4);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    site_end(&site);
}

static void
test_a_worker_that_left_by_plan_counts_against_nothing(void)
{
    struct site site;
    struct owner_job *job;
    struct owner_target *target;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    pass(&site, 10);
    confirm_starts(&site, job);
    target = (struct owner_target *)worker_of(job, 0);
    target->draining = true;
    crash(&site, target);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
    site_end(&site);
}

/* Another life answered the very first attempt: nothing was done there. */
static void
test_a_start_that_met_another_life_counts_against_nothing(void)
{
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    pass(&site, 10);
    step_of(job)->tasks[0].run->phase = RUN_STARTING;
    crash(&site, (struct owner_target *)worker_of(job, 0));
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
    site_end(&site);
}

/* Another job's start was under way: it may have been the cause as well. */
static void
test_a_start_under_way_makes_the_cause_unclear(void)
{
    struct site site;
    struct owner_job *job;
    struct owner_job *other;
    struct owner_target *target;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    other = add_job(&site, 0, &one);
    pass(&site, 10);
    target = (struct owner_target *)worker_of(job, 0);
    confirm_starts(&site, job);
    owner_run_drop(site.owner, step_of(other)->tasks[0].run);
    owner_run_create(site.owner, &step_of(other)->tasks[0], target,
                     RUN_STARTING, 2);
    crash(&site, target);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 4);
    CU_ASSERT_EQUAL(step_of(other)->tasks[0].suspicion, 0);
    site_end(&site);
}

/* ---- gangs, and work that lasts ---- */

static void
test_a_gang_is_given_up_for_one_member(void)
{
    const struct cw_step_spec gang = {
        .tasks = 3, .accelerators = 8, .gang = true};
    struct site site;
    struct owner_job *job;
    unsigned starts = 0;

    site_begin(&site);
    job = add_job(&site, 0, &gang);
    while (starts < STARTS_TRIED && !cw_work_is_over(job->phase)) {
        await_place(&site, job);
        confirm_starts(&site, job);
        starts++;
        crash(&site, (struct owner_target *)worker_of(job, 1));
        add_worker(&site, RACKS * PER_RACK + site.added_workers++);
        for (unsigned i = 0; i < gang.tasks; i++) {
            if (step_of(job)->tasks[i].run != NULL) {
                owner_run_drop(site.owner, step_of(job)->tasks[i].run);
            }
        }
    }
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    CU_ASSERT_EQUAL(starts, 2);
    site_end(&site);
}

static const struct cw_step_spec lasting = {
    .tasks = 1, .accelerators = 4, .endless = true};

static void
test_work_that_lasts_is_given_up(void)
{
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    job = add_job(&site, 1, &lasting);
    CU_ASSERT_TRUE(crash_until_over(&site, job, STARTS_TRIED) <= STARTS_MOST);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    site_end(&site);
}

/* It meets a crash now and then for as long as it lasts. */
static void
test_work_that_has_lasted_begins_anew(void)
{
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    job = add_job(&site, 1, &lasting);
    for (unsigned i = 0; i < STARTS_TRIED; i++) {
        struct owner_run *run;

        CU_ASSERT_EQUAL(crash_until_over(&site, job, 1), 1);
        await_place(&site, job);
        confirm_starts(&site, job);
        run = step_of(job)->tasks[0].run;
        run->percent = 100;
        pass(&site, 10000);
        owner_crashes_observe(run, site.clock.now);
        crash(&site, run->target);
        add_worker(&site, RACKS * PER_RACK + site.added_workers++);
    }
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    site_end(&site);
}

/* ---- silence that may be a cut ---- */

/* Its lease is over, and nothing was heard of it. */
static void
lose_silent(struct site *site, struct owner_target *target)
{
    target->listed = false;
    target->unanswered_polls = 3;
    owner_target_lost(site->owner, target, "lease_over");
}

static void
test_a_cut_counts_against_nothing_once_it_is_over(void)
{
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    for (unsigned i = 0; i < 2 * STARTS_MOST; i++) {
        struct owner_target *target;

        await_place(&site, job);
        confirm_starts(&site, job);
        target = (struct owner_target *)worker_of(job, 0);
        lose_silent(&site, target);
        CU_ASSERT_TRUE(step_of(job)->tasks[0].suspicion > 0);
        owner_crashes_answered(site.owner, target, 0);
        CU_ASSERT_EQUAL(step_of(job)->tasks[0].suspicion, 0);
        target->listed = true;
        target->answered = true;
        target->unanswered_polls = 0;
    }
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    site_end(&site);
}

/* The worker is back only after its lease: its next life on the list, at the
 * same address, is the proof.  The one before was known to have crashed. */
static void
test_a_crash_that_shows_late_counts(void)
{
    struct site site;
    struct owner_job *job;
    struct owner_target *before;
    struct owner_target *next;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&site, job, 1), 1);
    pass(&site, 10);
    confirm_starts(&site, job);
    before = (struct owner_target *)worker_of(job, 0);
    owner_crashes_listed(site.owner, before);
    lose_silent(&site, before);
    pass(&site, 1000);
    CU_ASSERT_EQUAL(placed(job), 0); /* it waits for word of that worker */
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    next = owner_target_get(site.owner, "next");
    next->service = before->service;
    g_free(next->address);
    next->address = g_strdup(before->address);
    next->listed = true;
    owner_crashes_listed(site.owner, next);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    site_end(&site);
}

/* Of three workers one has crashed; the others may have been cut off. */
static void
test_silence_alone_ends_nothing(void)
{
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&site, job, 1), 1);
    for (unsigned i = 0; i < 3 && !cw_work_is_over(job->phase); i++) {
        await_place(&site, job);
        confirm_starts(&site, job);
        lose_silent(&site, (struct owner_target *)worker_of(job, 0));
    }
    CU_ASSERT_FALSE(cw_work_is_over(job->phase));
    CU_ASSERT_EQUAL(crash_until_over(&site, job, 1), 1);
    CU_ASSERT_EQUAL(job->phase, CW_WORK_FAILED);
    site_end(&site);
}

/* Without such a proof it goes on, before callers miss it. */
static void
test_a_suspect_does_not_wait_for_long(void)
{
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&site, job, 1), 1);
    pass(&site, 10);
    confirm_starts(&site, job);
    lose_silent(&site, (struct owner_target *)worker_of(job, 0));
    pass(&site, 2400);
    CU_ASSERT_EQUAL(placed(job), 0);
    pass(&site, 150);
    CU_ASSERT_EQUAL(placed(job), 1);
    site_end(&site);
}

/* ---- started apart ---- */

static void
test_a_suspect_is_started_where_nothing_runs(void)
{
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    (void)run_job(&site, 0, &one);
    job = add_job(&site, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&site, job, 1), 1);
    pass(&site, 10);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_EQUAL(worker_of(job, 0)->runs->len, 1);
    site_end(&site);
}

static void
test_nothing_is_placed_beside_a_suspect_until_it_works(void)
{
    const struct cw_step_spec many = {.tasks = 2 * RACKS * PER_RACK,
                                      .accelerators = 4};
    struct site site;
    struct owner_job *job;
    struct owner_run *run;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&site, job, 1), 1);
    pass(&site, 10);
    confirm_starts(&site, job);
    run = step_of(job)->tasks[0].run;
    (void)add_job(&site, 0, &many);
    pass(&site, 10);
    CU_ASSERT_EQUAL(run->target->runs->len, 1);
    run->percent = 1;
    owner_crashes_observe(run, site.clock.now);
    pass(&site, 10);
    CU_ASSERT_EQUAL(run->target->runs->len, 2);
    site_end(&site);
}

static void
test_operators_are_told(void)
{
    struct site site;
    struct owner_job *job;
    GString *out = g_string_new(NULL);

    site_begin(&site);
    job = add_job(&site, 0, &one);
    CU_ASSERT_EQUAL(crash_until_over(&site, job, 1), 1);
    CU_ASSERT_TRUE(
        cw_owner_explain(site.owner, job->spec->id, site.clock.now, out));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(out->str, "crashes of workers speak against 1 of its tasks"));
    CU_ASSERT_EQUAL(site.counters.named[CW_COUNT_CRASHES], 1);
    g_string_free(out, TRUE);
    site_end(&site);
}

static const struct test tests[] = {
    {"told", test_operators_are_told},
    {"given up", test_it_is_given_up},
    {"new owner", test_a_new_owner_knows_of_the_crashes},
    {"beside it", test_a_task_beside_it_is_not_given_up},
    {"late in its work", test_crashes_late_in_its_work_are_bounded},
    {"left by plan", test_a_worker_that_left_by_plan_counts_against_nothing},
    {"met another life",
     test_a_start_that_met_another_life_counts_against_nothing},
    {"gang", test_a_gang_is_given_up_for_one_member},
    {"lasts", test_work_that_lasts_is_given_up},
    {"has lasted", test_work_that_has_lasted_begins_anew},
    {"cut", test_a_cut_counts_against_nothing_once_it_is_over},
    {"shows late", test_a_crash_that_shows_late_counts},
    {"silence", test_silence_alone_ends_nothing},
    {"under way", test_a_start_under_way_makes_the_cause_unclear},
    {"waits", test_a_suspect_does_not_wait_for_long},
    {"apart", test_a_suspect_is_started_where_nothing_runs},
    {"beside a suspect",
     test_nothing_is_placed_beside_a_suspect_until_it_works},
};

TEST_MAIN("crashes", tests)

/* Workers that fall silent: until when their leases may last, and what waits
 * for that. */
#include "test_main.h"

#include "owner_fixture.h"

enum {
    /* A lease on the slowest clock, and what an order may be late. */
    LEASE_MOST_MS = LEASE_MS + LEASE_MS / 50 + 500,
    /* Until nothing that owners before the first one gave can last. */
    SETTLED_MS = FIRST_BOUND_MS + 1000,
    /* The rule bears 4 s of calm and 3 s: nothing may add to a lease that a
     * start gives before its worker has confirmed a run. */
    UNCONFIRMED_MOST_MS = 5000,
    SILENT_MS = 1500
};

/* An owner that has decided for long, and has runs on a worker that answers
 * it. */
static void
bed_with_settled_owner(struct fixture *fixture)
{
    fixture_begin(fixture);
    put_spec(fixture);
    put_state(fixture, CW_STATE_TOPIC, CW_WORK_RUNNING);
    take_over(fixture);
    make_worker_reachable(fixture);
    (void)run_answering_polls(fixture, SETTLED_MS);
    CU_ASSERT_EQUAL_FATAL(the_job(fixture)->runs, TASKS);
    CU_ASSERT_EQUAL_FATAL(the_worker(fixture)->lease_note,
                          OWNER_LEASE_NOTE_NONE);
}

/* The next owner has taken the runs over. */
static void
replace_owner_with_runs(struct fixture *fixture, const char *vm)
{
    replace_owner(fixture, vm);
    CU_ASSERT_EQUAL_FATAL(the_job(fixture)->runs, TASKS);
}

/* Guards against jobs that wait for 12.6 s from a take-over for a worker that
 * answered the new owner, and died after that. */
static void
test_an_answer_bounds_what_earlier_owners_gave(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    put_spec(&fixture);
    put_state(&fixture, CW_STATE_TOPIC, CW_WORK_RUNNING);
    take_over(&fixture);
    CU_ASSERT_TRUE(lease_left_ms(&fixture) > LEASE_MOST_MS);
    make_worker_reachable(&fixture);
    (void)run_answering_polls(&fixture, 500);
    CU_ASSERT_TRUE(lease_left_ms(&fixture) <= LEASE_MOST_MS);
    CU_ASSERT_TRUE(lease_left_ms(&fixture) >= LEASE_MS - 1000);
    fixture_end(&fixture);
}

/* Guards against waiting for leases that a VM could still extend, where that
 * VM has ended and started again. */
static void
test_a_restarted_vm_extends_no_leases_of_its_former_life(void)
{
    struct fixture fixture;

    bed_with_settled_owner(&fixture);
    replace_owner_with_runs(&fixture, "this");
    CU_ASSERT_TRUE(lease_left_ms(&fixture) <= LEASE_MOST_MS);
    fixture_end(&fixture);
}

/* Guards against waiting for orders of this owner that arrive late, where none
 * of them gave a lease: what earlier owners gave has that in its bound. */
static void
test_orders_without_a_lease_lengthen_none(void)
{
    struct fixture fixture;
    struct timespec end;

    bed_with_settled_owner(&fixture);
    replace_owner_with_runs(&fixture, "this");
    make_worker_reachable(&fixture);
    end = the_worker(&fixture)->lease_end;
    the_worker(&fixture)->orders_in_flight = 1;
    run(&fixture, 100);
    answer_remaining();
    CU_ASSERT_TRUE(the_worker(&fixture)->unanswered_polls > 0);
    CU_ASSERT_FALSE(cw_time_before(end, the_worker(&fixture)->lease_end));
    the_worker(&fixture)->orders_in_flight = 0;
    fixture_end(&fixture);
}

/* Guards against waiting for leases that an owner could still extend, where it
 * was deposed and goes on. */
static void
test_a_deposed_owner_tells_that_it_extends_no_more(void)
{
    struct fixture fixture;

    bed_with_settled_owner(&fixture);
    owner_drop_ownership(fixture.owner, "test");
    fixture.owner->join_in_flight =
        true; /* it does not gain the shard again */
    run(&fixture, 1000);
    replace_owner_with_runs(&fixture, "other");
    CU_ASSERT_TRUE(lease_left_ms(&fixture) <= LEASE_MOST_MS);
    fixture_end(&fixture);
}

/* Guards against gangs that wait, as a whole, for the lease of a silent worker
 * to which nothing was sent for them. */
static void
test_places_on_a_silent_worker_are_given_up(void)
{
    const struct cw_step_spec gang = {
        .tasks = 3, .accelerators = ACCELERATORS, .gang = true};
    struct site site;
    struct owner_job *job;
    struct owner_target *target;

    site_begin(&site);
    site.owner->ownership_confirmed_at = site.clock.now;
    job = add_job(&site, 1, &gang);
    pass(&site, 10);
    CU_ASSERT_EQUAL_FATAL(placed(job), 3);
    target = step_of(job)->tasks[1].run->target;
    step_of(job)->tasks[1].run->phase = RUN_RESERVED;
    owner_resources_add(&target->reserved,
                        &(struct cw_resources){.accelerators = 8});
    for (unsigned passed = 0; passed < SILENT_MS; passed += STEP_MS) {
        const struct cw_target_answer none = {.status = CW_TARGET_UNKNOWN};

        site.clock.now = cw_time_add_ms(site.clock.now, STEP_MS);
        site.owner->ownership_confirmed_at = site.clock.now;
        (void)owner_poll_tick(site.owner, target, site.clock.now);
        while (unanswered != NULL && unanswered->len > 0) {
            struct cw_target_order order =
                g_array_index(unanswered, struct cw_target_order, 0);

            g_array_remove_index(unanswered, 0);
            order.done(order.context, &none);
        }
    }
    CU_ASSERT_TRUE(target->unanswered_polls > 1);
    CU_ASSERT_EQUAL(placed(job), 0);
    pass(&site, 10);
    CU_ASSERT_EQUAL(placed(job), 3);
    for (unsigned i = 0; i < 3 && placed(job) == 3; i++) {
        CU_ASSERT_PTR_NOT_EQUAL(step_of(job)->tasks[i].run->target, target);
    }
    site_end(&site);
}

/* A start of the job's only task is sent. */
static struct owner_target *
send_start(struct site *site, struct owner_job *job)
{
    const struct owner_run *run = send_job_start(site, job);

    CU_ASSERT_EQUAL(run->phase, RUN_STARTING);
    return run->target;
}

/* Guards against leases that grow with each start sent while the answer to a
 * look is outstanding, so that a worker that died is waited for longer. */
static void
test_starts_do_not_lengthen_a_lease_that_is_kept_up(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct site site;
    struct owner_target *target;
    struct owner_job *second;
    struct timespec end;

    site_begin(&site);
    site.owner->ownership_confirmed_at = site.clock.now;
    target = step_of(run_job(&site, 0, &one))->tasks[0].run->target;
    (void)owner_poll_tick(site.owner, target, site.clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_POLL);
    end = target->lease_end;
    CU_ASSERT_TRUE(cw_time_diff_ms(site.clock.now, end) >
                   owner_lease_max_granted_ms(site.owner));
    second = add_job(&site, 0, &one);
    pass(&site, 1500);
    CU_ASSERT_PTR_EQUAL_FATAL(worker_of(second, 0), target);
    CU_ASSERT_PTR_EQUAL(send_start(&site, second), target);
    CU_ASSERT_EQUAL(cw_time_diff_ms(end, target->lease_end), 0);
    site_end(&site);
}

/* Guards against a lease that grows with each try of a start that is not
 * answered. */
static void
test_a_start_sent_again_gives_no_longer_lease(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct site site;
    struct owner_target *target;
    struct owner_job *job;
    struct timespec end;
    int64_t until_ms;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    pass(&site, 10);
    target = send_start(&site, job);
    end = target->lease_end;
    until_ms = last_order.lease_until_ms;
    answer_last(CW_TARGET_UNKNOWN);
    site.clock.now = cw_time_add_ms(site.clock.now, 900);
    site.owner->ownership_confirmed_at = site.clock.now;
    owner_orders_send(site.owner, target, site.clock.now);
    CU_ASSERT_EQUAL_FATAL(last_order.kind, CW_ORDER_START);
    CU_ASSERT_EQUAL(step_of(job)->tasks[0].run->unanswered, 1);
    CU_ASSERT_EQUAL(last_order.lease_until_ms, until_ms);
    CU_ASSERT_EQUAL(cw_time_diff_ms(end, target->lease_end), 0);
    site_end(&site);
}

/* Guards against gangs that wait for a whole lease for a worker that died
 * before it had confirmed anything. */
static void
test_an_unconfirmed_start_gives_a_short_lease(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct site site;
    struct owner_target *target;
    struct owner_job *job;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    pass(&site, 10);
    target = send_start(&site, job);
    CU_ASSERT_TRUE(cw_time_diff_ms(site.clock.now, target->lease_end) <=
                   UNCONFIRMED_MOST_MS);
    (void)owner_poll_tick(site.owner, target, site.clock.now);
    CU_ASSERT_EQUAL(last_order.kind, CW_ORDER_POLL);
    CU_ASSERT_TRUE(cw_time_diff_ms(site.clock.now, target->lease_end) <=
                   UNCONFIRMED_MOST_MS);
    site_end(&site);
}

/* Guards against lost work that waits for the next general check after its
 * worker's lease is over. */
static void
test_the_end_of_a_lease_is_noticed_at_once(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct site site;
    struct owner_target *target;
    struct timespec next;

    site_begin(&site);
    site.owner->ownership_confirmed_at = site.clock.now;
    target = step_of(run_job(&site, 0, &one))->tasks[0].run->target;
    (void)owner_poll_tick(site.owner, target, site.clock.now);
    CU_ASSERT_TRUE(target->poll_in_flight);
    next = owner_poll_tick(site.owner, target, site.clock.now);
    CU_ASSERT_TRUE(cw_time_diff_ms(target->lease_end, next) >= 0);
    CU_ASSERT_TRUE(cw_time_diff_ms(target->lease_end, next) <= 1);
    site_end(&site);
}

/* Guards against a task that runs twice: a worker has crashed and started
 * again under its id, unheard, and its clock says that the lease is long. */
static void
test_a_start_may_meet_a_next_life(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};
    struct site site;
    struct owner_target *target;
    struct owner_job *job;

    site_begin(&site);
    job = add_job(&site, 0, &one);
    pass(&site, 10);
    step_of(job)->tasks[0].run->target->incarnation.boot_ms = 1;
    target = send_start(&site, job);
    CU_ASSERT_TRUE(cw_time_diff_ms(site.clock.now, target->lease_end) >=
                   LEASE_MS + LEASE_MS / 50);
    site_end(&site);
}

static const struct test tests[] = {
    {"answer", test_an_answer_bounds_what_earlier_owners_gave},
    {"restart", test_a_restarted_vm_extends_no_leases_of_its_former_life},
    {"unleased", test_orders_without_a_lease_lengthen_none},
    {"deposed", test_a_deposed_owner_tells_that_it_extends_no_more},
    {"places", test_places_on_a_silent_worker_are_given_up},
    {"growth", test_starts_do_not_lengthen_a_lease_that_is_kept_up},
    {"sent again", test_a_start_sent_again_gives_no_longer_lease},
    {"noticed", test_the_end_of_a_lease_is_noticed_at_once},
    {"next life", test_a_start_may_meet_a_next_life},
    {"unconfirmed", test_an_unconfirmed_start_gives_a_short_lease},
};

TEST_MAIN("leases", tests)

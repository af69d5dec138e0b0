/* Jobs that have stood still for too long get room that is kept from them: how
 * much, where, and what must not hide that they stand still. */
#include "test_main.h"

#include "owner_site.h"

enum {
    STEP_MS = 50,
    /* A job may have nothing running for 3 s; what is left of them is for the
     * store and the start. */
    BORNE_MS = 2500,
    AT_WORK_MS = 300, /* what was let in is not stopped before, for room */
    PASS_MOST = 16    /* placed in one pass, whatever waits */
};

static const struct cw_step_spec max_in_flight = {
    .tasks = 9, .accelerators = ACCELERATORS};
static const struct cw_step_spec wide = {.tasks = 40, .accelerators = 1};
static const struct cw_step_spec tiny = {.tasks = 1, .accelerators = 1};
static const struct cw_step_spec whole = {.tasks = 1,
                                          .accelerators = ACCELERATORS};

static void
each_target(struct site *site, void (*do_it)(struct site *, void *))
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, site->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        do_it(site, value);
    }
}

/* As if urgent work had just come in a burst. */
static void
keep_for_urgent_work(struct site *site)
{
    struct owner_headroom *room =
        g_hash_table_lookup(site->owner->headroom, "s");

    if (room != NULL) {
        cw_headroom_observe(&room->forecast, RACKS * PER_RACK * ACCELERATORS,
                            site->clock.now);
    }
}

static void
pass_for(struct site *site, unsigned ms)
{
    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        keep_for_urgent_work(site);
        pass(site, STEP_MS);
    }
}

/* Three of twelve workers are free, all kept for urgent work. */
static void
site_begin_full(struct site *site)
{
    site_begin(site);
    set_guarantee(site, RACKS * PER_RACK * ACCELERATORS);
    run_job(site, 0, &max_in_flight);
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

/* A start that is never answered is no work: others of the job are placed. */
static void
test_a_run_that_never_was_does_not_hide_the_rest(void)
{
    struct site site;
    struct owner_job *job;

    site_begin_full(&site);
    job = add_job(&site, 2, &wide);
    pass_for(&site, BORNE_MS);
    CU_ASSERT_EQUAL_FATAL(placed(job), 1);
    first_run(job)->phase = RUN_STARTING;
    first_run(job)->target->unanswered_polls = 1;
    pass_for(&site, 1000);
    CU_ASSERT_TRUE(placed(job) > 1);
    site_end(&site);
}

/* An owner that loses the shard forgets its runs at once: none of them may
 * count for ever. */
static void
test_what_was_released_is_counted_anew(void)
{
    struct site site;
    struct owner_job *job;
    struct owner_headroom *room;

    site_begin_full(&site);
    room = g_hash_table_lookup(site.owner->headroom, "s");
    room->headroom_borrowed = RACKS * PER_RACK * ACCELERATORS;
    job = add_job(&site, 2, &tiny);
    pass_for(&site, BORNE_MS);
    CU_ASSERT_EQUAL(placed(job), 1);
    site_end(&site);
}

/* A released task does not open its worker to the rest of what waits. */
static void
test_one_place_stays_one(void)
{
    struct site site;
    struct owner_job *job;

    site_begin_full(&site);
    job = add_job(&site, 2, &wide);
    pass_for(&site, BORNE_MS);
    confirm_starts(&site, job);
    for (unsigned i = 0; i < 10; i++) {
        owner_idle_end(site.owner, job); /* it is listed */
        pass_for(&site, 100);
    }
    CU_ASSERT_EQUAL(placed(job), 1);
    site_end(&site);
}

/* Guards against idle jobs that get no place as others have taken all that may
 * be given up of the free room at a time. */
static void
test_all_that_stand_still_get_a_place(void)
{
    static const struct cw_step_spec eight = {.tasks = 8,
                                              .accelerators = ACCELERATORS};
    struct site site;
    struct owner_job *jobs[3];

    site_begin(&site);
    set_guarantee(&site, RACKS * PER_RACK * ACCELERATORS);
    run_job(&site, 0, &eight);
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = add_job(&site, 2, &whole);
    }
    pass_for(&site, BORNE_MS);
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        CU_ASSERT_EQUAL(placed(jobs[i]), 1);
    }
    site_end(&site);
}

/* A run in room that is kept, just confirmed. */
static struct owner_run *
let_in(struct site *site)
{
    struct owner_job *job;

    site_begin_full(site);
    job = add_job(site, 2, &whole);
    pass_for(site, BORNE_MS);
    confirm_starts(site, job);
    CU_ASSERT_PTR_NOT_NULL_FATAL(first_run(job));
    CU_ASSERT_TRUE_FATAL(first_run(job)->headroom_borrowed);
    return first_run(job);
}

/* It leaves before urgent work would have to wait for that, but not at once.
 */
static void
test_what_was_let_in_makes_way_ahead_of_need(void)
{
    struct site site;
    struct owner_run *run = let_in(&site);
    struct owner_headroom *room =
        g_hash_table_lookup(site.owner->headroom, "s");

    cw_headroom_arrived(&room->forecast, RACKS * PER_RACK * ACCELERATORS);
    pass_for(&site, AT_WORK_MS - STEP_MS);
    CU_ASSERT_FALSE(run->stopping);
    pass_for(&site, 3 * STEP_MS);
    CU_ASSERT_TRUE(run->stopping);
    site_end(&site);
}

/* Nothing urgent comes: what is free suffices. */
static void
test_what_was_let_in_goes_on_if_nothing_comes(void)
{
    struct site site;
    struct owner_run *run = let_in(&site);

    pass_for(&site, 5000);
    CU_ASSERT_FALSE(run->stopping);
    site_end(&site);
}

/* What must not be begun twice is never stopped for room. */
static void
test_once_only_work_does_not_make_way(void)
{
    struct site site;
    struct owner_run *run = let_in(&site);
    struct owner_headroom *room =
        g_hash_table_lookup(site.owner->headroom, "s");

    ((struct cw_work_spec *)owner_task_job(run->task)->spec)->once = true;
    cw_headroom_arrived(&room->forecast, RACKS * PER_RACK * ACCELERATORS);
    pass_for(&site, 1000);
    CU_ASSERT_FALSE(run->stopping);
    site_end(&site);
}

static void
hold_first_rack(struct site *site, void *data)
{
    struct owner_target *target = data;

    if (strcmp(target->rack, "r0") == 0) {
        target->rack_reserved_for = site; /* some other step */
        target->rack_reserved_priority = 1;
        target->rack_reserved_until = cw_time_add_ms(site->clock.now, 400);
    }
}

/* Room in a rack that is kept for a gang goes last. */
static void
test_a_held_rack_goes_last(void)
{
    static const struct cw_step_spec six = {.tasks = 6,
                                            .accelerators = ACCELERATORS};
    static const struct cw_step_spec two = {.tasks = 2,
                                            .accelerators = ACCELERATORS};
    static const char *const full[] = {"w04", "w05", "w06",
                                       "w08", "w09", "w10"};
    struct site site;
    struct owner_job *urgent;
    struct owner_job *lower;
    struct owner_job *jobs[4];

    site_begin(&site);
    set_guarantee(&site, RACKS * PER_RACK * ACCELERATORS);
    urgent = add_job(&site, 0, &six);
    for (unsigned i = 0; i < G_N_ELEMENTS(full); i++) {
        owner_run_create(site.owner, &step_of(urgent)->tasks[i],
                         owner_target_get(site.owner, full[i]), RUN_RUNNING,
                         1);
    }
    lower = add_job(&site, 1, &two);
    owner_run_create(site.owner, &step_of(lower)->tasks[0],
                     owner_target_get(site.owner, "w00"), RUN_RUNNING, 1);
    owner_run_create(site.owner, &step_of(lower)->tasks[1],
                     owner_target_get(site.owner, "w01"), RUN_RUNNING, 1);
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = add_job(&site, 2, &tiny);
    }
    for (unsigned ms = 0; ms < BORNE_MS; ms += STEP_MS) {
        each_target(&site, hold_first_rack);
        pass_for(&site, STEP_MS);
    }
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        CU_ASSERT_PTR_NOT_NULL_FATAL(worker_of(jobs[i], 0));
        CU_ASSERT_STRING_NOT_EQUAL(worker_of(jobs[i], 0)->rack, "r0");
    }
    site_end(&site);
}

static void
suspect(struct site *site, void *data)
{
    struct owner_target *target = data;

    target->incarnation.suspect_until = cw_time_add_ms(site->clock.now, 7000);
}

/* Each task that lasts counts, not only one of its step. */
static void
test_all_tasks_that_last_get_a_place(void)
{
    static const struct cw_step_spec six = {.tasks = 6,
                                            .accelerators = ACCELERATORS};
    static const struct cw_step_spec lasting = {
        .tasks = 40, .accelerators = 1, .endless = true};
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    set_guarantee(&site, 0);
    run_job(&site, 0, &six);
    job = run_job(&site, 1, &lasting);
    for (unsigned i = 0; i < 32; i++) {
        owner_run_drop(site.owner, step_of(job)->tasks[i].run);
    }
    for (unsigned ms = 0; ms < 6000; ms += STEP_MS) {
        each_target(&site, suspect);
        owner_idle_end(site.owner, job); /* the others are listed */
        pass(&site, STEP_MS);
    }
    CU_ASSERT_EQUAL(placed(job), 40);
    site_end(&site);
}

static void
suspect_if_idle(struct site *site, void *data)
{
    struct owner_target *target = data;

    if (target->runs->len == 0) {
        suspect(site, data);
    }
}

/* Places that do not come free: two reservations of 1.5 s, then anything. */
static void
test_urgent_work_does_not_wait_for_reservations_for_ever(void)
{
    struct site site;
    struct owner_job *job;
    unsigned ms = 0;

    site_begin(&site);
    set_guarantee(&site, 0);
    run_job(&site, 1, &max_in_flight);
    set_guarantee(&site, RACKS * PER_RACK * ACCELERATORS);
    job = add_job(&site, 0, &whole);
    for (; ms < 20000; ms += STEP_MS) {
        each_target(&site, suspect_if_idle);
        pass(&site, STEP_MS);
        if (first_run(job) != NULL && first_run(job)->phase == RUN_NEW) {
            break;
        }
    }
    CU_ASSERT_TRUE(ms <= 3100);
    site_end(&site);
}

/* An owner that is behind has many such jobs; it must not be flooded. */
static void
test_a_pass_places_few_at_a_time(void)
{
    struct site site;
    struct owner_job *jobs[90];
    unsigned before = 0;

    site_begin(&site);
    set_guarantee(&site, 0);
    site.owner->order_window.max_in_flight = 96;
    site.owner->order_window.in_flight = 96;
    for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = add_job(&site, 2, &tiny);
    }
    for (unsigned ms = 0; ms < 4000; ms += 2 * STEP_MS) {
        unsigned now = 0;

        pass(&site, 2 * STEP_MS);
        for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++) {
            now += placed(jobs[i]);
        }
        CU_ASSERT_TRUE(now - before <= PASS_MOST);
        before = now;
    }
    CU_ASSERT_EQUAL(before, G_N_ELEMENTS(jobs));
    site.owner->order_window.in_flight = 0;
    site_end(&site);
}

static const struct test tests[] = {
    {"never was", test_a_run_that_never_was_does_not_hide_the_rest},
    {"counted anew", test_what_was_released_is_counted_anew},
    {"one place", test_one_place_stays_one},
    {"all of them", test_all_that_stand_still_get_a_place},
    {"makes way", test_what_was_let_in_makes_way_ahead_of_need},
    {"goes on", test_what_was_let_in_goes_on_if_nothing_comes},
    {"once only", test_once_only_work_does_not_make_way},
    {"held rack", test_a_held_rack_goes_last},
    {"lasting", test_all_tasks_that_last_get_a_place},
    {"reservations", test_urgent_work_does_not_wait_for_reservations_for_ever},
    {"few at a time", test_a_pass_places_few_at_a_time},
};

TEST_MAIN("starvation", tests)

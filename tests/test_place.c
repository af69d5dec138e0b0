/* Placement: racks, guarantees, headroom, and workers to avoid. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_log.h"
#include "owner/internal/owner_private.h"

enum { RACKS = 3, PER_RACK = 4, ACCELERATORS = 8, START_MS = 100000 };

/* An owner with workers w0 to w11 in racks r0 to r2, and no network. */
struct site {
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct cw_replica *replica;
    struct cw_owner *owner;
    unsigned jobs;
};

/* The last order, for a test to answer. */
static struct cw_target_order last_order;

static void
keep_order(struct cw_targets *targets, const struct cw_target_order *order)
{
    (void)targets;
    last_order = *order;
}

static void
answer_last(enum cw_target_status status)
{
    const struct cw_target_answer answer = {.status = status};

    last_order.done(last_order.context, &answer);
}

static void
add_worker(struct site *site, unsigned index)
{
    char name[16];
    struct owner_target *target;

    g_snprintf(name, sizeof(name), "w%02u", index);
    target = owner_target_get(site->owner, name);
    g_free(target->rack);
    target->rack = g_strdup_printf("r%u", index / PER_RACK);
    g_free(target->service);
    target->service = g_strdup("s");
    g_free(target->address);
    target->address = g_strdup(name);
    g_free(target->kind);
    target->kind = g_strdup(index % 2 == 0 ? "even" : "odd");
    target->capacity.accelerators = ACCELERATORS;
    target->capacity.cpu_milli = 32000;
    target->capacity.memory_mb = 65536;
    target->listed = true;
    target->clock_known = true;
}

static void
set_guarantee(struct site *site, unsigned accelerators)
{
    struct cw_routing *routing = cw_routing_new();
    struct cw_account *account = cw_routing_add_account(routing);

    account->name = g_strdup("a");
    account->guaranteed_accelerators = accelerators;
    cw_routing_seal(routing);
    cw_owner_configure(site->owner, routing);
    cw_routing_unref(routing);
}

static void
site_begin(struct site *site)
{
    static const struct cw_targets_ops ops = {.order = keep_order};
    static struct cw_targets targets = {.ops = &ops};
    struct cw_replica_options replica = {.clock = &site->clock.base};
    struct cw_owner_options options = {.targets = &targets,
                                       .clock = &site->clock.base,
                                       .counters = &site->counters,
                                       .member = "m",
                                       .member_ttl_ms = 1000,
                                       .lease_ms = 6000};

    memset(site, 0, sizeof(*site));
    cw_log_setup("error", "test");
    cw_clock_manual_init(&site->clock);
    site->clock.now = cw_time_from_ms(START_MS);
    site->replica = cw_replica_create(&replica);
    options.replica = site->replica;
    site->owner = cw_owner_create(&options);
    site->owner->state = OWNER_ACTIVE;
    for (unsigned i = 0; i < RACKS * PER_RACK; i++) {
        add_worker(site, i);
    }
    set_guarantee(site, 64);
}

static void
site_end(struct site *site)
{
    cw_owner_free(site->owner);
    cw_replica_free(site->replica);
}

static void
pass(struct site *site, unsigned ms)
{
    site->clock.now = cw_time_add_ms(site->clock.now, ms);
    owner_place(site->owner, site->clock.now);
}

/* Hands a job of one step in; the step given is copied. */
static struct owner_job *
add_job(struct site *site, unsigned priority, const struct cw_step_spec *like)
{
    char id[32];
    char key[40];
    struct cw_step_spec step = *like;
    struct cw_work_spec spec = {.queue = (char *)"q",
                                .account = (char *)"a",
                                .service = (char *)"s",
                                .payload = (char *)"",
                                .priority = priority,
                                .max_attempts = 2,
                                .stretch_milli = 2000};
    GByteArray *bytes;
    struct cw_store_record record = {.key = key};

    g_snprintf(id, sizeof(id), "%016x", ++site->jobs);
    g_snprintf(key, sizeof(key), "s%s", id);
    spec.id = id;
    step.cpu_milli = 1000;
    step.memory_mb = 100;
    step.estimate_ms = 1000;
    step.label = step.label != NULL ? step.label : (char *)"";
    step.data_rack = step.data_rack != NULL ? step.data_rack : (char *)"";
    step.image = (char *)"";
    spec.steps.steps_len = 1;
    spec.steps.steps_val = &step;
    bytes = cw_xdr_encode((xdrproc_t)xdr_cw_work_spec, &spec);
    record.value = bytes->data;
    record.length = bytes->len;
    record.offset = site->jobs;
    cw_replica_apply(site->replica, &record); /* the owner listens */
    g_byte_array_unref(bytes);
    return g_hash_table_lookup(site->owner->jobs, id);
}

static struct owner_step *
step_of(const struct owner_job *job)
{
    return &((struct owner_occurrence *)job->open->pdata[0])->steps[0];
}

static unsigned
placed(const struct owner_job *job)
{
    return step_of(job)->runs;
}

static const struct owner_target *
place_of(const struct owner_job *job, unsigned task)
{
    const struct owner_run *run = step_of(job)->tasks[task].run;

    return run != NULL ? run->target : NULL;
}

/* Makes the job's runs run, as if their starts had been confirmed. */
static void
set_running(struct site *site, struct owner_job *job)
{
    for (unsigned i = 0; i < step_of(job)->count; i++) {
        struct owner_run *run = step_of(job)->tasks[i].run;

        run->phase = RUN_RUNNING;
        run->started_at = site->clock.now;
        run->saved_at = site->clock.now;
        run->progress_at = site->clock.now;
    }
}

static struct owner_job *
run_job(struct site *site, unsigned priority, const struct cw_step_spec *like)
{
    struct owner_job *job = add_job(site, priority, like);

    pass(site, 10);
    set_running(site, job);
    return job;
}

static void
test_a_gang_takes_one_rack_or_waits(void)
{
    const struct cw_step_spec gang = {
        .tasks = 4, .accelerators = 8, .gang = true, .same_rack = true};
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 1};
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    set_guarantee(&site, 0);
    job = run_job(&site, 1, &gang);
    CU_ASSERT_EQUAL(placed(job), 4);
    for (unsigned i = 1; i < 4; i++) {
        CU_ASSERT_STRING_EQUAL(place_of(job, i)->rack, place_of(job, 0)->rack);
    }
    /* A task in each other rack leaves no rack whole. */
    step_of(run_job(&site, 1, &one));
    run_job(&site, 1, &(struct cw_step_spec){.tasks = 1, .accelerators = 8});
    job = add_job(&site, 1, &gang);
    pass(&site, 10);
    CU_ASSERT_TRUE(placed(job) == 0 || placed(job) == 4);
    site_end(&site);
}

static void
test_urgent_work_within_its_guarantee_makes_others_leave(void)
{
    const struct cw_step_spec all = {
        .tasks = RACKS * PER_RACK, .accelerators = 8, .checkpoints = true};
    const struct cw_step_spec gang = {
        .tasks = 2, .accelerators = 8, .gang = true, .same_rack = true};
    struct site site;
    struct owner_job *low;
    struct owner_job *urgent;
    unsigned stopping = 0;

    site_begin(&site);
    set_guarantee(&site, 0);
    low = run_job(&site, 2, &all);
    CU_ASSERT_EQUAL(placed(low), RACKS * PER_RACK);
    set_guarantee(&site, 16);
    urgent = add_job(&site, 0, &gang);
    pass(&site, 10);
    CU_ASSERT_EQUAL(placed(urgent), 2);
    CU_ASSERT_STRING_EQUAL(place_of(urgent, 0)->rack,
                           place_of(urgent, 1)->rack);
    for (unsigned i = 0; i < step_of(low)->count; i++) {
        stopping += step_of(low)->tasks[i].run->stopping;
    }
    CU_ASSERT_EQUAL(stopping, 2); /* no more than needed */
    /* Its place is free once they have ended. */
    CU_ASSERT_EQUAL(step_of(urgent)->tasks[0].run->phase, RUN_RESERVED);
    for (unsigned i = 0; i < step_of(low)->count; i++) {
        if (step_of(low)->tasks[i].run->stopping) {
            owner_run_drop(site.owner, step_of(low)->tasks[i].run);
        }
    }
    CU_ASSERT_EQUAL(step_of(urgent)->tasks[0].run->phase, RUN_NEW);
    CU_ASSERT_EQUAL(step_of(urgent)->tasks[1].run->phase, RUN_NEW);
    site_end(&site);
}

static void
test_the_cheapest_work_gives_way(void)
{
    const struct cw_step_spec plain = {.tasks = 6, .accelerators = 8};
    const struct cw_step_spec saves = {
        .tasks = 6, .accelerators = 8, .checkpoints = true};
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct site site;
    struct owner_job *lossy;
    struct owner_job *cheap;
    unsigned stopped[2] = {0, 0};

    site_begin(&site);
    set_guarantee(&site, 0);
    lossy = run_job(&site, 2, &plain);
    cheap = run_job(&site, 1, &saves);
    pass(&site, 5000);
    for (unsigned i = 0; i < 6; i++) { /* a checkpoint a moment ago */
        step_of(cheap)->tasks[i].run->saved_at = site.clock.now;
    }
    add_job(&site, 0, &one);
    pass(&site, 10);
    for (unsigned i = 0; i < 6; i++) {
        stopped[0] += step_of(lossy)->tasks[i].run->stopping;
        stopped[1] += step_of(cheap)->tasks[i].run->stopping;
    }
    CU_ASSERT_EQUAL(stopped[0], 0);
    CU_ASSERT_EQUAL(stopped[1], 1);
    site_end(&site);
}

static void
test_lower_work_leaves_room_for_urgent_work(void)
{
    const struct cw_step_spec burst = {.tasks = 4, .accelerators = 8};
    const struct cw_step_spec flood = {.tasks = 96, .accelerators = 1};
    struct site site;
    struct owner_job *urgent;
    struct owner_job *low;
    unsigned hosts = 0;
    GHashTableIter iterator;
    gpointer value;

    site_begin(&site);
    urgent = run_job(&site, 0, &burst);
    CU_ASSERT_EQUAL(placed(urgent), 4);
    low = add_job(&site, 2, &flood);
    pass(&site, 10);
    g_hash_table_iter_init(&iterator, site.owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hosts += ((struct owner_target *)value)->lower_runs > 0;
    }
    CU_ASSERT_TRUE(placed(low) > 0);
    CU_ASSERT_TRUE(hosts < RACKS * PER_RACK - 4);
    site_end(&site);
}

static void
test_a_rack_is_kept_clear_for_a_gang_that_waits(void)
{
    const struct cw_step_spec fill = {.tasks = 24, .accelerators = 4};
    const struct cw_step_spec gang = {
        .tasks = 3, .accelerators = 8, .gang = true, .same_rack = true};
    const struct cw_step_spec small = {.tasks = 96, .accelerators = 1};
    struct site site;
    struct owner_job *before;
    struct owner_job *waits;
    struct owner_job *low;
    const char *rack = NULL;

    site_begin(&site);
    set_guarantee(&site, 0);
    before = run_job(&site, 2, &fill);
    waits = add_job(&site, 1, &gang);
    pass(&site, 10);
    pass(&site, 2000);
    CU_ASSERT_EQUAL(placed(waits), 0);
    low = add_job(&site, 2, &small);
    /* One rack empties, task by task; the gang gets it. */
    for (unsigned i = 0; i < step_of(before)->count; i++) {
        struct owner_run *run = step_of(before)->tasks[i].run;

        if (run->target->held_for != NULL) {
            rack = run->target->rack;
            step_of(before)->tasks[i].done = true;
            step_of(before)->left--;
            owner_run_drop(site.owner, run);
            pass(&site, 10);
        }
    }
    CU_ASSERT_PTR_NOT_NULL(rack);
    CU_ASSERT_EQUAL(placed(waits), 3);
    (void)low;
    site_end(&site);
}

static void
test_workers_that_are_not_to_be_used_are_not(void)
{
    const struct cw_step_spec all = {.tasks = 12, .accelerators = 8};
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    set_guarantee(&site, 0);
    owner_target_get(site.owner, "w00")->draining = true;
    owner_target_get(site.owner, "w01")->listed = false;
    owner_target_get(site.owner, "w02")->gone = true;
    owner_target_get(site.owner, "w03")->silent = 1;
    owner_target_blame(owner_target_get(site.owner, "w04"), site.clock.now);
    owner_target_get(site.owner, "w05")->slow_until =
        cw_time_add_ms(site.clock.now, 1000);
    job = add_job(&site, 1, &all);
    pass(&site, 10);
    CU_ASSERT_EQUAL(placed(job), 6);
    pass(&site, 5000); /* suspicion ends */
    CU_ASSERT_EQUAL(placed(job), 8);
    site_end(&site);
}

static void
test_labels_and_spread_are_kept(void)
{
    const struct cw_step_spec spread = {.tasks = 8,
                                        .accelerators = 1,
                                        .most_per_worker = 1,
                                        .label = (char *)"odd"};
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    set_guarantee(&site, 0);
    job = add_job(&site, 1, &spread);
    pass(&site, 10);
    CU_ASSERT_EQUAL(placed(job), 6); /* six odd workers, one task each */
    for (unsigned i = 0; i < 6; i++) {
        CU_ASSERT_STRING_EQUAL(place_of(job, i)->kind, "odd");
    }
    site_end(&site);
}

static void
test_a_slow_member_shows_its_worker(void)
{
    const struct cw_step_spec gang = {
        .tasks = 3, .accelerators = 8, .gang = true};
    struct site site;
    struct owner_job *job;
    struct owner_step *step;

    site_begin(&site);
    set_guarantee(&site, 0);
    job = run_job(&site, 1, &gang);
    step = step_of(job);
    for (unsigned percent = 0; percent <= 60; percent += 20) {
        pass(&site, 500);
        for (unsigned i = 0; i < 3; i++) {
            owner_speed_note(site.owner, step->tasks[i].run,
                             i == 0 ? percent / 10 : percent, site.clock.now);
        }
    }
    CU_ASSERT_FALSE(owner_target_usable(place_of(job, 0), site.clock.now));
    CU_ASSERT_TRUE(owner_target_usable(place_of(job, 1), site.clock.now));
    CU_ASSERT_TRUE(step->tasks[0].run->stopping); /* a restart pays */
    site_end(&site);
}

static void
test_a_lost_run_resumes_from_its_last_checkpoint(void)
{
    const struct cw_step_spec gang = {
        .tasks = 2, .accelerators = 8, .gang = true, .checkpoints = true};
    struct site site;
    struct owner_job *job;

    site_begin(&site);
    set_guarantee(&site, 0);
    job = run_job(&site, 1, &gang);
    owner_task_keep(&step_of(job)->tasks[0], "ck-1");
    owner_task_keep(&step_of(job)->tasks[0], "");
    CU_ASSERT_STRING_EQUAL(step_of(job)->tasks[1].saved, "ck-1");
    owner_run_lost(site.owner, step_of(job)->tasks[0].run, "test");
    CU_ASSERT_STRING_EQUAL(step_of(job)->tasks[0].saved, "ck-1");
    CU_ASSERT_TRUE(step_of(job)->tasks[1].run->stopping);
    site_end(&site);
}

static void
test_occurrences_open_when_they_are_due(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 1};
    struct site site;
    struct owner_job *job;
    struct cw_work_spec *spec;

    site_begin(&site);
    job = add_job(&site, 1, &one);
    /* As if it had been handed in with three times to run. */
    spec = (struct cw_work_spec *)job->spec;
    spec->repeats = 3;
    spec->first_due_ms = START_MS;
    spec->interval_ms = 2000;
    CU_ASSERT_EQUAL(job->open->len, 1);
    site.clock.now = cw_time_add_ms(site.clock.now, 1900);
    owner_job_open_due(site.owner, job, site.clock.now);
    CU_ASSERT_EQUAL(job->open->len, 1); /* the second is not due yet */
    site.clock.now = cw_time_add_ms(site.clock.now, 200);
    owner_job_open_due(site.owner, job, site.clock.now);
    CU_ASSERT_EQUAL(job->open->len, 2); /* it may overlap the first */
    site.clock.now = cw_time_add_ms(site.clock.now, 9000);
    owner_job_open_due(site.owner, job, site.clock.now);
    CU_ASSERT_EQUAL(job->open->len, 3);
    CU_ASSERT_EQUAL(job->next_occurrence, 3);
    site_end(&site);
}

/* Makes the job's only run ready and sends its start. */
static struct owner_run *
send_start(struct site *site, struct owner_job *job)
{
    struct owner_run *run = step_of(job)->tasks[0].run;
    struct cw_task_name name = owner_task_name(run->task);

    run->phase = RUN_READY;
    site->owner->proof_at = site->clock.now;
    owner_order_queue(site->owner, run->target, CW_ORDER_START, &name,
                      run->number);
    owner_orders_send(site->owner, run->target, site->clock.now);
    return run;
}

static void
test_a_refused_start_is_stopped_if_an_earlier_one_had_no_answer(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 1};
    struct site site;
    struct owner_job *job;
    struct owner_run *run;

    site_begin(&site);
    set_guarantee(&site, 0);
    job = add_job(&site, 1, &one);
    pass(&site, 10);
    run = send_start(&site, job);
    answer_last(CW_TARGET_UNKNOWN);
    owner_orders_send(site.owner, run->target, site.clock.now);
    answer_last(CW_TARGET_NO_ROOM);
    CU_ASSERT_EQUAL(placed(job), 1); /* the first may still be carried out */
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->stopping);
    site_end(&site);

    site_begin(&site);
    set_guarantee(&site, 0);
    job = add_job(&site, 1, &one);
    pass(&site, 10);
    send_start(&site, job);
    answer_last(CW_TARGET_NO_ROOM);
    CU_ASSERT_EQUAL(placed(job), 0); /* nothing can come any more */
    site_end(&site);
}

static void
test_a_gang_that_loses_places_does_not_begin_with_the_others(void)
{
    struct site site;
    struct owner_job *job;
    struct owner_step *step;
    struct owner_target *full;
    struct owner_target *empty;

    site_begin(&site);
    job = add_job(
        &site, 0,
        &(struct cw_step_spec){.tasks = 3, .accelerators = 1, .gang = true});
    step = step_of(job);
    full = owner_target_get(site.owner, "w00");
    empty = owner_target_get(site.owner, "w01");
    full->used.accelerators = ACCELERATORS;
    owner_run_create(site.owner, &step->tasks[0], full, RUN_RESERVED, 1);
    owner_run_create(site.owner, &step->tasks[1], empty, RUN_RESERVED, 1);
    owner_run_create(site.owner, &step->tasks[2], empty, RUN_RESERVED, 1);
    owner_run_drop(site.owner, step->tasks[0].run);
    owner_run_drop(site.owner, step->tasks[1].run);
    CU_ASSERT_EQUAL(step->tasks[2].run->phase, RUN_RESERVED);
    site_end(&site);
}

static const struct test tests[] = {
    {"gang that loses places",
     test_a_gang_that_loses_places_does_not_begin_with_the_others},
    {"refused start",
     test_a_refused_start_is_stopped_if_an_earlier_one_had_no_answer},
    {"checkpoint", test_a_lost_run_resumes_from_its_last_checkpoint},
    {"occurrences", test_occurrences_open_when_they_are_due},
    {"one rack", test_a_gang_takes_one_rack_or_waits},
    {"guarantee", test_urgent_work_within_its_guarantee_makes_others_leave},
    {"cheapest", test_the_cheapest_work_gives_way},
    {"headroom", test_lower_work_leaves_room_for_urgent_work},
    {"kept clear", test_a_rack_is_kept_clear_for_a_gang_that_waits},
    {"not to be used", test_workers_that_are_not_to_be_used_are_not},
    {"labels", test_labels_and_spread_are_kept},
    {"slow member", test_a_slow_member_shows_its_worker},
};

TEST_MAIN("place", tests)

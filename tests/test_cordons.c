/* Cordons: data centres that operators have closed to new work.
 *
 * Guards against starts in a cordoned data centre.  A cordon is a record in
 * the store, in the topic of the configuration.  If only the configuration is
 * read from that topic, neither placement nor starts nor a VM that takes over
 * apply cordons: on one day this led to 589 starts in a data centre that had
 * been cordoned for more than 5 s, as reported by callers and workers.
 *
 * Without the checks when starts are sent, six of the tests of starts fail,
 * and 4 of 200 emulated days with cordons; "reserved" fails if reserved runs
 * are not given up. */
#include "test_main.h"

#include "owner_cluster.h"
#include "platform/platform.h"
#include "fake_store.h"

enum { CORDON_MS = 5000 };

struct fixture {
    struct cluster cluster;
    struct cw_cordons *cordons;
    struct fake_store port;
    struct cw_follower *follower;
    uint64_t offset;
};

static void
on_changed(void *context)
{
    struct fixture *fixture = context;

    cw_owner_cordons_changed(fixture->cluster.owner);
}

static void
fixture_begin(struct fixture *fixture)
{
    struct cw_cordons_options options = {.codec = platform_codec(),
                                         .clock = &fixture->cluster.clock.base,
                                         .changed = on_changed,
                                         .context = fixture};

    memset(fixture, 0, sizeof(*fixture));
    cluster_begin(&fixture->cluster);
    cluster_put_racks_in_dcs(&fixture->cluster);
    fixture->cordons = cw_cordons_create(&options);
    fixture->cluster.owner->options.cordons = fixture->cordons;
}

/* Makes the fixture read cordons from a store, as a VM does. */
static void
follow_cordons(struct fixture *fixture)
{
    struct cw_follower_options options = {
        .name = "orders",
        .store = &fixture->port.base,
        .clock = &fixture->cluster.clock.base,
        .topic = platform_codec()->routing_topic,
        .wait_ms = 1000,
        .handler = {.reset = cw_cordons_reset,
                    .loaded = cw_cordons_loaded,
                    .record = cw_cordons_record,
                    .context = fixture->cordons}};

    fixture->port.base.ops = &fake_store_ops;
    fixture->port.model = store_model_create(1);
    fixture->follower = cw_follower_create(&options);
    cw_cordons_set_follower(fixture->cordons, fixture->follower);
    fixture->cluster.owner->options.cordon_ms = CORDON_MS;
}

static void
fixture_end(struct fixture *fixture)
{
    cluster_end(&fixture->cluster);
    cw_follower_free(fixture->follower);
    if (fixture->port.model != NULL) {
        store_model_free(fixture->port.model);
    }
    cw_cordons_free(fixture->cordons);
}

/* Applies an operator's record; `text` NULL: it is deleted. */
static void
apply_record(struct fixture *fixture, const char *key, const char *text)
{
    struct cw_store_record record = {.key = key,
                                     .value = text,
                                     .length = text != NULL ? strlen(text) : 0,
                                     .offset = ++fixture->offset};

    cw_cordons_record(fixture->cordons, &record);
}

static void
cordon(struct fixture *fixture)
{
    apply_record(fixture, "evacuate/d0", "{}");
    apply_record(fixture, "evacuate/d1", "{}");
}

static void
cordon_all(struct fixture *fixture)
{
    cordon(fixture);
    apply_record(fixture, "evacuate/d2", "{}");
}

static void
uncordon(struct fixture *fixture)
{
    apply_record(fixture, "evacuate/d0", NULL);
    apply_record(fixture, "evacuate/d1", NULL);
}

/* Returns the number of the job's runs in data centres other than d2. */
static unsigned
placed_in_cordoned_dcs(const struct owner_job *job)
{
    unsigned count = 0;

    for (unsigned i = 0; i < step_of(job)->count; i++) {
        const struct owner_target *target = worker_of(job, i);

        count += target != NULL && strcmp(target->dc, "d2") != 0;
    }
    return count;
}

/* Queues the starts of the job's runs, as if they had been stored. */
static void
queue_starts(struct cluster *cluster, struct owner_job *job)
{
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    for (unsigned i = 0; i < step_of(job)->count; i++) {
        struct owner_run *run = step_of(job)->tasks[i].run;
        struct cw_task_name name;

        if (run != NULL && run->phase < RUN_STARTING) {
            name = owner_task_name(run->task);
            run->phase = RUN_READY;
            owner_order_queue(cluster->owner, run->target, CW_ORDER_START,
                              &name, run->number);
        }
    }
}

/* Sends queued orders every millisecond; returns how many starts were sent to
 * data centres other than d2. */
static unsigned
starts_sent_to_cordoned_dcs(struct cluster *cluster, unsigned ms)
{
    unsigned sent = 0;

    for (unsigned passed = 0; passed < ms; passed++) {
        GHashTableIter iterator;
        gpointer value;

        cluster->clock.now = cw_time_add_ms(cluster->clock.now, 1);
        cluster->owner->ownership_confirmed_at = cluster->clock.now;
        g_hash_table_iter_init(&iterator, cluster->owner->targets);
        while (g_hash_table_iter_next(&iterator, NULL, &value)) {
            struct owner_target *target = value;

            last_order.kind = CW_ORDER_POLL;
            (void)owner_orders_send(cluster->owner, target,
                                    cluster->clock.now);
            sent += last_order.kind == CW_ORDER_START &&
                    strcmp(target->dc, "d2") != 0;
        }
    }
    return sent;
}

static const struct cw_step_spec all = {.tasks = RACKS * PER_RACK,
                                        .accelerators = ACCELERATORS};

/* Runs a job of priority 2, which may be preempted, on all accelerators. */
static struct owner_job *
fill_with_lower_priority_work(struct fixture *fixture)
{
    const struct cw_step_spec low = {.tasks = RACKS * PER_RACK,
                                     .accelerators = ACCELERATORS,
                                     .checkpoints = true};

    set_guarantee(&fixture->cluster, 0);
    return run_job(&fixture->cluster, 2, &low);
}

/* ---- records of cordons ---- */

static void
test_a_cordon_lasts_until_it_is_deleted(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    CU_ASSERT_TRUE(cw_cordons_permits_dc(fixture.cordons, "d0"));
    apply_record(&fixture, "evacuate/d0", "{}");
    fixture.cluster.clock.now = cw_time_add_ms(fixture.cluster.clock.now, 700);
    CU_ASSERT_FALSE(cw_cordons_permits_dc(fixture.cordons, "d0"));
    CU_ASSERT_TRUE(cw_cordons_permits_dc(fixture.cordons, "d1"));
    CU_ASSERT_EQUAL(
        cw_cordons_age_ms(fixture.cordons, "d0", fixture.cluster.clock.now),
        700);
    apply_record(&fixture, "evacuate/d0", "{}"); /* written again */
    CU_ASSERT_EQUAL(
        cw_cordons_age_ms(fixture.cordons, "d0", fixture.cluster.clock.now),
        700);
    apply_record(&fixture, "evacuate/d0", NULL);
    CU_ASSERT_TRUE(cw_cordons_permits_dc(fixture.cordons, "d0"));
    CU_ASSERT_EQUAL(
        cw_cordons_age_ms(fixture.cordons, "d0", fixture.cluster.clock.now),
        -1);
    fixture_end(&fixture);
}

/* Records with other keys are ignored.  A cordon counts whatever its value is,
 * also for an unknown data centre. */
static void
test_any_value_is_a_cordon_and_other_keys_are_ignored(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    apply_record(&fixture, "config", "{}");
    apply_record(&fixture, "evacuate/", "{}");
    apply_record(&fixture, "evacuate", "{}");
    apply_record(&fixture, "wave/3", "{}");
    CU_ASSERT_EQUAL(cw_cordons_count(fixture.cordons), 0);
    apply_record(&fixture, "evacuate/nowhere", "{}");
    apply_record(&fixture, "evacuate/d0", "\xff\x00[");
    CU_ASSERT_EQUAL(cw_cordons_count(fixture.cordons), 2);
    CU_ASSERT_FALSE(cw_cordons_permits_dc(fixture.cordons, "d0"));
    CU_ASSERT_TRUE(cw_cordons_permits_dc(fixture.cordons, "d1"));
    apply_record(&fixture, "evacuate/nowhere", NULL);
    apply_record(&fixture, "evacuate/nowhere", NULL);
    CU_ASSERT_EQUAL(cw_cordons_count(fixture.cordons), 1);
    fixture_end(&fixture);
}

/* A record may be received again after a newer one. */
static void
test_an_older_deletion_does_not_withdraw_a_cordon(void)
{
    struct fixture fixture;
    struct cw_store_record record = {.key = "evacuate/d0", .offset = 4};

    fixture_begin(&fixture);
    fixture.offset = 8;
    apply_record(&fixture, "evacuate/d0", "{}");
    cw_cordons_record(fixture.cordons, &record);
    CU_ASSERT_FALSE(cw_cordons_permits_dc(fixture.cordons, "d0"));
    record.offset = 12;
    cw_cordons_record(fixture.cordons, &record);
    CU_ASSERT_TRUE(cw_cordons_permits_dc(fixture.cordons, "d0"));
    fixture_end(&fixture);
}

/* A cordon that is not among the records of a full load has been withdrawn:
 * the store may have removed the record that withdrew it. */
static void
test_a_cordon_missing_in_a_load_is_withdrawn(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    cordon(&fixture);
    cw_cordons_reset(fixture.cordons);
    apply_record(&fixture, "evacuate/d1", "{}");
    CU_ASSERT_FALSE(cw_cordons_permits_dc(fixture.cordons, "d0"));
    cw_cordons_loaded(fixture.cordons);
    CU_ASSERT_TRUE(cw_cordons_permits_dc(fixture.cordons, "d0"));
    CU_ASSERT_FALSE(cw_cordons_permits_dc(fixture.cordons, "d1"));
    fixture_end(&fixture);
}

/* ---- placement ---- */

static void
test_nothing_is_placed_while_cordoned(void)
{
    struct fixture fixture;
    struct owner_job *job;

    fixture_begin(&fixture);
    cordon(&fixture);
    job = add_job(&fixture.cluster, 0, &all);
    pass(&fixture.cluster, 10);
    CU_ASSERT_EQUAL(placed(job), PER_RACK);
    CU_ASSERT_EQUAL(placed_in_cordoned_dcs(job), 0);
    uncordon(&fixture);
    CU_ASSERT_TRUE(fixture.cluster.owner->placement_wanted);
    pass(&fixture.cluster, 10);
    CU_ASSERT_EQUAL(placed(job), RACKS * PER_RACK);
    fixture_end(&fixture);
}

/* No run is preempted for capacity that must not be used, and jobs that have
 * been idle for too long are not placed there either. */
static void
test_nothing_is_preempted_or_borrowed_while_cordoned(void)
{
    const struct cw_step_spec gang = {.tasks = 2,
                                      .accelerators = 8,
                                      .gang = true,
                                      .same_rack = CW_SAME_RACK_FASTER};
    struct fixture fixture;
    struct owner_job *lower;
    struct owner_job *urgent;

    fixture_begin(&fixture);
    lower = fill_with_lower_priority_work(&fixture);
    CU_ASSERT_EQUAL(placed(lower), RACKS * PER_RACK);
    cordon_all(&fixture);
    set_guarantee(&fixture.cluster, 16);
    urgent = add_job(&fixture.cluster, 0, &gang);
    pass(&fixture.cluster, 10);
    pass(&fixture.cluster, 4000);
    CU_ASSERT_EQUAL(placed(urgent), 0);
    for (unsigned i = 0; i < step_of(lower)->count; i++) {
        CU_ASSERT_FALSE(step_of(lower)->tasks[i].run->stopping);
    }
    fixture_end(&fixture);
}

/* Work that runs in a cordoned data centre continues. */
static void
test_running_work_is_left_alone(void)
{
    struct fixture fixture;
    struct owner_job *job;

    fixture_begin(&fixture);
    job = run_job(&fixture.cluster, 0, &all);
    cordon(&fixture);
    pass(&fixture.cluster, 10);
    CU_ASSERT_EQUAL(placed(job), RACKS * PER_RACK);
    for (unsigned i = 0; i < step_of(job)->count; i++) {
        CU_ASSERT_FALSE(step_of(job)->tasks[i].run->stopping);
    }
    fixture_end(&fixture);
}

/* Lower-priority work may use those workers that are not cordoned, except the
 * headroom for urgent work. */
static void
test_cordoned_workers_are_no_headroom(void)
{
    const struct cw_step_spec burst = {.tasks = 2, .accelerators = 8};
    const struct cw_step_spec many_small = {.tasks = 96, .accelerators = 1};
    struct fixture fixture;
    struct owner_job *urgent;
    struct owner_job *low;
    unsigned hosts = 0;
    GHashTableIter iterator;
    gpointer value;

    fixture_begin(&fixture);
    cordon(&fixture);
    urgent = run_job(&fixture.cluster, 0, &burst);
    CU_ASSERT_EQUAL(placed(urgent), 2);
    low = add_job(&fixture.cluster, 2, &many_small);
    pass(&fixture.cluster, 10);
    g_hash_table_iter_init(&iterator, fixture.cluster.owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hosts += ((struct owner_target *)value)->lower_priority_runs > 0;
    }
    CU_ASSERT_EQUAL(placed_in_cordoned_dcs(low), 0);
    CU_ASSERT_TRUE(hosts <= PER_RACK - 2);
    fixture_end(&fixture);
}

/* ---- starts ---- */

/* Runs that were placed before the cordon are not started there. */
static void
test_a_first_start_is_withheld(void)
{
    struct fixture fixture;
    struct owner_job *job;

    fixture_begin(&fixture);
    job = add_job(&fixture.cluster, 0, &all);
    pass(&fixture.cluster, 10);
    CU_ASSERT_EQUAL(placed_in_cordoned_dcs(job), 2 * PER_RACK);
    queue_starts(&fixture.cluster, job);
    cordon(&fixture);
    CU_ASSERT_EQUAL(starts_sent_to_cordoned_dcs(&fixture.cluster, 50), 0);
    CU_ASSERT_EQUAL(placed_in_cordoned_dcs(job), 0);
    CU_ASSERT_EQUAL(placed(job), PER_RACK);
    fixture_end(&fixture);
}

/* A run whose state is being stored becomes ready after the cordon. */
static void
test_a_start_that_is_being_stored_is_withheld(void)
{
    struct fixture fixture;
    struct owner_job *job;

    fixture_begin(&fixture);
    job = add_job(&fixture.cluster, 0, &all);
    pass(&fixture.cluster, 10);
    for (unsigned i = 0; i < step_of(job)->count; i++) {
        step_of(job)->tasks[i].run->phase = RUN_COMMITTING;
    }
    cordon(&fixture);
    queue_starts(&fixture.cluster, job);
    CU_ASSERT_EQUAL(starts_sent_to_cordoned_dcs(&fixture.cluster, 50), 0);
    CU_ASSERT_EQUAL(placed_in_cordoned_dcs(job), 0);
    fixture_end(&fixture);
}

/* The start may have been carried out, so that the run is stopped. */
static void
test_a_start_without_an_answer_is_not_sent_again(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct fixture fixture;
    struct owner_job *job;

    fixture_begin(&fixture);
    apply_record(&fixture, "evacuate/d2", "{}");
    job = add_job(&fixture.cluster, 1, &one);
    pass(&fixture.cluster, 10);
    queue_starts(&fixture.cluster, job);
    CU_ASSERT_EQUAL(starts_sent_to_cordoned_dcs(&fixture.cluster, 1), 1);
    cordon(&fixture);
    answer_last(CW_TARGET_UNKNOWN);
    CU_ASSERT_EQUAL(starts_sent_to_cordoned_dcs(&fixture.cluster, 2000), 0);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->stopping);
    fixture_end(&fixture);
}

/* Members that were started before the cordon are stopped with the rest. */
static void
test_the_rest_of_a_gang_is_withheld(void)
{
    const struct cw_step_spec gang = {
        .tasks = 6, .accelerators = 8, .gang = true};
    struct fixture fixture;
    struct owner_job *job;

    fixture_begin(&fixture);
    apply_record(&fixture, "evacuate/d2", "{}");
    job = add_job(&fixture.cluster, 0, &gang);
    pass(&fixture.cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 6);
    step_of(job)->tasks[0].run->phase = RUN_RUNNING;
    queue_starts(&fixture.cluster, job);
    cordon(&fixture);
    CU_ASSERT_EQUAL(starts_sent_to_cordoned_dcs(&fixture.cluster, 50), 0);
    CU_ASSERT_TRUE(step_of(job)->tasks[0].run->stopping);
    CU_ASSERT_EQUAL(placed(job), 1); /* until its end is listed */
    fixture_end(&fixture);
}

/* The capacity that the run waits for is freed after the cordon. */
static void
test_a_reserved_run_is_given_up(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct fixture fixture;
    struct owner_job *lower;
    struct owner_job *urgent;

    fixture_begin(&fixture);
    lower = fill_with_lower_priority_work(&fixture);
    set_guarantee(&fixture.cluster, 16);
    urgent = add_job(&fixture.cluster, 0, &one);
    pass(&fixture.cluster, 10);
    CU_ASSERT_EQUAL_FATAL(placed(urgent), 1);
    CU_ASSERT_EQUAL(step_of(urgent)->tasks[0].run->phase, RUN_RESERVED);
    cordon_all(&fixture);
    CU_ASSERT_EQUAL(placed(urgent), 0);
    for (unsigned i = 0; i < step_of(lower)->count; i++) {
        if (step_of(lower)->tasks[i].run->stopping) {
            owner_run_drop(fixture.cluster.owner,
                           step_of(lower)->tasks[i].run);
        }
    }
    pass(&fixture.cluster, 10);
    CU_ASSERT_EQUAL(placed(urgent), 0);
    fixture_end(&fixture);
}

/* ---- a VM that has not read the cordons ---- */

/* Runs that an earlier owner has placed are started by the next one, which has
 * to read the cordons first. */
static void
test_starts_wait_until_cordons_were_read(void)
{
    struct fixture fixture;
    struct owner_job *job;

    fixture_begin(&fixture);
    job = add_job(&fixture.cluster, 0, &all);
    pass(&fixture.cluster, 10);
    follow_cordons(&fixture);
    queue_starts(&fixture.cluster, job);
    CU_ASSERT_EQUAL(starts_sent_to_cordoned_dcs(&fixture.cluster, 200), 0);
    CU_ASSERT_EQUAL(placed(job), RACKS * PER_RACK);
    cw_follower_tick(fixture.follower, fixture.cluster.clock.now);
    CU_ASSERT_EQUAL(starts_sent_to_cordoned_dcs(&fixture.cluster, 1),
                    2 * PER_RACK);
    fixture_end(&fixture);
}

/* Nothing is started if a cordon that was written while the store could not be
 * read may be older than the limit. */
static void
test_starts_wait_while_cordons_cannot_be_read(void)
{
    const struct cw_store_record record = {
        .key = "evacuate/d0", .value = "{}", .length = 2};
    const struct cw_store_append append = {
        .topic = "keyed.op", .records = &record, .count = 1};
    struct fixture fixture;
    struct owner_job *job;

    fixture_begin(&fixture);
    follow_cordons(&fixture);
    cw_follower_tick(fixture.follower, fixture.cluster.clock.now);
    fixture.port.answer_status = CW_STORE_UNKNOWN;
    store_model_append(fixture.port.model, &append);
    fixture.cluster.clock.now =
        cw_time_add_ms(fixture.cluster.clock.now, CORDON_MS - 500);
    job = add_job(&fixture.cluster, 0, &all);
    pass(&fixture.cluster, 1);
    queue_starts(&fixture.cluster, job);
    cw_follower_tick(fixture.follower, fixture.cluster.clock.now);
    CU_ASSERT_EQUAL(starts_sent_to_cordoned_dcs(&fixture.cluster, 1000), 0);
    CU_ASSERT_EQUAL(placed(job), RACKS * PER_RACK);
    fixture.port.answer_status = CW_STORE_OK;
    cw_follower_tick(fixture.follower, fixture.cluster.clock.now);
    CU_ASSERT_FALSE(cw_cordons_permits_dc(fixture.cordons, "d0"));
    /* d1 stays open. */
    CU_ASSERT_EQUAL(starts_sent_to_cordoned_dcs(&fixture.cluster, 1),
                    PER_RACK);
    fixture_end(&fixture);
}

static const struct test tests[] = {
    {"lasts", test_a_cordon_lasts_until_it_is_deleted},
    {"any value", test_any_value_is_a_cordon_and_other_keys_are_ignored},
    {"older", test_an_older_deletion_does_not_withdraw_a_cordon},
    {"load", test_a_cordon_missing_in_a_load_is_withdrawn},
    {"placement", test_nothing_is_placed_while_cordoned},
    {"reclaim", test_nothing_is_preempted_or_borrowed_while_cordoned},
    {"running work", test_running_work_is_left_alone},
    {"headroom", test_cordoned_workers_are_no_headroom},
    {"first start", test_a_first_start_is_withheld},
    {"being stored", test_a_start_that_is_being_stored_is_withheld},
    {"sent again", test_a_start_without_an_answer_is_not_sent_again},
    {"gang", test_the_rest_of_a_gang_is_withheld},
    {"reserved", test_a_reserved_run_is_given_up},
    {"next VM", test_starts_wait_until_cordons_were_read},
    {"cannot read", test_starts_wait_while_cordons_cannot_be_read},
};

TEST_MAIN("cordons", tests)

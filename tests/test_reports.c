/* Invalid entries in the list of workers, which has other writers. */
#include "test_main.h"

#include "owner_cluster.h"
#include "platform/platform.h"

static void
put_entry(struct cluster *cluster, const char *id, const char *text)
{
    struct cw_store_record record = {
        .key = id, .value = text, .length = strlen(text), .offset = 1};

    owner_target_apply_record(cluster->owner, &record);
}

static void
begin_with_codec(struct cluster *cluster)
{
    cluster_begin(cluster);
    cluster->owner->options.codec = platform_codec();
}

/* Each invalid entry is logged and counted once; other workers are not
 * affected. */
static void
test_invalid_entry_adds_no_worker(void)
{
    struct cluster cluster;
    guint before;

    begin_with_codec(&cluster);
    before = g_hash_table_size(cluster.owner->targets);
    put_entry(&cluster, "x1", "\xff\xfe");
    put_entry(&cluster, "x2", "{\"state\":\"ready\"}");
    CU_ASSERT_EQUAL(g_hash_table_size(cluster.owner->targets), before);
    CU_ASSERT_EQUAL(cw_count_get_code(&cluster.counters, CW_DROP_REPORT), 2);
    CU_ASSERT_TRUE(owner_target_usable(owner_target_get(cluster.owner, "w00"),
                                       cluster.clock.now));
    cluster_end(&cluster);
}

/* A worker's entry is overwritten: the worker gets no new work until it
 * reports again; its runs continue. */
static void
test_worker_with_overwritten_entry_gets_no_work(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct cluster cluster;
    struct owner_job *job;
    const struct owner_target *target;

    begin_with_codec(&cluster);
    job = run_job(&cluster, 1, &one);
    target = worker_of(job, 0);
    put_entry(&cluster, target->id, "{\"service\":7}");
    CU_ASSERT_FALSE(owner_target_usable(target, cluster.clock.now));
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* The worker is not polled, as no configured work could run there. */
static void
test_worker_of_unknown_service_is_not_polled(void)
{
    struct cluster cluster;
    struct cw_routing *routing = cw_routing_new();
    struct owner_target *target;

    begin_with_codec(&cluster);
    cw_routing_add_service(routing)->name = g_strdup("s");
    cw_routing_finish(routing);
    cw_owner_configure(cluster.owner, routing);
    cluster.owner->ownership_confirmed_at = cluster.clock.now;
    put_entry(&cluster, "x1",
              "{\"service\":\"other\",\"address\":\"10.0.0.9:80\","
              "\"zone\":\"z\",\"state\":\"ready\",\"capacity\":{}}");
    target = owner_target_get(cluster.owner, "x1");
    owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_FALSE(target->poll_in_flight);
    put_entry(&cluster, "x2",
              "{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
              "\"zone\":\"z\",\"state\":\"ready\",\"capacity\":{}}");
    target = owner_target_get(cluster.owner, "x2");
    owner_poll_tick(cluster.owner, target, cluster.clock.now);
    CU_ASSERT_TRUE(target->poll_in_flight);
    cw_routing_unref(routing);
    cluster_end(&cluster);
}

/* Guards against an owner that ends, or stops following the list, by one odd
 * entry among those of the workers. */
static void
test_odd_entries_leave_other_workers_alone(void)
{
    static const char *const odd[] = {
        "{\"service\":\"s\",\"address\":\"10.0.0.9:99999\",\"zone\":\"z\","
        "\"state\":\"ready\",\"capacity\":{\"gpus\":8}}",
        "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
        "\"state\":\"ready\",\"capacity\":{\"gpus\":9223372036854775807}}",
        "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
        "\"state\":\"ready\",\"capacity\":{\"cpu\":1e300}}",
    };
    struct cluster cluster;
    char id[256];

    begin_with_codec(&cluster);
    for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
        put_entry(&cluster, i == 0 ? "o0" : i == 1 ? "o1" : "o2", odd[i]);
    }
    put_entry(&cluster, "a\nb",
              "{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
              "\"zone\":\"z\",\"state\":\"ready\",\"capacity\":{}}");
    CU_ASSERT_EQUAL(cw_count_get_code(&cluster.counters, CW_DROP_REPORT),
                    G_N_ELEMENTS(odd) + 1);
    CU_ASSERT_EQUAL(g_hash_table_size(cluster.owner->targets),
                    RACKS * PER_RACK);
    /* Odd in members that are not needed: it is a worker. */
    memset(id, 'i', sizeof(id) - 1);
    id[sizeof(id) - 1] = '\0';
    put_entry(&cluster, id,
              "{\"service\":\"s\",\"address\":\"10.0.0.9:81\","
              "\"zone\":\"z\",\"state\":\"draining\","
              "\"remaining_ms\":9223372036854775807,\"clock_ms\":1e300,"
              "\"seq\":-1e300,\"capacity\":{\"gpus\":8}}");
    CU_ASSERT_EQUAL(g_hash_table_size(cluster.owner->targets),
                    RACKS * PER_RACK + 1);
    pass(&cluster, 10);
    CU_ASSERT_TRUE(owner_target_usable(owner_target_get(cluster.owner, "w00"),
                                       cluster.clock.now));
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"odd entries", test_odd_entries_leave_other_workers_alone},
    {"invalid", test_invalid_entry_adds_no_worker},
    {"overwritten", test_worker_with_overwritten_entry_gets_no_work},
    {"unknown service", test_worker_of_unknown_service_is_not_polled},
};

TEST_MAIN("reports", tests)

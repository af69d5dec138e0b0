/* Entries of the list of workers that other writers have made. */
#include "test_main.h"

#include "owner_site.h"
#include "platform/platform.h"

static void
put(struct site *site, const char *id, const char *text)
{
    struct cw_store_record record = {
        .key = id, .value = text, .length = strlen(text), .offset = 1};

    owner_target_apply_record(site->owner, &record);
}

static void
begin(struct site *site)
{
    site_begin(site);
    site->owner->options.codec = platform_codec();
}

/* One line and one count each; what is known of the others holds. */
static void
test_an_entry_that_cannot_be_read_adds_no_worker(void)
{
    struct site site;
    guint before;

    begin(&site);
    before = g_hash_table_size(site.owner->targets);
    put(&site, "x1", "\xff\xfe");
    put(&site, "x2", "{\"state\":\"ready\"}");
    CU_ASSERT_EQUAL(g_hash_table_size(site.owner->targets), before);
    CU_ASSERT_EQUAL(cw_count_get_code(&site.counters, CW_DROP_REPORT), 2);
    CU_ASSERT_TRUE(owner_target_usable(owner_target_get(site.owner, "w00"),
                                       site.clock.now));
    site_end(&site);
}

/* A worker's entry is written over: it takes no new work until it reports
 * again; what runs there goes on. */
static void
test_a_worker_whose_entry_is_spoilt_takes_nothing_new(void)
{
    const struct cw_step_spec one = {.tasks = 1, .accelerators = 8};
    struct site site;
    struct owner_job *job;
    const struct owner_target *target;

    begin(&site);
    job = run_job(&site, 1, &one);
    target = worker_of(job, 0);
    put(&site, target->id, "{\"service\":7}");
    CU_ASSERT_FALSE(owner_target_usable(target, site.clock.now));
    CU_ASSERT_EQUAL(placed(job), 1);
    site_end(&site);
}

/* Its address is not called: nothing that is configured could run there. */
static void
test_a_worker_of_an_unknown_service_is_not_called(void)
{
    struct site site;
    struct cw_routing *routing = cw_routing_new();
    struct owner_target *target;

    begin(&site);
    cw_routing_add_service(routing)->name = g_strdup("s");
    cw_routing_finish(routing);
    cw_owner_configure(site.owner, routing);
    site.owner->ownership_confirmed_at = site.clock.now;
    put(&site, "x1",
        "{\"service\":\"other\",\"address\":\"10.0.0.9:80\","
        "\"zone\":\"z\",\"state\":\"ready\",\"capacity\":{}}");
    target = owner_target_get(site.owner, "x1");
    owner_poll_tick(site.owner, target, site.clock.now);
    CU_ASSERT_FALSE(target->poll_in_flight);
    put(&site, "x2",
        "{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
        "\"zone\":\"z\",\"state\":\"ready\",\"capacity\":{}}");
    target = owner_target_get(site.owner, "x2");
    owner_poll_tick(site.owner, target, site.clock.now);
    CU_ASSERT_TRUE(target->poll_in_flight);
    cw_routing_unref(routing);
    site_end(&site);
}

static const struct test tests[] = {
    {"unreadable", test_an_entry_that_cannot_be_read_adds_no_worker},
    {"spoilt", test_a_worker_whose_entry_is_spoilt_takes_nothing_new},
    {"unknown service", test_a_worker_of_an_unknown_service_is_not_called},
};

TEST_MAIN("reports", tests)

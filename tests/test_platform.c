/* Tests of the adapter that decodes the platform's records and the bodies of
 * jobs. */
#include "test_main.h"

#include <string.h>

#include "platform/platform.h"

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h.example\","
    "\"path_prefix\":\"/p/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":250,\"priority\":0,\"service\":\"s1\","
    "\"max_attempts\":4,\"stretch\":1.5,\"public\":false}],"
    "\"services\":[{\"name\":\"s1\",\"enforces_capacity\":true}],"
    "\"limits\":{\"max_body_bytes\":1000},\"tenants\":[{\"name\":\"t\","
    "\"api_keys\":[\"k\"],\"guaranteed\":{\"gpus\":72}}],\"unknown\":1}";

static void
test_a_configuration_is_decoded_completely(void)
{
    char problem[64] = "";
    struct cw_routing *routing = platform_codec()->decode_routing(
        config, strlen(config), problem, sizeof(problem));
    const struct cw_queue *queue;

    CU_ASSERT_PTR_NOT_NULL_FATAL(routing);
    queue = cw_routing_find_queue(routing, "h.example", "/p/1");
    CU_ASSERT_PTR_NOT_NULL_FATAL(queue);
    CU_ASSERT_EQUAL(routing->version, 7);
    CU_ASSERT_EQUAL(routing->body_bytes_max, 1000);
    CU_ASSERT_EQUAL(queue->stretch_milli, 1500);
    CU_ASSERT_EQUAL(queue->max_attempts, 4);
    CU_ASSERT_EQUAL(
        cw_routing_account_by_key(routing, "k")->guaranteed_accelerators, 72);
    CU_ASSERT_TRUE(
        cw_routing_service_by_name(routing, "s1")->enforces_capacity);
    cw_routing_unref(routing);
}

/* Guards against a configuration that is ignored, or taken for another one, as
 * its version is beyond the integers that a real can hold. */
static void
test_large_versions_are_told_apart(void)
{
    static const char *const texts[] = {"{\"version\":1796432045165000001}",
                                        "{\"version\":1796432045165000002}"};
    uint64_t versions[G_N_ELEMENTS(texts)];
    char problem[64] = "";

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct cw_routing *routing = platform_codec()->decode_routing(
            texts[i], strlen(texts[i]), problem, sizeof(problem));

        CU_ASSERT_PTR_NOT_NULL_FATAL(routing);
        versions[i] = routing->version;
        cw_routing_unref(routing);
    }
    CU_ASSERT_EQUAL(versions[0] + 1, versions[1]);
}

static void
test_an_invalid_configuration_is_refused(void)
{
    static const char *const bad[] = {
        "", "[]", "{", "{\"version\":0}", "{\"version\":\"x\"}", "null"};
    char problem[64] = "";

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        CU_ASSERT_PTR_NULL(platform_codec()->decode_routing(
            bad[i], strlen(bad[i]), problem, sizeof(problem)));
        CU_ASSERT_NOT_EQUAL(problem[0], '\0');
    }
}

static void
check_report(void *context, const struct cw_target_report *report)
{
    bool *seen = context;

    *seen = true;
    CU_ASSERT_STRING_EQUAL(report->id, "i-1");
    CU_ASSERT_STRING_EQUAL(report->rack, "r1-3");
    CU_ASSERT_STRING_EQUAL(report->kind, "a");
    CU_ASSERT_EQUAL(report->capacity.accelerators, 8);
    CU_ASSERT_TRUE(report->draining);
    CU_ASSERT_EQUAL(report->remaining_ms, 1500);
    CU_ASSERT_EQUAL(report->clock_ms, 482113);
    CU_ASSERT_EQUAL(report->sequence, 4);
}

static void
test_a_worker_s_report_is_decoded(void)
{
    static const char text[] =
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"state\":\"draining\",\"remaining_ms\":1500,\"capacity\":{\"cpu\":"
        "32000,\"mem_mb\":1024,\"gpus\":8},\"labels\":[\"a\",\"r1-3\"],"
        "\"clock_ms\":482113,\"seq\":4}";
    bool seen = false;

    CU_ASSERT_TRUE(platform_codec()->decode_target("i-1", text, strlen(text),
                                                   check_report, &seen));
    CU_ASSERT_TRUE(seen);
    CU_ASSERT_FALSE(
        platform_codec()->decode_target("i-1", "[]", 2, check_report, &seen));
}

static void
count_report(void *context, const struct cw_target_report *report)
{
    (void)report;
    (*(unsigned *)context)++;
}

/* Entries of writers other than workers must not be decoded as workers: a
 * member is missing or of another type, the state is not one of the two, or
 * the value is not JSON. */
static void
test_an_entry_of_another_writer_is_ignored(void)
{
    static const char whole[] =
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"state\":\"ready\",\"capacity\":{\"cpu\":32000,\"gpus\":8}}";
    static const char *const changes[][2] = {
        {"\"service\":\"s\",", ""},
        {"\"service\":\"s\"", "\"service\":7"},
        {"\"address\":\"10.0.0.1:80\",", ""},
        {"\"10.0.0.1:80\"", "[\"10.0.0.1:80\"]"},
        {"10.0.0.1:80", "nowhere"},
        {"\"zone\":\"z\",", ""},
        {"\"zone\":\"z\"", "\"zone\":null"},
        {"\"state\":\"ready\",", ""},
        {"\"ready\"", "\"warming\""},
        {"\"ready\"", "true"},
        {",\"capacity\":{\"cpu\":32000,\"gpus\":8}", ""},
        {"{\"cpu\":32000,\"gpus\":8}", "\"much\""},
        {"32000", "\"32000\""},
        {"\"gpus\":8", "\"gpus\":-8"},
        {"}}", "}"},
        {"{\"service\"", "\xff\xfe{\"service\""},
        {"10.0.0.1:80", "10.0.0.1:80000"},
        {"10.0.0.1:80", "10.0.0.1:4294967376"},
        {"10.0.0.1:80", "10.0.0.1:0"},
        {"10.0.0.1:80", "10.0.0.1:-80"},
        {"10.0.0.1:80", "10.0.0.1:80/x"},
        {"10.0.0.1:80", "10.0.0.1:80\\r\\nX: y"},
        {"10.0.0.1:80", "host:80"},
        {"10.0.0.1:80", "a@10.0.0.1:80"},
        {"32000", "1e300"},
        {"32000", "9223372036854775807"},
        {"32000", "99999999999999999999"},
        {"\"gpus\":8", "\"gpus\":4294967296"},
    };
    const struct cw_codec *codec = platform_codec();
    unsigned count = 0;

    CU_ASSERT_TRUE(codec->decode_target("i-1", whole, strlen(whole),
                                        count_report, &count));
    CU_ASSERT_EQUAL(count, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
        char **parts = g_strsplit(whole, changes[i][0], 2);
        char *text = g_strjoinv(changes[i][1], parts);

        CU_ASSERT_PTR_NOT_NULL(parts[1]);
        CU_ASSERT_FALSE(codec->decode_target("i-1", text, strlen(text),
                                             count_report, &count));
        g_strfreev(parts);
        g_free(text);
    }
    CU_ASSERT_EQUAL(count, 1);
}

static void
keep_report(void *context, const struct cw_target_report *report)
{
    *(struct cw_target_report *)context = *report;
}

/* Guards against numbers of a report that overflow when a time is added to
 * them: they count as unknown, and the worker as present. */
static void
test_odd_numbers_of_a_report_are_unknown(void)
{
    static const char *const odd[] = {
        "1e300", "-1e300", "9223372036854775807", "-9223372036854775808",
        "-1",    "\"7\""};

    for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
        char *text = g_strdup_printf(
            "{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
            "\"zone\":\"z\",\"state\":\"ready\",\"capacity\":{},"
            "\"labels\":[7,[\"r\"]],\"remaining_ms\":%s,\"clock_ms\":%s,"
            "\"born\":%s,\"seq\":%s}",
            odd[i], odd[i], odd[i], odd[i]);
        struct cw_target_report report = {0};

        CU_ASSERT_TRUE(platform_codec()->decode_target(
            "i-1", text, strlen(text), keep_report, &report));
        CU_ASSERT_EQUAL(report.remaining_ms, 0);
        CU_ASSERT_EQUAL(report.clock_ms, 0);
        CU_ASSERT_EQUAL(report.boot_ms, 0);
        CU_ASSERT_EQUAL(report.sequence, 0);
        g_free(text);
    }
}

/* Guards against an entry that is nested so deeply that reading it takes all
 * of the stack, and against ids that cannot be sent in an order. */
static void
test_odd_entries_are_refused(void)
{
    enum { DEPTH = 1000000 };
    static const char *const ids[] = {"", "i-1\r\nX: y", "i\t1", "\x7f"};
    static const char whole[] =
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"state\":\"ready\",\"capacity\":{}}";
    char *nested = g_malloc(DEPTH);
    struct cw_target_report report = {0};

    for (size_t depth = 10; depth <= DEPTH; depth *= 10) {
        memset(nested, '[', depth);
        CU_ASSERT_FALSE(platform_codec()->decode_target("i-1", nested, depth,
                                                        keep_report, &report));
        memset(nested + depth / 2, ']', depth - depth / 2);
        CU_ASSERT_FALSE(platform_codec()->decode_target("i-1", nested, depth,
                                                        keep_report, &report));
    }
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        CU_ASSERT_FALSE(platform_codec()->decode_target(
            ids[i], whole, strlen(whole), keep_report, &report));
    }
    g_free(nested);
}

static bool
decode(const char *text, struct cw_work_spec *spec)
{
    char problem[128] = "";

    memset(spec, 0, sizeof(*spec));
    return CW_OK == platform_decode_job(text, strlen(text), spec, problem,
                                        sizeof(problem));
}

static void
clear_spec(struct cw_work_spec *spec)
{
    xdr_free((xdrproc_t)xdr_cw_work_spec, (char *)spec);
}

static void
test_a_job_is_decoded_with_its_steps(void)
{
    struct cw_work_spec spec;
    const struct cw_step_spec *step;

    CU_ASSERT_TRUE_FATAL(decode(
        "{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
        "\"estimate_ms\":900,\"data_rack\":\"r1-3\"},{\"count\":20,\"gpus\":2,"
        "\"after\":[0],\"gang\":true,\"same_rack\":true,\"checkpoints\":true,"
        "\"anti_affinity\":2,\"required_labels\":\"a\"}],\"repeat_count\":3,"
        "\"start_at_ms\":1000,\"interval_ms\":2000}",
        &spec));
    CU_ASSERT_EQUAL(spec.steps.steps_len, 2);
    CU_ASSERT_EQUAL(spec.repeats, 3);
    CU_ASSERT_STRING_EQUAL(spec.steps.steps_val[0].data_rack, "r1-3");
    step = &spec.steps.steps_val[1];
    CU_ASSERT_TRUE(step->gang && step->same_rack && step->checkpoints);
    CU_ASSERT_EQUAL(step->after.after_len, 1);
    CU_ASSERT_EQUAL(step->most_per_worker, 2);
    CU_ASSERT_STRING_EQUAL(step->label, "a");
    clear_spec(&spec);
}

static void
test_an_invalid_job_is_refused(void)
{
    static const char *const bad[] = {"",
                                      "{}",
                                      "[]",
                                      "{\"steps\":[]}",
                                      "{\"steps\":{}}",
                                      "{\"steps\":[1]}",
                                      "{\"steps\":[{\"count\":1}]"};
    struct cw_work_spec spec;

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        CU_ASSERT_FALSE(decode(bad[i], &spec));
        clear_spec(&spec);
    }
}

/* A need that is too large must not be taken for none: it is kept at the
 * largest value. */
static void
test_numbers_out_of_range_are_bounded(void)
{
    struct cw_work_spec spec;

    CU_ASSERT_TRUE(decode("{\"steps\":[{\"count\":-3,\"cpu\":1e30,"
                          "\"after\":\"x\"}]}",
                          &spec));
    CU_ASSERT_EQUAL(spec.steps.steps_val[0].tasks, 0);
    CU_ASSERT_EQUAL(spec.steps.steps_val[0].cpu_milli, G_MAXINT);
    clear_spec(&spec);
}

static const struct test tests[] = {
    {"configuration", test_a_configuration_is_decoded_completely},
    {"large versions", test_large_versions_are_told_apart},
    {"invalid configuration", test_an_invalid_configuration_is_refused},
    {"report", test_a_worker_s_report_is_decoded},
    {"other writer", test_an_entry_of_another_writer_is_ignored},
    {"odd numbers", test_odd_numbers_of_a_report_are_unknown},
    {"odd entries", test_odd_entries_are_refused},
    {"job", test_a_job_is_decoded_with_its_steps},
    {"invalid job", test_an_invalid_job_is_refused},
    {"numbers", test_numbers_out_of_range_are_bounded},
};

TEST_MAIN("platform", tests)

/* Configuration bundles: schema, checks, jobs that can never run, routing
 * data, plans of guarantees, tokens and differences. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_bundle.h"
#include "curlewcart/cw_work.h"

#define DCS_AND_WORKERS                                                       \
    "dcs:\n  - {name: d0}\n  - {name: d1}\n"                                  \
    "workers:\n"                                                              \
    "  - {name: w0, dc: d0, rack: r0, address: x, accelerators: 8, cores: "   \
    "30, memory_mb: 1000, slots: 4, connections: 9}\n"                        \
    "  - {name: w1, dc: d0, rack: r0, address: x, accelerators: 8, cores: "   \
    "30, memory_mb: 1000, slots: 4, connections: 9}\n"                        \
    "  - {name: w2, dc: d1, rack: r1, address: x, accelerators: 8, cores: "   \
    "30, memory_mb: 1000, slots: 4, connections: 9}\n"
#define ZERO_HASH                                                             \
    "\"0000000000000000000000000000000000000000000000000000000000000000\""
#define ACCOUNT(name, dcs, guarantees)                                        \
    "  - {name: " name ", token_hash: " ZERO_HASH ", dcs: [" dcs              \
    "], guarantees: [" guarantees "]}\n"
#define OPERATORS "operators:\n  - {name: op, public_key: " ZERO_HASH "}\n"

static struct cw_bundle *
parse(const char *text, GString *problems)
{
    return cw_bundle_parse(text, strlen(text), problems);
}

static void
test_accepts_a_valid_bundle(void)
{
    GString *problems = g_string_new(NULL);
    struct cw_bundle *bundle =
        parse(DCS_AND_WORKERS
              "accounts:\n" ACCOUNT("a", "d0, d1", "{dc: d0, accelerators: 8}")
                  OPERATORS,
              problems);

    CU_ASSERT_PTR_NOT_NULL_FATAL(bundle);
    CU_ASSERT_EQUAL(problems->len, 0);
    CU_ASSERT_EQUAL(cw_bundle_account_guarantee(
                        cw_bundle_account_by_name(bundle, "a"), "d0"),
                    8);
    cw_bundle_unref(bundle);
    g_string_free(problems, TRUE);
}

static void
expect_rejected(const char *text, const char *expected)
{
    GString *problems = g_string_new(NULL);
    struct cw_bundle *bundle = parse(text, problems);

    CU_ASSERT_PTR_NULL(bundle);
    CU_ASSERT_PTR_NOT_NULL(strstr(problems->str, expected));
    if (strstr(problems->str, expected) == NULL) {
        printf("expected \"%s\" in: %s\n", expected, problems->str);
    }
    cw_bundle_unref(bundle);
    g_string_free(problems, TRUE);
}

static void
test_rejection_names_the_field(void)
{
    expect_rejected("", "empty");
    expect_rejected("# only a comment\n", "empty");
    expect_rejected(DCS_AND_WORKERS "accounts: []\ncolour: red\n" OPERATORS,
                    "colour");
    expect_rejected(DCS_AND_WORKERS "accounts:\n" ACCOUNT("a", "", "")
                        OPERATORS,
                    "no data centre permitted");
    expect_rejected(DCS_AND_WORKERS "accounts:\n" ACCOUNT("a", "d9", "")
                        OPERATORS,
                    "\"d9\"");
    expect_rejected(DCS_AND_WORKERS "accounts:\n" ACCOUNT(
                        "a", "d0", "{dc: d1, accelerators: 1}") OPERATORS,
                    "not among its dcs");
    expect_rejected(DCS_AND_WORKERS "accounts:\n" ACCOUNT("a", "d0", "")
                        ACCOUNT("a", "d0", "") OPERATORS,
                    "twice");
    expect_rejected("policy: {signatures: 2}\n" DCS_AND_WORKERS
                    "accounts: []\n" OPERATORS,
                    "only 1 operators");
}

static void
test_rejects_guarantees_that_exceed_capacity(void)
{
    expect_rejected(
        DCS_AND_WORKERS
        "accounts:\n" ACCOUNT("a", "d0", "{dc: d0, accelerators: 9}")
            ACCOUNT("b", "d0", "{dc: d0, accelerators: 8}") OPERATORS,
        "cannot be held");
    expect_rejected("policy: {spare_workers: 1}\n" DCS_AND_WORKERS
                    "accounts:\n" ACCOUNT(
                        "a", "d0", "{dc: d0, accelerators: 9}") OPERATORS,
                    "cannot be held");
    expect_rejected(
        DCS_AND_WORKERS "accounts:\n" ACCOUNT(
            "a", "d0", "{dc: d0, accelerators: 17, rack_block: 17}") OPERATORS,
        "cannot be held");
}

/* Checks a job of one gang, restricted to `dc` unless that is NULL. */
static enum cw_result
check_gang(const struct cw_bundle *bundle, unsigned tasks,
           unsigned accelerators, enum cw_same_rack same_rack, const char *dc)
{
    struct cw_step_spec step = {.tasks = tasks,
                                .accelerators = accelerators,
                                .gang = true,
                                .same_rack = same_rack,
                                .cpu_milli = 1000};
    char *name = (char *)dc;
    struct cw_work_spec spec = {
        .account = (char *)"a",
        .steps = {.steps_len = 1, .steps_val = &step},
        .dcs = {.dcs_len = dc != NULL, .dcs_val = &name},
    };

    return cw_bundle_check_fit(bundle, &spec);
}

/* Guards against refusing a gang that is only slower across racks because no
 * single rack can hold it. */
static void
test_a_gang_that_is_slower_across_racks_fits_into_several(void)
{
    struct cw_bundle *bundle =
        parse(DCS_AND_WORKERS
              "  - {name: w3, dc: d0, rack: r2, address: x, accelerators: 8, "
              "cores: 30, memory_mb: 1000, slots: 4, connections: 9}\n"
              "accounts:\n" ACCOUNT("a", "d0", "") OPERATORS,
              NULL);

    CU_ASSERT_EQUAL(check_gang(bundle, 9, 1, CW_SAME_RACK_FASTER, NULL),
                    CW_OK);
    CU_ASSERT_EQUAL(check_gang(bundle, 9, 1, CW_SAME_RACK_REQUIRED, NULL),
                    CW_REF_RACK);
    cw_bundle_unref(bundle);
}

static void
test_refusal_names_missing_capacity(void)
{
    struct cw_bundle *bundle = parse(
        DCS_AND_WORKERS "accounts:\n" ACCOUNT("a", "d0", "") OPERATORS, NULL);

    CU_ASSERT_EQUAL(check_gang(bundle, 1, 1, CW_SAME_RACK_ANY, NULL), CW_OK);
    CU_ASSERT_EQUAL(check_gang(bundle, 1, 1, CW_SAME_RACK_ANY, "d0"), CW_OK);
    CU_ASSERT_EQUAL(check_gang(bundle, 17, 1, CW_SAME_RACK_ANY, NULL),
                    CW_REF_GANG);
    CU_ASSERT_EQUAL(check_gang(bundle, 17, 1, CW_SAME_RACK_REQUIRED, NULL),
                    CW_REF_RACK);
    CU_ASSERT_EQUAL(check_gang(bundle, 1, 9, CW_SAME_RACK_ANY, NULL),
                    CW_REF_WORKER);
    CU_ASSERT_EQUAL(check_gang(bundle, 1, 1, CW_SAME_RACK_ANY, "d1"),
                    CW_REF_NO_DC);
    cw_bundle_unref(bundle);
}

static void
test_routing_has_dcs_and_guarantees(void)
{
    struct cw_bundle *bundle = parse(
        DCS_AND_WORKERS "accounts:\n" ACCOUNT(
            "a", "d0, d1",
            "{dc: d0, accelerators: 4}, {dc: d1, accelerators: 3}") OPERATORS,
        NULL);
    struct cw_routing *routing = cw_bundle_routing(bundle, "s");
    const struct cw_account *account =
        cw_routing_account_by_name(routing, "a");

    CU_ASSERT_EQUAL(account->guaranteed_accelerators, 7);
    CU_ASSERT_TRUE(cw_routing_account_permits_dc(routing, "a", "d1"));
    CU_ASSERT_FALSE(cw_routing_account_permits_dc(routing, "a", "d2"));
    CU_ASSERT_FALSE(cw_routing_account_permits_dc(routing, "b", "d0"));
    CU_ASSERT_TRUE(cw_routing_dc_is_open(routing, "d0"));
    cw_routing_unref(routing);
    cw_bundle_unref(bundle);
}

static void
test_token_is_checked(void)
{
    unsigned char hash[CW_HASH_BYTES];
    char hex[2 * CW_HASH_BYTES + 1];
    struct cw_account_def account = {.token_hash = hex};

    crypto_generichash(hash, sizeof(hash), (const unsigned char *)"secret", 6,
                       NULL, 0);
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    CU_ASSERT_TRUE(cw_bundle_token_ok(&account, "secret"));
    CU_ASSERT_FALSE(cw_bundle_token_ok(&account, "secre"));
    CU_ASSERT_FALSE(cw_bundle_token_ok(&account, ""));
}

static void
test_diff_lists_changes(void)
{
    struct cw_bundle *before = parse(
        DCS_AND_WORKERS "accounts:\n" ACCOUNT("a", "d0, d1", "") OPERATORS,
        NULL);
    struct cw_bundle *after =
        parse(DCS_AND_WORKERS
              "accounts:\n" ACCOUNT("a", "d0", "{dc: d0, accelerators: 4}")
                  OPERATORS,
              NULL);
    GString *text = g_string_new(NULL);

    cw_bundle_diff(before, after, text);
    CU_ASSERT_PTR_NOT_NULL(strstr(text->str, "d1 no longer permitted"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text->str, "d0 0 -> 4"));
    g_string_free(text, TRUE);
    cw_bundle_unref(before);
    cw_bundle_unref(after);
}

static const struct test tests[] = {
    {"across racks",
     test_a_gang_that_is_slower_across_racks_fits_into_several},
    {"accepts a valid bundle", test_accepts_a_valid_bundle},
    {"rejection names the field", test_rejection_names_the_field},
    {"rejects guarantees that exceed capacity",
     test_rejects_guarantees_that_exceed_capacity},
    {"routing has data centres and guarantees",
     test_routing_has_dcs_and_guarantees},
    {"refusal names missing capacity", test_refusal_names_missing_capacity},
    {"token is checked", test_token_is_checked},
    {"diff lists changes", test_diff_lists_changes},
};

TEST_MAIN("bundle", tests)

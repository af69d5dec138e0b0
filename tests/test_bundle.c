/* Bundles: schema, checks, homes, plans of guarantees. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_bundle.h"

#define HEAD                                                                  \
    "dcs:\n  - {name: d0}\n  - {name: d1}\n"                                  \
    "workers:\n"                                                              \
    "  - {name: w0, dc: d0, rack: r0, address: x, accelerators: 8, cores: "   \
    "30, memory_mb: 1000, slots: 4, connections: 9}\n"                        \
    "  - {name: w1, dc: d0, rack: r0, address: x, accelerators: 8, cores: "   \
    "30, memory_mb: 1000, slots: 4, connections: 9}\n"                        \
    "  - {name: w2, dc: d1, rack: r1, address: x, accelerators: 8, cores: "   \
    "30, memory_mb: 1000, slots: 4, connections: 9}\n"
#define HASH                                                                  \
    "\"0000000000000000000000000000000000000000000000000000000000000000\""
#define ACCOUNT(name, dcs, guarantees)                                        \
    "  - {name: " name ", token_hash: " HASH ", dcs: [" dcs                   \
    "], guarantees: [" guarantees "]}\n"
#define TAIL "operators:\n  - {name: op, public_key: " HASH "}\n"

static struct cw_bundle *
parse(const char *text, GString *problems)
{
    return cw_bundle_parse(text, strlen(text), problems);
}

static void
test_takes_a_good_bundle(void)
{
    GString *problems = g_string_new(NULL);
    struct cw_bundle *bundle =
        parse(HEAD "accounts:\n" ACCOUNT("a", "d0, d1",
                                         "{dc: d0, accelerators: 8}") TAIL,
              problems);

    CU_ASSERT_PTR_NOT_NULL_FATAL(bundle);
    CU_ASSERT_EQUAL(problems->len, 0);
    CU_ASSERT_EQUAL(cw_bundle_guarantee(cw_bundle_account(bundle, "a"), "d0"),
                    8);
    cw_bundle_unref(bundle);
    g_string_free(problems, TRUE);
}

static void
refuses(const char *text, const char *part)
{
    GString *problems = g_string_new(NULL);
    struct cw_bundle *bundle = parse(text, problems);

    CU_ASSERT_PTR_NULL(bundle);
    CU_ASSERT_PTR_NOT_NULL(strstr(problems->str, part));
    if (strstr(problems->str, part) == NULL) {
        printf("expected \"%s\" in: %s\n", part, problems->str);
    }
    cw_bundle_unref(bundle);
    g_string_free(problems, TRUE);
}

static void
test_refuses_and_says_where(void)
{
    refuses("", "empty");
    refuses("# only a comment\n", "empty");
    refuses(HEAD "accounts: []\ncolour: red\n" TAIL, "colour");
    refuses(HEAD "accounts:\n" ACCOUNT("a", "", "") TAIL,
            "no data centre permitted");
    refuses(HEAD "accounts:\n" ACCOUNT("a", "d9", "") TAIL, "\"d9\"");
    refuses(HEAD "accounts:\n" ACCOUNT("a", "d0", "{dc: d1, accelerators: 1}")
                TAIL,
            "not among its dcs");
    refuses(HEAD "accounts:\n" ACCOUNT("a", "d0", "") ACCOUNT("a", "d0", "")
                TAIL,
            "twice");
    refuses("policy: {signatures: 2}\n" HEAD "accounts: []\n" TAIL,
            "only 1 operators");
}

static void
test_refuses_guarantees_that_do_not_fit_together(void)
{
    refuses(HEAD "accounts:\n" ACCOUNT("a", "d0", "{dc: d0, accelerators: 9}")
                ACCOUNT("b", "d0", "{dc: d0, accelerators: 8}") TAIL,
            "cannot be held");
    refuses("policy: {spare_workers: 1}\n" HEAD
            "accounts:\n" ACCOUNT("a", "d0", "{dc: d0, accelerators: 9}") TAIL,
            "cannot be held");
    refuses(HEAD "accounts:\n" ACCOUNT(
                "a", "d0", "{dc: d0, accelerators: 17, rack_block: 17}") TAIL,
            "cannot be held");
}

/* A job of one gang; `dc` narrows it, NULL does not. */
static enum cw_result
fits(const struct cw_bundle *bundle, unsigned tasks, unsigned accelerators,
     bool same_rack, const char *dc)
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

    return cw_bundle_fits(bundle, &spec);
}

static void
test_what_never_fits_is_named(void)
{
    struct cw_bundle *bundle =
        parse(HEAD "accounts:\n" ACCOUNT("a", "d0", "") TAIL, NULL);

    CU_ASSERT_EQUAL(fits(bundle, 1, 1, false, NULL), CW_OK);
    CU_ASSERT_EQUAL(fits(bundle, 1, 1, false, "d0"), CW_OK);
    CU_ASSERT_EQUAL(fits(bundle, 17, 1, false, NULL), CW_REF_GANG);
    CU_ASSERT_EQUAL(fits(bundle, 17, 1, true, NULL), CW_REF_RACK);
    CU_ASSERT_EQUAL(fits(bundle, 1, 9, false, NULL), CW_REF_WORKER);
    CU_ASSERT_EQUAL(fits(bundle, 1, 1, false, "d1"), CW_REF_NO_DC);
    cw_bundle_unref(bundle);
}

static void
test_the_scheduler_hears_of_places_and_guarantees(void)
{
    struct cw_bundle *bundle =
        parse(HEAD "accounts:\n" ACCOUNT(
                  "a", "d0, d1",
                  "{dc: d0, accelerators: 4}, {dc: d1, accelerators: 3}") TAIL,
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
test_diff_says_what_changes(void)
{
    struct cw_bundle *before =
        parse(HEAD "accounts:\n" ACCOUNT("a", "d0, d1", "") TAIL, NULL);
    struct cw_bundle *after =
        parse(HEAD "accounts:\n" ACCOUNT("a", "d0",
                                         "{dc: d0, accelerators: 4}") TAIL,
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
    {"takes a good bundle", test_takes_a_good_bundle},
    {"refuses and says where", test_refuses_and_says_where},
    {"guarantees must fit together",
     test_refuses_guarantees_that_do_not_fit_together},
    {"the scheduler hears of places and guarantees",
     test_the_scheduler_hears_of_places_and_guarantees},
    {"what never fits is named", test_what_never_fits_is_named},
    {"token is checked", test_token_is_checked},
    {"diff says what changes", test_diff_says_what_changes},
};

TEST_MAIN("bundle", tests)

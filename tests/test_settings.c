/* Settings of a VM: valid files are loaded, and files with an invalid value
 * are rejected with a message. */
#include "test_main.h"

#include <glib/gstdio.h>
#include <string.h>

#include "curlewcart/cw_settings.h"
#include "platform/platform.h"

static const char valid_settings[] = "vm: \"v1\"\n"
                                     "dc: \"z1\"\n"
                                     "listen:\n"
                                     "    callers: \"10.1.0.19:8521\"\n"
                                     "    ready: \"10.1.0.19:8523\"\n"
                                     "    inner: \"10.1.0.19:7000\"\n"
                                     "store: \"10.200.1.7:8524\"\n"
                                     "bounds:\n"
                                     "    lease_ms: 10000\n"
                                     "    grace_s: 6\n"
                                     "    retain_s: 120\n"
                                     "    member_ttl_ms: 1000\n"
                                     "log_level: info\n";

/* Loads settings from a text; problems replace the contents of `problems`. */
static struct cw_settings *
load_text(const char *text, GString *problems)
{
    char *path = NULL;
    int fd = g_file_open_tmp("cw-settings-XXXXXX", &path, NULL);
    struct cw_settings *settings;

    g_string_truncate(problems, 0);
    g_close(fd, NULL);
    g_file_set_contents(path, text, -1, NULL);
    settings = cw_settings_load(path, problems);
    g_unlink(path);
    g_free(path);
    return settings;
}

/* Returns valid_settings with the first `from` replaced by `to`. */
static char *
with_replacement(const char *from, const char *to)
{
    char **parts = g_strsplit(valid_settings, from, 2);
    char *text = g_strjoinv(to, parts);

    g_strfreev(parts);
    return text;
}

static void
test_valid_settings_are_accepted(void)
{
    GString *problems = g_string_new(NULL);
    struct cw_settings *settings = load_text(valid_settings, problems);

    CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
    CU_ASSERT_STRING_EQUAL(settings->listen.inner, "10.1.0.19:7000");
    CU_ASSERT_PTR_NULL(settings->listen.metrics);
    CU_ASSERT_EQUAL(settings->bounds.lease_ms, 10000);
    cw_settings_free(settings);
    g_string_free(problems, TRUE);
}

/* Loads the platform's contracts and the time limit of cordons.  Both may be
 * missing, and the list may be empty. */
static void
test_contracts_and_cordon_bound_are_loaded(void)
{
    GString *problems = g_string_new(NULL);
    char *text =
        with_replacement("log_level", "    cordon_ms: 5000\n"
                                      "    cancel_ms: 3000\n"
                                      "contracts: [\"base\",\"advice\"]\n"
                                      "log_level");
    struct cw_settings *settings = load_text(text, problems);

    CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
    CU_ASSERT_EQUAL(settings->bounds.cordon_ms, 5000);
    CU_ASSERT_EQUAL(settings->bounds.cancel_ms, 3000);
    CU_ASSERT_EQUAL_FATAL(settings->contracts_count, 2);
    CU_ASSERT_TRUE(platform_supports_contract(settings->contracts[0]));
    CU_ASSERT_FALSE(platform_supports_contract(settings->contracts[1]));
    CU_ASSERT_FALSE(platform_supports_contract("no such contract"));
    cw_settings_free(settings);
    g_free(text);
    text = with_replacement("log_level", "contracts: []\nlog_level");
    settings = load_text(text, problems);
    CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
    CU_ASSERT_EQUAL(settings->contracts_count, 0);
    cw_settings_free(settings);
    g_free(text);
    settings = load_text(valid_settings, problems);
    CU_ASSERT_EQUAL(settings->contracts_count, 0);
    CU_ASSERT_EQUAL(settings->bounds.cordon_ms, 0);
    CU_ASSERT_EQUAL(settings->bounds.cancel_ms, 0);
    cw_settings_free(settings);
    g_string_free(problems, TRUE);
}

static void
test_invalid_values_are_rejected(void)
{
    static const struct {
        const char *from;
        const char *to;
        const char *expected;
    } cases[] = {
        {"10.200.1.7:8524", "10.200.1.7", "store"},
        {"10.1.0.19:8523", "10.1.0.19:99999", "listen.ready"},
        {"10.1.0.19:7000", ":7000", "listen.inner"},
        {"10.1.0.19:8521", "10.1.0.19:", "listen.callers"},
        {"lease_ms: 10000", "lease_ms: 0", "bounds.lease_ms"},
        {"lease_ms: 10000", "lease_ms: soon", ""},
        {"log_level: info", "log_level: loud", "log_level"},
        {"store:", "stores:", ""},
    };
    GString *problems = g_string_new(NULL);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = with_replacement(cases[i].from, cases[i].to);

        CU_ASSERT_PTR_NULL(load_text(text, problems));
        CU_ASSERT_PTR_NOT_NULL(strstr(problems->str, cases[i].expected));
        CU_ASSERT_TRUE(problems->len > 0);
        g_free(text);
    }
    g_string_free(problems, TRUE);
}

static const char project_api_settings[] =
    "vm: v1\n"
    "dc: z1\n"
    "listen:\n"
    "    api: \"127.0.0.1:0\"\n"
    "    inner: \"127.0.0.1:0\"\n"
    "store: \"10.200.1.7:8524\"\n"
    "bounds:\n"
    "    lease_ms: 10000\n"
    "    grace_s: 6\n"
    "    retain_s: 120\n"
    "    member_ttl_ms: 1000\n"
    "api:\n"
    "    service: s\n"
    "    operator_token_hash: \"ab\"\n"
    "    seal_key_file: /nowhere/key\n"
    "    trusted_operators:\n"
    "        - {name: ewa, public_key: \"KEY\"}\n";

static void
test_project_api_needs_its_section_and_keys(void)
{
    char key[2 * CW_HASH_BYTES + 1];
    GString *problems = g_string_new(NULL);
    GString *text = g_string_new(project_api_settings);
    struct cw_settings *settings;

    CU_ASSERT_PTR_NULL(load_text(project_api_settings, problems));
    CU_ASSERT_PTR_NOT_NULL(strstr(problems->str, "trusted_operators"));
    memset(key, 'a', sizeof(key) - 1);
    key[sizeof(key) - 1] = '\0';
    g_string_replace(text, "KEY", key, 1);
    settings = load_text(text->str, problems);
    CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
    CU_ASSERT_PTR_NULL(cw_settings_secrets(settings, problems));
    CU_ASSERT_PTR_NOT_NULL(strstr(problems->str, "seal_key_file"));
    CU_ASSERT_PTR_NOT_NULL(strstr(problems->str, "operator_token_hash"));
    cw_settings_free(settings);
    g_string_replace(text, "    api:", "    callers:", 1);
    CU_ASSERT_PTR_NULL(load_text(text->str, problems));
    CU_ASSERT_PTR_NOT_NULL(strstr(problems->str, "listen.api"));
    g_string_free(text, TRUE);
    g_string_free(problems, TRUE);
}

static void
test_processor_is_optional(void)
{
    GString *problems = g_string_new(NULL);
    struct cw_settings *settings = load_text(valid_settings, problems);
    char *text =
        with_replacement("log_level: info\n", "processor:\n    share: 0.5\n");

    CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
    CU_ASSERT_EQUAL(settings->processor.share, 0);
    cw_settings_free(settings);
    settings = load_text(text, problems);
    CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
    CU_ASSERT_EQUAL(settings->processor.share, 0.5);
    cw_settings_free(settings);
    g_free(text);
    text =
        with_replacement("log_level: info\n", "processor:\n    share: -1\n");
    CU_ASSERT_PTR_NULL(load_text(text, problems));
    CU_ASSERT_PTR_NOT_NULL(strstr(problems->str, "processor"));
    g_free(text);
    g_string_free(problems, TRUE);
}

static const struct test tests[] = {
    {"contracts", test_contracts_and_cordon_bound_are_loaded},
    {"processor", test_processor_is_optional},
    {"project's own interface", test_project_api_needs_its_section_and_keys},
    {"valid settings", test_valid_settings_are_accepted},
    {"invalid values", test_invalid_values_are_rejected},
};

TEST_MAIN("settings", tests)

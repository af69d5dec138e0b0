/* Settings of a VM on the platform. */
#include "test_main.h"

#include <glib/gstdio.h>
#include <string.h>

#include "curlewcart/cw_vm_settings.h"

static const char good[] = "vm: \"v1\"\n"
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

/* Loads a text; the number of problems goes to `problems`. */
static struct cw_vm_settings *
load(const char *text, GString *problems)
{
    char *path = NULL;
    int fd = g_file_open_tmp("cw-settings-XXXXXX", &path, NULL);
    struct cw_vm_settings *settings;

    g_string_truncate(problems, 0);
    g_close(fd, NULL);
    g_file_set_contents(path, text, -1, NULL);
    settings = cw_vm_settings_load(path, problems);
    g_unlink(path);
    g_free(path);
    return settings;
}

/* The good settings with one piece replaced. */
static char *
changed(const char *from, const char *to)
{
    char **parts = g_strsplit(good, from, 2);
    char *text = g_strjoinv(to, parts);

    g_strfreev(parts);
    return text;
}

static void
test_good_settings_are_taken(void)
{
    GString *problems = g_string_new(NULL);
    struct cw_vm_settings *settings = load(good, problems);

    CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
    CU_ASSERT_STRING_EQUAL(settings->listen.inner, "10.1.0.19:7000");
    CU_ASSERT_PTR_NULL(settings->listen.metrics);
    CU_ASSERT_EQUAL(settings->bounds.lease_ms, 10000);
    cw_vm_settings_free(settings);
    g_string_free(problems, TRUE);
}

static void
test_each_wrong_value_is_named(void)
{
    static const struct {
        const char *from;
        const char *to;
        const char *named;
    } wrong[] = {
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

    for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
        char *text = changed(wrong[i].from, wrong[i].to);

        CU_ASSERT_PTR_NULL(load(text, problems));
        CU_ASSERT_PTR_NOT_NULL(strstr(problems->str, wrong[i].named));
        CU_ASSERT_TRUE(problems->len > 0);
        g_free(text);
    }
    g_string_free(problems, TRUE);
}

static const struct test tests[] = {
    {"good settings", test_good_settings_are_taken},
    {"wrong values", test_each_wrong_value_is_named},
};

TEST_MAIN("vm_settings", tests)

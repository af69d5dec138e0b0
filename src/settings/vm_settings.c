/* Settings of a VM on a platform with a store: schema and checks. */
#include "curlewcart/cw_vm_settings.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "curlewcart/cw_yaml.h"

enum { TEXT_MAX = 256, PORT_MAX = 65535 };

#define TEXT(key, flags, type, member)                                        \
    CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | (flags), type, member,   \
                           1, TEXT_MAX)
#define NUMBER(key, type, member)                                             \
    CYAML_FIELD_UINT(key, CYAML_FLAG_DEFAULT, type, member)

static const cyaml_schema_field_t listen_fields[] = {
    TEXT("callers", 0, struct cw_vm_settings_listen, callers),
    TEXT("ready", 0, struct cw_vm_settings_listen, ready),
    TEXT("inner", 0, struct cw_vm_settings_listen, inner),
    TEXT("metrics", CYAML_FLAG_OPTIONAL, struct cw_vm_settings_listen,
         metrics),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t bounds_fields[] = {
    NUMBER("lease_ms", struct cw_vm_settings_bounds, lease_ms),
    NUMBER("grace_s", struct cw_vm_settings_bounds, grace_s),
    NUMBER("retain_s", struct cw_vm_settings_bounds, retain_s),
    NUMBER("member_ttl_ms", struct cw_vm_settings_bounds, member_ttl_ms),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t settings_fields[] = {
    TEXT("vm", 0, struct cw_vm_settings, vm),
    TEXT("dc", 0, struct cw_vm_settings, dc),
    CYAML_FIELD_MAPPING("listen", CYAML_FLAG_DEFAULT, struct cw_vm_settings,
                        listen, listen_fields),
    TEXT("store", 0, struct cw_vm_settings, store),
    CYAML_FIELD_MAPPING("bounds", CYAML_FLAG_DEFAULT, struct cw_vm_settings,
                        bounds, bounds_fields),
    TEXT("log_level", CYAML_FLAG_OPTIONAL, struct cw_vm_settings, log_level),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t settings_value = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct cw_vm_settings,
                        settings_fields),
};

/* Adds a line to `problems` unless `address` is HOST:PORT. */
static void
check_address(const char *field, const char *address, GString *problems)
{
    const char *colon = address != NULL ? strrchr(address, ':') : NULL;
    unsigned long port = colon != NULL ? strtoul(colon + 1, NULL, 10) : 0;

    if (address == NULL) {
        return;
    }
    if (colon == NULL || colon == address || port > PORT_MAX ||
        strspn(colon + 1, "0123456789") != strlen(colon + 1) ||
        colon[1] == '\0')
    {
        g_string_append_printf(problems, "%s: \"%s\" is not HOST:PORT\n",
                               field, address);
    }
}

static void
check(const struct cw_vm_settings *settings, GString *problems)
{
    const char *level = settings->log_level;

    check_address("listen.callers", settings->listen.callers, problems);
    check_address("listen.ready", settings->listen.ready, problems);
    check_address("listen.inner", settings->listen.inner, problems);
    check_address("listen.metrics", settings->listen.metrics, problems);
    check_address("store", settings->store, problems);
    if (settings->bounds.lease_ms == 0) {
        g_string_append(problems, "bounds.lease_ms: must be above 0\n");
    }
    if (level != NULL && strcmp(level, "error") != 0 &&
        strcmp(level, "warning") != 0 && strcmp(level, "info") != 0 &&
        strcmp(level, "debug") != 0)
    {
        g_string_append_printf(problems, "log_level: \"%s\" is not a level\n",
                               level);
    }
}

struct cw_vm_settings *
cw_vm_settings_load(const char *path, GString *problems)
{
    struct cw_vm_settings *settings = NULL;
    void *loaded = NULL;
    char *text = NULL;
    gsize length = 0;
    GError *error = NULL;

    if (!g_file_get_contents(path, &text, &length, &error)) {
        g_string_append_printf(problems, "%s\n", error->message);
        g_error_free(error);
        return NULL;
    }
    if (cw_yaml_load(text, length, &settings_value, &loaded, problems) !=
        CYAML_OK) {
        goto done;
    }
    settings = loaded;
    check(settings, problems);
    if (problems->len > 0) {
        cw_vm_settings_free(settings);
        settings = NULL;
    }

done:
    g_free(text);
    return settings;
}

void
cw_vm_settings_free(struct cw_vm_settings *settings)
{
    if (settings != NULL) {
        cw_yaml_free(&settings_value, settings);
    }
}

/* Loads the settings of a VM: schema and checks. */
#include "curlewcart/cw_settings.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sodium.h>
#include <xxhash.h>

#include "curlewcart/cw_yaml.h"

enum {
    TEXT_MAX = 1024,
    PORT_MAX = 65535,
    TRUSTED_OPERATORS_MAX = 256,
    CONTRACTS_MAX = 256,
    PROCESSOR_CORES_MAX = 4096,
    /* A VM's name is part of keys in the store, and of its name as a member of
     * a group, which each have 255 bytes. */
    VM_NAME_BYTES_MAX = 128,
    VM_NAME_PREFIX_BYTES = 111
};

#define TEXT(key, flags, type, member)                                        \
    CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | (flags), type, member,   \
                           1, TEXT_MAX)
#define NUMBER(key, type, member)                                             \
    CYAML_FIELD_UINT(key, CYAML_FLAG_DEFAULT, type, member)

static const cyaml_schema_field_t listen_fields[] = {
    TEXT("callers", CYAML_FLAG_OPTIONAL, struct cw_settings_listen, callers),
    TEXT("api", CYAML_FLAG_OPTIONAL, struct cw_settings_listen, api),
    TEXT("ready", CYAML_FLAG_OPTIONAL, struct cw_settings_listen, ready),
    TEXT("inner", 0, struct cw_settings_listen, inner),
    TEXT("metrics", CYAML_FLAG_OPTIONAL, struct cw_settings_listen, metrics),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t bounds_fields[] = {
    NUMBER("lease_ms", struct cw_settings_bounds, lease_ms),
    NUMBER("grace_s", struct cw_settings_bounds, grace_s),
    NUMBER("retain_s", struct cw_settings_bounds, retain_s),
    NUMBER("member_ttl_ms", struct cw_settings_bounds, member_ttl_ms),
    CYAML_FIELD_UINT("report_ms", CYAML_FLAG_OPTIONAL,
                     struct cw_settings_bounds, report_ms),
    CYAML_FIELD_UINT("record_bytes", CYAML_FLAG_OPTIONAL,
                     struct cw_settings_bounds, record_bytes),
    CYAML_FIELD_UINT("cordon_ms", CYAML_FLAG_OPTIONAL,
                     struct cw_settings_bounds, cordon_ms),
    CYAML_FIELD_UINT("cancel_ms", CYAML_FLAG_OPTIONAL,
                     struct cw_settings_bounds, cancel_ms),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t processor_fields[] = {
    CYAML_FIELD_FLOAT("share", CYAML_FLAG_OPTIONAL,
                      struct cw_settings_processor, share),
    CYAML_FIELD_FLOAT("cores", CYAML_FLAG_OPTIONAL,
                      struct cw_settings_processor, cores),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t trusted_fields[] = {
    TEXT("name", 0, struct cw_trusted_key, name),
    TEXT("public_key", 0, struct cw_trusted_key, public_key),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t trusted_value = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cw_trusted_key,
                        trusted_fields),
};

static const cyaml_schema_field_t api_fields[] = {
    TEXT("service", 0, struct cw_settings_api, service),
    TEXT("operator_token_hash", 0, struct cw_settings_api,
         operator_token_hash),
    TEXT("seal_key_file", 0, struct cw_settings_api, seal_key_file),
    CYAML_FIELD_SEQUENCE("trusted_operators", CYAML_FLAG_POINTER,
                         struct cw_settings_api, trusted_operators,
                         &trusted_value, 1, TRUSTED_OPERATORS_MAX),
    TEXT("certificate_file", CYAML_FLAG_OPTIONAL, struct cw_settings_api,
         certificate_file),
    TEXT("key_file", CYAML_FLAG_OPTIONAL, struct cw_settings_api, key_file),
    CYAML_FIELD_UINT("threads", CYAML_FLAG_OPTIONAL, struct cw_settings_api,
                     threads),
    CYAML_FIELD_UINT("connections", CYAML_FLAG_OPTIONAL,
                     struct cw_settings_api, connections),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t name_value = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char *, 1, TEXT_MAX),
};

static const cyaml_schema_field_t settings_fields[] = {
    TEXT("vm", 0, struct cw_settings, vm),
    TEXT("dc", 0, struct cw_settings, dc),
    CYAML_FIELD_MAPPING("listen", CYAML_FLAG_DEFAULT, struct cw_settings,
                        listen, listen_fields),
    TEXT("store", 0, struct cw_settings, store),
    CYAML_FIELD_MAPPING("bounds", CYAML_FLAG_DEFAULT, struct cw_settings,
                        bounds, bounds_fields),
    CYAML_FIELD_MAPPING("processor", CYAML_FLAG_OPTIONAL, struct cw_settings,
                        processor, processor_fields),
    CYAML_FIELD_UINT("descriptors", CYAML_FLAG_OPTIONAL, struct cw_settings,
                     descriptors),
    CYAML_FIELD_MAPPING_PTR("api", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                            struct cw_settings, api, api_fields),
    CYAML_FIELD_SEQUENCE("contracts", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                         struct cw_settings, contracts, &name_value, 0,
                         CONTRACTS_MAX),
    TEXT("log_level", CYAML_FLAG_OPTIONAL, struct cw_settings, log_level),
    TEXT("ports_file", CYAML_FLAG_OPTIONAL, struct cw_settings, ports_file),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t settings_value = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct cw_settings,
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

/* ---- the project's own interface ---- */

static bool
decode_hex(const char *text, unsigned char *out, size_t size)
{
    size_t length = 0;

    return sodium_hex2bin(out, size, text, strlen(text), " \n", &length,
                          NULL) == 0 &&
           length == size;
}

static void
check_trusted(const struct cw_settings_api *api, GString *problems)
{
    unsigned char key[crypto_sign_PUBLICKEYBYTES];

    for (unsigned i = 0; i < api->trusted_operators_count; i++) {
        if (!decode_hex(api->trusted_operators[i].public_key, key,
                        sizeof(key))) {
            g_string_append(problems, "api.trusted_operators.public_key: "
                                      "expected 64 hex digits\n");
        }
    }
}

/* Checks that exactly one of listen.callers (the platform's interface) and
 * listen.api (the project's own) is set, with the settings that each of them
 * requires. */
static void
check_interface(const struct cw_settings *settings, GString *problems)
{
    if ((settings->listen.callers != NULL) == (settings->listen.api != NULL)) {
        g_string_append(problems, "listen: expected one of callers and api\n");
    }
    if ((settings->listen.api != NULL) != (settings->api != NULL)) {
        g_string_append(problems, "api: expected with listen.api, and only "
                                  "with it\n");
    }
    if (settings->listen.callers != NULL && settings->listen.ready == NULL) {
        g_string_append(problems, "listen.ready: missing\n");
    }
    if (settings->api != NULL) {
        check_trusted(settings->api, problems);
    }
}

static void
load_seal_key(const char *path, unsigned char *key, GString *problems)
{
    struct stat info;
    char *text = NULL;

    if (stat(path, &info) != 0 ||
        !g_file_get_contents(path, &text, NULL, NULL)) {
        g_string_append(problems,
                        "api.seal_key_file: expected a readable file\n");
        return;
    }
    if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        g_string_append(problems, "api.seal_key_file: expected a file that "
                                  "only its owner may read (mode 0600)\n");
    }
    if (!decode_hex(text, key, CW_MAC_BYTES)) {
        g_string_append(problems,
                        "api.seal_key_file: expected 64 hex digits in it\n");
    }
    sodium_memzero(text, strlen(text));
    g_free(text);
}

static void
load_pem(const char *field, const char *path, char **out, GString *problems)
{
    if (path != NULL && !g_file_get_contents(path, out, NULL, NULL)) {
        g_string_append_printf(problems, "%s: expected a readable file\n",
                               field);
    }
}

struct cw_settings_secrets *
cw_settings_secrets(const struct cw_settings *settings, GString *problems)
{
    const struct cw_settings_api *api = settings->api;
    struct cw_settings_secrets *secrets;
    size_t problems_before = problems->len;

    if (api == NULL) {
        return NULL;
    }
    secrets = g_new0(struct cw_settings_secrets, 1);
    load_seal_key(api->seal_key_file, secrets->seal_key, problems);
    if (!decode_hex(api->operator_token_hash, secrets->operator_token_hash,
                    CW_HASH_BYTES))
    {
        g_string_append(problems,
                        "api.operator_token_hash: expected 64 hex digits\n");
    }
    load_pem("api.certificate_file", api->certificate_file,
             &secrets->certificate, problems);
    load_pem("api.key_file", api->key_file, &secrets->private_key, problems);
    if (problems->len != problems_before) {
        g_free(secrets->certificate);
        g_free(secrets->private_key);
        g_free(secrets);
        return NULL;
    }
    return secrets;
}

static void
check_settings(const struct cw_settings *settings, GString *problems)
{
    const char *level = settings->log_level;

    check_address("listen.callers", settings->listen.callers, problems);
    check_address("listen.api", settings->listen.api, problems);
    check_address("listen.ready", settings->listen.ready, problems);
    check_address("listen.inner", settings->listen.inner, problems);
    check_address("listen.metrics", settings->listen.metrics, problems);
    check_address("store", settings->store, problems);
    check_interface(settings, problems);
    if (!(settings->processor.share >= 0) ||
        !(settings->processor.cores >= 0) ||
        settings->processor.share * settings->processor.cores >
            PROCESSOR_CORES_MAX)
    {
        g_string_append(problems, "processor: out of range\n");
    }
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

/* Replaces the end of a long VM name by a hash of the whole name. */
static void
shorten_vm_name(struct cw_settings *settings)
{
    char *name = settings->vm;
    size_t length = strlen(name);

    if (length > VM_NAME_BYTES_MAX) {
        snprintf(name + VM_NAME_PREFIX_BYTES,
                 length + 1 - VM_NAME_PREFIX_BYTES, "~%016" PRIx64,
                 (uint64_t)XXH3_64bits(name, length));
    }
}

struct cw_settings *
cw_settings_load(const char *path, GString *problems)
{
    struct cw_settings *settings = NULL;
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
    shorten_vm_name(settings);
    check_settings(settings, problems);
    if (problems->len > 0) {
        cw_settings_free(settings);
        settings = NULL;
    }

done:
    g_free(text);
    return settings;
}

void
cw_settings_free(struct cw_settings *settings)
{
    if (settings != NULL) {
        cw_yaml_free(&settings_value, settings);
    }
}

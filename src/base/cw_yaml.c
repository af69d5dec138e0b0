/* Loading of YAML according to a schema, with all error messages of libcyaml.
 */
#include "curlewcart/cw_yaml.h"

#include <stdio.h>
#include <string.h>

/* Log callback of libcyaml: appends errors to `problems`, drops the rest. */
static void
collect_message(cyaml_log_t level, void *context, const char *format,
                va_list arguments)
{
    GString *problems = context;
    char line[512];
    size_t length;

    if (level < CYAML_LOG_ERROR) {
        return;
    }
    vsnprintf(line, sizeof(line), format, arguments);
    length = strlen(line);
    while (length > 0 && line[length - 1] == '\n') {
        line[--length] = '\0';
    }
    g_string_append(problems, line);
    g_string_append_c(problems, '\n');
}

cyaml_err_t
cw_yaml_load(const void *text, size_t length,
             const cyaml_schema_value_t *schema, void **out, GString *problems)
{
    const cyaml_config_t config = {
        .log_fn = collect_message,
        .log_ctx = problems,
        .mem_fn = cyaml_mem,
        .log_level = CYAML_LOG_ERROR,
        .flags = CYAML_CFG_NO_ALIAS,
    };
    cyaml_err_t error;

    *out = NULL;
    error = cyaml_load_data(text, length, &config, schema, out, NULL);
    if (error == CYAML_OK && *out == NULL) {
        /* libcyaml reports success for a document without content. */
        error = CYAML_ERR_INVALID_KEY;
        g_string_append(problems, "the document is empty\n");
    }
    if (error != CYAML_OK) {
        g_string_append_printf(problems, "%s\n", cyaml_strerror(error));
    }
    return error;
}

void
cw_yaml_free(const cyaml_schema_value_t *schema, void *data)
{
    const cyaml_config_t config = {
        .mem_fn = cyaml_mem,
        .log_level = CYAML_LOG_ERROR,
    };

    cyaml_free(&config, schema, data, 0);
}

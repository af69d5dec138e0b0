/* Loading of YAML according to a libcyaml schema; unknown keys are errors. */
#ifndef CURLEWCART_CW_YAML_H
#define CURLEWCART_CW_YAML_H

#include <cyaml/cyaml.h>
#include <glib.h>

/* Loads `text` according to `schema` into `*out` (free with cw_yaml_free).
 * Each error message, with field and line, is appended to `problems` as a
 * line. */
cyaml_err_t cw_yaml_load(const void *text, size_t length,
                         const cyaml_schema_value_t *schema, void **out,
                         GString *problems);

/* Frees a value that cw_yaml_load loaded; `data` may be NULL. */
void cw_yaml_free(const cyaml_schema_value_t *schema, void *data);

#endif

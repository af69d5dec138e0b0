/* The bundle's YAML schema, private to the bundle package. */
#ifndef BUNDLE_INTERNAL_BUNDLE_SCHEMA_H
#define BUNDLE_INTERNAL_BUNDLE_SCHEMA_H

#include <cyaml/cyaml.h>

/* Schema of the whole document, which is loaded as a struct cw_bundle_doc. */
extern const cyaml_schema_value_t cw_bundle_schema;

#endif

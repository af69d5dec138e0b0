/* Checks that the YAML schema can't express, private to the bundle package. */
#ifndef BUNDLE_INTERNAL_BUNDLE_CHECK_H
#define BUNDLE_INTERNAL_BUNDLE_CHECK_H

#include <stdbool.h>

#include "curlewcart/cw_bundle.h"

/* True if the document is consistent and the racks can hold all guarantees at
 * the same time.  Adds a line to `problems` for each fault found. */
bool cw_bundle_check(const struct cw_bundle *bundle, GString *problems);

#endif

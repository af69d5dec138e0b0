/* Encoded specification of a job of one step, as the VM that accepts a job
 * stores it. */
#ifndef CURLEWCART_TESTS_WORK_SPEC_H
#define CURLEWCART_TESTS_WORK_SPEC_H

#include <glib.h>

#include "curlewcart/cw_xdr.h"
#include "proto/cw_proto.h"

/* Members that differ between tests; all others are fixed. */
struct work_spec_options {
    const char *id;
    const char *account; /* NULL: "a" */
    unsigned tasks;      /* 0: one */
    unsigned accelerators;
    unsigned max_attempts;
    unsigned stretch_milli;
    uint64_t body_hash;
    int64_t accepted_ms;
};

/* Encodes the specification.  The caller owns the result. */
static inline GByteArray *
work_spec_encode(const struct work_spec_options *options)
{
    const char *account = options->account != NULL ? options->account : "a";
    struct cw_step_spec step = {.tasks = MAX(1, options->tasks),
                                .accelerators = options->accelerators,
                                .label = (char *)"",
                                .data_rack = (char *)"",
                                .image = (char *)""};
    struct cw_work_spec spec = {.id = (char *)options->id,
                                .queue = (char *)"q",
                                .account = (char *)account,
                                .service = (char *)"s",
                                .request = (char *)"",
                                .payload = (char *)"",
                                .max_attempts = options->max_attempts,
                                .stretch_milli = options->stretch_milli,
                                .body_hash = options->body_hash,
                                .accepted_ms = options->accepted_ms};

    spec.steps.steps_len = 1;
    spec.steps.steps_val = &step;
    return cw_xdr_encode((xdrproc_t)xdr_cw_work_spec, &spec);
}

#endif

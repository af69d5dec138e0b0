/* A job's state as the store keeps it.
 *
 * Whole for the next owner, and without its tasks for all VMs.  Of the latter
 * every VM reads the head; one that answers for a job of our own interface
 * reads the rest.  Whole, the rest is mostly zeros and repeated names, and is
 * deflated to a quarter (40 tasks with a checkpoint each), which a new owner
 * that reads hundreds of them is spared.
 *
 * Crashes that count against tasks come last, and are left out where there
 * are none: such a record has the form that VMs know which count no crashes,
 * and theirs are read as having none. */
#ifndef CURLEWCART_CW_RECORD_H
#define CURLEWCART_CW_RECORD_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "proto/cw_proto.h"

struct cw_record_head {
    unsigned phase; /* enum cw_work_phase */
    bool started;   /* a task of it has been started */
    int64_t ended_ms;
};

/* Bytes for the store.  Owned by the caller; NULL if the record exceeds a
 * bound of cw_proto.x. */
GByteArray *cw_record_encode(const struct cw_work_record *record);

/* Reads the head alone; false if it is cut short. */
bool cw_record_read_head(const void *bytes, size_t length,
                         struct cw_record_head *head);

/* Decodes into `record`, which must be zeroed.  Returns false if the bytes
 * are not valid; otherwise free it with
 * xdr_free((xdrproc_t)xdr_cw_work_record, ...). */
bool cw_record_decode(const void *bytes, size_t length,
                      struct cw_work_record *record);

#endif

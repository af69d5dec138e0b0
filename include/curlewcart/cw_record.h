/* Encoding of a job's state in the store.
 *
 * The owner writes a whole record for the next owner, and a record without
 * the tasks for all VMs.  Every VM reads the head of the latter; a VM that
 * answers a caller of the project's own interface also reads the rest.  The
 * rest of a whole record is mostly zeros and repeated names.  It is deflated
 * to a quarter of its size (with 40 tasks that have a checkpoint each), as a
 * new owner reads hundreds of records.
 *
 * The crashes that tasks are suspected of, and the boot times of workers, come
 * last and are left out if there are none.  Such a record has the format of
 * versions that count no crashes, and a record written by such a version is
 * decoded with empty lists.
 *
 * The extension follows the deflated rest, deflated by itself.  Versions that
 * have none ignore what follows the rest.  An empty extension is left out. The
 * lists of crashes and boot times are present if an extension is. */
#ifndef CURLEWCART_CW_RECORD_H
#define CURLEWCART_CW_RECORD_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "proto/cw_proto.h"

struct cw_record_head {
    unsigned phase; /* enum cw_work_phase */
    bool started;   /* a task of the job has been started */
    int64_t ended_ms;
};

/* Encodes a record for the store.  Owned by the caller; NULL if the record
 * exceeds a limit of cw_proto.x, or 16 MiB before it is deflated. */
GByteArray *cw_record_encode(const struct cw_work_record *record);

/* Decodes only the head; false if the bytes are truncated or the phase is not
 * one of enum cw_work_phase. */
bool cw_record_read_head(const void *bytes, size_t length,
                         struct cw_record_head *head);

/* Decodes into `record`, which must be zeroed.  Returns false if the bytes
 * are not valid; otherwise free it with
 * xdr_free((xdrproc_t)xdr_cw_work_record, ...). */
bool cw_record_decode(const void *bytes, size_t length,
                      struct cw_work_record *record);

#endif

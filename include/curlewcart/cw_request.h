/* Requests of the project's own interface: the body of POST /v1/jobs. */
#ifndef CURLEWCART_CW_REQUEST_H
#define CURLEWCART_CW_REQUEST_H

#include <stddef.h>

#include "proto/cw_proto.h"
#include "curlewcart/cw_result.h"

/* The queue that jobs of the project's own interface belong to. */
#define CW_REQUEST_QUEUE "jobs"

/* Size of a job's id, with the terminating null character. */
enum { CW_JOB_ID_SIZE = 17 };

/* Id of the job that an account's request becomes.  It is a hash of the
 * account and the request, so that every VM can compute it. */
void cw_request_job_id(const char *account, const char *request,
                       char id[CW_JOB_ID_SIZE]);

/* Reads a request from JSON.
 *
 * `account` is the authenticated client account.  On success returns CW_OK
 * and a specification owned by the caller (cw_request_free).  Its service is
 * empty; its attempts are 1 if it must not be started again, otherwise 0.
 * On failure returns a refusal code and writes the faulty field and the
 * expected value into `detail` (`size` bytes). */
enum cw_result
cw_request_from_json(const char *text, size_t length, const char *account,
                     struct cw_work_spec **out, char *detail, size_t size);

/* Releases a specification; NULL is allowed. */
void cw_request_free(struct cw_work_spec *spec);

#endif

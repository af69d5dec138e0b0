/* Requests of the project's own interface: the body of POST /v1/jobs. */
#ifndef CURLEWCART_CW_REQUEST_H
#define CURLEWCART_CW_REQUEST_H

#include <stddef.h>

#include "proto/cw_proto.h"
#include "curlewcart/cw_result.h"

/* The queue that its jobs belong to. */
#define CW_REQUEST_QUEUE "jobs"

/* A job's id with the end of its text. */
enum { CW_JOB_ID_SIZE = 17 };

/* Id of the job that an account's request becomes: a hash of both names, so
 * that every VM finds it without asking. */
void cw_request_job_id(const char *account, const char *request,
                       char id[CW_JOB_ID_SIZE]);

/* Reads a request from JSON.
 *
 * `account` is the authenticated client account.  On success returns CW_OK
 * and a specification owned by the caller (cw_request_free); its service is
 * empty, its attempts are 1 if it must not be begun again and 0 otherwise.
 * Else returns a refusal code and, in `detail` (size bytes), what was wrong
 * and where. */
enum cw_result
cw_request_from_json(const char *text, size_t length, const char *account,
                     struct cw_work_spec **out, char *detail, size_t size);

void cw_request_free(struct cw_work_spec *spec);

#endif

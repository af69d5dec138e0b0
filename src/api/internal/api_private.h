/* Declarations that the files of the project's own interface share. */
#ifndef API_INTERNAL_API_PRIVATE_H
#define API_INTERNAL_API_PRIVATE_H

#include <jansson.h>

#include "curlewcart/cw_api.h"
#include "curlewcart/cw_bundle.h"
#include "curlewcart/cw_log.h"
#include "curlewcart/cw_request.h"
#include "curlewcart/cw_work.h"

enum {
    API_WAIT_MAX_MS = 60000, /* limit of the time that a call may wait */
    API_RETRY_MS = 1000,     /* sent to callers as the delay of a retry */
    API_STORE_BUDGET_MS = 5000,
    /* A call for a job that the replica doesn't have waits this long for the
     * replica to be as recent as the call. */
    API_CATCH_UP_MAX_MS = 1500,
    API_WAITER_SHARDS = 16
};

struct api_waiters;

struct cw_api {
    struct cw_api_options options;
    struct cw_chain *chain; /* under the engine's lock */
    struct cw_follower *bundles;
    struct api_waiters *waiters;
    /* The replica's position at the last sweep through the waiting calls. */
    uint64_t swept_position;
    struct timespec sweep_due; /* sweep at this time at the latest */
};

/* ---- api_bundle.c ---- */

/* Starts to follow the bundles in the store. */
void api_bundle_follow(struct cw_api *api);

/* Bundle in force, or NULL.  Borrowed while the engine's lock is held. */
struct cw_bundle *api_bundle(const struct cw_api *api);

/* Answers with the bundle in force. */
void api_bundle_show(struct cw_api *api, struct cw_http_call *call);
/* Handles a signed bundle record: checks it and appends it to the store. */
void api_bundle_submit(struct cw_api *api, struct cw_http_call *call);

/* ---- api_jobs.c: callers' routes; `account` has been authenticated ---- */

/* Stores a job. */
void
api_submit(struct cw_api *api, struct cw_http_call *call, const char *account);
/* Answers with the outcome of a job, or waits for it. */
void api_query(struct cw_api *api, struct cw_http_call *call,
               const char *account, const char *request);
/* Cancels a job. */
void api_cancel(struct cw_api *api, struct cw_http_call *call,
                const char *account, const char *request);

/* ---- api_ops.c: operators' routes, each with its path ---- */

/* /healthz: whether this VM is ready for calls.  Needs no token. */
void api_health(struct cw_api *api, struct cw_http_call *call);
/* /v1/status: state of this VM. */
void api_status(struct cw_api *api, struct cw_http_call *call);
/* /v1/workers: the workers that this VM schedules work on as the owner. */
void api_workers(struct cw_api *api, struct cw_http_call *call);
/* /v1/accounts: accounts and their guarantees. */
void api_accounts(struct cw_api *api, struct cw_http_call *call);
/* /metrics: counters in the format of Prometheus. */
void api_metrics(struct cw_api *api, struct cw_http_call *call);
/* /v1/explain: why a job waits, or how it ended. */
void api_explain(struct cw_api *api, struct cw_http_call *call);
/* /v1/audit: where jobs have run. */
void api_audit(struct cw_api *api, struct cw_http_call *call);

/* ---- api_answer.c ---- */

/* Answers with `body` and releases it. */
void api_answer_json(struct cw_http_call *call, unsigned status, json_t *body,
                     bool close);

/* Answers with a refusal.  `request` is the caller's id, or NULL; `detail`
 * NULL: the text of the code.  `retry_ms` 0: the answer names no delay for a
 * retry. */
void
api_answer_refused(struct cw_http_call *call, const char *request,
                   enum cw_result code, const char *detail, unsigned retry_ms);

/* Answers with the outcome of a job that is over. */
void api_answer_outcome(struct cw_http_call *call,
                        const struct cw_replica_job *job);
/* Answers that the outcome is not known yet.  `durable`: the job is stored. */
void api_answer_pending(struct cw_http_call *call, const char *request,
                        bool durable);

/* Answers that there is no such job. */
void api_answer_unknown(struct cw_http_call *call, const char *request);

/* Name of the job's outcome for callers; "pending" if it is not over.
 * Borrowed, static. */
const char *api_outcome_name(const struct cw_replica_job *job);

/* The caller's id within "account/id".  Borrowed from `request`. */
const char *api_request_id(const char *request);

/* Decodes the job's state.  False if there is none, or if it is not valid,
 * which is logged.  Release with xdr_free. */
bool api_record(const struct cw_replica_job *job, struct cw_work_record *out);

/* ---- api_waiters.c: calls that wait for an outcome ---- */

/* A call that waits for its job to be over, until a deadline. */
struct api_waiter {
    struct cw_http_call *call;
    char job[CW_JOB_ID_SIZE];
    const char *request; /* the caller's id; copied */
    /* Records that were appended before this time must be read before the job
     * can count as unknown. */
    struct timespec received_at;
    struct timespec deadline; /* answered as pending at this time */
};

/* Creates an empty set. */
struct api_waiters *api_waiters_create(void);
/* Adds a copy of `waiter`. */
void
api_waiters_add(struct api_waiters *waiters, const struct api_waiter *waiter);

/* Calls `answer` for each waiter and removes those for which it returns true.
 */
void api_waiters_sweep(struct api_waiters *waiters,
                       bool (*answer)(void *context,
                                      const struct api_waiter *waiter),
                       void *context);
/* Number of waiters. */
unsigned api_waiters_count(struct api_waiters *waiters);

#endif

/* Parts of the project's own interface. */
#ifndef API_INTERNAL_API_PRIVATE_H
#define API_INTERNAL_API_PRIVATE_H

#include <jansson.h>

#include "curlewcart/cw_api.h"
#include "curlewcart/cw_bundle.h"
#include "curlewcart/cw_log.h"
#include "curlewcart/cw_request.h"
#include "curlewcart/cw_work.h"

enum {
    API_WAIT_MOST_MS = 60000, /* longest that a call is held */
    API_RETRY_MS = 1000,      /* what callers are told to wait */
    API_STORE_BUDGET_MS = 5000,
    API_LOOK_MS = 1500, /* until the store is read up to a call */
    WAITER_SHARDS = 16
};

struct api_waiters;

struct cw_api {
    struct cw_api_options options;
    struct cw_chain *chain; /* under the engine's lock */
    struct cw_follower *bundles;
    struct api_waiters *waiters;
    uint64_t looked_at; /* replica's position when waiting calls were last
                           looked through */
    struct timespec look_due;
};

/* ---- api_bundle.c ---- */

void api_bundle_follow(struct cw_api *api);

/* Bundle in force, or NULL.  Borrowed under the engine's lock. */
struct cw_bundle *api_bundle(const struct cw_api *api);

void api_bundle_show(struct cw_api *api, struct cw_http_call *call);
void api_bundle_offer(struct cw_api *api, struct cw_http_call *call);

/* ---- api_jobs.c: callers' routes; the account is authenticated ---- */

void
api_submit(struct cw_api *api, struct cw_http_call *call, const char *account);
void api_query(struct cw_api *api, struct cw_http_call *call,
               const char *account, const char *request);
void api_cancel(struct cw_api *api, struct cw_http_call *call,
                const char *account, const char *request);

/* ---- api_ops.c: operators' routes ---- */

void api_health(struct cw_api *api, struct cw_http_call *call);
void api_status(struct cw_api *api, struct cw_http_call *call);
void api_workers(struct cw_api *api, struct cw_http_call *call);
void api_accounts(struct cw_api *api, struct cw_http_call *call);
void api_metrics(struct cw_api *api, struct cw_http_call *call);
void api_explain(struct cw_api *api, struct cw_http_call *call);
void api_audit(struct cw_api *api, struct cw_http_call *call);

/* ---- api_answer.c ---- */

void api_answer_json(struct cw_http_call *call, unsigned status, json_t *body,
                     bool close);

/* `request` is the caller's id, or NULL. */
void
api_answer_refused(struct cw_http_call *call, const char *request,
                   enum cw_result code, const char *detail, unsigned retry_ms);

/* The outcome of a job that is over. */
void api_answer_outcome(struct cw_http_call *call,
                        const struct cw_replica_job *job);
void api_answer_pending(struct cw_http_call *call, const char *request,
                        bool durable);

/* Nobody knows the job. */
void api_answer_unknown(struct cw_http_call *call, const char *request);

/* Name of the job's outcome for callers; "pending" while it is not over.
 * Borrowed, static. */
const char *api_outcome_name(const struct cw_replica_job *job);

/* The caller's id within "account/id".  Borrowed. */
const char *api_request_id(const char *request);

/* Decodes the job's state; false (and logged) if there is none that can be
 * read.  Release with xdr_free. */
bool api_record(const struct cw_replica_job *job, struct cw_work_record *out);

/* ---- api_waiters.c: calls that wait for an outcome ---- */

/* A call that waits until its job is over, or until its time is. */
struct api_waiter {
    struct cw_http_call *call;
    char job[CW_JOB_ID_SIZE];
    const char *request;      /* the caller's id; copied */
    struct timespec asked;    /* what was appended before it must be seen */
    struct timespec deadline; /* of the caller's patience */
};

struct api_waiters *api_waiters_create(void);
void
api_waiters_add(struct api_waiters *waiters, const struct api_waiter *waiter);

/* Calls `answer` for each; takes out those for which it returns true. */
void api_waiters_sweep(struct api_waiters *waiters,
                       bool (*answer)(void *context,
                                      const struct api_waiter *waiter),
                       void *context);
unsigned api_waiters_count(struct api_waiters *waiters);

#endif

/* Routes of callers: submit, query and cancel a job. */
#include <stdlib.h>
#include <string.h>

#include "api/internal/api_private.h"

static unsigned
requested_wait_ms(struct cw_http_call *call)
{
    const char *text = cw_http_call_query(call, "wait_ms");
    long wait = text != NULL ? strtol(text, NULL, 10) : 0;

    return (unsigned)CLAMP(wait, 0, API_WAIT_MAX_MS);
}

/* A caller's call that is being stored or waits for an outcome. */
struct job_call {
    struct cw_api *api;
    struct cw_http_call *call;
    char *request; /* the caller's id */
    char job[CW_JOB_ID_SIZE];
    uint64_t body_hash; /* of a submission; otherwise 0 */
};

static struct job_call *
job_call_new(struct cw_api *api, struct cw_http_call *call,
             const char *account, const char *request)
{
    struct job_call *context = g_new0(struct job_call, 1);

    context->api = api;
    context->call = call;
    context->request = g_strdup(request);
    cw_request_job_id(account, request, context->job);
    return context;
}

static void
job_call_free(struct job_call *context)
{
    g_free(context->request);
    g_free(context);
}

static void
refuse(struct job_call *context, enum cw_result code)
{
    cw_count_code(context->api->options.counters, code);
    api_answer_refused(context->call, context->request, code, NULL,
                       cw_refusal_is_final(code) ? 0 : API_RETRY_MS);
    job_call_free(context);
}

/* Makes the call wait for its job to be over, at most `wait_ms`. */
static void
wait_for_outcome(const struct job_call *context, unsigned wait_ms)
{
    struct cw_api *api = context->api;
    struct timespec now = cw_clock_now(api->options.clock);
    struct api_waiter waiter = {
        .call = context->call,
        .request = context->request,
        .received_at = now,
        .deadline = cw_time_add_ms(now, wait_ms),
    };

    memcpy(waiter.job, context->job, sizeof(waiter.job));
    api_waiters_add(api->waiters, &waiter);
}

/* Answers with the outcome if it is known; otherwise makes the call wait for
 * as long as its caller requested. */
static void
answer_or_wait(struct job_call *context)
{
    struct cw_api *api = context->api;
    const struct cw_replica_job *job =
        cw_replica_find_job(api->options.replica, context->job);
    unsigned wait_ms = requested_wait_ms(context->call);
    bool known = job != NULL && job->spec != NULL;

    if (known && context->body_hash != 0 &&
        job->spec->body_hash != context->body_hash)
    {
        /* Another VM stored a job with this id first. */
        refuse(context, CW_REF_ID_REUSED);
        return;
    }
    if (known && job->record != NULL && cw_work_is_over(job->recorded_phase)) {
        cw_count_add(api->options.counters, CW_COUNT_ANSWERED, 1);
        api_answer_outcome(context->call, job);
    }
    else if (wait_ms == 0) {
        api_answer_pending(context->call, context->request, true);
    }
    else {
        wait_for_outcome(context, wait_ms);
    }
    job_call_free(context);
}

/* ---- submit ---- */

static void
on_submitted(void *data, enum cw_entry_outcome outcome)
{
    struct job_call *context = data;

    switch (outcome) {
    case CW_ENTRY_STORED:
        answer_or_wait(context);
        break;
    case CW_ENTRY_OTHER_JOB:
        refuse(context, CW_REF_ID_REUSED);
        break;
    case CW_ENTRY_NOT_DONE:
        refuse(context, CW_REF_LOG_AWAY);
        break;
    case CW_ENTRY_TOO_LARGE:
        refuse(context, CW_REF_TOO_LARGE);
        break;
    default:
        refuse(context, CW_REF_UNSURE);
        break;
    }
}

/* Checks limits and whether the job can ever fit.  Returns CW_OK or the
 * refusal. */
static enum cw_result
check_admission(struct cw_api *api, struct cw_work_spec *spec)
{
    const struct cw_bundle *bundle = api_bundle(api);
    const struct cw_account_def *account =
        cw_bundle_account_by_name(bundle, spec->account);
    struct cw_policy_def policy = cw_bundle_policy(bundle);

    if (cw_replica_find_job(api->options.replica, spec->id) != NULL) {
        return CW_OK; /* a repeated request has the same outcome */
    }
    if (account->max_waiting > 0 &&
        cw_replica_count_waiting(api->options.replica, NULL, spec->account) >=
            account->max_waiting)
    {
        return CW_REF_ACCOUNT_LIMIT;
    }
    if (cw_replica_count_waiting(api->options.replica, NULL, NULL) >=
        policy.max_waiting)
    {
        return CW_REF_QUEUE;
    }
    if (spec->max_attempts == 0) {
        spec->max_attempts = policy.max_attempts;
    }
    return cw_bundle_check_fit(bundle, spec);
}

void
api_submit(struct cw_api *api, struct cw_http_call *call, const char *account)
{
    struct cw_work_spec *spec = NULL;
    struct job_call *context;
    char detail[256] = "";
    size_t length;
    const char *body = cw_http_call_body(call, &length);
    enum cw_result result =
        cw_http_call_too_large(call)
            ? CW_REF_TOO_LARGE
            : cw_request_from_json(body, length, account, &spec, detail,
                                   sizeof(detail));

    if (result == CW_OK) {
        result = check_admission(api, spec);
    }
    if (result != CW_OK) {
        cw_count_code(api->options.counters, result);
        api_answer_refused(call,
                           spec != NULL ? api_request_id(spec->request) : NULL,
                           result, *detail != '\0' ? detail : NULL,
                           cw_refusal_is_final(result) ? 0 : API_RETRY_MS);
        cw_request_free(spec);
        return;
    }
    free(spec->service);
    spec->service = strdup(api->options.service);
    spec->accepted_ms = cw_clock_wall_ms(api->options.clock);
    context = job_call_new(api, call, account, api_request_id(spec->request));
    context->body_hash = spec->body_hash;
    cw_entry_submit(api->options.entry, spec, API_STORE_BUDGET_MS,
                    on_submitted, context);
}

/* ---- query and cancel ---- */

/* Determines queue and account of a call; false if there is no configuration
 * yet or the account is not in it. */
static bool
find_route(struct cw_api *api, const char *account, const char *job,
           struct cw_entry_route *route)
{
    const struct cw_routing *routing = cw_entry_routing(api->options.entry);

    if (routing == NULL) {
        return false;
    }
    route->queue = routing->queues->pdata[0];
    route->account = cw_routing_account_by_name(routing, account);
    route->id = job;
    return route->account != NULL;
}

void
api_query(struct cw_api *api, struct cw_http_call *call, const char *account,
          const char *request)
{
    struct job_call *context = job_call_new(api, call, account, request);
    struct cw_entry_route route = {0};
    unsigned phase = 0;
    enum cw_result result = CW_REF_NO_BUNDLE;

    if (find_route(api, account, context->job, &route)) {
        result = cw_entry_query(api->options.entry, &route, &phase);
    }
    if (result == CW_OK) {
        answer_or_wait(context);
    }
    else if (result == CW_E_NOT_FOUND) {
        /* Another VM may have accepted the job since the last read. */
        cw_follower_read_now(cw_replica_follower(api->options.replica));
        wait_for_outcome(context, requested_wait_ms(call));
        job_call_free(context);
    }
    else {
        refuse(context, result);
    }
}

static void
on_cancelled(void *data, enum cw_entry_outcome outcome)
{
    struct job_call *context = data;

    if (outcome == CW_ENTRY_STORED || outcome == CW_ENTRY_NO_JOB) {
        /* The job may have ended already, or may not exist. */
        wait_for_outcome(context, requested_wait_ms(context->call));
        job_call_free(context);
        return;
    }
    refuse(context,
           outcome == CW_ENTRY_NOT_DONE ? CW_REF_LOG_AWAY : CW_REF_UNSURE);
}

void
api_cancel(struct cw_api *api, struct cw_http_call *call, const char *account,
           const char *request)
{
    struct job_call *context = job_call_new(api, call, account, request);
    struct cw_entry_route route = {0};

    if (!find_route(api, account, context->job, &route)) {
        refuse(context, CW_REF_NO_BUNDLE);
        return;
    }
    cw_entry_cancel(api->options.entry, &route, API_STORE_BUDGET_MS,
                    on_cancelled, context);
}

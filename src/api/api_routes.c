/* Routes of the interface, and authentication of callers and operators. */
#include <string.h>
#include <sodium.h>

#include "api/internal/api_private.h"

#define JOBS "/v1/jobs"

static const char *
bearer_token(struct cw_http_call *call)
{
    const char *header = cw_http_call_header(call, "Authorization");

    return header != NULL && g_ascii_strncasecmp(header, "Bearer ", 7) == 0
               ? header + 7
               : NULL;
}

/* Checks the account and its token.  Returns CW_OK or the refusal. */
static enum cw_result
authenticate(const struct cw_api *api, struct cw_http_call *call,
             const char *account)
{
    const struct cw_bundle *bundle = api_bundle(api);
    const struct cw_account_def *def;
    const char *token = bearer_token(call);

    if (bundle == NULL) {
        return CW_REF_NO_BUNDLE;
    }
    def = account != NULL ? cw_bundle_account_by_name(bundle, account) : NULL;
    if (def == NULL) {
        return CW_REF_ACCOUNT;
    }
    if (token == NULL || !cw_bundle_token_ok(def, token)) {
        return CW_REF_TOKEN;
    }
    return CW_OK;
}

static bool
is_operator(const struct cw_api *api, struct cw_http_call *call)
{
    const char *token = bearer_token(call);
    unsigned char hash[CW_HASH_BYTES];

    if (token == NULL) {
        return false;
    }
    crypto_generichash(hash, sizeof(hash), (const unsigned char *)token,
                       strlen(token), NULL, 0);
    return sodium_memcmp(hash, api->options.operator_token_hash,
                         sizeof(hash)) == 0;
}

static void
answer_not_found(struct cw_http_call *call)
{
    api_answer_json(
        call, 404,
        json_pack("{s:i,s:s}", "code", CW_E_NOT_FOUND, "reason", "not_found"),
        false);
}

static void
handle_job(struct cw_api *api, struct cw_http_call *call)
{
    const char *account = cw_http_call_header(call, "X-Curlewcart-Account");
    const char *method = cw_http_call_method(call);
    const char *rest = cw_http_call_path(call) + strlen(JOBS);
    enum cw_result result = authenticate(api, call, account);

    if (result != CW_OK) {
        cw_count_code(api->options.counters, result);
        api_answer_refused(call, NULL, result, NULL,
                           result == CW_REF_NO_BUNDLE ? API_RETRY_MS : 0);
    }
    else if (strcmp(method, "POST") == 0 && *rest == '\0') {
        api_submit(api, call, account);
    }
    else if (strcmp(method, "GET") == 0 && *rest == '/') {
        api_query(api, call, account, rest + 1);
    }
    else if (strcmp(method, "DELETE") == 0 && *rest == '/') {
        api_cancel(api, call, account, rest + 1);
    }
    else {
        answer_not_found(call);
    }
}

/* A route for operators. */
struct ops_route {
    const char *method;
    const char *path;
    void (*handle)(struct cw_api *api, struct cw_http_call *call);
};

static const struct ops_route ops_routes[] = {
    {"GET", "/v1/status", api_status},
    {"GET", "/v1/workers", api_workers},
    {"GET", "/v1/accounts", api_accounts},
    {"GET", "/v1/bundle", api_bundle_show},
    {"POST", "/v1/bundle", api_bundle_submit},
    {"GET", "/v1/explain", api_explain},
    {"GET", "/v1/audit", api_audit},
    {"GET", "/metrics", api_metrics},
};

static void
handle_operator(struct cw_api *api, struct cw_http_call *call)
{
    for (size_t i = 0; i < G_N_ELEMENTS(ops_routes); i++) {
        const struct ops_route *route = &ops_routes[i];

        if (strcmp(route->method, cw_http_call_method(call)) != 0 ||
            strcmp(route->path, cw_http_call_path(call)) != 0)
        {
            continue;
        }
        if (!is_operator(api, call)) {
            cw_count_code(api->options.counters, CW_E_DENIED);
            api_answer_json(call, 401,
                            json_pack("{s:i,s:s}", "code", CW_E_DENIED,
                                      "reason", "denied"),
                            false);
            return;
        }
        route->handle(api, call);
        return;
    }
    answer_not_found(call);
}

void
cw_api_handle(void *context, struct cw_http_call *call)
{
    struct cw_api *api = context;
    const char *path = cw_http_call_path(call);
    size_t jobs = strlen(JOBS);

    pthread_mutex_lock(api->options.engine_lock);
    if (strcmp(path, "/healthz") == 0) {
        api_health(api, call);
    }
    else if (strncmp(path, JOBS, jobs) == 0 &&
             (path[jobs] == '\0' || path[jobs] == '/'))
    {
        handle_job(api, call);
    }
    else {
        handle_operator(api, call);
    }
    pthread_mutex_unlock(api->options.engine_lock);
}

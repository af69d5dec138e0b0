/* Routes of operators. */
#include <string.h>

#include "api/internal/api_private.h"

void
api_health(struct cw_api *api, struct cw_http_call *call)
{
    bool ok = cw_entry_is_ready(api->options.entry);

    api_answer_json(call, ok ? 200 : 503, json_pack("{s:b}", "ok", ok), false);
}

void
api_status(struct cw_api *api, struct cw_http_call *call)
{
    struct cw_entry *entry = api->options.entry;
    struct cw_owner_stats stats;
    json_t *decider;

    cw_owner_stats(api->options.owner, &stats);
    decider = json_pack("{s:i,s:i,s:i}", "jobs", (int)stats.jobs, "running",
                        (int)stats.runs, "workers", (int)stats.targets);
    api_answer_json(
        call, 200,
        json_pack("{s:s,s:s,s:b,s:b,s:b,s:i,s:I,s:i,s:i,s:o}", "vm",
                  api->options.vm, "dc", api->options.dc, "ready",
                  cw_entry_is_ready(entry), "leaving",
                  cw_entry_is_shutting_down(entry), "deciding",
                  cw_owner_active(api->options.owner), "bundle",
                  (int)cw_chain_current_number(api->chain), "requests",
                  (json_int_t)g_hash_table_size(
                      cw_replica_jobs(api->options.replica)),
                  "pending", (int)cw_entry_pending(entry), "waiting_calls",
                  (int)api_waiters_count(api->waiters), "decider", decider),
        false);
}

static void
add_worker(void *context, const struct cw_owner_target_view *view)
{
    json_array_append_new(
        context, json_pack("{s:s,s:s,s:s,s:s,s:i}", "worker", view->id, "dc",
                           view->dc, "rack", view->rack, "state", view->state,
                           "free", (int)view->free_accelerators));
}

void
api_workers(struct cw_api *api, struct cw_http_call *call)
{
    json_t *list = json_array();

    cw_owner_each_target(api->options.owner, add_worker, list);
    api_answer_json(call, 200, json_pack("{s:o}", "workers", list), false);
}

static json_t *
account_json(const struct cw_account_def *account)
{
    json_t *dcs = json_array();

    for (unsigned i = 0; i < account->dcs_count; i++) {
        json_array_append_new(
            dcs, json_pack("{s:s,s:i}", "dc", account->dcs[i], "guarantee",
                           (int)cw_bundle_account_guarantee(account,
                                                            account->dcs[i])));
    }
    return json_pack("{s:s,s:i,s:o}", "account", account->name, "weight",
                     (int)account->weight, "dcs", dcs);
}

void
api_accounts(struct cw_api *api, struct cw_http_call *call)
{
    const struct cw_bundle *bundle = api_bundle(api);
    json_t *list = json_array();

    for (unsigned i = 0; bundle != NULL && i < bundle->doc->accounts_count;
         i++) {
        json_array_append_new(list, account_json(&bundle->doc->accounts[i]));
    }
    api_answer_json(call, 200, json_pack("{s:o}", "accounts", list), false);
}

void
api_metrics(struct cw_api *api, struct cw_http_call *call)
{
    GString *text = g_string_new(NULL);

    cw_count_print(api->options.counters, text);
    cw_http_answer(call, 200, "text/plain; version=0.0.4", text->str,
                   text->len, false);
    g_string_free(text, TRUE);
}

/* ---- explain ---- */

/* Returns the job named "account/id", or NULL. */
static const struct cw_replica_job *
find_named(const struct cw_api *api, const char *key)
{
    const char *slash = key != NULL ? strchr(key, '/') : NULL;
    char id[CW_JOB_ID_SIZE];
    char *account;

    if (slash == NULL) {
        return NULL;
    }
    account = g_strndup(key, (gsize)(slash - key));
    cw_request_job_id(account, slash + 1, id);
    g_free(account);
    return cw_replica_find_job(api->options.replica, id);
}

static void
explain_job(const struct cw_api *api, const struct cw_replica_job *job,
            GString *text)
{
    struct cw_work_record record;

    g_string_append_printf(text, "job %s\n", job->id);
    if (strcmp(api_outcome_name(job), "pending") != 0 &&
        api_record(job, &record)) {
        g_string_append_printf(text, "it ended: %s, %s\n",
                               api_outcome_name(job),
                               cw_result_text(record.reason));
        xdr_free((xdrproc_t)xdr_cw_work_record, (char *)&record);
        return;
    }
    if (!cw_owner_explain(api->options.owner, job->id,
                          cw_clock_now(api->options.clock), text))
    {
        g_string_append(text, "another VM decides; ask the one whose status "
                              "says deciding\n");
    }
}

void
api_explain(struct cw_api *api, struct cw_http_call *call)
{
    const struct cw_replica_job *job =
        find_named(api, cw_http_call_query(call, "key"));
    GString *text = g_string_new(NULL);

    if (job != NULL && job->spec != NULL) {
        explain_job(api, job, text);
    }
    api_answer_json(call, text->len > 0 ? 200 : 404,
                    json_pack("{s:s}", "text", text->str), false);
    g_string_free(text, TRUE);
}

/* ---- audit ---- */

static void
audit_job(const struct cw_replica_job *job, json_t *rows)
{
    struct cw_work_record record;

    if (!api_record(job, &record)) {
        return; /* the job has no state yet */
    }
    for (u_int i = 0; i < record.places.places_len; i++) {
        const struct cw_place_record *place = &record.places.places_val[i];

        json_array_append_new(
            rows, json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:I,s:s,s:I}", "key",
                            job->spec->request, "job", job->id, "account",
                            job->spec->account, "dc", place->dc, "worker",
                            place->worker, "runs", (int)place->runs, "bundle",
                            (json_int_t)record.config, "outcome",
                            api_outcome_name(job), "wall_ms",
                            (json_int_t)record.ended_ms));
    }
    xdr_free((xdrproc_t)xdr_cw_work_record, (char *)&record);
}

void
api_audit(struct cw_api *api, struct cw_http_call *call)
{
    const char *account = cw_http_call_query(call, "account");
    json_t *rows = json_array();
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, cw_replica_jobs(api->options.replica));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct cw_replica_job *job = value;

        if (job->spec != NULL &&
            (account == NULL || strcmp(job->spec->account, account) == 0))
        {
            audit_job(job, rows);
        }
    }
    api_answer_json(call, 200, json_pack("{s:o}", "rows", rows), false);
}

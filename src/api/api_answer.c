/* Answers to callers and operators, as JSON. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "api/internal/api_private.h"
#include "curlewcart/cw_record.h"

void
api_answer_json(struct cw_http_call *call, unsigned status, json_t *body,
                bool close)
{
    char *text = json_dumps(body, JSON_COMPACT);

    g_assert(text != NULL);
    cw_http_answer(call, status, "application/json", text, strlen(text),
                   close);
    free(text);
    json_decref(body);
}

/* HTTP status of a refusal. */
static unsigned
refusal_status(enum cw_result code)
{
    switch (code) {
    case CW_REF_MALFORMED:
        return 400;
    case CW_REF_TOO_LARGE:
        return 413;
    case CW_REF_ACCOUNT:
    case CW_REF_TOKEN:
        return 401;
    case CW_REF_ID_REUSED:
        return 409;
    case CW_REF_GANG:
    case CW_REF_WORKER:
    case CW_REF_RACK:
    case CW_REF_NO_DC:
    case CW_REF_DEADLINE:
    case CW_REF_NOT_PERMITTED:
        return 422;
    case CW_REF_QUEUE:
    case CW_REF_ACCOUNT_LIMIT:
        return 429;
    case CW_E_NOT_FOUND:
        return 404;
    default:
        return 503;
    }
}

void
api_answer_refused(struct cw_http_call *call, const char *id,
                   enum cw_result code, const char *detail, unsigned retry_ms)
{
    json_t *body = json_object();

    if (id != NULL) {
        json_object_set_new(body, "id", json_string(id));
    }
    if (cw_refusal_is_final(code)) {
        json_object_set_new(body, "outcome", json_string("refused"));
        json_object_set_new(body, "ran", json_false());
    }
    else {
        json_object_set_new(body, "outcome", json_string("unavailable"));
        json_object_set_new(body, "ran", json_null());
    }
    json_object_set_new(body, "code", json_integer(code));
    json_object_set_new(body, "reason", json_string(cw_result_name(code)));
    json_object_set_new(
        body, "text",
        json_string(detail != NULL ? detail : cw_result_text(code)));
    if (retry_ms > 0) {
        json_object_set_new(body, "retry_ms", json_integer(retry_ms));
    }
    api_answer_json(call, refusal_status(code), body, code == CW_REF_LEAVING);
}

const char *
api_request_id(const char *request)
{
    const char *slash = strchr(request, '/');

    return slash != NULL ? slash + 1 : request;
}

bool
api_record(const struct cw_replica_job *job, struct cw_work_record *out)
{
    gsize length = 0;
    const void *bytes =
        job->record != NULL ? g_bytes_get_data(job->record, &length) : NULL;

    memset(out, 0, sizeof(*out));
    if (bytes == NULL || !cw_record_decode(bytes, length, out)) {
        if (bytes != NULL) {
            cw_log_error("record_invalid", "id=%s kind=state offset=%" PRIu64,
                         job->id, job->record_offset);
        }
        return false;
    }
    return true;
}

/* Outcome of a cancelled job, depending on whether it had started. */
static const char *
cancelled_name(const struct cw_replica_job *job)
{
    return job->started ? "stopped" : "cancelled";
}

const char *
api_outcome_name(const struct cw_replica_job *job)
{
    unsigned phase = cw_replica_phase(job);

    if (job->record == NULL || !cw_work_is_over(job->recorded_phase)) {
        return "pending";
    }
    return phase == CW_WORK_CANCELLED ? cancelled_name(job)
                                      : cw_work_phase_name(phase);
}

/* Returns whether the job ran: true, false, or null if that is unknown. */
static json_t *
ran_value(const char *outcome, const struct cw_work_record *record)
{
    if (strcmp(outcome, "refused") == 0 || strcmp(outcome, "cancelled") == 0) {
        return json_false();
    }
    if (strcmp(outcome, "lost") == 0 || !record->begun) {
        return json_null();
    }
    return json_true();
}

static json_t *
places_of(const struct cw_work_record *record)
{
    json_t *list = json_array();

    for (u_int i = 0; i < record->places.places_len; i++) {
        const struct cw_place_record *place = &record->places.places_val[i];

        json_array_append_new(list, json_pack("{s:s,s:s,s:i}", "worker",
                                              place->worker, "dc", place->dc,
                                              "runs", (int)place->runs));
    }
    return list;
}

static const char *
first_dc(const struct cw_work_record *record)
{
    return record->places.places_len > 0 ? record->places.places_val[0].dc
                                         : "";
}

void
api_answer_outcome(struct cw_http_call *call, const struct cw_replica_job *job)
{
    const char *outcome = api_outcome_name(job);
    struct cw_work_record record;
    enum cw_result code;

    if (!api_record(job, &record)) {
        api_answer_refused(call, api_request_id(job->spec->request),
                           CW_REF_NO_LEDGER, NULL, API_RETRY_MS);
        return;
    }
    code = cw_replica_phase(job) == CW_WORK_CANCELLED ? CW_END_CANCELLED
                                                      : record.reason;
    api_answer_json(call, 200,
                    json_pack("{s:s,s:s,s:s,s:o,s:i,s:s,s:s,s:s,s:I,s:o,s:s}",
                              "id", api_request_id(job->spec->request), "job",
                              job->id, "outcome", outcome, "ran",
                              ran_value(outcome, &record), "code", (int)code,
                              "reason", cw_result_name(code), "text",
                              cw_result_text(code), "dc", first_dc(&record),
                              "bundle", (json_int_t)record.config, "workers",
                              places_of(&record), "result", record.result),
                    false);
    xdr_free((xdrproc_t)xdr_cw_work_record, (char *)&record);
}

void
api_answer_unknown(struct cw_http_call *call, const char *request)
{
    api_answer_json(call, 404,
                    json_pack("{s:s,s:s,s:i,s:s}", "id", request, "outcome",
                              "unknown", "code", CW_E_NOT_FOUND, "reason",
                              cw_result_name(CW_E_NOT_FOUND)),
                    false);
}

void
api_answer_pending(struct cw_http_call *call, const char *request,
                   bool durable)
{
    api_answer_json(call, 202,
                    json_pack("{s:s,s:s,s:b,s:i}", "id", request, "outcome",
                              "pending", "durable", durable, "retry_ms",
                              API_RETRY_MS),
                    false);
}

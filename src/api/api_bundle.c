/* Signed bundles, which operators submit and the store holds.
 *
 * The store holds one record: the whole version in force, sealed with the
 * deployment's key by the VM that checked its signatures.  The VM appends it
 * on condition that the log still ends at the offset that it has read up to.
 * So if two changes to the same version compete, the first one wins. */
#include <inttypes.h>
#include <string.h>
#include <sodium.h>

#include "api/internal/api_private.h"
#include "curlewcart/cw_xdr.h"

#define BUNDLE_TOPIC "keyed.bundle"
#define BUNDLE_KEY "bundle"

enum { BUNDLE_WAIT_MS = 1000, APPEND_TIMEOUT_MS = 2000 };

struct cw_bundle *
api_bundle(const struct cw_api *api)
{
    return cw_chain_current(api->chain);
}

/* ---- reading ---- */

static void
apply_record(struct cw_api *api, const struct cw_bundle_rec *record,
             uint64_t offset)
{
    unsigned before = cw_chain_current_number(api->chain);
    GString *problems = g_string_new(NULL);
    enum cw_result result = cw_chain_apply(api->chain, record, problems);
    struct cw_routing *routing;

    if (result == CW_OK) {
        struct cw_bundle *bundle = api_bundle(api);

        cw_log_info(
            "config",
            "version=%u before=%u offset=%" PRIu64 " queues=1 accounts=%u",
            bundle->number, before, offset, bundle->doc->accounts_count);
        routing = cw_bundle_routing(bundle, api->options.service);
        api->options.configured(api->options.context, routing);
        cw_routing_unref(routing);
    }
    else if (result != CW_DROP_CONFLICT) { /* another one came first */
        cw_count_code(api->options.counters, result);
        cw_log_error("config_invalid", "offset=%" PRIu64 " reason=\"%s\"",
                     offset, g_strdelimit(problems->str, "\n\"", ' '));
    }
    g_string_free(problems, TRUE);
}

static void
on_record(void *context, const struct cw_store_record *stored)
{
    struct cw_api *api = context;
    struct cw_bundle_rec record;

    if (strcmp(stored->key, BUNDLE_KEY) != 0 || stored->value == NULL) {
        return;
    }
    memset(&record, 0, sizeof(record));
    if (!cw_xdr_decode((xdrproc_t)xdr_cw_bundle_rec, &record, stored->value,
                       stored->length))
    {
        cw_log_error("config_invalid", "offset=%" PRIu64 " reason=undecodable",
                     stored->offset);
        return;
    }
    apply_record(api, &record, stored->offset);
    xdr_free((xdrproc_t)xdr_cw_bundle_rec, &record);
}

void
api_bundle_follow(struct cw_api *api)
{
    struct cw_follower_options options = {
        .name = "config",
        .store = api->options.store,
        .clock = api->options.clock,
        .topic = BUNDLE_TOPIC,
        .wait_ms = BUNDLE_WAIT_MS,
        .handler = {.record = on_record, .context = api},
    };

    api->bundles = cw_follower_create(&options);
}

/* ---- submission ---- */

static void
on_appended(void *context, const struct cw_store_append_result *result)
{
    struct cw_api *api = context;

    cw_log_info("bundle_stored", "status=%s end=%" PRIu64,
                cw_store_status_name(result->status), result->end);
    if (result->status == CW_STORE_CONFLICT) {
        cw_count_code(api->options.counters, CW_DROP_CONFLICT);
    }
    cw_follower_read_now(api->bundles);
}

static void
store_bundle(struct cw_api *api, const struct cw_chain *next)
{
    struct cw_bundle_rec whole;
    struct cw_store_record record = {.key = BUNDLE_KEY};
    struct cw_store_append append = {
        .topic = BUNDLE_TOPIC,
        .records = &record,
        .count = 1,
        .conditional = true,
        .expected_end = cw_follower_position(api->bundles),
        .timeout_ms = APPEND_TIMEOUT_MS,
        .done = on_appended,
        .context = api,
    };
    GByteArray *bytes;

    memset(&whole, 0, sizeof(whole));
    if (!cw_chain_export(next, &whole)) {
        cw_log_error("bundle_stored", "status=no_seal_key");
        return;
    }
    bytes = cw_xdr_encode((xdrproc_t)xdr_cw_bundle_rec, &whole);
    record.value = bytes->data;
    record.length = bytes->len;
    api->options.store->ops->append(api->options.store, &append);
    g_byte_array_unref(bytes);
    xdr_free((xdrproc_t)xdr_cw_bundle_rec, &whole);
}

/* Checks the change on a temporary chain.  The version in force changes only
 * when the stored record is read. */
static enum cw_result
check_and_store(struct cw_api *api, const struct cw_bundle_rec *record,
                GString *problems)
{
    struct cw_chain *next = cw_chain_create(&api->options.chain);
    struct cw_bundle_rec whole;
    enum cw_result result;

    memset(&whole, 0, sizeof(whole));
    if (cw_chain_export(api->chain, &whole)) {
        cw_chain_apply(next, &whole, NULL);
        xdr_free((xdrproc_t)xdr_cw_bundle_rec, &whole);
    }
    result = cw_chain_apply(next, record, problems);
    if (result == CW_OK) {
        store_bundle(api, next);
    }
    cw_chain_free(next);
    return result;
}

static bool
decode_submission(struct cw_http_call *call, struct cw_bundle_rec *record)
{
    size_t length;
    const char *body = cw_http_call_body(call, &length);
    json_t *root = json_loadb(body, length, 0, NULL);
    const char *text = json_string_value(json_object_get(root, "record"));
    guchar *bytes = NULL;
    gsize size = 0;
    bool ok;

    memset(record, 0, sizeof(*record));
    if (text != NULL) {
        bytes = g_base64_decode(text, &size);
    }
    ok = bytes != NULL &&
         cw_xdr_decode((xdrproc_t)xdr_cw_bundle_rec, record, bytes, size);
    g_free(bytes);
    json_decref(root);
    return ok;
}

/* Handles a signed bundle record.  The operator's client polls GET /v1/bundle
 * to find out whether the record came into force. */
void
api_bundle_submit(struct cw_api *api, struct cw_http_call *call)
{
    GString *problems = g_string_new(NULL);
    struct cw_bundle_rec record;
    enum cw_result result;

    if (!decode_submission(call, &record)) {
        api_answer_refused(call, NULL, CW_REF_MALFORMED,
                           "expected a signed bundle record", 0);
        goto done;
    }
    if (!cw_follower_loaded(api->bundles)) {
        api_answer_refused(call, NULL, CW_REF_NO_LEDGER, NULL, API_RETRY_MS);
        goto release;
    }
    result = check_and_store(api, &record, problems);
    cw_log_info("bundle_offered", "version=%u parent=%u outcome=%s",
                record.number, record.parent, cw_result_name(result));
    api_answer_json(call, 202,
                    json_pack("{s:b,s:s,s:s}", "offered", 1, "verdict",
                              cw_result_name(result), "text", problems->str),
                    false);

release:
    xdr_free((xdrproc_t)xdr_cw_bundle_rec, &record);
done:
    g_string_free(problems, TRUE);
}

void
api_bundle_show(struct cw_api *api, struct cw_http_call *call)
{
    const struct cw_bundle *bundle = api_bundle(api);
    char hash[2 * CW_HASH_BYTES + 1];
    const char *content;
    gsize size;

    if (bundle == NULL) {
        api_answer_json(call, 200,
                        json_pack("{s:i,s:s,s:s}", "version", 0, "hash", "",
                                  "content", ""),
                        false);
        return;
    }
    sodium_bin2hex(hash, sizeof(hash), bundle->hash, CW_HASH_BYTES);
    content = g_bytes_get_data(bundle->content, &size);
    api_answer_json(call, 200,
                    json_pack("{s:i,s:s,s:s%}", "version", (int)bundle->number,
                              "hash", hash, "content", content, size),
                    false);
}

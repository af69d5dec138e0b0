/* Carrying out other VMs' calls to the store. */
#include "relay/internal/relay_private.h"

#include <string.h>

#include "curlewcart/cw_store.h"

enum {
    /* Below the asking VM's patience, so that it hears how it went. */
    SERVE_TIMEOUT_MS = 600,
    /* Room for an answer's own fields in a datagram. */
    ANSWER_BYTES_MAX = CW_RELAY_BYTES_MAX - 1024,
    RECORD_BYTES_EXTRA = 24
};

/* A request under way. */
struct served {
    struct relay_server *server;
    struct relay_caller caller;
};

static struct served *
served_new(struct relay_server *server, const struct relay_caller *caller)
{
    struct served *served = g_new0(struct served, 1);

    served->server = server;
    served->caller = *caller;
    return served;
}

static void
finish(struct served *served, const struct cw_relay_answer *answer)
{
    relay_rpc_answer(served->server->rpc, &served->caller, answer);
    g_free(served);
}

static void
on_appended(void *context, const struct cw_store_append_result *result)
{
    struct cw_relay_answer answer = {
        .status = result->status,
        .first = result->first,
        .end = result->end,
        .expected_sequence = result->expected_sequence,
    };

    finish(context, &answer);
}

/* As many records as a datagram holds; the asking VM reads on. */
static void
on_page(void *context, const struct cw_store_page *page)
{
    struct cw_relay_answer answer = {.status = page->status,
                                     .first = page->first,
                                     .end = page->end,
                                     .more = page->more};
    struct cw_relay_record *records =
        g_new0(struct cw_relay_record, page->count + 1);
    size_t bytes = 0;
    u_int count = 0;

    for (size_t i = 0; i < page->count; i++) {
        const struct cw_store_record *record = &page->records[i];

        bytes += strlen(record->key) + record->length + RECORD_BYTES_EXTRA;
        if (bytes > ANSWER_BYTES_MAX || count == CW_RELAY_RECORDS_MAX) {
            answer.more = true;
            break;
        }
        records[count].key = (char *)record->key;
        records[count].value.value_val = (char *)record->value;
        records[count].value.value_len = (u_int)record->length;
        records[count].offset = record->offset;
        count++;
    }
    if (count == 0 && page->count > 0) {
        answer.status = CW_STORE_REFUSED; /* too large for a datagram */
    }
    answer.records.records_val = records;
    answer.records.records_len = count;
    finish(context, &answer);
    g_free(records);
}

static void
on_joined(void *context, const struct cw_store_join_result *result)
{
    struct cw_relay_answer answer = {.status = result->status,
                                     .generation = result->generation};

    answer.partitions.partitions_val = (u_int *)result->partitions;
    answer.partitions.partitions_len = (u_int)MIN(result->count, 1024);
    finish(context, &answer);
}

static void
serve_ping(struct relay_server *server, const struct relay_caller *caller)
{
    struct cw_relay_answer answer = {.status = CW_STORE_OK};

    relay_rpc_answer(server->rpc, caller, &answer);
}

void
relay_serve_refuse(struct relay_server *server,
                   const struct relay_caller *caller)
{
    struct cw_relay_answer answer = {.status = CW_STORE_REFUSED};

    relay_rpc_answer(server->rpc, caller, &answer);
}

void
relay_serve(struct relay_server *server, const struct relay_caller *caller,
            const struct cw_relay_request *request)
{
    struct relay_handlers handlers = {
        .appended = on_appended, .page = on_page, .joined = on_joined};

    if (request->kind == CW_RELAY_PING) {
        serve_ping(server, caller);
        return;
    }
    handlers.context = served_new(server, caller);
    relay_issue(server->direct, request, SERVE_TIMEOUT_MS + request->wait_ms,
                &handlers);
}

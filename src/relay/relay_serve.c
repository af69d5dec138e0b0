/* Carries out other VMs' calls to the store. */
#include "relay/internal/relay_private.h"

#include <string.h>

#include "curlewcart/cw_store.h"

enum {
    /* Meant to be shorter than the requesting VM's timeout, so that this VM's
     * answer is in time.  PEER_TIMEOUT_MS in relay.c is shorter, however: the
     * requesting VM ignores an answer that arrives later. */
    SERVE_TIMEOUT_MS = 600,
    /* Leaves space in a datagram for the other fields of an answer. */
    ANSWER_RECORDS_BYTES_MAX = CW_RELAY_BYTES_MAX - 1024,
    RECORD_OVERHEAD_BYTES = 24
};

/* A request of another VM that waits for the store's answer. */
struct peer_request {
    struct relay_server *server;
    struct relay_requester requester;
};

static struct peer_request *
peer_request_new(struct relay_server *server,
                 const struct relay_requester *requester)
{
    struct peer_request *peer_request = g_new0(struct peer_request, 1);

    peer_request->server = server;
    peer_request->requester = *requester;
    return peer_request;
}

static void
send_answer(struct peer_request *peer_request,
            const struct cw_relay_answer *answer)
{
    relay_rpc_answer(peer_request->server->rpc, &peer_request->requester,
                     answer);
    g_free(peer_request);
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

    send_answer(context, &answer);
}

/* Answers with as many records as fit into a datagram; the requesting VM then
 * requests the rest. */
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

        bytes += strlen(record->key) + record->length + RECORD_OVERHEAD_BYTES;
        if (bytes > ANSWER_RECORDS_BYTES_MAX || count == CW_RELAY_RECORDS_MAX)
        {
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
        answer.status = CW_STORE_NOT_EXECUTED; /* too large for a datagram */
    }
    answer.records.records_val = records;
    answer.records.records_len = count;
    send_answer(context, &answer);
    g_free(records);
}

static void
on_joined(void *context, const struct cw_store_join_result *result)
{
    struct cw_relay_answer answer = {.status = result->status,
                                     .generation = result->generation};

    answer.partitions.partitions_val = (u_int *)result->partitions;
    answer.partitions.partitions_len = (u_int)MIN(result->count, 1024);
    send_answer(context, &answer);
}

static void
serve_ping(struct relay_server *server,
           const struct relay_requester *requester)
{
    struct cw_relay_answer answer = {.status = CW_STORE_OK};

    relay_rpc_answer(server->rpc, requester, &answer);
}

void
relay_serve_refuse(struct relay_server *server,
                   const struct relay_requester *requester)
{
    struct cw_relay_answer answer = {.status = CW_STORE_NOT_EXECUTED};

    relay_rpc_answer(server->rpc, requester, &answer);
}

void
relay_serve(struct relay_server *server,
            const struct relay_requester *requester,
            const struct cw_relay_request *request)
{
    struct relay_handlers handlers = {
        .appended = on_appended, .page = on_page, .joined = on_joined};

    if (request->kind == CW_RELAY_PING) {
        serve_ping(server, requester);
        return;
    }
    handlers.context = peer_request_new(server, requester);
    relay_issue(server->direct, request, SERVE_TIMEOUT_MS + request->wait_ms,
                &handlers);
}

/* Sends the call that a relay request describes to a store. */
#include "relay/internal/relay_private.h"

static void
issue_append(struct cw_store *store, const struct cw_relay_request *request,
             unsigned timeout_ms, const struct relay_handlers *handlers)
{
    u_int count = request->records.records_len;
    struct cw_store_record *records =
        g_new0(struct cw_store_record, count + 1);
    struct cw_store_append call = {
        .topic = request->topic,
        .partition = request->partition,
        .records = records,
        .count = count,
        .writer = request->writer[0] != '\0' ? request->writer : NULL,
        .epoch = request->epoch,
        .sequence = request->sequence,
        .conditional = request->conditional,
        .expected_end = request->expected_end,
        .timeout_ms = timeout_ms,
        .done = handlers->appended,
        .context = handlers->context,
    };

    for (u_int i = 0; i < count; i++) {
        const struct cw_relay_record *given = &request->records.records_val[i];

        records[i].key = given->key;
        records[i].length = given->value.value_len;
        records[i].value =
            given->value.value_len > 0 ? given->value.value_val : NULL;
    }
    store->ops->append(store, &call);
    g_free(records);
}

static void
issue_read(struct cw_store *store, const struct cw_relay_request *request,
           unsigned timeout_ms, const struct relay_handlers *handlers)
{
    struct cw_store_read call = {
        .topic = request->topic,
        .partition = request->partition,
        .from = request->from,
        .wait_ms = request->wait_ms,
        .most_kb = request->most_kb,
        .timeout_ms = timeout_ms,
        .done = handlers->page,
        .context = handlers->context,
    };

    store->ops->read(store, &call);
}

static void
issue_newest(struct cw_store *store, const struct cw_relay_request *request,
             unsigned timeout_ms, const struct relay_handlers *handlers)
{
    struct cw_store_read_newest call = {
        .topic = request->topic,
        .partition = request->partition,
        .after = request->after[0] != '\0' ? request->after : NULL,
        .timeout_ms = timeout_ms,
        .done = handlers->page,
        .context = handlers->context,
    };

    store->ops->newest(store, &call);
}

static void
issue_join(struct cw_store *store, const struct cw_relay_request *request,
           unsigned timeout_ms, const struct relay_handlers *handlers)
{
    struct cw_store_join call = {
        .group = request->group,
        .member = request->member,
        .topic = request->topic,
        .ttl_ms = request->ttl_ms,
        .generation = request->generation,
        .timeout_ms = timeout_ms,
        .done = handlers->joined,
        .context = handlers->context,
    };

    store->ops->join(store, &call);
}

void
relay_issue(struct cw_store *store, const struct cw_relay_request *request,
            unsigned timeout_ms, const struct relay_handlers *handlers)
{
    switch (request->kind) {
    case CW_RELAY_APPEND:
        issue_append(store, request, timeout_ms, handlers);
        break;
    case CW_RELAY_READ:
        issue_read(store, request, timeout_ms, handlers);
        break;
    case CW_RELAY_NEWEST:
        issue_newest(store, request, timeout_ms, handlers);
        break;
    case CW_RELAY_JOIN:
        issue_join(store, request, timeout_ms, handlers);
        break;
    case CW_RELAY_PING:
    case CW_RELAY_SUPPORT:
        break; /* not a call to a store */
    }
}

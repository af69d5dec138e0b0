/* A store that sends calls to the platform's store, directly or through
 * another VM. */
#include "curlewcart/cw_relay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>

#include "curlewcart/cw_log.h"
#include "relay/internal/relay_private.h"

enum {
    PEERS_TRIED_MAX = 3,
    PEER_TIMEOUT_MS = 350,
    /* How long a VM is avoided after a call that was sent through it was
     * refused or got no answer. */
    PEER_AVOID_MS = 1500,
    PEER_READ_WAIT_MAX_MS = 250,
    /* Well below the limit of an answer (CW_RELAY_BYTES_MAX): a larger
     * datagram occupies a slow link for 250 ms, and delays later datagrams
     * or causes their loss. */
    PEER_READ_MAX_KB = 24,
    /* If PEERS_TRIED_MAX VMs refuse a call, the store serves no VM, or its
     * limit on the rate of calls is exceeded: for this long no call to the
     * store is sent through another VM. */
    PEERS_PAUSE_MS = 2000
};

/* A call in flight; `request` has its parameters. */
struct relay_call {
    struct cw_relay *relay;
    struct cw_relay_request request;
    unsigned timeout_ms;
    unsigned peers_tried;
    unsigned peers_refused; /* other VMs that refused the call */
    bool direct_tried;
    bool outcome_unknown; /* the call may have been carried out */
    char *peer_address;
    void (*appended)(void *, const struct cw_store_append_result *);
    void (*page)(void *, const struct cw_store_page *);
    void (*joined)(void *, const struct cw_store_join_result *);
    void *context;
};

/* A read that was sent to the store directly. */
struct direct_read {
    struct cw_relay *relay;
    struct relay_call *call; /* NULL once the call was sent through another VM
                              */
};

static void try_next_route(struct relay_call *call);

/* ---- calls ---- */

static struct relay_call *
call_new(struct cw_store *base, enum cw_relay_kind kind, unsigned timeout_ms,
         void *context)
{
    struct relay_call *call = g_new0(struct relay_call, 1);

    call->relay = (struct cw_relay *)base;
    call->timeout_ms = timeout_ms;
    call->context = context;
    call->request.kind = kind;
    call->request.topic = strdup("");
    call->request.writer = strdup("");
    call->request.after = strdup("");
    call->request.group = strdup("");
    call->request.member = strdup("");
    return call;
}

static void
set_text(char **member, const char *text)
{
    free(*member);
    *member = strdup(text);
}

static void
call_free(struct relay_call *call)
{
    xdr_free((xdrproc_t)xdr_cw_relay_request, (char *)&call->request);
    g_free(call->peer_address);
    g_free(call);
}

/* Passes the answer to the caller and frees the call. */
static void
deliver(struct relay_call *call, const struct cw_relay_answer *answer)
{
    u_int count = answer->records.records_len;

    if (call->appended != NULL) {
        struct cw_store_append_result appended = {
            .status = (enum cw_store_status)answer->status,
            .first = answer->first,
            .end = answer->end,
            .expected_sequence = answer->expected_sequence,
        };

        call->appended(call->context, &appended);
    }
    else if (call->joined != NULL) {
        struct cw_store_join_result joined = {
            .status = (enum cw_store_status)answer->status,
            .generation = answer->generation,
            .partitions = answer->partitions.partitions_val,
            .count = answer->partitions.partitions_len,
        };

        call->joined(call->context, &joined);
    }
    else {
        struct cw_store_record *records =
            g_new0(struct cw_store_record, count + 1);
        struct cw_store_page page = {
            .status = (enum cw_store_status)answer->status,
            .end = answer->end,
            .first = answer->first,
            .records = records,
            .count = count,
            .more = answer->more,
        };

        for (u_int i = 0; i < count; i++) {
            const struct cw_relay_record *from =
                &answer->records.records_val[i];

            records[i].key = from->key;
            records[i].length = from->value.value_len;
            records[i].value =
                from->value.value_len > 0 ? from->value.value_val : NULL;
            records[i].offset = from->offset;
        }
        call->page(call->context, &page);
        g_free(records);
    }
    call_free(call);
}

static void
deliver_failure(struct relay_call *call)
{
    struct cw_relay_answer answer = {.status = call->outcome_unknown
                                                   ? CW_STORE_UNKNOWN
                                                   : CW_STORE_NOT_EXECUTED};

    deliver(call, &answer);
}

/* ---- direct calls to the store ---- */

/* Records the status of a direct call.  If the call failed, tries another VM
 * or delivers the failure, and returns true. */
static bool
handle_direct_failure(struct relay_call *call, enum cw_store_status status)
{
    relay_record_direct_status(call->relay, status);
    if (status != CW_STORE_NOT_EXECUTED && status != CW_STORE_UNKNOWN) {
        return false;
    }
    call->outcome_unknown =
        call->outcome_unknown || status == CW_STORE_UNKNOWN;
    if (status == CW_STORE_NOT_EXECUTED && call->relay->store_reachable) {
        deliver_failure(call); /* a first refusal: the caller retries */
    }
    else {
        try_next_route(call);
    }
    return true;
}

static void
on_direct_appended(void *context, const struct cw_store_append_result *result)
{
    struct relay_call *call = context;

    if (!handle_direct_failure(call, result->status)) {
        call->appended(call->context, result);
        call_free(call);
    }
}

static void
on_direct_page(void *context, const struct cw_store_page *page)
{
    struct direct_read *read = context;
    struct relay_call *call = read->call;
    struct cw_relay *relay = read->relay;

    g_ptr_array_remove_fast(relay->direct_reads, read);
    g_free(read);
    if (call == NULL) {
        relay_record_direct_status(relay, page->status);
        return;
    }
    if (!handle_direct_failure(call, page->status)) {
        call->page(call->context, page);
        call_free(call);
    }
}

static void
on_direct_joined(void *context, const struct cw_store_join_result *result)
{
    struct relay_call *call = context;

    call->relay->join_in_flight = false;
    if (!handle_direct_failure(call, result->status)) {
        call->joined(call->context, result);
        call_free(call);
    }
}

static bool
is_read(const struct relay_call *call)
{
    return call->request.kind == CW_RELAY_READ ||
           call->request.kind == CW_RELAY_NEWEST;
}

static struct direct_read *
direct_read_new(struct relay_call *call)
{
    struct direct_read *read = g_new0(struct direct_read, 1);

    read->relay = call->relay;
    read->call = call;
    g_ptr_array_add(call->relay->direct_reads, read);
    return read;
}

static void
try_direct(struct relay_call *call)
{
    struct cw_relay *relay = call->relay;
    struct relay_handlers handlers = {.appended = on_direct_appended,
                                      .page = on_direct_page,
                                      .joined = on_direct_joined,
                                      .context = call};

    call->direct_tried = true;
    if (call->request.kind == CW_RELAY_JOIN) {
        relay->join_in_flight = true;
        relay->join_sent = relay_now(relay);
    }
    if (is_read(call)) {
        handlers.context = direct_read_new(call);
    }
    relay_issue(relay->options.direct, &call->request, call->timeout_ms,
                &handlers);
}

/* ---- other VMs ---- */

static void
on_peer_answer(void *context, const struct cw_relay_answer *answer)
{
    struct relay_call *call = context;
    struct cw_relay *relay = call->relay;
    struct peer *peer = relay_find_peer(relay, call->peer_address);
    struct timespec now = relay_now(relay);

    if (answer != NULL && peer != NULL) {
        peer->answered_at = now;
    }
    if (answer != NULL && answer->status != CW_STORE_NOT_EXECUTED &&
        answer->status != CW_STORE_UNKNOWN)
    {
        cw_count_add(relay->options.counters, CW_COUNT_RELAYED, 1);
        deliver(call, answer);
        return;
    }
    if (answer == NULL || answer->status == CW_STORE_UNKNOWN) {
        call->outcome_unknown = true;
    }
    if (peer != NULL) {
        peer->avoid_until = cw_time_add_ms(now, PEER_AVOID_MS);
    }
    call->peers_refused +=
        answer != NULL && answer->status == CW_STORE_NOT_EXECUTED;
    if (call->peers_refused == PEERS_TRIED_MAX) {
        relay->peers_paused_until = cw_time_add_ms(now, PEERS_PAUSE_MS);
    }
    try_next_route(call);
}

static void
try_peer(struct relay_call *call, struct peer *peer)
{
    struct cw_relay *relay = call->relay;
    unsigned wait_ms = MIN(call->request.wait_ms, PEER_READ_WAIT_MAX_MS);
    struct timespec deadline =
        cw_time_add_ms(relay_now(relay), wait_ms + PEER_TIMEOUT_MS);

    call->peers_tried++;
    call->request.wait_ms = wait_ms;
    call->request.most_kb = PEER_READ_MAX_KB;
    g_free(call->peer_address);
    call->peer_address = g_strdup(peer->address);
    relay_rpc_send(relay->rpc, &peer->socket, &call->request, deadline,
                   on_peer_answer, call);
}

/* True if the request can be sent in a datagram.  An append may be too large;
 * no other VM is to blame for that.  Until the store answers this VM itself
 * again, its joins are not sent through other VMs either: it cannot write what
 * an owner has to, and a VM that the store serves can. */
static bool
fits_into_datagram(const struct relay_call *call)
{
    struct cw_relay *relay = call->relay;
    unsigned long bytes =
        xdr_sizeof((xdrproc_t)xdr_cw_relay_request, (void *)&call->request);

    if (bytes == 0 || bytes > CW_RELAY_BYTES_MAX) {
        cw_log_info("relay_too_large", "topic=%s records=%u bytes=%lu",
                    call->request.topic, call->request.records.records_len,
                    bytes);
        relay->joins_only_directly = true;
        return false;
    }
    return true;
}

/* True if the call may be sent through another VM, provided that one is not
 * avoided. */
static bool
can_use_peers(const struct relay_call *call)
{
    const struct cw_relay *relay = call->relay;

    if (relay->joins_only_directly && call->request.kind == CW_RELAY_JOIN) {
        return false;
    }
    return call->peers_tried < PEERS_TRIED_MAX && relay->peers->len > 0 &&
           relay_rpc_has_key(relay->rpc) &&
           !cw_time_before(relay_now(relay), relay->peers_paused_until) &&
           fits_into_datagram(call);
}

static void
try_next_route(struct relay_call *call)
{
    struct cw_relay *relay = call->relay;
    struct peer *peer = can_use_peers(call)
                            ? relay_choose_peer(relay, relay_now(relay))
                            : NULL;

    if (peer != NULL) {
        try_peer(call, peer);
    }
    else if (!call->direct_tried) {
        try_direct(call);
    }
    else {
        deliver_failure(call);
    }
}

/* Sends the direct reads in flight through other VMs once the store is
 * suspected not to answer this VM: a read that waits for records would fail a
 * second later than other calls.  If the store still answers the direct read,
 * only the status of that answer is used.  Reads of newest records are not
 * diverted, as their pages do not fit into a datagram. */
static void
divert_reads(struct cw_relay *relay)
{
    for (guint i = 0; i < relay->direct_reads->len; i++) {
        struct direct_read *read = relay->direct_reads->pdata[i];
        struct relay_call *call = read->call;

        if (call != NULL && call->request.kind == CW_RELAY_READ &&
            can_use_peers(call)) {
            read->call = NULL;
            call->outcome_unknown = true;
            try_next_route(call);
        }
    }
}

static void
start_call(struct relay_call *call)
{
    struct cw_relay *relay = call->relay;
    bool divert = relay->store_suspect && call->request.kind == CW_RELAY_READ;

    if (relay->store_reachable && !divert) {
        try_direct(call);
    }
    else {
        try_next_route(call);
    }
}

/* ---- the store's operations ---- */

static void
relay_append(struct cw_store *base, const struct cw_store_append *append)
{
    struct relay_call *call =
        call_new(base, CW_RELAY_APPEND, append->timeout_ms, append->context);
    struct cw_relay_request *request = &call->request;

    call->appended = append->done;
    set_text(&request->topic, append->topic);
    request->partition = append->partition;
    if (append->writer != NULL) {
        set_text(&request->writer, append->writer);
    }
    request->epoch = append->epoch;
    request->sequence = append->sequence;
    request->conditional = append->conditional;
    request->expected_end = append->expected_end;
    request->records.records_len = (u_int)append->count;
    request->records.records_val =
        calloc(append->count + 1, sizeof(struct cw_relay_record));
    for (size_t i = 0; i < append->count; i++) {
        const struct cw_store_record *from = &append->records[i];
        struct cw_relay_record *to = &request->records.records_val[i];

        to->key = strdup(from->key);
        to->value.value_len = from->value != NULL ? (u_int)from->length : 0;
        to->value.value_val = malloc(to->value.value_len + 1);
        memcpy(to->value.value_val, from->value != NULL ? from->value : "",
               to->value.value_len);
    }
    start_call(call);
}

static void
relay_read(struct cw_store *base, const struct cw_store_read *read)
{
    struct relay_call *call =
        call_new(base, CW_RELAY_READ, read->timeout_ms, read->context);

    call->page = read->done;
    set_text(&call->request.topic, read->topic);
    call->request.partition = read->partition;
    call->request.from = read->from;
    call->request.wait_ms = read->wait_ms;
    call->request.most_kb = read->most_kb;
    start_call(call);
}

static void
relay_newest(struct cw_store *base, const struct cw_store_read_newest *newest)
{
    struct relay_call *call =
        call_new(base, CW_RELAY_NEWEST, newest->timeout_ms, newest->context);

    call->page = newest->done;
    set_text(&call->request.topic, newest->topic);
    call->request.partition = newest->partition;
    if (newest->after != NULL) {
        set_text(&call->request.after, newest->after);
    }
    start_call(call);
}

static void
relay_join(struct cw_store *base, const struct cw_store_join *join)
{
    struct relay_call *call =
        call_new(base, CW_RELAY_JOIN, join->timeout_ms, join->context);

    call->joined = join->done;
    set_text(&call->request.topic, join->topic);
    set_text(&call->request.group, join->group);
    set_text(&call->request.member, join->member);
    call->request.ttl_ms = join->ttl_ms;
    call->request.generation = join->generation;
    start_call(call);
}

static void
relay_leave(struct cw_store *base, const struct cw_store_leave *leave)
{
    struct cw_store *direct = ((struct cw_relay *)base)->options.direct;

    direct->ops->leave(direct, leave);
}

static void
relay_members(struct cw_store *base, const struct cw_store_list_members *list)
{
    struct cw_store *direct = ((struct cw_relay *)base)->options.direct;

    direct->ops->members(direct, list);
}

/* ---- public ---- */

static void
on_request(void *context, const struct relay_requester *requester,
           const struct cw_relay_request *request)
{
    struct cw_relay *relay = context;

    if (request->kind == CW_RELAY_SUPPORT) {
        relay_serve_support(relay, requester, request);
    }
    else if (relay->store_reachable) {
        relay_serve(&relay->server, requester, request);
    }
    else {
        relay_serve_refuse(&relay->server, requester);
    }
}

struct cw_relay *
cw_relay_create(const struct cw_relay_options *options)
{
    static const struct cw_store_ops ops = {
        .append = relay_append,
        .read = relay_read,
        .newest = relay_newest,
        .join = relay_join,
        .leave = relay_leave,
        .members = relay_members,
    };
    struct cw_relay *relay = g_new0(struct cw_relay, 1);
    struct relay_rpc_options rpc = {
        .address = options->address, .request = on_request, .context = relay};
    struct timespec now = cw_clock_now(options->clock);

    relay->base.ops = &ops;
    relay->options = *options;
    relay->peers = g_ptr_array_new_with_free_func(relay_peer_free);
    relay->direct_reads = g_ptr_array_new();
    relay->store_reachable = true;
    relay->started_at = now;
    relay->members_due = cw_time_add_ms(now, RELAY_NO_PEERS_INTERVAL_MS);
    relay->rpc = relay_rpc_create(&rpc);
    if (relay->rpc == NULL) {
        cw_relay_free(relay);
        return NULL;
    }
    relay->address = relay_rpc_address(relay->rpc);
    /* VMs that lose the store at the same time start with different VMs. */
    relay->next_peer = g_str_hash(relay->address);
    relay_peers_init(relay);
    relay->server.rpc = relay->rpc;
    relay->server.direct = options->direct;
    return relay;
}

void
cw_relay_free(struct cw_relay *relay)
{
    if (relay != NULL) {
        relay_rpc_free(relay->rpc);
        g_ptr_array_unref(relay->peers);
        g_ptr_array_unref(relay->direct_reads);
        g_free(relay->address);
        g_free(relay);
    }
}

struct cw_store *
cw_relay_store(struct cw_relay *relay)
{
    return &relay->base;
}

struct cw_peers *
cw_relay_peers(struct cw_relay *relay)
{
    return &relay->as_peers.base;
}

const char *
cw_relay_address(const struct cw_relay *relay)
{
    return relay->address;
}

int
cw_relay_descriptor(const struct cw_relay *relay)
{
    return relay_rpc_descriptor(relay->rpc);
}

void
cw_relay_receive(struct cw_relay *relay)
{
    pthread_mutex_lock(relay->options.engine_lock);
    relay_rpc_receive(relay->rpc);
    pthread_mutex_unlock(relay->options.engine_lock);
}

struct timespec
cw_relay_tick(struct cw_relay *relay, struct timespec now)
{
    struct timespec next = relay_rpc_expire(relay->rpc, now);

    relay_check_isolation(relay, now);
    if (relay->store_suspect) {
        divert_reads(relay);
        cw_time_set_earlier(&next, relay->ping_due);
    }
    if (!relay_rpc_has_key(relay->rpc) && !relay->key_request_in_flight) {
        if (!cw_time_before(now, relay->key_due)) {
            relay_request_key(relay);
        }
        else {
            cw_time_set_earlier(&next, relay->key_due);
        }
    }
    if (!relay->members_request_in_flight) {
        if (!cw_time_before(now, relay->members_due)) {
            relay_request_members(relay);
        }
        else {
            cw_time_set_earlier(&next, relay->members_due);
        }
    }
    return next;
}

bool
cw_relay_is_isolated(const struct cw_relay *relay)
{
    return relay->isolated;
}

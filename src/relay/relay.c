/* A store that goes straight to the platform's, or through another VM. */
#include "curlewcart/cw_relay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>

#include "curlewcart/cw_log.h"
#include "relay/internal/relay_private.h"

enum {
    /* Calls in a row that the store did not answer well. */
    FAILURES_MOST = 2,
    PEERS_TRIED_MOST = 3,
    PEER_TIMEOUT_MS = 350,
    /* A VM that did not answer, or is turned away itself. */
    PEER_AVOID_MS = 1500,
    READ_WAIT_MS = 250,
    PROBE_EVERY_MS = 600,
    PROBE_TIMEOUT_MS = 500,
    MEMBERS_FIRST_MS = 1500,
    MEMBERS_EVERY_MS = 10000,
    KEY_RETRY_MS = 400,
    /* A join takes a few ms, a quarter second while the store is slow. */
    SUSPECT_MS = 350,
    PING_EVERY_MS = 200,
    PING_TIMEOUT_MS = 300,
    /* Of the other VMs; with fewer than half of them answering for so long
     * this VM is cut off, alone or with its data centre. */
    PINGS_AT_ONCE = 12,
    ISOLATED_MS = 500
};

#define SECRET_TOPIC "keyed.secret"
#define SECRET_KEY "relay"

/* Another VM. */
struct peer {
    char *address; /* HOST:PORT */
    struct sockaddr_in socket;
    struct timespec avoid_until;
    struct timespec heard_at;
};

struct cw_relay {
    struct cw_store base;
    struct cw_relay_options options;
    char *address;
    struct relay_rpc *rpc;
    struct relay_server server;
    GPtrArray *peers; /* struct peer */
    guint next_peer;
    unsigned failures; /* of the store, in a row */
    bool reaches;      /* the store answers this VM */
    struct timespec lost_at;
    bool join_in_flight;
    struct timespec join_sent;
    bool suspect; /* the store has not answered well since */
    struct timespec suspect_since;
    struct timespec ping_due;
    bool isolated;
    bool members_in_flight;
    struct timespec members_due;
    bool key_in_flight;
    struct timespec key_due;
};

/* A call under way; `request` holds what it is about. */
struct relay_call {
    struct cw_relay *relay;
    struct cw_relay_request request;
    unsigned timeout_ms;
    unsigned peers_tried;
    bool direct_tried;
    bool unsure; /* it may have been carried out */
    char *peer_address;
    void (*appended)(void *, const struct cw_store_appended *);
    void (*page)(void *, const struct cw_store_page *);
    void (*joined)(void *, const struct cw_store_joined *);
    void *context;
};

static void try_next(struct relay_call *call);

static struct timespec
relay_now(const struct cw_relay *relay)
{
    return cw_clock_now(relay->options.clock);
}

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

/* Gives the caller an answer and ends the call. */
static void
deliver(struct relay_call *call, const struct cw_relay_answer *answer)
{
    u_int count = answer->records.records_len;

    if (call->appended != NULL) {
        struct cw_store_appended appended = {
            .status = (enum cw_store_status)answer->status,
            .first = answer->first,
            .end = answer->end,
            .expected_sequence = answer->expected_sequence,
        };

        call->appended(call->context, &appended);
    }
    else if (call->joined != NULL) {
        struct cw_store_joined joined = {
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
    struct cw_relay_answer answer = {
        .status = call->unsure ? CW_STORE_UNKNOWN : CW_STORE_REFUSED};

    deliver(call, &answer);
}

/* ---- the store itself ---- */

static void
suspect(struct cw_relay *relay)
{
    if (!relay->suspect) {
        relay->suspect = true;
        relay->suspect_since = relay_now(relay);
        relay->ping_due = relay->suspect_since;
        relay->members_due = relay->suspect_since;
    }
}

static void
note_direct(struct cw_relay *relay, enum cw_store_status status)
{
    if (status != CW_STORE_REFUSED && status != CW_STORE_UNKNOWN) {
        if (!relay->reaches) {
            cw_log_info("dependency_regained", "what=store away_ms=%" PRId64,
                        cw_time_diff_ms(relay->lost_at, relay_now(relay)));
        }
        relay->failures = 0;
        relay->reaches = true;
        relay->suspect = false;
        return;
    }
    relay->failures++;
    suspect(relay);
    if (relay->reaches && relay->failures >= FAILURES_MOST) {
        relay->reaches = false;
        relay->lost_at = relay_now(relay);
        relay->members_due = relay->lost_at;
        cw_log_warning(
            "dependency_lost", "what=store status=%s failures=%u peers=%u",
            cw_store_status_name(status), relay->failures, relay->peers->len);
    }
}

/* True if the call goes on elsewhere. */
static bool
direct_failed(struct relay_call *call, enum cw_store_status status)
{
    note_direct(call->relay, status);
    if (status != CW_STORE_REFUSED && status != CW_STORE_UNKNOWN) {
        return false;
    }
    call->unsure = call->unsure || status == CW_STORE_UNKNOWN;
    if (status == CW_STORE_REFUSED && call->relay->reaches) {
        deliver_failure(call); /* once may be chance: the caller asks again */
    }
    else {
        try_next(call);
    }
    return true;
}

static void
on_direct_appended(void *context, const struct cw_store_appended *result)
{
    struct relay_call *call = context;

    if (!direct_failed(call, result->status)) {
        call->appended(call->context, result);
        call_free(call);
    }
}

static void
on_direct_page(void *context, const struct cw_store_page *page)
{
    struct relay_call *call = context;

    if (!direct_failed(call, page->status)) {
        call->page(call->context, page);
        call_free(call);
    }
}

static void
on_direct_joined(void *context, const struct cw_store_joined *result)
{
    struct relay_call *call = context;

    call->relay->join_in_flight = false;
    if (!direct_failed(call, result->status)) {
        call->joined(call->context, result);
        call_free(call);
    }
}

static void
direct_append(struct relay_call *call)
{
    const struct cw_relay_request *request = &call->request;
    u_int count = request->records.records_len;
    struct cw_store_record *records =
        g_new0(struct cw_store_record, count + 1);
    struct cw_store_append out = {
        .topic = request->topic,
        .partition = request->partition,
        .records = records,
        .count = count,
        .writer = request->writer[0] != '\0' ? request->writer : NULL,
        .epoch = request->epoch,
        .sequence = request->sequence,
        .conditional = request->conditional,
        .expected_end = request->expected_end,
        .timeout_ms = call->timeout_ms,
        .done = on_direct_appended,
        .context = call,
    };

    for (u_int i = 0; i < count; i++) {
        const struct cw_relay_record *given = &request->records.records_val[i];

        records[i].key = given->key;
        records[i].length = given->value.value_len;
        records[i].value =
            given->value.value_len > 0 ? given->value.value_val : NULL;
    }
    call->relay->options.direct->ops->append(call->relay->options.direct,
                                             &out);
    g_free(records);
}

static void
direct_page(struct relay_call *call)
{
    const struct cw_relay_request *request = &call->request;
    struct cw_store *direct = call->relay->options.direct;
    struct cw_store_read read = {
        .topic = request->topic,
        .partition = request->partition,
        .from = request->from,
        .wait_ms = request->wait_ms,
        .timeout_ms = call->timeout_ms,
        .done = on_direct_page,
        .context = call,
    };
    struct cw_store_newest newest = {
        .topic = request->topic,
        .partition = request->partition,
        .after = request->after[0] != '\0' ? request->after : NULL,
        .timeout_ms = call->timeout_ms,
        .done = on_direct_page,
        .context = call,
    };

    if (request->kind == CW_RELAY_READ) {
        direct->ops->read(direct, &read);
    }
    else {
        direct->ops->newest(direct, &newest);
    }
}

static void
direct_join(struct relay_call *call)
{
    const struct cw_relay_request *request = &call->request;
    struct cw_store_join join = {
        .group = request->group,
        .member = request->member,
        .topic = request->topic,
        .ttl_ms = request->ttl_ms,
        .generation = request->generation,
        .timeout_ms = call->timeout_ms,
        .done = on_direct_joined,
        .context = call,
    };

    call->relay->join_in_flight = true;
    call->relay->join_sent = relay_now(call->relay);
    call->relay->options.direct->ops->join(call->relay->options.direct, &join);
}

static void
try_direct(struct relay_call *call)
{
    call->direct_tried = true;
    if (call->request.kind == CW_RELAY_APPEND) {
        direct_append(call);
    }
    else if (call->request.kind == CW_RELAY_JOIN) {
        direct_join(call);
    }
    else {
        direct_page(call);
    }
}

/* ---- other VMs ---- */

static struct peer *
find_peer(const struct cw_relay *relay, const char *address)
{
    for (guint i = 0; i < relay->peers->len; i++) {
        struct peer *peer = relay->peers->pdata[i];

        if (strcmp(peer->address, address) == 0) {
            return peer;
        }
    }
    return NULL;
}

/* The VM that served last, or the next one that is not avoided. */
static struct peer *
choose_peer(struct cw_relay *relay, struct timespec now)
{
    for (guint i = 0; i < relay->peers->len; i++) {
        guint index = (relay->next_peer + i) % relay->peers->len;
        struct peer *peer = relay->peers->pdata[index];

        if (!cw_time_before(now, peer->avoid_until)) {
            relay->next_peer = index;
            return peer;
        }
    }
    return NULL;
}

static void
on_peer_answer(void *context, const struct cw_relay_answer *answer)
{
    struct relay_call *call = context;
    struct cw_relay *relay = call->relay;
    struct peer *peer = find_peer(relay, call->peer_address);
    struct timespec now = relay_now(relay);

    if (answer != NULL && peer != NULL) {
        peer->heard_at = now;
    }
    if (answer != NULL && answer->status != CW_STORE_REFUSED &&
        answer->status != CW_STORE_UNKNOWN)
    {
        cw_count_add(relay->options.counters, CW_COUNT_RELAYED, 1);
        deliver(call, answer);
        return;
    }
    if (answer == NULL || answer->status == CW_STORE_UNKNOWN) {
        call->unsure = true;
    }
    if (peer != NULL) {
        peer->avoid_until = cw_time_add_ms(now, PEER_AVOID_MS);
    }
    try_next(call);
}

static void
try_peer(struct relay_call *call, struct peer *peer)
{
    struct cw_relay *relay = call->relay;
    unsigned wait_ms = MIN(call->request.wait_ms, READ_WAIT_MS);
    struct timespec give_up =
        cw_time_add_ms(relay_now(relay), wait_ms + PEER_TIMEOUT_MS);

    call->peers_tried++;
    call->request.wait_ms = wait_ms;
    g_free(call->peer_address);
    call->peer_address = g_strdup(peer->address);
    relay_rpc_send(relay->rpc, &peer->socket, &call->request, give_up,
                   on_peer_answer, call);
}

static void
try_next(struct relay_call *call)
{
    struct cw_relay *relay = call->relay;
    struct peer *peer = NULL;

    if (call->peers_tried < PEERS_TRIED_MOST && relay_rpc_has_key(relay->rpc))
    {
        peer = choose_peer(relay, relay_now(relay));
    }
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

static void
begin(struct relay_call *call)
{
    if (call->relay->reaches) {
        try_direct(call);
    }
    else {
        try_next(call);
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
    begin(call);
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
    begin(call);
}

static void
relay_newest(struct cw_store *base, const struct cw_store_newest *newest)
{
    struct relay_call *call =
        call_new(base, CW_RELAY_NEWEST, newest->timeout_ms, newest->context);

    call->page = newest->done;
    set_text(&call->request.topic, newest->topic);
    call->request.partition = newest->partition;
    if (newest->after != NULL) {
        set_text(&call->request.after, newest->after);
    }
    begin(call);
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
    begin(call);
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

/* ---- who the other VMs are ---- */

char *
cw_relay_member(const char *vm, const char *address, uint64_t life)
{
    return g_strdup_printf("%s/%016" PRIx64 "@%s", vm, life, address);
}

static void
peer_free(gpointer data)
{
    struct peer *peer = data;

    g_free(peer->address);
    g_free(peer);
}

/* Adds the VM of a member's name to `peers`, unless it is there. */
static void
add_member(struct cw_relay *relay, GPtrArray *peers, const char *member)
{
    const char *at = strrchr(member, '@');
    struct peer *known;
    struct peer *peer;

    if (at == NULL || strcmp(at + 1, relay->address) == 0) {
        return;
    }
    for (guint i = 0; i < peers->len; i++) {
        if (strcmp(((struct peer *)peers->pdata[i])->address, at + 1) == 0) {
            return;
        }
    }
    peer = g_new0(struct peer, 1);
    peer->address = g_strdup(at + 1);
    known = find_peer(relay, at + 1);
    if (known != NULL) {
        peer->avoid_until = known->avoid_until;
        peer->heard_at = known->heard_at;
    }
    if (!relay_parse_address(peer->address, &peer->socket)) {
        peer_free(peer);
        return;
    }
    g_ptr_array_add(peers, peer);
}

static void
on_members(void *context, const struct cw_store_members *result)
{
    struct cw_relay *relay = context;
    struct timespec now = relay_now(relay);
    GPtrArray *peers;

    relay->members_in_flight = false;
    note_direct(relay, result->status);
    relay->members_due = cw_time_add_ms(now, relay->reaches ? MEMBERS_EVERY_MS
                                                            : PROBE_EVERY_MS);
    if (result->status != CW_STORE_OK) {
        return;
    }
    peers = g_ptr_array_new_with_free_func(peer_free);
    for (size_t i = 0; i < result->count; i++) {
        add_member(relay, peers, result->members[i]);
    }
    if (peers->len == 0) {
        relay->members_due = cw_time_add_ms(now, MEMBERS_FIRST_MS);
        g_ptr_array_unref(peers);
        return;
    }
    g_ptr_array_unref(relay->peers);
    relay->peers = peers;
}

/* Asks who the members are; that also shows whether the store answers. */
static void
ask_members(struct cw_relay *relay)
{
    struct cw_store_list_members list = {
        .group = relay->options.group,
        .timeout_ms = PROBE_TIMEOUT_MS,
        .done = on_members,
        .context = relay,
    };

    relay->members_in_flight = true;
    relay->options.direct->ops->members(relay->options.direct, &list);
}

/* ---- is anybody there? ---- */

/* A question whether another VM is there. */
struct ping {
    struct cw_relay *relay;
    char *address;
};

static void
on_pong(void *context, const struct cw_relay_answer *answer)
{
    struct ping *ping = context;
    struct peer *peer = find_peer(ping->relay, ping->address);

    if (answer != NULL && peer != NULL) {
        peer->heard_at = relay_now(ping->relay);
    }
    g_free(ping->address);
    g_free(ping);
}

static void
send_ping(struct cw_relay *relay, const struct peer *peer,
          struct timespec give_up)
{
    struct cw_relay_request request = {
        .kind = CW_RELAY_PING,
        .topic = (char *)"",
        .writer = (char *)"",
        .after = (char *)"",
        .group = (char *)"",
        .member = (char *)"",
    };
    struct ping *ping = g_new0(struct ping, 1);

    ping->relay = relay;
    ping->address = g_strdup(peer->address);
    relay_rpc_send(relay->rpc, &peer->socket, &request, give_up, on_pong,
                   ping);
}

static void
send_pings(struct cw_relay *relay, struct timespec now)
{
    struct timespec give_up = cw_time_add_ms(now, PING_TIMEOUT_MS);

    relay->ping_due = cw_time_add_ms(now, PING_EVERY_MS);
    for (guint i = 0; i < PINGS_AT_ONCE && i < relay->peers->len; i++) {
        send_ping(relay, relay->peers->pdata[i], give_up);
    }
}

/* Of the VMs that are asked, how many have answered lately. */
static unsigned
peers_heard(const struct cw_relay *relay, struct timespec now)
{
    unsigned heard = 0;

    for (guint i = 0; i < PINGS_AT_ONCE && i < relay->peers->len; i++) {
        const struct peer *peer = relay->peers->pdata[i];

        heard += cw_time_diff_ms(peer->heard_at, now) <= ISOLATED_MS;
    }
    return heard;
}

/* Asks other VMs while the store does not answer, and judges whether this
 * VM is cut off from all. */
static void
check_isolation(struct cw_relay *relay, struct timespec now)
{
    unsigned asked = MIN(relay->peers->len, (guint)PINGS_AT_ONCE);
    unsigned heard = peers_heard(relay, now);
    bool isolated;

    if (relay->join_in_flight &&
        cw_time_diff_ms(relay->join_sent, now) > SUSPECT_MS)
    {
        suspect(relay);
    }
    if (relay->suspect && !cw_time_before(now, relay->ping_due)) {
        send_pings(relay, now);
    }
    isolated = relay->suspect && asked > 0 && 2 * heard < asked &&
               cw_time_diff_ms(relay->suspect_since, now) > ISOLATED_MS;
    if (isolated != relay->isolated) {
        relay->isolated = isolated;
        cw_log_info("isolated", "now=%d asked=%u heard=%u", isolated, asked,
                    heard);
    }
}

/* ---- the key ---- */

static void
on_key_stored(void *context, const struct cw_store_appended *result)
{
    struct cw_relay *relay = context;

    /* Whoever was first: the next look finds the key. */
    cw_log_info("relay_key", "append=%s",
                cw_store_status_name(result->status));
    relay->key_in_flight = false;
    relay->key_due = relay_now(relay);
}

static void
store_new_key(struct cw_relay *relay)
{
    unsigned char key[CW_MAC_BYTES];
    struct cw_store_record record = {
        .key = SECRET_KEY, .value = key, .length = sizeof(key)};
    struct cw_store_append append = {
        .topic = SECRET_TOPIC,
        .records = &record,
        .count = 1,
        .conditional = true,
        .timeout_ms = PROBE_TIMEOUT_MS,
        .done = on_key_stored,
        .context = relay,
    };

    randombytes_buf(key, sizeof(key));
    relay->options.direct->ops->append(relay->options.direct, &append);
}

static void
on_key(void *context, const struct cw_store_page *page)
{
    struct cw_relay *relay = context;

    for (size_t i = 0; i < page->count; i++) {
        if (strcmp(page->records[i].key, SECRET_KEY) == 0 &&
            page->records[i].length == CW_MAC_BYTES)
        {
            relay_rpc_set_key(relay->rpc, page->records[i].value);
            relay->key_in_flight = false;
            return;
        }
    }
    if (page->status == CW_STORE_OK) {
        store_new_key(relay);
        return;
    }
    relay->key_in_flight = false;
    relay->key_due = cw_time_add_ms(relay_now(relay), KEY_RETRY_MS);
}

static void
ask_key(struct cw_relay *relay)
{
    struct cw_store_newest newest = {
        .topic = SECRET_TOPIC,
        .timeout_ms = PROBE_TIMEOUT_MS,
        .done = on_key,
        .context = relay,
    };

    relay->key_in_flight = true;
    relay->options.direct->ops->newest(relay->options.direct, &newest);
}

/* ---- public ---- */

static void
on_request(void *context, const struct relay_caller *caller,
           const struct cw_relay_request *request)
{
    struct cw_relay *relay = context;

    if (relay->reaches) {
        relay_serve(&relay->server, caller, request);
    }
    else {
        relay_serve_refuse(&relay->server, caller);
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
    relay->peers = g_ptr_array_new_with_free_func(peer_free);
    relay->reaches = true;
    relay->members_due = cw_time_add_ms(now, MEMBERS_FIRST_MS);
    relay->rpc = relay_rpc_create(&rpc);
    if (relay->rpc == NULL) {
        cw_relay_free(relay);
        return NULL;
    }
    relay->address = relay_rpc_address(relay->rpc);
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
        g_free(relay->address);
        g_free(relay);
    }
}

struct cw_store *
cw_relay_store(struct cw_relay *relay)
{
    return &relay->base;
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
cw_relay_readable(struct cw_relay *relay)
{
    pthread_mutex_lock(relay->options.engine);
    relay_rpc_receive(relay->rpc);
    pthread_mutex_unlock(relay->options.engine);
}

struct timespec
cw_relay_tick(struct cw_relay *relay, struct timespec now)
{
    struct timespec next = relay_rpc_expire(relay->rpc, now);

    check_isolation(relay, now);
    if (relay->suspect && cw_time_before(relay->ping_due, next)) {
        next = relay->ping_due;
    }
    if (!relay_rpc_has_key(relay->rpc) && !relay->key_in_flight) {
        if (!cw_time_before(now, relay->key_due)) {
            ask_key(relay);
        }
        else if (cw_time_before(relay->key_due, next)) {
            next = relay->key_due;
        }
    }
    if (!relay->members_in_flight) {
        if (!cw_time_before(now, relay->members_due)) {
            ask_members(relay);
        }
        else if (cw_time_before(relay->members_due, next)) {
            next = relay->members_due;
        }
    }
    return next;
}

bool
cw_relay_isolated(const struct cw_relay *relay)
{
    return relay->isolated;
}

/* Non-blocking ONC RPC over UDP. */
#include "relay/internal/relay_private.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <sodium.h>

#include "curlewcart/cw_address.h"
#include "curlewcart/cw_log.h"
#include "curlewcart/cw_time.h"
#include "curlewcart/cw_xdr.h"

enum { DATAGRAM_BYTES_MAX = 65000, RECEIVE_DATAGRAMS_MAX = 64 };

/* A request that waits for its answer. */
struct waiting_call {
    uint32_t xid;
    struct timespec deadline;
    relay_answered answered;
    void *context;
};

struct relay_rpc {
    struct relay_rpc_options options;
    int fd;
    bool has_key;
    unsigned char key[CW_MAC_BYTES];
    uint32_t next_xid;
    GHashTable *waiting; /* xid -> struct waiting_call */
};

struct relay_rpc *
relay_rpc_create(const struct relay_rpc_options *options)
{
    struct relay_rpc *rpc = g_new0(struct relay_rpc, 1);
    struct sockaddr_in address;

    rpc->options = *options;
    rpc->waiting = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    rpc->next_xid = randombytes_random();
    rpc->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (rpc->fd < 0 || !cw_address_parse(options->address, &address) ||
        bind(rpc->fd, (struct sockaddr *)&address, sizeof(address)) != 0)
    {
        relay_rpc_free(rpc);
        return NULL;
    }
    return rpc;
}

void
relay_rpc_free(struct relay_rpc *rpc)
{
    if (rpc == NULL) {
        return;
    }
    if (rpc->fd >= 0) {
        close(rpc->fd);
    }
    g_hash_table_unref(rpc->waiting);
    g_free(rpc);
}

char *
relay_rpc_address(const struct relay_rpc *rpc)
{
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);
    char host[INET_ADDRSTRLEN] = "";

    (void)getsockname(rpc->fd, (struct sockaddr *)&address, &size);
    (void)inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
    return g_strdup_printf("%s:%u", host, ntohs(address.sin_port));
}

int
relay_rpc_descriptor(const struct relay_rpc *rpc)
{
    return rpc->fd;
}

void
relay_rpc_set_key(struct relay_rpc *rpc, const unsigned char *key)
{
    memcpy(rpc->key, key, sizeof(rpc->key));
    rpc->has_key = true;
}

bool
relay_rpc_has_key(const struct relay_rpc *rpc)
{
    return rpc->has_key;
}

/* ---- authentication ---- */

/* The MAC covers the transaction id and the direction too, so that an answer
 * cannot be replayed as the answer to another call, or as a request. */
static void
compute_mac(const struct relay_rpc *rpc, uint32_t xid, uint32_t direction,
            const struct cw_relay_sealed *sealed, unsigned char *mac)
{
    const uint32_t head[] = {htonl(xid), htonl(direction)};
    crypto_generichash_state state;

    crypto_generichash_init(&state, rpc->key, sizeof(rpc->key), CW_MAC_BYTES);
    crypto_generichash_update(&state, (const unsigned char *)head,
                              sizeof(head));
    crypto_generichash_update(&state,
                              (const unsigned char *)sealed->body.body_val,
                              sealed->body.body_len);
    crypto_generichash_final(&state, mac, CW_MAC_BYTES);
}

static bool
mac_is_valid(const struct relay_rpc *rpc, uint32_t xid, uint32_t direction,
             const struct cw_relay_sealed *sealed)
{
    unsigned char mac[CW_MAC_BYTES];

    compute_mac(rpc, xid, direction, sealed, mac);
    return sodium_memcmp(mac, sealed->mac, sizeof(mac)) == 0;
}

/* ---- datagrams ---- */

/* Encodes `message` with `value` and its MAC as the body, and sends it. */
static bool
send_message(struct relay_rpc *rpc, const struct sockaddr_in *to,
             struct rpc_msg *message, xdrproc_t codec, const void *value)
{
    GByteArray *body = cw_xdr_encode(codec, value);
    struct cw_relay_sealed sealed = {0};
    char *bytes;
    XDR stream;
    bool ok;

    if (body == NULL || body->len > CW_RELAY_BYTES_MAX) {
        if (body != NULL) {
            g_byte_array_unref(body);
        }
        return false;
    }
    sealed.body.body_val = (char *)body->data;
    sealed.body.body_len = body->len;
    compute_mac(rpc, message->rm_xid, (uint32_t)message->rm_direction, &sealed,
                (unsigned char *)sealed.mac);
    bytes = g_malloc(DATAGRAM_BYTES_MAX);
    xdrmem_create(&stream, bytes, DATAGRAM_BYTES_MAX, XDR_ENCODE);
    if (message->rm_direction == CALL) {
        ok = xdr_callmsg(&stream, message) &&
             xdr_cw_relay_sealed(&stream, &sealed);
    }
    else {
        message->acpted_rply.ar_results.where = (caddr_t)&sealed;
        message->acpted_rply.ar_results.proc = (xdrproc_t)xdr_cw_relay_sealed;
        ok = xdr_replymsg(&stream, message);
    }
    if (ok) {
        ok = sendto(rpc->fd, bytes, xdr_getpos(&stream), 0,
                    (const struct sockaddr *)to, sizeof(*to)) >= 0;
    }
    xdr_destroy(&stream);
    g_free(bytes);
    g_byte_array_unref(body);
    return ok;
}

void
relay_rpc_send(struct relay_rpc *rpc, const struct sockaddr_in *to,
               const struct cw_relay_request *request,
               struct timespec deadline, relay_answered answered,
               void *context)
{
    struct waiting_call *call = g_new0(struct waiting_call, 1);
    struct rpc_msg message = {0};

    call->xid = rpc->next_xid++;
    call->deadline = deadline;
    call->answered = answered;
    call->context = context;
    g_hash_table_insert(rpc->waiting, GUINT_TO_POINTER(call->xid), call);
    message.rm_xid = call->xid;
    message.rm_direction = CALL;
    message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    message.rm_call.cb_prog = CW_RELAY_PROGRAM;
    message.rm_call.cb_vers = CW_RELAY_V1;
    message.rm_call.cb_proc = CW_RELAY_CALL;
    message.rm_call.cb_cred = _null_auth;
    message.rm_call.cb_verf = _null_auth;
    if (!rpc->has_key ||
        !send_message(rpc, to, &message, (xdrproc_t)xdr_cw_relay_request,
                      request))
    {
        call->deadline = cw_time_from_ms(0); /* ends at the next tick */
    }
}

void
relay_rpc_answer(struct relay_rpc *rpc,
                 const struct relay_requester *requester,
                 const struct cw_relay_answer *answer)
{
    struct rpc_msg message = {0};

    message.rm_xid = requester->xid;
    message.rm_direction = REPLY;
    message.rm_reply.rp_stat = MSG_ACCEPTED;
    message.acpted_rply.ar_verf = _null_auth;
    message.acpted_rply.ar_stat = SUCCESS;
    if (!send_message(rpc, &requester->address, &message,
                      (xdrproc_t)xdr_cw_relay_answer, answer))
    {
        cw_log_warning("relay_answer_failed", "outcome=not_sent records=%u",
                       answer->records.records_len);
    }
}

/* ---- receiving ---- */

static void
handle_call(struct relay_rpc *rpc, XDR *stream, const struct rpc_msg *message,
            const struct sockaddr_in *from)
{
    struct relay_requester requester = {.address = *from,
                                        .xid = message->rm_xid};
    struct cw_relay_sealed sealed = {0};
    struct cw_relay_request request = {0};

    if (message->rm_call.cb_prog != CW_RELAY_PROGRAM ||
        message->rm_call.cb_proc != CW_RELAY_CALL ||
        !xdr_cw_relay_sealed(stream, &sealed))
    {
        xdr_free((xdrproc_t)xdr_cw_relay_sealed, (char *)&sealed);
        return;
    }
    if (mac_is_valid(rpc, requester.xid, CALL, &sealed) &&
        cw_xdr_decode((xdrproc_t)xdr_cw_relay_request, &request,
                      sealed.body.body_val, sealed.body.body_len))
    {
        rpc->options.request(rpc->options.context, &requester, &request);
        xdr_free((xdrproc_t)xdr_cw_relay_request, (char *)&request);
    }
    xdr_free((xdrproc_t)xdr_cw_relay_sealed, (char *)&sealed);
}

static void
handle_answer(struct relay_rpc *rpc, uint32_t xid,
              const struct cw_relay_sealed *sealed)
{
    struct waiting_call *call =
        g_hash_table_lookup(rpc->waiting, GUINT_TO_POINTER(xid));
    struct cw_relay_answer answer = {0};

    if (call == NULL || !mac_is_valid(rpc, xid, REPLY, sealed) ||
        !cw_xdr_decode((xdrproc_t)xdr_cw_relay_answer, &answer,
                       sealed->body.body_val, sealed->body.body_len))
    {
        return;
    }
    g_hash_table_steal(rpc->waiting, GUINT_TO_POINTER(xid));
    call->answered(call->context, &answer);
    g_free(call);
    xdr_free((xdrproc_t)xdr_cw_relay_answer, (char *)&answer);
}

static bool
decode_reply(XDR *stream, struct rpc_msg *message,
             struct cw_relay_sealed *sealed)
{
    message->acpted_rply.ar_results.where = (caddr_t)sealed;
    message->acpted_rply.ar_results.proc = (xdrproc_t)xdr_cw_relay_sealed;
    return xdr_replymsg(stream, message) &&
           message->rm_reply.rp_stat == MSG_ACCEPTED &&
           message->acpted_rply.ar_stat == SUCCESS;
}

static void
handle_datagram(struct relay_rpc *rpc, char *bytes, size_t length,
                const struct sockaddr_in *from)
{
    char credentials[2 * MAX_AUTH_BYTES];
    struct rpc_msg message = {0};
    uint32_t direction = 0;
    XDR stream;

    if (length < 2 * sizeof(uint32_t)) {
        return;
    }
    memcpy(&direction, bytes + sizeof(uint32_t), sizeof(direction));
    xdrmem_create(&stream, bytes, (u_int)length, XDR_DECODE);
    if (ntohl(direction) == CALL) {
        message.rm_call.cb_cred.oa_base = credentials;
        message.rm_call.cb_verf.oa_base = credentials + MAX_AUTH_BYTES;
        if (xdr_callmsg(&stream, &message)) {
            handle_call(rpc, &stream, &message, from);
        }
    }
    else {
        struct cw_relay_sealed sealed = {0};

        message.acpted_rply.ar_verf.oa_base = credentials;
        if (decode_reply(&stream, &message, &sealed)) {
            handle_answer(rpc, message.rm_xid, &sealed);
        }
        xdr_free((xdrproc_t)xdr_cw_relay_sealed, (char *)&sealed);
    }
    xdr_destroy(&stream);
}

void
relay_rpc_receive(struct relay_rpc *rpc)
{
    char *bytes = g_malloc(DATAGRAM_BYTES_MAX);

    for (unsigned i = 0; i < RECEIVE_DATAGRAMS_MAX; i++) {
        struct sockaddr_in from;
        socklen_t size = sizeof(from);
        ssize_t length = recvfrom(rpc->fd, bytes, DATAGRAM_BYTES_MAX, 0,
                                  (struct sockaddr *)&from, &size);

        if (length < 0) {
            break;
        }
        if (rpc->has_key) {
            handle_datagram(rpc, bytes, (size_t)length, &from);
        }
    }
    g_free(bytes);
}

static bool
some_call_is_overdue(const struct relay_rpc *rpc, struct timespec now)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, rpc->waiting);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct waiting_call *call = value;

        if (!cw_time_before(now, call->deadline)) {
            return true;
        }
    }
    return false;
}

struct timespec
relay_rpc_expire(struct relay_rpc *rpc, struct timespec now)
{
    struct timespec next = cw_time_from_ms(INT32_MAX);
    GPtrArray *expired = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;

    /* This VM may be late, with the answers unread in its socket. */
    if (some_call_is_overdue(rpc, now)) {
        relay_rpc_receive(rpc);
    }
    g_hash_table_iter_init(&iterator, rpc->waiting);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct waiting_call *call = value;

        if (!cw_time_before(now, call->deadline)) {
            g_hash_table_iter_steal(&iterator);
            g_ptr_array_add(expired, call);
        }
        else {
            cw_time_set_earlier(&next, call->deadline);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        struct waiting_call *call = expired->pdata[i];

        call->answered(call->context, NULL);
        g_free(call);
    }
    g_ptr_array_unref(expired);
    return next;
}

/* Support for the owner of a shard: requests to other VMs, and this VM's
 * voter. */
#include "relay/internal/relay_private.h"

#include <string.h>

#include "curlewcart/cw_address.h"

/* The only shard. */
enum { PARTITION = 0 };

/* A request in flight. */
struct support_call {
    struct cw_relay *relay;
    char *address;
    void (*done)(void *context, const struct cw_peers_answer *answer);
    void *context;
};

/* ---- this VM's voter ---- */

/* Returns false if the voter does not support the epoch. */
static bool
support(struct cw_relay *relay, unsigned partition, uint64_t epoch,
        int64_t *lower_left_ms)
{
    struct timespec now = relay_now(relay);
    struct timespec lower_until;

    if (partition != PARTITION ||
        !cw_voter_support(&relay->voter, epoch, now, &lower_until))
    {
        return false;
    }
    *lower_left_ms = cw_time_diff_ms(now, lower_until);
    return true;
}

void
relay_serve_support(struct cw_relay *relay,
                    const struct relay_requester *requester,
                    const struct cw_relay_request *request)
{
    struct cw_relay_answer answer = {.status = CW_STORE_FENCED};
    int64_t left_ms;

    if (support(relay, request->partition, request->epoch, &left_ms)) {
        answer.status = CW_STORE_OK;
        answer.first = (uint64_t)MAX(left_ms, 0);
        answer.end = (uint64_t)MAX(-left_ms, 0);
    }
    relay_rpc_answer(relay->rpc, requester, &answer);
}

/* ---- requests to other VMs ---- */

static void
on_support_answer(void *context, const struct cw_relay_answer *message)
{
    struct support_call *call = context;
    struct cw_peers_answer answer = {0};

    if (message != NULL) {
        answer.supported = message->status == CW_STORE_OK;
        answer.lower_left_ms = (int64_t)message->first - (int64_t)message->end;
        relay_peer_answered(call->relay, call->address);
    }
    call->done(call->context, &answer);
    g_free(call->address);
    g_free(call);
}

static void
peers_support(struct cw_peers *peers, const struct cw_peers_support *request)
{
    struct cw_relay *relay = ((struct relay_peers *)peers)->relay;
    struct timespec now = relay_now(relay);
    struct cw_relay_request message = {.kind = CW_RELAY_SUPPORT,
                                       .topic = (char *)"",
                                       .writer = (char *)"",
                                       .after = (char *)"",
                                       .group = (char *)"",
                                       .member = (char *)"",
                                       .partition = request->partition,
                                       .epoch = request->epoch};
    struct cw_peers_answer answer = {0};
    struct support_call *call;
    struct sockaddr_in address;

    if (strcmp(request->address, relay->address) == 0) {
        answer.supported = support(relay, request->partition, request->epoch,
                                   &answer.lower_left_ms);
        request->done(request->context, &answer);
        return;
    }
    if (!cw_address_parse(request->address, &address)) {
        request->done(request->context, &answer);
        return;
    }
    call = g_new0(struct support_call, 1);
    call->relay = relay;
    call->address = g_strdup(request->address);
    call->done = request->done;
    call->context = request->context;
    relay_rpc_send(relay->rpc, &address, &message,
                   cw_time_add_ms(now, request->timeout_ms), on_support_answer,
                   call);
}

static void
peers_addresses(struct cw_peers *peers, GPtrArray *out)
{
    const struct cw_relay *relay = ((struct relay_peers *)peers)->relay;

    for (guint i = 0; i < relay->peers->len; i++) {
        g_ptr_array_add(out, ((struct peer *)relay->peers->pdata[i])->address);
    }
}

void
relay_peers_init(struct cw_relay *relay)
{
    static const struct cw_peers_ops ops = {.support = peers_support,
                                            .addresses = peers_addresses};

    relay->as_peers.base.ops = &ops;
    relay->as_peers.relay = relay;
    cw_voter_init(&relay->voter, relay_now(relay));
}

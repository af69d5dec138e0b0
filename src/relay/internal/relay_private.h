/* Internals of the relay: RPC calls over a socket, the other VMs, and the
 * store that uses them. */
#ifndef CURLEWCART_RELAY_PRIVATE_H
#define CURLEWCART_RELAY_PRIVATE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>

#include "curlewcart/cw_peers.h"
#include "curlewcart/cw_relay.h"
#include "curlewcart/cw_voter.h"
#include "proto/cw_proto.h"

/* ---- relay_rpc.c: ONC RPC over UDP without blocking ---- */

/* Sender of a request; the answer goes to this address with this transaction
 * id. */
struct relay_requester {
    struct sockaddr_in address;
    uint32_t xid;
};

typedef void (*relay_answered)(void *context,
                               const struct cw_relay_answer *answer);

struct relay_rpc_options {
    const char *address; /* HOST:PORT */
    /* A request was received; answer it with relay_rpc_answer. */
    void (*request)(void *context, const struct relay_requester *requester,
                    const struct cw_relay_request *request);
    void *context;
};

struct relay_rpc;

/* NULL if the address cannot be listened on. */
struct relay_rpc *relay_rpc_create(const struct relay_rpc_options *options);
void relay_rpc_free(struct relay_rpc *rpc);

/* HOST:PORT listened on.  Owned by the caller. */
char *relay_rpc_address(const struct relay_rpc *rpc);

/* The socket, for polling. */
int relay_rpc_descriptor(const struct relay_rpc *rpc);

/* Sets the key that authenticates messages; without a key no message is sent
 * or accepted. */
void relay_rpc_set_key(struct relay_rpc *rpc, const unsigned char *key);
bool relay_rpc_has_key(const struct relay_rpc *rpc);

/* Sends a request.  `answered` is called once: with the answer, or with NULL
 * if none has arrived by `deadline`. */
void relay_rpc_send(struct relay_rpc *rpc, const struct sockaddr_in *to,
                    const struct cw_relay_request *request,
                    struct timespec deadline, relay_answered answered,
                    void *context);

/* Answers a request. */
void relay_rpc_answer(struct relay_rpc *rpc,
                      const struct relay_requester *requester,
                      const struct cw_relay_answer *answer);

/* Receives and processes the datagrams that have arrived. */
void relay_rpc_receive(struct relay_rpc *rpc);

/* Ends the calls whose deadline has passed; returns the next deadline. */
struct timespec relay_rpc_expire(struct relay_rpc *rpc, struct timespec now);

/* ---- relay_issue.c ---- */

/* Callbacks for a call's result; the request's kind selects one. */
struct relay_handlers {
    void (*appended)(void *context,
                     const struct cw_store_append_result *result);
    void (*page)(void *context, const struct cw_store_page *page);
    void (*joined)(void *context, const struct cw_store_join_result *result);
    void *context;
};

/* Sends the call that `request` describes to the store. */
void
relay_issue(struct cw_store *store, const struct cw_relay_request *request,
            unsigned timeout_ms, const struct relay_handlers *handlers);

/* ---- relay_serve.c: requests of other VMs ---- */

struct relay_server {
    struct relay_rpc *rpc;   /* borrowed */
    struct cw_store *direct; /* borrowed */
};

/* Carries out another VM's request at the store and answers it. */
void relay_serve(struct relay_server *server,
                 const struct relay_requester *requester,
                 const struct cw_relay_request *request);

/* Answers CW_STORE_NOT_EXECUTED, as this VM cannot reach the store either. */
void relay_serve_refuse(struct relay_server *server,
                        const struct relay_requester *requester);

/* ---- relay_peers.c ---- */

/* Time between requests for the members while no other VM is known. */
enum { RELAY_NO_PEERS_INTERVAL_MS = 1500 };

/* Another VM. */
struct peer {
    char *address; /* HOST:PORT */
    struct sockaddr_in socket;
    struct timespec avoid_until;
    struct timespec answered_at;
};

/* The relay as the other VMs. */
struct relay_peers {
    struct cw_peers base;
    struct cw_relay *relay;
};

struct cw_relay {
    struct cw_store base;
    struct relay_peers as_peers;
    struct cw_voter voter; /* of this VM */
    struct cw_relay_options options;
    char *address;
    struct relay_rpc *rpc;
    struct relay_server server;
    GPtrArray *peers;        /* struct peer */
    GPtrArray *direct_reads; /* struct direct_read, in flight */
    guint next_peer;
    unsigned failures; /* consecutive failed calls to the store */
    bool store_reachable;
    struct timespec unreachable_since;
    struct timespec peers_paused_until; /* until then no call to the store is
                                           sent through another VM */
    bool joins_only_directly; /* an append could not be sent through another VM
                                 since the store last answered this one */
    bool join_in_flight;
    struct timespec join_sent;
    bool store_suspect; /* since the store last answered, a call has failed or
                           a join is overdue */
    struct timespec suspect_since;
    struct timespec ping_due;
    bool isolated; /* the store does not answer, nor do more than half of the
                      pinged VMs */
    struct timespec started_at;
    bool members_request_in_flight;
    struct timespec members_due;
    bool key_request_in_flight;
    struct timespec key_due;
};

static inline struct timespec
relay_now(const struct cw_relay *relay)
{
    return cw_clock_now(relay->options.clock);
}

/* Records the status of a call that this VM sent to the store directly. */
void relay_record_direct_status(struct cw_relay *relay,
                                enum cw_store_status status);

/* Another VM by address, or NULL. */
struct peer *
relay_find_peer(const struct cw_relay *relay, const char *address);

/* Records that the VM at the address has answered, if it is known. */
void relay_peer_answered(struct cw_relay *relay, const char *address);

/* Returns the VM that was chosen last or, if that is avoided, the next one
 * that is not; NULL if all are avoided. */
struct peer *relay_choose_peer(struct cw_relay *relay, struct timespec now);

/* Frees a struct peer. */
void relay_peer_free(gpointer peer);

/* Requests the members of the group from the store, also to detect whether the
 * store answers. */
void relay_request_members(struct cw_relay *relay);

/* Pings other VMs while the store does not answer, and decides whether this VM
 * is isolated. */
void relay_check_isolation(struct cw_relay *relay, struct timespec now);

/* ---- relay_support.c ---- */

/* Initialises the voter, and the interface through which the owner calls other
 * VMs. */
void relay_peers_init(struct cw_relay *relay);

/* Answers a request of another VM for this VM's support. */
void relay_serve_support(struct cw_relay *relay,
                         const struct relay_requester *requester,
                         const struct cw_relay_request *request);

/* ---- relay_peers.c, the key ---- */

/* Reads the key from the store, and stores a new one if there is none. */
void relay_request_key(struct cw_relay *relay);

#endif

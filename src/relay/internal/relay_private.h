/* Inside the relay: the socket with its calls, the other VMs, and the store
 * over them. */
#ifndef CURLEWCART_RELAY_PRIVATE_H
#define CURLEWCART_RELAY_PRIVATE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>

#include "curlewcart/cw_relay.h"
#include "proto/cw_proto.h"

/* ---- relay_rpc.c: ONC RPC over UDP without blocking ---- */

/* Where a request came from, for its answer. */
struct relay_caller {
    struct sockaddr_in address;
    uint32_t xid;
};

typedef void (*relay_answered)(void *context,
                               const struct cw_relay_answer *answer);

struct relay_rpc_options {
    const char *address; /* HOST:PORT */
    /* A request has come; answered with relay_rpc_answer. */
    void (*request)(void *context, const struct relay_caller *caller,
                    const struct cw_relay_request *request);
    void *context;
};

struct relay_rpc;

struct relay_rpc *relay_rpc_create(const struct relay_rpc_options *options);
void relay_rpc_free(struct relay_rpc *rpc);

/* HOST:PORT listened on.  Owned by the caller. */
char *relay_rpc_address(const struct relay_rpc *rpc);
int relay_rpc_descriptor(const struct relay_rpc *rpc);

/* Key that seals messages; before it is set nothing is sent or taken. */
void relay_rpc_set_key(struct relay_rpc *rpc, const unsigned char *key);
bool relay_rpc_has_key(const struct relay_rpc *rpc);

/* Sends a request.  `answered` is called once: with NULL when none has come
 * at `give_up`. */
void
relay_rpc_send(struct relay_rpc *rpc, const struct sockaddr_in *to,
               const struct cw_relay_request *request, struct timespec give_up,
               relay_answered answered, void *context);

void relay_rpc_answer(struct relay_rpc *rpc, const struct relay_caller *caller,
                      const struct cw_relay_answer *answer);

/* Takes datagrams that have come. */
void relay_rpc_receive(struct relay_rpc *rpc);

/* Gives up on calls; returns when the next one is due. */
struct timespec relay_rpc_expire(struct relay_rpc *rpc, struct timespec now);

/* ---- relay_issue.c ---- */

/* What hears of a call's result; one of them, by the request's kind. */
struct relay_handlers {
    void (*appended)(void *context,
                     const struct cw_store_append_result *result);
    void (*page)(void *context, const struct cw_store_page *page);
    void (*joined)(void *context, const struct cw_store_join_result *result);
    void *context;
};

/* Makes the call that `request` describes. */
void
relay_issue(struct cw_store *store, const struct cw_relay_request *request,
            unsigned timeout_ms, const struct relay_handlers *handlers);

/* ---- relay_serve.c: requests of other VMs ---- */

struct relay_server {
    struct relay_rpc *rpc;   /* borrowed */
    struct cw_store *direct; /* borrowed */
};

void
relay_serve(struct relay_server *server, const struct relay_caller *caller,
            const struct cw_relay_request *request);

/* Answers that the store is out of this VM's reach too. */
void relay_serve_refuse(struct relay_server *server,
                        const struct relay_caller *caller);

/* ---- relay_peers.c ---- */

enum { RELAY_MEMBERS_FIRST_MS = 1500 };

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
    GPtrArray *peers;        /* struct peer */
    GPtrArray *direct_reads; /* struct direct_read, under way */
    guint next_peer;
    unsigned failures; /* of the store, in a row */
    bool reaches;      /* the store answers this VM */
    struct timespec lost_at;
    struct timespec closed_until; /* to all VMs, as it seems */
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

static inline struct timespec
relay_now(const struct cw_relay *relay)
{
    return cw_clock_now(relay->options.clock);
}

/* Notes how the store has answered this VM itself. */
void relay_note_direct(struct cw_relay *relay, enum cw_store_status status);

/* Another VM by address, or NULL. */
struct peer *
relay_find_peer(const struct cw_relay *relay, const char *address);

/* The VM that served last, or the next one that is not avoided; NULL if
 * there is none. */
struct peer *relay_choose_peer(struct cw_relay *relay, struct timespec now);

void relay_peer_free(gpointer peer);

/* Asks who the members are; that also shows whether the store answers. */
void relay_ask_members(struct cw_relay *relay);

/* Asks other VMs while the store does not answer, and judges whether this VM
 * is cut off. */
void relay_check_isolation(struct cw_relay *relay, struct timespec now);

/* Looks for the key in the store, and puts one there if there is none. */
void relay_ask_key(struct cw_relay *relay);

#endif

/* Inside the relay: the socket with its calls, and the store over it. */
#ifndef CURLEWCART_RELAY_PRIVATE_H
#define CURLEWCART_RELAY_PRIVATE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>

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

/* Reads HOST:PORT. */
bool relay_parse_address(const char *text, struct sockaddr_in *out);

/* ---- relay_serve.c: requests of other VMs ---- */

struct cw_store;

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

#endif

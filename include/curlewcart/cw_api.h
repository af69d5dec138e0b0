/* The project's own interface: requests of client accounts, and what
 * operators ask and sign, over HTTP and JSON (docs/API.md).
 *
 * Configuration comes as signed bundles that the store keeps. */
#ifndef CURLEWCART_CW_API_H
#define CURLEWCART_CW_API_H

#include <pthread.h>
#include <time.h>

#include "curlewcart/cw_chain.h"
#include "curlewcart/cw_count.h"
#include "curlewcart/cw_entry.h"
#include "curlewcart/cw_http_server.h"
#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_store.h"

struct cw_api_options {
    const char *vm;
    const char *dc;
    const char *service; /* pool of workers that runs its jobs */
    struct cw_clock *clock;
    struct cw_store *store;
    struct cw_entry *entry;
    struct cw_replica *replica;
    struct cw_owner *owner;
    struct cw_counters *counters;
    pthread_mutex_t *engine_lock;
    struct cw_chain_options chain;
    const unsigned char *operator_token_hash; /* CW_HASH_BYTES */
    /* A bundle came into force; with the engine's lock held. */
    void (*configured)(void *context, struct cw_routing *routing);
    void *context;
}; /* all pointers are borrowed */

struct cw_api;

struct cw_api *cw_api_create(const struct cw_api_options *options);

/* Handles a call of a caller or operator; takes the engine's lock. */
void cw_api_handle(void *api, struct cw_http_call *call);

/* Answers calls whose outcome is known or whose time is over, and reads
 * bundles; returns when it wants to be called next.  With the engine's lock
 * held. */
struct timespec cw_api_tick(struct cw_api *api, struct timespec now);

/* Calls that wait for an outcome. */
unsigned cw_api_waiting_calls(struct cw_api *api);

/* Answers all of them as pending; the VM stops. */
void cw_api_answer_all_pending(struct cw_api *api);

#endif

/* The project's own interface over HTTP and JSON: requests of client accounts,
 * and operators' queries and signed configuration (docs/API.md).
 *
 * The configuration consists of signed bundles, which the store holds.
 */
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
    const char *service; /* pool of workers that runs the jobs */
    struct cw_clock *clock;
    struct cw_store *store;
    struct cw_entry *entry;
    struct cw_replica *replica;
    struct cw_owner *owner;
    struct cw_counters *counters;
    pthread_mutex_t *engine_lock;
    struct cw_chain_options chain;
    const unsigned char *operator_token_hash; /* CW_HASH_BYTES */
    /* Called when a bundle comes into force, with the engine's lock held. */
    void (*configured)(void *context, struct cw_routing *routing);
    void *context;
}; /* all pointers are borrowed */

struct cw_api;

/* Creates the interface.  Strings of `options` are borrowed. */
struct cw_api *cw_api_create(const struct cw_api_options *options);

/* Handles a call of a caller or an operator.  `api` is a struct cw_api.
 * Acquires the engine's lock. */
void cw_api_handle(void *api, struct cw_http_call *call);

/* Answers calls whose outcome is known or whose deadline has passed, and reads
 * bundles.  Returns the time at which this function must be called again.
 * Called with the engine's lock held. */
struct timespec cw_api_tick(struct cw_api *api, struct timespec now);

/* Number of calls that wait for an outcome. */
unsigned cw_api_waiting_calls(struct cw_api *api);

/* Answers all waiting calls now, as pending unless their outcome is known.
 * Called when the VM shuts down. */
void cw_api_answer_all_pending(struct cw_api *api);

#endif

/* Inside a VM: its parts, and what it listens on. */
#ifndef CURLEWCART_VM_PRIVATE_H
#define CURLEWCART_VM_PRIVATE_H

#include <pthread.h>
#include <stdbool.h>

#include "curlewcart/cw_api.h"
#include "curlewcart/cw_cordons.h"
#include "curlewcart/cw_count.h"
#include "curlewcart/cw_entry.h"
#include "curlewcart/cw_http_client.h"
#include "curlewcart/cw_http_server.h"
#include "curlewcart/cw_load_gate.h"
#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_relay.h"
#include "curlewcart/cw_replica.h"
#include "curlewcart/cw_vm.h"
#include "platform/platform.h"

struct cw_vm {
    struct cw_settings *settings;
    const char *settings_path;
    pthread_mutex_t engine_lock;
    bool running; /* under the lock: all parts exist */
    struct cw_clock *clock;
    struct cw_http_client *client;
    struct cw_http_server *callers;
    struct cw_http_server *ready;
    struct cw_http_server *metrics;
    struct cw_store *platform_store;
    struct cw_relay *relay;
    struct cw_targets *targets;
    struct cw_replica *replica;
    struct cw_follower *routing;
    struct cw_cordons *cordons; /* or NULL, with our own interface */
    struct cw_load_gate load_gate;
    struct cw_entry *entry;
    struct cw_owner *owner;
    struct cw_counters counters;
    unsigned contracts_unserved; /* of the platform, in force */
    struct platform_call_handler handler;
    struct cw_settings_secrets *secrets; /* with our own interface */
    struct cw_api *api;                  /* our own interface, or NULL */
};

/* ---- vm_listen.c ---- */

/* Listens on all addresses of the settings; false (and logged) if callers
 * could not be served. */
bool vm_listen(struct cw_vm *vm);

#endif

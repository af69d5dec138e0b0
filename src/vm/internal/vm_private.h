/* State of a VM, shared by the files in src/vm. */
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

/* Input that was read late, since the last line about it. */
struct vm_late_input {
    int64_t oldest_ms;
    unsigned events;
    struct timespec logged_at;
};

struct cw_vm {
    struct cw_settings *settings;
    const char *settings_path;
    pthread_mutex_t engine_lock;
    bool running; /* all components exist; protected by the lock */
    struct cw_clock *clock;
    struct cw_http_client *client;
    struct cw_http_server *callers;
    struct cw_http_server *ready;
    struct cw_http_server *metrics;
    struct cw_store *platform_store;
    struct cw_relay *relay;
    struct cw_targets *targets;
    struct cw_replica *replica;
    struct cw_follower *routing_follower;
    struct cw_cordons *cordons; /* NULL with the project's own interface */
    struct cw_load_gate load_gate;
    struct cw_entry *entry;
    struct cw_owner *owner;
    struct cw_counters counters;
    struct vm_late_input late_input; /* of the client's thread */
    unsigned contracts_unsupported;  /* in force at the platform */
    struct platform_call_handler handler;
    struct cw_settings_secrets *secrets; /* NULL if `api` is */
    struct cw_api *api; /* the project's own interface, or NULL */
};

/* ---- vm_listen.c ---- */

/* Listens on all addresses of the settings.  Logs each failure; returns false
 * if the listener for callers or for readiness checks could not be created. */
bool vm_listen(struct cw_vm *vm);

#endif

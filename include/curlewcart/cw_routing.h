/* The routing configuration in force: queues, services, client accounts.
 *
 * Immutable once made; shared by reference count.
 */
#ifndef CURLEWCART_CW_ROUTING_H
#define CURLEWCART_CW_ROUTING_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/* A queue that callers hand jobs in to. */
struct cw_queue {
    char *name;
    char *host;
    char *prefix; /* of the path; the longest match wins */
    char *service;
    unsigned priority;
    unsigned max_attempts;
    unsigned stretch_milli;
    unsigned target_latency_ms;
    unsigned timeout_ms;
    bool open;    /* needs no credential */
    bool advised; /* a policy service names the workers */
};

struct cw_account {
    char *name;
    GPtrArray *keys; /* char * */
    GPtrArray *dcs;  /* char *: where its data may live; empty: anywhere */
    unsigned guaranteed_accelerators;
};

/* A pool of workers. */
struct cw_service {
    char *name;
    bool enforces_capacity; /* its workers refuse what does not fit */
    bool standby;           /* its machines are off */
};

struct cw_routing {
    gint references;
    uint64_t version;
    unsigned body_bytes_max;
    bool enforces_residency; /* accounts name where their data may live; one
                      that is not listed runs nowhere */
    GPtrArray *closed_dcs;   /* char *: data centres that take no new work */
    GPtrArray *queues;       /* struct cw_queue */
    GPtrArray *services;     /* struct cw_service */
    GPtrArray *accounts;     /* struct cw_account */
    GHashTable
        *accounts_by_key; /* credential -> struct cw_account, borrowed */
};

/* Empty configuration; fill it, then call cw_routing_finish once. */
struct cw_routing *cw_routing_new(void);
void cw_routing_finish(struct cw_routing *routing);

struct cw_routing *cw_routing_ref(struct cw_routing *routing);
void cw_routing_unref(struct cw_routing *routing);

/* Adds an empty item.  Borrowed. */
struct cw_queue *cw_routing_add_queue(struct cw_routing *routing);
struct cw_account *cw_routing_add_account(struct cw_routing *routing);
struct cw_service *cw_routing_add_service(struct cw_routing *routing);

/* Queue of a host (a port after it is ignored) and path, or NULL.
 * Borrowed. */
const struct cw_queue *
cw_routing_find_queue(const struct cw_routing *routing, const char *host,
                      const char *path);

/* Account of a credential, or NULL.  Borrowed. */
const struct cw_account *
cw_routing_account_by_key(const struct cw_routing *routing, const char *key);

/* Account by name, or NULL.  Borrowed. */
const struct cw_account *
cw_routing_account_by_name(const struct cw_routing *routing, const char *name);

/* True if the data of the account may be in the data centre. */
bool cw_routing_account_permits_dc(const struct cw_routing *routing,
                                   const char *account, const char *dc);

/* True if new work may be begun in the data centre at all. */
bool cw_routing_dc_is_open(const struct cw_routing *routing, const char *dc);

/* Service by name, or NULL.  Borrowed. */
const struct cw_service *
cw_routing_service_by_name(const struct cw_routing *routing, const char *name);

#endif

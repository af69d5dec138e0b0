/* A routing configuration: queues, services and client accounts.
 *
 * Immutable after cw_routing_finish; shared by reference count.
 */
#ifndef CURLEWCART_CW_ROUTING_H
#define CURLEWCART_CW_ROUTING_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/* A queue that callers submit jobs to. */
struct cw_queue {
    char *name;
    char *host;
    char *prefix; /* of the path; the longest match is chosen */
    char *service;
    unsigned priority;
    unsigned max_attempts;
    /* A job is to end within this many thousandths of its longest chain of
     * steps plus `target_latency_ms`. */
    unsigned stretch_milli;
    unsigned target_latency_ms;
    unsigned timeout_ms;
    bool open;    /* callers need no credential */
    bool advised; /* a policy service selects the workers */
};

/* A client account. */
struct cw_account {
    char *name;
    GPtrArray *keys; /* char *: its credentials */
    GPtrArray *dcs;  /* char *: data centres that its data may be stored in;
                        empty: any */
    unsigned guaranteed_accelerators;
};

/* A pool of workers. */
struct cw_service {
    char *name;
    bool enforces_capacity; /* its workers refuse a run that does not fit */
    bool powered_off;       /* its machines are switched off; unused */
};

/* A configuration. */
struct cw_routing {
    gint references;
    uint64_t version;
    unsigned body_bytes_max;
    bool enforces_residency; /* accounts may use only their data centres;
                                unlisted accounts may use none */
    GPtrArray *closed_dcs;   /* char *: data centres that take no new work */
    GPtrArray *queues;       /* struct cw_queue */
    GPtrArray *services;     /* struct cw_service */
    GPtrArray *accounts;     /* struct cw_account */
    GHashTable *accounts_by_key; /* credential -> struct cw_account */
};

/* Creates an empty configuration with one reference; fill it, then call
 * cw_routing_finish once. */
struct cw_routing *cw_routing_new(void);

/* Indexes the accounts by credential. */
void cw_routing_finish(struct cw_routing *routing);

/* Adds a reference; returns `routing`. */
struct cw_routing *cw_routing_ref(struct cw_routing *routing);

/* Drops a reference; the last one frees `routing`, which may be NULL. */
void cw_routing_unref(struct cw_routing *routing);

/* Adds an empty item.  Borrowed. */
struct cw_queue *cw_routing_add_queue(struct cw_routing *routing);
struct cw_account *cw_routing_add_account(struct cw_routing *routing);
struct cw_service *cw_routing_add_service(struct cw_routing *routing);

/* Returns the queue for a host, whose port is ignored, and a path, or NULL.
 * Borrowed. */
const struct cw_queue *
cw_routing_find_queue(const struct cw_routing *routing, const char *host,
                      const char *path);

/* Account by credential, or NULL.  Borrowed. */
const struct cw_account *
cw_routing_account_by_key(const struct cw_routing *routing, const char *key);

/* Account by name, or NULL.  Borrowed. */
const struct cw_account *
cw_routing_account_by_name(const struct cw_routing *routing, const char *name);

/* True if the account's data may be stored in the data centre. */
bool cw_routing_account_permits_dc(const struct cw_routing *routing,
                                   const char *account, const char *dc);

/* True if the configuration allows new work in the data centre. */
bool cw_routing_dc_is_open(const struct cw_routing *routing, const char *dc);

/* Service by name, or NULL.  Borrowed. */
const struct cw_service *
cw_routing_service_by_name(const struct cw_routing *routing, const char *name);

#endif

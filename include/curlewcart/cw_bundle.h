/* The configuration bundle: what operators sign off and daemons apply.
 *
 * A bundle is read from YAML, checked, and then never changed; it is shared
 * by reference count between threads.
 */
#ifndef CURLEWCART_CW_BUNDLE_H
#define CURLEWCART_CW_BUNDLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "proto/cw_proto.h"
#include "curlewcart/cw_result.h"
#include "curlewcart/cw_routing.h"

/* A data centre. */
struct cw_dc_def {
    char *name;
    bool out; /* declared out of service: takes no new requests */
};

/* A worker, its place and its size. */
struct cw_worker_def {
    char *name;
    char *dc;
    char *rack;
    char *address; /* IP:port of its HTTP interface */
    unsigned accelerators;
    unsigned cores;
    unsigned memory_mb;
    unsigned slots;       /* tasks at a time */
    unsigned connections; /* connections at a time, all VMs together */
};

/* A guarantee in one data centre. */
struct cw_guarantee_def {
    char *dc;
    unsigned accelerators;
    unsigned rack_block; /* of these, in blocks of this size in one rack;
                            0: anywhere in the data centre */
};

/* A client account. */
struct cw_account_def {
    char *name;
    char *token_hash; /* hex BLAKE2b-256 of the token */
    unsigned weight;
    char **dcs; /* where its data may live */
    unsigned dcs_count;
    struct cw_guarantee_def *guarantees;
    unsigned guarantees_count;
    unsigned max_waiting; /* 0: the default limit */
};

/* An operator who may sign. */
struct cw_operator_def {
    char *name;
    char *public_key; /* hex Ed25519 */
    bool revoked;
};

/* Numbers that steer the policy.  Zero means the default. */
struct cw_policy_def {
    unsigned signatures;    /* needed to accept a change; least 1 */
    unsigned spare_workers; /* per rack, not counted on for guarantees */
    unsigned max_waiting;   /* per data centre */
    unsigned max_attempts;
};

/* The document as it stands in YAML. */
struct cw_bundle_doc {
    struct cw_policy_def policy;
    struct cw_dc_def *dcs;
    unsigned dcs_count;
    struct cw_worker_def *workers;
    unsigned workers_count;
    struct cw_account_def *accounts;
    unsigned accounts_count;
    struct cw_operator_def *operators;
    unsigned operators_count;
};

/* A checked bundle.  Read-only after cw_bundle_parse. */
struct cw_bundle {
    int references;
    unsigned number;
    unsigned char hash[CW_HASH_BYTES];
    GBytes *content; /* the YAML text */
    struct cw_bundle_doc *doc;
    GHashTable *accounts; /* name -> struct cw_account_def */
    GHashTable *workers;  /* name -> struct cw_worker_def */
    GHashTable *dcs;      /* name -> struct cw_dc_def */
};

/* Parses and checks a bundle.  `problems` gets one line for each problem
 * found, with line and field where YAML is at fault; it may be NULL.
 * Returns a bundle with one reference, or NULL. */
struct cw_bundle *
cw_bundle_parse(const void *text, size_t length, GString *problems);

struct cw_bundle *cw_bundle_ref(struct cw_bundle *bundle);
void cw_bundle_unref(struct cw_bundle *bundle);

/* Account by name, or NULL.  Borrowed from the bundle. */
const struct cw_account_def *
cw_bundle_account(const struct cw_bundle *bundle, const char *name);

/* True if the account's data may live in `dc`. */
bool cw_bundle_permits(const struct cw_account_def *account, const char *dc);

/* Accelerators guaranteed to the account in `dc`. */
unsigned
cw_bundle_guarantee(const struct cw_account_def *account, const char *dc);

/* CW_OK if the job could ever run on idle workers where its account's data
 * may live, else the refusal that names what is missing. */
enum cw_result cw_bundle_fits(const struct cw_bundle *bundle,
                              const struct cw_work_spec *spec);

/* What the scheduler has to know of the bundle: accounts with their data
 * centres and guarantees, and one queue for jobs on the workers of
 * `service`.  Owned by the caller (cw_routing_unref). */
struct cw_routing *
cw_bundle_routing(const struct cw_bundle *bundle, const char *service);

/* Constant-time check of an account's token. */
bool
cw_bundle_token_ok(const struct cw_account_def *account, const char *token);

/* Lists in words what differs from `before` to `after`, a line each. */
void cw_bundle_diff(const struct cw_bundle *before,
                    const struct cw_bundle *after, GString *out);

/* Share of each rack that is set aside in the plan of guarantees. */
struct cw_plan_share {
    const char *rack; /* borrowed from the bundle */
    const char *account;
    unsigned accelerators;
};

/* Plans which racks of `dc` hold which guarantees.
 *
 * Returns an array of struct cw_plan_share (free with g_array_unref), or
 * NULL if the guarantees cannot all be held at once; then `problems` says
 * whose. */
GArray *cw_bundle_plan(const struct cw_bundle *bundle, const char *dc,
                       GString *problems);

/* Policy numbers with the defaults filled in. */
struct cw_policy_def cw_bundle_policy(const struct cw_bundle *bundle);

#endif

/* The configuration bundle, which operators sign and daemons apply.
 *
 * A bundle is read from YAML and checked, and is immutable from then on;
 * threads share it by reference count.
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
    bool out_of_service; /* as declared here; accepts no new requests */
};

/* A worker, its location and its capacity. */
struct cw_worker_def {
    char *name;
    char *dc;
    char *rack;
    char *address; /* IP:port of its HTTP interface */
    unsigned accelerators;
    unsigned cores;
    unsigned memory_mb;
    unsigned slots;       /* limit on concurrent tasks */
    unsigned connections; /* limit on connections from all VMs together */
};

/* Accelerators guaranteed to an account in one data centre. */
struct cw_guarantee_def {
    char *dc;
    unsigned accelerators;
    unsigned rack_block; /* reserved in blocks of this size within one rack;
                            0: anywhere in the data centre */
};

/* A client account. */
struct cw_account_def {
    char *name;
    char *token_hash; /* hex BLAKE2b-256 of the token */
    unsigned weight;
    char **dcs; /* data centres where its data may be */
    unsigned dcs_count;
    struct cw_guarantee_def *guarantees;
    unsigned guarantees_count;
    unsigned max_waiting; /* jobs; 0: no limit but the policy's */
};

/* An operator, who may sign bundles unless revoked. */
struct cw_operator_def {
    char *name;
    char *public_key; /* hex Ed25519 */
    bool revoked;
};

/* Numbers of the policy.  Zero means the default. */
struct cw_policy_def {
    unsigned signatures;    /* required to accept a change; at least 1 */
    unsigned spare_workers; /* per rack, left out of the plan of guarantees */
    unsigned max_waiting;   /* per data centre */
    unsigned max_attempts;
};

/* The YAML document. */
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

/* Parses and checks a bundle.  Adds a line to `problems`, which may be NULL,
 * for each problem found, with line and field for errors of the YAML.
 * Returns a bundle with one reference, or NULL. */
struct cw_bundle *
cw_bundle_parse(const void *text, size_t length, GString *problems);

/* Adds a reference; returns the bundle. */
struct cw_bundle *cw_bundle_ref(struct cw_bundle *bundle);

/* Drops a reference; the last one frees the bundle.  NULL is ignored. */
void cw_bundle_unref(struct cw_bundle *bundle);

/* Account of this name, or NULL.  Borrowed from the bundle. */
const struct cw_account_def *
cw_bundle_account_by_name(const struct cw_bundle *bundle, const char *name);

/* True if the account's data may be in `dc`. */
bool cw_bundle_account_permits_dc(const struct cw_account_def *account,
                                  const char *dc);

/* Accelerators guaranteed to the account in `dc`. */
unsigned cw_bundle_account_guarantee(const struct cw_account_def *account,
                                     const char *dc);

/* Returns CW_OK if the job would fit with all workers idle, in the data
 * centres that the job and its account permit; otherwise the refusal that
 * names the missing capacity or data centre. */
enum cw_result cw_bundle_check_fit(const struct cw_bundle *bundle,
                                   const struct cw_work_spec *spec);

/* Routing data that the scheduler needs from the bundle: accounts with their
 * data centres and guarantees, and one queue for jobs on the workers of
 * `service`.  Owned by the caller (cw_routing_unref). */
struct cw_routing *
cw_bundle_routing(const struct cw_bundle *bundle, const char *service);

/* Constant-time check of an account's token. */
bool
cw_bundle_token_ok(const struct cw_account_def *account, const char *token);

/* Adds a line to `out` for each change from `before` to `after`. */
void cw_bundle_diff(const struct cw_bundle *before,
                    const struct cw_bundle *after, GString *out);

/* Accelerators of one rack that the plan reserves for one account. */
struct cw_plan_share {
    const char *rack; /* borrowed from the bundle */
    const char *account;
    unsigned accelerators;
};

/* Assigns the guarantees in `dc` to racks.
 *
 * Returns an array of struct cw_plan_share (free with g_array_unref), or
 * NULL if the racks cannot hold all guarantees at the same time; then a line
 * in `problems` names the first account whose guarantee does not fit. */
GArray *cw_bundle_plan_guarantees(const struct cw_bundle *bundle,
                                  const char *dc, GString *problems);

/* The bundle's policy with the defaults filled in. */
struct cw_policy_def cw_bundle_policy(const struct cw_bundle *bundle);

#endif

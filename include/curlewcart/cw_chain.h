/* The chain of accepted bundles: a pure function of the records in log order.
 *
 * A record is accepted if its parent is the version in force, it carries
 * enough valid signatures of operators listed in that parent, and its content
 * passes the checks of a bundle.  A record with a valid seal needs neither the
 * parent nor the signatures.  Every reader of the log makes the same decision.
 * The number of the version in force only grows.
 */
#ifndef CURLEWCART_CW_CHAIN_H
#define CURLEWCART_CW_CHAIN_H

#include <stdbool.h>
#include <stddef.h>

#include "curlewcart/cw_bundle.h"
#include "curlewcart/cw_result.h"

/* An operator trusted to sign the first bundle, from the settings. */
struct cw_trusted_key {
    char *name;
    char *public_key; /* hex Ed25519 */
};

/* Keys that the first record and seals are verified with. */
struct cw_chain_options {
    const struct cw_trusted_key *trusted; /* borrowed */
    unsigned trusted_count;
    const unsigned char *seal_key; /* CW_MAC_BYTES, borrowed; may be NULL */
};

struct cw_chain;

/* Creates an empty chain; free with cw_chain_free. */
struct cw_chain *cw_chain_create(const struct cw_chain_options *options);

/* Frees the chain and drops its reference to the bundle in force. */
void cw_chain_free(struct cw_chain *chain);

/* Bundle in force, or NULL.  Borrowed; take a reference to keep it. */
struct cw_bundle *cw_chain_current(const struct cw_chain *chain);

/* Number of the version in force; 0 if there is none. */
unsigned cw_chain_current_number(const struct cw_chain *chain);

/* Applies the next record of the log.  Returns CW_OK if it is now in force,
 * CW_DROP_CONFLICT if another record with its number came first (or it is
 * old), and CW_DROP_BUNDLE if it is not valid; then `problems` (may be NULL)
 * has the reason. */
enum cw_result
cw_chain_apply(struct cw_chain *chain, const struct cw_bundle_rec *record,
               GString *problems);

/* Makes a sealed record of the version in force, with its whole content, as
 * the store keeps it.  Release with xdr_free.  False if no version is in force
 * or there is no seal key. */
bool
cw_chain_export(const struct cw_chain *chain, struct cw_bundle_rec *record);

/* Makes a record that changes `parent` (NULL: the first bundle) into
 * `content`, without signatures.  Release with xdr_free.  False if the content
 * is too long. */
bool cw_chain_propose(const struct cw_bundle *parent, const void *content,
                      size_t length, struct cw_bundle_rec *record);

/* Adds an operator's signature, made with a 64-byte Ed25519 secret key.  False
 * if memory runs out. */
bool cw_chain_sign(struct cw_bundle_rec *record, const char *operator_name,
                   const unsigned char *secret_key);

/* Content of a record that changes `parent` (NULL: none), or NULL if it can't
 * be decoded or its hash is wrong. */
GBytes *cw_chain_decode_content(const struct cw_bundle_rec *record,
                                const struct cw_bundle *parent);

#endif

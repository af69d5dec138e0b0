/* The terms on which an owner grants leases, as recorded for the next one. */
#ifndef CURLEWCART_OWNER_LEASE_TERMS_H
#define CURLEWCART_OWNER_LEASE_TERMS_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "curlewcart/cw_owner.h"

struct owner_batch;
struct owner_lease_terms;

struct owner_lease_terms *owner_lease_terms_create(void);
void owner_lease_terms_free(struct owner_lease_terms *terms);

/* Adds a record of the first terms of the epoch that was opened to the batch
 * that begins it. */
void
owner_lease_terms_begin(struct cw_owner *owner, struct owner_batch *batch);

/* To be called when that batch is stored. */
void owner_lease_terms_stored(struct cw_owner *owner);

/* To be called when ownership is lost. */
void owner_lease_terms_end(struct cw_owner *owner);

/* True if longer leases than OWNER_SHORT_LEASE_MS may be granted. */
bool owner_lease_terms_allow_long(const struct cw_owner *owner);

/* To be called when a lease was granted that ends at `end`. */
void owner_lease_terms_granted(struct cw_owner *owner, struct timespec end);

/* True if a record of other terms has to be written. */
bool owner_lease_terms_due(struct cw_owner *owner, struct timespec now);

/* Writes that record to the log of jobs, which must be idle. */
void owner_lease_terms_send(struct cw_owner *owner, struct timespec now);

#endif

/* The majority of VMs whose support an owner needs to renew leases. */
#ifndef CURLEWCART_OWNER_QUORUM_H
#define CURLEWCART_OWNER_QUORUM_H

#include <stdbool.h>
#include <time.h>

#include "curlewcart/cw_owner.h"

struct owner_batch;
struct owner_quorum;

struct owner_quorum *owner_quorum_create(void);
void owner_quorum_free(struct owner_quorum *quorum);

/* Chooses the electorate of the epoch that was opened. */
void owner_quorum_begin(struct cw_owner *owner);

/* True if another electorate has to be recorded. */
bool owner_quorum_change_wanted(const struct cw_owner *owner);

/* The electorate to put into a record that is written now, and never before
 * the last one is stored: addresses, borrowed. */
const GPtrArray *owner_quorum_recorded(struct cw_owner *owner);

/* To be called when that record is stored. */
void owner_quorum_stored(struct cw_owner *owner);

/* To be called when ownership is lost. */
void owner_quorum_end(struct cw_owner *owner);

/* To be called when the store has confirmed ownership. */
void owner_quorum_ownership_confirmed(struct cw_owner *owner);

/* True if most of the electorate supports this owner, or it has none. */
bool owner_quorum_allows(const struct cw_owner *owner, struct timespec now);

/* Returns the latest time from which a lease that is granted now may count:
 * when the support that allows it was requested, or `now` if it needs none. */
struct timespec
owner_quorum_lease_start(const struct cw_owner *owner, struct timespec now);

/* Sets `start` to the latest time from which a lease may count that the owner
 * of an earlier epoch has granted.  Returns false if that is not known: it
 * needed no support, or fewer than most of its electorate have answered this
 * owner. */
bool owner_quorum_earlier_start(const struct cw_owner *owner,
                                const struct cw_replica_epoch *epoch,
                                struct timespec *start);

/* Requests support; returns when it has to be called next. */
struct timespec owner_quorum_tick(struct cw_owner *owner, struct timespec now);

#endif

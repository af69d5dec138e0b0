/* Applies records of epochs to a table: VM -> struct cw_replica_epoch. */
#ifndef CURLEWCART_REPLICA_EPOCHS_H
#define CURLEWCART_REPLICA_EPOCHS_H

#include "curlewcart/cw_replica.h"

/* Creates an empty table. */
GHashTable *replica_epochs_new(void);

/* Apply a record of an epoch's start or end.  Return the entry that changed,
 * or NULL if the record is not newer than the entry or cannot be decoded. */
struct cw_replica_epoch *
replica_epochs_apply_begin(GHashTable *epochs,
                           const struct cw_store_record *record);
struct cw_replica_epoch *
replica_epochs_apply_end(GHashTable *epochs,
                         const struct cw_store_record *record,
                         struct timespec now);

/* Applies a record of the terms on which an owner grants leases. */
void replica_epochs_apply_terms(GHashTable *epochs,
                                const struct cw_store_record *record,
                                struct timespec now);

/* Applies a record of how an owner's leases count. */
void replica_epochs_apply_lease_start(GHashTable *epochs,
                                      const struct cw_store_record *record);

/* Applies a record that deletes a key of the kind CW_WORK_KEY_EPOCH. */
void replica_epochs_apply_drop(GHashTable *epochs,
                               const struct cw_store_record *record);

#endif

/* Folding the records of epochs: VM -> struct cw_replica_epoch. */
#ifndef CURLEWCART_REPLICA_EPOCHS_H
#define CURLEWCART_REPLICA_EPOCHS_H

#include "curlewcart/cw_replica.h"

GHashTable *replica_epochs_new(void);

/* Folds a record of its kind; returns what it changed, or NULL if it is not
 * newer than what is known, or cannot be read. */
struct cw_replica_epoch *
replica_epochs_begin(GHashTable *epochs, const struct cw_store_record *record);
struct cw_replica_epoch *
replica_epochs_end(GHashTable *epochs, const struct cw_store_record *record,
                   struct timespec now);

/* The key of a CW_WORK_KEY_EPOCH was dropped. */
void
replica_epochs_drop(GHashTable *epochs, const struct cw_store_record *record);

#endif

/* Epochs of owners, and when the leases given under earlier ones expire. */
#ifndef CURLEWCART_OWNER_EPOCHS_H
#define CURLEWCART_OWNER_EPOCHS_H

#include <stdbool.h>
#include <time.h>

#include "curlewcart/cw_owner.h"

struct owner_epochs;

/* True if the store confirmed ownership recently enough to renew leases. */
bool
owner_may_extend_leases(const struct cw_owner *owner, struct timespec now);

/* Until its records are read, an earlier process of this VM is assumed to have
 * given leases until now. */
struct owner_epochs *owner_epochs_create(const struct cw_owner *owner);
void owner_epochs_free(struct owner_epochs *epochs);

/* Writes a record of the epoch that was opened, on the idle log of jobs. */
void owner_epochs_write_begin(struct cw_owner *owner);

/* True once that record is stored: only then may this VM give leases. */
bool owner_epochs_begin_is_stored(const struct cw_owner *owner);

/* Sets the end of lease of each worker with runs to the latest that earlier
 * owners may have given it; to be called once all their records are read. */
void owner_epochs_bound_leases(struct cw_owner *owner, struct timespec now);

/* To be called when a record is read that another VM's epoch has ended, while
 * this VM is the owner. */
void owner_epochs_on_other_ended(struct cw_owner *owner, const char *vm);

/* Writes, once all leases given by earlier owners have expired, a record that
 * they have; false if the idle log of jobs was not used. */
bool owner_epochs_write_settled(struct cw_owner *owner, struct timespec now);

/* Remembers the leases that this VM may have given, when ownership is lost. */
void owner_epochs_on_ownership_lost(struct cw_owner *owner);

/* Writes that this VM's last epoch has ended; returns when it is to be called
 * next. */
struct timespec owner_epochs_tick(struct cw_owner *owner, struct timespec now);

#endif

/* Until when leases last that were given before an owner took over. */
#ifndef CURLEWCART_OWNER_EPOCHS_H
#define CURLEWCART_OWNER_EPOCHS_H

#include <stdbool.h>
#include <time.h>

#include "curlewcart/cw_owner.h"

struct owner_epochs;

/* True if leases may still be extended. */
bool
owner_may_extend_leases(const struct cw_owner *owner, struct timespec now);

struct owner_epochs *owner_epochs_create(const struct cw_owner *owner);
void owner_epochs_free(struct owner_epochs *epochs);

/* Writes the epoch that was opened, on the idle log of jobs; this VM decides
 * once it is recorded. */
void owner_epochs_write_begin(struct cw_owner *owner);
bool owner_epochs_begin_is_stored(const struct cw_owner *owner);

/* Bounds the leases of workers with runs by what earlier owners may have given
 * them; to be called once all is read that those have written. */
void owner_epochs_bound_leases(struct cw_owner *owner, struct timespec now);

/* Another VM told, while this one decides, that its epoch is over. */
void owner_epochs_on_other_ended(struct cw_owner *owner, const char *vm);

/* Writes, once it is so, that all is over that earlier owners gave; false if
 * the idle log of jobs was not used. */
bool owner_epochs_write_settled(struct cw_owner *owner, struct timespec now);

/* Ownership was lost: keeps what this VM may have given. */
void owner_epochs_on_ownership_lost(struct cw_owner *owner);

/* Tells that this VM's last epoch is over; returns when it wants to be called
 * next. */
struct timespec owner_epochs_tick(struct cw_owner *owner, struct timespec now);

#endif

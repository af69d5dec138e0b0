/* Epochs of owners, and when the leases granted under earlier ones expire. */
#ifndef CURLEWCART_OWNER_EPOCHS_H
#define CURLEWCART_OWNER_EPOCHS_H

#include <stdbool.h>
#include <time.h>

#include "curlewcart/cw_owner.h"

struct owner_epochs;

/* True if the store confirmed ownership recently enough to poll workers. */
bool owner_may_poll(const struct cw_owner *owner, struct timespec now);

/* True if, besides, the VMs whose support is needed to renew leases give it.
 */
bool
owner_may_extend_leases(const struct cw_owner *owner, struct timespec now);

/* Creates and frees the epochs of an owner.  Until its records are read, an
 * earlier process of this VM is assumed to have granted leases until now. */
struct owner_epochs *owner_epochs_create(const struct cw_owner *owner);
void owner_epochs_free(struct owner_epochs *epochs);

/* Writes a record of the epoch that was opened to the log of jobs, which must
 * be idle. */
void owner_epochs_write_begin(struct cw_owner *owner);

/* True once that record is stored: only then may this VM grant leases. */
bool owner_epochs_begin_is_stored(const struct cw_owner *owner);

/* Sets the end of the lease of each worker with runs to the latest end that
 * earlier owners may have granted; to be called once all their records are
 * read. */
void owner_epochs_bound_leases(struct cw_owner *owner, struct timespec now);

/* Lowers bounds on leases, after a record was read that another VM's epoch has
 * ended; to be called while this VM is the owner. */
void owner_epochs_on_other_ended(struct cw_owner *owner, const char *vm);

/* Lowers bounds on leases, after more has become known of how long earlier
 * owners may have granted leases. */
void owner_epochs_on_earlier_known(struct cw_owner *owner);

/* Once all leases granted by earlier owners have expired, writes a record of
 * that to the log of jobs, which must be idle; false if nothing was written.
 */
bool owner_epochs_write_settled(struct cw_owner *owner, struct timespec now);

/* Records the leases that this VM may have granted; to be called when
 * ownership is lost. */
void owner_epochs_on_ownership_lost(struct cw_owner *owner);

/* Writes that this VM's last epoch has ended; returns when it has to be called
 * next. */
struct timespec owner_epochs_tick(struct cw_owner *owner, struct timespec now);

/* Returns when all leases have expired that this VM granted under epochs
 * before the present one; 0: they have. */
struct timespec owner_epochs_own_leases_end(const struct cw_owner *owner);

/* True if some worker reports when it booted: it may restart under its id, and
 * an order in flight may reach its next incarnation, whose clock differs. */
bool owner_epochs_any_worker_reports_boot(const struct cw_owner *owner);

/* Returns the longest lease that this owner may grant on any terms. */
int64_t owner_epochs_longest_lease_ms(const struct cw_owner *owner);

/* Returns when all leases have expired that earlier owners granted to the
 * worker, whether runs depend on them or not. */
struct timespec
owner_epochs_worker_end(const struct cw_owner *owner, const char *worker);

/* Returns when all leases have expired that earlier owners granted to any
 * worker, as far as is known now. */
struct timespec owner_epochs_earlier_end(const struct cw_owner *owner);

#endif

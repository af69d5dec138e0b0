/* Leases of workers: granting them, and the bound on when they end. */
#ifndef CURLEWCART_OWNER_LEASES_H
#define CURLEWCART_OWNER_LEASES_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_target.h"

struct owner_run;
struct owner_target;

/* Lease in a service that is not busy, where tasks that are lost can run again
 * at once, and of a draining worker, whose work will be lost soon. */
enum { OWNER_SHORT_LEASE_MS = 2400 };

/* Source of the bound on a worker's lease. */
enum owner_lease_source {
    OWNER_LEASE_OWN,           /* this owner, by a poll or a start */
    OWNER_LEASE_EARLIER_OWNER, /* earlier owners may have extended the lease */
    OWNER_LEASE_NOTE,          /* an earlier owner, in its lease note */
    /* Orders sent to a former incarnation may reach the next one. */
    OWNER_LEASE_INCARNATION
};

/* Longest time by this VM's clock that may pass while another clock, which may
 * be slow, advances by `ms`. */
int64_t owner_with_drift_ms(int64_t ms);

/* Latest end of a lease of which a VM wrote that `left_ms` were left, when the
 * record was read at `read_at`: the clocks of two VMs may differ by as much as
 * those of a worker and a VM. */
struct timespec
owner_lease_end_from_record(struct timespec read_at, int64_t left_ms);

/* Longest time by this VM's clock that a lease of `lease_ms` on the worker's
 * clock lasts. */
int64_t owner_lease_duration_ms(int64_t lease_ms);

/* Longest time by this VM's clock that the longest lease that workers accept
 * may last. */
int64_t owner_lease_max_duration_ms(const struct cw_owner *owner);

/* Longest time from the sending of a start until a lease that it grants to the
 * worker's next incarnation is over. */
int64_t owner_lease_late_start_max_ms(const struct cw_owner *owner);

/* Longest lease that owners grant, by the worker's clock. */
int64_t owner_lease_max_granted_ms(const struct cw_owner *owner);

/* True if this owner may grant the worker a lease: most of the VMs whose
 * support it needs give it, and the terms that it has recorded allow it. */
bool owner_lease_may_be_granted(const struct owner_target *target,
                                struct timespec now);

/* True if the worker's clock was read recently enough to grant it a lease. */
bool owner_lease_clock_is_fresh(const struct owner_target *target,
                                struct timespec now);

/* Grants a lease with an order that is sent now, unless the worker's lease
 * must not be extended.  Returns the end of the lease to send, on the worker's
 * clock; it is never earlier than one that was sent before. */
int64_t owner_lease_grant(struct owner_target *target, enum cw_order_kind kind,
                          struct timespec now);

/* A worker has two bounds on its lease.  The one of its incarnation applies to
 * runs that only the present incarnation can execute: it covers the leases
 * that were granted to that incarnation.  The other applies to all other runs,
 * and to all workers that were not polled yet: a start that is still in flight
 * may reach the next incarnation, whose clock differs, and grant it the
 * longest lease that workers accept. */

/* True if the bound of the worker's incarnation applies to the run: that
 * incarnation was executing it, and no start of it is in flight that the next
 * one could carry out. */
bool owner_lease_run_ends_with_incarnation(const struct owner_run *run);

/* When the lease expires of the first of the worker's runs, and of the last of
 * them. */
struct timespec owner_lease_first_end(const struct owner_target *target);
struct timespec owner_lease_last_end(const struct owner_target *target);

/* True if the worker gets short leases, as it drains or its service is not
 * busy.  It has to be polled more often then. */
bool
owner_lease_is_short(const struct owner_target *target, struct timespec now);

/* Sets both bounds on the worker's lease. */
void owner_lease_set(struct owner_target *target, struct timespec end,
                     enum owner_lease_source source);

/* Raises the bounds on the worker's lease, which may last at least until
 * `end`. */
void owner_lease_raise(struct owner_target *target, struct timespec end,
                       enum owner_lease_source source);

/* Raises the bound that applies to runs that the next incarnation may execute.
 */
void owner_lease_raise_outer(struct owner_target *target, struct timespec end,
                             enum owner_lease_source source);

/* Lowers the bounds on the worker's lease, which ends at `end` at the latest.
 */
void owner_lease_lower(struct owner_target *target, struct timespec end,
                       enum owner_lease_source source);

/* Bounds the lease of a worker that has answered this owner, and so has
 * received its fencing token. */
void
owner_lease_token_received(struct owner_target *target, struct timespec now);

/* True if an order of this owner may have granted the worker a lease. */
bool owner_lease_possibly_granted(const struct owner_target *target);

/* Name of a source, for logs.  Borrowed, static. */
const char *owner_lease_source_name(enum owner_lease_source source);

#endif

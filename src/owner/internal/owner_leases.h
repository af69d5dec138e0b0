/* Leases of workers: what is given, and until when one may last. */
#ifndef CURLEWCART_OWNER_LEASES_H
#define CURLEWCART_OWNER_LEASES_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_target.h"

struct owner_target;

/* Who has set the end of a worker's lease. */
enum owner_lease_source {
    OWNER_LEASE_OWN,           /* this owner, by a look or a start */
    OWNER_LEASE_EARLIER_OWNER, /* earlier owners may have extended it */
    OWNER_LEASE_NOTE,          /* an earlier owner, in its note */
    OWNER_LEASE_INCARNATION /* orders to a former life may reach the next one
                             */
};

/* How long by our clock what takes so long by another's, which may be slow,
 * may take. */
int64_t owner_with_drift_ms(int64_t ms);

/* When a lease is over that had `left_ms` left when a VM wrote so, by when it
 * was read: two VMs' clocks may differ by as much as a worker's from one. */
struct timespec
owner_lease_end_from_record(struct timespec read_at, int64_t left_ms);

/* How long a lease of the longest that workers take may last, by our clock. */
int64_t owner_lease_max_duration_ms(const struct cw_owner *owner);

/* The longest that owners give, by the worker's clock. */
int64_t owner_lease_max_granted_ms(const struct cw_owner *owner);

/* True if the worker's clock was read lately enough to give it a lease. */
bool owner_lease_clock_is_fresh(const struct owner_target *target,
                                struct timespec now);

/* End of lease to send with an order now, on the worker's clock; it is never
 * earlier than one that was sent before. */
int64_t owner_lease_grant(struct owner_target *target, enum cw_order_kind kind,
                          struct timespec now);

/* The worker's lease may last until `end` at least, or at most. */
void owner_lease_raise(struct owner_target *target, struct timespec end,
                       enum owner_lease_source source);
void owner_lease_lower(struct owner_target *target, struct timespec end,
                       enum owner_lease_source source);

/* The worker has answered this owner, and so seen its fencing token. */
void owner_lease_token_seen(struct owner_target *target, struct timespec now);

/* True if orders of this owner may have given the worker a lease. */
bool owner_lease_possibly_granted(const struct owner_target *target);

/* For logs. */
const char *owner_lease_source_name(enum owner_lease_source source);

#endif

/* Support of a VM for the owner of a shard.
 *
 * An owner renews workers' leases only while a majority of its electorate, a
 * set of VMs that it has recorded in the store, supports its epoch.  A VM
 * supports one epoch at a time, each time for CW_SUPPORT_MS, and never again
 * an epoch below one that it has supported.  So a new owner that has received
 * the support of a majority of an earlier owner's electorate knows until when
 * that owner may have renewed leases: until the latest time up to which one of
 * these VMs supported a lower epoch.
 *
 * A voter forgets all when its process ends.  It assumes that a process that
 * served its address before it supported some epoch until it ended.  The new
 * process may support an epoch below one that the former process supported, so
 * an owner counts support only once the store has confirmed it since then.
 *
 * Pure: no I/O, no clock.
 */
#ifndef CURLEWCART_CW_VOTER_H
#define CURLEWCART_CW_VOTER_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Duration of the support that a voter grants, in ms by its clock. */
enum { CW_SUPPORT_MS = 700 };

struct cw_voter {
    uint64_t epoch; /* supported last; 0: none */
    struct timespec until;
    struct timespec lower_until; /* end of the support for lower epochs */
};

/* Initialises a voter whose process began at `started_at`. */
void cw_voter_init(struct cw_voter *voter, struct timespec started_at);

/* Supports the epoch from `now` on.  Sets `lower_until` to the time up to
 * which lower epochs may have been supported.  Returns false, and changes
 * nothing, if a higher epoch has been supported. */
bool cw_voter_support(struct cw_voter *voter, uint64_t epoch,
                      struct timespec now, struct timespec *lower_until);

#endif

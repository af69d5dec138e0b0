/* Support of a VM for the owner of a shard. */
#include "curlewcart/cw_voter.h"

#include "curlewcart/cw_time.h"

void
cw_voter_init(struct cw_voter *voter, struct timespec started_at)
{
    *voter = (struct cw_voter){.lower_until =
                                   cw_time_add_ms(started_at, CW_SUPPORT_MS)};
}

bool
cw_voter_support(struct cw_voter *voter, uint64_t epoch, struct timespec now,
                 struct timespec *lower_until)
{
    if (epoch < voter->epoch) {
        return false;
    }
    if (epoch > voter->epoch) {
        if (voter->epoch > 0 &&
            cw_time_before(voter->lower_until, voter->until)) {
            voter->lower_until = voter->until;
        }
        voter->epoch = epoch;
    }
    voter->until = cw_time_add_ms(now, CW_SUPPORT_MS);
    *lower_until = voter->lower_until;
    return true;
}

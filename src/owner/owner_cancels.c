/* Cancellations: withholds starts while one may be unknown.
 *
 * Cancellations come with the log of jobs, and a job must not be started once
 * its cancellation has been effective for long enough.  So all starts, first
 * ones and repeated ones, wait if the log has not been read to its end for
 * nearly that time: the store may be away, or this VM may be late itself. */
#include "owner/internal/owner_private.h"

enum {
    /* Interval of the log line, and of reads, while starts wait. */
    READ_RETRY_MS = 100
};

bool
owner_cancels_known(struct cw_owner *owner, struct timespec now,
                    struct timespec *next)
{
    struct cw_follower *jobs = cw_replica_follower(owner->options.replica);
    int64_t cancel_ms = owner->options.cancel_ms;
    int64_t staleness_ms;

    if (cancel_ms == 0) {
        return true;
    }
    staleness_ms = cw_time_diff_ms(cw_follower_fresh_as_of(jobs), now);
    if (staleness_ms <= cancel_ms - OWNER_START_IN_FLIGHT_MS) {
        return true;
    }
    if (!cw_time_before(now, owner->cancels_read_due)) {
        owner->cancels_read_due = cw_time_add_ms(now, READ_RETRY_MS);
        cw_log_info("starts_wait",
                    "reason=jobs_not_read staleness_ms=%" PRId64,
                    staleness_ms);
        cw_follower_read_now(jobs);
    }
    cw_time_set_earlier(next, owner->cancels_read_due);
    return false;
}

/* Straggler detection: decides whether a slow or stalled run is slow because
 * of its worker.
 *
 * Service times are heavy-tailed: some tasks take several times as long as
 * others of their kind on any worker, and restarting one only discards its
 * work and that of its gang.  Whether the worker is the cause is estimated in
 * cw_worker_speed.h.
 *
 * Pure: no I/O and no clock of its own.
 */
#ifndef CURLEWCART_CW_STRAGGLERS_H
#define CURLEWCART_CW_STRAGGLERS_H

#include <stdbool.h>
#include <stdint.h>

enum { CW_PERCENT_DONE = 100 };

/* Progress of a run. */
struct cw_progress {
    unsigned percent;
    int64_t unchanged_ms;  /* time since `percent` changed last */
    double ms_per_percent; /* by its rate so far, or its estimate; 0 unknown */
    bool awaits_gang;      /* another member of its gang is not at 100 */
};

/* True if the run has made no progress for so long that its worker is assumed
 * to hang.  A gang's members end together, so that a member at 100 percent is
 * not stalled while it waits for others. */
bool cw_progress_stalled(const struct cw_progress *progress);

/* A run on a slow worker that could be restarted on another one. */
struct cw_restart {
    unsigned percent;
    bool checkpoints; /* the work done so far need not be repeated */
    bool urgent;
    double rate;     /* percent per second on this worker */
    double expected; /* percent per second on another one; above 0 */
    int64_t
        objective_ms; /* time left until the job is late; may be negative */
};

/* True if the run would end late on its present worker, and a restart on
 * another one, with its cost, would end in time or much earlier. */
bool cw_restart_is_worthwhile(const struct cw_restart *restart);

#endif

/* Straggler detection: decides whether a slow or stalled run is slow because
 * of its worker.
 *
 * Service times are heavy-tailed: some tasks take several times as long as
 * others of their kind on any worker, and restarting one only discards its
 * work and that of its gang.  So the low rate of one run is no evidence that
 * its worker is faulty.  A worker is considered faulty if the run was faster
 * there before, or if runs of other jobs are slow there as well.
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

/* Rates of progress of a run, in percent per second. */
struct cw_rates {
    double rate;  /* in the last window */
    double best;  /* highest rate of the run before; 0 unknown */
    double peers; /* rate of its gang's other members, scaled to the speed
                     of its worker; 0 unknown */
    bool slow_in_other_job; /* a run of another job was slow on its worker, and
                         no run has had a normal rate there since */
};

enum cw_rate_verdict {
    CW_RATE_UNKNOWN, /* there is no rate to compare with */
    CW_RATE_NORMAL,
    CW_RATE_LONG_TASK, /* slower than its peers, and nothing else indicates
                          that its worker is slow */
    CW_RATE_SLOW_WORKER
};

/* Compares the run's rate with its best one and that of its peers. */
enum cw_rate_verdict cw_rates_classify(const struct cw_rates *rates);

/* Returns the rate that the run should have on a healthy worker; 0 unknown. */
double cw_rates_expected(const struct cw_rates *rates);

/* A run on a slow worker that could be restarted on another one. */
struct cw_restart {
    unsigned percent;
    bool checkpoints; /* the work done so far need not be repeated */
    bool urgent;
    double rate;     /* percent per second on this worker */
    double expected; /* percent per second on another one; above 0 */
};

/* True if a restart on another worker, with its cost, would end earlier than
 * the run on its present worker. */
bool cw_restart_is_worthwhile(const struct cw_restart *restart);

#endif

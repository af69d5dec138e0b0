/* Straggler detection: whether a slow or stalled run is held up by its worker.
 *
 * Service times are heavy-tailed: some tasks take several times as long as
 * others of their kind on any worker, and restarting one only discards its
 * work and that of its gang.  A faulty worker shows in more than the rate of
 * one run: the run was faster there before, or runs of other jobs are slow
 * there as well.
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
    int64_t unchanged_ms;  /* since its percent changed last */
    double ms_per_percent; /* by its rate so far, or its estimate; 0 unknown */
    bool awaits_gang;      /* another member of its gang is not at 100 */
};

/* True if the run has made no progress for so long that its worker is taken
 * for one that hangs.  A gang's members end together, so one that is at 100
 * percent is not stalled while it awaits others. */
bool cw_progress_stalled(const struct cw_progress *progress);

/* A run's rates of progress, in percent a second. */
struct cw_rates {
    double rate;            /* lately */
    double best;            /* the highest rate of it before; 0 unknown */
    double peers;           /* of its gang's other members, as on its worker; 0
                               unknown */
    bool slow_in_other_job; /* another job's run on its worker was slow, and
                         none has had a normal rate there since */
};

enum cw_rate_verdict {
    CW_RATE_UNKNOWN, /* no rate to compare with */
    CW_RATE_NORMAL,
    CW_RATE_LONG_TASK, /* slower than its peers, with nothing else against
                          its worker */
    CW_RATE_SLOW_WORKER
};

enum cw_rate_verdict cw_rates_classify(const struct cw_rates *pace);

/* The rate that is expected of the run on a sound worker; 0 unknown. */
double cw_rates_expected(const struct cw_rates *pace);

/* A run on a slow worker. */
struct cw_restart {
    unsigned percent;
    bool checkpoints; /* what it has done is not done again */
    bool urgent;
    double rate;     /* percent a second here */
    double expected; /* ... and elsewhere; above 0 */
};

/* True if starting the run again elsewhere ends sooner than going on, by
 * enough for the work that is thrown away. */
bool cw_restart_is_worthwhile(const struct cw_restart *restart);

#endif

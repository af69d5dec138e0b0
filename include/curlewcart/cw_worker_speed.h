/* Estimates the speed of a worker from the progress of its runs.
 *
 * A speed is the ratio to a typical worker of the service, as a natural
 * logarithm with a variance.  Evidence grows with each measurement and fades
 * with time, as workers become slow and recover.  One slow run does not show
 * whether its task is long or its worker slow, so a worker counts as slow only
 * after a change of the rate within a run, or once a second run agrees.
 *
 * Pure: no I/O and no clock of its own.
 */
#ifndef CURLEWCART_CW_WORKER_SPEED_H
#define CURLEWCART_CW_WORKER_SPEED_H

#include <stdbool.h>
#include <time.h>

/* A worker below this ratio to a typical one is slow: work on it takes longer
 * than callers of urgent work accept, and a restart elsewhere may pay. */
#define CW_SPEED_SLOW_BELOW 0.5

/* Estimate for one incarnation of a worker. */
struct cw_worker_speed {
    double log_speed;
    double variance;             /* of `log_speed` at `measured_at` */
    struct timespec measured_at; /* 0: never */
    unsigned run;   /* of the last measurement; struct cw_speed_sample */
    bool confirmed; /* not only one run shows `log_speed` */
};

/* One measurement of a worker. */
struct cw_speed_sample {
    double log_speed;
    double variance;
    unsigned run; /* identifies the task that was measured; not 0 */
    /* The run cannot be what is slow: its own rate has changed, or so many
     * workers are slow that this is the likelier cause. */
    bool shows_worker;
    /* The run's length is known from others that have equal work, so that a
     * large deviation is no long task. */
    bool equal_work;
};

/* A worker of unknown speed. */
struct cw_worker_speed cw_worker_speed_new(void);

/* Combines the estimate with a measurement at `now`. */
void cw_worker_speed_observe(struct cw_worker_speed *speed,
                             const struct cw_speed_sample *sample,
                             struct timespec now);

/* Returns the expected ratio to a typical worker; 1 while unknown. */
double cw_worker_speed_expected(const struct cw_worker_speed *speed,
                                struct timespec now);

/* Returns the variance of the estimate. */
double cw_worker_speed_variance(const struct cw_worker_speed *speed,
                                struct timespec now);

/* True if the worker is shown to be slow, and that has not faded. */
bool cw_worker_speed_is_slow(const struct cw_worker_speed *speed,
                             struct timespec now);

/* True if the worker was measured lately and is not slow. */
bool cw_worker_speed_is_proved(const struct cw_worker_speed *speed,
                               struct timespec now);

/* Estimate of a rate from several measurements of it. */
struct cw_rate_vote {
    double log_rate; /* percent per second on a typical worker */
    double variance;
};

/* Combines votes, robustly against a minority that is off, and lists the
 * result in `out`; false if there are none.  Sorts `votes`. */
bool cw_rate_votes_combine(struct cw_rate_vote *votes, unsigned count,
                           struct cw_rate_vote *out);

#endif

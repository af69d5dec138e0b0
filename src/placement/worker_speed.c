/* Speed of workers. */
#include "curlewcart/cw_worker_speed.h"

#include <math.h>
#include <stdint.h>
#include <stdlib.h>

#include <glib.h>

#include "curlewcart/cw_time.h"

/* Variance of an unknown worker: lasting differences within a service are
 * mostly below a factor of two. */
#define UNKNOWN_VARIANCE 0.09
/* Limit on the certainty, as measurements are not fully independent. */
#define VARIANCE_MIN 0.01
/* How fast certainty is lost, per second. */
#define VARIANCE_PER_S 0.005
/* A measurement that is off by more standard deviations than this is a change
 * of the worker or an unusual task, no noise. */
#define NOISE_MAX_DEVIATIONS 2.5
/* Without measurements the estimate returns to a typical worker's. */
#define FADE_MS 40000.0
/* Bounds of an estimate. */
#define LOG_SPEED_MAX 1.0
#define LOG_SPEED_MIN (-2.5)
/* Uncertainty up to which a worker of normal speed counts as proved. */
#define PROVED_VARIANCE_MAX 0.08
/* Quantile of the votes' weight that is used: above the median, as slow
 * workers are more frequent than ones that are faster than usual. */
#define VOTE_QUANTILE 0.6
/* Votes that differ by less agree. */
#define VOTES_AGREE 0.35

struct cw_worker_speed
cw_worker_speed_new(void)
{
    struct cw_worker_speed speed = {.variance = UNKNOWN_VARIANCE};

    return speed;
}

static double
age_ms(const struct cw_worker_speed *speed, struct timespec now)
{
    return (double)MAX(cw_time_diff_ms(speed->measured_at, now), 0);
}

static bool
is_measured(const struct cw_worker_speed *speed)
{
    return speed->measured_at.tv_sec != 0;
}

static double
log_speed_at(const struct cw_worker_speed *speed, struct timespec now)
{
    return is_measured(speed)
               ? speed->log_speed * exp(-age_ms(speed, now) / FADE_MS)
               : 0;
}

double
cw_worker_speed_variance(const struct cw_worker_speed *speed,
                         struct timespec now)
{
    double faded =
        speed->variance + VARIANCE_PER_S * age_ms(speed, now) / CW_MS_PER_S;

    return is_measured(speed)
               ? MIN(faded, MAX(speed->variance, UNKNOWN_VARIANCE))
               : UNKNOWN_VARIANCE;
}

/* True if another run has shown the same worker to be slow as the sample. */
static bool
is_second_slow_run(const struct cw_worker_speed *speed,
                   const struct cw_speed_sample *sample, double mean)
{
    return is_measured(speed) && sample->run != speed->run &&
           mean < log(CW_SPEED_SLOW_BELOW) &&
           sample->log_speed < log(CW_SPEED_SLOW_BELOW);
}

void
cw_worker_speed_observe(struct cw_worker_speed *speed,
                        const struct cw_speed_sample *sample,
                        struct timespec now)
{
    double mean = log_speed_at(speed, now);
    double variance = cw_worker_speed_variance(speed, now);
    double off = sample->log_speed - mean;
    bool same_run = is_measured(speed) && sample->run == speed->run;
    double noise = sample->variance;
    bool is_noise = off * off <= NOISE_MAX_DEVIATIONS * NOISE_MAX_DEVIATIONS *
                                     (variance + sample->variance);

    if (!is_noise && !sample->equal_work && !sample->shows_worker) {
        noise += off * off; /* it may well be a long task */
        is_noise = true;
    }
    if (is_noise) {
        double gain = variance / (variance + noise);
        double min = same_run ? MIN(variance, noise) : VARIANCE_MIN;

        speed->log_speed = mean + gain * off;
        speed->variance = MAX(MAX((1 - gain) * variance, min), VARIANCE_MIN);
        speed->confirmed = speed->confirmed || sample->shows_worker ||
                           is_second_slow_run(speed, sample, mean);
    }
    else {
        speed->log_speed = sample->log_speed;
        speed->variance = MAX(sample->variance, VARIANCE_MIN);
        speed->confirmed = sample->shows_worker;
    }
    speed->log_speed = CLAMP(speed->log_speed, LOG_SPEED_MIN, LOG_SPEED_MAX);
    speed->measured_at = now;
    speed->run = sample->run;
}

double
cw_worker_speed_expected(const struct cw_worker_speed *speed,
                         struct timespec now)
{
    return exp(log_speed_at(speed, now));
}

bool
cw_worker_speed_is_slow(const struct cw_worker_speed *speed,
                        struct timespec now)
{
    return is_measured(speed) && speed->confirmed &&
           log_speed_at(speed, now) < log(CW_SPEED_SLOW_BELOW);
}

bool
cw_worker_speed_is_proved(const struct cw_worker_speed *speed,
                          struct timespec now)
{
    return is_measured(speed) &&
           log_speed_at(speed, now) >= log(CW_SPEED_SLOW_BELOW) &&
           cw_worker_speed_variance(speed, now) <= PROVED_VARIANCE_MAX;
}

static int
compare_votes(const void *a, const void *b)
{
    const struct cw_rate_vote *x = a;
    const struct cw_rate_vote *y = b;

    return x->log_rate < y->log_rate ? -1 : x->log_rate > y->log_rate;
}

/* Returns the index of the vote at the quantile of the votes' weight. */
static unsigned
quantile_index(const struct cw_rate_vote *votes, unsigned count)
{
    double total = 0;
    double sum = 0;

    for (unsigned i = 0; i < count; i++) {
        total += 1 / votes[i].variance;
    }
    for (unsigned i = 0; i < count; i++) {
        sum += 1 / votes[i].variance;
        if (sum >= VOTE_QUANTILE * total) {
            return i;
        }
    }
    return count - 1;
}

bool
cw_rate_votes_combine(struct cw_rate_vote *votes, unsigned count,
                      struct cw_rate_vote *out)
{
    double centre;
    double weight = 0;
    double sum = 0;

    if (count == 0) {
        return false;
    }
    qsort(votes, count, sizeof(votes[0]), compare_votes);
    centre = votes[quantile_index(votes, count)].log_rate;
    for (unsigned i = 0; i < count; i++) {
        if (fabs(votes[i].log_rate - centre) <= VOTES_AGREE) {
            weight += 1 / votes[i].variance;
            sum += votes[i].log_rate / votes[i].variance;
        }
    }
    out->log_rate = sum / weight;
    out->variance = 1 / weight;
    return true;
}

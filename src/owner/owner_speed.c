/* Speed of workers, estimated from the progress of their tasks.
 *
 * Members of a gang mostly have equal work, so that their rates compare the
 * workers that they run on.  This shows permanent differences between workers,
 * which placement uses, and workers that delay their work, which are avoided
 * and from which runs are moved where that is worthwhile.  A task that is just
 * longer than others can look like a slow worker; see cw_stragglers.h. */
#include "owner/internal/owner_private.h"

#include <string.h>

#include "curlewcart/cw_stragglers.h"

enum {
    /* Minimum length of the window over which a rate is measured. */
    WINDOW_MIN_MS = 400,
    /* The window also covers at least this many percent, done or expected, as
     * progress is reported in whole percent. */
    WINDOW_MIN_PERCENT = 5,
    /* An older rate of a member is not used for comparison. */
    RATE_MAX_AGE_MS = 2500,
    SLOW_AVOID_MS = 2500,
    /* Limit on the restarts of a step because of slow workers. */
    MOVES_MAX = 2
};

/* Weight of a new comparison in a worker's moving average. */
#define SPEED_WEIGHT 0.3
#define SPEED_MIN 0.5
#define SPEED_MAX 2.0

static bool
rate_is_fresh(const struct owner_run *run, struct timespec now)
{
    return run->rate_known && run->percent < CW_PERCENT_DONE &&
           cw_time_diff_ms(run->rate_at, now) < RATE_MAX_AGE_MS;
}

static int
compare_rates(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

/* Returns the median rate of the gang's members on other workers, scaled to a
 * worker of speed 1; 0 if there are none to compare with. */
static double
peer_rate(const struct owner_run *run, struct timespec now)
{
    const struct owner_step *step = run->task->step;
    GArray *rates = g_array_new(FALSE, FALSE, sizeof(double));
    double median = 0;

    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_run *other = step->tasks[i].run;

        if (other != NULL && other != run && other->target != run->target &&
            rate_is_fresh(other, now))
        {
            double rate = other->rate / other->target->incarnation.speed;

            g_array_append_val(rates, rate);
        }
    }
    if (rates->len > 0) {
        g_array_sort(rates, compare_rates);
        median = g_array_index(rates, double, rates->len / 2);
    }
    g_array_unref(rates);
    return median;
}

static void
update_speed(struct owner_target *target, double ratio)
{
    double measured = target->incarnation.speed * ratio;

    target->incarnation.speed +=
        SPEED_WEIGHT * (measured - target->incarnation.speed);
    target->incarnation.speed =
        CLAMP(target->incarnation.speed, SPEED_MIN, SPEED_MAX);
}

static void
move_from_slow_worker(struct cw_owner *owner, struct owner_run *run,
                      double expected, struct timespec now)
{
    struct owner_step *step = run->task->step;
    struct cw_restart restart = {
        .percent = run->percent,
        .checkpoints = step->spec->checkpoints,
        .urgent = step->occurrence->job->spec->priority == 0,
        .rate = run->rate,
        .expected = expected,
    };

    if (run->stopping || run->gang_done || step->spec->endless ||
        owner_at_most_once_protects(run) || step->moves >= MOVES_MAX ||
        !cw_restart_is_worthwhile(&restart) ||
        !owner_run_may_move(owner, run, now))
    {
        return;
    }
    step->moves++;
    cw_log_info("run_moved",
                "id=%s step=%u run=%u worker=%s percent=%u rate=%.1f "
                "expected=%.1f",
                step->occurrence->job->spec->id, step->number, run->number,
                run->target->id, run->percent, run->rate, expected);
    owner_run_evict_for(owner, run, OWNER_IDLE_MOVED);
}

static void
avoid_slow_worker(struct owner_run *run, double expected, struct timespec now)
{
    struct owner_target *target = run->target;

    if (cw_time_before(target->incarnation.slow_until, now)) {
        cw_log_info("worker_slow", "worker=%s rate=%.1f expected=%.1f id=%s",
                    target->id, run->rate, expected,
                    owner_task_job(run->task)->spec->id);
    }
    target->incarnation.slow_until = cw_time_add_ms(now, SLOW_AVOID_MS);
}

/* Returns how many percent a run does in this time at this rate. */
static double
percent_done_in(double rate, int64_t passed_ms)
{
    return rate * (double)passed_ms / CW_MS_PER_S;
}

/* Evaluates the rate of the window that has just ended. */
static void
evaluate_rate(struct cw_owner *owner, struct owner_run *run, double peers,
              int64_t passed_ms, struct timespec now)
{
    struct owner_incarnation *incarnation = &run->target->incarnation;
    unsigned job = g_str_hash(owner_task_job(run->task)->spec->id);
    bool best_is_usable =
        percent_done_in(run->best_rate, passed_ms) >= WINDOW_MIN_PERCENT;
    struct cw_rates rates = {
        .rate = run->rate,
        .best = best_is_usable ? run->best_rate : 0,
        .peers = peers,
        .slow_in_other_job =
            incarnation->slow_job != 0 && incarnation->slow_job != job,
    };

    switch (cw_rates_classify(&rates)) {
    case CW_RATE_SLOW_WORKER:
        avoid_slow_worker(run, cw_rates_expected(&rates), now);
        move_from_slow_worker(owner, run, cw_rates_expected(&rates), now);
        break;
    case CW_RATE_LONG_TASK:
        incarnation->slow_job = job;
        break;
    case CW_RATE_NORMAL:
        incarnation->slow_until = cw_time_from_ms(0);
        incarnation->slow_job = 0;
        if (peers > 0) {
            update_speed(run->target, run->rate / peers);
        }
        break;
    default:
        break;
    }
}

/* True if the window is long enough to measure the run's rate. */
static bool
window_is_full(const struct owner_run *run, unsigned advance, double peers,
               int64_t passed_ms)
{
    double rate = MAX(run->best_rate, peers);

    return advance >= WINDOW_MIN_PERCENT ||
           percent_done_in(rate, passed_ms) >= WINDOW_MIN_PERCENT;
}

void
owner_speed_observe(struct cw_owner *owner, struct owner_run *run,
                    unsigned percent, struct timespec now)
{
    int64_t passed_ms = cw_time_diff_ms(run->window_at, now);
    unsigned advance = percent - run->window_percent;
    double peers = 0;

    if (run->window_at.tv_sec == 0 || percent < run->window_percent) {
        run->window_at = now;
        run->window_percent = percent;
        return;
    }
    if (passed_ms < WINDOW_MIN_MS) {
        return;
    }
    if (run->task->step->spec->gang) {
        peers = peer_rate(run, now) * run->target->incarnation.speed;
    }
    if (!window_is_full(run, advance, peers, passed_ms)) {
        return;
    }
    run->rate = (double)advance * CW_MS_PER_S / (double)passed_ms;
    run->rate_known = run->rate_known || run->rate > 0;
    run->rate_at = now;
    run->window_at = now;
    run->window_percent = percent;
    if (percent < CW_PERCENT_DONE && run->rate_known) {
        evaluate_rate(owner, run, peers, passed_ms, now);
    }
    if (advance >= WINDOW_MIN_PERCENT) {
        run->best_rate = MAX(run->best_rate, run->rate);
    }
}

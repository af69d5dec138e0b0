/* Measures the rates of runs from their progress, and estimates the speed of
 * workers from them.
 *
 * Members of a gang have equal work, so that their rates compare the workers
 * that they run on.  Other tasks of a step, and the declared length, compare
 * them roughly.  Once a run has been measured, a change of its rate shows a
 * change of its worker.  See cw_worker_speed.h. */
#include "owner/internal/owner_private.h"

#include <math.h>
#include <string.h>

#include "curlewcart/cw_stragglers.h"

enum {
    /* Minimum length of the window over which a rate is measured. */
    WINDOW_MIN_MS = 400,
    /* The window also covers at least this many percent, done or expected, as
     * progress is reported in whole percent. */
    WINDOW_MIN_PERCENT = 5,
    /* An older rate of another run is not used for comparison. */
    RATE_MAX_AGE_MS = 2500,
    /* The same for a run that has done its work and waits for its gang. */
    DONE_RATE_MAX_AGE_MS = 5000,
    SLOW_SHARE_INTERVAL_MS = 500,
    /* Runs on other workers that are needed for a comparison, if the step has
     * so many: one alone does not show which of two workers is unusual. */
    VOTES_MIN = 2,
    MILLI = 1000
};

/* Lower bound of a rate, in percent per second, for its logarithm. */
#define RATE_MIN 0.5
/* Difference of a rate's logarithm, from one window to the next, from which on
 * the worker has changed. */
#define CHANGE_MIN 0.5
/* Difference in percent done over a window that rounding does not explain: the
 * ends of both windows are off by up to one. */
#define CHANGE_MIN_PERCENT 2.5
/* Variances of logarithms: of a measured rate, besides the rounding of
 * percents; of the lengths of a step's tasks that are no gang; of declared
 * lengths, which are off by a factor of two. */
#define RATE_VARIANCE 0.0025
#define TASK_VARIANCE 0.12
#define ESTIMATE_VARIANCE 0.36
/* Up to this variance a gang's rate is known from its members. */
#define EQUAL_WORK_VARIANCE_MAX 0.2
/* Share of slow workers from which on a slow run shows a slow worker. */
#define SLOW_SHARE_LIKELY 0.05

/* ---- rates on a typical worker ---- */

static bool
rate_is_fresh(const struct owner_run *run, struct timespec now)
{
    int64_t max_age_ms = run->percent < CW_PERCENT_DONE ? RATE_MAX_AGE_MS
                                                        : DONE_RATE_MAX_AGE_MS;

    return run->rate_known && cw_time_diff_ms(run->rate_at, now) < max_age_ms;
}

static double
log_rate(double rate)
{
    return log(MAX(rate, RATE_MIN));
}

/* Returns the rate that another run of the step would have on a typical
 * worker. */
static struct cw_rate_vote
vote_of(const struct owner_run *run, struct timespec now)
{
    const struct cw_worker_speed *speed = &run->target->incarnation.speed;
    bool gang = run->task->step->spec->gang;
    struct cw_rate_vote vote = {
        .log_rate =
            log_rate(run->rate) - log(cw_worker_speed_expected(speed, now)),
        .variance = cw_worker_speed_variance(speed, now) + RATE_VARIANCE +
                    (gang ? 0 : TASK_VARIANCE),
    };

    return vote;
}

static struct cw_rate_vote
vote_of_estimate(const struct cw_step_spec *spec)
{
    struct cw_rate_vote vote = {
        .log_rate =
            log(CW_PERCENT_DONE * (double)CW_MS_PER_S / spec->estimate_ms),
        .variance = ESTIMATE_VARIANCE,
    };

    return vote;
}

/* Lists in `out` the rate that the run would have on a typical worker, by the
 * step's runs on other workers or, if there are none, by its declared length;
 * false if unknown. */
static bool
typical_rate_by_others(const struct owner_run *run, struct timespec now,
                       struct cw_rate_vote *out)
{
    const struct owner_step *step = run->task->step;
    GArray *votes = g_array_new(FALSE, FALSE, sizeof(struct cw_rate_vote));
    struct cw_rate_vote vote;
    unsigned others = 0;
    bool known;

    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_run *other = step->tasks[i].run;

        if (other == NULL || other->target == run->target) {
            continue;
        }
        others++;
        if (rate_is_fresh(other, now)) {
            vote = vote_of(other, now);
            g_array_append_val(votes, vote);
        }
    }
    if (others == 0 && step->spec->estimate_ms > 0) {
        vote = vote_of_estimate(step->spec);
        g_array_append_val(votes, vote);
    }
    known = votes->len >= MIN(others, VOTES_MIN) &&
            cw_rate_votes_combine((struct cw_rate_vote *)(void *)votes->data,
                                  votes->len, out);
    g_array_unref(votes);
    return known;
}

/* ---- speeds of workers ---- */

/* Returns the share of the workers that are slow. */
static double
slow_share(struct cw_owner *owner, struct timespec now)
{
    GHashTableIter iterator;
    gpointer value;
    unsigned slow = 0;

    if (owner->slow_share_at.tv_sec != 0 &&
        cw_time_diff_ms(owner->slow_share_at, now) < SLOW_SHARE_INTERVAL_MS)
    {
        return owner->slow_share;
    }
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        slow += owner_target_is_slow(value, now);
    }
    owner->slow_share_at = now;
    owner->slow_share =
        (double)slow / MAX(g_hash_table_size(owner->targets), 1);
    return owner->slow_share;
}

/* Identifies the run's work among what its worker executes.  Other runs of a
 * task do not count as others, as a long task is long each time. */
static unsigned
run_key(const struct owner_run *run)
{
    const struct owner_task *task = run->task;
    unsigned key = g_str_hash(owner_task_job(task)->spec->id);

    key = key * 31 + task->step->number;
    return MAX(key * 31 + task->index, 1);
}

static void
update_speed(struct owner_run *run, const struct cw_speed_sample *sample,
             struct timespec now)
{
    struct owner_target *target = run->target;
    bool was_slow = owner_target_is_slow(target, now);
    bool is_slow;

    cw_worker_speed_observe(&target->incarnation.speed, sample, now);
    is_slow = owner_target_is_slow(target, now);
    if (is_slow != was_slow) {
        cw_log_info(is_slow ? "worker_slow" : "worker_recovered",
                    "worker=%s speed=%.2f measured=%.2f rate=%.1f id=%s "
                    "shows_worker=%d",
                    target->id, owner_target_speed(target, now),
                    exp(sample->log_speed), run->rate,
                    owner_task_job(run->task)->spec->id, sample->shows_worker);
    }
}

/* Measures the worker by the run's rate; `variance` is that of the rate. */
static void
measure_worker(struct cw_owner *owner, struct owner_run *run, double variance,
               bool changed, struct timespec now)
{
    struct cw_speed_sample sample = {.run = run_key(run)};
    struct cw_rate_vote by_others;
    bool gang = run->task->step->spec->gang;

    if (changed) {
        sample.log_speed = log_rate(run->rate) - run->typical_rate.log_rate;
        sample.variance = variance + run->typical_rate.variance;
        sample.shows_worker = true;
        update_speed(run, &sample, now);
        return;
    }
    if ((run->typical_rate_known && !gang) ||
        !typical_rate_by_others(run, now, &by_others))
    {
        return;
    }
    if (!gang) {
        by_others.variance += TASK_VARIANCE;
    }
    sample.log_speed = log_rate(run->rate) - by_others.log_rate;
    sample.variance = variance + by_others.variance;
    sample.equal_work = gang && by_others.variance < EQUAL_WORK_VARIANCE_MAX;
    sample.shows_worker =
        sample.equal_work && slow_share(owner, now) > SLOW_SHARE_LIKELY;
    update_speed(run, &sample, now);
    run->typical_rate_known = true;
    run->typical_rate = by_others;
}

/* ---- runs on slow workers ---- */

/* Returns how much time is left until the run's job is late. */
static int64_t
objective_ms(const struct owner_run *run, struct timespec now)
{
    const struct owner_job *job = owner_task_job(run->task);
    int64_t left_ms = cw_time_diff_ms(now, job->objective_at);
    double length_ms = CW_PERCENT_DONE * (double)CW_MS_PER_S /
                       exp(run->typical_rate.log_rate);
    struct timespec by_length = cw_time_add_ms(
        job->known_at, (int64_t)(length_ms * job->spec->stretch_milli / MILLI +
                                 job->spec->target_latency_ms));

    /* The declared length may be off. */
    return job->spec->steps.steps_len == 1 ? cw_time_diff_ms(now, by_length)
                                           : left_ms;
}

static void
move_from_slow_worker(struct cw_owner *owner, struct owner_run *run,
                      struct timespec now)
{
    struct owner_step *step = run->task->step;
    struct cw_restart restart = {
        .percent = run->percent,
        .checkpoints = step->spec->checkpoints,
        .urgent = step->occurrence->job->spec->priority == 0,
        .rate = run->rate,
        .expected = exp(run->typical_rate.log_rate),
        .objective_ms = objective_ms(run, now),
    };

    if (run->stopping || run->gang_done || step->spec->endless ||
        owner_at_most_once_protects(run) || step->moves >= OWNER_MOVES_MAX ||
        !cw_restart_is_worthwhile(&restart) ||
        !owner_run_may_move(owner, run, now))
    {
        return;
    }
    step->moves++;
    cw_log_info("run_moved",
                "id=%s step=%u run=%u worker=%s percent=%u rate=%.1f "
                "expected=%.1f objective_ms=%" PRId64,
                step->occurrence->job->spec->id, step->number, run->number,
                run->target->id, run->percent, run->rate, restart.expected,
                restart.objective_ms);
    owner_run_evict_for(owner, run, OWNER_IDLE_MOVED);
}

/* ---- invalid reports ---- */

/* Returns why the reported progress cannot be right; NULL if it may be. */
static const char *
progress_fault(const struct owner_run *run, unsigned percent)
{
    if (percent == CW_PERCENT_UNREADABLE) {
        return "unreadable";
    }
    if (percent > CW_PERCENT_DONE) {
        return "over_100";
    }
    if (run->phase != RUN_RUNNING) {
        return NULL; /* its first report */
    }
    if (owner_run_is_of_other_incarnation(run,
                                          run->target->incarnation.boot_ms)) {
        return "other_life";
    }
    return percent < run->percent ? "falling" : NULL;
}

bool
owner_progress_check(struct owner_run *run, unsigned percent)
{
    struct owner_target *target = run->target;
    const char *fault = progress_fault(run, percent);

    if (fault == NULL) {
        return true;
    }
    cw_count_add(target->owner->options.counters, CW_COUNT_PROGRESS_INVALID,
                 1);
    if (!target->progress_invalid_logged) {
        target->progress_invalid_logged = true;
        cw_log_warning("progress_invalid",
                       "worker=%s reason=%s id=%s run=%u before=%u percent=%u",
                       target->id, fault, owner_task_job(run->task)->spec->id,
                       run->number, run->percent, percent);
    }
    if (percent > CW_PERCENT_DONE) {
        return false;
    }
    /* Which of the reports is wrong is unknown, and so is any rate. */
    run->unmeasurable = true;
    run->rate_known = false;
    return true;
}

/* ---- windows ---- */

/* Returns how many percent a run does in this time at this rate. */
static double
percent_done_in(double rate, int64_t passed_ms)
{
    return rate * (double)passed_ms / CW_MS_PER_S;
}

/* True if the rate of the window that has just ended differs from that of the
 * one before (negative: there is none) by more than noise. */
static bool
rate_has_changed(const struct owner_run *run, double previous,
                 unsigned advance, int64_t passed_ms)
{
    double change = log_rate(run->rate) - log_rate(previous);
    double percent = advance - percent_done_in(previous, passed_ms);

    return previous >= 0 && fabs(change) > CHANGE_MIN &&
           fabs(percent) > CHANGE_MIN_PERCENT;
}

/* Evaluates the rate of the window that has just ended. */
static void
evaluate_rate(struct cw_owner *owner, struct owner_run *run, double previous,
              unsigned advance, int64_t passed_ms, struct timespec now)
{
    double rounding = 1.0 / (2 * MAX(advance, 1));
    bool changed = run->typical_rate_known &&
                   rate_has_changed(run, previous, advance, passed_ms);

    measure_worker(owner, run, RATE_VARIANCE + rounding * rounding, changed,
                   now);
    if (run->typical_rate_known && owner_target_is_slow(run->target, now) &&
        log_rate(run->rate) <
            run->typical_rate.log_rate + log(CW_SPEED_SLOW_BELOW))
    {
        move_from_slow_worker(owner, run, now);
    }
}

/* True if the window is long enough to measure the run's rate. */
static bool
window_is_full(const struct owner_run *run, unsigned advance,
               int64_t passed_ms)
{
    double rate = run->best_rate;

    if (run->typical_rate_known) {
        rate = MAX(rate, exp(run->typical_rate.log_rate));
    }
    return advance >= WINDOW_MIN_PERCENT ||
           percent_done_in(rate, passed_ms) >= WINDOW_MIN_PERCENT;
}

/* Returns when the run began to work, which a gang does with the last start of
 * its members; 0: unknown. */
static struct timespec
work_began_at(const struct owner_run *run)
{
    const struct owner_step *step = run->task->step;
    struct timespec began_at = run->started_at;

    if (run->phase != RUN_RUNNING || run->starts_sent != 1 ||
        run->task->saved != NULL)
    {
        return cw_time_from_ms(0);
    }
    for (unsigned i = 0; step->spec->gang && i < step->count; i++) {
        const struct owner_run *other = step->tasks[i].run;

        if (other == NULL || other->phase != RUN_RUNNING ||
            other->starts_sent != 1) {
            return cw_time_from_ms(0);
        }
        if (cw_time_before(began_at, other->started_at)) {
            began_at = other->started_at;
        }
    }
    return began_at;
}

/* Begins the run's first window: with its work, if that is known.  A run whose
 * start the present poll has confirmed began at some time before. */
static void
begin_first_window(struct owner_run *run, unsigned percent,
                   struct timespec now)
{
    struct timespec began_at = work_began_at(run);
    bool known = began_at.tv_sec != 0 && cw_time_before(began_at, now);

    run->window_at = known ? began_at : now;
    run->window_percent = known ? 0 : percent;
}

void
owner_speed_observe(struct cw_owner *owner, struct owner_run *run,
                    unsigned percent, struct timespec now)
{
    int64_t passed_ms;
    unsigned advance;
    double previous = run->rate_known ? run->rate : -1;

    if (run->unmeasurable) {
        return;
    }
    if (percent >= CW_PERCENT_DONE) {
        return; /* when it got there is not known */
    }
    if (run->window_at.tv_sec == 0 || percent < run->window_percent) {
        begin_first_window(run, percent, now);
    }
    passed_ms = cw_time_diff_ms(run->window_at, now);
    advance = percent - MIN(percent, run->window_percent);
    if (passed_ms < WINDOW_MIN_MS || !window_is_full(run, advance, passed_ms))
    {
        return;
    }
    run->rate = (double)advance * CW_MS_PER_S / (double)passed_ms;
    run->rate_known = run->rate_known || run->rate > 0;
    run->rate_at = now;
    run->window_at = now;
    run->window_percent = percent;
    if (run->rate_known) {
        evaluate_rate(owner, run, previous, advance, passed_ms, now);
    }
    if (advance >= WINDOW_MIN_PERCENT) {
        run->best_rate = MAX(run->best_rate, run->rate);
    }
}

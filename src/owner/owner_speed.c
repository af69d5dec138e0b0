/* How fast workers are, told from how far their tasks have come.
 *
 * Members of a gang have equal work, so their rates compare the workers they
 * are on.  That shows two things: lasting differences between workers, which
 * placement uses, and workers that have turned slow or stand still, which
 * are avoided and, where it pays, left. */
#include "owner/internal/owner_private.h"

#include <string.h>

enum {
    /* A rate is taken over so long at least, as percents are whole. */
    WINDOW_MS = 400,
    /* A member's rate that is older says nothing of now. */
    RATE_OLD_MS = 2500,
    /* Below this part of what is expected a worker is slow. */
    SLOW_PERCENT = 40,
    /* Above it, the difference is taken for the worker's lasting speed. */
    SOUND_PERCENT = 60,
    SLOW_AVOID_MS = 2500,
    /* A restart costs so much beside the work done again. */
    RESTART_MS = 1200,
    /* Restarts of a step because of slow workers. */
    MOVES_MOST = 2,
    PERCENT = 100
};

/* How much of a new comparison goes into a worker's speed. */
#define SPEED_WEIGHT 0.3
#define SPEED_LEAST 0.5
#define SPEED_MOST 2.0

static bool
rate_is_fresh(const struct owner_run *run, struct timespec now)
{
    return run->rate_known && run->percent < PERCENT &&
           cw_time_diff_ms(run->rate_at, now) < RATE_OLD_MS;
}

static int
compare_rates(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

/* The median rate of the other members, as on a worker of speed 1; 0 if
 * there are none to compare with. */
static double
gang_rate(const struct owner_run *run, struct timespec now)
{
    const struct owner_step *step = run->task->step;
    GArray *rates = g_array_new(FALSE, FALSE, sizeof(double));
    double median = 0;

    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_run *other = step->tasks[i].run;

        if (other != NULL && other != run && other->target != run->target &&
            rate_is_fresh(other, now))
        {
            double rate = other->rate / other->target->life.speed;

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
learn_speed(struct owner_target *target, double ratio)
{
    double seen = target->life.speed * ratio;

    target->life.speed += SPEED_WEIGHT * (seen - target->life.speed);
    target->life.speed = CLAMP(target->life.speed, SPEED_LEAST, SPEED_MOST);
}

/* True if starting again elsewhere ends sooner than going on here. */
static bool
restart_pays(const struct owner_run *run, double expected)
{
    const struct owner_step *step = run->task->step;
    double left = PERCENT - run->percent;
    double again = step->spec->checkpoints ? left : PERCENT;
    double here_ms = left * CW_MS_PER_S / MAX(run->rate, 1.0);
    double there_ms = again * CW_MS_PER_S / expected + RESTART_MS;

    if (step->occurrence->job->spec->priority > 0) {
        there_ms += RESTART_MS; /* its lateness costs less than its work */
    }
    return here_ms > there_ms;
}

static void
leave_slow_worker(struct cw_owner *owner, struct owner_run *run,
                  double expected)
{
    struct owner_step *step = run->task->step;

    if (run->stopping || run->finished || step->spec->endless ||
        owner_once_protects(run) || step->moves >= MOVES_MOST ||
        !restart_pays(run, expected))
    {
        return;
    }
    step->moves++;
    cw_log_info("run_moved",
                "id=%s step=%u run=%u worker=%s percent=%u rate=%.1f "
                "expected=%.1f",
                step->occurrence->job->spec->id, step->number, run->number,
                run->target->id, run->percent, run->rate, expected);
    owner_run_leave(owner, run);
}

static void
judge_rate(struct cw_owner *owner, struct owner_run *run, struct timespec now)
{
    struct owner_target *target = run->target;
    double compared = run->task->step->spec->gang ? gang_rate(run, now) : 0;
    double expected =
        compared > 0 ? compared * target->life.speed : run->best_rate;

    run->best_rate = MAX(run->best_rate, run->rate);
    if (expected <= 0) {
        return;
    }
    if (run->rate * PERCENT < expected * SLOW_PERCENT) {
        if (cw_time_before(target->life.slow_until, now)) {
            cw_log_info("worker_slow",
                        "worker=%s rate=%.1f expected=%.1f id=%s", target->id,
                        run->rate, expected,
                        owner_task_job(run->task)->spec->id);
        }
        target->life.slow_until = cw_time_add_ms(now, SLOW_AVOID_MS);
        leave_slow_worker(owner, run, expected);
    }
    else if (run->rate * PERCENT > expected * SOUND_PERCENT) {
        target->life.slow_until = cw_time_from_ms(0);
        if (compared > 0) {
            learn_speed(target, run->rate / expected);
        }
    }
}

void
owner_speed_note(struct cw_owner *owner, struct owner_run *run,
                 unsigned percent, struct timespec now)
{
    int64_t passed_ms = cw_time_diff_ms(run->window_at, now);

    if (run->window_at.tv_sec == 0 || percent < run->window_percent) {
        run->window_at = now;
        run->window_percent = percent;
        return;
    }
    if (passed_ms < WINDOW_MS) {
        return;
    }
    run->rate = (double)(percent - run->window_percent) * CW_MS_PER_S /
                (double)passed_ms;
    run->rate_known = run->rate_known || run->rate > 0;
    run->rate_at = now;
    run->window_at = now;
    run->window_percent = percent;
    if (percent < PERCENT && run->rate_known) {
        judge_rate(owner, run, now);
    }
}

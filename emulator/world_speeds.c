/* Workers of unequal speeds, and workers that are slow for part of the day. */
#include "emulator/internal/world_private.h"

enum {
    /* The part of the day in which the workers are slow, in percent of the
     * time in which jobs are submitted. */
    SLOW_FROM_MIN_PERCENT = 20,
    SLOW_FROM_MAX_PERCENT = 40,
    SLOW_FOR_PERCENT = 40,
    SLOWDOWN = 3,
    /* Time after which an owner may have noticed that workers are slow. */
    NOTICED_MS = 5000,
    PERCENT = 100
};

static const double lasting_speeds[] = {0.6, 1.0, 1.6};

bool
world_has_speeds(const struct world *world)
{
    return world->options.slow_percent > 0 || world->options.uneven;
}

/* Sets the slowdown of the worker, or of its present incarnation. */
static void
set_slowdown(struct world *world, struct worker_model *worker, double factor)
{
    struct worker_model *present =
        worker_fleet_at_address(world->fleet, worker_model_address(worker));

    worker_model_set_slowdown(worker, factor);
    if (present != NULL) {
        worker_model_set_slowdown(present, factor);
    }
}

static void
become_slow(struct world *world, void *context)
{
    world_record_fault(world, "slow %s", worker_model_id(context));
    world->slow_since_ms = world->now_ms;
    set_slowdown(world, context, SLOWDOWN);
}

static void
recover(struct world *world, void *context)
{
    world_record_fault(world, "no longer slow %s", worker_model_id(context));
    set_slowdown(world, context, 1);
}

/* Shuffles the first `count` numbers. */
static void
shuffle(GRand *random, unsigned *numbers, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        numbers[i] = i;
    }
    for (unsigned i = count; i > 1; i--) {
        unsigned j = (unsigned)g_rand_int_range(random, 0, (gint32)i);
        unsigned swapped = numbers[i - 1];

        numbers[i - 1] = numbers[j];
        numbers[j] = swapped;
    }
}

static void
set_lasting_speeds(struct world *world, GRand *random)
{
    for (unsigned i = 0; i < worker_fleet_size(world->fleet); i++) {
        gint32 kind =
            g_rand_int_range(random, 0, G_N_ELEMENTS(lasting_speeds));

        worker_model_set_lasting_speed(worker_fleet_at(world->fleet, i),
                                       lasting_speeds[kind]);
    }
}

/* Selects the workers before it is known whether they become slow or are
 * absent, so that these are the same workers. */
static void
schedule_slow_workers(struct world *world, GRand *random)
{
    unsigned count = worker_fleet_size(world->fleet);
    unsigned slow_count =
        (count * world->options.slow_percent + PERCENT - 1) / PERCENT;
    unsigned *order = g_new0(unsigned, count);
    int64_t from_ms = (int64_t)world->options.day_ms *
                      g_rand_int_range(random, SLOW_FROM_MIN_PERCENT,
                                       SLOW_FROM_MAX_PERCENT + 1) /
                      PERCENT;
    int64_t for_ms =
        (int64_t)world->options.day_ms * SLOW_FOR_PERCENT / PERCENT;

    shuffle(random, order, count);
    for (unsigned i = 0; i < slow_count; i++) {
        struct worker_model *worker = worker_fleet_at(world->fleet, order[i]);

        if (world->options.without_slow) {
            world_record_fault(world, "absent %s", worker_model_id(worker));
            worker_model_crash(worker);
        }
        else {
            world_schedule(world, from_ms, become_slow, worker);
            world_schedule(world, from_ms + for_ms, recover, worker);
        }
    }
    g_free(order);
}

void
world_schedule_speeds(struct world *world)
{
    GRand *random;

    if (!world_has_speeds(world)) {
        return;
    }
    random = g_rand_new_with_seed(world->options.seed);
    if (world->options.uneven) {
        set_lasting_speeds(world, random);
    }
    schedule_slow_workers(world, random);
    g_rand_free(random);
}

void
world_speeds_started(struct world *world, const struct worker_model *worker,
                     const struct checker_job *job)
{
    world->urgent_starts_on_slow +=
        job->spec->priority == 0 && worker_model_is_slowed(worker) &&
        world->now_ms > world->slow_since_ms + NOTICED_MS;
}

/* Workers that crash and restart under their ids: alone or together, within
 * their lease or after its end, twice in a row, while disconnected, while
 * draining. */
#include "emulator/internal/world_private.h"

enum {
    WORKERS_TOGETHER_MAX = 4,
    DOWN_MIN_MS = 50,
    /* The duration of a lease: about half of the workers restart before their
     * lease expires. */
    DOWN_MAX_MS = 6000,
    /* Percentage of crashes in which the worker is also disconnected, and the
     * maximum time for which it stays disconnected after its restart. */
    CUT_PERCENT = 20,
    CUT_EXTRA_MAX_MS = 2000,
    /* Percentage of restarts that are followed by a second crash, and the time
     * until that crash. */
    SECOND_CRASH_PERCENT = 20,
    SECOND_CRASH_MIN_MS = 20,
    SECOND_CRASH_MAX_MS = 2000,
    CRASH_EFFECT_MS = 8000,
    CLOCK_MAX_MS = 5000,
    /* How far a worker's wall clock may be set back. */
    WALL_CLOCK_STEP_MAX_MS = 20000
};

void
world_replace_worker(struct world *world, struct worker_model *worker)
{
    char *id = g_strdup_printf("w-%u-%u", worker_fleet_size(world->fleet),
                               world_random_below(world, 1000));

    world_record_fault(world, "crash %s", worker_model_id(worker));
    world_disturb(world, 0, CRASH_EFFECT_MS);
    worker_model_crash(worker);
    worker_model_set_kind(
        worker_fleet_add(world->fleet, id, worker_model_rack(worker),
                         worker_model_capacity(worker),
                         world_random_below(world, 100000) + 1),
        worker_model_kind(worker));
    g_free(id);
}

int64_t
world_reported_boot_ms(const struct world *world,
                       const struct worker_model *worker)
{
    return world->options.restarts > 0 ? worker_model_boot_ms(worker) : 0;
}

static void
crash_worker(struct world *world, struct worker_model *worker, bool may_cut);

static void
crash_again(struct world *world, void *context)
{
    struct worker_model *worker = context;

    if (!worker_model_is_down(worker)) {
        crash_worker(world, worker, false);
    }
}

/* Sets the worker's wall clock some time behind the others', or to their time
 * if it was behind, so that the boot time of the next incarnation may be lower
 * than that of the former one. */
static void
step_wall_clock(struct world *world, struct worker_model *worker)
{
    unsigned behind_ms =
        world_random_chance(world, 75)
            ? world_random_below(world, WALL_CLOCK_STEP_MAX_MS)
            : 0;

    world_record_fault(world, "wall clock of %s %u behind",
                       worker_model_id(worker), behind_ms);
    worker_model_set_wall_clock_behind(worker, behind_ms);
}

/* The worker's clock starts at a new time, before or after the old one. */
void
world_restart_worker(struct world *world, void *context)
{
    struct worker_model *worker = context;

    if (world->options.clock_step_percent > 0 &&
        world_random_chance(world, world->options.clock_step_percent))
    {
        step_wall_clock(world, worker);
    }
    world_record_fault(world, "restarted %s", worker_model_id(worker));
    worker_model_restart(worker, world_random_below(world, CLOCK_MAX_MS) + 1);
    world_drain_ended(world, worker_model_id(worker));
    if (world_random_chance(world, SECOND_CRASH_PERCENT)) {
        world_schedule(world,
                       world_random_between(world, SECOND_CRASH_MIN_MS,
                                            SECOND_CRASH_MAX_MS),
                       crash_again, worker);
    }
}

void
world_restart_with_new_id(struct world *world, void *context)
{
    struct worker_model *worker = worker_fleet_restart_with_new_id(
        world->fleet, context, world_random_below(world, 100000) + 1);

    if (world->options.restricted) {
        world_change_kind(world, worker);
    }
}

static void
crash_worker(struct world *world, struct worker_model *worker, bool may_cut)
{
    const char *id = worker_model_id(worker);
    unsigned down_ms = world_random_between(world, DOWN_MIN_MS, DOWN_MAX_MS);

    world_record_fault(world, "restart %s after %u", id, down_ms);
    world_disturb(world, down_ms + CRASH_EFFECT_MS, 0);
    if (may_cut && world_random_chance(world, CUT_PERCENT)) {
        int64_t until_ms = world->now_ms + down_ms +
                           world_random_between(world, 0, CUT_EXTRA_MAX_MS);

        world_record_fault(world, "cut %s", id);
        g_hash_table_insert(world->cut_workers, (gpointer)id,
                            GINT_TO_POINTER((gint)until_ms));
    }
    worker_model_crash(worker);
    world_schedule(world, down_ms, world_restart_worker, worker);
}

void
world_crash_worker(struct world *world, struct worker_model *worker)
{
    crash_worker(world, worker, true);
}

void
world_restart_workers(struct world *world, void *context)
{
    (void)context;
    for (unsigned i = world_random_between(world, 1, WORKERS_TOGETHER_MAX);
         i > 0; i--)
    {
        struct worker_model *worker = world_random_worker(world);

        if (!worker_model_is_down(worker)) {
            crash_worker(world, worker, true);
        }
    }
}

/* Workers that crash and start again under their ids: alone or together,
 * within their lease or after it, twice in a row, behind a cut, while they
 * drain. */
#include "emulator/internal/world_private.h"

enum {
    TOGETHER_MOST = 4,
    DOWN_LEAST_MS = 50,
    /* As long as a lease: half of them are back within the one that they
     * had. */
    DOWN_MOST_MS = 6000,
    /* So many in a hundred are cut off meanwhile, for so much longer. */
    CUT_PERCENT = 20,
    CUT_BEYOND_MS = 2000,
    /* ... and crash once more, so soon after they are back. */
    AGAIN_PERCENT = 20,
    AGAIN_LEAST_MS = 20,
    AGAIN_MOST_MS = 2000,
    DISTURBS_MS = 8000,
    CLOCK_MOST_MS = 5000
};

void
world_replace_worker(struct world *world, struct worker_model *worker)
{
    char *id = g_strdup_printf("w-%u-%u", worker_fleet_size(world->fleet),
                               world_pick(world, 1000));

    world_note(world, "crash %s", worker_model_id(worker));
    world_disturb(world, 0, DISTURBS_MS);
    worker_model_crash(worker);
    worker_fleet_add(world->fleet, id, worker_model_rack(worker),
                     worker_model_capacity(worker),
                     world_pick(world, 100000) + 1);
    g_free(id);
}

int64_t
world_reported_boot_ms(const struct world *world,
                       const struct worker_model *worker)
{
    return world->options.restarts > 0 ? worker_model_boot_ms(worker) : 0;
}

static void
crash(struct world *world, struct worker_model *worker, bool may_cut);

static void
crash_once_more(struct world *world, void *context)
{
    struct worker_model *worker = context;

    if (!worker_model_dead(worker)) {
        crash(world, worker, false);
    }
}

/* Its clock starts anew as well, below what it was or above. */
void
world_worker_again(struct world *world, void *context)
{
    struct worker_model *worker = context;

    world_note(world, "again %s", worker_model_id(worker));
    worker_model_restart(worker, world_pick(world, CLOCK_MOST_MS) + 1);
    g_hash_table_remove(world->draining, worker_model_id(worker));
    if (world_chance(world, AGAIN_PERCENT)) {
        world_schedule(world,
                       world_between(world, AGAIN_LEAST_MS, AGAIN_MOST_MS),
                       crash_once_more, worker);
    }
}

static void
crash(struct world *world, struct worker_model *worker, bool may_cut)
{
    const char *id = worker_model_id(worker);
    unsigned down_ms = world_between(world, DOWN_LEAST_MS, DOWN_MOST_MS);

    world_note(world, "restart %s after %u", id, down_ms);
    world_disturb(world, down_ms + DISTURBS_MS, 0);
    if (may_cut && world_chance(world, CUT_PERCENT)) {
        int64_t until_ms =
            world->now_ms + down_ms + world_between(world, 0, CUT_BEYOND_MS);

        world_note(world, "cut %s", id);
        g_hash_table_insert(world->cut_workers, (gpointer)id,
                            GINT_TO_POINTER((gint)until_ms));
    }
    worker_model_crash(worker);
    world_schedule(world, down_ms, world_worker_again, worker);
}

void
world_restart_workers(struct world *world, void *context)
{
    (void)context;
    for (unsigned i = world_between(world, 1, TOGETHER_MOST); i > 0; i--) {
        struct worker_model *worker = world_any_worker(world);

        if (!worker_model_dead(worker)) {
            crash(world, worker, true);
        }
    }
}

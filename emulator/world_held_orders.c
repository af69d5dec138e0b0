/* Workers whose orders are held up for seconds, on their way or by the worker,
 * while the worker refuses other starts as unhealthy.  Some of the workers are
 * cut off, or crash and restart, before the held orders arrive. */
#include "emulator/internal/world_private.h"

enum {
    WORKERS_TOGETHER_MAX = 3,
    EPISODE_MIN_MS = 500,
    EPISODE_MAX_MS = 4000,
    HELD_PERCENT = 40,
    REFUSED_PERCENT = 50,
    HELD_MIN_MS = 300,
    /* The longest time for which an order may be held up. */
    HELD_MAX_MS = 12000,
    /* On days on which links hold orders: percentage of the held orders that
     * have reached the worker, and are lost with it; the others may reach its
     * next incarnation. */
    HELD_BY_WORKER_PERCENT = 50,
    CUT_PERCENT = 30,
    CUT_MIN_MS = 1000,
    CUT_MAX_MS = 9000,
    CRASH_PERCENT = 20,
    CRASH_AFTER_MAX_MS = 3000
};

static void
cut_later(struct world *world, void *context)
{
    world_cut_worker(world, context,
                     world_random_between(world, CUT_MIN_MS, CUT_MAX_MS));
}

static void
crash_later(struct world *world, void *context)
{
    struct worker_model *worker = context;

    if (!worker_model_is_down(worker)) {
        world_crash_worker(world, worker);
    }
}

/* Workers restart under their ids only on days on which they report their
 * boot times. */
static void
begin(struct world *world, struct worker_model *worker)
{
    const char *id = worker_model_id(worker);
    unsigned ms = world_random_between(world, EPISODE_MIN_MS, EPISODE_MAX_MS);

    world_record_fault(world, "hold orders of %s for %u", id, ms);
    world_disturb(world, ms + HELD_MAX_MS, 0);
    g_hash_table_insert(world->holding_workers, (gpointer)id,
                        GINT_TO_POINTER((gint)(world->now_ms + ms)));
    world->last_delayed_order_ms =
        MAX(world->last_delayed_order_ms, world->now_ms + ms + HELD_MAX_MS);
    if (world_random_chance(world, CUT_PERCENT)) {
        world_schedule(world, world_random_below(world, ms), cut_later,
                       worker);
    }
    else if (world->options.restarts > 0 &&
             world_random_chance(world, CRASH_PERCENT))
    {
        world_schedule(world, world_random_below(world, CRASH_AFTER_MAX_MS),
                       crash_later, worker);
    }
}

void
world_hold_orders(struct world *world, void *context)
{
    (void)context;
    for (unsigned i = world_random_between(world, 1, WORKERS_TOGETHER_MAX);
         i > 0; i--)
    {
        begin(world, world_random_worker(world));
    }
}

static bool
is_holding(const struct world *world, const char *worker)
{
    gpointer until = g_hash_table_lookup(world->holding_workers, worker);

    return GPOINTER_TO_INT(until) > world->now_ms;
}

bool
world_holds_order(struct world *world, const char *worker,
                  struct world_hold *hold)
{
    if (!is_holding(world, worker) ||
        !world_random_chance(world, HELD_PERCENT)) {
        return false;
    }
    hold->ms = world_random_between(world, HELD_MIN_MS, HELD_MAX_MS);
    hold->by_worker = !world->options.links_hold ||
                      world_random_chance(world, HELD_BY_WORKER_PERCENT);
    return true;
}

bool
world_refuses_start(struct world *world, const char *worker)
{
    return is_holding(world, worker) &&
           world_random_chance(world, REFUSED_PERCENT);
}

/* Late workers, as on overloaded machines: orders and answers take longer, or
 * connections are reset before the order is executed. */
#include "emulator/internal/world_private.h"

enum {
    LATE_DURATION_MIN_MS = 500,
    /* Equal to the time for which a worker that repeatedly goes down and up is
     * unavailable. */
    LATE_DURATION_MAX_MS = 1500,
    /* One way; the sum of both ways is sometimes shorter and sometimes longer
     * than the timeout of an order. */
    ADDED_ONE_WAY_MAX_MS = 350,
    /* Percentage of late workers that reset each connection; the others only
     * delay. */
    RESETTING_PERCENT = 50,
    /* An episode affects at most one of this many workers. */
    LATE_ONE_IN = 4
};

/* True if a late worker resets connections; derived from the worker's id, so
 * that its behaviour is constant on a day. */
static bool
is_resetting(const struct world *world, const char *worker)
{
    return (g_str_hash(worker) + world->options.seed) % 100 <
           RESETTING_PERCENT;
}

void
world_delay_workers(struct world *world, void *context)
{
    unsigned count = MAX(1, worker_fleet_size(world->fleet) / LATE_ONE_IN);

    (void)context;
    for (unsigned i = 0; i < count; i++) {
        const char *id = worker_model_id(world_random_worker(world));
        unsigned ms = world_random_between(world, LATE_DURATION_MIN_MS,
                                           LATE_DURATION_MAX_MS);

        world_record_fault(world, "late %s for %u", id, ms);
        g_hash_table_insert(world->late_workers, (gpointer)id,
                            GINT_TO_POINTER((gint)(world->now_ms + ms)));
    }
}

static bool
is_late(const struct world *world, const char *worker)
{
    gpointer until = g_hash_table_lookup(world->late_workers, worker);

    return GPOINTER_TO_INT(until) > world->now_ms;
}

struct world_worker_delay
world_worker_delay(struct world *world, const char *worker)
{
    struct world_worker_delay delay = {0};

    if (!is_late(world, worker)) {
        return delay;
    }
    delay.resets = is_resetting(world, worker);
    if (!delay.resets) {
        delay.added_one_way_ms =
            world_random_between(world, 1, ADDED_ONE_WAY_MAX_MS);
    }
    return delay;
}

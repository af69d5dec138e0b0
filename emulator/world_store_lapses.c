/* A series of outages of the store in which the entries of workers expire,
 * although the workers work on.  They report again within two seconds of the
 * store's return, so an owner that begins at once finds them missing from the
 * list.  Most outages last for longer than a lease; some come in pairs. */
#include "emulator/internal/world_private.h"

enum {
    OUTAGE_MIN_MS = 5000,
    OUTAGE_MAX_MS = 11000,
    /* Percentage of outages that are interrupted, and the time for which the
     * store is available then. */
    PAIRS_PERCENT = 30,
    INTERRUPTION_MS = 50,
    BUSY_PERCENT = 50,
    /* Percentage of outages in which all entries expire; in others, the
     * percentage of the entries. */
    ALL_EXPIRE_PERCENT = 60,
    EXPIRE_PERCENT = 50,
    RELISTED_MAX_MS = 2000,
    /* Time from the store's return to the next outage. */
    PAUSE_MIN_MS = 1500,
    PAUSE_MAX_MS = 8000,
    /* Percentage of outages during which the owner is killed. */
    OWNER_KILL_PERCENT = 40
};

/* Removes entries just before the store returns. */
static void
expire_entries(struct world *world, void *unused)
{
    bool all = world_random_chance(world, ALL_EXPIRE_PERCENT);

    (void)unused;
    for (unsigned i = 0; i < worker_fleet_size(world->fleet); i++) {
        if (all || world_random_chance(world, EXPIRE_PERCENT)) {
            world_expire_entry(
                world, worker_fleet_at(world->fleet, i),
                world_random_between(world, 1, RELISTED_MAX_MS));
        }
    }
}

static void
resume_outage(struct world *world, void *until_ms)
{
    world->store_down_until_ms = GPOINTER_TO_INT(until_ms);
}

void
world_store_lapse(struct world *world, void *unused)
{
    unsigned ms = world_random_between(world, OUTAGE_MIN_MS, OUTAGE_MAX_MS);

    (void)unused;
    if (++world->store_lapses_begun < world->options.store_lapses) {
        world_schedule(
            world,
            ms + world_random_between(world, PAUSE_MIN_MS, PAUSE_MAX_MS),
            world_store_lapse, NULL);
    }
    world->store_busy = world_random_chance(world, BUSY_PERCENT);
    world_record_fault(world, "store down for %u busy %d, entries expire", ms,
                       world->store_busy);
    world_disturb(world, ms + RELISTED_MAX_MS, 0);
    world->store_down_until_ms = world->now_ms + ms;
    world_schedule(world, ms - 1, expire_entries, NULL);
    if (world_random_chance(world, PAIRS_PERCENT)) {
        world->store_down_until_ms = world->now_ms + ms / 2;
        world_schedule(world, ms / 2 + INTERRUPTION_MS, resume_outage,
                       GINT_TO_POINTER((gint)(world->now_ms + ms)));
    }
    if (world_random_chance(world, OWNER_KILL_PERCENT)) {
        world_schedule(world, world_random_below(world, ms), world_kill_owner,
                       NULL);
    }
}

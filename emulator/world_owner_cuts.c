/* Network partitions with the owner on the smaller side: the VM that owns the
 * jobs is disconnected from the store and from all other VMs, and it alone
 * reaches the workers of some data centres.  It goes on renewing their leases
 * until it has to stop, while the next owner gets no answer from them. */
#include "emulator/internal/world_private.h"

#include <stdlib.h>

#include "curlewcart/cw_owner.h"

enum {
    CUT_MIN_MS = 6000,
    CUT_MAX_MS = 14000,
    /* A data centre's workers are on the owner's side with this chance. */
    DC_ON_OWNERS_SIDE_PERCENT = 40,
    DC_SPREAD = 37, /* distributes the data centres over the percentages */
    PERCENT = 100
};

static bool
is_on_owners_side(const struct world *world, const char *worker)
{
    return g_hash_table_contains(world->owner_cut.workers, worker);
}

bool
world_owner_cut_lasts(const struct world *world)
{
    return world->owner_cut.until_ms > world->now_ms;
}

bool
world_worker_is_with_cut_owner(const struct world *world, const char *worker)
{
    return world_owner_cut_lasts(world) && is_on_owners_side(world, worker);
}

bool
world_vm_reaches_vm(const struct vm *vm, const struct vm *other)
{
    const struct world *world = vm->world;

    return !world_owner_cut_lasts(world) || vm == other ||
           (vm != world->owner_cut.owner && other != world->owner_cut.owner);
}

bool
world_vm_reaches_worker(const struct vm *vm, const char *worker)
{
    const struct world *world = vm->world;

    return !world_owner_cut_lasts(world) ||
           (vm == world->owner_cut.owner) == is_on_owners_side(world, worker);
}

static unsigned
dc_of(const struct worker_model *worker)
{
    return (unsigned)strtoul(worker_model_rack(worker) + 1, NULL, 10);
}

/* Puts the workers of random data centres, at least one, on the owner's
 * side. */
static void
choose_workers(struct world *world)
{
    unsigned size = worker_fleet_size(world->fleet);
    unsigned certain = dc_of(world_random_worker(world));
    unsigned seed = world_random_below(world, PERCENT);

    g_hash_table_remove_all(world->owner_cut.workers);
    for (unsigned i = 0; i < size; i++) {
        const struct worker_model *worker = worker_fleet_at(world->fleet, i);
        unsigned dc = dc_of(worker);

        if (dc == certain ||
            (dc * DC_SPREAD + seed) % PERCENT < DC_ON_OWNERS_SIDE_PERCENT)
        {
            g_hash_table_add(world->owner_cut.workers,
                             (gpointer)worker_model_id(worker));
        }
    }
}

void
world_cut_owner(struct world *world, void *unused)
{
    struct vm *vm = world_owner_vm(world);
    unsigned ms = world_random_between(world, CUT_MIN_MS, CUT_MAX_MS);

    (void)unused;
    if (vm == NULL || world_owner_cut_lasts(world)) {
        return;
    }
    choose_workers(world);
    world->owner_cut.owner = vm;
    world->owner_cut.until_ms = world->now_ms + ms;
    vm->cut_until_ms = world->now_ms + ms;
    world_record_fault(world, "cut owner vm-%u with %u workers for %u",
                       vm->index, g_hash_table_size(world->owner_cut.workers),
                       ms);
    world_disturb(world, ms, 0);
}

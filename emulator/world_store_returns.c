/* Outages of the store beside a network partition and a rolling restart: the
 * VM that owns the jobs and some others are disconnected, the remaining ones
 * restart in turn, and all return within some seconds of the store.  Each of
 * them that returns joins the group, which assigns the shard anew.
 *
 * The first owner after the store's return is to remain for some time. */
#include "emulator/internal/world_private.h"

#include "curlewcart/cw_owner.h"

enum {
    STORE_DOWN_MIN_MS = 3000,
    STORE_DOWN_MAX_MS = 7000,
    /* Disconnected VMs and restarts return up to this long after the store. */
    RETURN_LATE_MAX_MS = 2500,
    VM_CUT_PERCENT = 30,
    RESTART_MS = 400,
    /* From the return of a VM until the group assigns the shard anew: its
     * first join. */
    JOIN_MIN_MS = 50,
    JOIN_MAX_MS = 600,
    /* In this time after the store's return, */
    JUDGED_MS = 6000,
    /* at most this many VMs begin as the owner. */
    OWNERS_MAX = 1
};

static void
assign_anew(struct world *world, void *unused)
{
    (void)unused;
    world_record_fault(world, "deal");
    store_model_reassign(world->store,
                         world_random_below(world, world->vms->len),
                         world->clock.now);
}

static void
schedule_join(struct world *world, int64_t after_ms)
{
    world_schedule(world,
                   after_ms +
                       world_random_between(world, JOIN_MIN_MS, JOIN_MAX_MS),
                   assign_anew, NULL);
}

/* Restarts a VM that owns no jobs. */
static void
restart(struct world *world, void *context)
{
    struct vm *vm = context;

    if (vm->alive && !cw_owner_active(vm->owner) &&
        vm->cut_until_ms <= world->now_ms)
    {
        world_record_fault(world, "restart vm-%u", vm->index);
        world_vm_kill(vm);
        world_schedule(world, RESTART_MS, world_vm_restart, vm);
        schedule_join(world, RESTART_MS);
    }
}

void
world_store_returns(struct world *world, void *unused)
{
    struct vm *owner = world_owner_vm(world);
    unsigned down_ms =
        world_random_between(world, STORE_DOWN_MIN_MS, STORE_DOWN_MAX_MS);

    (void)unused;
    if (world->now_ms < world->store_returned_ms + JUDGED_MS) {
        return; /* the last one has not ended */
    }
    world->store_busy = world_random_chance(world, 50);
    world->store_down_until_ms = world->now_ms + down_ms;
    world->store_returned_ms = world->store_down_until_ms;
    world->owners_since_return = 0;
    world_record_fault(world, "store down for %u busy %d", down_ms,
                       world->store_busy);
    world_disturb(world, down_ms + RETURN_LATE_MAX_MS + RESTART_MS, 0);
    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];
        unsigned late_ms = world_random_below(world, RETURN_LATE_MAX_MS);

        if (vm == owner || world_random_chance(world, VM_CUT_PERCENT)) {
            world_record_fault(world, "cut vm-%u for %u", vm->index,
                               down_ms + late_ms);
            vm->cut_until_ms = world->now_ms + down_ms + late_ms;
            schedule_join(world, down_ms + late_ms);
        }
        else {
            world_schedule(world, down_ms + late_ms, restart, vm);
        }
    }
}

void
world_owner_began(struct world *world, const struct vm *vm)
{
    if (world->now_ms < world->store_returned_ms ||
        world->now_ms >= world->store_returned_ms + JUDGED_MS ||
        world->store_returned_ms == 0)
    {
        return;
    }
    world->owners_since_return++;
    world_record_fault(world, "owner vm-%u", vm->index);
    if (world->owners_since_return > OWNERS_MAX) {
        checker_too_many_owners(world->checker, world->owners_since_return);
    }
}

/* Network partitions with the owner on the side without the store: the VM that
 * owns the jobs, some other VMs and the workers of some data centres reach
 * neither the store nor the other workers.  The owner goes on renewing leases
 * until it has to stop, while the next owner gets no answer from these
 * workers. In some of them the VMs still reach each other. */
#include "emulator/internal/world_private.h"

#include <stdlib.h>

#include "curlewcart/cw_owner.h"

enum {
    CUT_MIN_MS = 6000,
    CUT_MAX_MS = 14000,
    /* A data centre's workers are on the owner's side with this chance. */
    DC_ON_OWNERS_SIDE_PERCENT = 40,
    /* The same for a VM. */
    VM_ON_OWNERS_SIDE_PERCENT = 30,
    VMS_REACH_EACH_OTHER_PERCENT = 30,
    /* When other VMs start again: the next owner waits for leases. */
    RESTART_AFTER_MIN_MS = 1500,
    RESTART_AFTER_MAX_MS = 3500,
    RESTART_MS = 20,
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

/* True if the VM is on the owner's side. */
static bool
is_vm_on_owners_side(const struct vm *vm)
{
    return g_hash_table_contains(vm->world->owner_cut.vms, vm);
}

bool
world_vm_reaches_vm(const struct vm *vm, const struct vm *other)
{
    const struct world *world = vm->world;

    if (world_vm_is_long_cut(vm) != world_vm_is_long_cut(other)) {
        return false;
    }
    return !world_owner_cut_lasts(world) ||
           world->owner_cut.vms_reach_each_other ||
           is_vm_on_owners_side(vm) == is_vm_on_owners_side(other);
}

bool
world_vm_reaches_worker(const struct vm *vm, const char *worker)
{
    const struct world *world = vm->world;

    if (world_vm_is_long_cut(vm)) {
        return false;
    }
    return !world_owner_cut_lasts(world) ||
           is_vm_on_owners_side(vm) == is_on_owners_side(world, worker);
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

/* Puts the owner and random other VMs on the owner's side. */
static void
choose_vms(struct world *world, const struct vm *owner, unsigned ms)
{
    g_hash_table_remove_all(world->owner_cut.vms);
    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];

        if (vm == owner ||
            world_random_chance(world, VM_ON_OWNERS_SIDE_PERCENT)) {
            g_hash_table_add(world->owner_cut.vms, vm);
            vm->cut_until_ms = MAX(vm->cut_until_ms, world->now_ms + ms);
        }
    }
    world->owner_cut.vms_reach_each_other =
        world_random_chance(world, VMS_REACH_EACH_OTHER_PERCENT);
}

/* Returns the VM that was cut, or NULL. */
static struct vm *
cut_owner(struct world *world)
{
    struct vm *vm = world_owner_vm(world);
    unsigned ms = world_random_between(world, CUT_MIN_MS, CUT_MAX_MS);

    if (vm == NULL || world_owner_cut_lasts(world)) {
        return NULL;
    }
    choose_workers(world);
    choose_vms(world, vm, ms);
    world->owner_cut.until_ms = world->now_ms + ms;
    world_record_fault(
        world, "cut owner vm-%u with %u vms and %u workers for %u, peers %d",
        vm->index, g_hash_table_size(world->owner_cut.vms),
        g_hash_table_size(world->owner_cut.workers), ms,
        world->owner_cut.vms_reach_each_other);
    world_disturb(world, ms, 0);
    return vm;
}

void
world_cut_owner(struct world *world, void *unused)
{
    (void)unused;
    (void)cut_owner(world);
}

static void
restart_voters(struct world *world, void *former_owner)
{
    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];

        if (vm->alive && vm != former_owner && !cw_owner_active(vm->owner)) {
            world_record_fault(world, "restart vm-%u", vm->index);
            world_schedule(world, RESTART_MS, world_vm_restart, vm);
            world_vm_kill(vm);
        }
    }
    world_disturb(world, RESTART_MS, 0);
}

void
world_cut_owner_and_restart_voters(struct world *world, void *unused)
{
    struct vm *vm = cut_owner(world);

    (void)unused;
    if (vm != NULL) {
        world->owner_cut.vms_reach_each_other = true;
        world_schedule(world,
                       world_random_between(world, RESTART_AFTER_MIN_MS,
                                            RESTART_AFTER_MAX_MS),
                       restart_voters, vm);
    }
}

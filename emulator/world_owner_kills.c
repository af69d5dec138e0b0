/* Crashes of workers, followed within a second by the kill of the VM that owns
 * the jobs: no remaining VM has the times at which the workers' leases
 * expire. */
#include "emulator/internal/world_private.h"

#include "curlewcart/cw_owner.h"

enum {
    WORKERS_MAX = 3,
    OWNER_KILL_DELAY_MAX_MS = 1000,
    DOWN_MIN_MS = 100,
    DOWN_MAX_MS = 1500,
    LOSS_DOWN_MS = 20000,
    KILL_EFFECTS_MS = 4000
};

struct vm *
world_owner_vm(const struct world *world)
{
    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];

        if (vm->alive && cw_owner_active(vm->owner)) {
            return vm;
        }
    }
    return NULL;
}

static unsigned
count_vms_alive(const struct world *world)
{
    unsigned count = 0;

    for (guint i = 0; i < world->vms->len; i++) {
        count += ((const struct vm *)world->vms->pdata[i])->alive;
    }
    return count;
}

/* Kills the VM and restarts it after `down_ms`.  The fault counts as lasting
 * `fault_ms`, and its effects KILL_EFFECTS_MS longer. */
static void
kill_vm(struct world *world, struct vm *vm, unsigned down_ms,
        unsigned fault_ms)
{
    world_record_fault(world, "kill owner vm-%u for %u", vm->index, down_ms);
    world_disturb(world, fault_ms, KILL_EFFECTS_MS);
    world_schedule(world, down_ms, world_vm_restart, vm);
    world_vm_kill(vm);
}

void
world_kill_owner(struct world *world, void *unused)
{
    struct vm *vm = world_owner_vm(world);
    unsigned down_ms = world_random_between(world, DOWN_MIN_MS, DOWN_MAX_MS);

    (void)unused;
    if (vm != NULL) {
        kill_vm(world, vm, down_ms, down_ms);
    }
}

/* The fault counts as over at once, although the VM is down for long: the
 * other VMs have to work without it, and cannot obtain its state. */
static void
lose_owner(struct world *world, void *unused)
{
    struct vm *vm = world_owner_vm(world);

    (void)unused;
    if (vm != NULL && count_vms_alive(world) > 2) {
        kill_vm(world, vm, LOSS_DOWN_MS, 0);
    }
}

/* Crashes some workers and schedules `then` at a random time within a
 * second. */
static void
crash_workers(struct world *world, void (*then)(struct world *, void *))
{
    for (unsigned i = world_random_between(world, 1, WORKERS_MAX); i > 0; i--)
    {
        struct worker_model *worker = world_random_worker(world);

        if (!worker_model_is_down(worker)) {
            world_replace_worker(world, worker);
        }
    }
    world_schedule(world, world_random_below(world, OWNER_KILL_DELAY_MAX_MS),
                   then, NULL);
}

void
world_owner_kill(struct world *world, void *unused)
{
    (void)unused;
    crash_workers(world, world_kill_owner);
}

void
world_owner_loss(struct world *world, void *unused)
{
    (void)unused;
    crash_workers(world, lose_owner);
}

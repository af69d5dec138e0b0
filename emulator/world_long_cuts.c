/* A series of network partitions that last for longer than ended jobs are
 * retained.  Meanwhile the store drops its history, so a VM that returns
 * cannot read which records were deleted; it may become the owner soon. */
#include "emulator/internal/world_private.h"

enum {
    /* Time for which a cut lasts beyond the retention, so that jobs which run
     * as it begins are deleted before it ends. */
    BEYOND_MIN_MS = 4000,
    BEYOND_MAX_MS = 14000,
    OWNER_PERCENT = 30,
    /* Percentage of the cuts of more than one VM, and in those, of the other
     * VMs that are cut off too. */
    SEVERAL_PERCENT = 30,
    ALSO_CUT_PERCENT = 40,
    /* Percentage of the cuts after which history is dropped once more, while
     * the VM may read the newest records. */
    AGAIN_PERCENT = 30,
    AGAIN_MAX_MS = 400,
    /* Percentage of the cuts after which all other VMs are killed. */
    KILL_PERCENT = 70,
    KILL_DELAY_MIN_MS = 100,
    KILL_DELAY_MAX_MS = 3000,
    DOWN_MIN_MS = 1500,
    DOWN_MAX_MS = 4000,
    KILL_EFFECTS_MS = 4000,
    /* Time from the end of a cut to the next one. */
    PAUSE_MIN_MS = 1000,
    PAUSE_MAX_MS = 9000
};

bool
world_vm_is_long_cut(const struct vm *vm)
{
    return vm->long_cut_until_ms > vm->world->now_ms;
}

static void
cut(struct world *world, struct vm *vm, unsigned ms)
{
    world_record_fault(world, "long cut vm-%u for %u", vm->index, ms);
    vm->long_cut_until_ms = world->now_ms + ms;
}

/* Cuts off some VMs, never all, as nobody would see the ends that are stored
 * just before, and they would be deleted unseen.  Returns one of them. */
static struct vm *
cut_vms(struct world *world, unsigned ms)
{
    struct vm *vm = world_random_chance(world, OWNER_PERCENT)
                        ? world_owner_vm(world)
                        : NULL;
    guint left = world->vms->len;
    bool several = world_random_chance(world, SEVERAL_PERCENT);

    if (vm == NULL) {
        vm = world_random_vm(world);
    }
    cut(world, vm, ms);
    left--;
    for (guint i = 0; several && i < world->vms->len; i++) {
        struct vm *other = world->vms->pdata[i];

        if (other != vm && left > 1 &&
            world_random_chance(world, ALSO_CUT_PERCENT)) {
            cut(world, other, ms);
            left--;
        }
    }
    return vm;
}

/* Kills all VMs but `remaining` until after their membership has expired. */
static void
kill_others(struct world *world, void *remaining)
{
    unsigned down_ms = world_random_between(world, DOWN_MIN_MS, DOWN_MAX_MS);

    world_record_fault(world, "kill all but vm-%u for %u",
                       ((const struct vm *)remaining)->index, down_ms);
    world_disturb(world, down_ms, KILL_EFFECTS_MS);
    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];

        if (vm != remaining) {
            world_vm_kill(vm);
            world_schedule(world, down_ms, world_vm_restart, vm);
        }
    }
}

void
world_long_cut(struct world *world, void *unused)
{
    unsigned ms = WORLD_SHORT_RETAIN_MS +
                  world_random_between(world, BEYOND_MIN_MS, BEYOND_MAX_MS);
    struct vm *vm = cut_vms(world, ms);

    (void)unused;
    if (++world->long_cuts_begun < world->options.long_cuts) {
        world_schedule(
            world,
            ms + world_random_between(world, PAUSE_MIN_MS, PAUSE_MAX_MS),
            world_long_cut, NULL);
    }
    world_disturb(world, ms, 0);
    world_schedule(world, ms - 1, world_drop_history, NULL);
    if (world_random_chance(world, AGAIN_PERCENT)) {
        world_schedule(world,
                       ms + world_random_between(world, 1, AGAIN_MAX_MS),
                       world_drop_history, NULL);
    }
    if (world_random_chance(world, KILL_PERCENT)) {
        world_schedule(world,
                       ms + world_random_between(world, KILL_DELAY_MIN_MS,
                                                 KILL_DELAY_MAX_MS),
                       kill_others, vm);
    }
}

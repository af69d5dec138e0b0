/* VMs that compute slowly for a while: each answer that a VM handles, each
 * tick and each placement pass takes time, and what arrives meanwhile waits.
 *
 * Costs are those of a core; a slow VM has a few percent of one.  Outside such
 * episodes VMs compute in no time. */
#include "emulator/internal/world_private.h"

#include "curlewcart/cw_owner.h"

enum {
    ANSWER_COST_US = 150,
    TICK_COST_US = 60,
    /* Of a placement pass: for each worker, and for each worker and job. */
    PASS_TARGET_COST_NS = 500,
    PASS_PAIR_COST_NS = 100,
    NS_PER_US = 1000,
    US_PER_MS = 1000,
    PERCENT = 100,
    SPEED_MIN_PERCENT = 1,
    SPEED_MAX_PERCENT = 20,
    EPISODE_MIN_MS = 1000,
    EPISODE_MAX_MS = 9000,
    /* For the input that waits at the end of an episode, and what follows from
     * it. */
    EFFECTS_MS = 6000
};

static void
compute(struct vm *vm, int64_t cost_us)
{
    int64_t now_us = vm->world->now_ms * US_PER_MS;

    if (vm->slow_until_ms > vm->world->now_ms) {
        vm->busy_until_us = MAX(vm->busy_until_us, now_us) +
                            cost_us * PERCENT / vm->speed_percent;
    }
}

void
world_vm_compute_answer(struct vm *vm)
{
    compute(vm, ANSWER_COST_US);
}

void
world_vm_compute_tick(struct vm *vm)
{
    uint64_t passes = vm->counters.latency[CW_LATENCY_PLACEMENT].buckets[0];
    int64_t cost_us = TICK_COST_US;

    if (vm->slow_until_ms > vm->world->now_ms && passes != vm->passes) {
        struct cw_owner_stats stats;

        cw_owner_stats(vm->owner, &stats);
        cost_us +=
            (int64_t)stats.targets *
            (PASS_TARGET_COST_NS + (int64_t)stats.jobs * PASS_PAIR_COST_NS) /
            NS_PER_US;
    }
    vm->passes = passes;
    compute(vm, cost_us);
}

int64_t
world_vm_idle_at_ms(const struct vm *vm)
{
    int64_t busy_until_ms = (vm->busy_until_us + US_PER_MS - 1) / US_PER_MS;

    return MAX(vm->frozen_until_ms, busy_until_ms);
}

static void
slow_down(struct vm *vm, unsigned percent, unsigned ms)
{
    vm->speed_percent = percent;
    vm->slow_until_ms = vm->world->now_ms + ms;
}

void
world_slow_vms(struct world *world, void *unused)
{
    enum { OWNER, OTHERS, ALL, CHOICES };
    static const char *const names[] = {"owner", "others", "all"};
    const struct vm *owner = world_owner_vm(world);
    unsigned which = world_random_below(world, CHOICES);
    unsigned percent =
        world_random_between(world, SPEED_MIN_PERCENT, SPEED_MAX_PERCENT);
    unsigned ms = world_random_between(world, EPISODE_MIN_MS, EPISODE_MAX_MS);

    (void)unused;
    world_record_fault(world, "slow %s to %u%% for %u", names[which], percent,
                       ms);
    world_disturb(world, ms, EFFECTS_MS);
    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];

        if (which == ALL || (vm == owner) == (which == OWNER)) {
            slow_down(vm, percent, ms);
        }
    }
}

void
world_end_slow_vms(struct world *world)
{
    for (guint i = 0; i < world->vms->len; i++) {
        ((struct vm *)world->vms->pdata[i])->slow_until_ms = 0;
    }
}

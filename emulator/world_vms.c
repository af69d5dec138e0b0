/* VMs: each incarnation runs the scheduler's own objects. */
#include "emulator/internal/world_private.h"

#include <string.h>

#include "curlewcart/cw_cordons.h"
#include "curlewcart/cw_entry.h"
#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_replica.h"

enum {
    MEMBER_TTL_MS = 1300,
    COMMANDS_WAIT_MS = 1000,
    CORDON_EFFECT_MAX_MS = 5000,
    CANCEL_EFFECT_MAX_MS = 4000,
    LEASE_MS = 6000,
    RETAIN_MS = 600000,
    /* Processors of VMs, in thousandths of a core; strong VMs have about four
     * times as much. */
    STRONG_VM_CPU_MILLI = 500,
    WEAK_VM_CPU_MILLI = 120
};

/* ---- VMs ---- */

double
world_processor_s(void)
{
    struct timespec now;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / CW_NS_PER_S;
}

void
world_vm_tick(struct vm *vm)
{
    double started_s = world_processor_s();
    struct timespec now = vm->world->clock.now;
    struct timespec next = cw_entry_tick(vm->entry, now);
    bool active = cw_owner_active(vm->owner);

    if (vm->commands != NULL) {
        cw_follower_tick(vm->commands, now);
        cw_time_set_earlier(&next, cw_follower_due(vm->commands));
    }
    cw_follower_tick(cw_replica_follower(vm->replica), now);
    cw_time_set_earlier(&next, cw_owner_tick(vm->owner, now));
    cw_time_set_earlier(&next,
                        cw_follower_due(cw_replica_follower(vm->replica)));
    if (!active && cw_owner_active(vm->owner)) {
        vm->takeovers++;
        world_owner_began(vm->world, vm);
    }
    vm->due_ms =
        MAX(vm->world->now_ms + 1, cw_time_diff_ms(cw_time_from_ms(0), next));
    vm->cpu_s += world_processor_s() - started_s;
    world_vm_compute_tick(vm);
}

static void
on_cordons_changed(void *context)
{
    struct vm *vm = context;

    cw_owner_cordons_changed(vm->owner);
}

static void
follow_commands(struct vm *vm)
{
    struct world *world = vm->world;
    struct cw_cordons_options cordons = {.codec = world_codec(),
                                         .clock = &world->clock.base,
                                         .changed = on_cordons_changed,
                                         .context = vm};
    struct cw_follower_options commands = {
        .name = "orders",
        .store = &vm->store,
        .clock = &world->clock.base,
        .topic = world_codec()->routing_topic,
        .wait_ms = COMMANDS_WAIT_MS,
        .handler = {.reset = cw_cordons_reset,
                    .loaded = cw_cordons_loaded,
                    .record = cw_cordons_record},
    };

    vm->cordons = cw_cordons_create(&cordons);
    commands.handler.context = vm->cordons;
    vm->commands = cw_follower_create(&commands);
    cw_cordons_set_follower(vm->cordons, vm->commands);
}

void
world_vm_boot(struct vm *vm)
{
    struct world *world = vm->world;
    char *member = g_strdup_printf("%s/%u", vm->name, vm->incarnation);
    bool strong = world->options.strong_vms == 0 ||
                  vm->index < world->options.strong_vms;
    struct cw_replica_options replica = {.store = &vm->store,
                                         .clock = &world->clock.base,
                                         .read_interval_ms =
                                             CW_STANDBY_READ_INTERVAL_MS};
    struct cw_entry_options entry = {.store = &vm->store,
                                     .clock = &world->clock.base,
                                     .counters = &vm->counters};
    struct cw_owner_options owner = {
        .store = &vm->store,
        .targets = &vm->targets.base,
        .codec = world_codec(),
        .clock = &world->clock.base,
        .counters = &vm->counters,
        .peers = &vm->peers.base,
        .vm = vm->name,
        .member = member,
        .member_ttl_ms = MEMBER_TTL_MS,
        .lease_ms = LEASE_MS,
        .retain_ms =
            world->options.long_cuts > 0 ? WORLD_SHORT_RETAIN_MS : RETAIN_MS,
        .cordon_ms = CORDON_EFFECT_MAX_MS,
        .cancel_ms = CANCEL_EFFECT_MAX_MS,
        .capacity_milli = strong ? STRONG_VM_CPU_MILLI : WEAK_VM_CPU_MILLI};

    if (world->options.reads_commands || world->options.cordons > 0) {
        follow_commands(vm);
    }
    owner.cordons = vm->cordons;
    vm->replica = cw_replica_create(&replica);
    entry.replica = vm->replica;
    owner.replica = vm->replica;
    vm->entry = cw_entry_create(&entry);
    vm->owner = cw_owner_create(&owner);
    cw_entry_configure(vm->entry, world->routing);
    cw_owner_configure(vm->owner, world->routing);
    cw_voter_init(&vm->voter, world->clock.now);
    vm->alive = true;
    vm->shutting_down = false;
    vm->due_ms = world->now_ms;
    g_free(member);
}

/* Breaks the callers' connections, so that callers do not receive the outcome
 * of their calls. */
static void
break_clients(struct vm *vm)
{
    for (guint i = 0; i < vm->clients->len; i++) {
        struct client_call *call = vm->clients->pdata[i];

        call->job->outcome_unknown = true;
        call->job->refused = false;
        g_free(call);
    }
    g_ptr_array_set_size(vm->clients, 0);
}

void
world_vm_kill(struct vm *vm)
{
    if (!vm->alive) {
        return;
    }
    vm->alive = false;
    /* Ends the calls in flight, so that their contexts are freed; all requests
     * that the VM still sends while it is killed are lost. */
    vm->cut_until_ms = INT64_MAX;
    while (vm->calls->len > 0) {
        struct call *call = vm->calls->pdata[vm->calls->len - 1];

        world_call_ref(call);
        world_call_answer(call, CW_STORE_UNKNOWN);
        world_call_unref(call);
    }
    break_clients(vm);
    cw_follower_free(vm->commands);
    cw_owner_free(vm->owner);
    cw_cordons_free(vm->cordons);
    vm->commands = NULL;
    vm->cordons = NULL;
    cw_entry_free(vm->entry);
    cw_replica_free(vm->replica);
    vm->cut_until_ms = 0;
    vm->frozen_until_ms = 0;
    vm->busy_until_us = 0;
    vm->incarnation++;
}

void
world_vm_restart(struct world *world, void *context)
{
    struct vm *vm = context;

    if (!vm->alive) {
        world_record_fault(world, "start vm-%u", vm->index);
        world_vm_boot(vm);
    }
}

struct vm *
world_random_vm(struct world *world)
{
    return world->vms->pdata[world_random_below(world, world->vms->len)];
}

/* VMs: lives of the objects that ship. */
#include "emulator/internal/world_private.h"

#include <string.h>

#include "curlewcart/cw_cordons.h"
#include "curlewcart/cw_entry.h"
#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_replica.h"

enum {
    MEMBER_TTL_MS = 1300,
    ORDERS_WAIT_MS = 1000,
    CORDON_MS = 5000,
    LEASE_MS = 6000,
    /* Processors of VMs, in thousandths of a core. */
    STRONG_MILLI = 500,
    WEAK_MILLI = 120
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
    double began = world_processor_s();
    struct timespec now = vm->world->clock.now;
    struct timespec next = cw_entry_tick(vm->entry, now);
    bool active = cw_owner_active(vm->owner);

    if (vm->orders != NULL) {
        cw_follower_tick(vm->orders, now);
        cw_time_earlier(&next, cw_follower_due(vm->orders));
    }
    cw_follower_tick(cw_replica_follower(vm->replica), now);
    cw_time_earlier(&next, cw_owner_tick(vm->owner, now));
    cw_time_earlier(&next, cw_follower_due(cw_replica_follower(vm->replica)));
    vm->takeovers += !active && cw_owner_active(vm->owner);
    vm->due_ms =
        MAX(vm->world->now_ms + 1, cw_time_diff_ms(cw_time_from_ms(0), next));
    vm->busy_s += world_processor_s() - began;
}

static void
on_cordons_changed(void *context)
{
    struct vm *vm = context;

    cw_owner_cordons_changed(vm->owner);
}

static void
follow_orders(struct vm *vm)
{
    struct world *world = vm->world;
    struct cw_cordons_options cordons = {.codec = world_codec(),
                                         .clock = &world->clock.base,
                                         .changed = on_cordons_changed,
                                         .context = vm};
    struct cw_follower_options orders = {
        .name = "orders",
        .store = &vm->store,
        .clock = &world->clock.base,
        .topic = world_codec()->routing_topic,
        .wait_ms = ORDERS_WAIT_MS,
        .handler = {.reset = cw_cordons_reset,
                    .loaded = cw_cordons_loaded,
                    .record = cw_cordons_record},
    };

    vm->cordons = cw_cordons_create(&cordons);
    orders.handler.context = vm->cordons;
    vm->orders = cw_follower_create(&orders);
    cw_cordons_set_follower(vm->cordons, vm->orders);
}

void
world_vm_boot(struct vm *vm)
{
    struct world *world = vm->world;
    char *name = g_strdup_printf("vm-%u", vm->index);
    char *member = g_strdup_printf("%s/%u", name, vm->life);
    bool strong =
        world->options.strong == 0 || vm->index < world->options.strong;
    struct cw_replica_options replica = {.store = &vm->store,
                                         .clock = &world->clock.base,
                                         .read_interval_ms =
                                             CW_STANDBY_READ_INTERVAL_MS};
    struct cw_entry_options entry = {.store = &vm->store,
                                     .clock = &world->clock.base,
                                     .counters = &vm->counters};
    struct cw_owner_options owner = {.store = &vm->store,
                                     .targets = &vm->targets.base,
                                     .codec = world_codec(),
                                     .clock = &world->clock.base,
                                     .counters = &vm->counters,
                                     .vm = name,
                                     .member = member,
                                     .member_ttl_ms = MEMBER_TTL_MS,
                                     .lease_ms = LEASE_MS,
                                     .retain_ms = 600000,
                                     .cordon_ms = CORDON_MS,
                                     .capacity_milli =
                                         strong ? STRONG_MILLI : WEAK_MILLI};

    if (world->options.orders || world->options.cordons > 0) {
        follow_orders(vm);
    }
    owner.cordons = vm->cordons;
    vm->replica = cw_replica_create(&replica);
    entry.replica = vm->replica;
    owner.replica = vm->replica;
    vm->entry = cw_entry_create(&entry);
    vm->owner = cw_owner_create(&owner);
    cw_entry_configure(vm->entry, world->routing);
    cw_owner_configure(vm->owner, world->routing);
    vm->alive = true;
    vm->leaving = false;
    vm->due_ms = world->now_ms;
    g_free(member);
    g_free(name);
}

/* Its callers see their connection break: they cannot tell what became of
 * their call. */
static void
break_clients(struct vm *vm)
{
    for (guint i = 0; i < vm->clients->len; i++) {
        struct client_call *call = vm->clients->pdata[i];

        call->job->possible = true;
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
    /* Ends the calls under way, so that what they hold is freed; whatever
     * the dying VM still sends goes nowhere. */
    vm->cut_until_ms = INT64_MAX;
    while (vm->calls->len > 0) {
        struct call *call = vm->calls->pdata[vm->calls->len - 1];

        world_call_hold(call);
        world_call_answer(call, CW_STORE_UNKNOWN);
        world_call_release(call);
    }
    break_clients(vm);
    cw_follower_free(vm->orders);
    cw_owner_free(vm->owner);
    cw_cordons_free(vm->cordons);
    vm->orders = NULL;
    vm->cordons = NULL;
    cw_entry_free(vm->entry);
    cw_replica_free(vm->replica);
    vm->cut_until_ms = 0;
    vm->frozen_until_ms = 0;
    vm->life++;
}

void
world_vm_restart(struct world *world, void *context)
{
    struct vm *vm = context;

    if (!vm->alive) {
        world_note(world, "start vm-%u", vm->index);
        world_vm_boot(vm);
    }
}

struct vm *
world_any_vm(struct world *world)
{
    return world->vms->pdata[world_pick(world, world->vms->len)];
}

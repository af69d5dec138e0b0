/* Calls between VMs, which may be delayed or lost. */
#include "emulator/internal/world_private.h"

#include <string.h>

enum { ONE_WAY_MAX_MS = 4, LOST_PERCENT = 2 };

static struct vm *
find_vm(const struct world *world, const char *name)
{
    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];

        if (strcmp(vm->name, name) == 0) {
            return vm;
        }
    }
    return NULL;
}

static unsigned
one_way_ms(struct world *world)
{
    return (unsigned)g_rand_int_range(world->peer_random, 1,
                                      ONE_WAY_MAX_MS + 1);
}

static bool
is_lost(struct world *world)
{
    return g_rand_int_range(world->peer_random, 0, 100) < LOST_PERCENT;
}

static void
request_support_of(struct vm *vm, struct call *call)
{
    struct timespec now = vm->world->clock.now;
    struct timespec lower_until;

    call->supported.supported =
        cw_voter_support(&vm->voter, call->support.epoch, now, &lower_until);
    if (call->supported.supported) {
        call->supported.lower_left_ms = cw_time_diff_ms(now, lower_until);
    }
}

/* Executes a request that has reached the VM, and answers it. */
static void
arrive_at_vm(struct world *world, void *context)
{
    struct call *call = context;
    struct vm *vm = find_vm(world, call->text);

    if (vm != NULL && vm->alive && world_vm_idle_at_ms(vm) > world->now_ms) {
        world_call_schedule(call, world_vm_idle_at_ms(vm) - world->now_ms + 1,
                            arrive_at_vm);
    }
    else if (vm != NULL && vm->alive && world_vm_reaches_vm(call->vm, vm)) {
        request_support_of(vm, call);
        if (!call->ended && !is_lost(world)) {
            world_call_schedule(
                call, one_way_ms(world) + world_link_to_vm_ms(vm, call->vm),
                world_call_deliver);
        }
    }
    world_call_unref(call);
}

static void
send_support(struct cw_peers *peers, const struct cw_peers_support *request)
{
    struct vm *vm = ((struct vm_peers *)peers)->vm;
    struct world *world = vm->world;
    struct call *call = world_call_new(vm, CALL_SUPPORT, request->timeout_ms);
    const struct vm *to = find_vm(world, request->address);

    call->support = *request;
    call->text = g_strdup(request->address);
    call->support.address = call->text;
    world_call_schedule(call, request->timeout_ms, world_call_time_out);
    if (to != NULL && world_vm_reaches_vm(vm, to) && !is_lost(world)) {
        world_call_schedule(call,
                            one_way_ms(world) + world_link_to_vm_ms(vm, to),
                            arrive_at_vm);
    }
}

/* All other VMs, also those that are down. */
static void
list_addresses(struct cw_peers *peers, GPtrArray *out)
{
    const struct vm *vm = ((struct vm_peers *)peers)->vm;

    for (guint i = 0; i < vm->world->vms->len; i++) {
        struct vm *other = vm->world->vms->pdata[i];

        if (other != vm) {
            g_ptr_array_add(out, other->name);
        }
    }
}

const struct cw_peers_ops world_peers_ops = {.support = send_support,
                                             .addresses = list_addresses};

bool
world_peers_is_event(const struct event *event)
{
    return event->run == arrive_at_vm;
}

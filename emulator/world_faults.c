/* Random faults, and the end of all faults. */
#include "emulator/internal/world_private.h"

#include <string.h>

/* Maximum number of workers of a rack of four that drain in a day. */
enum { RACK_DRAINING_MAX = 2 };

#include "curlewcart/cw_entry.h"
#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_replica.h"

/* ---- faults ---- */

static void
fault_kill(struct world *world)
{
    struct vm *vm = world_random_vm(world);
    unsigned down_ms = world_random_between(world, 100, 3000);

    world_record_fault(world, "kill vm-%u", vm->index);
    world_disturb(world, down_ms, 4000 - down_ms);
    world_vm_kill(vm);
    world_schedule(world, down_ms, world_vm_restart, vm);
}

static void
fault_kill_all(struct world *world)
{
    unsigned down_ms = world_random_between(world, 200, 4000);

    world_record_fault(world, "kill all for %u", down_ms);
    world_disturb(world, down_ms + 300, 3700);
    for (guint i = 0; i < world->vms->len; i++) {
        world_vm_kill(world->vms->pdata[i]);
        world_schedule(world, down_ms + world_random_below(world, 300),
                       world_vm_restart, world->vms->pdata[i]);
    }
}

static void
fault_freeze(struct world *world)
{
    struct vm *vm = world_random_vm(world);
    unsigned ms = world_random_between(world, 500, 7000);

    world_record_fault(world, "freeze vm-%u for %u", vm->index, ms);
    world_disturb(world, ms, 0);
    vm->frozen_until_ms = world->now_ms + ms;
}

static void
fault_cut_vm(struct world *world)
{
    struct vm *vm = world_random_vm(world);
    unsigned ms = world_random_between(world, 1000, 9000);

    world_record_fault(world, "cut vm-%u for %u", vm->index, ms);
    world_disturb(world, ms, 0);
    vm->cut_until_ms = world->now_ms + ms;
}

static void
fault_store_down(struct world *world)
{
    unsigned ms = world_random_between(world, 1000, 7000);

    world->store_busy = world_random_chance(world, 50);
    world_record_fault(world, "store down for %u busy %d", ms,
                       world->store_busy);
    world_disturb(world, ms, 0);
    world->store_down_until_ms = world->now_ms + ms;
}

static void
fault_store_slow(struct world *world)
{
    world_record_fault(world, "store slow");
    world_disturb(world, 5000, 0);
    world->store_slow_until_ms = world->now_ms + 5000;
}

static void
fault_lose_appends(struct world *world)
{
    world->append_loss_percent = world_random_between(world, 10, 50);
    world->append_loss_delayed = world_random_chance(world, 50);
    world_record_fault(world, "lose %u%% late %d", world->append_loss_percent,
                       world->append_loss_delayed);
    world_disturb(world, 4000, 6000);
    world->append_loss_until_ms = world->now_ms + 4000;
}

void
world_drop_history(struct world *world, void *unused)
{
    (void)unused;
    world_record_fault(world, "compact");
    store_model_compact(world->store, CW_JOBS_TOPIC);
    store_model_compact(world->store, CW_STATE_TOPIC);
    store_model_compact(world->store, TARGETS_TOPIC);
    store_model_compact(world->store, COMMANDS_TOPIC);
}

static void
fault_compact(struct world *world)
{
    world_drop_history(world, NULL);
}

static void
fault_reassign_partition(struct world *world)
{
    world_record_fault(world, "deal");
    world_disturb(world, 1000, 0);
    store_model_reassign(world->store, world_random_below(world, 100),
                         world->clock.now);
}

struct worker_model *
world_random_worker(struct world *world)
{
    return worker_fleet_at(
        world->fleet,
        world_random_below(world, worker_fleet_size(world->fleet)));
}

void
world_cut_worker(struct world *world, const struct worker_model *worker,
                 unsigned ms)
{
    const char *id = worker_model_id(worker);

    world_record_fault(world, "cut %s for %u", id, ms);
    world_disturb(world, ms, 0);
    g_hash_table_insert(world->cut_workers, (gpointer)id,
                        GINT_TO_POINTER((gint)(world->now_ms + ms)));
}

static void
fault_cut_worker(struct world *world)
{
    unsigned ms = world_random_between(world, 1000, 12000);

    for (unsigned i = world_random_between(world, 1, 3); i > 0; i--) {
        world_cut_worker(world, world_random_worker(world), ms);
    }
}

static void
fault_crash_worker(struct world *world)
{
    world_replace_worker(world, world_random_worker(world));
}

static void
fault_delay_orders(struct world *world)
{
    world_record_fault(world, "orders late");
    world_disturb(world, 14000, 0);
    world->order_delay_fault_until_ms = world->now_ms + 4000;
    world->last_delayed_order_ms = world->order_delay_fault_until_ms + 9000;
}

static void
fault_hang(struct world *world)
{
    struct worker_model *worker = world_random_worker(world);

    world_record_fault(world, "hang %s", worker_model_id(worker));
    world_disturb(world, 6000, 0);
    worker_model_set_speed(worker, 0);
}

/* Number of workers of the rack that drain and are up; a drain never ends,
 * except by world_leave. */
static unsigned
count_draining_in_rack(const struct world *world, const char *rack)
{
    unsigned draining_count = 0;
    GHashTableIter iterator;
    gpointer id;

    g_hash_table_iter_init(&iterator, world->draining);
    while (g_hash_table_iter_next(&iterator, &id, NULL)) {
        const struct worker_model *worker =
            worker_fleet_find(world->fleet, id);

        draining_count += !worker_model_has_left(worker) &&
                          strcmp(rack, worker_model_rack(worker)) == 0;
    }
    return draining_count;
}

bool
world_rack_can_spare(const struct world *world,
                     const struct worker_model *worker)
{
    return count_draining_in_rack(world, worker_model_rack(worker)) <
           RACK_DRAINING_MAX;
}

static void
fault_drain(struct world *world)
{
    struct worker_model *worker = world_random_worker(world);
    const char *id = worker_model_id(worker);

    /* Each rack is a data centre.  With one worker left, a gang that may run
     * only in this data centre would not fit anywhere (regression seed
     * 950258). */
    if (!world_rack_can_spare(world, worker)) {
        return;
    }
    if (world->options.restricted && !world_kind_can_spare(world, worker)) {
        return;
    }
    world_record_fault(world, "drain %s", id);
    g_hash_table_add(world->draining, (gpointer)id);
}

static void
finish_shutdown(struct world *world, void *context)
{
    struct vm *vm = context;

    if (vm->alive && vm->shutting_down) {
        world_vm_kill(vm);
        world_schedule(world, 200, world_vm_restart, vm);
    }
}

static void
fault_shut_down_vm(struct world *world)
{
    struct vm *vm = world_random_vm(world);

    if (!vm->alive || vm->shutting_down) {
        return;
    }
    world_record_fault(world, "leave vm-%u", vm->index);
    world_disturb(world, 3000, 0);
    vm->shutting_down = true;
    cw_entry_begin_shutdown(vm->entry);
    cw_owner_leave(vm->owner);
    world_schedule(world, 2600, finish_shutdown, vm);
}

void
world_inject_fault(struct world *world, void *context)
{
    static void (*const faults[])(struct world *) = {
        fault_kill,         fault_kill_all,     fault_freeze,
        fault_cut_vm,       fault_store_down,   fault_store_slow,
        fault_lose_appends, fault_compact,      fault_reassign_partition,
        fault_cut_worker,   fault_crash_worker, fault_delay_orders,
        fault_hang,         fault_drain,        fault_shut_down_vm,
    };

    (void)context;
    faults[world_random_below(world, G_N_ELEMENTS(faults))](world);
}

void
world_heal_all(struct world *world, void *context)
{
    (void)context;
    world_record_fault(world, "heal");
    world->healed_ms = world->now_ms;
    world->store_down_until_ms = 0;
    world->topic_unavailable_until_ms = 0;
    world->append_loss_until_ms = 0;
    world->order_delay_fault_until_ms = 0;
    g_hash_table_remove_all(world->cut_workers);
    world->owner_cut.until_ms = 0;
    world_heal_reports(world);
    world_uncordon_all(world);
    world_end_slow_vms(world);
    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];

        vm->cut_until_ms = 0;
        vm->long_cut_until_ms = 0;
        vm->frozen_until_ms = 0;
    }
    for (unsigned i = 0; i < worker_fleet_size(world->fleet); i++) {
        worker_model_set_speed(worker_fleet_at(world->fleet, i), 1);
    }
}

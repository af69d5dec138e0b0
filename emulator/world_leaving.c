/* Workers that leave: they drain, shut down, and are replaced at their
 * addresses under new ids.  Some are cut off as they begin to drain, so that
 * starts that were sent to them have no answer.  The VM that owns the jobs may
 * be killed at any point of this: before it has read that the
 * worker drains, or after the worker's entry is gone. */
#include "emulator/internal/world_private.h"

enum {
    WORKERS_TOGETHER_MAX = 6,
    /* How long a worker serves on after its report was stored. */
    DRAIN_MIN_MS = 2000,
    DRAIN_MAX_MS = 6000,
    /* Time until its address is used again. */
    ADDRESS_REUSE_MIN_MS = 2000,
    ADDRESS_REUSE_MAX_MS = 5000,
    CUT_PERCENT = 40,
    /* A cut begins up to this long before the report. */
    CUT_BEFORE_MAX_MS = 600,
    CUT_MIN_MS = 500,
    CUT_MAX_MS = 4000,
    /* Percentage of cases in which the owner is killed, and of those in which
     * that is soon after the worker has left. */
    OWNER_KILL_PERCENT = 70,
    KILL_AFTER_PERCENT = 70,
    KILL_AFTER_MAX_MS = 2000,
    REPORT_RETRY_MS = 200,
    LEFT_EFFECT_MS = 4000,
    /* A start is a violation this long after the report was stored, if the VM
     * has been in touch for that long. */
    DRAIN_EFFECT_MS = 2000,
    IN_TOUCH_MS = 3000
};

GHashTable *
world_drains_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
world_drain_stored(struct world *world, const char *worker)
{
    if (!g_hash_table_contains(world->drains_stored, worker)) {
        g_hash_table_insert(world->drains_stored, g_strdup(worker),
                            GINT_TO_POINTER((gint)world->now_ms));
    }
}

void
world_drain_ended(struct world *world, const char *worker)
{
    g_hash_table_remove(world->draining, worker);
    g_hash_table_remove(world->drains_stored, worker);
}

/* Time since the store has accepted that the worker drains; -1: it has not. */
static int64_t
drained_for_ms(const struct world *world, const char *worker)
{
    int stored_ms =
        GPOINTER_TO_INT(g_hash_table_lookup(world->drains_stored, worker));

    return stored_ms > 0 ? world->now_ms - stored_ms : -1;
}

static void
shut_down(struct world *world, void *context)
{
    struct worker_model *worker = context;

    /* It may have crashed before, and serves again or is replaced. */
    if (worker_model_is_down(worker) ||
        drained_for_ms(world, worker_model_id(worker)) < DRAIN_MIN_MS)
    {
        return;
    }
    world_record_fault(world, "%s leaves", worker_model_id(worker));
    world_disturb(world, 0, LEFT_EFFECT_MS);
    worker_model_shut_down(worker);
    world_remove_entry(world, worker);
    world_schedule(world,
                   world_random_between(world, ADDRESS_REUSE_MIN_MS,
                                        ADDRESS_REUSE_MAX_MS),
                   world_restart_with_new_id, worker);
}

static void
drain(struct world *world, void *context)
{
    struct worker_model *worker = context;
    unsigned ms = world_random_between(world, DRAIN_MIN_MS, DRAIN_MAX_MS);

    if (worker_model_is_down(worker)) {
        return;
    }
    if (world->store_down_until_ms > world->now_ms) {
        world_schedule(world, REPORT_RETRY_MS, drain, worker);
        return;
    }
    world_record_fault(world, "drain %s for %u", worker_model_id(worker), ms);
    g_hash_table_add(world->draining, (gpointer)worker_model_id(worker));
    world_store_report(world, worker);
    world_schedule(world, ms, shut_down, worker);
    if (world_random_chance(world, OWNER_KILL_PERCENT)) {
        unsigned at_ms =
            world_random_chance(world, KILL_AFTER_PERCENT)
                ? ms + world_random_below(world, KILL_AFTER_MAX_MS)
                : world_random_below(world, ms);

        world_schedule(world, at_ms, world_kill_owner, NULL);
    }
}

static bool
may_leave(const struct world *world, const struct worker_model *worker)
{
    return !worker_model_is_down(worker) &&
           !g_hash_table_contains(world->draining, worker_model_id(worker)) &&
           world_rack_can_spare(world, worker) &&
           (!world->options.restricted || world_kind_can_spare(world, worker));
}

void
world_leave(struct world *world, void *unused)
{
    (void)unused;
    for (unsigned i = world_random_between(world, 1, WORKERS_TOGETHER_MAX);
         i > 0; i--)
    {
        struct worker_model *worker = world_random_worker(world);
        unsigned after_ms = 0;

        if (!may_leave(world, worker)) {
            continue;
        }
        if (world_random_chance(world, CUT_PERCENT)) {
            after_ms = world_random_below(world, CUT_BEFORE_MAX_MS);
            world_cut_worker(
                world, worker,
                world_random_between(world, CUT_MIN_MS, CUT_MAX_MS));
        }
        world_schedule(world, after_ms, drain, worker);
    }
}

/* ---- check ---- */

static bool
is_in_touch(const struct vm *vm)
{
    const struct world *world = vm->world;
    int64_t since_ms = world->now_ms - IN_TOUCH_MS;

    return (world->healed_ms == 0 || world->healed_ms <= since_ms) &&
           vm->cut_until_ms <= since_ms && vm->long_cut_until_ms <= since_ms &&
           vm->frozen_until_ms <= since_ms && vm->slow_until_ms <= since_ms &&
           world->owner_cut.until_ms <= since_ms &&
           world->store_down_until_ms <= since_ms &&
           world->store_slow_until_ms <= since_ms &&
           world->topic_unavailable_until_ms <= since_ms;
}

void
world_check_drain(const struct vm *vm, const struct cw_target_order *order)
{
    struct world *world = vm->world;

    if (drained_for_ms(world, order->id) > DRAIN_EFFECT_MS && is_in_touch(vm))
    {
        checker_start_sent_to_draining(world->checker, &order->task,
                                       order->run);
    }
}

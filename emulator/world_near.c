/* Finds starts of a task that are sent while an earlier run of it is at work,
 * or may still begin: a start in flight that its worker would carry out on
 * arrival.  These are faults of an owner also if no second run comes of them.
 */
#include "emulator/internal/world_private.h"

/* True if the start, which arrives at `at_ms`, will be carried out as far as
 * the state of its worker shows now. */
static bool
will_start(struct world *world, const struct call *call, int64_t at_ms)
{
    struct worker_model *worker =
        worker_fleet_at_address(world->fleet, call->address);

    return worker != NULL &&
           (call->boot_ms == 0 ||
            call->boot_ms == worker_model_boot_ms(worker)) &&
           !world_worker_is_cut_at(world, worker_model_id(worker), at_ms) &&
           worker_model_would_start(worker, &call->order, at_ms);
}

void
world_check_held_starts(struct world *world)
{
    for (guint i = 0; world->options.near && i < world->events->len; i++) {
        const struct event *event = world->events->pdata[i];
        const struct call *call = world_net_start_of(event);

        if (call != NULL &&
            call->order.run <
                checker_last_sent(world->checker, &call->order.task) &&
            will_start(world, call, event->at_ms))
        {
            world_record_fault(world, "held start, to %s at %" G_GINT64_FORMAT,
                               call->text, (gint64)event->at_ms);
            checker_near(world->checker, &call->order.task, call->order.run,
                         "its start may still be carried out");
        }
    }
}

void
world_start_is_sent(struct world *world, const struct cw_target_order *order)
{
    if (!world->options.near) {
        return;
    }
    checker_start_sent(world->checker, &order->task, order->run);
    for (unsigned i = 0; i < worker_fleet_size(world->fleet); i++) {
        struct worker_model *worker = worker_fleet_at(world->fleet, i);
        unsigned run = worker_model_run_of(worker, &order->task);

        if (run > 0 && run < order->run) {
            world_record_fault(world, "at work on %s",
                               worker_model_id(worker));
            checker_near(world->checker, &order->task, run,
                         "it is at work while the next run is sent");
        }
    }
    world_check_held_starts(world);
}

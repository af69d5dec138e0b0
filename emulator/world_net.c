/* The network: calls of VMs to the store and to workers, which may be delayed,
 * lost, refused, or executed late. */
#include "emulator/internal/world_private.h"

#include <string.h>

enum {
    /* On days with restarts, percentage of orders with an additional delay, so
     * that some reach the worker's next incarnation. */
    DELAYED_ORDER_PERCENT = 5,
    ORDER_DELAY_MAX_MS = 350,
    /* On days with restarts, percentage of orders that are executed but not
     * answered. */
    UNANSWERED_PERCENT = 2,
    STORE_ONE_WAY_MS = 2, /* usual mean delay, one way */
    FAR_STORE_ONE_WAY_MS = 40,
    SLOW_STORE_ONE_WAY_MAX_MS = 120,
    WORKER_ONE_WAY_MS = 1,
    LONG_POLL_CHECK_MS = 25 /* time between two checks of a long poll */
};

void
world_call_deliver(struct world *world, void *context)
{
    struct call *call = context;
    int64_t idle_at_ms = world_vm_idle_at_ms(call->vm);

    if (!call->ended && idle_at_ms > world->now_ms) {
        world_schedule(world, idle_at_ms - world->now_ms + 1,
                       world_call_deliver, call);
        return;
    }
    world_call_answer(call, CW_STORE_OK);
    world_call_unref(call);
}

void
world_call_time_out(struct world *world, void *context)
{
    struct call *call = context;
    int64_t idle_at_ms = world_vm_idle_at_ms(call->vm);

    if (!call->ended && idle_at_ms > world->now_ms) {
        world_schedule(world, idle_at_ms - world->now_ms + 1,
                       world_call_time_out, call);
        return;
    }
    world_call_answer(call, CW_STORE_UNKNOWN);
    world_call_unref(call);
}

static void
refuse_call(struct world *world, void *context)
{
    struct call *call = context;

    (void)world;
    world_call_answer(call, CW_STORE_NOT_EXECUTED);
    world_call_unref(call);
}

/* The connection is reset before the worker has read the order. */
static void
reset_connection(struct world *world, void *context)
{
    struct call *call = context;

    (void)world;
    world_call_answer(call, CW_STORE_UNKNOWN);
    world_call_unref(call);
}

void
world_call_schedule(struct call *call, int64_t after_ms,
                    void (*run)(struct world *, void *))
{
    call->refs++;
    world_schedule(call->vm->world, after_ms, run, call);
}

/* ---- the store's side ---- */

static unsigned
usual_store_delay(struct world *world)
{
    if (world->store_slow_until_ms > world->now_ms) {
        return world_random_between(world, STORE_ONE_WAY_MS,
                                    SLOW_STORE_ONE_WAY_MAX_MS);
    }
    return world_random_between(world, 1,
                                2 * (world->options.far_store
                                         ? FAR_STORE_ONE_WAY_MS
                                         : STORE_ONE_WAY_MS));
}

static unsigned
store_delay(const struct vm *vm)
{
    return usual_store_delay(vm->world) + world_link_to_store_ms(vm);
}

static bool
store_down(const struct world *world)
{
    return world->store_down_until_ms > world->now_ms;
}

/* True if calls that the store does not serve are refused; otherwise they are
 * not answered. */
static bool
refuses_at_once(const struct world *world)
{
    return store_down(world) ? world->store_busy : world->topic_refuses;
}

static void
apply_join(struct world *world, struct call *call)
{
    bool assigned = false;

    call->joined.status = CW_STORE_OK;
    call->joined.generation =
        store_model_join(world->store, call->text, call->join.ttl_ms,
                         world->clock.now, &assigned);
    call->joined.partitions = &call->partition;
    call->joined.count = assigned ? 1 : 0;
}

static void
apply_page(struct world *world, struct call *call)
{
    if (call->has_page) {
        store_model_page_clear(&call->page);
    }
    call->has_page = true;
    if (call->kind == CALL_READ) {
        store_model_read(world->store, call->topic, call->read.from,
                         &call->page);
    }
    else {
        store_model_newest(world->store, call->topic, call->text, &call->page);
    }
}

static void
apply(struct world *world, struct call *call)
{
    call->applied = true;
    switch (call->kind) {
    case CALL_APPEND:
        call->appended = store_model_append(world->store, &call->append);
        break;
    case CALL_JOIN:
        apply_join(world, call);
        break;
    case CALL_LEAVE:
        store_model_leave(world->store, call->text, world->clock.now);
        break;
    default:
        apply_page(world, call);
        break;
    }
}

/* Applies an append long after the VM's timeout. */
static void
apply_late(struct world *world, void *context)
{
    struct call *call = context;

    if (!call->applied && call->kind == CALL_APPEND) {
        (void)store_model_append(world->store, &call->append);
    }
    world_call_unref(call);
}

/* Handles a call that has reached the store. */
static void
arrive_at_store(struct world *world, void *context)
{
    struct call *call = context;
    bool writes = call->kind == CALL_APPEND;

    if (store_down(world) || world_topic_unavailable(world, call->topic)) {
        if (refuses_at_once(world)) {
            world_call_schedule(
                call, STORE_ONE_WAY_MS + world_link_to_store_ms(call->vm),
                refuse_call);
        }
        world_call_unref(call);
        return;
    }
    if (writes && world->append_loss_until_ms > world->now_ms &&
        world_random_chance(world, world->append_loss_percent))
    {
        if (world->append_loss_delayed) {
            world_call_schedule(call, world_random_between(world, 1000, 6000),
                                apply_late);
        }
        else {
            apply(world, call); /* the answer is lost */
        }
        world_call_unref(call);
        return;
    }
    apply(world, call);
    if (call->kind == CALL_READ && call->page.page.count == 0 &&
        call->page.page.status == CW_STORE_OK &&
        world->now_ms < call->wait_until_ms && !call->ended)
    {
        world_call_schedule(call, LONG_POLL_CHECK_MS, arrive_at_store);
        world_call_unref(call);
        return;
    }
    if (call->vm->cut_until_ms <= world->now_ms &&
        !world_vm_is_long_cut(call->vm)) {
        world_call_schedule(call, store_delay(call->vm), world_call_deliver);
    }
    world_call_unref(call);
}

static void
send_to_store(struct call *call)
{
    struct vm *vm = call->vm;
    struct world *world = vm->world;

    world_call_schedule(call, call->timeout_at_ms - world->now_ms,
                        world_call_time_out);
    if (vm->cut_until_ms > world->now_ms || world_vm_is_long_cut(vm)) {
        return; /* neither the call nor an answer arrives */
    }
    world_call_schedule(call, store_delay(vm), arrive_at_store);
}

static void
send_append(struct cw_store *store, const struct cw_store_append *append)
{
    struct vm *vm = (struct vm *)store;
    struct call *call = world_call_new(vm, CALL_APPEND, append->timeout_ms);

    call->append = *append;
    call->topic = g_strdup(append->topic);
    call->writer = g_strdup(append->writer);
    for (size_t i = 0; i < append->count; i++) {
        struct cw_store_record record = append->records[i];
        char *key = g_strdup(record.key);
        void *value = g_memdup2(record.value, record.length);

        g_ptr_array_add(call->bytes, key);
        g_ptr_array_add(call->bytes, value);
        record.key = key;
        record.value = value;
        g_array_append_val(call->records, record);
    }
    call->append.topic = call->topic;
    call->append.writer = call->writer;
    call->append.records = (const struct cw_store_record *)call->records->data;
    send_to_store(call);
}

static void
send_read(struct cw_store *store, const struct cw_store_read *read)
{
    struct vm *vm = (struct vm *)store;
    struct call *call = world_call_new(vm, CALL_READ, read->timeout_ms);

    call->read = *read;
    call->topic = g_strdup(read->topic);
    call->wait_until_ms = vm->world->now_ms + read->wait_ms;
    send_to_store(call);
}

static void
send_newest(struct cw_store *store, const struct cw_store_read_newest *newest)
{
    struct call *call =
        world_call_new((struct vm *)store, CALL_NEWEST, newest->timeout_ms);

    call->newest = *newest;
    call->topic = g_strdup(newest->topic);
    call->text = g_strdup(newest->after);
    send_to_store(call);
}

static void
send_join(struct cw_store *store, const struct cw_store_join *join)
{
    struct call *call =
        world_call_new((struct vm *)store, CALL_JOIN, join->timeout_ms);

    call->join = *join;
    call->text = g_strdup(join->member);
    send_to_store(call);
}

static void
send_leave(struct cw_store *store, const struct cw_store_leave *leave)
{
    struct call *call =
        world_call_new((struct vm *)store, CALL_LEAVE, leave->timeout_ms);

    call->leave = *leave;
    call->text = g_strdup(leave->member);
    send_to_store(call);
}

const struct cw_store_ops world_store_ops = {
    .append = send_append,
    .read = send_read,
    .newest = send_newest,
    .join = send_join,
    .leave = send_leave,
};

/* ---- the workers' side ---- */

bool
world_worker_is_cut_at(const struct world *world, const char *worker,
                       int64_t at_ms)
{
    gpointer until = g_hash_table_lookup(world->cut_workers, worker);

    return GPOINTER_TO_INT(until) > at_ms;
}

bool
world_worker_is_cut(const struct world *world, const char *worker)
{
    return world_worker_is_cut_at(world, worker, world->now_ms);
}

/* True if the order was received by an earlier incarnation of the worker:
 * delayed orders and long polls are lost when the worker crashes. */
static bool
lost_with_incarnation(struct call *call, const struct worker_model *worker)
{
    int64_t boot_ms = worker_model_boot_ms(worker);

    if (call->boot_ms == 0) {
        call->boot_ms = boot_ms;
    }
    return call->boot_ms != boot_ms;
}

/* Executes an order that has reached the worker, and answers unless the worker
 * is disconnected. */
static void
arrive_at_worker(struct world *world, void *context)
{
    struct call *call = context;
    struct worker_model *worker =
        worker_fleet_at_address(world->fleet, call->address);

    if (worker == NULL ||
        world_worker_is_cut(world, worker_model_id(worker)) ||
        !world_vm_reaches_worker(call->vm, worker_model_id(worker)) ||
        lost_with_incarnation(call, worker))
    {
        world_call_unref(call);
        return;
    }
    if (call->order.kind == CW_ORDER_START &&
        world_refuses_start(world, worker_model_id(worker)))
    {
        call->answer.status = CW_TARGET_UNHEALTHY;
        world_call_schedule(call,
                            WORKER_ONE_WAY_MS +
                                world_link_to_worker_ms(call->vm, call->text),
                            world_call_deliver);
        world_call_unref(call);
        return;
    }
    g_array_set_size(call->running, 0);
    g_array_set_size(call->ended_rows, 0);
    worker_model_order(worker, &call->order, world->now_ms, &call->answer,
                       call->running, call->ended_rows, call->bytes);
    call->answer.boot_ms = world_reported_boot_ms(world, worker);
    world_check_held_starts(world);
    if (call->kind == CALL_ORDER && call->order.kind == CW_ORDER_POLL &&
        call->answer.status == CW_TARGET_OK && call->answer.ended_count == 0 &&
        world->now_ms < call->wait_until_ms && !call->ended)
    {
        call->order.lease_until_ms = 0; /* granted once, on arrival */
        world_call_schedule(call, LONG_POLL_CHECK_MS, arrive_at_worker);
        world_call_unref(call);
        return;
    }
    if (!call->ended && !(world->options.restarts > 0 &&
                          world_random_chance(world, UNANSWERED_PERCENT)))
    {
        world_call_schedule(
            call,
            world_random_between(world, 1, 2 * WORKER_ONE_WAY_MS) +
                world_worker_delay(world, call->text).added_one_way_ms +
                world_link_to_worker_ms(call->vm, call->text),
            world_call_deliver);
    }
    world_call_unref(call);
}

static unsigned
order_delay(struct world *world)
{
    if (world->options.restarts > 0 &&
        world_random_chance(world, DELAYED_ORDER_PERCENT))
    {
        return world_random_between(world, 1, ORDER_DELAY_MAX_MS);
    }
    return world_random_between(world, 1, 2 * WORKER_ONE_WAY_MS);
}

static void
send_order(struct cw_targets *targets, const struct cw_target_order *order)
{
    struct vm *vm = ((struct vm_targets *)targets)->vm;
    struct world *world = vm->world;
    struct call *call = world_call_new(vm, CALL_ORDER, order->timeout_ms);
    struct world_worker_delay delay;
    struct world_hold hold;
    unsigned link_ms = world_link_to_worker_ms(vm, order->id);

    call->order = *order;
    call->text = g_strdup(order->id);
    call->address = g_strdup(order->address);
    call->job = g_strdup(order->task.job);
    call->payload = g_strdup(order->payload);
    call->saved = g_strdup(order->saved);
    call->order.id = call->text;
    call->order.task.job = call->job;
    call->order.payload = call->payload;
    call->order.saved = call->saved;
    call->wait_until_ms = world->now_ms + order->wait_ms;
    if (order->kind == CW_ORDER_START) {
        world_start_is_sent(world, order);
        world_check_drain(vm, order);
    }
    world_call_schedule(call, call->timeout_at_ms - world->now_ms,
                        world_call_time_out);
    if (world_worker_is_cut(world, call->text) ||
        !world_vm_reaches_worker(vm, call->text))
    {
        return;
    }
    if (world->order_delay_fault_until_ms > world->now_ms &&
        world_random_chance(world, 10))
    {
        const struct worker_model *worker =
            worker_fleet_at_address(world->fleet, call->address);

        if (worker == NULL) {
            return; /* no worker at this address */
        }
        call->boot_ms = worker_model_boot_ms(worker);
        world_call_schedule(call, world_random_between(world, 2000, 9000),
                            arrive_at_worker);
        return;
    }
    if (world_holds_order(world, call->text, &hold)) {
        const struct worker_model *worker =
            worker_fleet_at_address(world->fleet, call->address);

        if (hold.by_worker && worker == NULL) {
            return; /* no worker at this address */
        }
        if (hold.by_worker) {
            call->boot_ms = worker_model_boot_ms(worker);
        }
        world_call_schedule(call, hold.ms, arrive_at_worker);
        return;
    }
    delay = world_worker_delay(world, call->text);
    if (delay.resets) {
        world_call_schedule(call, WORKER_ONE_WAY_MS + 2 * link_ms,
                            reset_connection);
        return;
    }
    world_call_schedule(call,
                        order_delay(world) + delay.added_one_way_ms + link_ms,
                        arrive_at_worker);
}

const struct cw_targets_ops world_targets_ops = {.order = send_order};

const struct call *
world_net_start_of(const struct event *event)
{
    const struct call *call = event->context;

    return event->run == arrive_at_worker && call->order.kind == CW_ORDER_START
               ? call
               : NULL;
}

bool
world_net_free_event(const struct event *event)
{
    if (event->run == world_call_deliver ||
        event->run == world_call_time_out || event->run == refuse_call ||
        event->run == arrive_at_store || event->run == arrive_at_worker ||
        event->run == apply_late || event->run == reset_connection ||
        world_peers_is_event(event))
    {
        world_call_unref(event->context);
        return true;
    }
    return false;
}

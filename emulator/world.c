/* A day of a deployment under a virtual clock. */
#include "emulator/world.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "curlewcart/cw_codec.h"
#include "curlewcart/cw_entry.h"
#include "curlewcart/cw_log.h"
#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_replica.h"
#include "curlewcart/cw_time.h"
#include "emulator/store_model.h"
#include "emulator/worker_model.h"

enum {
    TARGETS_REPORT_MS = 1500,
    MEMBER_TTL_MS = 1300,
    LEASE_MS = 6000,
    CALM_MS = 4000,
    STORE_MS = 2, /* one way, as a rule */
    SLOW_STORE_MS = 120,
    WORKER_MS = 1, /* one way */
    READ_POLL_MS = 25,
    CLIENT_TRIES = 4,
    CLIENT_BUDGET_MS = 1300,
    LOOK_EVERY_MS = 500,
    PERCENT = 100
};

#define TARGETS_TOPIC "keyed.servers"

struct world;
struct vm;

/* Something that happens at a time. */
struct event {
    int64_t at_ms;
    uint64_t order;
    void (*run)(struct world *world, void *context);
    void *context;
};

/* A VM: one life of a daemon's decisions. */
struct vm {
    struct cw_store store; /* first: the store's port */
    struct vm_targets {
        struct cw_targets base;
        struct vm *vm;
    } targets;
    struct world *world;
    unsigned index;
    unsigned life;
    bool alive;
    bool leaving;
    int64_t frozen_until_ms;
    int64_t cut_until_ms; /* from the store */
    int64_t due_ms;
    struct cw_replica *replica;
    struct cw_entry *entry;
    struct cw_owner *owner;
    struct cw_counters counters;
    GPtrArray *calls;   /* struct call, under way */
    GPtrArray *clients; /* struct client_call, waiting for an answer */
    unsigned takeovers;
};

struct world {
    struct world_options options;
    struct cw_clock_manual clock;
    int64_t now_ms;
    GRand *random;
    GPtrArray *events; /* struct event, a heap by time */
    uint64_t next_order;
    struct store_model *store;
    struct worker_fleet *fleet;
    struct judge *judge;
    struct cw_routing *routing;
    GPtrArray *vms; /* struct vm */
    GString *faults;
    int64_t disturbed_until_ms;
    /* what the network does at present */
    int64_t store_down_until_ms;
    bool store_busy;
    int64_t store_slow_until_ms;
    int64_t lost_until_ms;
    unsigned lost_percent;
    bool lost_late;
    int64_t orders_late_until_ms;
    GHashTable *cut_workers; /* id -> until, in ms */
    GHashTable *draining;    /* id, a set */
};

static const struct cw_codec *world_codec(void);

/* ---- time ---- */

static bool
event_before(const struct event *a, const struct event *b)
{
    return a->at_ms < b->at_ms ||
           (a->at_ms == b->at_ms && a->order < b->order);
}

static void
swap(GPtrArray *heap, guint a, guint b)
{
    gpointer item = heap->pdata[a];

    heap->pdata[a] = heap->pdata[b];
    heap->pdata[b] = item;
}

static void
schedule(struct world *world, int64_t after_ms,
         void (*run)(struct world *, void *), void *context)
{
    struct event *event = g_new0(struct event, 1);
    guint at = world->events->len;

    event->at_ms = world->now_ms + MAX(0, after_ms);
    event->order = world->next_order++;
    event->run = run;
    event->context = context;
    g_ptr_array_add(world->events, event);
    while (at > 0 && event_before(event, world->events->pdata[(at - 1) / 2])) {
        swap(world->events, at, (at - 1) / 2);
        at = (at - 1) / 2;
    }
}

static struct event *
pop_event(struct world *world)
{
    GPtrArray *heap = world->events;
    struct event *top = heap->pdata[0];
    guint at = 0;

    swap(heap, 0, heap->len - 1);
    g_ptr_array_set_size(heap, (gint)heap->len - 1);
    for (;;) {
        guint least = at;

        for (guint child = 2 * at + 1; child <= 2 * at + 2; child++) {
            if (child < heap->len &&
                event_before(heap->pdata[child], heap->pdata[least])) {
                least = child;
            }
        }
        if (least == at) {
            return top;
        }
        swap(heap, at, least);
        at = least;
    }
}

static unsigned
pick(struct world *world, unsigned below)
{
    return (unsigned)g_rand_int_range(world->random, 0, (gint32)MAX(1, below));
}

static unsigned
between(struct world *world, unsigned low, unsigned high)
{
    return low + pick(world, high - low + 1);
}

static bool
chance(struct world *world, unsigned percent)
{
    return pick(world, PERCENT) < percent;
}

static bool
calm(const struct world *world)
{
    return world->now_ms > world->disturbed_until_ms + CALM_MS;
}

static void
disturb(struct world *world, unsigned ms)
{
    world->disturbed_until_ms =
        MAX(world->disturbed_until_ms, world->now_ms + ms);
}

static void
note(struct world *world, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void
note(struct world *world, const char *format, ...)
{
    va_list arguments;
    char *text;

    va_start(arguments, format);
    text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_string_append_printf(world->faults, "%" PRId64 ":%s ", world->now_ms,
                           text);
    if (world->options.trace) {
        printf("t=%" PRId64 " fault=\"%s\"\n", world->now_ms, text);
    }
    g_free(text);
}

/* ---- calls of VMs ---- */

enum call_kind {
    CALL_APPEND,
    CALL_READ,
    CALL_NEWEST,
    CALL_JOIN,
    CALL_LEAVE,
    CALL_ORDER
};

/* A call under way: a copy of what was asked, and what it led to. */
struct call {
    struct vm *vm;
    enum call_kind kind;
    bool ended; /* answered, or its VM is gone */
    bool applied;
    unsigned holds; /* events that refer to it */
    int64_t give_up_ms;
    int64_t wait_until_ms;
    char *topic;
    char *writer;
    char *text; /* after, member, address or worker */
    GArray *records;
    GPtrArray *bytes;
    struct cw_store_append append;
    struct cw_store_read read;
    struct cw_store_newest newest;
    struct cw_store_join join;
    struct cw_store_leave leave;
    struct cw_target_order order;
    char *job;
    char *payload;
    char *saved;
    /* results */
    struct cw_store_appended appended;
    struct store_model_page page;
    bool has_page;
    struct cw_store_joined joined;
    unsigned partition;
    struct cw_target_answer answer;
    GArray *running;
    GArray *ended_rows;
};

static void
call_release(struct call *call)
{
    if (--call->holds > 0) {
        return;
    }
    if (call->has_page) {
        store_model_page_clear(&call->page);
    }
    g_array_unref(call->records);
    g_array_unref(call->running);
    g_array_unref(call->ended_rows);
    g_ptr_array_unref(call->bytes);
    g_free(call->topic);
    g_free(call->writer);
    g_free(call->text);
    g_free(call->job);
    g_free(call->payload);
    g_free(call->saved);
    g_free(call);
}

static struct call *
call_new(struct vm *vm, enum call_kind kind, unsigned timeout_ms)
{
    struct call *call = g_new0(struct call, 1);

    call->vm = vm;
    call->kind = kind;
    call->holds = 1;
    call->give_up_ms = vm->world->now_ms + timeout_ms;
    call->records = g_array_new(FALSE, TRUE, sizeof(struct cw_store_record));
    call->running = g_array_new(FALSE, TRUE, sizeof(struct cw_running));
    call->ended_rows = g_array_new(FALSE, TRUE, sizeof(struct cw_ended));
    call->bytes = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(vm->calls, call);
    return call;
}

/* Gives the VM its answer; a status other than OK has no content. */
static void
call_answer(struct call *call, enum cw_store_status status)
{
    struct cw_store_appended appended = {.status = status};
    struct cw_store_page page = {.status = status};
    struct cw_store_joined joined = {.status = status};
    struct cw_target_answer answer = {.status = CW_TARGET_UNKNOWN};
    bool ok = status == CW_STORE_OK;

    if (call->ended) {
        return;
    }
    call->ended = true;
    g_ptr_array_remove_fast(call->vm->calls, call);
    switch (call->kind) {
    case CALL_APPEND:
        call->append.done(call->append.context,
                          ok ? &call->appended : &appended);
        break;
    case CALL_READ:
        call->read.done(call->read.context, ok ? &call->page.page : &page);
        break;
    case CALL_NEWEST:
        call->newest.done(call->newest.context, ok ? &call->page.page : &page);
        break;
    case CALL_JOIN:
        call->join.done(call->join.context, ok ? &call->joined : &joined);
        break;
    case CALL_LEAVE:
        call->leave.done(call->leave.context, status);
        break;
    case CALL_ORDER:
        call->order.done(call->order.context, ok ? &call->answer : &answer);
        break;
    }
    call->vm->due_ms = call->vm->world->now_ms;
    call_release(call);
}

static void
deliver(struct world *world, void *context)
{
    struct call *call = context;
    struct vm *vm = call->vm;

    if (!call->ended && vm->frozen_until_ms > world->now_ms) {
        schedule(world, vm->frozen_until_ms - world->now_ms + 1, deliver,
                 call);
        return;
    }
    call_answer(call, CW_STORE_OK);
    call_release(call);
}

static void
time_out(struct world *world, void *context)
{
    struct call *call = context;

    if (!call->ended && call->vm->frozen_until_ms > world->now_ms) {
        schedule(world, call->vm->frozen_until_ms - world->now_ms + 1,
                 time_out, call);
        return;
    }
    call_answer(call, CW_STORE_UNKNOWN);
    call_release(call);
}

static void
refuse(struct world *world, void *context)
{
    struct call *call = context;

    (void)world;
    call_answer(call, CW_STORE_REFUSED);
    call_release(call);
}

static void
hold_event(struct world *world, struct call *call, int64_t after_ms,
           void (*run)(struct world *, void *))
{
    call->holds++;
    schedule(world, after_ms, run, call);
}

/* ---- the store's side ---- */

static unsigned
store_delay(struct world *world)
{
    if (world->store_slow_until_ms > world->now_ms) {
        return between(world, STORE_MS, SLOW_STORE_MS);
    }
    return between(world, 1, 2 * STORE_MS);
}

static bool
store_down(const struct world *world)
{
    return world->store_down_until_ms > world->now_ms;
}

static void
apply_join(struct world *world, struct call *call)
{
    bool held = false;

    call->joined.status = CW_STORE_OK;
    call->joined.generation = store_model_join(
        world->store, call->text, call->join.ttl_ms, world->clock.now, &held);
    call->joined.partitions = &call->partition;
    call->joined.count = held ? 1 : 0;
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

/* Carried out long after the VM has given up on it. */
static void
apply_late(struct world *world, void *context)
{
    struct call *call = context;

    if (!call->applied && call->kind == CALL_APPEND) {
        (void)store_model_append(world->store, &call->append);
    }
    call_release(call);
}

/* The call has reached the store. */
static void
arrive(struct world *world, void *context)
{
    struct call *call = context;
    bool writes = call->kind == CALL_APPEND;

    if (store_down(world)) {
        if (world->store_busy) {
            hold_event(world, call, STORE_MS, refuse);
        }
        call_release(call);
        return;
    }
    if (writes && world->lost_until_ms > world->now_ms &&
        chance(world, world->lost_percent))
    {
        if (world->lost_late) {
            hold_event(world, call, between(world, 1000, 6000), apply_late);
        }
        else {
            apply(world, call); /* done; its answer is lost */
        }
        call_release(call);
        return;
    }
    apply(world, call);
    if (call->kind == CALL_READ && call->page.page.count == 0 &&
        call->page.page.status == CW_STORE_OK &&
        world->now_ms < call->wait_until_ms && !call->ended)
    {
        hold_event(world, call, READ_POLL_MS, arrive);
        call_release(call);
        return;
    }
    if (call->vm->cut_until_ms <= world->now_ms) {
        hold_event(world, call, store_delay(world), deliver);
    }
    call_release(call);
}

static void
send_to_store(struct call *call)
{
    struct vm *vm = call->vm;
    struct world *world = vm->world;

    hold_event(world, call, call->give_up_ms - world->now_ms, time_out);
    if (vm->cut_until_ms > world->now_ms) {
        return; /* nothing arrives, nothing comes back */
    }
    hold_event(world, call, store_delay(world), arrive);
}

static void
port_append(struct cw_store *store, const struct cw_store_append *append)
{
    struct vm *vm = (struct vm *)store;
    struct call *call = call_new(vm, CALL_APPEND, append->timeout_ms);

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
port_read(struct cw_store *store, const struct cw_store_read *read)
{
    struct vm *vm = (struct vm *)store;
    struct call *call = call_new(vm, CALL_READ, read->timeout_ms);

    call->read = *read;
    call->topic = g_strdup(read->topic);
    call->wait_until_ms = vm->world->now_ms + read->wait_ms;
    send_to_store(call);
}

static void
port_newest(struct cw_store *store, const struct cw_store_newest *newest)
{
    struct call *call =
        call_new((struct vm *)store, CALL_NEWEST, newest->timeout_ms);

    call->newest = *newest;
    call->topic = g_strdup(newest->topic);
    call->text = g_strdup(newest->after);
    send_to_store(call);
}

static void
port_join(struct cw_store *store, const struct cw_store_join *join)
{
    struct call *call =
        call_new((struct vm *)store, CALL_JOIN, join->timeout_ms);

    call->join = *join;
    call->text = g_strdup(join->member);
    send_to_store(call);
}

static void
port_leave(struct cw_store *store, const struct cw_store_leave *leave)
{
    struct call *call =
        call_new((struct vm *)store, CALL_LEAVE, leave->timeout_ms);

    call->leave = *leave;
    call->text = g_strdup(leave->member);
    send_to_store(call);
}

static const struct cw_store_ops store_port = {
    .append = port_append,
    .read = port_read,
    .newest = port_newest,
    .join = port_join,
    .leave = port_leave,
};

/* ---- the workers' side ---- */

static bool
worker_cut(struct world *world, const char *id)
{
    gpointer until = g_hash_table_lookup(world->cut_workers, id);

    return GPOINTER_TO_INT(until) > world->now_ms;
}

/* Carries the order out; its answer goes back unless something is cut. */
static void
arrive_order(struct world *world, void *context)
{
    struct call *call = context;
    struct worker_model *worker = worker_fleet_find(world->fleet, call->text);

    if (worker == NULL || worker_model_dead(worker) ||
        worker_cut(world, call->text))
    {
        call_release(call);
        return;
    }
    g_array_set_size(call->running, 0);
    g_array_set_size(call->ended_rows, 0);
    worker_model_order(worker, &call->order, world->now_ms, &call->answer,
                       call->running, call->ended_rows, call->bytes);
    if (call->kind == CALL_ORDER && call->order.kind == CW_ORDER_HOLD &&
        call->answer.status == CW_TARGET_OK && call->answer.ended_count == 0 &&
        world->now_ms < call->wait_until_ms && !call->ended)
    {
        hold_event(world, call, READ_POLL_MS, arrive_order);
        call_release(call);
        return;
    }
    if (!call->ended) {
        hold_event(world, call, between(world, 1, 2 * WORKER_MS), deliver);
    }
    call_release(call);
}

static void
port_order(struct cw_targets *targets, const struct cw_target_order *order)
{
    struct vm *vm = ((struct vm_targets *)targets)->vm;
    struct world *world = vm->world;
    struct call *call = call_new(vm, CALL_ORDER, order->timeout_ms);

    call->order = *order;
    call->text = g_strdup(order->id);
    call->job = g_strdup(order->task.job);
    call->payload = g_strdup(order->payload);
    call->saved = g_strdup(order->saved);
    call->order.id = call->text;
    call->order.task.job = call->job;
    call->order.payload = call->payload;
    call->order.saved = call->saved;
    call->wait_until_ms = world->now_ms + order->wait_ms;
    hold_event(world, call, call->give_up_ms - world->now_ms, time_out);
    if (worker_cut(world, call->text)) {
        return;
    }
    if (world->orders_late_until_ms > world->now_ms && chance(world, 10)) {
        hold_event(world, call, between(world, 2000, 9000), arrive_order);
        return;
    }
    hold_event(world, call, between(world, 1, 2 * WORKER_MS), arrive_order);
}

static const struct cw_targets_ops targets_port = {.order = port_order};

/* ---- VMs ---- */

/* A caller's call that waits for its answer. */
struct client_call {
    struct world *world;
    struct vm *vm;
    struct judge_job *job;
    bool cancel;
    unsigned tries;
};

static void vm_boot(struct vm *vm);

static void
vm_tick(struct vm *vm)
{
    struct timespec now = vm->world->clock.now;
    struct timespec next = cw_entry_tick(vm->entry, now);
    struct timespec due;
    bool active = cw_owner_active(vm->owner);

    cw_follower_tick(cw_replica_follower(vm->replica), now);
    due = cw_owner_tick(vm->owner, now);
    if (cw_time_before(due, next)) {
        next = due;
    }
    due = cw_follower_due(cw_replica_follower(vm->replica));
    if (cw_time_before(due, next)) {
        next = due;
    }
    vm->takeovers += !active && cw_owner_active(vm->owner);
    vm->due_ms =
        MAX(vm->world->now_ms + 1, cw_time_diff_ms(cw_time_from_ms(0), next));
}

static void
vm_boot(struct vm *vm)
{
    struct world *world = vm->world;
    char *member = g_strdup_printf("vm-%u/%u", vm->index, vm->life);
    struct cw_replica_options replica = {.store = &vm->store,
                                         .clock = &world->clock.base,
                                         .pace_ms = CW_STANDBY_PACE_MS};
    struct cw_entry_options entry = {.store = &vm->store,
                                     .clock = &world->clock.base,
                                     .counters = &vm->counters};
    struct cw_owner_options owner = {.store = &vm->store,
                                     .targets = &vm->targets.base,
                                     .codec = world_codec(),
                                     .clock = &world->clock.base,
                                     .counters = &vm->counters,
                                     .member = member,
                                     .member_ttl_ms = MEMBER_TTL_MS,
                                     .lease_ms = LEASE_MS,
                                     .retain_ms = 600000};

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

static void
vm_kill(struct vm *vm)
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

        call->holds++;
        call_answer(call, CW_STORE_UNKNOWN);
        /* `holds` keeps it until here; the analyser does not see that.
         * NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        call_release(call);
    }
    break_clients(vm);
    cw_owner_free(vm->owner);
    cw_entry_free(vm->entry);
    cw_replica_free(vm->replica);
    vm->cut_until_ms = 0;
    vm->frozen_until_ms = 0;
    vm->life++;
}

static void
vm_restart(struct world *world, void *context)
{
    struct vm *vm = context;

    if (!vm->alive) {
        note(world, "start vm-%u", vm->index);
        vm_boot(vm);
    }
}

static struct vm *
any_vm(struct world *world)
{
    return world->vms->pdata[pick(world, world->vms->len)];
}

/* ---- callers ---- */

static void submit(struct world *world, void *context);
static void cancel(struct world *world, void *context);

static void
on_client_answer(void *context, enum cw_entry_outcome outcome)
{
    struct client_call *call = context;
    struct world *world = call->world;
    struct judge_job *job = call->job;
    bool again = outcome == CW_ENTRY_NOT_DONE || outcome == CW_ENTRY_UNSURE;

    g_ptr_array_remove_fast(call->vm->clients, call);
    if (world->options.trace) {
        printf("t=%" PRId64 " %s id=%s vm=%u outcome=%d\n", world->now_ms,
               call->cancel ? "cancelled" : "submitted", job->id,
               call->vm->index, (int)outcome);
    }
    if (call->cancel) {
        if (outcome == CW_ENTRY_STORED) {
            job->cancel_done = true;
            job->cancel_ms = world->now_ms;
        }
    }
    else {
        job->accepted = job->accepted || outcome == CW_ENTRY_STORED;
        job->refused = job->refused && outcome == CW_ENTRY_NOT_DONE;
        job->possible = job->possible || outcome == CW_ENTRY_UNSURE;
    }
    if (again && call->tries < CLIENT_TRIES) {
        call->tries++;
        schedule(world, between(world, 50, 400),
                 call->cancel ? cancel : submit, call);
        return;
    }
    g_free(call);
}

/* Finds a VM for the call; false if it has to try again later. */
static bool
find_vm(struct world *world, struct client_call *call)
{
    struct vm *vm = any_vm(world);

    if (!vm->alive || vm->frozen_until_ms > world->now_ms) {
        if (++call->tries > 2 * CLIENT_TRIES) {
            g_free(call);
        }
        else {
            schedule(world, 200, call->cancel ? cancel : submit, call);
        }
        return false;
    }
    call->vm = vm;
    g_ptr_array_add(vm->clients, call);
    return true;
}

static char *
copy_text(const char *text)
{
    return strdup(text);
}

static struct cw_work_spec *
copy_spec(const struct cw_work_spec *spec)
{
    struct cw_work_spec *copy = g_new0(struct cw_work_spec, 1);

    *copy = *spec;
    copy->id = copy_text(spec->id);
    copy->queue = copy_text(spec->queue);
    copy->account = copy_text(spec->account);
    copy->service = copy_text(spec->service);
    copy->payload = copy_text(spec->payload);
    copy->steps.steps_val =
        calloc(spec->steps.steps_len, sizeof(struct cw_step_spec));
    for (u_int i = 0; i < spec->steps.steps_len; i++) {
        const struct cw_step_spec *from = &spec->steps.steps_val[i];
        struct cw_step_spec *to = &copy->steps.steps_val[i];

        *to = *from;
        to->label = copy_text(from->label);
        to->data_rack = copy_text(from->data_rack);
        to->image = copy_text(from->image);
        to->after.after_val = calloc(from->after.after_len + 1, sizeof(u_int));
        memcpy(to->after.after_val, from->after.after_val,
               from->after.after_len * sizeof(u_int));
    }
    return copy;
}

static void
submit(struct world *world, void *context)
{
    struct client_call *call = context;
    struct cw_work_spec *spec;

    if (!find_vm(world, call)) {
        return;
    }
    spec = copy_spec(call->job->spec);
    spec->accepted_ms = cw_clock_wall_ms(&world->clock.base);
    cw_entry_submit(call->vm->entry, spec, CLIENT_BUDGET_MS, on_client_answer,
                    call);
}

static void
cancel(struct world *world, void *context)
{
    struct client_call *call = context;
    struct cw_entry_place place = {0};
    char *path;

    if (!find_vm(world, call)) {
        return;
    }
    call->job->cancel_sent = true;
    path =
        g_strdup_printf("/q%u/%s", call->job->spec->priority, call->job->id);
    cw_entry_locate(call->vm->entry, "h", path, "key", &place);
    cw_entry_cancel(call->vm->entry, &place, CLIENT_BUDGET_MS,
                    on_client_answer, call);
    g_free(path);
}

static void
fill_step(struct world *world, struct cw_step_spec *step, unsigned number)
{
    step->tasks = chance(world, 30) ? 1 : between(world, 2, 6);
    step->accelerators = 1U << pick(world, 4);
    step->cpu_milli = 1000;
    step->memory_mb = 1000;
    step->estimate_ms = between(world, 200, 4000);
    step->gang = chance(world, 50);
    step->same_rack = step->gang && chance(world, 50);
    step->checkpoints = chance(world, 40);
    step->label = copy_text("");
    step->data_rack = copy_text("");
    step->image = copy_text("");
    step->after.after_len = number;
    step->after.after_val = calloc(number + 1, sizeof(u_int));
    for (unsigned i = 0; i < number; i++) {
        step->after.after_val[i] = i;
    }
}

static void
new_job(struct world *world, void *context)
{
    struct cw_work_spec *spec = g_new0(struct cw_work_spec, 1);
    struct client_call *call = g_new0(struct client_call, 1);
    unsigned steps = chance(world, 25) ? 2 : 1;
    unsigned fails = chance(world, 15) ? pick(world, 4) : 0;
    char id[32];

    (void)context;
    g_snprintf(id, sizeof(id), "%08x%08x", world->options.seed,
               g_rand_int(world->random));
    spec->id = copy_text(id);
    spec->priority = pick(world, 3);
    spec->queue = g_strdup_printf("q%u", spec->priority);
    spec->account = copy_text("a");
    spec->service = copy_text("s");
    spec->payload = copy_text("work");
    spec->max_attempts = 2;
    spec->stretch_milli = 2000;
    spec->target_latency_ms = 500;
    spec->steps.steps_len = steps;
    spec->steps.steps_val = calloc(steps, sizeof(struct cw_step_spec));
    for (unsigned i = 0; i < steps; i++) {
        fill_step(world, &spec->steps.steps_val[i], i);
    }
    call->world = world;
    call->job =
        judge_add(world->judge, spec, between(world, 300, 5000), fails);
    submit(world, call);
    if (chance(world, 15)) {
        struct client_call *stop = g_new0(struct client_call, 1);

        stop->world = world;
        stop->job = call->job;
        stop->cancel = true;
        schedule(world, between(world, 5, 6000), cancel, stop);
    }
}

/* ---- faults ---- */

static void
fault_kill(struct world *world)
{
    struct vm *vm = any_vm(world);

    note(world, "kill vm-%u", vm->index);
    disturb(world, 4000);
    vm_kill(vm);
    schedule(world, between(world, 100, 3000), vm_restart, vm);
}

static void
fault_kill_all(struct world *world)
{
    unsigned down_ms = between(world, 200, 4000);

    note(world, "kill all for %u", down_ms);
    disturb(world, down_ms + 4000);
    for (guint i = 0; i < world->vms->len; i++) {
        vm_kill(world->vms->pdata[i]);
        schedule(world, down_ms + pick(world, 300), vm_restart,
                 world->vms->pdata[i]);
    }
}

static void
fault_freeze(struct world *world)
{
    struct vm *vm = any_vm(world);
    unsigned ms = between(world, 500, 7000);

    note(world, "freeze vm-%u for %u", vm->index, ms);
    disturb(world, ms);
    vm->frozen_until_ms = world->now_ms + ms;
}

static void
fault_cut_vm(struct world *world)
{
    struct vm *vm = any_vm(world);
    unsigned ms = between(world, 1000, 9000);

    note(world, "cut vm-%u for %u", vm->index, ms);
    disturb(world, ms);
    vm->cut_until_ms = world->now_ms + ms;
}

static void
fault_store_down(struct world *world)
{
    unsigned ms = between(world, 1000, 7000);

    world->store_busy = chance(world, 50);
    note(world, "store down for %u busy %d", ms, world->store_busy);
    disturb(world, ms);
    world->store_down_until_ms = world->now_ms + ms;
}

static void
fault_store_slow(struct world *world)
{
    note(world, "store slow");
    disturb(world, 5000);
    world->store_slow_until_ms = world->now_ms + 5000;
}

static void
fault_lost(struct world *world)
{
    world->lost_percent = between(world, 10, 50);
    world->lost_late = chance(world, 50);
    note(world, "lose %u%% late %d", world->lost_percent, world->lost_late);
    disturb(world, 10000);
    world->lost_until_ms = world->now_ms + 4000;
}

static void
fault_compact(struct world *world)
{
    note(world, "compact");
    store_model_compact(world->store, CW_WORK_TOPIC);
    store_model_compact(world->store, TARGETS_TOPIC);
}

static void
fault_deal(struct world *world)
{
    note(world, "deal");
    disturb(world, 1000);
    store_model_deal(world->store, pick(world, 100), world->clock.now);
}

static struct worker_model *
any_worker(struct world *world)
{
    return worker_fleet_at(world->fleet,
                           pick(world, worker_fleet_size(world->fleet)));
}

static void
fault_cut_worker(struct world *world)
{
    unsigned ms = between(world, 1000, 12000);

    disturb(world, ms);
    for (unsigned i = between(world, 1, 3); i > 0; i--) {
        const char *id = worker_model_id(any_worker(world));

        note(world, "cut %s for %u", id, ms);
        g_hash_table_insert(world->cut_workers, (gpointer)id,
                            GINT_TO_POINTER((gint)(world->now_ms + ms)));
    }
}

static void
fault_crash_worker(struct world *world)
{
    struct worker_model *worker = any_worker(world);
    char *id = g_strdup_printf("w-%u-%u", worker_fleet_size(world->fleet),
                               pick(world, 1000));

    note(world, "crash %s", worker_model_id(worker));
    disturb(world, 8000);
    worker_model_crash(worker);
    worker_fleet_add(world->fleet, id, worker_model_rack(worker),
                     worker_model_capacity(worker), pick(world, 100000) + 1);
    g_free(id);
}

static void
fault_orders_late(struct world *world)
{
    note(world, "orders late");
    disturb(world, 14000);
    world->orders_late_until_ms = world->now_ms + 4000;
}

static void
fault_hang(struct world *world)
{
    struct worker_model *worker = any_worker(world);

    note(world, "hang %s", worker_model_id(worker));
    disturb(world, 6000);
    worker_model_set_speed(worker, 0);
}

static void
fault_drain(struct world *world)
{
    const char *id = worker_model_id(any_worker(world));

    note(world, "drain %s", id);
    g_hash_table_add(world->draining, (gpointer)id);
}

static void
vm_quit(struct world *world, void *context)
{
    struct vm *vm = context;

    if (vm->alive && vm->leaving) {
        vm_kill(vm);
        schedule(world, 200, vm_restart, vm);
    }
}

static void
fault_leave(struct world *world)
{
    struct vm *vm = any_vm(world);

    if (!vm->alive || vm->leaving) {
        return;
    }
    note(world, "leave vm-%u", vm->index);
    disturb(world, 3000);
    vm->leaving = true;
    cw_entry_leave(vm->entry);
    cw_owner_leave(vm->owner);
    schedule(world, 2600, vm_quit, vm);
}

static void
strike(struct world *world, void *context)
{
    static void (*const faults[])(struct world *) = {
        fault_kill,       fault_kill_all,     fault_freeze,
        fault_cut_vm,     fault_store_down,   fault_store_slow,
        fault_lost,       fault_compact,      fault_deal,
        fault_cut_worker, fault_crash_worker, fault_orders_late,
        fault_hang,       fault_drain,        fault_leave,
    };

    (void)context;
    faults[pick(world, G_N_ELEMENTS(faults))](world);
}

/* Everything works again from here on. */
static void
heal(struct world *world, void *context)
{
    (void)context;
    note(world, "heal");
    world->store_down_until_ms = 0;
    world->lost_until_ms = 0;
    world->orders_late_until_ms = 0;
    g_hash_table_remove_all(world->cut_workers);
    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];

        vm->cut_until_ms = 0;
        vm->frozen_until_ms = 0;
    }
    for (unsigned i = 0; i < worker_fleet_size(world->fleet); i++) {
        worker_model_set_speed(worker_fleet_at(world->fleet, i), 1);
    }
}

/* ---- workers' reports ---- */

static bool
decode_report(const char *id, const void *text, size_t length,
              void (*take)(void *, const struct cw_target_report *),
              void *context)
{
    char *copy = g_strndup(text, length);
    char rack[32];
    int draining = 0;
    struct cw_target_report report = {
        .id = id, .service = "s", .address = id, .dc = "d", .kind = "k"};
    bool ok =
        sscanf(copy, "%31s %" SCNd64 " %" SCNd64 " %" SCNd64 " %d %" SCNd64,
               rack, &report.capacity.cpu_milli, &report.capacity.memory_mb,
               &report.capacity.accelerators, &draining,
               &report.clock_ms) == 6;

    report.rack = rack;
    report.draining = draining != 0;
    if (ok) {
        take(context, &report);
    }
    g_free(copy);
    return ok;
}

static const struct cw_codec *
world_codec(void)
{
    static const struct cw_codec codec = {
        .targets_topic = TARGETS_TOPIC,
        .decode_target = decode_report,
    };

    return &codec;
}

static void
report(struct world *world, void *context)
{
    (void)context;
    for (unsigned i = 0; i < worker_fleet_size(world->fleet); i++) {
        struct worker_model *worker = worker_fleet_at(world->fleet, i);
        const char *id = worker_model_id(worker);
        const struct cw_resources *has = worker_model_capacity(worker);
        char text[160];
        struct cw_store_record record = {.key = id, .value = text};
        struct cw_store_append append = {
            .topic = TARGETS_TOPIC, .records = &record, .count = 1};

        g_snprintf(
            text, sizeof(text), "%s %" PRId64 " %" PRId64 " %" PRId64 " %d 0",
            worker_model_rack(worker), has->cpu_milli, has->memory_mb,
            has->accelerators, g_hash_table_contains(world->draining, id));
        record.length = strlen(text);
        if (worker_model_dead(worker)) {
            record.value = NULL;
        }
        store_model_append(world->store, &append);
    }
    schedule(world, TARGETS_REPORT_MS, report, NULL);
}

/* ---- looking ---- */

static void
look(struct world *world, void *context)
{
    GPtrArray *jobs = judge_jobs(world->judge);

    (void)context;
    for (guint v = 0; v < world->vms->len; v++) {
        struct vm *vm = world->vms->pdata[v];

        for (guint i = 0; vm->alive && i < jobs->len; i++) {
            const struct judge_job *job = jobs->pdata[i];
            const struct cw_replica_job *known =
                cw_replica_find(vm->replica, job->id);

            if (known != NULL && known->spec != NULL) {
                judge_shown(world->judge, job->id, cw_replica_phase(known));
            }
        }
    }
    schedule(world, LOOK_EVERY_MS, look, NULL);
}

static void
look_finally(struct world *world)
{
    GPtrArray *jobs = judge_jobs(world->judge);

    for (guint i = 0; i < jobs->len; i++) {
        const struct judge_job *job = jobs->pdata[i];
        struct vm *vm = any_vm(world);
        const struct cw_replica_job *known =
            vm->alive ? cw_replica_find(vm->replica, job->id) : NULL;
        int phase = known != NULL && known->spec != NULL
                        ? (int)cw_replica_phase(known)
                        : -1;

        judge_final(world->judge, job, phase);
    }
}

/* ---- the workers' listener ---- */

static bool
on_plan(void *context, const struct cw_task_name *task, struct task_plan *out)
{
    struct world *world = context;

    return judge_plan(world->judge, task, out);
}

static void
on_started(void *context, const char *worker, const struct cw_task_name *task,
           unsigned run)
{
    struct world *world = context;

    if (world->options.trace) {
        printf("t=%" PRId64 " started %s.%u.%u.%u run=%u on %s\n",
               world->now_ms, task->job, task->occurrence, task->step,
               task->index, run, worker);
    }
    judge_started(world->judge, task, run, world->now_ms, calm(world));
}

static void
on_ended(void *context, const char *worker, const struct cw_task_name *task,
         unsigned run, enum cw_end_kind how)
{
    struct world *world = context;

    if (world->options.trace) {
        printf("t=%" PRId64 " ended %s.%u.%u.%u run=%u on %s %s\n",
               world->now_ms, task->job, task->occurrence, task->step,
               task->index, run, worker, cw_end_kind_name(how));
    }
    judge_ended(world->judge, task, run, how, calm(world));
}

static void
on_confirmed(void *context, const char *worker,
             const struct cw_task_name *task, unsigned run,
             enum cw_end_kind how, bool lapsed)
{
    struct world *world = context;

    (void)worker;
    judge_confirmed(world->judge, task, run, how, lapsed);
}

/* ---- a day ---- */

static struct cw_routing *
make_routing(void)
{
    struct cw_routing *routing = cw_routing_new();
    struct cw_account *account = cw_routing_add_account(routing);

    routing->version = 1;
    account->name = g_strdup("a");
    account->guaranteed_accelerators = 64;
    g_ptr_array_add(account->keys, g_strdup("key"));
    for (unsigned i = 0; i < 3; i++) {
        struct cw_queue *queue = cw_routing_add_queue(routing);

        queue->name = g_strdup_printf("q%u", i);
        queue->host = g_strdup("");
        queue->prefix = g_strdup_printf("/q%u/", i);
        queue->service = g_strdup("s");
        queue->priority = i;
        queue->max_attempts = 2;
    }
    cw_routing_seal(routing);
    return routing;
}

static void
build(struct world *world)
{
    const struct cw_resources capacity = {
        .cpu_milli = 32000, .memory_mb = 65536, .accelerators = 8};
    struct worker_listener listener = {.plan = on_plan,
                                       .started = on_started,
                                       .ended = on_ended,
                                       .confirmed = on_confirmed,
                                       .context = world};

    cw_clock_manual_init(&world->clock);
    world->random = g_rand_new_with_seed(world->options.seed);
    world->events = g_ptr_array_new();
    world->store = store_model_create(1);
    world->fleet = worker_fleet_create(&listener);
    world->judge = judge_create();
    world->routing = make_routing();
    world->faults = g_string_new(NULL);
    world->cut_workers = g_hash_table_new(g_str_hash, g_str_equal);
    world->draining = g_hash_table_new(g_str_hash, g_str_equal);
    for (unsigned i = 0; i < world->options.workers; i++) {
        char id[32];
        char rack[32];

        g_snprintf(id, sizeof(id), "w-%u", i);
        g_snprintf(rack, sizeof(rack), "r%u", i / 4);
        worker_fleet_add(world->fleet, id, rack, &capacity,
                         1000 + pick(world, 100000));
    }
    world->vms = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < world->options.vms; i++) {
        struct vm *vm = g_new0(struct vm, 1);

        vm->store.ops = &store_port;
        vm->targets.base.ops = &targets_port;
        vm->targets.vm = vm;
        vm->world = world;
        vm->index = i;
        vm->calls = g_ptr_array_new();
        vm->clients = g_ptr_array_new();
        g_ptr_array_add(world->vms, vm);
        vm_boot(vm);
    }
}

static void
plan_day(struct world *world)
{
    const struct world_options *options = &world->options;
    unsigned faults = pick(world, options->faults + 1);

    schedule(world, 0, report, NULL);
    schedule(world, LOOK_EVERY_MS, look, NULL);
    for (unsigned i = 0; i < options->jobs; i++) {
        schedule(world, between(world, 2000, options->day_ms), new_job, NULL);
    }
    for (unsigned i = 0; i < faults; i++) {
        schedule(world, between(world, 1500, options->day_ms), strike, NULL);
    }
    schedule(world, options->day_ms + 1000, heal, NULL);
}

/* The earliest VM that wants a tick, and when; NULL if none lives. */
static struct vm *
next_vm(struct world *world, int64_t *at_ms)
{
    struct vm *best = NULL;

    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];
        int64_t due_ms = MAX(vm->due_ms, vm->frozen_until_ms);

        if (vm->alive && (best == NULL || due_ms < *at_ms)) {
            best = vm;
            *at_ms = due_ms;
        }
    }
    return best;
}

static void
set_now(struct world *world, int64_t now_ms)
{
    if (now_ms > world->now_ms) {
        world->now_ms = now_ms;
        world->clock.now = cw_time_from_ms(now_ms);
        worker_fleet_advance(world->fleet, now_ms);
    }
}

static void
run_until(struct world *world, int64_t end_ms)
{
    while (judge_violation(world->judge) == NULL) {
        int64_t vm_ms = INT64_MAX;
        struct vm *vm = next_vm(world, &vm_ms);
        int64_t event_ms =
            world->events->len > 0
                ? ((struct event *)world->events->pdata[0])->at_ms
                : INT64_MAX;

        if (MIN(vm_ms, event_ms) > end_ms) {
            return;
        }
        if (event_ms <= vm_ms) {
            struct event *event = pop_event(world);

            set_now(world, event->at_ms);
            event->run(world, event->context);
            g_free(event);
        }
        else {
            set_now(world, vm_ms);
            vm_tick(vm);
        }
    }
}

static void
tear_down(struct world *world)
{
    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];

        vm_kill(vm);
        g_ptr_array_unref(vm->calls);
        g_ptr_array_unref(vm->clients);
    }
    while (world->events->len > 0) {
        struct event *event = pop_event(world);

        /* Only what owns its context needs to run once more. */
        if (event->run == deliver || event->run == time_out ||
            event->run == refuse || event->run == arrive ||
            event->run == arrive_order || event->run == apply_late)
        {
            call_release(event->context);
        }
        else if (event->run == submit || event->run == cancel) {
            g_free(event->context);
        }
        g_free(event);
    }
    g_ptr_array_unref(world->events);
    g_ptr_array_unref(world->vms);
    g_hash_table_unref(world->cut_workers);
    g_hash_table_unref(world->draining);
    worker_fleet_free(world->fleet);
    store_model_free(world->store);
    judge_free(world->judge);
    cw_routing_unref(world->routing);
    g_rand_free(world->random);
}

struct world_options
world_standard_day(uint32_t seed)
{
    struct world_options day = {.seed = seed,
                                .vms = 4,
                                .workers = 12,
                                .jobs = 40,
                                .day_ms = 30000,
                                .quiet_ms = 60000,
                                .faults = 7};

    return day;
}

void
world_play(const struct world_options *options, struct world_result *result)
{
    struct world world = {.options = *options};

    memset(result, 0, sizeof(*result));
    build(&world);
    if (options->trace) {
        cw_log_set_clock(&world.clock.base);
    }
    plan_day(&world);
    run_until(&world, (int64_t)options->day_ms + options->quiet_ms);
    if (judge_violation(world.judge) == NULL) {
        look_finally(&world);
    }
    result->violation = g_strdup(judge_violation(world.judge));
    result->counts = judge_counts(world.judge);
    for (guint i = 0; i < world.vms->len; i++) {
        result->takeovers += ((struct vm *)world.vms->pdata[i])->takeovers;
    }
    tear_down(&world);
    result->faults = g_string_free(world.faults, FALSE);
}

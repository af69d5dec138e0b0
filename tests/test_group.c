/* Which VMs join the group whose members are assigned the shard, and when a VM
 * that takes the shard over fences the present owner.  Guards against a weak
 * VM that owns the shard while a strong one could, and against a shard without
 * an owner. */
#include "test_main.h"

#include "owner_cluster.h"
#include "platform/platform.h"
#include "fake_store.h"

enum { WEAK_MILLI = 120, STRONG_MILLI = 500, STEP_MS = 100 };

/* A VM that is not a member of the group yet; its joins and leaves, and the
 * fencing appends, are counted. */
struct vm {
    struct fake_store store;
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct cw_replica *replica;
    struct cw_owner *owner;
    unsigned joins;
    unsigned leaves;
    unsigned fences;
    bool assigned; /* the group has assigned the shard to this VM */
};

static struct vm *current;

static void
on_join(struct cw_store *store, const struct cw_store_join *call)
{
    static const unsigned shard = 0;
    struct cw_store_join_result result = {
        .status = CW_STORE_OK,
        .generation = 1,
        .partitions = &shard,
        .count = current->owner->partition_assigned || current->assigned};

    (void)store;
    current->joins++;
    call->done(call->context, &result);
}

static void
on_leave(struct cw_store *store, const struct cw_store_leave *call)
{
    (void)store;
    current->leaves++;
    call->done(call->context, CW_STORE_OK);
}

static void
vm_begin(struct vm *vm, unsigned capacity_milli)
{
    static struct cw_store_ops ops;
    struct cw_replica_options replica = {.clock = &vm->clock.base,
                                         .store = &vm->store.base};
    struct cw_owner_options options = {.codec = platform_codec(),
                                       .clock = &vm->clock.base,
                                       .counters = &vm->counters,
                                       .store = &vm->store.base,
                                       .vm = "this",
                                       .member = "m",
                                       .member_ttl_ms = 1000,
                                       .lease_ms = 6000,
                                       .capacity_milli = capacity_milli};

    memset(vm, 0, sizeof(*vm));
    cw_log_setup("error", "test");
    ops = fake_store_ops;
    ops.join = on_join;
    ops.leave = on_leave;
    vm->store.base.ops = &ops;
    vm->store.model = store_model_create(1);
    cw_clock_manual_init(&vm->clock);
    vm->clock.now = cw_time_from_ms(START_MS);
    vm->replica = cw_replica_create(&replica);
    options.replica = vm->replica;
    vm->owner = cw_owner_create(&options);
    current = vm;
}

static void
vm_end(struct vm *vm)
{
    cw_owner_free(vm->owner);
    cw_replica_free(vm->replica);
    store_model_free(vm->store.model);
}

static void
put(struct vm *vm, const char *key, const GByteArray *value)
{
    struct cw_store_record record = {
        .key = key, .value = value->data, .length = value->len};
    struct cw_store_append append = {
        .topic = CW_JOBS_TOPIC, .records = &record, .count = 1};

    store_model_append(vm->store.model, &append);
}

static void
announce(struct vm *vm, const char *name, unsigned capacity_milli)
{
    struct cw_vm_record value = {.capacity_milli = capacity_milli};
    GByteArray *bytes = cw_xdr_encode((xdrproc_t)xdr_cw_vm_record, &value);
    char *key = cw_work_key(CW_WORK_KEY_VM, name);

    put(vm, key, bytes);
    g_free(key);
    g_byte_array_unref(bytes);
}

/* Announces as many strong VMs as are never weak. */
static void
announce_strong(struct vm *vm)
{
    announce(vm, "other", STRONG_MILLI);
    announce(vm, "second", STRONG_MILLI);
    announce(vm, "third", STRONG_MILLI);
}

static void
beat(struct vm *vm, const char *key)
{
    struct cw_beat_record value = {.vm = (char *)"other", .epoch = 1};
    GByteArray *bytes = cw_xdr_encode((xdrproc_t)xdr_cw_beat_record, &value);

    put(vm, key, bytes);
    g_byte_array_unref(bytes);
}

static void
heartbeat(struct vm *vm)
{
    beat(vm, "bowner");
}

/* Another VM becomes the owner. */
static void
begin_epoch(struct vm *vm)
{
    struct cw_epoch_record value = {.epoch = 1, .lease_ms = 6000};
    GByteArray *bytes = cw_xdr_encode((xdrproc_t)xdr_cw_epoch_record, &value);

    put(vm, "oother", bytes);
    g_byte_array_unref(bytes);
}

/* Lets time pass; another VM's owner writes every 500 ms if `owned`. */
static void
run(struct vm *vm, int64_t ms, bool owned)
{
    for (int64_t passed = 0; passed < ms; passed += STEP_MS) {
        if (owned && passed % 500 == 0) {
            heartbeat(vm);
        }
        vm->clock.now = cw_time_add_ms(vm->clock.now, STEP_MS);
        cw_follower_tick(cw_replica_follower(vm->replica), vm->clock.now);
        owner_group_tick(vm->owner, vm->clock.now);
    }
}

static void
test_equal_vms_join_once_they_have_read(void)
{
    struct vm vm;

    vm_begin(&vm, STRONG_MILLI);
    announce(&vm, "other", STRONG_MILLI);
    vm.store.answer_status = CW_STORE_NOT_EXECUTED;
    run(&vm, 1000, false);
    CU_ASSERT_EQUAL(vm.joins, 0);
    vm.store.answer_status = CW_STORE_OK;
    run(&vm, 1000, true);
    CU_ASSERT_TRUE(vm.joins > 1);
    CU_ASSERT_EQUAL(vm.leaves, 0);
    vm_end(&vm);
}

static void
test_a_weak_vm_stays_out_while_an_owner_writes(void)
{
    struct vm vm;

    vm_begin(&vm, WEAK_MILLI);
    announce_strong(&vm);
    run(&vm, 20000, true);
    CU_ASSERT_EQUAL(vm.joins, 0);
    vm_end(&vm);
}

static void
test_a_weak_vm_joins_when_no_owner_is_active(void)
{
    struct vm vm;

    vm_begin(&vm, WEAK_MILLI);
    announce_strong(&vm);
    run(&vm, 1000, true);
    run(&vm, 2000, false);
    CU_ASSERT_EQUAL(vm.joins, 0);
    run(&vm, 3000, false);
    CU_ASSERT_TRUE(vm.joins > 0);
    vm_end(&vm);
}

/* The store was unavailable to the owner as well: that no record of it arrived
 * does not mean that none is active. */
static void
test_time_without_reading_does_not_count(void)
{
    struct vm vm;

    vm_begin(&vm, WEAK_MILLI);
    announce_strong(&vm);
    run(&vm, 1000, true);
    vm.store.answer_status = CW_STORE_NOT_EXECUTED;
    run(&vm, 10000, false);
    vm.store.answer_status = CW_STORE_OK;
    run(&vm, 2000, false);
    CU_ASSERT_EQUAL(vm.joins, 0);
    run(&vm, 3000, false);
    CU_ASSERT_TRUE(vm.joins > 0);
    vm_end(&vm);
}

static void
test_a_weak_owner_leaves_when_a_stronger_vm_starts(void)
{
    struct vm vm;

    vm_begin(&vm, WEAK_MILLI);
    announce_strong(&vm);
    run(&vm, 5000, false);
    CU_ASSERT_TRUE(vm.joins > 0);
    vm.owner->partition_assigned = true;
    run(&vm, 5000, true);
    CU_ASSERT_EQUAL(vm.leaves, 0);
    announce(&vm, "other", STRONG_MILLI); /* it was restarted */
    vm.joins = 0;
    run(&vm, 2000, true); /* no other VM has fenced it yet */
    CU_ASSERT_EQUAL(vm.leaves, 1);
    CU_ASSERT_TRUE(vm.joins <= 2); /* before it read the announcement */
    vm.owner->partition_assigned = false;
    vm.joins = 0;
    run(&vm, 5000, true);
    CU_ASSERT_EQUAL(vm.joins, 0);
    vm_end(&vm);
}

/* When all VMs start at the same time, none has read another's announcement.
 */
static void
test_a_member_leaves_when_it_reads_that_it_is_weak(void)
{
    struct vm vm;

    vm_begin(&vm, WEAK_MILLI);
    run(&vm, 500, false);
    CU_ASSERT_TRUE(vm.joins > 0);
    announce_strong(&vm);
    run(&vm, 500, true);
    CU_ASSERT_EQUAL(vm.leaves, 1);
    vm_end(&vm);
}

/* The three strongest VMs are never weak, however much they differ. */
static void
test_some_vms_are_never_weak(void)
{
    struct vm vm;

    vm_begin(&vm, WEAK_MILLI);
    announce(&vm, "other", STRONG_MILLI);
    announce(&vm, "second", STRONG_MILLI);
    run(&vm, 1000, true);
    CU_ASSERT_TRUE(vm.joins > 0);
    announce(&vm, "third", STRONG_MILLI);
    run(&vm, 500, true);
    CU_ASSERT_EQUAL(vm.leaves, 1);
    vm_end(&vm);
}

static void
test_a_vm_announces_itself_once_and_again_if_refused(void)
{
    struct vm vm;

    vm_begin(&vm, STRONG_MILLI);
    run(&vm, 300, false);
    CU_ASSERT_EQUAL(vm.store.appends, 1);
    run(&vm, 3000, false);
    CU_ASSERT_EQUAL(vm.store.appends, 1);
    vm_end(&vm);
}

/* Heartbeats take some of the store's request rate, so that none are sent
 * where no VM is weak. */
static void
test_heartbeats_are_due_only_where_a_vm_is_weak(void)
{
    struct vm vm;

    vm_begin(&vm, STRONG_MILLI);
    announce_strong(&vm);
    run(&vm, 2000, false);
    CU_ASSERT_FALSE(owner_candidacy_heartbeat_due(vm.owner, vm.clock.now));
    announce(&vm, "small", WEAK_MILLI);
    run(&vm, 500, false);
    CU_ASSERT_TRUE(owner_candidacy_heartbeat_due(vm.owner, vm.clock.now));
    owner_log_open(vm.owner->jobs_log, 1); /* the owner has just written */
    CU_ASSERT_FALSE(owner_candidacy_heartbeat_due(vm.owner, vm.clock.now));
    vm_end(&vm);
}

/* Counts appends that set an epoch and have no record. */
static void
count_fences(struct cw_store *store, const struct cw_store_append *call)
{
    current->fences += call->count == 0;
    fake_store_append(store, call);
}

static void
tick_owner(struct vm *vm, unsigned times)
{
    for (unsigned i = 0; i < times; i++) {
        vm->clock.now = cw_time_add_ms(vm->clock.now, 1);
        cw_follower_tick(cw_replica_follower(vm->replica), vm->clock.now);
        cw_owner_tick(vm->owner, vm->clock.now);
    }
}

/* The present owner is active until it is fenced, so the next one fences it
 * only after it has read the logs. */
static void
test_a_vm_that_is_behind_reads_before_it_fences_the_owner(void)
{
    struct vm vm;

    vm_begin(&vm, STRONG_MILLI);
    ((struct cw_store_ops *)vm.store.base.ops)->append = count_fences;
    tick_owner(&vm, 20);
    for (unsigned i = 0; i < 500; i++) {
        heartbeat(&vm);
    }
    vm.store.page_records_max =
        1; /* with one record per answer the VM stays far behind */
    vm.owner->generation = 7;
    owner_take_over(vm.owner, vm.clock.now);
    tick_owner(&vm, 300);
    CU_ASSERT_EQUAL(vm.fences, 0);
    vm.store.page_records_max = 0;
    tick_owner(&vm, 300);
    CU_ASSERT_EQUAL(vm.fences, 2); /* one per log: states, jobs */
    CU_ASSERT_TRUE(cw_owner_active(vm.owner));
    vm_end(&vm);
}

/* Begins with a VM that the group assigns the shard 500 ms after another VM
 * has taken it over. */
static void
begin_beside_new_owner(struct vm *vm)
{
    vm_begin(vm, STRONG_MILLI);
    begin_epoch(vm);
    run(vm, 500, true);
    vm->assigned = true;
    run(vm, 500, true);
    CU_ASSERT_EQUAL(vm->owner->state, OWNER_IDLE);
}

/* Guards against two takeovers in a row after an outage of the store. */
static void
test_a_shard_that_has_just_settled_stays(void)
{
    struct vm vm;

    begin_beside_new_owner(&vm);
    run(&vm, 4000, true);
    CU_ASSERT_EQUAL(vm.owner->state, OWNER_IDLE);
    run(&vm, 2000, true);
    CU_ASSERT_NOT_EQUAL(vm.owner->state, OWNER_IDLE);
    vm_end(&vm);
}

/* Guards against a shard without an owner while a VM waits for one that was
 * lost. */
static void
test_an_owner_that_falls_silent_is_replaced(void)
{
    struct vm vm;

    begin_beside_new_owner(&vm);
    run(&vm, 1300, false);
    CU_ASSERT_NOT_EQUAL(vm.owner->state, OWNER_IDLE);
    vm_end(&vm);
}

/* Guards against a VM that shuts down and is waited for. */
static void
test_an_owner_that_leaves_is_replaced_at_once(void)
{
    struct vm vm;

    begin_beside_new_owner(&vm);
    beat(&vm, "bleaves");
    run(&vm, 300, false);
    CU_ASSERT_NOT_EQUAL(vm.owner->state, OWNER_IDLE);
    vm_end(&vm);
}

static const struct test tests[] = {
    {"settled", test_a_shard_that_has_just_settled_stays},
    {"falls silent", test_an_owner_that_falls_silent_is_replaced},
    {"leaves", test_an_owner_that_leaves_is_replaced_at_once},
    {"reads first", test_a_vm_that_is_behind_reads_before_it_fences_the_owner},
    {"equal", test_equal_vms_join_once_they_have_read},
    {"stays out", test_a_weak_vm_stays_out_while_an_owner_writes},
    {"joins", test_a_weak_vm_joins_when_no_owner_is_active},
    {"not reading", test_time_without_reading_does_not_count},
    {"weak owner leaves", test_a_weak_owner_leaves_when_a_stronger_vm_starts},
    {"reads that it is weak",
     test_a_member_leaves_when_it_reads_that_it_is_weak},
    {"never weak", test_some_vms_are_never_weak},
    {"announces", test_a_vm_announces_itself_once_and_again_if_refused},
    {"heartbeats", test_heartbeats_are_due_only_where_a_vm_is_weak},
};

TEST_MAIN("group", tests)

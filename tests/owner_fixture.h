/* A VM with an in-process store and a worker that answers only when a test
 * requests it, for tests of takeovers. */
#ifndef CURLEWCART_TESTS_OWNER_FIXTURE_H
#define CURLEWCART_TESTS_OWNER_FIXTURE_H

#include "curlewcart/cw_record.h"
#include "owner_cluster.h"
#include "platform/platform.h"
#include "fake_store.h"
#include "work_spec.h"

#define ID "5c0e7a21d94b36f8"

enum {
    TASKS = 40,
    RUN = 3,
    STEP_MS = 10,
    EPOCH = 1,
    WORKER_CLOCK_MS = 50000, /* the worker's clock in its answers */
    LEASE_MS = 6000,
    /* The bound on leases of an earlier owner, from the takeover on: 6 s in
     * which it may extend them, a lease with clock drift, and 0.5 s in which
     * an order may arrive. */
    FIRST_BOUND_MS = 6000 + LEASE_MS + 120 + 500
};

struct fixture {
    struct fake_store store;
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct cw_replica *replica;
    struct cw_owner *owner;
    unsigned state_reads; /* reads and loads of the topic of states */
    bool log_grows; /* two records are appended before each read of jobs */
    unsigned generation;       /* of the group: one for each process of a VM */
    bool job_reads_unanswered; /* reads of the log of jobs are not answered */
    bool joins_unanswered;     /* joins of the group are not answered */
    const char *vm;            /* name of the VM */
};

static struct fixture *current;

static inline void put(struct fixture *fixture, const char *topic,
                       const char *key, GByteArray *value);

static inline void
append_cancellation(struct fixture *fixture, const char *topic)
{
    GByteArray *value = g_byte_array_new();

    g_byte_array_append(value, (const guint8 *)"1", 1);
    put(fixture, topic, "c" ID ".1", value);
    g_byte_array_unref(value);
}

static const struct cw_store_page unanswered_read = {.status =
                                                         CW_STORE_UNKNOWN};

static inline void
count_read(struct cw_store *store, const struct cw_store_read *call)
{
    current->state_reads += strcmp(call->topic, CW_STATE_TOPIC) == 0;
    if (current->log_grows && strcmp(call->topic, CW_JOBS_TOPIC) == 0) {
        append_cancellation(current, call->topic);
        append_cancellation(current, call->topic);
    }
    if (current->job_reads_unanswered &&
        strcmp(call->topic, CW_JOBS_TOPIC) == 0) {
        call->done(call->context, &unanswered_read);
        return;
    }
    fake_store_read(store, call);
}

static inline void
count_newest(struct cw_store *store, const struct cw_store_read_newest *call)
{
    current->state_reads += strcmp(call->topic, CW_STATE_TOPIC) == 0;
    fake_store_newest(store, call);
}

static inline void
on_join(struct cw_store *store, const struct cw_store_join *call)
{
    static const unsigned shard = 0;
    struct cw_store_join_result result = {
        .status = CW_STORE_OK,
        .generation = current->generation,
        .partitions = &shard,
        .count = current->owner->partition_assigned};

    (void)store;
    if (current->joins_unanswered) {
        result = (struct cw_store_join_result){.status = CW_STORE_UNKNOWN};
    }
    call->done(call->context, &result);
}

/* Starts a VM with empty state, which then reads the store. */
static inline void
vm_begin(struct fixture *fixture)
{
    static const struct cw_targets_ops orders = {.order = record_order};
    static struct cw_targets targets = {.ops = &orders};
    struct cw_replica_options replica = {.clock = &fixture->clock.base,
                                         .store = &fixture->store.base};
    struct cw_owner_options options = {.codec = platform_codec(),
                                       .clock = &fixture->clock.base,
                                       .counters = &fixture->counters,
                                       .store = &fixture->store.base,
                                       .targets = &targets,
                                       .vm = fixture->vm,
                                       .member = "m",
                                       .member_ttl_ms = 1000,
                                       .lease_ms = LEASE_MS,
                                       .retain_ms = 100000};

    fixture->replica = cw_replica_create(&replica);
    options.replica = fixture->replica;
    fixture->owner = cw_owner_create(&options);
}

static inline void
vm_end(struct fixture *fixture)
{
    answer_remaining();
    cw_owner_free(fixture->owner);
    cw_replica_free(fixture->replica);
}

static inline void
fixture_begin(struct fixture *fixture)
{
    static struct cw_store_ops ops;

    memset(fixture, 0, sizeof(*fixture));
    fixture->generation = EPOCH;
    fixture->vm = "this";
    cw_log_setup("error", "test");
    ops = fake_store_ops;
    ops.join = on_join;
    ops.read = count_read;
    ops.newest = count_newest;
    fixture->store.base.ops = &ops;
    fixture->store.model = store_model_create(1);
    cw_clock_manual_init(&fixture->clock);
    fixture->clock.now = cw_time_from_ms(START_MS);
    vm_begin(fixture);
    current = fixture;
}

static inline void
fixture_end(struct fixture *fixture)
{
    vm_end(fixture);
    store_model_free(fixture->store.model);
}

static inline void
put(struct fixture *fixture, const char *topic, const char *key,
    GByteArray *value)
{
    struct cw_store_record record = {
        .key = key, .value = value->data, .length = value->len};
    struct cw_store_append append = {
        .topic = topic, .records = &record, .count = 1};

    store_model_append(fixture->store.model, &append);
}

/* Stores a record of the topic of jobs. */
static inline void
put_record(struct fixture *fixture, const char *key, xdrproc_t encode,
           const void *value)
{
    GByteArray *bytes = cw_xdr_encode(encode, value);

    put(fixture, CW_JOBS_TOPIC, key, bytes);
    g_byte_array_unref(bytes);
}

static inline void
put_spec_accepted_at(struct fixture *fixture, int64_t accepted_ms)
{
    const struct work_spec_options options = {.id = ID,
                                              .tasks = TASKS,
                                              .accelerators = 1,
                                              .max_attempts = 2,
                                              .stretch_milli = 2000,
                                              .accepted_ms = accepted_ms};
    GByteArray *bytes = work_spec_encode(&options);

    put(fixture, CW_JOBS_TOPIC, "s" ID, bytes);
    g_byte_array_unref(bytes);
}

static inline void
put_spec(struct fixture *fixture)
{
    put_spec_accepted_at(fixture, 0);
}

/* Stores a state in which each task has a run on the worker "w", which has
 * this address ("": not known). */
static inline void
put_state_at(struct fixture *fixture, const char *topic, unsigned phase,
             const char *address)
{
    static char *workers[] = {(char *)"w"};
    char *addresses[] = {(char *)address};
    struct cw_task_record tasks[TASKS] = {0};
    struct cw_step_record step = {0};
    struct cw_occurrence_record occurrence = {0};
    struct cw_work_record record = {.phase = phase,
                                    .started = true,
                                    .next_occurrence = 1,
                                    .begun = true,
                                    .result = (char *)""};
    GByteArray *bytes;

    for (unsigned i = 0; i < TASKS; i++) {
        tasks[i].worker = 1;
        tasks[i].run = RUN;
        tasks[i].saved = (char *)"";
    }
    step.tasks.tasks_len = TASKS;
    step.tasks.tasks_val = tasks;
    occurrence.steps.steps_len = 1;
    occurrence.steps.steps_val = &step;
    record.open.open_len = 1;
    record.open.open_val = &occurrence;
    record.workers.workers_len = 1;
    record.workers.workers_val = workers;
    record.extension.addresses.addresses_len = address[0] != '\0';
    record.extension.addresses.addresses_val = addresses;
    record.ended_ms = cw_work_is_over(phase) ? START_MS : 0;
    bytes = cw_record_encode(&record);
    put(fixture, topic, "r" ID, bytes);
    g_byte_array_unref(bytes);
}

static inline void
put_state(struct fixture *fixture, const char *topic, unsigned phase)
{
    put_state_at(fixture, topic, phase, "");
}

/* Begins with the state of a job that another owner has started, and in a
 * later generation than that owner's. */
static inline void
fixture_begin_with_state(struct fixture *fixture, unsigned generation)
{
    fixture_begin(fixture);
    fixture->generation = generation;
    put_spec(fixture);
    put_state(fixture, CW_STATE_TOPIC, CW_WORK_RUNNING);
}

static inline void
put_outcome(struct fixture *fixture, unsigned phase)
{
    struct cw_work_record record = {.phase = phase,
                                    .started = true,
                                    .ended_ms = START_MS,
                                    .result = (char *)""};
    GByteArray *bytes = cw_record_encode(&record);

    put(fixture, CW_JOBS_TOPIC, "r" ID, bytes);
    g_byte_array_unref(bytes);
}

static inline void
run(struct fixture *fixture, unsigned ms)
{
    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        fixture->clock.now = cw_time_add_ms(fixture->clock.now, STEP_MS);
        cw_follower_tick(cw_replica_follower(fixture->replica),
                         fixture->clock.now);
        cw_owner_tick(fixture->owner, fixture->clock.now);
    }
}

static inline void
take_over(struct fixture *fixture)
{
    fixture->owner->generation = fixture->generation;
    fixture->owner->partition_assigned = true;
    owner_take_over(fixture->owner, fixture->clock.now);
    run(fixture, 200);
}

/* The worker of all runs. */
static inline struct owner_target *
the_worker(const struct fixture *fixture)
{
    return g_hash_table_lookup(fixture->owner->targets, "w");
}

/* Lists the worker with an address, so that it can be polled. */
static inline void
make_worker_reachable(struct fixture *fixture)
{
    struct owner_target *target = the_worker(fixture);

    g_free(target->address);
    target->address = g_strdup("a");
    target->service = g_intern_string("s");
    target->capacity.accelerators = TASKS;
    target->listed = true;
    owner_target_wake(target);
}

static inline void
take_over_with_worker(struct fixture *fixture)
{
    take_over(fixture);
    make_worker_reachable(fixture);
}

static inline struct owner_job *
the_job(struct fixture *fixture)
{
    return g_hash_table_lookup(fixture->owner->jobs, ID);
}

static inline unsigned
stored_state_count(struct fixture *fixture)
{
    struct store_model_page page;
    unsigned count;

    store_model_newest(fixture->store.model, CW_STATE_TOPIC, NULL, &page);
    count = (unsigned)page.page.count;
    store_model_page_clear(&page);
    return count;
}

/* Answers all polls in flight with a list in which each task runs.  Returns
 * the latest end of a lease that the polls granted. */
static inline int64_t
answer_all_polls(void)
{
    struct cw_running running[TASKS] = {0};
    struct cw_target_answer answer = {.status = CW_TARGET_OK,
                                      .clock_ms = WORKER_CLOCK_MS,
                                      .boot_ms = 1,
                                      .running = running,
                                      .running_count = TASKS};
    int64_t lease_until_ms = 0;

    for (unsigned i = 0; i < TASKS; i++) {
        running[i].task.job = ID;
        running[i].task.index = i;
        running[i].run = RUN;
        running[i].saved = "";
    }
    while (unanswered != NULL && unanswered->len > 0) {
        struct cw_target_order order =
            g_array_index(unanswered, struct cw_target_order, 0);

        g_array_remove_index(unanswered, 0);
        lease_until_ms = MAX(lease_until_ms, order.lease_until_ms);
        order.done(order.context, &answer);
    }
    return lease_until_ms;
}

/* Lets time pass with a worker that answers; returns the latest end of a lease
 * that was granted to it. */
static inline int64_t
run_answering_polls(struct fixture *fixture, unsigned ms)
{
    int64_t lease_until_ms = 0;

    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        int64_t granted_until_ms;

        run(fixture, STEP_MS);
        granted_until_ms = answer_all_polls();
        lease_until_ms = MAX(lease_until_ms, granted_until_ms);
    }
    return lease_until_ms;
}

static inline int64_t
lease_left_ms(const struct fixture *fixture)
{
    return cw_time_diff_ms(fixture->clock.now, the_worker(fixture)->lease_end);
}

/* Ends the VM; a new process of it, or another VM, takes over. */
static inline void
replace_owner(struct fixture *fixture, const char *vm)
{
    fixture->generation++;
    vm_end(fixture);
    fixture->vm = vm;
    vm_begin(fixture);
    take_over(fixture);
}

#endif

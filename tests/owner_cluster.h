/* An owner with workers in three racks and without a network, for tests of its
 * decisions. */
#ifndef CURLEWCART_TESTS_OWNER_CLUSTER_H
#define CURLEWCART_TESTS_OWNER_CLUSTER_H

#include <string.h>

#include "curlewcart/cw_log.h"
#include "owner/internal/owner_placement.h"

enum { RACKS = 3, PER_RACK = 4, ACCELERATORS = 8, START_MS = 100000 };

/* An owner with workers w00 to w11 in racks r0 to r2, and no network. */
struct cluster {
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct cw_replica *replica;
    struct cw_owner *owner;
    unsigned jobs;
    unsigned added_workers; /* workers added to the first twelve */
};

/* The last order, for a test to answer, and all orders without an answer. */
static struct cw_target_order last_order G_GNUC_UNUSED;
static GArray *unanswered; /* struct cw_target_order */

static inline void
record_order(struct cw_targets *targets, const struct cw_target_order *order)
{
    (void)targets;
    last_order = *order;
    if (unanswered == NULL) {
        unanswered = g_array_new(FALSE, FALSE, sizeof(struct cw_target_order));
    }
    g_array_append_val(unanswered, *order);
}

static inline void
answer_last_with(const struct cw_target_answer *answer)
{
    g_array_set_size(unanswered, unanswered->len - 1);
    last_order.done(last_order.context, answer);
}

static inline void
answer_last(enum cw_target_status status)
{
    const struct cw_target_answer answer = {.status = status};

    answer_last_with(&answer);
}

/* Answers the orders that are still in flight when a test ends. */
static inline void
answer_remaining(void)
{
    const struct cw_target_answer answer = {.status = CW_TARGET_UNKNOWN};

    while (unanswered != NULL && unanswered->len > 0) {
        struct cw_target_order order = g_array_index(
            unanswered, struct cw_target_order, unanswered->len - 1);

        g_array_set_size(unanswered, unanswered->len - 1);
        order.done(order.context, &answer);
    }
    g_clear_pointer(&unanswered, g_array_unref);
}

static inline void
set_rack(struct owner_target *target, unsigned rack)
{
    char name[16];

    g_snprintf(name, sizeof(name), "r%u", rack);
    owner_target_set_rack(target, name);
}

static inline void
add_worker(struct cluster *cluster, unsigned index)
{
    char name[16];
    struct owner_target *target;

    g_snprintf(name, sizeof(name), "w%02u", index);
    target = owner_target_get(cluster->owner, name);
    set_rack(target, index / PER_RACK);
    target->service = g_intern_string("s");
    g_free(target->address);
    target->address = g_strdup(name);
    g_free(target->kind);
    target->kind = g_strdup(index % 2 == 0 ? "even" : "odd");
    target->capacity.accelerators = ACCELERATORS;
    target->capacity.cpu_milli = 32000;
    target->capacity.memory_mb = 65536;
    target->listed = true;
    owner_departures_reported(target, 0, false);
    target->incarnation.clock_known = true;
    target->incarnation.clock_at = cluster->clock.now;
    target->answered = true;
}

static inline void
set_guarantee(struct cluster *cluster, unsigned accelerators)
{
    struct cw_routing *routing = cw_routing_new();
    struct cw_account *account = cw_routing_add_account(routing);

    account->name = g_strdup("a");
    account->guaranteed_accelerators = accelerators;
    cw_routing_finish(routing);
    cw_owner_configure(cluster->owner, routing);
    cw_routing_unref(routing);
}

static inline void
cluster_begin(struct cluster *cluster)
{
    static const struct cw_targets_ops ops = {.order = record_order};
    static struct cw_targets targets = {.ops = &ops};
    struct cw_replica_options replica = {.clock = &cluster->clock.base};
    struct cw_owner_options options = {.targets = &targets,
                                       .clock = &cluster->clock.base,
                                       .counters = &cluster->counters,
                                       .vm = "this",
                                       .member = "m",
                                       .member_ttl_ms = 1000,
                                       .lease_ms = 6000};

    memset(cluster, 0, sizeof(*cluster));
    cw_log_setup("error", "test");
    cw_clock_manual_init(&cluster->clock);
    cluster->clock.now = cw_time_from_ms(START_MS);
    cluster->replica = cw_replica_create(&replica);
    options.replica = cluster->replica;
    cluster->owner = cw_owner_create(&options);
    cluster->owner->state = OWNER_ACTIVE;
    for (unsigned i = 0; i < RACKS * PER_RACK; i++) {
        add_worker(cluster, i);
    }
    set_guarantee(cluster, 64);
}

/* Puts each rack into a data centre of its own: r0 into d0, and so on. */
static inline void
cluster_put_racks_in_dcs(struct cluster *cluster)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, cluster->owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        char *dc = g_strdup_printf("d%s", target->rack + 1);

        target->dc = g_intern_string(dc);
        g_free(dc);
    }
}

static inline void
cluster_end(struct cluster *cluster)
{
    answer_remaining();
    cw_owner_free(cluster->owner);
    cw_replica_free(cluster->replica);
}

/* Lets time pass and runs a placement pass, with ownership confirmed. */
static inline void
pass(struct cluster *cluster, unsigned ms)
{
    cluster->clock.now = cw_time_add_ms(cluster->clock.now, ms);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    owner_idle_tick(cluster->owner, cluster->clock.now);
    owner_placement_pass(cluster->owner, cluster->clock.now);
}

enum { CLUSTER_STEPS_MAX = 4 };

/* Submits a job for an account; the steps are copied. */
static inline struct owner_job *
add_job_of_steps(struct cluster *cluster, const char *account,
                 unsigned priority, const struct cw_step_spec *step_specs,
                 unsigned count)
{
    char id[32];
    char key[40];
    struct cw_step_spec steps[CLUSTER_STEPS_MAX];
    struct cw_work_spec spec = {.queue = (char *)"q",
                                .account = (char *)account,
                                .service = (char *)"s",
                                .request = (char *)"",
                                .payload = (char *)"",
                                .priority = priority,
                                .max_attempts = 2,
                                .stretch_milli = 2000};
    GByteArray *bytes;
    struct cw_store_record record = {.key = key};

    g_snprintf(id, sizeof(id), "%016x", ++cluster->jobs);
    g_snprintf(key, sizeof(key), "s%s", id);
    spec.id = id;
    for (unsigned i = 0; i < count; i++) {
        struct cw_step_spec *step = &steps[i];

        *step = step_specs[i];
        step->cpu_milli = 1000;
        step->memory_mb = 100;
        step->estimate_ms = 1000;
        step->label = step->label != NULL ? step->label : (char *)"";
        step->data_rack =
            step->data_rack != NULL ? step->data_rack : (char *)"";
        step->image = (char *)"";
    }
    spec.steps.steps_len = count;
    spec.steps.steps_val = steps;
    bytes = cw_xdr_encode((xdrproc_t)xdr_cw_work_spec, &spec);
    record.value = bytes->data;
    record.length = bytes->len;
    record.offset = cluster->jobs;
    cw_replica_apply(cluster->replica, &record); /* which notifies the owner */
    g_byte_array_unref(bytes);
    return g_hash_table_lookup(cluster->owner->jobs, id);
}

static inline struct owner_job *
add_job_for_account(struct cluster *cluster, const char *account,
                    unsigned priority, const struct cw_step_spec *step)
{
    return add_job_of_steps(cluster, account, priority, step, 1);
}

static inline struct owner_job *
add_job(struct cluster *cluster, unsigned priority,
        const struct cw_step_spec *step_spec)
{
    return add_job_for_account(cluster, "a", priority, step_spec);
}

/* Returns a job that is restored from the state that another owner has stored,
 * as the first job of the cluster. */
static inline struct owner_job *
restore_job(struct cluster *cluster, unsigned priority,
            const struct cw_step_spec *step, const GByteArray *state)
{
    struct owner_job *job = add_job(cluster, priority, step);
    GBytes *bytes = g_bytes_new(state->data, state->len);

    g_ptr_array_set_size(job->open, 0);
    g_assert(owner_job_restore(cluster->owner, job, bytes));
    g_bytes_unref(bytes);
    return job;
}

static inline struct owner_step *
step_of(const struct owner_job *job)
{
    return &((struct owner_occurrence *)job->open->pdata[0])->steps[0];
}

static inline unsigned
placed(const struct owner_job *job)
{
    return step_of(job)->runs;
}

static inline const struct owner_target *
worker_of(const struct owner_job *job, unsigned task)
{
    const struct owner_run *run = step_of(job)->tasks[task].run;

    return run != NULL ? run->target : NULL;
}

/* Makes the job's runs run, as if their starts had been confirmed. */
static inline void
set_running(struct cluster *cluster, struct owner_job *job)
{
    for (unsigned i = 0; i < step_of(job)->count; i++) {
        struct owner_run *run = step_of(job)->tasks[i].run;

        run->phase = RUN_RUNNING;
        run->started_at = cluster->clock.now;
        run->saved_at = cluster->clock.now;
        run->progress_at = cluster->clock.now;
    }
}

/* Makes the job's new runs run, as if their starts had been confirmed. */
static inline void
confirm_starts(struct cluster *cluster, struct owner_job *job)
{
    for (unsigned i = 0; i < step_of(job)->count; i++) {
        struct owner_run *run = step_of(job)->tasks[i].run;

        if (run != NULL && run->phase == RUN_NEW) {
            run->phase = RUN_RUNNING;
            run->started_at = cluster->clock.now;
            run->progress_at = cluster->clock.now;
        }
    }
}

/* Adds a job, places its tasks and makes them run. */
static inline struct owner_job *
run_job(struct cluster *cluster, unsigned priority,
        const struct cw_step_spec *step_spec)
{
    struct owner_job *job = add_job(cluster, priority, step_spec);

    pass(cluster, 10);
    set_running(cluster, job);
    return job;
}

/* Makes the job the one that was accepted last. */
static inline void
arrive_now(struct cluster *cluster, struct owner_job *job)
{
    owner_headroom_job_arrived(cluster->owner, job, cluster->clock.now);
}

/* Makes the service busy: runs of lower-priority work on eight of the twelve
 * workers.  Returns their job. */
static inline struct owner_job *
make_busy(struct cluster *cluster)
{
    const struct cw_step_spec wide = {.tasks = 8,
                                      .accelerators = ACCELERATORS};
    struct owner_job *job = run_job(cluster, 2, &wide);

    owner_headroom_update(cluster->owner, cluster->clock.now);
    arrive_now(cluster, job);
    return job;
}

/* Makes the job's only run ready and sends its start. */
static inline struct owner_run *
send_job_start(struct cluster *cluster, struct owner_job *job)
{
    struct owner_run *run = step_of(job)->tasks[0].run;
    struct cw_task_name name = owner_task_name(run->task);

    run->phase = RUN_READY;
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    owner_order_queue(cluster->owner, run->target, CW_ORDER_START, &name,
                      run->number);
    owner_orders_send(cluster->owner, run->target, cluster->clock.now);
    return run;
}

#endif

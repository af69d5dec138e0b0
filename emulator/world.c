/* Builds a simulated deployment, schedules its day, and runs it. */
#include "emulator/internal/world_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_replica.h"

enum {
    /* Downtime of a worker after a task has crashed it. */
    CRASH_DOWN_MIN_MS = 1000,
    CRASH_DOWN_MAX_MS = 9000,
    CRASH_DISTURBANCE_MS = 12000,
    /* Share of its capacity that a shrunk worker keeps, and duration of the
     * shrinkage. */
    SHRUNK_MIN_PERCENT = 25,
    SHRUNK_MAX_PERCENT = 75,
    SHRUNK_MIN_MS = 2000,
    SHRUNK_MAX_MS = 12000,
    /* Wall-clock time at the start of a day on which wall clocks are set. */
    WALL_CLOCK_START_MS = 3600 * CW_MS_PER_S,
    PERCENT = 100,
    FIRST_JOB_MS = 2000,
    FIRST_FAULT_MS = 1500,
    CHECK_INTERVAL_MS = 500,
    /* On days with silences: short beside the wait that is a violation. */
    FINE_CHECK_INTERVAL_MS = 100,
    /* Twelve racks of workers, and enough jobs to keep them about 70% busy
     * while jobs are submitted. */
    WIDE_WORKERS = 48,
    WIDE_JOBS = 260,
    /* Four racks of workers, about 80% busy with urgent jobs and overfull
     * with the others while jobs are submitted. */
    RACK_WORKERS = 4,
    BUSY_RACK_WORKERS = 12,
    BUSY_WORKERS = 48,
    BUSY_JOBS = 260,
    /* Six racks of workers, less than half busy when the last jobs run, and
     * time for a job of the most steps whose tasks all fail once. */
    LASTING_WORKERS = 24,
    LASTING_JOBS = 20,
    LASTING_QUIET_MS = 180000,
    /* A traced day goes on for this long after a violation. */
    TRACE_AFTER_VIOLATION_MS = 10000,
    FIRST_LAPSE_MAX_MS = 12000,
    FIRST_LONG_CUT_MAX_MS = 8000,
    /* Longest time from one long cut to the next, and jobs submitted in it. */
    LONG_CUT_MS = 38000,
    LONG_CUT_JOBS = 40,
    /* Silences begin until this long after day_ms. */
    SILENCES_AFTER_DAY_MS = 30000,
    /* One of this many standard days has VMs with unequal processors. */
    UNEQUAL_VMS_ONE_IN = 4
};

/* ---- checks ---- */

static unsigned
check_interval_ms(const struct world *world)
{
    if (world->options.check_ms > 0) {
        return world->options.check_ms;
    }
    return world->options.silences + world->options.outages +
                       world->options.owner_freezes >
                   0
               ? FINE_CHECK_INTERVAL_MS
               : CHECK_INTERVAL_MS;
}

static void
check_phase(struct world *world, const char *id, unsigned phase)
{
    struct checker_job *job;

    checker_phase_reported(world->checker, id, phase);
    job = checker_find_job(world->checker, id);
    if (job != NULL && job->shown_final_phase != 0 && job->shown_final_ms == 0)
    {
        job->shown_final_ms = world->now_ms;
    }
}

static void
check_jobs(struct world *world, void *context)
{
    GPtrArray *jobs = checker_jobs(world->checker);

    (void)context;
    for (guint v = 0; v < world->vms->len; v++) {
        struct vm *vm = world->vms->pdata[v];

        for (guint i = 0; vm->alive && i < jobs->len; i++) {
            const struct checker_job *job = jobs->pdata[i];
            const struct cw_replica_job *replica_job =
                cw_replica_find_job(vm->replica, job->id);

            if (replica_job != NULL && replica_job->spec != NULL) {
                check_phase(world, job->id, cw_replica_phase(replica_job));
            }
        }
    }
    world_check_waits(world);
    world_schedule(world, check_interval_ms(world), check_jobs, NULL);
}

/* True if VMs need not know the job any more. */
static bool
is_past_retention(const struct world *world, const struct checker_job *job)
{
    return world->options.long_cuts > 0 && job->shown_final_phase != 0 &&
           world->now_ms - job->shown_final_ms >= WORLD_SHORT_RETAIN_MS;
}

static void
check_final_phases(struct world *world)
{
    GPtrArray *jobs = checker_jobs(world->checker);

    for (guint i = 0; i < jobs->len; i++) {
        const struct checker_job *job = jobs->pdata[i];
        struct vm *vm = world_random_vm(world);
        const struct cw_replica_job *replica_job =
            vm->alive ? cw_replica_find_job(vm->replica, job->id) : NULL;
        int phase = replica_job != NULL && replica_job->spec != NULL
                        ? (int)cw_replica_phase(replica_job)
                        : -1;

        if (phase < 0 && is_past_retention(world, job)) {
            phase = (int)job->shown_final_phase;
        }
        checker_final_phase(world->checker, job, phase);
    }
}

/* ---- callbacks of the workers ---- */

static bool
on_plan(void *context, const struct cw_task_name *task, struct task_plan *out)
{
    struct world *world = context;

    return checker_task_plan(world->checker, task, out);
}

static void
on_started(void *context, const char *worker, const struct cw_task_name *task,
           unsigned run)
{
    struct world *world = context;
    char dc[32];

    if (world->options.trace) {
        printf("t=%" PRId64 " started %s.%u.%u.%u run=%u on %s\n",
               world->now_ms, task->job, task->occurrence, task->step,
               task->index, run, worker);
    }
    checker_started(world->checker, task, run, world->now_ms,
                    world_is_calm(world));
    world_dc_of_rack(
        worker_model_rack(worker_fleet_find(world->fleet, worker)), dc,
        sizeof(dc));
    if (!world_may_run_in(world, checker_find_job(world->checker, task->job),
                          dc)) {
        checker_misplaced(world->checker, task, run);
    }
    checker_check_route(world->checker, task, run,
                        worker_fleet_find(world->fleet, worker));
    world_speeds_started(world, worker_fleet_find(world->fleet, worker),
                         checker_find_job(world->checker, task->job));
    if (world->now_ms > world->last_delayed_order_ms) {
        checker_started_in_cordon(world->checker, task, run,
                                  world_cordon_age_ms(world, dc));
    }
}

/* Records when the best possible owner knows that the task is done: by the
 * end of its run, once the worker answers, or of another run that begins when
 * the worker's lease is over. */
static void
record_done(struct world *world, const char *id,
            const struct cw_task_name *task)
{
    const struct worker_model *worker = worker_fleet_find(world->fleet, id);
    int64_t lease_end_ms = worker_model_lease_end_ms(worker);
    int64_t answers_ms =
        MAX(world->now_ms,
            GPOINTER_TO_INT(g_hash_table_lookup(world->cut_workers, id)));
    struct task_plan plan;

    if (checker_task_plan(world->checker, task, &plan)) {
        checker_done_known(
            world->checker, task,
            MIN(answers_ms,
                lease_end_ms + (plan.checkpoints ? 0 : plan.work_ms)));
    }
}

static void
on_ended(void *context, const char *worker, const struct cw_task_name *task,
         unsigned run, enum cw_end_kind how)
{
    struct world *world = context;
    struct checker_job *job = checker_find_job(world->checker, task->job);

    if (world->options.trace) {
        printf("t=%" PRId64 " ended %s.%u.%u.%u run=%u on %s %s\n",
               world->now_ms, task->job, task->occurrence, task->step,
               task->index, run, worker, cw_end_kind_name(how));
    }
    checker_ended(world->checker, task, run, how, world_is_calm(world));
    if (how == CW_END_KIND_DONE) {
        record_done(world, worker, task);
        if (job->done_ms == 0 && checker_all_done(world->checker, job)) {
            job->done_ms = world->now_ms;
        }
    }
}

static void
on_confirmed(void *context, const char *worker,
             const struct cw_task_name *task, unsigned run,
             enum cw_end_kind how, bool lapsed)
{
    struct world *world = context;

    (void)worker;
    checker_confirmed(world->checker, task, run, how, lapsed);
}

static void
on_crashed(void *context, const char *worker, const struct cw_task_name *task)
{
    struct world *world = context;

    if (world->options.trace) {
        printf("t=%" PRId64 " crashed %s with %s.%u.%u.%u\n", world->now_ms,
               worker, task->job, task->occurrence, task->step, task->index);
    }
    checker_crashed(world->checker, task);
}

static void
on_over_capacity(void *context, const char *worker,
                 const struct cw_task_name *task, unsigned run)
{
    struct world *world = context;

    if (world->options.trace) {
        printf("t=%" PRId64 " over capacity %s\n", world->now_ms, worker);
    }
    checker_over_capacity(world->checker, task, run);
}

static const struct cw_resources full_capacity = {
    .cpu_milli = 32000, .memory_mb = 65536, .accelerators = 8};

/* Also restores the capacity of a later incarnation at the same address, which
 * has the shrunk capacity of the previous incarnation. */
static void
restore_capacity(struct world *world, void *context)
{
    struct worker_model *worker = context;
    struct worker_model *present =
        worker_fleet_at_address(world->fleet, worker_model_address(worker));

    worker_model_resize(worker, &full_capacity);
    if (present != NULL && present != worker) {
        worker_model_resize(present, &full_capacity);
    }
}

static void
shrink_worker(struct world *world, void *context)
{
    struct worker_model *worker = worker_fleet_at(
        world->fleet,
        world_random_below(world, worker_fleet_size(world->fleet)));
    unsigned percent =
        world_random_between(world, SHRUNK_MIN_PERCENT, SHRUNK_MAX_PERCENT);
    struct cw_resources capacity = {
        .cpu_milli = full_capacity.cpu_milli * percent / PERCENT,
        .memory_mb = full_capacity.memory_mb * percent / PERCENT,
        .accelerators = full_capacity.accelerators * percent / PERCENT};

    (void)context;
    world_record_fault(world, "shrink %s to %u%%", worker_model_id(worker),
                       percent);
    worker_model_resize(worker, &capacity);
    world_schedule(world,
                   world_random_between(world, SHRUNK_MIN_MS, SHRUNK_MAX_MS),
                   restore_capacity, worker);
}

/* The worker's downtime may be shorter or longer than its lease. */
static void
on_down(void *context, struct worker_model *worker)
{
    struct world *world = context;
    bool same_id =
        world->options.restarts > 0 && world_random_chance(world, 50);

    world_disturb(world, CRASH_DISTURBANCE_MS, 0);
    world_schedule(
        world,
        world_random_between(world, CRASH_DOWN_MIN_MS, CRASH_DOWN_MAX_MS),
        same_id ? world_restart_worker : world_restart_with_new_id, worker);
}

/* ---- a day ---- */

/* An account's key is its name. */
static struct cw_account *
add_account(struct cw_routing *routing, const char *name)
{
    struct cw_account *account = cw_routing_add_account(routing);

    account->name = g_strdup(name);
    g_ptr_array_add(account->keys, g_strdup(name));
    return account;
}

static struct cw_routing *
make_routing(bool ignores_capacity)
{
    struct cw_routing *routing = cw_routing_new();
    struct cw_account *account = add_account(routing, "a");

    routing->version = 1;
    routing->enforces_residency = true;
    account->guaranteed_accelerators = WORLD_GUARANTEED_ACCELERATORS;
    account = add_account(routing, "confined");
    g_ptr_array_add(account->dcs, g_strdup("d0"));
    g_ptr_array_add(account->dcs, g_strdup("d1"));
    for (unsigned i = 0; i < 3; i++) {
        struct cw_queue *queue = cw_routing_add_queue(routing);

        queue->name = g_strdup_printf("q%u", i);
        queue->host = g_strdup("");
        queue->prefix = g_strdup_printf("/q%u/", i);
        queue->service = g_strdup("s");
        queue->priority = i;
        queue->max_attempts = 2;
    }
    if (ignores_capacity) {
        struct cw_service *service = cw_routing_add_service(routing);

        service->name = g_strdup("s");
        service->enforces_capacity = false;
    }
    cw_routing_finish(routing);
    return routing;
}

static void
build_world(struct world *world)
{
    struct worker_listener listener = {.plan = on_plan,
                                       .started = on_started,
                                       .ended = on_ended,
                                       .confirmed = on_confirmed,
                                       .crashed = on_crashed,
                                       .down = on_down,
                                       .over_capacity = on_over_capacity,
                                       .context = world};
    unsigned rack_workers =
        world->options.busy ? BUSY_RACK_WORKERS : RACK_WORKERS;

    cw_clock_manual_init(&world->clock);
    world->random = g_rand_new_with_seed(world->options.seed);
    world->peer_random = g_rand_new_with_seed(~world->options.seed);
    world->events = g_ptr_array_new();
    world->store = store_model_create(1);
    world->fleet = worker_fleet_create(&listener);
    world->checker = checker_create();
    world->routing = make_routing(world->options.ignores_capacity);
    world->faults = g_string_new(NULL);
    world->cut_workers = g_hash_table_new(g_str_hash, g_str_equal);
    world->late_workers = g_hash_table_new(g_str_hash, g_str_equal);
    world->holding_workers = g_hash_table_new(g_str_hash, g_str_equal);
    world->owner_cut.vms = g_hash_table_new(NULL, NULL);
    world->owner_cut.workers = g_hash_table_new(g_str_hash, g_str_equal);
    world->draining = g_hash_table_new(g_str_hash, g_str_equal);
    world->drains_stored = world_drains_new();
    world->cordons = world_cordons_new();
    world->entries = world_entries_new();
    for (unsigned i = 0; i < world->options.workers; i++) {
        char id[32];
        char rack[32];

        g_snprintf(id, sizeof(id), "w-%u", i);
        g_snprintf(rack, sizeof(rack), "r%u", i / rack_workers);
        worker_fleet_add(world->fleet, id, rack, &full_capacity,
                         1000 + world_random_below(world, 100000));
        if (world->options.restricted) {
            worker_model_set_kind(worker_fleet_at(world->fleet, i),
                                  world_kind_of(i));
        }
    }
    if (world->options.ignores_capacity) {
        worker_fleet_ignore_capacity(world->fleet);
    }
    if (world->options.clock_step_percent > 0) {
        worker_fleet_set_wall_clock(world->fleet, WALL_CLOCK_START_MS);
    }
    world->vms = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < world->options.vms; i++) {
        struct vm *vm = g_new0(struct vm, 1);

        vm->store.ops = &world_store_ops;
        vm->targets.base.ops = &world_targets_ops;
        vm->targets.vm = vm;
        vm->peers.base.ops = &world_peers_ops;
        vm->peers.vm = vm;
        g_snprintf(vm->name, sizeof(vm->name), "vm-%u", i);
        vm->world = world;
        vm->index = i;
        vm->calls = g_ptr_array_new();
        vm->clients = g_ptr_array_new();
        g_ptr_array_add(world->vms, vm);
        world_vm_boot(vm);
    }
}

/* Schedules `times` calls of `run`, each at a random time from `from_ms` to
 * `until_ms`. */
static void
schedule_between(struct world *world, unsigned times, unsigned from_ms,
                 unsigned until_ms, void (*run)(struct world *, void *))
{
    for (unsigned i = 0; i < times; i++) {
        world_schedule(world, world_random_between(world, from_ms, until_ms),
                       run, NULL);
    }
}

/* Schedules `times` calls of `run`, each at a random time of the day from
 * `from_ms` on. */
static void
schedule_times(struct world *world, unsigned times, unsigned from_ms,
               void (*run)(struct world *, void *))
{
    schedule_between(world, times, from_ms, world->options.day_ms, run);
}

static void
schedule_day(struct world *world)
{
    const struct world_options *options = &world->options;
    unsigned faults = world_random_below(world, options->faults + 1);

    world_schedule_speeds(world);
    world_schedule(world, 0, world_report_workers, NULL);
    world_schedule(world, CHECK_INTERVAL_MS, check_jobs, NULL);
    schedule_times(world, options->jobs, FIRST_JOB_MS, world_submit_new_job);
    schedule_times(world, faults, FIRST_FAULT_MS, world_inject_fault);
    schedule_times(world, options->shrinks, FIRST_FAULT_MS, shrink_worker);
    schedule_times(world, options->restarts, FIRST_FAULT_MS,
                   world_restart_workers);
    schedule_times(world, options->leaving, FIRST_FAULT_MS, world_leave);
    schedule_times(world, options->cordons, FIRST_FAULT_MS, world_cordon);
    schedule_times(world, options->owner_kills, FIRST_FAULT_MS,
                   world_owner_kill);
    schedule_times(world, options->owner_losses, FIRST_FAULT_MS,
                   world_owner_loss);
    schedule_times(world, options->owner_cuts, FIRST_FAULT_MS,
                   world_cut_owner);
    schedule_times(world, options->voter_restarts, FIRST_FAULT_MS,
                   world_cut_owner_and_restart_voters);
    schedule_times(world, options->topic_outages, FIRST_FAULT_MS,
                   world_topic_outage);
    schedule_between(world, MIN(options->store_lapses, 1), FIRST_FAULT_MS,
                     FIRST_LAPSE_MAX_MS, world_store_lapse);
    schedule_between(world, MIN(options->long_cuts, 1), FIRST_FAULT_MS,
                     FIRST_LONG_CUT_MAX_MS, world_long_cut);
    schedule_times(world, options->store_returns, FIRST_FAULT_MS,
                   world_store_returns);
    schedule_times(world, options->late_episodes, FIRST_FAULT_MS,
                   world_delay_workers);
    schedule_times(world, options->held_orders, FIRST_FAULT_MS,
                   world_hold_orders);
    schedule_times(world, options->slow_vms, FIRST_FAULT_MS, world_slow_vms);
    schedule_between(world, options->silences, FIRST_FAULT_MS,
                     options->day_ms + SILENCES_AFTER_DAY_MS,
                     world_silence_workers);
    schedule_between(world, options->owner_freezes, FIRST_FAULT_MS,
                     options->day_ms + SILENCES_AFTER_DAY_MS,
                     world_silence_workers_and_owner);
    schedule_between(world, options->outages, FIRST_FAULT_MS,
                     options->day_ms + SILENCES_AFTER_DAY_MS,
                     world_take_workers_down);
    schedule_between(world, options->late_reports, FIRST_FAULT_MS,
                     options->day_ms +
                         (options->lasting ? SILENCES_AFTER_DAY_MS : 0),
                     world_late_reports);
    world_schedule(world, options->day_ms + 1000, world_heal_all, NULL);
}

/* The VM whose tick is due first, and the due time; NULL if all VMs are
 * down. */
static struct vm *
next_vm(struct world *world, int64_t *at_ms)
{
    struct vm *best = NULL;

    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];
        int64_t due_ms = MAX(vm->due_ms, world_vm_idle_at_ms(vm));

        if (vm->alive && (best == NULL || due_ms < *at_ms)) {
            best = vm;
            *at_ms = due_ms;
        }
    }
    return best;
}

static void
advance_to(struct world *world, int64_t now_ms)
{
    if (now_ms > world->now_ms) {
        world->now_ms = now_ms;
        world->clock.now = cw_time_from_ms(now_ms);
        worker_fleet_advance(world->fleet, now_ms);
    }
}

/* Ends the day with a violation: at once, or if it is traced, after the time
 * that shows how the violation ends. */
static void
end_with_violation(struct world *world, int64_t *end_ms)
{
    if (checker_violation(world->checker) == NULL || world->violated) {
        return;
    }
    world->violated = true;
    if (!world->options.trace) {
        *end_ms = INT64_MIN;
    }
    else {
        *end_ms = MIN(*end_ms, world->now_ms + TRACE_AFTER_VIOLATION_MS);
        printf("t=%" PRId64 " violation=\"%s\"\n", world->now_ms,
               checker_violation(world->checker));
    }
}

static void
run_until(struct world *world, int64_t end_ms)
{
    for (;;) {
        int64_t vm_ms = INT64_MAX;
        struct vm *vm = next_vm(world, &vm_ms);
        int64_t event_ms =
            world->events->len > 0
                ? ((struct event *)world->events->pdata[0])->at_ms
                : INT64_MAX;

        end_with_violation(world, &end_ms);
        if (MIN(vm_ms, event_ms) > end_ms) {
            return;
        }
        if (event_ms <= vm_ms) {
            struct event *event = world_pop_event(world);

            advance_to(world, event->at_ms);
            event->run(world, event->context);
            g_free(event);
        }
        else {
            advance_to(world, vm_ms);
            world_vm_tick(vm);
        }
    }
}

static void
free_world(struct world *world)
{
    for (guint i = 0; i < world->vms->len; i++) {
        struct vm *vm = world->vms->pdata[i];

        world_vm_kill(vm);
        g_ptr_array_unref(vm->calls);
        g_ptr_array_unref(vm->clients);
    }
    while (world->events->len > 0) {
        struct event *event = world_pop_event(world);

        /* Frees the contexts that belong to their events. */
        if (!world_net_free_event(event) && !world_cordons_free_event(event) &&
            !world_reports_free_event(event) &&
            (event->run == world_client_submit ||
             event->run == world_client_cancel))
        {
            g_free(event->context);
        }
        g_free(event);
    }
    g_ptr_array_unref(world->events);
    g_ptr_array_unref(world->vms);
    g_hash_table_unref(world->cut_workers);
    g_hash_table_unref(world->late_workers);
    g_hash_table_unref(world->holding_workers);
    g_hash_table_unref(world->owner_cut.vms);
    g_hash_table_unref(world->owner_cut.workers);
    g_hash_table_unref(world->draining);
    g_hash_table_unref(world->drains_stored);
    g_hash_table_unref(world->cordons);
    g_hash_table_unref(world->entries);
    worker_fleet_free(world->fleet);
    store_model_free(world->store);
    checker_free(world->checker);
    cw_routing_unref(world->routing);
    g_rand_free(world->random);
    g_rand_free(world->peer_random);
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

    if (seed % UNEQUAL_VMS_ONE_IN == UNEQUAL_VMS_ONE_IN - 1) {
        day.vms = 7;
        day.strong_vms = 3;
    }
    return day;
}

void
world_widen(struct world_options *day)
{
    day->wide = true;
    day->workers = WIDE_WORKERS;
    day->jobs = WIDE_JOBS;
}

void
world_make_busy(struct world_options *day)
{
    day->busy = true;
    day->lasting = false; /* urgent tasks last seconds */
    day->workers = BUSY_WORKERS;
    day->jobs = BUSY_JOBS;
}

void
world_make_room_for_long_cuts(struct world_options *day)
{
    day->day_ms += day->long_cuts * LONG_CUT_MS;
    day->jobs += day->long_cuts * LONG_CUT_JOBS;
}

void
world_lengthen(struct world_options *day)
{
    day->lasting = true;
    day->workers = LASTING_WORKERS;
    day->jobs = LASTING_JOBS;
    day->quiet_ms = MAX(day->quiet_ms, LASTING_QUIET_MS);
}

void
world_run(const struct world_options *options, struct world_result *result)
{
    struct world world = {.options = *options};

    memset(result, 0, sizeof(*result));
    build_world(&world);
    if (options->trace) {
        cw_log_set_clock(&world.clock.base);
    }
    if (options->unheard_ends) {
        checker_check_unheard_ends(world.checker);
    }
    schedule_day(&world);
    run_until(&world, (int64_t)options->day_ms + options->quiet_ms);
    if (checker_violation(world.checker) == NULL) {
        check_final_phases(&world);
    }
    result->violation = g_strdup(checker_violation(world.checker));
    result->counts = checker_counts(world.checker);
    stretch_figures_collect(&result->stretch, world.checker);
    result->urgent_starts_on_slow = world.urgent_starts_on_slow;
    for (guint i = 0; i < world.vms->len; i++) {
        const struct vm *vm = world.vms->pdata[i];

        result->takeovers += vm->takeovers;
        result->all_vms_cpu_s += vm->cpu_s;
        result->busiest_vm_cpu_s = MAX(result->busiest_vm_cpu_s, vm->cpu_s);
    }
    free_world(&world);
    result->faults = g_string_free(world.faults, FALSE);
}

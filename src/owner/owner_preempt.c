/* Preemption: stops runs, at the lowest cost, to free capacity for urgent
 * work. */
#include "owner/internal/owner_crashes.h"
#include "owner/internal/owner_placement.h"

#include <string.h>

enum {
    /* Core-seconds that a lost accelerator-second counts as. */
    CORES_PER_ACCELERATOR = 8,
    MILLI = 1000,
    /* Work that a restart loses, approximately, in addition to the work since
     * the checkpoint. */
    RESTART_LOST_MS = 300,
    /* Added to the cost of equally urgent work, so that it is preempted only
     * where no lower-priority work would be enough. */
    EQUAL_PRIORITY_COST_CORE_S = 1000000
};

/* Runs that have to be stopped together: a gang, or one task. */
struct victim {
    struct owner_step *step;
    struct owner_run *run; /* a run of the gang, or the single task's */
    double cost;           /* core-seconds that are lost */
};

/* Cost of placing one more task on a worker, in addition to the plan. */
struct task_cost {
    struct owner_target *target;
    bool fresh; /* no run there was added to the plan after the computation */
    unsigned fits;           /* tasks that fit once the plan is carried out */
    GArray *victims;         /* struct victim, cheapest first */
    unsigned victims_needed; /* how many of them one more task requires */
    double cost;             /* negative: no more task can be made to fit */
};

/* A plan for one set of workers. */
struct plan {
    struct cw_owner *owner;
    const struct owner_step *step;
    struct cw_resources need;
    bool guaranteed;     /* the step's account is within its guarantee */
    GHashTable *planned; /* set of struct owner_run: all that are stopped */
    GPtrArray *gangs;    /* struct owner_step: gangs to stop */
    GPtrArray *singles;  /* struct owner_run: single tasks to stop */
    double cost;
    GArray *task_costs; /* struct task_cost, one for each worker */
    /* struct owner_target -> 1 + index in `task_costs` */
    GHashTable *cost_positions;
};

/* ---- runs that may be preempted ---- */

static uint64_t
accelerators_of(const struct cw_work_spec *spec)
{
    uint64_t sum = 0;

    for (u_int i = 0; i < spec->steps.steps_len; i++) {
        const struct cw_step_spec *step = &spec->steps.steps_val[i];

        sum += (uint64_t)step->tasks * step->accelerators;
    }
    return sum;
}

void
owner_demand_update(struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_remove_all(owner->demand);
    g_hash_table_iter_init(&iterator, owner->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_job *job = value;
        gsize before;

        if (job->spec->priority != 0 || cw_work_is_over(job->phase)) {
            continue;
        }
        before = GPOINTER_TO_SIZE(
            g_hash_table_lookup(owner->demand, job->spec->account));
        g_hash_table_insert(
            owner->demand, job->spec->account,
            GSIZE_TO_POINTER(before + accelerators_of(job->spec)));
    }
}

bool
owner_job_is_guaranteed(const struct cw_owner *owner,
                        const struct owner_job *job)
{
    const struct cw_account *account =
        owner->routing != NULL
            ? cw_routing_account_by_name(owner->routing, job->spec->account)
            : NULL;

    return account != NULL && GPOINTER_TO_SIZE(g_hash_table_lookup(
                                  owner->demand, account->name)) <=
                                  account->guaranteed_accelerators;
}

/* True if the run or another member of its gang belongs to at-most-once work
 * that may have begun, and so must not be stopped. */
static bool
step_is_protected(const struct owner_run *run)
{
    const struct owner_step *step = run->task->step;
    bool is_protected = owner_at_most_once_protects(run);

    for (unsigned i = 0; step->spec->gang && !is_protected && i < step->count;
         i++) {
        is_protected = step->tasks[i].run != NULL &&
                       owner_at_most_once_protects(step->tasks[i].run);
    }
    return is_protected;
}

bool
owner_run_may_be_stopped(const struct owner_run *run)
{
    return !run->stopping && !run->gang_done && !step_is_protected(run);
}

/* Lower-priority jobs may be preempted.  A job of the same priority may be
 * preempted only if its account uses more than its guarantee and the step's
 * account is within its own. */
static bool
plan_may_preempt(const struct plan *plan, const struct owner_job *job)
{
    unsigned priority = plan->step->occurrence->job->spec->priority;

    return job->spec->priority > priority ||
           (plan->guaranteed && job->spec->priority == priority &&
            !owner_job_is_guaranteed(plan->owner, job));
}

static bool
may_stop(const struct plan *plan, const struct owner_run *run)
{
    return owner_run_may_be_stopped(run) &&
           plan_may_preempt(plan, owner_task_job(run->task)) &&
           !owner_endless_protects(run, plan->planned);
}

double
owner_run_stop_cost(const struct owner_run *run, struct timespec now)
{
    const struct cw_step_spec *spec = run->task->step->spec;
    double cores = (double)spec->cpu_milli / MILLI +
                   (double)spec->accelerators * CORES_PER_ACCELERATOR;
    int64_t lost_ms = RESTART_LOST_MS;

    if (run->phase == RUN_RUNNING) {
        lost_ms += cw_time_diff_ms(
            spec->checkpoints ? run->saved_at : run->started_at, now);
    }
    return cores * (double)lost_ms / MILLI;
}

static double
victim_cost(const struct owner_run *run, struct timespec now)
{
    const struct owner_step *step = run->task->step;
    double cost = 0;

    if (!step->spec->gang) {
        return owner_run_stop_cost(run, now);
    }
    for (unsigned i = 0; i < step->count; i++) {
        if (step->tasks[i].run != NULL) {
            cost += owner_run_stop_cost(step->tasks[i].run, now);
        }
    }
    return cost;
}

/* ---- planning ---- */

static void
task_cost_clear(gpointer data)
{
    struct task_cost *task_cost = data;

    if (task_cost->victims != NULL) {
        g_array_unref(task_cost->victims);
    }
}

static void
plan_init(struct plan *plan, struct cw_owner *owner,
          const struct owner_step *step)
{
    plan->owner = owner;
    plan->step = step;
    plan->need = owner_step_need(step->spec);
    plan->guaranteed = owner_job_is_guaranteed(owner, step->occurrence->job);
    plan->planned = g_hash_table_new(NULL, NULL);
    plan->gangs = g_ptr_array_new();
    plan->singles = g_ptr_array_new();
    plan->cost = 0;
    plan->task_costs = g_array_new(FALSE, TRUE, sizeof(struct task_cost));
    g_array_set_clear_func(plan->task_costs, task_cost_clear);
    plan->cost_positions = g_hash_table_new(NULL, NULL);
}

static void
plan_clear(struct plan *plan)
{
    g_hash_table_unref(plan->planned);
    g_ptr_array_unref(plan->gangs);
    g_ptr_array_unref(plan->singles);
    g_array_unref(plan->task_costs);
    g_hash_table_unref(plan->cost_positions);
}

static void
add_need(struct cw_resources *sum, const struct owner_run *run)
{
    struct cw_resources need = owner_step_need(run->task->step->spec);

    owner_resources_add(sum, &need);
}

/* Returns the worker's free resources once all runs that are stopping, or are
 * in the plan, have ended. */
static struct cw_resources
free_after(const struct plan *plan, const struct owner_target *target)
{
    struct cw_resources available = owner_free_resources(target);

    owner_resources_add(&available, &target->used_by_stopping);
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        if (!run->stopping && g_hash_table_contains(plan->planned, run)) {
            add_need(&available, run);
        }
    }
    return available;
}

static unsigned
fits_after(const struct plan *plan, const struct owner_target *target)
{
    struct cw_resources available = free_after(plan, target);

    return owner_limit_per_worker(plan->step, target,
                                  owner_fit_count(&available, &plan->need));
}

static gint
by_cost(gconstpointer a, gconstpointer b)
{
    const struct victim *x = a;
    const struct victim *y = b;

    return x->cost < y->cost ? -1 : x->cost > y->cost;
}

/* may_stop checks each victim as if it alone were stopped.  So for a step that
 * limits how many of its tasks may be unavailable at a time, only one victim
 * is listed. */
static bool
has_victim_of(const GArray *victims, const struct owner_step *step)
{
    for (guint i = 0; i < victims->len; i++) {
        if (g_array_index(victims, struct victim, i).step == step) {
            return true;
        }
    }
    return false;
}

static GArray *
victims_on(const struct plan *plan, const struct owner_target *target,
           struct timespec now)
{
    GArray *victims = g_array_new(FALSE, FALSE, sizeof(struct victim));

    for (guint i = 0; i < target->runs->len; i++) {
        struct owner_run *run = target->runs->pdata[i];
        struct victim victim = {.step = run->task->step, .run = run};

        if (may_stop(plan, run) &&
            !g_hash_table_contains(plan->planned, run) &&
            (run->task->step->spec->may_miss == 0 ||
             !has_victim_of(victims, run->task->step)))
        {
            victim.cost = victim_cost(run, now);
            if (owner_task_job(run->task)->spec->priority ==
                plan->step->occurrence->job->spec->priority)
            {
                victim.cost += EQUAL_PRIORITY_COST_CORE_S;
            }
            g_array_append_val(victims, victim);
        }
    }
    g_array_sort(victims, by_cost);
    return victims;
}

/* Finds the cheapest victims that make one more task fit on the worker. */
static void
compute_task_cost(const struct plan *plan, struct task_cost *task_cost)
{
    struct cw_resources available = free_after(plan, task_cost->target);
    double cost = 0;

    task_cost->cost = -1;
    for (guint i = 0; i < task_cost->victims->len; i++) {
        const struct victim *v =
            &g_array_index(task_cost->victims, struct victim, i);

        add_need(&available, v->run);
        cost += v->cost;
        if (owner_limit_per_worker(plan->step, task_cost->target,
                                   owner_fit_count(&available, &plan->need)) >
            task_cost->fits)
        {
            task_cost->victims_needed = i + 1;
            task_cost->cost = cost;
            return;
        }
    }
}

static void
update_task_cost(const struct plan *plan, struct task_cost *task_cost,
                 struct timespec now)
{
    if (task_cost->fresh) {
        return;
    }
    task_cost_clear(task_cost);
    task_cost->fresh = true;
    task_cost->fits = fits_after(plan, task_cost->target);
    task_cost->victims = victims_on(plan, task_cost->target, now);
    compute_task_cost(plan, task_cost);
}

static struct task_cost *
task_cost_at(const struct plan *plan, guint index)
{
    return &g_array_index(plan->task_costs, struct task_cost, index);
}

/* Marks the worker's task cost as outdated, after a run there was added to the
 * plan.
 */
static void
outdate_task_cost(struct plan *plan, const struct owner_target *target)
{
    guint position =
        GPOINTER_TO_UINT(g_hash_table_lookup(plan->cost_positions, target));

    if (position > 0) {
        task_cost_at(plan, position - 1)->fresh = false;
    }
}

static void
plan_add_run(struct plan *plan, struct owner_run *run)
{
    g_hash_table_add(plan->planned, run);
    outdate_task_cost(plan, run->target);
}

static void
add_victim(struct plan *plan, const struct victim *victim)
{
    if (!victim->step->spec->gang) {
        plan_add_run(plan, victim->run);
        g_ptr_array_add(plan->singles, victim->run);
        plan->cost += victim->cost;
    }
    else if (!g_ptr_array_find(plan->gangs, victim->step, NULL)) {
        g_ptr_array_add(plan->gangs, victim->step);
        plan->cost += victim->cost;
        for (unsigned i = 0; i < victim->step->count; i++) {
            if (victim->step->tasks[i].run != NULL) {
                plan_add_run(plan, victim->step->tasks[i].run);
            }
        }
    }
    /* Which tasks of such a step may be stopped depends on how many others are
     * stopped on all workers. */
    for (guint i = 0;
         victim->step->spec->may_miss > 0 && i < plan->task_costs->len; i++)
    {
        task_cost_at(plan, i)->fresh = false;
    }
}

/* Adds the cheapest victims for one more task to the plan; false if there are
 * none. */
static bool
add_victims(struct plan *plan)
{
    const struct task_cost *best = NULL;
    GArray *victims;
    unsigned victims_needed;

    for (guint i = 0; i < plan->task_costs->len; i++) {
        const struct task_cost *task_cost = task_cost_at(plan, i);

        if (task_cost->cost >= 0 &&
            (best == NULL || task_cost->cost < best->cost)) {
            best = task_cost;
        }
    }
    if (best == NULL) {
        return false;
    }
    victims = g_array_ref(best->victims);
    victims_needed = best->victims_needed;
    for (unsigned i = 0; i < victims_needed; i++) {
        add_victim(plan, &g_array_index(victims, struct victim, i));
    }
    g_array_unref(victims);
    return true;
}

/* Returns how many tasks fit once the plan is carried out. */
static unsigned
total_fits_after(struct plan *plan, struct timespec now)
{
    unsigned fits = 0;

    for (guint i = 0; i < plan->task_costs->len; i++) {
        update_task_cost(plan, task_cost_at(plan, i), now);
        fits += task_cost_at(plan, i)->fits;
    }
    return fits;
}

/* The task cost of a worker is recomputed only when a run there was added to
 * the plan: for a gang of 8 this takes 3.7 ms with 1,100 workers and 12 ms
 * with 3,000 workers on one core, while recomputing all costs for each task
 * takes 17.5 ms and 87 ms. */
static bool
make_plan(struct plan *plan, const GPtrArray *targets, unsigned tasks,
          struct timespec now)
{
    for (guint i = 0; i < targets->len; i++) {
        struct task_cost task_cost = {.target = targets->pdata[i]};

        g_array_append_val(plan->task_costs, task_cost);
        g_hash_table_insert(plan->cost_positions, targets->pdata[i],
                            GUINT_TO_POINTER(plan->task_costs->len));
    }
    while (total_fits_after(plan, now) < tasks) {
        if (!add_victims(plan)) {
            return false;
        }
    }
    return true;
}

/* ---- execution of a plan ---- */

static void
create_reserved_runs(struct cw_owner *owner, struct owner_step *step,
                     const struct plan *plan, const GPtrArray *targets,
                     unsigned tasks)
{
    GArray *choices = g_array_new(FALSE, FALSE, sizeof(struct owner_choice));

    for (guint i = 0; i < targets->len && tasks > 0; i++) {
        struct owner_choice choice = {
            .target = targets->pdata[i],
            .tasks = MIN(tasks, fits_after(plan, targets->pdata[i])),
        };

        if (choice.tasks > 0) {
            g_array_append_val(choices, choice);
            tasks -= choice.tasks;
        }
    }
    owner_assign(owner, step, choices, RUN_RESERVED);
    g_array_unref(choices);
}

static void
execute_plan(struct cw_owner *owner, struct owner_step *step,
             struct plan *plan, const GPtrArray *targets, unsigned tasks)
{
    cw_log_info("reclaim",
                "id=%s step=%u tasks=%u gangs=%u singles=%u "
                "lost_core_s=%.1f",
                step->occurrence->job->spec->id, step->number, tasks,
                plan->gangs->len, plan->singles->len, plan->cost);
    cw_count_add(owner->options.counters, CW_COUNT_PREEMPTIONS,
                 plan->gangs->len + plan->singles->len);
    create_reserved_runs(owner, step, plan, targets, tasks);
    for (guint i = 0; i < plan->gangs->len; i++) {
        struct owner_step *gang = plan->gangs->pdata[i];

        gang->occurrence->job->idle.cause = OWNER_IDLE_PREEMPTED;
        owner_step_stop(owner, gang);
    }
    for (guint i = 0; i < plan->singles->len; i++) {
        owner_run_evict_for(owner, plan->singles->pdata[i],
                            OWNER_IDLE_PREEMPTED);
    }
    /* Victims whose start had not been sent yet were dropped at once. */
    for (guint i = 0; i < targets->len; i++) {
        owner_runs_promote_reserved(owner, targets->pdata[i]);
    }
}

/* Which workers and runs a plan may use. */
struct plan_limits {
    bool with_slow;  /* also slow workers */
    bool lower_only; /* stops no run of the step's own priority */
};

/* Returns the usable workers that the step may use, by rack; the key "" has
 * all of them. */
static GHashTable *
targets_by_rack(struct cw_owner *owner, const struct owner_step *step,
                bool with_slow, struct timespec now)
{
    GHashTable *racks = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    GPtrArray *all = g_ptr_array_new();
    const GPtrArray *usable = owner_usable_targets(owner, now);

    g_hash_table_insert(racks, g_strdup(""), all);
    for (guint i = 0; i < usable->len; i++) {
        struct owner_target *target = usable->pdata[i];
        GPtrArray *rack;

        if ((!with_slow && owner_target_is_slow(target, now)) ||
            !owner_step_allows_target(step, target))
        {
            continue;
        }
        g_ptr_array_add(all, target);
        if (target->rack[0] == '\0') {
            continue;
        }
        rack = g_hash_table_lookup(racks, target->rack);
        if (rack == NULL) {
            rack = g_ptr_array_new();
            g_hash_table_insert(racks, g_strdup(target->rack), rack);
        }
        g_ptr_array_add(rack, target);
    }
    return racks;
}

/* Returns the workers of the rack that can be freed for the gang at the lowest
 * cost, or NULL if there is none. */
static GPtrArray *
cheapest_rack(struct cw_owner *owner, const struct owner_step *step,
              GHashTable *racks, unsigned tasks,
              const struct plan_limits *limits, struct timespec now)
{
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    GPtrArray *best = NULL;
    double best_cost = 0;

    g_hash_table_iter_init(&iterator, racks);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        struct plan plan;

        if (((const char *)key)[0] == '\0') {
            continue;
        }
        plan_init(&plan, owner, step);
        plan.guaranteed = plan.guaranteed && !limits->lower_only;
        if (make_plan(&plan, value, tasks, now) &&
            (best == NULL || plan.cost < best_cost))
        {
            best = value;
            best_cost = plan.cost;
        }
        plan_clear(&plan);
    }
    return best;
}

static bool
preempt(struct cw_owner *owner, struct owner_step *step,
        const struct plan_limits *limits, struct timespec now)
{
    GHashTable *racks = targets_by_rack(owner, step, limits->with_slow, now);
    unsigned tasks = owner_step_placeable_tasks(step, now);
    GPtrArray *targets = NULL;
    struct plan plan;
    bool ok;

    if (step->spec->gang && step->spec->same_rack != CW_SAME_RACK_ANY) {
        targets = cheapest_rack(owner, step, racks, tasks, limits, now);
        if (targets == NULL &&
            (limits->lower_only ||
             step->spec->same_rack == CW_SAME_RACK_REQUIRED) &&
            owner_step_needs_rack(owner, step, now))
        {
            g_hash_table_unref(racks);
            return false; /* it would be slower across racks, or not run */
        }
    }
    if (targets == NULL) {
        targets = g_hash_table_lookup(racks, "");
    }
    plan_init(&plan, owner, step);
    plan.guaranteed = plan.guaranteed && !limits->lower_only;
    ok = make_plan(&plan, targets, tasks, now);
    if (ok) {
        execute_plan(owner, step, &plan, targets, tasks);
    }
    plan_clear(&plan);
    g_hash_table_unref(racks);
    return ok;
}

static bool
some_target_is_slow(const struct cw_owner *owner, struct timespec now)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (owner_target_is_slow(value, now)) {
            return true;
        }
    }
    return false;
}

bool
owner_preempt(struct cw_owner *owner, struct owner_step *step,
              struct timespec now)
{
    const struct plan_limits normal = {.with_slow = false};
    const struct plan_limits any = {.with_slow = true};

    return preempt(owner, step, &normal, now) ||
           (some_target_is_slow(owner, now) &&
            preempt(owner, step, &any, now));
}

bool
owner_preempt_for_speed(struct cw_owner *owner, struct owner_step *step,
                        struct timespec now)
{
    const struct plan_limits limits = {.with_slow = false, .lower_only = true};

    return preempt(owner, step, &limits, now);
}

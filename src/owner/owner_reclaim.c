/* Making room for urgent work: who gives way, at the least cost. */
#include "owner/internal/owner_private.h"

#include <string.h>

enum {
    /* What a lost accelerator-second weighs against a core-second. */
    ACCELERATOR_CORES = 8,
    MILLI = 1000,
    /* A restart loses about so much beside the work since the checkpoint. */
    RESTART_MS = 300,
    /* Core-seconds added for equally urgent work: it is stopped only where
     * no lower work is left that would do. */
    EQUALLY_URGENT_COST = 1000000
};

/* What may be stopped only together: a gang, or one task. */
struct victim {
    struct owner_step *step;
    struct owner_run *run; /* NULL: the whole gang */
    double cost;           /* core-seconds that are lost */
};

/* A plan for one set of workers while it is made. */
struct plan {
    struct cw_owner *owner;
    const struct owner_step *step;
    struct cw_resources need;
    bool guaranteed;    /* the step's account is within its guarantee */
    GHashTable *gone;   /* struct owner_run, a set */
    GPtrArray *gangs;   /* struct owner_step to stop whole */
    GPtrArray *singles; /* struct owner_run */
    double cost;
};

/* ---- who may be stopped ---- */

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
owner_guaranteed(const struct cw_owner *owner, const struct owner_job *job)
{
    const struct cw_account *account =
        owner->routing != NULL
            ? cw_routing_account_named(owner->routing, job->spec->account)
            : NULL;

    return account != NULL && GPOINTER_TO_SIZE(g_hash_table_lookup(
                                  owner->demand, account->name)) <=
                                  account->guaranteed_accelerators;
}

/* True if the run, or another member of its gang, must not be stopped. */
static bool
step_is_protected(const struct owner_run *run)
{
    const struct owner_step *step = run->task->step;
    bool protects = owner_once_protects(run);

    for (unsigned i = 0; step->spec->gang && !protects && i < step->count; i++)
    {
        protects = step->tasks[i].run != NULL &&
                   owner_once_protects(step->tasks[i].run);
    }
    return protects;
}

/* Lower work gives way; equally urgent work does only if its account holds
 * more than it is guaranteed and the step's account does not. */
static bool
gives_way(const struct plan *plan, const struct owner_job *job)
{
    unsigned priority = plan->step->occurrence->job->spec->priority;

    return job->spec->priority > priority ||
           (plan->guaranteed && job->spec->priority == priority &&
            !owner_guaranteed(plan->owner, job));
}

static bool
may_stop(const struct plan *plan, const struct owner_run *run)
{
    return !run->stopping && !run->finished &&
           gives_way(plan, owner_task_job(run->task)) &&
           !step_is_protected(run) && !owner_lasting_protects(run, plan->gone);
}

double
owner_run_cost(const struct owner_run *run, struct timespec now)
{
    const struct cw_step_spec *spec = run->task->step->spec;
    double cores = (double)spec->cpu_milli / MILLI +
                   (double)spec->accelerators * ACCELERATOR_CORES;
    int64_t lost_ms = RESTART_MS;

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
        return owner_run_cost(run, now);
    }
    for (unsigned i = 0; i < step->count; i++) {
        if (step->tasks[i].run != NULL) {
            cost += owner_run_cost(step->tasks[i].run, now);
        }
    }
    return cost;
}

/* ---- planning ---- */

static void
plan_init(struct plan *plan, struct cw_owner *owner,
          const struct owner_step *step)
{
    plan->owner = owner;
    plan->step = step;
    plan->need = owner_need(step->spec);
    plan->guaranteed = owner_guaranteed(owner, step->occurrence->job);
    plan->gone = g_hash_table_new(NULL, NULL);
    plan->gangs = g_ptr_array_new();
    plan->singles = g_ptr_array_new();
    plan->cost = 0;
}

static void
plan_clear(struct plan *plan)
{
    g_hash_table_unref(plan->gone);
    g_ptr_array_unref(plan->gangs);
    g_ptr_array_unref(plan->singles);
}

static void
add_need(struct cw_resources *sum, const struct owner_run *run)
{
    struct cw_resources need = owner_need(run->task->step->spec);

    owner_resources_add(sum, &need);
}

/* Room once all that is stopping, or planned to be, has left. */
static struct cw_resources
room_after(const struct plan *plan, const struct owner_target *target)
{
    struct cw_resources room = owner_room(target);

    owner_resources_add(&room, &target->leaving);
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        if (!run->stopping && g_hash_table_contains(plan->gone, run)) {
            add_need(&room, run);
        }
    }
    return room;
}

static unsigned
fits_after(const struct plan *plan, const struct owner_target *target)
{
    struct cw_resources room = room_after(plan, target);

    return owner_most_there(plan->step, target,
                            owner_fits(&room, &plan->need));
}

static gint
by_cost(gconstpointer a, gconstpointer b)
{
    const struct victim *x = a;
    const struct victim *y = b;

    return x->cost < y->cost ? -1 : x->cost > y->cost;
}

/* Each victim is judged as if it left alone: of a step that promises how many
 * tasks are away at most, one is enough at a time. */
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

        if (may_stop(plan, run) && !g_hash_table_contains(plan->gone, run) &&
            (run->task->step->spec->may_miss == 0 ||
             !has_victim_of(victims, run->task->step)))
        {
            victim.cost = victim_cost(run, now);
            if (owner_task_job(run->task)->spec->priority ==
                plan->step->occurrence->job->spec->priority)
            {
                victim.cost += EQUALLY_URGENT_COST;
            }
            g_array_append_val(victims, victim);
        }
    }
    g_array_sort(victims, by_cost);
    return victims;
}

/* Cost of making room for one more task on the worker, and how many of the
 * cheapest victims it takes; a negative cost: it cannot be had. */
static double
price_of_one(const struct plan *plan, const struct owner_target *target,
             const GArray *victims, unsigned *taken)
{
    struct cw_resources room = room_after(plan, target);
    unsigned before = fits_after(plan, target);
    double cost = 0;

    for (guint i = 0; i < victims->len; i++) {
        const struct victim *v = &g_array_index(victims, struct victim, i);

        add_need(&room, v->run);
        cost += v->cost;
        if (owner_most_there(plan->step, target,
                             owner_fits(&room, &plan->need)) > before)
        {
            *taken = i + 1;
            return cost;
        }
    }
    return -1;
}

static void
mark_gone(struct plan *plan, const struct victim *victim)
{
    if (!victim->step->spec->gang) {
        g_hash_table_add(plan->gone, victim->run);
        g_ptr_array_add(plan->singles, victim->run);
        plan->cost += victim->cost;
        return;
    }
    if (g_ptr_array_find(plan->gangs, victim->step, NULL)) {
        return;
    }
    g_ptr_array_add(plan->gangs, victim->step);
    plan->cost += victim->cost;
    for (unsigned i = 0; i < victim->step->count; i++) {
        if (victim->step->tasks[i].run != NULL) {
            g_hash_table_add(plan->gone, victim->step->tasks[i].run);
        }
    }
}

static unsigned
total_after(const struct plan *plan, const GPtrArray *targets)
{
    unsigned fits = 0;

    for (guint i = 0; i < targets->len; i++) {
        fits += fits_after(plan, targets->pdata[i]);
    }
    return fits;
}

/* Adds the cheapest victims for one more task; false if there are none. */
static bool
make_one_more(struct plan *plan, const GPtrArray *targets, struct timespec now)
{
    GArray *best = NULL;
    unsigned best_taken = 0;
    double best_cost = -1;

    for (guint i = 0; i < targets->len; i++) {
        GArray *victims = victims_on(plan, targets->pdata[i], now);
        unsigned taken = 0;
        double cost = price_of_one(plan, targets->pdata[i], victims, &taken);

        if (cost >= 0 && (best == NULL || cost < best_cost)) {
            if (best != NULL) {
                g_array_unref(best);
            }
            best = g_array_ref(victims);
            best_cost = cost;
            best_taken = taken;
        }
        g_array_unref(victims);
    }
    if (best == NULL) {
        return false;
    }
    for (unsigned i = 0; i < best_taken; i++) {
        mark_gone(plan, &g_array_index(best, struct victim, i));
    }
    g_array_unref(best);
    return true;
}

static bool
make_plan(struct plan *plan, const GPtrArray *targets, unsigned tasks,
          struct timespec now)
{
    while (total_after(plan, targets) < tasks) {
        if (!make_one_more(plan, targets, now)) {
            return false;
        }
    }
    return true;
}

/* ---- carrying out ---- */

static void
reserve(struct cw_owner *owner, struct owner_step *step,
        const struct plan *plan, const GPtrArray *targets, unsigned tasks)
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
carry_out(struct cw_owner *owner, struct owner_step *step, struct plan *plan,
          const GPtrArray *targets, unsigned tasks)
{
    cw_log_info("reclaim",
                "id=%s step=%u tasks=%u gangs=%u singles=%u "
                "lost_core_s=%.1f",
                step->occurrence->job->spec->id, step->number, tasks,
                plan->gangs->len, plan->singles->len, plan->cost);
    cw_count_add(owner->options.counters, CW_COUNT_PREEMPTIONS,
                 plan->gangs->len + plan->singles->len);
    reserve(owner, step, plan, targets, tasks);
    for (guint i = 0; i < plan->gangs->len; i++) {
        owner_step_stop(owner, plan->gangs->pdata[i]);
    }
    for (guint i = 0; i < plan->singles->len; i++) {
        owner_run_stop(owner, plan->singles->pdata[i]);
    }
    /* Victims that had not been sent yet left at once. */
    for (guint i = 0; i < targets->len; i++) {
        owner_runs_settle(owner, targets->pdata[i]);
    }
}

/* Usable workers that may take the step, by rack; "" holds all of them. */
static GHashTable *
targets_by_rack(struct cw_owner *owner, const struct owner_step *step,
                struct timespec now)
{
    GHashTable *racks = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    GPtrArray *all = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_insert(racks, g_strdup(""), all);
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;
        GPtrArray *rack;

        if (!owner_target_usable(target, now) || !owner_may_run(step, target))
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

/* The cheapest rack that can be freed for the gang. */
static GPtrArray *
cheapest_rack(struct cw_owner *owner, const struct owner_step *step,
              GHashTable *racks, unsigned tasks, struct timespec now)
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

bool
owner_reclaim(struct cw_owner *owner, struct owner_step *step,
              struct timespec now)
{
    GHashTable *racks = targets_by_rack(owner, step, now);
    unsigned tasks = owner_step_waiting(step);
    GPtrArray *targets = NULL;
    struct plan plan;
    bool ok;

    if (step->spec->gang && step->spec->same_rack) {
        targets = cheapest_rack(owner, step, racks, tasks, now);
    }
    if (targets == NULL) {
        targets = g_hash_table_lookup(racks, "");
    }
    plan_init(&plan, owner, step);
    ok = make_plan(&plan, targets, tasks, now);
    if (ok) {
        carry_out(owner, step, &plan, targets, tasks);
    }
    plan_clear(&plan);
    g_hash_table_unref(racks);
    return ok;
}

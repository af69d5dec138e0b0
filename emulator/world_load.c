/* Callers: they submit random jobs, retry, and cancel some of them. */
#include "emulator/internal/world_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "curlewcart/cw_entry.h"

enum {
    CLIENT_ATTEMPTS_MAX = 4,
    CLIENT_BUDGET_MS = 1300,
    JOB_DEADLINE_MS = 4000,
    PERCENT = 100,
    WIDE_PERCENT = 33,
    WIDE_TASKS_MIN = 12,
    WIDE_TASKS_MAX = 48,
    /* Gangs of a busy day, of which a rack holds 96 accelerators. */
    BUSY_GANG_PERCENT = 10,
    BUSY_GANG_TASKS_MIN = 9,
    BUSY_GANG_TASKS_MAX = 30,
    BUSY_RACK_ACCELERATORS = 96,
    /* Jobs of a day of lasting jobs: of one step of long tasks, or of many
     * steps. */
    LASTING_SINGLE_PERCENT = 40,
    LASTING_SINGLE_FACTOR = 8,
    LASTING_STEPS_MAX = 12,
    /* Scheduled jobs: their occurrences overlap, and some are due before the
     * job is submitted. */
    OCCURRENCES_MIN = 2,
    OCCURRENCES_SPAN = 60,
    INTERVAL_MAX_MS = 400,
    FIRST_DUE_SPAN_MS = 4000,
    OVERDUE_MAX_MS = 2000,
    SCHEDULED_WORK_PARTS = 4, /* their tasks take one part of the usual time */
    /* Half a data centre of four workers: fits while two workers are down. */
    CONFINED_ACCELERATORS_MAX = 16,
    /* Jobs that cannot be preempted wait while their start would leave less
     * than the guaranteed 64 accelerators free; with three workers drained,
     * this many accelerators remain beyond the guarantee. */
    AT_MOST_ONCE_ACCELERATORS_MAX = 8
};

/* ---- callers ---- */

static void
on_client_answer(void *context, enum cw_entry_outcome outcome)
{
    struct client_call *call = context;
    struct world *world = call->world;
    struct checker_job *job = call->job;
    bool retry =
        outcome == CW_ENTRY_NOT_DONE || outcome == CW_ENTRY_UNCONFIRMED;

    g_ptr_array_remove_fast(call->vm->clients, call);
    if (world->options.trace) {
        printf("t=%" PRId64 " %s id=%s vm=%u outcome=%d\n", world->now_ms,
               call->cancel ? "cancelled" : "submitted", job->id,
               call->vm->index, (int)outcome);
    }
    if (call->cancel) {
        /* CW_ENTRY_NO_JOB acknowledges it too: no job, or one that has ended,
         * may start a task afterwards. */
        if (!job->cancel_done &&
            (outcome == CW_ENTRY_STORED || outcome == CW_ENTRY_NO_JOB))
        {
            job->cancel_done = true;
            job->cancel_ms = world->now_ms;
        }
    }
    else {
        if (outcome == CW_ENTRY_STORED && !job->accepted) {
            job->accepted_ms = world->now_ms;
        }
        job->accepted = job->accepted || outcome == CW_ENTRY_STORED;
        job->refused = job->refused && outcome == CW_ENTRY_NOT_DONE;
        job->outcome_unknown =
            job->outcome_unknown || outcome == CW_ENTRY_UNCONFIRMED;
    }
    if (retry && call->attempts < CLIENT_ATTEMPTS_MAX) {
        call->attempts++;
        world_schedule(
            world, world_random_between(world, 50, 400),
            call->cancel ? world_client_cancel : world_client_submit, call);
        return;
    }
    g_free(call);
}

/* Selects a VM for the call.  Returns false if the VM is down or frozen; the
 * call is then retried later or has been freed. */
static bool
assign_vm(struct world *world, struct client_call *call)
{
    struct vm *vm = world_random_vm(world);

    if (!vm->alive || vm->frozen_until_ms > world->now_ms) {
        if (++call->attempts > 2 * CLIENT_ATTEMPTS_MAX) {
            g_free(call);
        }
        else {
            world_schedule(world, 200,
                           call->cancel ? world_client_cancel
                                        : world_client_submit,
                           call);
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
    copy->request = copy_text(spec->request);
    copy->dcs.dcs_val = calloc(spec->dcs.dcs_len + 1, sizeof(cw_name));
    for (u_int i = 0; i < spec->dcs.dcs_len; i++) {
        copy->dcs.dcs_val[i] = copy_text(spec->dcs.dcs_val[i]);
    }
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

void
world_client_submit(struct world *world, void *context)
{
    struct client_call *call = context;
    struct cw_work_spec *spec;

    if (!assign_vm(world, call)) {
        return;
    }
    spec = copy_spec(call->job->spec);
    spec->accepted_ms = cw_clock_wall_ms(&world->clock.base);
    cw_entry_submit(call->vm->entry, spec, CLIENT_BUDGET_MS, on_client_answer,
                    call);
}

void
world_client_cancel(struct world *world, void *context)
{
    struct client_call *call = context;
    struct cw_entry_route route = {0};
    char *path;

    if (!assign_vm(world, call)) {
        return;
    }
    call->job->cancel_sent = true;
    path =
        g_strdup_printf("/q%u/%s", call->job->spec->priority, call->job->id);
    cw_entry_resolve(call->vm->entry, "h", path, call->job->spec->account,
                     &route);
    cw_entry_cancel(call->vm->entry, &route, CLIENT_BUDGET_MS,
                    on_client_answer, call);
    g_free(path);
}

/* Widens every third step of a wide day: the step becomes a gang of up to half
 * the service, often larger than a rack of 32 accelerators, or gets many small
 * tasks. */
static void
widen_step(struct world *world, struct cw_step_spec *step)
{
    if (!world_random_chance(world, WIDE_PERCENT)) {
        return;
    }
    step->tasks = world_random_between(world, WIDE_TASKS_MIN, WIDE_TASKS_MAX);
    if (step->gang) {
        step->accelerators = 1U << world_random_below(world, 3);
    }
    else {
        step->accelerators = 1;
    }
}

/* On busy days, most jobs are urgent. */
static unsigned
draw_priority(struct world *world)
{
    if (world->options.busy && !world_random_chance(world, BUSY_GANG_PERCENT))
    {
        return 0;
    }
    return world->options.busy ? world_random_between(world, 1, 2)
                               : world_random_below(world, 3);
}

/* Makes the step a gang that asks for one rack, and fits into one. */
static void
make_rack_gang(struct world *world, struct cw_step_spec *step)
{
    step->gang = true;
    step->same_rack = CW_SAME_RACK_FASTER;
    step->accelerators = 1U << world_random_below(world, 3);
    step->tasks = MIN(
        world_random_between(world, BUSY_GANG_TASKS_MIN, BUSY_GANG_TASKS_MAX),
        BUSY_RACK_ACCELERATORS / step->accelerators);
}

static void
fill_step(struct world *world, struct cw_step_spec *step, unsigned number)
{
    step->tasks =
        world_random_chance(world, 30) ? 1 : world_random_between(world, 2, 6);
    step->accelerators = 1U << world_random_below(world, 4);
    step->cpu_milli = 1000;
    step->memory_mb = 1000;
    step->estimate_ms = world_random_between(world, 200, 4000);
    step->gang = world_random_chance(world, 50);
    step->same_rack = step->gang && world_random_chance(world, 50)
                          ? CW_SAME_RACK_FASTER
                          : CW_SAME_RACK_ANY;
    step->checkpoints = world_random_chance(world, 40);
    if (world->options.wide) {
        widen_step(world, step);
    }
    step->label = copy_text("");
    step->data_rack = copy_text("");
    step->image = copy_text("");
    step->after.after_len = number;
    step->after.after_val = calloc(number + 1, sizeof(u_int));
    for (unsigned i = 0; i < number; i++) {
        step->after.after_val[i] = i;
    }
}

/* Number of accelerators that the widest step uses. */
static unsigned
widest_step(const struct cw_work_spec *spec)
{
    unsigned widest = 0;

    for (u_int i = 0; i < spec->steps.steps_len; i++) {
        const struct cw_step_spec *step = &spec->steps.steps_val[i];

        widest = MAX(widest, step->tasks * step->accelerators);
    }
    return widest;
}

/* Sets the optional fields of a request.  Derived from the id, so that the
 * day's other random numbers do not change. */
static void
fill_constraints(struct cw_work_spec *spec)
{
    unsigned hash = g_str_hash(spec->id);
    bool small = widest_step(spec) <= CONFINED_ACCELERATORS_MAX;

    spec->once =
        widest_step(spec) <= AT_MOST_ONCE_ACCELERATORS_MAX && hash % 7 == 0;
    spec->account = copy_text(small && hash % 5 == 0 ? "confined" : "a");
    spec->deadline_ms = hash % 11 == 0 ? JOB_DEADLINE_MS : 0;
    if (small && hash % 13 == 0) {
        spec->dcs.dcs_len = 1;
        spec->dcs.dcs_val = calloc(1, sizeof(cw_name));
        spec->dcs.dcs_val[0] = copy_text("d1");
    }
}

/* Makes some jobs scheduled ones.  Derived from the id, as in
 * fill_constraints.  Returns the time at which the job is due first. */
static int64_t
schedule_job(struct world *world, struct cw_work_spec *spec)
{
    unsigned hash = g_str_hash(spec->id);
    int64_t ahead_ms;

    if (hash / 3 % PERCENT >= world->options.scheduled_percent) {
        return 0;
    }
    ahead_ms = (int64_t)(hash / 7 % FIRST_DUE_SPAN_MS) - OVERDUE_MAX_MS;
    spec->repeats = OCCURRENCES_MIN + hash / 11 % OCCURRENCES_SPAN;
    spec->interval_ms = hash / 13 % INTERVAL_MAX_MS;
    spec->first_due_ms = cw_clock_wall_ms(&world->clock.base) + ahead_ms;
    spec->once = false;
    spec->deadline_ms = 0;
    for (u_int i = 0; i < spec->steps.steps_len; i++) {
        spec->steps.steps_val[i].tasks =
            MIN(2, spec->steps.steps_val[i].tasks);
        spec->steps.steps_val[i].accelerators = 1;
    }
    return world->now_ms + ahead_ms;
}

/* Length of the job's checkpoints, at least. */
static unsigned
text_bytes(const struct world *world, const char *id)
{
    static const unsigned lengths[] = {0, 40, 1500, 2000, 20000, 300000};

    return world->options.long_texts
               ? lengths[g_str_hash(id) / 17 % G_N_ELEMENTS(lengths)]
               : 0;
}

static unsigned
draw_step_count(struct world *world)
{
    if (!world->options.lasting) {
        return world_random_chance(world, 25) ? 2 : 1;
    }
    return world_random_chance(world, LASTING_SINGLE_PERCENT)
               ? 1
               : world_random_between(world, 2, LASTING_STEPS_MAX);
}

static unsigned
draw_work_ms(struct world *world, unsigned steps)
{
    unsigned work_ms = world_random_between(world, 300, 5000);

    return world->options.lasting && steps == 1
               ? work_ms * LASTING_SINGLE_FACTOR
               : work_ms;
}

void
world_submit_new_job(struct world *world, void *context)
{
    struct cw_work_spec *spec = g_new0(struct cw_work_spec, 1);
    struct client_call *call = g_new0(struct client_call, 1);
    unsigned steps = draw_step_count(world);
    unsigned fails =
        world_random_chance(world, 15) ? world_random_below(world, 4) : 0;
    unsigned work_ms;
    int64_t due_ms;
    char id[32];

    (void)context;
    g_snprintf(id, sizeof(id), "%08x%08x", world->options.seed,
               g_rand_int(world->random));
    spec->id = copy_text(id);
    spec->priority = draw_priority(world);
    spec->queue = g_strdup_printf("q%u", spec->priority);
    spec->service = copy_text("s");
    spec->payload = copy_text("work");
    spec->request = copy_text("");
    spec->stretch_milli = 2000;
    spec->target_latency_ms = 500;
    spec->steps.steps_len = steps;
    spec->steps.steps_val = calloc(steps, sizeof(struct cw_step_spec));
    for (unsigned i = 0; i < steps; i++) {
        fill_step(world, &spec->steps.steps_val[i], i);
        if (world->options.busy && spec->priority > 0) {
            make_rack_gang(world, &spec->steps.steps_val[i]);
        }
    }
    fill_constraints(spec);
    if (world->options.restricted) {
        world_restrict_steps(spec);
    }
    due_ms = schedule_job(world, spec);
    spec->max_attempts = spec->once ? 1 : 2;
    call->world = world;
    work_ms = draw_work_ms(world, steps);
    call->job = checker_add_job(
        world->checker, spec,
        spec->repeats > 0 ? work_ms / SCHEDULED_WORK_PARTS : work_ms, fails);
    call->job->due_ms = due_ms;
    if (world->options.members_fail) {
        call->job->plan_members_fail = true;
        call->job->plan_fails = g_str_hash(id) / PERCENT % 2;
    }
    call->job->plan_text_bytes = text_bytes(world, id);
    call->job->plan_tail_percent = world->options.tail_percent;
    call->job->plan_equal_members = world_has_speeds(world);
    if (g_str_hash(id) % PERCENT < world->options.crashing_percent) {
        call->job->plan_crashing_task =
            (int)(g_str_hash(id) / PERCENT % spec->steps.steps_val[0].tasks);
    }
    world_client_submit(world, call);
    if (world_random_chance(world, 15)) {
        struct client_call *cancellation = g_new0(struct client_call, 1);

        cancellation->world = world;
        cancellation->job = call->job;
        cancellation->cancel = true;
        world_schedule(world, world_random_between(world, 5, 6000),
                       world_client_cancel, cancellation);
    }
}

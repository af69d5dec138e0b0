/* Checks the guarantees; see the header. */
#include "emulator/checker.h"

#include <string.h>

enum {
    CANCEL_EFFECT_MS = 3000,
    EARLY_MAX_MS = 250, /* of a start before its occurrence is due */
    /* Maximum time from the store's acknowledgement of a cordon until it takes
     * effect. */
    CORDON_EFFECT_MAX_MS = 5000,
    /* Minimum number of workers that crashed while they ran a task before the
     * task may be given up. */
    CRASHES_TO_GIVE_UP = 2,
    /* Number of crashes after which a task that crashes workers may be started
     * again fewer than STARTS_AFTER_CRASHES_MAX times. */
    CRASHES_MAX = 3,
    STARTS_AFTER_CRASHES_MAX = 3,
    /* Maximum time for which a job that could run may have no run. */
    WAIT_MAX_MS = 3000,
    /* Time from the end that makes a step ready until its tasks run: an
     * answer, an append to the store and a start. */
    STEP_START_MAX_MS = 350,
    /* A shorter one is counted for the summary from this time on. */
    LONG_WAIT_MS = 1000,
    /* Duration of a long task in multiples of the usual duration, and the
     * factors that mix the task's step and index into the hash that selects
     * long tasks. */
    LONG_TASK_FACTOR = 7,
    HASH_STEP_FACTOR = 31,
    HASH_INDEX_FACTOR = 7,
    PERCENT = 100
};

/* History of a task's runs on workers. */
struct task_history {
    unsigned running; /* runs on workers now */
    unsigned done;    /* runs that ended as done */
    bool done_confirmed;
    unsigned last_run;  /* highest run that was started */
    unsigned last_sent; /* highest run whose start was sent */
    unsigned failed_confirmed;
    unsigned crashes;                 /* of workers that ran it */
    unsigned starts_past_crash_limit; /* after CRASHES_MAX crashes */
    /* Of an at-most-once job: the run that executed it. */
    unsigned effective_run;
    bool effective_run_ended; /* whether effective_run has ended, in any way */
    unsigned current_run;     /* run that is on a worker now; 0: none */
    bool is_repeated;         /* current_run began after the task was done */
    int64_t known_ms; /* when the best possible owner knows that it is done */
    GHashTable *failed_runs; /* unused */
};

struct checker {
    GPtrArray *jobs;   /* struct checker_job */
    GHashTable *by_id; /* borrowed */
    GHashTable *tasks; /* name -> struct task_history, owned */
    char *violation;
    bool checks_unheard_ends;
    struct checker_counts counts;
};

static void
job_free(gpointer data)
{
    struct checker_job *job = data;

    xdr_free((xdrproc_t)xdr_cw_work_spec, (char *)job->spec);
    g_free(job->spec);
    g_free(job->id);
    g_free(job);
}

static void
history_free(gpointer data)
{
    struct task_history *history = data;

    g_hash_table_unref(history->failed_runs);
    g_free(history);
}

struct checker *
checker_create(void)
{
    struct checker *checker = g_new0(struct checker, 1);

    checker->jobs = g_ptr_array_new_with_free_func(job_free);
    checker->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    checker->tasks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, history_free);
    return checker;
}

void
checker_free(struct checker *checker)
{
    g_hash_table_unref(checker->tasks);
    g_hash_table_unref(checker->by_id);
    g_ptr_array_unref(checker->jobs);
    g_free(checker->violation);
    g_free(checker);
}

static void
violate(struct checker *checker, const char *rule, const char *what)
{
    if (checker->violation == NULL) {
        checker->violation = g_strdup_printf("%s: %s", rule, what);
    }
}

void
checker_too_many_owners(struct checker *checker, unsigned count)
{
    char what[64];

    snprintf(what, sizeof(what), "%u since the store's return", count);
    violate(checker, "OWNERS", what);
}

static void
violate_task(struct checker *checker, const char *rule,
             const struct cw_task_name *task, unsigned run)
{
    char *what =
        g_strdup_printf("%s.%u.%u.%u run %u", task->job, task->occurrence,
                        task->step, task->index, run);

    violate(checker, rule, what);
    g_free(what);
}

struct checker_job *
checker_add_job(struct checker *checker, struct cw_work_spec *spec,
                unsigned work_ms, unsigned fails)
{
    struct checker_job *job = g_new0(struct checker_job, 1);

    job->id = g_strdup(spec->id);
    job->spec = spec;
    job->plan_work_ms = work_ms;
    job->plan_fails = fails;
    job->plan_crashing_task = -1;
    job->refused = true;
    g_ptr_array_add(checker->jobs, job);
    g_hash_table_insert(checker->by_id, job->id, job);
    checker->counts.jobs++;
    return job;
}

struct checker_job *
checker_find_job(struct checker *checker, const char *id)
{
    return g_hash_table_lookup(checker->by_id, id);
}

GPtrArray *
checker_jobs(struct checker *checker)
{
    return checker->jobs;
}

static struct task_history *
history_of(struct checker *checker, const struct cw_task_name *task)
{
    char *name = g_strdup_printf("%s.%u.%u.%u", task->job, task->occurrence,
                                 task->step, task->index);
    struct task_history *history = g_hash_table_lookup(checker->tasks, name);

    if (history == NULL) {
        history = g_new0(struct task_history, 1);
        history->failed_runs = g_hash_table_new(NULL, NULL);
        g_hash_table_insert(checker->tasks, name, history);
    }
    else {
        g_free(name);
    }
    return history;
}

static const struct cw_step_spec *
step_of(struct checker *checker, const struct cw_task_name *task)
{
    const struct checker_job *job = checker_find_job(checker, task->job);

    if (job == NULL || task->step >= job->spec->steps.steps_len ||
        task->occurrence >= MAX(1, job->spec->repeats) ||
        task->index >= job->spec->steps.steps_val[task->step].tasks)
    {
        return NULL;
    }
    return &job->spec->steps.steps_val[task->step];
}

/* True if this is the job's task that crashes workers. */
static bool
crashes_workers(const struct checker_job *job, const struct cw_task_name *task)
{
    return task->step == 0 && (int)task->index == job->plan_crashing_task;
}

/* True if the task is long.  Derived from the task's name, so that all its
 * runs have the same duration and the day's other random numbers do not
 * change. */
static bool
is_long(const struct checker_job *job, const struct cw_step_spec *step,
        const struct cw_task_name *task)
{
    unsigned index = step->gang && job->plan_equal_members ? 0 : task->index;
    unsigned hash = g_str_hash(task->job) +
                    (task->step + 1) * HASH_STEP_FACTOR +
                    index * HASH_INDEX_FACTOR;

    return hash % PERCENT < job->plan_tail_percent;
}

bool
checker_task_plan(struct checker *checker, const struct cw_task_name *task,
                  struct task_plan *out)
{
    const struct cw_step_spec *step = step_of(checker, task);
    const struct checker_job *job = checker_find_job(checker, task->job);

    if (step == NULL) {
        violate_task(checker, "UNASKED", task, 0);
        return false;
    }
    out->work_ms = job->plan_work_ms;
    if (is_long(job, step, task)) {
        out->work_ms *= LONG_TASK_FACTOR;
    }
    out->fails = job->plan_fails;
    out->members = step->gang ? step->tasks : 0;
    out->checkpoints = step->checkpoints;
    out->text_bytes = job->plan_text_bytes;
    out->crashes = crashes_workers(job, task);
    out->members_fail = job->plan_members_fail;
    out->need.cpu_milli = step->cpu_milli;
    out->need.memory_mb = step->memory_mb;
    out->need.accelerators = step->accelerators;
    return true;
}

/* True if the step's tasks have ended as done; for a gang, the end of one
 * member counts for all. */
static bool
step_done(struct checker *checker, const struct checker_job *job,
          unsigned occurrence, unsigned number)
{
    const struct cw_step_spec *step = &job->spec->steps.steps_val[number];
    struct cw_task_name name = {
        .job = job->id, .occurrence = occurrence, .step = number};
    unsigned done = 0;

    for (name.index = 0; name.index < step->tasks; name.index++) {
        done += history_of(checker, &name)->done > 0;
    }
    return step->gang ? done > 0 : done == step->tasks;
}

/* True if the task has ended as done, or its gang has. */
static bool
task_done(struct checker *checker, const struct cw_task_name *task)
{
    return step_of(checker, task)->gang
               ? step_done(checker, checker_find_job(checker, task->job),
                           task->occurrence, task->step)
               : history_of(checker, task)->done > 0;
}

/* True if all steps that precede the task's step are done. */
static bool
preceding_steps_done(struct checker *checker, const struct cw_task_name *task)
{
    const struct checker_job *job = checker_find_job(checker, task->job);
    const struct cw_step_spec *step = step_of(checker, task);

    for (u_int i = 0; i < step->after.after_len; i++) {
        if (!step_done(checker, job, task->occurrence,
                       step->after.after_val[i])) {
            return false;
        }
    }
    return true;
}

/* True if the run executes from now on: a gang executes only once all its
 * members are on workers. */
static bool
executes_now(struct checker *checker, const struct cw_task_name *task,
             unsigned run)
{
    const struct cw_step_spec *step = step_of(checker, task);
    struct cw_task_name name = *task;

    for (name.index = 0; step->gang && name.index < step->tasks; name.index++)
    {
        if (history_of(checker, &name)->current_run != run) {
            return false;
        }
    }
    return true;
}

/* Checks that an at-most-once job does not execute twice. */
static void
check_at_most_once(struct checker *checker, const struct cw_task_name *task,
                   unsigned run)
{
    const struct checker_job *job = checker_find_job(checker, task->job);
    struct cw_task_name first = *task;
    struct task_history *history;

    if (!job->spec->once || !executes_now(checker, task, run)) {
        return;
    }
    if (step_of(checker, task)->gang) {
        first.index = 0; /* its history counts for the gang */
    }
    history = history_of(checker, &first);
    if (history->effective_run_ended ||
        (history->effective_run != 0 && history->effective_run != run))
    {
        violate_task(checker, "ONCE started a second time", task, run);
    }
    history->effective_run = run;
}

void
checker_misplaced(struct checker *checker, const struct cw_task_name *task,
                  unsigned run)
{
    violate_task(checker, "PLACE its data may not be in this data centre",
                 task, run);
}

void
checker_check_route(struct checker *checker, const struct cw_task_name *task,
                    unsigned run, const struct worker_model *worker)
{
    const struct cw_step_spec *step = step_of(checker, task);

    if (step->label[0] != '\0' &&
        strcmp(step->label, worker_model_kind(worker)) != 0 &&
        strcmp(step->label, worker_model_rack(worker)) != 0)
    {
        violate_task(checker, "ROUTE the worker lacks the label", task, run);
    }
    if (step->most_per_worker > 0 &&
        worker_model_running_of_step(worker, task) > step->most_per_worker)
    {
        violate_task(checker, "ROUTE beyond the limit per worker", task, run);
    }
}

void
checker_started_in_cordon(struct checker *checker,
                          const struct cw_task_name *task, unsigned run,
                          int64_t age_ms)
{
    if (age_ms > CORDON_EFFECT_MAX_MS) {
        violate_task(checker, "CORDON started in a cordoned data centre", task,
                     run);
    }
}

void
checker_start_sent(struct checker *checker, const struct cw_task_name *task,
                   unsigned run)
{
    struct task_history *history = history_of(checker, task);

    history->last_sent = MAX(history->last_sent, run);
}

void
checker_start_sent_to_draining(struct checker *checker,
                               const struct cw_task_name *task, unsigned run)
{
    violate_task(checker, "DRAIN sent to a worker that drains", task, run);
}

unsigned
checker_last_sent(struct checker *checker, const struct cw_task_name *task)
{
    return history_of(checker, task)->last_sent;
}

void
checker_near(struct checker *checker, const struct cw_task_name *task,
             unsigned run, const char *what)
{
    char *rule = g_strdup_printf("NEAR %s", what);

    violate_task(checker, rule, task, run);
    g_free(rule);
}

void
checker_started(struct checker *checker, const struct cw_task_name *task,
                unsigned run, int64_t now_ms, bool calm)
{
    struct task_history *history = history_of(checker, task);
    struct checker_job *job = checker_find_job(checker, task->job);

    checker->counts.starts++;
    job->started++;
    job->running++;
    if (history->running > 0) {
        violate_task(checker, "TWICE at the same time", task, run);
    }
    history->running++;
    if (history->done_confirmed) {
        violate_task(checker, "TWICE after its confirmed end", task, run);
    }
    history->last_run = MAX(history->last_run, run);
    history->current_run = run;
    history->is_repeated = task_done(checker, task);
    job->repeated += history->is_repeated;
    job->repeated_starts += history->is_repeated;
    check_at_most_once(checker, task, run);
    if (history->failed_confirmed >= job->spec->max_attempts) {
        violate_task(checker, "BUDGET", task, run);
    }
    if (crashes_workers(job, task) && history->crashes >= CRASHES_MAX &&
        ++history->starts_past_crash_limit >= STARTS_AFTER_CRASHES_MAX)
    {
        violate_task(checker, "BUDGET crashes", task, run);
    }
    if (!preceding_steps_done(checker, task)) {
        violate_task(checker, "ORDER", task, run);
    }
    if (job->spec->repeats > 0 &&
        now_ms + EARLY_MAX_MS <
            job->due_ms + task->occurrence * job->spec->interval_ms)
    {
        violate_task(checker, "ORDER before it is due", task, run);
    }
    if (calm && job->cancel_done && now_ms > job->cancel_ms + CANCEL_EFFECT_MS)
    {
        violate_task(checker, "UNASKED after its cancellation", task, run);
    }
}

/* Records the end of the run that executed an at-most-once job.  Otherwise a
 * restarted worker could start the same run again without a violation. */
static void
mark_at_most_once_ended(struct checker *checker,
                        const struct cw_task_name *task, unsigned run)
{
    struct cw_task_name first = *task;
    struct task_history *history;

    if (step_of(checker, task)->gang) {
        first.index = 0;
    }
    history = history_of(checker, &first);
    history->effective_run_ended =
        history->effective_run_ended || history->effective_run == run;
}

void
checker_ended(struct checker *checker, const struct cw_task_name *task,
              unsigned run, enum cw_end_kind how, bool calm)
{
    struct task_history *history = history_of(checker, task);

    if (checker_find_job(checker, task->job)->spec->once) {
        mark_at_most_once_ended(checker, task, run);
    }
    history->running--;
    checker_find_job(checker, task->job)->running--;
    checker_find_job(checker, task->job)->repeated -= history->is_repeated;
    history->is_repeated = false;
    history->current_run = 0;
    if (how == CW_END_KIND_DONE) {
        history->done++;
    }
    if (how == CW_END_KIND_GANG_INCOMPLETE && calm) {
        violate_task(checker, "GANG", task, run);
    }
}

void
checker_done_known(struct checker *checker, const struct cw_task_name *task,
                   int64_t known_ms)
{
    struct task_history *history = history_of(checker, task);

    history->known_ms =
        history->done > 1 ? MIN(history->known_ms, known_ms) : known_ms;
}

void
checker_check_unheard_ends(struct checker *checker)
{
    checker->checks_unheard_ends = true;
}

void
checker_confirmed(struct checker *checker, const struct cw_task_name *task,
                  unsigned run, enum cw_end_kind how, bool lapsed)
{
    struct task_history *history = history_of(checker, task);

    if (how == CW_END_KIND_DONE && !lapsed) {
        history->done_confirmed = true;
        if (history->last_run > run) {
            violate_task(checker, "TWICE before its end was confirmed", task,
                         run);
        }
    }
    if (how == CW_END_KIND_FAILED && !lapsed) {
        history->failed_confirmed++;
    }
}

void
checker_over_capacity(struct checker *checker, const struct cw_task_name *task,
                      unsigned run)
{
    violate_task(checker, "LIMIT", task, run);
}

void
checker_crashed(struct checker *checker, const struct cw_task_name *task)
{
    history_of(checker, task)->crashes++;
    checker->counts.crashes++;
}

/* True if a task of the job has crashed enough workers for the job to be given
 * up. */
static bool
may_be_given_up(struct checker *checker, const struct checker_job *job)
{
    struct cw_task_name name = {.job = job->id};

    for (; name.step < job->spec->steps.steps_len; name.step++) {
        const struct cw_step_spec *step =
            &job->spec->steps.steps_val[name.step];

        for (name.index = 0; name.index < step->tasks; name.index++) {
            if (history_of(checker, &name)->crashes >= CRASHES_TO_GIVE_UP) {
                return true;
            }
        }
    }
    return false;
}

bool
checker_all_done(struct checker *checker, const struct checker_job *job)
{
    for (unsigned k = 0; k < MAX(1, job->spec->repeats); k++) {
        for (unsigned i = 0; i < job->spec->steps.steps_len; i++) {
            if (!step_done(checker, job, k, i)) {
                return false;
            }
        }
    }
    return true;
}

void
checker_phase_reported(struct checker *checker, const char *id, unsigned phase)
{
    struct checker_job *job = checker_find_job(checker, id);

    if (job == NULL) {
        violate(checker, "MIXED a job that nobody submitted", id);
        return;
    }
    if (cw_work_is_over(phase)) {
        if (job->shown_final_phase != 0 && job->shown_final_phase != phase) {
            violate(checker, "MIXED two different final phases", id);
        }
        job->shown_final_phase = phase;
    }
    if (phase == CW_WORK_COMPLETED && !checker_all_done(checker, job)) {
        violate(checker, "MIXED completed too early", id);
    }
    if (phase == CW_WORK_CANCELLED && !job->cancel_sent) {
        violate(checker, "LOST cancelled without cause", id);
    }
    if (phase == CW_WORK_FAILED && job->plan_fails < job->spec->max_attempts &&
        !may_be_given_up(checker, job))
    {
        violate(checker, "LOST failed without cause", id);
    }
    if (phase == CW_WORK_LOST && !job->spec->once) {
        violate(checker, "LOST given up without cause", id);
    }
    if (phase == CW_WORK_REFUSED &&
        (job->started > 0 || job->spec->deadline_ms == 0))
    {
        violate(checker, "REFUSED and started", id);
    }
}

/* ---- jobs that could run and do not ---- */

const struct cw_step_spec *
checker_ready_step(struct checker *checker, const struct checker_job *job,
                   unsigned from)
{
    struct cw_task_name name = {.job = job->id, .step = from};

    if (!job->accepted || job->cancel_sent || job->shown_final_phase != 0 ||
        job->spec->repeats > 0)
    {
        return NULL;
    }
    for (; name.step < job->spec->steps.steps_len; name.step++) {
        if (!step_done(checker, job, 0, name.step) &&
            preceding_steps_done(checker, &name))
        {
            return &job->spec->steps.steps_val[name.step];
        }
    }
    return NULL;
}

bool
checker_only_crashing_task_left(struct checker *checker,
                                const struct checker_job *job)
{
    const struct cw_step_spec *first = &job->spec->steps.steps_val[0];
    struct cw_task_name name = {.job = job->id};
    bool crashing_left = false;

    for (; job->plan_crashing_task >= 0 && name.index < first->tasks;
         name.index++) {
        if (task_done(checker, &name)) {
            continue;
        }
        if (!first->gang && !crashes_workers(job, &name)) {
            return false;
        }
        crashing_left = true;
    }
    return crashing_left;
}

static void
violate_wait_at_finish(struct checker *checker, const struct checker_job *job)
{
    const struct cw_step_spec *step = checker_ready_step(checker, job, 0);
    char *what = g_strdup_printf("%s.0.%u of %u steps, %u tasks%s", job->id,
                                 (unsigned)(step - job->spec->steps.steps_val),
                                 job->spec->steps.steps_len, step->tasks,
                                 step->gang ? ", a gang" : "");

    violate(checker, "LOST could run and does not, at the end of the day",
            what);
    g_free(what);
}

static void
count_wait(struct checker *checker, struct checker_wait *wait, int64_t now_ms)
{
    unsigned ms = (unsigned)(now_ms - wait->since_ms);

    checker->counts.longest_wait_ms = MAX(checker->counts.longest_wait_ms, ms);
    if (ms >= LONG_WAIT_MS && !wait->is_counted) {
        wait->is_counted = true;
        checker->counts.long_waits++;
    }
}

/* When the best possible owner knows that the step is done. */
static int64_t
step_known_ms(struct checker *checker, const struct checker_job *job,
              unsigned number)
{
    const struct cw_step_spec *step = &job->spec->steps.steps_val[number];
    struct cw_task_name name = {.job = job->id, .step = number};
    int64_t first_ms = INT64_MAX;
    int64_t last_ms = 0;

    for (name.index = 0; name.index < step->tasks; name.index++) {
        const struct task_history *history = history_of(checker, &name);

        if (history->done > 0) {
            first_ms = MIN(first_ms, history->known_ms);
            last_ms = MAX(last_ms, history->known_ms);
        }
    }
    return step->gang ? first_ms : last_ms;
}

/* True if the best possible owner has started the job's next step by now. */
static bool
is_avoidable(struct checker *checker, const struct checker_job *job,
             int64_t now_ms)
{
    const struct cw_step_spec *step = checker_ready_step(checker, job, 0);

    for (u_int i = 0; i < step->after.after_len; i++) {
        if (step_known_ms(checker, job, step->after.after_val[i]) +
                STEP_START_MAX_MS >
            now_ms)
        {
            return false;
        }
    }
    return true;
}

static void
count_unheard_wait(struct checker *checker, const struct checker_job *job,
                   struct checker_wait *wait, int64_t now_ms)
{
    if (wait->is_counted) {
        return;
    }
    wait->is_counted = true;
    checker->counts.unheard_waits++;
    if (!is_avoidable(checker, job, now_ms)) {
        return;
    }
    checker->counts.avoidable_unheard_waits++;
    if (checker->checks_unheard_ends) {
        violate_wait_at_finish(checker, job);
    }
}

void
checker_check_wait(struct checker *checker, struct checker_job *job,
                   enum checker_wait_clause clause, bool runnable,
                   int64_t now_ms)
{
    struct checker_wait *wait = &job->waits[clause];
    bool unheard = clause == CHECKER_WAIT_UNHEARD;
    unsigned running = job->running - (unheard ? job->repeated : 0);
    unsigned started = job->started - (unheard ? job->repeated_starts : 0);

    if (running > 0 || !runnable) {
        wait->since_ms = 0;
        return;
    }
    if (wait->since_ms == 0 || wait->started != started) {
        wait->since_ms = now_ms;
        wait->started = started;
        wait->is_counted = false;
    }
    if (!unheard) {
        count_wait(checker, wait, now_ms);
    }
    if (now_ms - wait->since_ms < WAIT_MAX_MS) {
        return;
    }
    switch (clause) {
    case CHECKER_WAIT_CALM:
        violate(checker, "LOST could run and does not", job->id);
        break;
    case CHECKER_WAIT_FINISH:
        violate_wait_at_finish(checker, job);
        break;
    default:
        count_unheard_wait(checker, job, wait, now_ms);
    }
}

void
checker_final_phase(struct checker *checker, const struct checker_job *job,
                    int phase)
{
    if (job->refused && !job->outcome_unknown && !job->accepted &&
        job->started > 0)
    {
        violate(checker, "REFUSED", job->id);
    }
    if (job->accepted && phase < 0) {
        violate(checker, "LOST not known at the end", job->id);
    }
    if (job->accepted && phase >= 0 && !cw_work_is_over((unsigned)phase)) {
        violate(checker, "LOST not over at the end of the quiet time",
                job->id);
    }
    if (job->cancel_done && phase >= 0 && !cw_work_is_over((unsigned)phase)) {
        violate(checker, "UNASKED cancelled and not over", job->id);
    }
    checker->counts.accepted += job->accepted;
    checker->counts.completed += phase == CW_WORK_COMPLETED;
    checker->counts.failed += phase == CW_WORK_FAILED;
    checker->counts.wrongly_failed +=
        phase == CW_WORK_FAILED && job->plan_crashing_task < 0 &&
        job->plan_fails < job->spec->max_attempts;
    checker->counts.cancelled += phase == CW_WORK_CANCELLED;
    checker->counts.lost += phase == CW_WORK_LOST;
    checker->counts.refused += phase == CW_WORK_REFUSED;
}

const char *
checker_violation(const struct checker *checker)
{
    return checker->violation;
}

struct checker_counts
checker_counts(const struct checker *checker)
{
    return checker->counts;
}

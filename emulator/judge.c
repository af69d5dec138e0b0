/* The judge's books. */
#include "emulator/judge.h"

#include <string.h>

enum {
    CANCEL_MS = 3000,
    /* Nothing is started later than this after a cordon was acknowledged. */
    CORDON_MS = 5000,
    /* A task may be given up once so many workers have crashed under it. */
    CRASHES_TO_GIVE_UP = 2,
    /* After so many, a task that crashes workers is started less often than
     * so many times more. */
    CRASHES_MOST = 3,
    STARTS_AFTER_MOST = 3,
    /* So long a job may have nothing running although it could. */
    WAITS_MS = 3000,
    /* How much longer a long task takes, and what mixes its step and index
     * into the draw. */
    LONG_TIMES = 7,
    LONG_STEP = 31,
    LONG_INDEX = 7,
    PERCENT = 100
};

/* What has happened to a task. */
struct task_truth {
    unsigned running; /* runs on workers that live */
    unsigned done;    /* ends that were listed as done */
    bool done_confirmed;
    unsigned last_run; /* highest that was started */
    unsigned failed_confirmed;
    unsigned crashes;        /* of workers, under it */
    unsigned starts_beyond;  /* after the most crashes that are borne */
    unsigned worked_run;     /* of a job that may be begun once: that worked */
    bool worked_over;        /* ... and has ended, however */
    unsigned present_run;    /* that runs now; 0 none */
    GHashTable *failed_runs; /* of a gang: runs that were counted */
};

struct judge {
    GPtrArray *jobs;   /* struct judge_job */
    GHashTable *by_id; /* borrowed */
    GHashTable *tasks; /* name -> struct task_truth */
    char *violation;
    struct judge_counts counts;
};

static void
job_free(gpointer data)
{
    struct judge_job *job = data;

    xdr_free((xdrproc_t)xdr_cw_work_spec, (char *)job->spec);
    g_free(job->spec);
    g_free(job->id);
    g_free(job);
}

static void
truth_free(gpointer data)
{
    struct task_truth *truth = data;

    g_hash_table_unref(truth->failed_runs);
    g_free(truth);
}

struct judge *
judge_create(void)
{
    struct judge *judge = g_new0(struct judge, 1);

    judge->jobs = g_ptr_array_new_with_free_func(job_free);
    judge->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    judge->tasks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, truth_free);
    return judge;
}

void
judge_free(struct judge *judge)
{
    g_hash_table_unref(judge->tasks);
    g_hash_table_unref(judge->by_id);
    g_ptr_array_unref(judge->jobs);
    g_free(judge->violation);
    g_free(judge);
}

static void
violate(struct judge *judge, const char *rule, const char *what)
{
    if (judge->violation == NULL) {
        judge->violation = g_strdup_printf("%s: %s", rule, what);
    }
}

static void
violate_task(struct judge *judge, const char *rule,
             const struct cw_task_name *task, unsigned run)
{
    char *what =
        g_strdup_printf("%s.%u.%u.%u run %u", task->job, task->occurrence,
                        task->step, task->index, run);

    violate(judge, rule, what);
    g_free(what);
}

struct judge_job *
judge_add(struct judge *judge, struct cw_work_spec *spec, unsigned work_ms,
          unsigned fails)
{
    struct judge_job *job = g_new0(struct judge_job, 1);

    job->id = g_strdup(spec->id);
    job->spec = spec;
    job->plan_work_ms = work_ms;
    job->plan_fails = fails;
    job->plan_crashes = -1;
    job->refused = true;
    g_ptr_array_add(judge->jobs, job);
    g_hash_table_insert(judge->by_id, job->id, job);
    judge->counts.jobs++;
    return job;
}

struct judge_job *
judge_find(struct judge *judge, const char *id)
{
    return g_hash_table_lookup(judge->by_id, id);
}

GPtrArray *
judge_jobs(struct judge *judge)
{
    return judge->jobs;
}

static struct task_truth *
truth_of(struct judge *judge, const struct cw_task_name *task)
{
    char *name = g_strdup_printf("%s.%u.%u.%u", task->job, task->occurrence,
                                 task->step, task->index);
    struct task_truth *truth = g_hash_table_lookup(judge->tasks, name);

    if (truth == NULL) {
        truth = g_new0(struct task_truth, 1);
        truth->failed_runs = g_hash_table_new(NULL, NULL);
        g_hash_table_insert(judge->tasks, name, truth);
    }
    else {
        g_free(name);
    }
    return truth;
}

static const struct cw_step_spec *
step_of(struct judge *judge, const struct cw_task_name *task)
{
    const struct judge_job *job = judge_find(judge, task->job);

    if (job == NULL || task->step >= job->spec->steps.steps_len ||
        task->index >= job->spec->steps.steps_val[task->step].tasks)
    {
        return NULL;
    }
    return &job->spec->steps.steps_val[task->step];
}

/* True if the task is the one of its job that crashes workers. */
static bool
crashes_workers(const struct judge_job *job, const struct cw_task_name *task)
{
    return task->step == 0 && (int)task->index == job->plan_crashes;
}

/* Drawn from the task's name, so that all its runs are alike and the day's
 * other chances stay as they are. */
static bool
is_long(const struct judge_job *job, const struct cw_task_name *task)
{
    unsigned mark = g_str_hash(task->job) + (task->step + 1) * LONG_STEP +
                    task->index * LONG_INDEX;

    return mark % PERCENT < job->plan_tails;
}

bool
judge_plan(struct judge *judge, const struct cw_task_name *task,
           struct task_plan *out)
{
    const struct cw_step_spec *step = step_of(judge, task);
    const struct judge_job *job = judge_find(judge, task->job);

    if (step == NULL) {
        violate_task(judge, "UNASKED", task, 0);
        return false;
    }
    out->work_ms = job->plan_work_ms;
    if (is_long(job, task)) {
        out->work_ms *= LONG_TIMES;
    }
    out->fails = job->plan_fails;
    out->members = step->gang ? step->tasks : 0;
    out->checkpoints = step->checkpoints;
    out->crashes = crashes_workers(job, task);
    out->need.cpu_milli = step->cpu_milli;
    out->need.memory_mb = step->memory_mb;
    out->need.accelerators = step->accelerators;
    return true;
}

/* True if the step's tasks have ended as done; one end stands for a whole
 * gang. */
static bool
step_done(struct judge *judge, const struct judge_job *job,
          unsigned occurrence, unsigned number)
{
    const struct cw_step_spec *step = &job->spec->steps.steps_val[number];
    struct cw_task_name name = {
        .job = job->id, .occurrence = occurrence, .step = number};
    unsigned done = 0;

    for (name.index = 0; name.index < step->tasks; name.index++) {
        done += truth_of(judge, &name)->done > 0;
    }
    return step->gang ? done > 0 : done == step->tasks;
}

/* True if the steps before are done. */
static bool
earlier_done(struct judge *judge, const struct cw_task_name *task)
{
    const struct judge_job *job = judge_find(judge, task->job);
    const struct cw_step_spec *step = step_of(judge, task);

    for (u_int i = 0; i < step->after.after_len; i++) {
        if (!step_done(judge, job, task->occurrence, step->after.after_val[i]))
        {
            return false;
        }
    }
    return true;
}

/* True if the run works from now on: a gang's only once all are present. */
static bool
works_now(struct judge *judge, const struct cw_task_name *task, unsigned run)
{
    const struct cw_step_spec *step = step_of(judge, task);
    struct cw_task_name name = *task;

    for (name.index = 0; step->gang && name.index < step->tasks; name.index++)
    {
        if (truth_of(judge, &name)->present_run != run) {
            return false;
        }
    }
    return true;
}

/* A job that must not be begun a second time. */
static void
check_once(struct judge *judge, const struct cw_task_name *task, unsigned run)
{
    const struct judge_job *job = judge_find(judge, task->job);
    struct cw_task_name first = *task;
    struct task_truth *truth;

    if (!job->spec->once || !works_now(judge, task, run)) {
        return;
    }
    if (step_of(judge, task)->gang) {
        first.index = 0; /* stands for the gang */
    }
    truth = truth_of(judge, &first);
    if (truth->worked_over ||
        (truth->worked_run != 0 && truth->worked_run != run)) {
        violate_task(judge, "ONCE begun a second time", task, run);
    }
    truth->worked_run = run;
}

void
judge_misplaced(struct judge *judge, const struct cw_task_name *task,
                unsigned run)
{
    violate_task(judge, "PLACE its data may not live there", task, run);
}

void
judge_started_in_cordon(struct judge *judge, const struct cw_task_name *task,
                        unsigned run, int64_t age_ms)
{
    if (age_ms > CORDON_MS) {
        violate_task(judge, "CORDON its data centre takes no new work", task,
                     run);
    }
}

void
judge_started(struct judge *judge, const struct cw_task_name *task,
              unsigned run, int64_t now_ms, bool calm)
{
    struct task_truth *truth = truth_of(judge, task);
    struct judge_job *job = judge_find(judge, task->job);

    judge->counts.starts++;
    job->started++;
    job->running++;
    if (truth->running > 0) {
        violate_task(judge, "TWICE at the same time", task, run);
    }
    truth->running++;
    if (truth->done_confirmed) {
        violate_task(judge, "TWICE after its confirmed end", task, run);
    }
    truth->last_run = MAX(truth->last_run, run);
    truth->present_run = run;
    check_once(judge, task, run);
    if (truth->failed_confirmed >= job->spec->max_attempts) {
        violate_task(judge, "BUDGET", task, run);
    }
    if (crashes_workers(job, task) && truth->crashes >= CRASHES_MOST &&
        ++truth->starts_beyond >= STARTS_AFTER_MOST)
    {
        violate_task(judge, "BUDGET crashes", task, run);
    }
    if (!earlier_done(judge, task)) {
        violate_task(judge, "ORDER", task, run);
    }
    if (calm && job->cancel_done && now_ms > job->cancel_ms + CANCEL_MS) {
        violate_task(judge, "UNASKED after its cancellation", task, run);
    }
}

/* The same run may be begun anew by a worker that has started again. */
static void
note_once_over(struct judge *judge, const struct cw_task_name *task,
               unsigned run)
{
    struct cw_task_name first = *task;
    struct task_truth *truth;

    if (step_of(judge, task)->gang) {
        first.index = 0;
    }
    truth = truth_of(judge, &first);
    truth->worked_over = truth->worked_over || truth->worked_run == run;
}

void
judge_ended(struct judge *judge, const struct cw_task_name *task, unsigned run,
            enum cw_end_kind how, bool calm)
{
    struct task_truth *truth = truth_of(judge, task);

    if (judge_find(judge, task->job)->spec->once) {
        note_once_over(judge, task, run);
    }
    truth->running--;
    judge_find(judge, task->job)->running--;
    truth->present_run = 0;
    if (how == CW_END_KIND_DONE) {
        truth->done++;
    }
    if (how == CW_END_KIND_GANG_INCOMPLETE && calm) {
        violate_task(judge, "GANG", task, run);
    }
}

void
judge_confirmed(struct judge *judge, const struct cw_task_name *task,
                unsigned run, enum cw_end_kind how, bool lapsed)
{
    struct task_truth *truth = truth_of(judge, task);

    if (how == CW_END_KIND_DONE && !lapsed) {
        truth->done_confirmed = true;
        if (truth->last_run > run) {
            violate_task(judge, "TWICE before its end was confirmed", task,
                         run);
        }
    }
    if (how == CW_END_KIND_FAILED && !lapsed) {
        truth->failed_confirmed++;
    }
}

void
judge_crowded(struct judge *judge, const struct cw_task_name *task,
              unsigned run)
{
    violate_task(judge, "LIMIT", task, run);
}

void
judge_crashed(struct judge *judge, const struct cw_task_name *task)
{
    truth_of(judge, task)->crashes++;
    judge->counts.crashes++;
}

/* True if workers have crashed under a task of the job so often that it may
 * be given up. */
static bool
may_be_given_up(struct judge *judge, const struct judge_job *job)
{
    struct cw_task_name name = {.job = job->id};

    for (; name.step < job->spec->steps.steps_len; name.step++) {
        const struct cw_step_spec *step =
            &job->spec->steps.steps_val[name.step];

        for (name.index = 0; name.index < step->tasks; name.index++) {
            if (truth_of(judge, &name)->crashes >= CRASHES_TO_GIVE_UP) {
                return true;
            }
        }
    }
    return false;
}

/* True if every step of the job is done. */
static bool
all_done(struct judge *judge, const struct judge_job *job)
{
    for (unsigned i = 0; i < job->spec->steps.steps_len; i++) {
        if (!step_done(judge, job, 0, i)) {
            return false;
        }
    }
    return true;
}

void
judge_shown(struct judge *judge, const char *id, unsigned phase)
{
    struct judge_job *job = judge_find(judge, id);

    if (job == NULL) {
        violate(judge, "MIXED a job that nobody handed in", id);
        return;
    }
    if (cw_work_is_over(phase)) {
        if (job->shown_over != 0 && job->shown_over != phase) {
            violate(judge, "MIXED two different ends", id);
        }
        job->shown_over = phase;
    }
    if (phase == CW_WORK_COMPLETED && !all_done(judge, job)) {
        violate(judge, "MIXED completed too early", id);
    }
    if (phase == CW_WORK_CANCELLED && !job->cancel_sent) {
        violate(judge, "LOST cancelled without cause", id);
    }
    if (phase == CW_WORK_FAILED && job->plan_fails < job->spec->max_attempts &&
        !may_be_given_up(judge, job))
    {
        violate(judge, "LOST failed without cause", id);
    }
    if (phase == CW_WORK_LOST && !job->spec->once) {
        violate(judge, "LOST given up without cause", id);
    }
    if (phase == CW_WORK_REFUSED &&
        (job->started > 0 || job->spec->deadline_ms == 0))
    {
        violate(judge, "REFUSED and started", id);
    }
}

/* ---- work that could run and does not ---- */

const struct cw_step_spec *
judge_step_in_turn(struct judge *judge, const struct judge_job *job)
{
    struct cw_task_name name = {.job = job->id};

    if (!job->accepted || job->cancel_sent || job->shown_over != 0) {
        return NULL;
    }
    for (; name.step < job->spec->steps.steps_len; name.step++) {
        if (!step_done(judge, job, 0, name.step) && earlier_done(judge, &name))
        {
            return &job->spec->steps.steps_val[name.step];
        }
    }
    return NULL;
}

void
judge_look(struct judge *judge, struct judge_job *job, bool could,
           int64_t now_ms)
{
    if (job->running > 0 || !could) {
        job->waits_since_ms = 0;
        return;
    }
    if (job->waits_since_ms == 0 || job->waits_started != job->started) {
        job->waits_since_ms = now_ms;
        job->waits_started = job->started;
    }
    if (now_ms - job->waits_since_ms >= WAITS_MS) {
        violate(judge, "LOST could run and does not", job->id);
    }
}

void
judge_final(struct judge *judge, const struct judge_job *job, int phase)
{
    if (job->refused && !job->possible && !job->accepted && job->started > 0) {
        violate(judge, "REFUSED", job->id);
    }
    if (job->accepted && phase < 0) {
        violate(judge, "LOST not known", job->id);
    }
    if (job->accepted && phase >= 0 && !cw_work_is_over((unsigned)phase)) {
        violate(judge, "LOST not over in quiet time", job->id);
    }
    if (job->cancel_done && phase >= 0 && !cw_work_is_over((unsigned)phase)) {
        violate(judge, "UNASKED cancelled and not over", job->id);
    }
    judge->counts.accepted += job->accepted;
    judge->counts.completed += phase == CW_WORK_COMPLETED;
    judge->counts.failed += phase == CW_WORK_FAILED;
    judge->counts.innocent += phase == CW_WORK_FAILED &&
                              job->plan_crashes < 0 &&
                              job->plan_fails < job->spec->max_attempts;
    judge->counts.cancelled += phase == CW_WORK_CANCELLED;
    judge->counts.lost += phase == CW_WORK_LOST;
    judge->counts.refused += phase == CW_WORK_REFUSED;
}

const char *
judge_violation(const struct judge *judge)
{
    return judge->violation;
}

struct judge_counts
judge_counts(const struct judge *judge)
{
    return judge->counts;
}

/* At-most-once jobs, which must not be begun a second time.
 *
 * A task is not started again after a start that may have been carried out.
 * It may be retried only if the earlier run certainly executed nothing: the
 * worker refused the start, a worker that has received a higher fencing token
 * does not report the run, or a member of its gang was never started.
 *
 * Also limits the accelerators that such jobs may occupy, as they cannot be
 * preempted. */
#include "owner/internal/owner_private.h"

#include <string.h>

bool
owner_at_most_once_protects(const struct owner_run *run)
{
    return owner_task_job(run->task)->spec->once && run->phase >= RUN_STARTING;
}

/* ---- guarantees ---- */

/* Accelerators of an account's runs that cannot be preempted, on the workers
 * of a service. */
struct unpreemptible {
    const char *service; /* interned */
    char *account;
    int64_t accelerators;
};

static void
unpreemptible_clear(gpointer row)
{
    g_free(((struct unpreemptible *)row)->account);
}

GArray *
owner_unpreemptible_new(void)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct unpreemptible));

    g_array_set_clear_func(rows, unpreemptible_clear);
    return rows;
}

void
owner_at_most_once_count(struct cw_owner *owner, const struct owner_run *run,
                         int sign)
{
    const struct owner_job *job = owner_task_job(run->task);
    struct unpreemptible row = {.service = job->service};

    if (!job->spec->once) {
        return;
    }
    row.accelerators = sign * (int64_t)run->task->step->spec->accelerators;
    for (guint i = 0; i < owner->unpreemptible->len; i++) {
        struct unpreemptible *known =
            &g_array_index(owner->unpreemptible, struct unpreemptible, i);

        if (known->service == row.service &&
            strcmp(known->account, job->spec->account) == 0)
        {
            known->accelerators += row.accelerators;
            return;
        }
    }
    row.account = g_strdup(job->spec->account);
    g_array_append_val(owner->unpreemptible, row);
}

/* Number of accelerators of the service's workers. */
static int64_t
count_accelerators(const struct cw_owner *owner, const char *service)
{
    int64_t total = 0;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;

        if (target->service == service && target->listed &&
            !target->draining && !target->superseded &&
            owner_target_accepts_work(target))
        {
            total += target->capacity.accelerators;
        }
    }
    return total;
}

static int64_t
guarantee_of(const struct cw_routing *routing, const char *name)
{
    const struct cw_account *account =
        cw_routing_account_by_name(routing, name);

    return account != NULL ? account->guaranteed_accelerators : 0;
}

/* Returns the accelerators of the service that work which cannot be preempted
 * uses beyond its accounts' guarantees, with `more` for the job's account. */
static int64_t
beyond_guarantees(const struct cw_owner *owner, const struct owner_job *job,
                  int64_t more)
{
    int64_t excess = 0;

    for (guint i = 0; i < owner->unpreemptible->len; i++) {
        const struct unpreemptible *row =
            &g_array_index(owner->unpreemptible, struct unpreemptible, i);
        int64_t used = row->accelerators;

        if (row->service != job->service) {
            continue;
        }
        if (strcmp(row->account, job->spec->account) == 0) {
            used += more;
            more = 0;
        }
        excess += MAX(0, used - guarantee_of(owner->routing, row->account));
    }
    return excess +
           MAX(0, more - guarantee_of(owner->routing, job->spec->account));
}

static int64_t
sum_of_guarantees(const struct cw_routing *routing)
{
    int64_t sum = 0;

    for (guint i = 0; i < routing->accounts->len; i++) {
        const struct cw_account *account = routing->accounts->pdata[i];

        sum += account->guaranteed_accelerators;
    }
    return sum;
}

#ifdef __SANITIZE_ADDRESS__
/* Computes the table's entry for the job's account anew. */
static void
check_unpreemptible(const struct cw_owner *owner, const struct owner_job *job)
{
    int64_t counted = 0;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;

        for (guint i = 0; i < target->runs->len; i++) {
            const struct owner_run *run = target->runs->pdata[i];
            const struct owner_job *other = owner_task_job(run->task);

            if (other->spec->once && other->service == job->service &&
                strcmp(other->spec->account, job->spec->account) == 0)
            {
                counted += run->task->step->spec->accelerators;
            }
        }
    }
    for (guint i = 0; i < owner->unpreemptible->len; i++) {
        const struct unpreemptible *row =
            &g_array_index(owner->unpreemptible, struct unpreemptible, i);

        if (row->service == job->service &&
            strcmp(row->account, job->spec->account) == 0)
        {
            counted -= row->accelerators;
        }
    }
    g_assert(counted == 0);
}
#endif

/* Work that cannot be preempted may use its account's guarantee, and beyond
 * that only accelerators that no guarantee covers: the others have to stay
 * reclaimable. */
bool
owner_at_most_once_may_start(const struct cw_owner *owner,
                             const struct owner_step *step)
{
    const struct owner_job *job = step->occurrence->job;
    int64_t excess;

    if (!job->spec->once || owner->routing == NULL) {
        return true;
    }
#ifdef __SANITIZE_ADDRESS__
    check_unpreemptible(owner, job);
#endif
    excess = beyond_guarantees(owner, job,
                               (int64_t)owner_step_waiting_tasks(step) *
                                   step->spec->accelerators);
    return excess == 0 || excess + sum_of_guarantees(owner->routing) <=
                              count_accelerators(owner, job->service);
}

/* ---- ends ---- */

/* True if the run's gang certainly never worked: a gang works only once all
 * its members have been started. */
static bool
gang_never_worked(const struct owner_run *run)
{
    const struct owner_step *step = run->task->step;

    return step->spec->gang && step->unstarted_run_max >= run->number;
}

void
owner_at_most_once_run_over(struct cw_owner *owner,
                            const struct owner_run *run, bool worked,
                            enum cw_result reason)
{
    struct owner_job *job = owner_task_job(run->task);

    if (!job->spec->once || cw_work_is_over(job->phase) || run->gang_done ||
        run->phase < RUN_STARTING || !worked || gang_never_worked(run))
    {
        return;
    }
    owner_job_end(owner, job, CW_WORK_LOST, reason);
}

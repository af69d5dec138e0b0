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

static void
add_unpreemptible(GHashTable *unpreemptible, const char *account,
                  int64_t accelerators)
{
    int64_t before =
        GPOINTER_TO_SIZE(g_hash_table_lookup(unpreemptible, account));

    g_hash_table_insert(unpreemptible, (gpointer)account,
                        GSIZE_TO_POINTER(before + accelerators));
}

/* Number of accelerators of the service's workers; adds to `unpreemptible`, by
 * account, those of runs that cannot be preempted. */
static int64_t
count_accelerators(const struct cw_owner *owner, const char *service,
                   GHashTable *unpreemptible)
{
    int64_t total = 0;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;

        if (strcmp(target->service, service) != 0) {
            continue;
        }
        if (target->listed && !target->draining && !target->superseded &&
            owner_target_accepts_work(target))
        {
            total += target->capacity.accelerators;
        }
        for (guint i = 0; i < target->runs->len; i++) {
            const struct owner_run *run = target->runs->pdata[i];
            const struct cw_work_spec *spec = owner_task_job(run->task)->spec;

            if (spec->once) {
                add_unpreemptible(unpreemptible, spec->account,
                                  run->task->step->spec->accelerators);
            }
        }
    }
    return total;
}

static int64_t
beyond_guarantees(const struct cw_routing *routing, GHashTable *unpreemptible)
{
    int64_t excess = 0;
    GHashTableIter iterator;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iterator, unpreemptible);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const struct cw_account *account =
            cw_routing_account_by_name(routing, key);
        int64_t guaranteed =
            account != NULL ? account->guaranteed_accelerators : 0;

        excess += MAX(0, (int64_t)GPOINTER_TO_SIZE(value) - guaranteed);
    }
    return excess;
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

/* Work that cannot be preempted may use its account's guarantee, and beyond
 * that only accelerators that no guarantee covers: the others have to stay
 * reclaimable. */
bool
owner_at_most_once_may_start(const struct cw_owner *owner,
                             const struct owner_step *step)
{
    const struct cw_work_spec *spec = step->occurrence->job->spec;
    GHashTable *unpreemptible;
    int64_t total;
    int64_t excess;

    if (!spec->once || owner->routing == NULL) {
        return true;
    }
    unpreemptible = g_hash_table_new(g_str_hash, g_str_equal);
    total = count_accelerators(owner, spec->service, unpreemptible);
    add_unpreemptible(unpreemptible, spec->account,
                      (int64_t)owner_step_waiting_tasks(step) *
                          step->spec->accelerators);
    excess = beyond_guarantees(owner->routing, unpreemptible);
    g_hash_table_unref(unpreemptible);
    return excess == 0 || excess + sum_of_guarantees(owner->routing) <= total;
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

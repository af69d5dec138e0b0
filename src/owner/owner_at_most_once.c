/* Jobs that must not be begun a second time.
 *
 * A start that may have been carried out is the last one.  What is known
 * never to have worked may be tried again: a start that the worker refused,
 * one that a worker under a higher fencing token does not list, a gang of
 * which a member was never started. */
#include "owner/internal/owner_private.h"

#include <string.h>

bool
owner_at_most_once_protects(const struct owner_run *run)
{
    return owner_task_job(run->task)->spec->once && run->phase >= RUN_STARTING;
}

/* ---- guarantees ---- */

static void
add_held(GHashTable *held, const char *account, int64_t accelerators)
{
    int64_t before = GPOINTER_TO_SIZE(g_hash_table_lookup(held, account));

    g_hash_table_insert(held, (gpointer)account,
                        GSIZE_TO_POINTER(before + accelerators));
}

/* Accelerators of the service's workers; in `held` those of runs that will
 * not give way, by account. */
static int64_t
count_held(const struct cw_owner *owner, const char *service, GHashTable *held)
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
                add_held(held, spec->account,
                         run->task->step->spec->accelerators);
            }
        }
    }
    return total;
}

static int64_t
held_beyond_guarantees(const struct cw_routing *routing, GHashTable *held)
{
    int64_t beyond = 0;
    GHashTableIter iterator;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iterator, held);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const struct cw_account *account =
            cw_routing_account_by_name(routing, key);
        int64_t guaranteed =
            account != NULL ? account->guaranteed_accelerators : 0;

        beyond += MAX(0, (int64_t)GPOINTER_TO_SIZE(value) - guaranteed);
    }
    return beyond;
}

static int64_t
all_guarantees(const struct cw_routing *routing)
{
    int64_t sum = 0;

    for (guint i = 0; i < routing->accounts->len; i++) {
        const struct cw_account *account = routing->accounts->pdata[i];

        sum += account->guaranteed_accelerators;
    }
    return sum;
}

/* Work that does not give way may take what its account is guaranteed, and
 * beside that only what no guarantee covers: the rest has to stay
 * reclaimable. */
bool
owner_at_most_once_may_start(const struct cw_owner *owner,
                             const struct owner_step *step)
{
    const struct cw_work_spec *spec = step->occurrence->job->spec;
    GHashTable *held;
    int64_t total;
    int64_t beyond;

    if (!spec->once || owner->routing == NULL) {
        return true;
    }
    held = g_hash_table_new(g_str_hash, g_str_equal);
    total = count_held(owner, spec->service, held);
    add_held(held, spec->account,
             (int64_t)owner_step_waiting_tasks(step) *
                 step->spec->accelerators);
    beyond = held_beyond_guarantees(owner->routing, held);
    g_hash_table_unref(held);
    return beyond == 0 || beyond + all_guarantees(owner->routing) <= total;
}

/* ---- ends ---- */

/* A gang works only once all its members are present. */
static bool
gang_never_whole(const struct owner_run *run)
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
        run->phase < RUN_STARTING || !worked || gang_never_whole(run))
    {
        return;
    }
    owner_job_end(owner, job, CW_WORK_LOST, reason);
}

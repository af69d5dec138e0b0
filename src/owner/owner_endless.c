/* Work that lasts: how many tasks of a step may be away at a time. */
#include "owner/internal/owner_private.h"

enum { AT_WORK_PERCENT = 100 };

static bool
is_at_work(const struct owner_run *run)
{
    return run != NULL && run->phase == RUN_RUNNING && !run->stopping &&
           run->percent == AT_WORK_PERCENT;
}

bool
owner_endless_protects(const struct owner_run *run, GHashTable *leaving)
{
    const struct owner_step *step = run->task->step;
    unsigned away = 0;

    if (!step->spec->endless || step->spec->may_miss == 0 || !is_at_work(run))
    {
        return false;
    }
    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_run *other = step->tasks[i].run;

        away += other != run &&
                (!is_at_work(other) ||
                 (leaving != NULL && g_hash_table_contains(leaving, other)));
    }
    return away >= step->spec->may_miss;
}

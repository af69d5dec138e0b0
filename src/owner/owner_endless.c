/* Endless steps: the limit on tasks that are unavailable at the same time. */
#include "owner/internal/owner_private.h"

enum { IN_SERVICE_PERCENT = 100 };

static bool
is_in_service(const struct owner_run *run)
{
    return run != NULL && run->phase == RUN_RUNNING && !run->stopping &&
           run->percent == IN_SERVICE_PERCENT;
}

bool
owner_endless_protects(const struct owner_run *run, GHashTable *stopping_runs)
{
    const struct owner_step *step = run->task->step;
    unsigned unavailable = 0;

    if (!step->spec->endless || step->spec->may_miss == 0 ||
        !is_in_service(run)) {
        return false;
    }
    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_run *other = step->tasks[i].run;

        unavailable +=
            other != run && (!is_in_service(other) ||
                             (stopping_runs != NULL &&
                              g_hash_table_contains(stopping_runs, other)));
    }
    return unavailable >= step->spec->may_miss;
}

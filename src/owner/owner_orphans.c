/* Orphans: runs that a worker lists and that are no task's current run there,
 * as their start was carried out late, or as they were given up.  Until they
 * are listed no more they take resources of the worker, and count against the
 * limit of their step's tasks on it. */
#include "owner/internal/owner_private.h"

#include <string.h>

struct owner_orphan {
    char *job;
    unsigned occurrence;
    unsigned step;
};

static void
orphan_clear(gpointer data)
{
    g_free(((struct owner_orphan *)data)->job);
}

GArray *
owner_orphans_new(void)
{
    GArray *runs = g_array_new(FALSE, FALSE, sizeof(struct owner_orphan));

    g_array_set_clear_func(runs, orphan_clear);
    return runs;
}

void
owner_orphans_reset(struct owner_target *target)
{
    target->orphans = (struct cw_resources){0};
    g_array_set_size(target->orphan_runs, 0);
}

void
owner_orphan_add(struct owner_target *target, const struct cw_task_name *task)
{
    const struct owner_task *known = owner_task_find(target->owner, task);
    /* The whole worker's if its job is not known any more. */
    struct cw_resources need =
        known != NULL ? owner_step_need(known->step->spec) : target->capacity;
    struct owner_orphan orphan = {.job = g_strdup(task->job),
                                  .occurrence = task->occurrence,
                                  .step = task->step};

    owner_resources_add(&target->orphans, &need);
    g_array_append_val(target->orphan_runs, orphan);
}

unsigned
owner_orphans_of_step(const struct owner_target *target,
                      const struct owner_step *step)
{
    unsigned count = 0;

    for (guint i = 0; i < target->orphan_runs->len; i++) {
        const struct owner_orphan *orphan =
            &g_array_index(target->orphan_runs, struct owner_orphan, i);

        count += orphan->step == step->number &&
                 orphan->occurrence == step->occurrence->number &&
                 strcmp(orphan->job, step->occurrence->job->spec->id) == 0;
    }
    return count;
}

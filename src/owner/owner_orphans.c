/* Orphans: runs that a worker lists and that are no task's current run there,
 * as their start was carried out late, or as they were given up.  Until they
 * are listed no more they take resources of the worker, and count against the
 * limit of their step's tasks on it.
 *
 * A run whose start may have been carried out shortly before its stop, which
 * the worker has confirmed, counts as an orphan until the worker has answered
 * a poll that was sent after that. */
#include "owner/internal/owner_orphans.h"

#include "owner/internal/owner_private.h"

#include <string.h>

struct owner_orphan {
    char *job;
    unsigned occurrence;
    unsigned step;
    struct cw_resources need;
    struct timespec presumed_at; /* 0: it is listed */
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
owner_orphans_reset(struct owner_target *target, struct timespec sent)
{
    for (guint i = target->orphan_runs->len; i > 0; i--) {
        const struct owner_orphan *orphan =
            &g_array_index(target->orphan_runs, struct owner_orphan, i - 1);

        if (cw_time_before(orphan->presumed_at, sent)) {
            owner_resources_subtract(&target->orphans, &orphan->need);
            g_array_remove_index_fast(target->orphan_runs, i - 1);
        }
    }
}

static void
add(struct owner_target *target, const struct cw_task_name *task,
    struct timespec presumed_at)
{
    const struct owner_task *known = owner_task_find(target->owner, task);
    struct owner_orphan orphan = {.job = g_strdup(task->job),
                                  .occurrence = task->occurrence,
                                  .step = task->step,
                                  .need = target->capacity,
                                  .presumed_at = presumed_at};

    /* The whole worker's if its job is not known any more. */
    if (known != NULL) {
        orphan.need = owner_step_need(known->step->spec);
    }
    owner_resources_add(&target->orphans, &orphan.need);
    g_array_append_val(target->orphan_runs, orphan);
}

void
owner_orphan_add(struct owner_target *target, const struct cw_task_name *task)
{
    add(target, task, (struct timespec){0});
}

void
owner_orphan_presume(struct owner_target *target,
                     const struct cw_task_name *task, struct timespec now)
{
    add(target, task, now);
}

bool
owner_orphans_presumed(const struct owner_target *target)
{
    for (guint i = 0; i < target->orphan_runs->len; i++) {
        if (g_array_index(target->orphan_runs, struct owner_orphan, i)
                .presumed_at.tv_sec > 0)
        {
            return true;
        }
    }
    return false;
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

bool
owner_target_has_orphans(const struct owner_target *target)
{
    return target->orphan_runs->len > 0;
}

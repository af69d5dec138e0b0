/* Tombstones of runs that were given up while their start may still arrive at
 * the worker.
 *
 * A worker carries a start out while its own lease lasts, whatever lease the
 * start grants.  A start that was delayed for longer than the lease is refused
 * only until the worker's lease is extended for other work: then the task
 * would run at the same time as, or after, its next run.  So before the lease
 * is extended again, a stop of the old run has to be confirmed by the worker,
 * which then refuses the start.  Until then the worker gets no other work.
 *
 * No time is long enough to do without the stop: a start may be held up by a
 * cut of the link first, and by the worker after that.
 */
#include "owner/internal/owner_private.h"

#include <string.h>

enum { STOP_RETRY_MS = 300 };

struct owner_tombstone {
    char *job;
    struct cw_task_name task; /* task.job points to `job` */
    unsigned run;
    struct timespec due; /* no stop is sent before */
    bool queued;         /* a stop is queued or in flight */
};

static void
tombstone_free(gpointer data)
{
    struct owner_tombstone *tombstone = data;

    g_free(tombstone->job);
    g_free(tombstone);
}

GPtrArray *
owner_tombstones_new(void)
{
    return g_ptr_array_new_with_free_func(tombstone_free);
}

void
owner_tombstone_add(const struct owner_run *run)
{
    struct cw_task_name name = owner_task_name(run->task);
    struct owner_tombstone *tombstone;

    if (run->phase != RUN_STARTING || run->stop_confirmed) {
        return;
    }
    tombstone = g_new0(struct owner_tombstone, 1);
    tombstone->job = g_strdup(name.job);
    tombstone->task = name;
    tombstone->task.job = tombstone->job;
    tombstone->run = run->number;
    g_ptr_array_add(run->target->tombstones, tombstone);
    cw_log_info("start_tombstoned", "id=%s task=%u.%u.%u run=%u worker=%s",
                name.job, name.occurrence, name.step, name.index, run->number,
                run->target->id);
}

void
owner_tombstone_unqueue(struct owner_target *target)
{
    for (guint i = 0; i < target->tombstones->len; i++) {
        ((struct owner_tombstone *)target->tombstones->pdata[i])->queued =
            false;
    }
}

bool
owner_tombstone_pending(const struct owner_target *target)
{
    return target->tombstones->len > 0;
}

void
owner_tombstone_answered(struct owner_target *target,
                         const struct cw_task_name *task, unsigned run,
                         bool confirmed, struct timespec now)
{
    for (guint i = 0; i < target->tombstones->len; i++) {
        struct owner_tombstone *tombstone = target->tombstones->pdata[i];

        if (tombstone->run != run ||
            tombstone->task.occurrence != task->occurrence ||
            tombstone->task.step != task->step ||
            tombstone->task.index != task->index ||
            strcmp(tombstone->job, task->job) != 0)
        {
            continue;
        }
        if (confirmed) {
            owner_orphan_presume(target, task, now);
            target->poll_due = now;
            g_ptr_array_remove_index_fast(target->tombstones, i);
            target->owner->placement_wanted = true;
        }
        else {
            tombstone->queued = false;
            tombstone->due = cw_time_add_ms(now, STOP_RETRY_MS);
        }
        return;
    }
}

/* False if stops would not reach the worker. */
static bool
accepts_stops(const struct owner_target *target)
{
    return target->listed && !target->superseded &&
           target->address[0] != '\0' && target->answered &&
           target->unanswered_polls == 0;
}

struct timespec
owner_tombstone_tick(struct owner_target *target, struct timespec now)
{
    struct timespec next = cw_time_from_ms(INT32_MAX);

    if (!accepts_stops(target)) {
        return next;
    }
    for (guint i = 0; i < target->tombstones->len; i++) {
        struct owner_tombstone *tombstone = target->tombstones->pdata[i];

        if (tombstone->queued) {
            continue;
        }
        if (cw_time_before(now, tombstone->due)) {
            cw_time_set_earlier(&next, tombstone->due);
        }
        else {
            tombstone->queued = true;
            owner_order_queue(target->owner, target, CW_ORDER_STOP,
                              &tombstone->task, tombstone->run);
        }
    }
    return next;
}

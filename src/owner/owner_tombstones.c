/* Tombstones of runs that were given up while a start of them may still
 * arrive.
 *
 * A worker carries a start out as long as its own lease lasts, whatever the
 * start gives it.  One that was held back on its way for longer than the lease
 * is refused only until the worker's lease is extended for other work: then
 * the task would run beside, or after, its next run.  So before anything
 * extends the lease again, a stop of that run is confirmed there: the worker
 * then refuses the start.  It takes no work meanwhile, for one exchange.
 */
#include "owner/internal/owner_private.h"

#include <string.h>

enum {
    /* The platform carries an order out 12 s after it was sent at the latest;
     * and a second more. */
    ARRIVES_WITHIN_MS = 13000,
    RETRY_MS = 300
};

struct owner_tombstone {
    char *job;
    struct cw_task_name task; /* its job is the text above */
    unsigned run;
    struct timespec sent_at; /* the start, last */
    struct timespec due;
    bool queued; /* a stop waits or is under way */
};

static void
tombstone_free(gpointer data)
{
    struct owner_tombstone *entry = data;

    g_free(entry->job);
    g_free(entry);
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
    struct owner_tombstone *entry;

    if (run->phase != RUN_STARTING || run->stop_confirmed) {
        return;
    }
    entry = g_new0(struct owner_tombstone, 1);
    entry->job = g_strdup(name.job);
    entry->task = name;
    entry->task.job = entry->job;
    entry->run = run->number;
    entry->sent_at = run->sent_at;
    g_ptr_array_add(run->target->tombstones, entry);
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
        struct owner_tombstone *entry = target->tombstones->pdata[i];

        if (entry->run != run || entry->task.occurrence != task->occurrence ||
            entry->task.step != task->step ||
            entry->task.index != task->index ||
            strcmp(entry->job, task->job) != 0)
        {
            continue;
        }
        if (confirmed) {
            g_ptr_array_remove_index_fast(target->tombstones, i);
            target->owner->placement_wanted = true;
        }
        else {
            entry->queued = false;
            entry->due = cw_time_add_ms(now, RETRY_MS);
        }
        return;
    }
}

struct timespec
owner_tombstone_tick(struct owner_target *target, struct timespec now)
{
    struct timespec next = cw_time_from_ms(INT32_MAX);
    bool heard = target->answered && target->unanswered_polls == 0;
    guint i = 0;

    while (i < target->tombstones->len) {
        struct owner_tombstone *entry = target->tombstones->pdata[i];

        if (cw_time_diff_ms(entry->sent_at, now) > ARRIVES_WITHIN_MS) {
            g_ptr_array_remove_index_fast(target->tombstones, i);
            continue;
        }
        if (heard && !entry->queued && !cw_time_before(now, entry->due)) {
            entry->queued = true;
            owner_order_queue(target->owner, target, CW_ORDER_STOP,
                              &entry->task, entry->run);
        }
        else if (heard && !entry->queued) {
            cw_time_earlier(&next, entry->due);
        }
        i++;
    }
    return next;
}

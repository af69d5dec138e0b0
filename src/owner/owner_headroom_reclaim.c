/* Reclaims headroom from jobs that borrow it.
 *
 * Jobs that have been idle for too long are placed in the headroom for urgent
 * work (owner_starvation.c).  Once less is free than urgent work will request
 * during the time that it takes to stop runs, such runs are stopped, the
 * cheapest first, so that urgent work need not wait until they have ended. */
#include "owner/internal/owner_placement.h"

enum {
    /* Minimum time for which a run that borrows headroom runs before it is
     * stopped here.  Preemption may stop it earlier. */
    RUN_MIN_MS = 300
};

/* True if the run may be stopped before urgent work needs its capacity.
 * Endless tasks would be placed again at once. */
static bool
may_reclaim_from(const struct owner_run *run, struct timespec now)
{
    return run->headroom_borrowed && run->phase == RUN_RUNNING &&
           !run->task->step->spec->endless &&
           cw_time_diff_ms(run->started_at, now) > RUN_MIN_MS &&
           owner_run_may_be_stopped(run);
}

static GPtrArray *
runs_to_stop(const struct cw_owner *owner, const char *service,
             struct timespec now)
{
    GPtrArray *runs = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;

        for (guint i = 0; target->service == service && i < target->runs->len;
             i++) {
            if (may_reclaim_from(target->runs->pdata[i], now)) {
                g_ptr_array_add(runs, target->runs->pdata[i]);
            }
        }
    }
    return runs;
}

static gint
by_stop_cost(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct timespec *now = data;
    double x = owner_run_stop_cost(*(struct owner_run *const *)a, *now);
    double y = owner_run_stop_cost(*(struct owner_run *const *)b, *now);

    return x < y ? -1 : x > y;
}

/* Stops the run, or its gang. */
static void
stop_borrowing_run(struct cw_owner *owner, struct owner_run *run,
                   int64_t shortage)
{
    struct owner_step *step = run->task->step;

    cw_log_info("headroom_reclaimed",
                "id=%s step=%u.%u tasks=%u lacks=%" PRId64,
                step->occurrence->job->spec->id, step->occurrence->number,
                step->number, step->spec->gang ? step->runs : 1, shortage);
    cw_count_add(owner->options.counters, CW_COUNT_PREEMPTIONS, 1);
    for (unsigned i = 0; step->spec->gang && i < step->count; i++) {
        if (step->tasks[i].run != NULL &&
            step->tasks[i].run->headroom_borrowed) {
            owner_headroom_returned(owner, step->tasks[i].run);
        }
    }
    if (!step->spec->gang) {
        owner_headroom_returned(owner, run);
    }
    owner_run_evict_for(owner, run, OWNER_IDLE_PREEMPTED);
}

static void
reclaim_in_service(struct cw_owner *owner, const char *service,
                   struct timespec now)
{
    GPtrArray *runs;

    if (owner_headroom_shortage(owner, service) <= 0) {
        return;
    }
    runs = runs_to_stop(owner, service, now);
    g_ptr_array_sort_with_data(runs, by_stop_cost, &now);
    for (guint i = 0; i < runs->len; i++) {
        struct owner_run *run = runs->pdata[i];
        int64_t shortage = owner_headroom_shortage(owner, service);

        if (shortage <= 0) {
            break;
        }
        if (!run->stopping) { /* it may have been stopped with its gang */
            stop_borrowing_run(owner, run, shortage);
        }
    }
    g_ptr_array_unref(runs);
}

void
owner_headroom_reclaim(struct cw_owner *owner, struct timespec now)
{
    GHashTableIter iterator;
    gpointer service;
    gpointer headroom;

    g_hash_table_iter_init(&iterator, owner->headroom);
    while (g_hash_table_iter_next(&iterator, &service, &headroom)) {
        if (((const struct owner_headroom *)headroom)->headroom_borrowed > 0) {
            reclaim_in_service(owner, g_intern_string(service), now);
        }
    }
}

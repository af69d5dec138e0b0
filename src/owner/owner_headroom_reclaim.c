/* Room that is kept for urgent work, taken back from idle jobs that were let
 * into it (owner_starvation.c).
 *
 * Once less is free than urgent work will ask for while others are stopped,
 * they make way, the cheapest first, so that it need not wait for that. */
#include "owner/internal/owner_placement.h"

enum {
    /* What was let in is at work for so long, unless urgent work makes it
     * leave. */
    AT_WORK_MS = 300
};

/* True if the run may be made to leave ahead of need.  Tasks that last would
 * be placed anew at once. */
static bool
may_make_way(const struct owner_run *run, struct timespec now)
{
    return run->headroom_borrowed && run->phase == RUN_RUNNING &&
           !run->task->step->spec->endless &&
           cw_time_diff_ms(run->started_at, now) > AT_WORK_MS &&
           owner_run_may_be_stopped(run);
}

static GPtrArray *
runs_to_make_way(const struct cw_owner *owner, const char *service,
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
            if (may_make_way(target->runs->pdata[i], now)) {
                g_ptr_array_add(runs, target->runs->pdata[i]);
            }
        }
    }
    return runs;
}

static gint
by_cost(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct timespec *now = data;
    double x = owner_run_stop_cost(*(struct owner_run *const *)a, *now);
    double y = owner_run_stop_cost(*(struct owner_run *const *)b, *now);

    return x < y ? -1 : x > y;
}

/* Tells the run, or its gang, to leave. */
static void
make_way(struct cw_owner *owner, struct owner_run *run, int64_t lacks)
{
    struct owner_step *step = run->task->step;

    cw_log_info("headroom_reclaimed",
                "id=%s step=%u.%u tasks=%u lacks=%" PRId64,
                step->occurrence->job->spec->id, step->occurrence->number,
                step->number, step->spec->gang ? step->runs : 1, lacks);
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
take_back_of(struct cw_owner *owner, const char *service, struct timespec now)
{
    GPtrArray *runs;

    if (owner_headroom_shortage(owner, service) <= 0) {
        return;
    }
    runs = runs_to_make_way(owner, service, now);
    g_ptr_array_sort_with_data(runs, by_cost, &now);
    for (guint i = 0; i < runs->len; i++) {
        struct owner_run *run = runs->pdata[i];
        int64_t lacks = owner_headroom_shortage(owner, service);

        if (lacks <= 0) {
            break;
        }
        if (!run->stopping) { /* with its gang */
            make_way(owner, run, lacks);
        }
    }
    g_ptr_array_unref(runs);
}

void
owner_headroom_reclaim(struct cw_owner *owner, struct timespec now)
{
    GHashTableIter iterator;
    gpointer service;
    gpointer room;

    g_hash_table_iter_init(&iterator, owner->headroom);
    while (g_hash_table_iter_next(&iterator, &service, &room)) {
        if (((const struct owner_headroom *)room)->headroom_borrowed > 0) {
            take_back_of(owner, g_intern_string(service), now);
        }
    }
}

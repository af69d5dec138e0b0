/* Workers whose reports are stored late.  Some crash behind a cut and restart
 * at their addresses, under new ids or under their own, while a report of the
 * former incarnation is still on its way; the reports of some of the next
 * incarnations stop to arrive while they work.  Others go on, and only their
 * reports are late or lost. */
#include "emulator/internal/world_private.h"

enum {
    /* Percentage of episodes in which workers crash. */
    CRASHES_PERCENT = 70,
    WORKERS_TOGETHER_MAX = 4,
    /* Time for which a worker is cut off before it crashes. */
    CUT_MAX_MS = 3000,
    DOWN_MIN_MS = 50,
    DOWN_MAX_MS = 3000,
    /* Percentage of crashes after which the reports of the next incarnation
     * stop to arrive, and the maximum time until then. */
    NEXT_CUT_PERCENT = 60,
    NEXT_CUT_AFTER_MAX_MS = 4000,
    /* Shorter and longer than the time after which an entry is removed. */
    REPORTS_CUT_MIN_MS = 2000,
    REPORTS_CUT_MAX_MS = 9000,
    SAME_ID_PERCENT = 50,
    CRASH_EFFECT_MS = 8000,
    /* On days on which owners are killed: percentage of crashes after which
     * the owner is killed, and the time until then, during which the late
     * report is stored and its entry expires. */
    OWNER_KILL_PERCENT = 25,
    OWNER_KILL_AFTER_MAX_MS = 10000
};

static void
cut_reports(struct world *world, const struct worker_model *worker)
{
    unsigned ms =
        world_random_between(world, REPORTS_CUT_MIN_MS, REPORTS_CUT_MAX_MS);

    world_disturb(world, ms, 0);
    world_cut_reports(world, worker, ms);
}

/* Cuts the reports of the incarnation that is at the worker's address now. */
static void
cut_next_reports(struct world *world, void *context)
{
    const struct worker_model *next =
        worker_fleet_at_address(world->fleet, worker_model_address(context));

    if (next != NULL) {
        cut_reports(world, next);
    }
}

static void
crash(struct world *world, void *context)
{
    struct worker_model *worker = context;
    unsigned down_ms = world_random_between(world, DOWN_MIN_MS, DOWN_MAX_MS);
    bool same_id = world->options.restarts > 0 &&
                   world_random_chance(world, SAME_ID_PERCENT);

    if (worker_model_is_down(worker)) {
        return;
    }
    world_record_fault(world, "crash %s, %s after %u", worker_model_id(worker),
                       same_id ? "same id" : "new id", down_ms);
    world_disturb(world, down_ms + CRASH_EFFECT_MS, 0);
    world_report_late(
        world, worker,
        world_random_between(world, 1, WORLD_REPORT_LATE_MAX_MS));
    worker_model_crash(worker);
    world_schedule(world, down_ms,
                   same_id ? world_restart_worker : world_restart_with_new_id,
                   worker);
    if (world_random_chance(world, NEXT_CUT_PERCENT)) {
        world_schedule(
            world, down_ms + world_random_below(world, NEXT_CUT_AFTER_MAX_MS),
            cut_next_reports, worker);
    }
    if (world->options.owner_kills > 0 &&
        world_random_chance(world, OWNER_KILL_PERCENT))
    {
        world_schedule(world,
                       world_random_below(world, OWNER_KILL_AFTER_MAX_MS),
                       world_kill_owner, NULL);
    }
}

/* Cuts the worker off, and schedules its crash behind the cut. */
static void
crash_behind_cut(struct world *world, struct worker_model *worker)
{
    const char *id = worker_model_id(worker);
    unsigned ms = world_random_below(world, CUT_MAX_MS);

    world_disturb(world, ms, 0);
    world_record_fault(world, "cut %s for %u", id, ms);
    g_hash_table_insert(world->cut_workers, (gpointer)id,
                        GINT_TO_POINTER((gint)(world->now_ms + ms)));
    world_cut_reports(world, worker, ms);
    world_schedule(world, ms, crash, worker);
}

void
world_late_reports(struct world *world, void *unused)
{
    bool crashes = world_random_chance(world, CRASHES_PERCENT);

    (void)unused;
    for (unsigned i = world_random_between(world, 1, WORKERS_TOGETHER_MAX);
         i > 0; i--)
    {
        struct worker_model *worker = world_random_worker(world);

        if (worker_model_is_down(worker)) {
            continue;
        }
        if (crashes) {
            crash_behind_cut(world, worker);
        }
        else {
            cut_reports(world, worker);
        }
    }
}

/* Jobs that have had nothing running for so long that no room is kept from
 * them.
 *
 * Room is kept free for urgent work, racks are kept clear for gangs, workers
 * that failed or were slow are avoided for seconds, and lower work waits while
 * the owner is behind: each for its reason, and none with an end of its own in
 * a service that stays busy.  A job must not stand still beside room for it:
 * once it has for OVERDUE_MS, what it can only begin together, one task or its
 * gang, is placed in what is free, if it fits twice.  So at least as much
 * stays kept. */
#include "owner/internal/owner_candidates.h"

enum {
    /* The platform bears 3 s in which nothing of a job runs beside twice the
     * room, 6 s for a task that lasts.  What is left is for a pass, the store
     * and the start: 0.1 s, and up to 0.4 where answers are late.  With 2.0 s
     * worth was 0.016 lower than without on 48 workers (30 pairs of days, 95%
     * from -0.031 to -0.001), with 2.4 s 0.007 (-0.025 to +0.012). */
    OVERDUE_MS = 2300,
    LASTING_OVERDUE_MS = 5300,
    /* Steps are looked at so often: by then room that came free is taken. */
    EVERY_MS = 100,
    TIMES = 2
};

static bool
lasting_is_overdue(const struct owner_step *step, struct timespec now)
{
    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_task *task = &step->tasks[i];

        if (task->run == NULL && task->idle_since.tv_sec > 0 &&
            cw_time_diff_ms(task->idle_since, now) > LASTING_OVERDUE_MS)
        {
            return true;
        }
    }
    return false;
}

static bool
is_overdue(const struct owner_step *step, struct timespec now)
{
    const struct owner_job *job = step->occurrence->job;

    if (job->runs == 0) {
        return cw_time_diff_ms(job->moved_at, now) > OVERDUE_MS;
    }
    return step->spec->endless && lasting_is_overdue(step, now);
}

static unsigned
total_fits(const GArray *candidates)
{
    unsigned fits = 0;

    for (guint i = 0; i < candidates->len; i++) {
        fits += g_array_index(candidates, struct owner_candidate, i).fits;
    }
    return fits;
}

/* Where the gang or one task goes; NULL if it does not fit twice, or not into
 * the one rack that it needs. */
static GArray *
choose_together(struct cw_owner *owner, struct owner_step *step,
                const GArray *candidates, struct timespec now)
{
    unsigned together = step->spec->gang ? step->count : 1;
    const char *rack = NULL;

    if (total_fits(candidates) < TIMES * together) {
        return NULL;
    }
    if (step->spec->gang) {
        rack = owner_best_rack(owner, candidates, step, together);
    }
    if (rack == NULL && owner_step_needs_rack(owner, step, now)) {
        return NULL;
    }
    return owner_choose(candidates, rack, together);
}

static bool
place_together(struct cw_owner *owner, struct owner_step *step,
               struct timespec now)
{
    GArray *candidates = owner_candidates_kept(owner, step, now);
    GArray *choices = choose_together(owner, step, candidates, now);

    if (choices != NULL) {
        cw_log_info("room_released",
                    "id=%s step=%u.%u waits_ms=%" PRId64 " fits=%u",
                    step->occurrence->job->spec->id, step->occurrence->number,
                    step->number,
                    cw_time_diff_ms(step->occurrence->job->moved_at, now),
                    total_fits(candidates));
        owner_assign(owner, step, choices, RUN_NEW);
        g_array_unref(choices);
    }
    g_array_unref(candidates);
    return choices != NULL;
}

void
owner_overdue_place(struct cw_owner *owner, const GPtrArray *steps,
                    struct timespec now)
{
    if (cw_time_before(now, owner->overdue_due)) {
        return;
    }
    owner->overdue_due = cw_time_add_ms(now, EVERY_MS);
    for (guint i = 0; i < steps->len; i++) {
        struct owner_step *step = steps->pdata[i];

        if (is_overdue(step, now) && owner_once_may_begin(owner, step) &&
            !owner_memo_hopeless(owner, step, OWNER_ATTEMPT_OVERDUE, now) &&
            !place_together(owner, step, now))
        {
            owner_memo_failed(owner, step, OWNER_ATTEMPT_OVERDUE, now);
        }
    }
}

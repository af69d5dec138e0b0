/* The owner's view of workers and jobs, for operators. */
#include "owner/internal/owner_crashes.h"
#include "owner/internal/owner_placement.h"

static const char *
state_of(const struct owner_target *target, struct timespec now)
{
    if (target->superseded || !target->listed) {
        return "gone";
    }
    if (target->unanswered_polls > 0) {
        return "silent";
    }
    if (target->draining) {
        return "draining";
    }
    if (!owner_target_accepts_work(target)) {
        return "cordoned";
    }
    return owner_target_usable(target, now) &&
                   !owner_target_is_slow(target, now)
               ? "ready"
               : "avoided";
}

void
cw_owner_each_target(const struct cw_owner *owner,
                     void (*visit)(void *,
                                   const struct cw_owner_target_view *),
                     void *context)
{
    struct timespec now = owner_now(owner);
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;
        struct cw_owner_target_view view = {
            .id = target->id,
            .dc = target->dc,
            .rack = target->rack,
            .state = state_of(target, now),
            .free_accelerators =
                target->capacity.accelerators - target->used.accelerators,
        };

        visit(context, &view);
    }
}

/* ---- explain ---- */

/* Counts other waiting jobs of higher priority, and those of the same priority
 * with an earlier objective. */
static unsigned
waiting_ahead(const struct cw_owner *owner, const struct owner_job *job)
{
    GHashTableIter iterator;
    gpointer value;
    unsigned count = 0;

    g_hash_table_iter_init(&iterator, owner->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_job *other = value;

        count += other != job && !other->started &&
                 !cw_work_is_over(other->phase) &&
                 (other->spec->priority < job->spec->priority ||
                  (other->spec->priority == job->spec->priority &&
                   cw_time_before(other->objective_at, job->objective_at)));
    }
    return count;
}

static void
explain_step(const struct cw_owner *owner, const struct owner_step *step,
             struct timespec now, GString *out)
{
    if (step->done) {
        return;
    }
    g_string_append_printf(
        out, "step %u of occurrence %u: %u of %u tasks left, %u placed%s\n",
        step->number, step->occurrence->number, step->left, step->count,
        step->runs, step->spec->gang ? ", a gang" : "");
    if (owner_step_waiting_tasks(step) > 0 &&
        !owner_at_most_once_may_start(owner, step))
    {
        g_string_append(out, "  it must not be begun twice, so it cannot "
                             "give way: it waits until that leaves every "
                             "guarantee reclaimable\n");
    }
    if (step->suspects > 0) {
        g_string_append_printf(
            out,
            "  crashes of workers speak against %u of its tasks: they are "
            "started apart; %u wait for word of their last worker\n",
            step->suspects, owner_step_delayed_tasks(step, now));
    }
}

static void
explain_cordons(const struct cw_owner *owner, GString *out)
{
    unsigned cordoned = 0;
    unsigned listed = 0;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;

        listed += target->listed;
        cordoned += target->listed && !owner_target_accepts_work(target);
    }
    if (cordoned > 0) {
        g_string_append_printf(out,
                               "%u of %u workers stand in data centres that "
                               "take no new work\n",
                               cordoned, listed);
    }
}

bool
cw_owner_explain(struct cw_owner *owner, const char *id, struct timespec now,
                 GString *out)
{
    const struct owner_job *job = owner->state == OWNER_ACTIVE
                                      ? g_hash_table_lookup(owner->jobs, id)
                                      : NULL;

    if (job == NULL) {
        return false;
    }
    owner_demand_update(owner);
    g_string_append_printf(
        out,
        "%s for %.1f s, priority %u, account %s (%s its guarantee)\n"
        "%u jobs that are as urgent wait before it\n",
        job->started ? "running" : "waiting",
        (double)cw_time_diff_ms(job->known_at, now) / CW_MS_PER_S,
        job->spec->priority, job->spec->account,
        owner_job_is_guaranteed(owner, job) ? "within" : "beyond",
        waiting_ahead(owner, job));
    explain_cordons(owner, out);
    for (guint i = 0; i < job->open->len; i++) {
        const struct owner_occurrence *occurrence = job->open->pdata[i];

        for (unsigned k = 0; k < occurrence->count; k++) {
            explain_step(owner, &occurrence->steps[k], now, out);
        }
    }
    return true;
}

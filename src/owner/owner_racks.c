/* Reserves racks for gangs that do not fit yet. */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"

/* How long a rack stays reserved; renewed while the gang waits. */
enum { RESERVATION_MS = 400 };

/* Returns how many of the gang's tasks will fit on the worker once its runs
 * with a lower priority have ended. */
static unsigned
fits_after_stops(const struct owner_step *step,
                 const struct owner_target *target)
{
    struct cw_resources need = owner_step_need(step->spec);
    struct cw_resources available = owner_free_resources(target);
    unsigned priority = step->occurrence->job->spec->priority;

    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];
        struct cw_resources taken = owner_step_need(run->task->step->spec);

        if (owner_task_job(run->task)->spec->priority > priority) {
            owner_resources_add(&available, &taken);
        }
    }
    return owner_limit_per_worker(step, target,
                                  owner_fit_count(&available, &need));
}

/* Returns the rack that will have the most capacity for the gang, or NULL if
 * none will have enough. */
static const char *
rack_to_reserve(struct cw_owner *owner, const struct owner_step *step,
                bool with_slow, struct timespec now)
{
    unsigned *fits_by_rack =
        g_new0(unsigned, owner->rack_lower_priority_workers->len);
    const char *best = NULL;
    unsigned best_fits = step->count - 1;
    const GPtrArray *usable = owner_usable_targets(owner, now);

    for (guint i = 0; i < usable->len; i++) {
        struct owner_target *target = usable->pdata[i];
        unsigned fits;

        if ((!with_slow && owner_target_is_slow(target, now)) ||
            !owner_step_allows_target(step, target) ||
            owner_target_is_reserved(target, step, now) ||
            !owner_headroom_allows(owner, step, target, now))
        {
            continue;
        }
        fits_by_rack[target->rack_number] += fits_after_stops(step, target);
        fits = fits_by_rack[target->rack_number];
        if (fits > best_fits) {
            best = target->rack;
            best_fits = fits;
        }
    }
    g_free(fits_by_rack);
    return best;
}

void
owner_reserve_this_rack(struct cw_owner *owner, struct owner_step *step,
                        const char *rack, struct timespec now)
{
    GHashTableIter iterator;
    gpointer value;

    owner->rack_reservations++;
    step->rack_reservation_until = cw_time_add_ms(now, RESERVATION_MS);
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        if (target->rack == rack) {
            target->rack_reserved_for = step;
            target->rack_reserved_priority =
                step->occurrence->job->spec->priority;
            target->rack_reserved_until = cw_time_add_ms(now, RESERVATION_MS);
        }
    }
}

void
owner_reserve_rack(struct cw_owner *owner, struct owner_step *step,
                   struct timespec now)
{
    const char *rack;

    if (owner_memo_has_failed(owner, step, OWNER_ATTEMPT_RESERVE_RACK, now)) {
        return;
    }
    rack = rack_to_reserve(owner, step, false, now);
    if (rack == NULL) {
        rack = rack_to_reserve(owner, step, true, now);
    }
    if (rack == NULL) {
        owner_memo_add_failure(owner, step, OWNER_ATTEMPT_RESERVE_RACK, now);
        return;
    }
    owner_reserve_this_rack(owner, step, rack, now);
}

/* Racks for gangs: chooses the best one with enough free capacity, or reserves
 * one for later. */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"

#include <string.h>

/* How long a rack stays reserved; renewed while the gang waits. */
enum { RESERVATION_MS = 400 };

/* Capacity of a rack for a gang that uses the rack's candidates in their
 * order. */
struct rack_offer {
    const char *rack;
    unsigned fits; /* tasks that fit on all its candidates */
    unsigned idle; /* idle workers that the gang would use */
    int speed;     /* speed class of the slowest worker, and so of the gang */
    unsigned unassigned; /* tasks that are not assigned yet */
};

static void
offer_add(struct rack_offer *offer, const struct owner_candidate *candidate)
{
    struct timespec now = owner_now(candidate->target->owner);
    int speed =
        (int)(owner_target_speed(candidate->target, now) / OWNER_SPEED_STEP);

    offer->fits += candidate->fits;
    if (offer->unassigned > 0) {
        offer->speed = MIN(offer->speed, speed);
        offer->idle += owner_candidate_is_idle(candidate);
        offer->unassigned -= MIN(offer->unassigned, candidate->fits);
    }
}

/* Returns the offers of all racks, in the order of their first candidates. */
static GArray *
offers_of(const GArray *candidates, unsigned rack_count, unsigned tasks)
{
    GArray *offers = g_array_new(FALSE, FALSE, sizeof(struct rack_offer));
    guint *positions = g_new0(guint, rack_count); /* 1 + index in `offers` */

    for (guint i = 0; i < candidates->len; i++) {
        const struct owner_candidate *c =
            &g_array_index(candidates, struct owner_candidate, i);
        guint *position = &positions[c->target->rack_number];

        if (*position == 0) {
            struct rack_offer offer = {.rack = c->target->rack,
                                       .speed = G_MAXINT,
                                       .unassigned = tasks};

            g_array_append_val(offers, offer);
            *position = offers->len;
        }
        offer_add(&g_array_index(offers, struct rack_offer, *position - 1), c);
    }
    g_free(positions);
    return offers;
}

static bool
offer_is_better(const struct rack_offer *x, const struct rack_offer *y,
                bool urgent)
{
    if (urgent && x->speed != y->speed) {
        return x->speed > y->speed;
    }
    if (urgent && x->idle != y->idle) {
        return x->idle < y->idle;
    }
    return x->fits < y->fits;
}

const char *
owner_best_rack(const struct cw_owner *owner, const GArray *candidates,
                const struct owner_step *step, unsigned tasks)
{
    GArray *offers =
        offers_of(candidates, owner->rack_lower_priority_workers->len, tasks);
    const struct rack_offer *best = NULL;
    bool urgent = step->occurrence->job->spec->priority == 0;
    const char *rack;

    for (guint i = 0; i < offers->len; i++) {
        const struct rack_offer *offer =
            &g_array_index(offers, struct rack_offer, i);

        if (offer->fits < tasks) {
            continue;
        }
        if (strcmp(offer->rack, step->spec->data_rack) == 0) {
            best = offer;
            break;
        }
        if (best == NULL || offer_is_better(offer, best, urgent)) {
            best = offer;
        }
    }
    rack = best != NULL ? best->rack : NULL;
    g_array_unref(offers);
    return rack;
}

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
                struct timespec now)
{
    unsigned *fits_by_rack =
        g_new0(unsigned, owner->rack_lower_priority_workers->len);
    const char *best = NULL;
    unsigned best_fits = step->count - 1;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;
        unsigned fits;

        if (!owner_target_usable(target, now) ||
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
owner_reserve_rack(struct cw_owner *owner, struct owner_step *step,
                   struct timespec now)
{
    GHashTableIter iterator;
    gpointer value;
    const char *rack;

    if (owner_memo_has_failed(owner, step, OWNER_ATTEMPT_RESERVE_RACK, now)) {
        return;
    }
    rack = rack_to_reserve(owner, step, now);
    if (rack == NULL) {
        owner_memo_add_failure(owner, step, OWNER_ATTEMPT_RESERVE_RACK, now);
        return;
    }
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

/* Chooses workers for gangs that don't fit into a rack.
 *
 * When a data centre is cut off or loses power, every gang with a member there
 * is lost.  A gang that spans five data centres is lost five times as often,
 * with the work of all its members.  So a gang is placed in one data centre if
 * it fits there, and otherwise in as few as possible. */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"

/* Capacity of a data centre for a gang. */
struct dc_offer {
    const char *dc;
    unsigned fits;       /* tasks that fit on all its candidates */
    unsigned idle;       /* idle workers that the gang would use */
    unsigned unassigned; /* tasks that are not assigned yet */
};

static struct dc_offer *
offer_of(GArray *offers, const char *dc, unsigned tasks)
{
    struct dc_offer added = {.dc = dc, .unassigned = tasks};

    for (guint i = 0; i < offers->len; i++) {
        struct dc_offer *offer = &g_array_index(offers, struct dc_offer, i);

        if (offer->dc == dc) {
            return offer;
        }
    }
    g_array_append_val(offers, added);
    return &g_array_index(offers, struct dc_offer, offers->len - 1);
}

static GArray *
offers_of(const GArray *candidates, unsigned tasks)
{
    GArray *offers = g_array_new(FALSE, FALSE, sizeof(struct dc_offer));

    for (guint i = 0; i < candidates->len; i++) {
        const struct owner_candidate *c =
            &g_array_index(candidates, struct owner_candidate, i);
        struct dc_offer *offer = offer_of(offers, c->target->dc, tasks);

        offer->fits += c->fits;
        if (offer->unassigned > 0) {
            offer->idle += owner_candidate_is_idle(c);
            offer->unassigned -= MIN(offer->unassigned, c->fits);
        }
    }
    return offers;
}

/* Orders data centres that can hold the whole gang first, and among them those
 * in which it would use the fewest idle workers, then those with the least
 * free capacity.  Of the others, those with the most free capacity come first.
 */
static gint
by_offer(gconstpointer a, gconstpointer b)
{
    const struct dc_offer *x = a;
    const struct dc_offer *y = b;
    bool x_fits = x->unassigned == 0;

    if (x_fits != (y->unassigned == 0)) {
        return x_fits ? -1 : 1;
    }
    if (!x_fits) {
        return x->fits > y->fits ? -1 : x->fits < y->fits;
    }
    if (x->idle != y->idle) {
        return x->idle < y->idle ? -1 : 1;
    }
    return x->fits < y->fits ? -1 : x->fits > y->fits;
}

/* Distributes up to `tasks` tasks over the candidates in the data centre;
 * returns how many. */
static unsigned
choose_in_dc(const GArray *candidates, const char *dc, unsigned tasks,
             GArray *choices)
{
    unsigned chosen = 0;

    for (guint i = 0; i < candidates->len && chosen < tasks; i++) {
        const struct owner_candidate *c =
            &g_array_index(candidates, struct owner_candidate, i);
        struct owner_choice choice = {.target = c->target,
                                      .tasks = MIN(tasks - chosen, c->fits)};

        if (c->target->dc == dc) {
            g_array_append_val(choices, choice);
            chosen += choice.tasks;
        }
    }
    return chosen;
}

GArray *
owner_choose_by_dc(const GArray *candidates, unsigned tasks)
{
    GArray *choices = g_array_new(FALSE, FALSE, sizeof(struct owner_choice));
    GArray *offers = offers_of(candidates, tasks);

    g_array_sort(offers, by_offer);
    for (guint i = 0; i < offers->len && tasks > 0; i++) {
        tasks -= choose_in_dc(candidates,
                              g_array_index(offers, struct dc_offer, i).dc,
                              tasks, choices);
    }
    g_array_unref(offers);
    return choices;
}

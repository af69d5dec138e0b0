/* Places for gangs that no rack holds.
 *
 * A data centre that is cut off, or loses power, takes every gang with it that
 * has a member there: one that spans five is hit five times as often, and the
 * work of all its members is lost each time.  So a gang goes into one data
 * centre if it fits, else over as few as hold it. */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"

/* What a data centre offers a gang. */
struct dc_offer {
    const char *dc;
    unsigned fits; /* tasks, in all its candidates */
    unsigned idle; /* idle workers that the gang would take */
    unsigned left; /* tasks that have no place yet */
};

static struct dc_offer *
offer_of(GArray *offers, const char *dc, unsigned tasks)
{
    struct dc_offer added = {.dc = dc, .left = tasks};

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
        if (offer->left > 0) {
            offer->idle += owner_candidate_is_idle(c);
            offer->left -= MIN(offer->left, c->fits);
        }
    }
    return offers;
}

/* Those that hold the gang first, of them the one with the fewest idle workers
 * to lose and the least to spare; then the largest. */
static gint
by_offer(gconstpointer a, gconstpointer b)
{
    const struct dc_offer *x = a;
    const struct dc_offer *y = b;
    bool x_holds = x->left == 0;

    if (x_holds != (y->left == 0)) {
        return x_holds ? -1 : 1;
    }
    if (!x_holds) {
        return x->fits > y->fits ? -1 : x->fits < y->fits;
    }
    if (x->idle != y->idle) {
        return x->idle < y->idle ? -1 : 1;
    }
    return x->fits < y->fits ? -1 : x->fits > y->fits;
}

/* Takes up to `tasks` from the candidates in the data centre; returns how
 * many. */
static unsigned
choose_in(const GArray *candidates, const char *dc, unsigned tasks,
          GArray *choices)
{
    unsigned taken = 0;

    for (guint i = 0; i < candidates->len && taken < tasks; i++) {
        const struct owner_candidate *c =
            &g_array_index(candidates, struct owner_candidate, i);
        struct owner_choice choice = {.target = c->target,
                                      .tasks = MIN(tasks - taken, c->fits)};

        if (c->target->dc == dc) {
            g_array_append_val(choices, choice);
            taken += choice.tasks;
        }
    }
    return taken;
}

GArray *
owner_choose_by_dc(const GArray *candidates, unsigned tasks)
{
    GArray *choices = g_array_new(FALSE, FALSE, sizeof(struct owner_choice));
    GArray *offers = offers_of(candidates, tasks);

    g_array_sort(offers, by_offer);
    for (guint i = 0; i < offers->len && tasks > 0; i++) {
        tasks -=
            choose_in(candidates, g_array_index(offers, struct dc_offer, i).dc,
                      tasks, choices);
    }
    g_array_unref(offers);
    return choices;
}

/* Chooses workers for gangs; see cw_gang_choice.h.
 *
 * When a data centre is cut off or loses power, every gang with a member there
 * is lost.  A gang that spans five data centres is lost five times as often,
 * with the work of all its members.  So a gang is placed in one data centre if
 * it fits there, and otherwise in as few as possible. */
#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"

#include <string.h>

/* Returns the data centre's index in `dcs`, where it is added if needed. */
static unsigned
dc_number(GPtrArray *dcs, const char *dc)
{
    unsigned index = 0;

    while (index < dcs->len && dcs->pdata[index] != dc) {
        index++;
    }
    if (index == dcs->len) {
        g_ptr_array_add(dcs, (gpointer)dc);
    }
    return index;
}

static bool
is_urgent(const struct owner_step *step)
{
    return step->occurrence->job->spec->priority == 0;
}

/* Fills in the offers, and the bounds of their numbers and the data's rack in
 * the shape. */
static void
make_offers(const GArray *candidates, const struct owner_step *step,
            struct cw_gang_shape *shape, struct cw_gang_offer *offers)
{
    GPtrArray *dcs = g_ptr_array_new();

    for (guint i = 0; i < candidates->len; i++) {
        const struct owner_candidate *c =
            &g_array_index(candidates, struct owner_candidate, i);
        const struct owner_target *target = c->target;

        offers[i] = (struct cw_gang_offer){
            .rack = target->rack_number,
            .dc = dc_number(dcs, target->dc),
            .fits = c->fits,
            .rank = shape->urgent ? c->speed_rank
                                  : cw_speed_rank_coarse(c->speed_rank),
            .idle = owner_candidate_is_idle(c),
        };
        if (!shape->has_data_rack && step->spec->data_rack[0] != '\0' &&
            strcmp(target->rack, step->spec->data_rack) == 0)
        {
            shape->has_data_rack = true;
            shape->data_rack = target->rack_number;
        }
    }
    shape->dcs = dcs->len;
    g_ptr_array_unref(dcs);
}

static struct cw_gang_choice
choose(const struct cw_owner *owner, const GArray *candidates,
       const struct owner_step *step, struct cw_gang_shape *shape,
       unsigned *members)
{
    struct cw_gang_offer *offers =
        g_new(struct cw_gang_offer, candidates->len);
    struct cw_gang_choice choice;

    shape->urgent = is_urgent(step);
    shape->racks = owner->rack_lower_priority_workers->len;
    make_offers(candidates, step, shape, offers);
    choice = cw_gang_choose(shape, offers, candidates->len, members);
    g_free(offers);
    return choice;
}

static GArray *
choose_members(struct cw_owner *owner, const GArray *candidates,
               const struct owner_step *step, bool needs_rack,
               struct cw_gang_choice *choice)
{
    struct cw_gang_shape shape = {.members = step->count,
                                  .needs_rack = needs_rack};
    unsigned *members = g_new(unsigned, candidates->len);
    GArray *choices = NULL;

    *choice = choose(owner, candidates, step, &shape, members);
    if (choice->scope != CW_GANG_NOWHERE) {
        choices = g_array_new(FALSE, FALSE, sizeof(struct owner_choice));
    }
    for (guint i = 0; choices != NULL && i < candidates->len; i++) {
        struct owner_choice chosen = {
            .target =
                g_array_index(candidates, struct owner_candidate, i).target,
            .tasks = members[i]};

        if (chosen.tasks > 0) {
            g_array_append_val(choices, chosen);
        }
    }
    g_free(members);
    return choices;
}

GArray *
owner_choose_gang(struct cw_owner *owner, const GArray *candidates,
                  struct owner_step *step, struct timespec now,
                  struct cw_gang_choice *choice)
{
    return choose_members(owner, candidates, step,
                          owner_step_needs_rack(owner, step, now), choice);
}

GArray *
owner_spread_gang(struct cw_owner *owner, const GArray *candidates,
                  const struct owner_step *step, struct cw_gang_choice *choice)
{
    return choose_members(owner, candidates, step, false, choice);
}

const char *
owner_best_rack(const struct cw_owner *owner, const GArray *candidates,
                const struct owner_step *step, unsigned tasks)
{
    struct cw_gang_shape shape = {.members = tasks, .needs_rack = true};
    unsigned *members = g_new(unsigned, candidates->len);
    const char *rack = NULL;

    choose(owner, candidates, step, &shape, members);
    for (guint i = 0; rack == NULL && i < candidates->len; i++) {
        if (members[i] > 0) {
            rack = g_array_index(candidates, struct owner_candidate, i)
                       .target->rack;
        }
    }
    g_free(members);
    return rack;
}

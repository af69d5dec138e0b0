#include "curlewcart/cw_gang_choice.h"

#include <glib.h>

/* Workers whose speeds differ by less count as equally fast. */
#define SPEED_STEP 0.12
/* A worker that was not measured lately may have become slow; it counts as
 * this much slower, so that typical workers that were measured come first. */
#define UNPROVED_FACTOR 0.75
/* How many times its length callers let urgent work take. */
#define URGENT_LENGTH_FACTOR 1.5
/* A gang is spread over racks and data centres, where it is lost more often,
 * only if its slowest member is below this speed: it would use up a third of
 * the time that callers allow beyond its length, and its wait uses some too.
 */
#define SPEED_ENOUGH 0.85

enum {
    SPEED_CLASS_MAX = 99,
    /* Rank of the slowest worker that is not slow. */
    RANK_NORMAL = SPEED_CLASS_MAX + 1,
    /* How many times as long a gang takes across racks is not known; it is
     * worth a rack from 2 on. */
    ACROSS_RACKS_FACTOR = 2,
    PERCENT = 100,
    /* Of a gang with checkpoints this much has to be left: it is not at work
     * while it starts again. */
    GATHER_LEFT_MIN_PERCENT = 20
};

/* Members that are assigned within a rack, within a data centre, or
 * anywhere. */
struct set {
    bool begun;
    unsigned number; /* of the rack or data centre */
    unsigned fits;   /* on all its offers */
    unsigned idle;   /* idle workers that the gang would use */
    unsigned unassigned;
    int rank; /* of the slowest worker that the gang would use */
};

static int
speed_class(double speed)
{
    return CLAMP((int)(speed / SPEED_STEP), 0, SPEED_CLASS_MAX);
}

int
cw_speed_rank(const struct cw_speed_view *view)
{
    if (view->slow) {
        return speed_class(view->speed);
    }
    return RANK_NORMAL + speed_class(view->proved
                                         ? view->speed
                                         : view->speed * UNPROVED_FACTOR);
}

bool
cw_speed_rank_is_slow(int rank)
{
    return rank < RANK_NORMAL;
}

int
cw_speed_rank_coarse(int rank)
{
    return cw_speed_rank_is_slow(rank) ? 0 : RANK_NORMAL;
}

/* Lowest rank with which a gang is not spread any further. */
static int
rank_enough(const struct cw_gang_shape *shape)
{
    return shape->urgent ? RANK_NORMAL + speed_class(SPEED_ENOUGH)
                         : RANK_NORMAL;
}

static void
set_add(struct set *set, unsigned number, const struct cw_gang_offer *offer,
        unsigned members)
{
    if (!set->begun) {
        *set = (struct set){.begun = true,
                            .number = number,
                            .unassigned = members,
                            .rank = G_MAXINT};
    }
    set->fits += offer->fits;
    if (set->unassigned > 0) {
        set->rank = MIN(set->rank, offer->rank);
        set->idle += offer->idle;
        set->unassigned -= MIN(set->unassigned, offer->fits);
    }
}

static bool
set_holds_gang(const struct set *set)
{
    return set->begun && set->unassigned == 0;
}

static bool
is_data_rack(const struct cw_gang_shape *shape, const struct set *rack)
{
    return shape->has_data_rack && rack->number == shape->data_rack;
}

/* Orders racks that hold the gang. */
static bool
rack_is_better(const struct cw_gang_shape *shape, const struct set *x,
               const struct set *y)
{
    if (is_data_rack(shape, x) || is_data_rack(shape, y)) {
        return is_data_rack(shape, x);
    }
    if (x->rank != y->rank) {
        return x->rank > y->rank;
    }
    if (shape->urgent && x->idle != y->idle) {
        return x->idle < y->idle;
    }
    return x->fits < y->fits;
}

static const struct set *
best_rack(const struct cw_gang_shape *shape, const struct set *racks)
{
    const struct set *best = NULL;

    for (unsigned i = 0; i < shape->racks; i++) {
        if (set_holds_gang(&racks[i]) &&
            (best == NULL || rack_is_better(shape, &racks[i], best)))
        {
            best = &racks[i];
        }
    }
    return best;
}

/* Orders data centres that can hold the whole gang first: the fastest, then
 * those in which it would use the fewest idle workers, then those with the
 * least free capacity.  Of the others, those with the most free capacity come
 * first. */
static gint
by_use(gconstpointer a, gconstpointer b)
{
    const struct set *x = a;
    const struct set *y = b;

    if (set_holds_gang(x) != set_holds_gang(y)) {
        return set_holds_gang(x) ? -1 : 1;
    }
    if (!set_holds_gang(x)) {
        return x->fits > y->fits ? -1 : x->fits < y->fits;
    }
    if (x->rank != y->rank) {
        return x->rank > y->rank ? -1 : 1;
    }
    if (x->idle != y->idle) {
        return x->idle < y->idle ? -1 : 1;
    }
    return x->fits < y->fits ? -1 : x->fits > y->fits;
}

/* Adds up the offers from `rank_min` by data centre; returns them in the order
 * of their use. */
static GArray *
dcs_by_use(const struct cw_gang_shape *shape,
           const struct cw_gang_offer *offers, unsigned count, int rank_min)
{
    GArray *dcs =
        g_array_sized_new(FALSE, TRUE, sizeof(struct set), shape->dcs);

    g_array_set_size(dcs, shape->dcs);
    for (unsigned i = 0; i < count; i++) {
        if (offers[i].rank >= rank_min) {
            set_add(&g_array_index(dcs, struct set, offers[i].dc),
                    offers[i].dc, &offers[i], shape->members);
        }
    }
    g_array_sort(dcs, by_use);
    return dcs;
}

/* True if a set with `narrow` as the rank of its slowest worker is taken
 * although a wider one with `wide` exists. */
static bool
is_enough(const struct cw_gang_shape *shape, int narrow, int wide)
{
    return narrow >= MIN(rank_enough(shape), wide);
}

/* Assigns members to the offers from `rank_min` in the rack or data centre, as
 * far as they fit; returns how many are left. */
static unsigned
assign(const struct cw_gang_offer *offers, unsigned count,
       struct cw_gang_choice *choice, unsigned dc, unsigned left,
       unsigned *members, int rank_min)
{
    for (unsigned i = 0; i < count && left > 0; i++) {
        bool is_inside = choice->scope == CW_GANG_IN_RACK
                             ? offers[i].rack == choice->rack
                             : offers[i].dc == dc;

        if (!is_inside || offers[i].rank < rank_min) {
            continue;
        }
        members[i] = MIN(left, offers[i].fits);
        left -= members[i];
        choice->rank = MIN(choice->rank, offers[i].rank);
        if (cw_speed_rank_is_slow(offers[i].rank)) {
            choice->slow += members[i];
        }
    }
    return left;
}

static void
assign_by_dc(const struct cw_gang_shape *shape,
             const struct cw_gang_offer *offers, unsigned count, int widest,
             struct cw_gang_choice *choice, unsigned *members)
{
    int rank_min = MIN(widest, rank_enough(shape));
    GArray *dcs = dcs_by_use(shape, offers, count, rank_min);
    const struct set *first = &g_array_index(dcs, struct set, 0);
    unsigned left = shape->members;

    choice->scope = set_holds_gang(first) ? CW_GANG_IN_DC : CW_GANG_ACROSS_DCS;
    for (guint i = 0; i < dcs->len && left > 0; i++) {
        left = assign(offers, count, choice,
                      g_array_index(dcs, struct set, i).number, left, members,
                      rank_min);
    }
    g_array_unref(dcs);
}

struct cw_gang_choice
cw_gang_choose(const struct cw_gang_shape *shape,
               const struct cw_gang_offer *offers, unsigned count,
               unsigned *members)
{
    struct cw_gang_choice choice = {.rank = G_MAXINT};
    struct set *racks = g_new0(struct set, shape->racks);
    struct set all = {0};
    const struct set *rack;

    for (unsigned i = 0; i < count; i++) {
        members[i] = 0;
        set_add(&racks[offers[i].rack], offers[i].rack, &offers[i],
                shape->members);
        set_add(&all, 0, &offers[i], shape->members);
    }
    rack = best_rack(shape, racks);
    if (rack != NULL && (shape->needs_rack || is_data_rack(shape, rack) ||
                         is_enough(shape, rack->rank, all.rank)))
    {
        choice.scope = CW_GANG_IN_RACK;
        choice.rack = rack->number;
        assign(offers, count, &choice, 0, shape->members, members, 0);
    }
    else if (!shape->needs_rack && set_holds_gang(&all)) {
        assign_by_dc(shape, offers, count, all.rank, &choice, members);
    }
    g_free(racks);
    return choice;
}

const char *
cw_gang_scope_name(enum cw_gang_scope scope)
{
    static const char *const names[] = {[CW_GANG_NOWHERE] = "none",
                                        [CW_GANG_IN_RACK] = "rack",
                                        [CW_GANG_IN_DC] = "dc",
                                        [CW_GANG_ACROSS_DCS] = "dcs"};

    return names[scope];
}

bool
cw_gang_should_preempt(const struct cw_gang_wait *wait)
{
    double length_ms = (double)wait->length_ms;

    return wait->speed * URGENT_LENGTH_FACTOR < 1 &&
           (double)wait->wait_max_ms + length_ms / wait->speed_after <
               length_ms / wait->speed;
}

bool
cw_gang_should_gather(unsigned percent, bool checkpoints)
{
    unsigned left = PERCENT - MIN(percent, PERCENT);

    return checkpoints ? left >= GATHER_LEFT_MIN_PERCENT
                       : left * ACROSS_RACKS_FACTOR > PERCENT;
}

/* Room that is free by the workers' own word.
 *
 * The owner's books hold more: runs that it has placed and nobody has
 * confirmed, places that wait for others to leave.  Callers only see that
 * nothing runs there. */
#include "owner/internal/owner_spare.h"

#include "owner/internal/owner_candidates.h"
#include "owner/internal/owner_placement.h"

enum { TIMES = 2 };

/* A worker's room. */
struct spare_room {
    struct owner_target *target;
    struct cw_resources room;
};

struct owner_spare {
    struct cw_owner *owner;
    struct timespec now;
    GArray *rooms; /* struct spare_room */
};

/* What is not taken by runs that the worker has confirmed. */
static struct cw_resources
confirmed_room(const struct owner_target *target)
{
    struct cw_resources room = target->capacity;

    owner_resources_subtract(&room, &target->orphans);
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];
        struct cw_resources need = owner_step_need(run->task->step->spec);

        if (run->phase == RUN_RUNNING) {
            owner_resources_subtract(&room, &need);
        }
    }
    return room;
}

static bool
takes_work(const struct owner_target *target)
{
    return target->listed && !target->draining && !target->superseded &&
           target->unanswered_polls == 0 && target->address[0] != '\0';
}

struct owner_spare *
owner_spare_create(struct cw_owner *owner, uint32_t least, struct timespec now)
{
    struct owner_spare *spare = g_new0(struct owner_spare, 1);
    GHashTableIter iterator;
    gpointer value;

    spare->owner = owner;
    spare->now = now;
    spare->rooms = g_array_new(FALSE, FALSE, sizeof(struct spare_room));
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct spare_room row = {.target = value};

        row.room = confirmed_room(row.target);
        if (takes_work(row.target) && row.room.accelerators >= least) {
            g_array_append_val(spare->rooms, row);
        }
    }
    return spare;
}

void
owner_spare_free(struct owner_spare *spare)
{
    if (spare != NULL) {
        g_array_unref(spare->rooms);
        g_free(spare);
    }
}

/* Workers that lower work may be put on beside those that have some; `hosts`
 * is what is left of them for the step. */
static bool
is_kept_for_urgent_work(const struct owner_step *step,
                        const struct owner_target *target, unsigned *hosts)
{
    if (step->occurrence->job->spec->priority == 0 ||
        target->lower_priority_runs > 0)
    {
        return false;
    }
    if (*hosts == 0) {
        return true;
    }
    (*hosts)--;
    return false;
}

static enum owner_blocker
keeper_of(const struct owner_spare *spare, const struct owner_step *step,
          struct owner_target *target, unsigned *hosts)
{
    struct cw_resources need = owner_step_need(step->spec);
    struct cw_resources books = owner_free_resources(target);

    if (owner_fit_count(&books, &need) == 0) {
        return OWNER_BLOCKER_UNCONFIRMED;
    }
    if (!owner_target_usable(target, spare->now) || target->probation_runs > 0)
    {
        return OWNER_BLOCKER_AVOIDED;
    }
    if (owner_target_is_reserved(target, step, spare->now)) {
        return OWNER_BLOCKER_RACK;
    }
    return is_kept_for_urgent_work(step, target, hosts)
               ? OWNER_BLOCKER_HEADROOM
               : OWNER_BLOCKER_NONE;
}

/* What can only begin together. */
static unsigned
unit_of(const struct owner_step *step)
{
    return step->spec->gang ? step->count : 1;
}

/* Tasks of the step that find room there. */
static unsigned
fits_there(const struct spare_room *row, const struct owner_step *step)
{
    struct cw_resources need = owner_step_need(step->spec);
    unsigned fits = owner_fit_count(&row->room, &need);

    if (fits == 0 || !owner_step_allows_target(step, row->target)) {
        return 0;
    }
    return owner_limit_per_worker(step, row->target, fits);
}

bool
owner_spare_fits_twice(const struct owner_spare *spare,
                       struct owner_step *step)
{
    unsigned *racks =
        g_new0(unsigned, spare->owner->rack_lower_priority_workers->len);
    bool in_rack = !owner_step_needs_rack(spare->owner, step, spare->now);
    unsigned tasks = 0;

    for (guint i = 0;
         i < spare->rooms->len && !(in_rack && tasks >= TIMES * unit_of(step));
         i++)
    {
        const struct spare_room *row =
            &g_array_index(spare->rooms, struct spare_room, i);
        unsigned fits = fits_there(row, step);

        tasks += fits;
        racks[row->target->rack_number] += fits;
        in_rack = in_rack || racks[row->target->rack_number] >= unit_of(step);
    }
    g_free(racks);
    return in_rack && tasks >= TIMES * unit_of(step);
}

struct owner_spare_fit
owner_spare_fit(const struct owner_spare *spare, struct owner_step *step)
{
    struct owner_spare_fit fit = {.twice =
                                      owner_spare_fits_twice(spare, step)};
    unsigned hosts = owner_headroom_workers_left(
        spare->owner, step, step->occurrence->job->spec->service, spare->now);

    for (guint i = 0; i < spare->rooms->len; i++) {
        const struct spare_room *row =
            &g_array_index(spare->rooms, struct spare_room, i);
        unsigned fits = fits_there(row, step);

        if (fits > 0) {
            fit.tasks += fits;
            fit.by_blocker[keeper_of(spare, step, row->target, &hosts)] +=
                fits;
        }
    }
    return fit;
}

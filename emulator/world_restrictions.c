/* Days on which steps have limits of tasks per worker and require labels. */
#include "emulator/internal/world_private.h"

#include <stdlib.h>
#include <string.h>

enum {
    LIMIT_MAX = 3,
    /* Percentages of the steps. */
    LIMITED_PERCENT = 50,
    KIND_PERCENT = 25,
    RACK_PERCENT = 15,
    PERCENT = 100,
    /* Number of racks that a label may name. */
    RACKS = 3,
    /* Minimum number of workers of a kind, of a rack, and of the fleet that
     * are up and do not drain on a day. */
    KIND_WORKERS_MIN = 3,
    RACK_WORKERS_MIN = 2,
    FLEET_WORKERS_MIN = 6,
    WORKER_ACCELERATORS = 8,
    CHANGE_KIND_PERCENT = 50
};

static const char *const kinds[] = {"ka", "kb"};

const char *
world_kind_of(unsigned number)
{
    return kinds[number % G_N_ELEMENTS(kinds)];
}

bool
world_kind_can_spare(const struct world *world,
                     const struct worker_model *worker)
{
    unsigned others = 0;

    for (unsigned i = 0; i < worker_fleet_size(world->fleet); i++) {
        const struct worker_model *other = worker_fleet_at(world->fleet, i);

        others +=
            other != worker && !worker_model_is_down(other) &&
            !g_hash_table_contains(world->draining, worker_model_id(other)) &&
            strcmp(worker_model_kind(other), worker_model_kind(worker)) == 0;
    }
    return others >= KIND_WORKERS_MIN;
}

void
world_change_kind(struct world *world, struct worker_model *worker)
{
    const char *other =
        kinds[strcmp(worker_model_kind(worker), kinds[0]) == 0];

    if (world_kind_can_spare(world, worker) &&
        world_random_chance(world, CHANGE_KIND_PERCENT))
    {
        worker_model_set_kind(worker, other);
        world_record_fault(world, "kind of %s is %s", worker_model_id(worker),
                           other);
    }
}

/* Draws a number below `below`; the same for the same draw of a step. */
static unsigned
draw(const struct cw_work_spec *spec, u_int step, const char *what,
     unsigned below)
{
    char *text = g_strdup_printf("%s.%u.%s", spec->id, step, what);
    GRand *random = g_rand_new_with_seed(g_str_hash(text));
    unsigned drawn = (unsigned)g_rand_int_range(random, 0, (gint32)below);

    g_rand_free(random);
    g_free(text);
    return drawn;
}

/* True if the job may run in some data centres only.  All such jobs may run in
 * that of rack r1. */
static bool
is_confined(const struct cw_work_spec *spec)
{
    return spec->dcs.dcs_len > 0 || strcmp(spec->account, "confined") == 0;
}

static void
set_label(struct cw_step_spec *step, const char *label)
{
    free(step->label);
    step->label = strdup(label);
}

/* Sets the step's label; returns on how many workers at least its tasks may
 * run. */
static unsigned
draw_label(const struct cw_work_spec *spec, u_int number)
{
    struct cw_step_spec *step = &spec->steps.steps_val[number];
    unsigned chance = draw(spec, number, "label", PERCENT);
    unsigned width = step->tasks * step->accelerators;
    char rack[8];

    if (!is_confined(spec) && chance < KIND_PERCENT &&
        width <= KIND_WORKERS_MIN * WORKER_ACCELERATORS)
    {
        set_label(step, world_kind_of(draw(spec, number, "kind", PERCENT)));
        return KIND_WORKERS_MIN;
    }
    if (chance >= KIND_PERCENT && chance < KIND_PERCENT + RACK_PERCENT &&
        width <= RACK_WORKERS_MIN * WORKER_ACCELERATORS)
    {
        g_snprintf(rack, sizeof(rack), "r%u",
                   is_confined(spec) ? 1 : draw(spec, number, "rack", RACKS));
        set_label(step, rack);
        return RACK_WORKERS_MIN;
    }
    return is_confined(spec) ? RACK_WORKERS_MIN : FLEET_WORKERS_MIN;
}

void
world_restrict_steps(struct cw_work_spec *spec)
{
    for (u_int i = 0; i < spec->steps.steps_len; i++) {
        struct cw_step_spec *step = &spec->steps.steps_val[i];
        unsigned workers = draw_label(spec, i);
        unsigned limit = draw(spec, i, "limit", LIMIT_MAX) + 1;

        if (step->gang) {
            limit = MAX(limit, (step->tasks + workers - 1) / workers);
        }
        if (draw(spec, i, "limited", PERCENT) < LIMITED_PERCENT &&
            limit <= LIMIT_MAX) {
            step->most_per_worker = limit;
        }
    }
}

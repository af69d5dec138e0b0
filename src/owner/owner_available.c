/* The workers that accept work, and those with free capacity, listed once for
 * all steps of a placement pass.
 *
 * Whether a worker accepts work depends on its answers, its report and its
 * lease note, none of which changes within a pass.
 *
 * Under load most workers are full.  A scan of all workers for each step would
 * be about half of the cost of placement with 3,000 workers.  Within a pass
 * free capacity only shrinks, until a run is dropped; then the list is built
 * anew. */
#include "owner/internal/owner_placement.h"

struct owner_available {
    bool in_pass;
    bool usable_listed;
    unsigned pass;      /* number of the pass; see owner_target.usable_in */
    GPtrArray *usable;  /* struct owner_target: all that are usable */
    GPtrArray *targets; /* struct owner_target: those with free capacity */
    bool listed;
    uint64_t capacity_version;    /* of the owner, when they were listed */
    struct cw_resources min_need; /* lower bound of the steps' needs */
};

struct owner_available *
owner_available_create(void)
{
    struct owner_available *available = g_new0(struct owner_available, 1);

    available->usable = g_ptr_array_new();
    available->targets = g_ptr_array_new();
    return available;
}

void
owner_available_free(struct owner_available *available)
{
    g_ptr_array_unref(available->usable);
    g_ptr_array_unref(available->targets);
    g_free(available);
}

void
owner_available_begin_pass(struct owner_available *available)
{
    available->in_pass = true;
    available->usable_listed = false;
    available->pass++;
}

void
owner_available_end_pass(struct owner_available *available)
{
    available->in_pass = false;
    available->usable_listed = false;
}

void
owner_available_reset(struct owner_available *available,
                      const GPtrArray *steps)
{
    available->listed = false;
    available->min_need = (struct cw_resources){.cpu_milli = INT64_MAX,
                                                .memory_mb = INT64_MAX,
                                                .accelerators = INT64_MAX};
    for (guint i = 0; i < steps->len; i++) {
        const struct owner_step *step = steps->pdata[i];
        struct cw_resources need = owner_step_need(step->spec);

        available->min_need.cpu_milli =
            MIN(available->min_need.cpu_milli, need.cpu_milli);
        available->min_need.memory_mb =
            MIN(available->min_need.memory_mb, need.memory_mb);
        available->min_need.accelerators =
            MIN(available->min_need.accelerators, need.accelerators);
    }
}

const GPtrArray *
owner_usable_targets(struct cw_owner *owner, struct timespec now)
{
    struct owner_available *available = owner->available;
    GHashTableIter iterator;
    gpointer value;

    if (available->usable_listed) {
        return available->usable;
    }
    available->usable_listed = available->in_pass;
    g_ptr_array_set_size(available->usable, 0);
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        if (owner_target_usable(target, now)) {
            target->usable_in = available->pass;
            g_ptr_array_add(available->usable, target);
        }
    }
    return available->usable;
}

bool
owner_target_is_usable_in_pass(const struct owner_target *target,
                               struct timespec now)
{
    const struct owner_available *available = target->owner->available;
    bool usable;

    if (!available->usable_listed) {
        return owner_target_usable(target, now);
    }
    usable = target->usable_in == available->pass;
#ifdef __SANITIZE_ADDRESS__
    g_assert(usable == owner_target_usable(target, now));
#endif
    return usable;
}

static bool
fits_min_need(const struct owner_available *available,
              const struct owner_target *target)
{
    struct cw_resources unused = owner_free_resources(target);

    return owner_fit_count(&unused, &available->min_need) > 0;
}

const GPtrArray *
owner_available_targets(struct cw_owner *owner, struct timespec now)
{
    struct owner_available *available = owner->available;
    const GPtrArray *usable;

    if (available->listed &&
        available->capacity_version == owner->capacity_version)
    {
        return available->targets;
    }
    available->listed = true;
    available->capacity_version = owner->capacity_version;
    g_ptr_array_set_size(available->targets, 0);
    usable = owner_usable_targets(owner, now);
    for (guint i = 0; i < usable->len; i++) {
        if (fits_min_need(available, usable->pdata[i])) {
            g_ptr_array_add(available->targets, usable->pdata[i]);
        }
    }
    return available->targets;
}

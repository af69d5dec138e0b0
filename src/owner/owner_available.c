/* Workers with room, listed once for all steps of a pass of placement.
 *
 * Under load most workers are full, and each step looked at all of them: with
 * 3,000 workers about half of what decisions cost.  Within a pass room only
 * shrinks, until a run is dropped; then the list is made anew. */
#include "owner/internal/owner_placement.h"

struct owner_available {
    GPtrArray *targets; /* struct owner_target */
    bool listed;
    uint64_t capacity_version; /* of the owner, when they were listed */
    struct cw_resources least; /* of what the steps' tasks take */
};

struct owner_available *
owner_available_create(void)
{
    struct owner_available *open = g_new0(struct owner_available, 1);

    open->targets = g_ptr_array_new();
    return open;
}

void
owner_available_free(struct owner_available *open)
{
    g_ptr_array_unref(open->targets);
    g_free(open);
}

void
owner_available_reset(struct owner_available *open, const GPtrArray *steps)
{
    open->listed = false;
    open->least = (struct cw_resources){.cpu_milli = INT64_MAX,
                                        .memory_mb = INT64_MAX,
                                        .accelerators = INT64_MAX};
    for (guint i = 0; i < steps->len; i++) {
        const struct owner_step *step = steps->pdata[i];
        struct cw_resources need = owner_step_need(step->spec);

        open->least.cpu_milli = MIN(open->least.cpu_milli, need.cpu_milli);
        open->least.memory_mb = MIN(open->least.memory_mb, need.memory_mb);
        open->least.accelerators =
            MIN(open->least.accelerators, need.accelerators);
    }
}

static bool
has_room(const struct owner_available *open, const struct owner_target *target)
{
    struct cw_resources room = owner_free_resources(target);

    return owner_fit_count(&room, &open->least) > 0;
}

const GPtrArray *
owner_available_targets(struct cw_owner *owner, struct timespec now)
{
    struct owner_available *open = owner->open;
    GHashTableIter iterator;
    gpointer value;

    if (open->listed && open->capacity_version == owner->capacity_version) {
        return open->targets;
    }
    open->listed = true;
    open->capacity_version = owner->capacity_version;
    g_ptr_array_set_size(open->targets, 0);
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (has_room(open, value) && owner_target_usable(value, now)) {
            g_ptr_array_add(open->targets, value);
        }
    }
    return open->targets;
}

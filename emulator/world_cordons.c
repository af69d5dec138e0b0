/* Data centres that operators close to new work for a while: one, two or all,
 * for a moment or for seconds, and again before the last order is known
 * everywhere. */
#include "emulator/internal/world_private.h"

#include <string.h>

#define CORDON_KEY "cordon/"

enum {
    CORDON_LEAST_MS = 100,
    CORDON_MOST_MS = 14000,
    /* So many in a hundred are taken back, and given again, at once. */
    FLAP_PERCENT = 20,
    FLAP_MOST_MS = 400,
    /* ... and so many are for all data centres. */
    ALL_PERCENT = 10,
    WORKERS_PER_RACK = 4
};

struct world_cordon {
    int64_t since_ms;
    unsigned order; /* only the newest order's end withdraws it */
};

struct lift {
    char dc[32];
    unsigned order;
};

const char *
world_cordoned_dc(const char *key)
{
    return g_str_has_prefix(key, CORDON_KEY) ? key + strlen(CORDON_KEY) : NULL;
}

GHashTable *
world_cordons_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
write_order(struct world *world, const char *dc, const char *value)
{
    char *key = g_strconcat(CORDON_KEY, dc, NULL);
    struct cw_store_record record = {.key = key,
                                     .value = value,
                                     .length =
                                         value != NULL ? strlen(value) : 0};
    struct cw_store_append append = {
        .topic = ORDERS_TOPIC, .records = &record, .count = 1};

    store_model_append(world->store, &append);
    g_free(key);
}

static void
lift(struct world *world, void *context)
{
    struct lift *lift = context;
    const struct world_cordon *cordon =
        g_hash_table_lookup(world->cordons, lift->dc);

    if (cordon != NULL && cordon->order == lift->order) {
        world_note(world, "uncordon %s", lift->dc);
        write_order(world, lift->dc, NULL);
        g_hash_table_remove(world->cordons, lift->dc);
    }
    g_free(lift);
}

bool
world_cordons_release(const struct event *event)
{
    if (event->run != lift) {
        return false;
    }
    g_free(event->context);
    return true;
}

static void
cordon_dc(struct world *world, unsigned number, unsigned ms)
{
    struct world_cordon *cordon;
    struct lift *end = g_new0(struct lift, 1);

    g_snprintf(end->dc, sizeof(end->dc), "d%u", number);
    world_note(world, "cordon %s for %u", end->dc, ms);
    cordon = g_hash_table_lookup(world->cordons, end->dc);
    if (cordon == NULL) {
        cordon = g_new0(struct world_cordon, 1);
        cordon->since_ms = world->now_ms;
        g_hash_table_insert(world->cordons, g_strdup(end->dc), cordon);
    }
    end->order = ++cordon->order;
    write_order(world, end->dc, "{}");
    world_schedule(world, ms, lift, end);
}

void
world_cordon(struct world *world, void *context)
{
    unsigned dcs = MAX(1, world->options.workers / WORKERS_PER_RACK);
    unsigned ms = world_between(world, CORDON_LEAST_MS, CORDON_MOST_MS);

    (void)context;
    if (world_chance(world, ALL_PERCENT)) {
        for (unsigned i = 0; i < dcs; i++) {
            cordon_dc(world, i, ms);
        }
        return;
    }
    cordon_dc(world, world_pick(world, dcs), ms);
    if (world_chance(world, FLAP_PERCENT)) {
        world_schedule(world, world_between(world, 1, FLAP_MOST_MS),
                       world_cordon, NULL);
    }
}

void
world_uncordon_all(struct world *world)
{
    GHashTableIter iterator;
    gpointer dc;

    g_hash_table_iter_init(&iterator, world->cordons);
    while (g_hash_table_iter_next(&iterator, &dc, NULL)) {
        world_note(world, "uncordon %s", (const char *)dc);
        write_order(world, dc, NULL);
    }
    g_hash_table_remove_all(world->cordons);
}

int64_t
world_cordon_age_ms(const struct world *world, const char *dc)
{
    const struct world_cordon *cordon =
        g_hash_table_lookup(world->cordons, dc);

    return cordon != NULL ? world->now_ms - cordon->since_ms : -1;
}

/* Cordons of data centres by operators: of one data centre or all, for
 * fractions of a second or for seconds, and repeated before all VMs have read
 * the previous command. */
#include "emulator/internal/world_private.h"

#include <string.h>

#define CORDON_KEY "cordon/"

enum {
    CORDON_MIN_MS = 100,
    CORDON_MAX_MS = 14000,
    /* Percentage of cordons that are soon followed by another one. */
    FLAP_PERCENT = 20,
    FLAP_MAX_MS = 400,
    /* Percentage of cordons that apply to all data centres. */
    ALL_PERCENT = 10,
    WORKERS_PER_RACK = 4
};

struct world_cordon {
    int64_t since_ms;
    unsigned sequence; /* number of the newest command; only the end of that
                          command withdraws the cordon */
};

struct cordon_end {
    char dc[32];
    unsigned sequence;
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
write_command(struct world *world, const char *dc, const char *value)
{
    char *key = g_strconcat(CORDON_KEY, dc, NULL);
    struct cw_store_record record = {.key = key,
                                     .value = value,
                                     .length =
                                         value != NULL ? strlen(value) : 0};
    struct cw_store_append append = {
        .topic = COMMANDS_TOPIC, .records = &record, .count = 1};

    store_model_append(world->store, &append);
    g_free(key);
}

static void
end_cordon(struct world *world, void *context)
{
    struct cordon_end *end = context;
    const struct world_cordon *cordon =
        g_hash_table_lookup(world->cordons, end->dc);

    if (cordon != NULL && cordon->sequence == end->sequence) {
        world_record_fault(world, "uncordon %s", end->dc);
        write_command(world, end->dc, NULL);
        g_hash_table_remove(world->cordons, end->dc);
    }
    g_free(end);
}

bool
world_cordons_free_event(const struct event *event)
{
    if (event->run != end_cordon) {
        return false;
    }
    g_free(event->context);
    return true;
}

static void
cordon_dc(struct world *world, unsigned number, unsigned ms)
{
    struct world_cordon *cordon;
    struct cordon_end *end = g_new0(struct cordon_end, 1);

    g_snprintf(end->dc, sizeof(end->dc), "d%u", number);
    world_record_fault(world, "cordon %s for %u", end->dc, ms);
    cordon = g_hash_table_lookup(world->cordons, end->dc);
    if (cordon == NULL) {
        cordon = g_new0(struct world_cordon, 1);
        cordon->since_ms = world->now_ms;
        g_hash_table_insert(world->cordons, g_strdup(end->dc), cordon);
    }
    end->sequence = ++cordon->sequence;
    write_command(world, end->dc, "{}");
    world_schedule(world, ms, end_cordon, end);
}

void
world_cordon(struct world *world, void *context)
{
    unsigned dcs = MAX(1, world->options.workers / WORKERS_PER_RACK);
    unsigned ms = world_random_between(world, CORDON_MIN_MS, CORDON_MAX_MS);

    (void)context;
    if (world_random_chance(world, ALL_PERCENT)) {
        for (unsigned i = 0; i < dcs; i++) {
            cordon_dc(world, i, ms);
        }
        return;
    }
    cordon_dc(world, world_random_below(world, dcs), ms);
    if (world_random_chance(world, FLAP_PERCENT)) {
        world_schedule(world, world_random_between(world, 1, FLAP_MAX_MS),
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
        world_record_fault(world, "uncordon %s", (const char *)dc);
        write_command(world, dc, NULL);
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

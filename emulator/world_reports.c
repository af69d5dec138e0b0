/* Reports of the workers in the platform's store, and their codec. */
#include "emulator/internal/world_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum { REPORT_INTERVAL_MS = 1500 };

void
world_dc_of_rack(const char *rack, char *dc, size_t size)
{
    g_snprintf(dc, size, "d%s", rack + 1);
}

static bool
decode_report(const char *id, const void *text, size_t length,
              void (*take)(void *, const struct cw_target_report *),
              void *context)
{
    char *copy = g_strndup(text, length);
    char rack[32];
    char dc[32];
    int draining = 0;
    char address[64];
    struct cw_target_report report = {
        .id = id, .service = "s", .address = address, .kind = "k"};
    bool ok =
        sscanf(copy,
               "%31s %" SCNd64 " %" SCNd64 " %" SCNd64 " %d %" SCNd64
               " %63s %" SCNd64,
               rack, &report.capacity.cpu_milli, &report.capacity.memory_mb,
               &report.capacity.accelerators, &draining, &report.clock_ms,
               address, &report.boot_ms) == 8;

    report.rack = rack;
    world_dc_of_rack(rack, dc, sizeof(dc));
    report.dc = dc;
    report.draining = draining != 0;
    if (ok) {
        take(context, &report);
    }
    g_free(copy);
    return ok;
}

const struct cw_codec *
world_codec(void)
{
    static const struct cw_codec codec = {
        .targets_topic = TARGETS_TOPIC,
        .routing_topic = COMMANDS_TOPIC,
        .cordoned_dc = world_cordoned_dc,
        .decode_target = decode_report,
    };

    return &codec;
}

void
world_report_workers(struct world *world, void *context)
{
    (void)context;
    for (unsigned i = 0; i < worker_fleet_size(world->fleet); i++) {
        struct worker_model *worker = worker_fleet_at(world->fleet, i);
        const char *id = worker_model_id(worker);
        const struct cw_resources *has = worker_model_capacity(worker);
        char text[160];
        struct cw_store_record record = {.key = id, .value = text};
        struct cw_store_append append = {
            .topic = TARGETS_TOPIC, .records = &record, .count = 1};

        g_snprintf(text, sizeof(text),
                   "%s %" PRId64 " %" PRId64 " %" PRId64 " %d 0 %s %" PRId64,
                   worker_model_rack(worker), has->cpu_milli, has->memory_mb,
                   has->accelerators,
                   g_hash_table_contains(world->draining, id),
                   worker_model_address(worker),
                   world_reported_boot_ms(world, worker));
        record.length = strlen(text);
        if (worker_model_is_down(worker)) {
            record.value = NULL;
        }
        store_model_append(world->store, &append);
    }
    world_schedule(world, REPORT_INTERVAL_MS, world_report_workers, NULL);
}

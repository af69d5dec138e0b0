/* Reports of the workers in the platform's store, and their codec.
 *
 * On days with late reports, a report may be stored seconds after it was sent:
 * after newer reports, after the worker has crashed, or after its entry was
 * removed.  An entry is removed after three intervals without a report, also
 * if the worker is up and only its reports do not arrive.  On other days, each
 * report is stored at once, and the entry of a worker that is down is removed
 * when its next report is due. */
#include "emulator/internal/world_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum {
    REPORT_INTERVAL_MS = 1500,
    /* A report that is due now still arrives in time. */
    ENTRY_EXPIRES_MS = 3 * REPORT_INTERVAL_MS + 1,
    REPORT_MAX_BYTES = 160,
    /* Percentage of reports that are stored late while reports do not arrive;
     * the others are lost. */
    LATE_PERCENT = 30
};

/* A worker's entry in the store, on days with late reports. */
struct world_entry {
    char *id;
    bool is_listed;
    int64_t stored_ms;        /* when its last report was stored */
    int64_t cut_until_ms;     /* its reports do not arrive until then */
    int64_t expired_until_ms; /* it expired, and is back then */
};

/* A report on its way to the store. */
struct late_report {
    char *id;
    char *text;
};

/* ---- codec ---- */

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
    char kind[8];
    struct cw_target_report report = {
        .id = id, .service = "s", .address = address, .kind = kind};
    bool ok =
        sscanf(copy,
               "%31s %" SCNd64 " %" SCNd64 " %" SCNd64 " %d %" SCNd64
               " %63s %" SCNd64 " %7s",
               rack, &report.capacity.cpu_milli, &report.capacity.memory_mb,
               &report.capacity.accelerators, &draining, &report.clock_ms,
               address, &report.boot_ms, kind) == 9;

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

/* ---- entries ---- */

static void
free_entry(gpointer data)
{
    struct world_entry *entry = data;

    g_free(entry->id);
    g_free(entry);
}

GHashTable *
world_entries_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
}

static bool
entries_expire(const struct world *world)
{
    return world->options.late_reports > 0;
}

static struct world_entry *
entry_of(struct world *world, const char *id)
{
    struct world_entry *entry = g_hash_table_lookup(world->entries, id);

    if (entry == NULL) {
        entry = g_new0(struct world_entry, 1);
        entry->id = g_strdup(id);
        g_hash_table_insert(world->entries, entry->id, entry);
    }
    return entry;
}

bool
world_worker_is_listed(const struct world *world, const char *worker)
{
    const struct world_entry *entry =
        g_hash_table_lookup(world->entries, worker);

    if (entry != NULL && entry->expired_until_ms > world->now_ms) {
        return false;
    }
    return !entries_expire(world) || (entry != NULL && entry->is_listed);
}

/* Writes the worker's entry; without a text, removes it. */
static void
write_entry(struct world *world, const char *id, const char *text)
{
    struct cw_store_record record = {
        .key = id, .value = text, .length = text != NULL ? strlen(text) : 0};
    struct cw_store_append append = {
        .topic = TARGETS_TOPIC, .records = &record, .count = 1};

    store_model_append(world->store, &append);
    if (text != NULL && g_hash_table_contains(world->draining, id)) {
        world_drain_stored(world, id);
    }
}

static void
expire_entry(struct world *world, void *context)
{
    struct world_entry *entry = context;

    if (entry->is_listed &&
        world->now_ms - entry->stored_ms >= ENTRY_EXPIRES_MS) {
        entry->is_listed = false;
        write_entry(world, entry->id, NULL);
    }
}

static void
store_report(struct world *world, const char *id, const char *text)
{
    struct world_entry *entry = entry_of(world, id);

    entry->stored_ms = world->now_ms;
    entry->is_listed = true;
    write_entry(world, id, text);
    world_schedule(world, ENTRY_EXPIRES_MS, expire_entry, entry);
}

/* ---- reports ---- */

static void
write_report(struct world *world, const struct worker_model *worker,
             char *text, size_t size)
{
    const struct cw_resources *has = worker_model_capacity(worker);

    g_snprintf(text, size,
               "%s %" PRId64 " %" PRId64 " %" PRId64 " %d 0 %s %" PRId64 " %s",
               worker_model_rack(worker), has->cpu_milli, has->memory_mb,
               has->accelerators,
               g_hash_table_contains(world->draining, worker_model_id(worker)),
               worker_model_address(worker),
               world_reported_boot_ms(world, worker),
               worker_model_kind(worker));
}

static void
free_late_report(struct late_report *report)
{
    g_free(report->id);
    g_free(report->text);
    g_free(report);
}

static void
store_late(struct world *world, void *context)
{
    struct late_report *report = context;

    world_record_fault(world, "late report of %s", report->id);
    store_report(world, report->id, report->text);
    free_late_report(report);
}

void
world_report_late(struct world *world, const struct worker_model *worker,
                  unsigned after_ms)
{
    struct late_report *report = g_new0(struct late_report, 1);
    char text[REPORT_MAX_BYTES];

    write_report(world, worker, text, sizeof(text));
    report->id = g_strdup(worker_model_id(worker));
    report->text = g_strdup(text);
    world_schedule(world, after_ms, store_late, report);
}

void
world_cut_reports(struct world *world, const struct worker_model *worker,
                  unsigned ms)
{
    struct world_entry *entry = entry_of(world, worker_model_id(worker));

    world_record_fault(world, "cut reports of %s for %u", entry->id, ms);
    entry->cut_until_ms = MAX(entry->cut_until_ms, world->now_ms + ms);
}

void
world_heal_reports(struct world *world)
{
    GHashTableIter iterator;
    gpointer entry;

    g_hash_table_iter_init(&iterator, world->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &entry)) {
        ((struct world_entry *)entry)->cut_until_ms = 0;
    }
}

/* Sends the report of a worker that is up: stores it, or while its reports do
 * not arrive, loses it or stores it late. */
static void
send_report(struct world *world, const struct worker_model *worker)
{
    const char *id = worker_model_id(worker);
    char text[REPORT_MAX_BYTES];

    if (entry_of(world, id)->cut_until_ms <= world->now_ms) {
        write_report(world, worker, text, sizeof(text));
        store_report(world, id, text);
    }
    else if (world_random_chance(world, LATE_PERCENT)) {
        world_report_late(
            world, worker,
            world_random_between(world, 1, WORLD_REPORT_LATE_MAX_MS));
    }
}

void
world_store_report(struct world *world, const struct worker_model *worker)
{
    char text[REPORT_MAX_BYTES];

    write_report(world, worker, text, sizeof(text));
    if (entries_expire(world)) {
        store_report(world, worker_model_id(worker), text);
    }
    else {
        write_entry(world, worker_model_id(worker), text);
    }
}

void
world_remove_entry(struct world *world, const struct worker_model *worker)
{
    entry_of(world, worker_model_id(worker))->is_listed = false;
    write_entry(world, worker_model_id(worker), NULL);
}

/* Stores the worker's report, or removes the entry of one that is down. */
static void
update_entry(struct world *world, const struct worker_model *worker)
{
    char text[REPORT_MAX_BYTES];

    write_report(world, worker, text, sizeof(text));
    write_entry(world, worker_model_id(worker),
                worker_model_is_down(worker) ? NULL : text);
}

static void
report(struct world *world, const struct worker_model *worker)
{
    if (entry_of(world, worker_model_id(worker))->expired_until_ms >
        world->now_ms) {
        return;
    }
    if (!entries_expire(world)) {
        update_entry(world, worker);
    }
    else if (!worker_model_is_down(worker)) {
        send_report(world, worker);
    }
}

static void
report_again(struct world *world, void *worker)
{
    report(world, worker);
}

void
world_expire_entry(struct world *world, const struct worker_model *worker,
                   unsigned ms)
{
    struct world_entry *entry = entry_of(world, worker_model_id(worker));

    entry->is_listed = false;
    entry->expired_until_ms = world->now_ms + ms;
    write_entry(world, entry->id, NULL);
    world_schedule(world, ms, report_again, (void *)worker);
}

void
world_report_workers(struct world *world, void *context)
{
    (void)context;
    for (unsigned i = 0; i < worker_fleet_size(world->fleet); i++) {
        report(world, worker_fleet_at(world->fleet, i));
    }
    world_schedule(world, REPORT_INTERVAL_MS, world_report_workers, NULL);
}

bool
world_reports_free_event(const struct event *event)
{
    if (event->run == store_late) {
        free_late_report(event->context);
        return true;
    }
    return false;
}

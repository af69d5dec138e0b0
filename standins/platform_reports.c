/* Entries of the stand-in's workers in its store: reports, which may be stored
 * late or not at all, and their expiry. */
#include <inttypes.h>
#include <stdio.h>

#include "curlewcart/cw_time.h"
#include "standins/platform_standin.h"

enum { ODD_DEPTH = 100000 };

struct late_report {
    int64_t due_ms;
    char *id;
    char *text;
};

static void
late_report_free(gpointer data)
{
    struct late_report *late = data;

    g_free(late->id);
    g_free(late->text);
    g_free(late);
}

void
standin_entries_init(struct platform *platform)
{
    platform->reported_at =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    platform->late_reports = g_ptr_array_new_with_free_func(late_report_free);
}

static void
store_report(struct platform *platform, const char *id, const char *text)
{
    int64_t now_ms = standin_now_ms();

    standin_append(platform, "keyed.servers", id, text);
    g_hash_table_replace(platform->reported_at, g_strdup(id),
                         g_memdup2(&now_ms, sizeof(now_ms)));
}

char *
standin_report_text(struct platform *platform,
                    const struct worker_server *worker)
{
    return g_strdup_printf(
        "{\"service\":\"service\",\"address\":\"%s\",\"zone\":\"%s\","
        "\"slots\":8,\"state\":\"%s\",\"capacity\":{\"cpu\":%d,"
        "\"mem_mb\":%d,\"gpus\":%d},\"labels\":[\"" STANDIN_LABEL "\",\"%s\"],"
        "\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 "}",
        worker->reported_address, worker->dc,
        worker->leaves_at_ms > 0 ? "draining" : "ready", WORKER_CPU_MILLI,
        WORKER_MEMORY_MB, WORKER_ACCELERATORS, worker->rack, standin_now_ms(),
        platform->hides_boot_times ? (int64_t)0
                                   : worker_model_boot_ms(worker_fleet_find(
                                         platform->fleet, worker->id)));
}

/* Stores a worker's report if it is up and not muted; false if not. */
static bool
report_worker(struct platform *platform, const struct worker_server *worker)
{
    char *text;

    if (worker_model_is_down(worker_fleet_find(platform->fleet, worker->id)) ||
        standin_now_ms() < worker->muted_until_ms)
    {
        return false;
    }
    text = standin_report_text(platform, worker);
    store_report(platform, worker->id, text);
    g_free(text);
    return true;
}

void
standin_report_workers(struct platform *platform)
{
    for (guint i = 0; i < platform->workers->len; i++) {
        const struct worker_server *worker = platform->workers->pdata[i];

        if (worker->relisted_at_ms == 0) {
            (void)report_worker(platform, worker);
        }
    }
}

/* Lists workers again whose entries were removed until now. */
static void
relist_due(struct platform *platform)
{
    for (guint i = 0; i < platform->workers->len; i++) {
        struct worker_server *worker = platform->workers->pdata[i];

        if (worker->relisted_at_ms == 0 ||
            standin_now_ms() < worker->relisted_at_ms) {
            continue;
        }
        worker->relisted_at_ms = 0;
        if (report_worker(platform, worker)) {
            printf("relisted worker=%s at_ms=%" PRId64 "\n", worker->id,
                   cw_clock_wall_ms(cw_clock_system()));
        }
    }
}

void
standin_store_late(struct platform *platform, const char *id,
                   const char *report, int64_t late_ms)
{
    struct late_report *late = g_new0(struct late_report, 1);

    late->due_ms = standin_now_ms() + late_ms;
    late->id = g_strdup(id);
    late->text = g_strdup(report);
    g_ptr_array_add(platform->late_reports, late);
}

void
standin_append_odd_entries(struct platform *platform)
{
    static const char *const odd[][2] = {
        {"odd-text", "\xff\xfe"},
        {"odd-number", "{\"seq\":99999999999999999999}"},
        {"odd-port",
         "{\"service\":\"service\",\"address\":\"127.0.0.1:99999\","
         "\"zone\":\"z\",\"state\":\"ready\",\"capacity\":{\"gpus\":8}}"},
        {"odd-capacity",
         "{\"service\":\"service\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\","
         "\"state\":\"ready\",\"capacity\":{\"gpus\":1e300,"
         "\"cpu\":9223372036854775807}}"},
        {"odd-id\nX: y",
         "{\"service\":\"service\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\","
         "\"state\":\"ready\",\"capacity\":{\"gpus\":8}}"},
    };
    char *nested = g_strnfill(ODD_DEPTH, '[');
    char *id = g_strnfill(CW_STORE_KEY_BYTES_MAX, 'i');

    for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
        standin_append(platform, "keyed.servers", odd[i][0], odd[i][1]);
    }
    standin_append(platform, "keyed.servers", "odd-depth", nested);
    standin_append(
        platform, "keyed.servers", id,
        "{\"service\":\"service\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\","
        "\"state\":\"ready\",\"remaining_ms\":1e300,\"clock_ms\":-1e300,"
        "\"seq\":9223372036854775807,\"capacity\":{\"gpus\":8,\"cpu\":1000,"
        "\"mem_mb\":1000}}");
    g_free(nested);
    g_free(id);
}

void
standin_remove_entry(struct platform *platform, const char *id)
{
    standin_append(platform, "keyed.servers", id, NULL);
    g_hash_table_remove(platform->reported_at, id);
}

void
standin_keep_entry(struct platform *platform, const char *id)
{
    g_hash_table_remove(platform->reported_at, id);
}

static void
store_due_reports(struct platform *platform)
{
    for (guint i = platform->late_reports->len; i-- > 0;) {
        const struct late_report *late = platform->late_reports->pdata[i];

        if (standin_now_ms() >= late->due_ms) {
            store_report(platform, late->id, late->text);
            printf("reported_late worker=%s at_ms=%" PRId64 "\n", late->id,
                   cw_clock_wall_ms(cw_clock_system()));
            g_ptr_array_remove_index_fast(platform->late_reports, i);
        }
    }
}

static void
remove_expired_entries(struct platform *platform)
{
    GHashTableIter iterator;
    gpointer id;
    gpointer reported_at;

    g_hash_table_iter_init(&iterator, platform->reported_at);
    while (g_hash_table_iter_next(&iterator, &id, &reported_at)) {
        if (standin_now_ms() - *(int64_t *)reported_at > ENTRY_EXPIRY_MS) {
            standin_append(platform, "keyed.servers", id, NULL);
            printf("expired worker=%s at_ms=%" PRId64 "\n", (char *)id,
                   cw_clock_wall_ms(cw_clock_system()));
            g_hash_table_iter_remove(&iterator);
        }
    }
}

void
standin_update_entries(struct platform *platform)
{
    store_due_reports(platform);
    relist_due(platform);
    remove_expired_entries(platform);
}

/* The data centres that operators have cordoned, as read from the store. */
#include "curlewcart/cw_cordons.h"

#include <inttypes.h>
#include <glib.h>

#include "curlewcart/cw_log.h"

struct cordon {
    uint64_t offset; /* of the newest record that set this cordon */
    struct timespec first_read_at;
    bool delivered_in_load; /* since the last reset */
};

struct cw_cordons {
    struct cw_cordons_options options;
    struct cw_follower *follower; /* or NULL */
    GHashTable *by_dc;            /* data centre -> struct cordon */
};

struct cw_cordons *
cw_cordons_create(const struct cw_cordons_options *options)
{
    struct cw_cordons *cordons = g_new0(struct cw_cordons, 1);

    cordons->options = *options;
    cordons->by_dc =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return cordons;
}

void
cw_cordons_free(struct cw_cordons *cordons)
{
    if (cordons != NULL) {
        g_hash_table_unref(cordons->by_dc);
        g_free(cordons);
    }
}

void
cw_cordons_set_follower(struct cw_cordons *cordons,
                        struct cw_follower *follower)
{
    cordons->follower = follower;
}

static void
notify_changed(const struct cw_cordons *cordons)
{
    if (cordons->options.changed != NULL) {
        cordons->options.changed(cordons->options.context);
    }
}

/* ---- records ---- */

static void
log_uncordoned(const struct cw_cordons *cordons, const char *dc,
               const struct cordon *cordon, const char *reason)
{
    struct timespec now = cw_clock_now(cordons->options.clock);

    cw_log_info("dc_uncordoned",
                "dc=%s reason=%s offset=%" PRIu64 " known_ms=%" PRId64, dc,
                reason, cordon->offset,
                cw_time_diff_ms(cordon->first_read_at, now));
}

static void
set_cordon(struct cw_cordons *cordons, const char *dc, uint64_t offset)
{
    struct cordon *cordon = g_hash_table_lookup(cordons->by_dc, dc);

    if (cordon == NULL) {
        cordon = g_new0(struct cordon, 1);
        cordon->first_read_at = cw_clock_now(cordons->options.clock);
        g_hash_table_insert(cordons->by_dc, g_strdup(dc), cordon);
        cw_log_info("dc_cordoned", "dc=%s offset=%" PRIu64, dc, offset);
        notify_changed(cordons);
    }
    cordon->offset = MAX(cordon->offset, offset);
    cordon->delivered_in_load = true;
}

static void
withdraw_cordon(struct cw_cordons *cordons, const char *dc, uint64_t offset)
{
    const struct cordon *cordon = g_hash_table_lookup(cordons->by_dc, dc);

    if (cordon != NULL && cordon->offset < offset) {
        log_uncordoned(cordons, dc, cordon, "withdrawn");
        g_hash_table_remove(cordons->by_dc, dc);
        notify_changed(cordons);
    }
}

void
cw_cordons_record(void *context, const struct cw_store_record *record)
{
    struct cw_cordons *cordons = context;
    const char *dc = cordons->options.codec->cordoned_dc(record->key);

    if (dc == NULL) {
        return;
    }
    if (record->value == NULL || record->length == 0) {
        withdraw_cordon(cordons, dc, record->offset);
    }
    else {
        set_cordon(cordons, dc, record->offset);
    }
}

void
cw_cordons_reset(void *context)
{
    struct cw_cordons *cordons = context;
    GHashTableIter iterator;
    gpointer cordon;

    g_hash_table_iter_init(&iterator, cordons->by_dc);
    while (g_hash_table_iter_next(&iterator, NULL, &cordon)) {
        ((struct cordon *)cordon)->delivered_in_load = false;
    }
}

/* Removes the cordons that the load did not deliver: they were withdrawn by
 * records that the store no longer retains. */
void
cw_cordons_loaded(void *context)
{
    struct cw_cordons *cordons = context;
    bool changed = false;
    GHashTableIter iterator;
    gpointer dc;
    gpointer value;

    g_hash_table_iter_init(&iterator, cordons->by_dc);
    while (g_hash_table_iter_next(&iterator, &dc, &value)) {
        const struct cordon *cordon = value;

        if (!cordon->delivered_in_load) {
            log_uncordoned(cordons, dc, cordon, "not_listed");
            g_hash_table_iter_remove(&iterator);
            changed = true;
        }
    }
    if (changed) {
        notify_changed(cordons);
    }
}

/* ---- queries ---- */

int64_t
cw_cordons_age_ms(const struct cw_cordons *cordons, const char *dc,
                  struct timespec now)
{
    const struct cordon *cordon = g_hash_table_lookup(cordons->by_dc, dc);

    return cordon != NULL ? cw_time_diff_ms(cordon->first_read_at, now) : -1;
}

bool
cw_cordons_permits_dc(const struct cw_cordons *cordons, const char *dc)
{
    return g_hash_table_size(cordons->by_dc) == 0 ||
           !g_hash_table_contains(cordons->by_dc, dc);
}

unsigned
cw_cordons_count(const struct cw_cordons *cordons)
{
    return g_hash_table_size(cordons->by_dc);
}

int64_t
cw_cordons_staleness_ms(const struct cw_cordons *cordons, struct timespec now)
{
    if (cordons->follower == NULL || !cw_follower_loaded(cordons->follower)) {
        return INT64_MAX;
    }
    return cw_time_diff_ms(cw_follower_fresh_as_of(cordons->follower), now);
}

void
cw_cordons_read_now(struct cw_cordons *cordons)
{
    if (cordons->follower != NULL) {
        cw_follower_read_now(cordons->follower);
    }
}

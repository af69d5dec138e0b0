/* The states of jobs in the store, while a VM takes a shard over. */
#include "owner/internal/owner_state_reader.h"

#include <string.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_work.h"

/* The present owner writes until it is shut out. */
enum { READ_PACE_MS = 20 };

struct owner_state_reader {
    struct cw_follower *follower;
    GHashTable *states; /* id -> GBytes */
};

static void
on_reset(void *context)
{
    struct owner_state_reader *stored = context;

    g_hash_table_remove_all(stored->states);
}

static void
on_record(void *context, const struct cw_store_record *record)
{
    struct owner_state_reader *stored = context;
    const char *id = record->key + 1;

    if (record->key[0] != CW_WORK_KEY_RECORD) {
        cw_log_warning("record_unknown",
                       "topic=states offset=%" G_GUINT64_FORMAT,
                       record->offset);
        return;
    }
    if (record->value == NULL || record->length == 0) {
        g_hash_table_remove(stored->states, id);
        return;
    }
    g_hash_table_replace(stored->states, g_strdup(id),
                         g_bytes_new(record->value, record->length));
}

struct owner_state_reader *
owner_state_reader_create(struct cw_store *store, struct cw_clock *clock,
                          unsigned partition)
{
    struct owner_state_reader *stored = g_new0(struct owner_state_reader, 1);
    struct cw_follower_options options = {
        .name = "states",
        .store = store,
        .clock = clock,
        .topic = CW_STATE_TOPIC,
        .partition = partition,
        .read_interval_ms = READ_PACE_MS,
        .handler = {.reset = on_reset, .record = on_record, .context = stored},
    };

    stored->states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify)g_bytes_unref);
    stored->follower = cw_follower_create(&options);
    return stored;
}

void
owner_state_reader_free(struct owner_state_reader *stored)
{
    if (stored != NULL) {
        cw_follower_free(stored->follower);
        g_hash_table_unref(stored->states);
        g_free(stored);
    }
}

struct cw_follower *
owner_state_reader_follower(struct owner_state_reader *stored)
{
    return stored->follower;
}

GBytes *
owner_state_reader_find(const struct owner_state_reader *stored,
                        const char *job)
{
    return stored != NULL ? g_hash_table_lookup(stored->states, job) : NULL;
}

void
owner_state_reader_each(const struct owner_state_reader *stored,
                        void (*see)(void *context, const char *job),
                        void *context)
{
    GHashTableIter iterator;
    gpointer id;

    g_hash_table_iter_init(&iterator, stored->states);
    while (g_hash_table_iter_next(&iterator, &id, NULL)) {
        see(context, id);
    }
}

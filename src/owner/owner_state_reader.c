/* Reads the stored states of jobs while a VM takes a shard over. */
#include "owner/internal/owner_state_reader.h"

#include <string.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_work.h"

/* Interval of reads: the present owner writes until it is fenced. */
enum { READ_INTERVAL_MS = 20 };

struct owner_state_reader {
    struct cw_follower *follower;
    GHashTable *states; /* id -> GBytes */
};

static void
on_reset(void *context)
{
    struct owner_state_reader *reader = context;

    g_hash_table_remove_all(reader->states);
}

static void
on_record(void *context, const struct cw_store_record *record)
{
    struct owner_state_reader *reader = context;
    const char *id = record->key + 1;

    if (record->key[0] != CW_WORK_KEY_RECORD) {
        cw_log_warning("record_unknown",
                       "topic=states offset=%" G_GUINT64_FORMAT,
                       record->offset);
        return;
    }
    if (record->value == NULL || record->length == 0) {
        g_hash_table_remove(reader->states, id);
        return;
    }
    g_hash_table_replace(reader->states, g_strdup(id),
                         g_bytes_new(record->value, record->length));
}

struct owner_state_reader *
owner_state_reader_create(struct cw_store *store, struct cw_clock *clock,
                          unsigned partition)
{
    struct owner_state_reader *reader = g_new0(struct owner_state_reader, 1);
    struct cw_follower_options options = {
        .name = "states",
        .store = store,
        .clock = clock,
        .topic = CW_STATE_TOPIC,
        .partition = partition,
        .read_interval_ms = READ_INTERVAL_MS,
        .handler = {.reset = on_reset, .record = on_record, .context = reader},
    };

    reader->states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify)g_bytes_unref);
    reader->follower = cw_follower_create(&options);
    return reader;
}

void
owner_state_reader_free(struct owner_state_reader *reader)
{
    if (reader != NULL) {
        cw_follower_free(reader->follower);
        g_hash_table_unref(reader->states);
        g_free(reader);
    }
}

struct cw_follower *
owner_state_reader_follower(struct owner_state_reader *reader)
{
    return reader->follower;
}

GBytes *
owner_state_reader_find(const struct owner_state_reader *reader,
                        const char *job)
{
    return reader != NULL ? g_hash_table_lookup(reader->states, job) : NULL;
}

void
owner_state_reader_each(const struct owner_state_reader *reader,
                        void (*visit)(void *context, const char *job),
                        void *context)
{
    GHashTableIter iterator;
    gpointer id;

    g_hash_table_iter_init(&iterator, reader->states);
    while (g_hash_table_iter_next(&iterator, &id, NULL)) {
        visit(context, id);
    }
}

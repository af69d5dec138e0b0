/* Calls that wait for an outcome, in shards that each have a lock. */
#include <string.h>

#include "api/internal/api_private.h"

struct shard {
    pthread_mutex_t lock;
    GArray *entries; /* struct api_waiter */
};

struct api_waiters {
    struct shard shards[API_WAITER_SHARDS];
};

struct api_waiters *
api_waiters_create(void)
{
    struct api_waiters *waiters = g_new0(struct api_waiters, 1);

    for (int i = 0; i < API_WAITER_SHARDS; i++) {
        pthread_mutex_init(&waiters->shards[i].lock, NULL);
        waiters->shards[i].entries =
            g_array_new(FALSE, FALSE, sizeof(struct api_waiter));
    }
    return waiters;
}

void
api_waiters_add(struct api_waiters *waiters, const struct api_waiter *waiter)
{
    struct shard *shard =
        &waiters->shards[g_str_hash(waiter->job) % API_WAITER_SHARDS];
    struct api_waiter copy = *waiter;

    copy.request = g_strdup(waiter->request);
    pthread_mutex_lock(&shard->lock);
    g_array_append_val(shard->entries, copy);
    pthread_mutex_unlock(&shard->lock);
}

void
api_waiters_sweep(struct api_waiters *waiters,
                  bool (*answer)(void *context,
                                 const struct api_waiter *waiter),
                  void *context)
{
    for (int s = 0; s < API_WAITER_SHARDS; s++) {
        struct shard *shard = &waiters->shards[s];

        pthread_mutex_lock(&shard->lock);
        for (guint i = shard->entries->len; i-- > 0;) {
            struct api_waiter waiter =
                g_array_index(shard->entries, struct api_waiter, i);

            if (answer(context, &waiter)) {
                g_array_remove_index_fast(shard->entries, i);
                g_free((char *)waiter.request);
            }
        }
        pthread_mutex_unlock(&shard->lock);
    }
}

unsigned
api_waiters_count(struct api_waiters *waiters)
{
    unsigned count = 0;

    for (int i = 0; i < API_WAITER_SHARDS; i++) {
        pthread_mutex_lock(&waiters->shards[i].lock);
        count += waiters->shards[i].entries->len;
        pthread_mutex_unlock(&waiters->shards[i].lock);
    }
    return count;
}

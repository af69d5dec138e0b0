/* Logs appends of an owner that are not stored in time.
 *
 * An owner whose appends fail remains the owner while the group still assigns
 * the shard to it.  It places tasks, but their starts wait until the
 * placements are stored. */
#include "owner/internal/owner_append_watch.h"

#include "owner/internal/owner_private.h"

enum {
    /* An append takes a few ms, and up to 250 ms while the store is slow. */
    LATE_MS = 1000,
    LOG_INTERVAL_MS = 3000
};

/* Returns how many runs wait until their placement is stored. */
static unsigned
count_unstored_runs(const struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;
    unsigned count = 0;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;

        for (guint i = 0; i < target->runs->len; i++) {
            const struct owner_run *run = target->runs->pdata[i];

            count += run->phase == RUN_NEW || run->phase == RUN_COMMITTING;
        }
    }
    return count;
}

static void
log_late(const struct cw_owner *owner, const char *topic,
         const struct owner_log_unstored *unstored, struct timespec now)
{
    cw_log_warning(
        "append_late",
        "topic=%s store_ms=%" PRId64 " status=%s attempts=%u in_flight=%d"
        " runs=%u confirmed_ms=%" PRId64 " records=%u jobs=%u outcomes=%u",
        topic, cw_time_diff_ms(unstored->sent, now),
        unstored->status != CW_STORE_OK
            ? cw_store_status_name(unstored->status)
            : "",
        unstored->attempts, unstored->in_flight, count_unstored_runs(owner),
        cw_time_diff_ms(owner->ownership_confirmed_at, now), unstored->records,
        owner->dirty->len, owner->unpublished->len);
}

static bool
is_same_time(struct timespec a, struct timespec b)
{
    return a.tv_sec == b.tv_sec && a.tv_nsec == b.tv_nsec;
}

static void
watch_log(const struct cw_owner *owner, const struct owner_log *log,
          struct owner_append_watch *watch, struct timespec now)
{
    struct owner_log_unstored unstored;
    bool is_unstored = owner_log_get_unstored(log, &unstored);

    if (watch->late &&
        (!is_unstored || !is_same_time(unstored.sent, watch->sent))) {
        watch->late = false;
        cw_log_info("append_recovered", "topic=%s store_ms=%" PRId64,
                    owner_log_topic(log), cw_time_diff_ms(watch->sent, now));
    }
    if (!is_unstored || cw_time_diff_ms(unstored.sent, now) <= LATE_MS ||
        (watch->late &&
         cw_time_diff_ms(watch->logged_at, now) < LOG_INTERVAL_MS))
    {
        return;
    }
    watch->late = true;
    watch->sent = unstored.sent;
    watch->logged_at = now;
    log_late(owner, owner_log_topic(log), &unstored, now);
}

void
owner_append_watch_tick(struct cw_owner *owner, struct timespec now)
{
    watch_log(owner, owner->states_log, &owner->states_watch, now);
    watch_log(owner, owner->jobs_log, &owner->jobs_watch, now);
}

static int64_t
unstored_ms(const struct owner_log *log, struct timespec now)
{
    struct owner_log_unstored unstored;

    return owner_log_get_unstored(log, &unstored)
               ? cw_time_diff_ms(unstored.sent, now)
               : 0;
}

int64_t
owner_append_unstored_ms(const struct cw_owner *owner, struct timespec now)
{
    return MAX(unstored_ms(owner->states_log, now),
               unstored_ms(owner->jobs_log, now));
}

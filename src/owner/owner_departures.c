/* How incarnations of workers have ended.
 *
 * A worker that shuts down reports before that it drains, and serves on for
 * some time after the store has accepted the report.  One that crashes reports
 * nothing.  So an owner that has read all reports of a worker up to shortly
 * before the worker's end knows which of both it was.
 *
 * A new owner loads only the newest report of each worker, and none of a
 * worker whose entry was removed before.  No earlier owner need have read that
 * one's last report either.  If that matters, the new owner reads the earlier
 * reports, as far as the store retains them.  Without any report of an
 * incarnation its end remains unknown: that it is over does not show that it
 * has crashed. */
#include "owner/internal/owner_departures.h"

#include <string.h>

#include "owner/internal/owner_crashes.h"

enum {
    /* A worker serves on for at least 2 s after the store has accepted that it
     * drains.  Less, as that time is not measured by this VM. */
    DRAIN_MIN_MS = 1500,
    /* Limit on the records that are read, from the newest on. */
    HISTORY_RECORDS_MAX = 4096,
    /* Interval of attempts to settle suspicions that wait for reports. */
    SETTLE_INTERVAL_MS = 50
};

/* True if both boot times may be of one incarnation. */
static bool
may_be_same(int64_t boot_ms, int64_t other_ms)
{
    return boot_ms == other_ms || boot_ms == 0 || other_ms == 0;
}

static struct owner_reported *
find_reported(struct owner_reported_list *reported, int64_t boot_ms)
{
    for (unsigned i = 0; i < reported->count; i++) {
        if (reported->items[i].boot_ms == boot_ms) {
            return &reported->items[i];
        }
    }
    return NULL;
}

static void
remove_at(struct owner_reported_list *reported, unsigned index)
{
    reported->count--;
    memmove(&reported->items[index], &reported->items[index + 1],
            (reported->count - index) * sizeof(reported->items[0]));
}

void
owner_departures_reported(struct owner_target *target, int64_t boot_ms,
                          bool draining)
{
    struct owner_reported_list *reported = &target->reported;
    struct owner_reported *found = find_reported(reported, boot_ms);

    if (found == NULL) {
        if (reported->count == OWNER_REPORTED_MAX) {
            remove_at(reported, 0);
        }
        found = &reported->items[reported->count++];
        *found = (struct owner_reported){.boot_ms = boot_ms};
    }
    /* Reports may be stored out of order: a worker that drains does so until
     * its end. */
    found->drained |= draining;
}

bool
owner_departures_drained(const struct owner_target *target, int64_t boot_ms)
{
    const struct owner_reported_list *reported = &target->reported;

    for (unsigned i = 0; i < reported->count; i++) {
        if (reported->items[i].drained &&
            may_be_same(reported->items[i].boot_ms, boot_ms))
        {
            return true;
        }
    }
    return target->draining && may_be_same(target->address_boot_ms, boot_ms);
}

static bool
has_reported(const struct owner_target *target, int64_t boot_ms)
{
    const struct owner_reported_list *reported = &target->reported;

    for (unsigned i = 0; i < reported->count; i++) {
        if (may_be_same(reported->items[i].boot_ms, boot_ms)) {
            return true;
        }
    }
    return false;
}

/* True if this owner has read the reports that the store accepted until
 * shortly before that time: one of a worker that drained, and was over then,
 * is among them. */
static bool
reports_are_read(const struct cw_owner *owner, struct timespec over_at)
{
    return owner->reports == NULL ||
           !cw_time_before(cw_follower_fresh_as_of(owner->reports),
                           cw_time_add_ms(over_at, -DRAIN_MIN_MS));
}

enum owner_departure
owner_departures_find(struct owner_target *target, int64_t boot_ms,
                      struct timespec over_at)
{
    struct cw_owner *owner = target->owner;

    if (owner_departures_drained(target, boot_ms)) {
        return OWNER_DEPARTURE_DRAINED;
    }
    if (!reports_are_read(owner, over_at)) {
        return OWNER_DEPARTURE_PENDING;
    }
    if (has_reported(target, boot_ms)) {
        return OWNER_DEPARTURE_CRASHED;
    }
    if (target->reported.history == OWNER_HISTORY_READ ||
        owner->reports == NULL) {
        return OWNER_DEPARTURE_UNKNOWN;
    }
    if (target->reported.history == OWNER_HISTORY_UNREAD) {
        target->reported.history = OWNER_HISTORY_WANTED;
    }
    return OWNER_DEPARTURE_PENDING;
}

static void
forget_undrained(struct owner_target *target)
{
    struct owner_reported_list *reported = &target->reported;

    for (unsigned i = reported->count; i > 0; i--) {
        if (!reported->items[i - 1].drained) {
            remove_at(reported, i - 1);
        }
    }
}

static void
stop_reading(struct cw_owner *owner)
{
    cw_follower_free(owner->reports_history);
    owner->reports_history = NULL;
}

void
owner_departures_reports_missed(struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;

    stop_reading(owner);
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        forget_undrained(target);
        target->reported.history = OWNER_HISTORY_UNREAD;
    }
}

/* ---- earlier reports ---- */

static void
take_report(void *context, const struct cw_target_report *report)
{
    struct owner_target *target = context;

    owner_departures_reported(target, report->boot_ms, report->draining);
}

static void
on_record(void *context, const struct cw_store_record *record)
{
    struct cw_owner *owner = context;
    struct owner_target *target =
        g_hash_table_lookup(owner->targets, record->key);

    if (target != NULL && target->reported.history == OWNER_HISTORY_READING &&
        record->value != NULL && record->length > 0)
    {
        /* One that is not valid tells nothing. */
        (void)owner->options.codec->decode_target(
            record->key, record->value, record->length, take_report, target);
    }
}

/* Reports between those that were read and those that follow are missing. */
static void
on_skipped(void *context)
{
    struct cw_owner *owner = context;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        if (target->reported.history == OWNER_HISTORY_READING) {
            forget_undrained(target);
        }
    }
}

/* Moves the workers in one state of the history to another; returns their
 * number. */
static unsigned
change_history(struct cw_owner *owner, enum owner_history from,
               enum owner_history to)
{
    GHashTableIter iterator;
    gpointer value;
    unsigned count = 0;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        if (target->reported.history == from) {
            target->reported.history = to;
            count++;
        }
    }
    return count;
}

/* Begins to read the reports before those that this owner has loaded, if they
 * are wanted. */
static void
begin_history(struct cw_owner *owner)
{
    uint64_t end = cw_follower_position(owner->reports);
    struct cw_follower_options options = {
        .name = "workers_history",
        .store = owner->options.store,
        .clock = owner->options.clock,
        .topic = owner->options.codec->targets_topic,
        .history_only = true,
        .from = end - MIN(end, HISTORY_RECORDS_MAX),
        .handler = {.reset = on_skipped,
                    .record = on_record,
                    .context = owner},
    };
    unsigned workers =
        change_history(owner, OWNER_HISTORY_WANTED, OWNER_HISTORY_READING);

    if (workers > 0) {
        cw_log_info("reports_read", "workers=%u from=%" PRIu64 " to=%" PRIu64,
                    workers, options.from, end);
        owner->reports_history = cw_follower_create(&options);
        owner->reports_history_end = end;
    }
}

static struct timespec
history_tick(struct cw_owner *owner, struct timespec now)
{
    if (owner->reports_history == NULL) {
        begin_history(owner);
    }
    if (owner->reports_history == NULL) {
        return cw_time_from_ms(INT32_MAX);
    }
    cw_follower_tick(owner->reports_history, now);
    if (cw_follower_position(owner->reports_history) <
        owner->reports_history_end) {
        return cw_follower_due(owner->reports_history);
    }
    stop_reading(owner);
    (void)change_history(owner, OWNER_HISTORY_READING, OWNER_HISTORY_READ);
    owner->departures_due = now;
    return now;
}

/* ---- suspicions that wait ---- */

void
owner_departures_await(struct cw_owner *owner)
{
    owner->departures_awaited = true;
}

struct timespec
owner_departures_tick(struct cw_owner *owner, struct timespec now)
{
    struct timespec next;

    if (!owner->departures_awaited) {
        return cw_time_from_ms(INT32_MAX);
    }
    next = history_tick(owner, now);
    if (!cw_time_before(now, owner->departures_due)) {
        owner->departures_awaited = false;
        owner->departures_due = cw_time_add_ms(now, SETTLE_INTERVAL_MS);
        owner_crashes_settle_all(owner); /* may wait again */
    }
    cw_time_set_earlier(&next, owner->departures_due);
    return next;
}

void
owner_departures_clear(struct cw_owner *owner)
{
    stop_reading(owner);
    owner->departures_awaited = false;
}

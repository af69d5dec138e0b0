/* Following a keyed partition: load, read on, load again when needed. */
#include "curlewcart/cw_follower.h"

#include <inttypes.h>
#include <glib.h>

#include "curlewcart/cw_log.h"

enum {
    /* An answer takes a few ms, and up to about a quarter second while the
     * store is slow; a cut shows within this. */
    CALL_TIMEOUT_MS = 900,
    /* A page of newest records holds up to 1 MB, which takes 0.8 s of a
     * 10 Mbit/s link and 4 s of a 2 Mbit/s one.  Each load without an answer
     * doubles the time that the next one gets, up to the most; with a fixed
     * 0.9 s weak VMs did not get a page for 5 to 8 s after a restart, and
     * with 0.9 s at first they lost that time. */
    LOAD_TIMEOUT_FIRST_MS = 2000,
    LOAD_TIMEOUT_MOST_MS = 5000,
    /* What a 2 Mbit/s link carries well within CALL_TIMEOUT_MS. */
    READ_MOST_KB = 128,
    RETRY_FIRST_MS = 100,
    RETRY_MOST_MS = 800,
    /* Many VMs share the store's rate of reads.  Refused, a follower reads
     * less often; each answer halves that again, so that an outage is soon
     * forgotten. */
    SLOW_FIRST_MS = 200,
    SLOW_MOST_MS = 1000
};

struct cw_follower {
    struct cw_follower_options options;
    bool loading; /* pages of newest records are being read */
    bool loaded;
    bool in_flight;
    bool hurry;
    bool freed;
    bool away; /* the last call failed; was logged */
    bool at_end;
    bool waits; /* the read under way waits for a record */
    char *after;
    bool have_start;
    uint64_t start; /* end of the partition at the first page */
    uint64_t position;
    unsigned retry_ms;
    unsigned slow_ms; /* least time between reads since the last refusal */
    unsigned load_timeout_ms;
    struct timespec due;
    struct timespec sent;
    struct timespec fresh;
    struct timespec load_sent; /* the first page of the load under way */
    unsigned load_pages;       /* of it, answered */
    unsigned load_records;
};

struct cw_follower *
cw_follower_create(const struct cw_follower_options *options)
{
    struct cw_follower *follower = g_new0(struct cw_follower, 1);

    follower->options = *options;
    follower->loading = true;
    follower->load_timeout_ms = LOAD_TIMEOUT_FIRST_MS;
    return follower;
}

static void
release(struct cw_follower *follower)
{
    g_free(follower->after);
    g_free(follower);
}

void
cw_follower_free(struct cw_follower *follower)
{
    if (follower == NULL) {
        return;
    }
    follower->freed = true;
    if (!follower->in_flight) {
        release(follower);
    }
}

static void
note_failure(struct cw_follower *follower, enum cw_store_status status,
             struct timespec now)
{
    if (!follower->away) {
        follower->away = true;
        cw_log_warning("dependency_lost",
                       "what=%s status=%s position=%" G_GUINT64_FORMAT,
                       follower->options.name, cw_store_status_name(status),
                       follower->position);
    }
    follower->at_end = false;
    if (status == CW_STORE_REFUSED) {
        follower->slow_ms =
            CLAMP(follower->slow_ms * 2, SLOW_FIRST_MS, SLOW_MOST_MS);
    }
    if (follower->loading && status == CW_STORE_UNKNOWN) {
        follower->load_timeout_ms =
            MIN(follower->load_timeout_ms * 2, LOAD_TIMEOUT_MOST_MS);
    }
    follower->retry_ms =
        CLAMP(follower->retry_ms * 2, RETRY_FIRST_MS, RETRY_MOST_MS);
    follower->due = cw_time_add_ms(now, follower->retry_ms);
}

static void
note_success(struct cw_follower *follower, struct timespec now)
{
    if (follower->away) {
        follower->away = false;
        cw_log_info("dependency_regained", "what=%s away_ms=%" PRId64,
                    follower->options.name,
                    cw_time_diff_ms(follower->fresh, now));
    }
    follower->retry_ms = 0;
    follower->slow_ms /= 2;
}

static void
begin_load(struct cw_follower *follower, struct timespec now)
{
    follower->loading = true;
    follower->at_end = false;
    follower->have_start = false;
    follower->load_pages = 0;
    follower->load_records = 0;
    g_clear_pointer(&follower->after, g_free);
    follower->due = now;
}

static void
give_records(struct cw_follower *follower, const struct cw_store_page *page)
{
    const struct cw_follower_handler *handler = &follower->options.handler;

    for (size_t i = 0; i < page->count; i++) {
        handler->record(handler->context, &page->records[i]);
    }
}

static void
end_load(struct cw_follower *follower)
{
    const struct cw_follower_handler *handler = &follower->options.handler;

    follower->loading = false;
    follower->loaded = true;
    follower->position = follower->start;
    /* Pages are no snapshot: what came after the first may be missing. */
    follower->fresh = follower->load_sent;
    cw_log_info("loaded",
                "what=%s pages=%u records=%u position=%" G_GUINT64_FORMAT
                " took_ms=%" PRId64,
                follower->options.name, follower->load_pages,
                follower->load_records, follower->position,
                cw_time_diff_ms(follower->load_sent,
                                cw_clock_now(follower->options.clock)));
    if (handler->loaded != NULL) {
        handler->loaded(handler->context);
    }
}

static void
on_newest(void *context, const struct cw_store_page *page)
{
    struct cw_follower *follower = context;
    struct timespec now = cw_clock_now(follower->options.clock);

    follower->in_flight = false;
    if (follower->freed) {
        release(follower);
        return;
    }
    if (page->status != CW_STORE_OK) {
        note_failure(follower, page->status, now);
        return;
    }
    note_success(follower, now);
    if (!follower->have_start) {
        follower->have_start = true;
        follower->start = page->end;
        follower->load_sent = follower->sent;
        if (follower->options.handler.reset != NULL) {
            follower->options.handler.reset(follower->options.handler.context);
        }
    }
    follower->load_pages++;
    follower->load_records += (unsigned)page->count;
    give_records(follower, page);
    follower->due = now;
    if (page->more && page->count > 0) {
        g_free(follower->after);
        follower->after = g_strdup(page->records[page->count - 1].key);
        return;
    }
    end_load(follower);
}

static void
on_read(void *context, const struct cw_store_page *page)
{
    struct cw_follower *follower = context;
    const struct cw_follower_handler *handler = &follower->options.handler;
    struct timespec now = cw_clock_now(follower->options.clock);
    bool behind;

    follower->in_flight = false;
    if (follower->freed) {
        release(follower);
        return;
    }
    if (page->status == CW_STORE_EXPIRED) {
        cw_log_info("history_dropped",
                    "what=%s position=%" G_GUINT64_FORMAT
                    " first=%" G_GUINT64_FORMAT,
                    follower->options.name, follower->position, page->first);
        begin_load(follower, now);
        return;
    }
    if (page->status != CW_STORE_OK) {
        note_failure(follower, page->status, now);
        return;
    }
    note_success(follower, now);
    give_records(follower, page);
    if (page->count > 0) {
        follower->position = page->records[page->count - 1].offset + 1;
    }
    /* An answer holds only so much; through another VM it is little. */
    behind = page->count > 0 && follower->position < page->end;
    follower->at_end = !behind;
    if (!behind) {
        follower->fresh = follower->sent;
    }
    follower->due = cw_time_add_ms(
        now, follower->hurry || behind
                 ? 0
                 : MAX(follower->options.read_interval_ms, follower->slow_ms));
    if (handler->advanced != NULL) {
        handler->advanced(handler->context);
    }
}

static void
send_newest(struct cw_follower *follower)
{
    struct cw_store_read_newest call = {
        .topic = follower->options.topic,
        .partition = follower->options.partition,
        .after = follower->after,
        .timeout_ms = follower->load_timeout_ms,
        .done = on_newest,
        .context = follower,
    };

    follower->options.store->ops->newest(follower->options.store, &call);
}

static void
send_read(struct cw_follower *follower)
{
    /* After a failure the end is not known: a read that waits for records
     * would tell of it a second later. */
    unsigned wait_ms =
        follower->at_end && !follower->hurry ? follower->options.wait_ms : 0;
    struct cw_store_read call = {
        .topic = follower->options.topic,
        .partition = follower->options.partition,
        .from = follower->position,
        .wait_ms = wait_ms,
        .most_kb = READ_MOST_KB,
        .timeout_ms = wait_ms + CALL_TIMEOUT_MS,
        .done = on_read,
        .context = follower,
    };

    follower->hurry = false;
    follower->waits = wait_ms > 0;
    follower->options.store->ops->read(follower->options.store, &call);
}

void
cw_follower_tick(struct cw_follower *follower, struct timespec now)
{
    if (follower->in_flight || cw_time_before(now, follower->due)) {
        return;
    }
    follower->in_flight = true;
    follower->sent = now;
    if (follower->loading) {
        send_newest(follower);
    }
    else {
        send_read(follower);
    }
}

struct timespec
cw_follower_due(const struct cw_follower *follower)
{
    return follower->in_flight ? cw_time_from_ms(INT32_MAX) : follower->due;
}

bool
cw_follower_loaded(const struct cw_follower *follower)
{
    return follower->loaded;
}

uint64_t
cw_follower_position(const struct cw_follower *follower)
{
    return follower->position;
}

struct timespec
cw_follower_fresh_as_of(const struct cw_follower *follower)
{
    return follower->fresh;
}

bool
cw_follower_at_end(const struct cw_follower *follower)
{
    return follower->at_end;
}

bool
cw_follower_is_current(const struct cw_follower *follower)
{
    return follower->at_end && follower->in_flight && follower->waits;
}

void
cw_follower_set_read_interval(struct cw_follower *follower,
                              unsigned read_interval_ms)
{
    follower->options.read_interval_ms = read_interval_ms;
}

void
cw_follower_read_now(struct cw_follower *follower)
{
    follower->hurry = true;
    follower->due = cw_time_from_ms(0);
}

/* Follows a keyed partition: loads it, reads new records, and loads again when
 * needed. */
#include "curlewcart/cw_follower.h"

#include <inttypes.h>
#include <glib.h>

#include "curlewcart/cw_log.h"

enum {
    /* An answer takes a few ms, and up to about 250 ms while the store is
     * slow; a lost connection is detected within this time. */
    CALL_TIMEOUT_MS = 900,
    /* A page of newest records holds up to 1 MB, which takes 0.8 s on a
     * 10 Mbit/s link and 4 s on a 2 Mbit/s one.  The timeout doubles, up to
     * the maximum, after each load without an answer.  A fixed timeout of
     * 0.9 s leaves VMs on slow links without a page for 5 to 8 s after a
     * restart; a first timeout of 0.9 s is too short for such links. */
    LOAD_TIMEOUT_FIRST_MS = 2000,
    LOAD_TIMEOUT_MAX_MS = 5000,
    /* Limit of a read: a 2 Mbit/s link transfers 128 KB well within
     * CALL_TIMEOUT_MS. */
    READ_MAX_KB = 128,
    RETRY_MIN_MS = 100,
    RETRY_MAX_MS = 800,
    /* Many VMs share the store's limit on the rate of reads.  Each refusal
     * doubles a follower's minimum time between reads; each answer halves it,
     * so that the normal rate returns soon after an outage. */
    REFUSED_INTERVAL_MIN_MS = 200,
    REFUSED_INTERVAL_MAX_MS = 1000
};

struct cw_follower {
    struct cw_follower_options options;
    bool loading; /* a load is in progress */
    bool loaded;
    bool in_flight;
    bool read_immediately;
    bool freed;
    bool failing; /* the last call failed, which was logged */
    bool at_end;
    bool read_without_limit; /* the next record is larger than READ_MAX_KB */
    bool long_poll; /* the last read sent waits at the store for a record */
    char *after;    /* key after which the load's next page starts; NULL: first
                       page */
    bool resume_offset_known;
    uint64_t resume_offset; /* end of the partition at the load's first page */
    uint64_t position;
    unsigned retry_ms;
    unsigned refused_interval_ms; /* minimum between reads after refusals */
    unsigned load_timeout_ms;
    struct timespec due;
    struct timespec sent_at;
    struct timespec fresh_as_of;
    struct timespec load_sent_at; /* request for the load's first page */
    unsigned load_pages;          /* received in this load */
    unsigned load_records;        /* received in this load */
};

struct cw_follower *
cw_follower_create(const struct cw_follower_options *options)
{
    struct cw_follower *follower = g_new0(struct cw_follower, 1);

    follower->options = *options;
    follower->loading = !options->history_only;
    follower->loaded = options->history_only;
    follower->position = options->from;
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
record_failure(struct cw_follower *follower, enum cw_store_status status,
               struct timespec now)
{
    if (!follower->failing) {
        follower->failing = true;
        cw_log_warning("dependency_lost",
                       "what=%s status=%s position=%" G_GUINT64_FORMAT,
                       follower->options.name, cw_store_status_name(status),
                       follower->position);
    }
    follower->at_end = false;
    if (status == CW_STORE_NOT_EXECUTED) {
        follower->refused_interval_ms =
            CLAMP(follower->refused_interval_ms * 2, REFUSED_INTERVAL_MIN_MS,
                  REFUSED_INTERVAL_MAX_MS);
    }
    if (follower->loading && status == CW_STORE_UNKNOWN) {
        follower->load_timeout_ms =
            MIN(follower->load_timeout_ms * 2, LOAD_TIMEOUT_MAX_MS);
    }
    follower->retry_ms =
        CLAMP(follower->retry_ms * 2, RETRY_MIN_MS, RETRY_MAX_MS);
    follower->due = cw_time_add_ms(now, follower->retry_ms);
}

static void
record_success(struct cw_follower *follower, struct timespec now)
{
    if (follower->failing) {
        follower->failing = false;
        cw_log_info("dependency_regained", "what=%s away_ms=%" PRId64,
                    follower->options.name,
                    cw_time_diff_ms(follower->fresh_as_of, now));
    }
    follower->retry_ms = 0;
    follower->refused_interval_ms /= 2;
}

static void
begin_load(struct cw_follower *follower, struct timespec now)
{
    follower->loading = true;
    follower->at_end = false;
    follower->resume_offset_known = false;
    follower->load_pages = 0;
    follower->load_records = 0;
    g_clear_pointer(&follower->after, g_free);
    follower->due = now;
}

static void
deliver_records(struct cw_follower *follower, const struct cw_store_page *page)
{
    const struct cw_follower_handler *handler = &follower->options.handler;

    for (size_t i = 0; i < page->count; i++) {
        if (page->records[i].key[0] != '\0') {
            handler->record(handler->context, &page->records[i]);
        }
        else {
            cw_log_warning("record_without_key",
                           "what=%s offset=%" G_GUINT64_FORMAT,
                           follower->options.name, page->records[i].offset);
        }
    }
}

/* The last key of a page of newest records, after which the next page starts;
 * NULL if there is none. */
static const char *
last_key_of(const struct cw_store_page *page)
{
    for (size_t i = page->count; i > 0; i--) {
        if (page->records[i - 1].key[0] != '\0') {
            return page->records[i - 1].key;
        }
    }
    return NULL;
}

static void
end_load(struct cw_follower *follower)
{
    const struct cw_follower_handler *handler = &follower->options.handler;

    follower->loading = false;
    follower->loaded = true;
    follower->position = follower->resume_offset;
    /* Pages are not a snapshot: a record that was appended after the first
     * page was read may be missing. */
    follower->fresh_as_of = follower->load_sent_at;
    cw_log_info("loaded",
                "what=%s pages=%u records=%u position=%" G_GUINT64_FORMAT
                " took_ms=%" PRId64,
                follower->options.name, follower->load_pages,
                follower->load_records, follower->position,
                cw_time_diff_ms(follower->load_sent_at,
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
    const char *last_key;

    follower->in_flight = false;
    if (follower->freed) {
        release(follower);
        return;
    }
    if (page->status != CW_STORE_OK) {
        record_failure(follower, page->status, now);
        return;
    }
    record_success(follower, now);
    if (!follower->resume_offset_known) {
        follower->resume_offset_known = true;
        follower->resume_offset = page->end;
        follower->load_sent_at = follower->sent_at;
        if (follower->options.handler.reset != NULL) {
            follower->options.handler.reset(follower->options.handler.context);
        }
    }
    follower->load_pages++;
    follower->load_records += (unsigned)page->count;
    deliver_records(follower, page);
    follower->due = now;
    last_key = last_key_of(page);
    if (page->more && last_key != NULL) {
        g_free(follower->after);
        follower->after = g_strdup(last_key);
        return;
    }
    end_load(follower);
}

/* Goes on at the oldest record that the store retains. */
static void
skip_expired(struct cw_follower *follower, const struct cw_store_page *page,
             struct timespec now)
{
    const struct cw_follower_handler *handler = &follower->options.handler;

    if (page->first <= follower->position) {
        record_failure(follower, page->status, now);
        return;
    }
    follower->position = page->first;
    follower->due = now;
    if (handler->reset != NULL) {
        handler->reset(handler->context);
    }
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
        if (follower->options.history_only) {
            skip_expired(follower, page, now);
        }
        else {
            begin_load(follower, now);
        }
        return;
    }
    if (page->status != CW_STORE_OK) {
        record_failure(follower, page->status, now);
        return;
    }
    record_success(follower, now);
    deliver_records(follower, page);
    if (page->count > 0) {
        follower->position = page->records[page->count - 1].offset + 1;
    }
    /* The size of an answer is limited, most of all through another VM: more
     * records may be left to read, or the next one is larger than the limit.
     */
    behind = follower->position < page->end;
    follower->read_without_limit = behind && page->count == 0;
    follower->at_end = !behind;
    if (!behind) {
        follower->fresh_as_of = follower->sent_at;
    }
    follower->due = cw_time_add_ms(
        now, follower->read_immediately || (behind && page->count > 0)
                 ? 0
                 : MAX(follower->options.read_interval_ms,
                       follower->refused_interval_ms));
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
    /* After a failure the end of the partition is not known: a read that
     * waits for records would report the end a second later. */
    unsigned wait_ms = follower->at_end && !follower->read_immediately
                           ? follower->options.wait_ms
                           : 0;
    struct cw_store_read call = {
        .topic = follower->options.topic,
        .partition = follower->options.partition,
        .from = follower->position,
        .wait_ms = wait_ms,
        .most_kb = follower->read_without_limit ? 0 : READ_MAX_KB,
        .timeout_ms = wait_ms + CALL_TIMEOUT_MS,
        .done = on_read,
        .context = follower,
    };

    follower->read_immediately = false;
    follower->long_poll = wait_ms > 0;
    follower->options.store->ops->read(follower->options.store, &call);
}

void
cw_follower_tick(struct cw_follower *follower, struct timespec now)
{
    if (follower->in_flight || cw_time_before(now, follower->due)) {
        return;
    }
    follower->in_flight = true;
    follower->sent_at = now;
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
    return follower->fresh_as_of;
}

bool
cw_follower_at_end(const struct cw_follower *follower)
{
    return follower->at_end;
}

bool
cw_follower_is_current(const struct cw_follower *follower)
{
    return follower->at_end && follower->in_flight && follower->long_poll;
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
    follower->read_immediately = true;
    follower->due = cw_time_from_ms(0);
}

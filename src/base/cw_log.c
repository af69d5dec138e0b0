/* Structured log lines on standard output, through GLib's writer.
 *
 * Lines are buffered in a ring in memory until standard output accepts them.
 * If the ring is full, or if the rate of an event exceeds its limit, lines are
 * dropped and counted, and the event log_dropped reports how many. */
#include "curlewcart/cw_log.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
    LINE_BYTES_MAX = 2048,
    /* A few thousand lines: several seconds of output of a busy VM. */
    RING_BYTES = 512 * 1024,
    /* Limits on the lines of one event, per second and in a burst.  The most
     * frequent event of a busy day occurs about fifty times a second. */
    EVENT_RATE_PER_S = 400,
    EVENT_BURST = 2000,
    EVENT_BUDGETS = 64
};

/* Token bucket that limits the rate of an event. */
struct event_budget {
    double tokens;
    struct timespec updated_at;
    bool used;
};

static GLogLevelFlags min_level = G_LOG_LEVEL_INFO;
static char vm_name[80];
static bool is_set_up;
static struct cw_clock *log_clock; /* NULL: the system's clock */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char ring[RING_BYTES];
static size_t ring_start;
static size_t ring_used;
static uint64_t dropped_lines; /* since the last log_dropped line */
static struct event_budget budgets[EVENT_BUDGETS];

static const char *
level_name(GLogLevelFlags level)
{
    switch (level & G_LOG_LEVEL_MASK) {
    case G_LOG_LEVEL_ERROR:
    case G_LOG_LEVEL_CRITICAL:
        return "error";
    case G_LOG_LEVEL_WARNING:
        return "warning";
    case G_LOG_LEVEL_DEBUG:
        return "debug";
    default:
        return "info";
    }
}

/* ---- the ring; called with the lock held ---- */

static bool
ring_append(const char *text, size_t length)
{
    size_t end = (ring_start + ring_used) % RING_BYTES;
    size_t first = MIN(length, RING_BYTES - end);

    if (length > RING_BYTES - ring_used) {
        return false;
    }
    memcpy(ring + end, text, first);
    memcpy(ring, text + first, length - first);
    ring_used += length;
    return true;
}

/* Writes as much of the ring as standard output accepts now. */
static void
ring_flush(void)
{
    while (ring_used > 0) {
        size_t part = MIN(ring_used, RING_BYTES - ring_start);
        ssize_t written = write(STDOUT_FILENO, ring + ring_start, part);

        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return; /* retried with the next line */
        }
        ring_start = (ring_start + (size_t)written) % RING_BYTES;
        ring_used -= (size_t)written;
    }
}

/* Takes a token of the event's budget; false if there is none.  Events whose
 * names have the same hash share a budget. */
static bool
take_token(const char *event, struct timespec now)
{
    struct event_budget *budget = &budgets[g_str_hash(event) % EVENT_BUDGETS];
    int64_t elapsed_ms = cw_time_diff_ms(budget->updated_at, now);

    if (!budget->used) {
        budget->used = true;
        budget->tokens = EVENT_BURST;
    }
    else if (elapsed_ms > 0) {
        budget->tokens += (double)elapsed_ms * EVENT_RATE_PER_S / CW_MS_PER_S;
        budget->tokens = MIN(budget->tokens, EVENT_BURST);
    }
    budget->updated_at = now;
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}

static size_t
format_line(char *line, GLogLevelFlags level, struct timespec now,
            const char *message)
{
    struct tm utc;
    char timestamp[32];
    int length;

    gmtime_r(&now.tv_sec, &utc);
    strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &utc);
    length = snprintf(
        line, LINE_BYTES_MAX + 1, "ts=%s.%03ldZ level=%s vm=%s %s", timestamp,
        now.tv_nsec / CW_NS_PER_MS, level_name(level), vm_name, message);
    length = MIN(length, LINE_BYTES_MAX);
    /* External text must not be able to start a new line. */
    for (int i = 0; i < length; i++) {
        if ((unsigned char)line[i] < ' ' || line[i] == 0x7f) {
            line[i] = '?';
        }
    }
    line[length] = '\n';
    return (size_t)length + 1;
}

static void
append_line(GLogLevelFlags level, struct timespec now, const char *message)
{
    char line[LINE_BYTES_MAX + 2];
    size_t length;

    if (dropped_lines > 0) {
        char summary[64];

        snprintf(summary, sizeof(summary),
                 "event=log_dropped lines=%" G_GUINT64_FORMAT, dropped_lines);
        length = format_line(line, G_LOG_LEVEL_WARNING, now, summary);
        if (ring_append(line, length)) {
            dropped_lines = 0;
        }
    }
    length = format_line(line, level, now, message);
    if (!ring_append(line, length)) {
        dropped_lines++;
    }
}

static struct timespec
line_time(void)
{
    struct timespec now;

    if (log_clock != NULL) {
        return cw_time_from_ms(cw_clock_wall_ms(log_clock));
    }
    clock_gettime(CLOCK_REALTIME, &now);
    return now;
}

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize n,
           gpointer data)
{
    const char *message = "";
    struct timespec now = line_time();
    char event[48] = "";

    (void)data;
    for (gsize i = 0; i < n; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            message = fields[i].value;
        }
    }
    (void)sscanf(message, "event=%47[a-z_]", event);
    pthread_mutex_lock(&lock);
    if (take_token(event, now)) {
        append_line(level, now, message);
    }
    else {
        dropped_lines++;
    }
    ring_flush();
    pthread_mutex_unlock(&lock);
    return G_LOG_WRITER_HANDLED;
}

/* ---- public ---- */

void
cw_log_set_level(const char *level)
{
    if (strcmp(level, "error") == 0) {
        min_level = G_LOG_LEVEL_CRITICAL;
    }
    else if (strcmp(level, "warning") == 0) {
        min_level = G_LOG_LEVEL_WARNING;
    }
    else if (strcmp(level, "debug") == 0) {
        min_level = G_LOG_LEVEL_DEBUG;
    }
    else {
        min_level = G_LOG_LEVEL_INFO;
    }
}

void
cw_log_set_clock(struct cw_clock *clock)
{
    log_clock = clock;
}

void
cw_log_set_nonblocking(void)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);

    if (flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) != 0) {
        cw_log_warning("log_may_block", "reason=%s", g_strerror(errno));
    }
}

void
cw_log_flush(void)
{
    pthread_mutex_lock(&lock);
    ring_flush();
    pthread_mutex_unlock(&lock);
}

uint64_t
cw_log_buffered_bytes(void)
{
    uint64_t used;

    pthread_mutex_lock(&lock);
    used = ring_used;
    pthread_mutex_unlock(&lock);
    return used;
}

void
cw_log_setup(const char *level, const char *vm)
{
    cw_log_set_level(level);
    g_strlcpy(vm_name, vm, sizeof(vm_name));
    if (!is_set_up) { /* GLib allows the writer to be set only once */
        is_set_up = true;
        g_log_set_writer_func(write_line, NULL, NULL);
    }
}

bool
cw_log_is_enabled(GLogLevelFlags level)
{
    return level <= min_level;
}

void
cw_log(GLogLevelFlags level, const char *event, const char *format, ...)
{
    char line[LINE_BYTES_MAX];
    int used;
    va_list arguments;

    if (!cw_log_is_enabled(level)) {
        return;
    }
    used = snprintf(line, sizeof(line), "event=%s ", event);
    va_start(arguments, format);
    vsnprintf(line + used, sizeof(line) - (size_t)used, format, arguments);
    va_end(arguments);
    g_log_structured(G_LOG_DOMAIN, level, "MESSAGE", "%s", line);
}

/* Structured lines on standard output, through GLib's writer.
 *
 * Lines go through a ring in memory.  What the reader of standard output does
 * not take at once stays there; when the ring is full, or one kind of event
 * comes too often, lines are dropped and counted, and the log says so. */
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
    /* A few thousand lines: some seconds of a busy VM. */
    RING_BYTES = 512 * 1024,
    /* Lines of one kind a second, and in a burst; the busiest kind of a busy
     * day comes about fifty times a second. */
    KIND_RATE_PER_S = 400,
    KIND_BURST = 2000,
    KINDS = 64
};

/* What is left of a kind's budget. */
struct kind_budget {
    double tokens;
    struct timespec at;
    bool used;
};

static GLogLevelFlags least_level = G_LOG_LEVEL_INFO;
static char vm_name[80];
static bool is_set_up;
static struct cw_clock *log_clock; /* NULL: the system's */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char ring[RING_BYTES];
static size_t ring_start;
static size_t ring_used;
static uint64_t dropped; /* since the last line that says so */
static struct kind_budget budgets[KINDS];

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

/* ---- the ring; all under the lock ---- */

static bool
ring_put(const char *text, size_t length)
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

/* Writes what standard output takes now. */
static void
ring_write(void)
{
    while (ring_used > 0) {
        size_t part = MIN(ring_used, RING_BYTES - ring_start);
        ssize_t written = write(STDOUT_FILENO, ring + ring_start, part);

        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return; /* tried again with the next line */
        }
        ring_start = (ring_start + (size_t)written) % RING_BYTES;
        ring_used -= (size_t)written;
    }
}

/* Takes one line of the kind's budget; false if there is none. */
static bool
take_budget(const char *event, struct timespec now)
{
    struct kind_budget *budget = &budgets[g_str_hash(event) % KINDS];
    int64_t passed_ms = cw_time_diff_ms(budget->at, now);

    if (!budget->used) {
        budget->used = true;
        budget->tokens = KIND_BURST;
    }
    else if (passed_ms > 0) {
        budget->tokens += (double)passed_ms * KIND_RATE_PER_S / CW_MS_PER_S;
        budget->tokens = MIN(budget->tokens, KIND_BURST);
    }
    budget->at = now;
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
    char stamp[32];
    int length;

    gmtime_r(&now.tv_sec, &utc);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
    length = snprintf(
        line, LINE_BYTES_MAX + 1, "ts=%s.%03ldZ level=%s vm=%s %s", stamp,
        now.tv_nsec / CW_NS_PER_MS, level_name(level), vm_name, message);
    length = MIN(length, LINE_BYTES_MAX);
    /* Text from outside must not make a line of its own. */
    for (int i = 0; i < length; i++) {
        if ((unsigned char)line[i] < ' ' || line[i] == 0x7f) {
            line[i] = '?';
        }
    }
    line[length] = '\n';
    return (size_t)length + 1;
}

static void
put_line(GLogLevelFlags level, struct timespec now, const char *message)
{
    char line[LINE_BYTES_MAX + 2];
    size_t length;

    if (dropped > 0) {
        char note[64];

        snprintf(note, sizeof(note),
                 "event=log_dropped lines=%" G_GUINT64_FORMAT, dropped);
        length = format_line(line, G_LOG_LEVEL_WARNING, now, note);
        if (ring_put(line, length)) {
            dropped = 0;
        }
    }
    length = format_line(line, level, now, message);
    if (!ring_put(line, length)) {
        dropped++;
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
    if (take_budget(event, now)) {
        put_line(level, now, message);
    }
    else {
        dropped++;
    }
    ring_write();
    pthread_mutex_unlock(&lock);
    return G_LOG_WRITER_HANDLED;
}

/* ---- public ---- */

void
cw_log_set_level(const char *level)
{
    if (strcmp(level, "error") == 0) {
        least_level = G_LOG_LEVEL_CRITICAL;
    }
    else if (strcmp(level, "warning") == 0) {
        least_level = G_LOG_LEVEL_WARNING;
    }
    else if (strcmp(level, "debug") == 0) {
        least_level = G_LOG_LEVEL_DEBUG;
    }
    else {
        least_level = G_LOG_LEVEL_INFO;
    }
}

void
cw_log_set_clock(struct cw_clock *clock)
{
    log_clock = clock;
}

void
cw_log_never_wait(void)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);

    if (flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) != 0) {
        cw_log_warning("log_may_wait", "reason=%s", g_strerror(errno));
    }
}

void
cw_log_flush(void)
{
    pthread_mutex_lock(&lock);
    ring_write();
    pthread_mutex_unlock(&lock);
}

uint64_t
cw_log_held_bytes(void)
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
    if (!is_set_up) { /* GLib takes it once only */
        is_set_up = true;
        g_log_set_writer_func(write_line, NULL, NULL);
    }
}

bool
cw_log_wants(GLogLevelFlags level)
{
    return level <= least_level;
}

void
cw_log(GLogLevelFlags level, const char *event, const char *format, ...)
{
    char line[LINE_BYTES_MAX];
    int used;
    va_list arguments;

    if (!cw_log_wants(level)) {
        return;
    }
    used = snprintf(line, sizeof(line), "event=%s ", event);
    va_start(arguments, format);
    vsnprintf(line + used, sizeof(line) - (size_t)used, format, arguments);
    va_end(arguments);
    g_log_structured(G_LOG_DOMAIN, level, "MESSAGE", "%s", line);
}

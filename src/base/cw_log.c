/* Structured lines on standard output, through GLib's writer. */
#include "curlewcart/cw_log.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

static GLogLevelFlags least_level = G_LOG_LEVEL_INFO;
static char vm_name[80];
static bool is_set_up;
static struct cw_clock *log_clock; /* NULL: the system's */

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

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize n,
           gpointer data)
{
    const char *message = "";
    struct timespec now;
    struct tm utc;
    char stamp[32];

    (void)data;
    for (gsize i = 0; i < n; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            message = fields[i].value;
        }
    }
    if (log_clock != NULL) {
        now = cw_time_from_ms(cw_clock_wall_ms(log_clock));
    }
    else {
        clock_gettime(CLOCK_REALTIME, &now);
    }
    gmtime_r(&now.tv_sec, &utc);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
    fprintf(stdout, "ts=%s.%03ldZ level=%s vm=%s %s\n", stamp,
            now.tv_nsec / 1000000, level_name(level), vm_name, message);
    fflush(stdout);
    return G_LOG_WRITER_HANDLED;
}

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
cw_log_flush(void)
{
    fflush(stdout);
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
    char line[2048];
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

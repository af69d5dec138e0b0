/* Captures the log lines that a test causes. */
#ifndef CURLEWCART_TESTS_LOG_CAPTURE_H
#define CURLEWCART_TESTS_LOG_CAPTURE_H

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "curlewcart/cw_log.h"

/* Value of a field that a line does not have. */
enum { NO_FIELD = -999999 };

struct log_capture {
    FILE *file;
    int saved_stdout;
};

/* Redirects standard output into a file, and logs from `info` on. */
static inline void
log_capture_begin(struct log_capture *capture)
{
    fflush(stdout);
    cw_log_flush();
    capture->file = tmpfile();
    CU_ASSERT_PTR_NOT_NULL_FATAL(capture->file);
    capture->saved_stdout = dup(STDOUT_FILENO);
    dup2(fileno(capture->file), STDOUT_FILENO);
    cw_log_set_level("info");
}

/* Ends the capture; returns the lines.  Owned by the caller. */
static inline char *
log_capture_end(struct log_capture *capture)
{
    GString *out = g_string_new(NULL);
    char buffer[4096];
    size_t length;

    cw_log_flush();
    cw_log_set_level("error");
    dup2(capture->saved_stdout, STDOUT_FILENO);
    close(capture->saved_stdout);
    rewind(capture->file);
    while ((length = fread(buffer, 1, sizeof(buffer), capture->file)) > 0) {
        g_string_append_len(out, buffer, (gssize)length);
    }
    fclose(capture->file);
    return g_string_free(out, FALSE);
}

/* Returns how many lines an event has. */
static inline unsigned
count_lines(const char *lines, const char *event)
{
    char *name = g_strdup_printf(" event=%s ", event);
    unsigned count = 0;

    for (const char *at = lines; (at = strstr(at, name)) != NULL; at++) {
        count++;
    }
    g_free(name);
    return count;
}

/* Returns the last line of an event, "" if there is none.  Owned by the
 * caller. */
static inline char *
last_line(const char *lines, const char *event)
{
    char *name = g_strdup_printf(" event=%s ", event);
    const char *found = g_strrstr(lines, name);
    const char *end = found != NULL ? strchr(found, '\n') : NULL;

    g_free(name);
    return end != NULL ? g_strndup(found, (gsize)(end - found)) : g_strdup("");
}

/* True if the line has the field with this value. */
static inline bool
has_field(const char *line, const char *field, const char *value)
{
    char *text = g_strdup_printf(" %s=%s ", field, value);
    char *padded = g_strdup_printf("%s ", line);
    bool found = strstr(padded, text) != NULL;

    g_free(padded);
    g_free(text);
    return found;
}

static inline int64_t
field_number(const char *line, const char *field)
{
    char *name = g_strdup_printf(" %s=", field);
    const char *at = strstr(line, name);
    int64_t value =
        at != NULL ? g_ascii_strtoll(at + strlen(name), NULL, 10) : NO_FIELD;

    g_free(name);
    return value;
}

#endif

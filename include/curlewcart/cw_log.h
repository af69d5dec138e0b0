/* Logging: one line of key=value pairs for each event, through GLib. */
#ifndef CURLEWCART_CW_LOG_H
#define CURLEWCART_CW_LOG_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_time.h"

/* Sets the minimum level ("error", "warning", "info", "debug") and the VM's
 * name, which is part of each line.  Call before threads start. */
void cw_log_setup(const char *level, const char *vm);

/* Changes the minimum level.  Safe from any thread. */
void cw_log_set_level(const char *level);

/* Sets the clock for the timestamps of lines, for emulated runs; NULL: the
 * system's clock. */
void cw_log_set_clock(struct cw_clock *clock);

/* Makes standard output non-blocking: if its reader stops reading, lines are
 * dropped and counted, and no thread waits.  For daemons only, because the
 * mode applies to every process that shares the open file. */
void cw_log_set_nonblocking(void);

/* Writes buffered lines as far as standard output accepts them. */
void cw_log_flush(void);

/* Number of bytes that are buffered and not written yet. */
uint64_t cw_log_buffered_bytes(void);

/* True if lines of `level` are written.  Lets callers skip the preparation of
 * lines that are not. */
bool cw_log_is_enabled(GLogLevelFlags level);

/* Logs an event: `event` is its name, `format` gives further key=value pairs
 * ("" for none).  The caller must quote values that contain spaces. */
void cw_log(GLogLevelFlags level, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#define cw_log_error(...) cw_log(G_LOG_LEVEL_CRITICAL, __VA_ARGS__)
#define cw_log_warning(...) cw_log(G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define cw_log_info(...) cw_log(G_LOG_LEVEL_INFO, __VA_ARGS__)
#define cw_log_debug(...) cw_log(G_LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif

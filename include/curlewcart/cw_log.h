/* Logs: one line of key=value pairs for each event, through GLib. */
#ifndef CURLEWCART_CW_LOG_H
#define CURLEWCART_CW_LOG_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_time.h"

/* Sets the least level ("error", "warning", "info", "debug") and the VM's
 * name that stands in each line.  Call once, before threads start. */
void cw_log_setup(const char *level, const char *vm);

/* Changes the least level; safe from any thread. */
void cw_log_set_level(const char *level);

/* Clock of the lines' time; NULL: the system's.  For emulated runs. */
void cw_log_set_clock(struct cw_clock *clock);

/* Makes standard output never block: a reader that stops reading costs
 * lines, which are counted, and no time.  For daemons; the descriptor's mode
 * is shared with whoever else has it. */
void cw_log_never_wait(void);

/* Writes out what is held back, as far as it is taken. */
void cw_log_flush(void);

/* Bytes held back. */
uint64_t cw_log_held_bytes(void);

/* True if lines of `level` are written; spares the caller the work. */
bool cw_log_wants(GLogLevelFlags level);

/* Writes an event: `event` is its name, `format` gives further key=value
 * pairs ("" for none).  Values with spaces must be quoted by the caller. */
void cw_log(GLogLevelFlags level, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

#define cw_log_error(...) cw_log(G_LOG_LEVEL_CRITICAL, __VA_ARGS__)
#define cw_log_warning(...) cw_log(G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define cw_log_info(...) cw_log(G_LOG_LEVEL_INFO, __VA_ARGS__)
#define cw_log_debug(...) cw_log(G_LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif

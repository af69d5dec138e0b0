/* Analysis of the daemons' log lines: explains a request's outcome, and lists
 * the changes of the whole system. */
#ifndef CURLEWCART_CW_STORY_H
#define CURLEWCART_CW_STORY_H

#include <stdbool.h>
#include <stddef.h>
#include <glib.h>

struct cw_log_analysis;

/* Creates an analysis without lines.  Release with cw_log_analysis_free. */
struct cw_log_analysis *cw_log_analysis_create(void);

/* Frees an analysis and its lines. */
void cw_log_analysis_free(struct cw_log_analysis *analysis);

/* Adds a line.  Text before its "ts=" is ignored, and so are lines without
 * "ts=" or an event.  Lines may be added in any order and may come from any
 * number of daemons. */
void
cw_log_analysis_add_line(struct cw_log_analysis *analysis, const char *line);

/* Number of lines that were added and not ignored. */
size_t cw_log_analysis_line_count(const struct cw_log_analysis *analysis);

/* Appends to `out` the lines of the request `id` in order of time, with events
 * of the whole system that happened meanwhile, and at the end a line
 * "cause: ..." or "still open: ..." that explains its outcome or delay.
 * Returns the number of lines of the request; 0 if it is not in these logs. */
size_t cw_log_analysis_explain(struct cw_log_analysis *analysis,
                               const char *id, GString *out);

/* Appends to `out` the changes of owners, dependencies, workers and the
 * configuration of the whole system, one line each, and between them the
 * number of jobs refused. */
void cw_log_analysis_timeline(struct cw_log_analysis *analysis, GString *out);

#endif

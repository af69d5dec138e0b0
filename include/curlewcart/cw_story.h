/* A request's story, and a system's, from the daemons' log lines alone. */
#ifndef CURLEWCART_CW_STORY_H
#define CURLEWCART_CW_STORY_H

#include <stdbool.h>
#include <stddef.h>
#include <glib.h>

struct cw_story;

struct cw_story *cw_story_create(void);
void cw_story_free(struct cw_story *story);

/* Adds a line; text before its "ts=" is ignored, and so are lines without
 * one.  The lines may come in any order, of any number of daemons. */
void cw_story_add(struct cw_story *story, const char *line);

/* Number of lines taken. */
size_t cw_story_lines(const struct cw_story *story);

/* Appends the lines that concern the request `id` in the order of time, with
 * the changes of owner and of dependencies meanwhile, and last a line
 * "cause: ..." that names what decided its fate.  Returns how many lines
 * named the request; 0: it is not in these logs. */
size_t cw_story_explain(struct cw_story *story, const char *id, GString *out);

/* Appends changes of owner, dependencies, workers and configuration of the
 * whole system, one line each, with counts of what was refused between. */
void cw_story_timeline(struct cw_story *story, GString *out);

#endif

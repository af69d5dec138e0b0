/* Orphans of a worker: runs that it executes and that are no task's current
 * run there. */
#ifndef CURLEWCART_OWNER_ORPHANS_H
#define CURLEWCART_OWNER_ORPHANS_H

#include <stdbool.h>
#include <time.h>
#include <glib.h>

#include "curlewcart/cw_target.h"

struct owner_step;
struct owner_target;

/* Creates an empty array for a worker's orphans. */
GArray *owner_orphans_new(void);

/* Removes the worker's orphans when it has answered a poll, and so lists them
 * anew; but not those that were presumed after the poll was sent. */
void owner_orphans_reset(struct owner_target *target, struct timespec sent);

/* Adds a run as an orphan that the worker has stopped and may have begun
 * before. */
void
owner_orphan_presume(struct owner_target *target,
                     const struct cw_task_name *task, struct timespec now);

/* True if there are orphans that the worker has not listed. */
bool owner_orphans_presumed(const struct owner_target *target);

/* Adds an orphan that the worker has listed. */
void
owner_orphan_add(struct owner_target *target, const struct cw_task_name *task);

/* Returns the number of the step's orphans on the worker. */
unsigned owner_orphans_of_step(const struct owner_target *target,
                               const struct owner_step *step);

/* True if the worker has orphans. */
bool owner_target_has_orphans(const struct owner_target *target);

#endif

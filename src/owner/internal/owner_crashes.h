/* Tasks that crash the workers that start them. */
#ifndef CURLEWCART_OWNER_CRASHES_H
#define CURLEWCART_OWNER_CRASHES_H

#include "owner/internal/owner_private.h"

/* Notes what the run is charged with, should its worker have crashed; call it
 * for all that went with the worker before the first is dropped. */
void owner_crashes_collect(const struct owner_run *run, struct timespec now);

/* The worker has crashed, and its next life began then (its time of day; 0:
 * unknown): what was noted counts, and may end jobs. */
void owner_crashes_confirmed(struct cw_owner *owner,
                             struct owner_target *target, int64_t boot_ms);

/* Its runs are dropped.  If it has crashed, what was noted counts, and may
 * end jobs; if that is open, it is kept. */
void owner_crashes_resolve(struct cw_owner *owner, struct owner_target *target,
                           struct timespec now);

/* A worker that was given up answers, in a life that began then (0: unknown):
 * the same one had only been silent, and what counted is taken back; another
 * one proves the crash. */
void owner_crashes_answered(struct cw_owner *owner,
                            struct owner_target *target, int64_t boot_ms);

/* A worker has come onto the list, or gone from it: of two lives at an
 * address the one that is not listed is over. */
void owner_crashes_listed(struct cw_owner *owner, struct owner_target *target);
void
owner_crashes_unlisted(struct cw_owner *owner, struct owner_target *target);

/* Takes what a worker has listed of a run into account. */
void owner_crashes_observe(struct owner_run *run, struct timespec now);

/* An empty array for a worker's charges. */
GArray *owner_pending_suspicions_new(void);

/* Sets how much crashes speak against the task. */
void owner_task_set_suspicion(struct owner_task *task, unsigned suspicion);

/* True if one that crashes speak against waits for word of its last worker. */
bool owner_step_is_delayed(const struct owner_step *step, struct timespec now);

/* How much a suspect would have beside it on the worker: what has shown no
 * progress yet would make the cause of a crash unclear. */
unsigned owner_target_neighbour_weight(const struct owner_target *target);

/* While a suspect's run shows no progress nothing else is placed beside it:
 * what is there would go with the worker. */
void owner_probation_begin(struct owner_run *run);
void owner_probation_end(struct owner_run *run);

#endif

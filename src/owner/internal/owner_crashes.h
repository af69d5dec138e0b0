/* Detects tasks that crash the workers that start them. */
#ifndef CURLEWCART_OWNER_CRASHES_H
#define CURLEWCART_OWNER_CRASHES_H

#include "owner/internal/owner_private.h"

/* Records the suspicion that counts against the run's task if the worker has
 * crashed; to be called for all runs that are lost with the worker, before the
 * first is dropped. */
void owner_crashes_collect(const struct owner_run *run, struct timespec now);

/* Settles the pending suspicions of a worker whose incarnation is over: counts
 * them if it has crashed, which may end jobs; drops them if it has shut down.
 * They stay pending until the reports that tell it are read; if the store does
 * not retain these, part of them counts in advance until it expires.  The next
 * incarnation has this boot time (by its wall clock; 0: unknown). */
void owner_crashes_over(struct cw_owner *owner, struct owner_target *target,
                        int64_t boot_ms);

/* Settles the suspicions that have waited for reports of their workers. */
void owner_crashes_settle_all(struct cw_owner *owner);

/* To be called when the worker's runs were dropped.  Settles the pending
 * suspicions if it is certain that the worker is over; else leaves them
 * pending. */
void owner_crashes_resolve(struct cw_owner *owner, struct owner_target *target,
                           struct timespec now);

/* To be called when a worker that was given up answers, as the incarnation
 * with this boot time (0: unknown).  Another incarnation than a run was sent
 * to shows that this one is over; the same one refutes a crash, and the
 * suspicion that was added is revoked. */
void owner_crashes_answered(struct cw_owner *owner,
                            struct owner_target *target, int64_t boot_ms);

/* Processes a worker's report of the run as running: may end the run's
 * probation and its task's suspicion. */
void owner_crashes_observe(struct owner_run *run, struct timespec now);

/* Creates an empty array for a worker's pending suspicions. */
GPtrArray *owner_pending_suspicions_new(void);

/* Adds the pending suspicions about the job's tasks to its stored state.  The
 * caller frees the array; its texts are borrowed. */
void owner_crashes_encode(const struct owner_job *job,
                          struct cw_work_extension *out);

/* Restores a pending suspicion that an earlier owner has stored, after the
 * suspicion of the job's tasks.  Its worker is polled. */
void owner_crashes_restore(struct cw_owner *owner, struct owner_job *job,
                           const struct cw_unresolved_record *record);

/* True if all pending suspicions of the worker are about the incarnation with
 * this boot time. */
bool
owner_crashes_pending_at(const struct owner_target *target, int64_t boot_ms);

/* Drops pending suspicions that nobody has resolved for long, and revokes what
 * was added in advance. */
void owner_crashes_expire(struct cw_owner *owner);

/* Sets the task's suspicion and updates the count of suspects. */
void owner_task_set_suspicion(struct owner_task *task, unsigned suspicion);

/* Sets the suspicion that an earlier owner has stored.  A task at the limit is
 * delayed: what the earlier owner waited for is not known any more. */
void owner_task_restore_suspicion(struct owner_task *task, unsigned suspicion,
                                  struct timespec now);

/* Logs that the task ends its job, with what counts towards either limit: of
 * failed attempts, or of suspicion.  `limit` names the one reached. */
void owner_task_log_given_up(const struct owner_task *task, const char *limit);

/* True if the task is a suspect and is delayed until its last worker has
 * answered, or for a limited time. */
bool owner_task_is_delayed(const struct owner_task *task, struct timespec now);

/* Waiting tasks of the step that are delayed, and those that are not. */
unsigned
owner_step_delayed_tasks(const struct owner_step *step, struct timespec now);
unsigned
owner_step_placeable_tasks(const struct owner_step *step, struct timespec now);

/* True if nothing of the step may be placed, as all its waiting tasks are
 * delayed; for a gang, one is enough. */
bool owner_step_is_delayed(const struct owner_step *step, struct timespec now);

/* Weight of the worker's runs as neighbours of a suspect: runs without
 * progress weigh more, as they would leave the cause of a crash unclear. */
unsigned owner_target_neighbour_weight(const struct owner_target *target);

/* Begins and ends the probation of a run.  While a run of a suspect task shows
 * no progress nothing else is placed on its worker, as that would be lost if
 * the worker crashed. */
void owner_probation_begin(struct owner_run *run);
void owner_probation_end(struct owner_run *run);

#endif

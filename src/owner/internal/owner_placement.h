/* Placement: assigns waiting tasks to workers and preempts runs for them. */
#ifndef CURLEWCART_OWNER_PLACEMENT_H
#define CURLEWCART_OWNER_PLACEMENT_H

#include "owner/internal/owner_private.h"

/* ---- owner_place.c ---- */

/* Runs a placement pass over all steps that have tasks to place. */
void owner_placement_pass(struct cw_owner *owner, struct timespec now);

/* ---- owner_starvation.c ---- */

/* Places tasks of those of the steps whose jobs have been idle for too long,
 * also in reserved capacity.  Takes the steps in the order given, and a
 * limited number in each call. */
void owner_place_starved_steps(struct cw_owner *owner, const GPtrArray *steps,
                               struct timespec now);

/* Does the same for one step; true if it was placed. */
bool owner_place_starved_step(struct cw_owner *owner, struct owner_step *step,
                              struct timespec now);

/* Returns how many tasks of the starved step have to fit, so that one task, or
 * its gang, is placed. */
unsigned
owner_starved_min_fits(const struct owner_step *step, struct timespec now);

/* ---- owner_moves.c ---- */

/* Stops a gang that was spread over racks if one rack has come free for it and
 * it ends sooner there.  Call this after the waiting steps were placed. */
void owner_gather_gangs(struct cw_owner *owner, struct timespec now);

/* ---- owner_headroom_reclaim.c ---- */

/* Stops runs that borrow headroom, as far as urgent work will soon need the
 * capacity. */
void owner_headroom_reclaim(struct cw_owner *owner, struct timespec now);

/* ---- owner_place.c ---- */

/* True if the step is unblocked and tasks of it wait to be placed. */
bool
owner_step_needs_placement(const struct owner_step *step, struct timespec now);

/* True if the step is not done and the steps that it depends on are. */
bool owner_step_is_unblocked(const struct owner_step *step);

/* True if the step's gang waits for a rack: it does not run across racks, or
 * it is slower there, and the total capacity of some rack is enough for it.
 * The latter waits only until its job has been idle for too long. */
bool owner_step_needs_rack(const struct cw_owner *owner,
                           struct owner_step *step, struct timespec now);

/* Returns how many tasks that require `need` fit into `available`. */
unsigned owner_fit_count(const struct cw_resources *available,
                         const struct cw_resources *need);

/* Updates the number of workers with lower-priority runs in the worker's rack:
 * `change` is 1 when the worker gets its first such run, -1 when it loses its
 * last one. */
void owner_rack_count_lower_priority(struct owner_target *target, int change);

/* Returns a worker's free resources for new runs. */
struct cw_resources owner_free_resources(const struct owner_target *target);

/* True if the step's service, data residency and label and the cordons allow
 * the worker. */
bool owner_step_allows_target(const struct owner_step *step,
                              const struct owner_target *target);

/* Returns `fits`, limited by the number of tasks that the step allows on one
 * worker. */
unsigned
owner_limit_per_worker(const struct owner_step *step,
                       const struct owner_target *target, unsigned fits);

/* True if the worker has more runs and orphans of the step than the step
 * allows on one worker. */
bool owner_step_exceeds_limit(const struct owner_step *step,
                              const struct owner_target *target);

/* Returns how many tasks of the step can only start together. */
static inline unsigned
owner_tasks_together(const struct owner_step *step)
{
    return step->spec->gang ? step->count : 1;
}

/* A number of a step's tasks that are to be placed on a worker. */
struct owner_choice {
    struct owner_target *target;
    unsigned tasks;
};

/* Creates runs on the workers given, in order, for those of the step's tasks
 * that have none.  With the phase RUN_RESERVED they wait until other runs have
 * ended there. */
void owner_assign(struct cw_owner *owner, struct owner_step *step,
                  const GArray *choices, enum run_phase phase);

/* ---- owner_available.c: workers listed once for a placement pass ---- */

struct owner_available *owner_available_create(void);
void owner_available_free(struct owner_available *available);

/* Usable workers are listed once from the beginning to the end of a placement
 * pass. */
void owner_available_begin_pass(struct owner_available *available);
void owner_available_end_pass(struct owner_available *available);

/* Resets the list of those with free capacity, for the steps given. */
void owner_available_reset(struct owner_available *available,
                           const GPtrArray *steps);

/* Returns all usable workers, as struct owner_target.  Borrowed until the end
 * of the pass; outside of a pass, until the next call. */
const GPtrArray *
owner_usable_targets(struct cw_owner *owner, struct timespec now);

/* Returns what owner_target_usable does, without a computation in a pass that
 * has listed the usable workers. */
bool owner_target_is_usable_in_pass(const struct owner_target *target,
                                    struct timespec now);

/* Returns the workers that are usable and have at least the free resources
 * that the least demanding of the steps requires, as struct owner_target.
 * Borrowed until the next call. */
const GPtrArray *
owner_available_targets(struct cw_owner *owner, struct timespec now);

/* ---- owner_memo.c: requirements that could not be met in this pass ---- */

/* A way of finding capacity for a step. */
enum owner_attempt {
    OWNER_ATTEMPT_PLACE,        /* in free capacity that is not reserved */
    OWNER_ATTEMPT_PREEMPT,      /* by preempting other runs */
    OWNER_ATTEMPT_RESERVE_RACK, /* by reserving a rack for later */
    OWNER_ATTEMPT_STARVED       /* in all free capacity, reserved or not */
};

struct owner_memo *owner_memo_create(void);
void owner_memo_free(struct owner_memo *memo);

/* Resets the memo at the start of a placement pass. */
void owner_memo_reset(struct owner_memo *memo);

/* True if a step like this one, or one that is easier to place, has failed in
 * this attempt in this pass, and no capacity has become free since. */
bool owner_memo_has_failed(struct cw_owner *owner, struct owner_step *step,
                           enum owner_attempt attempt, struct timespec now);

/* Records that the attempt failed for the step. */
void owner_memo_add_failure(struct cw_owner *owner, struct owner_step *step,
                            enum owner_attempt attempt, struct timespec now);

/* ---- owner_headroom.c ---- */

/* Counts the resources that urgent work uses, and sets the limits on the
 * number of workers that lower-priority work may use. */
void owner_headroom_update(struct cw_owner *owner, struct timespec now);

/* True if the headroom allows the step's lower-priority work on the worker. */
bool
owner_headroom_allows(struct cw_owner *owner, const struct owner_step *step,
                      const struct owner_target *target, struct timespec now);

/* True if the step has waited so long, in a service that is mostly idle, that
 * headroom does not apply to it. */
bool
owner_headroom_exempts(struct cw_owner *owner, const struct owner_step *step,
                       struct timespec now);

/* Returns how many more workers of the service may get lower-priority runs. */
unsigned owner_headroom_workers_left(struct cw_owner *owner,
                                     const struct owner_step *step,
                                     const char *service, struct timespec now);

/* Records when a job of the service arrived. */
void
owner_headroom_job_arrived(struct cw_owner *owner, const struct owner_job *job,
                           struct timespec at);

/* True if that applies to any service; see owner_service_is_busy. */
bool
owner_any_service_is_busy(const struct cw_owner *owner, struct timespec now);

/* True if much of the service's capacity is in use and jobs have arrived
 * lately: tasks that have to run again then take capacity from others. */
bool owner_service_is_busy(const struct cw_owner *owner, const char *service,
                           struct timespec now);

/* Counts the accelerators that an accepted job requests, if it is urgent. */
void owner_headroom_job_accepted(struct cw_owner *owner,
                                 const struct owner_job *job);

/* Records that a run was placed in headroom.  Each update counts such runs
 * again. */
void
owner_headroom_borrowed(struct cw_owner *owner, const struct owner_run *run);

/* Returns how many accelerators are missing for the urgent work that will
 * arrive before other runs can be stopped; 0 or less: there are enough. */
int64_t owner_headroom_shortage(struct cw_owner *owner, const char *service);

/* Records that a run that was placed in headroom is being stopped. */
void
owner_headroom_returned(struct cw_owner *owner, const struct owner_run *run);

/* Records that a lower-priority run was placed on the worker. */
void owner_headroom_worker_taken(struct cw_owner *owner,
                                 const struct owner_target *target);

/* ---- owner_preempt.c ---- */

/* Returns how many core-seconds of work are lost if the run is stopped now. */
double owner_run_stop_cost(const struct owner_run *run, struct timespec now);

/* True if the run is neither stopping nor finished, and neither it nor another
 * member of its gang is protected from being stopped. */
bool owner_run_may_be_stopped(const struct owner_run *run);

/* Preempts other runs so that the gang or the tasks of `step` can run.
 * Returns false if no set of runs that may be preempted frees enough. */
bool owner_preempt(struct cw_owner *owner, struct owner_step *step,
                   struct timespec now);

/* Does the same on workers that are not slow, and stops only lower-priority
 * work. */
bool owner_preempt_for_speed(struct cw_owner *owner, struct owner_step *step,
                             struct timespec now);

/* Counts the accelerators that each account requests in its most urgent jobs.
 * The accounts' names are borrowed from jobs, so that this has to be called
 * again in each pass before owner_job_is_guaranteed. */
void owner_demand_update(struct cw_owner *owner);

/* True if all the most urgent jobs of the job's account that have not ended
 * are together within the account's guarantee. */
bool owner_job_is_guaranteed(const struct cw_owner *owner,
                             const struct owner_job *job);

#endif

/* Placement: which waiting work goes where, and who gives way to it. */
#ifndef CURLEWCART_OWNER_PLACEMENT_H
#define CURLEWCART_OWNER_PLACEMENT_H

#include "owner/internal/owner_private.h"

/* ---- owner_placement_pass.c ---- */

void owner_placement_pass(struct cw_owner *owner, struct timespec now);

/* ---- owner_starvation.c ---- */

/* Places some of what its job has waited for too long, of the steps given, in
 * room that is kept from others; the first come first. */
void owner_place_starved_steps(struct cw_owner *owner, const GPtrArray *steps,
                               struct timespec now);

/* The same for one step; true if it was placed. */
bool owner_place_starved_step(struct cw_owner *owner, struct owner_step *step,
                              struct timespec now);

/* ---- owner_headroom_reclaim.c ---- */

/* Makes what was let into kept room leave, as far as urgent work will soon
 * need that. */
void owner_headroom_reclaim(struct cw_owner *owner, struct timespec now);

/* ---- owner_placement_pass.c ---- */

/* True if it is the step's turn, and tasks of it wait for a place. */
bool
owner_step_needs_placement(const struct owner_step *step, struct timespec now);

/* True if the steps before this one are done, and it is not. */
bool owner_step_is_unblocked(const struct owner_step *step);

/* True if the step's gang belongs into one rack, and a rack could hold it if
 * nothing else ran there; else it may be spread. */
bool owner_step_needs_rack(const struct cw_owner *owner,
                           struct owner_step *step, struct timespec now);

/* How many tasks that take `need` fit into `room`. */
unsigned owner_fit_count(const struct cw_resources *room,
                         const struct cw_resources *need);

/* A worker's runs of lower work have gone from none to some, or to none. */
void owner_rack_count_lower_priority(struct owner_target *target, int change);

/* Room of a worker for new runs. */
struct cw_resources owner_free_resources(const struct owner_target *target);

/* True if the step's queue and labels allow the worker. */
bool owner_step_allows_target(const struct owner_step *step,
                              const struct owner_target *target);

/* `fits`, cut to what the step allows on one worker. */
unsigned
owner_limit_per_worker(const struct owner_step *step,
                       const struct owner_target *target, unsigned fits);

/* Starts `step`'s tasks without a run on the workers given, in order; with
 * RUN_RESERVED they wait for others to leave. */
struct owner_choice {
    struct owner_target *target;
    unsigned tasks;
};
void owner_assign(struct cw_owner *owner, struct owner_step *step,
                  const GArray *choices, enum run_phase phase);

/* ---- owner_available.c: workers with room, in this pass ---- */

struct owner_available *owner_available_create(void);
void owner_available_free(struct owner_available *open);

/* Another pass of placement begins, for the steps given. */
void
owner_available_reset(struct owner_available *open, const GPtrArray *steps);

/* Workers that are usable and have room for the least demanding of the steps
 * at least, as struct owner_target.  Borrowed until the next call. */
const GPtrArray *
owner_available_targets(struct cw_owner *owner, struct timespec now);

/* ---- owner_memo.c: shapes that found no place in this pass ---- */

enum owner_attempt {
    OWNER_ATTEMPT_PLACE,        /* among what is free */
    OWNER_ATTEMPT_PREEMPT,      /* by making others leave */
    OWNER_ATTEMPT_RESERVE_RACK, /* a rack that will be free, kept clear */
    OWNER_ATTEMPT_STARVED /* among what is free, whatever it is kept for */
};

struct owner_memo *owner_memo_create(void);
void owner_memo_free(struct owner_memo *memo);

/* Another pass of placement begins. */
void owner_memo_reset(struct owner_memo *memo);

/* True if a step like this one, or one that is easier to place, has found
 * no place in this pass, and none has come free since. */
bool owner_memo_has_failed(struct cw_owner *owner, struct owner_step *step,
                           enum owner_attempt attempt, struct timespec now);
void owner_memo_add_failure(struct cw_owner *owner, struct owner_step *step,
                            enum owner_attempt attempt, struct timespec now);

/* ---- owner_headroom.c ---- */

/* Counts anew what urgent work holds and how far lower work may spread. */
void owner_headroom_update(struct cw_owner *owner, struct timespec now);

/* True if lower work may be placed on the worker. */
bool
owner_headroom_allows(struct cw_owner *owner, const struct owner_step *step,
                      const struct owner_target *target, struct timespec now);

/* True if the step has waited so long on a mostly idle service that nothing
 * is kept from it. */
bool
owner_headroom_exempts(struct cw_owner *owner, const struct owner_step *step,
                       struct timespec now);

/* How many more workers of the service lower work may be put on. */
unsigned owner_headroom_workers_left(struct cw_owner *owner,
                                     const struct owner_step *step,
                                     const char *service, struct timespec now);

/* A job was taken on. */
void owner_headroom_job_accepted(struct cw_owner *owner,
                                 const struct owner_job *job);

/* A run was placed in room that is kept; counted anew with each update. */
void
owner_headroom_borrowed(struct cw_owner *owner, const struct owner_run *run);

/* Accelerators that are not free for what urgent work will ask for before
 * others can be made to leave; 0 or less: there are enough. */
int64_t owner_headroom_shortage(struct cw_owner *owner, const char *service);

/* A run that was placed in room that is kept has been told to leave. */
void
owner_headroom_returned(struct cw_owner *owner, const struct owner_run *run);

/* A run of lower work was placed on the worker. */
void owner_headroom_worker_taken(struct cw_owner *owner,
                                 const struct owner_target *target);

/* ---- owner_preempt.c ---- */

/* Core-seconds that stopping the run now throws away. */
double owner_run_stop_cost(const struct owner_run *run, struct timespec now);

/* True if neither the run nor another member of its gang must go on. */
bool owner_run_may_be_stopped(const struct owner_run *run);

/* Makes others leave so that the gang or the tasks of `step` can run.
 * Returns false if no set of them is worth it. */
bool owner_preempt(struct cw_owner *owner, struct owner_step *step,
                   struct timespec now);

/* Counts what accounts ask for with their most urgent jobs.  The names are
 * borrowed from jobs: to be counted anew before owner_job_is_guaranteed is
 * asked. */
void owner_demand_update(struct cw_owner *owner);

/* True if the job's account is within its guarantee with all its most
 * urgent jobs that have not ended. */
bool owner_job_is_guaranteed(const struct cw_owner *owner,
                             const struct owner_job *job);

#endif

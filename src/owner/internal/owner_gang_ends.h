/* Ends of gang members that prove that the run of another member is over. */
#ifndef CURLEWCART_OWNER_GANG_ENDS_H
#define CURLEWCART_OWNER_GANG_ENDS_H

#include <stdbool.h>
#include <time.h>
#include <glib.h>

#include "curlewcart/cw_target.h"

struct cw_owner;
struct owner_run;
struct owner_step;
struct owner_target;
struct owner_task;

/* Ends heard of a gang's present run; owner_gang_ends.c. */
struct owner_gang_ends {
    unsigned run;             /* number of the run */
    unsigned broken;          /* members that ended because another had */
    struct timespec heard_at; /* when the first of them was heard */
    bool stopped_before;      /* a stop had been requested before */
    unsigned over_run; /* number of the last run of which a member has ended or
                          was lost */
    unsigned heard_broken; /* members of that run that ended as broken */
};

/* Records a member's end that its worker has listed; to be called before the
 * run is dropped. */
void owner_gang_ends_heard(struct owner_run *run, enum cw_end_kind how);

/* Records that a run is lost; to be called before it is dropped. */
void owner_gang_ends_lost(struct owner_run *run);

/* True if the run, or another one of its gang on its worker, may have been the
 * first of the gang to end, as far as ends were heard; always true for other
 * runs. */
bool owner_gang_ends_may_be_first(const struct owner_run *run);

/* Processes a run that a worker lists as running, in the answer to a poll that
 * was sent at `sent`; to be called before the list is applied to the run. */
void owner_gang_ends_listed(struct owner_run *run, struct timespec sent);

/* Drops the last run of the gang if it is proved to be over and its worker
 * does not answer.  Drops no run on another worker. */
void owner_gang_ends_check(struct cw_owner *owner, struct owner_step *step);

/* Does the same for the gangs of all runs on a worker that does not answer. */
void owner_gang_ends_check_silent(struct cw_owner *owner,
                                  struct owner_target *target);

/* Records the end of a run that was dropped.  Returns true if the end counts
 * as a failure of the gang that was not counted before. */
bool
owner_gang_ends_heard_late(struct cw_owner *owner, struct owner_task *task,
                           const struct cw_ended *ended);

/* True if the gang must not be started now, as an end that was not heard may
 * have been its last attempt. */
bool owner_gang_ends_delay(const struct owner_step *step, struct timespec now);

/* Processes that the worker has listed all its ends, in the answer to a poll
 * that was sent at `sent`. */
void
owner_gang_ends_all_listed(struct owner_target *target, struct timespec sent);

/* Ends the wait for ends on the worker if its lease is over; returns when it
 * has to be called next. */
struct timespec
owner_gang_ends_tick(struct owner_target *target, struct timespec now);

/* Ends the wait for ends that an earlier owner has not heard, if the leases
 * that it granted are over. */
void
owner_gang_ends_check_inherited(struct cw_owner *owner, struct timespec now);

/* Records that the gang's run with this number is counted as failed: ends of
 * other members in it are not counted again. */
void owner_gang_ends_failure_counted(struct owner_step *step, unsigned run);

/* Adds rows, struct cw_crash_record, for the runs that were counted as failed
 * and of which the ends of other members are outstanding. */
void owner_gang_ends_encode(const struct owner_step *step, GArray *rows);

/* Restores the run whose end an earlier owner has not heard; 0: none. */
void owner_gang_ends_restore(struct cw_owner *owner, struct owner_task *task,
                             unsigned run);

#endif

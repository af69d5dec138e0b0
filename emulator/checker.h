/* Checks the service's guarantees on a simulated day.  Uses only events that
 * workers and callers observe, never the scheduler's own state. */
#ifndef CURLEWCART_EMULATOR_CHECKER_H
#define CURLEWCART_EMULATOR_CHECKER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_target.h"
#include "curlewcart/cw_work.h"
#include "emulator/worker_model.h"

struct checker;

/* Conditions under which a job that could run may have no run for 3 s only. */
enum checker_wait_clause {
    CHECKER_WAIT_CALM,   /* nothing has failed lately */
    CHECKER_WAIT_FINISH, /* the end of the day, on a mostly free service */
    /* The same, but runs of tasks that had ended as done before, which nobody
     * has heard, do not count as runs of the job. */
    CHECKER_WAIT_UNHEARD,
    CHECKER_WAIT_CLAUSES
};

/* A wait of a job under one of the clauses. */
struct checker_wait {
    int64_t since_ms; /* time since which the job could run and does not; 0: it
                         does not wait */
    unsigned started; /* number of the job's runs started before since_ms */
    bool is_counted;  /* as a long wait */
};

/* State of a job as callers observe it, and the planned behaviour of its
 * tasks. */
struct checker_job {
    char *id;
    struct cw_work_spec *spec; /* owned */
    unsigned plan_work_ms;
    unsigned plan_tail_percent; /* percentage of tasks that are long */
    bool plan_equal_members;    /* members of a gang are equally long */
    unsigned plan_text_bytes;   /* of each checkpoint, at least */
    int64_t due_ms; /* of a scheduled job: when its first occurrence is due */
    unsigned plan_fails;    /* number of runs of each task that fail */
    bool plan_members_fail; /* several members of a gang may fail in a run */
    int plan_crashing_task; /* task of the first step that crashes each
                               worker that starts it; -1: none */
    bool accepted;          /* acceptance was reported to a caller */
    bool outcome_unknown;   /* an attempt had no definite answer */
    bool refused;           /* each attempt was answered as not executed */
    bool cancel_sent;
    bool cancel_done; /* acknowledged */
    int64_t cancel_ms;
    int64_t accepted_ms; /* when acceptance was first reported */
    int64_t done_ms;     /* when its last step was done; 0: not yet */
    unsigned started;
    unsigned running;  /* the job's runs that workers execute now */
    unsigned repeated; /* those of them whose task had ended as done before */
    unsigned repeated_starts; /* of such runs, over the day */
    struct checker_wait waits[CHECKER_WAIT_CLAUSES];
    unsigned
        shown_final_phase;  /* final phase that a VM has reported; 0: none */
    int64_t shown_final_ms; /* when it was reported first */
};

struct checker *checker_create(void);
void checker_free(struct checker *checker);

/* Adds a job and takes ownership of `spec`.  Borrowed. */
struct checker_job *
checker_add_job(struct checker *checker, struct cw_work_spec *spec,
                unsigned work_ms, unsigned fails);

/* The job with this id, or NULL.  Borrowed. */
struct checker_job *checker_find_job(struct checker *checker, const char *id);

/* All jobs, struct checker_job.  Borrowed. */
GPtrArray *checker_jobs(struct checker *checker);

/* Sets `out` to the planned behaviour of the task; records a violation and
 * returns false if no caller submitted it. */
bool checker_task_plan(struct checker *checker,
                       const struct cw_task_name *task, struct task_plan *out);

/* True if every step of the job is done. */
bool checker_all_done(struct checker *checker, const struct checker_job *job);

/* Records that a VM has sent the start of a run. */
void checker_start_sent(struct checker *checker,
                        const struct cw_task_name *task, unsigned run);

/* Records that a VM has sent the start of a run to a worker that had reported
 * long before that it drains. */
void
checker_start_sent_to_draining(struct checker *checker,
                               const struct cw_task_name *task, unsigned run);

/* The highest run of the task whose start was sent; 0: none. */
unsigned
checker_last_sent(struct checker *checker, const struct cw_task_name *task);

/* A VM has become the owner of the jobs, the `count`th since the store's
 * return. */
void checker_too_many_owners(struct checker *checker, unsigned count);

/* Records that a later run of the task was sent while this one was at work or
 * might begin. */
void checker_near(struct checker *checker, const struct cw_task_name *task,
                  unsigned run, const char *what);

/* Records that a worker has started a run.  `calm`: no fault has had an effect
 * lately. */
void checker_started(struct checker *checker, const struct cw_task_name *task,
                     unsigned run, int64_t now_ms, bool calm);

/* Records that a task was started in a data centre that its data may not
 * enter. */
void checker_misplaced(struct checker *checker,
                       const struct cw_task_name *task, unsigned run);

/* Checks a start on a worker that executes the run now: the worker has to be
 * of the kind, or in the rack, that the step's label names, and may not
 * execute more tasks of the step than the step's limit, those that are being
 * stopped included. */
void
checker_check_route(struct checker *checker, const struct cw_task_name *task,
                    unsigned run, const struct worker_model *worker);

/* Records that a task was started in a data centre whose cordon the store
 * acknowledged `age_ms` ago; -1: there is no cordon. */
void checker_started_in_cordon(struct checker *checker,
                               const struct cw_task_name *task, unsigned run,
                               int64_t age_ms);

/* Records that a run has ended on its worker. */
void checker_ended(struct checker *checker, const struct cw_task_name *task,
                   unsigned run, enum cw_end_kind how, bool calm);

/* Records when the best possible owner knows that the task is done: by the
 * end of the run that has just ended on its worker, or by the end of a run
 * that it started elsewhere when the worker's lease was over. */
void checker_done_known(struct checker *checker,
                        const struct cw_task_name *task, int64_t known_ms);

/* Makes a wait under CHECKER_WAIT_UNHEARD a violation if the best possible
 * owner avoids it. */
void checker_check_unheard_ends(struct checker *checker);

/* Records that a worker was sent the confirmation of a run's end.  `lapsed`:
 * the worker's lease expired after the end. */
void
checker_confirmed(struct checker *checker, const struct cw_task_name *task,
                  unsigned run, enum cw_end_kind how, bool lapsed);

/* Records that a start has exceeded the capacity of a worker that does not
 * enforce its capacity. */
void checker_over_capacity(struct checker *checker,
                           const struct cw_task_name *task, unsigned run);

/* Records that a worker has crashed while it ran the task. */
void checker_crashed(struct checker *checker, const struct cw_task_name *task);

/* Records that a VM reports a job in a phase. */
void checker_phase_reported(struct checker *checker, const char *id,
                            unsigned phase);

/* Returns the first step of the job, from number `from` on, that is not done
 * and whose preceding steps are done.  NULL if there is none, or if the job is
 * not accepted, has ended, is cancelled, or is scheduled.  Borrowed. */
const struct cw_step_spec *
checker_ready_step(struct checker *checker, const struct checker_job *job,
                   unsigned from);

/* True if the only task of the first step that is not done crashes each worker
 * that starts it, or is a gang with such a member. */
bool checker_only_crashing_task_left(struct checker *checker,
                                     const struct checker_job *job);

/* Checks how long the job has waited under the clause; call it regularly for
 * each job.  `runnable`: the clause holds, and a step of the job is ready and
 * has enough free capacity.  A job that is runnable and has no run for 3 s is
 * a violation. */
void checker_check_wait(struct checker *checker, struct checker_job *job,
                        enum checker_wait_clause clause, bool runnable,
                        int64_t now_ms);

/* Records the phase of the job in a VM's replica at the end of the day; -1 if
 * the replica does not contain the job. */
void checker_final_phase(struct checker *checker,
                         const struct checker_job *job, int phase);

/* The first violation found, or NULL.  Borrowed. */
const char *checker_violation(const struct checker *checker);

/* Counts, for a summary. */
struct checker_counts {
    unsigned jobs;
    unsigned accepted;
    unsigned completed;
    unsigned failed;
    unsigned cancelled;
    unsigned lost;
    unsigned refused;        /* because of their deadline */
    unsigned crashes;        /* of workers, counted for each task there */
    unsigned wrongly_failed; /* jobs that failed although they crash no worker
                                and have attempts left */
    unsigned starts;
    unsigned long_waits; /* of jobs that could run, from 1 s on; one under
                            both clauses counts twice */
    unsigned longest_wait_ms;
    unsigned unheard_waits; /* of 3 s, under CHECKER_WAIT_UNHEARD only */
    unsigned avoidable_unheard_waits; /* by the best possible owner */
};
struct checker_counts checker_counts(const struct checker *checker);

#endif

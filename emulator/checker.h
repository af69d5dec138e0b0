/* Checks the service's guarantees on a simulated day.  Only what workers and
 * callers observe counts, never the product's own state. */
#ifndef CURLEWCART_EMULATOR_CHECKER_H
#define CURLEWCART_EMULATOR_CHECKER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_target.h"
#include "curlewcart/cw_work.h"
#include "emulator/worker_model.h"

struct checker;

/* What callers know of a job, and what its tasks are planned to do. */
struct checker_job {
    char *id;
    struct cw_work_spec *spec; /* owned */
    unsigned plan_work_ms;
    unsigned plan_tail_percent; /* tasks that are long */
    unsigned plan_fails;        /* runs of each task that fail */
    int plan_crashing_task;     /* task of the first step that crashes each
                                   worker that starts it; -1: none */
    bool accepted;              /* a caller was told so */
    bool outcome_unknown; /* an attempt ended without a definite answer */
    bool refused; /* every attempt was answered that nothing was done */
    bool cancel_sent;
    bool cancel_done; /* acknowledged */
    int64_t cancel_ms;
    unsigned started;
    unsigned running;           /* runs of it that workers carry out now */
    int64_t waits_since_ms;     /* since when it could run and does not;
                                   0: it does not wait */
    unsigned started_at_wait;   /* `started` at that time */
    unsigned shown_final_phase; /* final phase that a VM has shown; 0: none */
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

/* What the task does when it runs; false, and a violation, if no caller
 * submitted it. */
bool checker_task_plan(struct checker *checker,
                       const struct cw_task_name *task, struct task_plan *out);

/* A worker has started a run.  `calm`: no fault has had an effect lately. */
void checker_started(struct checker *checker, const struct cw_task_name *task,
                     unsigned run, int64_t now_ms, bool calm);

/* A task was started in a data centre where its data may not be. */
void checker_misplaced(struct checker *checker,
                       const struct cw_task_name *task, unsigned run);

/* A task was started in a data centre whose cordon the store acknowledged
 * `age_ms` ago; -1: there is no cordon. */
void checker_started_in_cordon(struct checker *checker,
                               const struct cw_task_name *task, unsigned run,
                               int64_t age_ms);

/* A run has ended on its worker. */
void checker_ended(struct checker *checker, const struct cw_task_name *task,
                   unsigned run, enum cw_end_kind how, bool calm);

/* A worker was sent the confirmation of a run's end; `lapsed`: its lease
 * expired after the end. */
void
checker_confirmed(struct checker *checker, const struct cw_task_name *task,
                  unsigned run, enum cw_end_kind how, bool lapsed);

/* A start has exceeded the capacity of a worker that does not enforce it. */
void checker_over_capacity(struct checker *checker,
                           const struct cw_task_name *task, unsigned run);

/* A worker has crashed while it ran the task. */
void checker_crashed(struct checker *checker, const struct cw_task_name *task);

/* A VM shows a job in a phase. */
void
checker_phase_shown(struct checker *checker, const char *id, unsigned phase);

/* The first step of the job that is not done and whose earlier steps are.
 * NULL if there is none, or if the job is not accepted, over, or cancelled.
 * Borrowed. */
const struct cw_step_spec *
checker_ready_step(struct checker *checker, const struct checker_job *job);

/* To be called regularly for each job.  `runnable`: a step of it is ready and
 * there is capacity for it.  A job that is runnable and runs nothing for 3 s
 * is a violation. */
void checker_check_wait(struct checker *checker, struct checker_job *job,
                        bool runnable, int64_t now_ms);

/* At the end: the phase of the job by a VM's replica; -1 if the VM doesn't
 * know it. */
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
    unsigned wrongly_failed; /* jobs that failed although they crash nothing
                                and have attempts left */
    unsigned starts;
};
struct checker_counts checker_counts(const struct checker *checker);

#endif

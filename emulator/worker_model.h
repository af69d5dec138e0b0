/* Model of the workers as a pure state machine: runs under leases and fencing
 * tokens, gangs, checkpoints, and lists of ends that stay until they are
 * confirmed.
 *
 * The plan of a task determines the duration of its runs and how many of them
 * fail. */
#ifndef CURLEWCART_EMULATOR_WORKER_MODEL_H
#define CURLEWCART_EMULATOR_WORKER_MODEL_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_target.h"

struct worker_fleet;
struct worker_model;

/* Properties of a task that the model needs. */
struct task_plan {
    unsigned work_ms;
    unsigned fails;   /* number of first runs that fail */
    unsigned members; /* size of its gang; 0: no gang */
    bool checkpoints;
    bool members_fail;   /* if a run of a gang fails, every other member fails,
                            and not only the first */
    unsigned text_bytes; /* of a checkpoint, at least */
    bool crashes; /* crashes each worker that starts the task, soon after the
                     start */
    struct cw_resources need;
};

/* Callbacks for events on workers. */
struct worker_listener {
    /* Returns the plan of a task; false if no caller submitted it. */
    bool (*plan)(void *context, const struct cw_task_name *task,
                 struct task_plan *out);
    void (*started)(void *context, const char *worker,
                    const struct cw_task_name *task, unsigned run);
    void (*ended)(void *context, const char *worker,
                  const struct cw_task_name *task, unsigned run,
                  enum cw_end_kind how);
    /* Called when an order has confirmed the end; `lapsed`: the worker's lease
     * expired between the end and its confirmation. */
    void (*confirmed)(void *context, const char *worker,
                      const struct cw_task_name *task, unsigned run,
                      enum cw_end_kind how, bool lapsed);
    /* Called when the worker has crashed, for each run that was on it. */
    void (*crashed)(void *context, const char *worker,
                    const struct cw_task_name *task);
    /* Called when a task has crashed the worker, which is then down. */
    void (*down)(void *context, struct worker_model *worker);
    /* Called when a start has exceeded the capacity of a worker.  May be NULL
     * unless workers ignore their capacity. */
    void (*over_capacity)(void *context, const char *worker,
                          const struct cw_task_name *task, unsigned run);
    void *context;
};

struct worker_fleet *
worker_fleet_create(const struct worker_listener *listener);
void worker_fleet_free(struct worker_fleet *fleet);

/* Sets the wall-clock time at the fleet's time 0; 0 unless set. */
void worker_fleet_set_wall_clock(struct worker_fleet *fleet,
                                 int64_t wall_clock_base_ms);

/* Makes workers also start tasks that exceed their capacity. */
void worker_fleet_ignore_capacity(struct worker_fleet *fleet);

/* Adds a worker whose address is its id.  `clock_ms` is the time of the
 * worker's clock at the fleet's time 0.  Borrowed. */
struct worker_model *
worker_fleet_add(struct worker_fleet *fleet, const char *id, const char *rack,
                 const struct cw_resources *capacity, int64_t clock_ms);

/* Adds the next incarnation of a worker that is down: a new id at the same
 * address.  Borrowed. */
struct worker_model *
worker_fleet_restart_with_new_id(struct worker_fleet *fleet,
                                 const struct worker_model *before,
                                 int64_t clock_ms);

/* Sets the worker's kind; "k" unless set.  An incarnation with a new id has
 * the kind of the incarnation before. */
void worker_model_set_kind(struct worker_model *worker, const char *kind);

/* Starts the next incarnation of a worker that is down, under the same id.  It
 * has no state of the previous incarnation, and numbers its ends from 1 again.
 * `clock_ms` is the present time of its clock. */
void worker_model_restart(struct worker_model *worker, int64_t clock_ms);

/* Sets how far the worker's wall clock is behind that of the fleet, for the
 * boot times of its later incarnations.  The caller keeps boot times above
 * 0. */
void worker_model_set_wall_clock_behind(struct worker_model *worker,
                                        int64_t behind_ms);

/* Number of workers, including those that are down. */
unsigned worker_fleet_size(const struct worker_fleet *fleet);

/* The worker at an index below worker_fleet_size.  Borrowed. */
struct worker_model *worker_fleet_at(struct worker_fleet *fleet, unsigned i);

/* The worker with this id, or NULL.  Borrowed. */
struct worker_model *
worker_fleet_find(struct worker_fleet *fleet, const char *id);

/* The worker that answers at an address, or NULL.  Borrowed. */
struct worker_model *
worker_fleet_at_address(struct worker_fleet *fleet, const char *address);

const char *worker_model_id(const struct worker_model *worker);
const char *worker_model_rack(const struct worker_model *worker);
const char *worker_model_kind(const struct worker_model *worker);
const char *worker_model_address(const struct worker_model *worker);
const struct cw_resources *
worker_model_capacity(const struct worker_model *worker);

/* Free capacity of the worker; negative if its capacity has shrunk below the
 * resources that its runs use. */
struct cw_resources worker_model_free(const struct worker_model *worker);

/* Time of the worker's wall clock at which its present incarnation started:
 * differs from that of the incarnation before. */
int64_t worker_model_boot_ms(const struct worker_model *worker);

/* Time of the fleet at which the worker's lease expires; 0: it has none. */
int64_t worker_model_lease_end_ms(const struct worker_model *worker);

/* Number of runs on the worker. */
unsigned worker_model_running(const struct worker_model *worker);

/* Number of the task's run on the worker; 0: none. */
unsigned worker_model_run_of(const struct worker_model *worker,
                             const struct cw_task_name *task);

/* Number of runs on the worker that belong to the task's step and
 * occurrence. */
unsigned worker_model_running_of_step(const struct worker_model *worker,
                                      const struct cw_task_name *task);

/* Changes the worker's capacity; its runs continue. */
void worker_model_resize(struct worker_model *worker,
                         const struct cw_resources *capacity);

/* Crashes the worker: its runs are lost, and it no longer answers. */
void worker_model_crash(struct worker_model *worker);
bool worker_model_is_down(const struct worker_model *worker);

/* Shuts the worker down as planned: its runs end with it, and it no longer
 * answers. */
void worker_model_shut_down(struct worker_model *worker);
bool worker_model_has_left(const struct worker_model *worker);

/* Sets the speed of the worker's runs: 1 as planned, 0 stalled. */
void worker_model_set_speed(struct worker_model *worker, double speed);

/* Sets the speed of the worker's machine relative to a typical one, 1 unless
 * set.  An incarnation at the same address keeps it. */
void worker_model_set_lasting_speed(struct worker_model *worker, double speed);

/* Makes the worker's runs take `factor` times as long; 1 ends that.  An
 * incarnation at the same address is as slow. */
void worker_model_set_slowdown(struct worker_model *worker, double factor);
bool worker_model_is_slowed(const struct worker_model *worker);

/* Executes an order at `now_ms`.  Rows of a poll's answer are added to
 * `running` and `ended`, and copies of their strings to `texts`. */
void worker_model_order(struct worker_model *worker,
                        const struct cw_target_order *order, int64_t now_ms,
                        struct cw_target_answer *answer, GArray *running,
                        GArray *ended, GPtrArray *texts);

/* True if the worker would carry out the start if it arrived at `at_ms`, a
 * later time, and nothing else arrived until then.  Its room is not
 * considered. */
bool
worker_model_would_start(const struct worker_model *worker,
                         const struct cw_target_order *order, int64_t at_ms);

/* Advances all workers to `now_ms`. */
void worker_fleet_advance(struct worker_fleet *fleet, int64_t now_ms);

#endif

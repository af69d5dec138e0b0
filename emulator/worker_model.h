/* Workers as a pure state machine: runs under leases and fencing tokens,
 * gangs, checkpoints, lists of ends that stay until they are confirmed.
 *
 * What a run does is in its task's plan: how long it takes and how many of
 * its runs fail first. */
#ifndef CURLEWCART_EMULATOR_WORKER_MODEL_H
#define CURLEWCART_EMULATOR_WORKER_MODEL_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_target.h"

struct worker_fleet;
struct worker_model;

/* What a task is, as the model has to know it. */
struct task_plan {
    unsigned work_ms;
    unsigned fails;   /* so many of its runs fail */
    unsigned members; /* of its gang; 0: no gang */
    bool checkpoints;
    bool crashes; /* each worker that starts it goes down soon after */
    struct cw_resources need;
};

/* Who hears of what happens in workers. */
struct worker_listener {
    /* Plan of a task; false if nobody asked for it. */
    bool (*plan)(void *context, const struct cw_task_name *task,
                 struct task_plan *out);
    void (*started)(void *context, const char *worker,
                    const struct cw_task_name *task, unsigned run);
    void (*ended)(void *context, const char *worker,
                  const struct cw_task_name *task, unsigned run,
                  enum cw_end_kind how);
    /* The end was confirmed by the system; `lapsed`: the worker's lease was
     * over at some time in between. */
    void (*confirmed)(void *context, const char *worker,
                      const struct cw_task_name *task, unsigned run,
                      enum cw_end_kind how, bool lapsed);
    /* The worker has crashed; called for each run that was there. */
    void (*crashed)(void *context, const char *worker,
                    const struct cw_task_name *task);
    /* A task has crashed the worker: it is down. */
    void (*down)(void *context, struct worker_model *worker);
    /* Workers that do not guard their capacity: a start has brought one over
     * it.  Only where there are such. */
    void (*crowded)(void *context, const char *worker,
                    const struct cw_task_name *task, unsigned run);
    void *context;
};

struct worker_fleet *
worker_fleet_create(const struct worker_listener *listener);
void worker_fleet_free(struct worker_fleet *fleet);

/* The time of day at time 0 of the fleet's; 0 unless set. */
void worker_fleet_set_day(struct worker_fleet *fleet, int64_t began_ms);

/* From now on no worker refuses what does not fit. */
void worker_fleet_unguard(struct worker_fleet *fleet);

/* A worker's life, at an address of its own.  Borrowed. */
struct worker_model *
worker_fleet_add(struct worker_fleet *fleet, const char *id, const char *rack,
                 const struct cw_resources *capacity, int64_t clock_ms);

/* The next life of a worker that is down, at the same address.  Borrowed. */
struct worker_model *
worker_fleet_revive(struct worker_fleet *fleet,
                    const struct worker_model *before, int64_t clock_ms);

/* The next life of a worker that is down, under the same id: it knows nothing
 * of before, and counts anew. */
void worker_model_restart(struct worker_model *worker, int64_t clock_ms);

unsigned worker_fleet_size(const struct worker_fleet *fleet);
struct worker_model *worker_fleet_at(struct worker_fleet *fleet, unsigned i);
struct worker_model *
worker_fleet_find(struct worker_fleet *fleet, const char *id);

/* The worker that answers at an address, or NULL. */
struct worker_model *
worker_fleet_at_address(struct worker_fleet *fleet, const char *address);

const char *worker_model_id(const struct worker_model *worker);
const char *worker_model_rack(const struct worker_model *worker);
const char *worker_model_address(const struct worker_model *worker);
const struct cw_resources *
worker_model_capacity(const struct worker_model *worker);

/* What it has beside what runs there. */
struct cw_resources worker_model_free(const struct worker_model *worker);

/* When its present life began, by its time of day. */
int64_t worker_model_boot_ms(const struct worker_model *worker);
unsigned worker_model_running(const struct worker_model *worker);

/* Its room shrinks, or grows again; what runs goes on. */
void worker_model_resize(struct worker_model *worker,
                         const struct cw_resources *capacity);

/* It crashes: everything there is gone, and it answers no more. */
void worker_model_crash(struct worker_model *worker);
bool worker_model_dead(const struct worker_model *worker);

/* Slows its work by so much, or stops it (0). */
void worker_model_set_speed(struct worker_model *worker, double speed);

/* Carries out an order at `now_ms`.  The lists are copied into `texts` and
 * the arrays. */
void worker_model_order(struct worker_model *worker,
                        const struct cw_target_order *order, int64_t now_ms,
                        struct cw_target_answer *answer, GArray *running,
                        GArray *ended, GPtrArray *texts);

/* Moves everything on to `now_ms`. */
void worker_fleet_advance(struct worker_fleet *fleet, int64_t now_ms);

#endif

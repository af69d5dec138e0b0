/* Speeds of workers, as an owner would have learnt them. */
#ifndef CURLEWCART_TESTS_WORKER_SPEEDS_H
#define CURLEWCART_TESTS_WORKER_SPEEDS_H

#include <math.h>

#include "owner_cluster.h"

/* Lets two runs have shown the worker's speed, as a ratio to a typical one. */
static inline void
set_target_speed(struct cluster *cluster, struct owner_target *target,
                 double speed)
{
    struct cw_speed_sample sample = {.log_speed = log(speed),
                                     .variance = 0.01,
                                     .shows_worker = true,
                                     .equal_work = true};

    target->incarnation.speed = cw_worker_speed_new();
    for (sample.run = 1; sample.run <= 2; sample.run++) {
        cw_worker_speed_observe(&target->incarnation.speed, &sample,
                                cluster->clock.now);
    }
}

static inline void
prove_speed(struct cluster *cluster, const char *worker, double speed)
{
    set_target_speed(cluster, owner_target_get(cluster->owner, worker), speed);
}

static inline void
show_target_slow(struct cluster *cluster, struct owner_target *target)
{
    set_target_speed(cluster, target, 1 / 3.0);
}

static inline void
show_slow(struct cluster *cluster, const char *worker)
{
    show_target_slow(cluster, owner_target_get(cluster->owner, worker));
}

#endif

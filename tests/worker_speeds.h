/* Sets what the owner knows of workers' speeds, for tests. */
#ifndef CURLEWCART_TESTS_WORKER_SPEEDS_H
#define CURLEWCART_TESTS_WORKER_SPEEDS_H

#include "owner_cluster.h"

/* Makes the worker proved at this speed. */
static inline void
prove_speed(struct cluster *cluster, const char *worker, double speed)
{
    owner_target_get(cluster->owner, worker)->incarnation.speed = speed;
}

/* Makes the worker shown to be slow for `ms`. */
static inline void
show_target_slow(struct cluster *cluster, struct owner_target *target,
                 int64_t ms)
{
    target->incarnation.speed = 1 / 3.0;
    target->incarnation.slow_until = cw_time_add_ms(cluster->clock.now, ms);
}

static inline void
show_slow(struct cluster *cluster, const char *worker, int64_t ms)
{
    show_target_slow(cluster, owner_target_get(cluster->owner, worker), ms);
}

#endif

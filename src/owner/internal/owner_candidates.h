/* Workers with free capacity for a step, and the choice of racks and data
 * centres among them. */
#ifndef CURLEWCART_OWNER_CANDIDATES_H
#define CURLEWCART_OWNER_CANDIDATES_H

#include "curlewcart/cw_gang_choice.h"
#include "owner/internal/owner_placement.h"

/* A worker with free capacity, while a step is placed. */
struct owner_candidate {
    struct owner_target *target;
    struct cw_resources available;
    unsigned fits; /* tasks of the step that fit on the worker */
    int speed_rank;
    int slow_order; /* lower-priority work uses a lower one first */
    /* Workers of its rack with lower-priority runs. */
    unsigned rack_lower_priority_workers;
    /* Result of owner_target_neighbour_weight if the step has tasks that are
     * suspected of crashing workers, otherwise 0. */
    unsigned neighbour_weight;
};

/* Returns the workers with free capacity for a task of the step, as struct
 * owner_candidate, the best one first.  Owned by the caller. */
GArray *owner_candidates(struct cw_owner *owner, const struct owner_step *step,
                         struct timespec now);

/* The first of these, as many as have room for `tasks` tasks: of a thousand
 * workers few are needed, and sorting all takes most of a placement pass. */
GArray *
owner_first_candidates(struct cw_owner *owner, const struct owner_step *step,
                       unsigned tasks, struct timespec now);

/* Returns the workers that accept orders and have at least `min` free,
 * reserved or not, as struct owner_target.  Owned by the caller. */
GPtrArray *
owner_reachable_targets(struct cw_owner *owner, const struct cw_resources *min,
                        struct timespec now);

/* Like owner_candidates, but among the workers given and with those that are
 * withheld from the step: workers in the headroom for urgent work come first,
 * then racks that are reserved for gangs, and workers that failed last, as do
 * slow ones for urgent work and gangs. */
GArray *owner_candidates_with_reserved(const GPtrArray *targets,
                                       const struct owner_step *step,
                                       struct timespec now);

/* Returns how many tasks fit on all candidates together. */
unsigned owner_total_fit_count(const GArray *candidates);

/* Distributes up to `tasks` tasks over the candidates (those of `rack` only,
 * if given), as struct owner_choice.  Owned by the caller. */
GArray *owner_choose_targets(const GArray *candidates, const char *rack,
                             unsigned tasks);

/* Chooses workers for the step's gang, as struct owner_choice, owned by the
 * caller; NULL if it does not fit.  `choice` tells why. */
GArray *owner_choose_gang(struct cw_owner *owner, const GArray *candidates,
                          struct owner_step *step, struct timespec now,
                          struct cw_gang_choice *choice);

/* The same, but the gang may be spread over racks, whatever that costs. */
GArray *owner_spread_gang(struct cw_owner *owner, const GArray *candidates,
                          const struct owner_step *step,
                          struct cw_gang_choice *choice);

/* True if the worker's rack is reserved for another step's gang, which has a
 * higher priority. */
bool
owner_target_is_reserved(const struct owner_target *target,
                         const struct owner_step *step, struct timespec now);

/* True if the worker has no runs. */
bool owner_candidate_is_idle(const struct owner_candidate *candidate);

/* Returns the rack that is best for the step's gang, or NULL if none can hold
 * it. */
const char *
owner_best_rack(const struct cw_owner *owner, const GArray *candidates,
                const struct owner_step *step, unsigned tasks);

/* Reserves the rack that will have the most capacity for the gang against work
 * with a lower priority than the gang's. */
void owner_reserve_rack(struct cw_owner *owner, struct owner_step *step,
                        struct timespec now);

/* Does the same for the rack given, one of the workers' names. */
void owner_reserve_this_rack(struct cw_owner *owner, struct owner_step *step,
                             const char *rack, struct timespec now);

#endif

/* Workers with room for a step, and the racks they make up. */
#ifndef CURLEWCART_OWNER_CANDIDATES_H
#define CURLEWCART_OWNER_CANDIDATES_H

#include "owner/internal/owner_placement.h"

/* Speeds that differ by less count as the same. */
#define OWNER_SPEED_STEP 0.12

/* A worker with room, while a step is placed. */
struct owner_candidate {
    struct owner_target *target;
    struct cw_resources room;
    unsigned fits;
    unsigned rack_lower_priority_workers; /* workers of its rack that lower
                                             work is on */
    unsigned neighbour_weight; /* owner_target_neighbour_weight; only for a
                                  suspect */
};

/* Workers with room for a task of the step, as struct owner_candidate, the
 * one to be taken first at the front.  Owned by the caller. */
GArray *owner_candidates(struct cw_owner *owner, const struct owner_step *step,
                         struct timespec now);

/* Workers that take orders and have room for `least`, whoever it is kept for,
 * as struct owner_target.  Owned by the caller. */
GPtrArray *
owner_reachable_targets(struct cw_owner *owner,
                        const struct cw_resources *least, struct timespec now);

/* The same as owner_candidates, of the workers given and with all that is kept
 * from the step: room for urgent work first, then racks for gangs, at last
 * workers that failed or are slow. */
GArray *owner_candidates_with_reserved(const GPtrArray *targets,
                                       const struct owner_step *step,
                                       struct timespec now);

/* Tasks that fit on all candidates together. */
unsigned owner_total_fit_count(const GArray *candidates);

/* Takes up to `tasks` from the candidates (of `rack` only, if given), as
 * struct owner_choice.  Owned by the caller. */
GArray *owner_choose_targets(const GArray *candidates, const char *rack,
                             unsigned tasks);

/* The same over as few data centres as hold the tasks. */
GArray *owner_choose_by_dc(const GArray *candidates, unsigned tasks);

/* True if the worker is kept clear for a more urgent gang. */
bool
owner_target_is_reserved(const struct owner_target *target,
                         const struct owner_step *step, struct timespec now);

/* True if nothing runs on the worker. */
bool owner_candidate_is_idle(const struct owner_candidate *candidate);

/* The rack that holds `tasks`: for urgent work the fastest, then the one that
 * loses the fewest idle workers; then the one with least to spare.  NULL if
 * there is none.  The rack of the step's data goes first. */
const char *
owner_best_rack(const struct cw_owner *owner, const GArray *candidates,
                const struct owner_step *step, unsigned tasks);

/* Keeps the rack that will be free first clear of work with a lower priority
 * than the gang's. */
void owner_reserve_rack(struct cw_owner *owner, struct owner_step *step,
                        struct timespec now);

#endif

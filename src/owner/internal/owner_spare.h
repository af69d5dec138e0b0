/* Spare capacity as reported by workers, and the reasons that block a step
 * from using it. */
#ifndef CURLEWCART_OWNER_SPARE_H
#define CURLEWCART_OWNER_SPARE_H

#include "owner/internal/owner_private.h"

/* Reason that blocks a step from using spare capacity of a worker: the first
 * that applies, in this order. */
enum owner_blocker {
    OWNER_BLOCKER_NONE,        /* the next placement pass may use it */
    OWNER_BLOCKER_UNCONFIRMED, /* assigned to runs that it has not confirmed */
    OWNER_BLOCKER_AVOIDED,     /* it failed, answers late, is slow or has a run
                                  on probation, or refused work as it was full
                                */
    OWNER_BLOCKER_RACK,        /* its rack is reserved for a gang */
    OWNER_BLOCKER_HEADROOM,    /* it is headroom for urgent work */
    OWNER_BLOCKERS
};

/* How much of a step would fit into the spare capacity. */
struct owner_spare_fit {
    unsigned tasks; /* in all, in whatever racks */
    unsigned by_blocker[OWNER_BLOCKERS];
    unsigned together;  /* tasks that can only start together */
    unsigned best_rack; /* tasks in the rack in which most fit */
    enum cw_owner_refusal refusal;
};

struct owner_spare;

/* Collects the workers with at least `min_accelerators` spare accelerators.
 * Has to be freed before the owner's workers change. */
struct owner_spare *
owner_spare_create(struct cw_owner *owner, uint32_t min_accelerators,
                   struct timespec now);
void owner_spare_free(struct owner_spare *spare);

/* True if a single task, or the whole gang, fits twice, in whatever racks; if
 * it runs in one rack only, it also has to fit once within a rack.  Takes less
 * time than owner_spare_fit: with 1,100 workers that all have spare capacity
 * and 4,000 waiting jobs, owner_spare_fit for all of them took 0.19 s. */
bool owner_spare_fits_twice(const struct owner_spare *spare,
                            const struct owner_step *step);

/* Returns how much of the step would fit, by blocker. */
struct owner_spare_fit owner_spare_fit(const struct owner_spare *spare,
                                       const struct owner_step *step);

#endif

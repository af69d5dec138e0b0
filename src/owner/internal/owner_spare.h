/* Room that workers have free by their own word, and what keeps a step from
 * it. */
#ifndef CURLEWCART_OWNER_SPARE_H
#define CURLEWCART_OWNER_SPARE_H

#include "owner/internal/owner_private.h"

/* What keeps a step from room on a worker; the first that holds. */
enum owner_blocker {
    OWNER_BLOCKER_NONE,        /* the next pass of placement may take it */
    OWNER_BLOCKER_UNCONFIRMED, /* runs are placed there that it has not
                                  confirmed */
    OWNER_BLOCKER_AVOIDED,  /* it failed, was late, slow, full, or is on trial
                             */
    OWNER_BLOCKER_RACK,     /* its rack is kept clear for a gang */
    OWNER_BLOCKER_HEADROOM, /* it is kept free for urgent work */
    OWNER_BLOCKERS
};

/* Tasks of a step that would fit into what is free. */
struct owner_spare_fit {
    unsigned tasks;
    unsigned by_blocker[OWNER_BLOCKERS];
    bool twice; /* what can only begin together, a task or a gang, fits twice,
                   and once within a rack if it belongs into one */
};

struct owner_spare;

/* The workers with room for tasks of `least` accelerators.  To be freed before
 * the owner goes on. */
struct owner_spare *owner_spare_create(struct cw_owner *owner, uint32_t least,
                                       struct timespec now);
void owner_spare_free(struct owner_spare *spare);

/* Only `twice` of it, in less time: with 1,100 workers that all have room and
 * 4,000 waiting jobs the whole took 0.19 s. */
bool owner_spare_fits_twice(const struct owner_spare *spare,
                            struct owner_step *step);

struct owner_spare_fit
owner_spare_fit(const struct owner_spare *spare, struct owner_step *step);

#endif

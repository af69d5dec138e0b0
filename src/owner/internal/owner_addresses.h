/* Which worker is at an address: workers that have been listed at the same
 * one, and orders that another worker has refused. */
#ifndef CURLEWCART_OWNER_ADDRESSES_H
#define CURLEWCART_OWNER_ADDRESSES_H

#include <stdbool.h>
#include <time.h>

#include "curlewcart/cw_target.h"

struct owner_run;
struct owner_target;

/* An order that was answered. */
struct owner_answered_order {
    const char *kind; /* for logs */
    struct timespec sent;
    unsigned address_changes; /* of its worker, when it was sent */
};

/* Returns the address of the incarnation that the run was sent to, or "" if it
 * is not known. */
const char *owner_address_of_run(const struct owner_run *run);

/* Sets the address that the worker's incarnation with this boot time (0:
 * unknown) had when an earlier owner stored the state of a job, if no report
 * of the worker was read.  That worker can be polled though it is not listed.
 */
void owner_address_restore(struct owner_target *target, const char *address,
                           int64_t boot_ms);

/* Makes polls of a worker without runs due for a limited time, to learn
 * whether it has crashed. */
void owner_address_doubt(struct owner_target *target);

/* To be called when a worker was added to the list: makes a poll of the worker
 * that was listed at its address before due at once, if it is not known which
 * of them is there. */
void owner_address_listed(struct owner_target *target);

/* True if the worker has to be polled, as its crash is neither confirmed nor
 * refuted: it was lost while it was not listed, or another worker has been
 * listed at its address since. */
bool owner_address_is_doubtful(const struct owner_target *target,
                               struct timespec now);

/* Records an answer with this status, if it shows that the worker itself is at
 * the address that the order was sent to. */
void owner_address_answered(struct owner_target *target,
                            const struct owner_answered_order *order,
                            enum cw_target_status status);

/* Handles an order that another worker has refused, by its id: drops all runs
 * of the worker as lost if that proves that the worker is over.  Returns false
 * if it does not. */
bool owner_address_refused(struct owner_target *target,
                           const struct owner_answered_order *order);

#endif

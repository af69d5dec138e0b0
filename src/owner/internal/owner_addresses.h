/* Workers that have been listed at the same address. */
#ifndef CURLEWCART_OWNER_ADDRESSES_H
#define CURLEWCART_OWNER_ADDRESSES_H

#include <stdbool.h>
#include <time.h>

struct owner_target;

/* To be called when a worker was added to the list: makes a poll of the worker
 * that was listed at its address before due at once, if it is not known which
 * of them is there. */
void owner_address_listed(struct owner_target *target);

/* True if the worker has to be polled, as another one has been listed at its
 * address and the worker's crash is neither confirmed nor refuted. */
bool owner_address_is_doubtful(const struct owner_target *target,
                               struct timespec now);

#endif

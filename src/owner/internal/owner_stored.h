/* The states of jobs as the store has them, read by a VM that takes a shard
 * over.
 *
 * Only such a VM reads them: they are nearly all that an owner writes.  With
 * them in the log that every VM follows, 147 VMs read 55 MB each in a calm
 * day of 34 s and used up the store's bandwidth.
 */
#ifndef CURLEWCART_OWNER_STORED_H
#define CURLEWCART_OWNER_STORED_H

#include <stdbool.h>
#include <glib.h>

#include "curlewcart/cw_follower.h"

struct owner_stored;

struct owner_stored *
owner_stored_create(struct cw_store *store, struct cw_clock *clock,
                    unsigned partition);
void owner_stored_free(struct owner_stored *stored);

/* Reads them, and what is written on. */
struct cw_follower *owner_stored_follower(struct owner_stored *stored);

/* State of a job (struct cw_work_record, encoded), or NULL.  Borrowed. */
GBytes *owner_stored_find(const struct owner_stored *stored, const char *job);

/* Calls `see` with the id of each job that has a state. */
void
owner_stored_each(const struct owner_stored *stored,
                  void (*see)(void *context, const char *job), void *context);

#endif

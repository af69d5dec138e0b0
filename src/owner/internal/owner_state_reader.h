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

struct owner_state_reader;

struct owner_state_reader *
owner_state_reader_create(struct cw_store *store, struct cw_clock *clock,
                          unsigned partition);
void owner_state_reader_free(struct owner_state_reader *stored);

/* Reads them, and what is written on. */
struct cw_follower *
owner_state_reader_follower(struct owner_state_reader *stored);

/* State of a job (struct cw_work_record, encoded), or NULL.  Borrowed. */
GBytes *owner_state_reader_find(const struct owner_state_reader *stored,
                                const char *job);

/* Calls `see` with the id of each job that has a state. */
void owner_state_reader_each(const struct owner_state_reader *stored,
                             void (*see)(void *context, const char *job),
                             void *context);

#endif

/* Reads the stored states of jobs, for a VM that takes over a shard.
 *
 * Only such a VM reads them, from a topic of their own, because they are
 * nearly all that an owner writes.  In the log that every VM follows, they
 * made 147 VMs read 55 MB each in 34 s without faults, which used up the
 * store's bandwidth.
 */
#ifndef CURLEWCART_OWNER_STATE_READER_H
#define CURLEWCART_OWNER_STATE_READER_H

#include <stdbool.h>
#include <glib.h>

#include "curlewcart/cw_follower.h"

struct owner_state_reader;

/* Creates a reader without states; they are read as its follower is ticked. */
struct owner_state_reader *
owner_state_reader_create(struct cw_store *store, struct cw_clock *clock,
                          unsigned partition);
void owner_state_reader_free(struct owner_state_reader *reader);

/* Loads the states, then follows the states that the present owner still
 * writes. */
struct cw_follower *
owner_state_reader_follower(struct owner_state_reader *reader);

/* State of a job (struct cw_work_record, encoded), or NULL.  Borrowed. */
GBytes *owner_state_reader_find(const struct owner_state_reader *reader,
                                const char *job);

/* Calls `visit` with the id of each job that has a state. */
void owner_state_reader_each(const struct owner_state_reader *reader,
                             void (*visit)(void *context, const char *job),
                             void *context);

#endif

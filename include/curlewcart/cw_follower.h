/* Follows one keyed partition of the store: loads the newest record of each
 * key, then reads new records, and loads again if the store no longer retains
 * the records that follow.
 *
 * All functions are called with the engine's lock held.  A record may be
 * delivered more than once; compare offsets to detect this.
 */
#ifndef CURLEWCART_CW_FOLLOWER_H
#define CURLEWCART_CW_FOLLOWER_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "curlewcart/cw_store.h"
#include "curlewcart/cw_time.h"

/* Callbacks of a follower; all but `record` may be NULL. */
struct cw_follower_handler {
    /* A load begins: all keys will be delivered again.  With `history_only`:
     * records were skipped that the store does not retain. */
    void (*reset)(void *context);
    /* The load is complete: the newest record of each key was delivered. */
    void (*loaded)(void *context);
    void (*record)(void *context, const struct cw_store_record *record);
    /* A read was answered and its records were delivered. */
    void (*advanced)(void *context);
    void *context;
};

struct cw_follower_options {
    const char *name; /* for logs; borrowed, static */
    struct cw_store *store;
    struct cw_clock *clock;
    const char *topic; /* borrowed, static */
    unsigned partition;
    unsigned wait_ms; /* how long a read waits at the store for a record; 0:
                         does not wait */
    unsigned read_interval_ms; /* minimum, from an answer to the next read */
    /* Reads the records from `from` on, or from the oldest that the store
     * retains, and never loads the newest of each key. */
    bool history_only;
    uint64_t from;
    struct cw_follower_handler handler;
};

struct cw_follower;

/* Creates a follower; it sends its first call at the first tick. */
struct cw_follower *
cw_follower_create(const struct cw_follower_options *options);

/* Calls no handler any more; the memory is freed once no call is in flight. */
void cw_follower_free(struct cw_follower *follower);

/* Sends the next call if it is due and none is in flight. */
void cw_follower_tick(struct cw_follower *follower, struct timespec now);

/* Time of the next tick. */
struct timespec cw_follower_due(const struct cw_follower *follower);

/* True once the first load is complete. */
bool cw_follower_loaded(const struct cw_follower *follower);

/* Offset that the next read starts at. */
uint64_t cw_follower_position(const struct cw_follower *follower);

/* When the latest read that reached the end of the partition was sent: all
 * records appended before that time were delivered. */
struct timespec cw_follower_fresh_as_of(const struct cw_follower *follower);

/* True if the last answer reached the end of the partition: any record that is
 * missing was appended later. */
bool cw_follower_at_end(const struct cw_follower *follower);

/* True if the last answer reached the end of the partition and the read in
 * flight waits at the store for the next record: no record is known to be
 * missing. */
bool cw_follower_is_current(const struct cw_follower *follower);

/* Changes the minimum time from an answer to the next read. */
void cw_follower_set_read_interval(struct cw_follower *follower,
                                   unsigned read_interval_ms);

/* Sends the next read as soon as possible, without a wait for records. */
void cw_follower_read_now(struct cw_follower *follower);

#endif

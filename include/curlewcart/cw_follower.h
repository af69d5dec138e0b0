/* Follows one keyed partition of the store: loads the newest record of each
 * key, then reads what is appended, and loads anew if history was dropped.
 *
 * All functions are called with the engine's lock held.  A record may be
 * given more than once; its offset tells.
 */
#ifndef CURLEWCART_CW_FOLLOWER_H
#define CURLEWCART_CW_FOLLOWER_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "curlewcart/cw_store.h"
#include "curlewcart/cw_time.h"

/* Who hears of records.  Any member may be NULL. */
struct cw_follower_handler {
    /* All keys are about to be given again. */
    void (*reset)(void *context);
    /* The newest record of each key was given since the reset. */
    void (*loaded)(void *context);
    void (*record)(void *context, const struct cw_store_record *record);
    /* A read was answered and its records were given. */
    void (*advanced)(void *context);
    void *context;
};

struct cw_follower_options {
    const char *name; /* for logs; borrowed, static */
    struct cw_store *store;
    struct cw_clock *clock;
    const char *topic; /* borrowed, static */
    unsigned partition;
    unsigned wait_ms; /* how long a read waits at the store; 0: it polls */
    unsigned read_interval_ms; /* least time from an answer to the next read */
    struct cw_follower_handler handler;
};

struct cw_follower;

struct cw_follower *
cw_follower_create(const struct cw_follower_options *options);

/* Frees it once no call is under way; no handler is called any more. */
void cw_follower_free(struct cw_follower *follower);

/* Begins or goes on; call when cw_follower_due has passed. */
void cw_follower_tick(struct cw_follower *follower, struct timespec now);

/* When it wants its next tick. */
struct timespec cw_follower_due(const struct cw_follower *follower);

/* True once every key was loaded. */
bool cw_follower_loaded(const struct cw_follower *follower);

/* Next offset that it will read. */
uint64_t cw_follower_position(const struct cw_follower *follower);

/* When the newest read that reached the end was sent: what was appended
 * before it is known here. */
struct timespec cw_follower_fresh_as_of(const struct cw_follower *follower);

/* True if the last answer reached the end of the partition: what it lacks
 * was appended since, or is about to be told by a read that waits. */
bool cw_follower_at_end(const struct cw_follower *follower);

/* True if nothing was appended that is not known here, as far as the store
 * has told: it holds a read that waits for the next record. */
bool cw_follower_is_current(const struct cw_follower *follower);

void cw_follower_set_read_interval(struct cw_follower *follower,
                                   unsigned read_interval_ms);

/* Reads at once, without waiting for records. */
void cw_follower_read_now(struct cw_follower *follower);

#endif

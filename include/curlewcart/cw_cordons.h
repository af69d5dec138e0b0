/* Cordons: commands of operators that nothing may be started in a data centre
 * until the cordon is withdrawn.  Runs in the data centre continue.
 *
 * A cordon is a record of a keyed topic of the store, which every VM follows;
 * a record without a value withdraws it.  All functions are called with the
 * engine's lock held.
 */
#ifndef CURLEWCART_CW_CORDONS_H
#define CURLEWCART_CW_CORDONS_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "curlewcart/cw_codec.h"
#include "curlewcart/cw_follower.h"
#include "curlewcart/cw_store.h"
#include "curlewcart/cw_time.h"

struct cw_cordons_options {
    const struct cw_codec *codec; /* borrowed, static */
    struct cw_clock *clock;       /* borrowed */
    /* A cordon was set or withdrawn; may be NULL. */
    void (*changed)(void *context);
    void *context;
};

struct cw_cordons;

struct cw_cordons *cw_cordons_create(const struct cw_cordons_options *options);
void cw_cordons_free(struct cw_cordons *cordons);

/* Sets the follower whose handler calls the three functions below.
 * Borrowed. */
void cw_cordons_set_follower(struct cw_cordons *cordons,
                             struct cw_follower *follower);

/* Callbacks for the follower's handler; `cordons` is a struct cw_cordons. */
void cw_cordons_reset(void *cordons);
void cw_cordons_loaded(void *cordons);
void cw_cordons_record(void *cordons, const struct cw_store_record *record);

/* Time, in ms, since this VM first read the data centre's cordon; -1 if there
 * is no cordon. */
int64_t cw_cordons_age_ms(const struct cw_cordons *cordons, const char *dc,
                          struct timespec now);

/* True if no cordon of the data centre is known, so that work may be started
 * there. */
bool cw_cordons_permits_dc(const struct cw_cordons *cordons, const char *dc);

/* Number of data centres that are cordoned. */
unsigned cw_cordons_count(const struct cw_cordons *cordons);

/* Age of the data on cordons, in ms: changes within this time may not have
 * been read yet.  INT64_MAX before the first load. */
int64_t
cw_cordons_staleness_ms(const struct cw_cordons *cordons, struct timespec now);

/* Makes the follower read as soon as possible. */
void cw_cordons_read_now(struct cw_cordons *cordons);

#endif

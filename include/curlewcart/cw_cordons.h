/* Cordons: orders of operators that nothing be started in a data centre until
 * they withdraw them.  What runs there goes on.
 *
 * An order is a record of a keyed topic of the store, which every VM follows;
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

/* The follower whose handler gives the three calls below.  Borrowed. */
void cw_cordons_set_follower(struct cw_cordons *cordons,
                             struct cw_follower *follower);

/* For the follower's handler; `cordons` is a struct cw_cordons. */
void cw_cordons_reset(void *cordons);
void cw_cordons_loaded(void *cordons);
void cw_cordons_record(void *cordons, const struct cw_store_record *record);

/* For how long, in ms, this VM has known of a cordon of the data centre; -1 if
 * there is none. */
int64_t cw_cordons_age_ms(const struct cw_cordons *cordons, const char *dc,
                          struct timespec now);

/* True if work may be started there, as far as is known. */
bool cw_cordons_permits_dc(const struct cw_cordons *cordons, const char *dc);

/* How many data centres are cordoned. */
unsigned cw_cordons_count(const struct cw_cordons *cordons);

/* For how long, in ms, orders may have been given that are not known here;
 * INT64_MAX before the first load. */
int64_t
cw_cordons_staleness_ms(const struct cw_cordons *cordons, struct timespec now);

/* Reads at once what operators have ordered. */
void cw_cordons_read_now(struct cw_cordons *cordons);

#endif

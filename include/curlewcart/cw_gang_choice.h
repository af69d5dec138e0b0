/* Chooses the workers of a gang when workers differ in speed.
 *
 * The members of a gang end together, so that a gang takes as long as its
 * slowest member.  When a third of the workers runs at a third of the speed,
 * nearly every rack has slow workers, and a gang that takes any rack with
 * enough free capacity takes three times as long.  Callers accept 1.5 times
 * the length of urgent work, and 3 times that of other work.
 *
 * Pure: no I/O and no clock of its own.
 */
#ifndef CURLEWCART_CW_GANG_CHOICE_H
#define CURLEWCART_CW_GANG_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of a worker's speed. */
struct cw_speed_view {
    double speed; /* ratio to a typical worker */
    bool slow;    /* shown to be slow */
    bool proved;  /* measured lately, and not slow */
};

/* A worker with free capacity. */
struct cw_gang_offer {
    unsigned rack; /* below cw_gang_shape.racks */
    unsigned dc;   /* below cw_gang_shape.dcs */
    unsigned fits; /* members that fit */
    int rank;      /* cw_speed_rank; if not urgent, cw_speed_rank_coarse */
    bool idle;     /* has no runs */
};

/* What a gang requires, and the bounds of the numbers in the offers. */
struct cw_gang_shape {
    unsigned members;
    unsigned racks;
    unsigned dcs;
    bool has_data_rack;
    unsigned data_rack; /* the rack of its data, preferred if it fits there */
    bool needs_rack;    /* its work takes too long across racks */
    bool urgent;
};

/* The smallest set of workers by location that a gang was placed in. */
enum cw_gang_scope {
    CW_GANG_NOWHERE, /* it does not fit */
    CW_GANG_IN_RACK,
    CW_GANG_IN_DC,
    CW_GANG_ACROSS_DCS
};

struct cw_gang_choice {
    enum cw_gang_scope scope;
    int rank;      /* of the slowest member */
    unsigned slow; /* members on slow workers */
    unsigned rack; /* CW_GANG_IN_RACK */
};

/* Returns a worker's position in the order of speed; a higher one is faster.
 * Workers of one rank count as equally fast.  Any slow worker is below all
 * others, and a worker that was not measured lately counts for less than one
 * that was. */
int cw_speed_rank(const struct cw_speed_view *view);

/* True if the rank is that of a slow worker. */
bool cw_speed_rank_is_slow(int rank);

/* Returns a rank that distinguishes only slow workers from others. */
int cw_speed_rank_coarse(int rank);

/* Chooses among the offers, which are used in their order.  A gang stays in
 * one rack, or else in one data centre, unless its slowest member there would
 * be too slow for the caller and a set across more of them has a faster one.
 * `members[i]` is set to how many members are placed on `offers[i]`. */
struct cw_gang_choice cw_gang_choose(const struct cw_gang_shape *shape,
                                     const struct cw_gang_offer *offers,
                                     unsigned count, unsigned *members);

/* Returns the scope's name for logs. */
const char *cw_gang_scope_name(enum cw_gang_scope scope);

/* Urgent work that fits only with slow workers, or that could have others if
 * lower-priority runs were stopped. */
struct cw_gang_wait {
    int64_t length_ms;   /* estimate on a typical worker */
    double speed;        /* of the slowest worker of the free place */
    double speed_after;  /* of the slowest worker of the place to free */
    int64_t wait_max_ms; /* longest time until that is free */
};

/* True if the free place is too slow for the caller, and stopping runs lets
 * the gang end sooner. */
bool cw_gang_should_preempt(const struct cw_gang_wait *wait);

/* True if a gang that takes longer across racks, and was spread over several,
 * ends sooner if it starts again in one.  `percent`: done; with checkpoints
 * that much is kept. */
bool cw_gang_should_gather(unsigned percent, bool checkpoints);

#endif

/* The owner of a shard: it decides which task runs where, and keeps the
 * workers' leases.
 *
 * Which VM owns a shard is decided by the store: a group deals the shard's
 * partition to one member, and an append under a higher epoch shuts out
 * every earlier owner.  The epoch is also the fencing token at the workers.
 *
 * All functions are called with the engine's lock held.
 */
#ifndef CURLEWCART_CW_OWNER_H
#define CURLEWCART_CW_OWNER_H

#include <stdbool.h>
#include <time.h>

#include "curlewcart/cw_codec.h"
#include "curlewcart/cw_cordons.h"
#include "curlewcart/cw_count.h"
#include "curlewcart/cw_replica.h"
#include "curlewcart/cw_routing.h"
#include "curlewcart/cw_store.h"
#include "curlewcart/cw_target.h"

/* The group that deals the shards. */
#define CW_OWNER_GROUP "owners"

/* The topic of the states of jobs: written by the owner of a shard, read by
 * the next one. */
#define CW_STATE_TOPIC "keyed.states"

struct cw_owner_options {
    struct cw_store *store;
    struct cw_targets *targets;
    const struct cw_codec *codec;
    struct cw_clock *clock;
    struct cw_replica *replica;
    struct cw_counters *counters;
    const char *vm;         /* name of this VM; copied */
    const char *member;     /* of this process's life; copied */
    unsigned partition;     /* the shard */
    unsigned member_ttl_ms; /* the store forgets a silent member after it */
    unsigned lease_ms;      /* longest lease that workers grant */
    unsigned standby_read_interval_ms; /* of the log while another VM decides;
                                 0: CW_STANDBY_READ_INTERVAL_MS */
    unsigned retain_ms;         /* ended jobs are known at least so long */
    unsigned capacity_milli;    /* this VM's processor, thousandths of a core;
                                   0: as any other */
    bool exposes_placements;    /* callers may ask where their jobs ran */
    unsigned connections_max;   /* that this VM can keep open; 0: any number */
    unsigned report_ms;         /* workers report so often; 0: each 1.5 s */
    struct cw_cordons *cordons; /* or NULL: operators give no such orders */
    unsigned cordon_ms; /* nothing is started in a data centre later than so
                           long after its cordon; 0: no such bound */
};

struct cw_owner;

struct cw_owner *cw_owner_create(const struct cw_owner_options *options);
void cw_owner_free(struct cw_owner *owner);

/* Another configuration is in force; takes a reference. */
void cw_owner_configure(struct cw_owner *owner, struct cw_routing *routing);

/* A data centre was cordoned, or is so no more. */
void cw_owner_cordons_changed(struct cw_owner *owner);

/* Gives the shard up for good: decides no more and leaves the group. */
void cw_owner_leave(struct cw_owner *owner);

/* Does what is due; returns when it wants to be called next. */
struct timespec cw_owner_tick(struct cw_owner *owner, struct timespec now);

/* True while this VM decides. */
bool cw_owner_active(const struct cw_owner *owner);

/* What the owner holds, for metrics. */
struct cw_owner_stats {
    unsigned jobs;
    unsigned targets;
    unsigned runs;
    unsigned waiting;        /* jobs that could run and do not, for 3 s or
                                more, with most of their workers' room free or
                                twice what they need at once */
    int64_t longest_wait_ms; /* of them */
    unsigned repeating;      /* tasks that have lost three runs in a row */
};
void cw_owner_stats(const struct cw_owner *owner, struct cw_owner_stats *out);

/* A worker as the owner sees it; texts are borrowed during the call. */
struct cw_owner_target_view {
    const char *id;
    const char *dc;
    const char *rack;
    const char *state; /* ready, avoided, cordoned, draining, silent or gone */
    int64_t free_accelerators;
};

/* Calls `see` for each worker that this VM decides for. */
void cw_owner_each_target(const struct cw_owner *owner,
                          void (*see)(void *context,
                                      const struct cw_owner_target_view *view),
                          void *context);

/* Writes why a job is where it is, for people.  False if this VM does not
 * decide, or does not know the job. */
bool cw_owner_explain(struct cw_owner *owner, const char *job,
                      struct timespec now, GString *out);

#endif

/* The owner of a shard: the VM that assigns tasks to workers and renews the
 * workers' leases.
 *
 * The store decides which VM owns a shard: a group assigns the shard's
 * partition to one member, and an append under a higher epoch fences every
 * earlier owner.  The epoch is also the fencing token in orders to workers.
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
#include "curlewcart/cw_peers.h"
#include "curlewcart/cw_replica.h"
#include "curlewcart/cw_routing.h"
#include "curlewcart/cw_store.h"
#include "curlewcart/cw_target.h"

/* The store's group whose members are assigned the shards. */
#define CW_OWNER_GROUP "owners"

/* The topic of the jobs' states: written by the owner of a shard, read by the
 * VM that takes the shard over. */
#define CW_STATE_TOPIC "keyed.states"

struct cw_owner_options {
    struct cw_store *store;
    struct cw_targets *targets;
    struct cw_peers *peers; /* NULL: leases are renewed without the support of
                               other VMs */
    const struct cw_codec *codec;
    struct cw_clock *clock;
    struct cw_replica *replica;
    struct cw_counters *counters;
    const char *vm;         /* name of this VM; copied */
    const char *member;     /* group member id of this process; copied */
    unsigned partition;     /* the shard */
    unsigned member_ttl_ms; /* the store drops a member that has not repeated
                               its join for this long */
    unsigned lease_ms;      /* longest lease that workers accept */
    unsigned standby_read_interval_ms; /* between reads of the log of jobs
                                 while another VM is the owner; 0:
                                 CW_STANDBY_READ_INTERVAL_MS */
    unsigned retain_ms;  /* minimum time for which ended jobs are retained */
    size_t record_bytes; /* limit of a record in the store; 0: the default */
    unsigned capacity_milli;    /* this VM's processor, thousandths of a core;
                                   0: unknown, taken as one core */
    bool exposes_placements;    /* callers may query where their jobs ran */
    unsigned connections_max;   /* limit on open connections; 0: none */
    unsigned report_ms;         /* interval of workers' reports; 0: 1.5 s */
    struct cw_cordons *cordons; /* operator commands; NULL: none */
    unsigned cancel_ms; /* limit on the time from a cancellation's being stored
                           to the last start of its job; 0: no limit */
    unsigned cordon_ms; /* limit on the time from a data centre's cordon to the
                           last start of a run there; 0: no limit */
};

struct cw_owner;

/* Creates an owner without a shard; it joins the group in its first ticks. */
struct cw_owner *cw_owner_create(const struct cw_owner_options *options);
void cw_owner_free(struct cw_owner *owner);

/* Puts another configuration in force; takes a reference. */
void cw_owner_configure(struct cw_owner *owner, struct cw_routing *routing);

/* To be called when a data centre was cordoned or uncordoned. */
void cw_owner_cordons_changed(struct cw_owner *owner);

/* Yields the shard permanently and leaves the group. */
void cw_owner_leave(struct cw_owner *owner);

/* Does the work that is due; returns when it has to be called next. */
struct timespec cw_owner_tick(struct cw_owner *owner, struct timespec now);

/* True while this VM is the owner and makes decisions. */
bool cw_owner_active(const struct cw_owner *owner);

/* Values for metrics. */
/* What keeps a waiting job from the spare capacity that workers report.  Of
 * several kinds, the one that applies to most of the capacity. */
enum cw_owner_refusal {
    CW_OWNER_REFUSAL_UNKNOWN,  /* not determined yet */
    CW_OWNER_REFUSAL_NO_ROOM,  /* its unit, a task or a gang, does not fit */
    CW_OWNER_REFUSAL_ONCE,     /* its unit fits, but not twice */
    CW_OWNER_REFUSAL_BOOKED,   /* assigned to runs that are not confirmed */
    CW_OWNER_REFUSAL_AVOIDED,  /* workers that failed, were late or are slow */
    CW_OWNER_REFUSAL_RACK,     /* racks that are reserved for gangs */
    CW_OWNER_REFUSAL_URGENT,   /* headroom for urgent work */
    CW_OWNER_REFUSAL_ONE_RACK, /* it asks for one rack, and none has room */
    CW_OWNER_REFUSAL_FREE,     /* none: the next placement pass may use it */
    CW_OWNER_REFUSALS
};

/* Returns the name for logs and metrics. */
const char *cw_owner_refusal_name(enum cw_owner_refusal refusal);

struct cw_owner_stats {
    unsigned jobs;
    unsigned targets;
    unsigned runs;
    unsigned waiting; /* jobs that could run and have not for 3 s or more,
                         while most of their workers' capacity, or twice the
                         capacity that they need, is free */
    int64_t longest_wait_ms; /* of those jobs */
    /* Of all jobs that have waited for 3 s or more, also without capacity. */
    int64_t longest_by_refusal_ms[CW_OWNER_REFUSALS];
    unsigned repeating; /* tasks that have lost three runs in a row */
};
void cw_owner_stats(const struct cw_owner *owner, struct cw_owner_stats *out);

/* A worker as known to the owner; texts are borrowed during the call. */
struct cw_owner_target_view {
    const char *id;
    const char *dc;
    const char *rack;
    const char *state; /* ready, avoided, cordoned, draining, silent or gone */
    int64_t free_accelerators;
};

/* Calls `visit` for each worker known to this VM as the owner. */
void
cw_owner_each_target(const struct cw_owner *owner,
                     void (*visit)(void *context,
                                   const struct cw_owner_target_view *view),
                     void *context);

/* Writes for operators why a job waits or runs.  False if this VM is not the
 * owner, or does not have the job. */
bool cw_owner_explain(struct cw_owner *owner, const char *job,
                      struct timespec now, GString *out);

#endif

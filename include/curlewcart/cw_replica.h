/* A VM's copy of all jobs of a shard, built from the shard's log of jobs.
 *
 * Besides jobs the log holds records that VMs write for each other: the
 * processor of a VM, an owner's heartbeats, lease notes (workers whose leases
 * the owner no longer extends), the epochs under which a VM was the owner and
 * their ends, and hints (ends of runs that a former owner received and could
 * not store).
 *
 * Three kinds of records make up a job: its specification (written by any VM),
 * a cancellation (by any VM) and its state (by the owner of the shard, with
 * fencing).  Their order in the log counts: a cancellation takes effect if it
 * comes before the record that ends the job.  It may come before the
 * specification: a VM that does not find a job cannot know whether a write of
 * the job is still in flight.
 *
 * If the store has dropped records that were not read yet, the newest record
 * of each key is loaded.  What such a load does not contain, and what the log
 * does not bring from the load's first page on, does not exist any more.  What
 * else an owner has to store about a job goes into another log
 * (CW_STATE_TOPIC).
 */
#ifndef CURLEWCART_CW_REPLICA_H
#define CURLEWCART_CW_REPLICA_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_follower.h"
#include "curlewcart/cw_work.h"

/* The topic of the log of jobs; a shard is one partition of it. */
#define CW_JOBS_TOPIC "keyed.jobs"

/* Minimum time between two reads of the log of jobs: on the owner, so that
 * jobs start soon; on a standby whose callers wait until their jobs have
 * ended, so that they are answered within 200 ms; on a standby whose callers
 * query it, which reads at once when queried (cw_entry_query_fresh) and
 * otherwise reads only to be able to take over. */
#define CW_OWNER_READ_INTERVAL_MS 5
#define CW_STANDBY_READ_INTERVAL_MS 150
#define CW_ON_DEMAND_READ_INTERVAL_MS 500

/* A request to cancel a job that its writer had not found. */
struct cw_replica_cancel {
    uint64_t offset;
    char *queue;
    char *account; /* NULL: any */
};

/* A job, built from those of its records that were read. */
struct cw_replica_job {
    char *id;
    struct timespec first_read_at; /* of any of its records */
    struct cw_work_spec *spec; /* NULL while only other records were read */
    GBytes *record;            /* its state: struct cw_work_record without
                                  its tasks, encoded; or NULL */
    unsigned recorded_phase;   /* from `record` */
    bool started;              /* from `record` */
    int64_t ended_ms;          /* from `record`: wall time of the end, or 0 */
    bool cancelled;
    uint64_t spec_offset;
    uint64_t record_offset;
    uint64_t cancel_offset;  /* of the earliest attempt to cancel */
    GPtrArray *cancel_keys;  /* char *, of all attempts to cancel */
    GArray *unknown_cancels; /* struct cw_replica_cancel; `cancelled` says
                                whether one of them applies */
    GPtrArray *hints;        /* struct cw_hint_record */
    GPtrArray *hint_keys;    /* char *, of `hints` */
};

/* Note that neither the owner that wrote it nor a later one extends a worker's
 * lease until the note is dropped.  The note was written before `read_at`, so
 * that the lease has expired `left_ms` after `read_at`, on this VM's clock. */
struct cw_replica_lease_note {
    uint64_t offset;
    struct timespec read_at;
    unsigned left_ms;
};

/* The last epoch under which a VM was the owner, and the last epoch whose end
 * it has recorded. */
struct cw_replica_epoch {
    uint64_t epoch;         /* 0: none is known */
    unsigned lease_ms;      /* longest lease granted, on a worker's clock */
    uint64_t settled_below; /* leases granted under lower epochs have expired
                             */
    uint64_t offset;
    uint64_t end_epoch;          /* the VM no longer extends leases granted
                                    under this epoch or an earlier one;
                                    0: none */
    struct timespec end_read_at; /* on this VM's clock */
    unsigned left_ms;            /* this long after `end_read_at` all these
                                    leases have expired */
    GHashTable *sooner;          /* worker -> ms: leases that expire before */
    uint64_t end_offset;
    struct cw_replica_lease_terms {
        uint64_t epoch;          /* to which they apply; 0: none */
        unsigned lease_ms;       /* longest lease granted on these terms */
        unsigned longer_left_ms; /* leases of this VM on earlier terms
                                    have expired this long after
                                    `read_at` */
        struct timespec read_at; /* on this VM's clock */
        GPtrArray *voters;       /* addresses of VMs; leases are renewed only
                                    while most of them support the owner; empty:
                                    without support */
        uint64_t offset;
    } terms; /* the last ones that the VM has recorded */
    /* Leases granted under this epoch count from the request for the support
     * that allowed them; 0: they may count from the order. */
    uint64_t leases_from_support;
    uint64_t lease_start_offset;
};

/* The terms on which the VM grants leases under its last epoch; NULL if it has
 * recorded none.  Borrowed. */
const struct cw_replica_lease_terms *
cw_replica_epoch_terms(const struct cw_replica_epoch *epoch);

/* True if leases that the VM grants under its last epoch with the support of
 * other VMs count from the request for that support. */
bool
cw_replica_epoch_leases_from_support(const struct cw_replica_epoch *epoch);

/* True if the VM has recorded the end of the last epoch under which it was the
 * owner. */
bool cw_replica_epoch_has_ended(const struct cw_replica_epoch *epoch);

/* Upper limit of the time from `end_read_at` to the expiry of the worker's
 * lease, if that VM granted it; with `worker` NULL, of any worker's lease. */
int64_t cw_replica_epoch_lease_left_ms(const struct cw_replica_epoch *epoch,
                                       const char *worker);

/* Callbacks of a replica; any may be NULL. */
struct cw_replica_listener {
    /* A job's specification or cancellation was read. */
    void (*job_changed)(void *context, struct cw_replica_job *job);
    /* A job does not exist any more: its records were deleted in a part of the
     * log that this VM has not read.  It is freed after the call. */
    void (*job_removed)(void *context, const struct cw_replica_job *job);
    /* A hint was read: ends of runs that a former owner could not store. */
    void (*hint_received)(void *context, const struct cw_replica_job *job,
                          const struct cw_hint_record *hint);
    /* A read was answered: all records before the position were applied. */
    void (*advanced)(void *context);
    /* A VM has announced its processor, in thousandths of a core. */
    void (*vm_announced)(void *context, const char *vm,
                         unsigned capacity_milli);
    /* A VM became the owner under an epoch, or recorded the epoch's end. */
    void (*epoch_began)(void *context, uint64_t epoch);
    void (*epoch_ended)(void *context, const char *vm);
    /* A record written by an owner was read. */
    void (*owner_record_received)(void *context);
    /* The owner of the epoch has told that it leaves. */
    void (*owner_left)(void *context, uint64_t epoch);
    void *context;
};

struct cw_replica_options {
    struct cw_store *store;
    struct cw_clock *clock;
    unsigned partition;
    unsigned read_interval_ms;
};

struct cw_replica;

/* Creates a replica; call cw_follower_tick on its follower to run it. */
struct cw_replica *cw_replica_create(const struct cw_replica_options *options);
void cw_replica_free(struct cw_replica *replica);

/* Sets the callbacks; copies `listener`. */
void cw_replica_set_listener(struct cw_replica *replica,
                             const struct cw_replica_listener *listener);

/* The follower of the log of jobs.  Borrowed. */
struct cw_follower *cw_replica_follower(struct cw_replica *replica);

/* A job by id, or NULL.  Borrowed until its records are deleted. */
struct cw_replica_job *
cw_replica_find_job(const struct cw_replica *replica, const char *id);

/* All jobs: id -> struct cw_replica_job.  Borrowed. */
GHashTable *cw_replica_jobs(const struct cw_replica *replica);

/* All lease notes: worker -> struct cw_replica_lease_note.  Borrowed. */
GHashTable *cw_replica_lease_notes(const struct cw_replica *replica);

/* All epochs: VM -> struct cw_replica_epoch.  Borrowed. */
GHashTable *cw_replica_epochs(const struct cw_replica *replica);

/* True if a request to cancel the job, made while it was not known, has been
 * read for this queue and account (NULL: any). */
bool cw_replica_cancels_unknown(const struct cw_replica_job *job,
                                const char *queue, const char *account);

/* The job's phase by the order of its records (enum cw_work_phase). */
unsigned cw_replica_phase(const struct cw_replica_job *job);

/* Applies a record; also called for records that this VM has appended. */
void cw_replica_apply(struct cw_replica *replica,
                      const struct cw_store_record *record);

/* Number of jobs of a queue and an account that have not ended and none of
 * whose tasks has been started.  NULL matches any queue or account. */
unsigned cw_replica_count_waiting(const struct cw_replica *replica,
                                  const char *queue, const char *account);

#endif

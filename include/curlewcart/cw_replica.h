/* Every VM's copy of the jobs that the store holds, folded from its log.
 *
 * Beside jobs the log holds what VMs tell each other: their processors, that
 * an owner is there, which workers' leases it extends no more, under which
 * epoch a VM decided and whether it has ended, and which ends a former owner
 * saw and could not store.
 *
 * Three kinds of records make a job: its specification (any VM), a mark that
 * it was cancelled (any VM), and where it stands (the owner of the shard,
 * fenced).  Their order in the log decides: a cancellation counts if it stands
 * before the record that ends the job.  What else an owner has to keep of a
 * job goes into a log of its own (CW_STATE_TOPIC).
 */
#ifndef CURLEWCART_CW_REPLICA_H
#define CURLEWCART_CW_REPLICA_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_follower.h"
#include "curlewcart/cw_work.h"

/* The topic that jobs are kept in; a shard is one partition of it. */
#define CW_JOBS_TOPIC "keyed.jobs"

/* Least time between two reads of it: an owner starts work soon; a standby
 * that holds callers until their work is over tells them within a fifth of a
 * second; one whose callers ask looks when they do (cw_entry_query_fresh), and
 * reads in between only so that it can take over. */
#define CW_OWNER_READ_INTERVAL_MS 5
#define CW_STANDBY_READ_INTERVAL_MS 150
#define CW_ON_DEMAND_READ_INTERVAL_MS 500

/* What is known of a job. */
struct cw_replica_job {
    char *id;
    struct cw_work_spec *spec; /* NULL while only other records are known */
    GBytes *record;            /* struct cw_work_record without its tasks,
                                  encoded; or NULL */
    unsigned recorded_phase;   /* of `record` */
    bool started;              /* of `record` */
    int64_t ended_ms;          /* of `record`: wall time of its end, or 0 */
    bool cancelled;
    uint64_t spec_offset;
    uint64_t record_offset;
    uint64_t cancel_offset; /* of the earliest attempt */
    GPtrArray *cancel_keys; /* char *, of all attempts */
    GPtrArray *hints;       /* struct cw_hint_record */
    GPtrArray *hint_keys;   /* char *, of these */
};

/* A worker whose lease the owner that wrote so extends no more, and none after
 * it, until the note is dropped.  Reading is later than writing: the lease is
 * over `left_ms` after `read_at`, on this VM's clock. */
struct cw_replica_lease_note {
    uint64_t offset;
    struct timespec read_at;
    unsigned left_ms;
};

/* The last epoch under which a VM decided, and what it has said of its end. */
struct cw_replica_epoch {
    uint64_t epoch;         /* 0: none is known */
    unsigned lease_ms;      /* the longest that it gave, of a worker's clock */
    uint64_t settled_below; /* leases given under epochs below it are over */
    uint64_t offset;
    uint64_t end_epoch;          /* 0: none has ended; else it extends no
                                    lease given under it or an earlier one */
    struct timespec end_read_at; /* on this VM's clock */
    unsigned left_ms;            /* all of those are over so long after */
    GHashTable *sooner;          /* worker -> ms: its own is over before */
    uint64_t end_offset;
};

/* True if the VM has said so of the last epoch under which it decided. */
bool cw_replica_epoch_has_ended(const struct cw_replica_epoch *epoch);

/* How long after `end_read_at` the worker's lease may last, if that VM gave
 * it; NULL: any worker's. */
int64_t cw_replica_epoch_lease_left_ms(const struct cw_replica_epoch *epoch,
                                       const char *worker);

/* Who hears of changes; members may be NULL. */
struct cw_replica_listener {
    /* A job's specification or cancellation was read. */
    void (*job_changed)(void *context, struct cw_replica_job *job);
    /* A former owner tells ends of the job that it could not store. */
    void (*hint_received)(void *context, const struct cw_replica_job *job,
                          const struct cw_hint_record *hint);
    /* A read was answered: everything up to the position is folded. */
    void (*advanced)(void *context);
    /* A VM has announced its processor, in thousandths of a core. */
    void (*vm_announced)(void *context, const char *vm,
                         unsigned capacity_milli);
    /* A VM began to decide under an epoch, or tells that it has ended. */
    void (*epoch_began)(void *context, uint64_t epoch);
    void (*epoch_ended)(void *context, const char *vm);
    /* A record of an owner was read. */
    void (*owner_record_received)(void *context);
    void *context;
};

struct cw_replica_options {
    struct cw_store *store;
    struct cw_clock *clock;
    unsigned partition;
    unsigned read_interval_ms;
};

struct cw_replica;

struct cw_replica *cw_replica_create(const struct cw_replica_options *options);
void cw_replica_free(struct cw_replica *replica);
void cw_replica_set_listener(struct cw_replica *replica,
                             const struct cw_replica_listener *listener);

struct cw_follower *cw_replica_follower(struct cw_replica *replica);

/* A job by id, or NULL.  Borrowed until its records are dropped. */
struct cw_replica_job *
cw_replica_find_job(const struct cw_replica *replica, const char *id);

/* All jobs: id -> struct cw_replica_job.  Borrowed. */
GHashTable *cw_replica_jobs(const struct cw_replica *replica);

/* All notes: worker -> struct cw_replica_lease_note.  Borrowed. */
GHashTable *cw_replica_lease_notes(const struct cw_replica *replica);

/* All epochs: VM -> struct cw_replica_epoch.  Borrowed. */
GHashTable *cw_replica_epochs(const struct cw_replica *replica);

/* Where the job stands in log order (enum cw_work_phase). */
unsigned cw_replica_phase(const struct cw_replica_job *job);

/* Folds a record; also called for what this VM appended itself. */
void cw_replica_apply(struct cw_replica *replica,
                      const struct cw_store_record *record);

/* Jobs of which no task has been started, of a queue and an account; NULL:
 * of any. */
unsigned cw_replica_count_waiting(const struct cw_replica *replica,
                                  const char *queue, const char *account);

#endif

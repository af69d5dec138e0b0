/* Internal state and functions of the owner: jobs with their tasks, workers
 * with their runs. */
#ifndef CURLEWCART_OWNER_PRIVATE_H
#define CURLEWCART_OWNER_PRIVATE_H

#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_headroom.h"
#include "curlewcart/cw_log.h"
#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_time.h"
#include "curlewcart/cw_xdr.h"
#include "owner/internal/owner_append_watch.h"
#include "owner/internal/owner_boot_times.h"
#include "owner/internal/owner_departures.h"
#include "owner/internal/owner_due.h"
#include "owner/internal/owner_epochs.h"
#include "owner/internal/owner_gang_ends.h"
#include "owner/internal/owner_idle.h"
#include "owner/internal/owner_lease_terms.h"
#include "owner/internal/owner_leases.h"
#include "owner/internal/owner_incarnations.h"
#include "owner/internal/owner_log.h"
#include "owner/internal/owner_orphans.h"
#include "owner/internal/owner_quorum.h"
#include "owner/internal/owner_state_reader.h"

struct owner_job;
struct owner_step;
struct owner_target;

/* A worker's clock may run slow by this much, so that a lease lasts that much
 * longer there than granted. */
enum { OWNER_CLOCK_DRIFT_PERCENT = 2 };

/* Limit on the restarts of a step because of slow workers, or because it is
 * spread over racks. */
enum { OWNER_MOVES_MAX = 2 };

/* Phase of a run: the execution of a task on a worker, from its placement
 * until the worker is known not to execute it and not to start it later. */
enum run_phase {
    RUN_RESERVED,   /* waits until other runs have freed its capacity */
    RUN_NEW,        /* placed; not in the store yet */
    RUN_COMMITTING, /* in the batch that is being written to the store */
    RUN_READY,      /* durable; its start order is queued */
    RUN_STARTING,   /* the start order was sent */
    RUN_RUNNING,    /* the worker has confirmed it */
    RUN_INHERITED   /* of an earlier owner; the worker was not polled yet */
};

struct owner_run {
    struct owner_target *target;
    struct owner_task *task;
    unsigned number;
    /* Boot time of the incarnation that the start was sent to; 0 unknown. */
    int64_t boot_ms;
    enum run_phase phase;
    bool stopping;    /* to be stopped by an order */
    bool stop_queued; /* a stop order is queued or in flight */
    bool stop_confirmed;
    bool gang_done;    /* its gang is done; only its own end is outstanding */
    bool on_probation; /* of a suspect task, without progress yet */
    /* Uses reserved headroom: not one of the worker's lower_priority_runs. */
    bool headroom_borrowed;
    struct timespec stop_due; /* no stop is sent before this time */
    struct timespec stop_confirmed_at;
    struct timespec created_at;
    struct timespec durable_at; /* its placement was stored */
    struct timespec first_sent_at;
    struct timespec sent_at;    /* its start was last sent */
    struct timespec started_at; /* its start was confirmed */
    struct timespec progress_at;
    struct timespec saved_at; /* newest known checkpoint */
    unsigned percent;
    unsigned unanswered;  /* starts without an answer */
    unsigned starts_sent; /* by this owner */
    /* The ends of other members of its gang prove nothing about it;
     * owner_gang_ends.c. */
    bool gang_end_doubtful;
    /* Another member of its gang has failed in the same run, which was
     * counted.
     */
    bool gang_failure_counted;
    /* owner_speed.c: percent per second over the last window */
    struct timespec window_at;
    unsigned window_percent;
    struct timespec rate_at;
    bool rate_known;
    bool unmeasurable; /* an invalid report leaves its progress unknown */
    double rate;
    double best_rate;
    /* Its rate on a typical worker, as a logarithm with its variance. */
    bool typical_rate_known;
    struct cw_rate_vote typical_rate;
};

struct owner_task {
    struct owner_step *step;
    unsigned index;
    unsigned last_run; /* highest run number used */
    unsigned failures;
    unsigned lost_runs;  /* in a row, without an end; owner_idle.c */
    unsigned suspicion;  /* of crashing its workers; owner_crashes.c */
    bool shown_progress; /* by a run, to this owner */
    /* A suspect task is not placed before this time. */
    struct timespec delayed_until;
    struct timespec idle_since; /* its last running run was removed */
    /* Of a gang: number of a run that is over, but whose end was not heard; 0:
     * none.  Its worker (NULL: not known to this owner), and when the worker's
     * lease is over; owner_gang_ends.c. */
    unsigned unheard_run;
    bool unheard_counted; /* that run was counted as failed */
    const struct owner_target *unheard_on;
    struct timespec unheard_until;
    bool done;
    char *saved;           /* newest checkpoint, or NULL */
    struct owner_run *run; /* or NULL */
};

struct owner_step {
    struct owner_occurrence *occurrence;
    unsigned number;
    const struct cw_step_spec *spec; /* borrowed from the job's spec */
    bool done;
    unsigned failures; /* of the gang: number of its runs that failed */
    unsigned runs;     /* number of tasks that have a run */
    struct owner_task *tasks;
    unsigned count;
    unsigned left;     /* number of tasks that are not done */
    unsigned suspects; /* number of tasks that are suspected of crashes */
    struct timespec ready_at;
    bool ready;
    /* capacity_version at the last attempt that failed. */
    uint64_t tried_capacity_version;
    struct timespec tried_at;
    unsigned moves; /* restarts that were useful and not necessary */
    struct timespec rack_reservation_until; /* a rack is reserved for it */
    struct timespec rack_checked_at;        /* owner_step_needs_rack */
    bool rack_can_hold;
    /* Highest number of a run of the gang that certainly did no work, as a
     * member was not started. */
    unsigned unstarted_run_max;
    struct owner_gang_ends gang_ends;
};

/* A worker that has confirmed runs of a job, and how many. */
struct owner_job_placement {
    char *worker;
    char *dc;
    unsigned runs;
};

struct owner_occurrence {
    struct owner_job *job;
    unsigned number;
    struct owner_step *steps;
    unsigned count;
};

enum { OWNER_PERMISSIONS_MAX = 8 };

/* Data centres for which a job's permission was computed; owner_residency.c.
 */
struct owner_permissions {
    bool valid;
    bool all;        /* all data centres are permitted */
    unsigned config; /* `config_number` of the owner */
    unsigned count;
    const char *dcs[OWNER_PERMISSIONS_MAX]; /* interned */
    bool permitted[OWNER_PERMISSIONS_MAX];
};

struct owner_job {
    const struct cw_replica_job *entry; /* borrowed from the replica */
    const struct cw_work_spec *spec;    /* borrowed */
    const char *service;                /* of `spec`, interned */
    unsigned phase;                     /* enum cw_work_phase */
    bool started;
    bool start_confirmed; /* to this owner or an earlier one */
    bool final;           /* its end is in a batch: no more state changes */
    bool final_durable;   /* its end is published: all VMs can read it */
    bool dirty;           /* differs from the state stored or being stored */
    bool unpublished;     /* its outcome has to be published to all VMs */
    unsigned published_phase; /* last phase published or being published */
    bool published_started;
    int64_t ended_ms;
    enum cw_result reason; /* why it ended */
    uint64_t config;       /* version in force at its first start; 0 none */
    char *result;          /* text of the last end that had one, or NULL */
    GArray *places;        /* struct owner_job_placement: where it has run */
    unsigned next_occurrence;
    /* struct owner_occurrence, the open ones, by number.  Those below
     * next_occurrence that are not here are done. */
    GPtrArray *open;
    /* Those about its tasks; borrowed from the workers' lists. */
    GPtrArray *pending_suspicions;
    size_t checkpoints_left_out; /* of the last state, as they did not fit */
    struct timespec known_at;    /* when it was accepted, by this VM's clock */
    struct timespec objective_at; /* when it becomes late, as far as known */
    struct owner_idle idle;
    struct owner_permissions permissions;
    struct timespec placed_at; /* a run of it was last placed */
    unsigned runs;
};

/* State of a worker's lease note: a record in the log of jobs, which all VMs
 * read, that the worker's lease is no longer extended; owner_lease_notes.c. */
enum owner_lease_note {
    OWNER_LEASE_NOTE_NONE,    /* no note: the lease may be extended */
    OWNER_LEASE_NOTE_WRITTEN, /* in the batch being written, or stored */
    OWNER_LEASE_NOTE_DROPPED  /* its removal is in the batch being written */
};

/* The owner's state of a worker; owner_targets.c. */
struct owner_target {
    struct owner_due_entry due; /* first member: a heap entry is cast to it */
    struct cw_owner *owner;
    char *id;
    char *address;                   /* "" until a report is read */
    unsigned address_changes;        /* number of changes of that address */
    int64_t address_boot_ms;         /* boot time in the report that gave it */
    struct timespec address_boot_at; /* that boot time was first read */
    /* Of the last report that was not stored late. */
    uint64_t report_sequence;
    /* A report that seems to be of a former incarnation; boot_ms is 0 if there
     * is none.  Its texts are interned. */
    struct cw_target_report held_report;
    /* Its last answer that shows its own id: when it came, and the value of
     * `address_changes` when the order was sent.  0: none to this owner. */
    struct timespec identified_at;
    unsigned identified_address_changes;
    unsigned usable_in;  /* the last placement pass in which it was usable */
    const char *service; /* interned: compared by pointer */
    const char *dc;      /* interned, as is the rack */
    const char *rack;
    unsigned rack_number; /* of its rack; owner_target_set_rack */
    unsigned number;      /* counts workers in the order they became known */
    char *kind;
    struct cw_resources capacity;
    struct cw_resources used; /* by its runs, except those in RUN_RESERVED */
    /* Part of `used`: by runs being stopped. */
    struct cw_resources used_by_stopping;
    unsigned stopping;            /* number of those runs */
    struct cw_resources reserved; /* for runs in RUN_RESERVED */
    struct cw_resources orphans;  /* used by orphans; owner_orphans.c */
    GArray *orphan_runs;          /* struct owner_orphan */
    bool listed;                  /* the store has its report */
    bool draining;
    /* While draining: it does not shut down before. */
    struct timespec drain_until;
    bool superseded; /* another incarnation has refused an order for it */
    struct timespec refused_order_sent; /* that order was sent */
    /* Without runs it is polled until then to learn whether it has crashed;
     * owner_address_is_doubtful. */
    struct timespec doubtful_until;
    bool found_in_reload;        /* found while the reports are reloaded */
    struct timespec unlisted_at; /* its report was last removed; 0: never */
    /* Its last report was written after this time. */
    struct timespec reported_at;
    int64_t reported_boot_ms; /* in the report that gave the state above */
    struct owner_boot_times boot_times;   /* of other incarnations */
    struct owner_reported_list reported;  /* owner_departures.c */
    struct owner_incarnation incarnation; /* the last that answered */
    bool progress_invalid_logged;
    /* Latest end of a lease that was granted to any incarnation, by this VM's
     * clock and with drift; see also incarnation.lease_end. */
    struct timespec lease_end;
    enum owner_lease_source lease_source;
    /* The last lease of this owner that extended an earlier one, for logs:
     * when it was granted, and its length then.  0: none has. */
    struct timespec lease_granted_at;
    int64_t lease_granted_ms;
    struct timespec answered_at; /* its last answer to any order came */
    /* A start had no answer in time, and no order has been answered since. */
    bool start_unanswered;
    /* Has answered a poll since the takeover, or since its runs were given up.
     */
    bool answered;
    bool poll_in_flight;
    struct timespec poll_sent_at;
    /* When the last answered poll was sent. */
    struct timespec answered_poll_sent_at;
    /* When the leases expire that this owner's orders may have granted; 0:
     * none. */
    struct timespec own_leases_end;
    struct timespec poll_due;
    struct timespec last_busy_at; /* when it last had a run, as far as known */
    unsigned unanswered_polls;    /* in a row */
    /* When the first poll of the last series without an answer failed; not
     * reset by an answer; 0: never. */
    struct timespec unanswered_since;
    enum owner_lease_note lease_note;
    struct timespec lease_note_at; /* when the note was last written or read */
    bool lease_note_queued;        /* it is in the owner's lease_notes_due */
    bool ends_new;                 /* it is in the owner's ends_new */
    GPtrArray *tombstones;         /* owner_tombstones.c */
    bool awaits_ends; /* runs here are over without a heard end; since when,
                         and when the lease is over */
    struct timespec ends_awaited_since;
    struct timespec ends_awaited_until;
    GQueue orders; /* struct owner_order */
    unsigned orders_in_flight;
    GPtrArray *runs;              /* struct owner_run */
    unsigned lower_priority_runs; /* number of runs of lower-priority work */
    /* Number of runs on probation: while there are any, no other run is placed
     * here. */
    unsigned probation_runs;
    /* owner_crashes.c: counted if a crash of the worker is confirmed. */
    GPtrArray *pending_suspicions;
    struct timespec avoid_until;
    /* Step that the rack is reserved for; never dereferenced, as it may have
     * been freed. */
    const void *rack_reserved_for;
    unsigned rack_reserved_priority; /* of that step */
    struct timespec rack_reserved_until;
};

/* Capacity of a service's workers that is reserved for urgent work. */
struct owner_headroom {
    struct cw_headroom forecast; /* of the use by urgent work */
    bool mostly_idle;
    struct timespec job_arrived_at; /* the newest job */
    /* Limit on the workers that lower-priority work may use. */
    unsigned max_lower_priority_workers;
    unsigned lower_priority_workers; /* workers that such work uses */
    int64_t free; /* free accelerators, once stopping runs have ended */
    /* Accelerators of runs that use reserved headroom. */
    int64_t headroom_borrowed;
};

enum owner_state {
    OWNER_IDLE,        /* another VM owns the shard, or none */
    OWNER_READING,     /* gained the shard; reads the log up to its end */
    OWNER_FENCING,     /* fences earlier owners */
    OWNER_CATCHING_UP, /* reads records that they wrote before that */
    OWNER_ACTIVE
};

/* Whether this VM accepts that the shard is assigned to it;
 * owner_candidacy.c. */
struct owner_candidacy {
    GHashTable *capacities;    /* VM -> thousandths of a core, as announced */
    unsigned weak_below_milli; /* a VM with less is weak */
    bool some_weak;            /* at least one VM is weak */
    bool is_candidate;         /* this VM is a candidate for the shard */
    bool outranked; /* a stronger VM has announced itself since this VM became
                       a candidate */
    bool announcing;
    bool announced;
    struct timespec announce_due;
    /* When an owner's record was last read. */
    struct timespec owner_record_read_at;
    /* Reads have been answered since this time. */
    struct timespec reading_since;
    /* The latest epoch of an owner, and when its beginning was read. */
    uint64_t owner_epoch;
    struct timespec owner_epoch_read_at;
    uint64_t left_epoch; /* its owner has told that it leaves; 0: none */
};

/* Limit on outstanding orders; owner_order_window.c. */
struct owner_order_window {
    unsigned outstanding; /* orders that are queued or sent */
    unsigned max_outstanding;
    double mean_answer_ms; /* moving average of the time to an answer */
};

struct cw_owner {
    struct cw_owner_options options;
    char *vm;
    char *member;
    struct cw_routing *routing;
    unsigned config_number; /* incremented when `routing` is replaced */
    enum owner_state state;
    bool leaving; /* this VM is to leave the group */
    bool joined;  /* this VM is a member of the group, as far as known */
    bool partition_assigned;
    bool yielding;       /* the group has assigned the partition elsewhere */
    bool takeover_waits; /* the partition is assigned to this VM, and another
                            one goes on as the owner */
    bool takeover_may_wait; /* the takeover gives way to an owner that this VM
                               reads of before it fences */
    bool leave_unwritten;   /* this owner leaves, and has not written so */
    uint64_t generation;    /* of the group, last received */
    bool join_in_flight;
    struct timespec join_sent;
    struct timespec join_due;
    /* When the last request was sent whose answer confirmed ownership. */
    struct timespec ownership_confirmed_at;
    uint64_t epoch;
    uint64_t epoch_generation;
    unsigned epoch_count; /* epochs created in that generation */
    unsigned term; /* incremented whenever ownership is lost; answers to calls
                      of an earlier term are ignored */
    struct timespec takeover_began_at;
    struct timespec fencing_at; /* fencing of earlier owners began */
    struct timespec fenced_at;  /* earlier owners were fenced */
    struct cw_follower *reports;
    /* Reads reports of workers up to an offset that are older than those which
     * `reports` has loaded; NULL: none; owner_departures.c. */
    struct cw_follower *reports_history;
    uint64_t reports_history_end;
    bool departures_awaited; /* suspicions wait for reports */
    struct timespec departures_due;
    /* States of jobs, during a takeover. */
    struct owner_state_reader *state_reader;
    GHashTable *jobs;      /* id -> struct owner_job */
    GHashTable *targets;   /* id -> struct owner_target */
    struct owner_due *due; /* when to process each target next */
    GPtrArray *ends_new;   /* struct owner_target: ends not in a flush yet */
    GPtrArray *ends_sent;  /* ... with ends in the flush being written */
    guint flush_jobs_left; /* jobs at the front of `dirty` that belong to the
                              flush being written */
    GHashTable *targets_by_address; /* the last listed at each address */
    GHashTable *headroom;           /* service -> struct owner_headroom */
    struct owner_log *states_log;   /* CW_STATE_TOPIC */
    struct owner_log *jobs_log;     /* CW_JOBS_TOPIC */
    struct owner_append_watch states_watch;
    struct owner_append_watch jobs_watch;
    GPtrArray *dirty;       /* struct owner_job: states to be written */
    GPtrArray *unpublished; /* struct owner_job: outcomes to be published */
    GPtrArray *past_states; /* char *: ids of jobs whose states are removed */
    /* struct owner_target: lease notes to be written or dropped. */
    GPtrArray *lease_notes_due;
    /* Lease notes were written after the last outcomes: outcomes are written
     * next. */
    bool lease_notes_sent;
    struct timespec flush_due;
    struct owner_candidacy candidacy;
    bool placement_wanted; /* a placement pass is wanted */
    struct timespec placement_due;
    struct timespec starved_due; /* owner_starvation.c */
    struct timespec gather_due;  /* owner_moves.c */
    guint starved_first;         /* the step that the next scan begins with */
    guint lower_first; /* the step of lower priority that the next pass begins
                          with */
    bool borrowing_headroom; /* runs are placed in reserved headroom */
    struct owner_order_window order_window;
    struct timespec cordons_read_due; /* owner_cordons.c */
    struct timespec cancels_read_due; /* owner_cancels.c */
    /* Until then ends may be listed that an earlier owner has not heard; 0:
     * none. */
    struct timespec ends_awaited_until;
    uint64_t capacity_version; /* incremented when capacity may be freed */
    GHashTable *racks;         /* interned name -> number, from 1 */
    /* unsigned, by rack number: its workers with lower-priority work. */
    GArray *rack_lower_priority_workers;
    struct owner_available *available; /* owner_available.c */
    struct timespec sweep_due;
    struct timespec check_due;
    unsigned idle_polls_in_flight; /* to workers without runs */
    unsigned rack_reservations;    /* racks reserved in this placement pass */
    GHashTable *demand;    /* account -> accelerators of its most urgent jobs;
                              owner_demand_update */
    GArray *unpreemptible; /* owner_at_most_once.c */
    struct owner_memo *memo;   /* owner_memo.c */
    struct owner_hints *hints; /* owner_hints.c; not dropped with a term */
    struct owner_epochs *epochs;
    struct owner_lease_terms *lease_terms;
    struct owner_quorum *quorum; /* owner_epochs.c; not dropped with a term */
    struct owner_idle_stats idle_stats;
    double slow_share; /* of the workers that are slow; owner_speed.c */
    struct timespec slow_share_at;
};

/* ---- owner.c ---- */

/* True if the store confirmed recently enough that this VM is the owner.
 * Required for every order that changes a worker's state. */
bool owner_may_order(const struct cw_owner *owner, struct timespec now);

/* Records that the store has confirmed this VM as the owner, in the answer to
 * a request sent at `requested_at`. */
void
owner_confirm_ownership(struct cw_owner *owner, struct timespec requested_at);

/* Ends this VM's ownership: drops all state of the term and requests a join at
 * once. */
void owner_drop_ownership(struct cw_owner *owner, const char *reason);

static inline struct timespec
owner_now(const struct cw_owner *owner)
{
    return cw_clock_now(owner->options.clock);
}

/* Starts to take over the shard that was just gained: reads the log up to its
 * end, fences earlier owners, reads their last records, and becomes active. */
void owner_take_over(struct cw_owner *owner, struct timespec now);

/* ---- owner_group.c ---- */

/* True if this VM, which is assigned the shard, lets another one go on as the
 * owner for now. */
bool owner_group_takeover_waits(struct cw_owner *owner, struct timespec now);

/* Joins or leaves the group when that is due; returns when it has to be called
 * next at the latest. */
struct timespec owner_group_tick(struct cw_owner *owner, struct timespec now);

/* ---- owner_candidacy.c ---- */

/* Initialises and frees the owner's candidacy. */
void owner_candidacy_init(struct cw_owner *owner);
void owner_candidacy_clear(struct cw_owner *owner);

/* Records the processor capacity, in thousandths of a core, that a VM has
 * announced. */
void owner_candidacy_announced(struct cw_owner *owner, const char *vm,
                               unsigned capacity_milli);

/* Announces this VM's capacity; returns when it has to be called next at the
 * latest. */
struct timespec
owner_candidacy_tick(struct cw_owner *owner, struct timespec now);

/* True if this VM should be in the group. */
bool owner_candidacy_wants_membership(const struct cw_owner *owner,
                                      struct timespec now);

/* True if weaker VMs need a heartbeat record of this owner. */
bool owner_candidacy_heartbeat_due(const struct cw_owner *owner,
                                   struct timespec now);

/* ---- owner_endless.c ---- */

/* True if the run must not be stopped because too many other tasks of its step
 * are unavailable, or will be once the runs in `stopping_runs` (a set; NULL:
 * none) have stopped. */
bool
owner_endless_protects(const struct owner_run *run, GHashTable *stopping_runs);

/* ---- owner_drain.c ---- */

/* Records that a worker is draining, and the minimum time until it shuts down.
 */
void owner_drain_announced(struct owner_target *target, int64_t remaining_ms,
                           struct timespec now);

/* Evicts the draining worker's runs whose placement is not being stored yet;
 * others are withdrawn when their start would be sent. */
void owner_drain_give_up_unsent(struct cw_owner *owner,
                                struct owner_target *target);

/* Evicts work that would be lost when a draining worker shuts down. */
void owner_drain_tick(struct cw_owner *owner, struct owner_target *target,
                      struct timespec now);

/* ---- owner_jobs.c ---- */

/* Adopts a job of the replica; does nothing if it is known or over. */
void owner_job_adopt(struct cw_owner *owner, struct cw_replica_job *entry);
void owner_job_free(gpointer job);

/* Adds `runs` runs on a worker to the job's placements. */
void owner_job_add_placement(struct owner_job *job, const char *worker,
                             const char *dc, unsigned runs);

/* ---- owner_occurrences.c ---- */

/* Creates an occurrence of the job, with all its tasks waiting. */
struct owner_occurrence *
owner_occurrence_open(struct owner_job *job, unsigned number);
void owner_occurrence_free(gpointer occurrence);

/* The open occurrence with this number, or NULL. */
struct owner_occurrence *
owner_occurrence_find(const struct owner_job *job, unsigned number);

/* True if all steps of the occurrence are done. */
bool owner_occurrence_is_done(const struct owner_occurrence *occurrence);

/* True if the step is as it was when its occurrence was opened. */
bool owner_step_is_untouched(const struct owner_step *step);

/* Number of the job's occurrences: 1 for a job that is not scheduled. */
unsigned owner_job_occurrence_count(const struct owner_job *job);

/* Removes occurrences of a scheduled job that are done, and opens those that
 * are due; some of the latter only once earlier ones are placed, or the job's
 * state has become smaller.  Returns when the next one is due. */
struct timespec owner_job_open_due(struct cw_owner *owner,
                                   struct owner_job *job, struct timespec now);

/* ---- owner_state.c ---- */

/* Restores a job from its stored state, struct cw_work_record; false (and
 * logged) if that cannot be decoded. */
bool owner_job_restore(struct cw_owner *owner, struct owner_job *job,
                       GBytes *state);

/* Encodes the job's state for the store, in at most `bytes_max` bytes.  Leaves
 * out the longest checkpoints if they do not fit: this owner still has them, a
 * later one gets them from the workers.  NULL if the state does not fit even
 * without checkpoints.  Owned by the caller. */
GByteArray *owner_job_encode(struct owner_job *job, size_t bytes_max);

/* Encodes the job's outcome for all VMs: its state without its tasks, and
 * without its result and places if these do not fit.  Owned by the caller. */
GByteArray *
owner_outcome_encode(const struct owner_job *job, size_t bytes_max);

/* ---- owner_jobs.c ---- */

/* Marks the job's state as changed: it is written in the next batch. */
void owner_job_mark_dirty(struct cw_owner *owner, struct owner_job *job);

/* Ends a job before its work is done, and stops its runs. */
void owner_job_end(struct cw_owner *owner, struct owner_job *job,
                   enum cw_work_phase phase, enum cw_result reason);

/* Gives up a job that has not been started by its deadline. */
void owner_job_check_deadline(struct cw_owner *owner, struct owner_job *job,
                              struct timespec now);

/* Records that a worker has confirmed a start of the job, and where it runs.
 */
void owner_job_start_confirmed(struct cw_owner *owner, struct owner_job *job,
                               const struct owner_target *target);

/* Completes a step whose tasks are all done: unblocks later steps, and ends
 * the job if it is complete. */
void owner_step_done(struct cw_owner *owner, struct owner_step *step);

/* True if the job is over, its end is stored, and it has no runs: it can be
 * removed from memory. */
bool owner_job_is_removable(const struct owner_job *job);

/* The job's runs in a phase, as struct owner_run.  The caller owns the array;
 * the runs are borrowed. */
GPtrArray *owner_job_runs(const struct owner_job *job, enum run_phase phase);

/* The job's task with this occurrence, step and index, or NULL if there is
 * none; the job in `name` is ignored. */
struct owner_task *
owner_job_task(const struct owner_job *job, const struct cw_task_name *name);

/* The task with this name, or NULL if this owner has none. */
struct owner_task *
owner_task_find(const struct cw_owner *owner, const struct cw_task_name *name);

/* Name of the task; its strings are borrowed from the job. */
struct cw_task_name owner_task_name(const struct owner_task *task);

static inline struct owner_job *
owner_task_job(const struct owner_task *task)
{
    return task->step->occurrence->job;
}

/* Resources that a task of the step takes. */
static inline struct cw_resources
owner_step_need(const struct cw_step_spec *spec)
{
    struct cw_resources need = {
        .cpu_milli = spec->fills ? 0 : spec->cpu_milli,
        .memory_mb = spec->memory_mb,
        .accelerators = spec->accelerators,
    };

    return need;
}

static inline void
owner_resources_add(struct cw_resources *sum, const struct cw_resources *part)
{
    sum->cpu_milli += part->cpu_milli;
    sum->memory_mb += part->memory_mb;
    sum->accelerators += part->accelerators;
}

static inline void
owner_resources_subtract(struct cw_resources *sum,
                         const struct cw_resources *part)
{
    sum->cpu_milli -= part->cpu_milli;
    sum->memory_mb -= part->memory_mb;
    sum->accelerators -= part->accelerators;
}

/* Tasks of the step that are neither done nor have a run. */
static inline unsigned
owner_step_waiting_tasks(const struct owner_step *step)
{
    return step->left - MIN(step->left, step->runs);
}

/* ---- owner_runs.c ---- */

/* Creates a run of a task that has none, and books its resources. */
struct owner_run *
owner_run_create(struct cw_owner *owner, struct owner_task *task,
                 struct owner_target *target, enum run_phase phase,
                 unsigned number);

/* Frees a run that the worker does not execute and never will. */
void owner_run_drop(struct cw_owner *owner, struct owner_run *run);

/* Stops a run; it is dropped once it has ended. */
void owner_run_stop(struct cw_owner *owner, struct owner_run *run);

/* Drops a run that is lost without a reported end.  `worked`: it may have been
 * executed, at least in part. */
void owner_run_lost(struct cw_owner *owner, struct owner_run *run, bool worked,
                    const char *reason);

/* Drops the runs on the worker for which `is_lost` is true; they may have been
 * executed. */
void owner_runs_lost_if(struct owner_target *target,
                        bool (*is_lost)(const struct owner_run *run),
                        const char *reason);

/* Name of a phase, for logs.  Borrowed, static. */
const char *owner_run_phase_name(enum run_phase phase);

/* Stops all runs of a step. */
void owner_step_stop(struct cw_owner *owner, struct owner_step *step);

/* Evicts a run from its worker: stops it, and if it belongs to a gang the
 * whole gang. */
void owner_run_evict(struct cw_owner *owner, struct owner_run *run);

/* Turns reserved runs whose capacity is free into new ones. */
void owner_runs_promote_reserved(struct cw_owner *owner,
                                 struct owner_target *target);

/* Stores a checkpoint that a worker has reported; "": none. */
void owner_task_save_checkpoint(struct owner_task *task, const char *saved);

/* Applies an end that a worker has reported. */
void owner_run_ended(struct cw_owner *owner, struct owner_target *target,
                     const struct cw_ended *ended);

/* ---- owner_moves.c ---- */

/* True if the run may be evicted though it makes progress: there is free
 * capacity elsewhere for all that is evicted with it, or other work can be
 * preempted. */
bool owner_run_may_move(struct cw_owner *owner, const struct owner_run *run,
                        struct timespec now);

/* Evicts a run for a cause other than its own job. */
void owner_run_evict_for(struct cw_owner *owner, struct owner_run *run,
                         enum owner_idle_cause cause);

/* ---- owner_hints.c ---- */

/* Creates and frees the hints of an owner. */
struct owner_hints *owner_hints_create(void);
void owner_hints_free(struct owner_hints *hints);

/* Records an end that was applied and is not stored yet. */
void
owner_hints_add_end(struct owner_target *target, const struct cw_ended *ended);

/* Queues hints for the next owner of ends on draining workers that are not
 * known to be stored; to be called before the owner drops its workers. */
void owner_hints_queue_unstored(struct cw_owner *owner);

/* Sends hints that are due; returns when it has to be called next. */
struct timespec owner_hints_tick(struct cw_owner *owner, struct timespec now);

/* Applies a hint of a former owner about the job. */
void owner_hint_apply(struct cw_owner *owner, const char *job,
                      const struct cw_hint_record *hint);

/* Applies all hints of former owners. */
void owner_hints_apply_all(struct cw_owner *owner);

/* ---- owner_at_most_once.c ---- */

/* True if the run must not be stopped to make way for others: its job is
 * at-most-once, and it may have begun to work. */
bool owner_at_most_once_protects(const struct owner_run *run);

/* Creates the table of accelerators, by service and account, of runs that
 * cannot be preempted.  A run is counted while it exists: `sign` is 1 when it
 * was created, -1 before it is dropped. */
GArray *owner_unpreemptible_new(void);
void owner_at_most_once_count(struct cw_owner *owner,
                              const struct owner_run *run, int sign);

/* True if the step's waiting tasks, once started, would leave every other
 * account's guarantee reclaimable. */
bool owner_at_most_once_may_start(const struct cw_owner *owner,
                                  const struct owner_step *step);

/* Ends the job of a run that is over without being done, if the job is
 * at-most-once and the run may have worked; to be called before the run is
 * dropped. */
void owner_at_most_once_run_over(struct cw_owner *owner,
                                 const struct owner_run *run, bool worked,
                                 enum cw_result reason);

/* ---- owner_residency.c ---- */

/* True if the job may run in the data centre, under the configuration in
 * force. */
bool owner_dc_permitted(const struct cw_owner *owner, struct owner_job *job,
                        const char *dc);

/* Stops runs in data centres that their accounts no longer permit. */
void owner_residency_enforce(struct cw_owner *owner);

/* ---- owner_runs.c ---- */

/* Marks a task as done, after a worker has reported as done a run that is not
 * its current one; stops the current run. */
void owner_task_done_late(struct cw_owner *owner, struct owner_task *task);

/* Evicts the worker's runs whose placement is not being stored yet, so that
 * their tasks are placed elsewhere; calls `log` for each before. */
void
owner_unsent_runs_give_up(struct cw_owner *owner, struct owner_target *target,
                          void (*log)(const struct cw_owner *owner,
                                      const struct owner_run *run,
                                      struct timespec now));

/* Time for a start in flight, as part of the time that a cordon or a
 * cancellation may take to become effective: the start's timeout, and the same
 * again for a slow worker. */
enum { OWNER_START_IN_FLIGHT_MS = 1000 };

/* ---- owner_cancels.c ---- */

/* True if cancellations are known recently enough for a start.  Otherwise
 * reads them, and sets `next` to an earlier time if that is due. */
bool owner_cancels_known(struct cw_owner *owner, struct timespec now,
                         struct timespec *next);

/* ---- owner_cordons.c ---- */

/* True if the configuration and the operators' commands allow starting work in
 * the worker's data centre. */
bool owner_target_accepts_work(const struct owner_target *target);

/* False if operators' commands were not read for so long that starts have to
 * wait; then `next` is brought forward to the time to check again. */
bool owner_cordons_known(struct cw_owner *owner, struct timespec now,
                         struct timespec *next);

/* Logs that a run's start is given up because of a cordon. */
void owner_cordon_log(const struct cw_owner *owner,
                      const struct owner_run *run, struct timespec now);

/* ---- owner_targets.c ---- */

/* Frees a worker with its runs and queued orders. */
void owner_target_free(gpointer target);

/* Sets the worker's rack and updates the counts per rack. */
void owner_target_set_rack(struct owner_target *target, const char *rack);

/* Makes the worker due at the next tick, after a change that concerns it. */
void owner_target_wake(struct owner_target *target);

/* Makes all workers due at the next tick. */
void owner_targets_wake_all(struct cw_owner *owner);

/* Records that ends reported by the worker were applied: they are confirmed to
 * the worker once that is stored. */
void owner_target_ends_applied(struct owner_target *target);

/* Returns the worker with this id; creates it if necessary. */
struct owner_target *owner_target_get(struct cw_owner *owner, const char *id);

/* Applies a worker's report of itself; `context` is the owner. */
void owner_target_apply_report(void *context,
                               const struct cw_target_report *report);

/* Applies a record of the workers' topic; `context` is the owner. */
void
owner_target_apply_record(void *context, const struct cw_store_record *record);

/* Called before and after the workers' topic is loaded again from its start.
 */
void owner_targets_reset(void *context);
void owner_targets_loaded(void *context);

/* Updates the worker's clock offset from an answer. */
void owner_target_set_clock(struct owner_target *target, int64_t clock_ms,
                            struct timespec now);

/* True if a run was sent to the worker, by this owner or an earlier one. */
bool owner_target_has_ordered_run(const struct owner_target *target);

/* Milliseconds since the last poll was sent that the worker has answered, for
 * logs; -1: it has answered none of this owner's. */
int64_t owner_target_since_answer_ms(const struct owner_target *target,
                                     struct timespec now);

/* Records that the worker has answered an order with this status. */
void owner_target_answered(struct owner_target *target,
                           enum cw_target_status status, struct timespec now);

/* Returns log fields that tell when the worker answered last, and what bounds
 * its lease.  Owned by the caller. */
char *owner_target_describe_lease(const struct owner_target *target,
                                  struct timespec now);

/* Why the runs of a worker are taken to be over, for logs. */
struct owner_loss {
    const char *reason;
    /* What showed it: the kind of the order that was answered, or "lease". */
    const char *evidence;
    /* When the order that was answered was sent; 0: no order. */
    struct timespec order_sent;
};

/* Applies the report that seemed to be of a former incarnation if that one has
 * answered a poll, or if the present one does not answer; drops the report if
 * its incarnation is over. */
void owner_target_apply_held_report(struct owner_target *target);

/* Drops all runs of the worker as lost. */
void owner_target_lost(struct cw_owner *owner, struct owner_target *target,
                       const struct owner_loss *loss);

/* True if the newest report is of another incarnation than the one that
 * answered last; the kind of a worker may change with a restart. */
bool
owner_target_report_is_of_other_incarnation(const struct owner_target *target);

/* True if the worker's reported capacity can be relied on: the report is
 * recent and of the incarnation that answered last, or the worker refuses runs
 * that do not fit. */
bool owner_target_capacity_known(const struct owner_target *target,
                                 struct timespec now);

/* True if the worker accepts orders, as far as known. */
bool
owner_target_reachable(const struct owner_target *target, struct timespec now);

/* True if new tasks may be placed on the worker: it is reachable and was not
 * recently suspected of failing tasks. */
bool
owner_target_usable(const struct owner_target *target, struct timespec now);

/* Counts a task that failed or stalled on the worker. */
void
owner_target_add_failure(struct owner_target *target,
                         const struct owner_task *task, struct timespec now);

/* Resets the worker's count of failures, after a task succeeded there. */
void owner_target_add_success(struct owner_target *target);

/* Returns the worker's expected speed as a ratio to a typical worker. */
static inline double
owner_target_speed(const struct owner_target *target, struct timespec now)
{
    return cw_worker_speed_expected(&target->incarnation.speed, now);
}

/* True if the worker is shown to be slow, and that has not faded. */
static inline bool
owner_target_is_slow(const struct owner_target *target, struct timespec now)
{
    return cw_worker_speed_is_slow(&target->incarnation.speed, now);
}

/* True if the worker was measured lately and is not slow. */
static inline bool
owner_target_is_proved(const struct owner_target *target, struct timespec now)
{
    return cw_worker_speed_is_proved(&target->incarnation.speed, now);
}

/* ---- owner_orders.c ---- */

/* A start or stop order that is queued or in flight. */
struct owner_order {
    struct cw_owner *owner;
    unsigned term;
    struct owner_target *target;
    enum cw_order_kind kind;
    char *job;
    struct cw_task_name task; /* task.job points to `job` */
    unsigned run;
    struct timespec sent;
    int64_t boot_ms; /* of the incarnation that it was sent to; 0 unknown */
    unsigned address_changes; /* of its worker, when it was sent */
    struct timespec due;      /* of a start: not resent before this time */
};

/* Logs that a start is not sent, or not sent again, to the run's worker. */
void
owner_start_log_disallowed(const struct owner_run *run, const char *reason);

/* Frees an order and takes it out of the count of orders in flight. */
void owner_order_free(struct owner_order *order);

/* Queues a start or stop of a task's run. */
void owner_order_queue(struct cw_owner *owner, struct owner_target *target,
                       enum cw_order_kind kind,
                       const struct cw_task_name *task, unsigned run);

/* Sends queued orders that may be sent; returns when a failed start or stop is
 * due again. */
struct timespec
owner_orders_send(struct cw_owner *owner, struct owner_target *target,
                  struct timespec now);

/* ---- owner_order_window.c ---- */

/* Sets the initial limit, for a new owner. */
void owner_order_window_reset(struct owner_order_window *order_window);

/* Records that an order was answered after `took_ms`. */
void owner_order_window_answered(struct owner_order_window *order_window,
                                 int64_t took_ms);

/* Adapts the limit to recent answer times; to be called every 100 ms. */
void owner_order_window_adjust(struct owner_order_window *order_window);

/* True if more runs may be placed. */
bool owner_order_window_allows(const struct owner_order_window *order_window,
                               bool urgent);

/* ---- owner_polls.c ---- */

/* Polls the worker if that is due; returns when it is due next. */
struct timespec
owner_poll_tick(struct cw_owner *owner, struct owner_target *target,
                struct timespec now);

/* ---- owner_tombstones.c ---- */

/* Creates an empty array for a worker's tombstones. */
GPtrArray *owner_tombstones_new(void);

/* Adds a tombstone for a run that is given up, if its start may still arrive
 * at the worker. */
void owner_tombstone_add(const struct owner_run *run);

/* Records that the worker's queue of orders was emptied: the tombstones' stops
 * have to be queued again. */
void owner_tombstone_unqueue(struct owner_target *target);

/* True if the worker has tombstones: its lease must not be extended. */
bool owner_tombstone_pending(const struct owner_target *target);

/* Processes the answer to a stop, which a tombstone may have queued. */
void owner_tombstone_answered(struct owner_target *target,
                              const struct cw_task_name *task, unsigned run,
                              bool confirmed, struct timespec now);

/* Queues stops that are due; returns when the next one is. */
struct timespec
owner_tombstone_tick(struct owner_target *target, struct timespec now);

/* ---- owner_lease_notes.c ---- */

/* Applies the lease notes that are in the log; to be called after the bounds
 * of leases that hold without them are set. */
void owner_lease_notes_adopt(struct cw_owner *owner);

/* Queues the worker's lease note if it has to be written or dropped; returns
 * when the worker has to be processed next because of that. */
struct timespec
owner_lease_note_tick(struct cw_owner *owner, struct owner_target *target,
                      struct timespec now);

/* Writes queued lease notes to the log of jobs, which must be idle; false if
 * there are none. */
bool owner_lease_notes_send(struct cw_owner *owner, struct timespec now);

/* ---- owner_speed.c ---- */

/* Checks the progress of a run as reported by its worker; called before the
 * report is applied.  False if the value is impossible.  Progress that falls,
 * or that is of another incarnation, is possible for a run that has begun
 * anew, but not measured. */
bool owner_progress_check(struct owner_run *run, unsigned percent);

/* Processes a run's progress as reported by its worker. */
void owner_speed_observe(struct cw_owner *owner, struct owner_run *run,
                         unsigned percent, struct timespec now);

/* ---- owner_commit.c ---- */

/* Sends batches that are due to the store; returns when it has to be called
 * next. */
struct timespec owner_commit_tick(struct cw_owner *owner, struct timespec now);

/* Publishes the job's outcome to all VMs if it has changed. */
void owner_job_publish(struct cw_owner *owner, struct owner_job *job);

/* Removes the job's state from the store in a later batch. */
void owner_state_drop(struct cw_owner *owner, const char *job);

/* Removes the records of jobs that ended long ago, up to a number; returns
 * true if there may be more. */
bool owner_drop_old_records(struct cw_owner *owner);

#endif

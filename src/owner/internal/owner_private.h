/* Inside the owner: jobs with their tasks, workers with their runs. */
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
#include "owner/internal/owner_due.h"
#include "owner/internal/owner_epochs.h"
#include "owner/internal/owner_idle.h"
#include "owner/internal/owner_leases.h"
#include "owner/internal/owner_incarnations.h"
#include "owner/internal/owner_log.h"
#include "owner/internal/owner_state_reader.h"

struct owner_job;
struct owner_step;
struct owner_target;

/* A worker's clock may run slow by so many percent: by so much longer than
 * told a lease may last there. */
enum { OWNER_CLOCK_DRIFT_PERCENT = 2 };

/* A run of a task on a worker, from its placement until it is known that
 * the worker does not run it and never will. */
enum run_phase {
    RUN_RESERVED,   /* waits until others have left its place */
    RUN_NEW,        /* placed; not in the store yet */
    RUN_COMMITTING, /* in the batch under way to the store */
    RUN_READY,      /* durable; its start waits to be sent */
    RUN_STARTING,   /* the start was sent */
    RUN_RUNNING,    /* the worker has confirmed it */
    RUN_INHERITED   /* an earlier owner's; the worker was not asked yet */
};

struct owner_run {
    struct owner_target *target;
    struct owner_task *task;
    unsigned number;
    int64_t boot_ms; /* of the worker's life that it was sent to; 0 unknown */
    enum run_phase phase;
    bool stopping;    /* is to end, by order */
    bool stop_queued; /* an order to stop waits or is under way */
    bool stop_confirmed;
    bool gang_done;    /* its gang is done; only its own end is outstanding */
    bool on_probation; /* a suspect's, without progress yet */
    bool headroom_borrowed;   /* in room that is kept for others: it does not
                        make its   worker one that lower work is on */
    struct timespec stop_due; /* not tried again before */
    struct timespec stop_confirmed_at;
    struct timespec created_at;
    struct timespec sent_at;    /* its start, last */
    struct timespec started_at; /* when its start was confirmed */
    struct timespec progress_at;
    struct timespec saved_at; /* newest checkpoint, as far as known */
    unsigned percent;
    unsigned unanswered; /* starts without an answer */
    /* owner_speed.c: percent a second, over the last window */
    struct timespec window_at;
    unsigned window_percent;
    struct timespec rate_at;
    bool rate_known;
    double rate;
    double best_rate;
};

struct owner_task {
    struct owner_step *step;
    unsigned index;
    unsigned last_run; /* highest number used */
    unsigned failures;
    unsigned lost_runs; /* in a row, without an end; owner_idle_stats.c */
    unsigned suspicion; /* of crashing its workers; owner_crashes.c */
    struct timespec rack_reserved_until; /* while it is a suspect */
    struct timespec idle_since; /* a run of it was at work until then */
    bool done;
    char *saved;           /* newest checkpoint, or NULL */
    struct owner_run *run; /* or NULL */
};

struct owner_step {
    struct owner_occurrence *occurrence;
    unsigned number;
    const struct cw_step_spec *spec; /* borrowed from the job's */
    bool done;
    unsigned failures;   /* of the gang */
    unsigned failed_run; /* the gang's run that was counted last */
    unsigned runs;       /* tasks that have a run */
    struct owner_task *tasks;
    unsigned count;
    unsigned left;     /* tasks that are not done */
    unsigned suspects; /* tasks that crashes speak against */
    struct timespec ready_at;
    bool ready;
    uint64_t tried_capacity_version; /* the owner's room version when it did
                                        not fit */
    struct timespec tried_at;
    unsigned moves; /* restarts because of slow workers */
    struct timespec rack_reservation_until; /* a rack is kept clear for it */
    struct timespec rack_checked_at;        /* owner_step_needs_rack */
    bool rack_can_hold;
    unsigned
        unstarted_run_max; /* highest run of the gang of which a member was
                          certainly never started: none of it worked */
};

/* A worker that has confirmed runs of a job. */
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

struct owner_job {
    const struct cw_replica_job *entry; /* borrowed from the replica */
    const struct cw_work_spec *spec;    /* borrowed */
    const char *service;                /* of `spec`, interned */
    unsigned phase;                     /* enum cw_work_phase */
    bool started;
    bool begun;         /* a start was confirmed to this owner */
    bool final;         /* its end is in a batch: its state stays as it is */
    bool final_durable; /* all VMs can read its end */
    bool dirty;         /* differs from what the store has, or will have */
    bool unpublished;   /* all VMs are to be told where it stands */
    unsigned published_phase; /* what they were told, or are being told */
    bool published_started;
    int64_t ended_ms;
    enum cw_result reason; /* why it ended */
    uint64_t config;       /* version in force at its first start; 0 none */
    char *result;          /* text of the last end that had one, or NULL */
    GArray *places;        /* struct owner_job_placement: where it has run */
    unsigned next_occurrence;
    GPtrArray *open;              /* struct owner_occurrence */
    struct timespec known_at;     /* when this owner learnt of it */
    struct timespec objective_at; /* when it is late, as far as known */
    struct owner_idle idle;
    struct timespec placed_at; /* a run of it was placed last */
    unsigned runs;
};

/* What the log that all VMs read says of a worker's lease;
 * owner_lease_notes.c. */
enum owner_lease_note {
    OWNER_LEASE_NOTE_NONE,    /* nothing: the lease may be extended */
    OWNER_LEASE_NOTE_WRITTEN, /* it ends: in the batch under way, or stored */
    OWNER_LEASE_NOTE_DROPPED  /* ... and the taking back is in the batch under
                                 way */
};

/* A worker as the owner knows it; see owner_targets.c. */
struct owner_target {
    struct owner_due_entry due; /* first member: the heap's entry is it */
    struct cw_owner *owner;
    char *id;
    char *address;       /* "" while no report was seen */
    const char *service; /* interned: compared by its address */
    const char *dc;      /* interned, as is the rack */
    const char *rack;
    unsigned rack_number; /* of its rack; owner_target_set_rack */
    unsigned number;      /* in the order in which they became known */
    char *kind;
    struct cw_resources capacity;
    struct cw_resources used;     /* by runs that may be there */
    struct cw_resources leaving;  /* part of used: runs told to stop */
    unsigned stopping;            /* those runs */
    struct cw_resources reserved; /* by runs that wait for their place */
    struct cw_resources orphans;  /* by runs that nobody wants there */
    bool listed;                  /* the store has its report */
    bool draining;
    struct timespec drain_until; /* while draining: not before */
    bool superseded;             /* another life answers at its address */
    bool seen_in_reload;         /* while the reports are loaded anew */
    struct timespec reported_at; /* its last report was not written before */
    int64_t reported_boot_ms;    /* of the life that reported last */
    struct owner_incarnation incarnation; /* of the one that answered last */
    struct timespec lease_end; /* latest that any life was given, in our time,
                                  with its drift */
    enum owner_lease_source lease_source;
    bool answered; /* a hold, since this owner began or gave its runs up */
    bool poll_in_flight;
    struct timespec poll_sent_at;
    struct timespec
        answered_poll_sent_at; /* the last answered hold was sent */
    struct timespec poll_due;
    struct timespec last_busy_at; /* when it last had a run, as far as known */
    unsigned unanswered_polls;    /* holds in a row without an answer */
    struct timespec unresponsive_since; /* the last time that it fell silent */
    enum owner_lease_note lease_note;
    struct timespec lease_note_at; /* the note was written, or read, last */
    bool lease_note_queued; /* it is in the owner's list of notes to write */
    bool ends_new; /* it is in the owner's list of those with applied ends */
    GPtrArray *tombstones; /* owner_tombstones.c */
    GQueue orders;         /* struct owner_order */
    unsigned orders_in_flight;
    GPtrArray *runs; /* struct owner_run */
    unsigned
        lower_priority_runs; /* of them, of work that is not the most urgent */
    unsigned
        probation_runs; /* of them, on trial: no others are placed there */
    GArray
        *pending_suspicions; /* owner_crashes.c: for when a crash is proved */
    struct timespec avoid_until;
    const void *rack_reserved_for;   /* step that waits for the rack; not
                               followed,   as it may be gone */
    unsigned rack_reserved_priority; /* of that step */
    struct timespec rack_reserved_until;
};

/* Room that a service's workers keep for urgent work. */
struct owner_headroom {
    struct cw_headroom forecast; /* of what urgent work will hold */
    bool mostly_idle;
    unsigned
        max_lower_priority_workers;  /* workers that lower work may be on */
    unsigned lower_priority_workers; /* workers that it is on */
    int64_t free; /* accelerators, once what is told to leave has */
    int64_t headroom_borrowed; /* accelerators of runs in room that is kept */
};

enum owner_state {
    OWNER_IDLE,        /* another VM owns the shard, or none */
    OWNER_READING,     /* gained it; reads until it can decide at once */
    OWNER_FENCING,     /* shutting out earlier owners */
    OWNER_CATCHING_UP, /* reading what they have written */
    OWNER_ACTIVE
};

/* Whether this VM lets itself be dealt the shard; owner_candidacy.c. */
struct owner_candidacy {
    GHashTable *capacities;    /* VM -> thousandths of a core, as announced */
    unsigned weak_below_milli; /* from which on a VM is not weak */
    bool some_weak;            /* a VM is below it */
    bool is_candidate;         /* this VM lets itself be dealt the shard */
    bool outranked; /* a stronger VM has announced itself since then */
    bool announcing;
    bool announced;
    struct timespec announce_due;
    struct timespec owner_wrote_at; /* when an owner's record was read last */
    struct timespec reading_since;  /* reads have been answered since */
};

/* How many orders may be under way; owner_order_window.c. */
struct owner_order_window {
    unsigned in_flight; /* orders, queued or sent */
    unsigned max_in_flight;
    double mean_answer_ms; /* what an answer takes, averaged */
};

struct cw_owner {
    struct cw_owner_options options;
    char *vm;
    char *member;
    struct cw_routing *routing;
    enum owner_state state;
    bool leaving;
    bool joined; /* the group has it as a member, as far as known */
    bool partition_assigned;
    bool yielding;       /* the group has dealt the partition to another VM */
    uint64_t generation; /* of the group, last received */
    bool join_in_flight;
    struct timespec join_sent;
    struct timespec join_due;
    struct timespec
        ownership_confirmed_at; /* the store confirmed ownership; when asked */
    uint64_t epoch;
    uint64_t epoch_generation;
    unsigned epoch_count; /* epochs made in that generation */
    unsigned term;        /* grows whenever all below is dropped */
    struct timespec takeover_began_at;
    struct timespec fencing_at; /* when it began to shut earlier owners out */
    struct timespec fenced_at;  /* when they were */
    struct cw_follower *reports;
    struct owner_state_reader
        *stored;           /* states, while it takes the shard over */
    GHashTable *jobs;      /* id -> struct owner_job */
    GHashTable *targets;   /* id -> struct owner_target */
    struct owner_due *due; /* of the targets */
    GPtrArray *ends_new;   /* struct owner_target: ends not in a batch yet */
    GPtrArray *ends_sent;  /* ... and in the batch under way */
    GHashTable
        *targets_by_address; /* address -> struct owner_target, listed last */
    GHashTable *headroom;    /* service -> struct owner_headroom */
    struct owner_log *states_log; /* CW_STATE_TOPIC */
    struct owner_log *jobs_log;   /* CW_JOBS_TOPIC */
    GPtrArray *dirty;       /* struct owner_job: their states are written */
    GPtrArray *unpublished; /* struct owner_job: all VMs are told of them */
    GPtrArray *past_states; /* char *: jobs whose states are dropped */
    GPtrArray
        *lease_notes_due;  /* struct owner_target: notes to write or drop */
    bool lease_notes_sent; /* ... were written since outcomes were */
    struct timespec flush_due;
    struct owner_candidacy candidacy;
    bool placement_wanted;
    struct timespec placement_due;
    struct timespec starved_due; /* owner_starvation.c */
    bool borrowing_headroom;     /* runs are placed in room that is kept */
    struct owner_order_window order_window;
    struct timespec cordons_read_due; /* owner_cordons.c */
    uint64_t capacity_version; /* grows whenever room may have come free */
    GHashTable *racks;         /* interned name -> number, from 1 */
    GArray *rack_lower_priority_workers; /* unsigned, by number: workers of the
                           rack that lower work is on */
    struct owner_available *open;        /* owner_available.c */
    struct timespec sweep_due;
    struct timespec check_due;
    unsigned
        idle_polls_in_flight;   /* holds under way at workers without runs */
    unsigned rack_reservations; /* racks held back in this pass of placement */
    GHashTable *demand; /* account -> accelerators of its most urgent jobs;
                           owner_demand_update */
    struct owner_memo *memo;     /* owner_memo.c */
    struct owner_hints *hints;   /* owner_hints.c; outlasts ownership */
    struct owner_epochs *epochs; /* owner_epochs.c; outlasts ownership */
    struct owner_idle_stats waits;
};

/* ---- owner.c ---- */

/* True if the store confirmed lately enough that this VM is the owner; what
 * changes anything at a worker needs it. */
bool owner_may_order(const struct cw_owner *owner, struct timespec now);

/* The store confirmed at `asked` that this VM is the owner. */
void owner_confirm_ownership(struct cw_owner *owner, struct timespec asked);

/* Another owner was seen: drops everything and asks the store. */
void owner_drop_ownership(struct cw_owner *owner, const char *reason);

static inline struct timespec
owner_now(const struct cw_owner *owner)
{
    return cw_clock_now(owner->options.clock);
}

/* Becomes the owner of the shard that was just gained: reads up, shuts
 * earlier owners out, reads what they wrote last, and decides. */
void owner_take_over(struct cw_owner *owner, struct timespec now);

/* ---- owner_group.c ---- */

/* Joins or leaves the group as is due; returns when it wants to be called
 * next at the latest. */
struct timespec owner_group_tick(struct cw_owner *owner, struct timespec now);

/* ---- owner_candidacy.c ---- */

void owner_candidacy_init(struct cw_owner *owner);
void owner_candidacy_clear(struct cw_owner *owner);

/* A VM has announced its processor, in thousandths of a core. */
void owner_candidacy_announced(struct cw_owner *owner, const char *vm,
                               unsigned capacity_milli);

/* Announces this VM; returns when it wants to be called next at the latest. */
struct timespec
owner_candidacy_tick(struct cw_owner *owner, struct timespec now);

/* True if this VM should be in the group. */
bool owner_candidacy_wants_membership(const struct cw_owner *owner,
                                      struct timespec now);

/* True if weaker VMs wait for a sign of this owner. */
bool owner_candidacy_heartbeat_due(const struct cw_owner *owner,
                                   struct timespec now);

/* ---- owner_endless.c ---- */

/* True if so many other tasks of the run's step are away, or are in the set
 * of runs that are about to leave (NULL: none), that this one must stay. */
bool owner_endless_protects(const struct owner_run *run, GHashTable *leaving);

/* ---- owner_drain.c ---- */

/* A worker has said that it leaves, and how long it stays at least. */
void owner_drain_announced(struct owner_target *target, int64_t remaining_ms,
                           struct timespec now);

/* Moves work away that the worker, if it is leaving, would take with it. */
void owner_drain_tick(struct cw_owner *owner, struct owner_target *target,
                      struct timespec now);

/* ---- owner_jobs.c ---- */

/* Takes a job of the replica over; does nothing if it is known or over. */
void owner_job_adopt(struct cw_owner *owner, struct cw_replica_job *entry);
void owner_job_free(gpointer job);

struct owner_occurrence *
owner_occurrence_open(struct owner_job *job, unsigned number);

/* Notes that so many runs of the job were on a worker. */
void owner_job_add_placement(struct owner_job *job, const char *worker,
                             const char *dc, unsigned runs);

/* ---- owner_state.c ---- */

/* Puts a job into the state that the store has of it, struct cw_work_record;
 * false (and logged) if that cannot be read. */
bool owner_job_restore(struct cw_owner *owner, struct owner_job *job,
                       GBytes *state);

/* State for the store.  Owned by the caller. */
GByteArray *owner_job_encode(const struct owner_job *job);

/* Where the job stands, for all VMs: its state without its tasks.  Owned by
 * the caller. */
GByteArray *owner_outcome_encode(const struct owner_job *job);

/* ---- owner_jobs.c ---- */

/* Marks a job for the next batch. */
void owner_job_mark_dirty(struct cw_owner *owner, struct owner_job *job);

/* Ends a job before its work is done, and stops its runs. */
void owner_job_end(struct cw_owner *owner, struct owner_job *job,
                   enum cw_work_phase phase, enum cw_result reason);

/* Gives up a job that has not been started by its deadline. */
void owner_job_check_deadline(struct cw_owner *owner, struct owner_job *job,
                              struct timespec now);

/* A worker has confirmed a start: notes that the job runs, and where. */
void owner_job_start_confirmed(struct cw_owner *owner, struct owner_job *job,
                               const struct owner_target *target);

/* A step's tasks are all done: later steps, the occurrence, the job. */
void owner_step_done(struct cw_owner *owner, struct owner_step *step);

/* Opens occurrences that are due; returns when the next one is. */
struct timespec owner_job_open_due(struct cw_owner *owner,
                                   struct owner_job *job, struct timespec now);

/* True if the job is over, stored, and runs nowhere: it can be forgotten. */
bool owner_job_is_removable(const struct owner_job *job);

/* The job's runs in a phase, as struct owner_run.  The array is the
 * caller's, the runs are borrowed. */
GPtrArray *owner_job_runs(const struct owner_job *job, enum run_phase phase);

/* The job's task by name, without regard to the job that it names, or NULL
 * if there is none. */
struct owner_task *
owner_job_task(const struct owner_job *job, const struct cw_task_name *name);

/* Task by name, or NULL if this owner has no such task. */
struct owner_task *
owner_task_find(const struct cw_owner *owner, const struct cw_task_name *name);

struct cw_task_name owner_task_name(const struct owner_task *task);

static inline struct owner_job *
owner_task_job(const struct owner_task *task)
{
    return task->step->occurrence->job;
}

/* What a task takes. */
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

struct owner_run *
owner_run_create(struct cw_owner *owner, struct owner_task *task,
                 struct owner_target *target, enum run_phase phase,
                 unsigned number);

/* The worker does not run it and never will. */
void owner_run_drop(struct cw_owner *owner, struct owner_run *run);

/* Makes a run end; it is dropped once it has. */
void owner_run_stop(struct cw_owner *owner, struct owner_run *run);

/* The run is lost without an end of its own.  `worked`: it may have been
 * carried out, at least in part. */
void owner_run_lost(struct cw_owner *owner, struct owner_run *run, bool worked,
                    const char *reason);

/* Name of a phase, for logs.  Borrowed, static. */
const char *owner_run_phase_name(enum run_phase phase);

/* Stops all runs of a step. */
void owner_step_stop(struct cw_owner *owner, struct owner_step *step);

/* Makes a run leave its worker: a gang stops whole, a task alone. */
void owner_run_evict(struct cw_owner *owner, struct owner_run *run);

/* Turns reserved runs whose place is free into new ones. */
void owner_runs_promote_reserved(struct cw_owner *owner,
                                 struct owner_target *target);

/* Keeps a checkpoint that a worker has listed; "" is none. */
void owner_task_save_checkpoint(struct owner_task *task, const char *saved);

/* Applies an end that a worker has listed. */
void owner_run_ended(struct cw_owner *owner, struct owner_target *target,
                     const struct cw_ended *ended);

/* ---- owner_moves.c ---- */

/* True if the run may be taken from its worker though it makes progress: there
 * is room elsewhere for what leaves with it, or others can be made to leave.
 */
bool owner_run_may_move(struct cw_owner *owner, const struct owner_run *run,
                        struct timespec now);

/* Makes a run leave its worker, for a cause that does not lie in its job. */
void owner_run_evict_for(struct cw_owner *owner, struct owner_run *run,
                         enum owner_idle_cause cause);

/* ---- owner_hints.c ---- */

struct owner_hints *owner_hints_create(void);
void owner_hints_free(struct owner_hints *hints);

/* An end was applied; it is not stored yet. */
void
owner_hints_add_end(struct owner_target *target, const struct cw_ended *ended);

/* The owner is about to forget its workers: ends that are not known to be
 * stored, of workers that leave, are told to whoever decides next. */
void owner_hints_queue_unstored(struct cw_owner *owner);

/* Sends what is due; returns when it wants to be called next. */
struct timespec owner_hints_tick(struct cw_owner *owner, struct timespec now);

/* Applies what a former owner has told of the job. */
void owner_hint_apply(struct cw_owner *owner, const char *job,
                      const struct cw_hint_record *hint);

/* Applies all that former owners have told. */
void owner_hints_apply_all(struct cw_owner *owner);

/* ---- owner_at_most_once.c ---- */

/* True if the run must not be stopped for others' sake: it may have begun
 * work that must not be begun a second time. */
bool owner_at_most_once_protects(const struct owner_run *run);

/* True if the step's waiting tasks, once started, would leave every other
 * account's guarantee reclaimable. */
bool owner_at_most_once_may_start(const struct cw_owner *owner,
                                  const struct owner_step *step);

/* A run is over without being done.  Ends its job if that may be begun only
 * once and the run may have worked; call it before the run is dropped. */
void owner_at_most_once_run_over(struct cw_owner *owner,
                                 const struct owner_run *run, bool worked,
                                 enum cw_result reason);

/* ---- owner_residency.c ---- */

/* True if the job may run in the data centre, under the configuration in
 * force. */
bool owner_dc_permitted(const struct cw_owner *owner,
                        const struct owner_job *job, const char *dc);

/* Stops what runs where its data may no longer live. */
void owner_residency_enforce(struct cw_owner *owner);

/* A worker lists a run that is not the task's present one as done: the work
 * is done, and what was started for it since is stopped. */
void owner_task_done_late(struct cw_owner *owner, struct owner_task *task);

/* Gives up the places on the worker to which nothing was sent yet, so that
 * what waits for them is placed elsewhere; `log` is told of each before. */
void
owner_unsent_runs_give_up(struct cw_owner *owner, struct owner_target *target,
                          void (*log)(const struct cw_owner *owner,
                                      const struct owner_run *run,
                                      struct timespec now));

/* ---- owner_cordons.c ---- */

/* True if work may be started in the worker's data centre by the configuration
 * and the operators' orders. */
bool owner_target_accepts_work(const struct owner_target *target);

/* False if operators' orders were not read for so long that starts have to
 * wait; `next` is brought forward to when that may be over. */
bool owner_cordons_known(struct cw_owner *owner, struct timespec now,
                         struct timespec *next);

/* A run's start is given up because of a cordon. */
void owner_cordon_log(const struct cw_owner *owner,
                      const struct owner_run *run, struct timespec now);

/* ---- owner_targets.c ---- */

void owner_target_free(gpointer target);

/* Notes the rack that the worker stands in. */
void owner_target_set_rack(struct owner_target *target, const char *rack);

/* Something about the worker has changed: it is attended to at the next
 * tick. */
void owner_target_wake(struct owner_target *target);
void owner_targets_wake_all(struct cw_owner *owner);

/* The worker has listed ends that were applied: they are confirmed to it
 * once that is stored. */
void owner_target_ends_applied(struct owner_target *target);
struct owner_target *owner_target_get(struct cw_owner *owner, const char *id);

/* What a worker says of itself; `context` is the owner. */
void owner_target_apply_report(void *context,
                               const struct cw_target_report *report);

/* A record of the workers' topic. */
void
owner_target_apply_record(void *context, const struct cw_store_record *record);
void owner_targets_reset(void *context);
void owner_targets_loaded(void *context);

/* Notes the clock in an answer. */
void owner_target_set_clock(struct owner_target *target, int64_t clock_ms,
                            struct timespec now);

/* True if a run was sent there, by this owner or an earlier one. */
bool owner_target_has_ordered_run(const struct owner_target *target);

/* Since the last look was sent that it has answered, for logs; -1: it has
 * answered none of this owner's. */
int64_t owner_target_since_answer_ms(const struct owner_target *target,
                                     struct timespec now);

/* All its runs are lost. */
void owner_target_lost(struct cw_owner *owner, struct owner_target *target,
                       const char *reason);

/* True if what the worker says of its room can be built on: it is lately said,
 * or the worker refuses what does not fit. */
bool owner_target_capacity_known(const struct owner_target *target,
                                 struct timespec now);

/* True if it takes orders, as far as known. */
bool
owner_target_reachable(const struct owner_target *target, struct timespec now);

/* True if new tasks may be placed there: it has not failed or been slow lately
 * either. */
bool
owner_target_usable(const struct owner_target *target, struct timespec now);

/* A task failed there by itself, or stood still; work there went well. */
void
owner_target_add_failure(struct owner_target *target,
                         const struct owner_task *task, struct timespec now);
void owner_target_add_success(struct owner_target *target);

/* ---- owner_orders.c ---- */

struct owner_order {
    struct cw_owner *owner;
    unsigned term;
    struct owner_target *target;
    enum cw_order_kind kind;
    char *job;
    struct cw_task_name task; /* its job is the text above */
    unsigned run;
    struct timespec sent;
    struct timespec due; /* of a start: not sent again before */
};

void owner_order_free(struct owner_order *order);

/* Queues an order that concerns a task. */
void owner_order_queue(struct cw_owner *owner, struct owner_target *target,
                       enum cw_order_kind kind,
                       const struct cw_task_name *task, unsigned run);

/* Sends what may be sent; returns when a failed start or stop is due again. */
struct timespec
owner_orders_send(struct cw_owner *owner, struct owner_target *target,
                  struct timespec now);

/* ---- owner_order_window.c ---- */

/* A new owner begins with a small number. */
void owner_order_window_reset(struct owner_order_window *order_window);

/* An order was answered after so long. */
void owner_order_window_answered(struct owner_order_window *order_window,
                                 int64_t took_ms);

/* Sets the limit by the answers of late; to be called each 100 ms. */
void owner_order_window_adjust(struct owner_order_window *order_window);

/* True if more may be placed. */
bool owner_order_window_allows(const struct owner_order_window *order_window,
                               bool urgent);

/* ---- owner_polls.c ---- */

/* Extends leases and looks at runs where it is due; returns when next. */
struct timespec
owner_poll_tick(struct cw_owner *owner, struct owner_target *target,
                struct timespec now);

/* ---- owner_tombstones.c ---- */

GPtrArray *owner_tombstones_new(void);

/* The run is given up; if its start may still arrive at the worker, that is to
 * be shut out there. */
void owner_tombstone_add(const struct owner_run *run);

/* The worker's queue of orders was emptied. */
void owner_tombstone_unqueue(struct owner_target *target);

/* True if such starts may still arrive: the worker's lease is not extended. */
bool owner_tombstone_pending(const struct owner_target *target);

/* A stop was answered; of some run, perhaps of one that was given up. */
void owner_tombstone_answered(struct owner_target *target,
                              const struct cw_task_name *task, unsigned run,
                              bool confirmed, struct timespec now);

/* Queues stops that are due; returns when the next one is. */
struct timespec
owner_tombstone_tick(struct owner_target *target, struct timespec now);

/* ---- owner_lease_notes.c ---- */

/* Takes the notes over that stand in the log, after the bounds of leases that
 * hold without them are set. */
void owner_lease_notes_adopt(struct cw_owner *owner);

/* Finds out whether the worker's note is to be written, or taken back; returns
 * when the worker is to be attended to next because of that. */
struct timespec
owner_lease_note_tick(struct cw_owner *owner, struct owner_target *target,
                      struct timespec now);

/* Sends what is due on the idle log of jobs; false if there is nothing. */
bool owner_lease_notes_send(struct cw_owner *owner, struct timespec now);

/* ---- owner_speed.c ---- */

/* A worker listed how far a run has come. */
void owner_speed_observe(struct cw_owner *owner, struct owner_run *run,
                         unsigned percent, struct timespec now);

/* ---- owner_commit.c ---- */

/* Sends what is due to the store; returns when it wants to be called next. */
struct timespec owner_commit_tick(struct cw_owner *owner, struct timespec now);

/* Tells all VMs where the job stands, if that has changed. */
void owner_job_publish(struct cw_owner *owner, struct owner_job *job);

/* The store need not keep the job's state any more. */
void owner_state_drop(struct cw_owner *owner, const char *job);

/* Drops the records of jobs that ended long ago. */
void owner_drop_old_records(struct cw_owner *owner);

#endif

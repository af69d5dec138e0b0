/* Private declarations shared by the files of the simulation. */
#ifndef CURLEWCART_EMULATOR_WORLD_PRIVATE_H
#define CURLEWCART_EMULATOR_WORLD_PRIVATE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_codec.h"
#include "curlewcart/cw_count.h"
#include "curlewcart/cw_peers.h"
#include "curlewcart/cw_store.h"
#include "curlewcart/cw_target.h"
#include "curlewcart/cw_time.h"
#include "curlewcart/cw_voter.h"
#include "emulator/checker.h"
#include "emulator/store_model.h"
#include "emulator/worker_model.h"
#include "emulator/world.h"

#define TARGETS_TOPIC "keyed.servers"
#define COMMANDS_TOPIC "keyed.op"

struct world;
struct vm;

/* A callback with its due time. */
struct event {
    int64_t at_ms;
    uint64_t order; /* sequence number; orders events of the same time */
    void (*run)(struct world *world, void *context);
    void *context;
};

/* A VM that runs the scheduler's code; each restart is a new incarnation. */
struct vm {
    struct cw_store store; /* first, so that a store's pointer is the VM's */
    struct vm_targets {
        struct cw_targets base;
        struct vm *vm;
    } targets;
    struct vm_peers {
        struct cw_peers base;
        struct vm *vm;
    } peers;
    struct world *world;
    char name[16];
    struct cw_voter voter;
    unsigned index;
    unsigned incarnation;
    bool alive;
    bool shutting_down;
    int64_t frozen_until_ms;
    /* world_slow_vms.c */
    int64_t slow_until_ms; /* it computes with `speed_percent` of a core */
    unsigned speed_percent;
    int64_t busy_until_us;     /* what it computes now takes until then */
    uint64_t passes;           /* placement passes, at its last tick */
    int64_t cut_until_ms;      /* disconnected from the store */
    int64_t long_cut_until_ms; /* disconnected from everything */
    int64_t due_ms;            /* of its next tick */
    struct cw_replica *replica;
    struct cw_follower *commands; /* operator commands; or NULL */
    struct cw_cordons *cordons;   /* or NULL */
    struct cw_entry *entry;
    struct cw_owner *owner;
    struct cw_counters counters;
    GPtrArray *calls;   /* struct call, in flight */
    GPtrArray *clients; /* struct client_call, waiting for an answer */
    unsigned takeovers;
    double cpu_s; /* processor time of the scheduler's code */
};

struct world {
    struct world_options options;
    struct cw_clock_manual clock;
    int64_t now_ms;
    GRand *random;
    GRand *peer_random; /* for calls between VMs, so that they do not change
                           the days of existing seeds */
    GPtrArray *events;  /* struct event, a heap by time */
    uint64_t next_order;
    struct store_model *store;
    struct worker_fleet *fleet;
    struct checker *checker;
    struct cw_routing *routing;
    GPtrArray *vms; /* struct vm */
    GString *faults;
    bool violated;              /* a guarantee has been violated */
    int64_t disturbed_until_ms; /* faults or their effects last until then */
    int64_t faults_until_ms;    /* faults themselves last until then */
    int64_t healed_ms;          /* all of them ended then; 0: not yet */
    /* current state of the network */
    int64_t store_down_until_ms;
    unsigned store_lapses_begun;
    unsigned long_cuts_begun;
    int64_t store_returned_ms;    /* end of the last outage whose owners are
                                     counted; 0: none */
    unsigned owners_since_return; /* VMs that have become the owner since */
    bool store_busy; /* the store, while down, refuses calls at once; otherwise
                        it does not answer */
    const char *unavailable_topic; /* by the last outage of a topic */
    int64_t topic_unavailable_until_ms;
    bool topic_refuses; /* calls to it are refused; otherwise not answered */
    int64_t store_slow_until_ms;
    int64_t append_loss_until_ms;
    unsigned append_loss_percent;
    bool append_loss_delayed; /* appends whose answer is lost are applied after
                                 seconds; otherwise at once */
    int64_t order_delay_fault_until_ms; /* until then, some orders arrive
                                           seconds late */
    GHashTable *cut_workers;            /* id -> disconnected until, in ms */
    GHashTable *late_workers;           /* id -> late until, in ms */
    GHashTable *holding_workers;        /* id -> orders are held up until */
    GHashTable *draining;               /* set of ids */
    GHashTable *drains_stored; /* id -> when the store accepted that the worker
                                  drains, in ms */
    GHashTable *cordons;       /* data centre -> struct world_cordon */
    GHashTable *entries;       /* id -> struct world_entry, on days with late
                                  reports */
    struct {
        GHashTable *vms;     /* set of struct vm: on the owner's side */
        GHashTable *workers; /* set of ids: on the owner's side */
        bool vms_reach_each_other;
        int64_t until_ms;
    } owner_cut;           /* the last network partition */
    int64_t slow_since_ms; /* time at which workers became slow; 0: not yet */
    unsigned urgent_starts_on_slow; /* from some time after that on */
    int64_t last_delayed_order_ms;  /* latest time at which a delayed order may
                                       arrive */
};

/* A request of a caller that waits for its answer. */
struct client_call {
    struct world *world;
    struct vm *vm;
    struct checker_job *job;
    bool cancel;
    unsigned attempts;
};

enum call_kind {
    CALL_APPEND,
    CALL_READ,
    CALL_NEWEST,
    CALL_JOIN,
    CALL_LEAVE,
    CALL_ORDER,
    CALL_SUPPORT
};

/* A call in flight from a VM to the store or a worker: a copy of the request,
 * and its result. */
struct call {
    struct vm *vm;
    enum call_kind kind;
    bool ended;    /* answered, or its VM was killed */
    bool applied;  /* the store has executed the call */
    unsigned refs; /* of events and functions that use it */
    int64_t timeout_at_ms;
    int64_t wait_until_ms; /* long poll: an answer without new data is delayed
                              until then */
    char *topic;
    char *writer;
    char *text;      /* the key `after`, the member, or the worker's id */
    char *address;   /* address of the worker that an order is sent to */
    int64_t boot_ms; /* boot time of the incarnation that received the order;
                        0: not received yet */
    GArray *records;
    GPtrArray *bytes;
    struct cw_store_append append;
    struct cw_store_read read;
    struct cw_store_read_newest newest;
    struct cw_store_join join;
    struct cw_store_leave leave;
    struct cw_target_order order;
    struct cw_peers_support support;
    char *job;
    char *payload;
    char *saved;
    /* results */
    struct cw_store_append_result appended;
    struct store_model_page page;
    bool has_page;
    struct cw_store_join_result joined;
    unsigned partition;
    struct cw_target_answer answer;
    struct cw_peers_answer supported;
    GArray *running;
    GArray *ended_rows;
};

/* ---- world_call.c ---- */

/* Creates a call with one reference. */
struct call *
world_call_new(struct vm *vm, enum call_kind kind, unsigned timeout_ms);

/* Answers the call unless it has ended: with its result if `status` is OK,
 * otherwise with the status only. */
void world_call_answer(struct call *call, enum cw_store_status status);

/* Drops a reference; the last one frees the call. */
void world_call_unref(struct call *call);

/* Adds a reference. */
void world_call_ref(struct call *call);

/* ---- world_time.c: events, random numbers, list of faults ---- */

/* Runs `run` after `after_ms`; events of the same time run in the order in
 * which they were scheduled. */
void world_schedule(struct world *world, int64_t after_ms,
                    void (*run)(struct world *, void *), void *context);

/* Removes the earliest event; the caller frees it. */
struct event *world_pop_event(struct world *world);

/* A random number below `below`; 0 if `below` is 0 or 1. */
unsigned world_random_below(struct world *world, unsigned below);

/* A random number from `low` to `high`. */
unsigned
world_random_between(struct world *world, unsigned low, unsigned high);

/* True with a probability of `percent`. */
bool world_random_chance(struct world *world, unsigned percent);

/* True if no fault has had an effect for some seconds. */
bool world_is_calm(const struct world *world);

/* Records that a fault lasts for `ms`, and its effects for `after_ms` more. */
void world_disturb(struct world *world, unsigned ms, unsigned after_ms);

/* Adds a fault, or its end, to the list of faults. */
void world_record_fault(struct world *world, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/* ---- world_net.c: calls of VMs and their answers ---- */

/* Operations through which VMs access the store, the workers, and each
 * other. */
extern const struct cw_store_ops world_store_ops;
extern const struct cw_targets_ops world_targets_ops;
extern const struct cw_peers_ops world_peers_ops;

/* Schedules `run` with the call as context, and adds a reference. */
void world_call_schedule(struct call *call, int64_t after_ms,
                         void (*run)(struct world *, void *));

/* Delivers the call's result, once its VM is not frozen; drops a reference. */
void world_call_deliver(struct world *world, void *call);
void world_call_time_out(struct world *world, void *call);

/* ---- world_links.c ---- */

/* Delay of the link from the VM, one way, besides the usual delay. */
unsigned world_link_to_store_ms(const struct vm *vm);
unsigned world_link_to_vm_ms(const struct vm *vm, const struct vm *other);
unsigned world_link_to_worker_ms(const struct vm *vm, const char *worker);

/* ---- world_peers.c: calls between VMs ---- */

/* True if `run` is an event of a call between VMs. */
bool world_peers_is_event(const struct event *event);

/* True if orders do not reach the worker, and its answers do not arrive. */
bool world_worker_is_cut(const struct world *world, const char *worker);

/* The same at a later time, as far as is known now. */
bool world_worker_is_cut_at(const struct world *world, const char *worker,
                            int64_t at_ms);

/* The call whose start arrives at its worker with the event; NULL if the event
 * is of another kind.  Borrowed. */
const struct call *world_net_start_of(const struct event *event);

/* Frees the context of an event of the network; false if the event is of
 * another kind. */
bool world_net_free_event(const struct event *event);

/* ---- world_vms.c ---- */

/* Processor time that this thread has used, in seconds. */
double world_processor_s(void);

/* Creates the objects of a VM's next incarnation. */
void world_vm_boot(struct vm *vm);

/* Kills a VM: frees its objects, and breaks its calls and connections. */
void world_vm_kill(struct vm *vm);

/* Boots a VM if it is down. */
void world_vm_restart(struct world *world, void *vm);

/* Ticks the VM's objects and sets the time of the next tick. */
void world_vm_tick(struct vm *vm);

/* Any of the VMs, also one that is down. */
struct vm *world_random_vm(struct world *world);

/* ---- world_slow_vms.c ---- */

/* Makes the VM that owns the jobs, the others, or all compute slowly for a
 * while. */
void world_slow_vms(struct world *world, void *unused);

/* Ends this for all VMs; what they compute now still takes its time. */
void world_end_slow_vms(struct world *world);

/* The VM has handled an answer, or a tick: if it is slow, it is busy with that
 * for a while. */
void world_vm_compute_answer(struct vm *vm);
void world_vm_compute_tick(struct vm *vm);

/* Time until which the VM is frozen or busy. */
int64_t world_vm_idle_at_ms(const struct vm *vm);

/* ---- world_load.c: callers ---- */

/* Submits the job of a call, or sends its cancellation, to any VM. */
void world_client_submit(struct world *world, void *client_call);
void world_client_cancel(struct world *world, void *client_call);

/* Makes a random job and submits it; some are cancelled later. */
void world_submit_new_job(struct world *world, void *unused);

/* ---- world_reports.c ---- */

/* Writes the name of a rack's data centre; each rack is a data centre. */
void world_dc_of_rack(const char *rack, char *dc, size_t size);

/* Codec for the workers' reports and the operators' cordons. */
const struct cw_codec *world_codec(void);

/* An empty table of the workers' entries in the store. */
GHashTable *world_entries_new(void);

/* Stores the reports of all workers, now and at each later interval. */
void world_report_workers(struct world *world, void *unused);

/* Longest time from the sending of a report until it is stored. */
enum { WORLD_REPORT_LATE_MAX_MS = 6000 };

/* Stores the worker's present report after `after_ms`, whatever happens until
 * then. */
void world_report_late(struct world *world, const struct worker_model *worker,
                       unsigned after_ms);

/* Keeps the worker's reports from the store for `ms`; orders and answers
 * arrive.  Some of the reports are stored late, the others are lost. */
void world_cut_reports(struct world *world, const struct worker_model *worker,
                       unsigned ms);

/* Removes the worker's entry.  The worker reports again after `ms`. */
void world_expire_entry(struct world *world, const struct worker_model *worker,
                        unsigned ms);

/* Ends all cuts of reports. */
void world_heal_reports(struct world *world);

/* True if the store has an entry of the worker; always on days without late
 * reports. */
bool world_worker_is_listed(const struct world *world, const char *worker);

/* Frees the context of an event of a late report; false if the event is of
 * another kind. */
bool world_reports_free_event(const struct event *event);

/* Stores the worker's present report at once. */
void
world_store_report(struct world *world, const struct worker_model *worker);

/* Removes the entry of a worker that is down. */
void
world_remove_entry(struct world *world, const struct worker_model *worker);

/* ---- world_leaving.c ---- */

/* Has some workers drain, shut down, and be replaced; the owner may be killed
 * meanwhile. */
void world_leave(struct world *world, void *unused);

/* An empty table of the reports of draining workers. */
GHashTable *world_drains_new(void);

/* Records that the store has accepted a report that the worker drains, and
 * that the worker has started again, without that. */
void world_drain_stored(struct world *world, const char *worker);
void world_drain_ended(struct world *world, const char *worker);

/* Checks the worker that a VM sends a start to: it may not have reported long
 * before that it drains. */
void
world_check_drain(const struct vm *vm, const struct cw_target_order *order);

/* ---- world_late_reports.c ---- */

/* Makes reports of some workers late: of workers that crash behind a cut and
 * restart at their addresses, or of workers that go on. */
void world_late_reports(struct world *world, void *unused);

/* ---- world_restarts.c ---- */

/* Crashes some workers, which restart under their ids. */
void world_restart_workers(struct world *world, void *unused);

/* Crashes a worker for good and adds another to its rack. */
void world_replace_worker(struct world *world, struct worker_model *worker);

/* Boot time that the worker reports; 0 on days on which each incarnation has
 * an id of its own. */
int64_t world_reported_boot_ms(const struct world *world,
                               const struct worker_model *worker);

/* Crashes a worker, which restarts under its id. */
void world_crash_worker(struct world *world, struct worker_model *worker);

/* Restarts a worker that is down under its id. */
void world_restart_worker(struct world *world, void *worker_model);

/* Restarts a worker that is down under a new id. */
void world_restart_with_new_id(struct world *world, void *worker_model);

/* ---- world_owner_kills.c ---- */

/* Kills the VM that owns the jobs, if there is one. */
void world_kill_owner(struct world *world, void *unused);

/* Crashes workers, and soon after kills the VM that owns the jobs. */
void world_owner_kill(struct world *world, void *unused);

/* Does the same as world_owner_kill, but the VM stays down for long. */
void world_owner_loss(struct world *world, void *unused);

/* The VM that owns the jobs, or NULL. */
struct vm *world_owner_vm(const struct world *world);

/* ---- world_owner_cuts.c ---- */

/* Disconnects the VM that owns the jobs, together with some other VMs and some
 * workers, from the store and from the other VMs and workers. */
void world_cut_owner(struct world *world, void *unused);

/* The same, but the VMs reach each other, and while the next owner waits for
 * the workers that it does not reach, all other VMs start again. */
void world_cut_owner_and_restart_voters(struct world *world, void *unused);

/* True while such a network partition lasts. */
bool world_owner_cut_lasts(const struct world *world);

/* True if the network partition leaves the worker to that VM. */
bool
world_worker_is_with_cut_owner(const struct world *world, const char *worker);

/* True if no network partition separates the two VMs. */
bool world_vm_reaches_vm(const struct vm *vm, const struct vm *other);

/* True if no network partition separates the VM from the worker. */
bool world_vm_reaches_worker(const struct vm *vm, const char *worker);

/* ---- world_store_returns.c ---- */

/* Makes the store unavailable, disconnects the VM that owns the jobs and some
 * others, and restarts the remaining ones, until about the store's return. */
void world_store_returns(struct world *world, void *unused);

/* A VM has become the owner: a violation if another one has since the store's
 * return, a few seconds ago. */
void world_owner_began(struct world *world, const struct vm *vm);

/* ---- world_store_lapses.c ---- */

/* Makes the store unavailable for a while, after which entries of workers that
 * are up are missing; again until that has happened options.store_lapses
 * times. */
void world_store_lapse(struct world *world, void *unused);

/* ---- world_long_cuts.c ---- */

/* Time for which ended jobs are retained on days with long cuts: longer than a
 * delayed append or a caller's attempts last. */
enum { WORLD_SHORT_RETAIN_MS = 15000 };

/* Cuts off one or several VMs for longer than ended jobs are retained, and
 * drops the store's history meanwhile; again until that has happened
 * options.long_cuts times. */
void world_long_cut(struct world *world, void *unused);

/* True if the VM is cut off now. */
bool world_vm_is_long_cut(const struct vm *vm);

/* ---- world_topic_outages.c ---- */

/* Makes one topic of the store unavailable to all VMs for a while. */
void world_topic_outage(struct world *world, void *unused);

/* True if the topic is unavailable now; `topic` may be NULL. */
bool world_topic_unavailable(const struct world *world, const char *topic);

/* ---- world_speeds.c ---- */

/* True if workers differ in speed on this day, or on the day that it is
 * compared with. */
bool world_has_speeds(const struct world *world);

/* Sets the workers' lasting speeds, and schedules the time in which some of
 * them are slow, or takes these down for the day.  Has random numbers of its
 * own, so that the day's others do not change. */
void world_schedule_speeds(struct world *world);

/* Counts the start of an urgent task on a slow worker. */
void
world_speeds_started(struct world *world, const struct worker_model *worker,
                     const struct checker_job *job);

/* ---- world_silences.c ---- */

/* Cuts some workers off; their runs go on. */
void world_silence_workers(struct world *world, void *unused);

/* Does the same, and freezes the VM that owns the jobs soon after. */
void world_silence_workers_and_owner(struct world *world, void *unused);

/* Crashes some workers, which stay down for as long as others are silent. */
void world_take_workers_down(struct world *world, void *unused);

/* ---- world_late.c ---- */

/* Makes some workers answer late for a while. */
void world_delay_workers(struct world *world, void *unused);

/* How a late worker treats an order. */
struct world_worker_delay {
    bool resets; /* resets the connection, so that the order is not executed */
    unsigned added_one_way_ms; /* added to the usual delay */
};

/* Guarantee of the account "a"; others have none. */
enum { WORLD_GUARANTEED_ACCELERATORS = 64 };

/* How the worker treats an order now; all 0 if it is not late. */
struct world_worker_delay
world_worker_delay(struct world *world, const char *worker);

/* ---- world_cordons.c ---- */

/* An empty table of cordons. */
GHashTable *world_cordons_new(void);

/* Cordons a data centre, or all of them, for a while. */
void world_cordon(struct world *world, void *unused);

/* Frees the context of an event that ends a cordon; false if the event is of
 * another kind. */
bool world_cordons_free_event(const struct event *event);

/* Ends all cordons. */
void world_uncordon_all(struct world *world);

/* Time since the store acknowledged the data centre's cordon; -1: there is
 * none. */
int64_t world_cordon_age_ms(const struct world *world, const char *dc);

/* The data centre that a record of COMMANDS_TOPIC cordons, by its key; NULL if
 * it is of another kind.  Borrowed from `key`. */
const char *world_cordoned_dc(const char *key);

/* ---- world_held_orders.c ---- */

/* Holds up orders of some workers for a while. */
void world_hold_orders(struct world *world, void *unused);

/* How an order is held up. */
struct world_hold {
    unsigned ms;
    bool by_worker; /* it is lost if the worker crashes */
};

/* True if an order that is sent to the worker now is held up. */
bool world_holds_order(struct world *world, const char *worker,
                       struct world_hold *hold);

/* True if the worker refuses a start that arrives now. */
bool world_refuses_start(struct world *world, const char *worker);

/* ---- world_near.c ---- */

/* Checks that no earlier run of the task is at work or may still begin. */
void
world_start_is_sent(struct world *world, const struct cw_target_order *order);

/* Checks that no worker would carry out a start that is held up, if a later
 * run of its task has been sent.  Call it when a worker's lease may have been
 * extended. */
void world_check_held_starts(struct world *world);

/* ---- world_restrictions.c ---- */

/* Kind of the worker with this number, on days with restrictions. */
const char *world_kind_of(unsigned number);

/* Draws the limits per worker and the labels of the job's steps such that the
 * job can run while no worker is down.  Derived from the job's id, so that the
 * day's other random numbers do not change. */
void world_restrict_steps(struct cw_work_spec *spec);

/* Gives a worker that starts under a new id the other kind at times, if enough
 * workers of its kind remain. */
void world_change_kind(struct world *world, struct worker_model *worker);

/* True if enough workers of the worker's kind are up and do not drain without
 * it. */
bool world_kind_can_spare(const struct world *world,
                          const struct worker_model *worker);

/* ---- world_waits.c ---- */

/* Checks for jobs that could run and do not; call it regularly. */
void world_check_waits(struct world *world);

/* True if the job's account and the job itself permit the data centre.  Does
 * not use the scheduler's code. */
bool world_may_run_in(const struct world *world, const struct checker_job *job,
                      const char *dc);

/* ---- world_faults.c ---- */

/* True if the rack keeps enough workers that do not drain without the worker.
 */
bool world_rack_can_spare(const struct world *world,
                          const struct worker_model *worker);

/* Any of the workers, also one that is down. */
struct worker_model *world_random_worker(struct world *world);

/* Cuts a worker off for `ms`. */
void world_cut_worker(struct world *world, const struct worker_model *worker,
                      unsigned ms);

/* Drops the history of all topics; the newest records remain. */
void world_drop_history(struct world *world, void *unused);

/* Injects a random fault. */
void world_inject_fault(struct world *world, void *unused);

/* Ends the faults in progress.  Drains stay; short faults (a slow store, late
 * workers) and the time that a VM or worker is down end by themselves. */
void world_heal_all(struct world *world, void *unused);

#endif

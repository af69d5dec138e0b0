/* Inside the world: what its parts share. */
#ifndef CURLEWCART_EMULATOR_WORLD_PRIVATE_H
#define CURLEWCART_EMULATOR_WORLD_PRIVATE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_codec.h"
#include "curlewcart/cw_count.h"
#include "curlewcart/cw_store.h"
#include "curlewcart/cw_target.h"
#include "curlewcart/cw_time.h"
#include "emulator/judge.h"
#include "emulator/store_model.h"
#include "emulator/worker_model.h"
#include "emulator/world.h"

#define TARGETS_TOPIC "keyed.servers"
#define ORDERS_TOPIC "keyed.op"

struct world;
struct vm;

/* Something that happens at a time. */
struct event {
    int64_t at_ms;
    uint64_t order;
    void (*run)(struct world *world, void *context);
    void *context;
};

/* A VM: one life of a daemon's decisions. */
struct vm {
    struct cw_store store; /* first: the store's port */
    struct vm_targets {
        struct cw_targets base;
        struct vm *vm;
    } targets;
    struct world *world;
    unsigned index;
    unsigned life;
    bool alive;
    bool leaving;
    int64_t frozen_until_ms;
    int64_t cut_until_ms; /* from the store */
    int64_t due_ms;
    struct cw_replica *replica;
    struct cw_follower *orders; /* of operators; or NULL */
    struct cw_cordons *cordons; /* or NULL */
    struct cw_entry *entry;
    struct cw_owner *owner;
    struct cw_counters counters;
    GPtrArray *calls;   /* struct call, under way */
    GPtrArray *clients; /* struct client_call, waiting for an answer */
    unsigned takeovers;
    double busy_s; /* processor time of the product's code in it */
};

struct world {
    struct world_options options;
    struct cw_clock_manual clock;
    int64_t now_ms;
    GRand *random;
    GPtrArray *events; /* struct event, a heap by time */
    uint64_t next_order;
    struct store_model *store;
    struct worker_fleet *fleet;
    struct judge *judge;
    struct cw_routing *routing;
    GPtrArray *vms; /* struct vm */
    GString *faults;
    int64_t disturbed_until_ms; /* by faults and what follows from them */
    int64_t struck_until_ms;    /* by faults alone */
    /* what the network does at present */
    int64_t store_down_until_ms;
    bool store_busy;
    int64_t store_slow_until_ms;
    int64_t lost_until_ms;
    unsigned lost_percent;
    bool lost_late;
    int64_t orders_late_until_ms;
    GHashTable *cut_workers;      /* id -> until, in ms */
    GHashTable *late_workers;     /* id -> until, in ms */
    GHashTable *draining;         /* id, a set */
    GHashTable *cordons;          /* data centre -> struct world_cordon */
    int64_t late_orders_until_ms; /* such orders may still be carried out */
};

/* Each rack stands in a data centre of its own. */
void world_dc_of_rack(const char *rack, char *dc, size_t size);

/* A caller's call that waits for its answer. */
struct client_call {
    struct world *world;
    struct vm *vm;
    struct judge_job *job;
    bool cancel;
    unsigned tries;
};

enum call_kind {
    CALL_APPEND,
    CALL_READ,
    CALL_NEWEST,
    CALL_JOIN,
    CALL_LEAVE,
    CALL_ORDER
};

/* A call under way: a copy of what was asked, and what it led to. */
struct call {
    struct vm *vm;
    enum call_kind kind;
    bool ended; /* answered, or its VM is gone */
    bool applied;
    unsigned holds; /* events that refer to it */
    int64_t give_up_ms;
    int64_t wait_until_ms;
    char *topic;
    char *writer;
    char *text;      /* after, member, address or worker */
    char *address;   /* of the worker that an order goes to */
    int64_t boot_ms; /* of the life there that got it first; 0 none yet */
    GArray *records;
    GPtrArray *bytes;
    struct cw_store_append append;
    struct cw_store_read read;
    struct cw_store_read_newest newest;
    struct cw_store_join join;
    struct cw_store_leave leave;
    struct cw_target_order order;
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
    GArray *running;
    GArray *ended_rows;
};

/* ---- world_call.c ---- */

struct call *
world_call_new(struct vm *vm, enum call_kind kind, unsigned timeout_ms);

/* Gives the VM its answer; a status other than OK has no content. */
void world_call_answer(struct call *call, enum cw_store_status status);
void world_call_release(struct call *call);

/* Keeps a call alive until it is released once more. */
void world_call_hold(struct call *call);

/* ---- world_time.c: events, chance, notes ---- */

/* Runs `run` after some time; the earliest first, then in this order. */
void world_schedule(struct world *world, int64_t after_ms,
                    void (*run)(struct world *, void *), void *context);

/* Takes the earliest event; the caller frees it. */
struct event *world_pop_event(struct world *world);

unsigned world_pick(struct world *world, unsigned below);
unsigned world_between(struct world *world, unsigned low, unsigned high);
bool world_chance(struct world *world, unsigned percent);

/* True if nothing has disturbed anything lately. */
bool world_calm(const struct world *world);

/* A fault lasts for `ms`, and what follows from it for `after_ms` more. */
void world_disturb(struct world *world, unsigned ms, unsigned after_ms);

/* Writes a fault down. */
void
world_note(struct world *world, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* ---- world_net.c: what a VM sends, and what comes back ---- */

extern const struct cw_store_ops world_store_port;
extern const struct cw_targets_ops world_targets_port;

/* Frees what an event of the network holds; false if it is of another
 * kind. */
bool world_net_release(const struct event *event);

/* ---- world_vms.c ---- */

/* Processor time of this thread in seconds. */
double world_processor_s(void);

void world_vm_boot(struct vm *vm);
void world_vm_kill(struct vm *vm);
void world_vm_restart(struct world *world, void *vm);
void world_vm_tick(struct vm *vm);
struct vm *world_any_vm(struct world *world);

/* ---- world_load.c: callers ---- */

void world_client_submit(struct world *world, void *client_call);
void world_client_cancel(struct world *world, void *client_call);
void world_new_job(struct world *world, void *unused);

/* ---- world_restarts.c ---- */

/* Some workers crash, and are back under their ids. */
void world_restart_workers(struct world *world, void *unused);

/* A worker crashes for good; another takes its place in the rack. */
void world_replace_worker(struct world *world, struct worker_model *worker);

/* When the worker's life began, as it tells; 0 on days on which each life has
 * an id of its own. */
int64_t world_reported_boot_ms(const struct world *world,
                               const struct worker_model *worker);

/* A worker that is down is back under its id. */
void world_worker_again(struct world *world, void *worker_model);

/* ---- world_owner_kills.c ---- */

/* Workers crash, and the VM that decides is killed soon after. */
void world_owner_kill(struct world *world, void *unused);

/* The same, and the VM stays away for long. */
void world_owner_loss(struct world *world, void *unused);

/* ---- world_late.c ---- */

/* Some workers are late for a while. */
void world_late_workers(struct world *world, void *unused);

/* What a late worker does to an order. */
struct world_lateness {
    bool resets;         /* the connection is reset: nothing is done */
    unsigned one_way_ms; /* beside the usual */
};
struct world_lateness world_lateness(struct world *world, const char *worker);
bool world_resets(const struct world *world, const char *worker);

/* ---- world_cordons.c ---- */

GHashTable *world_cordons_new(void);

/* An operator cordons a data centre, or all of them, and later withdraws
 * that. */
void world_cordon(struct world *world, void *unused);

/* Frees what an event of an order's end holds; false if it is of another
 * kind. */
bool world_cordons_release(const struct event *event);

/* Withdraws all cordons. */
void world_uncordon_all(struct world *world);

/* For how long the store has held a cordon of the data centre; -1: there is
 * none. */
int64_t world_cordon_age_ms(const struct world *world, const char *dc);

/* The data centre that a record of ORDERS_TOPIC cordons, by its key; NULL if
 * it is of another kind.  Borrowed from `key`. */
const char *world_cordoned_dc(const char *key);

/* ---- world_waits.c ---- */

/* Judges whether jobs could run and do not; to be called regularly. */
void world_look_for_waits(struct world *world);

/* True if the account and the job allow the data centre, read apart from the
 * product. */
bool world_may_run_in(const struct world *world, const struct judge_job *job,
                      const char *dc);

/* ---- world_faults.c ---- */

/* Any of the workers, also one that is down. */
struct worker_model *world_any_worker(struct world *world);

void world_strike(struct world *world, void *unused);
void world_heal_all(struct world *world, void *unused);

/* ---- world.c ---- */

const struct cw_codec *world_codec(void);

#endif

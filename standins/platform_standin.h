/* Stand-in for the platform: shared by its store and its workers. */
#ifndef CURLEWCART_STANDINS_PLATFORM_STANDIN_H
#define CURLEWCART_STANDINS_PLATFORM_STANDIN_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

#include "curlewcart/cw_http_server.h"
#include "emulator/store_model.h"
#include "emulator/worker_model.h"

enum {
    POLL_INTERVAL_MS = 20,
    /* Number of 20 ms steps to wait for the proxy's file: 10 s. */
    PROXY_WAIT_STEPS = 500,
    REPORT_INTERVAL_MS = 1500,
    /* Time after its last report after which an entry is removed. */
    ENTRY_EXPIRY_MS = 3 * REPORT_INTERVAL_MS,
    RESTART_CHECK_MS = 20,
    /* Downtime of a worker after a task has crashed it. */
    CRASH_DOWNTIME_MS = 1000,
    /* A simultaneous crash affects every third worker.  Worker i restarts
     * after RESTART_DELAY_MIN_MS + (i * RESTART_DELAY_STEP_MS) %
     * RESTART_DELAY_SPAN_MS. */
    CRASH_EVERY_NTH = 3,
    RESTART_DELAY_MIN_MS = 50,
    RESTART_DELAY_STEP_MS = 150,
    RESTART_DELAY_SPAN_MS = 1800,
    CRASH_KEEPS_ID = 2, /* "crash=2" in a payload: restart under the same id */
    COMMAND_BYTES_MAX = 512,
    LENGTH_BYTES = 4,
    /* An order that a worker holds back is carried out after HELD_MIN_MS +
     * 0 to HELD_SPAN_MS, later than a daemon waits for an answer. */
    HELD_MIN_MS = 2000,
    HELD_SPAN_MS = 4000,
    PERCENT = 100,
    LABEL_BYTES = 64,
    WORKER_ACCELERATORS = 8,
    WORKER_CPU_MILLI = 32000,
    WORKER_MEMORY_MB = 131072,
    DEFAULT_TASK_MS = 600
};

struct platform {
    pthread_mutex_t lock;
    struct store_model *store;
    struct worker_fleet *fleet;
    struct cw_http_server *store_server;
    GPtrArray *workers; /* struct worker_server */
    /* Listed workers whose entries expire: id -> time of the last report. */
    GHashTable *reported_at;
    GPtrArray *late_reports; /* struct late_report: still to be stored */
    const char *config_path;
    const char *proxy_path; /* see use_proxy_addresses; or NULL */
    const char *dcs;        /* names, separated by commas */
    unsigned racks;         /* in each data centre */
    unsigned per_rack;      /* workers in each rack */
    bool hides_boot_times;  /* workers do not tell when they booted */
    bool store_unavailable; /* the store refuses all calls */
    /* The next appends with a record whose key begins so have no answer in
     * time and are carried out later; NULL: none. */
    char *late_key;
    unsigned late_count;
    int64_t late_ms;
    GHashTable *payloads; /* job's id -> payload */
    /* Starts of a task that was running or done, or on a worker without the
     * label, or above the step's limit per worker. */
    unsigned violations;
    GHashTable *active;    /* task's name -> number of runs */
    GHashTable *on_worker; /* step's name, "@", worker -> number of runs */
    GHashTable *done;      /* names of tasks with a confirmed end */
    unsigned crash_rounds; /* number of simultaneous crashes */
    /* The next worker that a task crashes restarts under the same id. */
    bool next_crash_keeps_id;
};

struct worker_server {
    struct platform *platform;
    char *name; /* id of its first incarnation */
    char *id;
    int64_t crashed_at_ms; /* time of the last crash */
    int64_t downtime_ms;   /* time from that crash to its restart */
    bool keeps_id;         /* the next incarnation keeps the id */
    /* If the next incarnation has a new id, the entry stays until it expires.
     */
    bool stays_listed;
    int64_t leaves_at_ms;   /* it drains, and shuts down then; 0: neither */
    int64_t muted_until_ms; /* no report is stored before */
    /* Its entry was removed, and its next report is stored then; 0: neither.
     */
    int64_t relisted_at_ms;
    /* Until then, percentages of its orders are held back or refused. */
    int64_t late_until_ms;
    int held_percent;    /* of the starts and stops */
    int refused_percent; /* of the starts that are not held back */
    GRand *random;
    char *dc;
    char *rack;
    char *address;
    char *reported_address; /* address in its reports; may be a proxy's */
    struct cw_http_server *server;
};

/* A call that is handled on a separate thread. */
struct deferred_call {
    struct platform *platform;
    struct worker_server *worker;
    struct cw_http_call *call;
    int64_t until_ms;
    int64_t boot_ms; /* boot time of the called incarnation */
};

/* Time of the monotonic clock. */
int64_t standin_now_ms(void);

/* Time of the monotonic clock for the model of the workers, rounded down to
 * steps: advancing hundreds of workers for each call takes longer than the
 * calls. */
int64_t standin_fleet_now_ms(void);

/* Answers with `body` and releases it. */
void standin_answer(struct cw_http_call *call, unsigned status, json_t *body);

/* Handles a call with `run` on a new thread.  The call may wait `wait_ms`. */
void
standin_defer_call(struct platform *platform, struct worker_server *worker,
                   struct cw_http_call *call, int64_t wait_ms,
                   void *(*run)(void *));

/* Appends a record; without a value, it removes the key. */
void standin_append(struct platform *platform, const char *topic,
                    const char *key, const char *value);

/* ---- the workers' entries in the store ---- */

void standin_entries_init(struct platform *platform);

/* Stores the reports of all workers that are up and not muted, except of those
 * whose entry was removed until later. */
void standin_report_workers(struct platform *platform);

/* Stores the late reports that are due, and those of workers that are to be
 * listed again, and removes expired entries. */
void standin_update_entries(struct platform *platform);

/* Text of the worker's present report; released by g_free. */
char *standin_report_text(struct platform *platform,
                          const struct worker_server *worker);

/* Stores a report, which may be one of an incarnation that is over, in
 * `late_ms`. */
void standin_store_late(struct platform *platform, const char *id,
                        const char *report, int64_t late_ms);

/* Appends entries that no worker writes, and one of a worker that cannot be
 * reached, with the longest id. */
void standin_append_odd_entries(struct platform *platform);

void standin_remove_entry(struct platform *platform, const char *id);

/* Keeps the entry from expiring. */
void standin_keep_entry(struct platform *platform, const char *id);

/* The label that all workers have, besides their rack. */
#define STANDIN_LABEL "a"

/* Handlers of calls to the store and to a worker. */
void standin_handle_store(void *platform, struct cw_http_call *call);
void standin_handle_worker(void *worker, struct cw_http_call *call);

/* Boot time of the worker's incarnation that a connection is made to; 0 if the
 * worker is down. */
int64_t standin_connection_boot_ms(void *worker);

/* Callbacks of the model of the workers. */
struct worker_listener standin_worker_listener(struct platform *platform);

#endif

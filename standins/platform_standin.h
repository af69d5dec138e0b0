/* The platform's stand-in: what its store and its workers share. */
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
    WAIT_STEP_MS = 20,
    PROXY_TRIES = 500, /* steps to wait for the proxy's file: 10 s */
    REPORT_EVERY_MS = 1500,
    REVIVE_EVERY_MS = 20,
    DOWN_MS = 1000, /* a worker that its task crashed is away for so long */
    /* Of the workers, those that crash together, and how long they are away:
     * so much and more for each worker before it, up to a span. */
    CRASH_EVERY = 3,
    AGAIN_LEAST_MS = 50,
    AGAIN_STEP_MS = 150,
    AGAIN_SPAN_MS = 1800,
    SAME_ID = 2, /* "crash=2" in a payload */
    COMMAND_BYTES_MAX = 512,
    LENGTH_BYTES = 4,
    ACCELERATORS = 8,
    CPU_MILLI = 32000,
    MEMORY_MB = 131072,
    TASK_MS = 600
};

struct platform {
    pthread_mutex_t lock;
    struct store_model *store;
    struct worker_fleet *fleet;
    struct cw_http_server *store_server;
    GPtrArray *workers; /* struct worker_server */
    const char *config_path;
    const char *proxy_path; /* see report_by_proxy; or NULL */
    const char *dcs;        /* names, parted by commas */
    unsigned racks;         /* in each data centre */
    unsigned per_rack;      /* workers */
    bool away;              /* the store refuses all calls */
    GHashTable *payloads;   /* of jobs, by id */
    unsigned violations;    /* two runs of a task at once */
    GHashTable *active;     /* task's name -> runs */
    GHashTable *done;       /* names of tasks with a confirmed end */
    unsigned crashes;       /* times that workers were crashed together */
    bool same_id;           /* a worker that a task crashes now keeps its id */
};

struct worker_server {
    struct platform *platform;
    char *id;
    int64_t down_ms; /* when it crashed last */
    int64_t away_ms; /* for so long */
    bool same_id;    /* of its next life */
    char *dc;
    char *rack;
    char *address;
    char *reported; /* address that the store tells; a proxy may stand there */
    struct cw_http_server *server;
};

struct waiting {
    struct platform *platform;
    struct worker_server *worker;
    struct cw_http_call *call;
    int64_t until_ms;
    int64_t boot_ms; /* of the life of the worker that it was sent to */
};

/* Milliseconds of the steady clock. */
int64_t standin_now_ms(void);

/* The same for the workers' model, in steps: to move hundreds of workers on
 * for each call takes longer than the calls. */
int64_t standin_fleet_ms(void);

/* Answers and releases `body`. */
void standin_answer(struct cw_http_call *call, unsigned status, json_t *body);

/* Carries a waiting call on, on a thread of its own. */
void
standin_wait(struct platform *platform, struct worker_server *worker,
             struct cw_http_call *call, int64_t wait_ms, void *(*run)(void *));

/* Handlers of the store's and of a worker's listener. */
void standin_handle_store(void *platform, struct cw_http_call *call);
void standin_handle_worker(void *worker, struct cw_http_call *call);

/* Which life of the worker a connection is made to; 0: it is down. */
int64_t standin_mark_worker(void *worker);

/* What the workers' model asks and tells. */
struct worker_listener standin_listener(struct platform *platform);

#endif

/* curlewcart-platform: the platform's store and workers over HTTP on
 * loopback, for tests with real daemons.
 *
 * The models are the emulator's; this is their transport.  It speaks the
 * calls that the product makes, as the users' pages tell them, and prints
 * the addresses that it listens on.
 *
 * What a task does stands in its job's payload: "run_ms=N" how long it
 * works, "members=N" that it is one of a gang of so many, "accelerators=N" how
 * many it takes (1), "fails=N" how many of its runs fail, "echo=TEXT" what its
 * end says beside the job's id, and "crash=1" that its first task crashes each
 * worker that starts it: the worker answers nothing for a while, and is then
 * another life, under another id; with "crash=2" under the id that it had.
 * SIGUSR1 makes the store refuse all calls, SIGUSR2 makes it serve again;
 * SIGHUP crashes every third worker at once, and they are back under their
 * ids.  A line "lose WORKER" on standard input crashes one for good. */
#include <argp.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "curlewcart/cw_time.h"
#include "standins/platform_standin.h"

int64_t
standin_now_ms(void)
{
    return cw_time_diff_ms(cw_time_from_ms(0),
                           cw_clock_now(cw_clock_system()));
}

int64_t
standin_fleet_ms(void)
{
    int64_t now_ms = standin_now_ms();

    return now_ms - now_ms % REVIVE_EVERY_MS;
}

void
standin_answer(struct cw_http_call *call, unsigned status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);

    cw_http_answer(call, status, "application/json", text, strlen(text),
                   false);
    free(text);
    json_decref(body);
}

void
standin_wait(struct platform *platform, struct worker_server *worker,
             struct cw_http_call *call, int64_t wait_ms, void *(*run)(void *))
{
    struct waiting *waiting = g_new0(struct waiting, 1);
    pthread_t thread;

    waiting->platform = platform;
    waiting->worker = worker;
    waiting->call = call;
    waiting->until_ms = standin_now_ms() + wait_ms;
    if (pthread_create(&thread, NULL, run, waiting) == 0) {
        pthread_detach(thread);
        return;
    }
    run(waiting);
}

/* ---- start ---- */

static void
put_record(struct platform *platform, const char *topic, const char *key,
           const char *value)
{
    struct cw_store_record record = {.key = key,
                                     .value = value,
                                     .length =
                                         value != NULL ? strlen(value) : 0};
    struct cw_store_append append = {
        .topic = topic, .records = &record, .count = 1};

    store_model_append(platform->store, &append);
}

/* A worker that is down comes back as another life; false if it stays down. */
static bool
revive(struct platform *platform, struct worker_server *worker)
{
    struct worker_model *before =
        worker_fleet_find(platform->fleet, worker->id);
    const struct worker_model *after;

    if (!worker_model_dead(before)) {
        return true;
    }
    if (standin_now_ms() - worker->down_ms < worker->away_ms) {
        return false;
    }
    if (worker->same_id) {
        worker_model_restart(before, 1);
        printf("restarted worker=%s\n", worker->id);
        return true;
    }
    after = worker_fleet_revive(platform->fleet, before, 0);
    put_record(platform, "keyed.servers", worker->id, NULL);
    printf("revived worker=%s as=%s\n", worker->id, worker_model_id(after));
    g_free(worker->id);
    worker->id = g_strdup(worker_model_id(after));
    return true;
}

static void
report(struct platform *platform)
{
    for (guint i = 0; i < platform->workers->len; i++) {
        struct worker_server *worker = platform->workers->pdata[i];
        char *text;

        if (!revive(platform, worker)) {
            continue;
        }
        text = g_strdup_printf(
            "{\"service\":\"service\",\"address\":\"%s\",\"zone\":\"%s\","
            "\"slots\":8,\"state\":\"ready\",\"capacity\":{\"cpu\":%d,"
            "\"mem_mb\":%d,\"gpus\":%d},\"labels\":[\"a\",\"%s\"],"
            "\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 "}",
            worker->reported, worker->dc, CPU_MILLI, MEMORY_MB, ACCELERATORS,
            worker->rack, standin_now_ms(),
            worker_model_boot_ms(
                worker_fleet_find(platform->fleet, worker->id)));

        put_record(platform, "keyed.servers", worker->id, text);
        g_free(text);
    }
}

/* Reports come each 1.5 s, but a worker may be back sooner. */
static void
revive_all(struct platform *platform)
{
    for (guint i = 0; i < platform->workers->len; i++) {
        (void)revive(platform, platform->workers->pdata[i]);
    }
}

/* Every third worker from a changing one on crashes, and is back under its id
 * after 50 ms to 1.8 s. */
static void
crash_workers(struct platform *platform)
{
    for (guint i = platform->crashes++ % CRASH_EVERY;
         i < platform->workers->len; i += CRASH_EVERY)
    {
        struct worker_server *worker = platform->workers->pdata[i];
        struct worker_model *model =
            worker_fleet_find(platform->fleet, worker->id);

        if (!worker_model_dead(model)) {
            worker_model_crash(model);
            worker->down_ms = standin_now_ms();
            worker->away_ms =
                AGAIN_LEAST_MS + i * AGAIN_STEP_MS % AGAIN_SPAN_MS;
            worker->same_id = true;
        }
    }
    platform->same_id = false;
}

static void
lose_worker(struct platform *platform, const char *id)
{
    for (guint i = 0; i < platform->workers->len; i++) {
        struct worker_server *worker = platform->workers->pdata[i];
        struct worker_model *model =
            worker_fleet_find(platform->fleet, worker->id);

        if (strcmp(worker->id, id) == 0 && !worker_model_dead(model)) {
            worker_model_crash(model);
            worker->away_ms = INT64_MAX;
            printf("lost worker=%s at_ms=%" PRId64 "\n", id,
                   cw_clock_wall_ms(cw_clock_system()));
            fflush(stdout);
        }
    }
    platform->same_id = false;
}

/* Carries out the whole lines that standard input has by now. */
static void
take_commands(struct platform *platform, GString *text)
{
    struct pollfd input = {.fd = STDIN_FILENO, .events = POLLIN};
    char bytes[COMMAND_BYTES_MAX];
    const char *end;
    ssize_t length = 0;

    if (poll(&input, 1, 0) > 0) {
        length = read(STDIN_FILENO, bytes, sizeof(bytes));
    }
    g_string_append_len(text, bytes, MAX(length, 0));
    while ((end = strchr(text->str, '\n')) != NULL) {
        char *line = g_strndup(text->str, (gsize)(end - text->str));

        if (g_str_has_prefix(line, "lose ")) {
            lose_worker(platform, line + strlen("lose "));
        }
        g_string_erase(text, 0, end - text->str + 1);
        g_free(line);
    }
}

static struct cw_http_server *
serve(void (*handle)(void *, struct cw_http_call *), int64_t (*mark)(void *),
      void *context)
{
    struct cw_http_server_options options = {
        .address = "127.0.0.1",
        .threads = 1,
        .connections = 256,
        .idle_timeout_s = 60,
        .body_bytes_max = 4 << 20,
        .handle = handle,
        .mark = mark,
        .context = context,
    };
    struct cw_http_server *server = cw_http_server_create(&options);

    if (server == NULL) {
        fprintf(stderr, "curlewcart-platform: cannot listen\n");
        exit(1);
    }
    return server;
}

static void
start_worker(struct platform *platform, const char *dc, unsigned rack,
             unsigned number)
{
    const struct cw_resources capacity = {.cpu_milli = CPU_MILLI,
                                          .memory_mb = MEMORY_MB,
                                          .accelerators = ACCELERATORS};
    struct worker_server *worker = g_new0(struct worker_server, 1);

    worker->platform = platform;
    worker->dc = g_strdup(dc);
    worker->rack = g_strdup_printf("%s-r%u", dc, rack);
    worker->id = g_strdup_printf("%s-w%u", worker->rack, number);
    worker->server = serve(standin_handle_worker, standin_mark_worker, worker);
    worker->address =
        g_strdup_printf("127.0.0.1:%u", cw_http_server_port(worker->server));
    worker->reported = g_strdup(worker->address);
    worker_fleet_add(platform->fleet, worker->id, worker->rack, &capacity, 0);
    g_ptr_array_add(platform->workers, worker);
}

static void
start_workers(struct platform *platform)
{
    char **dcs = g_strsplit(platform->dcs, ",", -1);

    for (char **dc = dcs; *dc != NULL; dc++) {
        for (unsigned i = 0; i < platform->racks * platform->per_rack; i++) {
            start_worker(platform, *dc, i / platform->per_rack + 1,
                         i % platform->per_rack + 1);
        }
    }
    g_strfreev(dcs);
}

/* With a proxy between daemons and workers: tells where the workers listen,
 * and waits until the file says where they are to be reached, with lines
 * "LINK PORT" in the same order. */
static bool
report_by_proxy(struct platform *platform)
{
    char *text = NULL;
    char **lines;

    for (guint i = 0; i < platform->workers->len; i++) {
        const struct worker_server *worker = platform->workers->pdata[i];

        printf("worker=%s %s\n", worker->id, worker->address);
    }
    fflush(stdout);
    for (int tries = 0; tries < PROXY_TRIES && text == NULL; tries++) {
        g_usleep(WAIT_STEP_MS * 1000);
        (void)g_file_get_contents(platform->proxy_path, &text, NULL, NULL);
    }
    lines = g_strsplit(text != NULL ? text : "", "\n", -1);
    g_free(text);
    if (g_strv_length(lines) < platform->workers->len) {
        fprintf(stderr, "curlewcart-platform: %s: too few lines\n",
                platform->proxy_path);
        g_strfreev(lines);
        return false;
    }
    for (guint i = 0; i < platform->workers->len; i++) {
        struct worker_server *worker = platform->workers->pdata[i];
        const char *port = strrchr(lines[i], ' ');

        g_free(worker->reported);
        worker->reported =
            g_strdup_printf("127.0.0.1:%s", port != NULL ? port + 1 : "0");
    }
    g_strfreev(lines);
    return true;
}

static bool
load_config(struct platform *platform)
{
    char *text = NULL;

    if (!g_file_get_contents(platform->config_path, &text, NULL, NULL)) {
        fprintf(stderr, "curlewcart-platform: %s cannot be read\n",
                platform->config_path);
        return false;
    }
    put_record(platform, "keyed.op", "config", text);
    g_free(text);
    return true;
}

static error_t
parse(int key, char *value, struct argp_state *state)
{
    struct platform *platform = state->input;

    switch (key) {
    case 'd':
        platform->dcs = value;
        break;
    case 'r':
        platform->racks = (unsigned)strtoul(value, NULL, 10);
        break;
    case 'w':
        platform->per_rack = (unsigned)strtoul(value, NULL, 10);
        break;
    case 'c':
        platform->config_path = value;
        break;
    case 'p':
        platform->proxy_path = value;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static sigset_t
told_signals(void)
{
    sigset_t signals;

    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGUSR1);
    sigaddset(&signals, SIGUSR2);
    sigaddset(&signals, SIGHUP);
    return signals;
}

static void
run_until_told(struct platform *platform)
{
    struct timespec step = cw_time_from_ms(REVIVE_EVERY_MS);
    sigset_t signals = told_signals();
    GString *commands = g_string_new(NULL);
    int64_t report_ms = 0;
    int told;

    do {
        pthread_mutex_lock(&platform->lock);
        revive_all(platform);
        if (standin_now_ms() >= report_ms) {
            report(platform);
            report_ms = standin_now_ms() + REPORT_EVERY_MS;
        }
        worker_fleet_advance(platform->fleet, standin_fleet_ms());
        pthread_mutex_unlock(&platform->lock);
        told = sigtimedwait(&signals, NULL, &step);
        pthread_mutex_lock(&platform->lock);
        take_commands(platform, commands);
        if (told == SIGUSR1 || told == SIGUSR2) {
            platform->away = told == SIGUSR1;
        }
        if (told == SIGHUP) {
            crash_workers(platform);
        }
        pthread_mutex_unlock(&platform->lock);
    } while (told != SIGTERM && told != SIGINT);
    g_string_free(commands, TRUE);
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"dcs", 'd', "LIST", 0, "Data centres, parted by commas (z)", 0},
        {"racks", 'r', "N", 0, "Racks in each (3)", 0},
        {"per-rack", 'w', "N", 0, "Workers in each rack (4)", 0},
        {"config", 'c', "FILE", 0,
         "The operator's configuration; none with our own interface", 0},
        {"proxy", 'p', "FILE", 0,
         "Report workers at these ports, once the file is there", 0},
        {0},
    };
    static const struct argp argp = {
        options, parse, NULL, "The platform's stand-in on loopback.",
        NULL,    NULL,  NULL};
    struct platform platform = {.lock = PTHREAD_MUTEX_INITIALIZER,
                                .dcs = "z",
                                .racks = 3,
                                .per_rack = 4};
    struct worker_listener listener = standin_listener(&platform);
    sigset_t signals = told_signals();

    argp_parse(&argp, argc, argv, 0, NULL, &platform);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    platform.store = store_model_create(1);
    platform.fleet = worker_fleet_create(&listener);
    platform.workers = g_ptr_array_new();
    platform.active =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    platform.done =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    platform.payloads =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (platform.config_path != NULL && !load_config(&platform)) {
        return 2;
    }
    worker_fleet_advance(platform.fleet, standin_fleet_ms());
    worker_fleet_set_day(platform.fleet, cw_clock_wall_ms(cw_clock_system()) -
                                             standin_now_ms());
    start_workers(&platform);
    if (platform.proxy_path != NULL && !report_by_proxy(&platform)) {
        return 2;
    }
    platform.store_server = serve(standin_handle_store, NULL, &platform);
    printf("store=127.0.0.1:%u\n", cw_http_server_port(platform.store_server));
    fflush(stdout);
    run_until_told(&platform);
    printf("violations=%u\n", platform.violations);
    fflush(stdout);
    /* Threads that hold a call still use what returning from here frees. */
    _exit(platform.violations > 0 ? 1 : 0);
}

/* curlewcart-platform: the platform's store and workers over HTTP on
 * loopback, for tests with real daemons.
 *
 * Serves the emulator's models over HTTP.  Implements the calls that the
 * product makes, as the users specify them, and prints the addresses that it
 * listens on.
 *
 * The payload of a job determines what its tasks do:
 *   run_ms=N        duration of a run
 *   members=N       the task belongs to a gang of N
 *   accelerators=N  accelerators that a task needs (default 1)
 *   fails=N         the first N runs of a task fail
 *   label=LABEL     workers that run a task have this label
 *   most_per_worker=N
 *                   of a step, a worker runs so many tasks at a time at most
 *   echo=TEXT       a successful run reports the text "JOB:TEXT"
 *   crash=1         the job's first task crashes every worker that starts it;
 *                   the worker doesn't answer for a while and then restarts
 *                   under another id
 *   crash=2         the same, but the worker restarts under its id
 *
 * SIGUSR1 makes the store refuse all calls, SIGUSR2 makes it serve again.
 * SIGHUP crashes every third worker at once; they restart under their ids.
 *
 *   saved_bytes=N   tasks save checkpoints of at least N bytes
 *
 * Standard input has one command a line; WORKER is the first id of a worker:
 *
 *   odd                     appends odd entries to those of the workers
 *   late-appends KEY MS N   the next N appends of a record whose key begins
 *                           with KEY have no answer in time, and are carried
 *                           out MS later
 *   lose WORKER             crashes the worker permanently; it stays listed
 *   mute WORKER MS          its reports do not arrive for so long, so that its
 *                           entry may expire; it works on and answers orders
 *   expire WORKER MS        removes its entry now; its next report is stored
 *                           MS later; it works on and answers orders
 *   crash WORKER DOWN_MS LATE_MS new|same
 *                           crashes the worker, which restarts after DOWN_MS
 *                           under a new id or the same; its last report is
 *                           stored again LATE_MS after the crash
 *   leave WORKER STAYS_MS DOWN_MS
 *                           the worker reports that it drains, shuts down
 *                           after STAYS_MS, and starts DOWN_MS later at its
 *                           address under a new id
 *   late WORKER MS HELD REFUSED SEED
 *                           for so long, it holds back HELD percent of the
 *                           starts and stops that reach it, and carries them
 *                           out 2 to 6 s later; of the other starts it refuses
 *                           REFUSED percent with 503 */
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
standin_fleet_now_ms(void)
{
    int64_t now_ms = standin_now_ms();

    return now_ms - now_ms % RESTART_CHECK_MS;
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
standin_defer_call(struct platform *platform, struct worker_server *worker,
                   struct cw_http_call *call, int64_t wait_ms,
                   void *(*run)(void *))
{
    struct deferred_call *deferred_call = g_new0(struct deferred_call, 1);
    pthread_t thread;

    deferred_call->platform = platform;
    deferred_call->worker = worker;
    deferred_call->call = call;
    deferred_call->until_ms = standin_now_ms() + wait_ms;
    if (pthread_create(&thread, NULL, run, deferred_call) == 0) {
        pthread_detach(thread);
        return;
    }
    run(deferred_call);
}

void
standin_append(struct platform *platform, const char *topic, const char *key,
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

/* ---- crashes ---- */

/* Restarts a worker whose downtime has ended. */
static void
restart_if_due(struct platform *platform, struct worker_server *worker)
{
    struct worker_model *before =
        worker_fleet_find(platform->fleet, worker->id);
    const struct worker_model *after;

    if (!worker_model_is_down(before) ||
        standin_now_ms() - worker->crashed_at_ms < worker->downtime_ms)
    {
        return;
    }
    if (worker->keeps_id) {
        worker_model_restart(before, 1);
        printf("restarted worker=%s\n", worker->id);
        return;
    }
    after = worker_fleet_restart_with_new_id(platform->fleet, before, 0);
    if (!worker->stays_listed) {
        standin_remove_entry(platform, worker->id);
    }
    printf("revived worker=%s as=%s\n", worker->id, worker_model_id(after));
    g_free(worker->id);
    worker->id = g_strdup(worker_model_id(after));
}

/* Shuts down a worker that has drained for long enough. */
static void
shut_down_if_due(struct platform *platform, struct worker_server *worker)
{
    if (worker->leaves_at_ms == 0 || standin_now_ms() < worker->leaves_at_ms) {
        return;
    }
    worker->leaves_at_ms = 0;
    worker_model_shut_down(worker_fleet_find(platform->fleet, worker->id));
    worker->crashed_at_ms = standin_now_ms();
    worker->keeps_id = false;
    worker->stays_listed = true;
    standin_remove_entry(platform, worker->id);
    printf("left worker=%s at_ms=%" PRId64 "\n", worker->id,
           cw_clock_wall_ms(cw_clock_system()));
}

static void
process_all_due(struct platform *platform)
{
    for (guint i = 0; i < platform->workers->len; i++) {
        shut_down_if_due(platform, platform->workers->pdata[i]);
        restart_if_due(platform, platform->workers->pdata[i]);
    }
}

/* Crashes a worker; false if it is down. */
static bool
crash_worker(struct platform *platform, struct worker_server *worker,
             int64_t downtime_ms, bool keeps_id)
{
    struct worker_model *model =
        worker_fleet_find(platform->fleet, worker->id);

    if (worker_model_is_down(model)) {
        return false;
    }
    worker_model_crash(model);
    platform->next_crash_keeps_id = false;
    worker->crashed_at_ms = standin_now_ms();
    worker->downtime_ms = downtime_ms;
    worker->keeps_id = keeps_id;
    worker->stays_listed = false;
    worker->leaves_at_ms = 0;
    return true;
}

/* Crashes every third worker, starting from a different worker each time.
 * They restart under their ids after 50 ms to 1.8 s. */
static void
crash_workers(struct platform *platform)
{
    for (guint i = platform->crash_rounds++ % CRASH_EVERY_NTH;
         i < platform->workers->len; i += CRASH_EVERY_NTH)
    {
        (void)crash_worker(platform, platform->workers->pdata[i],
                           RESTART_DELAY_MIN_MS + i * RESTART_DELAY_STEP_MS %
                                                      RESTART_DELAY_SPAN_MS,
                           true);
    }
}

/* ---- commands ---- */

static void
lose_worker(struct platform *platform, struct worker_server *worker)
{
    if (crash_worker(platform, worker, INT64_MAX, true)) {
        standin_keep_entry(platform, worker->id);
        printf("lost worker=%s at_ms=%" PRId64 "\n", worker->id,
               cw_clock_wall_ms(cw_clock_system()));
    }
}

static void
crash_with_late_report(struct platform *platform, struct worker_server *worker,
                       int64_t downtime_ms, int64_t late_ms, bool keeps_id)
{
    char *report = standin_report_text(platform, worker);

    if (crash_worker(platform, worker, downtime_ms, keeps_id)) {
        worker->stays_listed = true;
        standin_store_late(platform, worker->id, report, late_ms);
        printf("down worker=%s at_ms=%" PRId64 "\n", worker->id,
               cw_clock_wall_ms(cw_clock_system()));
    }
    g_free(report);
}

static void
expire_entry(struct platform *platform, struct worker_server *worker,
             int64_t relisted_ms)
{
    worker->relisted_at_ms = standin_now_ms() + relisted_ms;
    standin_remove_entry(platform, worker->id);
    printf("expired worker=%s at_ms=%" PRId64 "\n", worker->id,
           cw_clock_wall_ms(cw_clock_system()));
}

static void
hold_orders(struct worker_server *worker, char **words)
{
    worker->late_until_ms =
        standin_now_ms() + g_ascii_strtoll(words[2], NULL, 10);
    worker->held_percent = (int)g_ascii_strtoll(words[3], NULL, 10);
    worker->refused_percent = (int)g_ascii_strtoll(words[4], NULL, 10);
    g_rand_set_seed(worker->random,
                    (guint32)g_ascii_strtoull(words[5], NULL, 10));
    printf("late worker=%s ms=%s at_ms=%" PRId64 "\n", worker->id, words[2],
           cw_clock_wall_ms(cw_clock_system()));
}

static void
leave(struct platform *platform, struct worker_server *worker,
      int64_t stays_ms, int64_t downtime_ms)
{
    if (worker_model_is_down(worker_fleet_find(platform->fleet, worker->id)) ||
        worker->leaves_at_ms > 0)
    {
        return;
    }
    worker->leaves_at_ms = standin_now_ms() + stays_ms;
    worker->downtime_ms = downtime_ms;
    standin_report_workers(platform);
    printf("draining worker=%s at_ms=%" PRId64 "\n", worker->id,
           cw_clock_wall_ms(cw_clock_system()));
}

static struct worker_server *
find_worker(const struct platform *platform, const char *name)
{
    for (guint i = 0; i < platform->workers->len; i++) {
        struct worker_server *worker = platform->workers->pdata[i];

        if (strcmp(worker->name, name) == 0) {
            return worker;
        }
    }
    return NULL;
}

static void
set_late_appends(struct platform *platform, char **words)
{
    g_free(platform->late_key);
    platform->late_key = g_strdup(words[1]);
    platform->late_ms = g_ascii_strtoll(words[2], NULL, 10);
    platform->late_count = (unsigned)g_ascii_strtoull(words[3], NULL, 10);
}

static void
run_command(struct platform *platform, const char *line)
{
    char **words = g_strsplit(line, " ", -1);
    guint count = g_strv_length(words);
    struct worker_server *worker =
        count > 1 ? find_worker(platform, words[1]) : NULL;

    if (strcmp(line, "odd") == 0) {
        standin_append_odd_entries(platform);
    }
    else if (count == 4 && strcmp(words[0], "late-appends") == 0) {
        set_late_appends(platform, words);
    }
    else if (worker == NULL) {
        fprintf(stderr, "curlewcart-platform: no worker: %s\n", line);
    }
    else if (strcmp(words[0], "lose") == 0) {
        lose_worker(platform, worker);
    }
    else if (strcmp(words[0], "mute") == 0 && count == 3) {
        worker->muted_until_ms =
            standin_now_ms() + g_ascii_strtoll(words[2], NULL, 10);
        printf("muted worker=%s ms=%s at_ms=%" PRId64 "\n", worker->id,
               words[2], cw_clock_wall_ms(cw_clock_system()));
    }
    else if (strcmp(words[0], "expire") == 0 && count == 3) {
        expire_entry(platform, worker, g_ascii_strtoll(words[2], NULL, 10));
    }
    else if (strcmp(words[0], "crash") == 0 && count == 5) {
        crash_with_late_report(platform, worker,
                               g_ascii_strtoll(words[2], NULL, 10),
                               g_ascii_strtoll(words[3], NULL, 10),
                               strcmp(words[4], "same") == 0);
    }
    else if (strcmp(words[0], "leave") == 0 && count == 4) {
        leave(platform, worker, g_ascii_strtoll(words[2], NULL, 10),
              g_ascii_strtoll(words[3], NULL, 10));
    }
    else if (strcmp(words[0], "late") == 0 && count == 6) {
        hold_orders(worker, words);
    }
    else {
        fprintf(stderr, "curlewcart-platform: unknown command: %s\n", line);
    }
    fflush(stdout);
    g_strfreev(words);
}

/* Reads standard input without blocking and executes complete lines. */
static void
run_commands(struct platform *platform, GString *text)
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

        run_command(platform, line);
        g_string_erase(text, 0, end - text->str + 1);
        g_free(line);
    }
}

/* ---- start ---- */

static struct cw_http_server *
start_server(void (*handle)(void *, struct cw_http_call *),
             int64_t (*tag_connection)(void *), void *context)
{
    struct cw_http_server_options options = {
        .address = "127.0.0.1",
        .threads = 1,
        .connections = 256,
        .idle_timeout_s = 60,
        .body_bytes_max = 4 << 20,
        .handle = handle,
        .tag_connection = tag_connection,
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
    const struct cw_resources capacity = {.cpu_milli = WORKER_CPU_MILLI,
                                          .memory_mb = WORKER_MEMORY_MB,
                                          .accelerators = WORKER_ACCELERATORS};
    struct worker_server *worker = g_new0(struct worker_server, 1);

    worker->platform = platform;
    worker->dc = g_strdup(dc);
    worker->rack = g_strdup_printf("%s-r%u", dc, rack);
    worker->name = g_strdup_printf("%s-w%u", worker->rack, number);
    worker->id = g_strdup(worker->name);
    worker->random = g_rand_new_with_seed(0);
    worker->server = start_server(standin_handle_worker,
                                  standin_connection_boot_ms, worker);
    worker->address =
        g_strdup_printf("127.0.0.1:%u", cw_http_server_port(worker->server));
    worker->reported_address = g_strdup(worker->address);
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

/* Makes workers reachable through a proxy: prints the workers' addresses and
 * waits for the file with the proxy's ports, which has a line "LINK PORT" for
 * each worker, in the same order. */
static bool
use_proxy_addresses(struct platform *platform)
{
    char *text = NULL;
    char **lines;

    for (guint i = 0; i < platform->workers->len; i++) {
        const struct worker_server *worker = platform->workers->pdata[i];

        printf("worker=%s %s\n", worker->id, worker->address);
    }
    fflush(stdout);
    for (int attempts = 0; attempts < PROXY_WAIT_STEPS && text == NULL;
         attempts++) {
        g_usleep(POLL_INTERVAL_MS * 1000);
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

        g_free(worker->reported_address);
        worker->reported_address =
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
    standin_append(platform, "keyed.op", "config", text);
    g_free(text);
    return true;
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
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
    case 'b':
        platform->hides_boot_times = true;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static sigset_t
handled_signals(void)
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
run_until_stopped(struct platform *platform)
{
    struct timespec step = cw_time_from_ms(RESTART_CHECK_MS);
    sigset_t signals = handled_signals();
    GString *commands = g_string_new(NULL);
    int64_t report_ms = 0;
    int signal_number;

    do {
        pthread_mutex_lock(&platform->lock);
        process_all_due(platform);
        if (standin_now_ms() >= report_ms) {
            standin_report_workers(platform);
            report_ms = standin_now_ms() + REPORT_INTERVAL_MS;
        }
        standin_update_entries(platform);
        worker_fleet_advance(platform->fleet, standin_fleet_now_ms());
        pthread_mutex_unlock(&platform->lock);
        signal_number = sigtimedwait(&signals, NULL, &step);
        pthread_mutex_lock(&platform->lock);
        run_commands(platform, commands);
        if (signal_number == SIGUSR1 || signal_number == SIGUSR2) {
            platform->store_unavailable = signal_number == SIGUSR1;
        }
        if (signal_number == SIGHUP) {
            crash_workers(platform);
        }
        pthread_mutex_unlock(&platform->lock);
    } while (signal_number != SIGTERM && signal_number != SIGINT);
    g_string_free(commands, TRUE);
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"dcs", 'd', "LIST", 0, "Data centres, separated by commas (z)", 0},
        {"racks", 'r', "N", 0, "Racks in each data centre (3)", 0},
        {"per-rack", 'w', "N", 0, "Workers in each rack (4)", 0},
        {"config", 'c', "FILE", 0,
         "The operator's configuration; none with the project's own interface",
         0},
        {"proxy", 'p', "FILE", 0,
         "Wait for this file and report workers at the ports in it", 0},
        {"no-boot-times", 'b', NULL, 0, "Workers do not tell when they booted",
         0},
        {0},
    };
    static const struct argp argp = {
        options, parse_option, NULL, "Stand-in for the platform on loopback.",
        NULL,    NULL,         NULL};
    struct platform platform = {.lock = PTHREAD_MUTEX_INITIALIZER,
                                .dcs = "z",
                                .racks = 3,
                                .per_rack = 4};
    struct worker_listener listener = standin_worker_listener(&platform);
    sigset_t signals = handled_signals();

    argp_parse(&argp, argc, argv, 0, NULL, &platform);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    platform.store = store_model_create(1);
    platform.fleet = worker_fleet_create(&listener);
    platform.workers = g_ptr_array_new();
    standin_entries_init(&platform);
    platform.active =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    platform.on_worker =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    platform.done =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    platform.payloads =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (platform.config_path != NULL && !load_config(&platform)) {
        return 2;
    }
    worker_fleet_advance(platform.fleet, standin_fleet_now_ms());
    worker_fleet_set_wall_clock(platform.fleet,
                                cw_clock_wall_ms(cw_clock_system()) -
                                    standin_now_ms());
    start_workers(&platform);
    if (platform.proxy_path != NULL && !use_proxy_addresses(&platform)) {
        return 2;
    }
    platform.store_server =
        start_server(standin_handle_store, NULL, &platform);
    printf("store=127.0.0.1:%u\n", cw_http_server_port(platform.store_server));
    fflush(stdout);
    run_until_stopped(&platform);
    printf("violations=%u\n", platform.violations);
    fflush(stdout);
    /* Threads that handle a call may still use `platform`, which returning
     * would free. */
    _exit(platform.violations > 0 ? 1 : 0);
}

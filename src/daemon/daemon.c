/* The daemon: starting, ticking, leaving. */
#include "curlewcart/cw_daemon.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <ck_pr.h>
#include <sodium.h>

#include "daemon/internal/daemon_private.h"

enum { DRAIN_STEP_MS = 50, EXIT_START = 3 };

static void
nap(int ms)
{
    struct timespec wait = {
        .tv_sec = ms / CW_MS_PER_S,
        .tv_nsec = (long)(ms % CW_MS_PER_S) * CW_NS_PER_MS,
    };

    nanosleep(&wait, NULL);
}

/* True if records wait for the log: the next batch is due soon. */
static bool
tick_once(struct cw_daemon *daemon)
{
    struct timespec now = cw_clock_now(daemon->clock);
    bool busy;

    pthread_mutex_lock(&daemon->lock);
    cw_node_tick(daemon->node);
    if (!daemon->vms_outstanding &&
        cw_time_diff_ms(daemon->vms_asked, now) >= DAEMON_VMS_MS)
    {
        daemon->vms_asked = now;
        cw_daemon_ask_vms(daemon);
    }
    busy = cw_node_backlog(daemon->node) > 0;
    pthread_mutex_unlock(&daemon->lock);
    if (cw_time_diff_ms(daemon->expired, now) >= DAEMON_TICK_MS) {
        daemon->expired = now;
        cw_waiters_expire(daemon->waiters, now, false);
    }
    return busy;
}

static void *
ticker_main(void *argument)
{
    struct cw_daemon *daemon = argument;

    while (ck_pr_load_uint(&daemon->stop) == 0) {
        nap(tick_once(daemon) ? DAEMON_BUSY_TICK_MS : DAEMON_TICK_MS);
    }
    return NULL;
}

/* ---- starting ---- */

static void
create_node(struct cw_daemon *daemon)
{
    const struct cw_settings_doc *doc = daemon->settings->doc;
    struct cw_node_options options = {
        .vm = doc->vm,
        .dc = doc->dc,
        .incarnation = daemon->incarnation,
        .clock = daemon->clock,
        .port = &daemon->port,
        .trusted = doc->trusted_operators,
        .trusted_count = doc->trusted_operators_count,
        .peer_key = daemon->settings->peer_key,
        .retention_ms = (int64_t)doc->platform.retention_s * CW_MS_PER_S,
        .memory_ms = (int64_t)doc->limits.memory_s * CW_MS_PER_S,
        .append_interval_ms = doc->limits.append_interval_ms,
        .seed = randombytes_random(),
    };

    daemon->node = cw_node_create(&options);
    for (unsigned i = 0; i < doc->peers_count; i++) {
        const struct cw_peer_settings *peer = &doc->peers[i];

        cw_membership_list(cw_node_membership(daemon->node), peer->vm,
                           peer->dc, peer->address, false);
    }
}

static bool
start_peers(struct cw_daemon *daemon)
{
    const struct cw_settings_doc *doc = daemon->settings->doc;
    struct cw_peers_options options = {
        .vm = doc->vm,
        .dc = doc->dc,
        .incarnation = daemon->incarnation,
        .key = daemon->settings->peer_key,
        .address = doc->listen.peers.address,
        .port = (uint16_t)doc->listen.peers.port,
        .counters = cw_node_counters(daemon->node),
        .received = cw_daemon_received,
        .context = daemon,
    };

    daemon->peers = cw_peers_create(&options);
    return daemon->peers != NULL;
}

static bool
start_server(struct cw_daemon *daemon)
{
    const struct cw_settings_doc *doc = daemon->settings->doc;
    struct cw_http_server_options options = {
        .address = doc->listen.callers.address,
        .port = (uint16_t)doc->listen.callers.port,
        .threads = doc->limits.threads,
        .connections = doc->limits.connections,
        .idle_s = doc->limits.idle_s,
        .body_max = doc->limits.body_bytes,
        .tls_certificate = daemon->settings->tls_certificate,
        .tls_key = daemon->settings->tls_key,
        .handle = cw_daemon_handle,
        .context = daemon,
    };

    daemon->server = cw_http_server_create(&options);
    return daemon->server != NULL;
}

static void
write_ports(const struct cw_daemon *daemon)
{
    const char *path = daemon->settings->doc->ports_file;
    char *text;

    if (path == NULL) {
        return;
    }
    text = g_strdup_printf("callers=%u\npeers=%u\n",
                           cw_http_server_port(daemon->server),
                           cw_peers_port(daemon->peers));
    if (!g_file_set_contents(path, text, -1, NULL)) {
        cw_log_error("ports_file", "path=%s reason=cannot_write", path);
    }
    g_free(text);
}

static bool
start(struct cw_daemon *daemon)
{
    randombytes_buf(&daemon->incarnation, sizeof(daemon->incarnation));
    daemon->incarnation &= G_MAXINT64;
    daemon->client = cw_http_client_create(NULL);
    if (daemon->client == NULL) {
        return false;
    }
    create_node(daemon);
    if (!start_peers(daemon)) {
        cw_log_error("start", "reason=peer_listener");
        return false;
    }
    if (!start_server(daemon)) {
        cw_log_error("start", "reason=caller_listener");
        return false;
    }
    write_ports(daemon);
    daemon->ticking =
        pthread_create(&daemon->ticker, NULL, ticker_main, daemon) == 0;
    cw_log_info("started", "dc=%s callers=%u peers=%u",
                daemon->settings->doc->dc, cw_http_server_port(daemon->server),
                cw_peers_port(daemon->peers));
    return daemon->ticking;
}

/* ---- leaving ---- */

static bool
is_drained(struct cw_daemon *daemon)
{
    bool drained;

    pthread_mutex_lock(&daemon->lock);
    drained = cw_node_pending(daemon->node) == 0 &&
              cw_node_backlog(daemon->node) == 0 &&
              cw_ledger_provisional(cw_node_ledger(daemon->node)) == 0;
    pthread_mutex_unlock(&daemon->lock);
    return drained && cw_waiters_count(daemon->waiters) == 0;
}

/* Keeps serving what it holds; new requests end after a short time. */
static void
drain(struct cw_daemon *daemon)
{
    struct timespec began = cw_clock_now(daemon->clock);
    int64_t most =
        (int64_t)daemon->settings->doc->limits.drain_s * CW_MS_PER_S;
    int64_t least = 2500; /* the balancer must have seen that it leaves */
    int64_t passed;

    pthread_mutex_lock(&daemon->lock);
    cw_node_leave(daemon->node);
    pthread_mutex_unlock(&daemon->lock);
    cw_log_info("leaving", "pending=%u waiting=%u",
                cw_node_pending(daemon->node),
                cw_waiters_count(daemon->waiters));
    do {
        nap(DRAIN_STEP_MS);
        passed = cw_time_diff_ms(began, cw_clock_now(daemon->clock));
    } while (passed < most && (passed < least || !is_drained(daemon)));
    cw_waiters_expire(daemon->waiters, began, true);
    nap(DRAIN_STEP_MS);
}

static void
stop(struct cw_daemon *daemon)
{
    ck_pr_store_uint(&daemon->stop, 1);
    if (daemon->ticking) {
        pthread_join(daemon->ticker, NULL);
    }
    cw_http_server_free(daemon->server);
    cw_http_client_free(daemon->client);
    cw_peers_free(daemon->peers);
    cw_node_free(daemon->node);
    cw_bundle_unref(daemon->bundle);
    cw_waiters_free(daemon->waiters);
    cw_settings_free(daemon->settings);
    pthread_mutex_destroy(&daemon->lock);
    pthread_mutex_destroy(&daemon->bundle_lock);
    g_free(daemon);
}

int
cw_daemon_run(struct cw_settings *settings)
{
    struct cw_daemon *daemon = g_new0(struct cw_daemon, 1);
    const char *level = settings->doc->log_level;
    sigset_t signals;
    int received = 0;
    int status = 0;

    cw_log_setup(level != NULL ? level : "info", settings->doc->vm);
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    daemon->port.ops = cw_daemon_port_ops();
    daemon->settings = settings;
    daemon->clock = cw_clock_system();
    daemon->waiters = cw_waiters_create();
    pthread_mutex_init(&daemon->lock, NULL);
    pthread_mutex_init(&daemon->bundle_lock, NULL);
    if (!start(daemon)) {
        status = EXIT_START;
        goto done;
    }
    sigwait(&signals, &received);
    drain(daemon);
    cw_log_info("stopped", "signal=%d", received);

done:
    stop(daemon);
    return status;
}

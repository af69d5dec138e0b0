/* The daemon of a VM: creates its components, handles signals and shuts it
 * down. */
#include "curlewcart/cw_vm.h"

#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <sodium.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_time.h"
#include "vm/internal/vm_private.h"

enum {
    EXIT_START_FAILED = 1,
    /* Longest wait of a read of the configuration's topic: a configuration
     * must be in force within 2 s, and changes are rare. */
    ROUTING_WAIT_MS = 1000,
    /* Time to live of a group member, as a percentage of the shortest that
     * the store allows: five heartbeats fit into it, and a failed owner is
     * replaced soon. */
    MEMBER_TTL_PERCENT = 130,
    PERCENT = 100,
    MILLI = 1000,
    /* Time for which a VM that shuts down still serves: the load balancer
     * checks every second and removes a VM after two failed checks. */
    SHUTDOWN_MIN_MS = 2600,
    /* Part of the grace period that is left over before SIGKILL. */
    SHUTDOWN_RESERVE_MS = 900,
    SHUTDOWN_POLL_MS = 10,
    /* Part of the reserve that may be used to send the last answers. */
    SHUTDOWN_FLUSH_MS = 300,
    /* Descriptors that the platform specifies as unavailable for sockets. */
    RESERVED_DESCRIPTORS = 200,
    /* Share of the other descriptors for connections to workers and the
     * store; the rest is left for callers' connections, which have a limit of
     * their own, see CALLER_CONNECTIONS_MAX in vm_listen.c. */
    CLIENT_SHARE_NUMERATOR = 7,
    CLIENT_SHARE_DENOMINATOR = 8,
    /* Input that may have waited this long is late: the orders and polls that
     * it answers have timeouts of 500 ms and more. */
    INPUT_LATE_MS = 100,
    INPUT_LATE_LOG_INTERVAL_MS = 1000,
    /* Ended jobs are kept for longer than the platform requires, so that
     * repeated calls still find them. */
    RETAIN_EXTRA_S = 60
};

/* ---- configuration ---- */

static void
configure(void *context, struct cw_routing *routing)
{
    struct cw_vm *vm = context;

    cw_entry_configure(vm->entry, routing);
    cw_owner_configure(vm->owner, routing);
}

/* Puts a configuration that an operator of the platform wrote into force,
 * unless it is older than the current one. */
static void
on_routing(void *context, const struct cw_store_record *record)
{
    struct cw_vm *vm = context;
    const struct cw_codec *codec = platform_codec();
    const struct cw_routing *current = cw_entry_routing(vm->entry);
    struct cw_routing *routing;
    char problem[128] = "";

    if (strcmp(record->key, codec->routing_key) != 0 || record->value == NULL)
    {
        return;
    }
    routing = codec->decode_routing(record->value, record->length, problem,
                                    sizeof(problem));
    if (routing == NULL) {
        cw_log_error("config_invalid", "offset=%" PRIu64 " reason=\"%s\"",
                     record->offset, problem);
        return;
    }
    if (current == NULL || routing->version > current->version) {
        cw_log_info("config",
                    "version=%" PRIu64 " before=%" PRIu64 " offset=%" PRIu64
                    " queues=%u accounts=%u",
                    routing->version, current != NULL ? current->version : 0,
                    record->offset, routing->queues->len,
                    routing->accounts->len);
        configure(vm, routing);
    }
    cw_routing_unref(routing);
}

/* Handles a record of the operators: a configuration or a command. */
static void
on_operator_record(void *context, const struct cw_store_record *record)
{
    struct cw_vm *vm = context;
    const struct cw_codec *codec = platform_codec();

    on_routing(vm, record);
    cw_cordons_record(vm->cordons, record);
    if (strcmp(record->key, codec->routing_key) != 0 &&
        codec->cordoned_dc(record->key) == NULL)
    {
        cw_log_warning("operator_command_unknown", "key=%s offset=%" PRIu64,
                       record->key, record->offset);
    }
}

static void
on_operator_reset(void *context)
{
    struct cw_vm *vm = context;

    cw_cordons_reset(vm->cordons);
}

static void
on_operator_loaded(void *context)
{
    struct cw_vm *vm = context;

    cw_cordons_loaded(vm->cordons);
}

static void
on_cordons_changed(void *context)
{
    struct cw_vm *vm = context;

    cw_owner_cordons_changed(vm->owner);
}

/* ---- ticking ---- */

static void
on_relay_readable(void *context)
{
    struct cw_vm *vm = context;

    cw_relay_receive(vm->relay);
}

/* Counts how long input may have lain unread, and logs it if that was long. */
static void
on_input_read(void *context, int64_t busy_ms, unsigned events)
{
    struct cw_vm *vm = context;
    struct vm_late_input *late = &vm->late_input;
    struct timespec now = cw_clock_now(vm->clock);

    cw_count_latency(&vm->counters, CW_LATENCY_INPUT, busy_ms);
    if (busy_ms < INPUT_LATE_MS) {
        return;
    }
    late->oldest_ms = MAX(late->oldest_ms, busy_ms);
    late->events += events;
    if (cw_time_diff_ms(late->logged_at, now) < INPUT_LATE_LOG_INTERVAL_MS) {
        return;
    }
    cw_log_warning("input_late",
                   "queue=answers oldest_ms=%" PRId64 " count=%u",
                   late->oldest_ms, late->events);
    *late = (struct vm_late_input){.logged_at = now};
}

/* Continues to read the log of jobs; returns the time of the next call.  The
 * load gate applies only to the platform's interface: with the project's own,
 * the configuration comes through the API, and all VMs read the log at once.
 */
static struct timespec
tick_jobs_follower(struct cw_vm *vm, struct timespec now)
{
    struct cw_follower *jobs = cw_replica_follower(vm->replica);

    if (vm->api == NULL &&
        !cw_load_gate_is_open(&vm->load_gate,
                              cw_entry_routing(vm->entry) != NULL, now))
    {
        return cw_load_gate_due(&vm->load_gate);
    }
    cw_follower_tick(jobs, now);
    return cw_follower_due(jobs);
}

static unsigned
on_tick(void *context)
{
    struct cw_vm *vm = context;
    struct timespec now;
    struct timespec next;
    int64_t wait_ms = CW_MS_PER_S;

    pthread_mutex_lock(&vm->engine_lock);
    if (vm->running) {
        now = cw_clock_now(vm->clock);
        next = tick_jobs_follower(vm, now);
        if (vm->api != NULL) {
            cw_time_set_earlier(&next, cw_api_tick(vm->api, now));
        }
        else {
            cw_follower_tick(vm->routing_follower, now);
            cw_time_set_earlier(&next, cw_follower_due(vm->routing_follower));
        }
        cw_entry_set_isolated(vm->entry, cw_relay_is_isolated(vm->relay));
        cw_time_set_earlier(&next, cw_entry_tick(vm->entry, now));
        cw_time_set_earlier(&next, cw_owner_tick(vm->owner, now));
        cw_time_set_earlier(&next, cw_relay_tick(vm->relay, now));
        /* Rounded up: a wake-up before `next` would find nothing due. */
        wait_ms = cw_time_diff_ms(cw_clock_now(vm->clock), next) + 1;
    }
    pthread_mutex_unlock(&vm->engine_lock);
    return (unsigned)CLAMP(wait_ms, 0, CW_MS_PER_S);
}

/* ---- start and stop ---- */

static void
create_api(struct cw_vm *vm, struct cw_store *store)
{
    const struct cw_settings *settings = vm->settings;
    struct cw_api_options options = {
        .vm = settings->vm,
        .dc = settings->dc,
        .service = settings->api->service,
        .clock = vm->clock,
        .store = store,
        .entry = vm->entry,
        .replica = vm->replica,
        .owner = vm->owner,
        .counters = &vm->counters,
        .engine_lock = &vm->engine_lock,
        .chain = {.trusted = settings->api->trusted_operators,
                  .trusted_count = settings->api->trusted_operators_count,
                  .seal_key = vm->secrets->seal_key},
        .operator_token_hash = vm->secrets->operator_token_hash,
        .configured = configure,
        .context = vm,
    };

    vm->api = cw_api_create(&options);
}

/* The VM's processor in thousandths of a usual core; 0 if unknown. */
static unsigned
processor_capacity_milli(const struct cw_settings_processor *processor)
{
    double cores = processor->cores > 0 ? processor->cores : 1;

    return (unsigned)lround(processor->share * cores * MILLI);
}

/* Callers of the project's own interface wait for the end of a job; the
 * platform's callers poll, and a poll reads the log on demand. */
static unsigned
standby_read_interval_ms(const struct cw_settings *settings)
{
    return settings->api != NULL ? CW_STANDBY_READ_INTERVAL_MS
                                 : CW_ON_DEMAND_READ_INTERVAL_MS;
}

/* Limit on the connections that are kept open.  An owner needs two for each
 * worker: with fewer it would open new ones continuously. */
static unsigned
pool_connections_max(const struct cw_settings *settings)
{
    if (settings->descriptors <= RESERVED_DESCRIPTORS) {
        return CW_HTTP_POOL_CONNECTIONS_DEFAULT;
    }
    return (settings->descriptors - RESERVED_DESCRIPTORS) *
           CLIENT_SHARE_NUMERATOR / CLIENT_SHARE_DENOMINATOR;
}

static void
create_engine(struct cw_vm *vm)
{
    const struct cw_settings *settings = vm->settings;
    uint64_t incarnation = 0;
    char *member;
    struct cw_store *store;
    struct platform_options platform = {.client = vm->client,
                                        .engine_lock = &vm->engine_lock};
    struct cw_replica_options replica = {
        .clock = vm->clock,
        .read_interval_ms = standby_read_interval_ms(settings)};
    struct cw_entry_options entry = {.clock = vm->clock,
                                     .counters = &vm->counters,
                                     .record_bytes =
                                         settings->bounds.record_bytes};
    struct cw_owner_options owner = {
        .codec = platform_codec(),
        .clock = vm->clock,
        .counters = &vm->counters,
        .member_ttl_ms =
            settings->bounds.member_ttl_ms * MEMBER_TTL_PERCENT / PERCENT,
        .lease_ms = settings->bounds.lease_ms,
        .report_ms = settings->bounds.report_ms,
        .cordon_ms = settings->bounds.cordon_ms,
        .cancel_ms = settings->bounds.cancel_ms,
        .capacity_milli = processor_capacity_milli(&settings->processor),
        .standby_read_interval_ms = standby_read_interval_ms(settings),
        .exposes_placements = settings->api != NULL,
        .connections_max = pool_connections_max(settings),
        .record_bytes = settings->bounds.record_bytes,
        .retain_ms =
            (settings->bounds.retain_s + RETAIN_EXTRA_S) * CW_MS_PER_S,
    };
    struct cw_follower_options routing = {
        .name = "config",
        .clock = vm->clock,
        .topic = platform_codec()->routing_topic,
        .wait_ms = ROUTING_WAIT_MS,
        .handler = {.reset = on_operator_reset,
                    .loaded = on_operator_loaded,
                    .record = on_operator_record,
                    .context = vm},
    };
    struct cw_cordons_options cordons = {.codec = platform_codec(),
                                         .clock = vm->clock,
                                         .changed = on_cordons_changed,
                                         .context = vm};

    store = cw_relay_store(vm->relay);
    cw_load_gate_init(&vm->load_gate,
                      processor_capacity_milli(&settings->processor),
                      cw_clock_now(vm->clock));
    vm->targets = platform_targets_new(&platform);
    replica.store = store;
    vm->replica = cw_replica_create(&replica);
    entry.store = store;
    entry.replica = vm->replica;
    vm->entry = cw_entry_create(&entry);
    /* The member's name is unique to this incarnation of the process: after a
     * restart the VM is another member, so that no two processes share a
     * generation and thus an epoch. */
    randombytes_buf(&incarnation, sizeof(incarnation));
    member = cw_relay_member_name(settings->vm, cw_relay_address(vm->relay),
                                  incarnation);
    if (settings->api == NULL) {
        vm->cordons = cw_cordons_create(&cordons);
    }
    owner.cordons = vm->cordons;
    owner.store = store;
    owner.targets = vm->targets;
    owner.peers = cw_relay_peers(vm->relay);
    owner.replica = vm->replica;
    owner.vm = settings->vm;
    owner.member = member;
    vm->owner = cw_owner_create(&owner);
    g_free(member);
    if (settings->api == NULL) {
        routing.store = store;
        vm->routing_follower = cw_follower_create(&routing);
        cw_cordons_set_follower(vm->cordons, vm->routing_follower);
    }
    vm->handler.entry = vm->entry;
    vm->handler.engine_lock = &vm->engine_lock;
    if (settings->api != NULL) {
        create_api(vm, store);
    }
}

/* Creates the relay before the HTTP client, whose thread waits for the relay's
 * socket.  The relay sends nothing before its first tick. */
static bool
create_relay(struct cw_vm *vm)
{
    struct cw_relay_options options = {
        .direct = vm->platform_store,
        .clock = vm->clock,
        .counters = &vm->counters,
        .engine_lock = &vm->engine_lock,
        .address = vm->settings->listen.inner,
        .group = CW_OWNER_GROUP,
    };

    vm->relay = cw_relay_create(&options);
    if (vm->relay == NULL) {
        cw_log_error("listen", "address=%s reason=failed",
                     vm->settings->listen.inner);
    }
    return vm->relay != NULL;
}

static bool
start(struct cw_vm *vm)
{
    struct platform_options platform = {.engine_lock = &vm->engine_lock,
                                        .store_address = vm->settings->store};
    struct cw_http_client_options client = {
        .tick = on_tick,
        .readable = on_relay_readable,
        .input_read = on_input_read,
        .context = vm,
        .pool_connections_max = pool_connections_max(vm->settings)};

    vm->platform_store = platform_store_new(&platform);
    if (!create_relay(vm)) {
        return false;
    }
    client.descriptor = cw_relay_descriptor(vm->relay);
    pthread_mutex_lock(&vm->engine_lock);
    vm->client = cw_http_client_create(&client);
    if (vm->client == NULL) {
        pthread_mutex_unlock(&vm->engine_lock);
        return false;
    }
    platform_store_set_client(vm->platform_store, vm->client);
    create_engine(vm);
    vm->running = true;
    pthread_mutex_unlock(&vm->engine_lock);
    cw_http_client_wake(vm->client);
    return vm_listen(vm);
}

static void
write_ports(const struct cw_vm *vm)
{
    char *text;

    if (vm->settings->ports_file == NULL) {
        return;
    }
    text = g_strdup_printf(
        "callers=%u\nready=%u\nmetrics=%u\n", cw_http_server_port(vm->callers),
        vm->ready != NULL ? cw_http_server_port(vm->ready) : 0,
        vm->metrics != NULL ? cw_http_server_port(vm->metrics) : 0);
    if (!g_file_set_contents(vm->settings->ports_file, text, -1, NULL)) {
        cw_log_error("ports_file", "path=%s reason=cannot_write",
                     vm->settings->ports_file);
    }
    g_free(text);
}

static void
sleep_ms(unsigned ms)
{
    struct timespec step = cw_time_from_ms(ms);

    nanosleep(&step, NULL);
}

static unsigned
count_pending_calls(struct cw_vm *vm)
{
    unsigned count;

    pthread_mutex_lock(&vm->engine_lock);
    count = cw_entry_pending(vm->entry);
    if (vm->api != NULL) {
        count += cw_api_waiting_calls(vm->api);
    }
    pthread_mutex_unlock(&vm->engine_lock);
    return count;
}

/* Waits until no call is pending or being answered, until `max_ms` after
 * `began_at` at the latest. */
static void
finish_calls(struct cw_vm *vm, struct timespec began_at, int64_t max_ms)
{
    while (cw_time_diff_ms(began_at, cw_clock_now(vm->clock)) < max_ms &&
           (count_pending_calls(vm) > 0 ||
            cw_http_server_active_calls(vm->callers) > 0))
    {
        sleep_ms(SHUTDOWN_POLL_MS);
    }
}

/* Releases the shard at once, serves until the load balancer has removed the
 * VM, and then until all accepted calls are answered. */
static void
shut_down(struct cw_vm *vm)
{
    struct timespec began_at = cw_clock_now(vm->clock);
    int64_t max_ms = (int64_t)vm->settings->bounds.grace_s * CW_MS_PER_S -
                     SHUTDOWN_RESERVE_MS;

    pthread_mutex_lock(&vm->engine_lock);
    cw_entry_begin_shutdown(vm->entry);
    cw_owner_leave(vm->owner);
    pthread_mutex_unlock(&vm->engine_lock);
    cw_http_client_wake(vm->client);
    cw_http_server_disable_keepalive(vm->callers);
    cw_log_info("leaving", "pending=%u", count_pending_calls(vm));
    sleep_ms((unsigned)MIN(SHUTDOWN_MIN_MS, max_ms));
    /* Stops listening before the pending calls are counted for the last time:
     * a call accepted after that would be cut off. */
    cw_http_server_quiesce(vm->callers);
    finish_calls(vm, began_at, max_ms);
    if (vm->api != NULL) {
        pthread_mutex_lock(&vm->engine_lock);
        cw_api_answer_all_pending(vm->api);
        pthread_mutex_unlock(&vm->engine_lock);
    }
    finish_calls(vm, began_at, max_ms + SHUTDOWN_FLUSH_MS);
}

/* Logs and counts the contracts of the platform that this program does not
 * support, so that operators can see which of them are not fulfilled. */
static void
report_unsupported_contracts(struct cw_vm *vm,
                             const struct cw_settings *settings)
{
    unsigned unsupported = 0;

    for (unsigned i = 0; i < settings->contracts_count; i++) {
        if (!platform_supports_contract(settings->contracts[i])) {
            unsupported++;
            cw_log_warning("contract_unsupported", "name=%s",
                           settings->contracts[i]);
        }
    }
    pthread_mutex_lock(&vm->engine_lock);
    vm->contracts_unsupported = unsupported;
    pthread_mutex_unlock(&vm->engine_lock);
}

static void
reload(struct cw_vm *vm)
{
    GString *problems = g_string_new(NULL);
    struct cw_settings *settings =
        cw_settings_load(vm->settings_path, problems);

    if (settings == NULL) {
        cw_log_error("reload", "outcome=rejected reason=\"%s\"",
                     g_strdelimit(problems->str, "\n\"", ' '));
    }
    else {
        cw_log_set_level(settings->log_level != NULL ? settings->log_level
                                                     : "info");
        report_unsupported_contracts(vm, settings);
        cw_log_info("reload", "outcome=applied level=%s",
                    settings->log_level != NULL ? settings->log_level
                                                : "info");
    }
    cw_settings_free(settings);
    g_string_free(problems, TRUE);
}

static int
wait_for_termination(struct cw_vm *vm, const sigset_t *signals)
{
    int received = 0;

    while (sigwait(signals, &received) == 0 && received == SIGHUP) {
        reload(vm);
    }
    return received;
}

int
cw_vm_run(struct cw_settings *settings, struct cw_settings_secrets *secrets,
          const char *path)
{
    struct cw_vm *vm = g_new0(struct cw_vm, 1);
    const char *level = settings->log_level;
    sigset_t signals;
    int received;

    cw_log_setup(level != NULL ? level : "info", settings->vm);
    cw_log_set_nonblocking();
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    vm->settings = settings;
    vm->settings_path = path;
    vm->clock = cw_clock_system();
    vm->secrets = secrets;
    pthread_mutex_init(&vm->engine_lock, NULL);
    if (!start(vm)) {
        cw_log_error("stopped", "reason=not_started");
        return EXIT_START_FAILED;
    }
    write_ports(vm);
    report_unsupported_contracts(vm, settings);
    cw_log_info("started", "dc=%s store=%s callers=%u lease_ms=%u",
                settings->dc, settings->store,
                cw_http_server_port(vm->callers), settings->bounds.lease_ms);
    received = wait_for_termination(vm, &signals);
    shut_down(vm);
    cw_log_info("stopped", "signal=%d", received);
    cw_log_flush();
    /* No memory is freed: threads of the libraries may still use it.  The
     * process has no data left to write. */
    _exit(0);
}

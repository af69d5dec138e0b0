/* HTTP listeners of a VM: for callers, the load balancer and metrics. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "curlewcart/cw_log.h"
#include "vm/internal/vm_private.h"

enum {
    /* Limit on callers' connections; with the project's own interface, the
     * default of api.connections.  A VM may open at least 4,100 descriptors.
     * Connections to workers and the store have a limit of their own, see
     * pool_connections_max in vm.c. */
    CALLER_CONNECTIONS_MAX = 2000,
    READY_CONNECTIONS_MAX = 64,
    API_THREADS_DEFAULT = 2,
    IDLE_TIMEOUT_S = 60,
    BODY_BYTES_MAX = 1024 * 1024
};

static void
handle_caller(void *context, struct cw_http_call *call)
{
    struct cw_vm *vm = context;

    platform_handle_call(&vm->handler, call);
    /* The client's thread sends the requests that the call queued. */
    cw_http_client_wake(vm->client);
}

static void
handle_ready(void *context, struct cw_http_call *call)
{
    struct cw_vm *vm = context;
    bool ready;

    pthread_mutex_lock(&vm->engine_lock);
    ready = vm->running && cw_entry_is_ready(vm->entry);
    pthread_mutex_unlock(&vm->engine_lock);
    cw_http_answer(call, ready ? 200 : 503, "text/plain", "", 0, false);
}

static void
print_refusals(const struct cw_owner_stats *stats, GString *out)
{
    for (unsigned i = 0; i < CW_OWNER_REFUSALS; i++) {
        g_string_append_printf(
            out,
            "curlewcart_owner_refused_wait_ms{refused=\"%s\"} %" PRId64 "\n",
            cw_owner_refusal_name(i), stats->longest_by_refusal_ms[i]);
    }
}

static void
handle_metrics(void *context, struct cw_http_call *call)
{
    struct cw_vm *vm = context;
    GString *out = g_string_new(NULL);
    struct cw_owner_stats stats;
    unsigned waiting;
    unsigned cordons = 0;
    unsigned contracts;

    pthread_mutex_lock(&vm->engine_lock);
    cw_owner_stats(vm->owner, &stats);
    if (vm->cordons != NULL) {
        cordons = cw_cordons_count(vm->cordons);
    }
    contracts = vm->contracts_unsupported;
    waiting = cw_entry_pending(vm->entry);
    pthread_mutex_unlock(&vm->engine_lock);
    cw_count_print(&vm->counters, out);
    g_string_append_printf(out,
                           "curlewcart_owner_jobs %u\n"
                           "curlewcart_owner_runs %u\n"
                           "curlewcart_owner_workers %u\n"
                           "curlewcart_owner_jobs_waiting %u\n"
                           "curlewcart_owner_longest_wait_ms %" PRId64 "\n"
                           "curlewcart_owner_tasks_repeating %u\n"
                           "curlewcart_data_centres_cordoned %u\n"
                           "curlewcart_contracts_unserved %u\n"
                           "curlewcart_calls_pending %u\n"
                           "curlewcart_log_held_bytes %" PRIu64 "\n",
                           stats.jobs, stats.runs, stats.targets,
                           stats.waiting, stats.longest_wait_ms,
                           stats.repeating, cordons, contracts, waiting,
                           cw_log_buffered_bytes());
    print_refusals(&stats, out);
    cw_http_answer(call, 200, "text/plain; version=0.0.4", out->str, out->len,
                   false);
    g_string_free(out, TRUE);
}

static void
handle_api(void *context, struct cw_http_call *call)
{
    struct cw_vm *vm = context;

    cw_api_handle(vm->api, call);
    cw_http_client_wake(vm->client);
}

/* Listens at `address`, HOST:PORT.  Threads, connections, the handler and TLS
 * are taken from `base_options`. */
static struct cw_http_server *
listen_with_options(struct cw_vm *vm, const char *address,
                    const struct cw_http_server_options *base_options)
{
    char *host = g_strdup(address);
    char *colon = strrchr(host, ':');
    struct cw_http_server_options options = *base_options;
    struct cw_http_server *server;

    *colon = '\0';
    options.address = host;
    options.port = (uint16_t)strtoul(colon + 1, NULL, 10);
    options.idle_timeout_s = IDLE_TIMEOUT_S;
    options.body_bytes_max = BODY_BYTES_MAX;
    options.context = vm;
    server = cw_http_server_create(&options);
    if (server == NULL) {
        cw_log_error("listen", "address=%s reason=failed", address);
    }
    g_free(host);
    return server;
}

static struct cw_http_server *
listen_at(struct cw_vm *vm, const char *address, unsigned connections,
          void (*handle)(void *, struct cw_http_call *))
{
    const struct cw_http_server_options options = {
        .threads = 1, .connections = connections, .handle = handle};

    return listen_with_options(vm, address, &options);
}

static struct cw_http_server *
listen_api(struct cw_vm *vm)
{
    const struct cw_settings_api *api = vm->settings->api;
    const struct cw_http_server_options options = {
        .threads = api->threads > 0 ? api->threads : API_THREADS_DEFAULT,
        .connections =
            api->connections > 0 ? api->connections : CALLER_CONNECTIONS_MAX,
        .tls_certificate = vm->secrets->certificate,
        .tls_key = vm->secrets->private_key,
        .handle = handle_api,
    };

    return listen_with_options(vm, vm->settings->listen.api, &options);
}

bool
vm_listen(struct cw_vm *vm)
{
    const struct cw_settings_listen *listen = &vm->settings->listen;

    if (listen->ready != NULL) {
        vm->ready =
            listen_at(vm, listen->ready, READY_CONNECTIONS_MAX, handle_ready);
    }
    vm->callers = listen->api != NULL
                      ? listen_api(vm)
                      : listen_at(vm, listen->callers, CALLER_CONNECTIONS_MAX,
                                  handle_caller);
    if (listen->metrics != NULL) { /* failure is logged but not fatal */
        vm->metrics = listen_at(vm, listen->metrics, READY_CONNECTIONS_MAX,
                                handle_metrics);
    }
    return vm->callers != NULL && (vm->ready != NULL || listen->ready == NULL);
}

/* The routing configuration: lookup of queues, accounts and services. */
#include "curlewcart/cw_routing.h"

#include <string.h>

enum { DEFAULT_BODY_BYTES_MAX = 262144 };

static void
queue_free(gpointer data)
{
    struct cw_queue *queue = data;

    g_free(queue->name);
    g_free(queue->host);
    g_free(queue->prefix);
    g_free(queue->service);
    g_free(queue);
}

static void
account_free(gpointer data)
{
    struct cw_account *account = data;

    g_free(account->name);
    g_ptr_array_unref(account->keys);
    g_ptr_array_unref(account->dcs);
    g_free(account);
}

static void
service_free(gpointer data)
{
    struct cw_service *service = data;

    g_free(service->name);
    g_free(service);
}

struct cw_routing *
cw_routing_new(void)
{
    struct cw_routing *routing = g_new0(struct cw_routing, 1);

    routing->references = 1;
    routing->body_bytes_max = DEFAULT_BODY_BYTES_MAX;
    routing->closed_dcs = g_ptr_array_new_with_free_func(g_free);
    routing->queues = g_ptr_array_new_with_free_func(queue_free);
    routing->services = g_ptr_array_new_with_free_func(service_free);
    routing->accounts = g_ptr_array_new_with_free_func(account_free);
    routing->accounts_by_key = g_hash_table_new(g_str_hash, g_str_equal);
    return routing;
}

struct cw_routing *
cw_routing_ref(struct cw_routing *routing)
{
    g_atomic_int_inc(&routing->references);
    return routing;
}

void
cw_routing_unref(struct cw_routing *routing)
{
    if (routing == NULL || !g_atomic_int_dec_and_test(&routing->references)) {
        return;
    }
    g_hash_table_unref(routing->accounts_by_key);
    g_ptr_array_unref(routing->closed_dcs);
    g_ptr_array_unref(routing->queues);
    g_ptr_array_unref(routing->services);
    g_ptr_array_unref(routing->accounts);
    g_free(routing);
}

struct cw_queue *
cw_routing_add_queue(struct cw_routing *routing)
{
    struct cw_queue *queue = g_new0(struct cw_queue, 1);

    g_ptr_array_add(routing->queues, queue);
    return queue;
}

struct cw_account *
cw_routing_add_account(struct cw_routing *routing)
{
    struct cw_account *account = g_new0(struct cw_account, 1);

    account->keys = g_ptr_array_new_with_free_func(g_free);
    account->dcs = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(routing->accounts, account);
    return account;
}

struct cw_service *
cw_routing_add_service(struct cw_routing *routing)
{
    struct cw_service *service = g_new0(struct cw_service, 1);

    g_ptr_array_add(routing->services, service);
    return service;
}

void
cw_routing_finish(struct cw_routing *routing)
{
    for (guint i = 0; i < routing->accounts->len; i++) {
        struct cw_account *account = routing->accounts->pdata[i];

        for (guint k = 0; k < account->keys->len; k++) {
            g_hash_table_insert(routing->accounts_by_key,
                                account->keys->pdata[k], account);
        }
    }
}

/* True if the Host header `given`, without its port, is `host`; an empty
 * `host` matches any. */
static bool
host_matches(const char *host, const char *given)
{
    size_t length = strlen(host);

    return length == 0 || (g_ascii_strncasecmp(host, given, length) == 0 &&
                           (given[length] == '\0' || given[length] == ':'));
}

const struct cw_queue *
cw_routing_find_queue(const struct cw_routing *routing, const char *host,
                      const char *path)
{
    const struct cw_queue *best = NULL;
    size_t best_length = 0;

    for (guint i = 0; i < routing->queues->len; i++) {
        const struct cw_queue *queue = routing->queues->pdata[i];
        size_t length = strlen(queue->prefix);

        if (length >= best_length && g_str_has_prefix(path, queue->prefix) &&
            host_matches(queue->host, host))
        {
            best = queue;
            best_length = length;
        }
    }
    return best;
}

const struct cw_account *
cw_routing_account_by_key(const struct cw_routing *routing, const char *key)
{
    return g_hash_table_lookup(routing->accounts_by_key, key);
}

const struct cw_account *
cw_routing_account_by_name(const struct cw_routing *routing, const char *name)
{
    for (guint i = 0; i < routing->accounts->len; i++) {
        const struct cw_account *account = routing->accounts->pdata[i];

        if (strcmp(account->name, name) == 0) {
            return account;
        }
    }
    return NULL;
}

bool
cw_routing_account_permits_dc(const struct cw_routing *routing,
                              const char *account, const char *dc)
{
    const struct cw_account *found;

    if (!routing->enforces_residency) {
        return true;
    }
    found = cw_routing_account_by_name(routing, account);
    if (found == NULL) {
        return false;
    }
    return found->dcs->len == 0 ||
           g_ptr_array_find_with_equal_func(found->dcs, dc, g_str_equal, NULL);
}

bool
cw_routing_dc_is_open(const struct cw_routing *routing, const char *dc)
{
    return routing->closed_dcs->len == 0 ||
           !g_ptr_array_find_with_equal_func(routing->closed_dcs, dc,
                                             g_str_equal, NULL);
}

const struct cw_service *
cw_routing_service_by_name(const struct cw_routing *routing, const char *name)
{
    for (guint i = 0; i < routing->services->len; i++) {
        const struct cw_service *service = routing->services->pdata[i];

        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    return NULL;
}

/* HTTP server on libmicrohttpd.  The connection of a call is suspended until
 * the call is answered. */
#include "curlewcart/cw_http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <ck_pr.h>
#include <glib.h>
#include <microhttpd.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_sanitize.h"

struct cw_http_server {
    struct cw_http_server_options options;
    struct MHD_Daemon *daemon;
    uint16_t port;
    int keepalive_disabled; /* answers close the connection; accessed by ck_pr
                             */
    unsigned
        active_calls; /* being read, handled or answered; accessed by ck_pr */
};

/* A call; it exists from the receipt of its headers until its answer is
 * sent. */
struct cw_http_call {
    struct cw_http_server *server;
    struct MHD_Connection *connection;
    char *method;
    char *path;
    GByteArray *body;
    bool too_large;
    bool handled;
    unsigned status;
    unsigned retry_after_s; /* 0: no such header */
    struct MHD_Response *response;
};

const char *
cw_http_call_method(const struct cw_http_call *call)
{
    return call->method;
}

const char *
cw_http_call_path(const struct cw_http_call *call)
{
    return call->path;
}

const char *
cw_http_call_header(struct cw_http_call *call, const char *name)
{
    return MHD_lookup_connection_value(call->connection, MHD_HEADER_KIND,
                                       name);
}

const char *
cw_http_call_query(struct cw_http_call *call, const char *name)
{
    return MHD_lookup_connection_value(call->connection, MHD_GET_ARGUMENT_KIND,
                                       name);
}

const char *
cw_http_call_body(const struct cw_http_call *call, size_t *length)
{
    *length = call->body->len;
    return (const char *)call->body->data;
}

bool
cw_http_call_too_large(const struct cw_http_call *call)
{
    return call->too_large;
}

void
cw_http_call_retry_after(struct cw_http_call *call, unsigned seconds)
{
    call->retry_after_s = seconds;
}

void
cw_http_answer(struct cw_http_call *call, unsigned status,
               const char *content_type, const char *body, size_t length,
               bool close)
{
    struct MHD_Connection *connection = call->connection;

    call->status = status;
    call->response = MHD_create_response_from_buffer(length, (void *)body,
                                                     MHD_RESPMEM_MUST_COPY);
    g_assert(call->response != NULL);
    MHD_add_response_header(call->response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            content_type);
    if (call->retry_after_s > 0) {
        char seconds[16];

        g_snprintf(seconds, sizeof(seconds), "%u", call->retry_after_s);
        MHD_add_response_header(call->response, MHD_HTTP_HEADER_RETRY_AFTER,
                                seconds);
    }
    if (close || ck_pr_load_int(&call->server->keepalive_disabled) != 0) {
        MHD_add_response_header(call->response, MHD_HTTP_HEADER_CONNECTION,
                                "close");
    }
    /* The library's lock orders this before the next on_access. */
    CW_TSAN_RELEASE(call);
    MHD_resume_connection(connection);
}

static struct cw_http_call *
call_new(struct cw_http_server *server, struct MHD_Connection *connection,
         const char *path, const char *method)
{
    struct cw_http_call *call = g_new0(struct cw_http_call, 1);

    call->server = server;
    call->connection = connection;
    call->method = g_strdup(method);
    call->path = g_strdup(path);
    call->body = g_byte_array_new();
    ck_pr_inc_uint(&server->active_calls);
    return call;
}

static void
call_append_body(struct cw_http_call *call, const char *data, size_t length)
{
    if (call->body->len + length > call->server->options.body_bytes_max) {
        call->too_large = true;
        g_byte_array_set_size(call->body, 0);
    }
    if (!call->too_large) {
        g_byte_array_append(call->body, (const guint8 *)data, (guint)length);
    }
}

static enum MHD_Result
on_access(void *context, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *data,
          size_t *size, void **state)
{
    struct cw_http_server *server = context;
    struct cw_http_call *call = *state;
    enum MHD_Result result;

    (void)version;
    if (call == NULL) {
        *state = call_new(server, connection, url, method);
        return MHD_YES;
    }
    CW_TSAN_ACQUIRE(call);
    if (*size > 0) {
        call_append_body(call, data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (call->response != NULL) {
        result = MHD_queue_response(connection, call->status, call->response);
        MHD_destroy_response(call->response);
        call->response = NULL;
        return result;
    }
    if (!call->handled) {
        call->handled = true;
        MHD_suspend_connection(connection);
        server->options.handle(server->options.context, call);
    }
    return MHD_YES;
}

static void
on_completed(void *context, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    struct cw_http_server *server = context;
    struct cw_http_call *call = *state;

    (void)connection;
    (void)code;
    if (call == NULL) {
        return;
    }
    ck_pr_dec_uint(&server->active_calls);
    if (call->response != NULL) {
        MHD_destroy_response(call->response);
    }
    g_byte_array_unref(call->body);
    g_free(call->method);
    g_free(call->path);
    g_free(call);
    *state = NULL;
}

/* ---- tags of connections ---- */

static void
on_connection(void *context, struct MHD_Connection *connection, void **state,
              enum MHD_ConnectionNotificationCode code)
{
    const struct cw_http_server *server = context;

    (void)connection;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        int64_t *tag = g_new(int64_t, 1);

        *tag = server->options.tag_connection(server->options.context);
        *state = tag;
    }
    else {
        g_clear_pointer(state, g_free);
    }
}

int64_t
cw_http_call_connection_tag(const struct cw_http_call *call)
{
    const union MHD_ConnectionInfo *info;

    if (call->server->options.tag_connection == NULL) {
        return 0;
    }
    info = MHD_get_connection_info(call->connection,
                                   MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info != NULL ? *(const int64_t *)info->socket_context : 0;
}

static struct MHD_Daemon *
start_daemon(struct cw_http_server *server, const struct sockaddr_in *address)
{
    const struct cw_http_server_options *o = &server->options;
    unsigned flags =
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
    struct MHD_OptionItem tls[] = {
        {MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)o->tls_certificate},
        {MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)o->tls_key},
        {MHD_OPTION_END, 0, NULL},
    };
    struct MHD_OptionItem none[] = {{MHD_OPTION_END, 0, NULL}};
    struct MHD_OptionItem tags[] = {
        {MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection, server},
        {MHD_OPTION_END, 0, NULL},
    };

    if (o->tls_certificate != NULL) {
        flags |= MHD_USE_TLS;
    }
    return MHD_start_daemon(
        flags, 0, NULL, NULL, on_access, server, MHD_OPTION_SOCK_ADDR,
        (const struct sockaddr *)address, MHD_OPTION_THREAD_POOL_SIZE,
        o->threads, MHD_OPTION_CONNECTION_LIMIT, o->connections,
        MHD_OPTION_CONNECTION_TIMEOUT, o->idle_timeout_s,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_ARRAY,
        o->tls_certificate != NULL ? tls : none, MHD_OPTION_ARRAY,
        o->tag_connection != NULL ? tags : none, MHD_OPTION_END);
}

struct cw_http_server *
cw_http_server_create(const struct cw_http_server_options *options)
{
    struct cw_http_server *server = g_new0(struct cw_http_server, 1);
    struct sockaddr_in address = {.sin_family = AF_INET};
    const union MHD_DaemonInfo *info;

    server->options = *options;
    address.sin_port = htons(options->port);
    if (inet_pton(AF_INET, options->address, &address.sin_addr) != 1) {
        goto error;
    }
    server->daemon = start_daemon(server, &address);
    if (server->daemon == NULL) {
        goto error;
    }
    info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);
    server->port = info != NULL ? info->port : options->port;
    return server;

error:
    g_free(server);
    return NULL;
}

void
cw_http_server_free(struct cw_http_server *server)
{
    if (server != NULL) {
        MHD_stop_daemon(server->daemon);
        g_free(server);
    }
}

void
cw_http_server_disable_keepalive(struct cw_http_server *server)
{
    ck_pr_store_int(&server->keepalive_disabled, 1);
}

/* Accepts the connections that the kernel has already established.  Their
 * clients may have sent a request, and closing the listener would reset
 * them. */
static void
accept_queued_connections(struct cw_http_server *server, MHD_socket listener)
{
    struct sockaddr_storage peer;
    socklen_t length = sizeof(peer);
    int connection;

    while ((connection = accept4(listener, (struct sockaddr *)&peer, &length,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
        /* On failure the library closes the connection. */
        if (MHD_add_connection(server->daemon, connection,
                               (struct sockaddr *)&peer, length) != MHD_YES)
        {
            cw_log_warning("connection", "reason=not_taken");
        }
        length = sizeof(peer);
    }
}

void
cw_http_server_quiesce(struct cw_http_server *server)
{
    MHD_socket listener = MHD_quiesce_daemon(server->daemon);

    if (listener != MHD_INVALID_SOCKET) {
        accept_queued_connections(server, listener);
        (void)close(listener);
    }
}

unsigned
cw_http_server_active_calls(struct cw_http_server *server)
{
    return ck_pr_load_uint(&server->active_calls);
}

uint16_t
cw_http_server_port(const struct cw_http_server *server)
{
    return server->port;
}

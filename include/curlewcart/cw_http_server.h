/* HTTP server whose calls can be answered later, from any thread. */
#ifndef CURLEWCART_CW_HTTP_SERVER_H
#define CURLEWCART_CW_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct cw_http_server;
struct cw_http_call;

struct cw_http_server_options {
    const char *address; /* IP */
    uint16_t port;       /* 0: chosen by the kernel */
    unsigned threads;
    unsigned connections;        /* limit; further ones are closed */
    unsigned idle_timeout_s;     /* idle connections are closed after this */
    size_t body_bytes_max;       /* larger bodies are discarded */
    const char *tls_certificate; /* PEM text, or NULL for plain HTTP */
    const char *tls_key;         /* PEM text */
    /* Handles a call on one of the server's threads.  Each call must be
     * answered exactly once by cw_http_answer, now or later. */
    void (*handle)(void *context, struct cw_http_call *call);
    /* Called when a connection is accepted.  The value that it returns can be
     * read from the connection's calls.  May be NULL. */
    int64_t (*tag_connection)(void *context);
    void *context;
};

/* Creates a server and starts listening; NULL on failure. */
struct cw_http_server *
cw_http_server_create(const struct cw_http_server_options *options);

/* Stops listening, closes all connections and frees the server.  Every call
 * must have been answered before. */
void cw_http_server_free(struct cw_http_server *server);

/* Makes every further answer request that the client close its connection. */
void cw_http_server_disable_keepalive(struct cw_http_server *server);

/* Stops listening.  Connections that clients have established stay open, also
 * those that the server has not accepted yet. */
void cw_http_server_quiesce(struct cw_http_server *server);

/* Number of calls that are being read, handled or answered.  Safe from any
 * thread. */
unsigned cw_http_server_active_calls(struct cw_http_server *server);

/* Port that the server listens on. */
uint16_t cw_http_server_port(const struct cw_http_server *server);

/* Parts of a call.  Borrowed until it is answered. */
const char *cw_http_call_method(const struct cw_http_call *call);
const char *cw_http_call_path(const struct cw_http_call *call);
const char *cw_http_call_header(struct cw_http_call *call, const char *name);
const char *cw_http_call_query(struct cw_http_call *call, const char *name);
const char *cw_http_call_body(const struct cw_http_call *call, size_t *length);

/* The value that `tag_connection` returned for the call's connection; 0 if it
 * is NULL. */
int64_t cw_http_call_connection_tag(const struct cw_http_call *call);

/* True if the body exceeded the limit and was discarded. */
bool cw_http_call_too_large(const struct cw_http_call *call);

/* Adds a Retry-After header to the call's answer. */
void cw_http_call_retry_after(struct cw_http_call *call, unsigned seconds);

/* Answers the call, which must not be used afterwards.  `body` is copied.
 * `close` closes the connection after the answer.  Safe from any thread. */
void cw_http_answer(struct cw_http_call *call, unsigned status,
                    const char *content_type, const char *body, size_t length,
                    bool close);

#endif

/* An HTTP listener that can answer a request later, from any thread. */
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
    unsigned connections;    /* at a time; more are closed */
    unsigned idle_timeout_s; /* a stalled connection is closed after this */
    size_t body_bytes_max;
    const char *tls_certificate; /* PEM text, or NULL for plain HTTP */
    const char *tls_key;         /* PEM text */
    /* Handles a call, on one of the server's threads.  It must lead to
     * exactly one cw_http_answer, now or later. */
    void (*handle)(void *context, struct cw_http_call *call);
    /* Called as a connection is made; its calls tell what it returned.  May
     * be NULL. */
    int64_t (*mark)(void *context);
    void *context;
};

/* Starts listening; NULL on failure. */
struct cw_http_server *
cw_http_server_create(const struct cw_http_server_options *options);

/* Stops listening and closes all connections.  Every call must have been
 * answered before. */
void cw_http_server_free(struct cw_http_server *server);

/* From now on every answer asks the caller to close its connection. */
void cw_http_server_disable_keepalive(struct cw_http_server *server);

/* Accepts no more connections; those that callers have made already, seen
 * here or not, go on. */
void cw_http_server_quiesce(struct cw_http_server *server);

/* Calls of which a part was read and whose answer is not sent whole yet.
 * Safe from any thread. */
unsigned cw_http_server_active_calls(struct cw_http_server *server);

/* Port listened on. */
uint16_t cw_http_server_port(const struct cw_http_server *server);

/* Parts of a call.  Borrowed until it is answered. */
const char *cw_http_call_method(const struct cw_http_call *call);
const char *cw_http_call_path(const struct cw_http_call *call);
const char *cw_http_call_header(struct cw_http_call *call, const char *name);
const char *cw_http_call_query(struct cw_http_call *call, const char *name);
const char *cw_http_call_body(const struct cw_http_call *call, size_t *length);

/* What `mark` returned for the call's connection; 0 without. */
int64_t cw_http_call_connection_tag(const struct cw_http_call *call);

/* True if the body exceeded the limit (it was not kept). */
bool cw_http_call_too_large(const struct cw_http_call *call);

/* Adds a Retry-After header to the answer to come. */
void cw_http_call_retry_after(struct cw_http_call *call, unsigned seconds);

/* Answers and ends the call; `body` is copied.  `close` ends the
 * connection afterwards.  Safe from any thread. */
void cw_http_answer(struct cw_http_call *call, unsigned status,
                    const char *content_type, const char *body, size_t length,
                    bool close);

#endif

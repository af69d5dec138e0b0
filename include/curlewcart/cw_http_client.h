/* HTTP client for requests to workers and the platform, with a thread of its
 * own. */
#ifndef CURLEWCART_CW_HTTP_CLIENT_H
#define CURLEWCART_CW_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Connections that a client keeps open by default. */
#define CW_HTTP_POOL_CONNECTIONS_DEFAULT 1024

struct cw_http_client;

/* Result of a request.  A status of 0 means that there was no answer: a POST
 * may or may not be executed, now or later, unless it is `unsent`. */
struct cw_http_result {
    long status;
    bool unsent;      /* no part of the request was ever sent */
    const char *body; /* borrowed during the callback */
    size_t length;
    size_t bytes; /* sent and received, with headers */
};

/* Called exactly once for each request, on the client's thread, unless the
 * client is freed before. */
typedef void (*cw_http_done)(void *context,
                             const struct cw_http_result *result);

/* A request.  Strings and body are copied. */
struct cw_http_request {
    const char *url;
    const void *body; /* NULL: GET, else POST */
    size_t length;
    const char *content_type;
    const char *const *headers; /* lines "Name: value", terminated by NULL;
                                   may be NULL */
    long timeout_ms; /* for the answer, from when the request is sent; the
                        connection has the same time, at most 1 s.  An answer
                        that has arrived when the thread reads it is never too
                        late, however late the thread is. */
    cw_http_done done;
    void *context;
};

/* Options of a client. */
struct cw_http_client_options {
    /* Called on the client's thread whenever it wakes.  Returns the number of
     * milliseconds after which it must be called again.  NULL: none. */
    unsigned (*tick)(void *context);
    /* A descriptor that the thread also polls, and the callback for when it
     * is readable.  NULL: none. */
    int descriptor;
    void (*readable)(void *context);
    /* `events` sockets were read after the thread was busy for `busy_ms`:
     * their input may have arrived that long before.  NULL: none. */
    void (*input_read)(void *context, int64_t busy_ms, unsigned events);
    void *context;
    /* Limit of the connections that are kept open; 0:
     * CW_HTTP_POOL_CONNECTIONS_DEFAULT. */
    unsigned pool_connections_max;
};

/* Creates a client and starts its thread.  `options` may be NULL.  Returns
 * NULL on failure. */
struct cw_http_client *
cw_http_client_create(const struct cw_http_client_options *options);

/* Makes the thread call `tick` without delay.  Safe from any thread. */
void cw_http_client_wake(struct cw_http_client *client);

/* Stops the thread and frees the client.  Requests in flight are dropped
 * without a callback. */
void cw_http_client_free(struct cw_http_client *client);

/* Queues a request.  Safe from any thread; never blocks.  A POST is sent once;
 * a GET is sent again if a connection that had been used before fails. */
void cw_http_client_send(struct cw_http_client *client,
                         const struct cw_http_request *request);

#endif

/* HTTP requests to workers and the platform, on one thread of its own. */
#ifndef CURLEWCART_CW_HTTP_CLIENT_H
#define CURLEWCART_CW_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>

/* Connections that a client keeps open unless told otherwise. */
#define CW_HTTP_POOL_CONNECTIONS_DEFAULT 1024

struct cw_http_client;

/* Result of a request.  status 0: no answer came. */
struct cw_http_result {
    long status;
    bool unsent;      /* no connection was made: the request was never sent */
    const char *body; /* borrowed during the callback */
    size_t length;
    size_t bytes; /* on the wire, headers included, both ways */
};

/* Called once for each request, on the client's thread. */
typedef void (*cw_http_done)(void *context,
                             const struct cw_http_result *result);

/* A request; strings and body are copied. */
struct cw_http_request {
    const char *url;
    const void *body; /* NULL: GET, else POST */
    size_t length;
    const char *content_type;
    const char *const *headers; /* "Name: value" each, NULL at the end; may
                                   be NULL itself */
    long timeout_ms;
    cw_http_done done;
    void *context;
};

/* What a client does besides requests. */
struct cw_http_client_options {
    /* Called on the client's thread whenever it wakes; returns after how
     * many milliseconds it wants to be called again at the latest.  NULL:
     * none. */
    unsigned (*tick)(void *context);
    /* A descriptor that the thread also waits for, and what it then calls;
     * `readable` NULL: none. */
    int descriptor;
    void (*readable)(void *context);
    void *context;
    unsigned pool_connections_max; /* kept open; 0:
                                      CW_HTTP_POOL_CONNECTIONS_DEFAULT */
};

/* Starts the thread; `options` may be NULL.  NULL on failure. */
struct cw_http_client *
cw_http_client_create(const struct cw_http_client_options *options);

/* Makes the thread call its tick soon.  Safe from any thread. */
void cw_http_client_wake(struct cw_http_client *client);

/* Stops the thread; requests under way are given up without a callback. */
void cw_http_client_free(struct cw_http_client *client);

/* Queues a request; safe from any thread, never blocks. */
void cw_http_client_send(struct cw_http_client *client,
                         const struct cw_http_request *request);

#endif

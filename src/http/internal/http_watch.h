/* The descriptors that the client's thread polls, in one epoll set.
 *
 * libcurl requests which of its sockets to watch.  The cost of a wait depends
 * on the sockets with events, not on the number of open sockets. */
#ifndef HTTP_INTERNAL_HTTP_WATCH_H
#define HTTP_INTERNAL_HTTP_WATCH_H

#include <stdbool.h>

struct http_watch;

/* Creates an empty set; NULL if no descriptors are available. */
struct http_watch *http_watch_create(void);
/* Closes and frees the set. */
void http_watch_free(struct http_watch *watch);

/* Sets the events to wait for on a descriptor.  Without any it is no longer
 * watched. */
void http_watch_set(struct http_watch *watch, int descriptor, bool readable,
                    bool writable);

/* Makes the present or the next wait return.  Safe from any thread. */
void http_watch_wake(struct http_watch *watch);

/* Events of a descriptor. */
struct http_watch_event {
    int descriptor;
    bool readable;
    bool writable;
    bool broken; /* error or hang-up */
};

enum { HTTP_WATCH_EVENTS_MAX = 64 };

/* Waits for events, at most `wait_ms`.  Returns the number of entries of
 * `ready` that were filled.  A wake-up is not reported as an event. */
unsigned http_watch_wait(struct http_watch *watch, unsigned wait_ms,
                         struct http_watch_event ready[HTTP_WATCH_EVENTS_MAX]);

#endif

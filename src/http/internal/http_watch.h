/* The descriptors that the client's thread waits for, in one epoll set.
 *
 * libcurl tells which of its sockets it wants watched; only those that have
 * news cost anything, however many are open. */
#ifndef HTTP_INTERNAL_HTTP_WATCH_H
#define HTTP_INTERNAL_HTTP_WATCH_H

#include <stdbool.h>

struct http_watch;

/* NULL if the kernel gives no descriptors. */
struct http_watch *http_watch_create(void);
void http_watch_free(struct http_watch *watch);

/* What to wait for at a descriptor; neither: it is no longer watched. */
void http_watch_set(struct http_watch *watch, int descriptor, bool readable,
                    bool writable);

/* Ends a wait, the present one or the next.  Safe from any thread. */
void http_watch_wake(struct http_watch *watch);

/* News of a descriptor. */
struct http_watch_news {
    int descriptor;
    bool readable;
    bool writable;
    bool broken;
};

enum { HTTP_WATCH_NEWS_MOST = 64 };

/* Waits at most so long; returns how many of `news` were filled.  A wake-up
 * is no news. */
unsigned http_watch_wait(struct http_watch *watch, unsigned wait_ms,
                         struct http_watch_news news[HTTP_WATCH_NEWS_MOST]);

#endif

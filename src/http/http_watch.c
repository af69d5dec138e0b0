/* An epoll set with a way to be woken. */
#include "http/internal/http_watch.h"

#include <errno.h>
#include <stdint.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <glib.h>

#include "curlewcart/cw_log.h"

struct http_watch {
    int set;
    int wake;
};

struct http_watch *
http_watch_create(void)
{
    struct http_watch *watch = g_new0(struct http_watch, 1);

    watch->set = epoll_create1(EPOLL_CLOEXEC);
    watch->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (watch->set < 0 || watch->wake < 0) {
        cw_log_error("listen", "address=wake reason=\"%s\"", strerror(errno));
        http_watch_free(watch);
        return NULL;
    }
    http_watch_set(watch, watch->wake, true, false);
    return watch;
}

void
http_watch_free(struct http_watch *watch)
{
    if (watch->set >= 0) {
        close(watch->set);
    }
    if (watch->wake >= 0) {
        close(watch->wake);
    }
    g_free(watch);
}

void
http_watch_set(struct http_watch *watch, int descriptor, bool readable,
               bool writable)
{
    struct epoll_event event = {
        .events = (readable ? EPOLLIN : 0) | (writable ? EPOLLOUT : 0),
        .data = {.fd = descriptor},
    };

    if (!readable && !writable) {
        /* A closed descriptor has left the set by itself. */
        (void)epoll_ctl(watch->set, EPOLL_CTL_DEL, descriptor, NULL);
        return;
    }
    if (epoll_ctl(watch->set, EPOLL_CTL_MOD, descriptor, &event) == 0 ||
        (errno == ENOENT &&
         epoll_ctl(watch->set, EPOLL_CTL_ADD, descriptor, &event) == 0))
    {
        return;
    }
    /* Its transfer ends by its timeout. */
    cw_log_error("watch_failed", "descriptor=%d reason=\"%s\"", descriptor,
                 strerror(errno));
}

void
http_watch_wake(struct http_watch *watch)
{
    uint64_t one = 1;
    ssize_t written = write(watch->wake, &one, sizeof(one));

    (void)written; /* full: it has been woken already */
}

static void
take_wakes(struct http_watch *watch)
{
    uint64_t count;
    ssize_t got = read(watch->wake, &count, sizeof(count));

    (void)got; /* empty: another read took it */
}

unsigned
http_watch_wait(struct http_watch *watch, unsigned wait_ms,
                struct http_watch_news news[HTTP_WATCH_NEWS_MOST])
{
    struct epoll_event events[HTTP_WATCH_NEWS_MOST];
    int count =
        epoll_wait(watch->set, events, HTTP_WATCH_NEWS_MOST, (int)wait_ms);
    unsigned filled = 0;

    for (int i = 0; i < count; i++) {
        if (events[i].data.fd == watch->wake) {
            take_wakes(watch);
            continue;
        }
        news[filled++] = (struct http_watch_news){
            .descriptor = events[i].data.fd,
            .readable = (events[i].events & EPOLLIN) != 0,
            .writable = (events[i].events & EPOLLOUT) != 0,
            .broken = (events[i].events & (EPOLLERR | EPOLLHUP)) != 0,
        };
    }
    return filled;
}

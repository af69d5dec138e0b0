/* An epoll set with an eventfd that wakes its waiter. */
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
    int epoll_fd;
    int wake_fd;
};

struct http_watch *
http_watch_create(void)
{
    struct http_watch *watch = g_new0(struct http_watch, 1);

    watch->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    watch->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (watch->epoll_fd < 0 || watch->wake_fd < 0) {
        cw_log_error("listen", "address=wake reason=\"%s\"", strerror(errno));
        http_watch_free(watch);
        return NULL;
    }
    http_watch_set(watch, watch->wake_fd, true, false);
    return watch;
}

void
http_watch_free(struct http_watch *watch)
{
    if (watch->epoll_fd >= 0) {
        close(watch->epoll_fd);
    }
    if (watch->wake_fd >= 0) {
        close(watch->wake_fd);
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
        /* Fails for a closed descriptor, which the kernel has removed. */
        (void)epoll_ctl(watch->epoll_fd, EPOLL_CTL_DEL, descriptor, NULL);
        return;
    }
    if (epoll_ctl(watch->epoll_fd, EPOLL_CTL_MOD, descriptor, &event) == 0 ||
        (errno == ENOENT &&
         epoll_ctl(watch->epoll_fd, EPOLL_CTL_ADD, descriptor, &event) == 0))
    {
        return;
    }
    /* The descriptor's transfer will end by its timeout. */
    cw_log_error("watch_failed", "descriptor=%d reason=\"%s\"", descriptor,
                 strerror(errno));
}

void
http_watch_wake(struct http_watch *watch)
{
    uint64_t one = 1;
    ssize_t written = write(watch->wake_fd, &one, sizeof(one));

    (void)written; /* fails only while a wake-up is pending */
}

static void
consume_wake(struct http_watch *watch)
{
    uint64_t count;
    ssize_t got = read(watch->wake_fd, &count, sizeof(count));

    (void)got; /* fails only if there is no wake-up to consume */
}

unsigned
http_watch_wait(struct http_watch *watch, unsigned wait_ms,
                struct http_watch_event ready[HTTP_WATCH_EVENTS_MAX])
{
    struct epoll_event events[HTTP_WATCH_EVENTS_MAX];
    int count = epoll_wait(watch->epoll_fd, events, HTTP_WATCH_EVENTS_MAX,
                           (int)wait_ms);
    unsigned filled = 0;

    for (int i = 0; i < count; i++) {
        if (events[i].data.fd == watch->wake_fd) {
            consume_wake(watch);
            continue;
        }
        ready[filled++] = (struct http_watch_event){
            .descriptor = events[i].data.fd,
            .readable = (events[i].events & EPOLLIN) != 0,
            .writable = (events[i].events & EPOLLOUT) != 0,
            .broken = (events[i].events & (EPOLLERR | EPOLLHUP)) != 0,
        };
    }
    return filled;
}

/* How incarnations of workers have ended: whether a worker that is over had
 * reported that it drains. */
#ifndef CURLEWCART_OWNER_DEPARTURES_H
#define CURLEWCART_OWNER_DEPARTURES_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct cw_owner;
struct owner_target;

/* Limit on the incarnations of a worker that are remembered. */
enum { OWNER_REPORTED_MAX = 4 };

/* An incarnation of which a report was read. */
struct owner_reported {
    int64_t boot_ms; /* 0 unknown */
    bool drained;    /* a report said that it drains */
};

/* Whether the reports of a worker were read that are older than those which
 * this owner has loaded. */
enum owner_history {
    OWNER_HISTORY_UNREAD,
    OWNER_HISTORY_WANTED,
    OWNER_HISTORY_READING,
    OWNER_HISTORY_READ /* as far as the store retains them */
};

/* What the reports of a worker tell of its incarnations. */
struct owner_reported_list {
    struct owner_reported items[OWNER_REPORTED_MAX]; /* oldest first */
    unsigned count;
    enum owner_history history;
};

enum owner_departure {
    OWNER_DEPARTURE_CRASHED, /* it had not reported that it drains */
    OWNER_DEPARTURE_DRAINED, /* it had: it has shut down */
    OWNER_DEPARTURE_PENDING, /* reports that tell it are not read yet */
    OWNER_DEPARTURE_UNKNOWN  /* the store retains no report of it */
};

/* Records a report of the worker's incarnation with this boot time (0:
 * unknown). */
void owner_departures_reported(struct owner_target *target, int64_t boot_ms,
                               bool draining);

/* True if a report of that incarnation said that it drains. */
bool
owner_departures_drained(const struct owner_target *target, int64_t boot_ms);

/* Tells how the worker's incarnation with this boot time (0: unknown) has
 * ended, which was known to be over at `over_at`.  Makes missing reports be
 * read. */
enum owner_departure
owner_departures_find(struct owner_target *target, int64_t boot_ms,
                      struct timespec over_at);

/* To be called when reports may have been missed: only what they said of
 * draining holds on. */
void owner_departures_reports_missed(struct cw_owner *owner);

/* To be called if a suspicion has to wait for reports. */
void owner_departures_await(struct cw_owner *owner);

/* Reads reports that are missing, and settles the suspicions that wait for
 * them; returns when it has to be called next. */
struct timespec
owner_departures_tick(struct cw_owner *owner, struct timespec now);

/* Ends the read; to be called when ownership is lost. */
void owner_departures_clear(struct cw_owner *owner);

#endif

/* Logs appends of an owner that are not stored in time. */
#ifndef CURLEWCART_OWNER_APPEND_WATCH_H
#define CURLEWCART_OWNER_APPEND_WATCH_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct cw_owner;

/* What was logged of the appends to one log. */
struct owner_append_watch {
    bool late; /* "append_late" was logged for the batch sent at `sent` */
    struct timespec sent;
    struct timespec logged_at;
};

/* Logs batches that are not stored for long, and when they are stored. */
void owner_append_watch_tick(struct cw_owner *owner, struct timespec now);

/* Age of the owner's oldest batch that is not stored; 0: none. */
int64_t
owner_append_unstored_ms(const struct cw_owner *owner, struct timespec now);

#endif

/* Boot times of a worker's incarnations other than the one that answered its
 * last poll, and which of them are known to be over. */
#ifndef CURLEWCART_OWNER_BOOT_TIMES_H
#define CURLEWCART_OWNER_BOOT_TIMES_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

enum { OWNER_BOOT_TIMES_MAX = 4 };

struct owner_boot_time {
    int64_t boot_ms;
    struct timespec read_at; /* when a report with it was first read */
    bool over;
};

/* In the order in which they became known.  If there are too many, the first
 * ones are forgotten; what is over and forgotten counts as unresolved if it is
 * reported again. */
struct owner_boot_times {
    struct owner_boot_time times[OWNER_BOOT_TIMES_MAX];
    unsigned count;
};

/* Adds the boot time in a report that was read at `now` as unresolved. Returns
 * false if it is contained already. */
bool owner_boot_times_add(struct owner_boot_times *boot_times, int64_t boot_ms,
                          struct timespec now);

/* Processes an answer of the incarnation with this boot time to a poll that
 * was sent at `sent`.  All incarnations whose reports had been read before are
 * over, as is the one with the boot time `before_ms` (0: none), which answered
 * the poll before.  Returns the number of reported boot times that are found
 * to be over. */
unsigned
owner_boot_times_answered(struct owner_boot_times *boot_times, int64_t boot_ms,
                          int64_t before_ms, struct timespec sent);

bool owner_boot_times_is_over(const struct owner_boot_times *boot_times,
                              int64_t boot_ms);

/* True if a report with an unresolved boot time was read at `since` or later:
 * that incarnation may be the present one. */
bool owner_boot_times_unresolved(const struct owner_boot_times *boot_times,
                                 struct timespec since);

#endif

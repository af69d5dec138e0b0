/* Order of a worker's incarnations.
 *
 * Incarnations of one worker follow one another, and so do its polls: the next
 * one is sent when the last one was answered or given up.  So an incarnation
 * that answered an earlier poll than the present one is over for good.  An
 * incarnation had begun before its report was read; if another one answers a
 * poll that was sent after that, the reported one is over as well.  Nothing
 * else shows an order: reports may be stored late, and boot times are readings
 * of a wall clock that may be set back. */
#include "owner/internal/owner_boot_times.h"

#include <string.h>

#include "curlewcart/cw_time.h"

/* Returns the index of the boot time, or `count` if it is not contained. */
static unsigned
find(const struct owner_boot_times *boot_times, int64_t boot_ms)
{
    unsigned i = 0;

    while (i < boot_times->count && boot_times->times[i].boot_ms != boot_ms) {
        i++;
    }
    return i;
}

static void
remove_at(struct owner_boot_times *boot_times, unsigned index)
{
    boot_times->count--;
    memmove(&boot_times->times[index], &boot_times->times[index + 1],
            (boot_times->count - index) * sizeof(boot_times->times[0]));
}

/* Returns the one to forget: the first that is over, or the first. */
static unsigned
least_needed(const struct owner_boot_times *boot_times)
{
    for (unsigned i = 0; i < boot_times->count; i++) {
        if (boot_times->times[i].over) {
            return i;
        }
    }
    return 0;
}

static void
append(struct owner_boot_times *boot_times, struct owner_boot_time time)
{
    if (boot_times->count == OWNER_BOOT_TIMES_MAX) {
        remove_at(boot_times, least_needed(boot_times));
    }
    boot_times->times[boot_times->count++] = time;
}

bool
owner_boot_times_add(struct owner_boot_times *boot_times, int64_t boot_ms,
                     struct timespec now)
{
    if (find(boot_times, boot_ms) < boot_times->count) {
        return false;
    }
    append(boot_times,
           (struct owner_boot_time){.boot_ms = boot_ms, .read_at = now});
    return true;
}

static void
set_over(struct owner_boot_times *boot_times, int64_t boot_ms)
{
    unsigned index = find(boot_times, boot_ms);

    if (index < boot_times->count) {
        boot_times->times[index].over = true;
        return;
    }
    append(boot_times,
           (struct owner_boot_time){.boot_ms = boot_ms, .over = true});
}

unsigned
owner_boot_times_answered(struct owner_boot_times *boot_times, int64_t boot_ms,
                          int64_t before_ms, struct timespec sent)
{
    unsigned present = find(boot_times, boot_ms);
    unsigned over = 0;

    if (present < boot_times->count) {
        remove_at(boot_times, present);
    }
    for (unsigned i = 0; i < boot_times->count; i++) {
        struct owner_boot_time *time = &boot_times->times[i];

        if (!time->over && cw_time_before(time->read_at, sent)) {
            time->over = true;
            over++;
        }
    }
    if (before_ms != 0 && before_ms != boot_ms) {
        set_over(boot_times, before_ms);
    }
    return over;
}

bool
owner_boot_times_is_over(const struct owner_boot_times *boot_times,
                         int64_t boot_ms)
{
    unsigned index = find(boot_times, boot_ms);

    return index < boot_times->count && boot_times->times[index].over;
}

bool
owner_boot_times_unresolved(const struct owner_boot_times *boot_times,
                            struct timespec since)
{
    for (unsigned i = 0; i < boot_times->count; i++) {
        const struct owner_boot_time *time = &boot_times->times[i];

        if (!time->over && !cw_time_before(time->read_at, since)) {
            return true;
        }
    }
    return false;
}

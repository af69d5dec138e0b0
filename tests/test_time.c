/* The system's clock while the machine is suspended.
 *
 * A suspended VM wakes with leases and proofs that are long over.  The steady
 * clock of the system (CLOCK_MONOTONIC) does not count the time that it slept,
 * so a VM that goes by it takes them for valid, gives orders and tells callers
 * where jobs stood before.  CLOCK_BOOTTIME counts it. */
#include "test_main.h"

#include <sys/syscall.h>
#include <unistd.h>

#include "curlewcart/cw_time.h"

enum { SLEPT_S = 7 };

static time_t slept_s; /* as the machine would count it */

/* Takes the place of the C library's. */
int
clock_gettime(clockid_t id, struct timespec *now)
{
    int result = (int)syscall(SYS_clock_gettime, id, now);

    if (id == CLOCK_BOOTTIME || id == CLOCK_REALTIME) {
        now->tv_sec += slept_s;
    }
    return result;
}

static void
test_time_spent_suspended_counts(void)
{
    struct cw_clock *clock = cw_clock_system();
    struct timespec before = cw_clock_now(clock);
    int64_t wall_ms = cw_clock_wall_ms(clock);

    slept_s = SLEPT_S;
    CU_ASSERT_TRUE(cw_time_diff_ms(before, cw_clock_now(clock)) >=
                   SLEPT_S * CW_MS_PER_S);
    CU_ASSERT_TRUE(cw_clock_wall_ms(clock) - wall_ms >= SLEPT_S * CW_MS_PER_S);
    slept_s = 0;
}

static const struct test tests[] = {
    {"suspended", test_time_spent_suspended_counts},
};

TEST_MAIN("time", tests)

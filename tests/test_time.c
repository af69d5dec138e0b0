/* The system's clock after the machine was suspended.
 *
 * When a suspended VM resumes, its leases and its confirmation of ownership
 * have expired.  CLOCK_MONOTONIC does not count suspended time: a VM that used
 * it would treat them as valid, send orders to workers and report outdated
 * states of jobs to callers.  CLOCK_BOOTTIME counts suspended time. */
#include "test_main.h"

#include <sys/syscall.h>
#include <unistd.h>

#include "curlewcart/cw_time.h"

enum { SUSPENDED_S = 7 };

static time_t suspended_s; /* simulated duration of the suspension */

/* Replaces the C library's function: adds the suspension to the clocks that
 * count it. */
int
clock_gettime(clockid_t id, struct timespec *now)
{
    int result = (int)syscall(SYS_clock_gettime, id, now);

    if (id == CLOCK_BOOTTIME || id == CLOCK_REALTIME) {
        now->tv_sec += suspended_s;
    }
    return result;
}

static void
test_suspended_time_is_counted(void)
{
    struct cw_clock *clock = cw_clock_system();
    struct timespec before = cw_clock_now(clock);
    int64_t wall_ms = cw_clock_wall_ms(clock);

    suspended_s = SUSPENDED_S;
    CU_ASSERT_TRUE(cw_time_diff_ms(before, cw_clock_now(clock)) >=
                   SUSPENDED_S * CW_MS_PER_S);
    CU_ASSERT_TRUE(cw_clock_wall_ms(clock) - wall_ms >=
                   SUSPENDED_S * CW_MS_PER_S);
    suspended_s = 0;
}

static const struct test tests[] = {
    {"suspended", test_suspended_time_is_counted},
};

TEST_MAIN("time", tests)

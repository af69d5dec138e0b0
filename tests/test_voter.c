/* Support of a VM for owners. */
#include "test_main.h"

#include "curlewcart/cw_time.h"
#include "curlewcart/cw_voter.h"

enum { START_MS = 100000, EPOCH = 5, HIGHER_EPOCH = 9, LATER_MS = 3000 };

static struct timespec
at(int64_t ms)
{
    return cw_time_from_ms(START_MS + ms);
}

static int64_t
ms_of(struct timespec time)
{
    return cw_time_diff_ms(cw_time_from_ms(START_MS), time);
}

/* Guards against a voter that has forgotten whom its former process
 * supported. */
static void
test_former_process_may_have_supported_until_its_end(void)
{
    struct cw_voter voter;
    struct timespec until;

    cw_voter_init(&voter, at(0));
    CU_ASSERT_TRUE(cw_voter_support(&voter, EPOCH, at(100), &until));
    CU_ASSERT_EQUAL(ms_of(until), CW_SUPPORT_MS);
}

/* Guards against a former owner that goes on after its successor has asked. */
static void
test_lower_epoch_is_not_supported_again(void)
{
    struct cw_voter voter;
    struct timespec until = at(-1);

    cw_voter_init(&voter, at(0));
    CU_ASSERT_TRUE(cw_voter_support(&voter, EPOCH, at(LATER_MS), &until));
    CU_ASSERT_TRUE(
        cw_voter_support(&voter, HIGHER_EPOCH, at(LATER_MS + 100), &until));
    CU_ASSERT_EQUAL(ms_of(until), LATER_MS + CW_SUPPORT_MS);
    until = at(-1);
    CU_ASSERT_FALSE(
        cw_voter_support(&voter, EPOCH, at(LATER_MS + 200), &until));
    CU_ASSERT_EQUAL(ms_of(until), -1);
}

/* Guards against an owner whose own support counts as that of an earlier
 * one. */
static void
test_own_support_is_not_that_of_lower_epochs(void)
{
    struct cw_voter voter;
    struct timespec until;

    cw_voter_init(&voter, at(0));
    (void)cw_voter_support(&voter, EPOCH, at(LATER_MS), &until);
    for (int i = 1; i < 10; i++) {
        CU_ASSERT_TRUE(cw_voter_support(&voter, HIGHER_EPOCH,
                                        at(LATER_MS + i * 1000LL), &until));
        CU_ASSERT_EQUAL(ms_of(until), LATER_MS + CW_SUPPORT_MS);
    }
}

/* Guards against support for the first of several epochs that is forgotten. */
static void
test_latest_support_of_all_lower_epochs_counts(void)
{
    struct cw_voter voter;
    struct timespec until;

    cw_voter_init(&voter, at(0));
    (void)cw_voter_support(&voter, EPOCH, at(LATER_MS), &until);
    (void)cw_voter_support(&voter, EPOCH + 1, at(LATER_MS + 10), &until);
    (void)cw_voter_support(&voter, HIGHER_EPOCH, at(LATER_MS + 20), &until);
    CU_ASSERT_EQUAL(ms_of(until), LATER_MS + 10 + CW_SUPPORT_MS);
}

static const struct test tests[] = {
    {"former process", test_former_process_may_have_supported_until_its_end},
    {"lower epoch", test_lower_epoch_is_not_supported_again},
    {"own support", test_own_support_is_not_that_of_lower_epochs},
    {"several epochs", test_latest_support_of_all_lower_epochs_counts},
};

TEST_MAIN("voter", tests)

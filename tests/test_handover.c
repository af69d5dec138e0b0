/* Whether a VM that is assigned the shard takes it over from its owner.
 * Guards against two takeovers in a row after an outage of the store, and
 * against a shard that waits for an owner that is gone. */
#include "test_main.h"

#include "curlewcart/cw_handover.h"

/* An owner that took over 750 ms ago and writes. */
static const struct cw_handover_view settling = {.is_owned = true,
                                                 .owner_silent_ms = 400,
                                                 .epoch_ms = 750,
                                                 .reading_ms = 60000};

static void
test_a_shard_that_has_just_settled_stays(void)
{
    CU_ASSERT_EQUAL(cw_handover_decide(&settling), CW_HANDOVER_WAIT);
}

/* A VM that was cut off does not know since when the owner has decided. */
static void
test_a_vm_that_has_just_returned_waits(void)
{
    struct cw_handover_view view = settling;

    view.epoch_ms = 60000;
    view.reading_ms = 50;
    CU_ASSERT_EQUAL(cw_handover_decide(&view), CW_HANDOVER_WAIT);
}

/* The group takes the shard from a lost owner after 1.3 s; this VM must not
 * wait for longer. */
static void
test_a_lost_owner_is_replaced_within_the_groups_time(void)
{
    struct cw_handover_view view = settling;

    view.owner_silent_ms = 1300;
    CU_ASSERT_EQUAL(cw_handover_decide(&view), CW_HANDOVER_OWNER_SILENT);
}

static void
test_no_owner_is_waited_for_that_has_ended(void)
{
    struct cw_handover_view view = settling;

    view.is_owned = false;
    CU_ASSERT_EQUAL(cw_handover_decide(&view), CW_HANDOVER_NO_OWNER);
}

static void
test_a_settled_shard_moves_as_the_group_says(void)
{
    struct cw_handover_view view = settling;

    view.epoch_ms = CW_HANDOVER_SETTLE_MS + 1;
    CU_ASSERT_EQUAL(cw_handover_decide(&view), CW_HANDOVER_SETTLED);
}

static const struct test tests[] = {
    {"settling", test_a_shard_that_has_just_settled_stays},
    {"returned", test_a_vm_that_has_just_returned_waits},
    {"lost", test_a_lost_owner_is_replaced_within_the_groups_time},
    {"ended", test_no_owner_is_waited_for_that_has_ended},
    {"settled", test_a_settled_shard_moves_as_the_group_says},
};

TEST_MAIN("handover", tests)

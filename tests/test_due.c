/* The heap of what is due. */
#include "test_main.h"

#include "curlewcart/cw_time.h"
#include "owner/internal/owner_due.h"

enum { ENTRIES = 500 };

static void
test_entries_come_earliest_first_and_once(void)
{
    struct owner_due *due = owner_due_create();
    struct owner_due_entry entries[ENTRIES] = {0};
    GRand *random = g_rand_new_with_seed(1);
    struct timespec last = cw_time_from_ms(0);
    unsigned taken = 0;
    struct owner_due_entry *entry;

    for (unsigned i = 0; i < ENTRIES; i++) {
        owner_due_schedule(due, &entries[i],
                           cw_time_from_ms(g_rand_int_range(random, 0, 1000)));
    }
    while ((entry = owner_due_pop(due, cw_time_from_ms(1000))) != NULL) {
        CU_ASSERT_FALSE(cw_time_before(entry->at, last));
        CU_ASSERT_EQUAL(entry->position, 0);
        last = entry->at;
        taken++;
    }
    CU_ASSERT_EQUAL(taken, ENTRIES);
    g_rand_free(random);
    owner_due_free(due);
}

static void
test_an_entry_moves_to_an_earlier_time_only(void)
{
    struct owner_due *due = owner_due_create();
    struct owner_due_entry first = {0};
    struct owner_due_entry second = {0};

    owner_due_schedule(due, &first, cw_time_from_ms(100));
    owner_due_schedule(due, &second, cw_time_from_ms(200));
    owner_due_schedule(due, &first, cw_time_from_ms(300));
    CU_ASSERT_PTR_NULL(owner_due_pop(due, cw_time_from_ms(99)));
    owner_due_schedule(due, &second, cw_time_from_ms(50));
    CU_ASSERT_PTR_EQUAL(owner_due_pop(due, cw_time_from_ms(99)), &second);
    CU_ASSERT_PTR_NULL(owner_due_pop(due, cw_time_from_ms(99)));
    CU_ASSERT_PTR_EQUAL(owner_due_pop(due, cw_time_from_ms(100)), &first);
    CU_ASSERT_PTR_NULL(owner_due_pop(due, cw_time_from_ms(1000)));
    owner_due_free(due);
}

/* What is changed while it is attended to is due again at once. */
static void
test_an_entry_that_was_taken_can_come_back(void)
{
    struct owner_due *due = owner_due_create();
    struct owner_due_entry entry = {0};

    owner_due_schedule(due, &entry, cw_time_from_ms(10));
    CU_ASSERT_PTR_EQUAL(owner_due_pop(due, cw_time_from_ms(10)), &entry);
    owner_due_schedule(due, &entry, cw_time_from_ms(0));
    owner_due_schedule(due, &entry, cw_time_from_ms(500));
    CU_ASSERT_PTR_EQUAL(owner_due_pop(due, cw_time_from_ms(10)), &entry);
    owner_due_schedule(due, &entry, cw_time_from_ms(10));
    owner_due_clear(due);
    CU_ASSERT_PTR_NULL(owner_due_pop(due, cw_time_from_ms(10)));
    owner_due_schedule(due, &entry, cw_time_from_ms(20));
    CU_ASSERT_PTR_EQUAL(owner_due_pop(due, cw_time_from_ms(20)), &entry);
    owner_due_free(due);
}

static const struct test tests[] = {
    {"order", test_entries_come_earliest_first_and_once},
    {"earlier only", test_an_entry_moves_to_an_earlier_time_only},
    {"comes back", test_an_entry_that_was_taken_can_come_back},
};

TEST_MAIN("due", tests)

/* Binary heap of entries by due time. */
#include "test_main.h"

#include "curlewcart/cw_time.h"
#include "owner/internal/owner_due.h"

enum { ENTRIES = 500 };

static void
test_entries_are_popped_once_in_order(void)
{
    struct owner_due *due = owner_due_create();
    struct owner_due_entry entries[ENTRIES] = {0};
    GRand *random = g_rand_new_with_seed(1);
    struct timespec last = cw_time_from_ms(0);
    unsigned popped = 0;
    struct owner_due_entry *entry;

    for (unsigned i = 0; i < ENTRIES; i++) {
        owner_due_schedule(due, &entries[i],
                           cw_time_from_ms(g_rand_int_range(random, 0, 1000)));
    }
    while ((entry = owner_due_pop(due, cw_time_from_ms(1000))) != NULL) {
        CU_ASSERT_FALSE(cw_time_before(entry->at, last));
        CU_ASSERT_EQUAL(entry->position, 0);
        last = entry->at;
        popped++;
    }
    CU_ASSERT_EQUAL(popped, ENTRIES);
    g_rand_free(random);
    owner_due_free(due);
}

static void
test_entry_moves_only_to_earlier_time(void)
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

/* An entry that changes while it is processed is due again at once. */
static void
test_popped_entry_can_be_scheduled_again(void)
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
    {"order", test_entries_are_popped_once_in_order},
    {"earlier only", test_entry_moves_only_to_earlier_time},
    {"scheduled again", test_popped_entry_can_be_scheduled_again},
};

TEST_MAIN("due", tests)

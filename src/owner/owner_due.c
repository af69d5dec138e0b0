/* Binary heap of entries by due time, earliest first. */
#include "owner/internal/owner_due.h"

#include <stdint.h>

#include "curlewcart/cw_time.h"

struct owner_due {
    GPtrArray *heap; /* struct owner_due_entry *; position p at index p - 1 */
};

static struct owner_due_entry *
entry_at(const struct owner_due *due, guint position)
{
    return due->heap->pdata[position - 1];
}

static void
set_entry(struct owner_due *due, struct owner_due_entry *entry, guint position)
{
    due->heap->pdata[position - 1] = entry;
    entry->position = position;
}

static void
sift_up(struct owner_due *due, struct owner_due_entry *entry)
{
    guint position = entry->position;

    while (position > 1 &&
           cw_time_before(entry->at, entry_at(due, position / 2)->at))
    {
        set_entry(due, entry_at(due, position / 2), position);
        position /= 2;
    }
    set_entry(due, entry, position);
}

static void
sift_down(struct owner_due *due, struct owner_due_entry *entry)
{
    guint position = entry->position;

    while (2 * position <= due->heap->len) {
        guint child = 2 * position;

        if (child < due->heap->len &&
            cw_time_before(entry_at(due, child + 1)->at,
                           entry_at(due, child)->at))
        {
            child++;
        }
        if (!cw_time_before(entry_at(due, child)->at, entry->at)) {
            break;
        }
        set_entry(due, entry_at(due, child), position);
        position = child;
    }
    set_entry(due, entry, position);
}

struct owner_due *
owner_due_create(void)
{
    struct owner_due *due = g_new0(struct owner_due, 1);

    due->heap = g_ptr_array_new();
    return due;
}

void
owner_due_free(struct owner_due *due)
{
    g_ptr_array_unref(due->heap);
    g_free(due);
}

void
owner_due_clear(struct owner_due *due)
{
    for (guint i = 0; i < due->heap->len; i++) {
        ((struct owner_due_entry *)due->heap->pdata[i])->position = 0;
    }
    g_ptr_array_set_size(due->heap, 0);
}

void
owner_due_schedule(struct owner_due *due, struct owner_due_entry *entry,
                   struct timespec at)
{
    if (entry->position == 0) {
        g_ptr_array_add(due->heap, entry);
        entry->position = due->heap->len;
        entry->at = at;
    }
    else if (cw_time_before(at, entry->at)) {
        entry->at = at;
    }
    else {
        return;
    }
    sift_up(due, entry);
}

struct owner_due_entry *
owner_due_pop(struct owner_due *due, struct timespec now)
{
    struct owner_due_entry *first;
    struct owner_due_entry *last;

    if (due->heap->len == 0 || cw_time_before(now, entry_at(due, 1)->at)) {
        return NULL;
    }
    first = entry_at(due, 1);
    last = entry_at(due, due->heap->len);
    g_ptr_array_set_size(due->heap, (gint)due->heap->len - 1);
    if (last != first) {
        last->position = 1;
        sift_down(due, last);
    }
    first->position = 0;
    return first;
}

struct timespec
owner_due_next(const struct owner_due *due)
{
    return due->heap->len > 0 ? entry_at(due, 1)->at
                              : cw_time_from_ms(INT32_MAX);
}

/* A binary heap of what is due, earliest first. */
#include "owner/internal/owner_due.h"

#include <stdint.h>

#include "curlewcart/cw_time.h"

struct owner_due {
    GPtrArray *heap; /* struct owner_due_entry *; place p at index p - 1 */
};

static struct owner_due_entry *
at_place(const struct owner_due *due, guint place)
{
    return due->heap->pdata[place - 1];
}

static void
put(struct owner_due *due, struct owner_due_entry *entry, guint place)
{
    due->heap->pdata[place - 1] = entry;
    entry->place = place;
}

static void
move_up(struct owner_due *due, struct owner_due_entry *entry)
{
    guint place = entry->place;

    while (place > 1 &&
           cw_time_before(entry->at, at_place(due, place / 2)->at)) {
        put(due, at_place(due, place / 2), place);
        place /= 2;
    }
    put(due, entry, place);
}

static void
move_down(struct owner_due *due, struct owner_due_entry *entry)
{
    guint place = entry->place;

    while (2 * place <= due->heap->len) {
        guint child = 2 * place;

        if (child < due->heap->len &&
            cw_time_before(at_place(due, child + 1)->at,
                           at_place(due, child)->at))
        {
            child++;
        }
        if (!cw_time_before(at_place(due, child)->at, entry->at)) {
            break;
        }
        put(due, at_place(due, child), place);
        place = child;
    }
    put(due, entry, place);
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
        ((struct owner_due_entry *)due->heap->pdata[i])->place = 0;
    }
    g_ptr_array_set_size(due->heap, 0);
}

void
owner_due_by(struct owner_due *due, struct owner_due_entry *entry,
             struct timespec at)
{
    if (entry->place == 0) {
        g_ptr_array_add(due->heap, entry);
        entry->place = due->heap->len;
        entry->at = at;
    }
    else if (cw_time_before(at, entry->at)) {
        entry->at = at;
    }
    else {
        return;
    }
    move_up(due, entry);
}

struct owner_due_entry *
owner_due_take(struct owner_due *due, struct timespec now)
{
    struct owner_due_entry *first;
    struct owner_due_entry *last;

    if (due->heap->len == 0 || cw_time_before(now, at_place(due, 1)->at)) {
        return NULL;
    }
    first = at_place(due, 1);
    last = at_place(due, due->heap->len);
    g_ptr_array_set_size(due->heap, (gint)due->heap->len - 1);
    if (last != first) {
        last->place = 1;
        move_down(due, last);
    }
    first->place = 0;
    return first;
}

struct timespec
owner_due_next(const struct owner_due *due)
{
    return due->heap->len > 0 ? at_place(due, 1)->at
                              : cw_time_from_ms(INT32_MAX);
}

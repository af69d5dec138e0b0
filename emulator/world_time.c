/* Events ordered by time, random numbers from one generator, and the list of
 * faults. */
#include "emulator/internal/world_private.h"

#include <inttypes.h>
#include <stdio.h>

enum { CALM_MS = 4000, PERCENT = 100 };

/* ---- time ---- */

static bool
event_before(const struct event *a, const struct event *b)
{
    return a->at_ms < b->at_ms ||
           (a->at_ms == b->at_ms && a->order < b->order);
}

static void
swap(GPtrArray *heap, guint a, guint b)
{
    gpointer item = heap->pdata[a];

    heap->pdata[a] = heap->pdata[b];
    heap->pdata[b] = item;
}

void
world_schedule(struct world *world, int64_t after_ms,
               void (*run)(struct world *, void *), void *context)
{
    struct event *event = g_new0(struct event, 1);
    guint at = world->events->len;

    event->at_ms = world->now_ms + MAX(0, after_ms);
    event->order = world->next_order++;
    event->run = run;
    event->context = context;
    g_ptr_array_add(world->events, event);
    while (at > 0 && event_before(event, world->events->pdata[(at - 1) / 2])) {
        swap(world->events, at, (at - 1) / 2);
        at = (at - 1) / 2;
    }
}

struct event *
world_pop_event(struct world *world)
{
    GPtrArray *heap = world->events;
    struct event *top = heap->pdata[0];
    guint at = 0;

    swap(heap, 0, heap->len - 1);
    g_ptr_array_set_size(heap, (gint)heap->len - 1);
    for (;;) {
        guint smallest = at;

        for (guint child = 2 * at + 1; child <= 2 * at + 2; child++) {
            if (child < heap->len &&
                event_before(heap->pdata[child], heap->pdata[smallest]))
            {
                smallest = child;
            }
        }
        if (smallest == at) {
            return top;
        }
        swap(heap, at, smallest);
        at = smallest;
    }
}

unsigned
world_random_below(struct world *world, unsigned below)
{
    return (unsigned)g_rand_int_range(world->random, 0, (gint32)MAX(1, below));
}

unsigned
world_random_between(struct world *world, unsigned low, unsigned high)
{
    return low + world_random_below(world, high - low + 1);
}

bool
world_random_chance(struct world *world, unsigned percent)
{
    return world_random_below(world, PERCENT) < percent;
}

bool
world_is_calm(const struct world *world)
{
    return world->now_ms > world->disturbed_until_ms + CALM_MS;
}

void
world_disturb(struct world *world, unsigned ms, unsigned after_ms)
{
    world->faults_until_ms = MAX(world->faults_until_ms, world->now_ms + ms);
    world->disturbed_until_ms =
        MAX(world->disturbed_until_ms, world->now_ms + ms + after_ms);
}

void world_record_fault(struct world *world, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

void
world_record_fault(struct world *world, const char *format, ...)
{
    va_list arguments;
    char *text;

    va_start(arguments, format);
    text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_string_append_printf(world->faults, "%" PRId64 ":%s ", world->now_ms,
                           text);
    if (world->options.trace) {
        printf("t=%" PRId64 " fault=\"%s\"\n", world->now_ms, text);
    }
    g_free(text);
}

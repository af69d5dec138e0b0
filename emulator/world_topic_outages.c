/* Outages of one topic of the store, for all VMs: its appends and reads are
 * not answered, or refused, while calls to the other topics and the group's
 * joins are served. */
#include "emulator/internal/world_private.h"

#include <string.h>

#include "curlewcart/cw_owner.h"
#include "curlewcart/cw_replica.h"

enum {
    OUTAGE_MIN_MS = 1000,
    OUTAGE_MAX_MS = 7000,
    /* Percentage of outages in which calls are refused at once. */
    REFUSED_PERCENT = 50
};

void
world_topic_outage(struct world *world, void *unused)
{
    static const char *const topics[] = {CW_JOBS_TOPIC, CW_STATE_TOPIC,
                                         TARGETS_TOPIC, COMMANDS_TOPIC};
    unsigned ms = world_random_between(world, OUTAGE_MIN_MS, OUTAGE_MAX_MS);

    (void)unused;
    world->unavailable_topic =
        topics[world_random_below(world, G_N_ELEMENTS(topics))];
    world->topic_refuses = world_random_chance(world, REFUSED_PERCENT);
    world->topic_unavailable_until_ms = world->now_ms + ms;
    world_record_fault(world, "%s unavailable for %u refuses %d",
                       world->unavailable_topic, ms, world->topic_refuses);
    world_disturb(world, ms, 0);
}

bool
world_topic_unavailable(const struct world *world, const char *topic)
{
    return world->topic_unavailable_until_ms > world->now_ms &&
           topic != NULL && strcmp(topic, world->unavailable_topic) == 0;
}

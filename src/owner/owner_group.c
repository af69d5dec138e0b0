/* Membership of the group whose members are assigned the shards. */
#include "owner/internal/owner_private.h"

enum {
    /* Number of joins in the member's time to live: the loss of several
     * successive calls does not lose the shard. */
    JOINS_PER_TTL = 5,
    JOIN_TIMEOUT_MS = 700
};

static bool
has_partition(const struct cw_store_join_result *result, unsigned partition)
{
    for (size_t i = 0; i < result->count; i++) {
        if (result->partitions[i] == partition) {
            return true;
        }
    }
    return false;
}

/* Yields the shard to another VM.  This VM remains the owner until the next
 * one has fenced it, so that there is no time without an owner, or until its
 * own last confirmation is too old. */
static void
yield(struct cw_owner *owner, const char *reason)
{
    if (owner->state != OWNER_ACTIVE) {
        owner_drop_ownership(owner, reason);
        return;
    }
    owner->yielding = true;
    cw_log_info("owner_yields", "shard=%u epoch=%" PRIu64 " reason=%s",
                owner->options.partition, owner->epoch, reason);
}

/* True if membership confirms ownership.  A member that the store received no
 * join from for its time to live may have lost the shard and received it again
 * in between: then only an append that the store accepts under the epoch
 * confirms ownership. */
static bool
join_confirms_ownership(const struct cw_owner *owner, struct timespec now)
{
    return owner->state != OWNER_ACTIVE ||
           cw_time_diff_ms(owner->ownership_confirmed_at, now) <
               (int64_t)owner->options.member_ttl_ms;
}

static void
apply_join(struct cw_owner *owner, const struct cw_store_join_result *result,
           struct timespec now)
{
    bool has = has_partition(result, owner->options.partition);

    owner->generation = result->generation;
    owner->joined = true;
    if (has && join_confirms_ownership(owner, now)) {
        owner_confirm_ownership(owner, owner->join_sent);
    }
    if (has && !owner->partition_assigned && !owner->leaving) {
        owner->partition_assigned = true;
        cw_log_info("shard_gained", "shard=%u generation=%" PRIu64,
                    owner->options.partition, owner->generation);
        owner_take_over(owner, now);
    }
    else if (!has && owner->partition_assigned && !owner->yielding) {
        yield(owner, "reassigned");
    }
    else if (has) {
        owner->yielding = false;
    }
}

static void
on_joined(void *context, const struct cw_store_join_result *result)
{
    struct cw_owner *owner = context;
    struct timespec now = owner_now(owner);

    owner->join_in_flight = false;
    owner->join_due = cw_time_add_ms(
        owner->join_sent, owner->options.member_ttl_ms / JOINS_PER_TTL);
    if (result->status == CW_STORE_OK && !owner->leaving) {
        apply_join(owner, result, now);
    }
}

static void
send_join(struct cw_owner *owner, struct timespec now)
{
    struct cw_store_join call = {
        .group = CW_OWNER_GROUP,
        .member = owner->member,
        .topic = CW_JOBS_TOPIC,
        .ttl_ms = owner->options.member_ttl_ms,
        .generation = owner->generation,
        .timeout_ms = JOIN_TIMEOUT_MS,
        .done = on_joined,
        .context = owner,
    };

    if (cw_time_before(now, owner->join_due)) {
        return;
    }
    owner->join_in_flight = true;
    owner->join_sent = now;
    owner->options.store->ops->join(owner->options.store, &call);
}

/* ---- leaving ---- */

static void
on_left(void *context, enum cw_store_status status)
{
    (void)context;
    cw_log_info("group_left", "status=%s", cw_store_status_name(status));
}

/* Leaves the group.  If this call is lost, the group drops the member after
 * its time to live. */
static void
send_leave(struct cw_owner *owner, const char *reason)
{
    struct cw_store_leave call = {
        .group = CW_OWNER_GROUP,
        .member = owner->member,
        .timeout_ms = JOIN_TIMEOUT_MS,
        .done = on_left,
        .context = owner,
    };

    cw_log_info("group_leaves", "reason=%s capacity=%u bar=%u", reason,
                owner->options.capacity_milli,
                owner->candidacy.weak_below_milli);
    owner->joined = false;
    if (owner->state != OWNER_IDLE) {
        yield(owner, reason);
    }
    owner->options.store->ops->leave(owner->options.store, &call);
}

void
cw_owner_leave(struct cw_owner *owner)
{
    if (!owner->leaving) {
        owner->leaving = true;
        send_leave(owner, "leaving");
    }
}

/* Records whether this VM is a candidate for the shard. */
static void
set_candidate(struct cw_owner *owner, bool is_wanted)
{
    struct owner_candidacy *candidacy = &owner->candidacy;

    if (is_wanted == candidacy->is_candidate) {
        return;
    }
    candidacy->is_candidate = is_wanted;
    if (is_wanted) {
        candidacy->outranked = false;
        cw_log_info("group_joins", "capacity=%u bar=%u",
                    owner->options.capacity_milli,
                    candidacy->weak_below_milli);
    }
}

struct timespec
owner_group_tick(struct cw_owner *owner, struct timespec now)
{
    struct timespec next = owner_candidacy_tick(owner, now);

    if (owner->join_in_flight || owner->leaving) {
        return next;
    }
    set_candidate(owner, owner_candidacy_wants_membership(owner, now));
    if (owner->candidacy.is_candidate) {
        send_join(owner, now);
        if (!owner->join_in_flight) {
            cw_time_set_earlier(&next, owner->join_due);
        }
    }
    else if (owner->joined) {
        send_leave(owner, "outranked");
    }
    return next;
}

/* Membership of the group whose members are assigned the shards. */
#include "owner/internal/owner_private.h"

#include <string.h>

#include "curlewcart/cw_handover.h"

enum {
    /* Number of joins in the member's time to live: the loss of several
     * successive calls does not lose the shard. */
    JOINS_PER_TTL = 5,
    JOIN_TIMEOUT_MS = 700,
    WAIT_CHECK_MS = 50
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

/* ---- taking over from another owner ---- */

/* True if another VM has begun the latest epoch and has not ended it. */
static bool
is_owned_elsewhere(const struct cw_owner *owner)
{
    const struct owner_candidacy *candidacy = &owner->candidacy;
    GHashTableIter iterator;
    gpointer vm;
    gpointer value;

    g_hash_table_iter_init(&iterator,
                           cw_replica_epochs(owner->options.replica));
    while (g_hash_table_iter_next(&iterator, &vm, &value)) {
        const struct cw_replica_epoch *other = value;

        if (other->epoch > 0 && other->epoch == candidacy->owner_epoch) {
            return strcmp(vm, owner->vm) != 0 &&
                   !cw_replica_epoch_has_ended(other) &&
                   candidacy->left_epoch < other->epoch;
        }
    }
    return false;
}

static struct cw_handover_view
view_handover(const struct cw_owner *owner, struct timespec now)
{
    const struct owner_candidacy *candidacy = &owner->candidacy;

    return (struct cw_handover_view){
        .is_owned = is_owned_elsewhere(owner),
        .owner_silent_ms =
            cw_time_diff_ms(candidacy->owner_record_read_at, now),
        .epoch_ms = cw_time_diff_ms(candidacy->owner_epoch_read_at, now),
        .reading_ms = cw_time_diff_ms(candidacy->reading_since, now)};
}

static void
begin_wait(struct cw_owner *owner, const struct cw_handover_view *view)
{
    owner->takeover_waits = true;
    cw_follower_set_read_interval(cw_replica_follower(owner->options.replica),
                                  CW_STANDBY_READ_INTERVAL_MS);
    cw_log_info("takeover_waits",
                "shard=%u generation=%" PRIu64 " owner_epoch=%" PRIu64
                " owner_silent_ms=%" PRId64 " epoch_ms=%" PRId64
                " reading_ms=%" PRId64,
                owner->options.partition, owner->generation,
                owner->candidacy.owner_epoch, view->owner_silent_ms,
                view->epoch_ms, view->reading_ms);
}

static void
end_wait(struct cw_owner *owner, const char *reason)
{
    owner->takeover_waits = false;
    cw_follower_set_read_interval(cw_replica_follower(owner->options.replica),
                                  owner->options.standby_read_interval_ms);
    cw_log_info("takeover_wait_ends",
                "shard=%u generation=%" PRIu64 " reason=%s",
                owner->options.partition, owner->generation, reason);
}

bool
owner_group_takeover_waits(struct cw_owner *owner, struct timespec now)
{
    struct cw_handover_view view = view_handover(owner, now);
    enum cw_handover decision = cw_handover_decide(&view);

    if (decision == CW_HANDOVER_WAIT && !owner->takeover_waits) {
        begin_wait(owner, &view);
    }
    else if (decision != CW_HANDOVER_WAIT && owner->takeover_waits) {
        end_wait(owner, cw_handover_name(decision));
    }
    return owner->takeover_waits;
}

/* Takes the shard over, or waits while another VM goes on as its owner. */
static void
take_over_or_wait(struct cw_owner *owner, struct timespec now)
{
    if (!owner_group_takeover_waits(owner, now)) {
        owner->takeover_may_wait = true;
        owner_take_over(owner, now);
    }
}

/* The group has assigned the shard to another VM. */
static void
lose_partition(struct cw_owner *owner)
{
    if (owner->takeover_waits) {
        end_wait(owner, "reassigned");
        owner->partition_assigned = false;
    }
    else {
        yield(owner, "reassigned");
    }
}

/* ---- joining ---- */

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
        take_over_or_wait(owner, now);
    }
    else if (!has && owner->partition_assigned && !owner->yielding) {
        lose_partition(owner);
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
    if (owner->takeover_waits) {
        end_wait(owner, reason);
        owner->partition_assigned = false;
    }
    if (owner->state != OWNER_IDLE) {
        yield(owner, reason);
        owner->leave_unwritten = owner->state == OWNER_ACTIVE;
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

    if (owner->takeover_waits) {
        take_over_or_wait(owner, now);
        cw_time_set_earlier(&next, cw_time_add_ms(now, WAIT_CHECK_MS));
    }
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

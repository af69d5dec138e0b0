/* Which VMs let the group deal them a shard: the strongest, unless none of
 * them decides.  An owner does most of the system's work, and a VM with an
 * eighth of a core falls behind where one with half a core does not.
 *
 * Every VM announces its share of a processor in the shard's log, where all
 * read it.  One that is much weaker than the strongest stays out of the group
 * while an owner's records arrive.  If none has come for a while it joins, and
 * leaves again when a stronger VM announces itself. */
#include "owner/internal/owner_private.h"

enum {
    /* Below two thirds of the strongest a VM is weak: a hand-over costs a
     * look at every worker, and must be worth it. */
    WEAK_PARTS = 2,
    STRONG_PARTS = 3,
    /* Strong VMs replace a dead owner within the member's time to live,
     * 1.3 s, and some 100 ms; owners write once a second at least. */
    QUIET_MS = 3000,
    /* Without an answered read for so long it cannot tell. */
    READING_MS = 2000,
    ANNOUNCE_TIMEOUT_MS = 900,
    ANNOUNCE_RETRY_MS = 700,
    CHECK_MS = 250,
    BEAT_MS = 1000
};

void
owner_candidacy_init(struct cw_owner *owner)
{
    struct owner_candidacy *candidacy = &owner->candidacy;

    candidacy->capacities =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    candidacy->reading_since = owner_now(owner);
    candidacy->least_milli = owner->options.capacity_milli;
    candidacy->most_milli = owner->options.capacity_milli;
}

void
owner_candidacy_clear(struct cw_owner *owner)
{
    g_hash_table_unref(owner->candidacy.capacities);
}

/* ---- what others announce ---- */

static bool
is_weaker(unsigned capacity_milli, unsigned than_milli)
{
    return capacity_milli * STRONG_PARTS < than_milli * WEAK_PARTS;
}

/* Bounds of what was announced, and of this VM's own. */
static void
update_bounds(struct cw_owner *owner)
{
    struct owner_candidacy *candidacy = &owner->candidacy;
    GHashTableIter iterator;
    gpointer value;

    candidacy->least_milli = owner->options.capacity_milli;
    candidacy->most_milli = owner->options.capacity_milli;
    g_hash_table_iter_init(&iterator, candidacy->capacities);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        unsigned capacity_milli = GPOINTER_TO_UINT(value);

        candidacy->least_milli = MIN(candidacy->least_milli, capacity_milli);
        candidacy->most_milli = MAX(candidacy->most_milli, capacity_milli);
    }
}

void
owner_candidacy_announced(struct cw_owner *owner, const char *vm,
                          unsigned capacity_milli)
{
    struct owner_candidacy *candidacy = &owner->candidacy;

    g_hash_table_replace(candidacy->capacities, g_strdup(vm),
                         GUINT_TO_POINTER(capacity_milli));
    update_bounds(owner);
    if (is_weaker(owner->options.capacity_milli, capacity_milli)) {
        candidacy->outranked = true;
    }
}

/* ---- this VM's own announcement ---- */

static void
on_announced(void *context, const struct cw_store_appended *result)
{
    struct cw_owner *owner = context;
    struct owner_candidacy *candidacy = &owner->candidacy;

    candidacy->announcing = false;
    candidacy->announced = result->status == CW_STORE_OK;
    candidacy->announce_due =
        cw_time_add_ms(owner_now(owner), ANNOUNCE_RETRY_MS);
}

static void
announce(struct cw_owner *owner)
{
    struct cw_vm_record value = {.capacity_milli =
                                     owner->options.capacity_milli};
    GByteArray *bytes = cw_xdr_encode((xdrproc_t)xdr_cw_vm_record, &value);
    char *key = cw_work_key(CW_WORK_KEY_VM, owner->options.vm);
    struct cw_store_record record = {
        .key = key, .value = bytes->data, .length = bytes->len};
    struct cw_store_append call = {
        .topic = CW_WORK_TOPIC,
        .partition = owner->options.partition,
        .records = &record,
        .count = 1,
        .timeout_ms = ANNOUNCE_TIMEOUT_MS,
        .done = on_announced,
        .context = owner,
    };

    owner->candidacy.announcing = true;
    owner->options.store->ops->append(owner->options.store, &call);
    g_free(key);
    g_byte_array_unref(bytes);
}

struct timespec
owner_candidacy_tick(struct cw_owner *owner, struct timespec now)
{
    struct owner_candidacy *candidacy = &owner->candidacy;
    struct cw_follower *jobs = cw_replica_follower(owner->options.replica);

    if (cw_time_diff_ms(cw_follower_fresh(jobs), now) > READING_MS) {
        candidacy->reading_since = now;
    }
    if (cw_follower_loaded(jobs) && !candidacy->announced &&
        !candidacy->announcing && !owner->leaving &&
        !cw_time_before(now, candidacy->announce_due))
    {
        announce(owner);
    }
    return cw_time_add_ms(now, CHECK_MS);
}

/* ---- whether to join ---- */

static bool
nobody_decides(const struct owner_candidacy *candidacy, struct timespec now)
{
    return cw_time_diff_ms(candidacy->owner_wrote_at, now) > QUIET_MS &&
           cw_time_diff_ms(candidacy->reading_since, now) > QUIET_MS;
}

bool
owner_candidacy_wants(const struct cw_owner *owner, struct timespec now)
{
    const struct owner_candidacy *candidacy = &owner->candidacy;
    struct cw_follower *jobs = cw_replica_follower(owner->options.replica);

    if (!cw_follower_loaded(jobs)) {
        return false;
    }
    if (!is_weaker(owner->options.capacity_milli, candidacy->most_milli)) {
        return true;
    }
    /* An announcement read since it joined is of a VM that lives. */
    return owner->holds_partition ? !candidacy->outranked
                                  : nobody_decides(candidacy, now);
}

bool
owner_candidacy_beat_due(const struct cw_owner *owner, struct timespec now)
{
    const struct owner_candidacy *candidacy = &owner->candidacy;

    return is_weaker(candidacy->least_milli, candidacy->most_milli) &&
           cw_time_diff_ms(owner->appended_at, now) >= BEAT_MS;
}

/* Which VMs join the group and so can be assigned a shard: those with the most
 * processor capacity, unless none of them is active as the owner.  An owner
 * does most of the system's work, and a VM with an eighth of a core falls
 * behind where one with half a core does not.
 *
 * Every VM announces its processor capacity in the shard's log, which all VMs
 * read.  A VM that is much weaker than the strongest stays out of the group
 * while records of an owner arrive.  If none has arrived for QUIET_MS it
 * joins, and leaves again when a stronger VM announces itself. */
#include "owner/internal/owner_private.h"

enum {
    /* A VM is weak if it has less than two thirds of the strongest VM's
     * capacity: a takeover polls every worker, so that a smaller difference
     * does not justify a takeover. */
    WEAK_NUMERATOR = 2,
    WEAK_DENOMINATOR = 3,
    /* This many of the strongest VMs are never weak: they replace each other,
     * and other VMs reach the store through them. */
    STRONG_COUNT_MIN = 3,
    /* Strong VMs replace a failed owner within the member's time to live,
     * 1.3 s, and some 100 ms; owners write at least once a second. */
    QUIET_MS = 3000,
    /* If no read was answered for this long, a VM cannot determine whether an
     * owner is active. */
    READ_AGE_MAX_MS = 2000,
    ANNOUNCE_TIMEOUT_MS = 900,
    ANNOUNCE_RETRY_MS = 700,
    CHECK_INTERVAL_MS = 250,
    HEARTBEAT_INTERVAL_MS = 1000
};

/* ---- announced capacities ---- */

static gint
compare_descending(gconstpointer a, gconstpointer b)
{
    guint left = GPOINTER_TO_UINT(*(const gpointer *)a);
    guint right = GPOINTER_TO_UINT(*(const gpointer *)b);

    return left < right ? 1 : left > right ? -1 : 0;
}

/* The capacity below which a VM is weak. */
static unsigned
weak_below(const GPtrArray *descending)
{
    unsigned strongest = GPOINTER_TO_UINT(descending->pdata[0]);
    unsigned threshold = strongest * WEAK_NUMERATOR / WEAK_DENOMINATOR;
    guint last = MIN(descending->len, STRONG_COUNT_MIN) - 1;

    return MIN(threshold, GPOINTER_TO_UINT(descending->pdata[last]));
}

/* Computes anew which VMs are weak. */
static void
update_threshold(struct cw_owner *owner)
{
    struct owner_candidacy *candidacy = &owner->candidacy;
    GPtrArray *all = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, candidacy->capacities);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        g_ptr_array_add(all, value);
    }
    g_ptr_array_sort(all, compare_descending);
    candidacy->weak_below_milli = weak_below(all);
    candidacy->some_weak = GPOINTER_TO_UINT(all->pdata[all->len - 1]) <
                           candidacy->weak_below_milli;
    g_ptr_array_unref(all);
}

static void
set_capacity(struct cw_owner *owner, const char *vm, unsigned capacity_milli)
{
    g_hash_table_replace(owner->candidacy.capacities, g_strdup(vm),
                         GUINT_TO_POINTER(capacity_milli));
    update_threshold(owner);
}

static bool
is_weak(const struct cw_owner *owner)
{
    return owner->options.capacity_milli < owner->candidacy.weak_below_milli;
}

void
owner_candidacy_init(struct cw_owner *owner)
{
    struct owner_candidacy *candidacy = &owner->candidacy;

    candidacy->capacities =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    candidacy->reading_since = owner_now(owner);
    set_capacity(owner, owner->vm, owner->options.capacity_milli);
}

void
owner_candidacy_clear(struct cw_owner *owner)
{
    g_hash_table_unref(owner->candidacy.capacities);
}

void
owner_candidacy_announced(struct cw_owner *owner, const char *vm,
                          unsigned capacity_milli)
{
    set_capacity(owner, vm, capacity_milli);
    if (is_weak(owner) && capacity_milli >= owner->candidacy.weak_below_milli)
    {
        owner->candidacy.outranked = true;
    }
}

/* ---- this VM's own announcement ---- */

static void
on_announced(void *context, const struct cw_store_append_result *result)
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
    char *key = cw_work_key(CW_WORK_KEY_VM, owner->vm);
    struct cw_store_record record = {
        .key = key, .value = bytes->data, .length = bytes->len};
    struct cw_store_append call = {
        .topic = CW_JOBS_TOPIC,
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

    if (cw_time_diff_ms(cw_follower_fresh_as_of(jobs), now) > READ_AGE_MAX_MS)
    {
        candidacy->reading_since = now;
    }
    if (cw_follower_loaded(jobs) && !candidacy->announced &&
        !candidacy->announcing && !owner->leaving &&
        !cw_time_before(now, candidacy->announce_due))
    {
        announce(owner);
    }
    return cw_time_add_ms(now, CHECK_INTERVAL_MS);
}

/* ---- whether to join ---- */

static bool
no_owner_is_active(const struct owner_candidacy *candidacy,
                   struct timespec now)
{
    return cw_time_diff_ms(candidacy->owner_record_read_at, now) > QUIET_MS &&
           cw_time_diff_ms(candidacy->reading_since, now) > QUIET_MS;
}

bool
owner_candidacy_wants_membership(const struct cw_owner *owner,
                                 struct timespec now)
{
    const struct owner_candidacy *candidacy = &owner->candidacy;
    struct cw_follower *jobs = cw_replica_follower(owner->options.replica);

    if (!cw_follower_loaded(jobs)) {
        return false;
    }
    if (!is_weak(owner)) {
        return true;
    }
    /* A VM whose announcement was read after this one joined is running. */
    return owner->partition_assigned ? !candidacy->outranked
                                     : no_owner_is_active(candidacy, now);
}

bool
owner_candidacy_heartbeat_due(const struct cw_owner *owner,
                              struct timespec now)
{
    return owner->candidacy.some_weak &&
           cw_time_diff_ms(owner_log_last_sent_at(owner->jobs_log), now) >=
               HEARTBEAT_INTERVAL_MS;
}

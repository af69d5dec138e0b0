/* Bounds on the leases that earlier owners granted.
 *
 * An owner may have been replaced without having received that, and renews
 * leases for EXTEND_UNCONFIRMED_MAX_MS after the store last confirmed its
 * ownership.  A worker that does not answer the next owner may therefore
 * execute its runs until such a lease has expired.  That is the bound for an
 * owner without records.  Records in the log of jobs lower the bound:
 *
 * - An owner writes its epoch before it grants the first lease under it.
 * - A VM that has lost ownership, or has restarted, writes that its last epoch
 *   has ended, and how long the leases that it granted may still last.
 * - Once all leases of earlier owners have expired, the owner writes that too:
 *   the epochs below its own are settled, and VMs that take over later need
 *   not consider them.
 */
#include "owner/internal/owner_private.h"

#include <string.h>

enum {
    /* Leases are renewed for this long without a new confirmation, so that
     * work survives an outage of the store. */
    EXTEND_UNCONFIRMED_MAX_MS = 6000,
    APPEND_TIMEOUT_MS = 900,
    RETRY_MS = 300,
    /* Limit on the workers listed in a record, at some 30 bytes each. */
    OTHER_LEASES_MAX = 500
};

/* An append in flight; it may outlive the owner. */
struct call {
    struct owner_epochs *epochs; /* NULL once the owner is gone */
    uint64_t epoch;
};

struct owner_epochs {
    struct timespec vm_started_at;
    /* Leases that this VM granted under epochs that have ended.  Until this VM
     * has read whether an earlier process of it granted leases, it assumes one
     * that was granted just before the present process started. */
    uint64_t granted_epoch;        /* the last of those epochs; 0 none */
    struct timespec granted_until; /* the latest end of leases */
    GHashTable *other_leases; /* worker -> struct timespec: when the bound of
                                 its lease ends, if at another time */
    uint64_t recorded_epoch;  /* the last one of this VM in the log before its
                                 present one, also of a former process */
    bool end_unwritten;       /* the end of that epoch is not in the log yet */
    struct call *call;        /* append that writes the end, or NULL */
    struct timespec due;
    /* While this VM takes over or is the owner. */
    bool begin_sent;   /* the record of its epoch may be in the log */
    bool begin_stored; /* that record is in the log */
    /* The record that earlier epochs are settled was sent. */
    bool settled_sent;
    struct timespec active_since;
    struct timespec settle_due; /* when earlier owners' leases have expired, as
                                   far as runs depend on them */
    struct timespec earlier_end; /* when all of them have expired */
};

/* Returns how long a lease may last, by this VM's clock, after the last order
 * that granted it was sent. */
static int64_t
lease_max_duration_ms(int64_t lease_ms)
{
    return owner_with_drift_ms(lease_ms) + OWNER_ORDER_DELAY_MAX_MS;
}

bool
owner_epochs_any_worker_reports_boot(const struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;

        if (target->incarnation.boot_ms > 0 || target->reported_boot_ms > 0) {
            return true;
        }
    }
    return false;
}

int64_t
owner_epochs_longest_lease_ms(const struct cw_owner *owner)
{
    return owner_epochs_any_worker_reports_boot(owner)
               ? owner->options.lease_ms
               : owner_lease_max_granted_ms(owner);
}

struct owner_epochs *
owner_epochs_create(const struct cw_owner *owner)
{
    struct owner_epochs *epochs = g_new0(struct owner_epochs, 1);

    /* An earlier process of this VM ended before this one began. */
    epochs->vm_started_at = owner_now(owner);
    epochs->granted_until = cw_time_add_ms(
        epochs->vm_started_at, lease_max_duration_ms(owner->options.lease_ms));
    epochs->other_leases =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return epochs;
}

void
owner_epochs_free(struct owner_epochs *epochs)
{
    if (epochs->call != NULL) {
        epochs->call->epochs = NULL;
    }
    g_hash_table_unref(epochs->other_leases);
    g_free(epochs);
}

bool
owner_may_poll(const struct cw_owner *owner, struct timespec now)
{
    return owner->state == OWNER_ACTIVE &&
           cw_time_diff_ms(owner->ownership_confirmed_at, now) <
               EXTEND_UNCONFIRMED_MAX_MS;
}

bool
owner_may_extend_leases(const struct cw_owner *owner, struct timespec now)
{
    return owner_may_poll(owner, now) && owner_quorum_allows(owner, now);
}

/* ---- leases of earlier owners ---- */

/* Returns the highest epoch that was recorded as settled: all leases granted
 * under lower ones have expired; 0: none. */
static uint64_t
settled_below(const struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;
    uint64_t highest = 0;

    g_hash_table_iter_init(&iterator,
                           cw_replica_epochs(owner->options.replica));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct cw_replica_epoch *epoch = value;

        highest = MAX(highest, epoch->settled_below);
    }
    return highest;
}

/* Returns when the leases expire of an earlier owner that may not have
 * detected yet that it was replaced. */
static struct timespec
end_of_open(const struct cw_owner *owner, int64_t lease_ms)
{
    return cw_time_add_ms(owner->epochs->active_since,
                          EXTEND_UNCONFIRMED_MAX_MS +
                              lease_max_duration_ms(lease_ms));
}

/* True if the epoch is one of another VM and is not settled. */
static bool
may_have_leases(const struct cw_owner *owner, const char *vm,
                const struct cw_replica_epoch *epoch, uint64_t settled)
{
    return epoch->epoch > 0 && epoch->epoch >= settled &&
           strcmp(vm, owner->vm) != 0;
}

/* Returns when a lease expires that another VM granted to the worker; NULL:
 * any worker. */
static struct timespec
end_of_other(const struct cw_owner *owner,
             const struct cw_replica_epoch *epoch, const char *worker)
{
    const struct cw_replica_lease_terms *terms = cw_replica_epoch_terms(epoch);
    int64_t lease_ms = terms != NULL ? terms->lease_ms : epoch->lease_ms;
    struct timespec end = end_of_open(owner, lease_ms);
    struct timespec on_other_terms = cw_time_from_ms(0);
    struct timespec start;

    if (terms != NULL) {
        on_other_terms =
            owner_lease_end_from_record(terms->read_at, terms->longer_left_ms);
    }
    cw_time_set_later(&end, on_other_terms);
    if (cw_replica_epoch_has_ended(epoch)) {
        end = owner_lease_end_from_record(
            epoch->end_read_at, cw_replica_epoch_lease_left_ms(epoch, worker));
    }
    if (owner_quorum_earlier_start(owner, epoch, &start)) {
        /* A lease is granted as a time on the worker's clock, so that an order
         * in flight does not extend it. */
        struct timespec last_end =
            cw_time_add_ms(start, owner_lease_duration_ms(lease_ms));

        cw_time_set_later(&last_end, on_other_terms);
        cw_time_set_earlier(&end, last_end);
    }
    return end;
}

/* Does the same for leases that this VM granted before its present epoch. */
static struct timespec
end_of_own(const struct owner_epochs *epochs, const char *worker)
{
    const struct timespec *end =
        worker != NULL ? g_hash_table_lookup(epochs->other_leases, worker)
                       : NULL;

    return end != NULL ? *end : epochs->granted_until;
}

/* Returns this VM's last epoch before its present one, also of a former
 * process; 0: none is known. */
static uint64_t
last_own_epoch(const struct owner_epochs *epochs)
{
    return MAX(epochs->granted_epoch, epochs->recorded_epoch);
}

struct timespec
owner_epochs_own_leases_end(const struct cw_owner *owner)
{
    uint64_t last = last_own_epoch(owner->epochs);

    return last > 0 && last >= settled_below(owner)
               ? owner->epochs->granted_until
               : cw_time_from_ms(0);
}

/* Returns when all leases have expired that earlier owners granted to the
 * worker; NULL: any worker. */
static struct timespec
end_of_earlier(const struct cw_owner *owner, const char *worker)
{
    uint64_t settled = settled_below(owner);
    /* While nothing is settled, a former process may have granted leases
     * without a record. */
    struct timespec end =
        settled == 0 || last_own_epoch(owner->epochs) >= settled
            ? end_of_own(owner->epochs, worker)
            : cw_time_from_ms(0);
    GHashTableIter iterator;
    gpointer vm;
    gpointer value;

    if (settled == 0) {
        cw_time_set_later(&end, end_of_open(owner, owner->options.lease_ms));
    }
    g_hash_table_iter_init(&iterator,
                           cw_replica_epochs(owner->options.replica));
    while (g_hash_table_iter_next(&iterator, &vm, &value)) {
        const struct cw_replica_epoch *epoch = value;

        if (may_have_leases(owner, vm, epoch, settled)) {
            cw_time_set_later(&end, end_of_other(owner, epoch, worker));
        }
    }
    return end;
}

/* Returns when all leases have expired that earlier owners granted, also to
 * the workers with runs whose own bounds are later. */
static struct timespec
end_of_all_earlier(const struct cw_owner *owner)
{
    struct timespec end = end_of_earlier(owner, NULL);
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;

        if (target->runs->len > 0) {
            cw_time_set_later(&end, end_of_earlier(owner, target->id));
        }
    }
    return end;
}

static void
log_earlier_epoch(const struct cw_owner *owner, const char *vm,
                  const struct cw_replica_epoch *epoch, struct timespec now)
{
    const struct cw_replica_lease_terms *terms = cw_replica_epoch_terms(epoch);
    struct timespec start = now;
    bool known = owner_quorum_earlier_start(owner, epoch, &start);

    cw_log_info("earlier_epoch",
                "shard=%u epoch=%" PRIu64 " vm=%s earlier=%" PRIu64
                " ended=%d lease_ms=%u voters=%d support_known=%d "
                "from_support=%d start_ms=%" PRId64 " left_ms=%" PRId64,
                owner->options.partition, owner->epoch, vm, epoch->epoch,
                cw_replica_epoch_has_ended(epoch),
                terms != NULL ? terms->lease_ms : epoch->lease_ms,
                terms != NULL ? (int)terms->voters->len : -1, known,
                cw_replica_epoch_leases_from_support(epoch),
                cw_time_diff_ms(now, start),
                cw_time_diff_ms(now, end_of_other(owner, epoch, NULL)));
}

/* Logs what is known of each earlier owner whose leases may last. */
static void
log_earlier_epochs(const struct cw_owner *owner, struct timespec now)
{
    uint64_t settled = settled_below(owner);
    GHashTableIter iterator;
    gpointer vm;
    gpointer value;

    g_hash_table_iter_init(&iterator,
                           cw_replica_epochs(owner->options.replica));
    while (g_hash_table_iter_next(&iterator, &vm, &value)) {
        if (may_have_leases(owner, vm, value, settled)) {
            log_earlier_epoch(owner, vm, value, now);
        }
    }
}

struct timespec
owner_epochs_earlier_end(const struct cw_owner *owner)
{
    return end_of_earlier(owner, NULL);
}

struct timespec
owner_epochs_worker_end(const struct cw_owner *owner, const char *worker)
{
    struct timespec end = end_of_earlier(owner, worker);

    /* Epochs count as settled, and their records are dropped, once no run
     * depends on their leases. */
    cw_time_set_later(&end, owner->epochs->earlier_end);
    return end;
}

void
owner_epochs_bound_leases(struct cw_owner *owner, struct timespec now)
{
    struct owner_epochs *epochs = owner->epochs;
    bool any_runs = false;
    GHashTableIter iterator;
    gpointer value;

    epochs->active_since = now;
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        if (target->runs->len > 0) {
            any_runs = true;
            owner_lease_set(target, end_of_earlier(owner, target->id),
                            OWNER_LEASE_EARLIER_OWNER);
            target->poll_due = now;
            owner_target_wake(target);
        }
    }
    epochs->earlier_end = end_of_all_earlier(owner);
    /* Before the first job it does not matter how long leases last. */
    epochs->settle_due =
        any_runs || settled_below(owner) > 0 ? epochs->earlier_end : now;
    log_earlier_epochs(owner, now);
    cw_log_info("earlier_leases",
                "shard=%u epoch=%" PRIu64 " settled_below=%" PRIu64
                " left_ms=%" PRId64,
                owner->options.partition, owner->epoch, settled_below(owner),
                cw_time_diff_ms(now, epochs->settle_due));
}

/* Does so for a worker to which this owner may have granted leases.  One that
 * may restart under its id keeps its bound, as it may receive orders late. */
static void
lower_granted_bound(struct owner_target *target)
{
    struct timespec end = target->own_leases_end;

    if (target->incarnation.boot_ms > 0 || target->reported_boot_ms > 0) {
        return;
    }
    cw_time_set_later(&end,
                      owner_epochs_worker_end(target->owner, target->id));
    owner_lease_lower(target, end, OWNER_LEASE_EARLIER_OWNER);
    owner_target_wake(target);
}

/* Lowers the bounds, after more has become known of earlier owners. */
static void
lower_bounds(struct cw_owner *owner)
{
    struct owner_epochs *epochs = owner->epochs;
    GHashTableIter iterator;
    gpointer value;

    cw_time_set_earlier(&epochs->earlier_end, end_of_all_earlier(owner));
    cw_time_set_earlier(&epochs->settle_due, epochs->earlier_end);
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        if (owner_lease_possibly_granted(target)) {
            lower_granted_bound(target);
        }
        else if (target->runs->len > 0) {
            owner_lease_lower(target, end_of_earlier(owner, target->id),
                              OWNER_LEASE_EARLIER_OWNER);
            owner_target_wake(target);
        }
    }
}

void
owner_epochs_on_other_ended(struct cw_owner *owner, const char *vm)
{
    struct owner_epochs *epochs = owner->epochs;

    if (strcmp(vm, owner->vm) == 0 || epochs->settled_sent) {
        return;
    }
    lower_bounds(owner);
    cw_log_info("earlier_leases_end",
                "shard=%u epoch=%" PRIu64 " vm=%s left_ms=%" PRId64,
                owner->options.partition, owner->epoch, vm,
                cw_time_diff_ms(owner_now(owner), epochs->settle_due));
}

void
owner_epochs_on_earlier_known(struct cw_owner *owner)
{
    struct owner_epochs *epochs = owner->epochs;

    if (owner->state != OWNER_ACTIVE || epochs->settled_sent) {
        return; /* the bounds are not set yet, or no longer needed */
    }
    lower_bounds(owner);
    cw_log_info("earlier_leases_known",
                "shard=%u epoch=%" PRIu64 " left_ms=%" PRId64,
                owner->options.partition, owner->epoch,
                cw_time_diff_ms(owner_now(owner), epochs->settle_due));
}

/* ---- while this VM is the owner ---- */

static struct owner_batch *
epoch_batch(struct cw_owner *owner, uint64_t settled,
            owner_batch_stored stored)
{
    struct cw_epoch_record record = {
        .epoch = owner->epoch,
        .settled_below = settled,
        .lease_ms = (unsigned)owner_epochs_longest_lease_ms(owner)};
    struct owner_batch *batch = owner_batch_new(stored, owner);

    owner_batch_put(batch, cw_work_key(CW_WORK_KEY_EPOCH, owner->vm),
                    cw_xdr_encode((xdrproc_t)xdr_cw_epoch_record, &record));
    return batch;
}

static void
on_begin_stored(void *context, struct owner_batch *batch)
{
    struct cw_owner *owner = context;

    (void)batch;
    owner->epochs->begin_stored = true;
    owner_lease_terms_stored(owner);
}

/* Returns when the leases expire that an earlier process of this VM granted,
 * by its recorded terms or, without these, by the record of its epoch.  To be
 * called once all its records are read: it has granted leases on wider terms
 * only once these were stored. */
static struct timespec
end_of_former(const struct owner_epochs *epochs,
              const struct cw_replica_epoch *own)
{
    const struct cw_replica_lease_terms *terms = cw_replica_epoch_terms(own);
    int64_t lease_ms = terms != NULL ? terms->lease_ms : own->lease_ms;
    struct timespec end =
        cw_time_add_ms(epochs->vm_started_at, lease_max_duration_ms(lease_ms));

    if (terms != NULL) {
        /* The record was written before this process started. */
        cw_time_set_later(&end,
                          owner_lease_end_from_record(epochs->vm_started_at,
                                                      terms->longer_left_ms));
        cw_log_info("former_leases",
                    "epoch=%" PRIu64 " lease_ms=%u longer_left_ms=%u "
                    "left_ms=%" PRId64,
                    own->epoch, terms->lease_ms, terms->longer_left_ms,
                    cw_time_diff_ms(epochs->vm_started_at, end));
    }
    return end;
}

/* Adopts an epoch that an earlier process of this VM has recorded without its
 * end. */
static void
adopt_former_epoch(struct cw_owner *owner)
{
    struct owner_epochs *epochs = owner->epochs;
    const struct cw_replica_epoch *own = g_hash_table_lookup(
        cw_replica_epochs(owner->options.replica), owner->vm);

    if (own == NULL || epochs->begin_sent ||
        !cw_follower_loaded(cw_replica_follower(owner->options.replica)))
    {
        return;
    }
    epochs->recorded_epoch = MAX(epochs->recorded_epoch, own->epoch);
    if (!cw_replica_epoch_has_ended(own) && own->epoch > epochs->granted_epoch)
    {
        struct timespec end = end_of_former(epochs, own);

        if (epochs->granted_epoch > 0) {
            /* The record of this epoch was stored late. */
            cw_time_set_later(&end, epochs->granted_until);
        }
        epochs->granted_epoch = own->epoch;
        epochs->granted_until = end;
        epochs->end_unwritten = true;
    }
}

void
owner_epochs_write_begin(struct cw_owner *owner)
{
    struct owner_epochs *epochs = owner->epochs;
    struct owner_batch *batch;

    adopt_former_epoch(owner);
    epochs->begin_sent = true;
    epochs->begin_stored = false;
    epochs->settled_sent = false;
    batch = epoch_batch(owner, settled_below(owner), on_begin_stored);
    owner_lease_terms_begin(owner, batch);
    owner_log_send(owner->jobs_log, batch);
}

bool
owner_epochs_begin_is_stored(const struct cw_owner *owner)
{
    return owner->epochs->begin_stored;
}

/* Drops the records of other VMs' earlier epochs, which are settled. */
static void
drop_earlier(const struct cw_owner *owner, struct owner_batch *batch)
{
    GHashTableIter iterator;
    gpointer vm;
    gpointer value;

    g_hash_table_iter_init(&iterator,
                           cw_replica_epochs(owner->options.replica));
    while (g_hash_table_iter_next(&iterator, &vm, &value)) {
        const struct cw_replica_epoch *epoch = value;

        if (epoch->epoch < owner->epoch && strcmp(vm, owner->vm) != 0) {
            owner_batch_put(batch, cw_work_key(CW_WORK_KEY_EPOCH, vm), NULL);
            owner_batch_put(batch, cw_work_key(CW_WORK_KEY_EPOCH_END, vm),
                            NULL);
            owner_batch_put(batch, cw_work_key(CW_WORK_KEY_LEASE_TERMS, vm),
                            NULL);
            owner_batch_put(batch, cw_work_key(CW_WORK_KEY_LEASE_START, vm),
                            NULL);
        }
    }
}

bool
owner_epochs_write_settled(struct cw_owner *owner, struct timespec now)
{
    struct owner_epochs *epochs = owner->epochs;
    struct owner_batch *batch;

    if (epochs->settled_sent || !owner_may_order(owner, now) ||
        cw_time_before(now, epochs->settle_due))
    {
        return false;
    }
    epochs->settled_sent = true;
    batch = epoch_batch(owner, owner->epoch, NULL);
    drop_earlier(owner, batch);
    owner_log_send(owner->jobs_log, batch);
    return true;
}

/* ---- after ownership ended ---- */

/* Returns when the worker's lease expires.  An order in flight to a worker
 * that answers may reach its next incarnation and grant a lease to that. */
static struct timespec
end_of_current(const struct owner_target *target)
{
    return target->unanswered_polls > 0
               ? owner_lease_last_end(target)
               : cw_time_add_ms(target->lease_end, OWNER_ORDER_DELAY_MAX_MS);
}

/* Returns false if there are too many. */
static bool
add_other_lease(struct owner_epochs *epochs, const struct owner_target *target,
                struct timespec end)
{
    if (g_hash_table_size(epochs->other_leases) >= OTHER_LEASES_MAX) {
        return false;
    }
    g_hash_table_replace(epochs->other_leases, g_strdup(target->id),
                         g_memdup2(&end, sizeof(end)));
    return true;
}

/* Collects the workers whose bound is later than that of all leases: a start
 * may be held up on its way to their next incarnation.  If there are too many
 * of them, the latest bound is that of all leases. */
static void
collect_later_leases(struct cw_owner *owner)
{
    struct owner_epochs *epochs = owner->epochs;
    struct timespec latest = epochs->granted_until;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;
        struct timespec end = owner_lease_last_end(target);

        if (owner_target_has_ordered_run(target) &&
            cw_time_before(epochs->granted_until, end) &&
            !add_other_lease(epochs, target, end))
        {
            cw_time_set_later(&latest, end);
        }
    }
    epochs->granted_until = latest;
}

/* Collects the leases that expire before the latest one, of unresponsive or of
 * other workers.  Workers without runs are included: an end may have been
 * listed to this VM and not be stored, so that the next owner still has the
 * run in its state. */
static void
collect_shorter_leases(struct cw_owner *owner, bool unresponsive)
{
    struct owner_epochs *epochs = owner->epochs;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;
        struct timespec end = end_of_current(target);

        if ((target->unanswered_polls > 0) == unresponsive &&
            target->lease_end.tv_sec > 0 &&
            cw_time_before(end, epochs->granted_until))
        {
            (void)add_other_lease(epochs, target, end);
        }
    }
}

void
owner_epochs_on_ownership_lost(struct cw_owner *owner)
{
    struct owner_epochs *epochs = owner->epochs;

    if (!epochs->begin_sent) {
        return;
    }
    owner_lease_terms_end(owner);
    epochs->begin_sent = false;
    epochs->granted_epoch = owner->epoch;
    epochs->end_unwritten = true;
    if (owner->state == OWNER_ACTIVE) {
        epochs->granted_until = cw_time_add_ms(
            owner_now(owner),
            lease_max_duration_ms(owner_epochs_longest_lease_ms(owner)));
        g_hash_table_remove_all(epochs->other_leases);
        collect_later_leases(owner);
        collect_shorter_leases(owner, true);
        collect_shorter_leases(owner, false);
    }
}

static unsigned
left_until_ms(struct timespec now, struct timespec end)
{
    return (unsigned)MAX(0, cw_time_diff_ms(now, end));
}

static GByteArray *
encode_end(const struct owner_epochs *epochs, struct timespec now)
{
    struct cw_epoch_end_record record = {
        .epoch = epochs->granted_epoch,
        .left_ms = left_until_ms(now, epochs->granted_until)};
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct cw_lease_left));
    GHashTableIter iterator;
    gpointer worker;
    gpointer value;
    GByteArray *bytes;

    g_hash_table_iter_init(&iterator, epochs->other_leases);
    while (g_hash_table_iter_next(&iterator, &worker, &value)) {
        const struct timespec *end = value;
        struct cw_lease_left row = {.worker = worker,
                                    .left_ms = left_until_ms(now, *end)};

        g_array_append_val(rows, row);
    }
    record.sooner.sooner_len = rows->len;
    record.sooner.sooner_val = (void *)rows->data;
    bytes = cw_xdr_encode((xdrproc_t)xdr_cw_epoch_end_record, &record);
    g_array_unref(rows);
    return bytes;
}

static void
on_end_written(void *context, const struct cw_store_append_result *result)
{
    struct call *call = context;
    struct owner_epochs *epochs = call->epochs;

    if (epochs != NULL) {
        epochs->call = NULL;
        if (result->status == CW_STORE_OK &&
            call->epoch == epochs->granted_epoch) {
            epochs->end_unwritten = false;
            cw_log_info("epoch_ended", "epoch=%" PRIu64 " offset=%" PRIu64,
                        call->epoch, result->first);
        }
    }
    g_free(call);
}

static void
write_end(struct cw_owner *owner, struct timespec now)
{
    struct owner_epochs *epochs = owner->epochs;
    struct call *call = g_new0(struct call, 1);
    GByteArray *bytes = encode_end(epochs, now);
    char *key = cw_work_key(CW_WORK_KEY_EPOCH_END, owner->vm);
    struct cw_store_record record = {
        .key = key, .value = bytes->data, .length = bytes->len};
    struct cw_store_append append = {.topic = CW_JOBS_TOPIC,
                                     .partition = owner->options.partition,
                                     .records = &record,
                                     .count = 1,
                                     .timeout_ms = APPEND_TIMEOUT_MS,
                                     .done = on_end_written,
                                     .context = call};

    call->epochs = epochs;
    call->epoch = epochs->granted_epoch;
    epochs->call = call;
    owner->options.store->ops->append(owner->options.store, &append);
    g_byte_array_unref(bytes);
    g_free(key);
}

struct timespec
owner_epochs_tick(struct cw_owner *owner, struct timespec now)
{
    struct owner_epochs *epochs = owner->epochs;

    adopt_former_epoch(owner);
    if (!epochs->end_unwritten || epochs->call != NULL) {
        return cw_time_from_ms(INT32_MAX);
    }
    if (!cw_time_before(now, epochs->due)) {
        epochs->due = cw_time_add_ms(now, RETRY_MS);
        write_end(owner, now);
    }
    return epochs->due;
}

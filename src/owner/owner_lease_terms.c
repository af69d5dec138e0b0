/* The terms on which an owner grants leases: how long they may be, and which
 * VMs have to support it (owner_quorum.c).
 *
 * The owner records them in the log of jobs, so that a VM that takes over need
 * not assume the longest lease.  Wider terms, with longer leases, apply once
 * their record is stored; narrower ones from when their record is written.
 */
#include "owner/internal/owner_placement.h"

enum {
    /* Terms are narrowed once no service has been busy for this long. */
    NARROW_AFTER_MS = 2000,
    REVIEW_INTERVAL_MS = 100
};

struct owner_lease_terms {
    bool stored_long; /* the stored record allows long leases */
    bool in_flight;   /* another record may not be stored yet */
    bool in_flight_long;
    struct timespec longer_until;  /* when longer leases have expired */
    struct timespec granted_until; /* when all leases have expired */
    /* When those have expired that were granted with the support of another
     * electorate, or without any. */
    struct timespec other_support_until;
    struct timespec recorded_until; /* the same for all leases on other terms,
                                       as in the last record; 0: they have */
    struct timespec busy_at;        /* when a service was busy last */
    struct timespec review_due;
};

/* A VM that finds no record of terms assumes the longest lease. */
static void
reset(struct owner_lease_terms *terms)
{
    *terms = (struct owner_lease_terms){.stored_long = true};
}

struct owner_lease_terms *
owner_lease_terms_create(void)
{
    struct owner_lease_terms *terms = g_new0(struct owner_lease_terms, 1);

    reset(terms);
    return terms;
}

void
owner_lease_terms_free(struct owner_lease_terms *terms)
{
    g_free(terms);
}

bool
owner_lease_terms_allow_long(const struct cw_owner *owner)
{
    const struct owner_lease_terms *terms = owner->lease_terms;

    return terms->stored_long && (!terms->in_flight || terms->in_flight_long);
}

void
owner_lease_terms_granted(struct cw_owner *owner, struct timespec end)
{
    struct owner_lease_terms *terms = owner->lease_terms;
    struct timespec now = owner_now(owner);
    int64_t lease_ms = cw_time_diff_ms(now, end);
    struct timespec until =
        cw_time_add_ms(now, owner_lease_duration_ms(lease_ms));

    if (lease_ms > OWNER_SHORT_LEASE_MS) {
        cw_time_set_later(&terms->longer_until, until);
    }
    cw_time_set_later(&terms->granted_until, until);
}

/* True if the terms have to allow long leases. */
static bool
needs_long(struct cw_owner *owner, struct timespec now)
{
    struct owner_lease_terms *terms = owner->lease_terms;

    if (owner_any_service_is_busy(owner, now)) {
        terms->busy_at = now;
    }
    return cw_time_diff_ms(terms->busy_at, now) < NARROW_AFTER_MS ||
           owner_epochs_any_worker_reports_boot(owner);
}

/* Returns when the leases have expired that were granted on other terms than
 * those that are recorded now: longer ones, those that count from the support
 * of another electorate, and those of earlier epochs of this VM, whose records
 * the present ones replace. */
static struct timespec
end_of_other_leases(const struct cw_owner *owner, bool allow_long)
{
    const struct owner_lease_terms *terms = owner->lease_terms;
    struct timespec end = owner_epochs_own_leases_end(owner);

    if (!allow_long) {
        cw_time_set_later(&end, terms->longer_until);
    }
    cw_time_set_later(&end, terms->other_support_until);
    return end;
}

static void
put_record(struct cw_owner *owner, struct owner_batch *batch, bool allow_long,
           struct timespec now)
{
    struct owner_lease_terms *terms = owner->lease_terms;
    bool other_voters = owner_quorum_change_wanted(owner);
    const GPtrArray *voters = owner_quorum_recorded(owner);
    struct timespec end;
    bool any_left;
    struct cw_lease_terms_record record = {
        .epoch = owner->epoch,
        .lease_ms = allow_long ? (unsigned)owner_epochs_longest_lease_ms(owner)
                               : OWNER_SHORT_LEASE_MS,
        .voters = {.voters_len = voters->len,
                   .voters_val = (cw_name *)voters->pdata}};

    if (other_voters) {
        terms->other_support_until = terms->granted_until;
    }
    end = end_of_other_leases(owner, allow_long);
    any_left = cw_time_before(now, end);
    record.longer_left_ms =
        any_left ? (unsigned)cw_time_diff_ms(now, end) + 1 : 0;
    terms->recorded_until = any_left ? end : cw_time_from_ms(0);
    terms->in_flight = true;
    terms->in_flight_long = allow_long;
    owner_batch_put(
        batch, cw_work_key(CW_WORK_KEY_LEASE_TERMS, owner->vm),
        cw_xdr_encode((xdrproc_t)xdr_cw_lease_terms_record, &record));
    cw_log_info("lease_terms",
                "shard=%u epoch=%" PRIu64
                " lease_ms=%u longer_left_ms=%u voters=%u",
                owner->options.partition, owner->epoch, record.lease_ms,
                record.longer_left_ms, voters->len);
}

static void
put_lease_start(const struct cw_owner *owner, struct owner_batch *batch)
{
    struct cw_lease_start_record record = {.epoch = owner->epoch};

    owner_batch_put(
        batch, cw_work_key(CW_WORK_KEY_LEASE_START, owner->vm),
        cw_xdr_encode((xdrproc_t)xdr_cw_lease_start_record, &record));
}

void
owner_lease_terms_begin(struct cw_owner *owner, struct owner_batch *batch)
{
    owner_lease_terms_end(owner);
    put_lease_start(owner, batch);
    owner_quorum_begin(owner);
    put_record(owner, batch, owner_epochs_any_worker_reports_boot(owner),
               owner_now(owner));
}

void
owner_lease_terms_stored(struct cw_owner *owner)
{
    struct owner_lease_terms *terms = owner->lease_terms;

    terms->stored_long = terms->in_flight_long;
    terms->in_flight = false;
    owner_quorum_stored(owner);
}

void
owner_lease_terms_end(struct cw_owner *owner)
{
    reset(owner->lease_terms);
    owner_quorum_end(owner);
}

static void
on_terms_stored(void *context, struct owner_batch *batch)
{
    (void)batch;
    owner_lease_terms_stored(context);
}

/* True if the recorded terms have to change to `allow_long`, or otherwise. */
static bool
needs_record(const struct cw_owner *owner, bool allow_long,
             struct timespec now)
{
    const struct owner_lease_terms *terms = owner->lease_terms;

    return allow_long != terms->stored_long ||
           (terms->recorded_until.tv_sec > 0 &&
            !cw_time_before(now, terms->recorded_until)) ||
           owner_quorum_change_wanted(owner);
}

bool
owner_lease_terms_due(struct cw_owner *owner, struct timespec now)
{
    struct owner_lease_terms *terms = owner->lease_terms;

    if (terms->in_flight || !owner_may_order(owner, now) ||
        cw_time_before(now, terms->review_due))
    {
        return false;
    }
    if (!needs_record(owner, needs_long(owner, now), now)) {
        terms->review_due = cw_time_add_ms(now, REVIEW_INTERVAL_MS);
        return false;
    }
    return true;
}

void
owner_lease_terms_send(struct cw_owner *owner, struct timespec now)
{
    struct owner_batch *batch = owner_batch_new(on_terms_stored, owner);

    put_record(owner, batch, needs_long(owner, now), now);
    owner_log_send(owner->jobs_log, batch);
}

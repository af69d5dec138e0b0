/* Workers whose leases the owner extends no more, noted in the log that all
 * VMs read, so that a VM that takes over need not wait for their runs anew.
 *
 * - What a note gives is the owner's own bound, `lease_end`: it holds what
 *   earlier owners may still extend.
 * - From when a note is put into a batch until a record that drops it is known
 *   to be stored, the worker's lease is extended neither by looks nor by
 *   starts, and nothing is placed there (owner_lease_grant, send_hold, waits,
 *   owner_target_reachable).  A VM that takes over treats the notes that it
 *   has read so as well.
 * - A VM decides only after it has read all that was written before it shut
 *   earlier owners out: it has read what dropped a note ahead of an extension.
 * - Each VM counts from when it read a note, which is later than when it was
 *   written, so that notes are written again as time passes: a VM that was cut
 *   off, and decides again, waits at most RENEW_MS longer than the first.
 */
#include "owner/internal/owner_private.h"

enum {
    /* A worker that has been silent for so long is noted: some three looks
     * that fail at once.  Most that are late answer within it. */
    NOTE_AFTER_MS = 1000,
    RENEW_MS = 2000,
    /* Of a batch: records take some 40 bytes with their keys, so 20 kB, which
     * a 2 Mbit/s link carries in 80 ms. */
    NOTES_MOST = 500
};

static bool
is_heard(const struct owner_target *target)
{
    return target->answered && target->unanswered_polls == 0;
}

/* True if nobody expects an answer from it soon.  One without an address is
 * known from its runs alone: it has left the store's list. */
static bool
is_silent(const struct owner_target *target, struct timespec now)
{
    return target->address[0] == '\0' ||
           (target->unanswered_polls > 0 &&
            cw_time_diff_ms(target->unresponsive_since, now) >= NOTE_AFTER_MS);
}

/* True if the worker is to be noted: it is not yet, or long ago. */
static bool
wants_note(const struct cw_owner *owner, const struct owner_target *target,
           struct timespec now)
{
    bool due =
        target->lease_note == OWNER_LEASE_NOTE_NONE
            ? is_silent(target, now)
            : target->lease_note == OWNER_LEASE_NOTE_WRITTEN &&
                  !is_heard(target) &&
                  cw_time_diff_ms(target->lease_note_at, now) >= RENEW_MS;

    return due && owner_target_has_ordered_run(target) &&
           cw_time_before(now, target->lease_end) &&
           owner_may_order(owner, now);
}

static bool
wants_drop(const struct owner_target *target)
{
    return target->lease_note == OWNER_LEASE_NOTE_WRITTEN &&
           (is_heard(target) || !owner_target_has_ordered_run(target));
}

struct timespec
owner_lease_note_tick(struct cw_owner *owner, struct owner_target *target,
                      struct timespec now)
{
    if (target->lease_note_queued ||
        !(wants_note(owner, target, now) || wants_drop(target)))
    {
        return cw_time_from_ms(INT32_MAX);
    }
    target->lease_note_queued = true;
    g_ptr_array_add(owner->lease_notes_due, target);
    return now; /* the log is written ahead of the workers' turn */
}

/* ---- batches ---- */

static void
put_note(struct owner_batch *batch, struct owner_target *target,
         struct timespec now)
{
    struct cw_note_record lease_note = {
        .left_ms = (unsigned)cw_time_diff_ms(now, target->lease_end)};

    if (target->lease_note == OWNER_LEASE_NOTE_NONE) {
        cw_log_info("lease_note_written",
                    "worker=%s left_ms=%u runs=%u silent=%u", target->id,
                    lease_note.left_ms, target->runs->len,
                    target->unanswered_polls);
    }
    target->lease_note = OWNER_LEASE_NOTE_WRITTEN;
    target->lease_note_at = now;
    owner_batch_put(batch, cw_work_key(CW_WORK_KEY_LEASE_NOTE, target->id),
                    cw_xdr_encode((xdrproc_t)xdr_cw_note_record, &lease_note));
}

static void
put_drop(struct owner_batch *batch, struct owner_target *target)
{
    target->lease_note = OWNER_LEASE_NOTE_DROPPED;
    cw_log_info("lease_note_dropped", "worker=%s reason=%s runs=%u",
                target->id, is_heard(target) ? "heard" : "no_runs",
                target->runs->len);
    owner_batch_add_job(batch, target->id);
    owner_batch_put(batch, cw_work_key(CW_WORK_KEY_LEASE_NOTE, target->id),
                    NULL);
}

/* The worker's lease may be extended again. */
static void
on_notes_stored(void *context, struct owner_batch *batch)
{
    struct cw_owner *owner = context;
    const GPtrArray *dropped = owner_batch_jobs(batch);

    for (guint i = 0; i < dropped->len; i++) {
        struct owner_target *target =
            g_hash_table_lookup(owner->targets, dropped->pdata[i]);

        target->lease_note = OWNER_LEASE_NOTE_NONE;
        target->poll_due = owner_now(owner);
        owner_target_wake(target);
        owner->placement_wanted = true;
    }
}

bool
owner_lease_notes_send(struct cw_owner *owner, struct timespec now)
{
    struct owner_batch *batch;
    guint taken = 0;

    if (owner->lease_notes_due->len == 0) {
        return false;
    }
    batch = owner_batch_new(on_notes_stored, owner);
    while (taken < owner->lease_notes_due->len &&
           owner_batch_record_count(batch) < NOTES_MOST)
    {
        struct owner_target *target = owner->lease_notes_due->pdata[taken++];

        target->lease_note_queued = false;
        if (wants_note(owner, target, now)) {
            put_note(batch, target, now);
        }
        else if (wants_drop(target)) {
            put_drop(batch, target);
        }
    }
    g_ptr_array_remove_range(owner->lease_notes_due, 0, taken);
    if (owner_batch_record_count(batch) == 0) {
        owner_batch_free(batch);
        return false;
    }
    owner_log_send(owner->jobs_log, batch);
    return true;
}

/* ---- taking over ---- */

void
owner_lease_notes_adopt(struct cw_owner *owner)
{
    GHashTable *notes = cw_replica_lease_notes(owner->options.replica);
    GHashTableIter iterator;
    gpointer worker;
    gpointer value;

    g_hash_table_iter_init(&iterator, notes);
    while (g_hash_table_iter_next(&iterator, &worker, &value)) {
        const struct cw_replica_lease_note *lease_note = value;
        struct owner_target *target = owner_target_get(owner, worker);

        target->lease_note = OWNER_LEASE_NOTE_WRITTEN;
        target->lease_note_at = lease_note->read_at;
        owner_lease_lower(target,
                          owner_lease_end_from_record(lease_note->read_at,
                                                      lease_note->left_ms),
                          OWNER_LEASE_NOTE);
        cw_log_info("lease_note_adopted",
                    "worker=%s left_ms=%" PRId64 " runs=%u", target->id,
                    cw_time_diff_ms(owner_now(owner), target->lease_end),
                    target->runs->len);
    }
}

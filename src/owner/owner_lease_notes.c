/* Lease notes: records in the log of jobs, which all VMs read, that name
 * workers whose leases the owner no longer extends.  A VM that takes over
 * waits for the end of such a lease only until the bound in its note, not for
 * a full lease from the takeover on.
 *
 * - A note contains the owner's own bound, which covers leases that earlier
 *   owners may still extend.
 * - From the time when a note is put into a batch until the record that drops
 *   it is known to be stored, the worker's lease is extended neither by polls
 *   nor by starts, and nothing is placed on the worker (owner_lease_grant,
 *   must_wait, owner_target_reachable, owner_polls.c).  A VM that takes over
 *   applies the same rule to the notes that it has read.
 * - A VM becomes active only after it has read all that was written before it
 *   fenced earlier owners.  So if an earlier owner has extended a lease after
 *   it had dropped the note, this VM has read the record that dropped the
 *   note.
 * - Each VM counts a note's remaining time from when it read the note, which
 *   is later than when the note was written.  So notes are rewritten at
 *   intervals: a VM that was cut off and takes over again waits at most
 *   NOTE_RENEW_MS longer than the owner that wrote the note.
 */
#include "owner/internal/owner_private.h"

#include <string.h>

enum {
    /* A note is written for a worker whose polls have had no answer for this
     * long: about three polls that fail immediately.  Most late workers answer
     * within this time. */
    UNRESPONSIVE_MS = 1000,
    NOTE_RENEW_MS = 2000,
    /* Limit of a batch.  A record takes about 40 bytes with its key, so a
     * batch takes 20 kB, which a 2 Mbit/s link transfers in 80 ms. */
    NOTES_PER_BATCH_MAX = 500,
    /* The key of a note is one byte longer than the worker's id. */
    NOTE_ID_BYTES_MAX = CW_STORE_KEY_BYTES_MAX - 1
};

static bool
is_responsive(const struct owner_target *target)
{
    return target->answered && target->unanswered_polls == 0;
}

/* True if no answer is expected from the worker soon.  A worker without an
 * address is known only from its runs: it is not on the store's list. */
static bool
is_unresponsive(const struct owner_target *target, struct timespec now)
{
    return target->address[0] == '\0' ||
           (target->unanswered_polls > 0 &&
            cw_time_diff_ms(target->unanswered_since, now) >= UNRESPONSIVE_MS);
}

/* True if a note has to be written: there is none, or it is old. */
static bool
needs_note(const struct cw_owner *owner, const struct owner_target *target,
           struct timespec now)
{
    bool due =
        target->lease_note == OWNER_LEASE_NOTE_NONE
            ? is_unresponsive(target, now)
            : target->lease_note == OWNER_LEASE_NOTE_WRITTEN &&
                  !is_responsive(target) &&
                  cw_time_diff_ms(target->lease_note_at, now) >= NOTE_RENEW_MS;

    /* Without a note a later owner waits for a full lease. */
    return due && strlen(target->id) <= NOTE_ID_BYTES_MAX &&
           owner_target_has_ordered_run(target) &&
           cw_time_before(now, owner_lease_last_end(target)) &&
           owner_may_order(owner, now);
}

/* True if the worker's note has to be dropped. */
static bool
needs_note_removal(const struct owner_target *target)
{
    return target->lease_note == OWNER_LEASE_NOTE_WRITTEN &&
           (is_responsive(target) || !owner_target_has_ordered_run(target));
}

struct timespec
owner_lease_note_tick(struct cw_owner *owner, struct owner_target *target,
                      struct timespec now)
{
    if (target->lease_note_queued ||
        !(needs_note(owner, target, now) || needs_note_removal(target)))
    {
        return cw_time_from_ms(INT32_MAX);
    }
    target->lease_note_queued = true;
    g_ptr_array_add(owner->lease_notes_due, target);
    return now; /* the log is written before the workers are processed */
}

/* ---- batches ---- */

static void
put_lease_note(struct owner_batch *batch, struct owner_target *target,
               struct timespec now)
{
    struct cw_note_record lease_note = {
        .left_ms =
            (unsigned)cw_time_diff_ms(now, owner_lease_last_end(target))};

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
put_note_removal(struct owner_batch *batch, struct owner_target *target)
{
    target->lease_note = OWNER_LEASE_NOTE_DROPPED;
    cw_log_info("lease_note_dropped", "worker=%s reason=%s runs=%u",
                target->id, is_responsive(target) ? "heard" : "no_runs",
                target->runs->len);
    owner_batch_add_id(batch, target->id);
    owner_batch_put(batch, cw_work_key(CW_WORK_KEY_LEASE_NOTE, target->id),
                    NULL);
}

/* Called when the records that drop notes are stored: the workers' leases may
 * be extended again. */
static void
on_notes_stored(void *context, struct owner_batch *batch)
{
    struct cw_owner *owner = context;
    const GPtrArray *dropped = owner_batch_ids(batch);

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
           owner_batch_record_count(batch) < NOTES_PER_BATCH_MAX)
    {
        struct owner_target *target = owner->lease_notes_due->pdata[taken++];

        target->lease_note_queued = false;
        if (needs_note(owner, target, now)) {
            put_lease_note(batch, target, now);
        }
        else if (needs_note_removal(target)) {
            put_note_removal(batch, target);
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

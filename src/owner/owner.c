/* How a VM becomes the owner of a shard, what an owner does at each tick, and
 * how it loses ownership. */
#include "owner/internal/owner_crashes.h"
#include "owner/internal/owner_placement.h"

#include <string.h>

enum {
    CAPACITY_DEFAULT_MILLI = 1000, /* one core, where none is configured */
    /* The present owner is fenced after this time even if this VM has not read
     * the logs to their ends, which normally takes a few reads.  The owner may
     * write faster than this VM reads, but the end of a log that nobody
     * appends to can be reached.  A takeover with 147 VMs takes 70 to 80 ms,
     * about a twentieth of this time. */
    READ_BEFORE_FENCING_MAX_MS = 1500,
    /* A read waits for records for up to a second, twice with the interval. */
    READ_AGE_MAX_MS = 2000,
    /* Starts and stops require a confirmation of ownership by the store that
     * is younger than the member's time to live minus this. */
    ORDER_CONFIRMATION_SLACK_MS = 150,
    REPORTS_READ_INTERVAL_MS = 500,
    REPORT_INTERVAL_DEFAULT_MS = 1500, /* of workers, if not configured */
    PLACE_INTERVAL_MIN_MS = 10,
    /* Interval from the start of a placement pass to the next, in durations of
     * the pass: placement takes at most a quarter of the time. */
    PLACE_INTERVAL_FACTOR = 4,
    /* Passes that take longer are logged. */
    PLACE_LATE_MS = 100,
    CHECK_INTERVAL_MS = 100,
    SWEEP_INTERVAL_MS = 5000,
    /* After a sweep that was not complete: by then this VM has read what the
     * last one dropped. */
    SWEEP_AGAIN_MS = 500,
    EPOCHS_PER_GENERATION = 256,
    TAKEOVER_STEP_MS = 10
};

static void
free_state_reader(struct cw_owner *owner)
{
    owner_state_reader_free(owner->state_reader);
    owner->state_reader = NULL;
}

static void
drop_state(struct cw_owner *owner)
{
    owner_hints_queue_unstored(owner);
    owner_epochs_on_ownership_lost(owner);
    owner->term++;
    owner->idle_polls_in_flight = 0;
    owner_due_clear(owner->due);
    g_ptr_array_set_size(owner->ends_new, 0);
    g_ptr_array_set_size(owner->ends_sent, 0);
    g_ptr_array_set_size(owner->lease_notes_due, 0);
    g_hash_table_remove_all(owner->targets_by_address);
    g_hash_table_remove_all(owner->targets);
    g_hash_table_remove_all(owner->racks);
    g_array_set_size(owner->rack_lower_priority_workers, 0);
    g_hash_table_remove_all(owner->jobs);
    g_array_set_size(owner->unpreemptible, 0);
    g_ptr_array_set_size(owner->dirty, 0);
    owner->flush_jobs_left = 0;
    g_ptr_array_set_size(owner->unpublished, 0);
    g_ptr_array_set_size(owner->past_states, 0);
    owner_log_close(owner->states_log);
    owner_log_close(owner->jobs_log);
    owner_departures_clear(owner);
    cw_follower_free(owner->reports);
    owner->reports = NULL;
    free_state_reader(owner);
    memset(&owner->states_watch, 0, sizeof(owner->states_watch));
    memset(&owner->jobs_watch, 0, sizeof(owner->jobs_watch));
    memset(&owner->idle_stats, 0, sizeof(owner->idle_stats));
    owner->state = OWNER_IDLE;
}

void
owner_drop_ownership(struct cw_owner *owner, const char *reason)
{
    cw_log_info("owner_ends", "shard=%u epoch=%" PRIu64 " reason=%s jobs=%u",
                owner->options.partition, owner->epoch, reason,
                g_hash_table_size(owner->jobs));
    cw_count_add(owner->options.counters, CW_COUNT_YIELDS, 1);
    drop_state(owner);
    owner->partition_assigned = false;
    owner->yielding = false;
    owner->takeover_may_wait = false;
    owner->leave_unwritten = false;
    owner->join_due = cw_time_from_ms(0);
    cw_follower_set_read_interval(cw_replica_follower(owner->options.replica),
                                  owner->options.standby_read_interval_ms);
}

bool
owner_may_order(const struct cw_owner *owner, struct timespec now)
{
    return owner->state == OWNER_ACTIVE &&
           cw_time_diff_ms(owner->ownership_confirmed_at, now) <
               (int64_t)owner->options.member_ttl_ms -
                   ORDER_CONFIRMATION_SLACK_MS;
}

void
owner_confirm_ownership(struct cw_owner *owner, struct timespec requested_at)
{
    bool could_order = owner_may_order(owner, owner_now(owner));

    if (cw_time_before(owner->ownership_confirmed_at, requested_at)) {
        owner->ownership_confirmed_at = requested_at;
        owner_quorum_ownership_confirmed(owner);
    }
    if (!could_order) {
        owner_targets_wake_all(
            owner); /* their orders have waited for the confirmation */
    }
}

/* ---- takeover ---- */

/* Drops a state whose job is over or unknown.  A state that could not be
 * decoded stays, because its job may still run. */
static void
drop_state_if_past(void *context, const char *id)
{
    struct cw_owner *owner = context;
    const struct cw_replica_job *job =
        cw_replica_find_job(owner->options.replica, id);
    bool is_past = job == NULL || job->spec == NULL ||
                   cw_work_is_over(job->recorded_phase);

    if (is_past && !g_hash_table_contains(owner->jobs, id)) {
        owner_state_drop(owner, id);
    }
}

/* Adopts the jobs of the replica. */
static void
adopt_jobs(struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, cw_replica_jobs(owner->options.replica));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        owner_job_adopt(owner, value);
    }
    g_hash_table_iter_init(&iterator, owner->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        owner_idle_take_over(value);
    }
}

static void
become_active(struct cw_owner *owner, struct timespec now)
{
    owner->state = OWNER_ACTIVE;
    owner_order_window_reset(&owner->order_window);
    owner->placement_wanted = true;
    owner->sweep_due = cw_time_add_ms(now, SWEEP_INTERVAL_MS);
    adopt_jobs(owner);
    owner_state_reader_each(owner->state_reader, drop_state_if_past, owner);
    free_state_reader(owner);
    owner_epochs_bound_leases(owner, now);
    owner_lease_notes_adopt(owner);
    owner_hints_apply_all(owner);
    cw_count_add(owner->options.counters, CW_COUNT_TAKEOVERS, 1);
    cw_count_latency(owner->options.counters, CW_LATENCY_TAKEOVER,
                     cw_time_diff_ms(owner->takeover_began_at, now));
    cw_log_info("owner_begins",
                "shard=%u epoch=%" PRIu64 " generation=%" PRIu64
                " jobs=%u targets=%u took_ms=%" PRId64 " read_ms=%" PRId64
                " fence_ms=%" PRId64 " catch_up_ms=%" PRId64,
                owner->options.partition, owner->epoch,
                owner->epoch_generation, g_hash_table_size(owner->jobs),
                g_hash_table_size(owner->targets),
                cw_time_diff_ms(owner->takeover_began_at, now),
                cw_time_diff_ms(owner->takeover_began_at, owner->fencing_at),
                cw_time_diff_ms(owner->fencing_at, owner->fenced_at),
                cw_time_diff_ms(owner->fenced_at, now));
}

static void
follow_reports(struct cw_owner *owner)
{
    struct cw_follower_options options = {
        .name = "workers",
        .store = owner->options.store,
        .clock = owner->options.clock,
        .topic = owner->options.codec->targets_topic,
        .read_interval_ms = REPORTS_READ_INTERVAL_MS,
        .handler = {.reset = owner_targets_reset,
                    .loaded = owner_targets_loaded,
                    .record = owner_target_apply_record,
                    .context = owner},
    };

    owner->reports = cw_follower_create(&options);
}

void
owner_take_over(struct cw_owner *owner, struct timespec now)
{
    if (owner->generation != owner->epoch_generation) {
        owner->epoch_generation = owner->generation;
        owner->epoch_count = 0;
    }
    owner->epoch = owner->epoch_generation * EPOCHS_PER_GENERATION +
                   MIN(owner->epoch_count, EPOCHS_PER_GENERATION - 1);
    owner->epoch_count++;
    owner->state = OWNER_READING;
    owner->takeover_began_at = now;
    cw_follower_set_read_interval(cw_replica_follower(owner->options.replica),
                                  CW_OWNER_READ_INTERVAL_MS);
    if (!cw_follower_at_end(cw_replica_follower(owner->options.replica))) {
        cw_follower_read_now(cw_replica_follower(owner->options.replica));
    }
    follow_reports(owner);
    owner->state_reader = owner_state_reader_create(
        owner->options.store, owner->options.clock, owner->options.partition);
}

static void
on_log_confirmed(void *context, struct timespec sent)
{
    owner_confirm_ownership(context, sent);
}

static void
on_log_lost(void *context, const char *reason)
{
    owner_drop_ownership(context, reason);
}

static struct owner_log *
create_log(struct cw_owner *owner, const char *topic)
{
    struct owner_log_options options = {
        .store = owner->options.store,
        .clock = owner->options.clock,
        .counters = owner->options.counters,
        .topic = topic,
        .partition = owner->options.partition,
        .confirmed = on_log_confirmed,
        .lost = on_log_lost,
        .context = owner,
    };

    return owner_log_create(&options);
}

static void
fence_earlier_owners(struct cw_owner *owner)
{
    owner->state = OWNER_FENCING;
    owner->fencing_at = owner_now(owner);
    owner_log_open(owner->states_log, owner->epoch);
    if (owner->state == OWNER_FENCING) {
        owner_log_open(owner->jobs_log, owner->epoch);
    }
}

/* Whether this VM has read the logs to their ends lately: a VM whose
 * connection to the store was broken has not, and does not know that another
 * one has taken over meanwhile.
 *
 * An earlier owner is active until it is fenced; from then on no owner is
 * active until this VM has read the logs to their ends.  A VM whose connection
 * to the store was broken may be seconds behind: if it fenced the owner first,
 * 350 workers would be without an owner for 0.6 s.  After reading first they
 * are without one for one read of the log. */
static bool
has_read_to_end(const struct cw_owner *owner, struct timespec now)
{
    const struct cw_follower *jobs =
        cw_replica_follower(owner->options.replica);
    const struct cw_follower *states =
        owner_state_reader_follower(owner->state_reader);

    if (!cw_follower_loaded(jobs) || !cw_follower_loaded(states) ||
        !cw_follower_loaded(owner->reports))
    {
        return false;
    }
    return (cw_follower_at_end(jobs) && cw_follower_at_end(states) &&
            cw_time_diff_ms(cw_follower_fresh_as_of(jobs), now) <
                READ_AGE_MAX_MS) ||
           cw_time_diff_ms(owner->takeover_began_at, now) >
               READ_BEFORE_FENCING_MAX_MS;
}

/* True once this VM's epoch is recorded, and all is read that was written
 * before earlier owners were fenced. */
static bool
has_caught_up(const struct cw_owner *owner)
{
    const struct cw_follower *jobs =
        cw_replica_follower(owner->options.replica);
    const struct cw_follower *states =
        owner_state_reader_follower(owner->state_reader);

    return owner_epochs_begin_is_stored(owner) && cw_follower_loaded(jobs) &&
           cw_follower_loaded(states) && cw_follower_loaded(owner->reports) &&
           cw_follower_position(jobs) >=
               owner_log_open_offset(owner->jobs_log) &&
           cw_follower_position(states) >=
               owner_log_open_offset(owner->states_log);
}

/* ---- callbacks of the replica ---- */

static void
on_job_changed(void *context, struct cw_replica_job *entry)
{
    struct cw_owner *owner = context;
    struct owner_job *job;

    if (owner->state != OWNER_ACTIVE) {
        return;
    }
    job = g_hash_table_lookup(owner->jobs, entry->id);
    if (job == NULL) {
        owner_job_adopt(owner, entry);
        job = g_hash_table_lookup(owner->jobs, entry->id);
        if (job != NULL) {
            /* Not `known_at`, which depends on another VM's wall clock. */
            owner_headroom_job_arrived(owner, job, owner_now(owner));
        }
        return;
    }
    if (entry->cancelled && !cw_work_is_over(job->phase)) {
        owner_job_end(owner, job, CW_WORK_CANCELLED, CW_END_CANCELLED);
    }
}

/* An owner that holds a job which does not exist any more was replaced by
 * another one, which has deleted it. */
static void
on_job_removed(void *context, const struct cw_replica_job *entry)
{
    struct cw_owner *owner = context;

    if (g_hash_table_contains(owner->jobs, entry->id)) {
        owner_drop_ownership(owner, "job_deleted");
    }
}

static void
on_hint_received(void *context, const struct cw_replica_job *entry,
                 const struct cw_hint_record *hint)
{
    struct cw_owner *owner = context;

    if (owner->state == OWNER_ACTIVE) {
        owner_hint_apply(owner, entry->id, hint);
    }
}

/* Drops ownership if the epoch is a later one: another VM has fenced this one;
 * the next append would fail because of that. */
static void
on_epoch_began(void *context, uint64_t epoch)
{
    struct cw_owner *owner = context;

    if (epoch > owner->candidacy.owner_epoch) {
        owner->candidacy.owner_epoch = epoch;
        owner->candidacy.owner_epoch_read_at = owner_now(owner);
    }
    if (owner->state == OWNER_ACTIVE && epoch > owner->epoch) {
        owner_drop_ownership(owner, "later_epoch");
    }
}

/* True if another process that uses this VM's name has written that this
 * owner's epoch has ended. */
static bool
is_name_in_use(const struct cw_owner *owner, const char *vm)
{
    const struct cw_replica_epoch *own =
        g_hash_table_lookup(cw_replica_epochs(owner->options.replica), vm);

    return strcmp(vm, owner->vm) == 0 && own->end_epoch >= owner->epoch;
}

static void
on_epoch_ended(void *context, const char *vm)
{
    struct cw_owner *owner = context;

    if (owner->state != OWNER_ACTIVE) {
        return;
    }
    if (is_name_in_use(owner, vm)) {
        cw_log_error("name_in_use", "vm=%s epoch=%" PRIu64, vm, owner->epoch);
        owner_drop_ownership(owner, "name_in_use");
    }
    else {
        owner_epochs_on_other_ended(owner, vm);
    }
}

static void
on_vm_announced(void *context, const char *vm, unsigned capacity_milli)
{
    struct cw_owner *owner = context;

    owner_candidacy_announced(owner, vm, capacity_milli);
}

static void
on_owner_record_received(void *context)
{
    struct cw_owner *owner = context;

    owner->candidacy.owner_record_read_at = owner_now(owner);
}

static void
on_owner_left(void *context, uint64_t epoch)
{
    struct cw_owner *owner = context;

    owner->candidacy.left_epoch = MAX(owner->candidacy.left_epoch, epoch);
}

/* ---- public ---- */

struct cw_owner *
cw_owner_create(const struct cw_owner_options *options)
{
    struct cw_owner *owner = g_new0(struct cw_owner, 1);
    struct cw_replica_listener listener = {.job_changed = on_job_changed,
                                           .job_removed = on_job_removed,
                                           .hint_received = on_hint_received,
                                           .vm_announced = on_vm_announced,
                                           .epoch_began = on_epoch_began,
                                           .epoch_ended = on_epoch_ended,
                                           .owner_record_received =
                                               on_owner_record_received,
                                           .owner_left = on_owner_left,
                                           .context = owner};

    owner->options = *options;
    if (options->capacity_milli == 0) {
        owner->options.capacity_milli = CAPACITY_DEFAULT_MILLI;
    }
    if (options->report_ms == 0) {
        owner->options.report_ms = REPORT_INTERVAL_DEFAULT_MS;
    }
    if (options->record_bytes == 0) {
        owner->options.record_bytes = CW_STORE_RECORD_BYTES_DEFAULT;
    }
    if (options->standby_read_interval_ms == 0) {
        owner->options.standby_read_interval_ms = CW_STANDBY_READ_INTERVAL_MS;
    }
    owner->member = g_strdup(options->member);
    owner->vm = g_strdup(options->vm);
    owner->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, owner_job_free);
    owner->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                           owner_target_free);
    owner->headroom =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    owner->states_log = create_log(owner, CW_STATE_TOPIC);
    owner->jobs_log = create_log(owner, CW_JOBS_TOPIC);
    owner->due = owner_due_create();
    owner->racks = g_hash_table_new(NULL, NULL);
    owner->rack_lower_priority_workers =
        g_array_new(FALSE, TRUE, sizeof(unsigned));
    owner->available = owner_available_create();
    owner_order_window_reset(&owner->order_window);
    owner->ends_new = g_ptr_array_new();
    owner->ends_sent = g_ptr_array_new();
    owner->targets_by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    owner->dirty = g_ptr_array_new();
    owner->unpublished = g_ptr_array_new();
    owner->lease_notes_due = g_ptr_array_new();
    owner->past_states = g_ptr_array_new_with_free_func(g_free);
    owner->demand = g_hash_table_new(g_str_hash, g_str_equal);
    owner->unpreemptible = owner_unpreemptible_new();
    owner->memo = owner_memo_create();
    owner->hints = owner_hints_create();
    owner->epochs = owner_epochs_create(owner);
    owner->lease_terms = owner_lease_terms_create();
    owner->quorum = owner_quorum_create();
    owner_candidacy_init(owner);
    cw_replica_set_listener(options->replica, &listener);
    return owner;
}

void
cw_owner_free(struct cw_owner *owner)
{
    if (owner == NULL) {
        return;
    }
    drop_state(owner);
    owner_hints_free(owner->hints);
    owner_epochs_free(owner->epochs);
    owner_lease_terms_free(owner->lease_terms);
    owner_quorum_free(owner->quorum);
    g_hash_table_unref(owner->targets);
    g_hash_table_unref(owner->jobs);
    g_hash_table_unref(owner->headroom);
    owner_log_free(owner->states_log);
    owner_log_free(owner->jobs_log);
    owner_due_free(owner->due);
    g_hash_table_unref(owner->racks);
    g_array_unref(owner->rack_lower_priority_workers);
    owner_available_free(owner->available);
    g_ptr_array_unref(owner->ends_new);
    g_ptr_array_unref(owner->ends_sent);
    g_hash_table_unref(owner->targets_by_address);
    g_ptr_array_unref(owner->dirty);
    g_ptr_array_unref(owner->unpublished);
    g_ptr_array_unref(owner->lease_notes_due);
    g_ptr_array_unref(owner->past_states);
    g_hash_table_unref(owner->demand);
    owner_candidacy_clear(owner);
    g_array_unref(owner->unpreemptible);
    owner_memo_free(owner->memo);
    cw_routing_unref(owner->routing);
    g_free(owner->member);
    g_free(owner->vm);
    g_free(owner);
}

void
cw_owner_configure(struct cw_owner *owner, struct cw_routing *routing)
{
    cw_routing_unref(owner->routing);
    owner->routing = cw_routing_ref(routing);
    owner->config_number++;
    owner->placement_wanted = true;
}

bool
cw_owner_active(const struct cw_owner *owner)
{
    return owner->state == OWNER_ACTIVE;
}

/* ---- ticking ---- */

/* Processes a worker; returns when it has to be processed again. */
static struct timespec
tick_target(struct cw_owner *owner, struct owner_target *target,
            struct timespec now)
{
    /* At the latest with the next periodic check, for conditions that depend
     * on time alone. */
    struct timespec next = owner->check_due;

    owner_drain_tick(owner, target, now);
    cw_time_set_earlier(&next, owner_orders_send(owner, target, now));
    cw_time_set_earlier(&next, owner_poll_tick(owner, target, now));
    cw_time_set_earlier(&next, owner_lease_note_tick(owner, target, now));
    cw_time_set_earlier(&next, owner_gang_ends_tick(target, now));
    return next;
}

static struct timespec
tick_targets(struct cw_owner *owner, struct timespec now)
{
    struct owner_due_entry *entry;

    while ((entry = owner_due_pop(owner->due, now)) != NULL) {
        struct owner_target *target = (struct owner_target *)entry;
        struct timespec next = tick_target(owner, target, now);

        if (owner->state != OWNER_ACTIVE) {
            break;
        }
        /* At least 1 ms later, even if something is overdue. */
        owner_due_schedule(owner->due, entry,
                           cw_time_before(now, next) ? next
                                                     : cw_time_add_ms(now, 1));
    }
    return owner_due_next(owner->due);
}

static void
tick_jobs(struct cw_owner *owner, struct timespec now)
{
    GHashTableIter iterator;
    gpointer value;

    if (cw_time_before(now, owner->check_due)) {
        return;
    }
    owner->check_due = cw_time_add_ms(now, CHECK_INTERVAL_MS);
    owner_order_window_adjust(&owner->order_window);
    owner->placement_wanted = true;
    g_hash_table_iter_init(&iterator, owner->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (owner_job_is_removable(value)) {
            const struct owner_job *job = value;

            owner_state_drop(owner, job->spec->id);
            g_hash_table_iter_remove(&iterator);
            continue;
        }
        owner_job_check_deadline(owner, value, now);
        owner_job_open_due(owner, value, now);
    }
    owner_gang_ends_check_inherited(owner, now);
    owner_residency_enforce(owner);
    owner_idle_tick(owner, now);
}

/* Runs a placement pass.  Passes take at most one part in
 * PLACE_INTERVAL_FACTOR of the time, however long one takes: leases and orders
 * take precedence over placement. */
static void
place(struct cw_owner *owner, struct timespec now)
{
    int64_t took_ms;

    owner->placement_wanted = false;
    owner_placement_pass(owner, now);
    took_ms = cw_time_diff_ms(now, owner_now(owner));
    cw_count_latency(owner->options.counters, CW_LATENCY_PLACEMENT, took_ms);
    if (took_ms >= PLACE_LATE_MS) {
        cw_log_info("placement_late",
                    "took_ms=%" PRId64 " jobs=%u targets=%u orders=%u",
                    took_ms, g_hash_table_size(owner->jobs),
                    g_hash_table_size(owner->targets),
                    owner->order_window.outstanding);
    }
    owner->placement_due = cw_time_add_ms(
        now, MAX(PLACE_INTERVAL_MIN_MS, took_ms * PLACE_INTERVAL_FACTOR));
}

static struct timespec
tick_active(struct cw_owner *owner, struct timespec now)
{
    struct timespec next = cw_time_add_ms(now, CHECK_INTERVAL_MS);

    if (owner->yielding && !owner_may_order(owner, now)) {
        owner_drop_ownership(owner, "yielded");
        return now;
    }
    cw_follower_tick(owner->reports, now);
    cw_time_set_earlier(&next, cw_follower_due(owner->reports));
    cw_time_set_earlier(&next, owner_departures_tick(owner, now));
    tick_jobs(owner, now);
    if (owner->placement_wanted && owner_may_order(owner, now)) {
        if (!cw_time_before(now, owner->placement_due)) {
            place(owner, now);
            now = owner_now(owner); /* a pass may take long */
        }
        else {
            cw_time_set_earlier(&next, owner->placement_due);
        }
    }
    cw_time_set_earlier(&next, owner_commit_tick(owner, now));
    if (owner->state != OWNER_ACTIVE) {
        return now;
    }
    cw_time_set_earlier(&next, tick_targets(owner, now));
    if (!cw_time_before(now, owner->sweep_due)) {
        owner_crashes_expire(owner);
        owner->sweep_due = cw_time_add_ms(now, owner_drop_old_records(owner)
                                                   ? SWEEP_AGAIN_MS
                                                   : SWEEP_INTERVAL_MS);
    }
    return next;
}

/* Stops a takeover that has fenced nobody yet. */
static void
suspend_takeover(struct cw_owner *owner)
{
    owner->takeover_may_wait = false;
    cw_follower_free(owner->reports);
    owner->reports = NULL;
    free_state_reader(owner);
    owner->state = OWNER_IDLE;
}

/* Continues a takeover; returns when it has to be called next. */
static struct timespec
tick_takeover(struct cw_owner *owner, struct timespec now)
{
    struct timespec next = cw_time_add_ms(now, TAKEOVER_STEP_MS);

    cw_follower_tick(owner->reports, now);
    cw_follower_tick(owner_state_reader_follower(owner->state_reader), now);
    owner_log_tick(owner->states_log, now);
    owner_log_tick(owner->jobs_log, now);
    if (owner->state == OWNER_READING && has_read_to_end(owner, now)) {
        /* A VM that was behind reads only now that another one has taken the
         * shard over. */
        if (owner->takeover_may_wait && owner_group_takeover_waits(owner, now))
        {
            suspend_takeover(owner);
            return next;
        }
        fence_earlier_owners(owner);
    }
    if (owner->state == OWNER_FENCING &&
        owner_log_is_open(owner->states_log) &&
        owner_log_is_open(owner->jobs_log))
    {
        owner->state = OWNER_CATCHING_UP;
        owner->fenced_at = now;
        owner_epochs_write_begin(owner);
        cw_follower_read_now(cw_replica_follower(owner->options.replica));
        cw_follower_read_now(owner_state_reader_follower(owner->state_reader));
    }
    if (owner->state == OWNER_CATCHING_UP && has_caught_up(owner)) {
        become_active(owner, now);
    }
    return next;
}

struct timespec
cw_owner_tick(struct cw_owner *owner, struct timespec now)
{
    struct timespec next;

    next = owner_group_tick(owner, now);
    cw_time_set_earlier(&next, owner_hints_tick(owner, now));
    cw_time_set_earlier(&next, owner_epochs_tick(owner, now));
    if (owner->state != OWNER_IDLE && owner->state != OWNER_ACTIVE) {
        cw_time_set_earlier(&next, tick_takeover(owner, now));
    }
    if (owner->state == OWNER_ACTIVE) {
        cw_time_set_earlier(&next, tick_active(owner, now));
    }
    cw_time_set_earlier(&next, owner_quorum_tick(owner, now));
    if (owner->state != OWNER_IDLE) {
        owner_append_watch_tick(owner, now);
    }
    return next;
}

void
cw_owner_stats(const struct cw_owner *owner, struct cw_owner_stats *out)
{
    GHashTableIter iterator;
    gpointer value;

    memset(out, 0, sizeof(*out));
    out->jobs = g_hash_table_size(owner->jobs);
    out->targets = g_hash_table_size(owner->targets);
    out->waiting = owner->idle_stats.jobs;
    out->longest_wait_ms = owner->idle_stats.longest_ms;
    memcpy(out->longest_by_refusal_ms, owner->idle_stats.longest_by_refusal_ms,
           sizeof(out->longest_by_refusal_ms));
    out->repeating = owner->idle_stats.repeating;
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        out->runs += ((struct owner_target *)value)->runs->len;
    }
}

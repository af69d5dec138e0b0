/* Workers: their reports and clocks, and which of them are usable. */
#include "owner/internal/owner_addresses.h"
#include "owner/internal/owner_crashes.h"
#include "owner/internal/owner_placement.h"

#include <string.h>

enum {
    /* A worker where tasks of two different jobs have failed in a row may fail
     * everything that it starts.  Failures of one job do not count more than
     * once, as most tasks that fail are at fault themselves; if they did, two
     * failed tasks on a worker of each rack would make a gang that needs a
     * whole rack wait for an idle one. */
    SUSPECT_JOBS_MIN = 2,
    SUSPECT_MS = 7000,
    /* The report of a worker that does not enforce its capacity is relied on
     * for this long after its next report was due: reads of reports are half a
     * second apart, before a report is written and after.  The platform
     * tolerates a start that relies on a capacity that is up to 3 s and one
     * report interval old. */
    REPORT_LATE_MS = 2500
};

static void
clear_orders(GQueue *orders)
{
    struct owner_order *order;

    while ((order = g_queue_pop_head(orders)) != NULL) {
        owner_order_free(order);
    }
}

void
owner_target_free(gpointer data)
{
    struct owner_target *target = data;

    for (guint i = 0; i < target->runs->len; i++) {
        g_free(target->runs->pdata[i]);
    }
    g_ptr_array_unref(target->runs);
    g_ptr_array_unref(target->pending_suspicions);
    g_ptr_array_unref(target->tombstones);
    g_array_unref(target->orphan_runs);
    clear_orders(&target->orders);
    g_free(target->id);
    g_free(target->address);
    g_free(target->kind);
    g_free(target);
}

struct owner_target *
owner_target_get(struct cw_owner *owner, const char *id)
{
    struct owner_target *target = g_hash_table_lookup(owner->targets, id);

    if (target == NULL) {
        target = g_new0(struct owner_target, 1);
        target->owner = owner;
        target->number = g_hash_table_size(owner->targets);
        target->incarnation = owner_incarnation_new(0);
        target->id = g_strdup(id);
        target->address = g_strdup("");
        target->service = g_intern_string("");
        target->dc = g_intern_string("");
        owner_target_set_rack(target, "");
        target->kind = g_strdup("");
        target->runs = g_ptr_array_new();
        target->pending_suspicions = owner_pending_suspicions_new();
        target->tombstones = owner_tombstones_new();
        target->orphan_runs = owner_orphans_new();
        g_queue_init(&target->orders);
        g_hash_table_insert(owner->targets, target->id, target);
        owner_target_wake(target);
    }
    return target;
}

void
owner_rack_count_lower_priority(struct owner_target *target, int change)
{
    g_array_index(target->owner->rack_lower_priority_workers, unsigned,
                  target->rack_number) += (unsigned)change;
}

void
owner_target_set_rack(struct owner_target *target, const char *rack)
{
    struct cw_owner *owner = target->owner;
    const char *name = g_intern_string(rack);
    gpointer number = g_hash_table_lookup(owner->racks, name);

    if (target->rack == name) {
        return;
    }
    if (number == NULL) {
        number = GUINT_TO_POINTER(g_hash_table_size(owner->racks) + 1);
        g_hash_table_insert(owner->racks, (gpointer)name, number);
        g_array_set_size(owner->rack_lower_priority_workers,
                         GPOINTER_TO_UINT(number) + 1);
    }
    if (target->lower_priority_runs > 0) {
        owner_rack_count_lower_priority(target, -1);
    }
    target->rack = name;
    target->rack_number = GPOINTER_TO_UINT(number);
    if (target->lower_priority_runs > 0) {
        owner_rack_count_lower_priority(target, 1);
    }
}

void
owner_target_wake(struct owner_target *target)
{
    owner_due_schedule(target->owner->due, &target->due, cw_time_from_ms(0));
}

void
owner_targets_wake_all(struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        owner_target_wake(value);
    }
}

void
owner_target_ends_applied(struct owner_target *target)
{
    if (!target->ends_new) {
        target->ends_new = true;
        g_ptr_array_add(target->owner->ends_new, target);
    }
}

/* Returns the milliseconds since `then`; -1 if it is 0. */
static int64_t
ms_since(struct timespec then, struct timespec now)
{
    return then.tv_sec > 0 ? cw_time_diff_ms(then, now) : -1;
}

/* ---- reports ---- */

static void
replace_text(char **member, const char *text)
{
    if (strcmp(*member, text) != 0) {
        g_free(*member);
        *member = g_strdup(text);
    }
}

static void
update_address(struct owner_target *target,
               const struct cw_target_report *report)
{
    if (target->address_boot_ms != report->boot_ms) {
        target->address_boot_ms = report->boot_ms;
        target->address_boot_at = owner_now(target->owner);
    }
    if (strcmp(target->address, report->address) == 0) {
        return;
    }
    if (target->address[0] != '\0') {
        cw_log_info("worker_moved", "worker=%s address=%s before=%s runs=%u",
                    target->id, report->address, target->address,
                    target->runs->len);
    }
    replace_text(&target->address, report->address);
    target->address_changes++;
    target->superseded = false; /* the refusal came from another address */
}

/* True if a later report of the same incarnation was read. */
static bool
is_out_of_sequence(const struct owner_target *target,
                   const struct cw_target_report *report)
{
    return report->boot_ms == target->address_boot_ms &&
           report->sequence > 0 && report->sequence < target->report_sequence;
}

/* True if the report seems to be of a former incarnation than the one that
 * answers polls, although that is not known.  It is of the next one if the
 * worker's clock was set back while it restarted; then that one answers the
 * next poll. */
static bool
seems_former(const struct owner_target *target,
             const struct cw_target_report *report)
{
    return report->boot_ms > 0 &&
           report->boot_ms < target->incarnation.boot_ms &&
           target->unanswered_polls == 0 && !target->superseded;
}

/* Keeps the report until the incarnation that has sent it answers a poll. */
static void
hold_report(struct owner_target *target, const struct cw_target_report *report)
{
    struct cw_target_report *held = &target->held_report;

    *held = *report;
    held->id = target->id;
    held->service = g_intern_string(report->service);
    held->address = g_intern_string(report->address);
    held->dc = g_intern_string(report->dc);
    held->rack = g_intern_string(report->rack);
    held->kind = g_intern_string(report->kind);
    owner_incarnation_reported(target, report->boot_ms);
    if (target->runs->len == 0) {
        target->answered = false; /* it has to answer a poll before a start */
    }
    cw_time_set_earlier(&target->poll_due, owner_now(target->owner));
    owner_target_wake(target);
}

static void
log_late(const struct owner_target *target,
         const struct cw_target_report *report, const char *why)
{
    cw_log_info("report_late",
                "worker=%s reason=%s state=%s seq=%" PRIu64
                " last_seq=%" PRIu64 " born_ms=%" PRId64
                " answered_born_ms=%" PRId64 " listed=%d draining=%d"
                " address=%s reported_address=%s",
                target->id, why, report->draining ? "draining" : "ready",
                report->sequence, target->report_sequence, report->boot_ms,
                target->incarnation.boot_ms, target->listed, target->draining,
                target->address, report->address);
}

static void
update_capacity(struct owner_target *target, const struct cw_resources *now)
{
    struct cw_owner *owner = target->owner;

    if (memcmp(&target->capacity, now, sizeof(*now)) == 0) {
        return;
    }
    if (target->listed) {
        cw_log_info("worker_resized",
                    "worker=%s accelerators=%" PRId64 " cpu=%" PRId64
                    " memory=%" PRId64 " before=%" PRId64 ",%" PRId64
                    ",%" PRId64 " runs=%u",
                    target->id, now->accelerators, now->cpu_milli,
                    now->memory_mb, target->capacity.accelerators,
                    target->capacity.cpu_milli, target->capacity.memory_mb,
                    target->runs->len);
    }
    target->capacity = *now;
    owner->capacity_version++;
    owner->placement_wanted = true;
    owner_runs_promote_reserved(owner, target);
}

/* Lists a worker whose entry has returned with an earlier report than the last
 * one, which holds.  The store may not change the entry any more as long as
 * only the sequence number differs. */
static void
list_again(struct owner_target *target)
{
    if (!target->listed && !target->draining) {
        target->listed = true;
        target->owner->capacity_version++;
        target->owner->placement_wanted = true;
        owner_target_wake(target);
        owner_address_listed(target);
    }
}

void
owner_target_apply_report(void *context, const struct cw_target_report *report)
{
    struct cw_owner *owner = context;
    struct owner_target *target = owner_target_get(owner, report->id);
    bool draining = report->draining;
    bool newly_listed = !target->listed;

    /* Late reports may have replaced the present one's entry, so the worker
     * stays listed if it was. */
    target->found_in_reload = true;
    owner_departures_reported(target, report->boot_ms, draining);
    if (owner_boot_times_is_over(&target->boot_times, report->boot_ms)) {
        log_late(target, report, "over");
        owner_incarnation_reported(target, report->boot_ms);
        return;
    }
    if (is_out_of_sequence(target, report)) {
        list_again(target);
        log_late(target, report, "sequence");
        return;
    }
    if (seems_former(target, report)) {
        log_late(target, report, "former_life");
        hold_report(target, report);
        return;
    }
    update_address(target, report);
    target->report_sequence = report->sequence;
    target->service = g_intern_string(report->service);
    target->dc = g_intern_string(report->dc);
    owner_target_set_rack(target, report->rack);
    replace_text(&target->kind, report->kind);
    if (!target->listed || target->draining != draining) {
        /* A new owner logs the number of workers in one line when it becomes
         * active. */
        cw_log(owner->state == OWNER_ACTIVE ? G_LOG_LEVEL_INFO
                                            : G_LOG_LEVEL_DEBUG,
               "worker",
               "worker=%s state=%s address=%s rack=%s seq=%" PRIu64
               " unlisted_ms=%" PRId64 " superseded=%d answered_ms=%" PRId64,
               target->id, draining ? "draining" : "ready", target->address,
               target->rack, report->sequence,
               ms_since(target->unlisted_at, owner_now(owner)),
               target->superseded,
               ms_since(target->answered_at, owner_now(owner)));
        owner->capacity_version++;
        owner->placement_wanted = true;
    }
    owner_target_wake(target);
    if (draining && !target->draining) {
        owner_drain_announced(target, report->remaining_ms, owner_now(owner));
    }
    update_capacity(target, &report->capacity);
    if (owner->reports != NULL) {
        /* Earlier reads had not returned this report. */
        target->reported_at = cw_follower_fresh_as_of(owner->reports);
    }
    target->listed = true;
    target->draining = draining;
    if (draining) {
        owner_drain_give_up_unsent(owner, target);
    }
    owner_incarnation_reported(target, report->boot_ms);
    if (!target->incarnation.clock_known && report->clock_ms > 0) {
        owner_target_set_clock(target, report->clock_ms, owner_now(owner));
    }
    if (newly_listed) {
        owner_address_listed(target);
    }
}

void
owner_target_apply_held_report(struct owner_target *target)
{
    struct cw_target_report held = target->held_report;
    bool over = owner_boot_times_is_over(&target->boot_times, held.boot_ms);

    if (held.boot_ms == 0 ||
        (!over && held.boot_ms != target->incarnation.boot_ms &&
         target->unanswered_polls == 0 && !target->superseded))
    {
        return;
    }
    target->held_report = (struct cw_target_report){0};
    if (over) {
        return;
    }
    owner_target_apply_report(target->owner, &held);
    target->superseded = false; /* its address is polled first */
    cw_time_set_earlier(&target->poll_due, owner_now(target->owner));
}

static void
unlist(struct owner_target *target)
{
    target->held_report = (struct cw_target_report){0};
    if (target->listed) {
        target->listed = false;
        target->unlisted_at = owner_now(target->owner);
        cw_log_info("worker", "worker=%s state=unlisted runs=%u", target->id,
                    target->runs->len);
    }
}

void
owner_target_apply_record(void *context, const struct cw_store_record *record)
{
    struct cw_owner *owner = context;

    if (record->value == NULL || record->length == 0) {
        struct owner_target *target =
            g_hash_table_lookup(owner->targets, record->key);

        if (target != NULL) {
            unlist(target);
        }
        return;
    }
    if (!owner->options.codec->decode_target(record->key, record->value,
                                             record->length,
                                             owner_target_apply_report, owner))
    {
        struct owner_target *target =
            g_hash_table_lookup(owner->targets, record->key);

        cw_log_warning("report_invalid", "worker=%s offset=%" PRIu64,
                       record->key, record->offset);
        cw_count_code(owner->options.counters, CW_DROP_REPORT);
        if (target != NULL) {
            unlist(target);
        }
    }
}

void
owner_targets_reset(void *context)
{
    struct cw_owner *owner = context;
    GHashTableIter iterator;
    gpointer value;

    owner_departures_reports_missed(owner);
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((struct owner_target *)value)->found_in_reload = false;
    }
}

void
owner_targets_loaded(void *context)
{
    struct cw_owner *owner = context;
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        if (!target->found_in_reload) {
            unlist(target);
        }
    }
}

/* ---- clocks ---- */

void
owner_target_set_clock(struct owner_target *target, int64_t clock_ms,
                       struct timespec now)
{
    if (clock_ms > 0) {
        target->incarnation.clock_known = true;
        target->incarnation.clock_at = now;
        target->incarnation.clock_offset_ms =
            clock_ms - cw_time_diff_ms(cw_time_from_ms(0), now);
    }
}

bool
owner_target_has_ordered_run(const struct owner_target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        if (run->phase >= RUN_STARTING) {
            return true;
        }
    }
    return false;
}

int64_t
owner_target_since_answer_ms(const struct owner_target *target,
                             struct timespec now)
{
    return target->answered_poll_sent_at.tv_sec > 0
               ? cw_time_diff_ms(target->answered_poll_sent_at, now)
               : -1;
}

void
owner_target_answered(struct owner_target *target,
                      enum cw_target_status status, struct timespec now)
{
    switch (status) {
    case CW_TARGET_OTHER_INCARNATION:
    case CW_TARGET_INVALID:
    case CW_TARGET_UNREACHABLE:
    case CW_TARGET_UNKNOWN:
        break;
    default:
        target->answered_at = now;
        target->start_unanswered = false;
        break;
    }
}

char *
owner_target_describe_lease(const struct owner_target *target,
                            struct timespec now)
{
    return g_strdup_printf("answered_ms=%" PRId64 " granted_ms=%" PRId64
                           " lease_ms=%" PRId64 " lease_by=%s",
                           ms_since(target->answered_at, now),
                           ms_since(target->lease_granted_at, now),
                           target->lease_granted_ms,
                           owner_lease_source_name(target->lease_source));
}

static void
log_lost(const struct owner_target *target, const struct owner_loss *loss,
         struct timespec now)
{
    char *lease = owner_target_describe_lease(target, now);
    const struct owner_target *holder = g_hash_table_lookup(
        target->owner->targets_by_address, target->address);

    cw_log_info("worker_lost",
                "worker=%s reason=%s runs=%u evidence=%s sent_ms=%" PRId64
                " %s listed=%d address=%s holder=%s"
                " holder_answered_ms=%" PRId64
                " silent=%u draining=%d heard_ms=%" PRId64,
                target->id, loss->reason, target->runs->len, loss->evidence,
                ms_since(loss->order_sent, now), lease, target->listed,
                target->address, holder != NULL ? holder->id : "",
                holder != NULL ? ms_since(holder->answered_at, now) : -1,
                target->unanswered_polls, target->draining,
                owner_target_since_answer_ms(target, now));
    g_free(lease);
}

void
owner_target_lost(struct cw_owner *owner, struct owner_target *target,
                  const struct owner_loss *loss)
{
    log_lost(target, loss, owner_now(owner));
    for (guint i = 0; i < target->runs->len; i++) {
        owner_crashes_collect(target->runs->pdata[i], owner_now(owner));
        /* Also after a refusal, which an answer may refute. */
        owner_tombstone_add(target->runs->pdata[i]);
    }
    while (target->runs->len > 0) {
        owner_run_lost(owner, target->runs->pdata[target->runs->len - 1], true,
                       loss->reason);
    }
    clear_orders(&target->orders);
    owner_tombstone_unqueue(target);
    target->answered = false; /* the next poll lists the state of the runs */
    owner->placement_wanted = true;
    owner_crashes_resolve(owner, target, owner_now(owner));
}

/* ---- usability ---- */

/* True if the worker refuses runs that do not fit. */
static bool
enforces_capacity_limit(const struct owner_target *target)
{
    const struct cw_routing *routing = target->owner->routing;
    const struct cw_service *service =
        routing != NULL ? cw_routing_service_by_name(routing, target->service)
                        : NULL;

    return service == NULL || service->enforces_capacity;
}

bool
owner_target_report_is_of_other_incarnation(const struct owner_target *target)
{
    return target->incarnation.boot_ms > 0 && target->reported_boot_ms > 0 &&
           target->reported_boot_ms != target->incarnation.boot_ms;
}

bool
owner_target_capacity_known(const struct owner_target *target,
                            struct timespec now)
{
    int64_t report_age_max_ms =
        target->owner->options.report_ms + REPORT_LATE_MS;

    return (cw_time_diff_ms(target->reported_at, now) < report_age_max_ms &&
            !owner_target_report_is_of_other_incarnation(target)) ||
           enforces_capacity_limit(target);
}

bool
owner_target_reachable(const struct owner_target *target, struct timespec now)
{
    return target->listed && !target->draining && !target->superseded &&
           target->answered && target->unanswered_polls == 0 &&
           target->lease_note == OWNER_LEASE_NOTE_NONE &&
           !owner_tombstone_pending(target) &&
           target->incarnation.clock_known && target->address[0] != '\0' &&
           !cw_time_before(now, target->avoid_until) &&
           owner_target_capacity_known(target, now);
}

bool
owner_target_usable(const struct owner_target *target, struct timespec now)
{
    return owner_target_reachable(target, now) &&
           !cw_time_before(now, target->incarnation.suspect_until);
}

void
owner_target_add_failure(struct owner_target *target,
                         const struct owner_task *task, struct timespec now)
{
    const char *id = owner_task_job(task)->spec->id;
    unsigned job = g_str_hash(id);

    if (target->incarnation.failures > 0 &&
        target->incarnation.failed_job == job) {
        return;
    }
    target->incarnation.failed_job = job;
    target->incarnation.failures++;
    if (target->incarnation.failures < SUSPECT_JOBS_MIN) {
        return;
    }
    target->incarnation.suspect_until = cw_time_add_ms(now, SUSPECT_MS);
    cw_log_info("worker_suspect", "worker=%s failures=%u id=%s", target->id,
                target->incarnation.failures, id);
}

void
owner_target_add_success(struct owner_target *target)
{
    target->incarnation.failures = 0;
}

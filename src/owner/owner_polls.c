/* Leases kept up, and what the workers list of runs and ends. */
#include "owner/internal/owner_crashes.h"

#include <string.h>

#include "curlewcart/cw_stragglers.h"

enum {
    /* How long a hold waits at the worker for news.  Longer is cheaper; a
     * lost answer costs this time and the timeout. */
    HOLD_WAIT_MS = 1000,
    /* With so many workers an owner is short of processor: as long as the
     * workers allow. */
    MANY_TARGETS = 1000,
    HOLD_WAIT_MANY_MS = 1900,
    HOLD_TIMEOUT_MS = 900,
    HOLD_PACE_MS = 40,
    /* ... while a start there has no answer: up to ten looks until the last
     * try, each of them priced. */
    HOLD_PACE_UNSURE_MS = 150,
    HOLD_RETRY_MS = 300,
    /* Looks without an answer after which places there are given up; a single
     * one may be late. */
    PLACES_SILENT = 2,
    /* Ends are not durable yet: the lease is kept up at this pace. */
    HOLD_BLOCKED_MS = 700,
    ENDS_LISTED_MAX = 500,
    /* Workers that had runs lately, or may have had under an earlier owner,
     * are looked at now and then: an order that was carried out late shows
     * only there.  Orders are late by up to 12 s. */
    IDLE_LOOK_MS = 2500,
    IDLE_LOOKS_MS = 14000,
    /* Looks at idle workers: so many a second, and at a time, at the most,
     * however many workers there are.  A look costs about 0.2 ms. */
    IDLE_LOOKS_PER_S = 150,
    IDLE_LOOKS_MOST = 100,
    IDLE_RETRY_MS = 20,
    /* Ends are confirmed to a worker on the heels of an answer only.  One that
     * crashes takes longer than this to be back with ends of its own. */
    CONFIRM_WITHIN_MS = 250
};

struct hold_call {
    struct cw_owner *owner;
    unsigned term;
    struct owner_target *target;
    struct timespec sent;
    bool idle;       /* a look at a worker without runs */
    int64_t boot_ms; /* of the life that it was sent to, as far as known */
    uint64_t acked;  /* ends that it confirms, up to this number */
};

/* ---- runs that are listed ---- */

static void
note_progress(struct owner_run *run, const struct cw_running *listed,
              struct timespec now)
{
    if (run->phase == RUN_STARTING || run->phase == RUN_INHERITED) {
        run->phase = RUN_RUNNING;
        run->started_at = now;
        run->progress_at = now;
        run->saved_at = now;
        owner_job_start_confirmed(run->target->owner,
                                  owner_task_job(run->task), run->target);
    }
    owner_idle_end(run->target->owner, owner_task_job(run->task));
    run->boot_ms = run->target->incarnation.boot_ms;
    if (listed->percent != run->percent) {
        run->percent = listed->percent;
        run->progress_at = now;
    }
    owner_crashes_observe(run, now);
    if (listed->saved[0] != '\0') {
        run->saved_at = now;
        /* For a worker that is lost without another word. */
        owner_task_save_checkpoint(run->task, listed->saved);
    }
}

static struct owner_run *
listed_run(struct cw_owner *owner, struct owner_target *target,
           const struct cw_running *listed)
{
    struct owner_task *task = owner_task_find(owner, &listed->task);

    if (task == NULL || task->run == NULL ||
        task->run->number != listed->run || task->run->target != target)
    {
        return NULL;
    }
    return task->run;
}

/* What a run takes that is not in the books; the whole worker if its job is
 * not known any more. */
static struct cw_resources
orphan_need(const struct cw_owner *owner, const struct owner_target *target,
            const struct cw_running *listed)
{
    const struct owner_task *task = owner_task_find(owner, &listed->task);

    return task != NULL ? owner_step_need(task->step->spec) : target->capacity;
}

/* Stops what runs there without being wanted: an order that was carried out
 * late, or a run that was given up on.  Until it has ended it takes room, and
 * a worker that does not guard its room would be brought over it. */
static void
stop_orphan(struct cw_owner *owner, struct owner_target *target,
            const struct cw_running *listed)
{
    struct cw_resources need = orphan_need(owner, target, listed);

    owner_resources_add(&target->orphans, &need);
    cw_log_info("orphan_run", "id=%s task=%u.%u.%u run=%u worker=%s",
                listed->task.job, listed->task.occurrence, listed->task.step,
                listed->task.index, listed->run, target->id);
    owner_order_queue(owner, target, CW_ORDER_STOP, &listed->task,
                      listed->run);
}

static bool
is_listed(const struct owner_run *run, const struct cw_target_answer *answer)
{
    struct cw_task_name name = owner_task_name(run->task);

    for (size_t i = 0; i < answer->running_count; i++) {
        const struct cw_running *listed = &answer->running[i];

        if (listed->run == run->number && listed->task.step == name.step &&
            listed->task.index == name.index &&
            listed->task.occurrence == name.occurrence &&
            strcmp(listed->task.job, name.job) == 0)
        {
            return true;
        }
    }
    return false;
}

/* True if a run that the worker does not list cannot be there any more and
 * cannot come: it was confirmed, or stopped, or shut out, before the look. */
static bool
absence_counts(const struct owner_run *run, struct timespec sent)
{
    switch (run->phase) {
    case RUN_INHERITED:
        return true;
    case RUN_RUNNING:
        return cw_time_before(run->started_at, sent);
    case RUN_STARTING:
        return run->stop_confirmed &&
               cw_time_before(run->stop_confirmed_at, sent);
    default:
        return false;
    }
}

/* True if an absent run may have been carried out all the same, in part: where
 * one that was not confirmed is absent, it was never begun, but only by the
 * life that answers. */
static bool
may_have_worked(const struct owner_run *run, int64_t boot_ms)
{
    return run->phase == RUN_RUNNING ||
           (boot_ms > 0 && run->boot_ms != boot_ms);
}

/* Runs that the worker does not list and that cannot be there any more.  Those
 * that went with a former life of it are told from others: it has crashed. */
static void
drop_absent(struct cw_owner *owner, struct owner_target *target,
            const struct cw_target_answer *answer, struct timespec sent)
{
    GPtrArray *absent = g_ptr_array_new();

    for (guint i = 0; i < target->runs->len; i++) {
        struct owner_run *run = target->runs->pdata[i];

        if (absence_counts(run, sent) && !is_listed(run, answer)) {
            g_ptr_array_add(absent, run);
        }
    }
    for (guint i = 0; i < absent->len; i++) {
        struct owner_run *run = absent->pdata[i];

        if (owner_run_is_of_other_incarnation(run, answer->boot_ms)) {
            owner_crashes_collect(run, owner_now(owner));
            owner_incarnation_add_tombstone(run);
        }
    }
    for (guint i = 0; i < absent->len; i++) {
        struct owner_run *run = absent->pdata[i];

        /* Losing one member of a gang may have dropped another. */
        if (g_ptr_array_find(target->runs, run, NULL)) {
            owner_run_lost(
                owner, run, may_have_worked(run, answer->boot_ms),
                owner_run_is_of_other_incarnation(run, answer->boot_ms)
                    ? "other_life"
                    : "not_listed");
        }
    }
    g_ptr_array_unref(absent);
    owner_crashes_confirmed(owner, target, answer->boot_ms);
}

static bool
has_orphans(const struct owner_target *target)
{
    return target->orphans.accelerators > 0 || target->orphans.cpu_milli > 0 ||
           target->orphans.memory_mb > 0;
}

/* Ends are numbered without gaps.  One that was never listed here and is not
 * listed now was confirmed to the worker by somebody who had not seen it. */
static void
note_missing_ends(struct cw_owner *owner, const struct owner_target *target,
                  const struct cw_target_answer *answer)
{
    uint64_t first = answer->ended_count > 0 ? answer->ended[0].number : 0;

    /* Earlier owners have confirmed what they had stored. */
    if (target->incarnation.ends_applied == 0 ||
        first <= target->incarnation.ends_applied + 1)
    {
        return;
    }
    cw_log_warning(
        "ends_missing",
        "worker=%s applied=%" PRIu64 " first=%" PRIu64 " born_ms=%" PRId64,
        target->id, target->incarnation.ends_applied, first, answer->boot_ms);
    cw_count_add(owner->options.counters, CW_COUNT_ENDS_MISSING,
                 first - target->incarnation.ends_applied - 1);
}

static void
take_lists(struct cw_owner *owner, struct owner_target *target,
           const struct cw_target_answer *answer, struct timespec sent,
           struct timespec now)
{
    bool had_orphans = has_orphans(target);

    target->orphans = (struct cw_resources){0};
    for (size_t i = 0; i < answer->running_count; i++) {
        struct owner_run *run = listed_run(owner, target, &answer->running[i]);

        if (run != NULL) {
            note_progress(run, &answer->running[i], now);
            /* May stop the run's gang, but drops nothing that was sent. */
            owner_speed_observe(owner, run, answer->running[i].percent, now);
        }
        else {
            stop_orphan(owner, target, &answer->running[i]);
        }
    }
    note_missing_ends(owner, target, answer);
    for (size_t i = 0; i < answer->ended_count; i++) {
        const struct cw_ended *ended = &answer->ended[i];

        if (ended->number > target->incarnation.ends_applied) {
            target->incarnation.ends_applied = ended->number;
            owner_target_ends_applied(target);
            owner_hints_add_end(target, ended);
            owner_run_ended(owner, target, ended);
        }
    }
    if (answer->ended_count < ENDS_LISTED_MAX) {
        drop_absent(owner, target, answer, sent);
    }
    if (had_orphans && !has_orphans(target)) {
        owner->capacity_version++;
        owner->placement_wanted = true;
        owner_runs_promote_reserved(owner, target);
    }
}

/* ---- stalled runs ---- */

static bool
gang_is_whole(const struct owner_step *step)
{
    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_run *run = step->tasks[i].run;

        if (run == NULL || run->phase != RUN_RUNNING) {
            return false;
        }
    }
    return true;
}

/* True if another member of the run's gang has yet to do its share. */
static bool
gang_is_unfinished(const struct owner_run *run)
{
    const struct owner_step *step = run->task->step;

    for (unsigned i = 0; step->spec->gang && i < step->count; i++) {
        const struct owner_run *other = step->tasks[i].run;

        if (other != NULL && other != run && other->percent < CW_PERCENT_DONE)
        {
            return true;
        }
    }
    return false;
}

static bool
run_is_stalled(const struct owner_run *run, struct timespec now)
{
    const struct cw_step_spec *spec = run->task->step->spec;
    struct cw_progress progress = {
        .percent = run->percent,
        .unchanged_ms = cw_time_diff_ms(run->progress_at, now),
        .ms_per_percent = run->best_rate > 0
                              ? CW_MS_PER_S / run->best_rate
                              : (double)spec->estimate_ms / CW_PERCENT_DONE,
        .awaits_gang =
            run->percent >= CW_PERCENT_DONE && gang_is_unfinished(run),
    };

    return cw_progress_stalled(&progress);
}

static void
check_stalls(struct cw_owner *owner, struct owner_target *target,
             struct timespec now)
{
    for (guint i = 0; i < target->runs->len; i++) {
        struct owner_run *run = target->runs->pdata[i];
        struct owner_step *step = run->task->step;

        if (run->phase != RUN_RUNNING || run->stopping || run->gang_done ||
            step->spec->endless || !run_is_stalled(run, now) ||
            (step->spec->gang && !gang_is_whole(step)))
        {
            continue;
        }
        cw_log_info("run_stalled",
                    "id=%s task=%u.%u.%u run=%u worker=%s percent=%u",
                    owner_task_job(run->task)->spec->id,
                    step->occurrence->number, step->number, run->task->index,
                    run->number, target->id, run->percent);
        owner_target_add_failure(target, run->task, now);
        owner_run_evict_for(owner, run, OWNER_IDLE_STALLED);
        return; /* the table of runs may have changed */
    }
}

/* ---- holds ---- */

static void
log_place_given_up(const struct cw_owner *owner, const struct owner_run *run,
                   struct timespec now)
{
    struct cw_task_name name = owner_task_name(run->task);

    cw_log_info("placement_abandoned",
                "id=%s task=%u.%u.%u run=%u worker=%s phase=%s silent=%u "
                "age_ms=%" PRId64,
                name.job, name.occurrence, name.step, name.index, run->number,
                run->target->id, owner_run_phase_name(run->phase),
                run->target->unanswered_polls,
                cw_time_diff_ms(run->created_at, now));
}

static void
hold_failed(struct owner_target *target, enum cw_target_status status,
            struct timespec now)
{
    if (target->unanswered_polls == 0) {
        cw_log_info("worker_silent", "worker=%s status=%s runs=%u", target->id,
                    cw_target_status_name(status), target->runs->len);
        target->unresponsive_since = now;
        owner_incarnation_unresponsive(target);
    }
    target->unanswered_polls++;
    target->poll_due = cw_time_add_ms(now, HOLD_RETRY_MS);
    owner_incarnation_poll_failed(target);
    if (target->unanswered_polls == PLACES_SILENT) {
        owner_unsent_runs_give_up(target->owner, target, log_place_given_up);
    }
}

/* The life that the look was sent to has answered it. */
static void
note_confirmed(struct owner_target *target, const struct hold_call *call)
{
    if (target->incarnation.boot_ms == call->boot_ms) {
        target->incarnation.ends_confirmed =
            MAX(target->incarnation.ends_confirmed, call->acked);
    }
}

/* True if the next look tells what becomes of a run, and perhaps of its gang:
 * whether a start without an answer was carried out, and whether a run that
 * was stopped before it was confirmed had begun. */
static bool
decides_runs(const struct owner_target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        if (run->phase == RUN_STARTING &&
            (run->unanswered > 0 || run->stop_confirmed)) {
            return true;
        }
    }
    return false;
}

static void
hold_answered(struct cw_owner *owner, struct hold_call *call,
              const struct cw_target_answer *answer, struct timespec now)
{
    struct owner_target *target = call->target;

    if (target->unanswered_polls > 0) {
        cw_log_info("worker_responsive", "worker=%s silent=%u", target->id,
                    target->unanswered_polls);
        target->unanswered_polls = 0;
        owner->placement_wanted = true;
    }
    if (!owner_incarnation_answered(target, answer->boot_ms)) {
        note_confirmed(target, call);
    }
    owner_crashes_answered(owner, target, answer->boot_ms);
    owner_target_set_clock(target, answer->clock_ms, now);
    owner_lease_token_seen(target, now);
    target->answered = true;
    target->answered_poll_sent_at = call->sent;
    target->incarnation.poll_answered_at = now;
    /* Where a note is dropped, a look follows at once when that is stored. */
    target->poll_due =
        cw_time_add_ms(now, decides_runs(target) ||
                                    target->lease_note != OWNER_LEASE_NOTE_NONE
                                ? HOLD_PACE_UNSURE_MS
                                : HOLD_PACE_MS);
    take_lists(owner, target, answer, call->sent, now);
    check_stalls(owner, target, now);
}

static void
on_hold(void *context, const struct cw_target_answer *answer)
{
    struct hold_call *call = context;
    struct cw_owner *owner = call->owner;
    struct owner_target *target = call->target;
    struct timespec now = owner_now(owner);

    if (call->term != owner->term) {
        g_free(call);
        return;
    }
    target->poll_in_flight = false;
    owner_target_wake(target);
    owner->idle_polls_in_flight -= call->idle;
    switch (answer->status) {
    case CW_TARGET_OK:
        hold_answered(owner, call, answer, now);
        break;
    case CW_TARGET_FENCED:
        owner_drop_ownership(owner, "fenced_by_worker");
        break;
    case CW_TARGET_OTHER_INCARNATION:
        target->superseded = true;
        owner_target_lost(owner, target, "other_life");
        break;
    default:
        hold_failed(target, answer->status, now);
        break;
    }
    g_free(call);
}

static unsigned
hold_wait_ms(const struct cw_owner *owner)
{
    return g_hash_table_size(owner->targets) > MANY_TARGETS ? HOLD_WAIT_MANY_MS
                                                            : HOLD_WAIT_MS;
}

static bool
has_unconfirmed(const struct owner_target *target)
{
    return target->incarnation.ends_durable >
           target->incarnation.ends_confirmed;
}

/* The number up to which the next look confirms ends.
 *
 * A worker that has started again under its id counts from 1, and forgets ends
 * of its own if it is told a number of its former life's: they would be lost,
 * and their tasks run again.  So each end is confirmed in one look, not in all
 * that follow, and only while the life that has listed it was heard just now;
 * after a silence the look goes without. */
static uint64_t
number_to_confirm(const struct owner_target *target, struct timespec now)
{
    const struct owner_incarnation *incarnation = &target->incarnation;

    if (!has_unconfirmed(target) || !target->answered ||
        target->unanswered_polls > 0 ||
        cw_time_diff_ms(incarnation->poll_answered_at, now) >
            CONFIRM_WITHIN_MS)
    {
        return 0;
    }
    return incarnation->ends_durable;
}

/* A first look, one after a silence, one that decides what becomes of a run,
 * and one before ends are confirmed want an answer now.  A gang that had been
 * stopped stood still for 1.0 s more for a look that waited at the worker of a
 * member that never was. */
static unsigned
look_wait_ms(const struct cw_owner *owner, const struct owner_target *target,
             uint64_t acked)
{
    const struct owner_incarnation *incarnation = &target->incarnation;
    bool blocked = incarnation->ends_applied > incarnation->ends_durable ||
                   (has_unconfirmed(target) && acked == 0);
    bool waits = target->runs->len > 0 || has_orphans(target);

    /* Without an extended lease it has no time to wait. */
    return blocked || !target->answered || target->unanswered_polls > 0 ||
                   !waits || target->lease_note != OWNER_LEASE_NOTE_NONE ||
                   decides_runs(target)
               ? 0
               : hold_wait_ms(owner);
}

static void
send_hold(struct cw_owner *owner, struct owner_target *target,
          struct timespec now)
{
    struct hold_call *call = g_new0(struct hold_call, 1);
    uint64_t acked = number_to_confirm(target, now);
    unsigned wait_ms = look_wait_ms(owner, target, acked);
    /* A first look extends no lease: if it is over, the worker has to notice,
     * so that an earlier owner's word on lost runs holds.  Nor does one after
     * a silence, as another life may answer. */
    bool extends = target->answered && target->unanswered_polls == 0 &&
                   target->lease_note == OWNER_LEASE_NOTE_NONE &&
                   !owner_tombstone_pending(target);
    struct cw_target_order order = {
        .kind = CW_ORDER_POLL,
        .address = target->address,
        .id = target->id,
        .fence = owner->epoch,
        .lease_until_ms =
            extends ? owner_lease_grant(target, CW_ORDER_POLL, now) : 0,
        .acked = acked,
        .wait_ms = wait_ms,
        .timeout_ms = wait_ms + HOLD_TIMEOUT_MS,
        .done = on_hold,
        .context = call,
    };

    call->owner = owner;
    call->term = owner->term;
    call->target = target;
    call->sent = now;
    call->idle = target->runs->len == 0;
    call->boot_ms = target->incarnation.boot_ms;
    call->acked = acked;
    owner->idle_polls_in_flight += call->idle;
    target->poll_in_flight = true;
    target->poll_sent_at = now;
    owner->options.targets->ops->order(owner->options.targets, &order);
}

static bool
may_have_orphans(const struct owner_target *target, struct timespec now)
{
    return cw_time_diff_ms(target->owner->takeover_began_at, now) <
               IDLE_LOOKS_MS ||
           (target->last_busy_at.tv_sec > 0 &&
            cw_time_diff_ms(target->last_busy_at, now) < IDLE_LOOKS_MS);
}

/* True if work may be sent there: its service is one that is configured. */
static bool
is_of_use(const struct owner_target *target)
{
    const struct cw_routing *routing = target->owner->routing;

    return target->listed &&
           (routing == NULL || routing->services->len == 0 ||
            cw_routing_service_by_name(routing, target->service) != NULL);
}

static bool
wants_hold(const struct owner_target *target, struct timespec now)
{
    if (target->superseded || target->address[0] == '\0') {
        return false;
    }
    if (is_of_use(target) &&
        (!target->incarnation.clock_known || !target->answered ||
         may_have_orphans(target, now)))
    {
        return true;
    }
    return target->runs->len > 0 ||
           target->incarnation.ends_applied >
               target->incarnation.ends_in_batch ||
           target->incarnation.ends_in_batch >
               target->incarnation.ends_durable ||
           /* One that has left for good is not asked for ever. */
           (has_unconfirmed(target) &&
            (target->listed || target->unanswered_polls == 0)) ||
           (target->unanswered_polls > 0 && is_of_use(target));
}

/* Time between two looks at an idle worker. */
static int64_t
idle_look_ms(const struct cw_owner *owner)
{
    int64_t all_ms = (int64_t)g_hash_table_size(owner->targets) * CW_MS_PER_S /
                     IDLE_LOOKS_PER_S;

    return MAX(IDLE_LOOK_MS, all_ms);
}

/* The lease has passed without being extended.  A worker that still answers
 * is asked what became of its runs; one that does not has lost them. */
static void
lease_over(struct cw_owner *owner, struct owner_target *target)
{
    bool answers = target->unanswered_polls == 0 && target->address[0] != '\0';

    if (!answers) {
        owner_target_lost(owner, target, "lease_over");
    }
    else if (cw_time_before(target->answered_poll_sent_at, target->lease_end))
    {
        target->answered = false; /* the next hold is a first look */
        target->poll_due = cw_time_from_ms(0);
    }
}

/* Sends a look if one is due; returns when it wants to be called next. */
static struct timespec
look_tick(struct cw_owner *owner, struct owner_target *target,
          struct timespec now)
{
    struct timespec due = target->poll_due;

    if (target->poll_in_flight || !wants_hold(target, now) ||
        !owner_may_extend_leases(owner, now))
    {
        return cw_time_from_ms(INT32_MAX);
    }
    if (target->runs->len == 0 &&
        owner->idle_polls_in_flight >= IDLE_LOOKS_MOST) {
        return cw_time_add_ms(now, IDLE_RETRY_MS);
    }
    if (target->runs->len == 0 && target->unanswered_polls == 0 &&
        target->answered && !has_orphans(target) && !has_unconfirmed(target))
    {
        due = cw_time_add_ms(target->poll_sent_at, idle_look_ms(owner));
    }
    if (target->incarnation.ends_applied > target->incarnation.ends_durable) {
        /* Without it the worker would answer at once with the same ends. */
        due = cw_time_add_ms(target->poll_sent_at, HOLD_BLOCKED_MS);
    }
    if (!cw_time_before(now, due)) {
        send_hold(owner, target, now);
        return cw_time_from_ms(INT32_MAX);
    }
    return due;
}

struct timespec
owner_poll_tick(struct cw_owner *owner, struct owner_target *target,
                struct timespec now)
{
    struct timespec next;

    if (cw_time_before(target->lease_end, now) &&
        owner_target_has_ordered_run(target))
    {
        lease_over(owner, target);
    }
    next = look_tick(owner, target, now);
    if (!cw_time_before(target->lease_end, now) &&
        owner_target_has_ordered_run(target))
    {
        cw_time_earlier(&next, cw_time_add_ms(target->lease_end, 1));
    }
    return next;
}

/* Polls of workers: extends their leases, and processes the runs and the ends
 * of runs that they list. */
#include "owner/internal/owner_addresses.h"
#include "owner/internal/owner_crashes.h"

#include <string.h>

#include "curlewcart/cw_stragglers.h"

enum {
    /* How long a worker may delay its answer to a poll until it has something
     * to report.  Longer is cheaper, but a lost answer costs this time and the
     * timeout. */
    POLL_WAIT_MS = 1000,
    /* With more workers than this an owner is short of processor time, and the
     * delay is as long as the workers allow. */
    MANY_WORKERS = 1000,
    POLL_WAIT_MANY_WORKERS_MS = 1900,
    /* Limit on the time for an answer in addition to that delay. */
    POLL_ANSWER_MAX_MS = 900,
    /* The same for workers with short leases, and polls that wait there.  A
     * poll may be lost: the next one, and the one after that, which extends
     * the lease again, have to be answered before the lease expires. */
    POLL_WAIT_SHORT_LEASE_MS = 500,
    POLL_WAIT_SHORT_LEASE_MANY_WORKERS_MS = 1000,
    POLL_ANSWER_SHORT_LEASE_MAX_MS = 700,
    /* Time from an answer to the next poll. */
    POLL_INTERVAL_MS = 40,
    /* Interval of polls of a worker while a start on it has no answer: this
     * leads to up to ten polls until the last attempt of the start, each of
     * which is charged for. */
    POLL_INTERVAL_UNDECIDED_MS = 150,
    /* Minimum time between a poll without an answer and the next one; a
     * connection that is refused fails at once. */
    POLL_RETRY_MS = 300,
    /* Polls without an answer after which placements on the worker are given
     * up; a single answer may be late. */
    GIVE_UP_AFTER_POLLS = 2,
    /* Interval of polls, which extend the lease, while listed ends are not
     * durable yet. */
    POLL_INTERVAL_BLOCKED_MS = 700,
    POLL_INTERVAL_BLOCKED_SHORT_LEASE_MS = 350,
    ENDS_LISTED_MAX = 500,
    /* Workers that had runs recently, or may have had them under an earlier
     * owner, are polled at this interval, as only a poll shows an order that
     * was carried out late. */
    IDLE_POLL_INTERVAL_MS = 2500,
    /* Duration of these polls: orders are late by up to 12 s. */
    IDLE_POLLS_DURATION_MS = 14000,
    /* Limits on polls of idle workers, per second and in flight, however many
     * workers there are.  A poll costs about 0.2 ms. */
    IDLE_POLLS_PER_S = 150,
    IDLE_POLLS_MAX = 100,
    IDLE_POLL_RETRY_MS = 20,
    /* Ends are confirmed to a worker only within this time after it gave its
     * last answer.  A worker that crashes takes longer to restart and list
     * ends of its new incarnation. */
    CONFIRM_WITHIN_MS = 250
};

/* A poll in flight. */
struct poll_call {
    struct cw_owner *owner;
    unsigned term;
    struct owner_target *target;
    struct timespec sent;
    bool idle;       /* the worker had no runs */
    int64_t boot_ms; /* of the incarnation that it was sent to; 0 unknown */
    uint64_t acked;  /* confirms ends up to this number */
    unsigned address_changes; /* of the worker, when it was sent */
};

/* ---- runs that are listed ---- */

/* Applies the state of a run that a worker has listed. */
static void
apply_progress(struct owner_run *run, const struct cw_running *listed,
               struct timespec now)
{
    bool is_valid = owner_progress_check(run, listed->percent);

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
    if (is_valid && listed->percent != run->percent) {
        run->percent = listed->percent;
        run->progress_at = now;
    }
    owner_crashes_observe(run, now);
    if (listed->saved[0] != '\0') {
        run->saved_at = now;
        /* In case the worker is lost before it reports the run's end. */
        owner_task_save_checkpoint(run->task, listed->saved);
    }
}

/* Returns the run that the worker has listed, or NULL if it is not the present
 * run of its task there. */
static struct owner_run *
find_listed_run(struct cw_owner *owner, struct owner_target *target,
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

/* Stops an orphan: a run whose start was carried out late, or that was given
 * up.  Until it has ended it counts as using resources: a worker that does not
 * enforce its capacity would be overloaded otherwise. */
static void
stop_orphan(struct cw_owner *owner, struct owner_target *target,
            const struct cw_running *listed)
{
    owner_orphan_add(target, &listed->task);
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

/* True if a run that the worker does not list in its answer is not there and
 * cannot start there any more: before the poll was sent, the run was confirmed
 * or its stop was, or its earlier owner was fenced. */
static bool
absence_is_final(const struct owner_run *run, struct timespec sent)
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

/* True if an absent run may have done some of its work.  The absence of a run
 * that was never confirmed shows only that the incarnation that answers has
 * not begun it. */
static bool
may_have_worked(const struct owner_run *run, int64_t boot_ms)
{
    return run->phase == RUN_RUNNING ||
           (boot_ms > 0 && run->boot_ms != boot_ms);
}

/* Drops the runs that the worker does not list and that cannot be there any
 * more.  Those that were sent to an earlier incarnation were lost in a crash
 * of the worker. */
static void
drop_absent(struct cw_owner *owner, struct owner_target *target,
            const struct cw_target_answer *answer, struct timespec sent)
{
    GPtrArray *absent = g_ptr_array_new();

    for (guint i = 0; i < target->runs->len; i++) {
        struct owner_run *run = target->runs->pdata[i];

        if (absence_is_final(run, sent) && !is_listed(run, answer)) {
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
    owner_crashes_over(owner, target, answer->boot_ms);
}

/* Logs gaps in the numbers of ends, which are consecutive.  An end that was
 * never listed to this owner and is not listed now was confirmed to the worker
 * by an owner that had not received it. */
static void
log_missing_ends(struct cw_owner *owner, const struct owner_target *target,
                 const struct cw_target_answer *answer)
{
    uint64_t first = answer->ended_count > 0 ? answer->ended[0].number : 0;

    /* Ends before the first that this owner has received were stored and
     * confirmed by earlier owners. */
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

/* Returns when the worker read its runs' progress, as far as known: an answer
 * that was held up on its way would show a low rate. */
static struct timespec
progress_read_at(const struct owner_target *target,
                 const struct cw_target_answer *answer, struct timespec now)
{
    const struct owner_incarnation *incarnation = &target->incarnation;

    /* A clock that was first compared with this answer shows no delay. */
    return answer->clock_ms > 0 &&
                   cw_time_before(incarnation->clock_ahead_at, now)
               ? incarnation->poll_answered_at
               : now;
}

static void
apply_lists(struct cw_owner *owner, struct owner_target *target,
            const struct cw_target_answer *answer, struct timespec sent,
            struct timespec now)
{
    bool had_orphans = owner_target_has_orphans(target);

    owner_orphans_reset(target, sent);
    for (size_t i = 0; i < answer->running_count; i++) {
        struct owner_run *run =
            find_listed_run(owner, target, &answer->running[i]);

        if (run != NULL) {
            owner_gang_ends_listed(run, sent);
            apply_progress(run, &answer->running[i], now);
            /* May stop the run's gang, but drops no run that was sent. */
            owner_speed_observe(owner, run, answer->running[i].percent,
                                progress_read_at(target, answer, now));
        }
        else {
            stop_orphan(owner, target, &answer->running[i]);
        }
    }
    log_missing_ends(owner, target, answer);
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
        owner_gang_ends_all_listed(target, sent);
        drop_absent(owner, target, answer, sent);
    }
    if (had_orphans && !owner_target_has_orphans(target)) {
        owner->capacity_version++;
        owner->placement_wanted = true;
        owner_runs_promote_reserved(owner, target);
    }
}

/* ---- stalled runs ---- */

static bool
all_members_running(const struct owner_step *step)
{
    for (unsigned i = 0; i < step->count; i++) {
        const struct owner_run *run = step->tasks[i].run;

        if (run == NULL || run->phase != RUN_RUNNING) {
            return false;
        }
    }
    return true;
}

/* True if another member of the run's gang is below 100 percent. */
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
            (step->spec->gang && !all_members_running(step)))
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
        return; /* `runs` may have changed */
    }
}

/* ---- polls ---- */

static void
log_placement_abandoned(const struct cw_owner *owner,
                        const struct owner_run *run, struct timespec now)
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
poll_failed(struct owner_target *target, enum cw_target_status status,
            struct timespec now)
{
    if (target->unanswered_polls == 0) {
        cw_log_info("worker_silent", "worker=%s status=%s runs=%u", target->id,
                    cw_target_status_name(status), target->runs->len);
        target->unanswered_since = now;
        owner_incarnation_unresponsive(target);
    }
    target->unanswered_polls++;
    target->poll_due = cw_time_add_ms(target->poll_sent_at, POLL_RETRY_MS);
    owner_gang_ends_check_silent(target->owner, target);
    if (target->unanswered_polls == GIVE_UP_AFTER_POLLS) {
        owner_target_apply_held_report(target);
        owner_unsent_runs_give_up(target->owner, target,
                                  log_placement_abandoned);
    }
}

/* Records which ends the poll has confirmed, if the incarnation that it was
 * sent to has answered it. */
static void
record_confirmed_ends(struct owner_target *target,
                      const struct poll_call *call)
{
    if (target->incarnation.boot_ms == call->boot_ms) {
        target->incarnation.ends_confirmed =
            MAX(target->incarnation.ends_confirmed, call->acked);
    }
}

/* True if the next poll decides what happens to a run, and perhaps to its
 * gang: it shows whether a start without an answer was carried out, or whether
 * a run that was stopped before it was confirmed had begun. */
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
poll_answered(struct cw_owner *owner, struct poll_call *call,
              const struct cw_target_answer *answer, struct timespec now)
{
    struct owner_target *target = call->target;

    if (target->unanswered_polls > 0) {
        cw_log_info("worker_responsive", "worker=%s silent=%u", target->id,
                    target->unanswered_polls);
        target->unanswered_polls = 0;
        owner->placement_wanted = true;
    }
    if (!owner_incarnation_answered(target, answer->boot_ms, call->sent)) {
        record_confirmed_ends(target, call);
    }
    owner_target_apply_held_report(target);
    owner_crashes_answered(owner, target, answer->boot_ms);
    owner_target_set_clock(target, answer->clock_ms, now);
    owner_lease_token_received(target, now);
    target->answered = true;
    target->answered_poll_sent_at = call->sent;
    target->incarnation.poll_answered_at = owner_incarnation_answer_given(
        target, answer->clock_ms, call->sent, now);
    /* While there is a lease note, the short interval is not needed: the
     * worker is polled at once when the note's removal is stored. */
    target->poll_due =
        cw_time_add_ms(now, decides_runs(target) ||
                                    target->lease_note != OWNER_LEASE_NOTE_NONE
                                ? POLL_INTERVAL_UNDECIDED_MS
                                : POLL_INTERVAL_MS);
    apply_lists(owner, target, answer, call->sent, now);
    check_stalls(owner, target, now);
}

static void
on_poll(void *context, const struct cw_target_answer *answer)
{
    struct poll_call *call = context;
    struct cw_owner *owner = call->owner;
    struct owner_target *target = call->target;
    struct owner_answered_order order = {.kind = "poll",
                                         .sent = call->sent,
                                         .address_changes =
                                             call->address_changes};
    struct timespec now = owner_now(owner);

    if (call->term != owner->term) {
        g_free(call);
        return;
    }
    target->poll_in_flight = false;
    owner_target_wake(target);
    owner->idle_polls_in_flight -= call->idle;
    owner_target_answered(target, answer->status, now);
    owner_address_answered(target, &order, answer->status);
    switch (answer->status) {
    case CW_TARGET_OK:
        poll_answered(owner, call, answer, now);
        break;
    case CW_TARGET_FENCED:
        owner_drop_ownership(owner, "fenced_by_worker");
        break;
    case CW_TARGET_OTHER_INCARNATION:
        if (!owner_address_refused(target, &order)) {
            poll_failed(target, answer->status, now);
        }
        break;
    default:
        poll_failed(target, answer->status, now);
        break;
    }
    g_free(call);
}

static unsigned
poll_wait_max_ms(const struct owner_target *target, struct timespec now)
{
    bool many = g_hash_table_size(target->owner->targets) > MANY_WORKERS;

    if (owner_lease_is_short(target, now)) {
        return many ? POLL_WAIT_SHORT_LEASE_MANY_WORKERS_MS
                    : POLL_WAIT_SHORT_LEASE_MS;
    }
    return many ? POLL_WAIT_MANY_WORKERS_MS : POLL_WAIT_MS;
}

static unsigned
poll_answer_max_ms(const struct owner_target *target, unsigned wait_ms,
                   struct timespec now)
{
    return wait_ms > 0 && owner_lease_is_short(target, now)
               ? POLL_ANSWER_SHORT_LEASE_MAX_MS
               : POLL_ANSWER_MAX_MS;
}

static bool
has_unconfirmed(const struct owner_target *target)
{
    return target->incarnation.ends_durable >
           target->incarnation.ends_confirmed;
}

/* Returns the number up to which the next poll confirms ends.
 *
 * A worker that has restarted under its id counts its ends from 1 again.  If
 * it received a number that is meant for its former incarnation, it would
 * discard ends of the new one: they would be lost, and their tasks would run
 * again.  So each end is confirmed in only one poll, and only shortly after an
 * answer of the incarnation that has listed it.  The first poll after one
 * without an answer confirms no ends. */
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

/* Returns how long the worker may delay its answer.  It has to answer at once
 * to a first poll, one after a poll without an answer, one that decides what
 * happens to a run or which incarnation is the present one, and one before
 * ends are confirmed.  Otherwise a gang that was stopped would be idle for
 * 1.0 s longer, as the poll would wait at the worker of a member that was
 * never started. */
static unsigned
poll_wait_ms(const struct owner_target *target, uint64_t acked,
             struct timespec now)
{
    const struct owner_incarnation *incarnation = &target->incarnation;
    bool blocked = incarnation->ends_applied > incarnation->ends_durable ||
                   (has_unconfirmed(target) && acked == 0);
    bool waits = target->runs->len > 0 || owner_target_has_orphans(target);

    /* While there is a lease note, polls don't extend the lease, and the
     * worker has to answer at once. */
    return blocked || !target->answered || target->unanswered_polls > 0 ||
                   !waits || target->lease_note != OWNER_LEASE_NOTE_NONE ||
                   decides_runs(target) || owner_incarnation_unknown(target) ||
                   owner_orphans_presumed(target)
               ? 0
               : poll_wait_max_ms(target, now);
}

static void
send_poll(struct cw_owner *owner, struct owner_target *target,
          struct timespec now)
{
    struct poll_call *call = g_new0(struct poll_call, 1);
    uint64_t acked = number_to_confirm(target, now);
    unsigned wait_ms = poll_wait_ms(target, acked, now);
    /* A first poll extends no lease: if the lease has expired, the worker has
     * to notice that, as an earlier owner may have declared its runs lost.
     * Neither does a poll after one without an answer, as another incarnation
     * may answer it. */
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
        .timeout_ms = wait_ms + poll_answer_max_ms(target, wait_ms, now),
        .done = on_poll,
        .context = call,
    };

    call->owner = owner;
    call->term = owner->term;
    call->target = target;
    call->sent = now;
    call->idle = target->runs->len == 0;
    call->boot_ms = target->incarnation.boot_ms;
    call->acked = acked;
    call->address_changes = target->address_changes;
    owner->idle_polls_in_flight += call->idle;
    target->poll_in_flight = true;
    target->poll_sent_at = now;
    owner->options.targets->ops->order(owner->options.targets, &order);
}

static bool
may_have_orphans(const struct owner_target *target, struct timespec now)
{
    return cw_time_diff_ms(target->owner->takeover_began_at, now) <
               IDLE_POLLS_DURATION_MS ||
           (target->last_busy_at.tv_sec > 0 &&
            cw_time_diff_ms(target->last_busy_at, now) <
                IDLE_POLLS_DURATION_MS);
}

/* True if work may be sent to the worker: it is listed, and its service is
 * configured. */
static bool
may_get_work(const struct owner_target *target)
{
    const struct cw_routing *routing = target->owner->routing;

    return target->listed &&
           (routing == NULL || routing->services->len == 0 ||
            cw_routing_service_by_name(routing, target->service) != NULL);
}

static bool
needs_poll(const struct owner_target *target, struct timespec now)
{
    if (target->superseded || target->address[0] == '\0') {
        return false;
    }
    if (may_get_work(target) &&
        (!target->incarnation.clock_known || !target->answered ||
         may_have_orphans(target, now)))
    {
        return true;
    }
    return target->runs->len > 0 || target->held_report.boot_ms > 0 ||
           owner_address_is_doubtful(target, now) ||
           target->incarnation.ends_applied >
               target->incarnation.ends_in_batch ||
           target->incarnation.ends_in_batch >
               target->incarnation.ends_durable ||
           /* An unlisted worker that does not answer is not polled any longer.
            */
           ((has_unconfirmed(target) || owner_target_has_orphans(target)) &&
            (target->listed || target->unanswered_polls == 0)) ||
           (target->unanswered_polls > 0 && may_get_work(target));
}

/* Returns the interval of polls of an idle worker. */
static int64_t
idle_poll_interval_ms(const struct cw_owner *owner)
{
    int64_t all_ms = (int64_t)g_hash_table_size(owner->targets) * CW_MS_PER_S /
                     IDLE_POLLS_PER_S;

    return MAX(IDLE_POLL_INTERVAL_MS, all_ms);
}

/* Handles the end of a lease that was not extended.  A worker that still
 * answers is polled for the state of its runs; the runs on a worker that does
 * not answer are lost. */
static void
on_lease_expired(struct cw_owner *owner, struct owner_target *target,
                 struct timespec now)
{
    bool answers = target->unanswered_polls == 0 && target->address[0] != '\0';

    if (answers) {
        if (cw_time_before(target->answered_poll_sent_at,
                           owner_lease_first_end(target)))
        {
            target->answered = false; /* the next poll is a first one */
            target->poll_due = cw_time_from_ms(0);
        }
    }
    else if (cw_time_before(owner_lease_last_end(target), now)) {
        owner_target_lost(
            owner, target,
            &(struct owner_loss){.reason = "lease_over", .evidence = "lease"});
    }
    else {
        owner_runs_lost_if(target, owner_lease_run_ends_with_incarnation,
                           "lease_over");
    }
}

/* Polls the worker if that is due; returns when it has to be called next. */
static struct timespec
poll_tick(struct cw_owner *owner, struct owner_target *target,
          struct timespec now)
{
    struct timespec due = target->poll_due;

    if (target->poll_in_flight || !needs_poll(target, now) ||
        !owner_may_poll(owner, now))
    {
        return cw_time_from_ms(INT32_MAX);
    }
    if (target->runs->len == 0 &&
        owner->idle_polls_in_flight >= IDLE_POLLS_MAX) {
        return cw_time_add_ms(now, IDLE_POLL_RETRY_MS);
    }
    if (target->runs->len == 0 && target->unanswered_polls == 0 &&
        target->answered && !owner_target_has_orphans(target) &&
        !has_unconfirmed(target))
    {
        due =
            cw_time_add_ms(target->poll_sent_at, idle_poll_interval_ms(owner));
    }
    if (target->incarnation.ends_applied > target->incarnation.ends_durable) {
        /* The worker would answer at once with the same ends. */
        due = cw_time_add_ms(target->poll_sent_at,
                             owner_lease_is_short(target, now)
                                 ? POLL_INTERVAL_BLOCKED_SHORT_LEASE_MS
                                 : POLL_INTERVAL_BLOCKED_MS);
    }
    if (!cw_time_before(now, due)) {
        send_poll(owner, target, now);
        return cw_time_from_ms(INT32_MAX);
    }
    return due;
}

struct timespec
owner_poll_tick(struct cw_owner *owner, struct owner_target *target,
                struct timespec now)
{
    struct timespec next;

    if (owner_target_has_ordered_run(target) &&
        cw_time_before(owner_lease_first_end(target), now))
    {
        on_lease_expired(owner, target, now);
    }
    next = poll_tick(owner, target, now);
    if (owner_target_has_ordered_run(target) &&
        !cw_time_before(owner_lease_first_end(target), now))
    {
        cw_time_set_earlier(&next,
                            cw_time_add_ms(owner_lease_first_end(target), 1));
    }
    return next;
}

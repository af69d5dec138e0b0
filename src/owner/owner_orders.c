/* Start and stop orders: queueing and sending them, and handling answers. */
#include "owner/internal/owner_addresses.h"
#include "owner/internal/owner_placement.h"

#include <string.h>

enum {
    /* With two orders in flight a lost answer does not delay the rest, and a
     * worker sees few connections.  The limit is one order if two, in addition
     * to one poll, need more connections than the VM can have open: the VM
     * would open new ones all the time and have no processor time left for
     * anything else. */
    ORDERS_IN_FLIGHT_MAX = 2,
    POLLS_IN_FLIGHT = 1,
    /* An order takes a few ms, and up to a quarter of a second from a busy VM.
     * Resending it is harmless, and a gang waits for its last member. */
    ORDER_TIMEOUT_MS = 500,
    STARTS_UNANSWERED_MAX = 4,
    /* A connection that is reset fails within a millisecond, and a worker that
     * resets one connection resets all for a while.  So retries begin no
     * earlier than 0.1, 0.35 and 0.9 s after the first attempt: withdrawing
     * the run instead would cost its gang a similar time, as the other members
     * have to be stopped first. */
    FIRST_PAUSE_MS = 100,
    SECOND_PAUSE_MS = 250,
    THIRD_PAUSE_MS = 550,
    /* Delay before a stop is retried: a refused connection fails at once. */
    STOP_RETRY_MS = 300,
    /* How long a worker is avoided after a start without an answer: until the
     * next poll, which takes about a second, has shown whether the worker
     * answers. */
    AVOID_UNANSWERED_MS = 1500,
    AVOID_FULL_MS = 300,
    AVOID_UNHEALTHY_MS = 1500,
    /* How long a worker is avoided to which no connection could be made in
     * time: the next poll of it, which is in flight by then, shows whether it
     * answers. */
    AVOID_UNREACHABLE_MS = 2000
};

void
owner_order_free(struct owner_order *order)
{
    order->owner->order_window.outstanding--;
    g_free(order->job);
    g_free(order);
}

void
owner_order_queue(struct cw_owner *owner, struct owner_target *target,
                  enum cw_order_kind kind, const struct cw_task_name *task,
                  unsigned run)
{
    struct owner_order *order = g_new0(struct owner_order, 1);

    order->owner = owner;
    order->term = owner->term;
    order->target = target;
    order->kind = kind;
    order->job = g_strdup(task->job);
    order->task = *task;
    order->task.job = order->job;
    order->run = run;
    owner->order_window.outstanding++;
    owner_target_wake(target);
    /* Stops free the capacity that starts wait for. */
    if (kind == CW_ORDER_STOP) {
        g_queue_push_head(&target->orders, order);
    }
    else {
        g_queue_push_tail(&target->orders, order);
    }
}

/* The run that an order is about, or NULL if it no longer exists. */
static struct owner_run *
order_run(const struct owner_order *order)
{
    struct owner_task *task = owner_task_find(order->owner, &order->task);

    if (task == NULL || task->run == NULL || task->run->number != order->run ||
        task->run->target != order->target)
    {
        return NULL;
    }
    return task->run;
}

/* ---- answers to starts ---- */

/* Withdraws a run that the worker did not accept, so that its task is placed
 * again.  An earlier start without an answer may still be carried out: then
 * the run has to be stopped first. */
static void
withdraw_run(struct cw_owner *owner, struct owner_run *run)
{
    struct owner_step *step = run->task->step;

    if (run->unanswered > 0) {
        owner_run_stop(owner, run);
    }
    else {
        step->unstarted_run_max = MAX(step->unstarted_run_max, run->number);
        owner_run_drop(owner, run);
    }
    if (step->spec->gang) {
        owner_step_stop(owner, step);
    }
}

static void
avoid(struct owner_target *target, int64_t ms)
{
    target->avoid_until = cw_time_add_ms(owner_now(target->owner), ms);
}

/* Pause between two attempts of a start; the timeout is longer than most
 * pauses. */
static int64_t
pause_ms(unsigned unanswered)
{
    static const int pauses_ms[STARTS_UNANSWERED_MAX] = {
        0, FIRST_PAUSE_MS, SECOND_PAUSE_MS, THIRD_PAUSE_MS};

    return pauses_ms[MIN(unanswered, STARTS_UNANSWERED_MAX - 1)];
}

static void
retry_start(struct owner_order *order, struct owner_run *run)
{
    struct cw_owner *owner = order->owner;
    struct owner_order *retry;

    run->unanswered++;
    cw_count_code(owner->options.counters, CW_RETRY_SILENT);
    avoid(order->target, AVOID_UNANSWERED_MS);
    cw_time_set_earlier(&order->target->poll_due, owner_now(owner));
    if (run->unanswered < STARTS_UNANSWERED_MAX && !run->stopping) {
        owner_order_queue(owner, order->target, CW_ORDER_START, &order->task,
                          order->run);
        retry = g_queue_peek_tail(&order->target->orders);
        retry->due = cw_time_add_ms(order->sent, pause_ms(run->unanswered));
        return;
    }
    if (!run->stopping) {
        cw_log_info("start_given_up",
                    "id=%s task=%u.%u.%u run=%u worker=%s unanswered=%u "
                    "gang=%d members=%u",
                    order->job, order->task.occurrence, order->task.step,
                    order->task.index, order->run, order->target->id,
                    run->unanswered, run->task->step->spec->gang,
                    run->task->step->runs);
    }
    owner_run_evict_for(owner, run, OWNER_IDLE_UNANSWERED);
}

static void
start_confirmed(struct owner_run *run)
{
    struct cw_owner *owner = run->target->owner;

    if (run->phase == RUN_STARTING) {
        run->phase = RUN_RUNNING;
        run->started_at = owner_now(owner);
        run->progress_at = run->started_at;
        run->saved_at = run->started_at;
        owner_idle_end(owner, owner_task_job(run->task));
        owner_task_job(run->task)->idle.cause = OWNER_IDLE_NONE;
        owner_job_start_confirmed(owner, owner_task_job(run->task),
                                  run->target);
    }
}

static void
start_answered(struct owner_order *order, enum cw_target_status status)
{
    struct cw_owner *owner = order->owner;
    struct owner_target *target = order->target;
    struct owner_run *run = order_run(order);

    if (run == NULL || run->phase == RUN_RUNNING) {
        return; /* a poll has confirmed it in the meantime */
    }
    switch (status) {
    case CW_TARGET_OK:
    case CW_TARGET_OLD_RUN: /* polls report the run's end */
        start_confirmed(run);
        break;
    case CW_TARGET_UNKNOWN:
        target->start_unanswered = true;
        retry_start(order, run);
        break;
    case CW_TARGET_LATE:
    /* The refusal proves nothing of the worker; a start that was sent again on
     * a new connection may have been carried out before. */
    case CW_TARGET_OTHER_INCARNATION:
        retry_start(order, run);
        break;
    case CW_TARGET_UNREACHABLE: /* nothing was sent */
        cw_count_code(owner->options.counters, CW_RETRY_SILENT);
        avoid(target, AVOID_UNREACHABLE_MS);
        withdraw_run(owner, run);
        break;
    case CW_TARGET_NO_CAPACITY:
        cw_count_code(owner->options.counters, CW_RETRY_REFUSED);
        avoid(target, AVOID_FULL_MS);
        withdraw_run(owner, run);
        break;
    case CW_TARGET_UNHEALTHY:
        cw_count_code(owner->options.counters, CW_RETRY_REFUSED);
        avoid(target, AVOID_UNHEALTHY_MS);
        withdraw_run(owner, run);
        break;
    case CW_TARGET_NO_TICKET:
    case CW_TARGET_INVALID:
        cw_count_code(owner->options.counters, CW_RETRY_REFUSED);
        avoid(target, AVOID_UNHEALTHY_MS);
        withdraw_run(owner, run);
        break;
    default:
        break;
    }
}

/* ---- answers to stops ---- */

static void
stop_answered(struct owner_order *order, enum cw_target_status status,
              struct timespec now)
{
    struct owner_run *run = order_run(order);
    bool confirmed = status == CW_TARGET_OK || status == CW_TARGET_OLD_RUN;

    owner_tombstone_answered(order->target, &order->task, order->run,
                             confirmed, now);
    if (run == NULL) {
        return;
    }
    run->stop_queued = false;
    if (confirmed) {
        run->stop_confirmed = true;
        run->stop_confirmed_at = now;
        order->target->poll_due = now;
    }
    else {
        run->stop_due = cw_time_add_ms(now, STOP_RETRY_MS);
    }
}

/* Logs the answer, and for the start of a run that still exists how long its
 * placement took to be stored, and the start then waited to be sent. */
static void
log_answer(const struct owner_order *order, enum cw_target_status status,
           struct timespec now)
{
    const struct owner_run *run = order_run(order);
    char delays[80] = "";

    if (order->kind == CW_ORDER_START && run != NULL) {
        g_snprintf(delays, sizeof(delays),
                   " store_ms=%" PRId64 " queue_ms=%" PRId64,
                   cw_time_diff_ms(run->created_at, run->durable_at),
                   cw_time_diff_ms(run->durable_at, run->first_sent_at));
    }
    cw_log_info(order->kind == CW_ORDER_START ? "start" : "stop",
                "id=%s task=%u.%u.%u run=%u worker=%s fence=%" PRIu64
                " outcome=%s answer_ms=%" PRId64 "%s",
                order->job, order->task.occurrence, order->task.step,
                order->task.index, order->run, order->target->id,
                order->owner->epoch, cw_target_status_name(status),
                cw_time_diff_ms(order->sent, now), delays);
}

static void
on_answer(void *context, const struct cw_target_answer *answer)
{
    struct owner_order *order = context;
    struct cw_owner *owner = order->owner;
    struct owner_target *target = order->target;
    struct owner_answered_order answered = {
        .kind = order->kind == CW_ORDER_START ? "start" : "stop",
        .sent = order->sent,
        .address_changes = order->address_changes};
    struct timespec now = owner_now(owner);

    if (order->term != owner->term) {
        owner_order_free(order);
        return;
    }
    target->orders_in_flight--;
    owner_target_wake(target);
    cw_count_latency(owner->options.counters, CW_LATENCY_ORDER,
                     cw_time_diff_ms(order->sent, now));
    if (answer->status == CW_TARGET_OK) {
        owner_order_window_answered(&owner->order_window,
                                    cw_time_diff_ms(order->sent, now));
    }
    log_answer(order, answer->status, now);
    owner_target_answered(target, answer->status, now);
    owner_address_answered(target, &answered, answer->status);
    if (order->boot_ms == target->incarnation.boot_ms) {
        owner_target_set_clock(target, answer->clock_ms, now);
    }
    if (answer->status == CW_TARGET_FENCED) {
        owner_order_free(order);
        owner_drop_ownership(owner, "fenced_by_worker");
        return;
    }
    if (answer->status == CW_TARGET_OTHER_INCARNATION &&
        owner_address_refused(target, &answered))
    {
        owner_order_free(order);
        return;
    }
    if (order->kind == CW_ORDER_START) {
        start_answered(order, answer->status);
    }
    else {
        stop_answered(order, answer->status, now);
    }
    owner_order_free(order);
}

/* ---- sending ---- */

/* True if the worker has enough capacity for all its runs and orphans, and its
 * report is reliable.  Since the placement the worker may have shrunk or
 * listed orphans, or the store may have been unavailable. */
static bool
fits_still(const struct owner_target *target, struct timespec now)
{
    struct cw_resources free_capacity = target->capacity;

    owner_resources_subtract(&free_capacity, &target->used);
    owner_resources_subtract(&free_capacity, &target->orphans);
    return free_capacity.cpu_milli >= 0 && free_capacity.memory_mb >= 0 &&
           free_capacity.accelerators >= 0 &&
           owner_target_capacity_known(target, now);
}

/* Returns why the run may not start on its worker any more, or NULL.  Since
 * the placement the worker may have reported another kind, rack or service, or
 * have listed an orphan of the step. */
static const char *
reason_to_disallow(const struct owner_run *run)
{
    const struct owner_step *step = run->task->step;

    if (!owner_step_allows_target(step, run->target)) {
        return "worker";
    }
    return owner_step_exceeds_limit(step, run->target) ? "limit" : NULL;
}

void
owner_start_log_disallowed(const struct owner_run *run, const char *reason)
{
    struct cw_task_name name = owner_task_name(run->task);

    cw_log_info("start_disallowed",
                "id=%s task=%u.%u.%u run=%u worker=%s reason=%s phase=%s",
                name.job, name.occurrence, name.step, name.index, run->number,
                run->target->id, reason, owner_run_phase_name(run->phase));
}

/* Withdraws a run whose start waits to be sent, for the first time or again,
 * to a worker that drains: it would be lost when the worker shuts down.
 * Returns true if the order is to be dropped. */
static bool
withdraw_from_draining(const struct owner_order *order)
{
    struct owner_run *run = order_run(order);

    if (order->kind != CW_ORDER_START || run == NULL || run->stopping ||
        run->phase == RUN_RUNNING || !run->target->draining)
    {
        return false;
    }
    owner_start_log_disallowed(run, "draining");
    withdraw_run(order->owner, run);
    return true;
}

/* False if the order is no longer needed. */
static bool
is_still_needed(struct owner_order *order, struct timespec now)
{
    struct owner_run *run = order_run(order);
    const char *reason;

    if (order->kind == CW_ORDER_STOP) {
        return true; /* the run may be an orphan, unknown to this owner */
    }
    if (run == NULL || run->phase == RUN_RUNNING) {
        /* A slow worker may answer a poll before a start: a run that it has
         * reported is neither sent again nor stopped as unanswered. */
        return false;
    }
    if (run->stopping && run->phase == RUN_READY) {
        owner_run_drop(order->owner, run);
        return false;
    }
    if (run->stopping) {
        return false;
    }
    if (!owner_target_accepts_work(run->target)) {
        owner_cordon_log(order->owner, run, now);
        withdraw_run(order->owner, run);
        return false;
    }
    reason = reason_to_disallow(run);
    if (reason != NULL) {
        owner_start_log_disallowed(run, reason);
        withdraw_run(order->owner, run);
        return false;
    }
    if (!fits_still(run->target, now) ||
        (run->phase == RUN_READY && run->target->unanswered_polls > 0))
    {
        /* The worker would refuse the run, be overloaded, or not answer. */
        withdraw_run(order->owner, run);
        return false;
    }
    return true;
}

/* True if the order is a start that must not be sent yet.
 *
 * A start that was sent before waits until its retry is due, and until an
 * unresponsive worker has answered a poll, as the start may reach another
 * incarnation.  By that incarnation's clock the lease in the start could last
 * longer than this owner assumes, and the task would be started elsewhere at
 * the same time.  The start of an at-most-once job always waits for a poll, as
 * the former incarnation may have begun the job.  A worker that has reported
 * another incarnation has to answer a poll first as well.
 *
 * No start is sent while operators may have commanded cordons, or callers
 * cancellations, that this owner has not read, or if the worker's clock was
 * not read recently, as the lease is computed from it.
 *
 * A start extends the lease, so a worker that answers again gets none until
 * the removal of its lease note is stored and its tombstones are resolved. */
static bool
must_wait(const struct owner_order *order, struct timespec now,
          struct timespec *next)
{
    struct owner_target *target = order->target;
    const struct owner_run *run = order_run(order);

    if (order->kind != CW_ORDER_START || run == NULL || run->stopping) {
        return false;
    }
    if (!owner_cordons_known(target->owner, now, next) ||
        !owner_cancels_known(target->owner, now, next))
    {
        return true;
    }
    if ((target->lease_note != OWNER_LEASE_NOTE_NONE ||
         owner_tombstone_pending(target)) &&
        target->unanswered_polls == 0)
    {
        return true;
    }
    if (!owner_lease_clock_is_fresh(target, now) &&
        target->unanswered_polls == 0) {
        cw_time_set_earlier(&target->poll_due, now);
        return true;
    }
    if ((owner_incarnation_unknown(target) ||
         !owner_lease_may_be_granted(target, now)) &&
        target->unanswered_polls == 0)
    {
        return true;
    }
    if (run->phase != RUN_STARTING) {
        return false;
    }
    if (cw_time_before(now, order->due)) {
        cw_time_set_earlier(next, order->due);
        return true;
    }
    return target->unanswered_polls > 0 ||
           (owner_task_job(run->task)->spec->once &&
            !cw_time_before(run->sent_at, target->answered_poll_sent_at));
}

/* End of the lease to send with a start.  A start that is sent again grants
 * the same lease as the first, unless it may reach another incarnation. */
static int64_t
start_lease_until_ms(struct owner_target *target, const struct owner_run *run,
                     struct timespec now)
{
    if (run->unanswered > 0 && target->incarnation.boot_ms == 0 &&
        target->incarnation.lease_sent_ms > 0)
    {
        return target->incarnation.lease_sent_ms;
    }
    return owner_lease_grant(target, CW_ORDER_START, now);
}

static void
send_order(struct cw_owner *owner, struct owner_order *order,
           struct timespec now)
{
    struct owner_target *target = order->target;
    struct owner_run *run = order_run(order);
    struct cw_target_order out = {
        .kind = order->kind,
        .address = target->address,
        .id = target->id,
        .fence = owner->epoch,
        .task = order->task,
        .run = order->run,
        .timeout_ms = ORDER_TIMEOUT_MS,
        .done = on_answer,
        .context = order,
    };

    if (order->kind == CW_ORDER_START) {
        out.lease_until_ms = start_lease_until_ms(target, run, now);
        out.payload = owner_task_job(run->task)->spec->payload;
        out.saved = run->task->saved;
        if (run->phase == RUN_READY) {
            run->first_sent_at = now;
        }
        run->phase = RUN_STARTING;
        run->boot_ms = target->incarnation.boot_ms;
        run->sent_at = now;
        run->starts_sent++;
        cw_count_add(owner->options.counters, CW_COUNT_STARTS, 1);
        cw_time_set_earlier(&target->poll_due, now);
    }
    order->boot_ms = target->incarnation.boot_ms;
    order->address_changes = target->address_changes;
    target->orders_in_flight++;
    order->sent = now;
    owner->options.targets->ops->order(owner->options.targets, &out);
}

/* Retries failed stops that are due; returns when the next one is due. */
static struct timespec
retry_stops(struct cw_owner *owner, struct owner_target *target,
            struct timespec now)
{
    struct timespec next = cw_time_from_ms(INT32_MAX);

    for (guint i = 0; target->stopping > 0 && i < target->runs->len; i++) {
        struct owner_run *run = target->runs->pdata[i];

        if (run->phase < RUN_STARTING || !run->stopping || run->stop_queued ||
            run->stop_confirmed)
        {
            continue;
        }
        if (cw_time_before(now, run->stop_due)) {
            cw_time_set_earlier(&next, run->stop_due);
        }
        else {
            owner_run_stop(owner, run);
        }
    }
    return next;
}

/* Drops an order to a worker without a usable address.  A stop is retried
 * later: a new owner may have read a run before the report of its worker. */
static void
drop_undeliverable(struct owner_order *order, struct timespec now)
{
    struct owner_run *run = order_run(order);

    if (order->kind == CW_ORDER_STOP && run != NULL) {
        run->stop_queued = false;
        run->stop_due = cw_time_add_ms(now, STOP_RETRY_MS);
    }
    owner_order_free(order);
}

/* Number of orders that may be in flight to one worker. */
static unsigned
orders_in_flight_max(const struct cw_owner *owner)
{
    unsigned targets = MAX(1, g_hash_table_size(owner->targets));

    if (owner->options.connections_max == 0) {
        return ORDERS_IN_FLIGHT_MAX;
    }
    return CLAMP(owner->options.connections_max / targets, POLLS_IN_FLIGHT + 1,
                 POLLS_IN_FLIGHT + ORDERS_IN_FLIGHT_MAX) -
           POLLS_IN_FLIGHT;
}

struct timespec
owner_orders_send(struct cw_owner *owner, struct owner_target *target,
                  struct timespec now)
{
    struct timespec next = retry_stops(owner, target, now);
    struct timespec tombstone = owner_tombstone_tick(target, now);
    unsigned in_flight_max = orders_in_flight_max(owner);
    GQueue waiting = G_QUEUE_INIT;

    cw_time_set_earlier(&next, tombstone);
    while (target->orders_in_flight < in_flight_max &&
           !g_queue_is_empty(&target->orders) && owner_may_order(owner, now))
    {
        struct owner_order *order = g_queue_pop_head(&target->orders);

        /* What such a start waits for does not matter. */
        if (withdraw_from_draining(order)) {
            owner_order_free(order);
            continue;
        }
        if (must_wait(order, now, &next)) {
            /* Orders behind it need not wait: a start that was never sent to
             * an unresponsive worker is placed elsewhere. */
            g_queue_push_tail(&waiting, order);
            continue;
        }
        if (target->superseded || target->address[0] == '\0') {
            drop_undeliverable(order, now);
            continue;
        }
        if (!is_still_needed(order, now)) {
            owner_order_free(order);
            continue;
        }
        send_order(owner, order, now);
    }
    while (!g_queue_is_empty(&waiting)) {
        g_queue_push_head(&target->orders, g_queue_pop_tail(&waiting));
    }
    return next;
}

/* Starts and stops on their way to the workers. */
#include "owner/internal/owner_private.h"

#include <string.h>

enum {
    /* Two at a time: a lost answer does not hold up the rest, and a worker
     * sees few connections.  One where two, beside the one for looks, are
     * more connections than the VM can keep: it would make new ones all the
     * time and have no processor left for anything else. */
    ORDERS_IN_FLIGHT = 2,
    LOOKS_IN_FLIGHT = 1,
    /* An order takes some ms, up to a quarter second from a busy VM.  Sent
     * again it does no harm, and a gang waits for its last member. */
    ORDER_TIMEOUT_MS = 500,
    STARTS_UNANSWERED = 4,
    /* A connection that is reset fails within a millisecond, and a worker that
     * resets one resets all for a while.  So tries begin no earlier than 0.1,
     * 0.35 and 0.9 s after the first: withdrawing the run costs its gang as
     * much, as the others have to be stopped first. */
    FIRST_PAUSE_MS = 100,
    SECOND_PAUSE_MS = 250,
    THIRD_PAUSE_MS = 550,
    /* A refused connection fails at once. */
    STOP_RETRY_MS = 300,
    /* Until the next look, of about a second, has shown whether it answers. */
    AVOID_UNANSWERED_MS = 1500,
    AVOID_FULL_MS = 300,
    AVOID_UNHEALTHY_MS = 1500,
    /* A connection could not be made in time: the next look at the worker,
     * which is under way by then, decides what follows. */
    AVOID_UNREACHABLE_MS = 2000
};

void
owner_order_free(struct owner_order *order)
{
    order->owner->order_window.in_flight--;
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
    owner->order_window.in_flight++;
    owner_target_wake(target);
    /* Stops free the room that starts wait for. */
    if (kind == CW_ORDER_STOP) {
        g_queue_push_head(&target->orders, order);
    }
    else {
        g_queue_push_tail(&target->orders, order);
    }
}

/* The run that an order is about, or NULL if it is no longer there. */
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

/* The worker did not take the run.  An earlier attempt without an answer may
 * still be carried out: then the run has to be stopped there first. */
static void
fall_back(struct cw_owner *owner, struct owner_run *run)
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

/* From one try to the next; a time-out is longer than most. */
static int64_t
pause_ms(unsigned unanswered)
{
    static const int pauses_ms[STARTS_UNANSWERED] = {
        0, FIRST_PAUSE_MS, SECOND_PAUSE_MS, THIRD_PAUSE_MS};

    return pauses_ms[MIN(unanswered, STARTS_UNANSWERED - 1)];
}

static void
start_again(struct owner_order *order, struct owner_run *run)
{
    struct cw_owner *owner = order->owner;
    struct owner_order *again;

    run->unanswered++;
    cw_count_code(owner->options.counters, CW_RETRY_SILENT);
    avoid(order->target, AVOID_UNANSWERED_MS);
    cw_time_earlier(&order->target->poll_due, owner_now(owner));
    if (run->unanswered < STARTS_UNANSWERED && !run->stopping) {
        owner_order_queue(owner, order->target, CW_ORDER_START, &order->task,
                          order->run);
        again = g_queue_peek_tail(&order->target->orders);
        again->due = cw_time_add_ms(order->sent, pause_ms(run->unanswered));
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
        return; /* listed meanwhile: it needs no answer any more */
    }
    switch (status) {
    case CW_TARGET_OK:
    case CW_TARGET_OLD_RUN: /* it ran, or was stopped: its end is listed */
        start_confirmed(run);
        break;
    case CW_TARGET_LATE:
    case CW_TARGET_UNKNOWN:
        start_again(order, run);
        break;
    case CW_TARGET_UNREACHABLE: /* it never left this VM */
        cw_count_code(owner->options.counters, CW_RETRY_SILENT);
        avoid(target, AVOID_UNREACHABLE_MS);
        fall_back(owner, run);
        break;
    case CW_TARGET_NO_CAPACITY:
        cw_count_code(owner->options.counters, CW_RETRY_REFUSED);
        avoid(target, AVOID_FULL_MS);
        fall_back(owner, run);
        break;
    case CW_TARGET_UNHEALTHY:
        cw_count_code(owner->options.counters, CW_RETRY_REFUSED);
        avoid(target, AVOID_UNHEALTHY_MS);
        fall_back(owner, run);
        break;
    case CW_TARGET_NO_TICKET:
    case CW_TARGET_INVALID:
        cw_count_code(owner->options.counters, CW_RETRY_REFUSED);
        avoid(target, AVOID_UNHEALTHY_MS);
        fall_back(owner, run);
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

static void
log_answer(const struct owner_order *order, enum cw_target_status status)
{
    cw_log_info(order->kind == CW_ORDER_START ? "start" : "stop",
                "id=%s task=%u.%u.%u run=%u worker=%s fence=%" PRIu64
                " outcome=%s",
                order->job, order->task.occurrence, order->task.step,
                order->task.index, order->run, order->target->id,
                order->owner->epoch, cw_target_status_name(status));
}

static void
on_answer(void *context, const struct cw_target_answer *answer)
{
    struct owner_order *order = context;
    struct cw_owner *owner = order->owner;
    struct owner_target *target = order->target;
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
    log_answer(order, answer->status);
    owner_target_set_clock(target, answer->clock_ms, now);
    if (answer->status == CW_TARGET_FENCED) {
        owner_order_free(order);
        owner_drop_ownership(owner, "fenced_by_worker");
        return;
    }
    if (answer->status == CW_TARGET_OTHER_INCARNATION) {
        target->superseded = true;
        owner_target_lost(owner, target, "other_life");
    }
    else if (order->kind == CW_ORDER_START) {
        start_answered(order, answer->status);
    }
    else {
        stop_answered(order, answer->status, now);
    }
    owner_order_free(order);
}

/* ---- sending ---- */

/* True if the worker has room for what is there and what was decided.  It may
 * have shrunk since, or the store may have been away in between. */
static bool
has_room_still(const struct owner_target *target, struct timespec now)
{
    struct cw_resources room = target->capacity;

    owner_resources_subtract(&room, &target->used);
    return room.cpu_milli >= 0 && room.memory_mb >= 0 &&
           room.accelerators >= 0 && owner_target_capacity_known(target, now);
}

/* False if there is no more need for the order. */
static bool
still_wanted(struct owner_order *order, struct timespec now)
{
    struct owner_run *run = order_run(order);

    if (order->kind == CW_ORDER_STOP) {
        return true; /* orphans have no run here */
    }
    if (run == NULL || run->phase == RUN_RUNNING) {
        /* A worker that is late answers looks before it answers starts: what
         * it lists is not sent again, nor stopped as unanswered. */
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
        fall_back(order->owner, run);
        return false;
    }
    if (!has_room_still(run->target, now) ||
        (run->phase == RUN_READY && run->target->unanswered_polls > 0))
    {
        /* It would be refused, or would crowd the worker, or wait there. */
        fall_back(order->owner, run);
        return false;
    }
    return true;
}

/* True if the order is a start that was sent before and is not due again, or
 * waits for a look to be answered first: which life would get it?
 *
 * A worker that has gone silent since may be another by now; by its clock the
 * lease that the start carries could last for longer than is known here, and
 * the task would be started elsewhere beside it.  Work that must not be begun
 * twice waits in any case: the former life may have begun it.
 *
 * None is sent while cordons may have been ordered that are not known here,
 * nor before the worker's clock was read lately: the lease is given by that.
 *
 * One that answers again gets no start, as that extends its lease, until its
 * note is known to be dropped, and what may still arrive there is shut out. */
static bool
waits(const struct owner_order *order, struct timespec now,
      struct timespec *next)
{
    struct owner_target *target = order->target;
    const struct owner_run *run = order_run(order);

    if (order->kind != CW_ORDER_START || run == NULL || run->stopping) {
        return false;
    }
    if (!owner_cordons_known(target->owner, now, next)) {
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
        cw_time_earlier(&target->poll_due, now);
        return true;
    }
    if (run->phase != RUN_STARTING) {
        return false;
    }
    if (cw_time_before(now, order->due)) {
        cw_time_earlier(next, order->due);
        return true;
    }
    return target->unanswered_polls > 0 ||
           (owner_task_job(run->task)->spec->once &&
            !cw_time_before(run->sent_at, target->answered_poll_sent_at));
}

/* End of lease to send with a start.  One that is sent again gives what the
 * first gave, unless it may meet another life. */
static int64_t
start_lease(struct owner_target *target, const struct owner_run *run,
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
        out.lease_until_ms = start_lease(target, run, now);
        out.payload = owner_task_job(run->task)->spec->payload;
        out.saved = run->task->saved;
        run->phase = RUN_STARTING;
        run->boot_ms = target->incarnation.boot_ms;
        run->sent_at = now;
        cw_count_add(owner->options.counters, CW_COUNT_STARTS, 1);
        cw_time_earlier(&target->poll_due, now);
    }
    target->orders_in_flight++;
    order->sent = now;
    owner->options.targets->ops->order(owner->options.targets, &out);
}

/* Stops that failed are tried again; returns when the next one is due. */
static struct timespec
stop_again(struct cw_owner *owner, struct owner_target *target,
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
            cw_time_earlier(&next, run->stop_due);
        }
        else {
            owner_run_stop(owner, run);
        }
    }
    return next;
}

/* There is no way to the worker.  A stop is wanted all the same, once there
 * is: a new owner may know a run before the store lists its worker. */
static void
drop_unsent(struct owner_order *order, struct timespec now)
{
    struct owner_run *run = order_run(order);

    if (order->kind == CW_ORDER_STOP && run != NULL) {
        run->stop_queued = false;
        run->stop_due = cw_time_add_ms(now, STOP_RETRY_MS);
    }
    owner_order_free(order);
}

/* Orders that may be under way to one worker. */
static unsigned
orders_at_once(const struct cw_owner *owner)
{
    unsigned targets = MAX(1, g_hash_table_size(owner->targets));

    if (owner->options.connections_max == 0) {
        return ORDERS_IN_FLIGHT;
    }
    return CLAMP(owner->options.connections_max / targets, LOOKS_IN_FLIGHT + 1,
                 LOOKS_IN_FLIGHT + ORDERS_IN_FLIGHT) -
           LOOKS_IN_FLIGHT;
}

struct timespec
owner_orders_send(struct cw_owner *owner, struct owner_target *target,
                  struct timespec now)
{
    struct timespec next = stop_again(owner, target, now);
    struct timespec tombstone = owner_tombstone_tick(target, now);
    unsigned most = orders_at_once(owner);
    GQueue waiting = G_QUEUE_INIT;

    cw_time_earlier(&next, tombstone);
    while (target->orders_in_flight < most &&
           !g_queue_is_empty(&target->orders) && owner_may_order(owner, now))
    {
        struct owner_order *order = g_queue_pop_head(&target->orders);

        if (waits(order, now, &next)) {
            /* What is behind it need not: one that was never sent to a silent
             * worker goes elsewhere. */
            g_queue_push_tail(&waiting, order);
            continue;
        }
        if (target->superseded || target->address[0] == '\0') {
            drop_unsent(order, now);
            continue;
        }
        if (!still_wanted(order, now)) {
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

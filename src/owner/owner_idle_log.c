/* Log lines about idle jobs.
 *
 * Readers often get only the first 200 characters of a line, so the fields
 * that tell what a job waits for come first: the worker of its first run, or
 * what keeps a job without runs from spare capacity. */
#include "owner/internal/owner_idle_log.h"

#include "owner/internal/owner_crashes.h"
#include "owner/internal/owner_placement.h"

enum { PERCENT = 100 };

static const char *
cause_name(enum owner_idle_cause cause)
{
    static const char *const names[] = {
        [OWNER_IDLE_NONE] = "",
        [OWNER_IDLE_MOVED] = "moved",
        [OWNER_IDLE_STALLED] = "stalled",
        [OWNER_IDLE_DRAINED] = "evacuated",
        [OWNER_IDLE_UNANSWERED] = "unanswered",
        [OWNER_IDLE_PREEMPTED] = "reclaimed",
        [OWNER_IDLE_LOST] = "lost",
        [OWNER_IDLE_FAILED] = "failed",
    };

    return names[cause];
}

const char *
cw_owner_refusal_name(enum cw_owner_refusal refusal)
{
    static const char *const names[] = {
        [CW_OWNER_REFUSAL_UNKNOWN] = "unknown",
        [CW_OWNER_REFUSAL_NO_ROOM] = "no_room",
        [CW_OWNER_REFUSAL_ONCE] = "once",
        [CW_OWNER_REFUSAL_BOOKED] = "booked",
        [CW_OWNER_REFUSAL_AVOIDED] = "avoided",
        [CW_OWNER_REFUSAL_RACK] = "rack",
        [CW_OWNER_REFUSAL_URGENT] = "urgent",
        [CW_OWNER_REFUSAL_ONE_RACK] = "one_rack",
        [CW_OWNER_REFUSAL_FREE] = "free",
    };

    return names[refusal];
}

/* Returns the log fields for how long the job may have been idle before this
 * owner's takeover: since it was accepted, unless it has begun.  Owned by the
 * caller. */
static char *
describe_age(const struct cw_owner *owner, const struct owner_job *job,
             struct timespec now)
{
    return g_strdup_printf("since_takeover=%d begun=%d age_ms=%" PRId64
                           " owner_ms=%" PRId64,
                           job->idle.since_takeover, job->start_confirmed,
                           cw_time_diff_ms(job->known_at, now),
                           cw_time_diff_ms(owner->takeover_began_at, now));
}

static const struct owner_run *
first_run(const struct owner_step *step)
{
    for (unsigned i = 0; i < step->count; i++) {
        if (step->tasks[i].run != NULL) {
            return step->tasks[i].run;
        }
    }
    return NULL;
}

/* Returns why the step does not run according to the owner's state. */
static const char *
reason_of(const struct cw_owner *owner, const struct owner_step *step,
          const struct owner_run *run, struct timespec now)
{
    if (run != NULL) {
        return owner_run_phase_name(run->phase);
    }
    if (owner_gang_ends_delay(step, now)) {
        return "unheard_end";
    }
    if (owner_step_is_delayed(step, now)) {
        return "suspect";
    }
    return owner_at_most_once_may_start(owner, step) ? "no_place" : "once";
}

/* Returns the log fields for the worker that a job waits for; NULL: none.
 * Owned by the caller. */
static char *
describe_worker(const struct owner_target *target, struct timespec now)
{
    char *lease;
    char *text;

    if (target == NULL) {
        return g_strdup("worker=");
    }
    lease = owner_target_describe_lease(target, now);
    text = g_strdup_printf("worker=%s silent=%u lease_left_ms=%" PRId64
                           " %s heard_ms=%" PRId64,
                           target->id, target->unanswered_polls,
                           cw_time_diff_ms(now, owner_lease_last_end(target)),
                           lease, owner_target_since_answer_ms(target, now));
    g_free(lease);
    return text;
}

/* Returns the log fields for what keeps the step from spare capacity.  Owned
 * by the caller. */
static char *
describe_room(const struct owner_step *step, const struct owner_spare_fit *fit)
{
    const char *kind = "";

    if (step->spec->gang) {
        kind = step->spec->same_rack == CW_SAME_RACK_ANY        ? ",gang"
               : step->spec->same_rack == CW_SAME_RACK_REQUIRED ? ",rack_only"
                                                                : ",rack";
    }
    return g_strdup_printf("refused=%s unit=%u%s fits=%u best_rack=%u",
                           cw_owner_refusal_name(fit->refusal), fit->together,
                           kind, fit->tasks, fit->best_rack);
}

/* Returns both, in the order in which they matter.  Owned by the caller. */
static char *
describe_cause(const struct owner_step *step, const struct owner_run *run,
               const struct owner_spare_fit *fit, struct timespec now)
{
    char *worker = describe_worker(run != NULL ? run->target : NULL, now);
    char *room = describe_room(step, fit);
    char *text = run != NULL ? g_strdup_printf("%s %s", worker, room)
                             : g_strdup_printf("%s %s", room, worker);

    g_free(room);
    g_free(worker);
    return text;
}

/* Returns the log fields for the blockers of spare capacity, and for the
 * step's tasks.  Owned by the caller. */
static char *
describe_step(const struct owner_waiting *waiting,
              const struct owner_spare_fit *fit)
{
    const struct owner_step *step = waiting->step;

    return g_strdup_printf(
        "booked=%u avoided=%u rack=%u urgent=%u step=%u.%u left=%u "
        "runs=%u",
        fit->by_blocker[OWNER_BLOCKER_UNCONFIRMED],
        fit->by_blocker[OWNER_BLOCKER_AVOIDED],
        fit->by_blocker[OWNER_BLOCKER_RACK],
        fit->by_blocker[OWNER_BLOCKER_HEADROOM], step->occurrence->number,
        step->number, step->left, step->runs);
}

void
owner_idle_log_waits(struct cw_owner *owner,
                     const struct owner_waiting *waiting,
                     const struct owner_spare_fit *fit, struct timespec now)
{
    const struct owner_step *step = waiting->step;
    struct owner_job *job = step->occurrence->job;
    const struct owner_run *run = first_run(step);
    char *cause = describe_cause(step, run, fit, now);
    char *about_step = describe_step(waiting, fit);
    char *age = describe_age(owner, job, now);

    job->idle.logged_at = now;
    job->idle.refusal = fit->refusal;
    cw_log_warning(
        "job_waits",
        "id=%s waits_ms=%" PRId64 " room_ms=%" PRId64
        " reason=%s %s overdue=%d store_ms=%" PRId64 " after=%s %s"
        " stopping=%d unanswered=%u %s orders=%u most=%u",
        job->spec->id, waiting->waited_ms,
        cw_idle_free_ms(&job->idle.clock, now),
        reason_of(owner, step, run, now), cause,
        cw_idle_is_overdue(&job->idle.clock, now),
        owner_append_unstored_ms(owner, now), cause_name(job->idle.cause),
        about_step, run != NULL && run->stopping,
        run != NULL ? run->unanswered : 0, age,
        owner->order_window.outstanding, owner->order_window.max_outstanding);
    g_free(age);
    g_free(about_step);
    g_free(cause);
}

static int64_t
percent_of(int64_t part, int64_t whole)
{
    return whole > 0 ? part * PERCENT / whole : 0;
}

void
owner_idle_log_full(struct cw_owner *owner,
                    const struct owner_waiting *waiting,
                    const struct owner_spare_fit *fit,
                    const struct owner_service_load *load, unsigned jobs,
                    struct timespec now)
{
    const struct owner_step *step = waiting->step;
    struct owner_job *job = step->occurrence->job;
    const struct owner_run *run = first_run(step);
    char *cause = describe_cause(step, run, fit, now);
    char *about_step = describe_step(waiting, fit);
    char *age = describe_age(owner, job, now);

    job->idle.full_logged_at = now;
    job->idle.refusal = fit->refusal;
    cw_log_info(
        "job_waits_full",
        "id=%s waits_ms=%" PRId64 " reason=%s %s used=%" PRId64 ",%" PRId64
        ",%" PRId64
        " silent_workers=%u draining_workers=%u workers=%u store_ms=%" PRId64
        " %s after=%s %s jobs=%u orders=%u most=%u",
        job->spec->id, waiting->waited_ms, reason_of(owner, step, run, now),
        cause,
        percent_of(load->used.accelerators, load->capacity.accelerators),
        percent_of(load->used.cpu_milli, load->capacity.cpu_milli),
        percent_of(load->used.memory_mb, load->capacity.memory_mb),
        load->silent, load->draining, load->workers,
        owner_append_unstored_ms(owner, now), about_step,
        cause_name(job->idle.cause), age, jobs,
        owner->order_window.outstanding, owner->order_window.max_outstanding);
    g_free(age);
    g_free(about_step);
    g_free(cause);
}

/* Returns the run whose worker's lease ends first: the job's first task that
 * may start elsewhere. */
static const struct owner_run *
first_to_expire(const GPtrArray *runs)
{
    const struct owner_run *first = runs->pdata[0];

    for (guint i = 1; i < runs->len; i++) {
        const struct owner_run *run = runs->pdata[i];

        if (cw_time_before(owner_lease_last_end(run->target),
                           owner_lease_last_end(first->target)))
        {
            first = run;
        }
    }
    return first;
}

void
owner_idle_log_inherited(struct cw_owner *owner, const struct owner_job *job,
                         const GPtrArray *inherited, struct timespec now)
{
    const struct owner_run *run = first_to_expire(inherited);
    char *worker = describe_worker(run->target, now);
    char *age = describe_age(owner, job, now);

    cw_log_info("job_waits_inherited",
                "id=%s waits_ms=%" PRId64 " unsure=%u runs=%u %s "
                "listed=%d %s",
                job->spec->id, cw_time_diff_ms(job->idle.clock.since, now),
                inherited->len, job->runs, worker, run->target->listed, age);
    g_free(age);
    g_free(worker);
}

void
owner_idle_log_urgent(const struct cw_owner *owner,
                      const struct owner_waiting *waiting, struct timespec now)
{
    const struct owner_step *step = waiting->step;
    const struct owner_job *job = step->occurrence->job;
    const struct cw_account *account =
        owner->routing != NULL
            ? cw_routing_account_by_name(owner->routing, job->spec->account)
            : NULL;

    cw_log_info(
        "urgent_waits",
        "id=%s waits_ms=%" PRId64 " reason=%s account=%s demand=%zu"
        " guaranteed=%u tasks=%u accelerators=%u age_ms=%" PRId64
        " store_ms=%" PRId64 " orders=%u most=%u",
        job->spec->id, waiting->waited_ms,
        reason_of(owner, step, first_run(step), now), job->spec->account,
        GPOINTER_TO_SIZE(
            g_hash_table_lookup(owner->demand, job->spec->account)),
        account != NULL ? account->guaranteed_accelerators : 0, step->count,
        step->spec->accelerators, cw_time_diff_ms(job->known_at, now),
        owner_append_unstored_ms(owner, now), owner->order_window.outstanding,
        owner->order_window.max_outstanding);
}

void
owner_idle_log_resumed(const struct owner_job *job, struct timespec now)
{
    cw_log_info("job_resumed",
                "id=%s idle_ms=%" PRId64 " room_ms=%" PRId64
                " refused=%s after=%s runs=%u since_takeover=%d",
                job->spec->id, cw_time_diff_ms(job->idle.clock.since, now),
                cw_idle_free_ms(&job->idle.clock, now),
                cw_owner_refusal_name(job->idle.refusal),
                cause_name(job->idle.cause), job->runs,
                job->idle.since_takeover);
}

/* Headroom: capacity that is reserved for urgent work.
 *
 * Urgent tasks last seconds, and waiting until other runs have been stopped
 * takes as long as their objective allows.  So lower-priority work is packed
 * onto as few workers as it needs, and its number of workers is limited so
 * that there is free capacity for the urgent work of the recent past and for
 * the urgent work that may arrive before other runs can be stopped.
 *
 * src/placement/headroom.c forecasts how much that is. */
#include "owner/internal/owner_placement.h"

#include <string.h>

enum {
    /* If less than this percentage of the accelerators is in use, headroom
     * does not apply to a job that has no run and has waited for
     * EXEMPT_AFTER_MS. */
    MOSTLY_IDLE_BELOW_PERCENT = 60,
    EXEMPT_AFTER_MS = 1500,
    /* Without new jobs for this long, a service is no longer busy, however
     * much it still has to do. */
    ARRIVALS_PAUSE_MS = 5000,
    PERCENT = 100
};

/* Totals over a service's workers. */
struct service_totals {
    struct owner_headroom *headroom;
    unsigned workers;
    unsigned lower_priority_workers; /* those with lower-priority runs */
    int64_t accelerators;
    int64_t urgent;   /* accelerators that urgent runs use */
    int64_t used;     /* accelerators that all runs use */
    int64_t stopping; /* those of `used` that belong to stopping runs */
    int64_t headroom_borrowed; /* accelerators of runs that borrow headroom */
};

static struct owner_headroom *
headroom_of(struct cw_owner *owner, const char *service)
{
    struct owner_headroom *headroom =
        g_hash_table_lookup(owner->headroom, service);

    if (headroom == NULL) {
        headroom = g_new0(struct owner_headroom, 1);
        cw_headroom_init(&headroom->forecast, owner_now(owner));
        g_hash_table_insert(owner->headroom, g_strdup(service), headroom);
    }
    return headroom;
}

static void
service_totals_add(struct service_totals *totals,
                   const struct owner_target *target)
{
    totals->workers++;
    totals->accelerators += target->capacity.accelerators;
    totals->lower_priority_workers += target->lower_priority_runs > 0;
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        totals->used += run->task->step->spec->accelerators;
        if (run->stopping) {
            totals->stopping += run->task->step->spec->accelerators;
        }
        else if (run->headroom_borrowed) {
            totals->headroom_borrowed += run->task->step->spec->accelerators;
        }
        if (owner_task_job(run->task)->spec->priority == 0) {
            totals->urgent += run->task->step->spec->accelerators;
        }
    }
}

/* Returns how many workers no guarantee covers: lower-priority work may use
 * these whatever urgent work requests. */
static unsigned
unguaranteed_workers(const struct cw_owner *owner,
                     const struct service_totals *totals, double per_worker)
{
    double guaranteed = 0;

    for (guint i = 0;
         owner->routing != NULL && i < owner->routing->accounts->len; i++)
    {
        const struct cw_account *account = owner->routing->accounts->pdata[i];

        guaranteed += account->guaranteed_accelerators;
    }
    guaranteed /= per_worker;
    return guaranteed < totals->workers
               ? totals->workers - (unsigned)guaranteed
               : 0;
}

/* Sets how many workers may have lower-priority runs. */
static void
set_limit(const struct cw_owner *owner, const struct service_totals *totals,
          struct timespec now)
{
    struct owner_headroom *headroom = totals->headroom;
    double per_worker = (double)totals->accelerators / MAX(1, totals->workers);
    double reserved;

    cw_headroom_observe(&headroom->forecast, (double)totals->urgent, now);
    headroom->lower_priority_workers = totals->lower_priority_workers;
    headroom->free = totals->accelerators - totals->used + totals->stopping;
    headroom->headroom_borrowed = totals->headroom_borrowed;
    headroom->mostly_idle = totals->used * PERCENT <
                            totals->accelerators * MOSTLY_IDLE_BELOW_PERCENT;
    if (per_worker <= 0) {
        headroom->max_lower_priority_workers =
            totals->workers; /* no accelerators to reserve */
        return;
    }
    reserved = cw_headroom_reserved(&headroom->forecast) / per_worker;
    headroom->max_lower_priority_workers =
        reserved < totals->workers ? totals->workers - (unsigned)reserved : 0;
    headroom->max_lower_priority_workers =
        MAX(headroom->max_lower_priority_workers,
            unguaranteed_workers(owner, totals, per_worker));
}

void
owner_headroom_job_arrived(struct cw_owner *owner, const struct owner_job *job,
                           struct timespec at)
{
    struct owner_headroom *headroom = headroom_of(owner, job->spec->service);

    if (cw_time_before(headroom->job_arrived_at, at)) {
        headroom->job_arrived_at = at;
    }
}

void
owner_headroom_job_accepted(struct cw_owner *owner,
                            const struct owner_job *job)
{
    struct owner_headroom *headroom = headroom_of(owner, job->spec->service);

    if (job->spec->priority != 0) {
        return;
    }
    for (u_int i = 0; i < job->spec->steps.steps_len; i++) {
        const struct cw_step_spec *step = &job->spec->steps.steps_val[i];

        cw_headroom_arrived(&headroom->forecast,
                            (double)step->tasks * step->accelerators);
    }
}

static bool
is_busy(const struct owner_headroom *headroom, struct timespec now)
{
    return !headroom->mostly_idle &&
           cw_time_diff_ms(headroom->job_arrived_at, now) < ARRIVALS_PAUSE_MS;
}

bool
owner_service_is_busy(const struct cw_owner *owner, const char *service,
                      struct timespec now)
{
    const struct owner_headroom *headroom =
        g_hash_table_lookup(owner->headroom, service);

    return headroom != NULL && is_busy(headroom, now);
}

bool
owner_any_service_is_busy(const struct cw_owner *owner, struct timespec now)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->headroom);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (is_busy(value, now)) {
            return true;
        }
    }
    return false;
}

static bool
accepts_work(const struct owner_target *target)
{
    return target->listed && !target->draining && !target->superseded &&
           owner_target_accepts_work(target);
}

void
owner_headroom_update(struct cw_owner *owner, struct timespec now)
{
    GHashTable *services = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct owner_target *target = value;
        struct service_totals *totals;

        if (!accepts_work(target)) {
            continue;
        }
        totals = g_hash_table_lookup(services, target->service);
        if (totals == NULL) {
            totals = g_new0(struct service_totals, 1);
            totals->headroom = headroom_of(owner, target->service);
            g_hash_table_insert(services, (gpointer)target->service, totals);
        }
        service_totals_add(totals, target);
    }
    g_hash_table_iter_init(&iterator, services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        set_limit(owner, value, now);
    }
    g_hash_table_unref(services);
}

bool
owner_headroom_allows(struct cw_owner *owner, const struct owner_step *step,
                      const struct owner_target *target, struct timespec now)
{
    return target->lower_priority_runs > 0 ||
           owner_headroom_workers_left(owner, step, target->service, now) > 0;
}

bool
owner_headroom_exempts(struct cw_owner *owner, const struct owner_step *step,
                       struct timespec now)
{
    const struct owner_job *job = step->occurrence->job;

    return job->runs == 0 &&
           cw_time_diff_ms(step->ready_at, now) > EXEMPT_AFTER_MS &&
           headroom_of(owner, job->spec->service)->mostly_idle;
}

unsigned
owner_headroom_workers_left(struct cw_owner *owner,
                            const struct owner_step *step, const char *service,
                            struct timespec now)
{
    const struct owner_headroom *headroom = headroom_of(owner, service);

    if (owner_headroom_exempts(owner, step, now)) {
        return G_MAXUINT;
    }
    return headroom->lower_priority_workers <
                   headroom->max_lower_priority_workers
               ? headroom->max_lower_priority_workers -
                     headroom->lower_priority_workers
               : 0;
}

void
owner_headroom_borrowed(struct cw_owner *owner, const struct owner_run *run)
{
    struct owner_headroom *headroom = headroom_of(owner, run->target->service);

    headroom->headroom_borrowed += run->task->step->spec->accelerators;
    headroom->free -= run->task->step->spec->accelerators;
}

void
owner_headroom_returned(struct cw_owner *owner, const struct owner_run *run)
{
    struct owner_headroom *headroom = headroom_of(owner, run->target->service);

    headroom->headroom_borrowed -= run->task->step->spec->accelerators;
    headroom->free += run->task->step->spec->accelerators;
}

int64_t
owner_headroom_shortage(struct cw_owner *owner, const char *service)
{
    const struct owner_headroom *headroom = headroom_of(owner, service);

    return (int64_t)cw_headroom_expected_arrivals(&headroom->forecast) -
           headroom->free;
}

void
owner_headroom_worker_taken(struct cw_owner *owner,
                            const struct owner_target *target)
{
    if (target->lower_priority_runs == 1) {
        headroom_of(owner, target->service)->lower_priority_workers++;
    }
}

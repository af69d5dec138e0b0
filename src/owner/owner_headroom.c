/* Room kept for urgent work.
 *
 * Urgent tasks last seconds; waiting until others have left their place
 * costs as much as the objective allows.  So lower work is packed onto as
 * few workers as it needs, and onto no more than leave room for what urgent
 * work took lately and for what may arrive before a place can be freed.
 *
 * How much that is, src/placement/headroom.c forecasts. */
#include "owner/internal/owner_placement.h"

#include <string.h>

enum {
    /* Below this use of the accelerators nothing is kept free from a job
     * that has no task running and has waited for WAITED_MS. */
    IDLE_PERCENT = 60,
    WAITED_MS = 1500,
    PERCENT = 100
};

/* A service's workers as they are now. */
struct census {
    struct owner_headroom *room;
    unsigned workers;
    unsigned lower_priority_workers; /* of lower work */
    int64_t accelerators;
    int64_t urgent;            /* accelerators that urgent runs hold */
    int64_t used;              /* accelerators that any runs hold */
    int64_t leaving;           /* of them, by runs that are told to leave */
    int64_t headroom_borrowed; /* accelerators of runs in room that is kept */
};

static struct owner_headroom *
headroom_of(struct cw_owner *owner, const char *service)
{
    struct owner_headroom *room =
        g_hash_table_lookup(owner->headroom, service);

    if (room == NULL) {
        room = g_new0(struct owner_headroom, 1);
        cw_headroom_init(&room->forecast, owner_now(owner));
        g_hash_table_insert(owner->headroom, g_strdup(service), room);
    }
    return room;
}

static void
count_target(struct census *census, const struct owner_target *target)
{
    census->workers++;
    census->accelerators += target->capacity.accelerators;
    census->lower_priority_workers += target->lower_priority_runs > 0;
    for (guint i = 0; i < target->runs->len; i++) {
        const struct owner_run *run = target->runs->pdata[i];

        census->used += run->task->step->spec->accelerators;
        if (run->stopping) {
            census->leaving += run->task->step->spec->accelerators;
        }
        else if (run->headroom_borrowed) {
            census->headroom_borrowed += run->task->step->spec->accelerators;
        }
        if (owner_task_job(run->task)->spec->priority == 0) {
            census->urgent += run->task->step->spec->accelerators;
        }
    }
}

/* Workers that no guarantee covers: they are open to lower work whatever
 * urgent work asks for. */
static unsigned
open_workers(const struct cw_owner *owner, const struct census *census,
             double per_worker)
{
    double guaranteed = 0;

    for (guint i = 0;
         owner->routing != NULL && i < owner->routing->accounts->len; i++)
    {
        const struct cw_account *account = owner->routing->accounts->pdata[i];

        guaranteed += account->guaranteed_accelerators;
    }
    guaranteed /= per_worker;
    return guaranteed < census->workers
               ? census->workers - (unsigned)guaranteed
               : 0;
}

/* How many workers lower work may be on. */
static void
set_limit(const struct cw_owner *owner, const struct census *census,
          struct timespec now)
{
    struct owner_headroom *room = census->room;
    double per_worker = (double)census->accelerators / MAX(1, census->workers);
    double kept;

    cw_headroom_observe(&room->forecast, (double)census->urgent, now);
    room->lower_priority_workers = census->lower_priority_workers;
    room->free = census->accelerators - census->used + census->leaving;
    room->headroom_borrowed = census->headroom_borrowed;
    room->mostly_idle =
        census->used * PERCENT < census->accelerators * IDLE_PERCENT;
    if (per_worker <= 0) {
        room->max_lower_priority_workers =
            census->workers; /* nothing to measure by */
        return;
    }
    kept = cw_headroom_reserved(&room->forecast) / per_worker;
    room->max_lower_priority_workers =
        kept < census->workers ? census->workers - (unsigned)kept : 0;
    room->max_lower_priority_workers =
        MAX(room->max_lower_priority_workers,
            open_workers(owner, census, per_worker));
}

void
owner_headroom_job_accepted(struct cw_owner *owner,
                            const struct owner_job *job)
{
    struct owner_headroom *room = headroom_of(owner, job->spec->service);

    if (job->spec->priority != 0) {
        return;
    }
    for (u_int i = 0; i < job->spec->steps.steps_len; i++) {
        const struct cw_step_spec *step = &job->spec->steps.steps_val[i];

        cw_headroom_arrived(&room->forecast,
                            (double)step->tasks * step->accelerators);
    }
}

static bool
counts(const struct owner_target *target)
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
        struct census *census;

        if (!counts(target)) {
            continue;
        }
        census = g_hash_table_lookup(services, target->service);
        if (census == NULL) {
            census = g_new0(struct census, 1);
            census->room = headroom_of(owner, target->service);
            g_hash_table_insert(services, (gpointer)target->service, census);
        }
        count_target(census, target);
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
           cw_time_diff_ms(step->ready_at, now) > WAITED_MS &&
           headroom_of(owner, job->spec->service)->mostly_idle;
}

unsigned
owner_headroom_workers_left(struct cw_owner *owner,
                            const struct owner_step *step, const char *service,
                            struct timespec now)
{
    const struct owner_headroom *room = headroom_of(owner, service);

    if (owner_headroom_exempts(owner, step, now)) {
        return G_MAXUINT;
    }
    return room->lower_priority_workers < room->max_lower_priority_workers
               ? room->max_lower_priority_workers -
                     room->lower_priority_workers
               : 0;
}

void
owner_headroom_borrowed(struct cw_owner *owner, const struct owner_run *run)
{
    struct owner_headroom *room = headroom_of(owner, run->target->service);

    room->headroom_borrowed += run->task->step->spec->accelerators;
    room->free -= run->task->step->spec->accelerators;
}

void
owner_headroom_returned(struct cw_owner *owner, const struct owner_run *run)
{
    struct owner_headroom *room = headroom_of(owner, run->target->service);

    room->headroom_borrowed -= run->task->step->spec->accelerators;
    room->free += run->task->step->spec->accelerators;
}

int64_t
owner_headroom_shortage(struct cw_owner *owner, const char *service)
{
    const struct owner_headroom *room = headroom_of(owner, service);

    return (int64_t)cw_headroom_expected_arrivals(&room->forecast) -
           room->free;
}

void
owner_headroom_worker_taken(struct cw_owner *owner,
                            const struct owner_target *target)
{
    if (target->lower_priority_runs == 1) {
        headroom_of(owner, target->service)->lower_priority_workers++;
    }
}

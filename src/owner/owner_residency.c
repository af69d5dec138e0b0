/* Data residency: the data centres in which jobs may run. */
#include "owner/internal/owner_private.h"

#include <string.h>

static bool
compute_permission(const struct cw_owner *owner, const struct owner_job *job,
                   const char *dc)
{
    const struct cw_work_spec *spec = job->spec;
    bool named = spec->dcs.dcs_len == 0;

    for (u_int i = 0; i < spec->dcs.dcs_len; i++) {
        named = named || strcmp(spec->dcs.dcs_val[i], dc) == 0;
    }
    return named &&
           (owner->routing == NULL ||
            cw_routing_account_permits_dc(owner->routing, spec->account, dc));
}

/* True if neither the job nor its account is restricted to data centres. */
static bool
is_unrestricted(const struct cw_owner *owner, const struct owner_job *job)
{
    const struct cw_routing *routing = owner->routing;
    const struct cw_account *account;

    if (job->spec->dcs.dcs_len > 0) {
        return false;
    }
    if (routing == NULL || !routing->enforces_residency) {
        return true;
    }
    account = cw_routing_account_by_name(routing, job->spec->account);
    return account != NULL && account->dcs->len == 0;
}

bool
owner_dc_permitted(const struct cw_owner *owner, struct owner_job *job,
                   const char *dc)
{
    struct owner_permissions *known = &job->permissions;
    bool permitted;

    if (!known->valid || known->config != owner->config_number) {
        known->valid = true;
        known->config = owner->config_number;
        known->count = 0;
        known->all = is_unrestricted(owner, job);
    }
    if (known->all) {
        return true;
    }
    for (unsigned i = 0; i < known->count; i++) {
        if (known->dcs[i] == dc) {
            return known->permitted[i];
        }
    }
    permitted = compute_permission(owner, job, dc);
    if (known->count < OWNER_PERMISSIONS_MAX) {
        known->dcs[known->count] = dc;
        known->permitted[known->count] = permitted;
        known->count++;
    }
    return permitted;
}

/* Handles a run in a data centre that its job may not use any more.  The run
 * is evicted; an at-most-once job that may have begun ends. */
static void
evict_run(struct cw_owner *owner, struct owner_run *run)
{
    struct owner_step *step = run->task->step;
    struct owner_job *job = step->occurrence->job;

    cw_log_info("not_permitted",
                "id=%s step=%u run=%u worker=%s dc=%s config=%" PRIu64,
                job->spec->id, step->number, run->number, run->target->id,
                run->target->dc, owner->routing->version);
    cw_count_code(owner->options.counters, CW_RETRY_MOVED);
    if (owner_at_most_once_protects(run) && !cw_work_is_over(job->phase)) {
        owner_job_end(owner, job, CW_WORK_STOPPED, CW_END_MOVED);
        return;
    }
    owner_run_evict(owner, run);
}

static void
enforce_on(struct cw_owner *owner, struct owner_target *target)
{
    for (guint i = target->runs->len; i > 0; i--) {
        struct owner_run *run;

        if (i > target->runs->len) {
            continue; /* stopping a gang may have dropped several */
        }
        run = target->runs->pdata[i - 1];
        if (!run->stopping && !run->gang_done &&
            !owner_dc_permitted(owner, owner_task_job(run->task), target->dc))
        {
            evict_run(owner, run);
        }
    }
}

void
owner_residency_enforce(struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;

    if (owner->routing == NULL || !owner->routing->enforces_residency) {
        return;
    }
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct owner_target *target = value;

        if (target->dc[0] != '\0') { /* else it has not reported yet */
            enforce_on(owner, target);
        }
    }
}

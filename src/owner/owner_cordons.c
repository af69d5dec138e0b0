/* Cordons: withholds starts from data centres that operators have cordoned.
 *
 * Every start is checked when it is sent (owner_orders_send): a first start, a
 * retry, the rest of a gang, a reserved run, a run that was taken over from
 * another VM.  Placement also excludes cordoned data centres, but it takes
 * place earlier, and a cordon may follow it.
 *
 * This VM cannot apply a cordon that it has not read yet.  So all starts wait
 * if the operators' commands have not been read for nearly as long as a cordon
 * may take to become effective. */
#include "owner/internal/owner_private.h"

enum {
    /* Interval of reads of the commands while starts wait. */
    READ_RETRY_MS = 100
};

bool
owner_target_accepts_work(const struct owner_target *target)
{
    const struct cw_owner *owner = target->owner;

    return (owner->routing == NULL ||
            cw_routing_dc_is_open(owner->routing, target->dc)) &&
           (owner->options.cordons == NULL ||
            cw_cordons_permits_dc(owner->options.cordons, target->dc));
}

bool
owner_cordons_known(struct cw_owner *owner, struct timespec now,
                    struct timespec *next)
{
    const struct cw_owner_options *options = &owner->options;
    int64_t staleness_ms;

    if (options->cordons == NULL || options->cordon_ms == 0) {
        return true;
    }
    staleness_ms = cw_cordons_staleness_ms(options->cordons, now);
    if (staleness_ms <= (int64_t)options->cordon_ms - OWNER_START_IN_FLIGHT_MS)
    {
        return true;
    }
    if (!cw_time_before(now, owner->cordons_read_due)) {
        owner->cordons_read_due = cw_time_add_ms(now, READ_RETRY_MS);
        cw_log_info("starts_wait",
                    "reason=orders_not_read staleness_ms=%" PRId64,
                    staleness_ms);
        cw_cordons_read_now(options->cordons);
    }
    cw_time_set_earlier(next, owner->cordons_read_due);
    return false;
}

void
owner_cordon_log(const struct cw_owner *owner, const struct owner_run *run,
                 struct timespec now)
{
    struct cw_task_name name = owner_task_name(run->task);
    int64_t known_ms =
        owner->options.cordons != NULL
            ? cw_cordons_age_ms(owner->options.cordons, run->target->dc, now)
            : -1;

    cw_count_code(owner->options.counters, CW_RETRY_CORDONED);
    cw_log_info("start_withheld",
                "id=%s task=%u.%u.%u run=%u worker=%s dc=%s phase=%s "
                "known_ms=%" PRId64 " unanswered=%u",
                name.job, name.occurrence, name.step, name.index, run->number,
                run->target->id, run->target->dc,
                owner_run_phase_name(run->phase), known_ms, run->unanswered);
}

void
cw_owner_cordons_changed(struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;

    owner->capacity_version++;
    owner->placement_wanted = true;
    g_hash_table_iter_init(&iterator, owner->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (!owner_target_accepts_work(value)) {
            owner_unsent_runs_give_up(owner, value, owner_cordon_log);
        }
    }
}

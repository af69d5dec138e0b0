/* Creation and ticks of the interface, and the sweep through waiting calls. */
#include "api/internal/api_private.h"

enum {
    /* Longest interval between sweeps, which check deadlines. */
    SWEEP_INTERVAL_MS = 50
};

struct cw_api *
cw_api_create(const struct cw_api_options *options)
{
    struct cw_api *api = g_new0(struct cw_api, 1);

    api->options = *options;
    api->chain = cw_chain_create(&options->chain);
    api->waiters = api_waiters_create();
    api_bundle_follow(api);
    return api;
}

/* Context of a sweep through the waiting calls. */
struct sweep {
    struct cw_api *api;
    struct timespec now;
    bool answer_all; /* the VM is shutting down */
};

/* Handles a call for a job that is not in the replica.  The job counts as
 * unknown only if the replica is as recent as the call; until then the call
 * waits. */
static bool
answer_not_in_replica(const struct sweep *sweep,
                      const struct api_waiter *waiter)
{
    struct timespec fresh = cw_follower_fresh_as_of(
        cw_replica_follower(sweep->api->options.replica));

    if (!cw_time_before(fresh, waiter->received_at)) {
        api_answer_unknown(waiter->call, waiter->request);
        return true;
    }
    if (sweep->answer_all ||
        cw_time_diff_ms(waiter->received_at, sweep->now) > API_CATCH_UP_MAX_MS)
    {
        cw_count_code(sweep->api->options.counters, CW_REF_NO_LEDGER);
        api_answer_refused(waiter->call, waiter->request, CW_REF_NO_LEDGER,
                           NULL, API_RETRY_MS);
        return true;
    }
    return false;
}

static bool
answer(void *context, const struct api_waiter *waiter)
{
    const struct sweep *sweep = context;
    const struct cw_replica_job *job =
        cw_replica_find_job(sweep->api->options.replica, waiter->job);

    if (job == NULL || job->spec == NULL) {
        return answer_not_in_replica(sweep, waiter);
    }
    if (job->record != NULL && cw_work_is_over(job->recorded_phase)) {
        cw_count_add(sweep->api->options.counters, CW_COUNT_ANSWERED, 1);
        api_answer_outcome(waiter->call, job);
        return true;
    }
    if (sweep->answer_all || !cw_time_before(sweep->now, waiter->deadline)) {
        api_answer_pending(waiter->call, waiter->request, true);
        return true;
    }
    return false;
}

static void
sweep_all(struct cw_api *api, struct timespec now, bool answer_all)
{
    struct sweep sweep = {.api = api, .now = now, .answer_all = answer_all};

    api_waiters_sweep(api->waiters, answer, &sweep);
}

struct timespec
cw_api_tick(struct cw_api *api, struct timespec now)
{
    struct timespec next = cw_time_add_ms(now, CW_MS_PER_S);
    uint64_t position =
        cw_follower_position(cw_replica_follower(api->options.replica));

    cw_follower_tick(api->bundles, now);
    cw_time_set_earlier(&next, cw_follower_due(api->bundles));
    if (api_waiters_count(api->waiters) == 0) {
        return next;
    }
    /* An outcome becomes known only when the replica reads more records. */
    if (position != api->swept_position ||
        !cw_time_before(now, api->sweep_due)) {
        api->swept_position = position;
        api->sweep_due = cw_time_add_ms(now, SWEEP_INTERVAL_MS);
        sweep_all(api, now, false);
    }
    cw_time_set_earlier(&next, api->sweep_due);
    return next;
}

unsigned
cw_api_waiting_calls(struct cw_api *api)
{
    return api_waiters_count(api->waiters);
}

void
cw_api_answer_all_pending(struct cw_api *api)
{
    sweep_all(api, cw_clock_now(api->options.clock), true);
}

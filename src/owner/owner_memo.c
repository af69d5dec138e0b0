/* Records the shapes of steps that could not be placed in a placement pass.
 *
 * Within a pass free capacity only shrinks, until a run is dropped.  A step
 * that is at least as demanding as one that could not be placed is therefore
 * skipped without a search.  With thousands of waiting tasks that applies to
 * nearly all of them. */
#include "owner/internal/owner_placement.h"

#include <string.h>

/* The properties that determine whether a step can be placed. */
struct shape {
    enum owner_attempt attempt;
    const char *service; /* interned */
    const char *label;   /* borrowed during the pass, as is the account */
    const char *account; /* "" unless it decides where the step may run */
    struct cw_resources need;
    unsigned priority;
    unsigned gang; /* members; 0: tasks that are placed one by one */
    unsigned fits; /* tasks that have to fit; 0: as many as are placed */
    enum cw_same_rack same_rack;
    bool exempt;     /* may use the headroom reserved for urgent work */
    bool guaranteed; /* may preempt equally urgent work */
};

struct owner_memo {
    GArray *failed; /* struct shape */
    uint64_t capacity_version;
};

struct owner_memo *
owner_memo_create(void)
{
    struct owner_memo *memo = g_new0(struct owner_memo, 1);

    memo->failed = g_array_new(FALSE, FALSE, sizeof(struct shape));
    return memo;
}

void
owner_memo_free(struct owner_memo *memo)
{
    g_array_unref(memo->failed);
    g_free(memo);
}

void
owner_memo_reset(struct owner_memo *memo)
{
    g_array_set_size(memo->failed, 0);
}

/* Returns whether the attempt places the step in one rack only. */
static enum cw_same_rack
same_rack_of(struct cw_owner *owner, struct owner_step *step,
             enum owner_attempt attempt, struct timespec now)
{
    if (step->spec->same_rack == CW_SAME_RACK_FASTER &&
        (attempt == OWNER_ATTEMPT_STARVED ||
         !owner_step_needs_rack(owner, step, now)))
    {
        return CW_SAME_RACK_ANY; /* it is spread over racks */
    }
    return step->spec->same_rack;
}

static struct shape
shape_of(struct cw_owner *owner, struct owner_step *step,
         enum owner_attempt attempt, struct timespec now)
{
    const struct owner_job *job = step->occurrence->job;
    bool enforces_residency =
        owner->routing != NULL && owner->routing->enforces_residency;
    struct shape shape = {
        .attempt = attempt,
        .service = job->service,
        .label = step->spec->label,
        .account = enforces_residency ? job->spec->account : "",
        .need = owner_step_need(step->spec),
        .priority = job->spec->priority,
        .gang = step->spec->gang ? step->count : 0,
        .fits = attempt == OWNER_ATTEMPT_STARVED
                    ? owner_starved_min_fits(step, now)
                    : 0,
        .same_rack = same_rack_of(owner, step, attempt, now),
        .exempt = owner_headroom_exempts(owner, step, now),
        .guaranteed = attempt == OWNER_ATTEMPT_PREEMPT &&
                      owner_job_is_guaranteed(owner, job),
    };

    return shape;
}

static bool
needs_at_least(const struct cw_resources *x, const struct cw_resources *y)
{
    return x->cpu_milli >= y->cpu_milli && x->memory_mb >= y->memory_mb &&
           x->accelerators >= y->accelerators;
}

/* True if `step` is at least as hard to place as `failed`. */
static bool
is_as_hard(const struct shape *step, const struct shape *failed)
{
    return step->attempt == failed->attempt &&
           step->priority >= failed->priority &&
           (!step->exempt || failed->exempt) &&
           (!step->guaranteed || failed->guaranteed) &&
           step->gang >= failed->gang && step->fits >= failed->fits &&
           /* The failure of a gang that needs a rack does not apply to one
            * that may be spread over racks, however small the failed one is.
            * Whether it is spread later depends on the kind of need. */
           (failed->gang == 0 || step->same_rack == failed->same_rack) &&
           needs_at_least(&step->need, &failed->need) &&
           step->service == failed->service &&
           strcmp(step->account, failed->account) == 0 &&
           (failed->label[0] == '\0' ||
            strcmp(step->label, failed->label) == 0);
}

/* True if where the step may be placed depends on more than its shape. */
static bool
has_own_limits(const struct owner_step *step)
{
    return step->spec->most_per_worker > 0 ||
           step->occurrence->job->spec->dcs.dcs_len > 0;
}

bool
owner_memo_has_failed(struct cw_owner *owner, struct owner_step *step,
                      enum owner_attempt attempt, struct timespec now)
{
    struct owner_memo *memo = owner->memo;
    struct shape shape;

    if (memo->capacity_version != owner->capacity_version) {
        memo->capacity_version = owner->capacity_version;
        g_array_set_size(memo->failed, 0);
    }
    if (memo->failed->len == 0 ||
        cw_time_before(now, step->rack_reservation_until))
    {
        return false;
    }
    shape = shape_of(owner, step, attempt, now);
    for (guint i = 0; i < memo->failed->len; i++) {
        if (is_as_hard(&shape, &g_array_index(memo->failed, struct shape, i)))
        {
            return true;
        }
    }
    return false;
}

void
owner_memo_add_failure(struct cw_owner *owner, struct owner_step *step,
                       enum owner_attempt attempt, struct timespec now)
{
    struct owner_memo *memo = owner->memo;
    struct shape shape;

    if (has_own_limits(step)) {
        return;
    }
    if (memo->capacity_version != owner->capacity_version) {
        memo->capacity_version = owner->capacity_version;
        g_array_set_size(memo->failed, 0);
    }
    shape = shape_of(owner, step, attempt, now);
    g_array_append_val(memo->failed, shape);
}

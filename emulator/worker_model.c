/* Model of the workers; see the header. */
#include "emulator/worker_model.h"

#include <string.h>

enum {
    STOP_MS = 150,       /* time that a run takes to stop */
    GANG_WAIT_MS = 3000, /* wait for the other members of a gang */
    CHECKPOINT_MS = 500, /* work between two checkpoints */
    LEASE_MAX_MS = 6000,
    ENDS_LISTED_MAX = 500,
    /* Time from the start of a task that crashes workers to the crash; long
     * enough to answer the start. */
    CRASH_AFTER_MS = 10,
    /* Time after a worker has shrunk in which starts may still use its
     * previous capacity: three seconds until a VM receives the report, and one
     * interval between two reports. */
    OLD_CAPACITY_COUNTS_MS = 4500,
    PERCENT = 100
};

struct model_run {
    char *job;
    struct cw_task_name task;
    unsigned run; /* number of the run */
    struct task_plan plan;
    int64_t started_ms;
    double work_done_ms; /* of plan.work_ms */
    int64_t stop_ms;     /* when a stop takes effect; 0: none */
    bool gang_complete;  /* all members have been present */
};

struct model_end {
    uint64_t number;
    char *job;
    struct cw_task_name task;
    unsigned run;
    enum cw_end_kind how;
    char *saved;
    unsigned lease_lapses; /* of the worker before this end */
};

struct worker_model {
    struct worker_fleet *fleet;
    char *id;
    char *address;
    char *rack;
    char *kind;
    struct cw_resources capacity;
    struct cw_resources capacity_before; /* before the last resize */
    int64_t shrunk_ms; /* time of the last resize; fleet's time */
    int64_t clock_ms;  /* worker's clock at the fleet's time 0 */
    int64_t boot_ms;   /* its wall clock at the start of the incarnation */
    int64_t wall_clock_behind_ms; /* behind the fleet's */
    bool is_down;
    bool has_left; /* it is down for good, as planned */
    double speed;
    double lasting_speed; /* of its machine */
    double slowdown;      /* factor of its runs' durations */
    uint64_t fence;       /* highest fencing token received */
    int64_t lease_end_ms; /* fleet's time */
    bool lease_active;
    unsigned lease_lapses; /* times that its lease expired */
    GPtrArray *runs;       /* struct model_run */
    GPtrArray *ends;       /* struct model_end */
    uint64_t next_end;
    GHashTable *highest_run; /* task's name -> highest run that ended or was
                                stopped */
};

struct worker_fleet {
    struct worker_listener listener;
    GPtrArray *workers;
    int64_t now_ms;
    int64_t wall_clock_base_ms; /* wall-clock time at time 0 */
    bool ignores_capacity;
};

static char *
name_text(const struct cw_task_name *task)
{
    return g_strdup_printf("%s.%u.%u.%u", task->job, task->occurrence,
                           task->step, task->index);
}

static void
run_free(gpointer data)
{
    struct model_run *run = data;

    g_free(run->job);
    g_free(run);
}

static void
end_free(gpointer data)
{
    struct model_end *end = data;

    g_free(end->job);
    g_free(end->saved);
    g_free(end);
}

static void
worker_free(gpointer data)
{
    struct worker_model *worker = data;

    g_ptr_array_unref(worker->runs);
    g_ptr_array_unref(worker->ends);
    g_hash_table_unref(worker->highest_run);
    g_free(worker->id);
    g_free(worker->address);
    g_free(worker->rack);
    g_free(worker->kind);
    g_free(worker);
}

struct worker_fleet *
worker_fleet_create(const struct worker_listener *listener)
{
    struct worker_fleet *fleet = g_new0(struct worker_fleet, 1);

    fleet->listener = *listener;
    fleet->workers = g_ptr_array_new_with_free_func(worker_free);
    return fleet;
}

void
worker_fleet_free(struct worker_fleet *fleet)
{
    g_ptr_array_unref(fleet->workers);
    g_free(fleet);
}

void
worker_fleet_set_wall_clock(struct worker_fleet *fleet,
                            int64_t wall_clock_base_ms)
{
    fleet->wall_clock_base_ms = wall_clock_base_ms;
}

/* Boot time of an incarnation that starts now; never 0, which means
 * unknown. */
static int64_t
boot_time_now_ms(const struct worker_fleet *fleet)
{
    return fleet->wall_clock_base_ms + fleet->now_ms + 1;
}

struct worker_model *
worker_fleet_add(struct worker_fleet *fleet, const char *id, const char *rack,
                 const struct cw_resources *capacity, int64_t clock_ms)
{
    struct worker_model *worker = g_new0(struct worker_model, 1);

    worker->fleet = fleet;
    worker->id = g_strdup(id);
    worker->address = g_strdup(id);
    worker->rack = g_strdup(rack);
    worker->kind = g_strdup("k");
    worker->capacity = *capacity;
    worker->clock_ms = clock_ms;
    worker->boot_ms = boot_time_now_ms(fleet);
    worker->speed = 1;
    worker->lasting_speed = 1;
    worker->slowdown = 1;
    worker->runs = g_ptr_array_new_with_free_func(run_free);
    worker->ends = g_ptr_array_new_with_free_func(end_free);
    worker->highest_run =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_ptr_array_add(fleet->workers, worker);
    return worker;
}

struct worker_model *
worker_fleet_restart_with_new_id(struct worker_fleet *fleet,
                                 const struct worker_model *before,
                                 int64_t clock_ms)
{
    char *id = g_strdup_printf("%s+", before->id);
    struct worker_model *worker =
        worker_fleet_add(fleet, id, before->rack, &before->capacity, clock_ms);

    g_free(worker->address);
    worker->address = g_strdup(before->address);
    worker_model_set_kind(worker, before->kind);
    worker->lasting_speed = before->lasting_speed;
    worker->slowdown = before->slowdown;
    g_free(id);
    return worker;
}

void
worker_model_set_kind(struct worker_model *worker, const char *kind)
{
    char *copy = g_strdup(kind);

    g_free(worker->kind);
    worker->kind = copy;
}

void
worker_model_set_wall_clock_behind(struct worker_model *worker,
                                   int64_t behind_ms)
{
    worker->wall_clock_behind_ms = behind_ms;
}

static int64_t
next_boot_ms(const struct worker_model *worker)
{
    int64_t boot_ms =
        boot_time_now_ms(worker->fleet) - worker->wall_clock_behind_ms;

    return boot_ms == worker->boot_ms ? boot_ms + 1 : boot_ms;
}

void
worker_model_restart(struct worker_model *worker, int64_t clock_ms)
{
    g_assert(worker->is_down && worker->runs->len == 0);
    worker->is_down = false;
    worker->clock_ms = clock_ms - worker->fleet->now_ms;
    worker->boot_ms = next_boot_ms(worker);
    worker->fence = 0;
    worker->lease_end_ms = 0;
    worker->lease_active = false;
    worker->lease_lapses = 0;
    worker->next_end = 0;
    g_ptr_array_set_size(worker->ends, 0);
    g_hash_table_remove_all(worker->highest_run);
}

unsigned
worker_fleet_size(const struct worker_fleet *fleet)
{
    return fleet->workers->len;
}

struct worker_model *
worker_fleet_at(struct worker_fleet *fleet, unsigned i)
{
    return fleet->workers->pdata[i];
}

struct worker_model *
worker_fleet_find(struct worker_fleet *fleet, const char *id)
{
    for (guint i = 0; i < fleet->workers->len; i++) {
        struct worker_model *worker = fleet->workers->pdata[i];

        if (strcmp(worker->id, id) == 0) {
            return worker;
        }
    }
    return NULL;
}

struct worker_model *
worker_fleet_at_address(struct worker_fleet *fleet, const char *address)
{
    for (guint i = 0; i < fleet->workers->len; i++) {
        struct worker_model *worker = fleet->workers->pdata[i];

        if (!worker->is_down && strcmp(worker->address, address) == 0) {
            return worker;
        }
    }
    return NULL;
}

const char *
worker_model_id(const struct worker_model *worker)
{
    return worker->id;
}

const char *
worker_model_address(const struct worker_model *worker)
{
    return worker->address;
}

const char *
worker_model_rack(const struct worker_model *worker)
{
    return worker->rack;
}

const char *
worker_model_kind(const struct worker_model *worker)
{
    return worker->kind;
}

const struct cw_resources *
worker_model_capacity(const struct worker_model *worker)
{
    return &worker->capacity;
}

void
worker_fleet_ignore_capacity(struct worker_fleet *fleet)
{
    fleet->ignores_capacity = true;
}

static bool
shrank_recently(const struct worker_model *worker)
{
    return worker->capacity_before.accelerators > 0 &&
           worker->fleet->now_ms - worker->shrunk_ms < OLD_CAPACITY_COUNTS_MS;
}

void
worker_model_resize(struct worker_model *worker,
                    const struct cw_resources *capacity)
{
    const struct cw_resources *capacity_before = &worker->capacity;

    /* Shortly after a resize, the previous capacity still counts if it was
     * larger. */
    if (shrank_recently(worker) &&
        worker->capacity_before.accelerators > capacity_before->accelerators)
    {
        capacity_before = &worker->capacity_before;
    }
    worker->capacity_before = *capacity_before;
    worker->shrunk_ms = worker->fleet->now_ms;
    worker->capacity = *capacity;
}

struct cw_resources
worker_model_free(const struct worker_model *worker)
{
    struct cw_resources left = worker->capacity;

    for (guint i = 0; i < worker->runs->len; i++) {
        const struct model_run *run = worker->runs->pdata[i];

        left.cpu_milli -= run->plan.need.cpu_milli;
        left.memory_mb -= run->plan.need.memory_mb;
        left.accelerators -= run->plan.need.accelerators;
    }
    return left;
}

int64_t
worker_model_boot_ms(const struct worker_model *worker)
{
    return worker->boot_ms;
}

int64_t
worker_model_lease_end_ms(const struct worker_model *worker)
{
    return worker->lease_active ? worker->lease_end_ms : 0;
}

unsigned
worker_model_running(const struct worker_model *worker)
{
    return worker->runs->len;
}

unsigned
worker_model_running_of_step(const struct worker_model *worker,
                             const struct cw_task_name *task)
{
    unsigned count = 0;

    for (guint i = 0; i < worker->runs->len; i++) {
        const struct model_run *run = worker->runs->pdata[i];

        count += run->task.step == task->step &&
                 run->task.occurrence == task->occurrence &&
                 strcmp(run->job, task->job) == 0;
    }
    return count;
}

bool
worker_model_is_down(const struct worker_model *worker)
{
    return worker->is_down;
}

bool
worker_model_has_left(const struct worker_model *worker)
{
    return worker->has_left;
}

void
worker_model_set_speed(struct worker_model *worker, double speed)
{
    worker->speed = speed;
}

void
worker_model_set_lasting_speed(struct worker_model *worker, double speed)
{
    worker->lasting_speed = speed;
}

void
worker_model_set_slowdown(struct worker_model *worker, double factor)
{
    worker->slowdown = factor;
}

bool
worker_model_is_slowed(const struct worker_model *worker)
{
    return worker->slowdown > 1;
}

/* ---- ends ---- */

/* A checkpoint at this point of the work, of at least `bytes` bytes that
 * deflating shortens to half at most. */
static char *
long_text(int64_t done_ms, unsigned index, unsigned bytes)
{
    GString *text = g_string_sized_new(bytes + 1);
    uint64_t state = (uint64_t)done_ms * 31 + index;

    g_string_printf(text, "ck-%" G_GINT64_FORMAT, done_ms);
    if (text->len < bytes) {
        g_string_append_c(text, '.');
    }
    while (text->len < bytes) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        g_string_append_c(text, "0123456789abcdef"[state >> 60]);
    }
    return g_string_free(text, FALSE);
}

static char *
saved_of(const struct model_run *run)
{
    int64_t done = (int64_t)run->work_done_ms;

    if (!run->plan.checkpoints || done < CHECKPOINT_MS) {
        return g_strdup("");
    }
    return long_text(done / CHECKPOINT_MS * CHECKPOINT_MS, run->task.index,
                     run->plan.text_bytes);
}

static void
record_highest_run(struct worker_model *worker,
                   const struct cw_task_name *task, unsigned run)
{
    char *name = name_text(task);
    unsigned before =
        GPOINTER_TO_UINT(g_hash_table_lookup(worker->highest_run, name));

    g_hash_table_insert(worker->highest_run, name,
                        GUINT_TO_POINTER(MAX(before, run)));
}

static void
end_run(struct worker_model *worker, struct model_run *run,
        enum cw_end_kind how)
{
    struct worker_listener *listener = &worker->fleet->listener;
    struct model_end *end = g_new0(struct model_end, 1);

    end->number = ++worker->next_end;
    end->job = g_strdup(run->job);
    end->task = run->task;
    end->task.job = end->job;
    end->run = run->run;
    end->how = how;
    end->saved = saved_of(run);
    end->lease_lapses = worker->lease_lapses;
    record_highest_run(worker, &end->task, end->run);
    g_ptr_array_remove(worker->runs, run);
    g_ptr_array_add(worker->ends, end);
    listener->ended(listener->context, worker->id, &end->task, end->run, how);
}

/* ---- gangs ---- */

static bool
same_gang(const struct model_run *a, const struct model_run *b)
{
    return a->run == b->run && a->task.step == b->task.step &&
           a->task.occurrence == b->task.occurrence &&
           strcmp(a->job, b->job) == 0;
}

static unsigned
gang_present(struct worker_fleet *fleet, const struct model_run *run)
{
    unsigned present = 0;

    for (guint w = 0; w < fleet->workers->len; w++) {
        struct worker_model *worker = fleet->workers->pdata[w];

        for (guint i = 0; i < worker->runs->len; i++) {
            present += same_gang(worker->runs->pdata[i], run);
        }
    }
    return present;
}

/* True if every member of the gang has finished its work. */
static bool
gang_work_is_done(struct worker_fleet *fleet, const struct model_run *run)
{
    for (guint w = 0; w < fleet->workers->len; w++) {
        struct worker_model *worker = fleet->workers->pdata[w];

        for (guint i = 0; i < worker->runs->len; i++) {
            const struct model_run *other = worker->runs->pdata[i];

            if (same_gang(other, run) &&
                other->work_done_ms < other->plan.work_ms) {
                return false;
            }
        }
    }
    return true;
}

/* How a member ends after another one has ended, or failed. */
static enum cw_end_kind
end_of_member(const struct model_run *member, enum cw_end_kind how)
{
    bool fails = member->plan.members_fail && member->task.index % 2 == 0;

    return how == CW_END_KIND_FAILED && !fails ? CW_END_KIND_GANG_BROKEN : how;
}

/* Ends every other member of the gang. */
static void
end_gang(struct worker_fleet *fleet, const struct model_run *ended,
         enum cw_end_kind how)
{
    struct model_run key = *ended;
    char *job = g_strdup(ended->job);

    key.job = job;
    for (guint w = 0; w < fleet->workers->len; w++) {
        struct worker_model *worker = fleet->workers->pdata[w];

        for (guint i = worker->runs->len; i > 0; i--) {
            if (same_gang(worker->runs->pdata[i - 1], &key)) {
                end_run(worker, worker->runs->pdata[i - 1],
                        end_of_member(worker->runs->pdata[i - 1], how));
            }
        }
    }
    g_free(job);
}

/* Returns copies of the worker's runs that are members of gangs. */
static GPtrArray *
copy_gang_runs(const struct worker_model *worker)
{
    GPtrArray *copies = g_ptr_array_new_with_free_func(run_free);

    for (guint i = 0; i < worker->runs->len; i++) {
        const struct model_run *run = worker->runs->pdata[i];

        if (run->plan.members > 0) {
            struct model_run *copy = g_new0(struct model_run, 1);

            *copy = *run;
            copy->job = g_strdup(run->job);
            copy->task.job = copy->job;
            g_ptr_array_add(copies, copy);
        }
    }
    return copies;
}

/* Ends all runs of the worker, and the members of their gangs elsewhere. */
static void
expire_all_runs(struct worker_model *worker)
{
    GPtrArray *gang_runs = copy_gang_runs(worker);

    while (worker->runs->len > 0) {
        end_run(worker, worker->runs->pdata[0], CW_END_KIND_LEASE_EXPIRED);
    }
    for (guint i = 0; i < gang_runs->len; i++) {
        end_gang(worker->fleet, gang_runs->pdata[i], CW_END_KIND_GANG_BROKEN);
    }
    g_ptr_array_unref(gang_runs);
}

void
worker_model_crash(struct worker_model *worker)
{
    struct worker_listener *listener = &worker->fleet->listener;

    for (guint i = 0; i < worker->runs->len; i++) {
        const struct model_run *run = worker->runs->pdata[i];

        listener->crashed(listener->context, worker->id, &run->task);
    }
    worker->is_down = true;
    expire_all_runs(worker);
}

void
worker_model_shut_down(struct worker_model *worker)
{
    worker->is_down = true;
    worker->has_left = true;
    expire_all_runs(worker);
}

/* ---- time ---- */

/* Advances a run; true if it has ended. */
static bool
advance_run(struct worker_model *worker, struct model_run *run,
            int64_t passed_ms)
{
    struct worker_fleet *fleet = worker->fleet;
    bool gang = run->plan.members > 0;
    struct model_run copy = *run;
    enum cw_end_kind how =
        run->run <= run->plan.fails ? CW_END_KIND_FAILED : CW_END_KIND_DONE;

    if (run->stop_ms > 0 && fleet->now_ms >= run->stop_ms) {
        char *job = g_strdup(run->job);

        copy.job = job;
        end_run(worker, run, CW_END_KIND_STOPPED);
        if (gang) {
            end_gang(fleet, &copy, CW_END_KIND_GANG_BROKEN);
        }
        g_free(job);
        return true;
    }
    if (gang && !run->gang_complete) {
        run->gang_complete = gang_present(fleet, run) == run->plan.members;
        if (!run->gang_complete &&
            fleet->now_ms - run->started_ms > GANG_WAIT_MS) {
            end_run(worker, run, CW_END_KIND_GANG_INCOMPLETE);
            return true;
        }
        return false;
    }
    run->work_done_ms += (double)passed_ms * worker->speed *
                         worker->lasting_speed / worker->slowdown;
    if (run->work_done_ms < run->plan.work_ms) {
        return false;
    }
    run->work_done_ms = run->plan.work_ms;
    if (gang && how == CW_END_KIND_DONE) {
        if (!gang_work_is_done(fleet, run)) {
            return false;
        }
        end_gang(fleet, run, CW_END_KIND_DONE);
    }
    else if (gang) {
        char *job = g_strdup(run->job);

        copy.job = job;
        end_run(worker, run, how);
        end_gang(fleet, &copy, how);
        g_free(job);
    }
    else {
        end_run(worker, run, how);
    }
    return true;
}

static bool
lease_is_over(const struct worker_model *worker)
{
    return worker->lease_active &&
           worker->fleet->now_ms >= worker->lease_end_ms;
}

/* True if a task on the worker crashes the worker now. */
static bool
crash_is_due(const struct worker_model *worker)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        const struct model_run *run = worker->runs->pdata[i];

        if (run->plan.crashes &&
            worker->fleet->now_ms - run->started_ms >= CRASH_AFTER_MS)
        {
            return true;
        }
    }
    return false;
}

static void
crash_by_task(struct worker_model *worker)
{
    struct worker_listener *listener = &worker->fleet->listener;

    worker_model_crash(worker);
    listener->down(listener->context, worker);
}

static void
advance_worker(struct worker_model *worker, int64_t passed_ms)
{
    guint i = 0;

    if (crash_is_due(worker)) {
        crash_by_task(worker);
        return;
    }
    /* An idle worker notices an expired lease only with the next order. */
    if (worker->runs->len > 0 && lease_is_over(worker)) {
        expire_all_runs(worker);
        worker->lease_active = false;
        worker->lease_lapses++;
    }
    while (i < worker->runs->len) {
        if (!advance_run(worker, worker->runs->pdata[i], passed_ms)) {
            i++;
        }
        else {
            i = 0; /* the end of a gang may have ended other runs */
            passed_ms = 0;
        }
    }
}

void
worker_fleet_advance(struct worker_fleet *fleet, int64_t now_ms)
{
    int64_t passed_ms = now_ms - fleet->now_ms;

    if (passed_ms <= 0) {
        return;
    }
    fleet->now_ms = now_ms;
    for (guint i = 0; i < fleet->workers->len; i++) {
        struct worker_model *worker = fleet->workers->pdata[i];

        if (!worker->is_down) {
            advance_worker(worker, passed_ms);
        }
    }
}

/* ---- orders ---- */

static int64_t
worker_clock(const struct worker_model *worker)
{
    return worker->clock_ms + worker->fleet->now_ms;
}

/* Extends the lease; an earlier end does not change it.  Returns false if the
 * lease has expired. */
static bool
extend_lease(struct worker_model *worker, int64_t until_ms)
{
    int64_t end_ms = until_ms - worker->clock_ms;

    end_ms = MIN(end_ms, worker->fleet->now_ms + LEASE_MAX_MS);
    if (lease_is_over(worker) && end_ms <= worker->fleet->now_ms) {
        worker->lease_lapses++; /* a valid extension would hide the lapse */
    }
    worker->lease_end_ms = MAX(worker->lease_end_ms, end_ms);
    worker->lease_active = worker->lease_end_ms > worker->fleet->now_ms;
    return worker->lease_end_ms > worker->fleet->now_ms;
}

static struct model_run *
find_run(const struct worker_model *worker, const struct cw_task_name *task)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        struct model_run *run = worker->runs->pdata[i];

        if (run->task.index == task->index && run->task.step == task->step &&
            run->task.occurrence == task->occurrence &&
            strcmp(run->job, task->job) == 0)
        {
            return run;
        }
    }
    return NULL;
}

unsigned
worker_model_run_of(const struct worker_model *worker,
                    const struct cw_task_name *task)
{
    const struct model_run *run = find_run(worker, task);

    return run != NULL ? run->run : 0;
}

static unsigned
highest_run_of(const struct worker_model *worker,
               const struct cw_task_name *task)
{
    char *name = name_text(task);
    unsigned run =
        GPOINTER_TO_UINT(g_hash_table_lookup(worker->highest_run, name));

    g_free(name);
    return run;
}

bool
worker_model_would_start(const struct worker_model *worker,
                         const struct cw_target_order *order, int64_t at_ms)
{
    int64_t granted_ms =
        MIN(order->lease_until_ms - worker->clock_ms, at_ms + LEASE_MAX_MS);

    return !worker->is_down && strcmp(order->id, worker->id) == 0 &&
           order->fence >= worker->fence &&
           find_run(worker, &order->task) == NULL &&
           order->run > highest_run_of(worker, &order->task) &&
           MAX(worker->lease_end_ms, granted_ms) > at_ms;
}

static bool
fits(const struct worker_model *worker, const struct cw_resources *need,
     const struct cw_resources *capacity)
{
    struct cw_resources used = *need;

    for (guint i = 0; i < worker->runs->len; i++) {
        const struct model_run *run = worker->runs->pdata[i];

        used.cpu_milli += run->plan.need.cpu_milli;
        used.memory_mb += run->plan.need.memory_mb;
        used.accelerators += run->plan.need.accelerators;
    }
    return used.cpu_milli <= capacity->cpu_milli &&
           used.memory_mb <= capacity->memory_mb &&
           used.accelerators <= capacity->accelerators;
}

/* True if the start exceeds both the worker's capacity and the capacity that
 * it had shortly before. */
static bool
exceeds_capacity(const struct worker_model *worker,
                 const struct cw_resources *need)
{
    return !fits(worker, need, &worker->capacity) &&
           !(shrank_recently(worker) &&
             fits(worker, need, &worker->capacity_before));
}

static enum cw_target_status
order_start(struct worker_model *worker, const struct cw_target_order *order)
{
    struct worker_listener *listener = &worker->fleet->listener;
    struct model_run *run = find_run(worker, &order->task);
    struct task_plan plan = {0};
    unsigned highest_run = highest_run_of(worker, &order->task);

    if (run != NULL && run->run == order->run) {
        return CW_TARGET_OK;
    }
    if (order->run <= highest_run || run != NULL) {
        return CW_TARGET_OLD_RUN;
    }
    if (!listener->plan(listener->context, &order->task, &plan)) {
        return CW_TARGET_INVALID;
    }
    if (!extend_lease(worker, order->lease_until_ms)) {
        return CW_TARGET_LATE;
    }
    if (!worker->fleet->ignores_capacity &&
        !fits(worker, &plan.need, &worker->capacity))
    {
        return CW_TARGET_NO_CAPACITY;
    }
    if (exceeds_capacity(worker, &plan.need)) {
        listener->over_capacity(listener->context, worker->id, &order->task,
                                order->run);
    }
    run = g_new0(struct model_run, 1);
    run->job = g_strdup(order->task.job);
    run->task = order->task;
    run->task.job = run->job;
    run->run = order->run;
    run->plan = plan;
    run->started_ms = worker->fleet->now_ms;
    if (order->saved != NULL && g_str_has_prefix(order->saved, "ck-")) {
        run->work_done_ms =
            (double)g_ascii_strtoll(order->saved + 3, NULL, 10);
    }
    g_ptr_array_add(worker->runs, run);
    listener->started(listener->context, worker->id, &run->task, run->run);
    return CW_TARGET_OK;
}

static enum cw_target_status
order_stop(struct worker_model *worker, const struct cw_target_order *order)
{
    struct model_run *run = find_run(worker, &order->task);

    record_highest_run(worker, &order->task, order->run);
    if (run != NULL && run->run <= order->run && run->stop_ms == 0) {
        run->stop_ms = worker->fleet->now_ms + STOP_MS;
    }
    return CW_TARGET_OK;
}

static void
confirm_ends(struct worker_model *worker, uint64_t acked)
{
    struct worker_listener *listener = &worker->fleet->listener;

    while (worker->ends->len > 0) {
        struct model_end *end = worker->ends->pdata[0];

        if (end->number > acked) {
            return;
        }
        listener->confirmed(listener->context, worker->id, &end->task,
                            end->run, end->how,
                            end->lease_lapses != worker->lease_lapses);
        g_ptr_array_remove_index(worker->ends, 0);
    }
}

static void
list_runs(struct worker_model *worker, GArray *running, GArray *ended,
          GPtrArray *texts)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        struct model_run *run = worker->runs->pdata[i];
        struct cw_running row = {.task = run->task, .run = run->run};
        char *job = g_strdup(run->job);
        char *saved = saved_of(run);

        g_ptr_array_add(texts, job);
        g_ptr_array_add(texts, saved);
        row.task.job = job;
        row.saved = saved;
        row.percent = (unsigned)(run->work_done_ms * PERCENT /
                                 MAX(1, run->plan.work_ms));
        g_array_append_val(running, row);
    }
    for (guint i = 0; i < worker->ends->len && i < ENDS_LISTED_MAX; i++) {
        struct model_end *end = worker->ends->pdata[i];
        struct cw_ended row = {.number = end->number,
                               .task = end->task,
                               .run = end->run,
                               .how = end->how};
        char *job = g_strdup(end->job);
        char *saved = g_strdup(end->saved);

        g_ptr_array_add(texts, job);
        g_ptr_array_add(texts, saved);
        row.task.job = job;
        row.saved = saved;
        g_array_append_val(ended, row);
    }
}

void
worker_model_order(struct worker_model *worker,
                   const struct cw_target_order *order, int64_t now_ms,
                   struct cw_target_answer *answer, GArray *running,
                   GArray *ended, GPtrArray *texts)
{
    worker_fleet_advance(worker->fleet, now_ms);
    memset(answer, 0, sizeof(*answer));
    answer->clock_ms = worker_clock(worker);
    if (strcmp(order->id, worker->id) != 0) {
        answer->status = CW_TARGET_OTHER_INCARNATION;
        return;
    }
    if (order->fence < worker->fence) {
        answer->status = CW_TARGET_FENCED;
        return;
    }
    worker->fence = order->fence;
    if (order->kind == CW_ORDER_START) {
        answer->status = order_start(worker, order);
        return;
    }
    if (order->kind == CW_ORDER_STOP) {
        answer->status = order_stop(worker, order);
        return;
    }
    (void)extend_lease(worker, order->lease_until_ms);
    confirm_ends(worker, order->acked);
    list_runs(worker, running, ended, texts);
    answer->status = CW_TARGET_OK;
    answer->boot_ms = worker->boot_ms;
    answer->running = (const struct cw_running *)running->data;
    answer->running_count = running->len;
    answer->ended = (const struct cw_ended *)ended->data;
    answer->ended_count = ended->len;
}

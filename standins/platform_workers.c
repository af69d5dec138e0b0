/* Workers of the stand-in: the emulator's models served over HTTP. */
#include <inttypes.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "curlewcart/cw_time.h"
#include "standins/platform_standin.h"

static json_t *
task_name_json(const struct cw_task_name *task)
{
    return json_sprintf("%s.%u.%u.%u", task->job, task->occurrence, task->step,
                        task->index);
}

static char *
task_name(const struct cw_task_name *task)
{
    return g_strdup_printf("%s.%u.%u.%u", task->job, task->occurrence,
                           task->step, task->index);
}

/* Text reported with a run's end: "JOB:ECHO" if the run ended as done and the
 * job's payload has echo=, otherwise the run's checkpoint. */
static char *
end_text(struct platform *platform, const struct cw_ended *row)
{
    const char *payload;
    const char *echo;
    char *text = g_strdup(row->saved);

    pthread_mutex_lock(&platform->lock);
    payload = g_hash_table_lookup(platform->payloads, row->task.job);
    echo = payload != NULL ? strstr(payload, "echo=") : NULL;
    if (row->how == CW_END_KIND_DONE && echo != NULL) {
        g_free(text);
        text = g_strdup_printf("%s:%s", row->task.job, echo + strlen("echo="));
    }
    pthread_mutex_unlock(&platform->lock);
    return text;
}

static json_t *
encode_answer(struct platform *platform, const struct cw_target_answer *answer)
{
    json_t *running = json_array();
    json_t *ended = json_array();

    for (size_t i = 0; i < answer->running_count; i++) {
        const struct cw_running *row = &answer->running[i];

        json_array_append_new(
            running, json_pack("[o, i, s, i]", task_name_json(&row->task),
                               (int)row->run, row->saved, (int)row->percent));
    }
    for (size_t i = 0; i < answer->ended_count; i++) {
        const struct cw_ended *row = &answer->ended[i];
        char *text = end_text(platform, row);

        json_array_append_new(
            ended, json_pack("[I, o, i, s, s]", (json_int_t)row->number,
                             task_name_json(&row->task), (int)row->run,
                             cw_end_kind_name(row->how), text));
        g_free(text);
    }
    return json_pack("{s:I, s:I, s:o, s:o}", "clock_ms",
                     (json_int_t)answer->clock_ms, "born",
                     platform->hides_boot_times ? (json_int_t)0
                                                : (json_int_t)answer->boot_ms,
                     "running", running, "ended", ended);
}

static void
answer_order(struct platform *platform, struct cw_http_call *call,
             const struct cw_target_answer *answer)
{
    static const char *const reasons[] = {[CW_TARGET_FENCED] = "fence",
                                          [CW_TARGET_OLD_RUN] = "old",
                                          [CW_TARGET_LATE] = "late",
                                          [CW_TARGET_NO_CAPACITY] = "room",
                                          [CW_TARGET_NO_TICKET] = "ticket"};

    if (answer->status == CW_TARGET_OK) {
        standin_answer(call, 200, encode_answer(platform, answer));
    }
    else if (answer->status == CW_TARGET_UNKNOWN) {
        /* The worker is down, or the connection was made to an earlier
         * incarnation. */
        cw_http_answer(call, 500, "application/json", "{}", strlen("{}"),
                       true);
    }
    else if (answer->status == CW_TARGET_OTHER_INCARNATION) {
        standin_answer(call, 421, json_object());
    }
    else if (answer->status < (int)G_N_ELEMENTS(reasons) &&
             reasons[answer->status] != NULL)
    {
        standin_answer(call, 409,
                       json_pack("{s:I, s:s}", "clock_ms",
                                 (json_int_t)answer->clock_ms, "reason",
                                 reasons[answer->status]));
    }
    else {
        standin_answer(call, 400, json_object());
    }
}

/* Decodes the order in a call.  Its texts are owned by `body` and `name`. */
static bool
decode_order(struct cw_http_call *call, const json_t *body, char **name,
             struct cw_target_order *order)
{
    const char *path = cw_http_call_path(call);
    const char *task = json_string_value(json_object_get(body, "task"));
    char *rest;

    order->kind = strcmp(path, "/hold") == 0       ? CW_ORDER_POLL
                  : strcmp(path, "/run-stop") == 0 ? CW_ORDER_STOP
                                                   : CW_ORDER_START;
    order->id = cw_http_call_header(call, "X-Expect-Instance");
    order->fence =
        (uint64_t)json_integer_value(json_object_get(body, "fence_token"));
    order->lease_until_ms =
        json_integer_value(json_object_get(body, "until_ms"));
    order->acked =
        (uint64_t)json_integer_value(json_object_get(body, "acked_offset"));
    order->run = (unsigned)json_integer_value(json_object_get(body, "run"));
    order->saved = json_string_value(json_object_get(body, "saved"));
    if (order->kind == CW_ORDER_POLL) {
        return order->id != NULL;
    }
    if (task == NULL || order->id == NULL) {
        return false;
    }
    *name = g_strdup(task);
    rest = strchr(*name, '.');
    if (rest == NULL) {
        return false;
    }
    *rest++ = '\0';
    order->task.job = *name;
    return sscanf(rest, "%u.%u.%u", &order->task.occurrence, &order->task.step,
                  &order->task.index) == 3;
}

/* Stores the payload of a start, since the model requests a task's plan by the
 * task's name only. */
static void
store_payload(struct platform *platform, const struct cw_target_order *order,
              const json_t *body)
{
    const char *payload = json_string_value(json_object_get(body, "spec"));

    if (order->kind == CW_ORDER_START && payload != NULL) {
        pthread_mutex_lock(&platform->lock);
        g_hash_table_replace(platform->payloads, g_strdup(order->task.job),
                             g_strdup(payload));
        pthread_mutex_unlock(&platform->lock);
    }
}

enum order_fate { ORDER_EXECUTED, ORDER_HELD, ORDER_REFUSED };

static void
print_fate(const struct cw_target_order *order, const char *fate,
           const char *worker, int64_t delay_ms)
{
    char *name = task_name(&order->task);

    printf("%s task=%s run=%u worker=%s order=%s ms=%" PRId64 " at_ms=%" PRId64
           "\n",
           fate, name, order->run, worker,
           order->kind == CW_ORDER_START ? "start" : "stop", delay_ms,
           cw_clock_wall_ms(cw_clock_system()));
    fflush(stdout);
    g_free(name);
}

/* Decides whether the order is executed at once, or after `delay_ms`. */
static enum order_fate
decide_fate(struct worker_server *worker, const struct cw_target_order *order,
            int64_t *delay_ms)
{
    struct platform *platform = worker->platform;
    enum order_fate fate = ORDER_EXECUTED;

    if (order->kind == CW_ORDER_POLL) {
        return ORDER_EXECUTED;
    }
    pthread_mutex_lock(&platform->lock);
    if (standin_now_ms() < worker->late_until_ms) {
        if (g_rand_int_range(worker->random, 0, PERCENT) <
            worker->held_percent) {
            fate = ORDER_HELD;
            *delay_ms = HELD_MIN_MS +
                        g_rand_int_range(worker->random, 0, HELD_SPAN_MS);
            print_fate(order, "held", worker->id, *delay_ms);
        }
        else if (order->kind == CW_ORDER_START &&
                 g_rand_int_range(worker->random, 0, PERCENT) <
                     worker->refused_percent)
        {
            fate = ORDER_REFUSED;
            print_fate(order, "refused", worker->id, 0);
        }
    }
    pthread_mutex_unlock(&platform->lock);
    return fate;
}

static void *
execute_order(void *argument)
{
    struct deferred_call *deferred_call = argument;
    struct platform *platform = deferred_call->platform;
    struct cw_http_call *call = deferred_call->call;
    size_t length = 0;
    const char *text = cw_http_call_body(call, &length);
    json_t *body = json_loadb(text, length, 0, NULL);
    struct cw_target_order order = {0};
    char *name = NULL;
    int64_t delay_ms = 0;

    deferred_call->boot_ms = cw_http_call_connection_tag(call);
    if (!decode_order(call, body, &name, &order)) {
        standin_answer(call, 400, json_object());
        goto done;
    }
    store_payload(platform, &order, body);
    if (decide_fate(deferred_call->worker, &order, &delay_ms) == ORDER_REFUSED)
    {
        standin_answer(call, 503, json_object());
        goto done;
    }
    /* The daemon has given up waiting before this ends. */
    g_usleep((gulong)delay_ms * 1000);
    deferred_call->until_ms +=
        order.kind == CW_ORDER_POLL
            ? json_integer_value(json_object_get(body, "wait_ms"))
            : 0;
    for (;;) {
        GArray *running = g_array_new(FALSE, TRUE, sizeof(struct cw_running));
        GArray *ended = g_array_new(FALSE, TRUE, sizeof(struct cw_ended));
        GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
        struct cw_target_answer answer = {.status = CW_TARGET_UNKNOWN};
        struct worker_model *worker;
        bool last;

        pthread_mutex_lock(&platform->lock);
        worker_fleet_advance(platform->fleet, standin_fleet_now_ms());
        worker = worker_fleet_find(platform->fleet, deferred_call->worker->id);
        /* Orders that wait in a worker, or on a connection to the worker, are
         * lost when the worker's incarnation ends. */
        if (!worker_model_is_down(worker) &&
            deferred_call->boot_ms == worker_model_boot_ms(worker))
        {
            worker_model_order(worker, &order, standin_fleet_now_ms(), &answer,
                               running, ended, texts);
        }
        pthread_mutex_unlock(&platform->lock);
        last = answer.ended_count > 0 || answer.status != CW_TARGET_OK ||
               standin_now_ms() >= deferred_call->until_ms;
        if (last) {
            answer_order(platform, call, &answer);
        }
        g_array_unref(running);
        g_array_unref(ended);
        g_ptr_array_unref(texts);
        if (last) {
            break;
        }
        order.lease_until_ms = 0; /* the lease was granted on arrival */
        g_usleep(POLL_INTERVAL_MS * 1000);
    }

done:
    g_free(name);
    json_decref(body);
    g_free(deferred_call);
    return NULL;
}

int64_t
standin_connection_boot_ms(void *context)
{
    struct worker_server *server = context;
    const struct worker_model *worker;
    int64_t boot_ms;

    pthread_mutex_lock(&server->platform->lock);
    worker = worker_fleet_find(server->platform->fleet, server->id);
    boot_ms = worker_model_is_down(worker) ? 0 : worker_model_boot_ms(worker);
    pthread_mutex_unlock(&server->platform->lock);
    return boot_ms;
}

void
standin_handle_worker(void *context, struct cw_http_call *call)
{
    struct worker_server *worker = context;

    standin_defer_call(worker->platform, worker, call, 0, execute_order);
}

/* ---- callbacks of the model of the workers ---- */

/* Returns the number after "NAME=" in a payload, or `fallback`. */
static unsigned
payload_number(const char *payload, const char *name, unsigned fallback)
{
    char *key = g_strdup_printf("%s=", name);
    const char *found = strstr(payload, key);
    unsigned value = fallback;

    if (found != NULL) {
        value = (unsigned)strtoul(found + strlen(key), NULL, 10);
    }
    g_free(key);
    return value;
}

static bool
get_plan(void *context, const struct cw_task_name *task, struct task_plan *out)
{
    struct platform *platform = context;
    const char *payload = g_hash_table_lookup(platform->payloads, task->job);

    payload = payload != NULL ? payload : "";
    out->work_ms = payload_number(payload, "run_ms", DEFAULT_TASK_MS);
    out->members = payload_number(payload, "members", 0);
    out->fails = payload_number(payload, "fails", 0);
    out->text_bytes = payload_number(payload, "saved_bytes", 0);
    out->checkpoints = out->text_bytes > 0;
    out->crashes = payload_number(payload, "crash", 0) > 0 &&
                   task->step == 0 && task->index == 0;
    out->need.accelerators = payload_number(payload, "accelerators", 1);
    return true;
}

static void
report_violation(struct platform *platform, const char *rule, const char *task)
{
    printf("violation %s task=%s\n", rule, task);
    platform->violations++;
}

/* True if the worker has the label that the payload requires. */
static bool
has_label(struct platform *platform, const char *worker, const char *payload)
{
    const char *found = strstr(payload, "label=");
    const struct worker_model *model =
        worker_fleet_find(platform->fleet, worker);
    char label[LABEL_BYTES] = "";

    return found == NULL || sscanf(found, "label=%63s", label) != 1 ||
           strcmp(label, STANDIN_LABEL) == 0 ||
           strcmp(label, worker_model_rack(model)) == 0;
}

/* Adds to the number of runs of the task's step on a worker; returns it. */
static unsigned
count_on_worker(struct platform *platform, const char *worker,
                const struct cw_task_name *task, int more)
{
    char *key = g_strdup_printf("%s.%u.%u@%s", task->job, task->occurrence,
                                task->step, worker);
    int count =
        GPOINTER_TO_INT(g_hash_table_lookup(platform->on_worker, key)) + more;

    g_hash_table_replace(platform->on_worker, key, GINT_TO_POINTER(count));
    return (unsigned)count;
}

static void
check_route(struct platform *platform, const char *worker,
            const struct cw_task_name *task, const char *name)
{
    const char *payload = g_hash_table_lookup(platform->payloads, task->job);
    unsigned count = count_on_worker(platform, worker, task, 1);

    if (payload == NULL) {
        return;
    }
    if (!has_label(platform, worker, payload)) {
        report_violation(platform, "label", name);
    }
    if (count > payload_number(payload, "most_per_worker", UINT_MAX)) {
        report_violation(platform, "limit", name);
    }
}

static void
on_started(void *context, const char *worker, const struct cw_task_name *task,
           unsigned run)
{
    struct platform *platform = context;
    char *name = task_name(task);
    unsigned active =
        GPOINTER_TO_UINT(g_hash_table_lookup(platform->active, name));

    printf("started task=%s run=%u worker=%s at_ms=%" PRId64 "\n", name, run,
           worker, cw_clock_wall_ms(cw_clock_system()));
    if (active > 0) {
        report_violation(platform, "twice", name);
    }
    if (g_hash_table_contains(platform->done, name)) {
        report_violation(platform, "done", name);
    }
    check_route(platform, worker, task, name);
    fflush(stdout);
    g_hash_table_insert(platform->active, name, GUINT_TO_POINTER(active + 1));
}

static void
on_ended(void *context, const char *worker, const struct cw_task_name *task,
         unsigned run, enum cw_end_kind how)
{
    struct platform *platform = context;
    char *name = task_name(task);

    printf("ended task=%s run=%u worker=%s how=%s at_ms=%" PRId64 "\n", name,
           run, worker, cw_end_kind_name(how),
           cw_clock_wall_ms(cw_clock_system()));
    fflush(stdout);
    g_hash_table_insert(platform->active, name, GUINT_TO_POINTER(0));
    (void)count_on_worker(platform, worker, task, -1);
}

/* Records a task that is done.  If one member of a gang is done, so is the
 * whole gang; only this member is recorded, since the other members' names are
 * not available here. */
static void
on_confirmed(void *context, const char *worker,
             const struct cw_task_name *task, unsigned run,
             enum cw_end_kind how, bool lapsed)
{
    struct platform *platform = context;

    (void)worker;
    (void)run;
    if (how == CW_END_KIND_DONE && !lapsed) {
        g_hash_table_add(platform->done, task_name(task));
    }
}

static void
on_crashed(void *context, const char *worker, const struct cw_task_name *task)
{
    struct platform *platform = context;
    const char *payload = g_hash_table_lookup(platform->payloads, task->job);
    char *name = task_name(task);

    if (payload != NULL &&
        payload_number(payload, "crash", 0) == CRASH_KEEPS_ID) {
        platform->next_crash_keeps_id = true;
    }
    printf("crashed task=%s worker=%s\n", name, worker);
    fflush(stdout);
    g_free(name);
}

static void
on_down(void *context, struct worker_model *worker)
{
    struct platform *platform = context;

    for (guint i = 0; i < platform->workers->len; i++) {
        struct worker_server *server = platform->workers->pdata[i];

        if (strcmp(server->id, worker_model_id(worker)) == 0) {
            server->crashed_at_ms = standin_now_ms();
            server->downtime_ms = CRASH_DOWNTIME_MS;
            server->keeps_id = platform->next_crash_keeps_id;
            server->stays_listed = false;
            server->leaves_at_ms = 0;
        }
    }
    platform->next_crash_keeps_id = false;
}

struct worker_listener
standin_worker_listener(struct platform *platform)
{
    struct worker_listener listener = {.plan = get_plan,
                                       .started = on_started,
                                       .ended = on_ended,
                                       .confirmed = on_confirmed,
                                       .crashed = on_crashed,
                                       .down = on_down,
                                       .context = platform};

    return listener;
}

/* The emulator's model of a worker. */
#include "test_main.h"

#include <limits.h>
#include <stdio.h>

#include "emulator/worker_model.h"

enum { LEASE_END_MS = 3000, WORK_MS = 1000, NUMBER_MAX = 10 };

static bool lapsed;

static bool
plan(void *context, const struct cw_task_name *task, struct task_plan *out)
{
    (void)context;
    (void)task;
    *out = (struct task_plan){.work_ms = WORK_MS, .need = {.accelerators = 1}};
    return true;
}

static void
ignore_start(void *context, const char *worker,
             const struct cw_task_name *task, unsigned run)
{
    (void)context;
    (void)worker;
    (void)task;
    (void)run;
}

static void
ignore_end(void *context, const char *worker, const struct cw_task_name *task,
           unsigned run, enum cw_end_kind how)
{
    (void)context;
    (void)worker;
    (void)task;
    (void)run;
    (void)how;
}

static void
record_lapsed(void *context, const char *worker,
              const struct cw_task_name *task, unsigned run,
              enum cw_end_kind how, bool has_lapsed)
{
    (void)context;
    (void)worker;
    (void)task;
    (void)run;
    (void)how;
    lapsed = has_lapsed;
}

static void
send_order(struct worker_model *worker, const struct cw_target_order *order,
           int64_t now_ms)
{
    GArray *running = g_array_new(FALSE, TRUE, sizeof(struct cw_running));
    GArray *ended = g_array_new(FALSE, TRUE, sizeof(struct cw_ended));
    GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
    struct cw_target_answer answer = {0};

    worker_model_order(worker, order, now_ms, &answer, running, ended, texts);
    CU_ASSERT_EQUAL(answer.status, CW_TARGET_OK);
    g_array_unref(running);
    g_array_unref(ended);
    g_ptr_array_unref(texts);
}

/* Guards against a lapse that is not counted when an order that renews nothing
 * arrives in the millisecond in which the lease ends. */
static void
test_lease_lapses_when_it_ends(void)
{
    struct worker_listener listener = {.plan = plan,
                                       .started = ignore_start,
                                       .ended = ignore_end,
                                       .confirmed = record_lapsed};
    struct cw_resources capacity = {
        .cpu_milli = 1000, .memory_mb = 1000, .accelerators = 8};
    struct worker_fleet *fleet = worker_fleet_create(&listener);
    struct worker_model *worker =
        worker_fleet_add(fleet, "w", "r0", &capacity, 0);
    struct cw_target_order order = {.kind = CW_ORDER_START,
                                    .address = "w",
                                    .id = "w",
                                    .fence = 1,
                                    .task = {.job = "0000000000000001"},
                                    .run = 1,
                                    .payload = "",
                                    .saved = "",
                                    .lease_until_ms = LEASE_END_MS};

    lapsed = false;
    send_order(worker, &order, 0);
    worker_fleet_advance(fleet, LEASE_END_MS);
    order.kind = CW_ORDER_POLL;
    send_order(worker, &order, LEASE_END_MS);
    order.lease_until_ms = 2 * LEASE_END_MS;
    order.acked = NUMBER_MAX;
    send_order(worker, &order, LEASE_END_MS + 1);
    CU_ASSERT_TRUE(lapsed);
    worker_fleet_free(fleet);
}

/* What a worker has received before a start arrives. */
struct arrival {
    const char *what;
    struct cw_target_order before; /* CW_ORDER_POLL: grants a lease only */
    struct cw_target_order start;
    int64_t at_ms;
    bool starts;
};

static unsigned starts_seen;

static void
count_start(void *context, const char *worker, const struct cw_task_name *task,
            unsigned run)
{
    (void)context;
    (void)worker;
    (void)task;
    (void)run;
    starts_seen++;
}

static enum cw_target_status
status_of(struct worker_model *worker, const struct cw_target_order *order,
          int64_t now_ms)
{
    GArray *running = g_array_new(FALSE, TRUE, sizeof(struct cw_running));
    GArray *ended = g_array_new(FALSE, TRUE, sizeof(struct cw_ended));
    GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
    struct cw_target_answer answer = {0};

    worker_model_order(worker, order, now_ms, &answer, running, ended, texts);
    g_array_unref(running);
    g_array_unref(ended);
    g_ptr_array_unref(texts);
    return answer.status;
}

/* Guards against a check for starts that may still begin that does not do what
 * the model does when they arrive. */
static void
test_a_start_is_predicted_as_it_is_carried_out(void)
{
    static const struct arrival arrivals[] = {
        {"the start's lease lasts",
         {CW_ORDER_POLL},
         {.run = 1, .lease_until_ms = 900},
         800,
         true},
        {"no lease lasts",
         {CW_ORDER_POLL},
         {.run = 1, .lease_until_ms = 700},
         800,
         false},
        {"the worker's lease lasts",
         {CW_ORDER_POLL, .lease_until_ms = 900},
         {.run = 1, .lease_until_ms = 700},
         800,
         true},
        {"a lease ends as it arrives",
         {CW_ORDER_POLL, .lease_until_ms = 800},
         {.run = 1, .lease_until_ms = 800},
         800,
         false},
        {"lower token",
         {CW_ORDER_POLL, .fence = 2},
         {.run = 1, .fence = 1, .lease_until_ms = 900},
         800,
         false},
        {"higher token",
         {CW_ORDER_POLL, .fence = 2},
         {.run = 1, .fence = 3, .lease_until_ms = 900},
         800,
         true},
        {"stopped before",
         {CW_ORDER_STOP, .run = 2},
         {.run = 2, .lease_until_ms = 900},
         800,
         false},
        {"an earlier run was stopped",
         {CW_ORDER_STOP, .run = 2},
         {.run = 3, .lease_until_ms = 900},
         800,
         true},
        {"it has begun",
         {CW_ORDER_START, .run = 1, .lease_until_ms = 900},
         {.run = 1, .lease_until_ms = 900},
         800,
         false},
        {"it has ended",
         {CW_ORDER_START, .run = 1, .lease_until_ms = 9000},
         {.run = 1, .lease_until_ms = 9000},
         WORK_MS + 10,
         false},
        {"another worker",
         {CW_ORDER_POLL},
         {.id = "v", .run = 1, .lease_until_ms = 900},
         800,
         false},
    };
    const struct worker_listener listener = {.plan = plan,
                                             .started = count_start,
                                             .ended = ignore_end,
                                             .confirmed = record_lapsed};
    const struct cw_resources capacity = {.accelerators = 8};

    for (size_t i = 0; i < G_N_ELEMENTS(arrivals); i++) {
        struct worker_fleet *fleet = worker_fleet_create(&listener);
        struct worker_model *worker =
            worker_fleet_add(fleet, "w", "r0", &capacity, 0);
        struct cw_target_order before = arrivals[i].before;
        struct cw_target_order start = arrivals[i].start;

        before.id = "w";
        before.task.job = "0000000000000001";
        start.kind = CW_ORDER_START;
        start.id = start.id != NULL ? start.id : "w";
        start.task.job = "0000000000000001";
        CU_ASSERT_EQUAL(status_of(worker, &before, 1), CW_TARGET_OK);
        worker_fleet_advance(fleet, arrivals[i].at_ms - 1);
        starts_seen = 0;
        CU_ASSERT_EQUAL(
            worker_model_would_start(worker, &start, arrivals[i].at_ms),
            arrivals[i].starts);
        (void)status_of(worker, &start, arrivals[i].at_ms);
        CU_ASSERT_EQUAL(starts_seen, arrivals[i].starts);
        if (starts_seen != arrivals[i].starts) {
            printf("%s\n", arrivals[i].what);
        }
        worker_fleet_free(fleet);
    }
}

/* A gang of two equal members. */
static bool
plan_gang(void *context, const struct cw_task_name *task,
          struct task_plan *out)
{
    (void)plan(context, task, out);
    out->members = 2;
    return true;
}

static unsigned
percent_of(struct worker_model *worker, const struct cw_target_order *poll,
           int64_t now_ms)
{
    GArray *running = g_array_new(FALSE, TRUE, sizeof(struct cw_running));
    GArray *ended = g_array_new(FALSE, TRUE, sizeof(struct cw_ended));
    GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
    struct cw_target_answer answer = {0};
    unsigned percent = UINT_MAX;

    worker_model_order(worker, poll, now_ms, &answer, running, ended, texts);
    if (running->len == 1) {
        percent = g_array_index(running, struct cw_running, 0).percent;
    }
    g_array_unref(running);
    g_array_unref(ended);
    g_ptr_array_unref(texts);
    return percent;
}

/* Percents of a gang's members at WORK_MS / 2, at 2 * WORK_MS, and when the
 * second worker has recovered for WORK_MS / 10. */
static void
test_members_rise_at_the_speeds_of_their_workers(void)
{
    const struct worker_listener listener = {.plan = plan_gang,
                                             .started = ignore_start,
                                             .ended = ignore_end,
                                             .confirmed = record_lapsed};
    const struct cw_resources capacity = {.accelerators = 8};
    struct worker_fleet *fleet = worker_fleet_create(&listener);
    struct worker_model *workers[] = {
        worker_fleet_add(fleet, "v", "r0", &capacity, 0),
        worker_fleet_add(fleet, "w", "r0", &capacity, 0)};
    struct cw_target_order order = {.kind = CW_ORDER_START,
                                    .fence = 1,
                                    .task = {.job = "0000000000000001"},
                                    .run = 1,
                                    .lease_until_ms = 2 * LEASE_END_MS};

    worker_model_set_lasting_speed(workers[0], 1.6);
    worker_model_set_slowdown(workers[1], 4);
    for (unsigned i = 0; i < G_N_ELEMENTS(workers); i++) {
        order.id = worker_model_id(workers[i]);
        order.task.index = i;
        CU_ASSERT_EQUAL(status_of(workers[i], &order, 0), CW_TARGET_OK);
    }
    worker_fleet_advance(fleet, 1); /* the gang is complete */
    order.kind = CW_ORDER_POLL;
    order.id = "v";
    CU_ASSERT_EQUAL(percent_of(workers[0], &order, 1 + WORK_MS / 2), 80);
    CU_ASSERT_EQUAL(percent_of(workers[0], &order, 1 + 2 * WORK_MS), 100);
    order.id = "w";
    CU_ASSERT_EQUAL(percent_of(workers[1], &order, 1 + 2 * WORK_MS), 50);
    worker_model_set_slowdown(workers[1], 1);
    CU_ASSERT_EQUAL(percent_of(workers[1], &order, 1 + WORK_MS / 10 * 21), 60);
    worker_fleet_advance(fleet, 1 + 3 * WORK_MS);
    CU_ASSERT_EQUAL(worker_model_running(workers[0]), 0);
    CU_ASSERT_EQUAL(worker_model_running(workers[1]), 0);
    worker_fleet_free(fleet);
}

/* An incarnation with a new id is on the same machine. */
static void
test_next_incarnation_is_as_slow(void)
{
    const struct worker_listener listener = {.plan = plan,
                                             .started = ignore_start,
                                             .ended = ignore_end,
                                             .confirmed = record_lapsed};
    const struct cw_resources capacity = {.accelerators = 8};
    struct worker_fleet *fleet = worker_fleet_create(&listener);
    struct worker_model *worker =
        worker_fleet_add(fleet, "w", "r0", &capacity, 0);
    struct cw_target_order order = {.kind = CW_ORDER_START,
                                    .fence = 1,
                                    .task = {.job = "0000000000000001"},
                                    .run = 1,
                                    .lease_until_ms = LEASE_END_MS};

    worker_model_set_lasting_speed(worker, 0.8);
    worker_model_set_slowdown(worker, 2);
    worker_model_crash(worker);
    worker = worker_fleet_restart_with_new_id(fleet, worker, 0);
    order.id = worker_model_id(worker);
    CU_ASSERT_EQUAL(status_of(worker, &order, 0), CW_TARGET_OK);
    order.kind = CW_ORDER_POLL;
    CU_ASSERT_EQUAL(percent_of(worker, &order, WORK_MS), 40);
    worker_fleet_free(fleet);
}

static const struct test tests[] = {
    {"prediction", test_a_start_is_predicted_as_it_is_carried_out},
    {"speeds of a gang's workers",
     test_members_rise_at_the_speeds_of_their_workers},
    {"speed of the next incarnation", test_next_incarnation_is_as_slow},
    {"lapse", test_lease_lapses_when_it_ends},
};

TEST_MAIN("worker model", tests)

/* Tests of orders to workers over HTTP. */
#include "test_main.h"

#include "platform/platform.h"
#include "one_answer_server.h"

enum { TIMEOUT_MS = 5000 };

/* What an answer was decoded to. */
struct decoded {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool answered;
    enum cw_target_status status;
    size_t running_count;
    size_t ended_count;
    unsigned percent; /* of the first run */
    bool any_saved;   /* some run has a checkpoint */
};

static void
on_answer(void *context, const struct cw_target_answer *answer)
{
    struct decoded *decoded = context;

    pthread_mutex_lock(&decoded->lock);
    decoded->answered = true;
    decoded->status = answer->status;
    decoded->running_count = answer->running_count;
    decoded->ended_count = answer->ended_count;
    for (size_t i = 0; i < answer->running_count; i++) {
        decoded->any_saved =
            decoded->any_saved || answer->running[i].saved[0] != '\0';
    }
    if (answer->running_count > 0) {
        decoded->percent = answer->running[0].percent;
    }
    pthread_cond_broadcast(&decoded->changed);
    pthread_mutex_unlock(&decoded->lock);
}

/* Sends an order to a worker that gives this answer. */
static struct decoded
send_order(enum cw_order_kind kind, const char *text)
{
    pthread_mutex_t engine_lock = PTHREAD_MUTEX_INITIALIZER;
    struct decoded decoded = {.lock = PTHREAD_MUTEX_INITIALIZER,
                              .changed = PTHREAD_COND_INITIALIZER};
    struct platform_options options = {.client = cw_http_client_create(NULL),
                                       .engine_lock = &engine_lock};
    struct cw_targets *targets = platform_targets_new(&options);
    struct one_answer_server worker;
    struct cw_target_order order = {.kind = kind,
                                    .address = worker.address,
                                    .id = "i-1",
                                    .fence = 7,
                                    .task = {.job = "5c0e7a21d94b36f8"},
                                    .run = 1,
                                    .payload = "",
                                    .timeout_ms = TIMEOUT_MS,
                                    .done = on_answer,
                                    .context = &decoded};

    one_answer_server_start(&worker, text);
    targets->ops->order(targets, &order);
    pthread_mutex_lock(&decoded.lock);
    while (!decoded.answered) {
        pthread_cond_wait(&decoded.changed, &decoded.lock);
    }
    pthread_mutex_unlock(&decoded.lock);
    one_answer_server_stop(&worker);
    cw_http_client_free(options.client);
    platform_targets_free(targets);
    return decoded;
}

static void
test_list_of_runs_is_decoded(void)
{
    struct decoded decoded =
        send_order(CW_ORDER_POLL,
                   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                   "{\"clock_ms\":5,\"running\":[[\"a.0.0.0\",1,\"\",9]]}");

    CU_ASSERT_EQUAL(decoded.status, CW_TARGET_OK);
    CU_ASSERT_EQUAL(decoded.running_count, 1);
    CU_ASSERT_EQUAL(decoded.percent, 9);
}

static void
test_unreadable_progress_is_told_apart(void)
{
    static const char *const values[] = {"null", "\"9\"", "-1", "1e300"};

    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        char *text = g_strdup_printf(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
            "{\"clock_ms\":5,\"running\":[[\"a.0.0.0\",1,\"\",%s]]}",
            values[i]);
        struct decoded decoded = send_order(CW_ORDER_POLL, text);

        CU_ASSERT_EQUAL(decoded.running_count, 1);
        CU_ASSERT_EQUAL(decoded.percent, CW_PERCENT_UNREADABLE);
        g_free(text);
    }
}

/* TWICE: a run that a list lacks counts as over, and its task is placed again.
 * An answer without Content-Length ends with its connection, also if the
 * worker has not sent all of it. */
static void
test_incomplete_list_of_runs_is_no_answer(void)
{
    static const char *const bodies[] = {
        "", "{\"clock_ms\":5,\"running\":[[\"a.0.0.0\",1,\"\",9]", "[]"};

    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        char *text = g_strdup_printf(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", bodies[i]);
        struct decoded decoded = send_order(CW_ORDER_POLL, text);

        CU_ASSERT_EQUAL(decoded.status, CW_TARGET_UNKNOWN);
        g_free(text);
    }
}

static struct decoded
poll_answered(const char *lists)
{
    char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                                 "{\"clock_ms\":1e300,%s}",
                                 lists);
    struct decoded decoded = send_order(CW_ORDER_POLL, text);

    g_free(text);
    return decoded;
}

/* Guards against rows that are taken for a run or an end of another task:
 * their numbers do not fit. */
static void
test_odd_rows_are_no_runs(void)
{
    struct decoded decoded = poll_answered(
        "\"running\":[[\"a.4294967296.0.0\",1,\"\",9],[\"a.-1.0.0\",1,\"\",9],"
        "[\"a.0.0\",1,\"\",9],[\"a..0.0\",1,\"\",9],[7],[],8],"
        "\"ended\":[[1,\"a.0.0.0\",4294967297,\"done\",\"\"],"
        "[-1,\"a.0.0.0\",1,\"done\",\"\"],[1e300,\"a.0.0.0\",1,\"done\",\"\"],"
        "[1,\"a.0.0.4294967296\",1,\"done\",\"\"],"
        "[2,\"a.0.0.0\",1,\"done\",\"\"]]");

    CU_ASSERT_EQUAL(decoded.status, CW_TARGET_OK);
    CU_ASSERT_EQUAL(decoded.running_count, 0);
    CU_ASSERT_EQUAL(decoded.ended_count, 1);
}

/* TWICE: a task of ours runs there, under a number that cannot be read.  The
 * list must not be taken for one without that run. */
static void
test_a_list_with_an_unreadable_run_is_no_answer(void)
{
    static const char *const runs[] = {"0", "-1", "4294967297", "\"1\"",
                                       "1e300"};

    for (size_t i = 0; i < G_N_ELEMENTS(runs); i++) {
        char *lists =
            g_strdup_printf("\"running\":[[\"a.0.0.0\",%s,\"\",9]]", runs[i]);

        CU_ASSERT_EQUAL(poll_answered(lists).status, CW_TARGET_UNKNOWN);
        g_free(lists);
    }
}

/* Guards against a checkpoint that is cut at a NUL character: a start would
 * carry one that is not the task's. */
static void
test_a_checkpoint_that_is_no_text_is_left_out(void)
{
    struct decoded decoded =
        poll_answered("\"running\":[[\"a.0.0.0\",1,\"x\\u0000y\",9]]");

    CU_ASSERT_EQUAL(decoded.status, CW_TARGET_OK);
    CU_ASSERT_EQUAL(decoded.running_count, 1);
    CU_ASSERT_FALSE(decoded.any_saved);
}

/* The status alone tells that a start was carried out. */
static void
test_start_needs_no_body(void)
{
    struct decoded decoded =
        send_order(CW_ORDER_START, "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                   "Content-Length: 0\r\n\r\n");

    CU_ASSERT_EQUAL(decoded.status, CW_TARGET_OK);
}

static const struct test tests[] = {
    {"list", test_list_of_runs_is_decoded},
    {"unreadable progress", test_unreadable_progress_is_told_apart},
    {"incomplete list", test_incomplete_list_of_runs_is_no_answer},
    {"odd rows", test_odd_rows_are_no_runs},
    {"unreadable run", test_a_list_with_an_unreadable_run_is_no_answer},
    {"odd checkpoint", test_a_checkpoint_that_is_no_text_is_left_out},
    {"start", test_start_needs_no_body},
};

TEST_MAIN("targets", tests)

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
    unsigned percent; /* of the first run */
};

static void
on_answer(void *context, const struct cw_target_answer *answer)
{
    struct decoded *decoded = context;

    pthread_mutex_lock(&decoded->lock);
    decoded->answered = true;
    decoded->status = answer->status;
    decoded->running_count = answer->running_count;
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
    {"start", test_start_needs_no_body},
};

TEST_MAIN("targets", tests)

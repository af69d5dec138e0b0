/* Tests of calls to the platform's store over HTTP. */
#include "test_main.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/platform.h"

enum { TIMEOUT_MS = 5000, REQUEST_BYTES_MAX = 4096 };

/* An answer of the store, and the status that a call got from it. */
struct exchange {
    int listener;
    char address[32];
    const char *answer; /* as sent; the connection is closed after it */
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool answered;
    enum cw_store_status status;
    struct cw_http_client *client;
    struct cw_store *store;
};

static void *
store_main(void *argument)
{
    struct exchange *exchange = argument;
    char request[REQUEST_BYTES_MAX];
    int connection = accept(exchange->listener, NULL, NULL);

    (void)recv(connection, request, sizeof(request), 0);
    (void)send(connection, exchange->answer, strlen(exchange->answer),
               MSG_NOSIGNAL);
    close(connection);
    return NULL;
}

static void
exchange_begin(struct exchange *exchange, const char *answer)
{
    static pthread_mutex_t engine_lock = PTHREAD_MUTEX_INITIALIZER;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t length = sizeof(address);
    struct platform_options options = {.engine_lock = &engine_lock};

    memset(exchange, 0, sizeof(*exchange));
    pthread_mutex_init(&exchange->lock, NULL);
    pthread_cond_init(&exchange->changed, NULL);
    exchange->answer = answer;
    exchange->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert(bind(exchange->listener, (struct sockaddr *)&address,
                  sizeof(address)) == 0);
    g_assert(listen(exchange->listener, 1) == 0);
    getsockname(exchange->listener, (struct sockaddr *)&address, &length);
    g_snprintf(exchange->address, sizeof(exchange->address), "127.0.0.1:%u",
               ntohs(address.sin_port));
    g_assert(pthread_create(&exchange->thread, NULL, store_main, exchange) ==
             0);
    exchange->client = cw_http_client_create(NULL);
    options.client = exchange->client;
    options.store_address = exchange->address;
    exchange->store = platform_store_new(&options);
}

static void
answered(struct exchange *exchange, enum cw_store_status status)
{
    pthread_mutex_lock(&exchange->lock);
    exchange->answered = true;
    exchange->status = status;
    pthread_cond_broadcast(&exchange->changed);
    pthread_mutex_unlock(&exchange->lock);
}

static enum cw_store_status
exchange_end(struct exchange *exchange)
{
    pthread_mutex_lock(&exchange->lock);
    while (!exchange->answered) {
        pthread_cond_wait(&exchange->changed, &exchange->lock);
    }
    pthread_mutex_unlock(&exchange->lock);
    pthread_join(exchange->thread, NULL);
    close(exchange->listener);
    cw_http_client_free(exchange->client);
    platform_store_free(exchange->store);
    return exchange->status;
}

static void
on_appended(void *context, const struct cw_store_append_result *result)
{
    answered(context, result->status);
}

static enum cw_store_status
append(const char *answer)
{
    struct exchange exchange;
    struct cw_store_append call = {.topic = "t",
                                   .timeout_ms = TIMEOUT_MS,
                                   .done = on_appended,
                                   .context = &exchange};

    exchange_begin(&exchange, answer);
    exchange.store->ops->append(exchange.store, &call);
    return exchange_end(&exchange);
}

static void
on_joined(void *context, const struct cw_store_join_result *result)
{
    answered(context, result->status);
}

static enum cw_store_status
join(const char *answer)
{
    struct exchange exchange;
    struct cw_store_join call = {.group = "g",
                                 .member = "m",
                                 .topic = "t",
                                 .ttl_ms = 1000,
                                 .timeout_ms = TIMEOUT_MS,
                                 .done = on_joined,
                                 .context = &exchange};

    exchange_begin(&exchange, answer);
    exchange.store->ops->join(exchange.store, &call);
    return exchange_end(&exchange);
}

/* TWICE: the end that an append returns is the offset up to which a new owner
 * has to read.  An owner that took 0 for it would act without its
 * predecessor's runs. */
static void
test_incomplete_answer_to_append_is_no_answer(void)
{
    CU_ASSERT_EQUAL(append("HTTP/1.1 200 OK\r\n\r\n{\"offset\":7,\"en"),
                    CW_STORE_UNKNOWN);
    CU_ASSERT_EQUAL(append("HTTP/1.1 200 OK\r\n\r\n"), CW_STORE_UNKNOWN);
    CU_ASSERT_EQUAL(append("HTTP/1.1 200 OK\r\n\r\n{\"offset\":7,\"end\":8}"),
                    CW_STORE_OK);
}

/* Guards against a refusal without its reason: it would be taken for one of
 * the sequence number, with 0 as the number that is expected. */
static void
test_incomplete_refusal_of_append_is_no_answer(void)
{
    CU_ASSERT_EQUAL(append("HTTP/1.1 409 Conflict\r\n\r\n{\"reason\":\"fe"),
                    CW_STORE_UNKNOWN);
    CU_ASSERT_EQUAL(
        append("HTTP/1.1 409 Conflict\r\n\r\n{\"reason\":\"fenced\"}"),
        CW_STORE_FENCED);
}

/* Guards against a member that gives its shard up as no partition is listed.
 */
static void
test_incomplete_answer_to_join_is_no_answer(void)
{
    CU_ASSERT_EQUAL(join("HTTP/1.1 200 OK\r\n\r\n{\"generation\":3,\"par"),
                    CW_STORE_UNKNOWN);
    CU_ASSERT_EQUAL(
        join("HTTP/1.1 200 OK\r\n\r\n{\"generation\":3,\"parts\":[]}"),
        CW_STORE_OK);
}

static const struct test tests[] = {
    {"incomplete append", test_incomplete_answer_to_append_is_no_answer},
    {"incomplete refusal", test_incomplete_refusal_of_append_is_no_answer},
    {"incomplete join", test_incomplete_answer_to_join_is_no_answer},
};

TEST_MAIN("store", tests)

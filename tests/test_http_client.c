/* Tests of the HTTP client: connections that stop answering, and requests that
 * were never sent. */
#include "test_main.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <ck_pr.h>

#include "curlewcart/cw_http_client.h"

enum {
    CONNECTIONS_MAX = 8,
    CALL_TIMEOUT_MS = 400,
    LONG_TIMEOUT_MS = 20000,
    POLL_MS = 5
};

/* A server that answers requests, except on connections that the test has made
 * unresponsive. */
struct server {
    int listener;
    uint16_t port;
    pthread_t thread;
    pthread_mutex_t lock; /* guards the following members */
    int connections[CONNECTIONS_MAX];
    unsigned count;
    /* Number of connections, beginning with the oldest, that are no longer
     * answered. */
    unsigned unresponsive_count;
    /* Number of connections, beginning with the oldest, that are closed when a
     * request was read from them. */
    unsigned closing_count;
    unsigned requests;   /* that were read */
    unsigned unanswered; /* requests that were read and not answered yet */
    bool paused;         /* no request is answered */
    bool stop;
};

static bool
read_request(int connection)
{
    char text[4096];
    ssize_t got = recv(connection, text, sizeof(text), MSG_DONTWAIT);

    return got > 0;
}

static void
serve_connection(struct server *server, unsigned index, bool *has_request)
{
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    if (read_request(server->connections[index])) {
        server->requests++;
        if (index < server->closing_count) {
            shutdown(server->connections[index], SHUT_RDWR);
            return;
        }
        has_request[index] = true;
        server->unanswered++;
    }
    if (has_request[index] && !server->paused &&
        index >= server->unresponsive_count)
    {
        has_request[index] = false;
        server->unanswered--;
        (void)send(server->connections[index], answer, strlen(answer),
                   MSG_NOSIGNAL);
    }
}

static void *
server_main(void *argument)
{
    struct server *server = argument;
    bool has_request[CONNECTIONS_MAX] = {false};
    bool stop = false;

    while (!stop) {
        struct pollfd wait = {.fd = server->listener, .events = POLLIN};
        bool waiting = poll(&wait, 1, POLL_MS) > 0;

        pthread_mutex_lock(&server->lock);
        if (waiting && server->count < CONNECTIONS_MAX) {
            int connection = accept(server->listener, NULL, NULL);

            if (connection >= 0) {
                server->connections[server->count++] = connection;
            }
        }
        for (unsigned i = 0; i < server->count; i++) {
            serve_connection(server, i, has_request);
        }
        stop = server->stop;
        pthread_mutex_unlock(&server->lock);
    }
    return NULL;
}

static void
server_start(struct server *server)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t length = sizeof(address);

    pthread_mutex_init(&server->lock, NULL);
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert(bind(server->listener, (struct sockaddr *)&address,
                  sizeof(address)) == 0);
    g_assert(listen(server->listener, CONNECTIONS_MAX) == 0);
    getsockname(server->listener, (struct sockaddr *)&address, &length);
    server->port = ntohs(address.sin_port);
    g_assert(pthread_create(&server->thread, NULL, server_main, server) == 0);
}

static void
server_stop(struct server *server)
{
    pthread_mutex_lock(&server->lock);
    server->stop = true;
    pthread_mutex_unlock(&server->lock);
    pthread_join(server->thread, NULL);
    for (unsigned i = 0; i < server->count; i++) {
        close(server->connections[i]);
    }
    close(server->listener);
}

/* Numbers of requests by their result. */
struct answers {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    unsigned count;
    unsigned ok;
    unsigned unsent;
};

static void
on_done(void *context, const struct cw_http_result *result)
{
    struct answers *answers = context;

    pthread_mutex_lock(&answers->lock);
    answers->count++;
    answers->ok += result->status == 200;
    answers->unsent += result->unsent;
    pthread_cond_broadcast(&answers->changed);
    pthread_mutex_unlock(&answers->lock);
}

static void
answers_wait(struct answers *answers, unsigned count)
{
    pthread_mutex_lock(&answers->lock);
    while (answers->count < count) {
        pthread_cond_wait(&answers->changed, &answers->lock);
    }
    pthread_mutex_unlock(&answers->lock);
}

static void
request_with_body(struct cw_http_client *client, uint16_t port,
                  struct answers *answers, long timeout_ms, const char *body)
{
    char url[64];
    struct cw_http_request request = {.url = url,
                                      .body = body,
                                      .length =
                                          body != NULL ? strlen(body) : 0,
                                      .timeout_ms = timeout_ms,
                                      .done = on_done,
                                      .context = answers};

    g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/x", port);
    cw_http_client_send(client, &request);
}

static void
request(struct cw_http_client *client, uint16_t port, struct answers *answers,
        long timeout_ms)
{
    request_with_body(client, port, answers, timeout_ms, NULL);
}

/* Sends three requests at a time, so that three connections are open and idle
 * afterwards. */
static void
open_three_connections(struct cw_http_client *client, struct server *server,
                       struct answers *answers)
{
    unsigned unanswered = 0;

    pthread_mutex_lock(&server->lock);
    server->paused = true;
    pthread_mutex_unlock(&server->lock);
    for (unsigned i = 0; i < 3; i++) {
        request(client, server->port, answers, LONG_TIMEOUT_MS);
    }
    while (unanswered < 3) {
        usleep(1000);
        pthread_mutex_lock(&server->lock);
        unanswered = server->unanswered;
        pthread_mutex_unlock(&server->lock);
    }
    pthread_mutex_lock(&server->lock);
    server->paused = false;
    pthread_mutex_unlock(&server->lock);
    answers_wait(answers, 3);
    CU_ASSERT_EQUAL(answers->ok, 3);
}

/* All open connections of a host stop answering at once, without a reset.
 * After one timeout the client must not reuse any of them, as each could cost
 * one more timeout. */
static void
test_one_timeout_retires_all_unresponsive_connections(void)
{
    struct server server = {0};
    struct answers answers = {.lock = PTHREAD_MUTEX_INITIALIZER,
                              .changed = PTHREAD_COND_INITIALIZER};
    struct cw_http_client *client = cw_http_client_create(NULL);

    server_start(&server);
    open_three_connections(client, &server, &answers);
    pthread_mutex_lock(&server.lock);
    server.unresponsive_count = 3;
    pthread_mutex_unlock(&server.lock);
    request(client, server.port, &answers, CALL_TIMEOUT_MS);
    answers_wait(&answers, 4);
    CU_ASSERT_EQUAL(answers.ok, 3);
    CU_ASSERT_EQUAL(answers.unsent, 0);
    for (unsigned i = 0; i < 3; i++) {
        request(client, server.port, &answers, LONG_TIMEOUT_MS);
        answers_wait(&answers, 5 + i);
    }
    CU_ASSERT_EQUAL(answers.ok, 6);
    cw_http_client_free(client);
    server_stop(&server);
}

/* The connection is never established, as the peer's queue of new connections
 * is full.  The request must be reported as not sent. */
static void
test_a_request_never_sent_is_reported_as_unsent(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t length = sizeof(address);
    struct answers answers = {.lock = PTHREAD_MUTEX_INITIALIZER,
                              .changed = PTHREAD_COND_INITIALIZER};
    struct cw_http_client *client = cw_http_client_create(NULL);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    int fillers[2];

    g_assert(bind(listener, (struct sockaddr *)&address, sizeof(address)) ==
             0);
    g_assert(listen(listener, 0) == 0);
    getsockname(listener, (struct sockaddr *)&address, &length);
    for (size_t i = 0; i < G_N_ELEMENTS(fillers); i++) {
        fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)connect(fillers[i], (struct sockaddr *)&address,
                      sizeof(address));
    }
    request(client, ntohs(address.sin_port), &answers, CALL_TIMEOUT_MS);
    answers_wait(&answers, 1);
    CU_ASSERT_EQUAL(answers.ok, 0);
    CU_ASSERT_EQUAL(answers.unsent, 1);
    cw_http_client_free(client);
    for (size_t i = 0; i < G_N_ELEMENTS(fillers); i++) {
        close(fillers[i]);
    }
    close(listener);
}

/* Sends one request, which is answered, and one for which the server closes
 * the connection that is still open. */
static void
break_reused_connection(struct cw_http_client *client, struct server *server,
                        struct answers *answers, const char *body)
{
    request_with_body(client, server->port, answers, LONG_TIMEOUT_MS, body);
    answers_wait(answers, 1);
    pthread_mutex_lock(&server->lock);
    server->closing_count = 1;
    pthread_mutex_unlock(&server->lock);
    request_with_body(client, server->port, answers, LONG_TIMEOUT_MS, body);
    answers_wait(answers, 2);
}

/* TWICE: the server may execute a request although its connection is closed
 * before an answer.  If the client sent the request again, the answer to the
 * second copy, such as a refusal, would be taken for the only one. */
static void
test_a_post_without_an_answer_is_not_sent_again(void)
{
    struct server server = {0};
    struct answers answers = {.lock = PTHREAD_MUTEX_INITIALIZER,
                              .changed = PTHREAD_COND_INITIALIZER};
    struct cw_http_client *client = cw_http_client_create(NULL);

    server_start(&server);
    break_reused_connection(client, &server, &answers, "body");
    CU_ASSERT_EQUAL(answers.ok, 1);
    CU_ASSERT_EQUAL(answers.unsent, 0);
    CU_ASSERT_EQUAL(server.requests, 2);
    cw_http_client_free(client);
    server_stop(&server);
}

/* Guards against a request that counts as never sent because it was sent on a
 * connection that failed, and no other connection could be made. */
static void
test_a_post_is_sent_although_no_connection_follows(void)
{
    struct server server = {0};
    struct answers answers = {.lock = PTHREAD_MUTEX_INITIALIZER,
                              .changed = PTHREAD_COND_INITIALIZER};
    struct cw_http_client *client = cw_http_client_create(NULL);

    server_start(&server);
    request_with_body(client, server.port, &answers, LONG_TIMEOUT_MS, "body");
    answers_wait(&answers, 1);
    pthread_mutex_lock(&server.lock);
    server.closing_count = 1;
    shutdown(server.listener, SHUT_RDWR); /* connections are refused */
    pthread_mutex_unlock(&server.lock);
    request_with_body(client, server.port, &answers, LONG_TIMEOUT_MS, "body");
    answers_wait(&answers, 2);
    CU_ASSERT_EQUAL(answers.ok, 1);
    CU_ASSERT_EQUAL(answers.unsent, 0);
    CU_ASSERT_EQUAL(server.requests, 2);
    /* The same handle sends the next request, of which no part is sent. */
    request_with_body(client, server.port, &answers, LONG_TIMEOUT_MS, "body");
    answers_wait(&answers, 3);
    CU_ASSERT_EQUAL(answers.unsent, 1);
    CU_ASSERT_EQUAL(server.requests, 2);
    cw_http_client_free(client);
    server_stop(&server);
}

/* A GET changes nothing, so it need not fail with its connection. */
static void
test_a_get_without_an_answer_is_sent_again(void)
{
    struct server server = {0};
    struct answers answers = {.lock = PTHREAD_MUTEX_INITIALIZER,
                              .changed = PTHREAD_COND_INITIALIZER};
    struct cw_http_client *client = cw_http_client_create(NULL);

    server_start(&server);
    break_reused_connection(client, &server, &answers, NULL);
    CU_ASSERT_EQUAL(answers.ok, 2);
    CU_ASSERT_EQUAL(server.requests, 3);
    cw_http_client_free(client);
    server_stop(&server);
}

/* A thread that is busy once, for longer than a request may take. */
struct busy_thread {
    unsigned busy_ms; /* of the next tick; atomic */
    unsigned ticks;   /* that were busy; atomic */
    int64_t read_late_ms;
};

static unsigned
busy_tick(void *context)
{
    struct busy_thread *thread = context;
    unsigned ms = ck_pr_fas_uint(&thread->busy_ms, 0);

    if (ms > 0) {
        ck_pr_inc_uint(&thread->ticks);
        usleep(ms * 1000);
    }
    return POLL_MS;
}

static void
on_input_read(void *context, int64_t busy_ms, unsigned events)
{
    struct busy_thread *thread = context;

    if (events > 0) {
        thread->read_late_ms = MAX(thread->read_late_ms, busy_ms);
    }
}

static void
wait_for_requests(struct server *server, unsigned count)
{
    unsigned requests = 0;

    while (requests < count) {
        usleep(1000);
        pthread_mutex_lock(&server->lock);
        requests = server->requests;
        pthread_mutex_unlock(&server->lock);
    }
}

/* Guards against a peer that answered in time and counts as silent: the client
 * was busy, and looked at its timeouts before it read the answer. */
static void
test_an_answer_read_late_is_no_timeout(void)
{
    struct server server = {.paused = true};
    struct busy_thread thread = {0};
    struct answers answers = {.lock = PTHREAD_MUTEX_INITIALIZER,
                              .changed = PTHREAD_COND_INITIALIZER};
    struct cw_http_client_options options = {
        .tick = busy_tick, .input_read = on_input_read, .context = &thread};
    struct cw_http_client *client = cw_http_client_create(&options);

    server_start(&server);
    request_with_body(client, server.port, &answers, CALL_TIMEOUT_MS, "body");
    request(client, server.port, &answers, CALL_TIMEOUT_MS);
    wait_for_requests(&server, 2);
    ck_pr_store_uint(&thread.busy_ms, 2 * CALL_TIMEOUT_MS);
    while (ck_pr_load_uint(&thread.ticks) == 0) {
        usleep(1000);
    }
    pthread_mutex_lock(&server.lock);
    server.paused = false;
    pthread_mutex_unlock(&server.lock);
    answers_wait(&answers, 2);
    CU_ASSERT_EQUAL(answers.ok, 2);
    cw_http_client_free(client);
    CU_ASSERT(thread.read_late_ms >= CALL_TIMEOUT_MS);
    server_stop(&server);
}

/* A peer that does not answer is timed out although the client was busy. */
static void
test_a_silent_peer_is_timed_out_by_a_busy_client(void)
{
    struct server server = {.paused = true};
    struct busy_thread thread = {0};
    struct answers answers = {.lock = PTHREAD_MUTEX_INITIALIZER,
                              .changed = PTHREAD_COND_INITIALIZER};
    struct cw_http_client_options options = {.tick = busy_tick,
                                             .context = &thread};
    struct cw_http_client *client = cw_http_client_create(&options);

    server_start(&server);
    request(client, server.port, &answers, CALL_TIMEOUT_MS);
    wait_for_requests(&server, 1);
    ck_pr_store_uint(&thread.busy_ms, 2 * CALL_TIMEOUT_MS);
    answers_wait(&answers, 1);
    CU_ASSERT_EQUAL(answers.ok, 0);
    CU_ASSERT_EQUAL(answers.unsent, 0);
    cw_http_client_free(client);
    server_stop(&server);
}

static const struct test tests[] = {
    {"unresponsive connections",
     test_one_timeout_retires_all_unresponsive_connections},
    {"never sent", test_a_request_never_sent_is_reported_as_unsent},
    {"sent once", test_a_post_without_an_answer_is_not_sent_again},
    {"sent, then refused", test_a_post_is_sent_although_no_connection_follows},
    {"sent again", test_a_get_without_an_answer_is_sent_again},
    {"read late", test_an_answer_read_late_is_no_timeout},
    {"silent", test_a_silent_peer_is_timed_out_by_a_busy_client},
};

TEST_MAIN("http_client", tests)

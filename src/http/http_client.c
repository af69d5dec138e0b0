/* libcurl's multi interface on one thread, which takes requests from a
 * lock-free stack.
 *
 * libcurl looks up an open connection by its host in a hash table of 97
 * buckets, which are lists.  With a single table and 1,120 workers, the lookup
 * takes 7.6% of an owner's time, three times as much as with 400 workers.
 * Hosts are therefore spread over several multi handles, the lanes, each with
 * its own table. */
#include "curlewcart/cw_http_client.h"

#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <string.h>
#include <ck_pr.h>
#include <ck_stack.h>
#include <curl/curl.h>
#include <glib.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_sanitize.h"
#include "curlewcart/cw_time.h"
#include "http/internal/http_watch.h"

enum {
    CONNECT_TIMEOUT_MS = 1000,
    POLL_MAX_MS = 1000,
    /* Limit on the time for which events are handled before the next tick. */
    EVENTS_MAX_MS = 50,
    /* With 3,000 workers a bucket of a lane's table holds one host on
     * average. */
    LANES = 32,
    /* Hosts are not spread evenly, so a lane may keep 4/3 of its share of the
     * connections. */
    LANE_SHARE_NUMERATOR = 4,
    LANE_SHARE_DENOMINATOR = 3,
    /* libcurl itself doesn't reuse connections that were idle for longer. */
    LIBCURL_IDLE_MAX_S = 118,
    SUSPECTS_MAX = 1024,
    ANSWER_BYTES_MAX = 64 * 1024 * 1024
};

/* One request, queued or in flight. */
struct transfer {
    ck_stack_entry_t entry;
    char *url;
    char *body;
    size_t length;
    bool post;
    char *content_type;
    char **extra_headers; /* may be NULL */
    long timeout_ms;
    cw_http_done done;
    void *context;
    struct lane *lane;
    CURL *easy;
    struct curl_slist *headers;
    GByteArray *answer;
    int descriptor;              /* of its connection; -1: none */
    struct timespec deadline;    /* of the connection, then of the answer */
    GSequenceIter *deadline_pos; /* in `deadlines` of the client */
};

/* A multi handle and its timer. */
struct lane {
    struct cw_http_client *client;
    CURLM *multi;
    bool timer_set; /* `timer` is set: libcurl is called at this time */
    struct timespec timer;
    bool may_have_ended; /* transfers may have ended since the last check */
};

struct cw_http_client {
    struct cw_http_client_options options;
    ck_stack_t queue CK_CC_CACHELINE;
    struct lane lanes[LANES];
    GArray *lane_by_descriptor; /* struct lane *, by descriptor */
    struct http_watch *watch;
    pthread_t thread;
    unsigned stop;
    GPtrArray *idle;         /* CURL easy handles for reuse */
    GHashTable *in_flight;   /* set of struct transfer in flight */
    GSequence *deadlines;    /* the same, earliest deadline first */
    struct timespec read_at; /* input that arrived before was read */
    /* HOST:PORT -> struct timespec: when a request on a reused connection last
     * timed out.  The host's other connections made before that may be
     * stale, too. */
    GHashTable *suspects;
};

static void
transfer_free(struct transfer *transfer)
{
    curl_slist_free_all(transfer->headers);
    g_byte_array_unref(transfer->answer);
    g_free(transfer->url);
    g_free(transfer->body);
    g_free(transfer->content_type);
    g_strfreev(transfer->extra_headers);
    g_free(transfer);
}

static size_t
on_body(char *data, size_t size, size_t n, void *context)
{
    struct transfer *transfer = context;

    if (transfer->answer->len + size * n > ANSWER_BYTES_MAX) {
        return 0;
    }
    g_byte_array_append(transfer->answer, (guint8 *)data, (guint)(size * n));
    return size * n;
}

/* True if a part of the request was passed to a connection. */
static bool
was_sent(const struct transfer *transfer)
{
    long request_bytes = 0;

    /* 0 as well if the timeout expired before a connection was established. */
    curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    return request_bytes > 0;
}

static gint
by_deadline(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct transfer *x = a;
    const struct transfer *y = b;

    (void)unused;
    if (cw_time_before(x->deadline, y->deadline)) {
        return -1;
    }
    return cw_time_before(y->deadline, x->deadline) ? 1 : 0;
}

static void
set_deadline(struct transfer *transfer, int64_t after_ms)
{
    transfer->deadline =
        cw_time_add_ms(cw_clock_now(cw_clock_system()), after_ms);
    g_sequence_sort_changed(transfer->deadline_pos, by_deadline, NULL);
}

/* Called by libcurl each time it is about to send the request.  libcurl sends
 * a request again by itself if a connection that had been used before fails
 * before an answer.  The peer may execute a POST twice then, also after it has
 * refused the second copy, so a POST is sent once. */
static int
before_send(void *context, char *peer, char *local, int peer_port,
            int local_port)
{
    struct transfer *transfer = context;

    (void)peer;
    (void)local;
    (void)peer_port;
    (void)local_port;
    if (!was_sent(transfer)) {
        set_deadline(transfer, transfer->timeout_ms);
        return CURL_PREREQFUNC_OK;
    }
    cw_log_info("request_repeated", "url=%s post=%d outcome=%s", transfer->url,
                transfer->post, transfer->post ? "no_answer" : "sent");
    return transfer->post ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void
set_options(struct transfer *transfer)
{
    CURL *easy = transfer->easy;

    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, transfer->url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    /* libcurl checks its timeouts before it reads, so that an answer that
     * arrived in time is lost if this thread was busy; end_overdue has them
     * instead.  The default for connections, 300 s, is never reached. */
    if (transfer->post) {
        char type[128];

        g_snprintf(type, sizeof(type), "Content-Type: %s",
                   transfer->content_type);
        transfer->headers = curl_slist_append(transfer->headers, type);
        transfer->headers = curl_slist_append(transfer->headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                         transfer->body != NULL ? transfer->body : "");
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)transfer->length);
    }
    transfer->headers = curl_slist_append(transfer->headers, "Accept:");
    for (char **h = transfer->extra_headers; h != NULL && *h != NULL; h++) {
        transfer->headers = curl_slist_append(transfer->headers, *h);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
}

/* ---- connections that may be stale ---- */

/* HOST:PORT of a URL.  Owned by the caller. */
static char *
host_of(const char *url)
{
    const char *host = strstr(url, "://");

    host = host != NULL ? host + strlen("://") : url;
    return g_strndup(host, strcspn(host, "/"));
}

static gboolean
suspicion_expired(gpointer host, gpointer since, gpointer now)
{
    return cw_time_diff_ms(*(struct timespec *)since,
                           *(struct timespec *)now) >
           LIBCURL_IDLE_MAX_S * CW_MS_PER_S;
}

/* Handles a timeout.  If the request used a connection that was open before,
 * the host's other open connections are not reused either, as each could cost
 * one more timeout. */
static void
suspect_host(struct cw_http_client *client, const struct transfer *transfer)
{
    struct timespec now = cw_clock_now(cw_clock_system());
    long made = 0;

    curl_easy_getinfo(transfer->easy, CURLINFO_NUM_CONNECTS, &made);
    if (made > 0) {
        return;
    }
    g_hash_table_foreach_remove(client->suspects, suspicion_expired, &now);
    if (g_hash_table_size(client->suspects) < SUSPECTS_MAX) {
        g_hash_table_replace(client->suspects, host_of(transfer->url),
                             g_memdup2(&now, sizeof(now)));
    }
}

/* Makes a transfer avoid connections that are older than the last timeout of
 * its host. */
static void
avoid_suspect_connections(struct cw_http_client *client,
                          struct transfer *transfer)
{
    struct timespec now = cw_clock_now(cw_clock_system());
    char *host;
    const struct timespec *since;
    int64_t elapsed_s;

    if (g_hash_table_size(client->suspects) == 0) {
        return;
    }
    host = host_of(transfer->url);
    since = g_hash_table_lookup(client->suspects, host);
    g_free(host);
    if (since == NULL) {
        return;
    }
    /* libcurl measures ages in whole seconds, and 0 means any age. */
    elapsed_s = cw_time_diff_ms(*since, now) / CW_MS_PER_S;
    if (elapsed_s < 1) {
        curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    else if (elapsed_s <= LIBCURL_IDLE_MAX_S) {
        curl_easy_setopt(transfer->easy, CURLOPT_MAXLIFETIME_CONN,
                         (long)elapsed_s);
    }
}

static struct lane *
lane_for(struct cw_http_client *client, const char *url)
{
    char *host = host_of(url);
    struct lane *lane = &client->lanes[g_str_hash(host) % LANES];

    g_free(host);
    return lane;
}

static void
start_transfer(struct cw_http_client *client, struct transfer *transfer)
{
    if (client->idle->len > 0) {
        transfer->easy =
            g_ptr_array_remove_index_fast(client->idle, client->idle->len - 1);
    }
    else {
        transfer->easy = curl_easy_init();
    }
    g_assert(transfer->easy != NULL);
    set_options(transfer);
    avoid_suspect_connections(client, transfer);
    g_hash_table_add(client->in_flight, transfer);
    transfer->descriptor = -1;
    transfer->deadline_pos = g_sequence_append(client->deadlines, transfer);
    set_deadline(transfer, MIN(CONNECT_TIMEOUT_MS, transfer->timeout_ms));
    transfer->lane = lane_for(client, transfer->url);
    curl_multi_add_handle(transfer->lane->multi, transfer->easy);
}

/* Starts the queued requests, oldest first.  The stack returns them newest
 * first. */
static void
start_queued(struct cw_http_client *client)
{
    ck_stack_entry_t *entry = ck_stack_batch_pop_upmc(&client->queue);
    ck_stack_entry_t *reversed = NULL;

    CW_TSAN_ACQUIRE(&client->queue);
    while (entry != NULL) {
        ck_stack_entry_t *next = entry->next;

        entry->next = reversed;
        reversed = entry;
        entry = next;
    }
    while (reversed != NULL) {
        ck_stack_entry_t *next = reversed->next;

        start_transfer(client, (struct transfer *)reversed);
        reversed = next;
    }
}

static size_t
wire_bytes(const struct transfer *transfer)
{
    long request = 0;
    long header = 0;

    curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo(transfer->easy, CURLINFO_HEADER_SIZE, &header);
    return (size_t)request + (size_t)header + transfer->length +
           transfer->answer->len;
}

static void
end_transfer(struct cw_http_client *client, struct transfer *transfer,
             CURLcode code)
{
    struct cw_http_result result = {
        .body = (const char *)transfer->answer->data,
        .length = transfer->answer->len,
    };

    if (code == CURLE_OK) {
        curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE,
                          &result.status);
        result.bytes = wire_bytes(transfer);
    }
    else {
        result.unsent = !was_sent(transfer);
        if (code == CURLE_OPERATION_TIMEDOUT) {
            suspect_host(client, transfer);
        }
    }
    curl_multi_remove_handle(transfer->lane->multi, transfer->easy);
    curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, NULL);
    g_ptr_array_add(client->idle, transfer->easy);
    g_hash_table_remove(client->in_flight, transfer);
    g_sequence_remove(transfer->deadline_pos);
    transfer->done(transfer->context, &result);
    transfer_free(transfer);
}

/* Ends the lane's completed transfers; returns their number. */
static unsigned
end_completed_in_lane(struct cw_http_client *client, struct lane *lane)
{
    CURLMsg *message;
    unsigned count = 0;
    int left;

    lane->may_have_ended = false;
    while ((message = curl_multi_info_read(lane->multi, &left)) != NULL) {
        struct transfer *transfer;

        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                          (char **)&transfer);
        end_transfer(client, transfer, message->data.result);
        count++;
    }
    return count;
}

/* Ends completed transfers; returns their number. */
static unsigned
end_completed(struct cw_http_client *client)
{
    unsigned count = 0;

    for (unsigned i = 0; i < LANES; i++) {
        if (client->lanes[i].may_have_ended) {
            count += end_completed_in_lane(client, &client->lanes[i]);
        }
    }
    return count;
}

static struct transfer *
first_deadline(const struct cw_http_client *client)
{
    GSequenceIter *first = g_sequence_get_begin_iter(client->deadlines);

    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

static unsigned
run_tick(struct cw_http_client *client)
{
    unsigned wait_ms = POLL_MAX_MS;

    if (client->options.tick != NULL) {
        wait_ms = client->options.tick(client->options.context);
    }
    return MIN(wait_ms, (unsigned)POLL_MAX_MS);
}

/* ---- events and timers for libcurl ---- */

static int
on_socket(CURL *easy, curl_socket_t socket, int what, void *context,
          void *unused)
{
    struct lane *lane = context;
    struct cw_http_client *client = lane->client;
    struct transfer *transfer = NULL;

    (void)unused;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
    if (transfer != NULL) {
        transfer->descriptor = what == CURL_POLL_REMOVE ? -1 : socket;
    }
    if (client->lane_by_descriptor->len <= (guint)socket) {
        g_array_set_size(client->lane_by_descriptor, (guint)socket + 1);
    }
    g_array_index(client->lane_by_descriptor, struct lane *, socket) = lane;
    http_watch_set(client->watch, socket,
                   what == CURL_POLL_IN || what == CURL_POLL_INOUT,
                   what == CURL_POLL_OUT || what == CURL_POLL_INOUT);
    return 0;
}

static int
on_timer(CURLM *multi, long timeout_ms, void *context)
{
    struct lane *lane = context;

    (void)multi;
    lane->timer_set = timeout_ms >= 0;
    if (lane->timer_set) {
        lane->timer =
            cw_time_add_ms(cw_clock_now(cw_clock_system()), timeout_ms);
    }
    return 0;
}

static unsigned
ms_until(struct timespec now, struct timespec at, unsigned max_ms)
{
    return (unsigned)CLAMP(cw_time_diff_ms(now, at) + 1, 0, (int64_t)max_ms);
}

/* Calls libcurl for timers that have expired; libcurl then starts transfers.
 * Returns the time in milliseconds until the next timer or deadline, at most
 * `wait_ms`. */
static unsigned
run_timers(struct cw_http_client *client, unsigned wait_ms)
{
    struct timespec now = cw_clock_now(cw_clock_system());
    const struct transfer *transfer;
    int running;

    for (unsigned i = 0; i < LANES; i++) {
        struct lane *lane = &client->lanes[i];

        if (lane->timer_set && !cw_time_before(now, lane->timer)) {
            lane->timer_set = false;
            lane->may_have_ended = true;
            curl_multi_socket_action(lane->multi, CURL_SOCKET_TIMEOUT, 0,
                                     &running);
        }
        if (lane->timer_set) {
            wait_ms = ms_until(now, lane->timer, wait_ms);
        }
    }
    transfer = first_deadline(client);
    return transfer != NULL ? ms_until(now, transfer->deadline, wait_ms)
                            : wait_ms;
}

static void
handle_event(struct cw_http_client *client,
             const struct http_watch_event *event)
{
    struct lane *lane;
    int running;
    int flags = (event->readable ? CURL_CSELECT_IN : 0) |
                (event->writable ? CURL_CSELECT_OUT : 0) |
                (event->broken ? CURL_CSELECT_ERR : 0);

    if (client->options.readable != NULL &&
        event->descriptor == client->options.descriptor)
    {
        client->options.readable(client->options.context);
        return;
    }
    lane = g_array_index(client->lane_by_descriptor, struct lane *,
                         event->descriptor);
    lane->may_have_ended = true;
    curl_multi_socket_action(lane->multi, event->descriptor, flags, &running);
}

/* Handles the transfer's socket if it is ready. */
static void
handle_socket_of(struct cw_http_client *client, struct transfer *transfer)
{
    struct pollfd ready = {.fd = transfer->descriptor,
                           .events = POLLIN | POLLOUT};
    struct lane *lane = transfer->lane;

    if (transfer->descriptor < 0 || poll(&ready, 1, 0) <= 0) {
        return;
    }
    handle_event(client,
                 &(struct http_watch_event){
                     .descriptor = transfer->descriptor,
                     .readable = (ready.revents & POLLIN) != 0,
                     .writable = (ready.revents & POLLOUT) != 0,
                     .broken = (ready.revents & (POLLERR | POLLHUP)) != 0});
    (void)end_completed_in_lane(client, lane);
}

/* Ends the transfers whose deadline has passed.  Their sockets are read first,
 * so that only a peer that was late is timed out, however late this thread
 * is. */
static void
end_overdue(struct cw_http_client *client, struct timespec now)
{
    struct transfer *transfer;

    while ((transfer = first_deadline(client)) != NULL &&
           cw_time_before(transfer->deadline, now))
    {
        handle_socket_of(client, transfer);
        /* The request may have been answered, or sent only now. */
        if (first_deadline(client) == transfer &&
            cw_time_before(transfer->deadline, now))
        {
            end_transfer(client, transfer, CURLE_OPERATION_TIMEDOUT);
        }
    }
}

/* Waits for events and handles them until no socket is ready, or for
 * EVENTS_MAX_MS.  libcurl has read `completed` answers before, when it was
 * called for its timers. */
static void
handle_events(struct cw_http_client *client, unsigned wait_ms,
              unsigned completed)
{
    struct http_watch_event ready[HTTP_WATCH_EVENTS_MAX];
    struct timespec began_at = cw_clock_now(cw_clock_system());
    int64_t busy_ms = cw_time_diff_ms(client->read_at, began_at);
    struct timespec now;
    unsigned handled = completed;
    unsigned count;

    do {
        count = http_watch_wait(client->watch, wait_ms, ready);
        now = cw_clock_now(cw_clock_system());
        if (wait_ms > 0) {
            began_at = now;
            wait_ms = 0;
        }
        for (unsigned i = 0; i < count; i++) {
            handle_event(client, &ready[i]);
        }
        handled += count;
        /* A wake-up takes the place of an event. */
    } while (count + 1 >= HTTP_WATCH_EVENTS_MAX &&
             cw_time_diff_ms(began_at, now) < EVENTS_MAX_MS);
    client->read_at = now;
    if (client->options.input_read != NULL && handled > 0) {
        client->options.input_read(client->options.context, busy_ms, handled);
    }
    (void)end_completed(client);
    end_overdue(client, now);
}

static void *
client_main(void *argument)
{
    struct cw_http_client *client = argument;

    client->read_at = cw_clock_now(cw_clock_system());
    while (ck_pr_load_uint(&client->stop) == 0) {
        unsigned wait_ms = run_tick(client);
        unsigned completed;

        start_queued(client);
        wait_ms = run_timers(client, wait_ms);
        completed = end_completed(client);
        handle_events(client, completed > 0 ? 0 : wait_ms, completed);
    }
    return NULL;
}

static void
close_lanes(struct cw_http_client *client)
{
    for (unsigned i = 0; i < LANES; i++) {
        curl_multi_cleanup(client->lanes[i].multi);
    }
    g_array_unref(client->lane_by_descriptor);
}

/* Limit of the connections that a lane keeps open. */
static long
lane_connections(const struct cw_http_client *client)
{
    long max = client->options.pool_connections_max > 0
                   ? (long)client->options.pool_connections_max
                   : (long)CW_HTTP_POOL_CONNECTIONS_DEFAULT;

    return MAX(1, max * LANE_SHARE_NUMERATOR / LANE_SHARE_DENOMINATOR / LANES);
}

static bool
open_lanes(struct cw_http_client *client)
{
    client->lane_by_descriptor =
        g_array_new(FALSE, TRUE, sizeof(struct lane *));
    for (unsigned i = 0; i < LANES; i++) {
        struct lane *lane = &client->lanes[i];

        lane->client = client;
        lane->multi = curl_multi_init();
        if (lane->multi == NULL) {
            close_lanes(client);
            return false;
        }
        curl_multi_setopt(lane->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
        curl_multi_setopt(lane->multi, CURLMOPT_SOCKETDATA, lane);
        curl_multi_setopt(lane->multi, CURLMOPT_TIMERFUNCTION, on_timer);
        curl_multi_setopt(lane->multi, CURLMOPT_TIMERDATA, lane);
        curl_multi_setopt(lane->multi, CURLMOPT_MAXCONNECTS,
                          lane_connections(client));
    }
    return true;
}

static void
watch_extra_descriptor(struct cw_http_client *client)
{
    if (client->options.readable != NULL) {
        http_watch_set(client->watch, client->options.descriptor, true, false);
    }
}

struct cw_http_client *
cw_http_client_create(const struct cw_http_client_options *options)
{
    struct cw_http_client *client = g_new0(struct cw_http_client, 1);

    curl_global_init(CURL_GLOBAL_DEFAULT);
    if (options != NULL) {
        client->options = *options;
    }
    ck_stack_init(&client->queue);
    client->watch = http_watch_create();
    if (client->watch == NULL) {
        goto error;
    }
    if (!open_lanes(client)) {
        goto error_watch;
    }
    watch_extra_descriptor(client);
    client->idle = g_ptr_array_new();
    client->in_flight = g_hash_table_new(NULL, NULL);
    client->deadlines = g_sequence_new(NULL);
    client->suspects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (pthread_create(&client->thread, NULL, client_main, client) != 0) {
        goto error_tables;
    }
    return client;

error_tables:
    g_ptr_array_unref(client->idle);
    g_hash_table_unref(client->in_flight);
    g_sequence_free(client->deadlines);
    g_hash_table_unref(client->suspects);
    close_lanes(client);
error_watch:
    http_watch_free(client->watch);
error:
    g_free(client);
    return NULL;
}

static void
drop_queue(struct cw_http_client *client)
{
    ck_stack_entry_t *entry = ck_stack_batch_pop_upmc(&client->queue);

    while (entry != NULL) {
        ck_stack_entry_t *next = entry->next;

        transfer_free((struct transfer *)entry);
        entry = next;
    }
}

void
cw_http_client_free(struct cw_http_client *client)
{
    GHashTableIter iterator;
    gpointer item;

    if (client == NULL) {
        return;
    }
    ck_pr_store_uint(&client->stop, 1);
    http_watch_wake(client->watch);
    pthread_join(client->thread, NULL);
    drop_queue(client);
    g_hash_table_iter_init(&iterator, client->in_flight);
    while (g_hash_table_iter_next(&iterator, &item, NULL)) {
        struct transfer *transfer = item;

        curl_multi_remove_handle(transfer->lane->multi, transfer->easy);
        curl_easy_cleanup(transfer->easy);
        transfer_free(transfer);
    }
    for (guint i = 0; i < client->idle->len; i++) {
        curl_easy_cleanup(g_ptr_array_index(client->idle, i));
    }
    g_ptr_array_unref(client->idle);
    g_hash_table_unref(client->in_flight);
    g_sequence_free(client->deadlines);
    g_hash_table_unref(client->suspects);
    close_lanes(client);
    http_watch_free(client->watch);
    g_free(client);
}

void
cw_http_client_send(struct cw_http_client *client,
                    const struct cw_http_request *request)
{
    struct transfer *transfer = g_new0(struct transfer, 1);

    transfer->url = g_strdup(request->url);
    transfer->post = request->body != NULL;
    transfer->body = g_memdup2(request->body, request->length);
    transfer->length = request->length;
    transfer->content_type =
        g_strdup(request->content_type != NULL ? request->content_type
                                               : "application/json");
    transfer->extra_headers = g_strdupv((char **)request->headers);
    transfer->timeout_ms = request->timeout_ms;
    transfer->done = request->done;
    transfer->context = request->context;
    transfer->answer = g_byte_array_new();
    CW_TSAN_RELEASE(&client->queue);
    ck_stack_push_upmc(&client->queue, &transfer->entry);
    cw_http_client_wake(client);
}

void
cw_http_client_wake(struct cw_http_client *client)
{
    /* On its own thread the client checks the queue before it waits. */
    if (!pthread_equal(pthread_self(), client->thread)) {
        http_watch_wake(client->watch);
    }
}

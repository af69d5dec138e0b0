/* curlewcart-proxy: forwards TCP connections on loopback and injects faults
 * into them on command, for tests with real processes.
 *
 * Standard input has one command a line; LINK is a name, or a prefix of names
 * followed by "*":
 *
 *   add LINK HOST:PORT    adds a link to this server, or changes the server of
 *                         an existing one; prints "LINK PORT", the port that
 *                         the proxy listens on, to standard output
 *   delay LINK MS         delays every byte
 *   cut LINK up|down|both forwards nothing towards the server, towards the
 *                         client, or either way; connections are still made
 *   silence LINK          the open connections never forward anything again;
 *                         new ones work
 *   reset LINK            resets the open connections
 *   refuse LINK           resets the open connections and all new ones
 *   heal LINK             ends delay, cut and refuse
 *
 * Bytes that were read during a cut are forwarded once it is healed, as by a
 * network that retransmits lost packets. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>

#include "curlewcart/cw_address.h"
#include "curlewcart/cw_time.h"

enum {
    CHUNK_BYTES = 16 * 1024,
    /* No bytes are read from a peer while this many are queued for the other
     * peer. */
    QUEUE_BYTES_MAX = 4 * 1024 * 1024,
    POLL_MAX_MS = 1000,
    BACKLOG = 128,
    COMMAND_BYTES_MAX = 512
};

enum direction { UP, DOWN, DIRECTIONS }; /* UP: towards the server */

struct link {
    char *name;
    struct sockaddr_in server;
    int listener;
    unsigned port;
    unsigned delay_ms;
    bool cut[DIRECTIONS];
    bool refuses;
};

struct chunk {
    GBytes *bytes;
    size_t sent;
    struct timespec due;
};

/* One direction of a connection: bytes are read from `from` and sent to
 * `to`. */
struct stream {
    int from;
    int to;
    GQueue chunks; /* struct chunk */
    size_t queued_bytes;
    bool ended;  /* `from` was read to its end */
    bool closed; /* `to` was shut down for writing */
};

struct connection {
    struct link *link;
    struct stream streams[DIRECTIONS];
    bool stalled; /* permanently forwards nothing */
    bool broken;  /* a socket failed, or the connection is to be reset */
};

struct proxy {
    GPtrArray *links;       /* struct link */
    GPtrArray *connections; /* struct connection */
    GString *input;
};

static struct timespec
now(void)
{
    return cw_clock_now(cw_clock_system());
}

/* ---- connections ---- */

static void
chunk_free(gpointer data)
{
    struct chunk *chunk = data;

    g_bytes_unref(chunk->bytes);
    g_free(chunk);
}

static void
connection_free(gpointer data)
{
    struct connection *connection = data;

    for (int d = 0; d < DIRECTIONS; d++) {
        g_queue_clear_full(&connection->streams[d].chunks, chunk_free);
    }
    close(connection->streams[UP].from);
    close(connection->streams[DOWN].from);
    g_free(connection);
}

/* Sets the socket to send a reset when it is closed. */
static void
reset_on_close(int socket)
{
    const struct linger linger = {.l_onoff = 1, .l_linger = 0};

    (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void
accept_connection(struct proxy *proxy, struct link *link)
{
    const int on = 1;
    int client = accept4(link->listener, NULL, NULL, SOCK_NONBLOCK);
    int server;
    struct connection *connection;

    if (client < 0) {
        return;
    }
    server = socket(AF_INET, SOCK_STREAM, 0);
    if (link->refuses || server < 0 ||
        connect(server, (struct sockaddr *)&link->server,
                sizeof(link->server)) != 0)
    {
        reset_on_close(client); /* as a port without a listener does */
        close(client);
        close(server);
        return;
    }
    (void)setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    (void)setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    connection = g_new0(struct connection, 1);
    connection->link = link;
    connection->streams[UP].from = client;
    connection->streams[UP].to = server;
    connection->streams[DOWN].from = server;
    connection->streams[DOWN].to = client;
    g_queue_init(&connection->streams[UP].chunks);
    g_queue_init(&connection->streams[DOWN].chunks);
    g_ptr_array_add(proxy->connections, connection);
}

static void
read_stream(struct connection *connection, struct stream *stream)
{
    char bytes[CHUNK_BYTES];
    ssize_t received = recv(stream->from, bytes, sizeof(bytes), MSG_DONTWAIT);
    struct chunk *chunk;

    if (received < 0) {
        connection->broken = errno != EAGAIN && errno != EINTR;
        return;
    }
    if (received == 0) {
        stream->ended = true;
        return;
    }
    chunk = g_new0(struct chunk, 1);
    chunk->bytes = g_bytes_new(bytes, (gsize)received);
    chunk->due = cw_time_add_ms(now(), connection->link->delay_ms);
    stream->queued_bytes += (size_t)received;
    g_queue_push_tail(&stream->chunks, chunk);
}

/* Sends the rest of the chunk.  Returns false if the peer currently accepts no
 * more bytes, or on an error. */
static bool
write_chunk(struct connection *connection, struct stream *stream,
            struct chunk *chunk)
{
    gsize length;
    const char *bytes = g_bytes_get_data(chunk->bytes, &length);
    ssize_t sent = send(stream->to, bytes + chunk->sent, length - chunk->sent,
                        MSG_DONTWAIT | MSG_NOSIGNAL);

    if (sent < 0) {
        connection->broken = errno != EAGAIN && errno != EINTR;
        return false;
    }
    chunk->sent += (size_t)sent;
    stream->queued_bytes -= (size_t)sent;
    return chunk->sent == length;
}

static void
write_stream(struct connection *connection, enum direction direction)
{
    struct stream *stream = &connection->streams[direction];
    struct chunk *chunk;

    if (connection->stalled || connection->link->cut[direction]) {
        return;
    }
    while ((chunk = g_queue_peek_head(&stream->chunks)) != NULL &&
           !cw_time_before(now(), chunk->due) &&
           write_chunk(connection, stream, chunk))
    {
        chunk_free(g_queue_pop_head(&stream->chunks));
    }
    if (stream->ended && !stream->closed && g_queue_is_empty(&stream->chunks))
    {
        stream->closed = true;
        (void)shutdown(stream->to, SHUT_WR);
    }
}

static bool
is_finished(const struct connection *connection)
{
    return connection->broken || (connection->streams[UP].closed &&
                                  connection->streams[DOWN].closed);
}

/* ---- commands ---- */

static bool
pattern_matches(const char *pattern, const char *name)
{
    size_t length = strlen(pattern);

    return length > 0 && pattern[length - 1] == '*'
               ? strncmp(pattern, name, length - 1) == 0
               : strcmp(pattern, name) == 0;
}

static void
link_listen(struct link *link)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t length = sizeof(address);

    link->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (link->listener < 0 ||
        bind(link->listener, (struct sockaddr *)&address, sizeof(address)) !=
            0 ||
        listen(link->listener, BACKLOG) != 0 ||
        getsockname(link->listener, (struct sockaddr *)&address, &length) != 0)
    {
        perror("curlewcart-proxy: listen");
        exit(1);
    }
    link->port = ntohs(address.sin_port);
}

static void
add_link(struct proxy *proxy, const char *name, const char *address)
{
    struct link *link = NULL;

    for (guint i = 0; i < proxy->links->len && link == NULL; i++) {
        struct link *existing = proxy->links->pdata[i];

        link = strcmp(existing->name, name) == 0 ? existing : NULL;
    }
    if (link == NULL) {
        link = g_new0(struct link, 1);
        link->name = g_strdup(name);
        link_listen(link);
        g_ptr_array_add(proxy->links, link);
    }
    if (!cw_address_parse(address, &link->server)) {
        fprintf(stderr, "curlewcart-proxy: \"%s\" is not HOST:PORT\n",
                address);
        exit(2);
    }
    printf("%s %u\n", link->name, link->port);
    fflush(stdout);
}

static void
apply_to_link(struct link *link, const char *verb, const char *value)
{
    if (strcmp(verb, "delay") == 0) {
        link->delay_ms = (unsigned)strtoul(value, NULL, 10);
    }
    else if (strcmp(verb, "cut") == 0) {
        link->cut[UP] = strcmp(value, "down") != 0;
        link->cut[DOWN] = strcmp(value, "up") != 0;
    }
    else if (strcmp(verb, "refuse") == 0) {
        link->refuses = true;
    }
    else if (strcmp(verb, "heal") == 0) {
        link->refuses = false;
        link->delay_ms = 0;
        link->cut[UP] = false;
        link->cut[DOWN] = false;
    }
}

static void
apply_to_connection(struct connection *connection, const char *verb)
{
    if (strcmp(verb, "silence") == 0) {
        connection->stalled = true;
    }
    else if (strcmp(verb, "reset") == 0 || strcmp(verb, "refuse") == 0) {
        reset_on_close(connection->streams[UP].from);
        reset_on_close(connection->streams[DOWN].from);
        connection->broken = true;
    }
}

static void
run_command(struct proxy *proxy, const char *line)
{
    char **words = g_strsplit(line, " ", 3);
    guint count = g_strv_length(words);
    const char *value = count > 2 ? words[2] : "";

    if (count > 2 && strcmp(words[0], "add") == 0) {
        add_link(proxy, words[1], value);
    }
    for (guint i = 0; count > 1 && i < proxy->links->len; i++) {
        struct link *link = proxy->links->pdata[i];

        if (pattern_matches(words[1], link->name)) {
            apply_to_link(link, words[0], value);
        }
    }
    for (guint i = 0; count > 1 && i < proxy->connections->len; i++) {
        struct connection *connection = proxy->connections->pdata[i];

        if (pattern_matches(words[1], connection->link->name)) {
            apply_to_connection(connection, words[0]);
        }
    }
    g_strfreev(words);
}

/* Returns false at the end of standard input. */
static bool
read_commands(struct proxy *proxy)
{
    char bytes[COMMAND_BYTES_MAX];
    ssize_t received = read(STDIN_FILENO, bytes, sizeof(bytes));
    char *end;

    if (received <= 0) {
        return received < 0 && errno == EINTR;
    }
    g_string_append_len(proxy->input, bytes, received);
    while ((end = strchr(proxy->input->str, '\n')) != NULL) {
        char *line =
            g_strndup(proxy->input->str, (gsize)(end - proxy->input->str));

        g_string_erase(proxy->input, 0, (gssize)strlen(line) + 1);
        run_command(proxy, line);
        g_free(line);
    }
    return true;
}

/* ---- main loop ---- */

/* Events to poll for at the socket `stream->from`: readable, if there is space
 * in the queue; writable, if the other direction has bytes due for it. */
static short
events_to_poll(const struct connection *connection, enum direction direction)
{
    const struct stream *stream = &connection->streams[direction];
    const struct stream *other = &connection->streams[1 - direction];
    const struct chunk *head = g_queue_peek_head((GQueue *)&other->chunks);
    short events = 0;

    if (!stream->ended && stream->queued_bytes < QUEUE_BYTES_MAX) {
        events |= POLLIN;
    }
    if (head != NULL && !connection->stalled &&
        !connection->link->cut[1 - direction] &&
        !cw_time_before(now(), head->due))
    {
        events |= POLLOUT;
    }
    return events;
}

/* Milliseconds until the next delayed chunk is due, POLL_MAX_MS at most. */
static int
poll_timeout_ms(const struct proxy *proxy)
{
    int64_t timeout_ms = POLL_MAX_MS;

    for (guint i = 0; i < proxy->connections->len; i++) {
        struct connection *connection = proxy->connections->pdata[i];

        for (int d = 0; d < DIRECTIONS; d++) {
            struct chunk *head =
                g_queue_peek_head(&connection->streams[d].chunks);

            if (head != NULL && !connection->stalled &&
                !connection->link->cut[d] && cw_time_before(now(), head->due))
            {
                timeout_ms =
                    MIN(timeout_ms, cw_time_diff_ms(now(), head->due) + 1);
            }
        }
    }
    return (int)MAX(timeout_ms, 0);
}

static void
add_poll_entry(GArray *polls, int descriptor, short events)
{
    /* poll() ignores a negative descriptor.  With events == 0, poll() would
     * still report a hang-up on each call. */
    struct pollfd entry = {.fd = events != 0 ? descriptor : -1,
                           .events = events};

    g_array_append_val(polls, entry);
}

static void
serve_connections(struct proxy *proxy, const GArray *polls, guint first,
                  guint count)
{
    for (guint i = 0; i < count; i++) {
        struct connection *connection = proxy->connections->pdata[i];

        for (int d = 0; d < DIRECTIONS; d++) {
            const struct pollfd *entry = &g_array_index(
                polls, struct pollfd, first + i * DIRECTIONS + (guint)d);

            if ((entry->revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
                read_stream(connection, &connection->streams[d]);
            }
        }
        write_stream(connection, UP);
        write_stream(connection, DOWN);
    }
    for (guint i = proxy->connections->len; i-- > 0;) {
        if (is_finished(proxy->connections->pdata[i])) {
            g_ptr_array_remove_index_fast(proxy->connections, i);
        }
    }
}

/* One iteration of the main loop.  Returns false at the end of standard
 * input. */
static bool
run_once(struct proxy *proxy)
{
    GArray *polls = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
    guint links = proxy->links->len;
    guint connections = proxy->connections->len;
    bool more = true;

    add_poll_entry(polls, STDIN_FILENO, POLLIN);
    for (guint i = 0; i < links; i++) {
        add_poll_entry(
            polls, ((struct link *)proxy->links->pdata[i])->listener, POLLIN);
    }
    for (guint i = 0; i < connections; i++) {
        struct connection *connection = proxy->connections->pdata[i];

        for (int d = 0; d < DIRECTIONS; d++) {
            add_poll_entry(polls, connection->streams[d].from,
                           events_to_poll(connection, (enum direction)d));
        }
    }
    (void)poll((struct pollfd *)polls->data, polls->len,
               poll_timeout_ms(proxy));
    serve_connections(proxy, polls, 1 + links, connections);
    for (guint i = 0; i < links; i++) {
        if (g_array_index(polls, struct pollfd, 1 + i).revents != 0) {
            accept_connection(proxy, proxy->links->pdata[i]);
        }
    }
    if (g_array_index(polls, struct pollfd, 0).revents != 0) {
        more = read_commands(proxy);
    }
    g_array_unref(polls);
    return more;
}

int
main(void)
{
    struct proxy proxy = {
        .links = g_ptr_array_new(),
        .connections = g_ptr_array_new_with_free_func(connection_free),
        .input = g_string_new(NULL),
    };

    signal(SIGPIPE, SIG_IGN);
    while (run_once(&proxy)) {
    }
    return 0;
}

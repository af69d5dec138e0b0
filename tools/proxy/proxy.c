/* curlewcart-proxy: TCP links on loopback that misbehave when told to, for
 * tests with real processes.
 *
 * Commands come on standard input, a line each; LINK is a name, or a prefix
 * of names followed by "*":
 *
 *   add LINK HOST:PORT    listens for it, or turns it to another address;
 *                         answers "LINK PORT" on standard output
 *   delay LINK MS         every byte comes so much later
 *   cut LINK up|down|both nothing passes towards the server, the client or
 *                         either; connections are made all the same
 *   silence LINK          the connections of this moment carry nothing any
 *                         more, for good; new ones work
 *   reset LINK            the connections of this moment are reset
 *   refuse LINK           these, and all that are made from now on
 *   heal LINK             no delay, no cut, and connections are taken
 *
 * What a cut holds back is passed on once it is healed, as a network does
 * that sends lost packets again. */
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
    /* A side that does not read holds up the other one at so much. */
    QUEUE_BYTES_MAX = 4 * 1024 * 1024,
    POLL_MOST_MS = 1000,
    BACKLOG = 128,
    COMMAND_BYTES_MAX = 512
};

enum direction { UP, DOWN, DIRECTIONS }; /* towards the server; the client */

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

/* One half of a connection: what was read from `from` and goes to `to`. */
struct half {
    int from;
    int to;
    GQueue chunks; /* struct chunk */
    size_t queued;
    bool ended;  /* `from` has sent its last byte */
    bool closed; /* `to` was told */
};

struct pair {
    struct link *link;
    struct half halves[DIRECTIONS];
    bool silent;
    bool broken;
};

struct proxy {
    GPtrArray *links; /* struct link */
    GPtrArray *pairs; /* struct pair */
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
pair_free(gpointer data)
{
    struct pair *pair = data;

    for (int d = 0; d < DIRECTIONS; d++) {
        g_queue_clear_full(&pair->halves[d].chunks, chunk_free);
    }
    close(pair->halves[UP].from);
    close(pair->halves[DOWN].from);
    g_free(pair);
}

/* Closing a socket then sends a reset. */
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
    struct pair *pair;

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
    pair = g_new0(struct pair, 1);
    pair->link = link;
    pair->halves[UP].from = client;
    pair->halves[UP].to = server;
    pair->halves[DOWN].from = server;
    pair->halves[DOWN].to = client;
    g_queue_init(&pair->halves[UP].chunks);
    g_queue_init(&pair->halves[DOWN].chunks);
    g_ptr_array_add(proxy->pairs, pair);
}

static void
read_half(struct pair *pair, struct half *half)
{
    char bytes[CHUNK_BYTES];
    ssize_t got = recv(half->from, bytes, sizeof(bytes), MSG_DONTWAIT);
    struct chunk *chunk;

    if (got < 0) {
        pair->broken = errno != EAGAIN && errno != EINTR;
        return;
    }
    if (got == 0) {
        half->ended = true;
        return;
    }
    chunk = g_new0(struct chunk, 1);
    chunk->bytes = g_bytes_new(bytes, (gsize)got);
    chunk->due = cw_time_add_ms(now(), pair->link->delay_ms);
    half->queued += (size_t)got;
    g_queue_push_tail(&half->chunks, chunk);
}

/* Passes on what is due; false if the other side takes no more now. */
static bool
write_chunk(struct pair *pair, struct half *half, struct chunk *chunk)
{
    gsize length;
    const char *bytes = g_bytes_get_data(chunk->bytes, &length);
    ssize_t sent = send(half->to, bytes + chunk->sent, length - chunk->sent,
                        MSG_DONTWAIT | MSG_NOSIGNAL);

    if (sent < 0) {
        pair->broken = errno != EAGAIN && errno != EINTR;
        return false;
    }
    chunk->sent += (size_t)sent;
    half->queued -= (size_t)sent;
    return chunk->sent == length;
}

static void
write_half(struct pair *pair, enum direction direction)
{
    struct half *half = &pair->halves[direction];
    struct chunk *chunk;

    if (pair->silent || pair->link->cut[direction]) {
        return;
    }
    while ((chunk = g_queue_peek_head(&half->chunks)) != NULL &&
           !cw_time_before(now(), chunk->due) &&
           write_chunk(pair, half, chunk))
    {
        chunk_free(g_queue_pop_head(&half->chunks));
    }
    if (half->ended && !half->closed && g_queue_is_empty(&half->chunks)) {
        half->closed = true;
        (void)shutdown(half->to, SHUT_WR);
    }
}

static bool
is_over(const struct pair *pair)
{
    return pair->broken ||
           (pair->halves[UP].closed && pair->halves[DOWN].closed);
}

/* ---- commands ---- */

static bool
matches(const char *pattern, const char *name)
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
        struct link *known = proxy->links->pdata[i];

        link = strcmp(known->name, name) == 0 ? known : NULL;
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
set_link(struct link *link, const char *verb, const char *value)
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
set_pair(struct pair *pair, const char *verb)
{
    if (strcmp(verb, "silence") == 0) {
        pair->silent = true;
    }
    else if (strcmp(verb, "reset") == 0 || strcmp(verb, "refuse") == 0) {
        reset_on_close(pair->halves[UP].from);
        reset_on_close(pair->halves[DOWN].from);
        pair->broken = true;
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

        if (matches(words[1], link->name)) {
            set_link(link, words[0], value);
        }
    }
    for (guint i = 0; count > 1 && i < proxy->pairs->len; i++) {
        struct pair *pair = proxy->pairs->pdata[i];

        if (matches(words[1], pair->link->name)) {
            set_pair(pair, words[0]);
        }
    }
    g_strfreev(words);
}

/* Returns false at the end of standard input. */
static bool
read_commands(struct proxy *proxy)
{
    char bytes[COMMAND_BYTES_MAX];
    ssize_t got = read(STDIN_FILENO, bytes, sizeof(bytes));
    char *end;

    if (got <= 0) {
        return got < 0 && errno == EINTR;
    }
    g_string_append_len(proxy->input, bytes, got);
    while ((end = strchr(proxy->input->str, '\n')) != NULL) {
        char *line =
            g_strndup(proxy->input->str, (gsize)(end - proxy->input->str));

        g_string_erase(proxy->input, 0, (gssize)strlen(line) + 1);
        run_command(proxy, line);
        g_free(line);
    }
    return true;
}

/* ---- waiting ---- */

/* Events to wait for at `half->from`; of the other half at the same socket
 * that it can be written to. */
static short
wanted_events(const struct pair *pair, enum direction direction)
{
    const struct half *half = &pair->halves[direction];
    const struct half *other = &pair->halves[1 - direction];
    const struct chunk *head = g_queue_peek_head((GQueue *)&other->chunks);
    short events = 0;

    if (!half->ended && half->queued < QUEUE_BYTES_MAX) {
        events |= POLLIN;
    }
    if (head != NULL && !pair->silent && !pair->link->cut[1 - direction] &&
        !cw_time_before(now(), head->due))
    {
        events |= POLLOUT;
    }
    return events;
}

/* Milliseconds until a delayed chunk is due. */
static int
wait_ms(const struct proxy *proxy)
{
    int64_t least = POLL_MOST_MS;

    for (guint i = 0; i < proxy->pairs->len; i++) {
        struct pair *pair = proxy->pairs->pdata[i];

        for (int d = 0; d < DIRECTIONS; d++) {
            struct chunk *head = g_queue_peek_head(&pair->halves[d].chunks);

            if (head != NULL && !pair->silent && !pair->link->cut[d] &&
                cw_time_before(now(), head->due))
            {
                least = MIN(least, cw_time_diff_ms(now(), head->due) + 1);
            }
        }
    }
    return (int)MAX(least, 0);
}

static void
add_poll(GArray *polls, int descriptor, short events)
{
    /* A negative descriptor is passed over: without events poll would still
     * tell of a hang-up, again and again. */
    struct pollfd entry = {.fd = events != 0 ? descriptor : -1,
                           .events = events};

    g_array_append_val(polls, entry);
}

static void
serve_pairs(struct proxy *proxy, const GArray *polls, guint first, guint count)
{
    for (guint i = 0; i < count; i++) {
        struct pair *pair = proxy->pairs->pdata[i];

        for (int d = 0; d < DIRECTIONS; d++) {
            const struct pollfd *entry = &g_array_index(
                polls, struct pollfd, first + i * DIRECTIONS + (guint)d);

            if ((entry->revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
                read_half(pair, &pair->halves[d]);
            }
        }
        write_half(pair, UP);
        write_half(pair, DOWN);
    }
    for (guint i = proxy->pairs->len; i-- > 0;) {
        if (is_over(proxy->pairs->pdata[i])) {
            g_ptr_array_remove_index_fast(proxy->pairs, i);
        }
    }
}

/* One round; false once there are no more commands to come. */
static bool
run_once(struct proxy *proxy)
{
    GArray *polls = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
    guint links = proxy->links->len;
    guint pairs = proxy->pairs->len;
    bool more = true;

    add_poll(polls, STDIN_FILENO, POLLIN);
    for (guint i = 0; i < links; i++) {
        add_poll(polls, ((struct link *)proxy->links->pdata[i])->listener,
                 POLLIN);
    }
    for (guint i = 0; i < pairs; i++) {
        struct pair *pair = proxy->pairs->pdata[i];

        for (int d = 0; d < DIRECTIONS; d++) {
            add_poll(polls, pair->halves[d].from,
                     wanted_events(pair, (enum direction)d));
        }
    }
    (void)poll((struct pollfd *)polls->data, polls->len, wait_ms(proxy));
    serve_pairs(proxy, polls, 1 + links, pairs);
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
        .pairs = g_ptr_array_new_with_free_func(pair_free),
        .input = g_string_new(NULL),
    };

    signal(SIGPIPE, SIG_IGN);
    while (run_once(&proxy)) {
    }
    return 0;
}

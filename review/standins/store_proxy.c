/* Proxy in front of the stand-in for the platform's store.
 *
 * Each VM has an entrance of its own: a TCP port on which it reaches the store.
 * So a disruption can be limited to one VM.  The proxy also carries the
 * datagrams between VMs: it replaces the VMs' addresses in the answers that
 * list the members of a group, so that a cut VM is cut off from the others too.
 *
 * usage: store-proxy STORE ENTRANCES KEEP_MS RECORD_BYTES
 *   KEEP_MS       records expire after this time; 0: never
 *   RECORD_BYTES  an append with a larger record is refused; 0: never
 *
 * Entrance N is for the VM that is named vmN.  Prints "entrance N PORT" for
 * each, then what it does.  Commands on standard input:
 *   cut N           nothing passes from or to vmN; its connections fall silent
 *   heal N          ends that; the silent connections are closed
 *   late KEY MS N   the next N appends of a record whose key begins with KEY get
 *                   no answer and are carried out MS later
 *   writes          prints the number of appends and of those lost so far
 *   config FILE     writes the operator's configuration to the store
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
    ENTRANCES_MAX = 8,
    ADDRESSES_MAX = 64, /* of VMs, those of ended processes included */
    HEAD_MAX = 16384,
    DATAGRAM_MAX = 65536,
    MARKS_MAX = 4096,
    TOPICS_MAX = 8,
    STEP_MS = 10,
    MARK_INTERVAL_MS = 500,
    KEY_MAX = 255
};

struct buffer {
    char *data;
    size_t length;
};

/* A request or an answer. */
struct message {
    struct buffer head;
    struct buffer body;
};

/* The end of a topic at some time. */
struct mark {
    int64_t at_ms;
    uint64_t end;
};

struct topic {
    char name[64];
    struct mark marks[MARKS_MAX];
    unsigned count;
    uint64_t first; /* offset of the first record that has not expired */
};

struct entrance {
    int listener;
    bool cut;
    unsigned cuts;
    int forwarder; /* UDP socket that stands for the VM */
    struct sockaddr_in forwarder_address;
    struct sockaddr_in inner; /* the VM's own address; port 0: not known */
};

/* A UDP socket that stands for VM `from` at VM `to`. */
struct path {
    int socket;
    struct sockaddr_in client;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct entrance entrances[ENTRANCES_MAX];
static unsigned entrance_count;
static struct sockaddr_in store;
static int64_t keep_ms;
static size_t record_bytes_max;
static struct topic topics[TOPICS_MAX];
static struct path paths[ENTRANCES_MAX + 1][ENTRANCES_MAX];
static struct {
    struct sockaddr_in address;
    unsigned entrance;
} known_addresses[ADDRESSES_MAX];
static unsigned known_count;
static char late_key[KEY_MAX + 1];
static int64_t late_ms;
static unsigned late_left;
static unsigned writes;
static unsigned writes_lost;

static int64_t
now_ms(clockid_t clock)
{
    struct timespec now;

    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
sleep_ms(int64_t ms)
{
    struct timespec time = {ms / 1000, (ms % 1000) * 1000000};

    nanosleep(&time, NULL);
}

__attribute__((format(printf, 1, 2))) static void
report(const char *format, ...)
{
    va_list arguments;

    va_start(arguments, format);
    printf("at_ms=%lld ", (long long)now_ms(CLOCK_REALTIME));
    vprintf(format, arguments);
    printf("\n");
    fflush(stdout);
    va_end(arguments);
}

static struct sockaddr_in
loopback(unsigned port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/* Returns a socket that is bound to a free port, and its address. */
static int
bind_socket(int type, struct sockaddr_in *address)
{
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    socklen_t size = sizeof(*address);

    *address = loopback(0);
    if (fd < 0 || bind(fd, (struct sockaddr *)address, size) != 0 ||
        getsockname(fd, (struct sockaddr *)address, &size) != 0)
    {
        perror("bind");
        exit(2);
    }
    return fd;
}

/* ---- HTTP ---- */

static bool
send_all(int fd, const char *data, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(fd, data, length, MSG_NOSIGNAL);

        if (sent <= 0) {
            return false;
        }
        data += sent;
        length -= (size_t)sent;
    }
    return true;
}

static void
message_free(struct message *message)
{
    free(message->head.data);
    free(message->body.data);
    *message = (struct message){0};
}

static size_t
content_length(const char *head)
{
    const char *found = strcasestr(head, "\r\nContent-Length:");

    return found != NULL
               ? strtoul(found + strlen("\r\nContent-Length:"), NULL, 10)
               : 0;
}

/* Reads a message; false if the connection has ended before its end. */
static bool
read_message(int fd, struct message *message)
{
    char *head = calloc(1, HEAD_MAX + 1);
    size_t length = 0;
    size_t got = 0;

    message->head.data = head;
    while (strstr(head, "\r\n\r\n") == NULL) {
        if (length == HEAD_MAX || recv(fd, head + length, 1, 0) != 1) {
            return false;
        }
        head[++length] = '\0';
    }
    message->head.length = length;
    message->body.length = content_length(head);
    message->body.data = calloc(1, message->body.length + 1);
    while (got < message->body.length) {
        ssize_t more = recv(fd, message->body.data + got,
                            message->body.length - got, 0);

        if (more <= 0) {
            return false;
        }
        got += (size_t)more;
    }
    return true;
}

static bool
send_message(int fd, const struct message *message)
{
    return send_all(fd, message->head.data, message->head.length) &&
           send_all(fd, message->body.data, message->body.length);
}

/* Carries a request out at the store; false without an answer. */
static bool
ask_store(const struct message *request, struct message *answer)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool ok = connect(fd, (struct sockaddr *)&store, sizeof(store)) == 0 &&
              send_message(fd, request) && read_message(fd, answer);

    close(fd);
    return ok;
}

static bool
answer_with(int fd, const char *status, const char *body)
{
    char text[512];
    int length = snprintf(text, sizeof(text),
                          "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
                          "Content-Length: %zu\r\n\r\n%s",
                          status, strlen(body), body);

    return send_all(fd, text, (size_t)length);
}

/* Copies a parameter of the query in a request's first line. */
static bool
query_value(const char *head, const char *name, char *out, size_t size)
{
    const char *end = strstr(head, " HTTP/");
    char wanted[32];
    const char *at = head;
    size_t length;

    snprintf(wanted, sizeof(wanted), "%s=", name);
    while ((at = strstr(at, wanted)) != NULL && at < end) {
        if (at[-1] == '?' || at[-1] == '&') {
            at += strlen(wanted);
            length = strcspn(at, "& ");
            snprintf(out, size, "%.*s", (int)length, at);
            return true;
        }
        at++;
    }
    return false;
}

static bool
is_call(const struct message *request, const char *path)
{
    const char *space = strchr(request->head.data, ' ');

    return space != NULL && strncmp(space + 1, path, strlen(path)) == 0;
}

/* ---- records expire ---- */

static struct topic *
find_topic(const char *name)
{
    for (unsigned i = 0; i < TOPICS_MAX; i++) {
        if (topics[i].name[0] == '\0') {
            snprintf(topics[i].name, sizeof(topics[i].name), "%s", name);
        }
        if (strcmp(topics[i].name, name) == 0) {
            return &topics[i];
        }
    }
    return NULL;
}

/* Records the topic's end, and drops what has expired. */
static void
mark_end(struct topic *topic, uint64_t end)
{
    int64_t now = now_ms(CLOCK_MONOTONIC);
    unsigned old = 0;

    while (old < topic->count && topic->marks[old].at_ms < now - keep_ms) {
        topic->first = topic->marks[old].end;
        old++;
    }
    topic->count -= old;
    memmove(topic->marks, topic->marks + old,
            topic->count * sizeof(struct mark));
    if (topic->count < MARKS_MAX &&
        (topic->count == 0 ||
         now - topic->marks[topic->count - 1].at_ms >= MARK_INTERVAL_MS))
    {
        topic->marks[topic->count++] = (struct mark){now, end};
    }
}

/* Reads the ends of the known topics again and again. */
static void *
watch_ends(void *unused)
{
    (void)unused;
    for (;;) {
        sleep_ms(MARK_INTERVAL_MS);
        for (unsigned i = 0; i < TOPICS_MAX; i++) {
            struct message request = {0};
            struct message answer = {0};
            char head[256];

            pthread_mutex_lock(&lock);
            snprintf(head, sizeof(head),
                     "GET /log-newest?topic=%s&part=0&after=zzz HTTP/1.1\r\n"
                     "Host: store\r\n\r\n",
                     topics[i].name);
            pthread_mutex_unlock(&lock);
            if (strstr(head, "topic=&") != NULL) {
                continue;
            }
            request.head = (struct buffer){head, strlen(head)};
            request.body.data = "";
            if (ask_store(&request, &answer)) {
                const char *end = strstr(answer.body.data, "\"end\":");

                pthread_mutex_lock(&lock);
                if (end != NULL) {
                    mark_end(&topics[i],
                             strtoull(end + strlen("\"end\":"), NULL, 10));
                }
                pthread_mutex_unlock(&lock);
            }
            message_free(&answer);
        }
    }
    return NULL;
}

/* Answers a read of records that have expired; false if they have not. */
static bool
answer_expired(int fd, const struct message *request)
{
    char name[64];
    char from[32];
    char body[64];
    struct topic *topic;
    uint64_t first = 0;

    if (keep_ms == 0 || !is_call(request, "/log-read?") ||
        !query_value(request->head.data, "topic", name, sizeof(name)) ||
        !query_value(request->head.data, "from", from, sizeof(from)))
    {
        return false;
    }
    pthread_mutex_lock(&lock);
    topic = find_topic(name);
    if (topic != NULL) {
        first = topic->first;
    }
    pthread_mutex_unlock(&lock);
    if (strtoull(from, NULL, 10) >= first) {
        return false;
    }
    report("expired topic=%s from=%s first=%llu", name, from,
           (unsigned long long)first);
    snprintf(body, sizeof(body), "{\"first\": %llu}",
             (unsigned long long)first);
    answer_with(fd, "410 Gone", body);
    return true;
}

/* ---- appends ---- */

/* Length of the longest record in an append's body; whether the key of one
 * begins with `key`. */
static size_t
look_at_records(const struct buffer *body, const char *key, bool *has_key)
{
    const unsigned char *at = (const unsigned char *)body->data;
    size_t left = body->length;
    size_t longest = 0;

    *has_key = false;
    while (left > 5) {
        size_t size = (size_t)at[0] << 24 | (size_t)at[1] << 16 |
                      (size_t)at[2] << 8 | at[3];

        if (size + 4 > left) {
            break;
        }
        longest = size > longest ? size : longest;
        *has_key = *has_key || (key[0] != '\0' && at[4] >= strlen(key) &&
                                memcmp(at + 5, key, strlen(key)) == 0);
        at += size + 4;
        left -= size + 4;
    }
    return longest;
}

struct late_append {
    struct message request;
    int64_t delay_ms;
};

static void *
append_late(void *argument)
{
    struct late_append *late = argument;
    struct message answer = {0};

    sleep_ms(late->delay_ms);
    ask_store(&late->request, &answer);
    report("late append done, store answered: %.12s",
           answer.head.data != NULL ? answer.head.data : "");
    message_free(&answer);
    message_free(&late->request);
    free(late);
    return NULL;
}

/* Handles the append if it is refused or lost; true if so.  A lost append's
 * connection returns nothing further. */
static bool
divert_append(int fd, struct message *request, unsigned entrance)
{
    bool has_key;
    bool is_lost = false;
    size_t longest;
    struct late_append *late;
    pthread_t thread;
    char byte;

    if (!is_call(request, "/log-append?")) {
        return false;
    }
    pthread_mutex_lock(&lock);
    writes++;
    longest = look_at_records(&request->body, late_key, &has_key);
    if (has_key && late_left > 0) {
        late_left--;
        writes_lost++;
        is_lost = true;
    }
    pthread_mutex_unlock(&lock);
    if (record_bytes_max > 0 && longest > record_bytes_max) {
        report("refused append entrance=%u record_bytes=%zu", entrance,
               longest);
        answer_with(fd, "400 Bad Request", "{}");
        return true;
    }
    if (!is_lost) {
        return false;
    }
    report("lost append entrance=%u key=%s done_in_ms=%lld", entrance,
           late_key, (long long)late_ms);
    late = calloc(1, sizeof(*late));
    late->request = *request;
    late->delay_ms = late_ms;
    *request = (struct message){0};
    pthread_create(&thread, NULL, append_late, late);
    pthread_detach(thread);
    while (recv(fd, &byte, 1, 0) > 0) {
    }
    return true;
}

/* ---- addresses of VMs ---- */

/* Notes the address of the VM in a member's name, "vmN/...@ADDRESS:PORT". */
static void
note_member(const struct message *request)
{
    const char *name = strstr(request->body.data, "\"member\":\"vm");
    const char *at;
    unsigned entrance;
    unsigned port;

    if (!is_call(request, "/log-join") || name == NULL ||
        (at = strstr(name, "@127.0.0.1:")) == NULL)
    {
        return;
    }
    entrance =
        (unsigned)strtoul(name + strlen("\"member\":\"vm"), NULL, 10);
    port = (unsigned)strtoul(at + strlen("@127.0.0.1:"), NULL, 10);
    if (entrance >= entrance_count) {
        return;
    }
    pthread_mutex_lock(&lock);
    if (entrances[entrance].inner.sin_port != htons((uint16_t)port) &&
        known_count < ADDRESSES_MAX)
    {
        entrances[entrance].inner = loopback(port);
        known_addresses[known_count].address = loopback(port);
        known_addresses[known_count++].entrance = entrance;
    }
    pthread_mutex_unlock(&lock);
}

/* The entrance of the VM with this address, or ENTRANCES_MAX. */
static unsigned
entrance_of(const struct sockaddr_in *address)
{
    unsigned found = ENTRANCES_MAX;

    for (unsigned i = 0; i < known_count; i++) {
        if (known_addresses[i].address.sin_port == address->sin_port) {
            found = known_addresses[i].entrance;
        }
    }
    return found;
}

/* Replaces the other VMs' addresses in a list of members by those of their
 * forwarders. */
static void
replace_addresses(struct message *answer, unsigned reader)
{
    static const char mark[] = "@127.0.0.1:";
    char *out = calloc(1, answer->body.length * 2 + 64);
    const char *in = answer->body.data;
    const char *found;
    char head[256];

    pthread_mutex_lock(&lock);
    while ((found = strstr(in, mark)) != NULL) {
        char *end;
        struct sockaddr_in address =
            loopback((unsigned)strtoul(found + strlen(mark), &end, 10));
        unsigned entrance = entrance_of(&address);

        if (entrance != ENTRANCES_MAX && entrance != reader) {
            address = entrances[entrance].forwarder_address;
        }
        strncat(out, in, (size_t)(found - in));
        sprintf(out + strlen(out), "%s%u", mark, ntohs(address.sin_port));
        in = end;
    }
    pthread_mutex_unlock(&lock);
    strcat(out, in);
    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n",
             strlen(out));
    message_free(answer);
    answer->head = (struct buffer){strdup(head), strlen(head)};
    answer->body = (struct buffer){out, strlen(out)};
}

/* ---- connections ---- */

struct connection {
    int fd;
    unsigned entrance;
    unsigned cuts; /* of the entrance before it was made */
};

/* The number of cuts of the entrance so far.  While it is cut, waits until it
 * is healed. */
static unsigned
pass_entrance(unsigned entrance)
{
    for (;;) {
        bool cut;
        unsigned cuts;

        pthread_mutex_lock(&lock);
        cut = entrances[entrance].cut;
        cuts = entrances[entrance].cuts;
        pthread_mutex_unlock(&lock);
        if (!cut) {
            return cuts;
        }
        sleep_ms(STEP_MS);
    }
}

/* Notes a topic that is read, whose records expire from then on. */
static void
note_topic(const struct message *request)
{
    char name[64];

    if (is_call(request, "/log-read?") &&
        query_value(request->head.data, "topic", name, sizeof(name)))
    {
        pthread_mutex_lock(&lock);
        (void)find_topic(name);
        pthread_mutex_unlock(&lock);
    }
}

/* Serves a request; false if the connection has to be closed. */
static bool
serve_request(const struct connection *connection, struct message *request,
              unsigned cuts)
{
    struct message answer = {0};
    bool ok;

    if (pass_entrance(connection->entrance) != cuts) {
        return false; /* it was cut meanwhile */
    }
    note_topic(request);
    note_member(request);
    if (answer_expired(connection->fd, request)) {
        return true;
    }
    if (divert_append(connection->fd, request, connection->entrance)) {
        return request->head.data != NULL;
    }
    ok = ask_store(request, &answer);
    if (ok && is_call(request, "/log-owners")) {
        replace_addresses(&answer, connection->entrance);
    }
    ok = ok && pass_entrance(connection->entrance) == cuts &&
         send_message(connection->fd, &answer);
    message_free(&answer);
    return ok;
}

static void *
serve_connection(void *argument)
{
    struct connection *connection = argument;
    unsigned cuts = connection->cuts;
    int on = 1;
    bool ok = pass_entrance(connection->entrance) == cuts;

    setsockopt(connection->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    while (ok) {
        struct message request = {0};

        ok = read_message(connection->fd, &request) &&
             serve_request(connection, &request, cuts);
        message_free(&request);
    }
    close(connection->fd);
    free(connection);
    return NULL;
}

static void *
accept_connections(void *argument)
{
    unsigned entrance = (unsigned)(uintptr_t)argument;

    for (;;) {
        int fd = accept(entrances[entrance].listener, NULL, NULL);
        struct connection *connection;
        pthread_t thread;

        if (fd < 0) {
            continue;
        }
        connection = calloc(1, sizeof(*connection));
        connection->fd = fd;
        connection->entrance = entrance;
        pthread_mutex_lock(&lock);
        connection->cuts =
            entrances[entrance].cuts - entrances[entrance].cut;
        pthread_mutex_unlock(&lock);
        pthread_create(&thread, NULL, serve_connection, connection);
        pthread_detach(thread);
    }
    return NULL;
}

/* ---- datagrams between VMs ---- */

/* Forwards a datagram for VM `to`. */
static void
forward(unsigned to, const char *bytes, size_t length,
        const struct sockaddr_in *sender)
{
    unsigned from = entrance_of(sender);
    struct path *path = &paths[from][to];
    struct sockaddr_in bound;

    if (entrances[to].cut || (from < entrance_count && entrances[from].cut) ||
        entrances[to].inner.sin_port == 0)
    {
        return;
    }
    if (path->socket == 0) {
        path->socket = bind_socket(SOCK_DGRAM, &bound);
    }
    path->client = *sender;
    sendto(path->socket, bytes, length, 0,
           (struct sockaddr *)&entrances[to].inner,
           sizeof(entrances[to].inner));
}

/* Returns an answer of VM `to` to VM `from`. */
static void
forward_back(unsigned from, unsigned to, const char *bytes, size_t length)
{
    if (!entrances[to].cut && (from == ENTRANCES_MAX || !entrances[from].cut))
    {
        sendto(entrances[to].forwarder, bytes, length, 0,
               (struct sockaddr *)&paths[from][to].client,
               sizeof(paths[from][to].client));
    }
}

/* Receives all datagrams on a socket. */
static void
receive_on(unsigned from, unsigned to, int fd)
{
    static char bytes[DATAGRAM_MAX];
    struct sockaddr_in sender;
    socklen_t size = sizeof(sender);
    ssize_t length;

    while ((length = recvfrom(fd, bytes, sizeof(bytes), MSG_DONTWAIT,
                              (struct sockaddr *)&sender, &size)) >= 0)
    {
        if (fd == entrances[to].forwarder) {
            forward(to, bytes, (size_t)length, &sender);
        }
        else {
            forward_back(from, to, bytes, (size_t)length);
        }
    }
}

static void *
forward_datagrams(void *unused)
{
    (void)unused;
    for (;;) {
        pthread_mutex_lock(&lock);
        for (unsigned to = 0; to < entrance_count; to++) {
            receive_on(0, to, entrances[to].forwarder);
            for (unsigned from = 0; from <= ENTRANCES_MAX; from++) {
                if (paths[from][to].socket != 0) {
                    receive_on(from, to, paths[from][to].socket);
                }
            }
        }
        pthread_mutex_unlock(&lock);
        sleep_ms(1);
    }
    return NULL;
}

/* ---- commands ---- */

/* Appends the file as the newest record with the key "config" to keyed.op. */
static void
write_config(const char *path)
{
    static const char key[] = "\6config";
    char body[HEAD_MAX];
    char head[256];
    size_t prefix = 4 + strlen(key);
    FILE *file = fopen(path, "r");
    struct message request = {0};
    struct message answer = {0};
    size_t size;

    if (file == NULL) {
        report("cannot read %s", path);
        return;
    }
    size = strlen(key) +
           fread(body + prefix, 1, sizeof(body) - prefix, file);
    fclose(file);
    for (unsigned i = 0; i < 4; i++) {
        body[i] = (char)(size >> (8 * (3 - i)));
    }
    memcpy(body + 4, key, strlen(key));
    snprintf(head, sizeof(head),
             "POST /log-append?topic=keyed.op&part=0 HTTP/1.1\r\n"
             "Host: store\r\nContent-Length: %zu\r\n\r\n",
             4 + size);
    request.head = (struct buffer){head, strlen(head)};
    request.body = (struct buffer){body, 4 + size};
    ask_store(&request, &answer);
    report("config acknowledged: %.12s",
           answer.head.data != NULL ? answer.head.data : "");
    message_free(&answer);
}

static void
set_cut(unsigned entrance, bool cut)
{
    pthread_mutex_lock(&lock);
    if (entrance < entrance_count) {
        entrances[entrance].cut = cut;
        entrances[entrance].cuts += cut;
    }
    pthread_mutex_unlock(&lock);
    report("%s entrance=%u", cut ? "cut" : "healed", entrance);
}

static void
run_command(const char *line)
{
    unsigned entrance;
    unsigned count;
    long long delay;
    char key[KEY_MAX + 1];
    char path[401];

    if (sscanf(line, "cut %u", &entrance) == 1) {
        set_cut(entrance, true);
    }
    else if (sscanf(line, "heal %u", &entrance) == 1) {
        set_cut(entrance, false);
    }
    else if (sscanf(line, "late %255s %lld %u", key, &delay, &count) == 3) {
        pthread_mutex_lock(&lock);
        snprintf(late_key, sizeof(late_key), "%s", key);
        late_ms = delay;
        late_left = count;
        pthread_mutex_unlock(&lock);
    }
    else if (sscanf(line, "config %400s", path) == 1) {
        write_config(path);
    }
    else if (strncmp(line, "writes", strlen("writes")) == 0) {
        report("writes=%u lost=%u", writes, writes_lost);
    }
    else {
        report("unknown command: %s", line);
    }
}

static void
start_thread(void *(*run)(void *), void *argument)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, run, argument) != 0) {
        exit(2);
    }
}

int
main(int argc, char **argv)
{
    char line[512];

    if (argc != 5 || strrchr(argv[1], ':') == NULL) {
        fprintf(stderr,
                "usage: store-proxy STORE ENTRANCES KEEP_MS RECORD_BYTES\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    store = loopback((unsigned)strtoul(strrchr(argv[1], ':') + 1, NULL, 10));
    entrance_count = (unsigned)strtoul(argv[2], NULL, 10);
    keep_ms = strtoll(argv[3], NULL, 10);
    record_bytes_max = strtoul(argv[4], NULL, 10);
    if (entrance_count > ENTRANCES_MAX) {
        return 2;
    }
    for (unsigned i = 0; i < entrance_count; i++) {
        struct sockaddr_in address;

        entrances[i].forwarder =
            bind_socket(SOCK_DGRAM, &entrances[i].forwarder_address);
        entrances[i].listener = bind_socket(SOCK_STREAM, &address);
        listen(entrances[i].listener, SOMAXCONN);
        printf("entrance %u %u\n", i, ntohs(address.sin_port));
        start_thread(accept_connections, (void *)(uintptr_t)i);
    }
    fflush(stdout);
    start_thread(forward_datagrams, NULL);
    if (keep_ms > 0) {
        start_thread(watch_ends, NULL);
    }
    while (fgets(line, sizeof(line), stdin) != NULL) {
        run_command(line);
    }
    return 0;
}

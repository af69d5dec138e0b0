/* Sending: one thread and one connection for each peer. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "curlewcart/cw_address.h"
#include "curlewcart/cw_xdr.h"
#include "peer/internal/peer_private.h"

enum {
    QUEUE_MOST = 4096,    /* messages kept for a peer */
    CALL_MESSAGES = 256,  /* in one call */
    CALL_BYTES = 4 << 20, /* in one call */
    CONNECT_MS = 500,
    CALL_TIMEOUT_S = 2,
    RETRY_MS = 200,
    STACK_BYTES = 128 * 1024
};

/* The way to one peer. */
struct peer_link {
    struct cw_peers *peers;
    char *vm;
    pthread_t thread;
    pthread_mutex_t lock; /* guards what follows */
    pthread_cond_t ready;
    char *address;
    GQueue queue; /* GByteArray: encoded struct cw_msg_body */
    bool stop;
    /* the thread's own */
    CLIENT *client;
    char *connected_to;
    uint64_t seq;
};

/* Connects within CONNECT_MS; returns a blocking socket or -1. */
static int
connect_soon(const struct sockaddr_in *address)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    struct pollfd wait = {.fd = fd, .events = POLLOUT};
    int error = 0;
    int one = 1;
    socklen_t size = sizeof(error);

    if (fd < 0) {
        return -1;
    }
    (void)connect(fd, (const struct sockaddr *)address, sizeof(*address));
    if (poll(&wait, 1, CONNECT_MS) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

static void
disconnect(struct peer_link *link)
{
    if (link->client != NULL) {
        clnt_destroy(link->client);
        link->client = NULL;
    }
    g_clear_pointer(&link->connected_to, g_free);
}

static bool
ensure_connected(struct peer_link *link, const char *address)
{
    struct sockaddr_in in;
    struct netbuf buffer = {
        .maxlen = sizeof(in),
        .len = sizeof(in),
        .buf = &in,
    };
    int fd;

    if (link->client != NULL && strcmp(link->connected_to, address) == 0) {
        return true;
    }
    disconnect(link);
    if (!cw_address_parse(address, &in)) {
        return false;
    }
    fd = connect_soon(&in);
    if (fd < 0) {
        return false;
    }
    link->client =
        clnt_vc_create(fd, &buffer, CW_PEER_PROGRAM, CW_PEER_V1, 0, 0);
    if (link->client == NULL) {
        close(fd);
        return false;
    }
    clnt_control(link->client, CLSET_FD_CLOSE, NULL);
    link->connected_to = g_strdup(address);
    return true;
}

/* Waits for messages; takes a call's worth.  NULL: the thread ends. */
static GPtrArray *
take_messages(struct peer_link *link, char **address)
{
    GPtrArray *batch =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    size_t bytes = 0;

    pthread_mutex_lock(&link->lock);
    while (!link->stop && g_queue_is_empty(&link->queue)) {
        pthread_cond_wait(&link->ready, &link->lock);
    }
    while (!link->stop && !g_queue_is_empty(&link->queue) &&
           batch->len < CALL_MESSAGES && bytes < CALL_BYTES)
    {
        GByteArray *message = g_queue_pop_head(&link->queue);

        bytes += message->len;
        g_ptr_array_add(batch, message);
    }
    *address = g_strdup(link->address);
    if (link->stop) {
        g_ptr_array_unref(batch);
        batch = NULL;
    }
    pthread_mutex_unlock(&link->lock);
    return batch;
}

/* struct cw_messages is a counted array: its parts can be joined encoded. */
static GByteArray *
join_messages(const GPtrArray *batch)
{
    uint32_t count = htonl(batch->len);
    GByteArray *joined = g_byte_array_new();

    g_byte_array_append(joined, (const guint8 *)&count, sizeof(count));
    for (guint i = 0; i < batch->len; i++) {
        const GByteArray *message = g_ptr_array_index(batch, i);

        g_byte_array_append(joined, message->data, message->len);
    }
    return joined;
}

static bool
deliver(struct peer_link *link, const GByteArray *body)
{
    struct timeval timeout = {.tv_sec = CALL_TIMEOUT_S};
    struct cw_peers *peers = link->peers;
    struct cw_envelope envelope = {
        .from_vm = peers->vm,
        .to_vm = link->vm,
        .from_dc = peers->dc,
        .incarnation = peers->options.incarnation,
        .seq = ++link->seq,
    };
    u_int taken = 0;

    envelope.body.body_val = (char *)body->data;
    envelope.body.body_len = body->len;
    cw_envelope_seal(&envelope, peers->options.key);
    cw_count_add(peers->options.counters, CW_COUNT_PEER_BYTES,
                 xdr_sizeof((xdrproc_t)xdr_cw_envelope, &envelope));
    return clnt_call(link->client, CW_DELIVER, (xdrproc_t)xdr_cw_envelope,
                     (caddr_t)&envelope, (xdrproc_t)xdr_u_int, (caddr_t)&taken,
                     timeout) == RPC_SUCCESS;
}

static void
nap(void)
{
    struct timespec wait = {.tv_nsec = RETRY_MS * 1000000L};

    nanosleep(&wait, NULL);
}

/* A lost message is sent again by whoever needs an answer, not here. */
static void *
link_main(void *argument)
{
    struct peer_link *link = argument;
    GPtrArray *batch;
    char *address;

    while ((batch = take_messages(link, &address)) != NULL) {
        GByteArray *joined = join_messages(batch);

        if (!ensure_connected(link, address)) {
            nap();
        }
        else if (!deliver(link, joined)) {
            disconnect(link);
        }
        g_byte_array_unref(joined);
        g_ptr_array_unref(batch);
        g_free(address);
    }
    g_free(address);
    disconnect(link);
    return NULL;
}

static struct peer_link *
link_new(struct cw_peers *peers, const char *vm)
{
    struct peer_link *link = g_new0(struct peer_link, 1);
    pthread_attr_t attributes;

    link->peers = peers;
    link->vm = g_strdup(vm);
    link->address = g_strdup("");
    g_queue_init(&link->queue);
    pthread_mutex_init(&link->lock, NULL);
    pthread_cond_init(&link->ready, NULL);
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, STACK_BYTES);
    if (pthread_create(&link->thread, &attributes, link_main, link) != 0) {
        g_error("cannot start a thread for peer %s", vm);
    }
    pthread_attr_destroy(&attributes);
    return link;
}

void
cw_peer_link_free(gpointer data)
{
    struct peer_link *link = data;

    pthread_mutex_lock(&link->lock);
    link->stop = true;
    pthread_cond_signal(&link->ready);
    pthread_mutex_unlock(&link->lock);
    pthread_join(link->thread, NULL);
    g_queue_clear_full(&link->queue, (GDestroyNotify)g_byte_array_unref);
    pthread_mutex_destroy(&link->lock);
    pthread_cond_destroy(&link->ready);
    g_free(link->address);
    g_free(link->vm);
    g_free(link);
}

static void
link_push(struct peer_link *link, const char *address, GByteArray *message)
{
    pthread_mutex_lock(&link->lock);
    if (strcmp(link->address, address) != 0) {
        g_free(link->address);
        link->address = g_strdup(address);
    }
    g_queue_push_tail(&link->queue, message);
    if (g_queue_get_length(&link->queue) > QUEUE_MOST) {
        g_byte_array_unref(g_queue_pop_head(&link->queue));
    }
    pthread_cond_signal(&link->ready);
    pthread_mutex_unlock(&link->lock);
}

void
cw_peers_send(struct cw_peers *peers, const char *vm, const char *address,
              const struct cw_msg_body *body)
{
    GByteArray *message = cw_xdr_encode((xdrproc_t)xdr_cw_msg_body, body);
    struct peer_link *link;

    if (message == NULL) {
        return;
    }
    pthread_mutex_lock(&peers->lock);
    link = g_hash_table_lookup(peers->links, vm);
    if (link == NULL) {
        link = link_new(peers, vm);
        g_hash_table_insert(peers->links, g_strdup(vm), link);
    }
    link_push(link, address, message);
    pthread_mutex_unlock(&peers->lock);
}

/* The other VMs: their addresses, whether they answer, and the key with which
 * VMs authenticate messages to each other. */
#include <inttypes.h>
#include <string.h>
#include <sodium.h>

#include "curlewcart/cw_address.h"
#include "curlewcart/cw_log.h"
#include "relay/internal/relay_private.h"

enum {
    /* After this many consecutive failed calls the store counts as
     * unreachable. */
    FAILURES_MAX = 2,
    PROBE_INTERVAL_MS = 600,
    PROBE_TIMEOUT_MS = 500,
    MEMBERS_INTERVAL_MS = 10000,
    KEY_RETRY_MS = 400,
    /* A join takes a few ms, and 250 ms while the store is slow. */
    JOIN_SUSPECT_MS = 350,
    PING_INTERVAL_MS = 200,
    PING_TIMEOUT_MS = 300,
    PINGED_PEERS_MAX = 12,
    /* If fewer than half of the pinged VMs have answered within this time,
     * this VM is isolated, alone or with its data centre. */
    ISOLATED_MS = 500
};

#define SECRET_TOPIC "keyed.secret"
#define SECRET_KEY "relay"

/* ---- whether the store answers ---- */

static void
suspect_store(struct cw_relay *relay)
{
    if (!relay->store_suspect) {
        relay->store_suspect = true;
        relay->suspect_since = relay_now(relay);
        relay->ping_due = relay->suspect_since;
        relay->members_due = relay->suspect_since;
    }
}

void
relay_record_direct_status(struct cw_relay *relay, enum cw_store_status status)
{
    if (status != CW_STORE_NOT_EXECUTED && status != CW_STORE_UNKNOWN) {
        if (!relay->store_reachable) {
            cw_log_info(
                "dependency_regained", "what=store away_ms=%" PRId64,
                cw_time_diff_ms(relay->unreachable_since, relay_now(relay)));
        }
        relay->failures = 0;
        relay->store_reachable = true;
        relay->store_suspect = false;
        relay->joins_only_directly = false;
        return;
    }
    relay->failures++;
    suspect_store(relay);
    if (relay->store_reachable && relay->failures >= FAILURES_MAX) {
        relay->store_reachable = false;
        relay->unreachable_since = relay_now(relay);
        relay->members_due = relay->unreachable_since;
        cw_log_warning(
            "dependency_lost", "what=store status=%s failures=%u peers=%u",
            cw_store_status_name(status), relay->failures, relay->peers->len);
    }
}

/* ---- addresses of the other VMs ---- */

struct peer *
relay_find_peer(const struct cw_relay *relay, const char *address)
{
    for (guint i = 0; i < relay->peers->len; i++) {
        struct peer *peer = relay->peers->pdata[i];

        if (strcmp(peer->address, address) == 0) {
            return peer;
        }
    }
    return NULL;
}

void
relay_peer_answered(struct cw_relay *relay, const char *address)
{
    struct peer *peer = relay_find_peer(relay, address);

    if (peer != NULL) {
        peer->answered_at = relay_now(relay);
    }
}

struct peer *
relay_choose_peer(struct cw_relay *relay, struct timespec now)
{
    for (guint i = 0; i < relay->peers->len; i++) {
        guint index = (relay->next_peer + i) % relay->peers->len;
        struct peer *peer = relay->peers->pdata[index];

        if (!cw_time_before(now, peer->avoid_until)) {
            relay->next_peer = index;
            return peer;
        }
    }
    return NULL;
}

char *
cw_relay_member_name(const char *vm, const char *address, uint64_t incarnation)
{
    return g_strdup_printf("%s/%016" PRIx64 "@%s", vm, incarnation, address);
}

void
relay_peer_free(gpointer data)
{
    struct peer *peer = data;

    g_free(peer->address);
    g_free(peer);
}

/* Adds the VM of a member's name to `peers`, unless it is this VM or was added
 * before. */
static void
add_member(struct cw_relay *relay, GPtrArray *peers, const char *member)
{
    const char *at = strrchr(member, '@');
    struct peer *known;
    struct peer *peer;

    if (at == NULL || strcmp(at + 1, relay->address) == 0) {
        return;
    }
    for (guint i = 0; i < peers->len; i++) {
        if (strcmp(((struct peer *)peers->pdata[i])->address, at + 1) == 0) {
            return;
        }
    }
    peer = g_new0(struct peer, 1);
    peer->address = g_strdup(at + 1);
    known = relay_find_peer(relay, at + 1);
    if (known != NULL) {
        peer->avoid_until = known->avoid_until;
        peer->answered_at = known->answered_at;
    }
    if (!cw_address_parse(peer->address, &peer->socket)) {
        relay_peer_free(peer);
        return;
    }
    g_ptr_array_add(peers, peer);
}

/* After this VM has started, others may be starting too: the members are
 * requested at increasing intervals. */
static int64_t
members_interval_ms(const struct cw_relay *relay, struct timespec now)
{
    return CLAMP(cw_time_diff_ms(relay->started_at, now),
                 RELAY_NO_PEERS_INTERVAL_MS, MEMBERS_INTERVAL_MS);
}

static void
on_members(void *context, const struct cw_store_member_list *result)
{
    struct cw_relay *relay = context;
    struct timespec now = relay_now(relay);
    GPtrArray *peers;

    relay->members_request_in_flight = false;
    relay_record_direct_status(relay, result->status);
    relay->members_due = cw_time_add_ms(
        now, relay->store_reachable ? members_interval_ms(relay, now)
                                    : PROBE_INTERVAL_MS);
    if (result->status != CW_STORE_OK) {
        return;
    }
    peers = g_ptr_array_new_with_free_func(relay_peer_free);
    for (size_t i = 0; i < result->count; i++) {
        add_member(relay, peers, result->members[i]);
    }
    if (peers->len == 0) {
        relay->members_due = cw_time_add_ms(now, RELAY_NO_PEERS_INTERVAL_MS);
        g_ptr_array_unref(peers);
        return;
    }
    g_ptr_array_unref(relay->peers);
    relay->peers = peers;
}

void
relay_request_members(struct cw_relay *relay)
{
    struct cw_store_list_members list = {
        .group = relay->options.group,
        .timeout_ms = PROBE_TIMEOUT_MS,
        .done = on_members,
        .context = relay,
    };

    relay->members_request_in_flight = true;
    relay->options.direct->ops->members(relay->options.direct, &list);
}

/* ---- isolation ---- */

/* A ping in flight. */
struct ping {
    struct cw_relay *relay;
    char *address;
};

static void
on_ping_answer(void *context, const struct cw_relay_answer *answer)
{
    struct ping *ping = context;

    if (answer != NULL) {
        relay_peer_answered(ping->relay, ping->address);
    }
    g_free(ping->address);
    g_free(ping);
}

static void
send_ping(struct cw_relay *relay, const struct peer *peer,
          struct timespec deadline)
{
    struct cw_relay_request request = {
        .kind = CW_RELAY_PING,
        .topic = (char *)"",
        .writer = (char *)"",
        .after = (char *)"",
        .group = (char *)"",
        .member = (char *)"",
    };
    struct ping *ping = g_new0(struct ping, 1);

    ping->relay = relay;
    ping->address = g_strdup(peer->address);
    relay_rpc_send(relay->rpc, &peer->socket, &request, deadline,
                   on_ping_answer, ping);
}

static void
send_pings(struct cw_relay *relay, struct timespec now)
{
    struct timespec deadline = cw_time_add_ms(now, PING_TIMEOUT_MS);

    relay->ping_due = cw_time_add_ms(now, PING_INTERVAL_MS);
    for (guint i = 0; i < PINGED_PEERS_MAX && i < relay->peers->len; i++) {
        send_ping(relay, relay->peers->pdata[i], deadline);
    }
}

/* Number of the pinged VMs that have answered within ISOLATED_MS. */
static unsigned
count_answering_peers(const struct cw_relay *relay, struct timespec now)
{
    unsigned answering = 0;

    for (guint i = 0; i < PINGED_PEERS_MAX && i < relay->peers->len; i++) {
        const struct peer *peer = relay->peers->pdata[i];

        answering += cw_time_diff_ms(peer->answered_at, now) <= ISOLATED_MS;
    }
    return answering;
}

void
relay_check_isolation(struct cw_relay *relay, struct timespec now)
{
    unsigned pinged = MIN(relay->peers->len, (guint)PINGED_PEERS_MAX);
    unsigned answering = count_answering_peers(relay, now);
    bool isolated;

    if (relay->join_in_flight &&
        cw_time_diff_ms(relay->join_sent, now) > JOIN_SUSPECT_MS)
    {
        suspect_store(relay);
    }
    if (relay->store_suspect && !cw_time_before(now, relay->ping_due)) {
        send_pings(relay, now);
    }
    isolated = relay->store_suspect && pinged > 0 && 2 * answering < pinged &&
               cw_time_diff_ms(relay->suspect_since, now) > ISOLATED_MS;
    if (isolated != relay->isolated) {
        relay->isolated = isolated;
        cw_log_info("isolated", "now=%d asked=%u heard=%u", isolated, pinged,
                    answering);
    }
}

/* ---- the key ---- */

static void
on_key_stored(void *context, const struct cw_store_append_result *result)
{
    struct cw_relay *relay = context;

    /* This VM or another one has stored a key: the next read returns it. */
    cw_log_info("relay_key_append", "append=%s",
                cw_store_status_name(result->status));
    relay->key_request_in_flight = false;
    relay->key_due = relay_now(relay);
}

static void
store_new_key(struct cw_relay *relay)
{
    unsigned char key[CW_MAC_BYTES];
    struct cw_store_record record = {
        .key = SECRET_KEY, .value = key, .length = sizeof(key)};
    struct cw_store_append append = {
        .topic = SECRET_TOPIC,
        .records = &record,
        .count = 1,
        .conditional = true,
        .timeout_ms = PROBE_TIMEOUT_MS,
        .done = on_key_stored,
        .context = relay,
    };

    randombytes_buf(key, sizeof(key));
    relay->options.direct->ops->append(relay->options.direct, &append);
}

static void
on_key(void *context, const struct cw_store_page *page)
{
    struct cw_relay *relay = context;

    for (size_t i = 0; i < page->count; i++) {
        if (strcmp(page->records[i].key, SECRET_KEY) == 0 &&
            page->records[i].length == CW_MAC_BYTES)
        {
            relay_rpc_set_key(relay->rpc, page->records[i].value);
            relay->key_request_in_flight = false;
            return;
        }
    }
    if (page->status == CW_STORE_OK) {
        store_new_key(relay);
        return;
    }
    relay->key_request_in_flight = false;
    relay->key_due = cw_time_add_ms(relay_now(relay), KEY_RETRY_MS);
}

void
relay_request_key(struct cw_relay *relay)
{
    struct cw_store_read_newest newest = {
        .topic = SECRET_TOPIC,
        .timeout_ms = PROBE_TIMEOUT_MS,
        .done = on_key,
        .context = relay,
    };

    relay->key_request_in_flight = true;
    relay->options.direct->ops->newest(relay->options.direct, &newest);
}

/* Tests of calls to the store through another VM, over real sockets on the
 * loopback interface. */
#include "test_main.h"

#include <poll.h>
#include <string.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_relay.h"
#include "fake_store.h"

enum { STEPS_MAX = 400, STEP_MS = 10 };

/* Two VMs that share a store. */
struct pair {
    pthread_mutex_t engine_lock;
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct store_model *model;
    struct fake_store stores[2];
    struct cw_relay *relays[2];
    char *members[2];
};

static void
step(struct pair *pair)
{
    struct pollfd wait[2];

    for (int i = 0; i < 2; i++) {
        wait[i].fd = cw_relay_descriptor(pair->relays[i]);
        wait[i].events = POLLIN;
    }
    pair->clock.now = cw_time_add_ms(pair->clock.now, STEP_MS);
    for (int i = 0; i < 2; i++) {
        pthread_mutex_lock(&pair->engine_lock);
        cw_relay_tick(pair->relays[i], pair->clock.now);
        pthread_mutex_unlock(&pair->engine_lock);
    }
    if (poll(wait, 2, 1) > 0) {
        for (int i = 0; i < 2; i++) {
            cw_relay_receive(pair->relays[i]);
        }
    }
}

static void
pair_init(struct pair *pair)
{
    memset(pair, 0, sizeof(*pair));
    pthread_mutex_init(&pair->engine_lock, NULL);
    cw_clock_manual_init(&pair->clock);
    pair->clock.now = cw_time_from_ms(10000);
    pair->model = store_model_create(1);
    for (int i = 0; i < 2; i++) {
        struct cw_relay_options options = {
            .direct = &pair->stores[i].base,
            .clock = &pair->clock.base,
            .counters = &pair->counters,
            .engine_lock = &pair->engine_lock,
            .address = "127.0.0.1:0",
            .group = "g",
        };

        pair->stores[i].base.ops = &fake_store_ops;
        pair->stores[i].model = pair->model;
        pair->relays[i] = cw_relay_create(&options);
        CU_ASSERT_PTR_NOT_NULL_FATAL(pair->relays[i]);
        pair->members[i] =
            cw_relay_member_name("vm", cw_relay_address(pair->relays[i]), 1);
    }
    pair->stores[0].member = pair->members[1];
    pair->stores[1].member = pair->members[0];
    /* Long enough to read the key and the list of members. */
    for (int i = 0; i < STEPS_MAX / 2; i++) {
        step(pair);
    }
}

static void
pair_clear(struct pair *pair)
{
    for (int i = 0; i < 2; i++) {
        cw_relay_free(pair->relays[i]);
        g_free(pair->members[i]);
    }
    store_model_free(pair->model);
    pthread_mutex_destroy(&pair->engine_lock);
}

static void
save_status(void *context, const struct cw_store_append_result *result)
{
    *(int *)context = (int)result->status;
}

/* Appends a record of this length at VM 0; returns the status. */
static int
append_bytes(struct pair *pair, size_t length)
{
    char *value = g_strnfill(length, 'v');
    struct cw_store_record record = {
        .key = "k", .value = value, .length = length};
    struct cw_store *store = cw_relay_store(pair->relays[0]);
    int status = -1;
    struct cw_store_append call = {.topic = "t",
                                   .records = &record,
                                   .count = 1,
                                   .timeout_ms = 100,
                                   .done = save_status,
                                   .context = &status};

    store->ops->append(store, &call);
    for (int i = 0; i < STEPS_MAX && status < 0; i++) {
        step(pair);
    }
    g_free(value);
    return status;
}

/* Appends a short record at VM 0; returns the status. */
static int
append(struct pair *pair)
{
    return append_bytes(pair, 1);
}

static void
test_a_vm_that_loses_the_store_uses_another_vm(void)
{
    struct pair pair;

    pair_init(&pair);
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_OK);
    pair.stores[0].answer_status = CW_STORE_NOT_EXECUTED;
    CU_ASSERT_EQUAL(append(&pair),
                    CW_STORE_NOT_EXECUTED); /* a single refusal */
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_OK);
    pair.stores[0].answer_status = CW_STORE_UNKNOWN;
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_OK);
    CU_ASSERT_EQUAL(store_model_end(pair.model, "t"), 3);
    CU_ASSERT_EQUAL(pair.counters.named[CW_COUNT_RELAYED], 2);
    CU_ASSERT_FALSE(cw_relay_is_isolated(pair.relays[0]));
    pair_clear(&pair);
}

static void
test_an_outage_for_all_vms_is_not_isolation(void)
{
    struct pair pair;

    pair_init(&pair);
    pair.stores[0].answer_status = CW_STORE_NOT_EXECUTED;
    pair.stores[1].answer_status = CW_STORE_NOT_EXECUTED;
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_NOT_EXECUTED);
    pair.stores[0].answer_status = CW_STORE_UNKNOWN;
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_UNKNOWN);
    for (int i = 0; i < STEPS_MAX / 2; i++) {
        step(&pair);
    }
    CU_ASSERT_FALSE(cw_relay_is_isolated(pair.relays[0]));
    pair_clear(&pair);
}

static void
test_a_vm_that_gets_no_answer_is_isolated(void)
{
    struct pair pair;

    pair_init(&pair);
    pair.stores[0].answer_status = CW_STORE_UNKNOWN;
    /* The other VM has stopped: its port does not answer. */
    cw_relay_free(pair.relays[1]);
    pair.relays[1] = pair.relays[0];
    (void)append(&pair);
    for (int i = 0; i < STEPS_MAX / 2; i++) {
        step(&pair);
    }
    CU_ASSERT_TRUE(cw_relay_is_isolated(pair.relays[0]));
    pair.stores[0].answer_status = CW_STORE_OK;
    for (int i = 0; i < STEPS_MAX / 2; i++) {
        step(&pair);
    }
    CU_ASSERT_FALSE(cw_relay_is_isolated(pair.relays[0]));
    pair.relays[1] = NULL;
    pair_clear(&pair);
}

static void
save_page_status(void *context, const struct cw_store_page *page)
{
    *(int *)context = (int)page->status;
}

/* Sends a read at VM 0; returns the status of the answer. */
static int
read_some(struct pair *pair, unsigned most_kb)
{
    struct cw_store *store = cw_relay_store(pair->relays[0]);
    int status = -1;
    struct cw_store_read call = {.topic = "t",
                                 .most_kb = most_kb,
                                 .timeout_ms = 100,
                                 .done = save_page_status,
                                 .context = &status};

    store->ops->read(store, &call);
    for (int i = 0; i < STEPS_MAX && status < 0; i++) {
        step(pair);
    }
    return status;
}

/* Guards against an answer that is larger than a slow link can transfer in
 * time: the caller's limit is passed on, or lowered to fit a datagram. */
static void
test_a_relayed_read_is_limited_in_size(void)
{
    struct pair pair;

    pair_init(&pair);
    CU_ASSERT_EQUAL(read_some(&pair, 128), CW_STORE_OK);
    CU_ASSERT_EQUAL(pair.stores[0].most_kb, 128);
    pair.stores[0].answer_status = CW_STORE_NOT_EXECUTED;
    (void)read_some(&pair, 128);
    CU_ASSERT_EQUAL(read_some(&pair, 128), CW_STORE_OK);
    /* The answer returns in a datagram of at most 60,000 bytes. */
    CU_ASSERT_TRUE(pair.stores[1].most_kb > 0 && pair.stores[1].most_kb < 60);
    pair_clear(&pair);
}

/* Guards against calls that fail because an append before them did not fit
 * into a datagram: the other VM had not received it, and was avoided for it.
 * The append itself has not been executed, and says so. */
static void
test_an_append_too_large_for_a_datagram(void)
{
    enum { TOO_LARGE_BYTES = 70000 };
    struct pair pair;

    pair_init(&pair);
    pair.stores[0].answer_status = CW_STORE_NOT_EXECUTED;
    (void)append(&pair);
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_OK);
    CU_ASSERT_EQUAL(append_bytes(&pair, TOO_LARGE_BYTES),
                    CW_STORE_NOT_EXECUTED);
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_OK);
    pair_clear(&pair);
}

static void
save_join_status(void *context, const struct cw_store_join_result *result)
{
    *(int *)context = (int)result->status;
}

/* Joins at VM 0; returns the status. */
static int
join(struct pair *pair)
{
    struct cw_store *store = cw_relay_store(pair->relays[0]);
    int status = -1;
    struct cw_store_join call = {.group = "g",
                                 .member = "m",
                                 .topic = "t",
                                 .timeout_ms = 100,
                                 .done = save_join_status,
                                 .context = &status};

    store->ops->join(store, &call);
    for (int i = 0; i < STEPS_MAX && status < 0; i++) {
        step(pair);
    }
    return status;
}

/* Runs long enough for calls through the other VM to be answered or to time
 * out. */
static void
run_all_steps(struct pair *pair)
{
    for (int i = 0; i < STEPS_MAX; i++) {
        step(pair);
    }
}

/* Guards against an owner that keeps the shard and cannot store: the store
 * turns its VM away, its joins pass through another VM, and its append fits
 * into no datagram. */
static void
test_a_vm_with_an_append_too_large_leaves_the_group(void)
{
    enum { TOO_LARGE_BYTES = 70000 };
    struct pair pair;

    pair_init(&pair);
    CU_ASSERT_EQUAL(append_bytes(&pair, TOO_LARGE_BYTES), CW_STORE_OK);
    pair.stores[0].answer_status = CW_STORE_NOT_EXECUTED;
    (void)append(&pair);
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_OK);
    CU_ASSERT_EQUAL(join(&pair), CW_STORE_OK);
    (void)append_bytes(&pair, TOO_LARGE_BYTES);
    CU_ASSERT_EQUAL(join(&pair), CW_STORE_NOT_EXECUTED);
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_OK);
    run_all_steps(&pair);
    CU_ASSERT_EQUAL(join(&pair), CW_STORE_NOT_EXECUTED);
    pair.stores[0].answer_status = CW_STORE_OK;
    run_all_steps(&pair);
    CU_ASSERT_EQUAL(join(&pair), CW_STORE_OK);
    pair_clear(&pair);
}

struct page_result {
    unsigned times;
    enum cw_store_status status;
};

static void
count_page(void *context, const struct cw_store_page *page)
{
    struct page_result *page_result = context;

    page_result->times++;
    page_result->status = page->status;
}

static void
ignore_join(void *context, const struct cw_store_join_result *result)
{
    (void)context;
    (void)result;
}

/* Sends a read that waits for records, and a join, at VM 0. */
static void
read_and_join(struct pair *pair, struct page_result *page_result)
{
    struct cw_store *store = cw_relay_store(pair->relays[0]);
    struct cw_store_read read = {.topic = "t",
                                 .wait_ms = 1000,
                                 .timeout_ms = 1900,
                                 .done = count_page,
                                 .context = page_result};
    struct cw_store_join join = {.group = "g",
                                 .member = "m",
                                 .topic = "t",
                                 .timeout_ms = 700,
                                 .done = ignore_join};

    store->ops->read(store, &read);
    store->ops->join(store, &join);
}

/* Guards against an owner that receives no job for two seconds if the store
 * stops answering its VM only: other calls go through another VM after 0.9 s,
 * but a read of jobs that waits for records would stay in flight until its own
 * timeout. */
static void
test_a_waiting_read_is_diverted_in_time(void)
{
    enum { ANSWERED_WITHIN_MS = 600 };
    struct page_result page_result = {0};
    struct pair pair;

    pair_init(&pair);
    pair.stores[0].withhold_answers = true;
    read_and_join(&pair, &page_result);
    for (int i = 0; i < ANSWERED_WITHIN_MS / STEP_MS; i++) {
        step(&pair);
    }
    CU_ASSERT_EQUAL(page_result.times, 1);
    CU_ASSERT_EQUAL(page_result.status, CW_STORE_OK);
    fake_store_time_out(&pair.stores[0]); /* the caller was answered before */
    run_all_steps(&pair);
    CU_ASSERT_EQUAL(page_result.times, 1);
    pair_clear(&pair);
}

/* Guards against reads that go through other VMs, and put load on them, long
 * after a single answer of the store was lost. */
static void
test_reads_are_direct_again_once_the_store_answers(void)
{
    struct page_result page_result = {0};
    struct pair pair;
    unsigned reads;

    pair_init(&pair);
    pair.stores[0].withhold_answers = true;
    read_and_join(&pair, &page_result);
    for (int i = 0; i < STEPS_MAX / 2; i++) {
        step(&pair);
    }
    pair.stores[0].withhold_answers = false;
    fake_store_time_out(&pair.stores[0]);
    run_all_steps(&pair);
    reads = pair.stores[0].reads;
    CU_ASSERT_EQUAL(read_some(&pair, 128), CW_STORE_OK);
    CU_ASSERT_EQUAL(pair.stores[0].reads, reads + 1);
    pair_clear(&pair);
}

/* Guards against a read whose callback is called twice, or never, if neither
 * the store nor the other VM answers. */
static void
test_a_diverted_read_without_an_answer_ends_once(void)
{
    struct page_result page_result = {0};
    struct pair pair;

    pair_init(&pair);
    pair.stores[0].withhold_answers = true;
    pair.stores[1].withhold_answers = true;
    read_and_join(&pair, &page_result);
    run_all_steps(&pair);
    CU_ASSERT_EQUAL(page_result.times, 1);
    CU_ASSERT_EQUAL(page_result.status, CW_STORE_UNKNOWN);
    fake_store_time_out(&pair.stores[0]);
    fake_store_time_out(&pair.stores[1]);
    run_all_steps(&pair);
    fake_store_time_out(&pair.stores[1]);
    run_all_steps(&pair);
    CU_ASSERT_EQUAL(page_result.times, 1);
    pair_clear(&pair);
}

/* ---- support for an owner ---- */

struct support_answer {
    unsigned count;
    struct cw_peers_answer last;
};

static void
on_support(void *context, const struct cw_peers_answer *answer)
{
    struct support_answer *received = context;

    received->count++;
    received->last = *answer;
}

/* Requests support from a VM and waits for the answer or the timeout. */
static void
request_support(struct pair *pair, const char *address, unsigned partition,
                uint64_t epoch, struct support_answer *received)
{
    struct cw_peers *peers = cw_relay_peers(pair->relays[0]);
    struct cw_peers_support request = {.address = address,
                                       .partition = partition,
                                       .epoch = epoch,
                                       .timeout_ms = 300,
                                       .done = on_support,
                                       .context = received};

    *received = (struct support_answer){0};
    pthread_mutex_lock(&pair->engine_lock);
    peers->ops->support(peers, &request);
    pthread_mutex_unlock(&pair->engine_lock);
    for (int i = 0; i < STEPS_MAX && received->count == 0; i++) {
        step(pair);
    }
    CU_ASSERT_EQUAL(received->count, 1);
}

/* Guards against a VM that supports two owners, and against its own support
 * that is asked for over the network. */
static void
test_support_is_given_to_the_highest_epoch(void)
{
    for (int to = 0; to < 2; to++) {
        struct pair pair;
        struct support_answer answer;
        const char *address;

        pair_init(&pair);
        address = cw_relay_address(pair.relays[to]);
        request_support(&pair, address, 0, 5, &answer);
        CU_ASSERT_TRUE(answer.last.supported);
        CU_ASSERT_TRUE(answer.last.lower_left_ms < 0);
        request_support(&pair, address, 0, 9, &answer);
        CU_ASSERT_TRUE(answer.last.supported);
        CU_ASSERT_TRUE(answer.last.lower_left_ms > 500);
        request_support(&pair, address, 0, 5, &answer);
        CU_ASSERT_FALSE(answer.last.supported);
        pair_clear(&pair);
    }
}

/* Guards against support that is taken as given without an answer, or for a
 * shard that the VM does not know. */
static void
test_no_answer_is_no_support(void)
{
    struct pair pair;
    struct support_answer answer;

    pair_init(&pair);
    request_support(&pair, cw_relay_address(pair.relays[1]), 1, 5, &answer);
    CU_ASSERT_FALSE(answer.last.supported);
    request_support(&pair, "127.0.0.1:9", 0, 5, &answer);
    CU_ASSERT_FALSE(answer.last.supported);
    request_support(&pair, "no address", 0, 5, &answer);
    CU_ASSERT_FALSE(answer.last.supported);
    pair_clear(&pair);
}

/* Guards against a VM that answered in time and counts as silent: the VM that
 * asked was busy, and ended the call before it read the answer. */
static void
test_an_answer_read_late_is_no_timeout(void)
{
    struct pair pair;
    struct support_answer received = {0};
    struct cw_peers *peers;
    struct cw_peers_support request = {.epoch = 7,
                                       .timeout_ms = 100,
                                       .done = on_support,
                                       .context = &received};
    struct pollfd wait = {.events = POLLIN};

    pair_init(&pair);
    peers = cw_relay_peers(pair.relays[0]);
    request.address = cw_relay_address(pair.relays[1]);
    pthread_mutex_lock(&pair.engine_lock);
    peers->ops->support(peers, &request);
    pthread_mutex_unlock(&pair.engine_lock);
    wait.fd = cw_relay_descriptor(pair.relays[1]);
    CU_ASSERT_EQUAL(poll(&wait, 1, 1000), 1);
    cw_relay_receive(pair.relays[1]); /* which answers */
    wait.fd = cw_relay_descriptor(pair.relays[0]);
    CU_ASSERT_EQUAL(poll(&wait, 1, 1000), 1);
    pair.clock.now = cw_time_add_ms(pair.clock.now, 500);
    pthread_mutex_lock(&pair.engine_lock);
    cw_relay_tick(pair.relays[0], pair.clock.now);
    pthread_mutex_unlock(&pair.engine_lock);
    CU_ASSERT_EQUAL(received.count, 1);
    CU_ASSERT_TRUE(received.last.supported);
    pair_clear(&pair);
}

static const struct test tests[] = {
    {"support", test_support_is_given_to_the_highest_epoch},
    {"no support", test_no_answer_is_no_support},
    {"waiting read", test_a_waiting_read_is_diverted_in_time},
    {"direct again", test_reads_are_direct_again_once_the_store_answers},
    {"diverted, no answer", test_a_diverted_read_without_an_answer_ends_once},
    {"limited reads", test_a_relayed_read_is_limited_in_size},
    {"too large", test_an_append_too_large_for_a_datagram},
    {"too large, joins", test_a_vm_with_an_append_too_large_leaves_the_group},
    {"store lost", test_a_vm_that_loses_the_store_uses_another_vm},
    {"outage", test_an_outage_for_all_vms_is_not_isolation},
    {"isolated", test_a_vm_that_gets_no_answer_is_isolated},
    {"read late", test_an_answer_read_late_is_no_timeout},
};

TEST_MAIN("relay", tests)

/* Calls to the store through another VM, over real sockets on loopback. */
#include "test_main.h"

#include <poll.h>
#include <string.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_relay.h"
#include "fake_store.h"

enum { TURNS_MOST = 400, TURN_MS = 10 };

/* Two VMs with one store between them. */
struct pair {
    pthread_mutex_t engine_lock;
    struct cw_clock_manual clock;
    struct cw_counters counters;
    struct store_model *model;
    struct fake_store ports[2];
    struct cw_relay *relays[2];
    char *members[2];
};

static void
turn(struct pair *pair)
{
    struct pollfd wait[2];

    for (int i = 0; i < 2; i++) {
        wait[i].fd = cw_relay_descriptor(pair->relays[i]);
        wait[i].events = POLLIN;
    }
    pair->clock.now = cw_time_add_ms(pair->clock.now, TURN_MS);
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
pair_begin(struct pair *pair)
{
    memset(pair, 0, sizeof(*pair));
    pthread_mutex_init(&pair->engine_lock, NULL);
    cw_clock_manual_init(&pair->clock);
    pair->clock.now = cw_time_from_ms(10000);
    pair->model = store_model_create(1);
    for (int i = 0; i < 2; i++) {
        struct cw_relay_options options = {
            .direct = &pair->ports[i].base,
            .clock = &pair->clock.base,
            .counters = &pair->counters,
            .engine_lock = &pair->engine_lock,
            .address = "127.0.0.1:0",
            .group = "g",
        };

        pair->ports[i].base.ops = &fake_store_ops;
        pair->ports[i].model = pair->model;
        pair->relays[i] = cw_relay_create(&options);
        CU_ASSERT_PTR_NOT_NULL_FATAL(pair->relays[i]);
        pair->members[i] =
            cw_relay_member_name("vm", cw_relay_address(pair->relays[i]), 1);
    }
    pair->ports[0].member = pair->members[1];
    pair->ports[1].member = pair->members[0];
    /* Long enough for the key and the list of members. */
    for (int i = 0; i < TURNS_MOST / 2; i++) {
        turn(pair);
    }
}

static void
pair_end(struct pair *pair)
{
    for (int i = 0; i < 2; i++) {
        cw_relay_free(pair->relays[i]);
        g_free(pair->members[i]);
    }
    store_model_free(pair->model);
    pthread_mutex_destroy(&pair->engine_lock);
}

static void
take_status(void *context, const struct cw_store_append_result *result)
{
    *(int *)context = (int)result->status;
}

/* Appends at VM 0 and waits for what becomes of it. */
static int
append(struct pair *pair)
{
    struct cw_store_record record = {.key = "k", .value = "v", .length = 1};
    struct cw_store *store = cw_relay_store(pair->relays[0]);
    int status = -1;
    struct cw_store_append call = {.topic = "t",
                                   .records = &record,
                                   .count = 1,
                                   .timeout_ms = 100,
                                   .done = take_status,
                                   .context = &status};

    store->ops->append(store, &call);
    for (int i = 0; i < TURNS_MOST && status < 0; i++) {
        turn(pair);
    }
    return status;
}

static void
test_a_vm_that_is_turned_away_goes_through_another(void)
{
    struct pair pair;

    pair_begin(&pair);
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_OK);
    pair.ports[0].answer_status = CW_STORE_REFUSED;
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_REFUSED); /* once is chance */
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_OK);
    pair.ports[0].answer_status = CW_STORE_UNKNOWN;
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_OK);
    CU_ASSERT_EQUAL(store_model_end(pair.model, "t"), 3);
    CU_ASSERT_EQUAL(pair.counters.named[CW_COUNT_RELAYED], 2);
    CU_ASSERT_FALSE(cw_relay_is_isolated(pair.relays[0]));
    pair_end(&pair);
}

static void
test_an_outage_for_all_is_told_as_it_is(void)
{
    struct pair pair;

    pair_begin(&pair);
    pair.ports[0].answer_status = CW_STORE_REFUSED;
    pair.ports[1].answer_status = CW_STORE_REFUSED;
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_REFUSED);
    pair.ports[0].answer_status = CW_STORE_UNKNOWN;
    CU_ASSERT_EQUAL(append(&pair), CW_STORE_UNKNOWN);
    for (int i = 0; i < TURNS_MOST / 2; i++) {
        turn(&pair);
    }
    CU_ASSERT_FALSE(cw_relay_is_isolated(pair.relays[0]));
    pair_end(&pair);
}

static void
test_a_vm_that_hears_nobody_is_isolated(void)
{
    struct pair pair;

    pair_begin(&pair);
    pair.ports[0].answer_status = CW_STORE_UNKNOWN;
    /* The other VM is gone; its port answers nothing. */
    cw_relay_free(pair.relays[1]);
    pair.relays[1] = pair.relays[0];
    (void)append(&pair);
    for (int i = 0; i < TURNS_MOST / 2; i++) {
        turn(&pair);
    }
    CU_ASSERT_TRUE(cw_relay_is_isolated(pair.relays[0]));
    pair.ports[0].answer_status = CW_STORE_OK;
    for (int i = 0; i < TURNS_MOST / 2; i++) {
        turn(&pair);
    }
    CU_ASSERT_FALSE(cw_relay_is_isolated(pair.relays[0]));
    pair.relays[1] = NULL;
    pair_end(&pair);
}

static void
take_page(void *context, const struct cw_store_page *page)
{
    *(int *)context = (int)page->status;
}

/* Reads at VM 0 and waits for what becomes of it. */
static int
read_some(struct pair *pair, unsigned most_kb)
{
    struct cw_store *store = cw_relay_store(pair->relays[0]);
    int status = -1;
    struct cw_store_read call = {.topic = "t",
                                 .most_kb = most_kb,
                                 .timeout_ms = 100,
                                 .done = take_page,
                                 .context = &status};

    store->ops->read(store, &call);
    for (int i = 0; i < TURNS_MOST && status < 0; i++) {
        turn(pair);
    }
    return status;
}

/* A thin link carries what was asked for in time, and no more. */
static void
test_a_read_asks_for_no_more_than_was_wanted(void)
{
    struct pair pair;

    pair_begin(&pair);
    CU_ASSERT_EQUAL(read_some(&pair, 128), CW_STORE_OK);
    CU_ASSERT_EQUAL(pair.ports[0].most_kb, 128);
    pair.ports[0].answer_status = CW_STORE_REFUSED;
    (void)read_some(&pair, 128);
    CU_ASSERT_EQUAL(read_some(&pair, 128), CW_STORE_OK);
    /* The answer's way back is a datagram of 60,000 bytes at the most. */
    CU_ASSERT_TRUE(pair.ports[1].most_kb > 0 && pair.ports[1].most_kb < 60);
    pair_end(&pair);
}

struct heard {
    unsigned times;
    enum cw_store_status status;
};

static void
hear_page(void *context, const struct cw_store_page *page)
{
    struct heard *heard = context;

    heard->times++;
    heard->status = page->status;
}

/* Long enough for calls through the other VM to be answered or given up. */
static void
settle(struct pair *pair)
{
    for (int i = 0; i < TURNS_MOST; i++) {
        turn(pair);
    }
}

static void
ignore_join(void *context, const struct cw_store_join_result *result)
{
    (void)context;
    (void)result;
}

/* A read that waits for records, and a join, at VM 0. */
static void
read_and_join(struct pair *pair, struct heard *heard)
{
    struct cw_store *store = cw_relay_store(pair->relays[0]);
    struct cw_store_read read = {.topic = "t",
                                 .wait_ms = 1000,
                                 .timeout_ms = 1900,
                                 .done = hear_page,
                                 .context = heard};
    struct cw_store_join join = {.group = "g",
                                 .member = "m",
                                 .topic = "t",
                                 .timeout_ms = 700,
                                 .done = ignore_join};

    store->ops->read(store, &read);
    store->ops->join(store, &join);
}

/* Guards against an owner that takes no job for two seconds: the store fell
 * silent to it alone, its other calls went through another VM after 0.9 s, and
 * the read of jobs, which waits for records, stayed until its own time-out. */
static void
test_a_waiting_read_goes_through_another_vm_in_time(void)
{
    enum { AIM_MS = 600 };
    struct heard heard = {0};
    struct pair pair;

    pair_begin(&pair);
    pair.ports[0].withhold_answers = true;
    read_and_join(&pair, &heard);
    for (int i = 0; i < AIM_MS / TURN_MS; i++) {
        turn(&pair);
    }
    CU_ASSERT_EQUAL(heard.times, 1);
    CU_ASSERT_EQUAL(heard.status, CW_STORE_OK);
    fake_store_time_out(&pair.ports[0]); /* answers nobody any more */
    settle(&pair);
    CU_ASSERT_EQUAL(heard.times, 1);
    pair_end(&pair);
}

/* Guards against reads that stay on other VMs, and load them, after one answer
 * of the store was lost. */
static void
test_reads_come_back_once_the_store_answers(void)
{
    struct heard heard = {0};
    struct pair pair;
    unsigned reads;

    pair_begin(&pair);
    pair.ports[0].withhold_answers = true;
    read_and_join(&pair, &heard);
    for (int i = 0; i < TURNS_MOST / 2; i++) {
        turn(&pair);
    }
    pair.ports[0].withhold_answers = false;
    fake_store_time_out(&pair.ports[0]);
    settle(&pair);
    reads = pair.ports[0].reads;
    CU_ASSERT_EQUAL(read_some(&pair, 128), CW_STORE_OK);
    CU_ASSERT_EQUAL(pair.ports[0].reads, reads + 1);
    pair_end(&pair);
}

/* Guards against a read that is answered twice, or never, if no other VM has
 * an answer either. */
static void
test_a_diverted_read_that_nobody_answers_ends_once(void)
{
    struct heard heard = {0};
    struct pair pair;

    pair_begin(&pair);
    pair.ports[0].withhold_answers = true;
    pair.ports[1].withhold_answers = true;
    read_and_join(&pair, &heard);
    settle(&pair);
    CU_ASSERT_EQUAL(heard.times, 1);
    CU_ASSERT_EQUAL(heard.status, CW_STORE_UNKNOWN);
    fake_store_time_out(&pair.ports[0]);
    fake_store_time_out(&pair.ports[1]);
    settle(&pair);
    fake_store_time_out(&pair.ports[1]);
    settle(&pair);
    CU_ASSERT_EQUAL(heard.times, 1);
    pair_end(&pair);
}

static const struct test tests[] = {
    {"waiting read", test_a_waiting_read_goes_through_another_vm_in_time},
    {"reads come back", test_reads_come_back_once_the_store_answers},
    {"diverted, no answer",
     test_a_diverted_read_that_nobody_answers_ends_once},
    {"small reads", test_a_read_asks_for_no_more_than_was_wanted},
    {"turned away", test_a_vm_that_is_turned_away_goes_through_another},
    {"outage", test_an_outage_for_all_is_told_as_it_is},
    {"isolated", test_a_vm_that_hears_nobody_is_isolated},
};

TEST_MAIN("relay", tests)

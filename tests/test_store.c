/* Tests of the client of the platform's store. */
#include "test_main.h"

#include "curlewcart/cw_store.h"
#include "one_answer_server.h"
#include "platform/platform.h"

enum { TIMEOUT_MS = 5000 };

/* What an answer was decoded to. */
struct decoded {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool answered;
    enum cw_store_status status;
    uint64_t end;
    GString *keys; /* of a page, each followed by "=", its length and "\n" */
};

static void
set_decoded(struct decoded *decoded, enum cw_store_status status, uint64_t end)
{
    pthread_mutex_lock(&decoded->lock);
    decoded->answered = true;
    decoded->status = status;
    decoded->end = end;
    pthread_cond_broadcast(&decoded->changed);
    pthread_mutex_unlock(&decoded->lock);
}

static void
on_appended(void *context, const struct cw_store_append_result *result)
{
    set_decoded(context, result->status, result->end);
}

static void
on_joined(void *context, const struct cw_store_join_result *result)
{
    set_decoded(context, result->status, result->generation);
}

static void
append(struct cw_store *store, struct decoded *decoded)
{
    struct cw_store_append call = {.topic = "t",
                                   .writer = "w",
                                   .epoch = 1,
                                   .timeout_ms = TIMEOUT_MS,
                                   .done = on_appended,
                                   .context = decoded};

    store->ops->append(store, &call);
}

static void
join(struct cw_store *store, struct decoded *decoded)
{
    struct cw_store_join call = {.group = "g",
                                 .member = "m",
                                 .topic = "t",
                                 .ttl_ms = 1000,
                                 .timeout_ms = TIMEOUT_MS,
                                 .done = on_joined,
                                 .context = decoded};

    store->ops->join(store, &call);
}

static void
on_page(void *context, const struct cw_store_page *page)
{
    struct decoded *decoded = context;

    for (size_t i = 0; i < page->count; i++) {
        g_string_append_printf(decoded->keys, "%s=%zu\n", page->records[i].key,
                               page->records[i].length);
    }
    set_decoded(decoded, page->status, page->end);
}

static void
read_newest(struct cw_store *store, struct decoded *decoded)
{
    struct cw_store_read_newest call = {.topic = "t",
                                        .timeout_ms = TIMEOUT_MS,
                                        .done = on_page,
                                        .context = decoded};

    store->ops->newest(store, &call);
}

static void
read_records(struct cw_store *store, struct decoded *decoded)
{
    struct cw_store_read call = {.topic = "t",
                                 .timeout_ms = TIMEOUT_MS,
                                 .done = on_page,
                                 .context = decoded};

    store->ops->read(store, &call);
}

/* Makes a call to a store that gives an answer with this status line and body.
 */
static struct decoded
make_call_with(void (*call)(struct cw_store *, struct decoded *),
               const char *status_line, const void *body, size_t length)
{
    pthread_mutex_t engine_lock = PTHREAD_MUTEX_INITIALIZER;
    struct decoded decoded = {.lock = PTHREAD_MUTEX_INITIALIZER,
                              .changed = PTHREAD_COND_INITIALIZER,
                              .keys = g_string_new(NULL)};
    struct platform_options options = {.client = cw_http_client_create(NULL),
                                       .engine_lock = &engine_lock};
    GString *text = g_string_new(NULL);
    struct one_answer_server server;
    struct cw_store *store;

    g_string_printf(text, "HTTP/1.1 %s\r\nConnection: close\r\n\r\n",
                    status_line);
    g_string_append_len(text, body, (gssize)length);
    one_answer_server_start_bytes(&server, text->str, text->len);
    options.store_address = server.address;
    store = platform_store_new(&options);
    call(store, &decoded);
    pthread_mutex_lock(&decoded.lock);
    while (!decoded.answered) {
        pthread_cond_wait(&decoded.changed, &decoded.lock);
    }
    pthread_mutex_unlock(&decoded.lock);
    one_answer_server_stop(&server);
    cw_http_client_free(options.client);
    platform_store_free(store);
    g_string_free(text, TRUE);
    return decoded;
}

static struct decoded
make_call_answered(void (*call)(struct cw_store *, struct decoded *),
                   const char *status_line, const char *body)
{
    struct decoded decoded =
        make_call_with(call, status_line, body, strlen(body));

    g_string_free(decoded.keys, TRUE);
    decoded.keys = NULL;
    return decoded;
}

static struct decoded
make_call(void (*call)(struct cw_store *, struct decoded *), const char *body)
{
    return make_call_answered(call, "200 OK", body);
}

static void
test_append_is_decoded(void)
{
    struct decoded decoded = make_call(append, "{\"offset\":6,\"end\":7}");

    CU_ASSERT_EQUAL(decoded.status, CW_STORE_OK);
    CU_ASSERT_EQUAL(decoded.end, 7);
}

/* TWICE: a VM that takes over reads the log up to the end that its first
 * append returned.  From an incomplete answer it would take the log for empty,
 * and start tasks whose runs it has not read. */
static void
test_incomplete_append_is_unknown(void)
{
    static const char *const bodies[] = {"", "{\"offset\":6,\"en", "7"};

    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        CU_ASSERT_EQUAL(make_call(append, bodies[i]).status, CW_STORE_UNKNOWN);
    }
}

/* Guards against a refusal without its reason: it would be taken for one of
 * the sequence number, with 0 as the number that is expected. */
static void
test_incomplete_refusal_of_append_is_unknown(void)
{
    static const char conflict[] = "409 Conflict";

    CU_ASSERT_EQUAL(
        make_call_answered(append, conflict, "{\"reason\":\"fe").status,
        CW_STORE_UNKNOWN);
    CU_ASSERT_EQUAL(
        make_call_answered(append, conflict, "{\"reason\":\"fenced\"}").status,
        CW_STORE_FENCED);
}

/* Guards against an owner that gives the shard up for an answer without its
 * partitions. */
static void
test_incomplete_join_is_unknown(void)
{
    CU_ASSERT_EQUAL(make_call(join, "{\"generation\":5}").status, CW_STORE_OK);
    CU_ASSERT_EQUAL(make_call(join, "{\"generation\":5,\"pa").status,
                    CW_STORE_UNKNOWN);
}

static void
check_page(struct decoded decoded, const char *keys)
{
    CU_ASSERT_EQUAL(decoded.status, CW_STORE_OK);
    CU_ASSERT_EQUAL(decoded.end, 9);
    CU_ASSERT_STRING_EQUAL(decoded.keys->str, keys);
    g_string_free(decoded.keys, TRUE);
}

/* Guards against a VM that stops following a list with several writers: one
 * entry's key, which contains a NUL character, made the whole page unreadable.
 */
static void
test_an_odd_key_does_not_hide_a_page(void)
{
    static const char body[] =
        "{\"end\":9,\"has_more\":false,\"items\":["
        "{\"key\":\"i-1\",\"value\":\"YWI=\",\"offset\":1},"
        "{\"key\":\"i-\\u00002\",\"value\":\"YWI=\",\"offset\":2},"
        "{\"key\":[],\"value\":\"YWI=\",\"offset\":3},"
        "{\"key\":\"i-3\",\"value\":7,\"offset\":1e300}]}";

    check_page(make_call_with(read_newest, "200 OK", body, strlen(body)),
               "i-1=2\n=2\n=2\ni-3=0\n");
}

/* The same for the records of a read: one without a key, one whose key is
 * longer than the record, one with a NUL character in its key. */
static void
test_an_odd_record_does_not_hide_a_page(void)
{
    static const char body[] = "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\0"
                               "\0\0\0\x06\x03i-1ab"
                               "\0\0\0\0"
                               "\0\0\0\x03\x09i-"
                               "\0\0\0\x05\x03i\0001a"
                               "\0\0\0\x05\x03i-3c";

    check_page(make_call_with(read_records, "200 OK", body, sizeof(body) - 1),
               "i-1=2\n=0\n=0\n=0\ni-3=1\n");
}

static const struct test tests[] = {
    {"append", test_append_is_decoded},
    {"incomplete append", test_incomplete_append_is_unknown},
    {"incomplete refusal", test_incomplete_refusal_of_append_is_unknown},
    {"incomplete join", test_incomplete_join_is_unknown},
    {"odd key", test_an_odd_key_does_not_hide_a_page},
    {"odd record", test_an_odd_record_does_not_hide_a_page},
};

TEST_MAIN("store", tests)

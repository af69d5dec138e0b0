/* Store of the stand-in: the emulator's model served over HTTP. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "curlewcart/cw_bytes.h"
#include "curlewcart/cw_replica.h"
#include "curlewcart/cw_time.h"
#include "standins/platform_standin.h"

static const char *
query_text(struct cw_http_call *call, const char *name)
{
    const char *value = cw_http_call_query(call, name);

    return value != NULL ? value : "";
}

/* Splits a body into records.  Their keys are added to `keys`, which owns
 * them. */
static GArray *
split_records(const unsigned char *bytes, size_t length, GPtrArray *keys)
{
    GArray *records = g_array_new(FALSE, TRUE, sizeof(struct cw_store_record));

    while (length > LENGTH_BYTES) {
        size_t size = cw_bytes_read_be(bytes, LENGTH_BYTES);
        size_t key = bytes[LENGTH_BYTES];
        struct cw_store_record record = {0};

        if (size + LENGTH_BYTES > length || key + 1 > size) {
            break;
        }
        g_ptr_array_add(
            keys, g_strndup((const char *)bytes + LENGTH_BYTES + 1, key));
        record.key = keys->pdata[keys->len - 1];
        record.length = size - 1 - key;
        record.value =
            record.length > 0 ? bytes + LENGTH_BYTES + 1 + key : NULL;
        g_array_append_val(records, record);
        bytes += LENGTH_BYTES + size;
        length -= LENGTH_BYTES + size;
    }
    return records;
}

static void
handle_append(struct platform *platform, struct cw_http_call *call)
{
    size_t length = 0;
    const char *body = cw_http_call_body(call, &length);
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    GArray *records = split_records((const unsigned char *)body, length, keys);
    const char *expected = cw_http_call_query(call, "expected_offset");
    struct cw_store_append append = {
        .topic = query_text(call, "topic"),
        .records = (const struct cw_store_record *)records->data,
        .count = records->len,
        .writer = cw_http_call_query(call, "producer"),
        .epoch = g_ascii_strtoull(query_text(call, "epoch"), NULL, 10),
        .sequence = g_ascii_strtoull(query_text(call, "seq"), NULL, 10),
        .conditional = expected != NULL,
        .expected_end =
            expected != NULL ? g_ascii_strtoull(expected, NULL, 10) : 0,
    };
    struct cw_store_append_result result =
        store_model_append(platform->store, &append);

    g_array_unref(records);
    g_ptr_array_unref(keys);
    switch (result.status) {
    case CW_STORE_FENCED:
        standin_answer(call, 409, json_pack("{s:s}", "reason", "fenced"));
        break;
    case CW_STORE_OUT_OF_SEQUENCE:
        standin_answer(call, 409,
                       json_pack("{s:s, s:I}", "reason", "seq", "seq",
                                 (json_int_t)result.expected_sequence));
        break;
    case CW_STORE_CONFLICT:
        standin_answer(call, 412,
                       json_pack("{s:I}", "end", (json_int_t)result.end));
        break;
    case CW_STORE_INVALID:
        standin_answer(call, 400, json_object());
        break;
    default:
        standin_answer(call, 200,
                       json_pack("{s:I, s:I}", "offset",
                                 (json_int_t)result.first, "end",
                                 (json_int_t)result.end));
        break;
    }
}

static void
append_number(GByteArray *out, uint64_t value, unsigned bytes)
{
    for (unsigned i = bytes; i > 0; i--) {
        guint8 byte = (guint8)(value >> (8 * (i - 1)));

        g_byte_array_append(out, &byte, 1);
    }
}

static void
answer_records(struct cw_http_call *call, const struct store_model_page *page)
{
    GByteArray *out = g_byte_array_new();

    append_number(out, page->page.end, 8);
    append_number(out, page->page.first, 8);
    for (size_t i = 0; i < page->page.count; i++) {
        const struct cw_store_record *record = &page->page.records[i];
        size_t key = strlen(record->key);

        append_number(out, 1 + key + record->length, LENGTH_BYTES);
        append_number(out, key, 1);
        g_byte_array_append(out, (const guint8 *)record->key, (guint)key);
        if (record->length > 0) {
            g_byte_array_append(out, record->value, (guint)record->length);
        }
    }
    cw_http_answer(call, 200, "application/octet-stream",
                   (const char *)out->data, out->len, false);
    g_byte_array_unref(out);
}

/* Handles a read, which may wait for records, on a separate thread. */
static void *
wait_for_records(void *argument)
{
    struct deferred_call *deferred_call = argument;
    struct cw_http_call *call = deferred_call->call;
    uint64_t from = g_ascii_strtoull(query_text(call, "from"), NULL, 10);
    struct store_model_page page;

    for (;;) {
        pthread_mutex_lock(&deferred_call->platform->lock);
        store_model_read(deferred_call->platform->store,
                         query_text(call, "topic"), from, &page);
        pthread_mutex_unlock(&deferred_call->platform->lock);
        if (page.page.count > 0 || page.page.status != CW_STORE_OK ||
            standin_now_ms() >= deferred_call->until_ms)
        {
            break;
        }
        store_model_page_clear(&page);
        g_usleep(POLL_INTERVAL_MS * 1000);
    }
    if (page.page.status == CW_STORE_EXPIRED) {
        standin_answer(
            call, 410,
            json_pack("{s:I}", "first", (json_int_t)page.page.first));
    }
    else {
        answer_records(call, &page);
    }
    store_model_page_clear(&page);
    g_free(deferred_call);
    return NULL;
}

static void
handle_newest(struct platform *platform, struct cw_http_call *call)
{
    struct store_model_page page;
    json_t *items = json_array();

    store_model_newest(platform->store, query_text(call, "topic"),
                       cw_http_call_query(call, "after"), &page);
    for (size_t i = 0; i < page.page.count; i++) {
        const struct cw_store_record *record = &page.page.records[i];
        char *value = g_base64_encode(record->value, record->length);

        json_array_append_new(
            items, json_pack("{s:s, s:s, s:I}", "key", record->key, "value",
                             value, "offset", (json_int_t)record->offset));
        g_free(value);
    }
    standin_answer(call, 200,
                   json_pack("{s:o, s:b, s:I}", "items", items, "has_more",
                             page.page.more, "end",
                             (json_int_t)page.page.end));
    store_model_page_clear(&page);
}

static void
handle_join(struct platform *platform, struct cw_http_call *call)
{
    size_t length = 0;
    const char *text = cw_http_call_body(call, &length);
    json_t *body = json_loadb(text, length, 0, NULL);
    const char *member = json_string_value(json_object_get(body, "member"));
    const char *topic =
        json_string_value(json_array_get(json_object_get(body, "topics"), 0));
    bool held = false;
    uint64_t generation = store_model_join(
        platform->store, member != NULL ? member : "?",
        (unsigned)json_integer_value(json_object_get(body, "ttl_ms")),
        cw_clock_now(cw_clock_system()), &held);
    json_t *parts = json_array();

    if (held) {
        json_array_append_new(parts, json_pack("[s, i, i]", topic, 0, 0));
    }
    standin_answer(call, 200,
                   json_pack("{s:I, s:o}", "generation",
                             (json_int_t)generation, "parts", parts));
    json_decref(body);
}

static void
handle_leave(struct platform *platform, struct cw_http_call *call)
{
    size_t length = 0;
    const char *text = cw_http_call_body(call, &length);
    json_t *body = json_loadb(text, length, 0, NULL);
    const char *member = json_string_value(json_object_get(body, "member"));

    store_model_leave(platform->store, member != NULL ? member : "?",
                      cw_clock_now(cw_clock_system()));
    standin_answer(call, 200, json_object());
    json_decref(body);
}

/* Answers as if the topic had enough partitions for each member to hold one,
 * although only partition 0 is assigned. */
static void
handle_owners(struct platform *platform, struct cw_http_call *call)
{
    GPtrArray *members = g_ptr_array_new();
    json_t *rows = json_array();

    store_model_members(platform->store, cw_clock_now(cw_clock_system()),
                        members);
    for (guint i = 0; i < members->len; i++) {
        json_array_append_new(rows,
                              json_pack("[s, i, s, i]", CW_JOBS_TOPIC, (int)i,
                                        (const char *)members->pdata[i], 0));
    }
    standin_answer(call, 200, json_pack("{s:o}", "parts", rows));
    g_ptr_array_unref(members);
}

/* Carries an append out after its daemon has given up waiting. */
static void *
append_late(void *argument)
{
    struct deferred_call *deferred_call = argument;
    struct platform *platform = deferred_call->platform;

    g_usleep((gulong)(deferred_call->until_ms - standin_now_ms()) * 1000);
    pthread_mutex_lock(&platform->lock);
    handle_append(platform, deferred_call->call);
    pthread_mutex_unlock(&platform->lock);
    g_free(deferred_call);
    return NULL;
}

/* True if the append is one of those that are to be carried out late. */
static bool
is_late(struct platform *platform, struct cw_http_call *call)
{
    size_t length = 0;
    const char *body = cw_http_call_body(call, &length);
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    GArray *records = split_records((const unsigned char *)body, length, keys);
    bool late = false;

    for (guint i = 0; i < keys->len && platform->late_count > 0; i++) {
        late = late || g_str_has_prefix(keys->pdata[i], platform->late_key);
    }
    platform->late_count -= late;
    g_array_unref(records);
    g_ptr_array_unref(keys);
    return late;
}

void
standin_handle_store(void *context, struct cw_http_call *call)
{
    struct platform *platform = context;
    const char *path = cw_http_call_path(call);
    bool store_unavailable;

    pthread_mutex_lock(&platform->lock);
    store_unavailable = platform->store_unavailable;
    pthread_mutex_unlock(&platform->lock);
    if (store_unavailable) {
        standin_answer(call, 503, json_object());
        return;
    }
    if (strcmp(path, "/log-read") == 0) {
        standin_defer_call(
            platform, NULL, call,
            g_ascii_strtoll(query_text(call, "wait_ms"), NULL, 10),
            wait_for_records);
        return;
    }
    pthread_mutex_lock(&platform->lock);
    if (strcmp(path, "/log-append") == 0 && is_late(platform, call)) {
        standin_defer_call(platform, NULL, call, platform->late_ms,
                           append_late);
    }
    else if (strcmp(path, "/log-append") == 0) {
        handle_append(platform, call);
    }
    else if (strcmp(path, "/log-newest") == 0) {
        handle_newest(platform, call);
    }
    else if (strcmp(path, "/log-join") == 0) {
        handle_join(platform, call);
    }
    else if (strcmp(path, "/log-leave") == 0) {
        handle_leave(platform, call);
    }
    else if (strcmp(path, "/log-owners") == 0) {
        handle_owners(platform, call);
    }
    else {
        standin_answer(call, 404, json_object());
    }
    pthread_mutex_unlock(&platform->lock);
}

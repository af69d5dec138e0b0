/* Model of the store; see the header. */
#include "emulator/store_model.h"

#include <string.h>

#include "curlewcart/cw_time.h"

enum {
    /* Number of a writer's latest appends whose repetition gets the first
     * answer again. */
    RECENT_APPENDS_MAX = 5,
    PAGE_RECORDS_MAX = 500 /* of a read of newest records */
};

struct stored {
    char *key;
    GBytes *value; /* NULL: the record removes the key */
    uint64_t offset;
};

/* Append of a fenced writer, stored to answer its repetition. */
struct recent_append {
    uint64_t sequence;
    struct cw_store_append_result result;
};

struct writer {
    uint64_t epoch;
    uint64_t next_sequence;
    bool has_appended;
    GQueue recent; /* struct recent_append */
};

struct topic {
    GPtrArray *records; /* struct stored, from offset `first` on */
    uint64_t first;
    uint64_t end;
    GTree *newest;       /* key -> struct stored, a copy */
    GHashTable *writers; /* name -> struct writer */
};

struct member {
    char *name;
    struct timespec expires;
    uint64_t joined_generation; /* unused */
};

struct store_model {
    GHashTable *topics;
    GPtrArray *members;    /* struct member, oldest first */
    char *holder;          /* of partition 0 */
    uint64_t holder_since; /* generation */
    char *next_holder; /* becomes holder when the present holder joins again or
                          its membership ends */
    uint64_t generation;
};

static void
stored_free(gpointer data)
{
    struct stored *stored = data;

    g_free(stored->key);
    if (stored->value != NULL) {
        g_bytes_unref(stored->value);
    }
    g_free(stored);
}

static struct stored *
stored_copy(const struct stored *from)
{
    struct stored *copy = g_new0(struct stored, 1);

    copy->key = g_strdup(from->key);
    copy->value = from->value != NULL ? g_bytes_ref(from->value) : NULL;
    copy->offset = from->offset;
    return copy;
}

static void
writer_free(gpointer data)
{
    struct writer *writer = data;

    g_queue_clear_full(&writer->recent, g_free);
    g_free(writer);
}

static void
topic_free(gpointer data)
{
    struct topic *topic = data;

    g_ptr_array_unref(topic->records);
    g_tree_unref(topic->newest);
    g_hash_table_unref(topic->writers);
    g_free(topic);
}

static void
member_free(gpointer data)
{
    struct member *member = data;

    g_free(member->name);
    g_free(member);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

struct store_model *
store_model_create(unsigned partitions)
{
    struct store_model *model = g_new0(struct store_model, 1);

    (void)partitions; /* the scheduler uses one */
    model->topics =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, topic_free);
    model->members = g_ptr_array_new_with_free_func(member_free);
    return model;
}

void
store_model_free(struct store_model *model)
{
    g_hash_table_unref(model->topics);
    g_ptr_array_unref(model->members);
    g_free(model->holder);
    g_free(model->next_holder);
    g_free(model);
}

static struct topic *
topic_of(struct store_model *model, const char *name)
{
    struct topic *topic = g_hash_table_lookup(model->topics, name);

    if (topic == NULL) {
        topic = g_new0(struct topic, 1);
        topic->records = g_ptr_array_new_with_free_func(stored_free);
        topic->newest =
            g_tree_new_full(compare_keys, NULL, g_free, stored_free);
        topic->writers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                               writer_free);
        g_hash_table_insert(model->topics, g_strdup(name), topic);
    }
    return topic;
}

/* ---- appends ---- */

static struct writer *
writer_of(struct topic *topic, const char *name)
{
    struct writer *writer = g_hash_table_lookup(topic->writers, name);

    if (writer == NULL) {
        writer = g_new0(struct writer, 1);
        g_hash_table_insert(topic->writers, g_strdup(name), writer);
    }
    return writer;
}

/* Checks the epoch and sequence of a fenced writer; false if the append is
 * answered already, with `result`. */
static bool
check_writer(struct writer *writer, const struct cw_store_append *call,
             struct cw_store_append_result *result)
{
    if (writer->has_appended && call->epoch < writer->epoch) {
        result->status = CW_STORE_FENCED;
        return false;
    }
    if (!writer->has_appended || call->epoch > writer->epoch) {
        g_queue_clear_full(&writer->recent, g_free);
        return true;
    }
    for (GList *l = writer->recent.head; l != NULL; l = l->next) {
        const struct recent_append *recent = l->data;

        if (recent->sequence == call->sequence) {
            *result = recent->result;
            return false;
        }
    }
    if (call->sequence != writer->next_sequence) {
        result->status = CW_STORE_OUT_OF_SEQUENCE;
        result->expected_sequence = writer->next_sequence;
        return false;
    }
    return true;
}

static void
record_append(struct writer *writer, const struct cw_store_append *call,
              const struct cw_store_append_result *result)
{
    struct recent_append *recent = g_new0(struct recent_append, 1);

    writer->has_appended = true;
    writer->epoch = call->epoch;
    writer->next_sequence = call->sequence + 1;
    recent->sequence = call->sequence;
    recent->result = *result;
    g_queue_push_tail(&writer->recent, recent);
    if (writer->recent.length > RECENT_APPENDS_MAX) {
        g_free(g_queue_pop_head(&writer->recent));
    }
}

static void
add_record(struct topic *topic, const struct cw_store_record *record)
{
    struct stored *stored = g_new0(struct stored, 1);

    stored->key = g_strdup(record->key);
    stored->offset = topic->end++;
    if (record->value != NULL && record->length > 0) {
        stored->value = g_bytes_new(record->value, record->length);
        g_tree_replace(topic->newest, g_strdup(record->key),
                       stored_copy(stored));
    }
    else {
        g_tree_remove(topic->newest, record->key);
    }
    g_ptr_array_add(topic->records, stored);
}

/* True if no record is too large for the store. */
static bool
records_fit(const struct cw_store_append *call)
{
    for (size_t i = 0; i < call->count; i++) {
        const struct cw_store_record *record = &call->records[i];
        size_t key_bytes = strlen(record->key);

        if (key_bytes > CW_STORE_KEY_BYTES_MAX ||
            1 + key_bytes + record->length > CW_STORE_RECORD_BYTES_DEFAULT)
        {
            return false;
        }
    }
    return true;
}

struct cw_store_append_result
store_model_append(struct store_model *model,
                   const struct cw_store_append *call)
{
    struct topic *topic = topic_of(model, call->topic);
    struct writer *writer =
        call->writer != NULL ? writer_of(topic, call->writer) : NULL;
    struct cw_store_append_result result = {.status = CW_STORE_OK};

    if (!records_fit(call)) {
        result.status = CW_STORE_INVALID;
        return result;
    }
    if (writer != NULL && !check_writer(writer, call, &result)) {
        return result;
    }
    if (call->conditional && call->expected_end != topic->end) {
        result.status = CW_STORE_CONFLICT;
        result.end = topic->end;
        return result;
    }
    result.first = topic->end;
    for (size_t i = 0; i < call->count; i++) {
        add_record(topic, &call->records[i]);
    }
    result.end = topic->end;
    if (writer != NULL) {
        record_append(writer, call, &result);
    }
    return result;
}

/* ---- reads ---- */

static void
page_add(struct store_model_page *out, const struct stored *stored)
{
    struct cw_store_record record = {.offset = stored->offset};
    char *key = g_strdup(stored->key);

    g_ptr_array_add(out->bytes, key);
    record.key = key;
    if (stored->value != NULL) {
        gsize length = 0;
        const void *bytes = g_bytes_get_data(stored->value, &length);
        void *copy = g_memdup2(bytes, length);

        g_ptr_array_add(out->bytes, copy);
        record.value = copy;
        record.length = length;
    }
    g_array_append_val(out->records, record);
}

static void
page_begin(struct store_model_page *out, const struct topic *topic)
{
    memset(out, 0, sizeof(*out));
    out->records = g_array_new(FALSE, TRUE, sizeof(struct cw_store_record));
    out->bytes = g_ptr_array_new_with_free_func(g_free);
    out->page.status = CW_STORE_OK;
    out->page.end = topic->end;
    out->page.first = topic->first;
}

static void
page_end(struct store_model_page *out)
{
    out->page.records = (const struct cw_store_record *)out->records->data;
    out->page.count = out->records->len;
}

void
store_model_read(struct store_model *model, const char *name, uint64_t from,
                 struct store_model_page *out)
{
    struct topic *topic = topic_of(model, name);

    page_begin(out, topic);
    if (from < topic->first) {
        out->page.status = CW_STORE_EXPIRED;
    }
    else {
        for (uint64_t at = from; at < topic->end; at++) {
            page_add(out, topic->records->pdata[at - topic->first]);
        }
    }
    page_end(out);
}

struct newest_walk {
    struct store_model_page *out;
    const char *after;
};

static gboolean
add_newest(gpointer key, gpointer value, gpointer data)
{
    struct newest_walk *walk = data;

    if (walk->after != NULL && strcmp(key, walk->after) <= 0) {
        return FALSE;
    }
    if (walk->out->records->len == PAGE_RECORDS_MAX) {
        walk->out->page.more = true;
        return TRUE;
    }
    page_add(walk->out, value);
    return FALSE;
}

void
store_model_newest(struct store_model *model, const char *name,
                   const char *after, struct store_model_page *out)
{
    struct topic *topic = topic_of(model, name);
    struct newest_walk walk = {.out = out, .after = after};

    page_begin(out, topic);
    g_tree_foreach(topic->newest, add_newest, &walk);
    page_end(out);
}

void
store_model_page_clear(struct store_model_page *page)
{
    g_array_unref(page->records);
    g_ptr_array_unref(page->bytes);
}

uint64_t
store_model_end(struct store_model *model, const char *topic)
{
    return topic_of(model, topic)->end;
}

void
store_model_compact(struct store_model *model, const char *name)
{
    struct topic *topic = topic_of(model, name);

    g_ptr_array_set_size(topic->records, 0);
    topic->first = topic->end;
}

/* ---- the group ---- */

static struct member *
find_member(const struct store_model *model, const char *name)
{
    for (guint i = 0; i < model->members->len; i++) {
        struct member *member = model->members->pdata[i];

        if (strcmp(member->name, name) == 0) {
            return member;
        }
    }
    return NULL;
}

static void
expire(struct store_model *model, struct timespec now)
{
    for (guint i = model->members->len; i > 0; i--) {
        struct member *member = model->members->pdata[i - 1];

        if (cw_time_before(member->expires, now)) {
            g_ptr_array_remove_index(model->members, i - 1);
            model->generation++;
        }
    }
}

/* Assigns partition 0 if it has no holder.  A holder that loses the partition
 * to another member keeps it until it joins again, which reports the loss, or
 * until its membership ends. */
static void
assign_partition(struct store_model *model)
{
    const struct member *holder =
        model->holder != NULL ? find_member(model, model->holder) : NULL;

    if (holder == NULL) {
        g_clear_pointer(&model->holder, g_free);
    }
    if (model->next_holder != NULL &&
        find_member(model, model->next_holder) == NULL)
    {
        g_clear_pointer(&model->next_holder, g_free);
    }
    if (model->holder == NULL && model->members->len > 0) {
        const struct member *first = model->members->pdata[0];

        model->holder = g_strdup(
            model->next_holder != NULL ? model->next_holder : first->name);
        model->holder_since = ++model->generation;
        g_clear_pointer(&model->next_holder, g_free);
    }
}

uint64_t
store_model_join(struct store_model *model, const char *name, unsigned ttl_ms,
                 struct timespec now, bool *assigned)
{
    struct member *member;

    expire(model, now);
    member = find_member(model, name);
    if (member == NULL) {
        member = g_new0(struct member, 1);
        member->name = g_strdup(name);
        g_ptr_array_add(model->members, member);
        model->generation++;
    }
    member->expires = cw_time_add_ms(now, ttl_ms);
    if (model->holder != NULL && strcmp(model->holder, name) == 0 &&
        model->next_holder != NULL && strcmp(model->next_holder, name) != 0)
    {
        g_clear_pointer(&model->holder, g_free);
    }
    assign_partition(model);
    *assigned = model->holder != NULL && strcmp(model->holder, name) == 0;
    return model->generation;
}

void
store_model_leave(struct store_model *model, const char *name,
                  struct timespec now)
{
    struct member *member;

    expire(model, now);
    member = find_member(model, name);
    if (member != NULL) {
        g_ptr_array_remove(model->members, member);
        model->generation++;
    }
    assign_partition(model);
}

void
store_model_members(struct store_model *model, struct timespec now,
                    GPtrArray *out)
{
    expire(model, now);
    assign_partition(model);
    for (guint i = 0; i < model->members->len; i++) {
        g_ptr_array_add(out,
                        ((struct member *)model->members->pdata[i])->name);
    }
}

void
store_model_reassign(struct store_model *model, unsigned choice,
                     struct timespec now)
{
    expire(model, now);
    if (model->members->len > 0) {
        const struct member *member =
            model->members->pdata[choice % model->members->len];

        g_free(model->next_holder);
        model->next_holder = g_strdup(member->name);
        model->generation++;
    }
}

/* Decodes requests of the project's own interface from JSON. */
#include "curlewcart/cw_request.h"

#include <stdio.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>
#include <sodium.h>
#include <xxhash.h>

#include "curlewcart/cw_work.h"

enum {
    REQUEST_ID_MAX = 128,
    KIND_MAX = 64,
    STEPS_MAX = 64,
    TASKS_MAX = 4096, /* of a step */
    CORES_MAX = 4096,
    MEMORY_MB_MAX = 16 * 1024 * 1024,
    ACCELERATORS_MAX = 256,
    GANG_MAX = 256, /* the users require gangs of up to this size */
    DURATION_MS_MAX = 0x7fffffff,
    MILLI = 1000,
    /* Latency objectives, which order jobs of equal priority: twice the
     * declared duration plus a target.  For urgent work the target is the
     * 2.4 s within which the users require it to start. */
    STRETCH_MILLI = 2000,
    URGENT_LATENCY_MS = 2400,
    USUAL_LATENCY_MS = 30000,
    ID_BYTES = 8
};

void
cw_request_job_id(const char *account, const char *request,
                  char id[CW_JOB_ID_SIZE])
{
    char *key = g_strdup_printf("%s/%s", account, request);
    unsigned char hash[crypto_generichash_BYTES_MIN];

    crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
                       strlen(key), NULL, 0);
    sodium_bin2hex(id, CW_JOB_ID_SIZE, hash, ID_BYTES);
    g_free(key);
}

void
cw_request_free(struct cw_work_spec *spec)
{
    if (spec != NULL) {
        xdr_free((xdrproc_t)xdr_cw_work_spec, (char *)spec);
        g_free(spec);
    }
}

/* State of the decoding of a request.  Only the first error is kept. */
struct reader {
    json_t *root;
    enum cw_result code;
    char *detail;
    size_t size;
};

static void
reader_fail(struct reader *reader, const char *field, const char *expected)
{
    if (reader->code == CW_OK) {
        reader->code = CW_REF_MALFORMED;
        snprintf(reader->detail, reader->size, "field %s: expected %s", field,
                 expected);
    }
}

static unsigned
read_unsigned(struct reader *reader, const char *field, unsigned fallback,
              unsigned min, unsigned max)
{
    json_t *value = json_object_get(reader->root, field);
    char expected[64];

    if (value == NULL) {
        return fallback;
    }
    if (!json_is_integer(value) || json_integer_value(value) < min ||
        json_integer_value(value) > max)
    {
        snprintf(expected, sizeof(expected), "a whole number from %u to %u",
                 min, max);
        reader_fail(reader, field, expected);
        return fallback;
    }
    return (unsigned)json_integer_value(value);
}

static bool
read_bool(struct reader *reader, const char *field, bool fallback)
{
    json_t *value = json_object_get(reader->root, field);

    if (value == NULL) {
        return fallback;
    }
    if (!json_is_boolean(value)) {
        reader_fail(reader, field, "true or false");
        return fallback;
    }
    return json_is_true(value);
}

/* True if a name is safe in keys, logs and URLs: it has no space, slash or
 * control character. */
static bool
is_safe_name(const char *name)
{
    for (; *name != '\0'; name++) {
        if (!g_ascii_isalnum(*name) && strchr("-_.:", *name) == NULL) {
            return false;
        }
    }
    return true;
}

static const char *
read_name(struct reader *reader, const char *field, const char *fallback,
          size_t max)
{
    json_t *value = json_object_get(reader->root, field);
    const char *text;

    if (value == NULL && fallback != NULL) {
        return fallback;
    }
    text = json_string_value(value);
    if (text == NULL || strlen(text) > max ||
        (fallback == NULL && *text == '\0') || !is_safe_name(text))
    {
        reader_fail(reader, field,
                    "a name of letters, digits, '-', '_', '.' and ':'");
        return "";
    }
    return text;
}

/* ---- names of data centres ---- */

static void
read_dcs(struct reader *reader, struct cw_work_spec *spec)
{
    json_t *list = json_object_get(reader->root, "dcs");
    json_t *item;
    size_t i;

    if (list != NULL &&
        (!json_is_array(list) || json_array_size(list) >= CW_DCS_MAX))
    {
        reader_fail(reader, "dcs", "a list of data centres");
        return;
    }
    /* One entry more than the list has, for `home`. */
    spec->dcs.dcs_val = calloc(json_array_size(list) + 1, sizeof(cw_name));
    g_assert(spec->dcs.dcs_val != NULL);
    json_array_foreach(list, i, item)
    {
        const char *name = json_string_value(item);

        if (name == NULL || strlen(name) > CW_NAME_MAX || !is_safe_name(name))
        {
            reader_fail(reader, "dcs", "a list of data centres' names");
            return;
        }
        spec->dcs.dcs_val[spec->dcs.dcs_len++] = strdup(name);
    }
}

/* `home` restricts the request to one data centre. */
static void
read_home(struct reader *reader, struct cw_work_spec *spec)
{
    const char *home = read_name(reader, "home", "", CW_NAME_MAX);
    bool listed = spec->dcs.dcs_len == 0;

    if (*home == '\0') {
        return;
    }
    for (u_int i = 0; i < spec->dcs.dcs_len; i++) {
        listed = listed || strcmp(spec->dcs.dcs_val[i], home) == 0;
        free(spec->dcs.dcs_val[i]);
    }
    spec->dcs.dcs_len = 0;
    if (!listed) {
        reader_fail(reader, "home", "one of the data centres in dcs");
        return;
    }
    spec->dcs.dcs_val[spec->dcs.dcs_len++] = strdup(home);
}

/* ---- fields and steps ---- */

static const char *const single_step_fields[] = {
    "gang",        "adjacency",      "cores", "memory_mb",
    "declared_ms", "checkpointable", NULL,
};

static const char *const step_fields[] = {
    "tasks",          "gang",  "same_rack",       "accelerators",
    "cores",          "after", "memory_mb",       "declared_ms",
    "checkpointable", "label", "most_per_worker", NULL,
};

static const char *const request_fields[] = {
    "id",     "kind",       "home",    "dcs",   "deadline_ms",
    "urgent", "repeatable", "payload", "steps", NULL,
};

static bool
in_list(const char *const *list, const char *name)
{
    return g_strv_contains((const gchar *const *)list, name);
}

/* Reports an error for a field that is neither in `known` nor in `more`, which
 * may be NULL. */
static void
check_fields(struct reader *reader, const char *const *known,
             const char *const *more)
{
    const char *field;
    json_t *value;

    json_object_foreach(reader->root, field, value)
    {
        if (!in_list(known, field) && (more == NULL || !in_list(more, field)))
        {
            reader_fail(reader, field, "no such field");
        }
    }
}

static void
set_step_texts(struct cw_step_spec *step, const char *label, const char *kind)
{
    step->label = strdup(label);
    step->data_rack = strdup("");
    step->image = strdup(kind);
}

/* Decodes a request without a list of steps: a number of accelerators, with
 * cores and memory for each.  They are one task if all must be on one worker,
 * otherwise a gang of tasks with one accelerator each. */
static void
read_single_step(struct reader *reader, struct cw_step_spec *step,
                 const char *kind)
{
    unsigned gang = read_unsigned(reader, "gang", 1, 1, GANG_MAX);
    unsigned cores = read_unsigned(reader, "cores", 1, 0, CORES_MAX);
    unsigned memory = read_unsigned(reader, "memory_mb", 0, 0, MEMORY_MB_MAX);
    const char *adjacency = read_name(reader, "adjacency", "none", KIND_MAX);
    bool one_worker = strcmp(adjacency, "worker") == 0;
    unsigned share = one_worker ? gang : 1;

    if (!one_worker && strcmp(adjacency, "none") != 0 &&
        strcmp(adjacency, "rack") != 0)
    {
        reader_fail(reader, "adjacency", "none, worker or rack");
    }
    step->tasks = gang / share;
    step->accelerators = share;
    step->cpu_milli = cores * MILLI * share;
    step->memory_mb = memory * share;
    step->gang = step->tasks > 1;
    step->same_rack = strcmp(adjacency, "rack") == 0 ? CW_SAME_RACK_REQUIRED
                                                     : CW_SAME_RACK_ANY;
    step->estimate_ms =
        read_unsigned(reader, "declared_ms", 0, 0, DURATION_MS_MAX);
    step->checkpoints = read_bool(reader, "checkpointable", false);
    set_step_texts(step, "", kind);
}

static void
read_after(struct reader *reader, struct cw_step_spec *step, size_t number)
{
    json_t *list = json_object_get(reader->root, "after");
    json_t *item;
    size_t i;

    step->after.after_val = calloc(json_array_size(list) + 1, sizeof(u_int));
    g_assert(step->after.after_val != NULL);
    if (list != NULL &&
        (!json_is_array(list) || json_array_size(list) > STEPS_MAX))
    {
        reader_fail(reader, "after", "a list of earlier steps");
        return;
    }
    json_array_foreach(list, i, item)
    {
        if (!json_is_integer(item) || json_integer_value(item) < 0 ||
            json_integer_value(item) >= (json_int_t)number)
        {
            reader_fail(reader, "after", "numbers of earlier steps, from 0");
            return;
        }
        step->after.after_val[step->after.after_len++] =
            (u_int)json_integer_value(item);
    }
}

static void
read_step(struct reader *reader, struct cw_step_spec *step, size_t number,
          const char *kind)
{
    check_fields(reader, step_fields, NULL);
    step->tasks = read_unsigned(reader, "tasks", 1, 1, TASKS_MAX);
    step->gang = read_bool(reader, "gang", false);
    step->same_rack = read_bool(reader, "same_rack", false)
                          ? CW_SAME_RACK_FASTER
                          : CW_SAME_RACK_ANY;
    step->accelerators =
        read_unsigned(reader, "accelerators", 1, 0, ACCELERATORS_MAX);
    step->cpu_milli = read_unsigned(reader, "cores", 1, 0, CORES_MAX) * MILLI;
    step->memory_mb = read_unsigned(reader, "memory_mb", 0, 0, MEMORY_MB_MAX);
    step->estimate_ms =
        read_unsigned(reader, "declared_ms", 0, 0, DURATION_MS_MAX);
    step->checkpoints = read_bool(reader, "checkpointable", false);
    step->most_per_worker =
        read_unsigned(reader, "most_per_worker", 0, 0, TASKS_MAX);
    read_after(reader, step, number);
    set_step_texts(step, read_name(reader, "label", "", CW_NAME_MAX), kind);
}

static void
read_steps(struct reader *reader, struct cw_work_spec *spec, const char *kind)
{
    json_t *list = json_object_get(reader->root, "steps");
    size_t count = list == NULL ? 1 : json_array_size(list);

    if (count == 0 || count > STEPS_MAX) {
        reader_fail(reader, "steps", "a list of 1 to 64 steps");
        return;
    }
    spec->steps.steps_val = calloc(count, sizeof(struct cw_step_spec));
    g_assert(spec->steps.steps_val != NULL);
    spec->steps.steps_len = (u_int)count;
    if (list == NULL) {
        read_single_step(reader, &spec->steps.steps_val[0], kind);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        struct reader step_reader = *reader;

        step_reader.root = json_array_get(list, i);
        if (!json_is_object(step_reader.root)) {
            reader_fail(&step_reader, "steps", "objects");
        }
        read_step(&step_reader, &spec->steps.steps_val[i], i, kind);
        reader->code = step_reader.code;
    }
}

/* ---- payload, hash and the whole request ---- */

static void
read_payload(struct reader *reader, struct cw_work_spec *spec)
{
    json_t *value = json_object_get(reader->root, "payload");
    const char *text = json_string_value(value);

    if (value != NULL && text == NULL) {
        reader_fail(reader, "payload", "a string");
    }
    else if (text != NULL && strlen(text) > CW_PAYLOAD_MAX) {
        reader_fail(reader, "payload", "at most 65536 bytes");
        reader->code = CW_REF_TOO_LARGE;
        text = NULL; /* xdr_free doesn't free a string beyond its limit */
    }
    spec->payload = strdup(text != NULL ? text : "");
}

/* Hash of the request in a canonical form, which does not depend on the order
 * of fields or on spaces. */
static uint64_t
hash_body(const json_t *root)
{
    char *text = json_dumps(root, JSON_SORT_KEYS | JSON_COMPACT);
    uint64_t hash;

    g_assert(text != NULL);
    hash = XXH3_64bits(text, strlen(text));
    free(text);
    return hash;
}

static void
set_job_names(struct cw_work_spec *spec, const char *account,
              const char *request)
{
    char id[CW_JOB_ID_SIZE];
    char *name = g_strdup_printf("%s/%s", account, request);

    cw_request_job_id(account, request, id);
    spec->id = strdup(id);
    spec->request = strdup(name);
    spec->queue = strdup(CW_REQUEST_QUEUE);
    spec->account = strdup(account);
    spec->service = strdup("");
    g_free(name);
}

static void
read_spec(struct reader *reader, const char *account,
          struct cw_work_spec *spec)
{
    const char *kind = read_name(reader, "kind", "", KIND_MAX);
    bool urgent = read_bool(reader, "urgent", false);
    bool single_step = json_object_get(reader->root, "steps") == NULL;

    set_job_names(spec, account,
                  read_name(reader, "id", NULL, REQUEST_ID_MAX));
    check_fields(reader, request_fields,
                 single_step ? single_step_fields : NULL);
    read_dcs(reader, spec);
    read_home(reader, spec);
    read_steps(reader, spec, kind);
    read_payload(reader, spec);
    spec->deadline_ms =
        read_unsigned(reader, "deadline_ms", 0, 0, DURATION_MS_MAX);
    spec->priority = urgent ? 0 : 1;
    spec->stretch_milli = STRETCH_MILLI;
    spec->target_latency_ms = urgent ? URGENT_LATENCY_MS : USUAL_LATENCY_MS;
    spec->once = !read_bool(reader, "repeatable", false);
    spec->max_attempts = spec->once ? 1 : 0;
    spec->body_hash = hash_body(reader->root);
}

enum cw_result
cw_request_from_json(const char *text, size_t length, const char *account,
                     struct cw_work_spec **out, char *detail, size_t size)
{
    struct reader reader = {.detail = detail, .size = size};
    struct cw_work_spec *spec;
    json_error_t error;

    *out = NULL;
    reader.root = json_loadb(text, length, JSON_REJECT_DUPLICATES, &error);
    if (reader.root == NULL || !json_is_object(reader.root)) {
        snprintf(detail, size, "line %d: %s", error.line,
                 reader.root == NULL ? error.text : "expected an object");
        json_decref(reader.root);
        return CW_REF_MALFORMED;
    }
    spec = g_new0(struct cw_work_spec, 1);
    read_spec(&reader, account, spec);
    json_decref(reader.root);
    if (reader.code != CW_OK) {
        cw_request_free(spec);
        return reader.code;
    }
    *out = spec;
    return CW_OK;
}

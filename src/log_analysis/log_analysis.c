/* Analysis of log lines: the history of a request and of the whole system. */
#include "curlewcart/cw_log_analysis.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* Longer waits for an owner or a placement are reported as the cause of a
     * delay. */
    PROMPT_START_MAX_MS = 300,
    /* Longer appends are reported as the cause of a delay. */
    PROMPT_STORE_MAX_MS = 1000,
    TIMESTAMP_LENGTH = 24,
    MS_PER_S = 1000
};

/* A parsed log line. */
struct line {
    char *timestamp;
    int64_t at_ms;
    char *vm;
    char *event;
    char *rest;         /* from the event to the end of the line */
    GHashTable *fields; /* key -> value */
    guint order;        /* sequence number; sorts lines with equal
                           timestamps */
};

struct cw_log_analysis {
    GPtrArray *lines; /* struct line */
};

static void
line_free(gpointer data)
{
    struct line *line = data;

    g_free(line->timestamp);
    g_free(line->vm);
    g_free(line->event);
    g_free(line->rest);
    g_hash_table_unref(line->fields);
    g_free(line);
}

struct cw_log_analysis *
cw_log_analysis_create(void)
{
    struct cw_log_analysis *analysis = g_new0(struct cw_log_analysis, 1);

    analysis->lines = g_ptr_array_new_with_free_func(line_free);
    return analysis;
}

void
cw_log_analysis_free(struct cw_log_analysis *analysis)
{
    g_ptr_array_unref(analysis->lines);
    g_free(analysis);
}

size_t
cw_log_analysis_line_count(const struct cw_log_analysis *analysis)
{
    return analysis->lines->len;
}

/* ---- parsing ---- */

/* Adds the first key=value of `text` to `fields`; a value in quotes may
 * contain spaces.  Returns the text after it, or NULL at the end. */
static const char *
parse_field(const char *text, GHashTable *fields)
{
    const char *equals;
    const char *end;
    bool quoted;

    while (*text == ' ') {
        text++;
    }
    equals = strchr(text, '=');
    if (equals == NULL) {
        return NULL;
    }
    quoted = equals[1] == '"';
    end = strchr(equals + (quoted ? 2 : 1), quoted ? '"' : ' ');
    if (end == NULL) {
        end = text + strlen(text);
    }
    g_hash_table_insert(fields, g_strndup(text, (gsize)(equals - text)),
                        g_strndup(equals + (quoted ? 2 : 1),
                                  (gsize)(end - equals - (quoted ? 2 : 1))));
    return *end != '\0' ? end + 1 : NULL;
}

static const char *
get_field(const struct line *line, const char *name)
{
    const char *value = g_hash_table_lookup(line->fields, name);

    return value != NULL ? value : "";
}

static int64_t
get_number(const struct line *line, const char *name)
{
    return g_ascii_strtoll(get_field(line, name), NULL, 10);
}

static int64_t
parse_timestamp_ms(const char *timestamp)
{
    GDateTime *time = g_date_time_new_from_iso8601(timestamp, NULL);
    int64_t ms = 0;

    if (time != NULL) {
        ms = g_date_time_to_unix(time) * MS_PER_S +
             g_date_time_get_microsecond(time) / MS_PER_S;
        g_date_time_unref(time);
    }
    return ms;
}

void
cw_log_analysis_add_line(struct cw_log_analysis *analysis, const char *text)
{
    const char *timestamp_field = strstr(text, "ts=");
    const char *event = strstr(text, " event=");
    const char *next = timestamp_field;
    struct line *line;

    if (timestamp_field == NULL || event == NULL || event < timestamp_field) {
        return;
    }
    line = g_new0(struct line, 1);
    line->fields =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    while (next != NULL) {
        next = parse_field(next, line->fields);
    }
    line->timestamp = g_strdup(get_field(line, "ts"));
    line->at_ms = parse_timestamp_ms(line->timestamp);
    line->vm = g_strdup(get_field(line, "vm"));
    line->event = g_strdup(get_field(line, "event"));
    line->rest = g_strchomp(g_strdup(event + 1));
    line->order = analysis->lines->len;
    g_ptr_array_add(analysis->lines, line);
}

static gint
compare_time(gconstpointer a, gconstpointer b)
{
    const struct line *x = *(struct line *const *)a;
    const struct line *y = *(struct line *const *)b;

    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->order < y->order ? -1 : 1;
}

static bool
is_event(const struct line *line, const char *event)
{
    return strcmp(line->event, event) == 0;
}

/* True for events that may affect every request in progress. */
static bool
is_system_event(const struct line *line)
{
    static const char *const events[] = {
        "owner_begins",     "owner_ends",      "owner_yields",
        "shard_gained",     "dependency_lost", "dependency_regained",
        "isolated",         "history_dropped", "started",
        "leaving",          "stopped",         "log_dropped",
        "config",           "worker_lost",     "append_late",
        "append_recovered",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        if (is_event(line, events[i])) {
            return true;
        }
    }
    return false;
}

static void
print_line(const struct line *line, int64_t from_ms, GString *out)
{
    g_string_append_printf(out, "%+9" G_GINT64_FORMAT " ms  %-24s %s\n",
                           line->at_ms - from_ms, line->vm, line->rest);
}

/* ---- cause of a request's outcome ---- */

/* The log lines that explain a request's outcome and its delay. */
struct request {
    const struct line *first;
    /* Last submit line whose outcome is neither stored nor known. */
    const struct line *refused;
    const struct line *stored;
    const struct line *taken; /* first job_taken line, by the first owner */
    const struct line *ended;
    const struct line *placed;
    const struct line *started;
    const struct line *failed;    /* last run that failed */
    const struct line *lost;      /* last run that was lost */
    const struct line *crashed;   /* last crash that a task is suspected of */
    const struct line *moved;     /* run moved from a slow or stalled worker */
    const struct line *reserved;  /* placement that waited for other runs to
                                     stop */
    const struct line *inherited; /* last job_waits_inherited line */
    const struct line *waits;     /* last job_waits line */
    const struct line *full;      /* last job_waits_full line */
    unsigned owners;
    unsigned failures;
};

static void
add_wait(struct request *request, const struct line *line)
{
    if (is_event(line, "job_waits")) {
        request->waits = line;
    }
    else if (is_event(line, "job_waits_full")) {
        request->full = line;
    }
    else if (is_event(line, "job_waits_inherited")) {
        request->inherited = line;
    }
}

static void
add_to_request(struct request *request, const struct line *line)
{
    if (request->first == NULL) {
        request->first = line;
    }
    if (is_event(line, "submit")) {
        bool stored = strcmp(get_field(line, "outcome"), "stored") == 0;

        if (stored && request->stored == NULL) {
            request->stored = line;
        }
        else if (!stored && strcmp(get_field(line, "outcome"), "known") != 0) {
            request->refused = line;
        }
    }
    else if (is_event(line, "job_taken")) {
        request->taken = request->taken != NULL ? request->taken : line;
        request->owners++;
    }
    else if (is_event(line, "job_over")) {
        request->ended = line;
    }
    else if (is_event(line, "placed")) {
        request->placed = request->placed != NULL ? request->placed : line;
        if (strcmp(get_field(line, "reserved"), "1") == 0) {
            request->reserved = line;
        }
    }
    else if (is_event(line, "start")) {
        request->started = request->started != NULL ? request->started : line;
    }
    else if (is_event(line, "run_ended") &&
             strcmp(get_field(line, "how"), "failed") == 0)
    {
        request->failed = line;
        request->failures++;
    }
    else if (is_event(line, "run_lost")) {
        request->lost = line;
    }
    else if (is_event(line, "task_suspect")) {
        request->crashed = line;
    }
    else if (is_event(line, "run_moved") || is_event(line, "run_stalled")) {
        request->moved = line;
    }
    else {
        add_wait(request, line);
    }
}

static void
explain_refusal(const struct request *request, GString *out)
{
    const struct line *line = request->refused;
    const char *outcome = get_field(line, "outcome");

    if (strcmp(outcome, "other_job") == 0) {
        g_string_append(out, "cause: the id was used for another job\n");
        return;
    }
    g_string_append_printf(
        out,
        "cause: %s could not have it stored (%s after %s tries, store "
        "%s%s); the caller was told %s\n",
        line->vm, outcome, get_field(line, "tries"),
        get_field(line, "store")[0] != '\0' ? get_field(line, "store")
                                            : "not asked",
        strcmp(get_field(line, "isolated"), "1") == 0 ? ", cut off" : "",
        strcmp(outcome, "unsure") == 0 ? "that it may be stored"
                                       : "that nothing was done");
}

static void
explain_lost(const struct line *lost, GString *out)
{
    g_string_append_printf(out, "cause: a run was lost on worker %s (%s)",
                           get_field(lost, "worker"),
                           get_field(lost, "reason"));
    if (strcmp(get_field(lost, "reason"), "lease_over") == 0 &&
        get_field(lost, "answered_ms")[0] != '\0')
    {
        g_string_append_printf(
            out,
            "; it had not answered for %s ms, and nothing of the job had run "
            "for %s ms",
            get_field(lost, "answered_ms"), get_field(lost, "idle_ms"));
    }
    g_string_append_c(out, '\n');
}

/* Explains a delay by runs that were lost, failed or moved; false if there
 * were none. */
static bool
explain_runs(const struct request *request, GString *out)
{
    if (request->lost != NULL) {
        explain_lost(request->lost, out);
    }
    else if (request->failures > 0) {
        g_string_append_printf(out,
                               "cause: %u runs failed, the last on worker "
                               "%s\n",
                               request->failures,
                               get_field(request->failed, "worker"));
    }
    else if (request->moved != NULL) {
        g_string_append_printf(out,
                               "cause: worker %s was slow or made no "
                               "progress (%s)\n",
                               get_field(request->moved, "worker"),
                               request->moved->event);
    }
    else {
        return false;
    }
    return true;
}

static void
explain_worker(const struct line *line, GString *out)
{
    if (get_field(line, "worker")[0] != '\0') {
        g_string_append_printf(out,
                               "; it waited for worker %s (%s polls without "
                               "an answer, lease by %s)",
                               get_field(line, "worker"),
                               get_field(line, "silent"),
                               get_field(line, "lease_by"));
    }
}

/* Explains what kept the job from capacity that workers reported as free. */
static void
explain_room(const struct line *line, GString *out)
{
    if (get_field(line, "refused")[0] != '\0') {
        g_string_append_printf(
            out,
            "; room for %s tasks (%s start together, %s in "
            "the best rack) was refused: %s",
            get_field(line, "fits"), get_field(line, "unit"),
            get_field(line, "best_rack"), get_field(line, "refused"));
    }
}

/* True if the job's placement could not be stored in time. */
static bool
waits_for_store(const struct line *line)
{
    const char *reason = get_field(line, "reason");

    return (strcmp(reason, "new") == 0 || strcmp(reason, "committing") == 0) &&
           get_number(line, "store_ms") > PROMPT_STORE_MAX_MS;
}

/* Explains a delay by what owners have logged about the job's waits; false if
 * they have not. */
static bool
explain_waits(const struct request *request, GString *out)
{
    const struct line *line =
        request->waits != NULL ? request->waits : request->full;

    if (line != NULL && waits_for_store(line)) {
        g_string_append_printf(out,
                               "cause: the owner could not store for %s ms",
                               get_field(line, "store_ms"));
    }
    else if (request->waits != NULL) {
        g_string_append_printf(out,
                               "cause: it could run and did not for %s ms "
                               "(%s)",
                               get_field(line, "waits_ms"),
                               get_field(line, "reason"));
        explain_worker(line, out);
        explain_room(line, out);
    }
    else if (request->inherited != NULL) {
        line = request->inherited;
        g_string_append(out, "cause: its runs under an earlier owner were on "
                             "workers that did not answer the next one");
        explain_worker(line, out);
    }
    else if (request->full != NULL) {
        g_string_append_printf(
            out,
            "cause: no free capacity by the workers' word for %s ms (%s; in "
            "use %s percent of accelerators, cores, memory; %s of %s workers "
            "silent)",
            get_field(line, "waits_ms"), get_field(line, "reason"),
            get_field(line, "used"), get_field(line, "silent_workers"),
            get_field(line, "workers"));
        explain_worker(line, out);
        explain_room(line, out);
    }
    else {
        return false;
    }
    g_string_append_c(out, '\n');
    return true;
}

/* Explains a delay by the time until the job was started. */
static void
explain_start(const struct request *request, GString *out)
{
    int64_t placed_ms = request->placed != NULL
                            ? request->placed->at_ms - request->taken->at_ms
                            : 0;

    if (request->owners > 1) {
        g_string_append_printf(out, "cause: the owner changed %u times\n",
                               request->owners - 1);
    }
    else if (placed_ms > PROMPT_START_MAX_MS) {
        g_string_append_printf(
            out, "cause: no free capacity for %" G_GINT64_FORMAT " ms\n",
            placed_ms);
    }
    else if (request->reserved != NULL) {
        g_string_append(out, "cause: other runs had to be stopped first\n");
    }
    else if (request->placed == NULL) {
        g_string_append(out, "cause: it was not placed in these logs, and no "
                             "line tells why\n");
    }
    else {
        g_string_append(out, "cause: its work took this long; it was started "
                             "at once and was not interrupted\n");
    }
}

/* Explains why a job is late or still open by the first cause that applies:
 * runs that were lost, failed or moved, then waits. */
static void
explain_delay(const struct request *request, GString *out)
{
    int64_t accepted_ms = request->stored != NULL ? request->stored->at_ms
                                                  : request->first->at_ms;
    int64_t taken_ms = request->taken->at_ms - accepted_ms;

    if (explain_runs(request, out)) {
        return;
    }
    if (taken_ms > PROMPT_START_MAX_MS) {
        g_string_append_printf(
            out, "cause: no owner took it for %" G_GINT64_FORMAT " ms\n",
            taken_ms);
    }
    else if (!explain_waits(request, out)) {
        explain_start(request, out);
    }
}

static void
explain_crashes(const struct request *request, GString *out)
{
    const struct line *last = request->crashed;

    g_string_append_printf(
        out,
        "cause: workers that had started it crashed one after the other, the "
        "last, %s, under task %s\n",
        last != NULL ? get_field(last, "worker") : "?",
        last != NULL ? get_field(last, "task") : "?");
}

static void
explain_end(const struct request *request, GString *out)
{
    const char *outcome = get_field(request->ended, "outcome");
    const char *reason = get_field(request->ended, "reason");

    if (strcmp(outcome, "cancelled") == 0) {
        g_string_append(out, "cause: its caller cancelled it\n");
    }
    else if (strcmp(reason, "workers_crashed") == 0) {
        explain_crashes(request, out);
    }
    else if (strcmp(outcome, "failed") == 0) {
        g_string_append_printf(
            out,
            "cause: its attempts are spent: %u runs failed, the last "
            "task %s on worker %s\n",
            request->failures,
            request->failed != NULL ? get_field(request->failed, "task") : "?",
            request->failed != NULL ? get_field(request->failed, "worker")
                                    : "?");
    }
    else if (strcmp(outcome, "lost") == 0) {
        g_string_append_printf(
            out,
            "cause: worker %s may have run it in part (%s), and it must not "
            "be started twice\n",
            request->lost != NULL ? get_field(request->lost, "worker") : "?",
            reason);
    }
    else if (strcmp(outcome, "stopped") == 0) {
        g_string_append(out, "cause: a newer configuration forbids the data "
                             "centre in which it ran\n");
    }
    else if (strcmp(outcome, "refused") == 0) {
        g_string_append(out, "cause: it had not been started by the deadline "
                             "that its caller gave\n");
    }
    else if (get_number(request->ended, "late_ms") > 0) {
        explain_delay(request, out);
    }
    else {
        g_string_append(out, "cause: none; it ended in time\n");
    }
}

static void
explain_cause(const struct request *request, GString *out)
{
    if (request->ended != NULL && request->taken != NULL) {
        explain_end(request, out);
    }
    else if (request->taken == NULL && request->refused != NULL &&
             request->stored == NULL)
    {
        explain_refusal(request, out);
    }
    else if (request->taken == NULL) {
        g_string_append(out, "cause: it was stored, and no owner has taken "
                             "it in these logs\n");
    }
    else {
        g_string_append(out, "still open: ");
        explain_delay(request, out);
    }
}

size_t
cw_log_analysis_explain(struct cw_log_analysis *analysis, const char *id,
                        GString *out)
{
    struct request request = {0};
    const struct line *last = NULL;
    size_t count = 0;

    g_ptr_array_sort(analysis->lines, compare_time);
    for (guint i = 0; i < analysis->lines->len; i++) {
        const struct line *line = analysis->lines->pdata[i];

        if (strcmp(get_field(line, "id"), id) == 0) {
            add_to_request(&request, line);
            last = line;
            count++;
        }
    }
    if (count == 0) {
        return 0;
    }
    for (guint i = 0; i < analysis->lines->len; i++) {
        const struct line *line = analysis->lines->pdata[i];
        bool is_of_request = strcmp(get_field(line, "id"), id) == 0;
        bool is_during_request =
            line->at_ms >= request.first->at_ms && line->at_ms <= last->at_ms;

        if (is_of_request || (is_during_request && is_system_event(line))) {
            print_line(line, request.first->at_ms, out);
        }
    }
    explain_cause(&request, out);
    return count;
}

/* ---- the whole system ---- */

void
cw_log_analysis_timeline(struct cw_log_analysis *analysis, GString *out)
{
    int64_t from_ms = 0;
    unsigned refused = 0;

    g_ptr_array_sort(analysis->lines, compare_time);
    for (guint i = 0; i < analysis->lines->len; i++) {
        const struct line *line = analysis->lines->pdata[i];

        if (i == 0) {
            from_ms = line->at_ms;
        }
        if (is_event(line, "submit") &&
            (strcmp(get_field(line, "outcome"), "not_done") == 0 ||
             strcmp(get_field(line, "outcome"), "unsure") == 0))
        {
            refused++;
        }
        if (!is_system_event(line)) {
            continue;
        }
        if (refused > 0) {
            g_string_append_printf(out, "              %u jobs refused\n",
                                   refused);
            refused = 0;
        }
        print_line(line, from_ms, out);
    }
    if (refused > 0) {
        g_string_append_printf(out, "              %u jobs refused\n",
                               refused);
    }
}

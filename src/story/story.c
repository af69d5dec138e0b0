/* Joining log lines into stories. */
#include "curlewcart/cw_story.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* What a request waits for its start and is not worth a word. */
    PROMPT_MS = 300,
    STAMP_LENGTH = 24,
    MS_PER_S = 1000
};

/* A line, split. */
struct line {
    char *stamp; /* sorts by time */
    int64_t at_ms;
    char *vm;
    char *event;
    char *rest;         /* after the event */
    GHashTable *fields; /* key -> value */
    guint order;        /* as added; keeps equal stamps in order */
};

struct cw_story {
    GPtrArray *lines; /* struct line */
};

static void
line_free(gpointer data)
{
    struct line *line = data;

    g_free(line->stamp);
    g_free(line->vm);
    g_free(line->event);
    g_free(line->rest);
    g_hash_table_unref(line->fields);
    g_free(line);
}

struct cw_story *
cw_story_create(void)
{
    struct cw_story *story = g_new0(struct cw_story, 1);

    story->lines = g_ptr_array_new_with_free_func(line_free);
    return story;
}

void
cw_story_free(struct cw_story *story)
{
    g_ptr_array_unref(story->lines);
    g_free(story);
}

size_t
cw_story_lines(const struct cw_story *story)
{
    return story->lines->len;
}

/* ---- reading ---- */

/* Takes the next key=value off `text`; a value in quotes may hold blanks. */
static const char *
take_field(const char *text, GHashTable *fields)
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
field(const struct line *line, const char *name)
{
    const char *value = g_hash_table_lookup(line->fields, name);

    return value != NULL ? value : "";
}

static int64_t
number(const struct line *line, const char *name)
{
    return g_ascii_strtoll(field(line, name), NULL, 10);
}

static int64_t
stamp_ms(const char *stamp)
{
    GDateTime *time = g_date_time_new_from_iso8601(stamp, NULL);
    int64_t ms = 0;

    if (time != NULL) {
        ms = g_date_time_to_unix(time) * MS_PER_S +
             g_date_time_get_microsecond(time) / MS_PER_S;
        g_date_time_unref(time);
    }
    return ms;
}

void
cw_story_add(struct cw_story *story, const char *text)
{
    const char *begin = strstr(text, "ts=");
    const char *event = strstr(text, " event=");
    const char *next = begin;
    struct line *line;

    if (begin == NULL || event == NULL || event < begin) {
        return;
    }
    line = g_new0(struct line, 1);
    line->fields =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    while (next != NULL) {
        next = take_field(next, line->fields);
    }
    line->stamp = g_strdup(field(line, "ts"));
    line->at_ms = stamp_ms(line->stamp);
    line->vm = g_strdup(field(line, "vm"));
    line->event = g_strdup(field(line, "event"));
    line->rest = g_strchomp(g_strdup(event + 1));
    line->order = story->lines->len;
    g_ptr_array_add(story->lines, line);
}

static gint
by_time(gconstpointer a, gconstpointer b)
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

/* Events that concern all requests at the time. */
static bool
is_general(const struct line *line)
{
    static const char *const events[] = {
        "owner_begins", "owner_ends",      "owner_yields",
        "shard_gained", "dependency_lost", "dependency_regained",
        "isolated",     "history_dropped", "started",
        "leaving",      "stopped",         "log_dropped",
        "config",       "worker_lost",
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

/* ---- the cause ---- */

/* What of a request's life decides its fate. */
struct life {
    const struct line *first;
    const struct line *refused; /* last submission that was not stored */
    const struct line *stored;
    const struct line *taken; /* by the first owner */
    const struct line *over;
    const struct line *placed;
    const struct line *started;
    const struct line *failed;   /* last run that failed */
    const struct line *lost;     /* last run that was lost */
    const struct line *crashed;  /* the last that counts against a task */
    const struct line *moved;    /* left a slow worker */
    const struct line *reserved; /* waited for others to leave */
    unsigned owners;
    unsigned failures;
};

static void
note_line(struct life *life, const struct line *line)
{
    if (life->first == NULL) {
        life->first = line;
    }
    if (is_event(line, "submit")) {
        bool stored = strcmp(field(line, "outcome"), "stored") == 0;

        if (stored && life->stored == NULL) {
            life->stored = line;
        }
        else if (!stored && strcmp(field(line, "outcome"), "known") != 0) {
            life->refused = line;
        }
    }
    else if (is_event(line, "job_taken")) {
        life->taken = life->taken != NULL ? life->taken : line;
        life->owners++;
    }
    else if (is_event(line, "job_over")) {
        life->over = line;
    }
    else if (is_event(line, "placed")) {
        life->placed = life->placed != NULL ? life->placed : line;
        if (strcmp(field(line, "reserved"), "1") == 0) {
            life->reserved = line;
        }
    }
    else if (is_event(line, "start")) {
        life->started = life->started != NULL ? life->started : line;
    }
    else if (is_event(line, "run_ended") &&
             strcmp(field(line, "how"), "failed") == 0)
    {
        life->failed = line;
        life->failures++;
    }
    else if (is_event(line, "run_lost")) {
        life->lost = line;
    }
    else if (is_event(line, "task_suspect")) {
        life->crashed = line;
    }
    else if (is_event(line, "run_moved") || is_event(line, "run_stalled")) {
        life->moved = line;
    }
}

static void
explain_refusal(const struct life *life, GString *out)
{
    const struct line *line = life->refused;
    const char *outcome = field(line, "outcome");

    if (strcmp(outcome, "other_job") == 0) {
        g_string_append(out, "cause: the id was used for another job\n");
        return;
    }
    g_string_append_printf(
        out,
        "cause: %s could not have it stored (%s after %s tries, store "
        "%s%s); the caller was told %s\n",
        line->vm, outcome, field(line, "tries"),
        field(line, "store")[0] != '\0' ? field(line, "store") : "not asked",
        strcmp(field(line, "isolated"), "1") == 0 ? ", cut off" : "",
        strcmp(outcome, "unsure") == 0 ? "that it may be stored"
                                       : "that nothing was done");
}

/* The longest of what can make a job late. */
static void
explain_delay(const struct life *life, GString *out)
{
    int64_t accepted_ms =
        life->stored != NULL ? life->stored->at_ms : life->first->at_ms;
    int64_t taken_ms = life->taken->at_ms - accepted_ms;
    int64_t placed_ms =
        life->placed != NULL ? life->placed->at_ms - life->taken->at_ms : 0;

    if (life->lost != NULL) {
        g_string_append_printf(
            out, "cause: a run was lost on worker %s (%s)\n",
            field(life->lost, "worker"), field(life->lost, "reason"));
    }
    else if (life->failures > 0) {
        g_string_append_printf(out,
                               "cause: %u runs failed, the last on worker "
                               "%s\n",
                               life->failures, field(life->failed, "worker"));
    }
    else if (life->moved != NULL) {
        g_string_append_printf(out,
                               "cause: worker %s was slow or stood "
                               "still (%s)\n",
                               field(life->moved, "worker"),
                               life->moved->event);
    }
    else if (taken_ms > PROMPT_MS) {
        g_string_append_printf(
            out, "cause: no owner took it for %" G_GINT64_FORMAT " ms\n",
            taken_ms);
    }
    else if (life->owners > 1) {
        g_string_append_printf(out, "cause: the owner changed %u times\n",
                               life->owners - 1);
    }
    else if (placed_ms > PROMPT_MS) {
        g_string_append_printf(
            out, "cause: no room for %" G_GINT64_FORMAT " ms\n", placed_ms);
    }
    else if (life->reserved != NULL) {
        g_string_append(out, "cause: others had to leave its place first\n");
    }
    else {
        g_string_append(out, "cause: its work took so long; it was started "
                             "at once and ran through\n");
    }
}

static void
explain_crashes(const struct life *life, GString *out)
{
    const struct line *last = life->crashed;

    g_string_append_printf(
        out,
        "cause: workers that had started it crashed one after the other, the "
        "last, %s, under task %s\n",
        last != NULL ? field(last, "worker") : "?",
        last != NULL ? field(last, "task") : "?");
}

static void
explain_end(const struct life *life, GString *out)
{
    const char *outcome = field(life->over, "outcome");
    const char *reason = field(life->over, "reason");

    if (strcmp(outcome, "cancelled") == 0) {
        g_string_append(out, "cause: its caller cancelled it\n");
    }
    else if (strcmp(reason, "workers_crashed") == 0) {
        explain_crashes(life, out);
    }
    else if (strcmp(outcome, "failed") == 0) {
        g_string_append_printf(
            out,
            "cause: its attempts are spent: %u runs failed, the last "
            "task %s on worker %s\n",
            life->failures,
            life->failed != NULL ? field(life->failed, "task") : "?",
            life->failed != NULL ? field(life->failed, "worker") : "?");
    }
    else if (strcmp(outcome, "lost") == 0) {
        g_string_append_printf(
            out,
            "cause: worker %s may have run it in part (%s), and it must not "
            "be begun a second time\n",
            life->lost != NULL ? field(life->lost, "worker") : "?", reason);
    }
    else if (strcmp(outcome, "stopped") == 0) {
        g_string_append(out, "cause: a newer configuration forbids the data "
                             "centre in which it ran\n");
    }
    else if (strcmp(outcome, "refused") == 0) {
        g_string_append(out, "cause: it had not been started by the deadline "
                             "that its caller gave\n");
    }
    else if (number(life->over, "late_ms") > 0) {
        explain_delay(life, out);
    }
    else {
        g_string_append(out, "cause: none; it ended in time\n");
    }
}

static void
explain_cause(const struct life *life, GString *out)
{
    if (life->over != NULL && life->taken != NULL) {
        explain_end(life, out);
    }
    else if (life->taken == NULL && life->refused != NULL &&
             life->stored == NULL) {
        explain_refusal(life, out);
    }
    else if (life->taken == NULL) {
        g_string_append(out, "cause: it was stored, and no owner has taken "
                             "it in these logs\n");
    }
    else {
        g_string_append(out, "still open: ");
        explain_delay(life, out);
    }
}

size_t
cw_story_explain(struct cw_story *story, const char *id, GString *out)
{
    struct life life = {0};
    const struct line *last = NULL;
    size_t count = 0;

    g_ptr_array_sort(story->lines, by_time);
    for (guint i = 0; i < story->lines->len; i++) {
        const struct line *line = story->lines->pdata[i];

        if (strcmp(field(line, "id"), id) == 0) {
            note_line(&life, line);
            last = line;
            count++;
        }
    }
    if (count == 0) {
        return 0;
    }
    for (guint i = 0; i < story->lines->len; i++) {
        const struct line *line = story->lines->pdata[i];
        bool own = strcmp(field(line, "id"), id) == 0;
        bool meanwhile =
            line->at_ms >= life.first->at_ms && line->at_ms <= last->at_ms;

        if (own || (meanwhile && is_general(line))) {
            print_line(line, life.first->at_ms, out);
        }
    }
    explain_cause(&life, out);
    return count;
}

/* ---- the whole system ---- */

void
cw_story_timeline(struct cw_story *story, GString *out)
{
    int64_t from_ms = 0;
    unsigned refused = 0;

    g_ptr_array_sort(story->lines, by_time);
    for (guint i = 0; i < story->lines->len; i++) {
        const struct line *line = story->lines->pdata[i];

        if (i == 0) {
            from_ms = line->at_ms;
        }
        if (is_event(line, "submit") &&
            (strcmp(field(line, "outcome"), "not_done") == 0 ||
             strcmp(field(line, "outcome"), "unsure") == 0))
        {
            refused++;
        }
        if (!is_general(line)) {
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

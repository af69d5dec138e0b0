/* Commands for requests: submit, wait, cancel, job. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli/internal/cli_private.h"

enum { WAIT_STEP_MS = 5000, RETRY_MS = 1000, READ_CHUNK_BYTES = 4096 };

static const char *
member_text(const json_t *value, const char *name)
{
    const char *text = json_string_value(json_object_get(value, name));

    return text != NULL ? text : "";
}

static void
print_outcome(const struct cli *cli, const json_t *answer)
{
    const char *outcome = member_text(answer, "outcome");
    const json_t *workers = json_object_get(answer, "workers");
    const json_t *worker;
    size_t i;

    if (cli->json) {
        cli_print_json(answer);
        return;
    }
    printf("%s: %s", member_text(answer, "id"), outcome);
    if (strcmp(outcome, "pending") != 0) {
        printf(" (%s)", member_text(answer, "text"));
    }
    if (json_array_size(workers) > 0) {
        printf(" in %s on", member_text(answer, "dc"));
    }
    json_array_foreach(workers, i, worker)
    {
        printf(" %s", member_text(worker, "worker"));
    }
    putchar('\n');
    if (*member_text(answer, "result") != '\0') {
        printf("%s\n", member_text(answer, "result"));
    }
}

static int
outcome_exit_status(const json_t *answer)
{
    const char *outcome = member_text(answer, "outcome");

    if (strcmp(outcome, "completed") == 0 || strcmp(outcome, "pending") == 0) {
        return EXIT_OK;
    }
    if (strcmp(outcome, "unavailable") == 0) {
        return EXIT_UNREACHABLE;
    }
    return strcmp(outcome, "refused") == 0 ? EXIT_REFUSED : EXIT_OTHER_OUTCOME;
}

static bool
is_pending(const json_t *answer)
{
    return strcmp(member_text(answer, "outcome"), "pending") == 0;
}

/* Waits for the outcome, with several requests if `wait_ms` is long.  Shows
 * the progress if standard error is a terminal.  Returns the last HTTP status,
 * 0 if no answer came. */
static long
wait_outcome(struct cli *cli, const char *id, unsigned wait_ms,
             json_t **answer)
{
    bool show = isatty(STDERR_FILENO);
    char *escaped = cli_url_escape(id);
    unsigned waited = 0;
    long status = 0;

    *answer = NULL;
    do {
        unsigned step = MIN(wait_ms - waited, WAIT_STEP_MS);
        char *path = g_strdup_printf("/v1/jobs/%s?wait_ms=%u", escaped, step);

        json_decref(*answer);
        status = cli_http_request(cli, "GET", path, NULL, answer, NULL);
        g_free(path);
        waited += status == 503 ? RETRY_MS : step;
        if (show && is_pending(*answer)) {
            fprintf(stderr, "\r%s: waiting, %u s", id, waited / 1000);
        }
        if (status == 503 && waited < wait_ms) {
            g_usleep(RETRY_MS * 1000UL); /* this VM has no current state */
        }
    } while ((status == 202 || status == 503) && waited < wait_ms);
    if (show && waited > WAIT_STEP_MS) {
        fputc('\n', stderr);
    }
    g_free(escaped);
    return status;
}

static int
report_outcome(struct cli *cli, long status, json_t *answer)
{
    int result;

    if (status == 0 || answer == NULL) {
        return cli_report_unreachable(cli);
    }
    print_outcome(cli, answer);
    result = outcome_exit_status(answer);
    json_decref(answer);
    return result;
}

static char *
read_request(const struct cli *cli)
{
    char *text = NULL;
    GString *input;
    char chunk[READ_CHUNK_BYTES];
    size_t n;

    if (cli->args_count > 0) {
        g_file_get_contents(cli->args[0], &text, NULL, NULL);
        return text;
    }
    input = g_string_new(NULL);
    while ((n = fread(chunk, 1, sizeof(chunk), stdin)) > 0) {
        g_string_append_len(input, chunk, (gssize)n);
    }
    return g_string_free(input, FALSE);
}

/* Reads the request and sets its home data centre if --home was given.  On
 * failure prints the reason and returns NULL. */
static json_t *
load_request(const struct cli *cli)
{
    char *text = read_request(cli);
    json_error_t error;
    json_t *request;

    if (text == NULL) {
        fprintf(stderr, "curlewcart: cannot read the request\n");
        return NULL;
    }
    request = json_loads(text, 0, &error);
    g_free(text);
    if (!json_is_object(request)) {
        fprintf(stderr, "curlewcart: the request is not a JSON object: %s\n",
                error.text);
        json_decref(request);
        return NULL;
    }
    if (cli->home != NULL) {
        json_object_set_new(request, "home", json_string(cli->home));
    }
    return request;
}

int
cli_submit(struct cli *cli)
{
    json_t *request = load_request(cli);
    json_t *answer = NULL;
    char *body;
    char *id;
    long status;

    if (request == NULL) {
        return EXIT_INVALID;
    }
    body = json_dumps(request, JSON_COMPACT);
    id = g_strdup(member_text(request, "id"));
    status = cli_http_request(cli, "POST", "/v1/jobs", body, &answer, NULL);
    if (status == 202 && cli->wait_ms > 0) {
        json_decref(answer);
        status = wait_outcome(cli, id, cli->wait_ms, &answer);
    }
    free(body);
    g_free(id);
    json_decref(request);
    return report_outcome(cli, status, answer);
}

int
cli_wait(struct cli *cli)
{
    json_t *answer;
    long status = wait_outcome(cli, cli->args[0], cli->wait_ms, &answer);

    return report_outcome(cli, status, answer);
}

int
cli_job(struct cli *cli)
{
    json_t *answer;
    long status = wait_outcome(cli, cli->args[0], 0, &answer);

    return report_outcome(cli, status, answer);
}

int
cli_cancel(struct cli *cli)
{
    char *escaped = cli_url_escape(cli->args[0]);
    char *path =
        g_strdup_printf("/v1/jobs/%s?wait_ms=%u", escaped, cli->wait_ms);
    json_t *answer = NULL;
    long status = cli_http_request(cli, "DELETE", path, NULL, &answer, NULL);

    g_free(path);
    g_free(escaped);
    return report_outcome(cli, status, answer);
}

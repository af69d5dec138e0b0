/* Commands of callers: submit, wait, cancel, job. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli/internal/cli_private.h"

enum { STEP_MS = 5000, RETRY_MS = 1000, READ_CHUNK = 4096 };

static const char *
text_of(const json_t *value, const char *name)
{
    const char *text = json_string_value(json_object_get(value, name));

    return text != NULL ? text : "";
}

static void
print_outcome(const struct cli *cli, const json_t *answer)
{
    const char *outcome = text_of(answer, "outcome");
    const json_t *workers = json_object_get(answer, "workers");
    const json_t *worker;
    size_t i;

    if (cli->json) {
        cli_print_json(answer);
        return;
    }
    printf("%s: %s", text_of(answer, "id"), outcome);
    if (strcmp(outcome, "pending") != 0) {
        printf(" (%s)", text_of(answer, "text"));
    }
    if (json_array_size(workers) > 0) {
        printf(" in %s on", text_of(answer, "dc"));
    }
    json_array_foreach(workers, i, worker)
    {
        printf(" %s", text_of(worker, "worker"));
    }
    putchar('\n');
    if (*text_of(answer, "result") != '\0') {
        printf("%s\n", text_of(answer, "result"));
    }
}

static int
outcome_status(const json_t *answer)
{
    const char *outcome = text_of(answer, "outcome");

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
    return strcmp(text_of(answer, "outcome"), "pending") == 0;
}

/* Waits in steps; progress is shown on a terminal only. */
static long
wait_outcome(struct cli *cli, const char *id, unsigned wait_ms,
             json_t **answer)
{
    bool show = isatty(STDERR_FILENO);
    char *escaped = cli_escape(id);
    unsigned waited = 0;
    long status = 0;

    *answer = NULL;
    do {
        unsigned step = MIN(wait_ms - waited, STEP_MS);
        char *path = g_strdup_printf("/v1/jobs/%s?wait_ms=%u", escaped, step);

        json_decref(*answer);
        status = cli_http(cli, "GET", path, NULL, answer, NULL);
        g_free(path);
        waited += status == 503 ? RETRY_MS : step;
        if (show && is_pending(*answer)) {
            fprintf(stderr, "\r%s: waiting, %u s", id, waited / 1000);
        }
        if (status == 503 && waited < wait_ms) {
            g_usleep(RETRY_MS * 1000UL); /* this VM cannot tell just now */
        }
    } while ((status == 202 || status == 503) && waited < wait_ms);
    if (show && waited > STEP_MS) {
        fputc('\n', stderr);
    }
    g_free(escaped);
    return status;
}

static int
finish(struct cli *cli, long status, json_t *answer)
{
    int result;

    if (status == 0 || answer == NULL) {
        return cli_unreachable(cli);
    }
    print_outcome(cli, answer);
    result = outcome_status(answer);
    json_decref(answer);
    return result;
}

static char *
read_request(const struct cli *cli)
{
    char *text = NULL;
    GString *input;
    char chunk[READ_CHUNK];
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

/* The request with --home put in, if it was given. */
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
    id = g_strdup(text_of(request, "id"));
    status = cli_http(cli, "POST", "/v1/jobs", body, &answer, NULL);
    if (status == 202 && cli->wait_ms > 0) {
        json_decref(answer);
        status = wait_outcome(cli, id, cli->wait_ms, &answer);
    }
    free(body);
    g_free(id);
    json_decref(request);
    return finish(cli, status, answer);
}

int
cli_wait(struct cli *cli)
{
    json_t *answer;
    long status = wait_outcome(cli, cli->args[0], cli->wait_ms, &answer);

    return finish(cli, status, answer);
}

int
cli_job(struct cli *cli)
{
    json_t *answer;
    long status = wait_outcome(cli, cli->args[0], 0, &answer);

    return finish(cli, status, answer);
}

int
cli_cancel(struct cli *cli)
{
    char *escaped = cli_escape(cli->args[0]);
    char *path =
        g_strdup_printf("/v1/jobs/%s?wait_ms=%u", escaped, cli->wait_ms);
    json_t *answer = NULL;
    long status = cli_http(cli, "DELETE", path, NULL, &answer, NULL);

    g_free(path);
    g_free(escaped);
    return finish(cli, status, answer);
}

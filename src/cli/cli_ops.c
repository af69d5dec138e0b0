/* Commands for operators that change nothing: status, workers, accounts,
 * audit, counters, explain. */
#include <stdio.h>
#include <string.h>

#include "cli/internal/cli_private.h"

/* Gets the JSON answer for a path.  Sets `*status` to an exit status; on
 * failure prints the reason or the answer and returns NULL. */
static json_t *
get_json(struct cli *cli, const char *path, int *status)
{
    json_t *answer = NULL;
    long code = cli_http_request(cli, "GET", path, NULL, &answer, NULL);

    *status = EXIT_OK;
    if (code == 0 || answer == NULL) {
        *status = cli_report_unreachable(cli);
    }
    else if (code != 200) {
        cli_print_json(answer);
        *status = EXIT_REFUSED;
    }
    if (*status != EXIT_OK) {
        json_decref(answer);
        return NULL;
    }
    return answer;
}

/* Prints a list of objects as a table; the columns are members' names. */
static void
print_table(const json_t *rows, const char *const *columns)
{
    const json_t *row;
    size_t i;

    for (size_t c = 0; columns[c] != NULL; c++) {
        printf("%-20s", columns[c]);
    }
    putchar('\n');
    json_array_foreach(rows, i, row)
    {
        for (size_t c = 0; columns[c] != NULL; c++) {
            const json_t *value = json_object_get(row, columns[c]);
            char *text =
                json_is_string(value)
                    ? NULL
                    : json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

            printf("%-20s", text != NULL ? text : json_string_value(value));
            free(text);
        }
        putchar('\n');
    }
}

static int
print_list(struct cli *cli, const char *path, const char *name,
           const char *const *columns)
{
    int status;
    json_t *answer = get_json(cli, path, &status);

    if (answer == NULL) {
        return status;
    }
    if (cli->json) {
        cli_print_json(answer);
    }
    else {
        print_table(json_object_get(answer, name), columns);
    }
    json_decref(answer);
    return EXIT_OK;
}

int
cli_status(struct cli *cli)
{
    int status;
    json_t *answer = get_json(cli, "/v1/status", &status);
    const char *name;
    json_t *value;

    if (answer == NULL) {
        return status;
    }
    if (cli->json) {
        cli_print_json(answer);
        json_decref(answer);
        return EXIT_OK;
    }
    json_object_foreach(answer, name, value)
    {
        char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

        printf("%-14s %s\n", name, text);
        free(text);
    }
    json_decref(answer);
    return EXIT_OK;
}

int
cli_workers(struct cli *cli)
{
    static const char *const columns[] = {"worker", "dc",   "rack",
                                          "state",  "free", NULL};

    return print_list(cli, "/v1/workers", "workers", columns);
}

int
cli_accounts(struct cli *cli)
{
    static const char *const columns[] = {"account", "weight", "dcs", NULL};

    return print_list(cli, "/v1/accounts", "accounts", columns);
}

int
cli_audit(struct cli *cli)
{
    static const char *const columns[] = {
        "key", "dc", "worker", "runs", "bundle", "outcome", NULL};
    char *path = cli->account != NULL
                     ? g_strdup_printf("/v1/audit?account=%s", cli->account)
                     : g_strdup("/v1/audit");
    int status = print_list(cli, path, "rows", columns);

    g_free(path);
    return status;
}

int
cli_counters(struct cli *cli)
{
    GString *text = g_string_new(NULL);
    long code = cli_http_request(cli, "GET", "/metrics", NULL, NULL, text);
    int status = EXIT_OK;

    if (code == 0) {
        status = cli_report_unreachable(cli);
    }
    else {
        fputs(text->str, stdout);
        status = code == 200 ? EXIT_OK : EXIT_REFUSED;
    }
    g_string_free(text, TRUE);
    return status;
}

int
cli_explain(struct cli *cli)
{
    char *key = cli->account != NULL
                    ? g_strdup_printf("%s/%s", cli->account, cli->args[0])
                    : g_strdup(cli->args[0]);
    char *escaped = cli_url_escape(key);
    char *path = g_strdup_printf("/v1/explain?key=%s", escaped);
    int status;
    json_t *answer = get_json(cli, path, &status);

    if (answer != NULL) {
        const char *text = json_string_value(json_object_get(answer, "text"));

        fputs(text != NULL ? text : "", stdout);
        json_decref(answer);
    }
    g_free(path);
    g_free(escaped);
    g_free(key);
    return status;
}

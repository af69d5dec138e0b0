/* HTTP requests from the command line to a daemon. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>

#include "cli/internal/cli_private.h"

#define DEFAULT_SERVER "http://127.0.0.1:8080"
enum { TIMEOUT_MARGIN_MS = 10000 };

static size_t
append_body(char *data, size_t size, size_t n, void *context)
{
    g_string_append_len(context, data, (gssize)(size * n));
    return size * n;
}

static struct curl_slist *
add_header(struct curl_slist *list, const char *name, const char *value)
{
    char *line = g_strdup_printf("%s: %s", name, value);

    list = curl_slist_append(list, line);
    g_free(line);
    return list;
}

static struct curl_slist *
make_headers(const struct cli *cli)
{
    struct curl_slist *list = NULL;
    char *token = NULL;

    if (cli->account != NULL) {
        list = add_header(list, "X-Curlewcart-Account", cli->account);
    }
    if (cli->token_file != NULL &&
        g_file_get_contents(cli->token_file, &token, NULL, NULL))
    {
        char *line = g_strdup_printf("Bearer %s", g_strstrip(token));

        list = add_header(list, "Authorization", line);
        g_free(line);
        g_free(token);
    }
    list = curl_slist_append(list, "Expect:");
    return add_header(list, "Content-Type", "application/json");
}

long
cli_http_request(const struct cli *cli, const char *method, const char *path,
                 const char *body, json_t **out, GString *raw)
{
    const char *server = cli->server != NULL ? cli->server : DEFAULT_SERVER;
    char *url = g_strconcat(server, path, NULL);
    struct curl_slist *headers = make_headers(cli);
    GString *answer = raw != NULL ? raw : g_string_new(NULL);
    CURL *easy = curl_easy_init();
    long status = 0;

    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     (long)cli->wait_ms + TIMEOUT_MARGIN_MS);
    if (body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(easy) == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    if (out != NULL) {
        *out = status != 0 ? json_loads(answer->str, 0, NULL) : NULL;
    }
    if (raw == NULL) {
        g_string_free(answer, TRUE);
    }
    curl_easy_cleanup(easy);
    curl_slist_free_all(headers);
    g_free(url);
    return status;
}

int
cli_report_unreachable(const struct cli *cli)
{
    fprintf(stderr, "curlewcart: no answer from %s\n",
            cli->server != NULL ? cli->server : DEFAULT_SERVER);
    return EXIT_UNREACHABLE;
}

void
cli_print_json(const json_t *value)
{
    json_dumpf(value, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
    putchar('\n');
}

char *
cli_url_escape(const char *text)
{
    char *escaped = curl_easy_escape(NULL, text, 0);
    char *copy = g_strdup(escaped);

    curl_free(escaped);
    return copy;
}

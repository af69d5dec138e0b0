/* Commands about the bundle: check, propose, review, sign, accept. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <sodium.h>

#include "cli/internal/cli_private.h"
#include "curlewcart/cw_xdr.h"

enum { WAIT_MAX_MS = 9000, POLL_INTERVAL_MS = 100 };

static struct cw_bundle *
load_bundle(const char *path)
{
    GString *problems = g_string_new(NULL);
    struct cw_bundle *bundle = NULL;
    char *text = NULL;
    gsize length;

    if (!g_file_get_contents(path, &text, &length, NULL)) {
        fprintf(stderr, "%s: cannot be read\n", path);
    }
    else {
        bundle = cw_bundle_parse(text, length, problems);
        if (bundle == NULL) {
            fprintf(stderr, "%s: not acceptable\n%s", path, problems->str);
        }
    }
    g_free(text);
    g_string_free(problems, TRUE);
    return bundle;
}

int
cli_bundle_check(struct cli *cli)
{
    struct cw_bundle *bundle = load_bundle(cli->args[0]);

    if (bundle == NULL) {
        return EXIT_INVALID;
    }
    printf("%s: acceptable: %u data centres, %u workers, %u accounts, all "
           "guarantees can be held\n",
           cli->args[0], bundle->doc->dcs_count, bundle->doc->workers_count,
           bundle->doc->accounts_count);
    cw_bundle_unref(bundle);
    return EXIT_OK;
}

static void
print_diff(const struct cw_bundle *before, const struct cw_bundle *after)
{
    GString *text = g_string_new(NULL);

    cw_bundle_diff(before, after, text);
    fputs(text->len > 0 ? text->str : "no changes\n", stdout);
    g_string_free(text, TRUE);
}

int
cli_bundle_diff(struct cli *cli)
{
    struct cw_bundle *before = load_bundle(cli->args[0]);
    struct cw_bundle *after = load_bundle(cli->args[1]);
    int status = EXIT_INVALID;

    if (before != NULL && after != NULL) {
        print_diff(before, after);
        status = EXIT_OK;
    }
    cw_bundle_unref(before);
    cw_bundle_unref(after);
    return status;
}

/* Gets the bundle in force at the server; *out is NULL if there is none.
 * Returns an exit status. */
static int
fetch_current(struct cli *cli, struct cw_bundle **out)
{
    json_t *answer = NULL;
    long code =
        cli_http_request(cli, "GET", "/v1/bundle", NULL, &answer, NULL);
    json_int_t version;
    const char *text;

    *out = NULL;
    if (code == 0 || answer == NULL) {
        return cli_report_unreachable(cli);
    }
    if (code != 200) {
        cli_print_json(answer);
        json_decref(answer);
        return EXIT_REFUSED;
    }
    version = json_integer_value(json_object_get(answer, "version"));
    text = json_string_value(json_object_get(answer, "content"));
    if (version > 0 && text != NULL) {
        *out = cw_bundle_parse(text, strlen(text), NULL);
        if (*out != NULL) {
            (*out)->number = (unsigned)version;
        }
    }
    json_decref(answer);
    return EXIT_OK;
}

/* ---- files with proposals ---- */

static bool
save_proposal(const char *path, const struct cw_bundle_rec *record)
{
    GByteArray *bytes = cw_xdr_encode((xdrproc_t)xdr_cw_bundle_rec, record);
    char *text;
    bool ok;

    if (bytes == NULL) {
        return false;
    }
    text = g_base64_encode(bytes->data, bytes->len);
    ok = g_file_set_contents(path, text, -1, NULL);
    if (!ok) {
        fprintf(stderr, "%s: cannot be written\n", path);
    }
    g_free(text);
    g_byte_array_unref(bytes);
    return ok;
}

static bool
load_proposal(const char *path, struct cw_bundle_rec *record)
{
    char *text = NULL;
    guchar *bytes;
    gsize size;
    bool ok;

    memset(record, 0, sizeof(*record));
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        fprintf(stderr, "%s: cannot be read\n", path);
        return false;
    }
    bytes = g_base64_decode(text, &size);
    ok = cw_xdr_decode((xdrproc_t)xdr_cw_bundle_rec, record, bytes, size);
    if (!ok) {
        fprintf(stderr, "%s: not a proposal\n", path);
    }
    g_free(bytes);
    g_free(text);
    return ok;
}

static void
free_proposal(struct cw_bundle_rec *record)
{
    xdr_free((xdrproc_t)xdr_cw_bundle_rec, record);
}

int
cli_bundle_propose(struct cli *cli)
{
    struct cw_bundle *next = load_bundle(cli->args[0]);
    struct cw_bundle *current = NULL;
    struct cw_bundle_rec record;
    const void *content;
    gsize size;
    int status = EXIT_INVALID;

    if (next == NULL) {
        return EXIT_INVALID;
    }
    if (cli->out == NULL) {
        fprintf(stderr,
                "curlewcart: --out is required: the proposal's file\n");
        goto done;
    }
    status = fetch_current(cli, &current);
    if (status != EXIT_OK) {
        goto done;
    }
    content = g_bytes_get_data(next->content, &size);
    status = EXIT_INVALID;
    if (!cw_chain_propose(current, content, size, &record)) {
        goto done;
    }
    if (save_proposal(cli->out, &record)) {
        printf("proposal for version %u on version %u: %s\n", record.number,
               record.parent, cli->out);
        status = EXIT_OK;
    }
    free_proposal(&record);

done:
    cw_bundle_unref(next);
    cw_bundle_unref(current);
    return status;
}

static void
print_signatures(const struct cw_bundle_rec *record)
{
    printf("signed by:");
    for (unsigned i = 0; i < record->signatures.signatures_len; i++) {
        printf(" %s", record->signatures.signatures_val[i].operator_name);
    }
    printf(record->signatures.signatures_len > 0 ? "\n" : " none\n");
}

static int
review(struct cli *cli, const struct cw_bundle_rec *record)
{
    struct cw_bundle *current = NULL;
    struct cw_bundle *next = NULL;
    GBytes *content = NULL;
    const void *text;
    gsize size;
    int status = fetch_current(cli, &current);

    if (status != EXIT_OK) {
        return status;
    }
    printf("version %u on version %u (in force: %u)\n", record->number,
           record->parent, current != NULL ? current->number : 0);
    print_signatures(record);
    content = cw_chain_decode_content(record, current);
    if (content == NULL) {
        printf("not based on the version in force: propose it again\n");
        status = EXIT_CONFLICT;
        goto done;
    }
    text = g_bytes_get_data(content, &size);
    next = cw_bundle_parse(text, size, NULL);
    if (current != NULL && next != NULL) {
        print_diff(current, next);
    }

done:
    if (content != NULL) {
        g_bytes_unref(content);
    }
    cw_bundle_unref(next);
    cw_bundle_unref(current);
    return status;
}

int
cli_bundle_review(struct cli *cli)
{
    struct cw_bundle_rec record;
    int status;

    if (!load_proposal(cli->args[0], &record)) {
        return EXIT_INVALID;
    }
    status = review(cli, &record);
    free_proposal(&record);
    return status;
}

int
cli_bundle_sign(struct cli *cli)
{
    unsigned char key[crypto_sign_SECRETKEYBYTES];
    struct cw_bundle_rec record;
    int status = EXIT_INVALID;

    if (cli->operator_name == NULL || cli->key_file == NULL) {
        fprintf(stderr,
                "curlewcart: --operator and --key-file are required\n");
        return EXIT_USAGE;
    }
    if (!load_proposal(cli->args[0], &record)) {
        return EXIT_INVALID;
    }
    if (cli_read_secret_key(cli->key_file, key, sizeof(key)) &&
        cw_chain_sign(&record, cli->operator_name, key) &&
        save_proposal(cli->args[0], &record))
    {
        print_signatures(&record);
        status = EXIT_OK;
    }
    sodium_memzero(key, sizeof(key));
    free_proposal(&record);
    return status;
}

/* ---- acceptance ---- */

static void
sleep_poll_interval(void)
{
    struct timespec duration = {.tv_nsec = POLL_INTERVAL_MS * 1000000L};

    nanosleep(&duration, NULL);
}

/* Polls until the proposal's version number is in force, with this proposal
 * or with another.  Prints the result and returns an exit status. */
static int
wait_until_accepted(struct cli *cli, const struct cw_bundle_rec *record)
{
    struct cw_bundle *current = NULL;

    for (int waited = 0; waited < WAIT_MAX_MS; waited += POLL_INTERVAL_MS) {
        bool is_accepted;

        cw_bundle_unref(current);
        if (fetch_current(cli, &current) != EXIT_OK || current == NULL ||
            current->number < record->number)
        {
            sleep_poll_interval();
            continue;
        }
        is_accepted =
            current->number == record->number &&
            memcmp(current->hash, record->content_hash, CW_HASH_BYTES) == 0;
        if (is_accepted) {
            printf("accepted: version %u is in force\n", record->number);
        }
        else {
            printf("conflict: version %u is in force with another change; "
                   "propose yours again on top of it\n",
                   current->number);
        }
        cw_bundle_unref(current);
        return is_accepted ? EXIT_OK : EXIT_CONFLICT;
    }
    printf("no verdict yet: signatures may be missing or the log unavailable; "
           "it is safe to accept it again\n");
    cw_bundle_unref(current);
    return EXIT_REFUSED;
}

int
cli_bundle_accept(struct cli *cli)
{
    struct cw_bundle_rec record;
    char *text = NULL;
    char *body;
    long code;
    int status = EXIT_REFUSED;

    if (!load_proposal(cli->args[0], &record) ||
        !g_file_get_contents(cli->args[0], &text, NULL, NULL))
    {
        return EXIT_INVALID;
    }
    body = g_strdup_printf("{\"record\":\"%s\"}", g_strstrip(text));
    code = cli_http_request(cli, "POST", "/v1/bundle", body, NULL, NULL);
    if (code == 0) {
        status = cli_report_unreachable(cli);
    }
    else if (code == 202) {
        status = wait_until_accepted(cli, &record);
    }
    else {
        fprintf(stderr,
                "curlewcart: the daemon refused the proposal (HTTP %ld)\n",
                code);
    }
    g_free(body);
    g_free(text);
    free_proposal(&record);
    return status;
}

int
cli_bundle_show(struct cli *cli)
{
    struct cw_bundle *current = NULL;
    int status = fetch_current(cli, &current);
    const char *text;
    gsize size;

    if (status == EXIT_OK && current != NULL) {
        text = g_bytes_get_data(current->content, &size);
        printf("# version %u\n%.*s", current->number, (int)size, text);
    }
    cw_bundle_unref(current);
    return status;
}

/* ---- status ---- */

int
cli_bundle_status(struct cli *cli)
{
    json_int_t version = 0;

    for (int waited = 0; waited <= WAIT_MAX_MS; waited += POLL_INTERVAL_MS) {
        json_t *answer = NULL;

        if (cli_http_request(cli, "GET", "/v1/status", NULL, &answer, NULL) !=
            200) {
            json_decref(answer);
            return cli_report_unreachable(cli);
        }
        version = json_integer_value(json_object_get(answer, "bundle"));
        json_decref(answer);
        if (version > 0 || !cli->wait) {
            break;
        }
        sleep_poll_interval();
    }
    printf("version %d\n", (int)version);
    return version > 0 ? EXIT_OK : EXIT_REFUSED;
}

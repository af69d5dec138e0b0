/* Declarations that the files of the command-line program share. */
#ifndef CLI_INTERNAL_CLI_PRIVATE_H
#define CLI_INTERNAL_CLI_PRIVATE_H

#include <stdbool.h>
#include <jansson.h>
#include <glib.h>

#include "curlewcart/cw_chain.h"

/* Exit statuses; docs/operators/command-line.md lists them. */
enum {
    EXIT_OK = 0,
    EXIT_USAGE = 1,
    EXIT_REFUSED = 2,
    EXIT_NOT_STARTED = 3,
    EXIT_CONFLICT = 4,
    EXIT_UNREACHABLE = 5,
    EXIT_OTHER_OUTCOME = 6,
    EXIT_INVALID = 7
};

enum { CLI_ARGS_MAX = 64 };

/* The command, options and arguments given on the command line. */
struct cli {
    const struct cli_command *command;
    const char *server;
    const char *account;
    const char *token_file;
    const char *key_file;
    const char *operator_name;
    const char *out;
    const char *settings;
    const char *home;
    unsigned wait_ms;
    bool json;
    bool wait;
    const char *args[CLI_ARGS_MAX];
    unsigned args_count;
};

/* A command.  Its name may have several words, such as "bundle check". */
struct cli_command {
    const char *name;
    const char *args_usage; /* arguments as shown in the usage line */
    const char *summary;
    unsigned min_args;
    unsigned max_args;
    int (*run)(struct cli *cli); /* returns an exit status */
};

/* cli_http.c: sends a request to the daemon.  Returns the HTTP status, 0 if no
 * answer came.  Sets *out, unless `out` is NULL, to the answer as JSON (owned
 * by the caller) or NULL; appends the answer's text to `raw`, unless that is
 * NULL. */
long
cli_http_request(const struct cli *cli, const char *method, const char *path,
                 const char *body, json_t **out, GString *raw);

/* Prints to standard error that no answer came; returns EXIT_UNREACHABLE. */
int cli_report_unreachable(const struct cli *cli);

/* Prints JSON to standard output. */
void cli_print_json(const json_t *value);

/* Escapes a path segment or query value; free with g_free. */
char *cli_url_escape(const char *text);

/* The commands, file by file.  Each returns an exit status.
 *
 * cli_jobs.c */
int cli_submit(struct cli *cli);
int cli_wait(struct cli *cli);
int cli_cancel(struct cli *cli);
int cli_job(struct cli *cli);

/* cli_ops.c */
int cli_status(struct cli *cli);
int cli_workers(struct cli *cli);
int cli_accounts(struct cli *cli);
int cli_counters(struct cli *cli);
int cli_explain(struct cli *cli);
int cli_audit(struct cli *cli);

/* cli_bundle.c */
int cli_bundle_check(struct cli *cli);
int cli_bundle_diff(struct cli *cli);
int cli_bundle_propose(struct cli *cli);
int cli_bundle_review(struct cli *cli);
int cli_bundle_sign(struct cli *cli);
int cli_bundle_accept(struct cli *cli);
int cli_bundle_show(struct cli *cli);
int cli_bundle_status(struct cli *cli);

/* cli_keys.c */
int cli_key_new(struct cli *cli);
int cli_token_hash(struct cli *cli);

/* Reads a secret key of `size` bytes from a file in hex that only its owner
 * may access.  On failure prints the reason to standard error and returns
 * false. */
bool cli_read_secret_key(const char *path, unsigned char *key, size_t size);

/* cli_serve.c */
int cli_serve(struct cli *cli);
int cli_settings_check(struct cli *cli);
int cli_completion(struct cli *cli);

/* cli_logs.c */
int cli_logs_explain(struct cli *cli);
int cli_logs_timeline(struct cli *cli);

/* cli.c: all commands; the last entry has a NULL name. */
extern const struct cli_command cli_commands[];

#endif

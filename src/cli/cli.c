/* The curlewcart program: runs the command that the first words of the command
 * line name. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>

#include "cli/internal/cli_private.h"
#include "curlewcart/cw_version.h"

enum { DEFAULT_WAIT_MS = 30000 };

const char *argp_program_version = "curlewcart " CW_VERSION;

const struct cli_command cli_commands[] = {
    {"serve", "", "Runs the daemon of this VM.", 0, 0, cli_serve},
    {"settings check", "FILE",
     "Lists all problems that would prevent 'serve' from starting.", 1, 1,
     cli_settings_check},
    {"submit", "[FILE]",
     "Submits a request (JSON from FILE or standard input) and waits for "
     "its outcome.",
     0, 1, cli_submit},
    {"wait", "ID", "Waits for a request's outcome.", 1, 1, cli_wait},
    {"cancel", "ID", "Cancels a request.", 1, 1, cli_cancel},
    {"job", "ID", "Shows the state of a request.", 1, 1, cli_job},
    {"explain", "ID", "Explains the state of a request.", 1, 1, cli_explain},
    {"logs explain", "ID FILE...",
     "Lists a request's events in the daemons' logs, and the cause.", 2,
     CLI_ARGS_MAX, cli_logs_explain},
    {"logs timeline", "FILE...",
     "Lists changes of owner, dependencies and workers in logs.", 1,
     CLI_ARGS_MAX, cli_logs_timeline},
    {"status", "", "Shows the daemon and its role.", 0, 0, cli_status},
    {"workers", "", "Lists the workers that this VM schedules work on.", 0, 0,
     cli_workers},
    {"accounts", "", "Lists the client accounts in force.", 0, 0,
     cli_accounts},
    {"counters", "", "Prints the daemon's counters.", 0, 0, cli_counters},
    {"audit", "", "Lists where requests ran (--account: only its own).", 0, 0,
     cli_audit},
    {"bundle check", "FILE", "Checks that a bundle could be accepted.", 1, 1,
     cli_bundle_check},
    {"bundle diff", "BEFORE AFTER", "Lists the changes between two bundles.",
     2, 2, cli_bundle_diff},
    {"bundle propose", "FILE",
     "Writes a proposal (--out) to replace the version in force by FILE.", 1,
     1, cli_bundle_propose},
    {"bundle review", "PROPOSAL",
     "Lists the changes of a proposal and who signed it.", 1, 1,
     cli_bundle_review},
    {"bundle sign", "PROPOSAL",
     "Adds a signature (--operator, --key-file) to a proposal.", 1, 1,
     cli_bundle_sign},
    {"bundle accept", "PROPOSAL",
     "Submits a signed proposal and waits for the result.", 1, 1,
     cli_bundle_accept},
    {"bundle show", "", "Prints the bundle in force.", 0, 0, cli_bundle_show},
    {"bundle status", "",
     "Shows the version in force on the VM (--wait: until there is one).", 0,
     0, cli_bundle_status},
    {"key new", "", "Creates a signing key (--out) and prints its public key.",
     0, 0, cli_key_new},
    {"token hash", "", "Prints the hash of a token read from standard input.",
     0, 0, cli_token_hash},
    {"completion", "", "Prints a completion script for bash.", 0, 0,
     cli_completion},
    {NULL, NULL, NULL, 0, 0, NULL},
};

enum option_key {
    KEY_SERVER = 's',
    KEY_ACCOUNT = 'a',
    KEY_TOKEN_FILE = 't',
    KEY_OUTPUT = 'o',
    KEY_WAIT_MS = 'w',
    KEY_SETTINGS = 'c',
    KEY_OUT = 1000,
    KEY_KEY_FILE,
    KEY_OPERATOR,
    KEY_HOME,
    KEY_WAIT
};

static const struct argp_option options[] = {
    {"server", KEY_SERVER, "URL", 0,
     "Daemon to connect to (or CURLEWCART_SERVER)", 0},
    {"account", KEY_ACCOUNT, "NAME", 0,
     "Client account (or CURLEWCART_ACCOUNT)", 0},
    {"token-file", KEY_TOKEN_FILE, "FILE", 0,
     "File with the account's or operator's token (or "
     "CURLEWCART_TOKEN_FILE)",
     0},
    {"output", KEY_OUTPUT, "table|json", 0, "Output format", 0},
    {"wait-ms", KEY_WAIT_MS, "MS", 0,
     "Time to wait for an outcome; 0: don't wait", 0},
    {"settings", KEY_SETTINGS, "FILE", 0, "The daemon's settings", 0},
    {"out", KEY_OUT, "FILE", 0, "File to write", 0},
    {"key-file", KEY_KEY_FILE, "FILE", 0, "Secret key to sign with", 0},
    {"operator", KEY_OPERATOR, "NAME", 0, "Operator who signs", 0},
    {"home", KEY_HOME, "DC", 0,
     "The only data centre that the request may run in", 0},
    {"wait", KEY_WAIT, NULL, 0, "Wait until a bundle is in force", 0},
    {0},
};

static error_t
parse_argument(struct cli *cli, char *argument, struct argp_state *state)
{
    if (cli->args_count >= cli->command->max_args) {
        argp_error(state, "unexpected argument \"%s\"", argument);
        return EINVAL;
    }
    cli->args[cli->args_count++] = argument;
    return 0;
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct cli *cli = state->input;

    switch (key) {
    case KEY_SERVER:
        cli->server = value;
        break;
    case KEY_ACCOUNT:
        cli->account = value;
        break;
    case KEY_TOKEN_FILE:
        cli->token_file = value;
        break;
    case KEY_OUTPUT:
        if (strcmp(value, "json") != 0 && strcmp(value, "table") != 0) {
            argp_error(state, "--output takes table or json");
        }
        cli->json = strcmp(value, "json") == 0;
        break;
    case KEY_WAIT_MS:
        cli->wait_ms = (unsigned)strtoul(value, NULL, 10);
        break;
    case KEY_SETTINGS:
        cli->settings = value;
        break;
    case KEY_OUT:
        cli->out = value;
        break;
    case KEY_KEY_FILE:
        cli->key_file = value;
        break;
    case KEY_OPERATOR:
        cli->operator_name = value;
        break;
    case KEY_HOME:
        cli->home = value;
        break;
    case KEY_WAIT:
        cli->wait = true;
        break;
    case ARGP_KEY_ARG:
        return parse_argument(cli, value, state);
    case ARGP_KEY_END:
        if (cli->args_count < cli->command->min_args) {
            argp_error(state, "missing argument: %s",
                       cli->command->args_usage);
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static void
print_commands(FILE *out)
{
    fprintf(out, "Usage: curlewcart COMMAND [OPTION...] [ARG...]\n\n"
                 "A scheduler for multi-accelerator jobs under client "
                 "account guarantees.\n\nCommands:\n");
    for (const struct cli_command *c = cli_commands; c->name != NULL; c++) {
        fprintf(out, "  %-16s %-14s %s\n", c->name, c->args_usage, c->summary);
    }
    fprintf(out, "\n'curlewcart COMMAND --help' lists a command's "
                 "options; --version prints the version.\n");
}

/* Number of words in the command's name if the arguments begin with it, else
 * 0. */
static int
match_words(const struct cli_command *command, int argc, char **argv)
{
    char **words = g_strsplit(command->name, " ", -1);
    int n = (int)g_strv_length(words);
    bool same = argc > n;

    for (int i = 0; same && i < n; i++) {
        same = strcmp(words[i], argv[i + 1]) == 0;
    }
    g_strfreev(words);
    return same ? n : 0;
}

static const struct cli_command *
find_command(int argc, char **argv, int *words)
{
    for (const struct cli_command *c = cli_commands; c->name != NULL; c++) {
        *words = match_words(c, argc, argv);
        if (*words > 0) {
            return c;
        }
    }
    return NULL;
}

static int
run_command(struct cli *cli, int argc, char **argv)
{
    struct argp argp = {options,
                        parse_option,
                        cli->command->args_usage,
                        cli->command->summary,
                        NULL,
                        NULL,
                        NULL};
    char *name = g_strdup_printf("curlewcart %s", cli->command->name);
    int status;

    argv[0] = name;
    argp_err_exit_status = EXIT_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, cli);
    status = cli->command->run(cli);
    g_free(name);
    return status;
}

int
main(int argc, char **argv)
{
    struct cli cli = {
        .server = g_getenv("CURLEWCART_SERVER"),
        .account = g_getenv("CURLEWCART_ACCOUNT"),
        .token_file = g_getenv("CURLEWCART_TOKEN_FILE"),
        .wait_ms = DEFAULT_WAIT_MS,
    };
    int words = 0;

    if (sodium_init() < 0) {
        fprintf(stderr, "curlewcart: libsodium cannot be initialized\n");
        return EXIT_NOT_STARTED;
    }
    if (argc > 1 && strcmp(argv[1], "--version") == 0) {
        printf("%s\n", argp_program_version);
        return EXIT_OK;
    }
    if (argc > 1 && strcmp(argv[1], "--help") == 0) {
        print_commands(stdout);
        return EXIT_OK;
    }
    cli.command = find_command(argc, argv, &words);
    if (cli.command == NULL) {
        print_commands(stderr);
        return EXIT_USAGE;
    }
    return run_command(&cli, argc - words, argv + words);
}

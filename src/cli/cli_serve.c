/* Commands for the daemon on this VM, and shell completion. */
#include <stdio.h>
#include <stdlib.h>

#include "cli/internal/cli_private.h"
#include "curlewcart/cw_vm.h"

/* Loads the settings and the secrets in the files that they name.  On failure
 * prints the problems and returns NULL. */
static struct cw_settings *
load_settings(const char *path, struct cw_settings_secrets **secrets)
{
    GString *problems = g_string_new(NULL);
    struct cw_settings *settings = cw_settings_load(path, problems);

    *secrets = NULL;
    if (settings != NULL) {
        *secrets = cw_settings_secrets(settings, problems);
    }
    if (problems->len > 0) {
        fprintf(stderr, "%s", problems->str);
        cw_settings_free(settings);
        settings = NULL;
    }
    g_string_free(problems, TRUE);
    return settings;
}

int
cli_serve(struct cli *cli)
{
    const char *path = cli->settings;
    struct cw_settings_secrets *secrets;
    struct cw_settings *settings;

    if (path == NULL) {
        path = getenv("CURLEWCART_CONFIG");
    }
    if (path == NULL) {
        fprintf(stderr, "curlewcart: --settings or CURLEWCART_CONFIG is "
                        "required: the settings file\n");
        return EXIT_USAGE;
    }
    settings = load_settings(path, &secrets);
    if (settings == NULL) {
        return EXIT_NOT_STARTED;
    }
    return cw_vm_run(settings, secrets, path);
}

int
cli_settings_check(struct cli *cli)
{
    struct cw_settings_secrets *secrets;
    struct cw_settings *settings = load_settings(cli->args[0], &secrets);

    if (settings == NULL) {
        return EXIT_INVALID;
    }
    printf("%s: ok\n", cli->args[0]);
    cw_settings_free(settings);
    return EXIT_OK;
}

int
cli_completion(struct cli *cli)
{
    (void)cli;
    printf("_curlewcart() {\n    local words=\"");
    for (const struct cli_command *c = cli_commands; c->name != NULL; c++) {
        printf("%s ", c->name);
    }
    printf("\"\n    COMPREPLY=($(compgen -W \"$words\" -- "
           "\"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
           "complete -F _curlewcart curlewcart\n");
    return EXIT_OK;
}

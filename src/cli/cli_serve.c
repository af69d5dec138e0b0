/* Commands that concern the daemon on this VM. */
#include <stdio.h>
#include <stdlib.h>

#include "cli/internal/cli_private.h"
#include "curlewcart/cw_daemon.h"
#include "curlewcart/cw_vm.h"

static struct cw_settings *
load(const char *path)
{
    GString *problems = g_string_new(NULL);
    struct cw_settings *settings = cw_settings_load(path, problems);

    if (settings == NULL) {
        fprintf(stderr, "%s", problems->str);
    }
    g_string_free(problems, TRUE);
    return settings;
}

int
cli_serve(struct cli *cli)
{
    struct cw_settings *settings;

    if (cli->settings == NULL) {
        fprintf(stderr, "curlewcart: --settings names the settings file\n");
        return EXIT_USAGE;
    }
    settings = load(cli->settings);
    if (settings == NULL) {
        return EXIT_NOT_STARTED;
    }
    return cw_daemon_run(settings);
}

int
cli_vm(struct cli *cli)
{
    const char *path = cli->settings;
    GString *problems = g_string_new(NULL);
    struct cw_vm_settings *settings = NULL;
    int status = EXIT_NOT_STARTED;

    if (path == NULL) {
        path = getenv("CURLEWCART_CONFIG");
    }
    if (path == NULL) {
        fprintf(stderr, "curlewcart: --settings or CURLEWCART_CONFIG names "
                        "the settings file\n");
        status = EXIT_USAGE;
        goto done;
    }
    settings = cw_vm_settings_load(path, problems);
    if (settings == NULL) {
        fprintf(stderr, "%s", problems->str);
        goto done;
    }
    status = cw_vm_run(settings, path);

done:
    g_string_free(problems, TRUE);
    return status;
}

int
cli_settings_check(struct cli *cli)
{
    struct cw_settings *settings = load(cli->args[0]);

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

/* Commands that read the logs of daemons. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/internal/cli_private.h"
#include "curlewcart/cw_log_analysis.h"

/* Adds the lines of a file; "-" is standard input. */
static bool
read_file(struct cw_log_analysis *analysis, const char *path)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    char *line = NULL;
    size_t size = 0;

    if (file == NULL) {
        fprintf(stderr, "curlewcart: %s cannot be read\n", path);
        return false;
    }
    while (getline(&line, &size, file) > 0) {
        cw_log_analysis_add_line(analysis, line);
    }
    free(line);
    if (file != stdin) {
        fclose(file);
    }
    return true;
}

static struct cw_log_analysis *
read_files(struct cli *cli, unsigned first_file)
{
    struct cw_log_analysis *analysis = cw_log_analysis_create();

    for (unsigned i = first_file; i < cli->args_count; i++) {
        if (!read_file(analysis, cli->args[i])) {
            cw_log_analysis_free(analysis);
            return NULL;
        }
    }
    return analysis;
}

int
cli_logs_explain(struct cli *cli)
{
    struct cw_log_analysis *analysis = read_files(cli, 1);
    GString *out = g_string_new(NULL);
    int status = EXIT_OK;

    if (analysis == NULL) {
        status = EXIT_INVALID;
        goto done;
    }
    if (cw_log_analysis_explain(analysis, cli->args[0], out) == 0) {
        fprintf(stderr, "curlewcart: %s occurs in none of %zu lines\n",
                cli->args[0], cw_log_analysis_line_count(analysis));
        status = EXIT_REFUSED;
    }
    fputs(out->str, stdout);
    cw_log_analysis_free(analysis);

done:
    g_string_free(out, TRUE);
    return status;
}

int
cli_logs_timeline(struct cli *cli)
{
    struct cw_log_analysis *analysis = read_files(cli, 0);
    GString *out = g_string_new(NULL);
    int status = analysis != NULL ? EXIT_OK : EXIT_INVALID;

    if (analysis != NULL) {
        cw_log_analysis_timeline(analysis, out);
        fputs(out->str, stdout);
        cw_log_analysis_free(analysis);
    }
    g_string_free(out, TRUE);
    return status;
}

/* Commands that read daemons' logs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/internal/cli_private.h"
#include "curlewcart/cw_story.h"

/* Adds the lines of a file; "-" is standard input. */
static bool
read_file(struct cw_story *story, const char *path)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    char *line = NULL;
    size_t size = 0;

    if (file == NULL) {
        fprintf(stderr, "curlewcart: %s cannot be read\n", path);
        return false;
    }
    while (getline(&line, &size, file) > 0) {
        cw_story_add(story, line);
    }
    free(line);
    if (file != stdin) {
        fclose(file);
    }
    return true;
}

static struct cw_story *
read_files(struct cli *cli, unsigned first)
{
    struct cw_story *story = cw_story_create();

    for (unsigned i = first; i < cli->args_count; i++) {
        if (!read_file(story, cli->args[i])) {
            cw_story_free(story);
            return NULL;
        }
    }
    return story;
}

int
cli_logs_explain(struct cli *cli)
{
    struct cw_story *story = read_files(cli, 1);
    GString *out = g_string_new(NULL);
    int status = EXIT_OK;

    if (story == NULL) {
        status = EXIT_INVALID;
        goto done;
    }
    if (cw_story_explain(story, cli->args[0], out) == 0) {
        fprintf(stderr, "curlewcart: %s is in none of %zu lines\n",
                cli->args[0], cw_story_lines(story));
        status = EXIT_REFUSED;
    }
    fputs(out->str, stdout);
    cw_story_free(story);

done:
    g_string_free(out, TRUE);
    return status;
}

int
cli_logs_timeline(struct cli *cli)
{
    struct cw_story *story = read_files(cli, 0);
    GString *out = g_string_new(NULL);
    int status = story != NULL ? EXIT_OK : EXIT_INVALID;

    if (story != NULL) {
        cw_story_timeline(story, out);
        fputs(out->str, stdout);
        cw_story_free(story);
    }
    g_string_free(out, TRUE);
    return status;
}

/* curlewcart-bench: measurements.  Each mode prints a line of key=value pairs.
 *
 *   place    [--workers N] [--waiting N]
 *   load     --url URL --account A --token T --callers N --requests N */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <sodium.h>

#include "bench.h"

static const struct argp_option options[] = {
    {"seed", 's', "N", 0, "Seed", 0},
    {"workers", 'w', "N", 0, "Workers", 0},
    {"waiting", 'q', "N", 0, "Waiting tasks", 0},
    {"url", 'u', "URL", 0, "Daemon", 0},
    {"account", 'A', "NAME", 0, "Client account", 0},
    {"token", 'T', "TEXT", 0, "Token of the account (only of a test account)",
     0},
    {"callers", 'c', "N", 0, "Concurrent callers", 0},
    {"requests", 'n', "N", 0, "Total number of requests", 0},
    {0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct bench_options *o = state->input;

    switch (key) {
    case 's':
        o->seed = (uint32_t)strtoul(value, NULL, 10);
        break;
    case 'w':
        o->workers = (unsigned)strtoul(value, NULL, 10);
        break;
    case 'q':
        o->waiting = (unsigned)strtoul(value, NULL, 10);
        break;
    case 'u':
        o->url = value;
        break;
    case 'A':
        o->account = value;
        break;
    case 'T':
        o->token = value;
        break;
    case 'c':
        o->callers = (unsigned)strtoul(value, NULL, 10);
        break;
    case 'n':
        o->requests = (unsigned)strtoul(value, NULL, 10);
        break;
    case ARGP_KEY_ARG:
        o->mode = value;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

double
bench_now_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

double
bench_percentile(GArray *values, double fraction)
{
    guint index;

    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_doubles);
    index = (guint)(fraction * (values->len - 1) + 0.5);
    return g_array_index(values, double, index);
}

struct mode {
    const char *name;
    int (*run)(const struct bench_options *options);
};

static const struct mode modes[] = {
    {"place", bench_place},
    {"load", bench_load},
};

int
main(int argc, char **argv)
{
    struct bench_options o = {.mode = "", .seed = 1};
    struct argp argp = {
        options, parse_option, "place|load", "Runs a measurement.",
        NULL,    NULL,         NULL};

    if (sodium_init() < 0) {
        return 1;
    }
    argp_parse(&argp, argc, argv, 0, NULL, &o);
    for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
        if (strcmp(modes[i].name, o.mode) == 0) {
            return modes[i].run(&o);
        }
    }
    argp_help(&argp, stderr, ARGP_HELP_USAGE, argv[0]);
    return 1;
}

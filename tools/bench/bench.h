/* The modes and the command line options of curlewcart-bench. */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include <stdint.h>
#include <glib.h>

/* Command line options. */
struct bench_options {
    const char *mode;
    uint32_t seed;
    unsigned workers;
    unsigned waiting; /* tasks */
    const char *url;  /* of a daemon, for mode load */
    const char *account;
    const char *token;
    unsigned callers;
    unsigned requests;
};

/* Mode place: measures the duration of a placement pass with many waiting
 * tasks.  Prints the result; returns an exit status. */
int bench_place(const struct bench_options *options);

/* Mode load: many concurrent callers of one daemon, each of which must get its
 * own answer.  Prints the result; returns an exit status. */
int bench_load(const struct bench_options *options);

/* Quantile of the values, `fraction` from 0 to 1; 0 if there are none.  Sorts
 * the values. */
double bench_percentile(GArray *values, double fraction);

/* Time of the monotonic clock in microseconds. */
double bench_now_us(void);

#endif

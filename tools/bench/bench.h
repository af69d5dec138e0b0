/* The bench's modes and what is given on its command line. */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include <stdint.h>
#include <glib.h>

struct bench_options {
    const char *mode;
    uint32_t seed;
    unsigned workers;
    unsigned waiting;
    const char *url; /* of a daemon, for load */
    const char *account;
    const char *token;
    unsigned callers;
    unsigned requests;
};

/* Cost of a pass of placement with many waiting tasks. */
int bench_place(const struct bench_options *options);

/* Many callers at once on one daemon: each must get its own answer. */
int bench_load(const struct bench_options *options);

/* Value at a share (0 to 1) of the sorted values; sorts them. */
double bench_percentile(GArray *values, double share);

/* Microseconds of the monotonic clock. */
double bench_now_us(void);

#endif
